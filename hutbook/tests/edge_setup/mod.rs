//! Test fixture: a single edge with a configuration and leases given by the test, and client connections to it.

// each test uses its own part of this
#![allow(dead_code)]

use hutbook::constants::*;
use hutbook::coordination::control::{LeaseGrant, ViewUpdate};
use hutbook::coordination::edge::Edge;
use hutbook::coordination::view::View;
use hutbook::state::byte_budget::ByteBudget;
use hutbook::state::config::{Config, Group, JobClass, Kind, Limits, Route, ScalerConfig};
use hutbook::state::entry::Member;
use hutbook::transport::client_api::{self, JobCounters};
use hutbook::transport::http::serve;
use hutbook::transport::leader_client::NetworkClient;
use hutbook::transport::network_environment::NetworkEnvironment;
use hutbook::transport::replica_runtime::Clock;
use hutbook::transport::rpc::{Handler, RpcTransport};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// In milliseconds; longer than any answer here takes on a busy machine.
pub const TIMEOUT_MS: u64 = 20_000;
/// Send time, in milliseconds, of a renewal whose lease outlasts every test.
pub const LONG_LEASE_MS: u64 = 3_600_000;

pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// Returns a view with the route `ask` and a store group of one machine.
pub fn view(store: SocketAddr) -> View {
    let group = Group {
        kind: Kind::Model,
        slo_ms: 500,
        min_servers: 1,
        max_servers: 4,
        max_in_flight: 4,
        jobs_per_warmup_slot: 1,
        max_pressure: 4.0,
        max_cache_usage: 0.9,
        proxy: None,
    };
    let route = Route {
        group: "lang".into(),
        path: "/".into(),
        job_class: "chat".into(),
        at_most_once: false,
        lookup: false,
        max_run_ms: 1_000,
        retention_ms: 60_000,
    };
    let config = Config {
        groups: BTreeMap::from([("lang".to_string(), group)]),
        routes: BTreeMap::from([("ask".to_string(), route)]),
        job_classes: BTreeMap::from([("chat".to_string(), JobClass { target_wait_ms: 100, rank: 0 })]),
        scaler: ScalerConfig::default(),
        limits: Limits::default(),
        proxy_routes: BTreeMap::new(),
        policy: Default::default(),
    };
    let member = Member { id: 5, addr: store.to_string() };
    let stores = hutbook::coordination::view::StoreGroup { wanted: vec![member], bootstrap_member: 5, actual: vec![] };
    View {
        revision: 1,
        config: Some(config),
        config_revision: 1,
        stores: BTreeMap::from([(1, stores)]),
        store_slots: vec![1; STORE_SLOTS as usize],
        ..View::default()
    }
}

/// Returns an edge with this view and the lease of a renewal that was sent at `sent_at`.
pub fn leased_edge(view: View, sent_at: u64) -> Arc<Edge> {
    let edge = Arc::new(Edge::new(1, "a", "edge"));
    grant(&edge, view, sent_at);
    edge
}

/// Applies the control group's answer to a renewal that was sent at `sent_at`: this view, and a lease.
pub fn grant(edge: &Edge, view: View, sent_at: u64) {
    let revision = view.revision;
    let update = ViewUpdate::FullView(Box::new(view));
    let (shares, cold_rates) = (BTreeMap::new(), BTreeMap::new());
    let grant = LeaseGrant {
        number: 1,
        term: 1,
        revision,
        update,
        shares,
        cold_rates,
        live_edges: 1,
        fleet_digest: Default::default(),
    };
    edge.apply_grant(sent_at, sent_at, grant);
}

/// Returns the edge's network environment, with a memory budget of `memory` bytes for requests.
pub fn environment(edge: Arc<Edge>, memory: usize) -> Arc<NetworkEnvironment> {
    let nobody: Handler = Arc::new(|_, _| {});
    let post = RpcTransport::start(1, 0, None, free_port(), nobody).expect("a thread");
    Arc::new(NetworkEnvironment::new(edge, NetworkClient { rpc: post, clock: Clock::start() }, ByteBudget::new(memory)))
}

/// Serves the client API of an edge and returns its address.
pub fn serve_client_api(environment: &Arc<NetworkEnvironment>) -> SocketAddr {
    let (addr, served, counters) = (free_port(), environment.clone(), Arc::new(JobCounters::default()));
    serve_in_thread(move || {
        let answer = move |request| client_api::handle_request(served.clone(), counters.clone(), request);
        serve(addr, 1, MAX_BODY_BYTES, Arc::new(AtomicBool::new(false)), answer).expect("a free port").0
    });
    addr
}

pub fn serve_in_thread(start: impl FnOnce() -> actix_server::Server + Send + 'static) {
    let (started, start_signal) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let server = start();
            started.send(()).expect("receiver is alive");
            let _ = server.await;
        })
    });
    start_signal.recv().expect("server has started");
}

/// Sends a request's head with a job id and an idempotency key, and these bytes of its body.
pub fn send(addr: SocketAddr, head: &str, connection: &str, length: usize, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("server is listening");
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS))).expect("a read time-out");
    let request = format!("{head} HTTP/1.1\r\nhost: h\r\nconnection: {connection}\r\ncontent-length: {length}\r\n");
    let job_headers = "corkdrum-job: j\r\nidempotency-key: k\r\n";
    stream.write_all(format!("{request}{job_headers}\r\n{body}").as_bytes()).expect("an open connection");
    stream
}

/// Returns all bytes received until the connection ends.
pub fn answer(mut stream: TcpStream) -> String {
    let mut received = vec![];
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}
