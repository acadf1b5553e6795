//! What each program of work passed through has put out, and may yet.

use crate::constants::*;
use std::collections::VecDeque;

messages! {
    /// A turn that may still put out tokens.
    pub(super) struct Reservation {
        #[n(0)] pub(super) turn: String,
        #[n(1)] pub(super) edge: u64,
        #[n(2)] pub(super) cap: u64,
        /// ms on the store's clock, as all times here. Then it can no longer be under way.
        #[n(3)] pub(super) until: u64,
    }
    /// Where a line of turns ran last.
    pub(super) struct LastServer {
        #[n(0)] pub(super) session: String,
        #[n(1)] pub(super) server: String,
    }
    /// One program's account.
    #[derive(Default)]
    pub(super) struct Account {
        #[n(0)] pub(super) spent: u64,
        #[n(1)] pub(super) used: u64,
        #[n(2)] pub(super) open: Vec<Reservation>,
        /// Turns that are settled: neither reserves nor counts again. The oldest stand first.
        #[n(3)] pub(super) ended: VecDeque<String>,
        /// The one that ran last stands last.
        #[n(4)] pub(super) ran: Vec<LastServer>,
    }
}

impl Account {
    /// Handed out, or may be handed out yet.
    pub(super) fn owed(&self) -> u64 {
        self.open.iter().fold(self.spent, |s, o| s.saturating_add(o.cap))
    }

    pub(super) fn has_ended(&self, turn: &str) -> bool {
        self.ended.iter().any(|t| t == turn)
    }

    pub(super) fn end(&mut self, turn: &str, tokens: u64) {
        self.open.retain(|o| o.turn != turn);
        self.spent = self.spent.saturating_add(tokens);
        // one that is asked for again later than this many others would count twice: never too little
        if self.ended.len() >= ENDED_KEPT {
            self.ended.pop_front();
        }
        self.ended.push_back(turn.to_string());
    }

    pub(super) fn ran_at(&mut self, session: &str, server: &str) {
        self.ran.retain(|r| r.session != session);
        if self.ran.len() >= SESSIONS_KEPT {
            self.ran.remove(0);
        }
        self.ran.push(LastServer { session: session.into(), server: server.into() });
    }

    pub(super) fn last_server(&self, session: &str) -> Option<&str> {
        let own = self.ran.iter().find(|r| r.session == session);
        own.or(self.ran.last()).map(|r| r.server.as_str())
    }
}
