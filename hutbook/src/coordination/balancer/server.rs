//! One edge's state of one server.

use super::Outcome;
use crate::constants::*;
use crate::coordination::fleet_health::{ServerReport, Verdict};
use std::collections::{HashMap, VecDeque};

/// Load that a server reported, and this edge's own part of it at that time.
struct ReportedLoad {
    at: u64,
    running: u32,
    waiting: u32,
    own: u32,
}

/// A request whose answer has not started yet.
struct Waiting {
    ticket: u64,
    /// Time from which it counts as stalled, in milliseconds.
    stalls_at: u64,
}

/// The part of the fleet digest that concerns a server.
#[derive(Default)]
struct FleetState {
    at: u64,
    /// Requests of other edges in flight there.
    others: u32,
    verdict: Verdict,
}

/// Observations of this edge since its last report.
#[derive(Default)]
struct Unreported {
    failed: u32,
    succeeded: u32,
    /// Sum over the succeeded requests of their latency relative to similar requests, 1.0 being equal.
    slowness: f32,
}

/// One edge's state of one server.
#[derive(Default)]
pub(super) struct ServerState {
    pub(super) addr: String,
    pub(super) zone: String,
    /// Number of requests that it runs concurrently.
    pub(super) slots: u32,
    /// This edge's requests in flight there.
    pub(super) in_flight: u32,
    /// Hash of its name: orders otherwise equal servers.
    pub(super) salt: u64,
    /// Requests per second that this edge may send while the server is cold; `None` if it is warm.
    pub(super) cold_rate: Option<u32>,
    sent_while_cold: VecDeque<u64>,
    reported_load: Option<ReportedLoad>,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// Time until which it is avoided after a failure, in milliseconds.
    pub(super) avoided_until: u64,
    /// Prompt parts assumed to be cached there, with the time of their last use.
    cached_parts: HashMap<u64, u64>,
    /// A different server answered at its address.
    pub(super) is_replaced: bool,
    waiting: Vec<Waiting>,
    fleet: FleetState,
    unreported: Unreported,
    /// Requests in flight at this edge's last report.
    reported_in_flight: u32,
}

impl ServerState {
    pub(super) fn new(salt: u64) -> ServerState {
        ServerState { salt, ..ServerState::default() }
    }

    /// Returns the estimated number of requests there: from the server's own report, else from the fleet digest, else
    /// this edge's own requests. The digest's load decays as its requests end, each after about `took_ms`. It is not
    /// used if requests end before the next report: load that is already over would only send all edges to the same
    /// servers.
    pub(super) fn load(&self, now: u64, uses_fleet: bool, took_ms: f64) -> f64 {
        let others = match &self.reported_load {
            Some(reported) if now < reported.at + REPORTED_LOAD_MS => {
                f64::from((reported.running + reported.waiting).saturating_sub(reported.own))
            }
            _ if uses_fleet && self.has_fresh_digest(now) && took_ms > LEASE_RENEW_INTERVAL_MS as f64 => {
                let age_ms = (now.saturating_sub(self.fleet.at) + MEAN_FLEET_DIGEST_AGE_MS) as f64;
                f64::from(self.fleet.others) * (-age_ms / took_ms.max(1.0)).exp()
            }
            _ => 0.0,
        };
        others + f64::from(self.in_flight)
    }

    fn has_fresh_digest(&self, now: u64) -> bool {
        now < self.fleet.at + FLEET_DIGEST_VALID_MS
    }

    /// Returns the fleet's verdict while the digest is fresh.
    pub(super) fn verdict(&self, now: u64) -> Verdict {
        if self.has_fresh_digest(now) {
            self.fleet.verdict
        } else {
            Verdict::Sound
        }
    }

    /// Records the fleet digest; `load` includes this edge's own requests as it last reported them.
    pub(super) fn note_fleet(&mut self, now: u64, load: u8, verdict: Verdict) {
        let others = u32::from(load).saturating_sub(self.reported_in_flight);
        self.fleet = FleetState { at: now, others, verdict };
    }

    /// Whether a request has waited here for longer than similar requests take.
    pub(super) fn is_stalled(&self, now: u64) -> bool {
        self.waiting.iter().any(|waiting| now >= waiting.stalls_at)
    }

    /// Returns the observations since the last report; `None` if there are none.
    pub(super) fn report(&mut self, now: u64, name: &str) -> Option<ServerReport> {
        let observed = std::mem::take(&mut self.unreported);
        self.reported_in_flight = self.in_flight;
        let stalled = self.waiting.iter().filter(|waiting| now >= waiting.stalls_at).count() as u32;
        if self.in_flight + stalled + observed.failed + observed.succeeded == 0 {
            return None;
        }
        let slowness = (observed.slowness * 100.0) as u32;
        let Unreported { failed, succeeded, .. } = observed;
        Some(ServerReport { server: name.into(), in_flight: self.in_flight, stalled, failed, succeeded, slowness })
    }

    /// Whether the cold rate permits another request. It applies to any period of one second, not to clock seconds.
    pub(super) fn may_send(&self, now: u64) -> bool {
        let Some(rate) = self.cold_rate else { return true };
        let recent = self.sent_while_cold.iter().filter(|sent| **sent + 1_000 + CLOCK_DRIFT_MS > now).count();
        recent < rate as usize
    }

    /// Returns the number of prompt tokens that are not cached: a part counts as cached only if all parts before it
    /// are.
    pub(super) fn unread_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let cached = parts.iter().take_while(|(part, _)| self.cached_parts.contains_key(part)).count();
        parts[cached..].iter().map(|(_, tokens)| tokens).sum()
    }

    pub(super) fn cached_parts(&self) -> usize {
        self.cached_parts.len()
    }

    /// Records that a request is sent, which counts as stalled from `stalls_at` on. At most `max_parts` prompt parts
    /// are recorded.
    pub(super) fn note_sent(&mut self, now: u64, ticket: u64, stalls_at: u64, parts: &[(u64, u32)], max_parts: usize) {
        self.in_flight += 1;
        self.waiting.push(Waiting { ticket, stalls_at });
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
        self.reported_load = Some(ReportedLoad { at: now, running, waiting, own: self.in_flight });
    }

    /// Records that the first byte of an answer arrived, after `slowness` times the latency of similar requests.
    pub(super) fn note_first_byte(&mut self, ticket: u64, slowness: f32) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.unreported.succeeded += 1;
        self.unreported.slowness += slowness;
    }

    /// Records that a request has ended.
    pub(super) fn note_outcome(&mut self, now: u64, ticket: u64, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let was_stalled = self.waiting.iter().any(|waiting| waiting.ticket == ticket && now >= waiting.stalls_at);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        let is_lost = matches!(outcome, Outcome::Failed | Outcome::Overtaken);
        if is_lost || outcome == Outcome::Cancelled && was_stalled {
            self.unreported.failed += 1;
        }
        match outcome {
            Outcome::Success => (self.failures, self.avoided_until) = (0, 0),
            Outcome::WrongServer => self.is_replaced = true,
            // temporarily full: other servers are preferred
            Outcome::TurnedAway => self.avoided_until = self.avoided_until.max(now + AVOID_AFTER_FAILURE_MS / 4),
            Outcome::Failed | Outcome::Overtaken => {
                self.failures += 1;
                self.avoided_until =
                    now + (AVOID_AFTER_FAILURE_MS << self.failures.min(5)).min(MAX_AVOID_AFTER_FAILURE_MS);
            }
            Outcome::Cancelled => {}
        }
    }

    /// Evicts the oldest records down to three quarters of `max_parts` if there are more, so that eviction is rare.
    pub(super) fn forget_oldest_parts(&mut self, max_parts: usize) {
        if self.cached_parts.len() <= max_parts {
            return;
        }
        let mut used_at: Vec<u64> = self.cached_parts.values().copied().collect();
        used_at.sort_unstable();
        let surplus = used_at.len() - max_parts * 3 / 4;
        let oldest_kept = used_at[surplus - 1];
        self.cached_parts.retain(|_, at| *at > oldest_kept);
        self.cached_parts.shrink_to(max_parts);
    }
}
