//! The record of what was decided for one request: how long each phase took, where it was sent, what became of it.
//!
//! Logged as event `decision` at the request's end, for the share of requests that the policy names and for every one
//! that failed; off, and nothing is gathered, while that share is 0.

use crate::coordination::balancer::Outcome;
use crate::transport::logs::{event, Field};
use log::Level;
use std::cell::RefCell;
use std::fmt::Write;

#[derive(Default)]
struct Phases {
    reserved_ms: u64,
    first_byte_ms: u64,
    settled_ms: u64,
    sends: String,
    ending: &'static str,
}

/// Filled as the request goes on.
pub(super) struct DecisionRecord {
    /// Of the requests that end well, of which a record is logged; 0: none at all.
    share: f64,
    phases: RefCell<Phases>,
}

/// What is known of the request from its headers.
pub(super) struct Arrival<'a> {
    pub(super) id: &'a str,
    pub(super) route: &'a str,
    pub(super) came: u64,
    /// ms. Until its deadline, as it came in.
    pub(super) left_ms: u64,
    /// ms. Until its program should be over, where that is said.
    pub(super) program_left_ms: Option<u64>,
    pub(super) has_turn: bool,
}

impl DecisionRecord {
    pub(super) fn new(share: f64) -> DecisionRecord {
        DecisionRecord { share, phases: RefCell::default() }
    }

    pub(super) fn is_on(&self) -> bool {
        self.share > 0.0
    }

    /// The turn's reservation has been answered, so long after the request came.
    pub(super) fn note_reserved(&self, ms: u64) {
        self.phases.borrow_mut().reserved_ms = ms;
    }

    /// The first byte for the client came from a server, so long after the request came.
    pub(super) fn note_first_byte(&self, ms: u64) {
        self.phases.borrow_mut().first_byte_ms = ms;
    }

    /// The store agreed on the turn's end, so long after the stream's.
    pub(super) fn note_settled(&self, ms: u64) {
        self.phases.borrow_mut().settled_ms = ms;
    }

    /// One send has ended.
    pub(super) fn note_send(&self, server: &str, after_ms: u64, took_ms: u64, outcome: Outcome) {
        if !self.is_on() {
            return;
        }
        let mut phases = self.phases.borrow_mut();
        let separator = if phases.sends.is_empty() { "" } else { " " };
        // writing to a string can't fail
        let _ = write!(phases.sends, "{separator}{server}@{after_ms}+{took_ms}:{outcome:?}");
    }

    pub(super) fn note_ending(&self, ending: &'static str) {
        self.phases.borrow_mut().ending = ending;
    }

    /// Logs the record, where records are on; a request that ended well only if `draw` falls into the share.
    pub(super) fn log(&self, arrival: &Arrival, now: u64, draw: u64) {
        let phases = self.phases.borrow();
        let is_drawn = (draw >> 11) as f64 / (1u64 << 53) as f64 <= self.share;
        if phases.ending == "served" && !is_drawn {
            return;
        }
        let fields: [Field; 11] = [
            ("request", arrival.id.into()),
            ("route", arrival.route.into()),
            ("is_turn", u64::from(arrival.has_turn).into()),
            ("took_ms", (now - arrival.came).into()),
            ("left_ms", arrival.left_ms.into()),
            ("program_left_ms", arrival.program_left_ms.unwrap_or(0).into()),
            ("reserved_ms", phases.reserved_ms.into()),
            ("first_byte_ms", phases.first_byte_ms.into()),
            ("settled_ms", phases.settled_ms.into()),
            ("sends", phases.sends.as_str().into()),
            ("ending", phases.ending.into()),
        ];
        event(Level::Info, "decision", &fields);
    }
}
