//! A limit on the total of bytes that many holders reserve.

use crate::constants::SMALL_HOLDERS_SHARE;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The limit of reserved bytes, and the bytes that are reserved.
#[derive(Debug)]
pub struct ByteBudget {
    limit: AtomicUsize,
    reserved: AtomicUsize,
    /// Number of refused reservations.
    refused: AtomicUsize,
}

/// Bytes reserved by one holder; released when dropped.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<ByteBudget> {
        Arc::new(ByteBudget {
            limit: AtomicUsize::new(limit),
            reserved: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        })
    }

    /// Changes the limit. Existing reservations stay valid.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// Returns the bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Returns the number of reservations refused so far.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::Relaxed)
    }

    /// Reserves so many bytes; None if that would exceed the limit. A holder whose size is limited elsewhere is not
    /// refused while the others together hold little: it must be able to proceed.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<ReservedBytes> {
        self.reserve(0, bytes).then(|| ReservedBytes { budget: self.clone(), bytes })
    }

    /// Reserves so many bytes even if that exceeds the limit, for what exists already.
    pub fn reserve_existing(self: &Arc<Self>, bytes: usize) -> ReservedBytes {
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
        ReservedBytes { budget: self.clone(), bytes }
    }

    /// Reserves further bytes for a holder that has `own` already.
    fn reserve(&self, own: usize, bytes: usize) -> bool {
        let limit = self.limit();
        let small = (limit as f64 * SMALL_HOLDERS_SHARE) as usize;
        let fits = |reserved: usize| (reserved <= own + small || reserved + bytes <= limit).then_some(reserved + bytes);
        let is_reserved = self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok();
        if !is_reserved {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        is_reserved
    }

    /// Reserves further bytes while the total stays within this share of the limit.
    fn reserve_within(&self, bytes: usize, share: f64) -> bool {
        let limit = (self.limit() as f64 * share) as usize;
        let fits = |reserved: usize| (reserved + bytes <= limit).then_some(reserved + bytes);
        self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok()
    }
}

impl ReservedBytes {
    /// Reserves more bytes. If that would exceed the limit, returns false and changes nothing.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let grown = self.budget.reserve(self.bytes, bytes);
        if grown {
            self.bytes += bytes;
        }
        grown
    }

    /// Reserves more bytes if the total of all holders stays within this share of the limit. Otherwise returns false and
    /// changes nothing.
    pub fn try_grow_within(&mut self, bytes: usize, share: f64) -> bool {
        let grown = self.budget.reserve_within(bytes, share);
        if grown {
            self.bytes += bytes;
        }
        grown
    }

    /// Reserves more bytes even if that exceeds the limit, for what exists already.
    pub fn grow_existing(&mut self, bytes: usize) {
        self.budget.reserved.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Releases all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.budget.reserved.fetch_sub(released, Ordering::Relaxed);
        self.bytes -= released;
    }

    /// Returns the bytes that this holder has reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
