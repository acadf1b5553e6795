//! Detects that this process stalled. What it then reads from its sockets may have been sent long ago, by clients that
//! have since retried elsewhere.

use crate::constants::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Fed by a timer and queried whenever a command arrives.
pub struct StallDetector {
    /// When the timer last fired, and when it last fired too late, both in milliseconds.
    last_tick: AtomicU64,
    last_late_tick: AtomicU64,
}

impl StallDetector {
    pub fn new(now: u64) -> StallDetector {
        StallDetector { last_tick: AtomicU64::new(now), last_late_tick: AtomicU64::new(0) }
    }

    pub fn tick(&self, now: u64) {
        let previous_tick = self.last_tick.swap(now, Ordering::SeqCst);
        if now > previous_tick + STALL_THRESHOLD_MS {
            self.last_late_tick.store(now, Ordering::SeqCst);
        }
    }

    /// Returns whether data read now may have waited through a stall.
    pub fn recently_stalled(&self, now: u64) -> bool {
        let last_late_tick = self.last_late_tick.load(Ordering::SeqCst);
        now > self.last_tick.load(Ordering::SeqCst) + STALL_THRESHOLD_MS
            || (last_late_tick > 0 && now < last_late_tick + STALL_RECOVERY_MS)
    }
}

#[cfg(test)]
mod tests;
