//! What is to be looked at, and when.

use super::measured::HeapBytes;
use std::collections::BTreeSet;

/// Items in the order of their times. Derived from the state: a snapshot doesn't hold it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ExpiryQueue<T> {
    items: BTreeSet<(u64, T)>,
    owned: usize,
}

impl<T> Default for ExpiryQueue<T> {
    fn default() -> ExpiryQueue<T> {
        ExpiryQueue { items: BTreeSet::new(), owned: 0 }
    }
}

impl<T: Ord + HeapBytes> ExpiryQueue<T> {
    /// Has the item looked at once the store's clock stands at `at`, in ms.
    pub(super) fn schedule(&mut self, at: u64, item: T) {
        let owned = item.heap_bytes();
        if self.items.insert((at, item)) {
            self.owned += owned;
        }
    }

    /// Takes the next item whose time has come.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<T> {
        if self.items.first().is_none_or(|(at, _)| *at > now) {
            return None;
        }
        let (_, item) = self.items.pop_first()?;
        self.owned -= item.heap_bytes();
        Some(item)
    }

    /// bytes. Of the items, at so many each, and of what they own.
    pub(super) fn bytes(&self, entry: usize) -> usize {
        self.items.len() * entry + self.owned
    }
}
