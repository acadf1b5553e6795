//! Listener for proxied requests: raw requests in, answers forwarded unchanged.

use super::answer_body::{AnswerBody, HeldBytes};
use super::client_connection::ClientConnection;
use super::connection_pool::{Answer, BodyRead, ConnectionPool, ServerRequest};
use super::dispatch::{Gate, NoAnswer};
use super::header_names::HeaderNames;
use super::http::client_connection;
use super::network_environment::NetworkEnvironment;
use super::proxy::{serve, IncomingRequest, Outgoing, ProxyBody, ProxyEnvironment, ServerResponse};
use super::recovery_phases::Phase;
use super::replica_runtime::Clock;
use crate::constants::*;
use crate::coordination::balancer::Placement;
use crate::state::byte_budget::{ByteBudget, ReservedBytes};
use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Request, Response, StatusCode, Version};
use bytes::BytesMut;
use futures_util::StreamExt;
use std::cell::OnceCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

thread_local! {
    // connections belong to one thread each
    static CONNECTION_POOL: OnceCell<ConnectionPool> = const { OnceCell::new() };
}

/// Returns this thread's pool. Its idle connections are closed in time from its creation on.
fn connection_pool(environment: &NetworkEnvironment) -> ConnectionPool {
    CONNECTION_POOL.with(|pool| {
        let new_pool = || {
            let (faults, slots) = (environment.answer_faults.clone(), environment.server_connections.clone());
            let pool = ConnectionPool::with_slots(faults, slots);
            actix_rt::spawn(close_idle_connections(pool.clone(), environment.clock));
            pool
        };
        pool.get_or_init(new_pool).clone()
    })
}

impl ProxyEnvironment for Arc<NetworkEnvironment> {
    type Response = Answer;

    fn memory(&self) -> &Arc<ByteBudget> {
        &self.requests
    }

    async fn grow(&self, holder: &mut ReservedBytes, bytes: usize) -> bool {
        self.connections.grow(holder, bytes).await
    }

    async fn send(&self, to: &Placement, request: ServerRequest, gate: Gate) -> Result<Answer, NoAnswer> {
        let clock = self.clock;
        let pool = connection_pool(self);
        pool.send(&to.server, &to.addr, to.max_connections, request, move || clock.now(), &*gate).await
    }
}

impl ServerResponse for Answer {
    fn status(&self) -> StatusCode {
        self.status
    }

    fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    async fn next(&mut self) -> BodyRead {
        Answer::next(self).await
    }
}

/// Closes a pool's expired idle connections, in an endless loop.
async fn close_idle_connections(pool: ConnectionPool, clock: Clock) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(POOL_CLEANUP_INTERVAL_MS)).await;
        pool.close_expired(clock.now());
    }
}

/// Handles one request: reads it to its end, proxies it in a separate task and returns its answer.
pub async fn handle_request(
    environment: Arc<NetworkEnvironment>,
    header_names: &'static HeaderNames,
    req: Request,
    closing: bool,
) -> Response<BoxBody> {
    let connection = client_connection(&req);
    let Some(memory) = environment.connections.reserve(REQUEST_OVERHEAD_BYTES).await else {
        return memory_refusal(&environment);
    };
    let mut memory = RequestMemory { environment: &environment, memory, connection: connection.as_ref(), counted: 0 };
    let incoming = match read(req, &mut memory).await {
        Ok(incoming) => incoming,
        Err(StatusCode::SERVICE_UNAVAILABLE) => return memory_refusal(&environment),
        Err(status) => {
            environment.refusals.count(rejection_code(status));
            return empty_response(status);
        }
    };
    let memory = memory.into_reserved();
    if let Some(connection) = &connection {
        connection.end_of_body();
    }
    let now = environment.clock.now();
    environment.phases.begin(Phase::ServerAnswered, now);
    environment.phases.begin(Phase::TurnServed, now);
    let (sender, receiver) = oneshot::channel();
    let task_environment = environment.clone();
    actix_rt::spawn(async move {
        serve(&task_environment, &task_environment.edge, header_names, incoming, sender).await;
        // released only now: the end of a turn may have waited for its store
        drop(memory);
    });
    match receiver.await {
        Ok(outgoing) => {
            match outgoing.own_code {
                Some(code) => environment.refusals.count(code),
                None => environment.phases.reach(Phase::ServerAnswered, environment.clock.now(), &[]),
            }
            reply(environment, outgoing, closing, connection)
        }
        // its task ended without an answer: whether it ran is unknown
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns the counter of requests that are rejected with this status before they are served.
fn rejection_code(status: StatusCode) -> &'static str {
    match status {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "head_too_long",
        StatusCode::PAYLOAD_TOO_LARGE => "body_too_long",
        StatusCode::REQUEST_TIMEOUT => "slow_body",
        _ => "broken_body",
    }
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(status);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Builds the answer when the memory for requests is used up: nothing was begun, and the client may retry.
fn memory_refusal(environment: &NetworkEnvironment) -> Response<BoxBody> {
    environment.refusals.count("edge_memory");
    let seconds = format!("{:.2}", PROXY_RETRY_AFTER_MS as f64 / 1_000.0);
    let mut answer = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    answer.insert_header((CONTENT_TYPE, "application/json")).insert_header((RETRY_AFTER, seconds));
    // its body may not have been read to the end, and an open connection takes memory too
    answer.force_close();
    answer.body(r#"{"error":"edge_memory"}"#).map_into_boxed_body()
}

/// Reads the request to its end; the memory of its body is reserved as it arrives.
async fn read(mut req: Request, memory: &mut RequestMemory<'_>) -> Result<IncomingRequest, StatusCode> {
    let limits = memory.environment.client_limits();
    let head_bytes = head_bytes(&req);
    if head_bytes > limits.max_header_bytes as usize {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    if !memory.grow(HEAD_COPIES * head_bytes.saturating_sub(FREE_HEAD_BYTES)).await {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut body = BytesMut::new();
    let mut payload = req.take_payload();
    if let Some(connection) = memory.connection {
        connection.resume_reading();
    }
    let read_body = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
            if body.len() + chunk.len() > limits.max_body_bytes as usize {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            if !memory.grow(PROXY_BODY_COPIES * chunk.len()).await {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    match actix_rt::time::timeout(Duration::from_millis(REQUEST_READ_TIMEOUT_MS), read_body).await {
        Ok(result) => result?,
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
    }
    drop(payload);
    let is_http_10 = req.version() < Version::HTTP_11;
    let head = req.head_mut();
    let host = head.headers.get("host").and_then(|h| h.to_str().ok()).unwrap_or_default().to_string();
    Ok(IncomingRequest {
        method: head.method.clone(),
        target: head.uri.clone(),
        host,
        headers: std::mem::take(&mut head.headers),
        body: body.freeze(),
        is_http_10,
    })
}

/// The memory of a request that is being read, counted at its connection.
struct RequestMemory<'a> {
    environment: &'a NetworkEnvironment,
    memory: ReservedBytes,
    connection: Option<&'a Arc<ClientConnection>>,
    /// Bytes that are counted at the connection.
    counted: usize,
}

impl RequestMemory<'_> {
    /// Reserves more memory. Returns false if there is none.
    async fn grow(&mut self, bytes: usize) -> bool {
        let is_grown = match self.connection {
            Some(connection) => connection.grow_for_body(&mut self.memory, bytes).await,
            None => self.environment.connections.grow(&mut self.memory, bytes).await,
        };
        if let (true, Some(connection)) = (is_grown, self.connection) {
            connection.add_held(bytes);
            self.counted += bytes;
        }
        is_grown
    }

    /// Returns the memory of a request that has been read; it belongs to the request, no longer to its connection.
    fn into_reserved(mut self) -> ReservedBytes {
        let nothing = self.environment.requests.reserve_existing(0);
        std::mem::replace(&mut self.memory, nothing)
    }
}

impl Drop for RequestMemory<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection {
            connection.remove_held(self.counted);
        }
    }
}

/// Returns the length of a request's line and headers.
fn head_bytes(req: &Request) -> usize {
    /// Separators of a header, and of the request line.
    const SEPARATORS_BYTES: usize = 4;
    let headers = req.head().headers().iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS_BYTES);
    req.uri().path_and_query().map_or(0, |target| target.as_str().len()) + headers.sum::<usize>()
}

fn reply(
    environment: Arc<NetworkEnvironment>,
    outgoing: Outgoing,
    closing: bool,
    connection: Option<Arc<ClientConnection>>,
) -> Response<BoxBody> {
    if let Some(connection) = &connection {
        connection.set_answer_deadline(outgoing.ends_at.map(|ends_at| ends_at + ANSWER_GRACE_MS));
    }
    let mut response = Response::new(outgoing.status);
    for (name, value) in outgoing.headers {
        response.headers_mut().append(name, value);
    }
    if closing {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    match outgoing.body {
        ProxyBody::Full(body, memory) => {
            let held = connection.zip(memory).map(|(connection, memory)| HeldBytes::new(connection, memory));
            response.set_body(AnswerBody::new(body, held).boxed())
        }
        ProxyBody::Parts(receiver, Some(length)) => response.set_body(receiver.into_sized_body(length, || {})),
        ProxyBody::Parts(receiver, None) => response.set_body(receiver.into_body(|| {})),
        ProxyBody::Events(receiver) => response.set_body(receiver.into_body(move || {
            environment.phases.reach(Phase::TurnServed, environment.clock.now(), &[]);
        })),
    }
}
