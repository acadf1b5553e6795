//! Connections to the port for other processes of the fleet whose other side has not shown yet that it belongs to this
//! cluster. Their number and what they hold are limited, so that they can't take the place of members.

use crate::constants::*;
use crate::state::byte_budget::{ByteBudget, ReservedBytes};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// All such connections of a process, by the order of their arrival.
pub struct Strangers {
    open: Mutex<BTreeMap<u64, Entry>>,
    next_id: AtomicU64,
    /// Memory for the frames that they send.
    budget: Arc<ByteBudget>,
    /// Number of them that were closed in favour of others.
    closed: AtomicU64,
}

struct Entry {
    bytes: usize,
    close: Arc<Notify>,
}

impl Default for Strangers {
    fn default() -> Strangers {
        Strangers {
            open: Mutex::default(),
            next_id: AtomicU64::new(0),
            budget: ByteBudget::new(MAX_STRANGER_BYTES),
            closed: AtomicU64::new(0),
        }
    }
}

impl Strangers {
    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Entry>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Admits a new connection; the oldest one is closed in its favour if there are too many.
    pub fn admit(self: &Arc<Self>) -> Stranger {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let close = Arc::new(Notify::new());
        let mut open = self.open();
        if open.len() >= MAX_STRANGERS {
            if let Some((_, oldest)) = open.pop_first() {
                self.close(oldest);
            }
        }
        open.insert(id, Entry { bytes: 0, close: close.clone() });
        Stranger { id, close, all: self.clone(), memory: self.budget.reserve_existing(0) }
    }

    /// Closes the connection that holds the most, beside this one. Returns false if none holds anything.
    fn close_largest(&self, except: u64) -> bool {
        let mut open = self.open();
        let others = open.iter().filter(|(id, entry)| **id != except && entry.bytes > 0);
        let Some(largest) = others.max_by_key(|(_, entry)| entry.bytes).map(|(id, _)| *id) else { return false };
        if let Some(entry) = open.remove(&largest) {
            self.close(entry);
        }
        true
    }

    fn close(&self, entry: Entry) {
        self.closed.fetch_add(1, Ordering::Relaxed);
        entry.close.notify_one();
    }

    /// Returns the number of connections that were closed in favour of others.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }
}

/// One such connection, until it ends or is shown to be a member's.
pub struct Stranger {
    id: u64,
    close: Arc<Notify>,
    all: Arc<Strangers>,
    memory: ReservedBytes,
}

impl Stranger {
    /// Returns what is notified when the connection is to be closed.
    pub fn close_signal(&self) -> Arc<Notify> {
        self.close.clone()
    }

    /// Reserves memory for a frame of which so many bytes have arrived. Returns false if there is none.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(FREE_STRANGER_BYTES).saturating_sub(self.memory.bytes());
        if more > 0 && !self.memory.try_grow(more) {
            if !self.all.close_largest(self.id) {
                return false;
            }
            self.memory.grow_existing(more);
        }
        if let Some(entry) = self.all.open().get_mut(&self.id) {
            entry.bytes = self.memory.bytes();
        }
        true
    }

    /// Releases the memory of a frame that has been handled.
    pub fn release(&mut self) {
        self.memory.shrink_to(0);
        if let Some(entry) = self.all.open().get_mut(&self.id) {
            entry.bytes = 0;
        }
    }
}

impl Drop for Stranger {
    fn drop(&mut self) {
        self.all.open().remove(&self.id);
    }
}
