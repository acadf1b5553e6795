//! The connections of all clients of this process: how many there may be, which are closed when memory or descriptors
//! are short, and which because their time is over.

use super::allocator;
use super::client_connection::{ClientConnection, CloseReason};
use super::daemon::metric;
use super::refusals::RefusalCounts;
use super::replica_runtime::Clock;
use crate::constants::*;
use crate::state::byte_budget::{ByteBudget, ReservedBytes};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::Waker;
use std::time::Duration;

/// Time limits of the connections of one listener.
pub struct ListenerTimeouts {
    idle_ms: AtomicU64,
    header_ms: AtomicU64,
}

impl ListenerTimeouts {
    pub fn new(idle_ms: u64, header_ms: u64) -> Arc<ListenerTimeouts> {
        Arc::new(ListenerTimeouts { idle_ms: AtomicU64::new(idle_ms), header_ms: AtomicU64::new(header_ms) })
    }

    /// Changes the limits, also of open connections.
    pub fn set(&self, idle_ms: u64, header_ms: u64) {
        self.idle_ms.store(idle_ms, Ordering::Relaxed);
        self.header_ms.store(header_ms, Ordering::Relaxed);
    }

    /// Returns how long a connection may rest between two requests.
    pub fn idle_ms(&self) -> u64 {
        self.idle_ms.load(Ordering::Relaxed)
    }

    /// Returns how long the head of a request may take.
    pub fn header_ms(&self) -> u64 {
        self.header_ms.load(Ordering::Relaxed)
    }
}

/// Returns freed memory to the system once much of it has been released.
#[derive(Default)]
struct Trimmer {
    trimmed_at: u64,
    /// The most that was reserved since then.
    peak_bytes: usize,
}

impl Trimmer {
    fn check(&mut self, now: u64, reserved: usize) {
        self.peak_bytes = self.peak_bytes.max(reserved);
        if self.peak_bytes >= reserved + TRIM_RELEASED_BYTES && now >= self.trimmed_at + TRIM_INTERVAL_MS {
            allocator::trim();
            (self.trimmed_at, self.peak_bytes) = (now, reserved);
        }
    }
}

/// All connections of clients of one process.
pub struct Connections {
    clock: Clock,
    /// Memory for connections, requests and answers.
    budget: Arc<ByteBudget>,
    max_connections: usize,
    next_id: AtomicU64,
    open: Mutex<HashMap<u64, Weak<ClientConnection>>>,
    /// Bytes that will be released by connections that are being closed.
    closing_bytes: AtomicUsize,
    /// Tasks that wait for the memory of connections that are being closed.
    waiting: Mutex<Vec<Waker>>,
    /// Connections that were closed or refused, by reason.
    pub closed: RefusalCounts,
}

impl Connections {
    pub fn new(clock: Clock, budget: Arc<ByteBudget>, max_connections: usize) -> Arc<Connections> {
        Arc::new(Connections {
            clock,
            budget,
            max_connections,
            next_id: AtomicU64::new(1),
            open: Mutex::default(),
            closing_bytes: AtomicUsize::new(0),
            waiting: Mutex::default(),
            closed: RefusalCounts::default(),
        })
    }

    /// Returns connections that only constants limit, for programs that aren't daemons.
    pub fn unlimited() -> Arc<Connections> {
        Connections::new(Clock::start(), ByteBudget::new(DEFAULT_REQUESTS_BYTES), DEFAULT_DESCRIPTORS as usize)
    }

    pub fn budget(&self) -> &Arc<ByteBudget> {
        &self.budget
    }

    pub(super) fn now(&self) -> u64 {
        self.clock.now()
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Weak<ClientConnection>>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Admits a new connection; another one is closed in its favour if there are too many. None if none can be.
    pub fn admit(self: &Arc<Self>, timeouts: &Arc<ListenerTimeouts>) -> Option<Arc<ClientConnection>> {
        let is_full = self.open().len() >= self.max_connections;
        if is_full && !self.close_heaviest(CloseReason::Connections, None) {
            self.closed.count("refused_connections");
            return None;
        }
        let memory = match self.budget.try_reserve(CONNECTION_BYTES) {
            Some(memory) => memory,
            None if self.make_room(CONNECTION_BYTES, None) => self.budget.reserve_existing(CONNECTION_BYTES),
            None => {
                self.closed.count("refused_memory");
                return None;
            }
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ClientConnection::new(id, self.clone(), timeouts.clone(), memory));
        self.open().insert(id, Arc::downgrade(&connection));
        Some(connection)
    }

    /// Removes a connection that has ended. `released` are the bytes that its closing was to release.
    pub(super) fn forget(&self, id: u64, released: usize) {
        self.open().remove(&id);
        self.closing_bytes.fetch_sub(released, Ordering::Relaxed);
        let waiting = std::mem::take(&mut *self.waiting());
        waiting.into_iter().for_each(Waker::wake);
    }

    fn waiting(&self) -> MutexGuard<'_, Vec<Waker>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Wakes a task once a connection has ended.
    pub(super) fn wake_with_memory(&self, waker: &Waker) {
        self.waiting().push(waker.clone());
    }

    /// Closes connections until what they hold makes room for so many bytes. Returns false if there are none to close.
    /// The memory is released a moment later.
    pub fn make_room(&self, bytes: usize, except: Option<u64>) -> bool {
        while self.closing_bytes.load(Ordering::Relaxed) < bytes {
            if !self.close_heaviest(CloseReason::Memory, except) {
                return false;
            }
        }
        true
    }

    /// Closes the connection that holds the most for the longest, of those that no server works for.
    fn close_heaviest(&self, reason: CloseReason, except: Option<u64>) -> bool {
        let now = self.now();
        let open: Vec<Arc<ClientConnection>> = self.open().values().filter_map(Weak::upgrade).collect();
        let candidates = open.iter().filter(|connection| Some(connection.id) != except);
        let weighed = candidates.filter_map(|connection| Some((connection.weight(now)?, connection)));
        let Some((_, heaviest)) = weighed.max_by_key(|(weight, _)| *weight) else { return false };
        self.close(heaviest, reason);
        true
    }

    fn close(&self, connection: &ClientConnection, reason: CloseReason) {
        self.closed.count(reason.name());
        self.closing_bytes.fetch_add(connection.close(reason), Ordering::Relaxed);
    }

    /// Reserves memory for a request or an answer, closing connections in its favour if it is short. None if there are
    /// none to close.
    pub async fn reserve(&self, bytes: usize) -> Option<ReservedBytes> {
        let mut reserved = self.budget.reserve_existing(0);
        self.grow(&mut reserved, bytes).await.then_some(reserved)
    }

    /// Like `reserve`, for a holder that needs more.
    pub async fn grow(&self, holder: &mut ReservedBytes, bytes: usize) -> bool {
        if holder.try_grow(bytes) {
            return true;
        }
        let deadline = self.now() + MEMORY_WAIT_MS;
        while self.make_room(bytes, None) && self.now() < deadline {
            actix_rt::time::sleep(Duration::from_millis(MEMORY_POLL_MS)).await;
            if holder.try_grow(bytes) {
                return true;
            }
        }
        false
    }

    /// Closes connections whose time is over, in an endless loop.
    pub async fn watch(self: Arc<Self>) {
        let mut last_check = self.now();
        let mut trimmer = Trimmer::default();
        loop {
            actix_rt::time::sleep(Duration::from_millis(CONNECTION_CHECK_INTERVAL_MS)).await;
            let now = self.now();
            // what arrived while the process stood still has to be read first
            if now < last_check + CONNECTION_CHECK_INTERVAL_MS + STALL_THRESHOLD_MS {
                self.close_overdue();
            }
            last_check = now;
            trimmer.check(now, self.budget.reserved());
        }
    }

    fn close_overdue(&self) {
        let now = self.now();
        let open: Vec<Arc<ClientConnection>> = self.open().values().filter_map(Weak::upgrade).collect();
        for connection in open {
            if let Some(reason) = connection.overdue(now) {
                self.close(&connection, reason);
            }
        }
    }

    /// Appends the counters for operators.
    pub fn write_metrics(&self, out: &mut String) {
        metric(out, "client_connections", &[], self.open().len());
        metric(out, "client_connections_limit", &[], self.max_connections);
        self.closed.write_metrics(out, "client_connections_closed_total");
    }
}
