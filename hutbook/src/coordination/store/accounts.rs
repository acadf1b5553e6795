//! Token accounts of the programs of proxied requests: tokens that were output, and reservations of running turns.
//!
//! An end counts only while its turn's reservation is open: removing the reservation and counting the
//! tokens is one step, so no end counts twice, however often or late it arrives. A reservation that has
//! expired is settled at its cap. The end of a turn without a reservation counts nothing and creates no
//! account; it is recorded for a while, so that an admission request that it overtook, or a copy of one,
//! reserves nothing.

use super::expiry::ExpiryQueue;
use super::ids::{ProgramId, SessionId, TurnId};
use super::measured::{block_bytes, HeapBytes, MeasuredMap};
use super::servers::{ServerName, ServerNames};
use crate::constants::*;
use crate::state::snapshot_data::SnapshotReader;
use minicbor::decode;
use minicbor::encode::{self, Encode, Encoder, Write};
use std::collections::btree_map::{BTreeMap, Entry};

messages! {
    /// Tokens reserved for a turn that may still be running.
    #[derive(Copy)]
    pub(super) struct Reservation {
        #[n(0)] pub(super) turn: TurnId,
        #[n(1)] pub(super) edge: u64,
        #[n(2)] pub(super) cap: u64,
        /// When the turn can no longer be running, in milliseconds on the store's clock, like all times here.
        #[n(3)] pub(super) until: u64,
    }
}

/// The server where a session's last turn ran.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LastServer {
    pub(super) session: SessionId,
    pub(super) server: ServerName,
}

/// The token account of one program.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Account {
    /// Tokens that its settled turns have output.
    pub(super) spent: u64,
    /// How long it is retained after its last use, in milliseconds: the maximum that any of its turns asked for.
    pub(super) retention_ms: u64,
    /// When it is deleted, unless it is used or a reservation is open.
    pub(super) expires_at: u64,
    pub(super) reservations: Vec<Reservation>,
    /// In the order of use: the session that ran last is the last one.
    pub(super) last_servers: Vec<LastServer>,
}

impl Account {
    /// Returns the tokens that have been output or may still be.
    pub(super) fn committed(&self) -> u64 {
        self.reservations.iter().fold(self.spent, |s, o| s.saturating_add(o.cap))
    }

    /// Returns the open reservation of a turn.
    pub(super) fn reservation(&self, turn: TurnId) -> Option<&Reservation> {
        self.reservations.iter().find(|o| o.turn == turn)
    }

    fn touch(&mut self, now: u64) {
        self.expires_at = self.expires_at.max(now + self.retention_ms);
    }

    /// Closes a reservation and counts the tokens that the turn output. Returns false if it isn't open.
    fn settle(&mut self, turn: TurnId, tokens: u64) -> bool {
        let Some(at) = self.reservations.iter().position(|o| o.turn == turn) else { return false };
        self.reservations.remove(at);
        self.spent = self.spent.saturating_add(tokens);
        if self.reservations.is_empty() {
            // most accounts are idle: free the allocation
            self.reservations = Vec::new();
        }
        true
    }

    fn record_server(&mut self, session: SessionId, server: ServerName) {
        self.last_servers.retain(|r| r.session != session);
        if self.last_servers.len() >= MAX_SESSIONS_PER_ACCOUNT {
            self.last_servers.remove(0);
        }
        // avoids spare capacity: most programs have one session, and few have many
        self.last_servers.reserve_exact(1);
        self.last_servers.push(LastServer { session, server });
    }

    /// Returns the server where this session ran last, or else its program.
    pub(super) fn last_server(&self, session: SessionId) -> Option<&str> {
        let own = self.last_servers.iter().find(|r| r.session == session);
        own.or(self.last_servers.last()).map(|r| r.server.as_str())
    }
}

impl HeapBytes for Account {
    fn heap_bytes(&self) -> usize {
        block_bytes(self.reservations.capacity() * size_of::<Reservation>())
            + block_bytes(self.last_servers.capacity() * size_of::<LastServer>())
    }
}

/// All accounts of a store group, and the recently settled turns.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Accounts {
    accounts: MeasuredMap<ProgramId, Account>,
    /// Settled turns, and when each entry is deleted. Keyed by turn alone: ids are unique among all programs.
    settled: BTreeMap<TurnId, u64>,
    reservations_due: ExpiryQueue<(ProgramId, TurnId)>,
    /// One entry for each account. It is rescheduled only when it is due, not with each use.
    accounts_due: ExpiryQueue<ProgramId>,
    settled_due: ExpiryQueue<TurnId>,
}

impl Accounts {
    pub(super) fn len(&self) -> usize {
        self.accounts.len()
    }

    pub(super) fn get(&self, program: ProgramId) -> Option<&Account> {
        self.accounts.get(&program)
    }

    /// Reports whether this turn was settled recently, or its end arrived before its admission request.
    pub(super) fn is_settled(&self, turn: TurnId) -> bool {
        self.settled.contains_key(&turn)
    }

    /// Extends the account's expiry, whatever the answer to the request is: a program that was stopped at its
    /// budget stays stopped as long as it keeps asking.
    pub(super) fn touch(&mut self, now: u64, program: ProgramId, retention_ms: u64) {
        self.accounts.update(&program, |account| {
            account.retention_ms = account.retention_ms.max(retention_ms);
            account.touch(now);
        });
    }

    /// Opens a reservation, and creates the account with a program's first one.
    pub(super) fn reserve(&mut self, now: u64, program: ProgramId, retention_ms: u64, reservation: Reservation) {
        if !self.accounts.contains_key(&program) {
            self.accounts.insert(program, Account::default());
            self.accounts_due.schedule(now + retention_ms, program);
        }
        self.touch(now, program, retention_ms);
        self.accounts.update(&program, |account| {
            account.reservations.reserve_exact(1);
            account.reservations.push(reservation);
        });
        self.reservations_due.schedule(reservation.until, (program, reservation.turn));
    }

    /// Ends a turn: its tokens count only if its reservation is open. Either way the turn gets no further
    /// reservation for as long as messages can be delayed.
    pub(super) fn settle(&mut self, now: u64, program: ProgramId, turn: TurnId, tokens: u64) {
        let counted = self.accounts.update(&program, |account| account.settle(turn, tokens));
        if counted == Some(true) {
            self.accounts.update(&program, |account| account.touch(now));
        }
        if let Entry::Vacant(entry) = self.settled.entry(turn) {
            entry.insert(now + SETTLED_TURN_RETENTION_MS);
            self.settled_due.schedule(now + SETTLED_TURN_RETENTION_MS, turn);
        }
    }

    /// Records the server where a session ran. Does not create an account.
    pub(super) fn record_server(&mut self, program: ProgramId, session: SessionId, server: ServerName) {
        self.accounts.update(&program, |account| account.record_server(session, server));
    }

    /// Settles and deletes what has expired by the store's clock.
    pub(super) fn expire(&mut self, now: u64) {
        while let Some((program, turn)) = self.reservations_due.pop_due(now) {
            let reservation = self.accounts.get(&program).and_then(|account| account.reservation(turn)).copied();
            if let Some(r) = reservation {
                // its edge is lost: the turn may have output all tokens that it reserved
                self.settle(now, program, turn, r.cap);
            }
        }
        while let Some(turn) = self.settled_due.pop_due(now) {
            self.settled.remove(&turn);
        }
        while let Some(program) = self.accounts_due.pop_due(now) {
            let Some(account) = self.accounts.get(&program) else { continue };
            // open reservations will count when they end
            let open_until = account.reservations.iter().map(|o| o.until).max().unwrap_or(0);
            let expires_at = account.expires_at.max(open_until);
            if expires_at > now {
                self.accounts_due.schedule(expires_at, program);
            } else {
                self.accounts.remove(&program);
            }
        }
    }

    /// Restores an account from a snapshot.
    pub(super) fn restore_account(&mut self, program: ProgramId, account: Account) {
        account.reservations.iter().for_each(|o| self.reservations_due.schedule(o.until, (program, o.turn)));
        self.accounts_due.schedule(account.expires_at, program);
        self.accounts.insert(program, account);
    }

    /// Restores a settled turn from a snapshot.
    pub(super) fn restore_settled(&mut self, turn: TurnId, forgotten_at: u64) {
        if self.settled.insert(turn, forgotten_at).is_none() {
            self.settled_due.schedule(forgotten_at, turn);
        }
    }

    /// Decodes what `encode` wrote, one account at a time.
    pub(super) fn read(reader: &mut SnapshotReader, servers: &mut ServerNames) -> Result<Accounts, decode::Error> {
        let mut accounts = Accounts::default();
        reader.count(|d| d.array())?;
        for _ in 0..reader.count(|d| d.map())? {
            let program = reader.item()?;
            let account = Account::read(reader, servers)?;
            accounts.restore_account(program, account);
        }
        for _ in 0..reader.count(|d| d.map())? {
            let (turn, forgotten_at) = (reader.item()?, reader.item()?);
            accounts.restore_settled(turn, forgotten_at);
        }
        Ok(accounts)
    }

    /// Memory that the accounts take, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.accounts.bytes(STATE_ACCOUNT_BYTES)
            + self.settled.len() * STATE_SETTLED_BYTES
            + self.reservations_due.bytes(STATE_RESERVATION_BYTES)
    }
}

impl Account {
    fn read(reader: &mut SnapshotReader, servers: &mut ServerNames) -> Result<Account, decode::Error> {
        reader.count(|d| d.array())?;
        let mut account = Account {
            spent: reader.item()?,
            retention_ms: reader.item()?,
            expires_at: reader.item()?,
            ..Account::default()
        };
        account.reservations = reader.item()?;
        for _ in 0..reader.count(|d| d.array())? {
            reader.count(|d| d.array())?;
            let session = reader.item()?;
            let server: String = reader.item()?;
            account.last_servers.push(LastServer { session, server: servers.intern(&server) });
        }
        account.reservations.shrink_to_fit();
        account.last_servers.shrink_to_fit();
        Ok(account)
    }
}

impl<C> Encode<C> for LastServer {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.array(2)?.encode(self.session)?.encode(&self.server)?.ok()
    }
}

impl<C> Encode<C> for Account {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.array(5)?.encode(self.spent)?.encode(self.retention_ms)?.encode(self.expires_at)?;
        e.encode(&self.reservations)?.encode(&self.last_servers)?.ok()
    }
}

impl<C> Encode<C> for Accounts {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.array(2)?.encode(&self.accounts)?.encode(&self.settled)?.ok()
    }
}
