//! An edge's cache of its store groups' refusals, so that it can refuse further clients immediately.
//!
//! A refusal applies to its class of work, for a time that the store has computed. After that it expires and the store
//! is asked again: an edge never refuses for longer than the store specified.

use super::store_admission::{Refusal, WorkClass};
use super::view::hash;
use crate::constants::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A store group's last refusal of a class of work.
#[derive(Clone, Copy, Debug)]
struct CachedRefusal {
    until: u64,
    retry_after_ms: u64,
}

/// One edge's cached refusals by store group and class. Times are in milliseconds on the edge's clock.
#[derive(Debug, Default)]
pub struct EdgeAdmission {
    refusals: BTreeMap<(u32, WorkClass), CachedRefusal>,
    /// Time of each group's last answer of any kind.
    answered_at: BTreeMap<u32, u64>,
    /// Hashes of the programs that have had a turn here, and their order of arrival.
    served: BTreeSet<u64>,
    served_order: VecDeque<u64>,
}

impl EdgeAdmission {
    /// Returns the class of a turn as far as this edge can determine it.
    pub fn class_of(&self, program: &str, before: &str, is_kept: bool) -> WorkClass {
        let is_first = before.is_empty() && !self.served.contains(&hash(program));
        WorkClass::of(is_first, is_kept)
    }

    /// Returns the time in milliseconds after which the client may retry, if a refusal of the class is still valid.
    pub fn refusal(&self, now: u64, group: u32, class: WorkClass) -> Option<u64> {
        let refusal = self.refusals.get(&(group, class))?;
        (now < refusal.until).then_some(refusal.retry_after_ms)
    }

    pub fn note_refusal(&mut self, now: u64, group: u32, refusal: &Refusal) {
        // the hold time is bounded, so that the group is asked again soon whatever it answered
        let until = now + refusal.hold_ms.min(MAX_LOCAL_REFUSAL_MS);
        let cached = CachedRefusal { until, retry_after_ms: refusal.retry_after_ms.min(MAX_RETRY_AFTER_MS) };
        self.refusals.insert((group, refusal.class), cached);
    }

    /// Records that the group has admitted a turn of this program.
    pub fn note_admitted(&mut self, group: u32, class: WorkClass, program: &str) {
        self.refusals.remove(&(group, class));
        let id = hash(program);
        if !self.served.insert(id) {
            return;
        }
        self.served_order.push_back(id);
        if self.served_order.len() > MAX_SERVED_PROGRAMS {
            let oldest = self.served_order.pop_front().expect("it is not empty");
            self.served.remove(&oldest);
        }
    }

    /// Records that the group's leader has answered.
    pub fn record_answer(&mut self, now: u64, group: u32) {
        self.answered_at.insert(group, now);
    }

    /// Whether the group's leader has answered recently.
    pub fn answered_recently(&self, now: u64, group: u32) -> bool {
        self.answered_at.get(&group).is_some_and(|at| now <= at + STORE_ANSWERED_MS)
    }
}

/// Adds jitter from `draw` to a retry time in milliseconds, so that clients refused together don't retry together.
pub fn add_jitter(retry_after_ms: u64, draw: u64) -> u64 {
    let max_jitter = retry_after_ms / RETRY_AFTER_JITTER_DIVISOR;
    retry_after_ms + draw % (max_jitter + 1)
}

#[cfg(test)]
mod tests;
