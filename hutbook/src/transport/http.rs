//! HTTP/1.1 servers for clients and operators, and the HTTP client for backends.

use super::answer_body::{AnswerBody, HeldBytes};
use super::answer_stream::StreamReceiver;
use super::client_connection::{ClientConnection, REFUSAL};
use super::client_stream::ClientStream;
use super::connection_pool::single_call::single_call;
use super::connection_pool::{Answer, ServerRequest};
use super::connections::{Connections, ListenerTimeouts};
use super::dispatch::{Gate, NoAnswer};
use crate::constants::*;
use crate::state::byte_budget::ReservedBytes;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::DispatchError;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, HttpService, KeepAlive, Method, Protocol, Request, Response, StatusCode, Uri, Version};
use actix_server::Server;
use actix_service::{fn_service, ServiceFactoryExt};
use bytes::Bytes;
use futures_util::StreamExt;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// A request as received, read to its end.
#[derive(Debug, Default)]
pub struct HttpRequest {
    pub method: String,
    pub path: Vec<String>,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether its client can't read chunks. The end of a stream would be the end of its connection, and a broken
    /// stream would look like a complete one.
    pub is_http_10: bool,
}

pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: ResponseBody,
}

pub enum ResponseBody {
    Full(&'static str, String),
    /// Server-sent events.
    Events(StreamReceiver),
}

impl HttpResponse {
    pub fn json(status: u16, json: jzon::JsonValue) -> HttpResponse {
        HttpResponse { status, headers: vec![], body: ResponseBody::Full("application/json", json.dump()) }
    }

    /// Builds an error response with its stable code.
    pub fn error(status: u16, code: &str, why: impl Into<String>) -> HttpResponse {
        HttpResponse::json(status, jzon::object! { error: code, why: why.into() })
    }

    pub fn text(text: String) -> HttpResponse {
        HttpResponse { status: 200, headers: vec![], body: ResponseBody::Full("text/plain; charset=utf-8", text) }
    }

    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> HttpResponse {
        self.headers.push((name, value.into()));
        self
    }
}

/// Number of requests that are being answered, including their streams.
pub type Active = Arc<AtomicU64>;

/// A request that is being answered on its connection.
struct ActiveRequest {
    active: Active,
    connection: Option<Arc<ClientConnection>>,
}

impl ActiveRequest {
    fn begin(active: &Active, connection: Option<Arc<ClientConnection>>) -> ActiveRequest {
        active.fetch_add(1, Ordering::Relaxed);
        if let Some(connection) = &connection {
            connection.begin_request();
        }
        ActiveRequest { active: active.clone(), connection }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        if let Some(connection) = &self.connection {
            connection.end_request();
        }
    }
}

/// Closes the listener, then waits until no request is being answered any more. Open idle connections are not waited
/// for. Returns false if the time ran out.
pub async fn drain_server(handle: actix_server::ServerHandle, active: &Active, ms: u64) -> bool {
    actix_rt::spawn(handle.stop(true));
    let drained = async {
        let mut idle_ms = 0;
        // an answer may still be on its way out after its handler has returned
        while idle_ms < SHUTDOWN_QUIET_MS {
            actix_rt::time::sleep(Duration::from_millis(TICK_MS)).await;
            idle_ms = if active.load(Ordering::Relaxed) == 0 { idle_ms + TICK_MS } else { 0 };
        }
    };
    actix_rt::time::timeout(Duration::from_millis(ms), drained).await.is_ok()
}

/// A listener for clients and its limits.
pub struct Listener {
    pub addr: SocketAddr,
    pub workers: usize,
    pub connections: Arc<Connections>,
    pub timeouts: Arc<ListenerTimeouts>,
}

impl Listener {
    /// Returns a listener whose connections count among those of the process, with the time limits of an API.
    pub fn of_api(addr: SocketAddr, workers: usize, connections: Arc<Connections>) -> Listener {
        Listener { addr, workers, connections, timeouts: ListenerTimeouts::new(KEEP_ALIVE_MS, REQUEST_READ_TIMEOUT_MS) }
    }

    /// Returns a listener with connections of its own that only constants limit.
    fn unlimited(addr: SocketAddr, workers: usize, keep_alive_ms: u64) -> Listener {
        let connections = Connections::unlimited();
        actix_rt::spawn(connections.clone().watch());
        let timeouts = ListenerTimeouts::new(keep_alive_ms, REQUEST_READ_TIMEOUT_MS);
        Listener { addr, workers, connections, timeouts }
    }
}

/// Serves `handler` until the server is stopped. While `closing` is set, connections are closed after their answer.
pub fn serve<F, R>(
    addr: SocketAddr,
    workers: usize,
    max_body_bytes: usize,
    closing: Arc<AtomicBool>,
    handler: F,
) -> std::io::Result<(Server, Active)>
where
    F: Fn(HttpRequest) -> R + Send + Clone + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    serve_on(Listener::unlimited(addr, workers, KEEP_ALIVE_MS), max_body_bytes, closing, handler)
}

/// Like `serve`, on a listener with limits.
pub fn serve_on<F, R>(
    listener: Listener,
    max_body_bytes: usize,
    closing: Arc<AtomicBool>,
    handler: F,
) -> std::io::Result<(Server, Active)>
where
    F: Fn(HttpRequest) -> R + Send + Clone + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    serve_requests_on(listener, None, move |req| {
        let (handler, closing) = (handler.clone(), closing.clone());
        async move {
            let connection = client_connection(&req);
            let response = match read(req, max_body_bytes, connection.as_ref()).await {
                Ok((request, _held)) => handler(request).await,
                Err(response) => response,
            };
            reply(response, closing.load(Ordering::Relaxed), connection).await
        }
    })
}

/// Set once idle connections are to be closed, and busy ones after their answer.
pub type Drain = tokio::sync::watch::Receiver<bool>;

/// Like `serve`, with the library's own request and response types.
pub fn serve_requests<F, R>(
    addr: SocketAddr,
    workers: usize,
    keep_alive_ms: u64,
    drain: Option<Drain>,
    handler: F,
) -> std::io::Result<(Server, Active)>
where
    F: Fn(Request) -> R + Send + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    serve_requests_on(Listener::unlimited(addr, workers, keep_alive_ms), drain, handler)
}

/// Like `serve_requests`, on a listener with limits.
pub fn serve_requests_on<F, R>(
    listener: Listener,
    drain: Option<Drain>,
    handler: F,
) -> std::io::Result<(Server, Active)>
where
    F: Fn(Request) -> R + Send + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let active = Active::default();
    let active_requests = active.clone();
    let Listener { addr, workers, connections, timeouts } = listener;
    let server = Server::build()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(HTTP_STOP_TIMEOUT_MS / 1_000)
        .bind("http", addr, move || {
            let handler = handler.clone();
            let active_requests = active_requests.clone();
            let (connections, timeouts) = (connections.clone(), timeouts.clone());
            let drain = drain.clone();
            let http = HttpService::build()
                .graceful_shutdown_signal(move || wait_for_drain(drain.clone()))
                // the connections' own time limits apply
                .keep_alive(KeepAlive::Os)
                .client_request_timeout(Duration::ZERO)
                .client_disconnect_timeout(Duration::from_millis(WRITE_TIMEOUT_MS))
                .h1_write_buffer_size(WRITE_BUFFER_BYTES)
                .on_connect_ext(|stream: &ClientStream, data| {
                    data.insert(stream.connection().clone());
                })
                .finish(move |req: Request| {
                    let handler = handler.clone();
                    let active_request = ActiveRequest::begin(&active_requests, client_connection(&req));
                    // boxed, because an idle connection would keep the space for it
                    Box::pin(async move {
                        let response = handler(req).await;
                        Ok::<_, actix_http::Error>(
                            response.map_body(|_, b| CountedBody { body: b, _active: active_request }),
                        )
                    })
                });
            fn_service(move |stream: TcpStream| {
                let admitted = admit(stream, &connections, &timeouts);
                async move { admitted }
            })
            .and_then(http)
        })?
        .run();
    Ok((server, active))
}

/// Returns the connection on which a request arrived.
pub fn client_connection(req: &Request) -> Option<Arc<ClientConnection>> {
    req.conn_data::<Arc<ClientConnection>>().cloned()
}

/// Completes once idle connections are to be closed; never if that isn't signalled.
async fn wait_for_drain(drain: Option<Drain>) {
    let signalled = match drain {
        Some(mut drain) => drain.wait_for(|is_set| *is_set).await.is_ok(),
        None => false,
    };
    // the sender is gone, so the signal can't arrive any more
    if !signalled {
        std::future::pending::<()>().await;
    }
}

type AdmittedStream = (ClientStream, Protocol, Option<SocketAddr>);

/// Admits a new connection, or refuses it with an answer.
fn admit(
    stream: TcpStream,
    connections: &Arc<Connections>,
    timeouts: &Arc<ListenerTimeouts>,
) -> Result<AdmittedStream, DispatchError> {
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().ok();
    match connections.admit(timeouts) {
        Some(connection) => Ok((ClientStream::new(stream, connection), Protocol::Http1, peer)),
        None => {
            let _ = stream.try_write(REFUSAL.as_bytes());
            Err(DispatchError::Io(std::io::ErrorKind::ConnectionRefused.into()))
        }
    }
}

/// Response body that keeps its request counted as active until the last byte is written.
struct CountedBody {
    body: BoxBody,
    _active: ActiveRequest,
}

impl MessageBody for CountedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// Reads a request to its end. The memory of its body is reserved as it arrives, for as long as the request is served.
async fn read(
    mut req: Request,
    max_bytes: usize,
    connection: Option<&Arc<ClientConnection>>,
) -> Result<(HttpRequest, Option<HeldBody>), HttpResponse> {
    let mut request = HttpRequest {
        method: req.method().to_string(),
        is_http_10: req.version() < Version::HTTP_11,
        ..HttpRequest::default()
    };
    request.path = req.path().split('/').filter(|part| !part.is_empty()).map(percent_decode).collect();
    let query = req.uri().query().unwrap_or("");
    if query.split('&').count() > MAX_QUERY_PARAMETERS {
        return Err(HttpResponse::error(400, "bad_query", format!("more than {MAX_QUERY_PARAMETERS} parameters")));
    }
    for pair in query.split('&').filter(|part| !part.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        request.query.insert(percent_decode(name), percent_decode(value));
    }
    for (name, value) in req.headers() {
        request.headers.insert(name.as_str().to_string(), value.to_str().unwrap_or("").to_string());
    }
    let mut body = Vec::new();
    let mut payload = req.take_payload();
    let mut held = connection.map(HeldBody::new);
    if let Some(connection) = connection {
        connection.resume_reading();
    }
    let read_body = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| HttpResponse::error(400, "bad_body", "the body broke off"))?;
            if body.len() + chunk.len() > max_bytes {
                return Err(HttpResponse::error(413, "body_too_large", format!("more than {max_bytes} bytes")));
            }
            if let Some(held) = &mut held {
                if !held.grow(chunk.len()).await {
                    return Err(memory_refusal());
                }
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    match actix_rt::time::timeout(Duration::from_millis(REQUEST_READ_TIMEOUT_MS), read_body).await {
        Ok(result) => result?,
        Err(_) => return Err(HttpResponse::error(408, "slow_body", "the body did not come in time")),
    }
    if let Some(connection) = connection {
        connection.end_of_body();
    }
    request.body =
        String::from_utf8(body).map_err(|_| HttpResponse::error(400, "bad_body", "the body is not UTF-8"))?;
    Ok((request, held))
}

/// Builds the answer when the memory for requests is used up: nothing was begun, and the client may retry.
pub fn memory_refusal() -> HttpResponse {
    HttpResponse::error(503, "memory", "no memory is left for this request; nothing was begun")
        .with_header("retry-after", "1")
        .with_header("connection", "close")
}

/// The memory of a request's body, counted at its connection.
struct HeldBody {
    connection: Arc<ClientConnection>,
    memory: ReservedBytes,
}

impl HeldBody {
    fn new(connection: &Arc<ClientConnection>) -> HeldBody {
        let memory = connection.connections().budget().reserve_existing(0);
        HeldBody { connection: connection.clone(), memory }
    }

    /// Reserves more memory. Returns false if there is none.
    async fn grow(&mut self, bytes: usize) -> bool {
        let is_grown = self.connection.grow_for_body(&mut self.memory, bytes).await;
        if is_grown {
            self.connection.add_held(bytes);
        }
        is_grown
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.connection.remove_held(self.memory.bytes());
    }
}

/// Decodes percent escapes; invalid ones stay unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = vec![];
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes.get(index + 1..index + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[index], hex.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Builds the response. Memory for a long body is reserved until it has been written.
async fn reply(response: HttpResponse, closing: bool, connection: Option<Arc<ClientConnection>>) -> Response<BoxBody> {
    let held = match (&response.body, connection) {
        (ResponseBody::Full(_, text), Some(connection)) if text.len() > FREE_STREAM_BUFFER_BYTES => {
            match connection.connections().reserve(text.len()).await {
                Some(memory) => Some(HeldBytes::new(connection, memory)),
                None => return build(memory_refusal(), closing, None),
            }
        }
        _ => None,
    };
    build(response, closing, held)
}

fn build(response: HttpResponse, closing: bool, held: Option<HeldBytes>) -> Response<BoxBody> {
    let mut builder =
        Response::build(StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    for (name, value) in response.headers {
        builder.insert_header((name, value));
    }
    if closing {
        builder.insert_header(("connection", "close"));
    }
    match response.body {
        ResponseBody::Full(content_type, text) => {
            builder.insert_header(("content-type", content_type));
            builder.body(AnswerBody::new(text.into(), held)).map_into_boxed_body()
        }
        ResponseBody::Events(receiver) => {
            builder.insert_header(("content-type", "text/event-stream"));
            builder.insert_header(("cache-control", "no-store"));
            builder.body(receiver.into_body(|| {})).map_into_boxed_body()
        }
    }
}

/// Sends a request and returns the complete, size-limited answer: status, body and headers. An error if there is none.
pub async fn call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: String,
    ms: u64,
) -> Result<(u16, String, BTreeMap<String, String>), NoAnswer> {
    gated_call(method, url, headers, body, ms, Box::new(|| true)).await
}

/// Like `call`, with a gate that is checked when the request is written.
pub async fn gated_call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: String,
    ms: u64,
    gate: Gate,
) -> Result<(u16, String, BTreeMap<String, String>), NoAnswer> {
    let exchange = async {
        let mut answer = open_call(method, url, headers, body, ms, gate).await?;
        let body = answer.read_to_end(MAX_BODY_BYTES).await.ok_or(NoAnswer { sent: true })?;
        let headers = answer.headers.iter();
        let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_string()));
        Ok((answer.status.as_u16(), String::from_utf8_lossy(&body).into_owned(), headers.collect()))
    };
    actix_rt::time::timeout(Duration::from_millis(ms), exchange).await.unwrap_or(Err(NoAnswer { sent: true }))
}

/// Sends a request and waits up to `ms` for the head of its answer.
pub async fn open_call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: String,
    ms: u64,
    gate: Gate,
) -> Result<Answer, NoAnswer> {
    let unsent = NoAnswer { sent: false };
    let target: Uri = url.parse().map_err(|_| unsent)?;
    let method: Method = method.parse().map_err(|_| unsent)?;
    let authority = target.authority().ok_or(unsent)?.to_string();
    let mut header_map = HeaderMap::new();
    let host = [("host", authority.as_str()), ("connection", "close")];
    for (name, value) in host.iter().chain(headers) {
        let name: HeaderName = name.parse().map_err(|_| unsent)?;
        header_map.insert(name, HeaderValue::from_str(value).map_err(|_| unsent)?);
    }
    let request = ServerRequest {
        method,
        target,
        headers: header_map,
        body: body.into(),
        attempt: None,
        timeout_ms: ms,
        needs_fresh_connection: true,
    };
    single_call(&authority, request, gate).await
}

/// Returns the first sample of a gauge in Prometheus text, whatever its labels.
pub fn gauge(text: &str, name: &str) -> Option<f64> {
    let is_gauge = |line: &&str| line.strip_prefix(name).is_some_and(|rest| rest.starts_with([' ', '{']));
    text.lines().find(is_gauge)?.rsplit(' ').next()?.parse().ok()
}
