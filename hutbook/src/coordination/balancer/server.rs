//! What one edge believes of one server.

use super::Outcome;
use crate::constants::*;
use std::collections::{HashMap, VecDeque};

/// What a server said of its load, and this edge's own part of it then.
struct ToldLoad {
    at: u64,
    running: u32,
    waiting: u32,
    own: u32,
}

/// One edge's belief about one server.
#[derive(Default)]
pub(super) struct ServerState {
    pub(super) addr: String,
    pub(super) zone: String,
    /// Requests that it runs at once.
    pub(super) slots: u32,
    /// This edge's requests under way there.
    pub(super) in_flight: u32,
    /// Drawn from its name: orders servers that are alike.
    pub(super) salt: u64,
    /// Requests a second that this edge may send while the server is cold; None: it is warm.
    pub(super) cold_rate: Option<u32>,
    sent_while_cold: VecDeque<u64>,
    told_load: Option<ToldLoad>,
    /// Failures in a row.
    pub(super) failures: u32,
    /// ms. Until when it comes last, after a failure.
    pub(super) out_until: u64,
    /// Prompt parts believed to be kept there, with when they were used last.
    cached_parts: HashMap<u64, u64>,
    /// Another server answered in its place.
    pub(super) is_replaced: bool,
}

impl ServerState {
    pub(super) fn new(salt: u64) -> ServerState {
        ServerState { salt, ..ServerState::default() }
    }

    /// Requests there, as far as is known here.
    pub(super) fn load(&self, now: u64) -> f64 {
        match &self.told_load {
            Some(told) if now < told.at + PASS_SAID_MS => {
                let others = (told.running + told.waiting).saturating_sub(told.own);
                f64::from(others + self.in_flight)
            }
            _ => f64::from(self.in_flight),
        }
    }

    /// Cold servers are bound over any second, not by the second of a clock.
    pub(super) fn may_send(&self, now: u64) -> bool {
        let Some(rate) = self.cold_rate else { return true };
        let lately = self.sent_while_cold.iter().filter(|sent| **sent + 1_000 + DRIFT_MS > now).count();
        lately < rate as usize
    }

    /// Tokens of a prompt that it must still read: a part counts as kept only if every part before it is.
    pub(super) fn unread_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let kept = parts.iter().take_while(|(part, _)| self.cached_parts.contains_key(part)).count();
        parts[kept..].iter().map(|(_, tokens)| tokens).sum()
    }

    pub(super) fn cached_parts(&self) -> usize {
        self.cached_parts.len()
    }

    /// A request goes out to it; at most `max_parts` prompt parts are remembered.
    pub(super) fn note_sent(&mut self, now: u64, parts: &[(u64, u32)], max_parts: usize) {
        self.in_flight += 1;
        if self.cold_rate.is_some() {
            self.sent_while_cold.push_back(now);
            while self.sent_while_cold.front().is_some_and(|sent| sent + 2_000 < now) {
                self.sent_while_cold.pop_front();
            }
        }
        for (part, _) in parts {
            self.cached_parts.insert(*part, now);
        }
        self.forget_oldest_parts(max_parts);
    }

    pub(super) fn note_load(&mut self, now: u64, running: u32, waiting: u32) {
        self.told_load = Some(ToldLoad { at: now, running, waiting, own: self.in_flight });
    }

    /// A request has left it.
    pub(super) fn note_outcome(&mut self, now: u64, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Success => (self.failures, self.out_until) = (0, 0),
            Outcome::WrongServer => self.is_replaced = true,
            // full for the moment: others first
            Outcome::TurnedAway => self.out_until = self.out_until.max(now + PASS_OUT_MS / 4),
            Outcome::Failed => {
                self.failures += 1;
                self.out_until = now + (PASS_OUT_MS << self.failures.min(5)).min(PASS_OUT_MOST_MS);
            }
            Outcome::Cancelled => {}
        }
    }

    /// Down to three quarters of `most` where there are more, so that it is seldom done.
    pub(super) fn forget_oldest_parts(&mut self, most: usize) {
        if self.cached_parts.len() <= most {
            return;
        }
        let mut used_at: Vec<u64> = self.cached_parts.values().copied().collect();
        used_at.sort_unstable();
        let surplus = used_at.len() - most * 3 / 4;
        let oldest_kept = used_at[surplus - 1];
        self.cached_parts.retain(|_, at| *at > oldest_kept);
        self.cached_parts.shrink_to(most);
    }
}
