//! Refusal counters by reason, logged once a second while refusals continue.

use super::daemon::metric;
use super::logs::{event, Field};
use log::Level;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

#[derive(Clone, Copy, Default)]
struct Count {
    total: u64,
    /// How many of them have been logged already.
    logged: u64,
}

/// Counters by reason. A reason is the code that the answer carries, or a fixed name defined by this process.
#[derive(Default)]
pub struct RefusalCounts {
    counts: Mutex<BTreeMap<&'static str, Count>>,
}

impl RefusalCounts {
    fn counts(&self) -> MutexGuard<'_, BTreeMap<&'static str, Count>> {
        self.counts.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts one refusal.
    pub fn count(&self, reason: &'static str) {
        self.counts().entry(reason).or_default().total += 1;
    }

    /// Returns all totals by reason.
    pub fn totals(&self) -> Vec<(&'static str, u64)> {
        self.counts().iter().map(|(reason, count)| (*reason, count.total)).collect()
    }

    /// Returns the counts by reason since the last call, without reasons that have none.
    pub fn take_unlogged(&self) -> Vec<(&'static str, u64)> {
        let mut unlogged = vec![];
        for (reason, count) in self.counts().iter_mut().filter(|(_, count)| count.total > count.logged) {
            unlogged.push((*reason, count.total - count.logged));
            count.logged = count.total;
        }
        unlogged
    }

    /// Logs the refusals counted since the last call as event `name`. Returns whether there were any.
    pub fn log(&self, name: &'static str) -> bool {
        let unlogged = self.take_unlogged();
        let fields: Vec<Field> = unlogged.iter().map(|(reason, count)| (*reason, (*count).into())).collect();
        if !fields.is_empty() {
            event(Level::Info, name, &fields);
        }
        !fields.is_empty()
    }

    /// Appends one counter for each reason.
    pub fn write_metrics(&self, out: &mut String, name: &str) {
        for (reason, total) in self.totals() {
            metric(out, name, &[("reason", reason)], total);
        }
    }
}
