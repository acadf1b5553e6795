//! Work passed through: the turns that may be under way, and the tree of turns that others
//! go on from.

use super::accounts::{Account, Reservation};
use super::messages::{Link, StoreResponse, TurnEnd, TurnLeave};
use crate::constants::*;
use crate::state::entry::to_bytes;
use crate::state::kept_text::KeptText;
use crate::state::snapshot_data::SnapshotReader;
use crate::state::texts::{TextLog, TextOp, TextPlace};
use minicbor::decode;
use std::collections::BTreeMap;

messages! {
    /// A turn that others may go on from.
    struct KeptTurn {
        /// Of its link, encoded.
        #[n(0)] text: TextPlace,
        /// bytes. Of what was said and answered.
        #[n(1)] bytes: u32,
        #[n(2)] server: String,
        #[n(3)] before: String,
        /// Never sooner than that of any turn that goes on from it.
        #[n(4)] forget: u64,
    }
    /// A kept turn as it stood in states of format 3 and before: with its texts.
    struct KeptTurnWithTexts {
        #[n(0)] said: KeptText,
        #[n(1)] answer: KeptText,
        #[n(2)] server: String,
        #[n(3)] before: String,
        #[n(4)] forget: u64,
    }
    /// What is looked at when its time has come.
    enum DueItem {
        #[n(0)] Open { #[n(0)] program: String, #[n(1)] turn: String },
        #[n(1)] Turn(#[n(0)] String),
        #[n(2)] Account(#[n(0)] String),
    }
    #[derive(Default)]
    pub struct Turns {
        #[n(0)] pub(super) accounts: BTreeMap<String, Account>,
        /// By turn: ids never come again, whoever's program they are.
        #[n(1)] kept: BTreeMap<String, KeptTurn>,
        /// One entry for each reservation, kept turn and account: use moves it on only once it has come.
        #[n(2)] due: BTreeMap<u64, Vec<DueItem>>,
        /// Of the texts kept.
        #[n(3)] pub(super) bytes: u64,
        /// Where texts lie on disk.
        #[n(4)] texts: TextLog,
        /// What has become of them since it was last asked for.
        #[cbor(skip)] text_ops: Vec<TextOp>,
    }
}

/// Fields of `Turns` before texts lay on disk.
const FIELDS_WITH_TEXTS: u64 = 4;

impl Turns {
    /// Reads what was encoded, one turn after the other.
    pub fn read(r: &mut SnapshotReader) -> Result<Turns, decode::Error> {
        let fields = r.count(|d| d.array())?;
        let mut turns = Turns { accounts: r.item()?, ..Turns::default() };
        for _ in 0..r.count(|d| d.map())? {
            let turn: String = r.item()?;
            let kept = match fields {
                FIELDS_WITH_TEXTS => turns.put_on_disk(&turn, r.item()?)?,
                _ => r.item()?,
            };
            turns.kept.insert(turn, kept);
        }
        (turns.due, turns.bytes) = (r.item()?, r.item()?);
        if fields > FIELDS_WITH_TEXTS {
            turns.texts = r.item()?;
        }
        // what a state before this one named is needed no more
        let segments = turns.texts.segments().map(|(segment, _)| segment).collect();
        turns.text_ops.insert(0, TextOp::RetainSegments(segments));
        Ok(turns)
    }

    /// A turn of a state that held texts: its own go to the disk.
    fn put_on_disk(&mut self, turn: &str, kept: KeptTurnWithTexts) -> Result<KeptTurn, decode::Error> {
        let text = |text: &KeptText| text.text().ok_or_else(|| decode::Error::message("a text is damaged"));
        let link = Link { turn: turn.into(), said: text(&kept.said)?, answer: text(&kept.answer)?, stored: None };
        let mut turn = self.write(&link);
        (turn.server, turn.before, turn.forget) = (kept.server, kept.before, kept.forget);
        Ok(turn)
    }

    /// Writes a link to the disk.
    fn write(&mut self, link: &Link) -> KeptTurn {
        let text = self.texts.append(to_bytes(link).into(), &mut self.text_ops);
        let bytes = (link.said.len() + link.answer.len()) as u32;
        KeptTurn { text, bytes, server: String::new(), before: String::new(), forget: 0 }
    }

    /// Changes of the texts on disk since this was last asked, in order.
    pub fn take_text_ops(&mut self) -> Vec<TextOp> {
        std::mem::take(&mut self.text_ops)
    }

    /// Where the texts of kept turns lie.
    pub fn kept_texts(&self) -> impl Iterator<Item = TextPlace> + '_ {
        self.kept.values().map(|kept| kept.text)
    }

    /// Segments that are needed, and how many bytes each has.
    pub fn segments(&self) -> Vec<(u32, u32)> {
        self.texts.segments().collect()
    }

    /// bytes. That the texts take on disk.
    pub fn disk_bytes(&self) -> u64 {
        self.texts.disk_bytes()
    }

    /// Is nothing remembered?
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.kept.is_empty() && self.due.is_empty() && self.bytes == 0
    }

    pub fn counts(&self) -> (usize, usize, u64) {
        (self.accounts.len(), self.kept.len(), self.bytes)
    }

    fn note(&mut self, at: u64, d: DueItem) {
        self.due.entry(at).or_default().push(d);
    }

    fn account(&mut self, c: u64, program: &str) -> &mut Account {
        if !self.accounts.contains_key(program) {
            self.note(c + LEDGER_MS, DueItem::Account(program.to_string()));
        }
        let l = self.accounts.entry(program.to_string()).or_default();
        l.used = c;
        l
    }

    /// The chain that ends with this turn, newest first.
    fn chain<'a>(&'a self, turn: &'a str) -> impl Iterator<Item = (&'a str, &'a KeptTurn)> {
        let first = self.kept.get_key_value(turn);
        std::iter::successors(first, |(_, k)| self.kept.get_key_value(&k.before)).map(|(t, k)| (t.as_str(), k))
    }

    /// Keeps a turn and its chain for so long.
    fn extend(&mut self, turn: &str, upto: u64) {
        let mut turn = turn.to_string();
        while let Some(k) = self.kept.get_mut(&turn) {
            // those before it stand at least as long as it does
            if k.forget >= upto {
                return;
            }
            k.forget = upto;
            turn = k.before.clone();
        }
    }

    /// `told` where somebody waits for the answer: the others needn't copy the texts.
    pub fn leave(&mut self, c: u64, l: &TurnLeave, told: bool) -> StoreResponse {
        let until = c + DISPATCH_MS + l.run_ms.min(DAY_MS);
        let known = self.accounts.get(&l.program);
        // it came late: its end has been told already
        if known.is_some_and(|k| k.has_ended(&l.turn)) || self.kept.contains_key(&l.turn) {
            return StoreResponse::Busy;
        }
        let open = known.and_then(|k| k.open.iter().find(|o| o.turn == l.turn));
        match open.map(|o| o.edge) {
            // its answer was lost: the same again
            Some(e) if e == l.edge => return self.may(l, told),
            Some(_) => return StoreResponse::Busy,
            None => {}
        }
        if l.budget < u64::MAX && known.map_or(0, Account::owed) >= l.budget {
            // a program that still asks is still in use, or it would begin anew with nothing spent
            if let Some(k) = self.accounts.get_mut(&l.program) {
                k.used = c;
            }
            return StoreResponse::TurnSpent;
        }
        if !l.before.is_empty() && !self.kept.contains_key(&l.before) {
            return StoreResponse::TurnUnknown;
        }
        // said before anything is promised: a store out of memory keeps nobody's promise
        if known.is_none() && self.accounts.len() >= LEDGERS_KEPT {
            return StoreResponse::Busy;
        }
        if !self.fits(l) {
            return StoreResponse::Busy;
        }
        let o = Reservation { turn: l.turn.clone(), edge: l.edge, cap: l.cap, until };
        self.account(c, &l.program).open.push(o);
        self.note(until, DueItem::Open { program: l.program.clone(), turn: l.turn.clone() });
        // the chain must still stand when this turn's own link comes
        self.extend(&l.before, until + l.retention_ms.min(DAY_MS));
        self.may(l, told)
    }

    /// Can its chain go out in one frame?
    fn fits(&self, l: &TurnLeave) -> bool {
        let sent = self.chain(&l.before).filter(|(t, _)| !l.have.iter().any(|h| h == t));
        sent.map(|(_, k)| u64::from(k.bytes)).sum::<u64>() <= CHAIN_BYTES
    }

    fn may(&self, l: &TurnLeave, told: bool) -> StoreResponse {
        if !told {
            return StoreResponse::TurnMay { chain: vec![], server: String::new() };
        }
        let link = |(turn, kept): (&str, &KeptTurn)| {
            let stored = (!l.have.iter().any(|had| had == turn)).then_some(kept.text);
            Link { turn: turn.into(), said: vec![], answer: vec![], stored }
        };
        let mut chain: Vec<Link> = self.chain(&l.before).map(link).collect();
        chain.reverse();
        // what it goes on from was read there
        let before = self.kept.get(&l.before).map(|k| k.server.as_str()).filter(|s| !s.is_empty());
        let ran = || self.accounts.get(&l.program).and_then(|k| k.last_server(&l.session));
        StoreResponse::TurnMay { chain, server: before.or_else(ran).unwrap_or_default().into() }
    }

    pub fn end(&mut self, c: u64, e: TurnEnd) -> StoreResponse {
        let k = self.account(c, &e.program);
        // once only: a repeat counts nothing, nor does a turn that was settled at its full cap
        if !k.has_ended(&e.turn) {
            k.end(&e.turn, e.tokens);
        }
        if !e.server.is_empty() {
            k.ran_at(&e.session, &e.server);
        }
        let Some(link) = e.kept else { return StoreResponse::Settled };
        let forget = c + e.retention_ms.min(DAY_MS);
        if !self.kept.contains_key(&e.turn) {
            // a chain with a gap would be told as if it were whole
            if !e.before.is_empty() && !self.kept.contains_key(&e.before) {
                return StoreResponse::TurnUnknown;
            }
            let kept = KeptTurn { server: e.server, before: e.before, ..self.write(&link) };
            self.bytes += u64::from(kept.bytes);
            self.kept.insert(e.turn.clone(), kept);
            self.note(forget, DueItem::Turn(e.turn.clone()));
        }
        self.extend(&e.turn, forget);
        StoreResponse::Settled
    }

    /// Settles and forgets what the store's clock has passed.
    pub fn pass_time(&mut self, c: u64) {
        while self.due.first_key_value().is_some_and(|(at, _)| *at <= c) {
            let (_, due) = self.due.pop_first().expect("just seen");
            due.into_iter().for_each(|d| self.pass(c, d));
        }
    }

    fn pass(&mut self, c: u64, d: DueItem) {
        match &d {
            DueItem::Open { program, turn } => {
                let Some(k) = self.accounts.get_mut(program) else { return };
                // its edge is gone: it may have handed out all that it reserved
                if let Some(cap) = k.open.iter().find(|o| o.turn == *turn).map(|o| o.cap) {
                    k.end(turn, cap);
                    k.used = c;
                }
            }
            DueItem::Turn(turn) => {
                let Some(at) = self.kept.get(turn).map(|k| k.forget) else { return };
                if at > c {
                    return self.note(at, d);
                }
                let k = self.kept.remove(turn).expect("just seen");
                self.bytes -= u64::from(k.bytes);
                self.texts.forget(&k.text, &mut self.text_ops);
            }
            DueItem::Account(program) => {
                let Some(k) = self.accounts.get(program) else { return };
                // what may be under way will count when it ends
                let at = if k.open.is_empty() { k.used + LEDGER_MS } else { c + LEDGER_MS };
                if at > c {
                    return self.note(at, d);
                }
                self.accounts.remove(program);
            }
        }
    }
}
