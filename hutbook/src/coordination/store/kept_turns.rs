//! The tree of kept turns, that others go on from.

use super::expiry::ExpiryQueue;
use super::ids::TurnId;
use super::measured::{HeapBytes, MeasuredMap};
use super::messages::Link;
use super::servers::{ServerName, ServerNames};
use crate::constants::*;
use crate::state::entry::to_bytes;
use crate::state::snapshot_data::SnapshotReader;
use crate::state::texts::{TextLog, TextOp, TextPlace};
use minicbor::decode;
use minicbor::encode::{self, Encoder, Write};

/// A turn that others may go on from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KeptTurn {
    /// Of its link, encoded: with the turn's name.
    pub(super) text: TextPlace,
    /// bytes. Of what was said and answered.
    pub(super) bytes: u32,
    /// Where it ran.
    pub(super) server: ServerName,
    pub(super) before: Option<TurnId>,
    /// ms on the store's clock. Never sooner than that of any turn that goes on from it.
    pub(super) expires_at: u64,
}

impl HeapBytes for KeptTurn {
    /// Its text is on disk.
    fn heap_bytes(&self) -> usize {
        0
    }
}

/// All kept turns of a store group, whoever's program they are.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct KeptTurns {
    turns: MeasuredMap<TurnId, KeptTurn>,
    /// One entry a turn. An extension moves it on only once it has come.
    due: ExpiryQueue<TurnId>,
    /// bytes of all texts as they were told.
    text_bytes: u64,
    /// Where texts lie on disk.
    log: TextLog,
    /// What has become of them since it was last asked for.
    text_ops: Vec<TextOp>,
}

impl KeptTurns {
    pub(super) fn len(&self) -> usize {
        self.turns.len()
    }

    /// bytes. Of all texts as they were told.
    pub(super) fn text_bytes(&self) -> u64 {
        self.text_bytes
    }

    /// bytes. That the texts take on disk, with those that are named no more but share a segment.
    pub(super) fn disk_bytes(&self) -> u64 {
        self.log.disk_bytes()
    }

    /// Segments that are needed, and how many bytes each has.
    pub(super) fn segments(&self) -> Vec<(u32, u32)> {
        self.log.segments().collect()
    }

    /// Where the texts lie.
    pub(super) fn texts(&self) -> impl Iterator<Item = TextPlace> + '_ {
        self.turns.iter().map(|(_, kept)| kept.text)
    }

    /// Changes of the texts on disk since this was last asked, in order.
    pub(super) fn take_text_ops(&mut self) -> Vec<TextOp> {
        std::mem::take(&mut self.text_ops)
    }

    /// Puts a turn's link on the disk.
    pub(super) fn write_text(&mut self, link: &Link) -> (TextPlace, u32) {
        let text = self.log.append(to_bytes(link).into(), &mut self.text_ops);
        (text, (link.said.len() + link.answer.len()) as u32)
    }

    /// bytes that the index takes in memory.
    pub(super) fn index_bytes(&self) -> usize {
        self.turns.bytes(STATE_TURN_BYTES)
    }

    pub(super) fn get(&self, turn: TurnId) -> Option<&KeptTurn> {
        self.turns.get(&turn)
    }

    pub(super) fn contains(&self, turn: TurnId) -> bool {
        self.turns.contains_key(&turn)
    }

    /// The chain that ends with this turn, newest first.
    pub(super) fn chain(&self, turn: Option<TurnId>) -> impl Iterator<Item = (TurnId, &KeptTurn)> {
        let find = |turn: TurnId| self.turns.get(&turn).map(|kept| (turn, kept));
        std::iter::successors(turn.and_then(find), move |(_, kept)| kept.before.and_then(find))
    }

    /// Keeps a turn and its chain at least until then.
    pub(super) fn extend(&mut self, turn: Option<TurnId>, until: u64) {
        let mut next = turn;
        while let Some(turn) = next {
            // those before it stand at least as long as it does
            if self.get(turn).is_none_or(|kept| kept.expires_at >= until) {
                return;
            }
            next = self
                .turns
                .update(&turn, |kept| {
                    kept.expires_at = until;
                    kept.before
                })
                .flatten();
        }
    }

    /// Keeps a turn that isn't kept yet and whose chain stands; `extend` is what holds its chain as long.
    pub(super) fn insert(&mut self, turn: TurnId, kept: KeptTurn) {
        self.text_bytes += u64::from(kept.bytes);
        self.due.schedule(kept.expires_at, turn);
        self.turns.insert(turn, kept);
    }

    /// Forgets what the store's clock has passed.
    pub(super) fn pass_time(&mut self, now: u64) {
        while let Some(turn) = self.due.pop_due(now) {
            match self.get(turn).map(|kept| kept.expires_at) {
                Some(at) if at > now => self.due.schedule(at, turn),
                Some(_) => self.remove(turn),
                None => {}
            }
        }
    }

    fn remove(&mut self, turn: TurnId) {
        if let Some(kept) = self.turns.remove(&turn) {
            self.text_bytes -= u64::from(kept.bytes);
            self.log.forget(&kept.text, &mut self.text_ops);
        }
    }

    /// Encodes it for a snapshot.
    pub(super) fn write<W: Write>(&self, e: &mut Encoder<W>) -> Result<(), encode::Error<W::Error>> {
        e.array(2)?.map(self.turns.len() as u64)?;
        for (turn, kept) in self.turns.iter() {
            e.encode(turn)?.array(5)?.encode(kept.text)?.encode(kept.bytes)?;
            e.encode(&kept.server)?.encode(kept.before)?.encode(kept.expires_at)?;
        }
        e.encode(&self.log)?.ok()
    }

    /// Reads what `write` wrote, one turn after the other.
    pub(super) fn read(r: &mut SnapshotReader, servers: &mut ServerNames) -> Result<KeptTurns, decode::Error> {
        let mut turns = KeptTurns::default();
        r.count(|d| d.array())?;
        for _ in 0..r.count(|d| d.map())? {
            let turn = r.item()?;
            r.count(|d| d.array())?;
            let (text, bytes) = (r.item()?, r.item()?);
            let server: String = r.item()?;
            let server = servers.intern(&server);
            turns.insert(turn, KeptTurn { text, bytes, server, before: r.item()?, expires_at: r.item()? });
        }
        turns.log = r.item()?;
        Ok(turns)
    }

    /// This state has taken the place of another: segments that only the other named are needed no more.
    pub(super) fn retain_segments(&mut self) {
        let segments = self.log.segments().map(|(segment, _)| segment).collect();
        self.text_ops.insert(0, TextOp::RetainSegments(segments));
    }
}
