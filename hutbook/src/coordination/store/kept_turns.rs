//! The tree of kept turns, that others go on from.

use super::expiry::ExpiryQueue;
use super::ids::TurnId;
use super::measured::{block_bytes, HeapBytes, MeasuredMap};
use super::messages::Link;
use super::servers::{ServerName, ServerNames};
use crate::constants::*;
use crate::state::kept_text::KeptText;
use crate::state::snapshot_data::{SnapshotReader, SnapshotWriter};
use minicbor::{decode, encode, Encoder};
use std::convert::Infallible;

/// A turn's texts, with its name in front of them.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TurnText {
    pub(super) name: Box<str>,
    pub(super) said: KeptText,
    pub(super) answer: KeptText,
}

impl TurnText {
    pub(super) fn new(name: &str, link: Link) -> TurnText {
        TurnText { name: name.into(), said: KeptText::new(link.said), answer: KeptText::new(link.answer) }
    }

    /// bytes. Of the texts as they were told.
    pub(super) fn len(&self) -> u64 {
        (self.said.len() + self.answer.len()) as u64
    }

    /// bytes that it takes in memory.
    fn memory_bytes(&self) -> usize {
        let text = |text: &KeptText| match text.stored_len() {
            length if length >= STATE_SHARED_LEAST => block_bytes(length) + STATE_SHARED_BYTES,
            length => block_bytes(length),
        };
        block_bytes(size_of::<TurnText>()) + block_bytes(self.name.len()) + text(&self.said) + text(&self.answer)
    }

    /// As a link of a chain, with or without its texts. None where a text can't be read any more.
    pub(super) fn link(&self, texts: bool) -> Option<Link> {
        let turn = self.name.to_string();
        match texts {
            true => Some(Link { turn, said: self.said.text()?, answer: self.answer.text()? }),
            false => Some(Link { turn, said: vec![], answer: vec![] }),
        }
    }
}

/// A turn that others may go on from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KeptTurn {
    pub(super) text: Box<TurnText>,
    /// Where it ran.
    pub(super) server: ServerName,
    pub(super) before: Option<TurnId>,
    /// ms on the store's clock. Never sooner than that of any turn that goes on from it.
    pub(super) expires_at: u64,
}

impl HeapBytes for KeptTurn {
    /// Its text is counted by itself.
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
    /// bytes of all texts as they lie in memory.
    text_memory: usize,
}

impl KeptTurns {
    pub(super) fn len(&self) -> usize {
        self.turns.len()
    }

    /// bytes. Of all texts as they were told.
    pub(super) fn text_bytes(&self) -> u64 {
        self.text_bytes
    }

    /// bytes. Of all texts as they lie in memory.
    pub(super) fn text_memory(&self) -> usize {
        self.text_memory
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
        self.text_bytes += kept.text.len();
        self.text_memory += kept.text.memory_bytes();
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
            self.text_bytes -= kept.text.len();
            self.text_memory -= kept.text.memory_bytes();
        }
    }

    /// Encodes it for a snapshot, which shares the texts.
    pub(super) fn write(&self, e: &mut Encoder<SnapshotWriter>) -> Result<(), encode::Error<Infallible>> {
        e.map(self.turns.len() as u64)?;
        for (turn, kept) in self.turns.iter() {
            e.encode(turn)?.array(6)?.str(&kept.text.name)?;
            kept.text.said.write(e)?;
            kept.text.answer.write(e)?;
            e.encode(&kept.server)?.encode(kept.before)?.encode(kept.expires_at)?;
        }
        Ok(())
    }

    /// Reads what `write` wrote, one turn after the other.
    pub(super) fn read(r: &mut SnapshotReader, servers: &mut ServerNames) -> Result<KeptTurns, decode::Error> {
        let mut turns = KeptTurns::default();
        for _ in 0..r.count(|d| d.map())? {
            let turn = r.item()?;
            r.count(|d| d.array())?;
            let name: String = r.item()?;
            let text = TurnText { name: name.into(), said: r.item()?, answer: r.item()? };
            let server: String = r.item()?;
            let kept = KeptTurn {
                text: Box::new(text),
                server: servers.intern(&server),
                before: r.item()?,
                expires_at: r.item()?,
            };
            turns.insert(turn, kept);
        }
        Ok(turns)
    }
}
