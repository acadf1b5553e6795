//! What a store's state takes in memory.

/// bytes in memory, by kind, as the allocator holds them: an estimate that a test compares with the
/// allocator's own count (`hutbook/tests/state_memory.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateUsage {
    /// Index of kept turns and the names of servers.
    pub turn_index: usize,
    /// Texts of kept turns, with their names.
    pub texts: usize,
    /// Accounts, their reservations, and the turns that were settled lately.
    pub accounts: usize,
    /// Jobs by key, with what their callers were told, and when jobs and programs are due.
    pub jobs: usize,
    /// Programs with their histories.
    pub programs: usize,
}

impl StateUsage {
    /// bytes of all kinds.
    pub fn total(&self) -> usize {
        self.turn_index + self.texts + self.accounts + self.jobs + self.programs
    }
}
