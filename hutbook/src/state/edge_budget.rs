//! Memory budgets of an edge process's parts.

use crate::constants::{
    DEFAULT_PROMPT_PARTS_BYTES, DEFAULT_REQUESTS_BYTES, DEFAULT_RPC_QUEUE_BYTES, DEFAULT_TURN_TEXTS_BYTES,
    EDGE_VIEW_MEMORY_SHARE, MEGABYTE_BYTES, MIN_REQUESTS_BYTES, PROCESS_OVERHEAD_BYTES, PROMPT_PARTS_MEMORY_SHARE,
    REQUESTS_MEMORY_SHARE, RPC_QUEUE_MEMORY_SHARE, TURN_TEXTS_MEMORY_SHARE,
};

/// Limits in bytes for one edge process. It stores nothing on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeBudget {
    /// Requests in flight, and ends of turns that wait for their store. Requests that would exceed the limit are
    /// refused.
    pub requests: usize,
    /// Prompt parts believed to be cached at servers; the least recently used are evicted first.
    pub prompt_parts: usize,
    /// Texts of recent turns; the oldest are evicted first.
    pub turn_texts: usize,
    /// Frames queued for other processes of the fleet; further ones are dropped, as by a network.
    pub rpc_queue: usize,
}

impl EdgeBudget {
    /// Returns the budget of a machine with so many megabytes of memory; without a size, the constants apply.
    pub fn of(memory_mb: Option<u64>) -> EdgeBudget {
        let memory = memory_mb.map_or(f64::INFINITY, |mb| (mb * MEGABYTE_BYTES) as f64);
        let share_of = |share: f64, min: usize, max: usize| ((memory * share) as usize).clamp(min, max);
        EdgeBudget {
            requests: share_of(REQUESTS_MEMORY_SHARE, MIN_REQUESTS_BYTES, DEFAULT_REQUESTS_BYTES),
            prompt_parts: share_of(PROMPT_PARTS_MEMORY_SHARE, 0, DEFAULT_PROMPT_PARTS_BYTES),
            turn_texts: share_of(TURN_TEXTS_MEMORY_SHARE, 0, DEFAULT_TURN_TEXTS_BYTES),
            rpc_queue: share_of(RPC_QUEUE_MEMORY_SHARE, 0, DEFAULT_RPC_QUEUE_BYTES),
        }
    }

    /// Returns the parts by name, in bytes, with the process's base usage and its copy of the replicated state.
    pub fn parts(memory_mb: u64) -> Vec<(&'static str, usize)> {
        let budget = EdgeBudget::of(Some(memory_mb));
        let agreed_state = ((memory_mb * MEGABYTE_BYTES) as f64 * EDGE_VIEW_MEMORY_SHARE) as usize;
        vec![
            ("process", PROCESS_OVERHEAD_BYTES),
            ("agreed state", agreed_state),
            ("requests", budget.requests),
            ("prompt parts", budget.prompt_parts),
            ("turn texts", budget.turn_texts),
            ("rpc queue", budget.rpc_queue),
        ]
    }
}

impl Default for EdgeBudget {
    fn default() -> EdgeBudget {
        EdgeBudget::of(None)
    }
}

#[cfg(test)]
mod tests;
