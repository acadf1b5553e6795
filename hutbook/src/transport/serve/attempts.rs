//! The attempts of one request at this edge: whether another may follow, and how long it may wait.

use super::environment::Environment;
use super::records::ended;
use super::request::Request;
use crate::constants::{DISPATCH_WINDOW_MS, MAX_ATTEMPTS, MAX_UNSENT_TRIES, SETTLE_MARGIN_MS};
use crate::coordination::edge::Edge;
use crate::coordination::store::{JobOutcome, JobResult, Program};

pub(super) struct Attempts {
    /// Distinguishes this request from another one with the same key.
    pub(super) nonce: u64,
    /// Number of the attempt that is reserved, or will be next.
    pub(super) attempt: u32,
    /// Number of attempts that were sent or may have been sent.
    pub(super) sent: u32,
    /// Whether the previous attempt was never sent.
    pub(super) unsent: bool,
    /// Deadline of the program, in milliseconds on this edge's clock.
    pub(super) deadline: u64,
    /// Start of the program as found at lookup, which identifies its creation.
    pub(super) since: u64,
    /// When the current reservation was requested, in milliseconds on this edge's clock; None before the first one.
    pub(super) reserved_at: Option<u64>,
}

impl Attempts {
    pub(super) fn new<G: Environment>(environment: &G, program: &Program, deadline: u64) -> Attempts {
        let (nonce, since) = (environment.random_u64(), program.created_index);
        Attempts { nonce, attempt: 0, sent: 0, unsent: false, deadline, since, reserved_at: None }
    }

    /// Returns until when the next attempt may wait for a slot, in milliseconds on this edge's clock.
    ///
    /// The store ends a reservation as in doubt `DISPATCH_WINDOW_MS` plus the run time after it was committed, which is
    /// later than when it was requested. The wait ends before that, with enough time remaining to record the true end.
    pub(super) fn wait_until(&self, run_ms: u64) -> u64 {
        let Some(reserved_at) = self.reserved_at else { return self.deadline };
        let to_record = if self.unsent { DISPATCH_WINDOW_MS } else { SETTLE_MARGIN_MS };
        self.deadline.min(reserved_at + DISPATCH_WINDOW_MS + run_ms - to_record)
    }

    /// Returns how long a run that starts now may last, in milliseconds, so that time remains to record its end.
    pub(super) fn run_ms(&self, route_ms: u64, now: u64) -> u64 {
        let remaining = self.deadline.saturating_sub(now).saturating_sub(SETTLE_MARGIN_MS);
        route_ms.min(remaining).max(1)
    }

    /// Returns whether a request that was sent may be retried on another server, and if so advances to the next
    /// attempt.
    pub(super) fn retry(&mut self, edge: &Edge, request: &Request, now: u64) -> bool {
        let repeatable = !request.route.at_most_once && self.sent < MAX_ATTEMPTS;
        let allowed = repeatable && self.has_time(now) && edge.take_retry();
        self.advance(allowed, false)
    }

    /// Returns whether a request that was certainly never sent may go to another server, which repeats no work; if so
    /// advances to the next attempt.
    pub(super) fn retry_unsent(&mut self, now: u64) -> bool {
        let allowed = self.attempt - self.sent < MAX_UNSENT_TRIES && self.has_time(now);
        self.advance(allowed, true)
    }

    fn has_time(&self, now: u64) -> bool {
        now + SETTLE_MARGIN_MS < self.deadline
    }

    fn advance(&mut self, allowed: bool, unsent: bool) -> bool {
        if allowed {
            (self.attempt, self.unsent) = (self.attempt + 1, unsent);
        }
        allowed
    }

    /// Returns the end of a request for which no server was left. It counts as refused only if it was never sent.
    pub(super) fn unserved_end(&self, code: &str) -> JobResult {
        let outcome = if self.sent > 0 { JobOutcome::Failed } else { JobOutcome::Refused };
        ended(outcome, code, String::new(), 0)
    }
}
