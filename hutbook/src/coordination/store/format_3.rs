//! Decodes turns and accounts from snapshots up to disk format 3, in which they are keyed by name.

use super::accounts::{Account, Accounts, LastServer, Reservation};
use super::ids::{ProgramId, SessionId, TurnId};
use super::messages::TurnRecord;
use super::servers::ServerNames;
use super::stored_turns::{StoredTurn, StoredTurns};
use super::turns::Turns;
use crate::constants::*;
use crate::state::compressed_text::CompressedText;
use crate::state::snapshot_data::SnapshotReader;
use minicbor::decode;

/// Number of fields of that format: accounts, stored turns, expiry times, bytes of texts.
pub(super) const FIELDS: u64 = 4;

messages! {
    struct OldReservation {
        #[n(0)] turn: String,
        #[n(1)] edge: u64,
        #[n(2)] cap: u64,
        #[n(3)] until: u64,
    }
    struct OldLastServer {
        #[n(0)] session: String,
        #[n(1)] server: String,
    }
    struct OldAccount {
        #[n(0)] spent: u64,
        #[n(1)] used_at: u64,
        #[n(2)] reservations: Vec<OldReservation>,
        #[n(3)] settled_turns: Vec<String>,
        #[n(4)] last_servers: Vec<OldLastServer>,
    }
    struct OldStoredTurn {
        #[n(0)] said: CompressedText,
        #[n(1)] answer: CompressedText,
        #[n(2)] server: String,
        #[n(3)] previous: String,
        #[n(4)] expires_at: u64,
    }
}

impl OldReservation {
    fn convert(self) -> Reservation {
        Reservation { turn: TurnId::of(&self.turn), edge: self.edge, cap: self.cap, until: self.until }
    }
}

impl OldAccount {
    /// Its expiry time stays the same: edges of that version didn't send a retention time.
    fn convert(self, servers: &mut ServerNames) -> Account {
        let last_server = |last: OldLastServer| LastServer {
            session: SessionId::of(&last.session),
            server: servers.intern(&last.server),
        };
        Account {
            spent: self.spent,
            retention_ms: DEFAULT_ACCOUNT_RETENTION_MS,
            expires_at: self.used_at + DEFAULT_ACCOUNT_RETENTION_MS,
            reservations: self.reservations.into_iter().map(OldReservation::convert).collect::<Box<[_]>>().into_vec(),
            last_servers: self.last_servers.into_iter().map(last_server).collect::<Box<[_]>>().into_vec(),
        }
    }
}

impl OldStoredTurn {
    /// Moves the texts to disk.
    fn convert(
        self,
        turn: String,
        stored: &mut StoredTurns,
        servers: &mut ServerNames,
    ) -> Result<StoredTurn, decode::Error> {
        let text = |text: &CompressedText| text.text().ok_or_else(|| decode::Error::message("stored text is corrupt"));
        let (input, answer) = (text(&self.said)?, text(&self.answer)?);
        let (text, bytes) = stored.write_text(&TurnRecord { turn, input, answer, stored: None });
        let (server, previous) = (servers.intern(&self.server), TurnId::of_optional(&self.previous));
        Ok(StoredTurn { text, bytes, server, previous, expires_at: self.expires_at })
    }
}

/// Decodes what follows the array header of the turns, item by item.
pub(super) fn read(reader: &mut SnapshotReader, clock: u64) -> Result<Turns, decode::Error> {
    let mut servers = ServerNames::default();
    let mut accounts = Accounts::default();
    for _ in 0..reader.count(|d| d.map())? {
        let program: String = reader.item()?;
        let mut old: OldAccount = reader.item()?;
        for turn in std::mem::take(&mut old.settled_turns) {
            accounts.restore_settled(TurnId::of(&turn), clock + SETTLED_TURN_RETENTION_MS);
        }
        accounts.restore_account(ProgramId::of(&program), old.convert(&mut servers));
    }
    let mut stored = StoredTurns::default();
    for _ in 0..reader.count(|d| d.map())? {
        let turn: String = reader.item()?;
        let old: OldStoredTurn = reader.item()?;
        let id = TurnId::of(&turn);
        let converted = old.convert(turn, &mut stored, &mut servers)?;
        stored.insert(id, converted);
    }
    // expiry times and the bytes of texts are derived from the rest
    reader.read(|d| d.skip())?;
    reader.read(|d| d.skip())?;
    Ok(Turns { accounts, stored, servers })
}
