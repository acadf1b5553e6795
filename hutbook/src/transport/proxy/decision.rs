//! The record of the decisions made for one request: how long each phase took, where it was sent and how it ended.
//!
//! Logged as event `decision` at the request's end, for the share of requests that the policy names and for every
//! failed one. While that share is 0, nothing is collected.

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

/// Filled in as the request proceeds.
pub(super) struct DecisionRecord {
    /// Share of successful requests for which a record is logged; 0 turns all records off.
    share: f64,
    phases: RefCell<Phases>,
}

/// What is known about the request from its headers.
pub(super) struct Arrival<'a> {
    pub(super) id: &'a str,
    pub(super) route: &'a str,
    pub(super) arrived_at: u64,
    /// Time until its deadline when it arrived, in milliseconds.
    pub(super) remaining_ms: u64,
    /// Remaining time of its program when it arrived, in milliseconds, if the client gave it.
    pub(super) program_remaining_ms: Option<u64>,
    pub(super) has_turn: bool,
}

impl DecisionRecord {
    pub(super) fn new(share: f64) -> DecisionRecord {
        DecisionRecord { share, phases: RefCell::default() }
    }

    pub(super) fn is_on(&self) -> bool {
        self.share > 0.0
    }

    /// Notes that the turn's reservation was answered `ms` after the request arrived.
    pub(super) fn note_reserved(&self, ms: u64) {
        self.phases.borrow_mut().reserved_ms = ms;
    }

    /// Notes that a server's first byte for the client arrived `ms` after the request.
    pub(super) fn note_first_byte(&self, ms: u64) {
        self.phases.borrow_mut().first_byte_ms = ms;
    }

    /// Notes that the store committed the turn's end `ms` after the stream's end.
    pub(super) fn note_settled(&self, ms: u64) {
        self.phases.borrow_mut().settled_ms = ms;
    }

    /// Notes that one send has ended.
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

    /// Logs the record; that of a successful request only if the random number `random_bits` falls within the share.
    pub(super) fn log(&self, arrival: &Arrival, now: u64, random_bits: u64) {
        let phases = self.phases.borrow();
        let is_sampled = (random_bits >> 11) as f64 / (1u64 << 53) as f64 <= self.share;
        if phases.ending == "served" && !is_sampled {
            return;
        }
        let fields: [Field; 11] = [
            ("request", arrival.id.into()),
            ("route", arrival.route.into()),
            ("is_turn", u64::from(arrival.has_turn).into()),
            ("took_ms", (now - arrival.arrived_at).into()),
            ("left_ms", arrival.remaining_ms.into()),
            ("program_left_ms", arrival.program_remaining_ms.unwrap_or(0).into()),
            ("reserved_ms", phases.reserved_ms.into()),
            ("first_byte_ms", phases.first_byte_ms.into()),
            ("settled_ms", phases.settled_ms.into()),
            ("sends", phases.sends.as_str().into()),
            ("ending", phases.ending.into()),
        ];
        event(Level::Info, "decision", &fields);
    }
}
