//! Connection pool for servers of proxied requests: bounded, with one request at a time per connection.
//!
//! The protocol itself is implemented by the library's codec; this module decides which connection a request may use. A
//! connection that delivered anything but one complete answer to its own request is closed.

mod answer;
mod exchange;
pub mod faults;
mod framing;
pub mod single_call;

use super::dispatch::NoAnswer;
use crate::constants::*;
use actix_codec::Framed;
use actix_http::h1::ClientCodec;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead, Uri};
pub use answer::{Answer, BodyRead};
use answer::{MessageConnection, Reuse};
use bytes::Bytes;
use exchange::{exchange, ReceivedAnswer};
use faults::AnswerFaultCounts;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The id of one attempt at a server, and the header that carries it.
#[derive(Clone)]
pub struct AttemptId {
    pub header: HeaderName,
    pub id: HeaderValue,
}

/// A request to a server.
#[derive(Clone)]
pub struct ServerRequest {
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the answer must echo; None for a call whose answer carries no id.
    pub attempt: Option<AttemptId>,
    /// Time limit for the answer's head to arrive, in milliseconds.
    pub timeout_ms: u64,
    /// Set for a request that may run only once: it must not use a connection that the server may be about to close.
    pub needs_fresh_connection: bool,
}

impl ServerRequest {
    /// Returns whether an answer is this request's own.
    fn expects(&self, head: &ResponseHead) -> bool {
        let echoes = |attempt: &AttemptId| head.headers().get(&attempt.header) == Some(&attempt.id);
        self.attempt.as_ref().is_none_or(echoes)
    }
}

/// One open connection that waits for its next request.
struct Idle {
    connection: MessageConnection,
    since: u64,
    /// Until when it may be reused, in milliseconds.
    reusable_until: u64,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: u32,
}

/// The number of connections to servers that a process may open, over all of its threads.
#[derive(Debug)]
pub struct ConnectionSlots {
    limit: usize,
    taken: AtomicUsize,
}

impl ConnectionSlots {
    pub fn new(limit: usize) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots { limit, taken: AtomicUsize::new(0) })
    }

    /// Takes a slot. Returns false if all are taken.
    fn take(&self) -> bool {
        let next = |taken: usize| (taken < self.limit).then_some(taken + 1);
        self.taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }

    fn release(&self, count: usize) {
        self.taken.fetch_sub(count, Ordering::Relaxed);
    }

    /// Returns the number of open connections.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }
}

impl Default for ConnectionSlots {
    fn default() -> ConnectionSlots {
        ConnectionSlots { limit: DEFAULT_DESCRIPTORS as usize, taken: AtomicUsize::new(0) }
    }
}

/// All connections of one thread, by server.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    pools: Rc<RefCell<HashMap<String, Pool>>>,
    faults: Arc<AnswerFaultCounts>,
    slots: Arc<ConnectionSlots>,
}

/// Counts an open connection for as long as it exists.
struct ConnectionCount {
    pool: ConnectionPool,
    server: String,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.pool.slots.release(1);
        let mut pools = self.pool.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&self.server) {
            pool.open = pool.open.saturating_sub(1);
            if pool.open == 0 && pool.idle.is_empty() {
                pools.remove(&self.server);
            }
        }
    }
}

impl ConnectionPool {
    /// Creates an empty pool that counts what was wrong with answers in `faults`.
    pub fn new(faults: Arc<AnswerFaultCounts>) -> ConnectionPool {
        ConnectionPool { faults, ..ConnectionPool::default() }
    }

    /// Like `new`; its open connections take these slots.
    pub fn with_slots(faults: Arc<AnswerFaultCounts>, slots: Arc<ConnectionSlots>) -> ConnectionPool {
        ConnectionPool { faults, slots, ..ConnectionPool::default() }
    }

    /// Sends one request over one connection; at most `max_open` are open to the server at once.
    pub async fn send(
        &self,
        server: &str,
        addr: &str,
        max_open: u32,
        request: ServerRequest,
        now: impl Fn() -> u64 + 'static,
        gate: &dyn Fn() -> bool,
    ) -> Result<Answer, NoAnswer> {
        let unsent = NoAnswer { sent: false };
        let (framed, counted) = match self.reuse(server, now(), request.needs_fresh_connection) {
            Some(framed) => (framed, ConnectionCount { pool: self.clone(), server: server.into() }),
            None => {
                {
                    let mut pools = self.pools.borrow_mut();
                    let pool = pools.entry(server.to_string()).or_default();
                    // an idle connection that this request can't use is closed in favour of a new one
                    if pool.open >= max_open.max(1) && !pool.idle.is_empty() {
                        drop(pool.idle.remove(0));
                        pool.open = pool.open.saturating_sub(1);
                        self.slots.release(1);
                    }
                    if pool.open >= max_open.max(1) || !self.take_slot(&mut pools) {
                        return Err(unsent);
                    }
                    pools.entry(server.to_string()).or_default().open += 1;
                }
                let count = ConnectionCount { pool: self.clone(), server: server.into() };
                let connect =
                    actix_rt::time::timeout(Duration::from_millis(PROXY_CONNECT_TIMEOUT_MS), TcpStream::connect(addr));
                let Ok(Ok(stream)) = connect.await else { return Err(unsent) };
                let _ = stream.set_nodelay(true);
                (Framed::new(stream, ClientCodec::default()), count)
            }
        };
        // a stale view, or a process that was suspended while it connected, must not dispatch
        if !gate() {
            return Err(unsent);
        }
        let timeout = Duration::from_millis(request.timeout_ms);
        match actix_rt::time::timeout(timeout, exchange(framed, &request, &self.faults)).await {
            Ok(Ok(received)) => Ok(self.answer(received, counted, Box::new(now))),
            Ok(Err(fault)) => {
                self.faults.count(fault);
                Err(NoAnswer { sent: true })
            }
            Err(_) => Err(NoAnswer { sent: true }),
        }
    }

    fn answer(&self, received: ReceivedAnswer, connection: ConnectionCount, now: Box<dyn Fn() -> u64>) -> Answer {
        let reuse = Reuse { connection, keep_alive_ms: server_keep_alive_ms(&received.headers), now };
        Answer::new(received, Some(reuse), self.faults.clone())
    }

    /// Returns an idle connection that is still open, as far as can be seen locally.
    fn reuse(&self, server: &str, now: u64, fresh: bool) -> Option<MessageConnection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(server)?;
        // the most recently used connection is the likeliest to be still open
        while let Some(idle) = pool.idle.pop_if(|idle| !fresh || now < idle.since + MAX_ONCE_ONLY_IDLE_MS) {
            if now < idle.reusable_until && is_reusable(&idle.connection) {
                return Some(idle.connection);
            }
            pool.open = pool.open.saturating_sub(1);
            self.slots.release(1);
        }
        None
    }

    /// Takes a slot for a new connection; an idle connection of this thread is closed if there is none left.
    fn take_slot(&self, pools: &mut HashMap<String, Pool>) -> bool {
        if self.slots.take() {
            return true;
        }
        let Some(pool) = pools.values_mut().find(|pool| !pool.idle.is_empty()) else { return false };
        drop(pool.idle.remove(0));
        pool.open = pool.open.saturating_sub(1);
        self.slots.release(1);
        self.slots.take()
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: u64) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|_, pool| {
            let idle_before = pool.idle.len();
            pool.idle.retain(|idle| now < idle.reusable_until);
            let closed = idle_before - pool.idle.len();
            pool.open = pool.open.saturating_sub(closed as u32);
            self.slots.release(closed);
            pool.open > 0 || !pool.idle.is_empty()
        });
    }
}

impl ConnectionCount {
    /// Returns an open connection to its pool.
    fn release(self, connection: MessageConnection, now: &dyn Fn() -> u64, keep_alive_ms: u64) {
        let since = now();
        if let Some(pool) = self.pool.pools.borrow_mut().get_mut(&self.server) {
            pool.idle.push(Idle { connection, since, reusable_until: since + keep_alive_ms });
        }
        // the connection is still open, so it remains counted
        std::mem::forget(self);
    }
}

/// Returns how long the server keeps an idle connection, in milliseconds, less a margin for the network delay.
fn server_keep_alive_ms(headers: &HeaderMap) -> u64 {
    let header = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout_of = |part: &str| part.trim().strip_prefix("timeout=").and_then(|seconds| seconds.parse::<u64>().ok());
    let keep_alive_ms = header.and_then(|value| value.split(',').find_map(timeout_of)).map(|seconds| seconds * 1_000);
    keep_alive_ms
        .map_or(PROXY_KEEP_ALIVE_MS, |ms| ms.saturating_sub(PROXY_KEEP_ALIVE_MARGIN_MS).min(MAX_PROXY_KEEP_ALIVE_MS))
}

/// Returns whether the connection is still open and has no unread byte, which would belong to no request. This asks the
/// operating system: the runtime's knowledge of a socket is as old as its last poll, and a busy or suspended process
/// polls late.
fn is_reusable(connection: &MessageConnection) -> bool {
    let socket = socket2::SockRef::from(connection.io_ref());
    let unread = socket.peek(&mut [MaybeUninit::uninit()]);
    connection.is_read_buf_empty() && unread.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
