//! Limits how often one kind of record is logged, so that clients can't flood the log.

#[cfg(test)]
mod tests;

/// Allows a number of records in each time window, and counts suppressed ones.
pub struct LogLimit {
    records_per_window: u32,
    window_ms: u64,
    window_start: u64,
    logged: u32,
    suppressed: u64,
}

impl LogLimit {
    pub fn new(records_per_window: u32, window_ms: u64) -> LogLimit {
        LogLimit { records_per_window, window_ms, window_start: 0, logged: 0, suppressed: 0 }
    }

    /// Returns None if a record must not be logged now (milliseconds, monotonic), else the number of records that
    /// were suppressed since the last one.
    pub fn admit(&mut self, now: u64) -> Option<u64> {
        if now >= self.window_start + self.window_ms {
            self.window_start = now;
            self.logged = 0;
        }
        if self.logged >= self.records_per_window {
            self.suppressed += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
