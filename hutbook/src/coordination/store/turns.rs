//! Turns of proxied requests: decides which turns are admitted, and records their ends.

use super::accounts::{Account, Accounts, Reservation};
use super::format_3;
use super::ids::{ProgramId, SessionId, TurnId};
use super::messages::{StoreResponse, TurnAdmission, TurnEnd, TurnRecord};
use super::servers::ServerNames;
use super::stored_turns::{StoredTurn, StoredTurns};
use crate::constants::*;
use crate::state::snapshot_data::SnapshotReader;
use minicbor::decode;
use minicbor::encode::{self, Encoder, Write};
use std::collections::BTreeMap;

/// Encoding version of `Turns` in a snapshot: the first disk format that has it.
const ENCODING: u8 = 4;
/// Number of fields of `Turns` in that encoding: version, accounts, stored turns.
const ENCODING_FIELDS: u64 = 3;

/// What a store group records of proxied requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Turns {
    pub(super) accounts: Accounts,
    pub(super) stored: StoredTurns,
    pub(super) servers: ServerNames,
}

/// Returns how long the program's account is retained after this use, in milliseconds.
fn account_retention_ms(request: &TurnAdmission) -> u64 {
    match request.account_retention_ms {
        Some(ms) => ms.clamp(MIN_ACCOUNT_RETENTION_MS, DAY_MS),
        None => DEFAULT_ACCOUNT_RETENTION_MS,
    }
}

impl Turns {
    /// Encodes the turns for a snapshot.
    pub(super) fn write<W: Write>(&self, e: &mut Encoder<W>) -> Result<(), encode::Error<W::Error>> {
        e.array(ENCODING_FIELDS)?.encode(ENCODING)?.encode(&self.accounts)?;
        self.stored.write(e)
    }

    /// Decodes what `write` or a version with disk format 3 or older wrote. `clock` is that of the state.
    pub(super) fn read(reader: &mut SnapshotReader, clock: u64) -> Result<Turns, decode::Error> {
        if reader.count(|d| d.array())? == format_3::FIELDS {
            return format_3::read(reader, clock);
        }
        let encoding: u8 = reader.item()?;
        if encoding != ENCODING {
            return Err(decode::Error::message(format!(
                "unsupported encoding {encoding} of turns; this program reads {ENCODING} and 3"
            )));
        }
        let mut servers = ServerNames::default();
        let accounts = Accounts::read(reader, &mut servers)?;
        let stored = StoredTurns::read(reader, &mut servers)?;
        Ok(Turns { accounts, stored, servers })
    }

    /// Returns the number of accounts and of stored turns, and the bytes of the turns' texts.
    pub(super) fn counts(&self) -> (usize, usize, u64) {
        (self.accounts.len(), self.stored.len(), self.stored.text_bytes())
    }

    pub(super) fn has_account(&self, program: &str) -> bool {
        self.accounts.get(ProgramId::of(program)).is_some()
    }

    /// Memory that the index of stored turns and the names of servers take, in bytes.
    pub(super) fn index_bytes(&self) -> usize {
        self.stored.index_bytes() + self.servers.bytes(STATE_SERVER_BYTES)
    }

    /// Decides whether a turn may run. `is_leader`: the response is sent to a client; other replicas skip the
    /// chain.
    pub(super) fn admit(&mut self, now: u64, request: &TurnAdmission, is_leader: bool) -> StoreResponse {
        let (turn, program) = (TurnId::of(&request.turn), ProgramId::of(&request.program));
        let previous = TurnId::of_optional(&request.previous_turn);
        let retention_ms = account_retention_ms(request);
        self.accounts.touch(now, program, retention_ms);
        // a late copy of the request: the end of the turn has been recorded already
        if self.accounts.is_settled(turn) || self.stored.contains(turn) {
            return StoreResponse::Busy(None);
        }
        let account = self.accounts.get(program);
        match account.and_then(|account| account.reservation(turn)).map(|r| r.edge) {
            // a retry after a lost response: answer the same again
            Some(edge) if edge == request.edge => return self.admitted(request, is_leader),
            Some(_) => return StoreResponse::Busy(None),
            None => {}
        }
        if request.budget < u64::MAX && account.map_or(0, Account::committed) >= request.budget {
            return StoreResponse::TurnBudgetSpent;
        }
        if previous.is_some_and(|previous| !self.stored.contains(previous)) {
            return StoreResponse::PreviousTurnUnknown;
        }
        // refused before anything is reserved: a store that runs out of memory loses everybody's data
        let too_many = account.is_none() && self.accounts.len() >= MAX_ACCOUNTS;
        if too_many || !self.fits_in_frame(request) {
            return StoreResponse::Busy(None);
        }
        let until = now + DISPATCH_WINDOW_MS + request.run_ms.min(DAY_MS);
        let reservation = Reservation { turn, edge: request.edge, cap: request.cap, until };
        self.accounts.reserve(now, program, retention_ms, reservation);
        // the chain must still be stored when the end of this turn arrives
        self.stored.extend(previous, until + request.retention_ms.min(DAY_MS));
        self.admitted(request, is_leader)
    }

    /// Returns the chain that a turn continues, newest first, with the names of the turns whose texts the edge has.
    fn chain<'a>(&'a self, request: &'a TurnAdmission) -> impl Iterator<Item = (&'a StoredTurn, Option<&'a str>)> {
        let cached: BTreeMap<TurnId, &str> =
            request.cached_turns.iter().map(|name| (TurnId::of(name), name.as_str())).collect();
        let chain = self.stored.chain(TurnId::of_optional(&request.previous_turn));
        chain.map(move |(turn, stored)| (stored, cached.get(&turn).copied()))
    }

    /// Reports whether the texts to send fit into one frame.
    fn fits_in_frame(&self, request: &TurnAdmission) -> bool {
        let sent = self.chain(request).filter(|(_, cached)| cached.is_none());
        sent.map(|(stored, _)| u64::from(stored.bytes)).sum::<u64>() <= MAX_CHAIN_BYTES
    }

    fn admitted(&self, request: &TurnAdmission, is_leader: bool) -> StoreResponse {
        if !is_leader {
            return StoreResponse::TurnAdmitted { chain: vec![], server: String::new() };
        }
        let record = |(stored, cached): (&StoredTurn, Option<&str>)| TurnRecord {
            turn: cached.unwrap_or_default().into(),
            input: vec![],
            answer: vec![],
            stored: cached.is_none().then_some(stored.text),
        };
        let mut chain: Vec<TurnRecord> = self.chain(request).map(record).collect();
        chain.reverse();
        StoreResponse::TurnAdmitted { chain, server: self.last_server(request).unwrap_or_default().into() }
    }

    /// Returns the server of the turn that it continues, or else where its session or program ran last.
    fn last_server(&self, request: &TurnAdmission) -> Option<&str> {
        let previous = TurnId::of_optional(&request.previous_turn).and_then(|previous| self.stored.get(previous));
        let previous = previous.map(|stored| stored.server.as_str()).filter(|server| !server.is_empty());
        let account = self.accounts.get(ProgramId::of(&request.program));
        previous.or_else(|| account.and_then(|account| account.last_server(SessionId::of(&request.session))))
    }

    /// Records the end of a turn. Its text is stored even if its account has expired: turns that continue it need
    /// a chain without gaps.
    pub(super) fn record_end(&mut self, now: u64, end: TurnEnd) -> StoreResponse {
        let (turn, program) = (TurnId::of(&end.turn), ProgramId::of(&end.program));
        let previous = TurnId::of_optional(&end.previous_turn);
        self.accounts.settle(now, program, turn, end.tokens);
        if !end.server.is_empty() {
            let server = self.servers.intern(&end.server);
            self.accounts.record_server(program, SessionId::of(&end.session), server);
        }
        let Some(record) = end.record else { return StoreResponse::Settled };
        let expires_at = now + end.retention_ms.min(DAY_MS);
        if !self.stored.contains(turn) {
            // a chain with a gap would be returned as if it were complete
            if previous.is_some_and(|previous| !self.stored.contains(previous)) {
                return StoreResponse::PreviousTurnUnknown;
            }
            let (text, bytes) = self.stored.write_text(&record);
            let server = self.servers.intern(&end.server);
            self.stored.insert(turn, StoredTurn { text, bytes, server, previous, expires_at });
            self.stored.extend(previous, expires_at);
        }
        self.stored.extend(Some(turn), expires_at);
        StoreResponse::Settled
    }

    /// Settles and deletes what has expired by the store's clock.
    pub(super) fn expire(&mut self, now: u64) {
        self.accounts.expire(now);
        self.stored.expire(now);
    }
}
