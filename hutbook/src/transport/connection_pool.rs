//! Connection pool for servers of proxied requests: bounded, with one request at a time per connection.
//!
//! The protocol itself is implemented by the library's codec; this module decides which connection a request may use. A
//! connection that delivered anything but one complete answer to its own request is closed.

use super::answer_faults::{AnswerFault, AnswerFaultCounts};
use super::dispatch::NoAnswer;
use crate::constants::*;
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// A request to a server.
#[derive(Clone)]
pub struct ServerRequest {
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The attempt id, which the answer must echo, and the header that carries it.
    pub attempt_id: HeaderValue,
    pub attempt_id_header: HeaderName,
    /// Time limit for the answer's head to arrive, in milliseconds.
    pub timeout_ms: u64,
    /// Set for a request that may run only once: it must not use a connection that the server may be about to close.
    pub needs_fresh_connection: bool,
}

/// One open connection that waits for its next request.
struct Idle {
    framed: Framed<TcpStream, ClientCodec>,
    since: u64,
    /// Until when it may be reused, in milliseconds.
    reusable_until: u64,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: u32,
}

/// All connections of one thread, by server.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    pools: Rc<RefCell<HashMap<String, Pool>>>,
    faults: Arc<AnswerFaultCounts>,
}

/// Counts an open connection for as long as it exists.
struct ConnectionCount {
    pool: ConnectionPool,
    server: String,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        let mut pools = self.pool.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&self.server) {
            pool.open = pool.open.saturating_sub(1);
            if pool.open == 0 && pool.idle.is_empty() {
                pools.remove(&self.server);
            }
        }
    }
}

/// An answer whose body is still to be read.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Body,
    /// Whether its connection has delivered no bytes but those of its request.
    clean: bool,
    connection: Option<ConnectionCount>,
    keep_alive_ms: u64,
    faults: Arc<AnswerFaultCounts>,
    now: Box<dyn Fn() -> u64>,
}

enum Body {
    Done(Option<Framed<TcpStream, ClientCodec>>),
    More(Box<Framed<TcpStream, ClientPayloadCodec>>),
    Broken,
}

/// The result of one read of an answer's body.
#[derive(Debug, PartialEq)]
pub enum BodyRead {
    Bytes(Bytes),
    /// The whole body has arrived.
    End,
    Broken,
}

impl ConnectionPool {
    /// Creates an empty pool that counts what was wrong with answers in `faults`.
    pub fn new(faults: Arc<AnswerFaultCounts>) -> ConnectionPool {
        ConnectionPool { faults, ..ConnectionPool::default() }
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
                    }
                    if pool.open >= max_open.max(1) {
                        return Err(unsent);
                    }
                    pool.open += 1;
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
        let exchanged = exchange(framed, request, &self.faults);
        match actix_rt::time::timeout(timeout, exchanged).await {
            Ok(Ok(ReceivedAnswer { status, headers, body, clean })) => {
                let keep_alive_ms = server_keep_alive_ms(&headers);
                Ok(Answer {
                    status,
                    headers,
                    body,
                    clean,
                    connection: Some(counted),
                    keep_alive_ms,
                    faults: self.faults.clone(),
                    now: Box::new(now),
                })
            }
            Ok(Err(fault)) => {
                self.faults.count(fault);
                Err(NoAnswer { sent: true })
            }
            Err(_) => Err(NoAnswer { sent: true }),
        }
    }

    /// Returns an idle connection that is still open, as far as can be seen locally.
    fn reuse(&self, server: &str, now: u64, fresh: bool) -> Option<Framed<TcpStream, ClientCodec>> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(server)?;
        // the most recently used connection is the likeliest to be still open
        while let Some(idle) = pool.idle.pop_if(|idle| !fresh || now < idle.since + MAX_ONCE_ONLY_IDLE_MS) {
            if now < idle.reusable_until && is_reusable(&idle.framed) {
                return Some(idle.framed);
            }
            pool.open = pool.open.saturating_sub(1);
        }
        None
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: u64) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|_, pool| {
            let idle_before = pool.idle.len();
            pool.idle.retain(|idle| now < idle.reusable_until);
            pool.open = pool.open.saturating_sub((idle_before - pool.idle.len()) as u32);
            pool.open > 0 || !pool.idle.is_empty()
        });
    }

    fn release(&self, count: ConnectionCount, framed: Framed<TcpStream, ClientCodec>, since: u64, reusable_until: u64) {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&count.server) {
            pool.idle.push(Idle { framed, since, reusable_until });
        }
        // the connection is still open, so it remains counted
        std::mem::forget(count);
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
fn is_reusable(framed: &Framed<TcpStream, ClientCodec>) -> bool {
    let socket = socket2::SockRef::from(framed.io_ref());
    let unread = socket.peek(&mut [MaybeUninit::uninit()]);
    framed.is_read_buf_empty() && unread.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// The head of a request's own answer, and its body as far as it has arrived.
struct ReceivedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    /// Whether no other request's answer preceded it.
    clean: bool,
}

/// Returns whether an answer says nothing of where its body ends, so that only the end of its connection can.
fn has_no_length(head: &ResponseHead) -> bool {
    let may_have_body = !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_final = !head.status.is_informational();
    may_have_body
        && is_final
        && !head.headers().contains_key(CONTENT_LENGTH)
        && !head.headers().contains_key(TRANSFER_ENCODING)
}

/// Reads the next head on a connection.
async fn read_head(framed: &mut Framed<TcpStream, ClientCodec>) -> Result<ResponseHead, AnswerFault> {
    match framed.next().await {
        Some(Ok(head)) => Ok(head),
        Some(Err(error)) => Err(AnswerFault::of_head(&error)),
        None => Err(AnswerFault::NoHead),
    }
}

/// Sends a request and reads heads until its own answer's.
async fn exchange(
    mut framed: Framed<TcpStream, ClientCodec>,
    request: ServerRequest,
    faults: &AnswerFaultCounts,
) -> Result<ReceivedAnswer, AnswerFault> {
    let not_written = |_| AnswerFault::NoHead;
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = request.target;
    head.headers = request.headers;
    let size = if request.body.is_empty() { BodySize::None } else { BodySize::Sized(request.body.len() as u64) };
    framed.feed(Message::Item((RequestHeadType::from(head), size))).await.map_err(not_written)?;
    if !request.body.is_empty() {
        framed.feed(Message::Chunk(Some(request.body))).await.map_err(not_written)?;
    }
    SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut framed).await.map_err(not_written)?;
    // a surplus answer may precede the expected one; its attempt id shows that
    for surplus in 0..=MAX_SURPLUS_ANSWERS {
        let head = read_head(&mut framed).await?;
        let is_own = head.headers().get(&request.attempt_id_header) == Some(&request.attempt_id);
        if has_no_length(&head) {
            faults.count(AnswerFault::NoLength);
        }
        let message_type = framed.codec_ref().message_type();
        let mut answer_body = match message_type {
            MessageType::None => Body::Done(Some(framed)),
            // without a length, the end of the body can't be told from a broken connection
            MessageType::Stream => Body::Broken,
            MessageType::Payload => Body::More(Box::new(framed.into_map_codec(|c| c.into_payload_codec()))),
        };
        if is_own {
            return Ok(ReceivedAnswer {
                status: head.status,
                headers: head.headers,
                body: answer_body,
                clean: surplus == 0,
            });
        }
        faults.count(AnswerFault::Surplus);
        while let Body::More(payload) = &mut answer_body {
            match payload.next().await {
                Some(Ok(Some(_))) => {}
                Some(Ok(None)) => {
                    let Body::More(payload) = std::mem::replace(&mut answer_body, Body::Broken) else {
                        return Err(AnswerFault::CutShort);
                    };
                    answer_body = Body::Done(Some(payload.into_map_codec(|c| c.into_message_codec())));
                }
                Some(Err(error)) => return Err(AnswerFault::of_body(&error)),
                None => return Err(AnswerFault::CutShort),
            }
        }
        match answer_body {
            Body::Done(Some(next_framed)) => framed = next_framed,
            _ => return Err(AnswerFault::UnreadableBody),
        }
    }
    Err(AnswerFault::NoHead)
}

impl Answer {
    pub async fn next(&mut self) -> BodyRead {
        match &mut self.body {
            Body::Done(_) => {
                self.finish();
                BodyRead::End
            }
            Body::Broken => BodyRead::Broken,
            Body::More(payload) => match payload.next().await {
                Some(Ok(Some(bytes))) => BodyRead::Bytes(bytes),
                Some(Ok(None)) => {
                    if let Body::More(payload) = std::mem::replace(&mut self.body, Body::Broken) {
                        self.body = Body::Done(Some(payload.into_map_codec(|c| c.into_message_codec())));
                    }
                    self.finish();
                    BodyRead::End
                }
                Some(Err(error)) => self.break_off(AnswerFault::of_body(&error)),
                None => self.break_off(AnswerFault::CutShort),
            },
        }
    }

    fn break_off(&mut self, fault: AnswerFault) -> BodyRead {
        self.faults.count(fault);
        self.body = Body::Broken;
        BodyRead::Broken
    }

    /// Returns the connection to the pool, if it is reusable.
    fn finish(&mut self) {
        let Body::Done(Some(framed)) = &mut self.body else { return };
        let closes = self.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        // bytes after a complete answer belong to no request, like those of a surplus answer before it
        if !framed.is_read_buf_empty() {
            self.faults.count(AnswerFault::SurplusBytes);
        }
        let clean = self.clean && framed.is_read_buf_empty() && framed.codec_ref().keep_alive();
        let Body::Done(Some(framed)) = std::mem::replace(&mut self.body, Body::Done(None)) else { return };
        if let (Some(count), false, true) = (self.connection.take(), closes, clean) {
            let now = (self.now)();
            let pool = count.pool.clone();
            pool.release(count, framed, now, now + self.keep_alive_ms);
        }
    }
}
