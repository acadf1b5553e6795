//! What a store group knows of work passed through: what each program has put out, the
//! turns that may be under way, and the turns that others go on from.

use super::store::{Link, StoreResponse, TurnEnd, TurnLeave};
use crate::constants::*;
use crate::state::kept_text::KeptText;
use crate::state::snapshot_data::{SnapshotReader, SnapshotWriter};
use minicbor::{decode, encode, Encoder};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;

messages! {
    /// A turn that may still put out tokens.
    struct Reserved {
        #[n(0)] turn: String,
        #[n(1)] edge: u64,
        #[n(2)] cap: u64,
        /// ms on the store's clock, as all times here. Then it can no longer be under way.
        #[n(3)] until: u64,
    }
    /// Where a line of turns ran last.
    struct Ran {
        #[n(0)] session: String,
        #[n(1)] server: String,
    }
    /// One program's account.
    #[derive(Default)]
    struct Ledger {
        #[n(0)] spent: u64,
        #[n(1)] used: u64,
        #[n(2)] open: Vec<Reserved>,
        /// Turns that are settled: neither reserves nor counts again. The oldest stand first.
        #[n(3)] ended: VecDeque<String>,
        /// The one that ran last stands last.
        #[n(4)] ran: Vec<Ran>,
    }
    /// A turn that others may go on from.
    struct Kept {
        #[n(0)] said: KeptText,
        #[n(1)] answer: KeptText,
        #[n(2)] server: String,
        #[n(3)] before: String,
        /// Never sooner than that of any turn that goes on from it.
        #[n(4)] forget: u64,
    }
    /// What is looked at when its time has come.
    enum Due {
        #[n(0)] Open { #[n(0)] program: String, #[n(1)] turn: String },
        #[n(1)] Kept(#[n(0)] String),
        #[n(2)] Ledger(#[n(0)] String),
    }
    #[derive(Default)]
    pub struct Turns {
        #[n(0)] ledgers: BTreeMap<String, Ledger>,
        /// By turn: ids never come again, whoever's program they are.
        #[n(1)] kept: BTreeMap<String, Kept>,
        /// One entry for each reservation, kept turn and ledger: use moves it on only once it has come.
        #[n(2)] due: BTreeMap<u64, Vec<Due>>,
        /// Of the texts kept.
        #[n(3)] bytes: u64,
        /// Of the texts as they lie in memory.
        #[cbor(skip)] stored: usize,
    }
}

impl Ledger {
    /// Handed out, or may be handed out yet.
    fn owed(&self) -> u64 {
        self.open.iter().fold(self.spent, |s, o| s.saturating_add(o.cap))
    }

    fn has_ended(&self, turn: &str) -> bool {
        self.ended.iter().any(|t| t == turn)
    }

    fn end(&mut self, turn: &str, tokens: u64) {
        self.open.retain(|o| o.turn != turn);
        self.spent = self.spent.saturating_add(tokens);
        // one that is asked for again later than this many others would count twice: never too little
        if self.ended.len() >= ENDED_KEPT {
            self.ended.pop_front();
        }
        self.ended.push_back(turn.to_string());
    }

    fn ran_at(&mut self, session: &str, server: &str) {
        self.ran.retain(|r| r.session != session);
        if self.ran.len() >= SESSIONS_KEPT {
            self.ran.remove(0);
        }
        self.ran.push(Ran { session: session.into(), server: server.into() });
    }

    fn last_server(&self, session: &str) -> Option<&str> {
        let own = self.ran.iter().find(|r| r.session == session);
        own.or(self.ran.last()).map(|r| r.server.as_str())
    }
}

impl Kept {
    fn size(&self) -> u64 {
        (self.said.len() + self.answer.len()) as u64
    }

    /// bytes. That its texts take in memory.
    fn stored(&self) -> usize {
        self.said.stored_len() + self.answer.stored_len()
    }
}

impl Turns {
    /// Encodes as `to_bytes` would, but shares the texts.
    pub fn write(&self, e: &mut Encoder<SnapshotWriter>) -> Result<(), encode::Error<Infallible>> {
        e.array(4)?.encode(&self.ledgers)?.map(self.kept.len() as u64)?;
        for (turn, kept) in &self.kept {
            e.str(turn)?.array(5)?;
            kept.said.write(e)?;
            kept.answer.write(e)?;
            e.encode(&kept.server)?.encode(&kept.before)?.encode(kept.forget)?;
        }
        e.encode(&self.due)?.encode(self.bytes)?.ok()
    }

    /// Reads what `write` or `to_bytes` wrote, one turn after the other.
    pub fn read(r: &mut SnapshotReader) -> Result<Turns, decode::Error> {
        r.count(|d| d.array())?;
        let mut turns = Turns { ledgers: r.item()?, ..Turns::default() };
        for _ in 0..r.count(|d| d.map())? {
            let turn = r.item()?;
            let kept: Kept = r.item()?;
            turns.stored += kept.stored();
            turns.kept.insert(turn, kept);
        }
        (turns.due, turns.bytes) = (r.item()?, r.item()?);
        Ok(turns)
    }

    /// bytes. That the texts take in memory.
    pub fn stored_bytes(&self) -> usize {
        self.stored
    }

    pub fn counts(&self) -> (usize, usize, u64) {
        (self.ledgers.len(), self.kept.len(), self.bytes)
    }

    pub fn has_account(&self, program: &str) -> bool {
        self.ledgers.contains_key(program)
    }

    fn note(&mut self, at: u64, d: Due) {
        self.due.entry(at).or_default().push(d);
    }

    fn ledger(&mut self, c: u64, program: &str) -> &mut Ledger {
        if !self.ledgers.contains_key(program) {
            self.note(c + LEDGER_MS, Due::Ledger(program.to_string()));
        }
        let l = self.ledgers.entry(program.to_string()).or_default();
        l.used = c;
        l
    }

    /// The chain that ends with this turn, newest first.
    fn chain<'a>(&'a self, turn: &'a str) -> impl Iterator<Item = (&'a str, &'a Kept)> {
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
        let known = self.ledgers.get(&l.program);
        // it came late: its end has been told already
        if known.is_some_and(|k| k.has_ended(&l.turn)) || self.kept.contains_key(&l.turn) {
            return StoreResponse::Busy(None);
        }
        let open = known.and_then(|k| k.open.iter().find(|o| o.turn == l.turn));
        match open.map(|o| o.edge) {
            // its answer was lost: the same again
            Some(e) if e == l.edge => return self.may(l, told),
            Some(_) => return StoreResponse::Busy(None),
            None => {}
        }
        if l.budget < u64::MAX && known.map_or(0, Ledger::owed) >= l.budget {
            // a program that still asks is still in use, or it would begin anew with nothing spent
            if let Some(k) = self.ledgers.get_mut(&l.program) {
                k.used = c;
            }
            return StoreResponse::TurnSpent;
        }
        if !l.before.is_empty() && !self.kept.contains_key(&l.before) {
            return StoreResponse::TurnUnknown;
        }
        // said before anything is promised: a store out of memory keeps nobody's promise
        if self.bytes >= TEXT_BYTES || (known.is_none() && self.ledgers.len() >= LEDGERS_KEPT) {
            return StoreResponse::Busy(None);
        }
        if !self.fits(l) {
            return StoreResponse::Busy(None);
        }
        let o = Reserved { turn: l.turn.clone(), edge: l.edge, cap: l.cap, until };
        self.ledger(c, &l.program).open.push(o);
        self.note(until, Due::Open { program: l.program.clone(), turn: l.turn.clone() });
        // the chain must still stand when this turn's own link comes
        self.extend(&l.before, until + l.retention_ms.min(DAY_MS));
        self.may(l, told)
    }

    /// Can its chain go out in one frame?
    fn fits(&self, l: &TurnLeave) -> bool {
        let sent = self.chain(&l.before).filter(|(t, _)| !l.have.iter().any(|h| h == t));
        sent.map(|(_, k)| k.size()).sum::<u64>() <= CHAIN_BYTES
    }

    fn may(&self, l: &TurnLeave, told: bool) -> StoreResponse {
        if !told {
            return StoreResponse::TurnMay { chain: vec![], server: String::new() };
        }
        let link = |(t, k): (&str, &Kept)| match l.have.iter().any(|h| h == t) {
            true => Some(Link { turn: t.into(), said: vec![], answer: vec![] }),
            false => Some(Link { turn: t.into(), said: k.said.text()?, answer: k.answer.text()? }),
        };
        // a text that can't be read any more is not told as another
        let Some(mut chain) = self.chain(&l.before).map(link).collect::<Option<Vec<Link>>>() else {
            return StoreResponse::Busy(None);
        };
        chain.reverse();
        // what it goes on from was read there
        let before = self.kept.get(&l.before).map(|k| k.server.as_str()).filter(|s| !s.is_empty());
        let ran = || self.ledgers.get(&l.program).and_then(|k| k.last_server(&l.session));
        StoreResponse::TurnMay { chain, server: before.or_else(ran).unwrap_or_default().into() }
    }

    pub fn end(&mut self, c: u64, e: TurnEnd) -> StoreResponse {
        let k = self.ledger(c, &e.program);
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
            let k = Kept {
                said: KeptText::new(link.said),
                answer: KeptText::new(link.answer),
                server: e.server,
                before: e.before,
                forget: 0,
            };
            self.bytes += k.size();
            self.stored += k.stored();
            self.kept.insert(e.turn.clone(), k);
            self.note(forget, Due::Kept(e.turn.clone()));
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

    fn pass(&mut self, c: u64, d: Due) {
        match &d {
            Due::Open { program, turn } => {
                let Some(k) = self.ledgers.get_mut(program) else { return };
                // its edge is gone: it may have handed out all that it reserved
                if let Some(cap) = k.open.iter().find(|o| o.turn == *turn).map(|o| o.cap) {
                    k.end(turn, cap);
                    k.used = c;
                }
            }
            Due::Kept(turn) => {
                let Some(at) = self.kept.get(turn).map(|k| k.forget) else { return };
                if at > c {
                    return self.note(at, d);
                }
                let k = self.kept.remove(turn).expect("just seen");
                self.bytes -= k.size();
                self.stored -= k.stored();
            }
            Due::Ledger(program) => {
                let Some(k) = self.ledgers.get(program) else { return };
                // what may be under way will count when it ends
                let at = if k.open.is_empty() { k.used + LEDGER_MS } else { c + LEDGER_MS };
                if at > c {
                    return self.note(at, d);
                }
                self.ledgers.remove(program);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::entry::to_bytes;
    use crate::state::snapshot_data::SnapshotData;
    use rstest::rstest;

    const RUN: u64 = 1_000;
    const KEEP: u64 = 60_000;

    fn leave(turn: &str, before: &str, budget: u64, cap: u64) -> TurnLeave {
        TurnLeave {
            turn: turn.into(),
            program: "p".into(),
            session: "s".into(),
            before: before.into(),
            budget,
            cap,
            edge: 1,
            run_ms: RUN,
            retention_ms: KEEP,
            have: vec![],
        }
    }

    fn end(turn: &str, before: &str, tokens: u64, kept: bool) -> TurnEnd {
        TurnEnd {
            turn: turn.into(),
            program: "p".into(),
            session: "s".into(),
            before: before.into(),
            edge: 1,
            tokens,
            server: format!("at-{turn}"),
            kept: kept.then(|| link(turn, true)),
            retention_ms: KEEP,
        }
    }

    fn link(turn: &str, texts: bool) -> Link {
        let text = |s: String| if texts { s.into_bytes() } else { vec![] };
        Link { turn: turn.into(), said: text(format!("said {turn}")), answer: text(format!("answer {turn}\n")) }
    }

    fn may(chain: Vec<Link>, server: &str) -> StoreResponse {
        StoreResponse::TurnMay { chain, server: server.into() }
    }

    #[test]
    fn a_budget_is_passed_by_one_cap_at_most() {
        // given a budget of 100 and turns of 40
        let mut t = Turns::default();
        for n in ["a", "b", "c"] {
            assert_eq!(t.leave(1, &leave(n, "", 100, 40), true), may(vec![], ""));
        }
        // when 120 are reserved, then no more get leave
        assert_eq!(t.leave(1, &leave("d", "", 100, 40), true), StoreResponse::TurnSpent);
        // when one put out less than it might, then there is room again
        assert_eq!(t.end(2, end("a", "", 10, false)), StoreResponse::Settled);
        assert_eq!(t.leave(2, &leave("d", "", 100, 40), true), may(vec![], "at-a"));
        assert_eq!(t.leave(2, &leave("e", "", 100, 40), true), StoreResponse::TurnSpent);
        // and another turn may state more
        assert_eq!(t.leave(2, &leave("e", "", u64::MAX, u64::MAX), true), may(vec![], "at-a"));
        assert_eq!(t.leave(2, &leave("f", "", u64::MAX, 1), true), may(vec![], "at-a"));
    }

    #[test]
    fn what_comes_twice_or_late_counts_once() {
        // given a turn whose answer was lost, so that its edge asks again
        let mut t = Turns::default();
        t.leave(1, &leave("a", "", 50, 40), true);
        assert_eq!(t.leave(2, &leave("a", "", 50, 40), true), may(vec![], ""));
        assert_eq!(t.ledgers["p"].owed(), 40);
        // another edge doesn't get leave for it
        assert_eq!(t.leave(2, &TurnLeave { edge: 2, ..leave("a", "", 50, 40) }, true), StoreResponse::Busy(None));
        // when it ends, twice, and its leave is asked for once more
        for _ in 0..2 {
            assert_eq!(t.end(3, end("a", "", 30, true)), StoreResponse::Settled);
        }
        assert_eq!(t.leave(4, &leave("a", "", 50, 40), true), StoreResponse::Busy(None));
        // then it counts once and nothing is reserved
        assert_eq!((t.ledgers["p"].owed(), t.ledgers["p"].open.len()), (30, 0));
        // and an end that overtook its leave leaves nothing reserved either
        assert_eq!(t.end(5, end("b", "", 0, false)), StoreResponse::Settled);
        assert_eq!(t.leave(5, &leave("b", "", 50, 40), true), StoreResponse::Busy(None));
    }

    #[test]
    fn a_vanished_edges_turn_is_settled_at_its_cap_and_kept_all_the_same() {
        // given a turn whose time has passed without an end
        let mut t = Turns::default();
        t.leave(1, &leave("a", "", 100, 40), true);
        t.pass_time(1 + DISPATCH_MS + RUN - 1);
        assert_eq!(t.ledgers["p"].open.len(), 1);
        t.pass_time(1 + DISPATCH_MS + RUN);
        assert_eq!((t.ledgers["p"].spent, t.ledgers["p"].open.len()), (40, 0));
        // when its end comes yet
        let late = 1 + DISPATCH_MS + RUN + 500;
        assert_eq!(t.end(late, end("a", "", 7, true)), StoreResponse::Settled);
        // then what was settled stays, and others may go on from it
        assert_eq!(t.ledgers["p"].spent, 40);
        assert_eq!(t.leave(late, &leave("b", "a", 100, 40), true), may(vec![link("a", true)], "at-a"));
    }

    #[test]
    fn a_chain_comes_oldest_first_without_what_the_edge_holds() {
        // given a tree of turns: c goes on from b, and d, of another program, from a
        let mut t = Turns::default();
        t.end(1, end("a", "", 1, true));
        t.end(1, end("b", "a", 1, true));
        t.end(1, TurnEnd { program: "q".into(), session: "z".into(), ..end("d", "a", 1, true) });
        // when an edge that holds a asks to go on
        let l = TurnLeave { have: vec!["a".into()], ..leave("c", "b", 100, 1) };
        assert_eq!(t.leave(2, &l, true), may(vec![link("a", false), link("b", true)], "at-b"));
        let l = TurnLeave { program: "q".into(), ..leave("e", "d", 100, 1) };
        assert_eq!(t.leave(2, &l, true), may(vec![link("a", true), link("d", true)], "at-d"));
        // then a turn that nobody kept is said to be unknown, and the texts stand once
        assert_eq!(t.leave(2, &leave("f", "nobody", 100, 1), true), StoreResponse::TurnUnknown);
        assert_eq!(t.bytes, ["said aanswer a\n"; 3].concat().len() as u64);
        // and one without a turn before goes to where its line ran last, or else its program
        t.end(3, TurnEnd { session: "s2".into(), ..end("g", "", 1, false) });
        assert_eq!(t.leave(3, &leave("h", "", 100, 1), true), may(vec![], "at-b"));
        assert_eq!(
            t.leave(3, &TurnLeave { session: "s3".into(), ..leave("i", "", 100, 1) }, true),
            may(vec![], "at-g")
        );
    }

    #[test]
    fn a_chain_stands_as_long_as_its_youngest_turn() {
        // given a turn, and one that goes on from it much later
        let mut t = Turns::default();
        t.end(1, end("a", "", 1, true));
        let c = KEEP - 10;
        t.pass_time(c);
        assert!(matches!(t.leave(c, &leave("b", "a", 100, 1), true), StoreResponse::TurnMay { .. }));
        // when the first one's own time is over before the second ends, and that later than anybody expected
        let late = c + DISPATCH_MS + 5 * RUN;
        t.pass_time(late);
        assert_eq!(t.end(late, end("b", "a", 1, true)), StoreResponse::Settled);
        // then both stand for as long as the second
        t.pass_time(late + KEEP - 1);
        let l = TurnLeave { retention_ms: 0, ..leave("c", "b", 100, 1) };
        let both = may(vec![link("a", true), link("b", true)], "at-b");
        assert_eq!(t.clone().leave(late + KEEP - 1, &l, true), both);
        // and not for ever, nor does an end that comes after that keep a chain with a gap
        t.pass_time(late + KEEP);
        assert_eq!((t.counts().1, t.bytes), (0, 0));
        assert_eq!(t.end(late + KEEP, end("c", "b", 1, true)), StoreResponse::TurnUnknown);
        assert_eq!(t.counts().1, 0);
    }

    #[test]
    fn accounts_go_once_they_are_unused_and_nothing_is_left_behind() {
        // given a program with a settled turn and an open one
        let mut t = Turns::default();
        t.end(1, end("a", "", 1, true));
        t.leave(1, &TurnLeave { run_ms: 2 * LEDGER_MS, ..leave("b", "", 100, 1) }, true);
        // when it is unused for long, then the open one holds its account
        t.pass_time(1 + LEDGER_MS);
        assert_eq!(t.counts().0, 1);
        t.pass_time(1 + 2 * LEDGER_MS + DISPATCH_MS);
        assert_eq!((t.counts().0, t.ledgers["p"].spent), (1, 2));
        // and it goes a while after that
        t.pass_time(1 + 4 * LEDGER_MS);
        assert_eq!(t, Turns::default());
    }

    #[test]
    fn memory_is_bounded_for_one_program_and_for_all() {
        // given a program with very many turns and lines
        let mut t = Turns::default();
        for i in 0..3 * ENDED_KEPT {
            t.end(1, TurnEnd { session: i.to_string(), ..end(&format!("t{i}"), "", 1, false) });
        }
        let k = &t.ledgers["p"];
        assert_eq!((k.ended.len(), k.ran.len(), k.spent), (ENDED_KEPT, SESSIONS_KEPT, 3 * ENDED_KEPT as u64));
        // when the texts have reached their bound, then nobody gets leave until some are forgotten
        t.bytes = TEXT_BYTES;
        assert_eq!(t.leave(1, &leave("x", "", 1 << 20, 1), true), StoreResponse::Busy(None));
        t.bytes = 0;
        // and a chain that fits into no frame isn't begun, unless the edge holds it
        let big = Link { turn: "y".into(), said: vec![b'x'; CHAIN_BYTES as usize], answer: vec![b'x'] };
        t.end(1, TurnEnd { kept: Some(big), ..end("y", "", 1, false) });
        assert_eq!(t.leave(1, &leave("x", "y", 1 << 20, 1), true), StoreResponse::Busy(None));
        let l = TurnLeave { have: vec!["y".into()], ..leave("x", "y", 1 << 20, 1) };
        assert_eq!(t.leave(1, &l, true), may(vec![link("y", false)], "at-y"));
    }

    #[rstest]
    fn a_capture_holds_it_all(#[values(true, false)] told: bool) {
        // given turns of every kind
        let mut t = Turns::default();
        t.end(1, end("a", "", 1, true));
        t.end(1, end("b", "a", 1, true));
        t.leave(1, &leave("c", "b", 100, 40), told);
        // when they are written and read, then they are the same, and go on the same
        let written = SnapshotData::from(to_bytes(&t));
        let mut u = Turns::read(&mut written.drain()).unwrap();
        assert_eq!(t, u);
        for x in [&mut t, &mut u] {
            x.pass_time(50_000);
            x.end(50_000, end("c", "b", 3, true));
        }
        assert_eq!(t, u);
        assert_eq!(t.counts().1, 3);
    }
}
