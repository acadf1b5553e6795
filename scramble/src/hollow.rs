//! Simulated ("hollow") edges, servers and clients, many of them in one process. An edge here is a real `Edge` that
//! renews its lease over a real connection but gets no requests; a server answers at once without doing any work; a
//! client requests jobs of fixed size from real edges.

use hutbook::coordination::edge::Edge;
use hutbook::transport::http::call;
use hutbook::transport::leader_client::{renew_lease, run_queues, LeaderClient, NetworkClient};
use hutbook::transport::network_environment::random_u64;
use hutbook::transport::replica_runtime::Clock;
use hutbook::transport::rpc::{RpcTransport, Traffic};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Threads that run hollow edges: a single one would be a bottleneck that no real fleet has.
const THREADS: usize = 2;
/// Time over which the edges are started one after the other, as in a real fleet, in milliseconds.
const START_SPREAD_MS: u64 = 2_000;
/// Number of turns of a program; each is followed by a tool call.
const TURNS: u64 = 4;
/// Size of a client's input in a turn and of the answer to it, in bytes.
pub const INPUT_BYTES: usize = 200;
pub const ANSWER_BYTES: usize = 400;
/// Maximum size of a request that a hollow server reads, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Counters of the process.
#[derive(Default)]
pub struct Counters {
    /// Number of times that a hollow edge lost its lease.
    pub lapses: AtomicU64,
    pub jobs_done: AtomicU64,
    pub jobs_other: AtomicU64,
    /// Sum of the jobs' durations from the request to the last byte, in milliseconds.
    pub jobs_ms: AtomicU64,
}

pub struct HollowNodes {
    pub clock: Clock,
    pub edges: Mutex<Vec<(Arc<Edge>, Arc<RpcTransport>)>>,
    pub counters: Counters,
}

impl Default for HollowNodes {
    fn default() -> Self {
        HollowNodes { clock: Clock::start(), edges: Mutex::default(), counters: Counters::default() }
    }
}

impl HollowNodes {
    /// Starts the edges in the background.
    pub fn start_edges(
        self: &Arc<Self>,
        edges: usize,
        zones: &'static [&'static str],
        seeds: &[String],
        at: SocketAddr,
    ) {
        for t in 0..THREADS {
            let (nodes, seeds) = (self.clone(), seeds.to_vec());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    for i in (t..edges).step_by(THREADS) {
                        nodes.start_edge(i, zones[i % zones.len()], seeds.clone(), at);
                        actix_rt::time::sleep(Duration::from_millis(START_SPREAD_MS * THREADS as u64 / edges as u64))
                            .await;
                    }
                    std::future::pending::<()>().await
                })
            });
        }
    }

    fn start_edge(self: &Arc<Self>, i: usize, zone: &str, seeds: Vec<String>, at: SocketAddr) {
        let edge = Arc::new(Edge::new(random_u64(), zone, &format!("hollow-{i}")));
        let transport = RpcTransport::on_current_runtime(edge.id, at);
        let client = NetworkClient { rpc: transport.clone(), clock: self.clock };
        self.edges.lock().unwrap().push((edge.clone(), transport.clone()));
        let (renewed_edge, renewal_client, nodes) = (edge.clone(), client.clone(), self.clone());
        actix_rt::spawn(async move {
            let metrics = |has: bool| {
                transport.cluster.store(renewed_edge.view().cluster, Ordering::Relaxed);
                if !has {
                    nodes.counters.lapses.fetch_add(1, Ordering::Relaxed);
                }
            };
            renew_lease(&renewed_edge, &LeaderClient::new(renewal_client), &seeds, metrics).await;
        });
        actix_rt::spawn(async move { run_queues(&edge, &client).await });
    }

    /// Returns (name, value) of the metrics of all hollow edges together.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let edges = self.edges.lock().unwrap();
        let now = self.clock.now();
        let minimum = |f: fn(&Edge) -> u64| edges.iter().map(|(e, _)| f(e)).min().unwrap_or(0);
        let sum = |i: usize| edges.iter().map(|(_, p)| p.traffic.metrics()[i].1).sum::<u64>();
        let mut out = vec![
            ("edges", edges.len() as u64),
            ("edges_licensed", edges.iter().filter(|(e, _)| e.has_lease(now)).count() as u64),
            ("least_term", minimum(Edge::term)),
            ("least_revision", minimum(|e| e.view().revision)),
            ("least_config_revision", minimum(|e| e.view().config_revision)),
            ("lapses_total", self.counters.lapses.load(Ordering::Relaxed)),
            ("jobs_done_total", self.counters.jobs_done.load(Ordering::Relaxed)),
            ("jobs_other_total", self.counters.jobs_other.load(Ordering::Relaxed)),
            ("jobs_ms_total", self.counters.jobs_ms.load(Ordering::Relaxed)),
        ];
        out.extend(Traffic::default().metrics().iter().enumerate().map(|(i, (n, _))| (*n, sum(i))));
        out
    }

    /// Generates `rate` jobs per second for `ms` milliseconds, spread over the real edges.
    pub async fn generate_jobs(self: Arc<Self>, real_edges: Vec<String>, rate: u64, ms: u64) {
        let (started_at_ms, mut programs) = (self.clock.now(), 0);
        // a program sends its jobs one after the other, since they build on each other
        let jobs_per_program = 2 * TURNS;
        while self.clock.now() < started_at_ms + ms && !real_edges.is_empty() {
            let edge = real_edges[programs as usize % real_edges.len()].clone();
            let nodes = self.clone();
            actix_rt::spawn(async move { nodes.run_program(edge, random_u64()).await });
            programs += 1;
            let next_at_ms = started_at_ms + programs * 1_000 * jobs_per_program / rate.max(1);
            actix_rt::time::sleep(Duration::from_millis(next_at_ms.saturating_sub(self.clock.now()))).await;
        }
    }

    async fn run_program(&self, edge: String, id: u64) {
        let url = format!("http://{edge}/v1/programs/{id:016x}");
        let terms = r#"{"allowance": 100000, "time_left_ms": 600000, "retention_s": 3600}"#;
        if !matches!(call("PUT", &url, &[], terms.into(), 5_000).await, Ok((200..=201, _, _))) {
            self.counters.jobs_other.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let turn = jzon::object! { route: "chat", text: "x".repeat(INPUT_BYTES), cap: 400 }.dump();
        let tool = jzon::object! { pad: "x".repeat(INPUT_BYTES) }.dump();
        for i in 0..TURNS {
            self.run_job(&format!("{url}/turns"), &format!("{id:016x}-t{i}"), turn.clone()).await;
            self.run_job(&format!("{url}/tools/thumbnail"), &format!("{id:016x}-k{i}"), tool.clone()).await;
        }
    }

    async fn run_job(&self, url: &str, key: &str, body: String) {
        let started_at_ms = self.clock.now();
        let answer = call("POST", url, &[("idempotency-key", key)], body, 20_000).await;
        let done = matches!(&answer, Ok((200, b, _)) if !b.starts_with("event") || b.contains("\"done\""));
        let counter = if done { &self.counters.jobs_done } else { &self.counters.jobs_other };
        counter.fetch_add(1, Ordering::Relaxed);
        self.counters.jobs_ms.fetch_add(self.clock.now() - started_at_ms, Ordering::Relaxed);
    }
}

/// Starts servers on `count` loopback ports from `first` on.
pub async fn start_servers(first: u16, count: usize, started_at: f64) -> std::io::Result<()> {
    for i in 0..count {
        let l = TcpListener::bind(("127.0.0.1", first + i as u16)).await?;
        actix_rt::spawn(async move {
            loop {
                match l.accept().await {
                    Ok((s, _)) => drop(actix_rt::spawn(serve(s, started_at))),
                    Err(_) => actix_rt::time::sleep(Duration::from_millis(50)).await,
                }
            }
        });
    }
    Ok(())
}

async fn serve(mut s: TcpStream, started_at: f64) {
    let _ = s.set_nodelay(true);
    let mut received: Vec<u8> = vec![];
    loop {
        let mut buf = [0; 4_096];
        let n = match s.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(n) => n,
        };
        received.extend_from_slice(&buf[..n]);
        while let Some((head, total)) = complete_request(&received) {
            let a = response(&head, started_at);
            received.drain(..total);
            if s.write_all(a.as_bytes()).await.is_err() {
                return;
            }
        }
        if received.len() > MAX_REQUEST_BYTES {
            return;
        }
    }
}

/// Returns a request's head and its total length once it has been received completely.
fn complete_request(received: &[u8]) -> Option<(String, usize)> {
    let end = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    let len = head.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    let total = end + len.unwrap_or(0);
    (received.len() >= total).then_some((head, total))
}

/// Returns the response to a request: load metrics for a probe, a complete stream for a turn, a short JSON document for
/// a tool call.
pub fn response(head: &str, started_at: f64) -> String {
    let (kind, body) = if head.starts_with("get") {
        let t = format!(
            "process_start_time_seconds {started_at:.3}\nvllm:num_requests_waiting 0\nvllm:gpu_cache_usage_perc 0\n"
        );
        ("text/plain", t)
    } else if head.contains("/chat/completions") {
        let tokens = ANSWER_BYTES / 4;
        let chunk = jzon::object! {
            choices: [{ delta: { content: "y".repeat(ANSWER_BYTES) } }], usage: { completion_tokens: tokens },
        };
        let last = jzon::object! { choices: [], usage: { completion_tokens: tokens } };
        ("text/event-stream", format!("data: {}\n\ndata: {}\n\ndata: [DONE]\n\n", chunk.dump(), last.dump()))
    } else {
        ("application/json", "{\"ok\":true}".to_string())
    };
    format!("HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}
