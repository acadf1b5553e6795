//! Memory usage of a store's state.

/// Memory usage by kind, in bytes, including the allocator's overhead. An estimate, which a test compares with
/// the allocator's count (`hutbook/tests/state_memory.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateUsage {
    /// Index of stored turns and the names of servers.
    pub turn_index: usize,
    /// Accounts, their reservations, and recently settled turns.
    pub accounts: usize,
    /// Jobs by key, with their answers to clients, and the expiry queue of jobs and programs.
    pub jobs: usize,
    /// Programs with their histories.
    pub programs: usize,
}

impl StateUsage {
    /// Total of all kinds, in bytes.
    pub fn total(&self) -> usize {
        self.turn_index + self.accounts + self.jobs + self.programs
    }
}
