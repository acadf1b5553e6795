//! The tree of stored turns, which other turns can continue.

use super::expiry::ExpiryQueue;
use super::ids::TurnId;
use super::measured::{HeapBytes, MeasuredMap};
use super::messages::TurnRecord;
use super::servers::{ServerName, ServerNames};
use crate::constants::*;
use crate::state::entry::to_bytes;
use crate::state::snapshot_data::SnapshotReader;
use crate::state::texts::{TextLog, TextOp, TextPlace};
use minicbor::decode;
use minicbor::encode::{self, Encoder, Write};

/// A stored turn, which other turns can continue.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredTurn {
    /// Place of its encoded record, which includes the turn's name.
    pub(super) text: TextPlace,
    /// Size of its input and answer, in bytes.
    pub(super) bytes: u32,
    /// The server where it ran.
    pub(super) server: ServerName,
    pub(super) previous: Option<TurnId>,
    /// In milliseconds on the store's clock. Never before that of any turn that continues it.
    pub(super) expires_at: u64,
}

impl HeapBytes for StoredTurn {
    /// Its text is on disk.
    fn heap_bytes(&self) -> usize {
        0
    }
}

/// All stored turns of a store group, of all programs.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct StoredTurns {
    turns: MeasuredMap<TurnId, StoredTurn>,
    /// One entry for each turn. It is rescheduled only when it is due, not with each extension.
    expiry_queue: ExpiryQueue<TurnId>,
    /// Size of all inputs and answers, in bytes.
    text_bytes: u64,
    /// Allocates the places of texts on disk.
    text_log: TextLog,
    /// Changes of the segments that have not been taken by `take_text_ops` yet.
    text_ops: Vec<TextOp>,
}

impl StoredTurns {
    pub(super) fn len(&self) -> usize {
        self.turns.len()
    }

    /// Size of all inputs and answers, in bytes.
    pub(super) fn text_bytes(&self) -> u64 {
        self.text_bytes
    }

    /// Bytes that the texts take on disk, including deleted ones in segments that are still in use.
    pub(super) fn disk_bytes(&self) -> u64 {
        self.text_log.disk_bytes()
    }

    /// Returns the segments in use, with the length of each in bytes.
    pub(super) fn segments(&self) -> Vec<(u32, u32)> {
        self.text_log.segments().collect()
    }

    /// Returns the places of all texts.
    pub(super) fn texts(&self) -> impl Iterator<Item = TextPlace> + '_ {
        self.turns.iter().map(|(_, stored)| stored.text)
    }

    /// Takes the changes of the segments since the last call, in order.
    pub(super) fn take_text_ops(&mut self) -> Vec<TextOp> {
        std::mem::take(&mut self.text_ops)
    }

    /// Allocates a place for a turn's record and adds the write to the pending changes. Also returns the size of the
    /// record's input and answer.
    pub(super) fn write_text(&mut self, record: &TurnRecord) -> (TextPlace, u32) {
        let text = self.text_log.append(to_bytes(record).into(), &mut self.text_ops);
        (text, (record.input.len() + record.answer.len()) as u32)
    }

    /// Memory that the index takes, in bytes.
    pub(super) fn index_bytes(&self) -> usize {
        self.turns.bytes(STATE_TURN_BYTES)
    }

    pub(super) fn get(&self, turn: TurnId) -> Option<&StoredTurn> {
        self.turns.get(&turn)
    }

    pub(super) fn contains(&self, turn: TurnId) -> bool {
        self.turns.contains_key(&turn)
    }

    /// Returns the chain that ends with this turn, newest first.
    pub(super) fn chain(&self, turn: Option<TurnId>) -> impl Iterator<Item = (TurnId, &StoredTurn)> {
        let find = |turn: TurnId| self.turns.get(&turn).map(|stored| (turn, stored));
        std::iter::successors(turn.and_then(find), move |(_, stored)| stored.previous.and_then(find))
    }

    /// Extends the expiry of a turn and its chain to `until`, at least.
    pub(super) fn extend(&mut self, turn: Option<TurnId>, until: u64) {
        let mut next = turn;
        while let Some(turn) = next {
            // the turns before it expire no sooner than it does
            if self.get(turn).is_none_or(|stored| stored.expires_at >= until) {
                return;
            }
            next = self
                .turns
                .update(&turn, |stored| {
                    stored.expires_at = until;
                    stored.previous
                })
                .flatten();
        }
    }

    /// Stores a turn that isn't stored yet and whose chain is. The caller extends the chain's expiry by `extend`.
    pub(super) fn insert(&mut self, turn: TurnId, stored: StoredTurn) {
        self.text_bytes += u64::from(stored.bytes);
        self.expiry_queue.schedule(stored.expires_at, turn);
        self.turns.insert(turn, stored);
    }

    /// Deletes what has expired by the store's clock.
    pub(super) fn expire(&mut self, now: u64) {
        while let Some(turn) = self.expiry_queue.pop_due(now) {
            match self.get(turn).map(|stored| stored.expires_at) {
                Some(at) if at > now => self.expiry_queue.schedule(at, turn),
                Some(_) => self.remove(turn),
                None => {}
            }
        }
    }

    fn remove(&mut self, turn: TurnId) {
        if let Some(stored) = self.turns.remove(&turn) {
            self.text_bytes -= u64::from(stored.bytes);
            self.text_log.forget(&stored.text, &mut self.text_ops);
        }
    }

    /// Encodes the stored turns for a snapshot.
    pub(super) fn write<W: Write>(&self, e: &mut Encoder<W>) -> Result<(), encode::Error<W::Error>> {
        e.array(2)?.map(self.turns.len() as u64)?;
        for (turn, stored) in self.turns.iter() {
            e.encode(turn)?.array(5)?.encode(stored.text)?.encode(stored.bytes)?;
            e.encode(&stored.server)?.encode(stored.previous)?.encode(stored.expires_at)?;
        }
        e.encode(&self.text_log)?.ok()
    }

    /// Decodes what `write` wrote, one turn at a time.
    pub(super) fn read(reader: &mut SnapshotReader, servers: &mut ServerNames) -> Result<StoredTurns, decode::Error> {
        let mut turns = StoredTurns::default();
        reader.count(|d| d.array())?;
        for _ in 0..reader.count(|d| d.map())? {
            let turn = reader.item()?;
            reader.count(|d| d.array())?;
            let (text, bytes) = (reader.item()?, reader.item()?);
            let server: String = reader.item()?;
            let server = servers.intern(&server);
            turns
                .insert(turn, StoredTurn { text, bytes, server, previous: reader.item()?, expires_at: reader.item()? });
        }
        turns.text_log = reader.item()?;
        Ok(turns)
    }

    /// Called when this state has replaced another: segments that it does not use can be deleted.
    pub(super) fn retain_segments(&mut self) {
        let segments = self.text_log.segments().map(|(segment, _)| segment).collect();
        self.text_ops.insert(0, TextOp::RetainSegments(segments));
    }
}
