//! Listener for proxied requests: raw requests in, answers forwarded unchanged.

use super::connection_pool::{Answer, BodyRead, ConnectionPool, ServerRequest};
use super::dispatch::{Gate, NoAnswer};
use super::header_names::HeaderNames;
use super::network_environment::NetworkEnvironment;
use super::proxy::{serve, IncomingRequest, Outgoing, ProxyBody, ProxyEnvironment, ServerResponse};
use super::recovery_phases::Phase;
use super::replica_runtime::Clock;
use crate::constants::*;
use crate::coordination::balancer::Placement;
use crate::state::byte_budget::ReservedBytes;
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
            let pool = ConnectionPool::new(environment.answer_faults.clone());
            actix_rt::spawn(close_idle_connections(pool.clone(), environment.clock));
            pool
        };
        pool.get_or_init(new_pool).clone()
    })
}

impl ProxyEnvironment for Arc<NetworkEnvironment> {
    type Response = Answer;

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
    let Some(mut memory) = environment.requests.try_reserve(REQUEST_OVERHEAD_BYTES) else { return memory_refusal() };
    let incoming = match read(req, &mut memory).await {
        Ok(incoming) => incoming,
        Err(StatusCode::SERVICE_UNAVAILABLE) => return memory_refusal(),
        Err(status) => return empty_response(status),
    };
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
            reply(environment, outgoing, closing)
        }
        // its task ended without an answer: whether it ran is unknown
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(status);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Builds the answer when the memory for requests is used up: nothing was begun, and the client may retry.
fn memory_refusal() -> Response<BoxBody> {
    let seconds = format!("{:.2}", PROXY_RETRY_AFTER_MS as f64 / 1_000.0);
    let mut answer = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    answer.insert_header((CONTENT_TYPE, "application/json")).insert_header((RETRY_AFTER, seconds));
    // its body may not have been read to the end, and an open connection takes memory too
    answer.force_close();
    answer.body(r#"{"error":"edge_memory"}"#).map_into_boxed_body()
}

/// Reads the request to its end; the memory of its body is reserved as it arrives.
async fn read(mut req: Request, memory: &mut ReservedBytes) -> Result<IncomingRequest, StatusCode> {
    let mut body = BytesMut::new();
    let mut payload = req.take_payload();
    let read_body = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
            if body.len() + chunk.len() > MAX_PROXY_BODY_BYTES {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            if !memory.try_grow(PROXY_BODY_COPIES * chunk.len()) {
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

fn reply(environment: Arc<NetworkEnvironment>, outgoing: Outgoing, closing: bool) -> Response<BoxBody> {
    let mut response = Response::new(outgoing.status);
    for (name, value) in outgoing.headers {
        response.headers_mut().append(name, value);
    }
    if closing {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    match outgoing.body {
        ProxyBody::Full(body) => response.set_body(body.boxed()),
        ProxyBody::Events(receiver) => response.set_body(receiver.into_body(move || {
            environment.phases.reach(Phase::TurnServed, environment.clock.now(), &[]);
        })),
    }
}
