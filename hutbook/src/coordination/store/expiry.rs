//! A queue of items by the time when they are due.

use super::measured::HeapBytes;
use std::collections::BTreeSet;

/// Items ordered by due time. Derived from the state, so not part of a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ExpiryQueue<T> {
    items: BTreeSet<(u64, T)>,
    owned_bytes: usize,
}

impl<T> Default for ExpiryQueue<T> {
    fn default() -> ExpiryQueue<T> {
        ExpiryQueue { items: BTreeSet::new(), owned_bytes: 0 }
    }
}

impl<T: Ord + HeapBytes> ExpiryQueue<T> {
    /// Makes the item due at `at`, in milliseconds on the store's clock.
    pub(super) fn schedule(&mut self, at: u64, item: T) {
        let owned = item.heap_bytes();
        if self.items.insert((at, item)) {
            self.owned_bytes += owned;
        }
    }

    /// Removes and returns the next item that is due.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<T> {
        if self.items.first().is_none_or(|(at, _)| *at > now) {
            return None;
        }
        let (_, item) = self.items.pop_first()?;
        self.owned_bytes -= item.heap_bytes();
        Some(item)
    }

    /// Size of the queue, at `entry_bytes` for each item, and of what the items own, in bytes.
    pub(super) fn bytes(&self, entry_bytes: usize) -> usize {
        self.items.len() * entry_bytes + self.owned_bytes
    }
}
