//! Clients of proxied requests: each sends a request to one edge and records the response and its time.

use super::edge_environment::{BackendSlot, EdgeEnvironment};
use super::simulated_network::World;
use super::*;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use hutbook::coordination::balancer::Placement;
use hutbook::coordination::control::{ControlRequest, ControlResponse};
use hutbook::protocol::config;
use hutbook::state::byte_budget::{ByteBudget, ReservedBytes};
use hutbook::state::config::{ProxyGroup, ProxyRoute, RetrySemantics};
use hutbook::transport::connection_pool::{BodyRead, ServerRequest};
use hutbook::transport::dispatch::{Gate, NoAnswer};
use hutbook::transport::header_names::HEADER_NAMES;
use hutbook::transport::leader_client::RpcClient;
use hutbook::transport::proxy::{serve, IncomingRequest, ProxyBody, ProxyEnvironment, ServerResponse};
use std::cell::RefCell;
use std::rc::Rc;

/// The only event of a simulated server's stream.
const EVENT: &[u8] = b"id: 1\ndata: x\n\n";

/// One turn as a client sends it.
#[derive(Clone, Debug, Default)]
pub struct TurnRequest {
    pub host: String,
    pub path: String,
    pub turn: String,
    /// Empty if the turn belongs to no program: then it is neither accounted nor retained.
    pub program: String,
    /// The turn that this one continues; empty for the first.
    pub previous_turn: String,
    /// How long the client waits for the end of the response, in milliseconds.
    pub patience_ms: u64,
}

/// The response as the client received it.
#[derive(Clone, Debug, PartialEq)]
pub struct TurnAnswer {
    pub status: u16,
    /// From the request to the head of the response, in milliseconds.
    pub took_ms: u64,
    /// When to retry, in milliseconds, if the response says so.
    pub retry_after_ms: Option<u64>,
    /// The stream reached its end.
    pub complete: bool,
}

/// A request in progress: `None` until its client has a response; it stays `None` if the client gives up.
pub type PendingTurn = Rc<RefCell<Option<TurnAnswer>>>;

/// A simulated server's response: one event after the server's work time, then the end.
pub struct SingleEventResponse {
    environment: EdgeEnvironment,
    headers: HeaderMap,
    work_ms: u64,
    sent: bool,
    /// The run's slot at the server.
    _slot: BackendSlot,
}

impl ServerResponse for SingleEventResponse {
    fn status(&self) -> StatusCode {
        StatusCode::OK
    }

    fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    async fn next(&mut self) -> BodyRead {
        if std::mem::replace(&mut self.sent, true) {
            return BodyRead::End;
        }
        self.environment.client.sleep(self.work_ms).await;
        BodyRead::Bytes(Bytes::from_static(EVENT))
    }
}

impl ProxyEnvironment for EdgeEnvironment {
    type Response = SingleEventResponse;

    fn memory(&self) -> &Arc<ByteBudget> {
        &self.memory
    }

    async fn grow(&self, holder: &mut ReservedBytes, bytes: usize) -> bool {
        holder.try_grow(bytes)
    }

    async fn send(&self, to: &Placement, request: ServerRequest, gate: Gate) -> Result<SingleEventResponse, NoAnswer> {
        let id = request.attempt.as_ref().and_then(|attempt| attempt.id.to_str().ok());
        let key = id.unwrap_or_default().to_string();
        self.client.world.0.borrow_mut().observed.proxied_sends.push((
            to.server.clone(),
            key.clone(),
            request.body.to_vec(),
        ));
        let mut headers = HeaderMap::new();
        headers.insert(HeaderName::from_static(HEADER_NAMES.seal), HeaderValue::from_static("seal"));
        let environment = self.clone();
        let work = move |_, back: Backend, slot| SingleEventResponse {
            environment,
            headers,
            work_ms: back.work_ms,
            sent: false,
            _slot: slot,
        };
        self.dispatch((&gate, 0), &to.addr, &key, work).await
    }
}

/// The longest a request of `stream_route` may take, and the target latency of its first event, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 4_000;
const ROUTE_TARGET_LATENCY_MS: u64 = 400;
/// How long its turns can be continued, in milliseconds.
const ROUTE_RETENTION_MS: u64 = 60_000;

/// The service of `stream_route`.
const MODEL_SERVICE: &str = "lang";

/// Builds a route of streams to the group `lang` that tries one server. `keeps_turns` says whether turns are retained.
pub fn stream_route(host: &str, path: &str, keeps_turns: bool) -> ProxyRoute {
    ProxyRoute {
        host: host.into(),
        prefix: path.into(),
        targets: vec![(MODEL_SERVICE.into(), 1)],
        retry_semantics: RetrySemantics::Stream,
        resumable: false,
        keeps_turns,
        retention_ms: ROUTE_RETENTION_MS,
        timeout_ms: ROUTE_TIMEOUT_MS,
        target_latency_ms: ROUTE_TARGET_LATENCY_MS,
        target_event_gap_ms: 0,
        rank: 0,
        max_attempts: 1,
        pinned: false,
    }
}

/// Builds a configuration (`text`) with these routes, whose services accept proxied requests in batches.
fn put_proxied(base: u64, change: &str, text: &str, routes: Vec<(&str, ProxyRoute)>) -> ControlRequest {
    let mut put = put_config_request(base, 0, change, text);
    if let ControlRequest::PutConfig { config, .. } = &mut put {
        **config = config::read(text).expect("a valid config");
        let services = routes.iter().flat_map(|(_, route)| &route.targets).map(|(service, _)| service.as_str());
        for service in services.chain([MODEL_SERVICE]) {
            let group = config.groups.get_mut(service).expect("the service exists");
            group.proxy = Some(ProxyGroup {
                max_connections: 0,
                cold_requests_per_s: 0.0,
                kv_cache_tokens: 0,
                tokens_per_event: 1,
                max_batch_size: 8,
                health_path: "/".into(),
            });
        }
        config.proxy_routes.extend(routes.into_iter().map(|(name, route)| (name.to_string(), route)));
    }
    put
}

impl World {
    /// Returns whether every edge has a lease and a configuration, and the store group of three has a leader.
    fn serves_turns(&self) -> bool {
        let serves = |name: &String| {
            let edge = self.edge(name);
            edge.has_lease(self.now()) && edge.view().config.is_some()
        };
        self.names("trailhead").iter().all(serves) && !self.leaders("bothy").is_empty() && self.voters("bothy") == 3
    }

    /// Puts this configuration with these routes in force, lists the servers (name, slots, milliseconds per request),
    /// and runs until the fleet serves them.
    pub fn serve_proxied(&self, text: &str, routes: Vec<(&str, ProxyRoute)>, servers: &[(&str, u32, u64)]) {
        assert!(matches!(self.issue(put_proxied(0, "first", text, routes)), Some(ControlResponse::Committed(_))));
        for (name, slots, work_ms) in servers {
            self.list_stream_server(name, "lang", *slots, *work_ms);
        }
        assert!(self.until(30_000, World::serves_turns), "the fleet did not come up");
        self.run(1_000);
    }

    /// Replaces the configuration in force and waits for the confirmation.
    pub fn change_proxied(&self, change: &str, text: &str, routes: Vec<(&str, ProxyRoute)>) {
        let base = self.view(&self.leader("refuge")).config_revision;
        let answer = self.issue(put_proxied(base, change, text, routes));
        assert!(matches!(answer, Some(ControlResponse::Committed(_))), "{answer:?}");
    }

    /// Lists a server of proxied streams that take `work_ms` each.
    pub fn list_stream_server(&self, name: &str, group: &str, slots: u32, work_ms: u64) {
        let server = Backend { model: true, slots, work_ms, reports_start: true, ..Backend::default() };
        self.list_server(name, group, "glen", server, 0);
    }

    /// Sets how long a simulated server takes for each request.
    pub fn set_work_ms(&self, server: &str, work_ms: u64) {
        if let Some(NodeKind::Backend(back)) = self.0.borrow_mut().nodes.get_mut(server).map(|node| &mut node.kind) {
            back.work_ms = work_ms;
        }
    }

    /// Returns (server, body) of each attempt to send this proxied request so far.
    pub fn sends_of(&self, id: &str) -> Vec<(String, Vec<u8>)> {
        let inner = self.0.borrow();
        let of = inner.observed.proxied_sends.iter().filter(|(_, of, _)| of == id);
        of.map(|(server, _, body)| (server.clone(), body.clone())).collect()
    }

    /// Returns the environment of an edge's proxied requests. There is one for the lifetime of its process.
    fn proxy_environment(&self, edge: &str) -> EdgeEnvironment {
        let state = self.edge(edge);
        if let Some(environment) =
            self.0.borrow().proxies.get(edge).filter(|environment| Arc::ptr_eq(&environment.edge, &state))
        {
            return environment.clone();
        }
        let environment = self.edge_environment(edge);
        self.0.borrow_mut().proxies.insert(edge.into(), environment.clone());
        environment
    }

    /// Starts a client that sends a turn to this edge and waits for its end.
    pub fn send_turn(&self, edge: &str, request: TurnRequest) -> PendingTurn {
        let pending = PendingTurn::default();
        let (reply, answer) = oneshot::channel();
        let (environment, edge_state, incoming) = (self.proxy_environment(edge), self.edge(edge), incoming(&request));
        self.spawn(edge, async move { serve(&environment, &edge_state, &HEADER_NAMES, incoming, reply).await });
        let (client, seen, sent_at) = (self.client_at("outside"), pending.clone(), self.now());
        self.spawn("outside", async move {
            let read = async {
                let outgoing = answer.await.ok()?;
                let retry_after_ms =
                    outgoing.headers.iter().find(|(name, _)| *name == RETRY_AFTER).and_then(|(_, v)| {
                        let seconds: f64 = v.to_str().ok()?.parse().ok()?;
                        Some((seconds * 1_000.0) as u64)
                    });
                let took_ms = client.now() - sent_at;
                let complete = read_to_end(outgoing.body).await;
                Some(TurnAnswer { status: outgoing.status.as_u16(), took_ms, retry_after_ms, complete })
            };
            let answer = tokio::select! {
                biased;
                answer = read => answer,
                _ = client.sleep(request.patience_ms) => None,
            };
            *seen.borrow_mut() = answer;
        });
        pending
    }
}

fn incoming(request: &TurnRequest) -> IncomingRequest {
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).expect("a valid header");
        headers.insert(HeaderName::from_static(name), value);
    };
    set(HEADER_NAMES.attempt_id, &request.turn);
    if !request.program.is_empty() {
        set(HEADER_NAMES.program, &request.program);
        set(HEADER_NAMES.session, &request.program);
        set(HEADER_NAMES.token_budget, "1000");
        set(HEADER_NAMES.token_counts, "10,10");
    }
    if !request.previous_turn.is_empty() {
        set(HEADER_NAMES.previous_turn, &request.previous_turn);
    }
    IncomingRequest {
        method: Method::POST,
        target: request.path.parse::<Uri>().expect("a valid path"),
        host: request.host.clone(),
        headers,
        body: Bytes::from_static(b"input"),
        is_http_10: false,
    }
}

/// Reads the body. Returns whether it reached its end.
async fn read_to_end(body: ProxyBody) -> bool {
    let ProxyBody::Events(mut events) = body else { return true };
    while let Some(event) = events.next().await {
        if event.is_err() {
            return false;
        }
    }
    true
}
