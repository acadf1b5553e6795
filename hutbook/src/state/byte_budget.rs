//! A bound on the bytes that many holders keep at once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes that may be held at once, and those that are.
#[derive(Debug)]
pub struct ByteBudget {
    limit: AtomicUsize,
    held: AtomicUsize,
    /// How often bytes were refused.
    refused: AtomicUsize,
}

/// Bytes held by one holder; given back when it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// At most `limit` bytes at once.
    pub fn new(limit: usize) -> Arc<ByteBudget> {
        Arc::new(ByteBudget { limit: AtomicUsize::new(limit), held: AtomicUsize::new(0), refused: AtomicUsize::new(0) })
    }

    /// From now on so many. What is held already stays held.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// bytes. Held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Requests for bytes that were refused so far.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::Relaxed)
    }

    /// Holds so many bytes; None where they would go over the limit. A single holder is never refused:
    /// what is bounded elsewhere by itself must be able to pass.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        self.reserve(0, bytes).then(|| HeldBytes { budget: self.clone(), bytes })
    }

    /// Adds bytes for a holder that has `own` already.
    fn reserve(&self, own: usize, bytes: usize) -> bool {
        let limit = self.limit();
        let fits = |held: usize| (held <= own || held + bytes <= limit).then_some(held + bytes);
        let reserved = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok();
        if !reserved {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        reserved
    }
}

impl HeldBytes {
    /// Holds more; false where that would go over the limit, and then nothing has changed.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let grown = self.budget.reserve(self.bytes, bytes);
        if grown {
            self.bytes += bytes;
        }
        grown
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
