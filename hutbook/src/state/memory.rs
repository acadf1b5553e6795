//! Memory and disk budgets of a process's parts.

use crate::constants::{
    API_MEMORY_SHARE, DEFAULT_API_BYTES, DEFAULT_STATE_BYTES, DEFAULT_TEXT_DISK_BYTES, DISK_CACHE_BYTES,
    DISK_CACHE_MEMORY_SHARE, LOG_MEMORY_SHARE, MAX_TEXT_CACHE_BYTES, MIN_API_BYTES, MIN_DISK_CACHE_BYTES,
    MIN_SNAPSHOT_LOG_BYTES, SNAPSHOT_LOG_BYTES, SNAPSHOT_TO_STATE_RATIO, STATE_MEMORY_SHARE, TEXT_CACHE_MEMORY_SHARE,
    TEXT_DISK_SHARE,
};

/// Bytes in a megabyte, as used in the sizes of machines.
const MEGABYTE: f64 = 1e6;

/// Limits in bytes for one store or controller process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryBudget {
    /// The replicated state. Requests that would exceed the limit are refused before they are proposed.
    pub state: usize,
    /// The newest snapshot of that state, which is in memory for members that need it.
    pub snapshot: usize,
    /// Log entries applied since the last snapshot; at the limit the next one is taken.
    pub log: usize,
    /// The database's cache of its file.
    pub disk_cache: usize,
    /// Cache of the newest texts, so that a turn that continues them immediately needn't wait for the disk.
    pub text_cache: usize,
    /// Connections, requests and answers of the HTTP API. Requests that would exceed the limit are refused.
    pub api: usize,
    /// Segments of texts on disk. Requests that would exceed the limit are refused before they are proposed.
    pub texts_on_disk: u64,
}

impl MemoryBudget {
    /// Returns the budget of a machine with so many megabytes of memory and disk. A size that is not given is
    /// limited only by the constants.
    pub fn of(memory_mb: Option<u64>, disk_mb: Option<u64>) -> MemoryBudget {
        let bytes = |mb: Option<u64>| mb.map_or(f64::INFINITY, |mb| mb as f64 * MEGABYTE);
        let memory = bytes(memory_mb);
        let share_of = |share: f64, min: usize, max: usize| ((memory * share) as usize).clamp(min, max);
        MemoryBudget {
            state: share_of(STATE_MEMORY_SHARE, 0, DEFAULT_STATE_BYTES),
            snapshot: share_of(
                STATE_MEMORY_SHARE * SNAPSHOT_TO_STATE_RATIO,
                0,
                (DEFAULT_STATE_BYTES as f64 * SNAPSHOT_TO_STATE_RATIO) as usize,
            ),
            log: share_of(LOG_MEMORY_SHARE, MIN_SNAPSHOT_LOG_BYTES, SNAPSHOT_LOG_BYTES),
            disk_cache: share_of(DISK_CACHE_MEMORY_SHARE, MIN_DISK_CACHE_BYTES, DISK_CACHE_BYTES),
            text_cache: share_of(TEXT_CACHE_MEMORY_SHARE, 0, MAX_TEXT_CACHE_BYTES),
            api: share_of(API_MEMORY_SHARE, MIN_API_BYTES, DEFAULT_API_BYTES),
            texts_on_disk: (bytes(disk_mb) * TEXT_DISK_SHARE).min(DEFAULT_TEXT_DISK_BYTES as f64) as u64,
        }
    }
}

impl Default for MemoryBudget {
    fn default() -> MemoryBudget {
        MemoryBudget::of(None, None)
    }
}

#[cfg(test)]
mod tests;
