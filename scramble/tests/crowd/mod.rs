//! Test fixture: a small site of real processes with little memory, a stand-in server with long answers, and crowds of
//! clients that misbehave.

use hutbook::transport::header_names::HEADER_NAMES;
use hutbook::transport::http::call;
use scramble::fault_script::Deployment;
use scramble::process_fleet::ProcessFleet;
use scramble::soak::http::{read_body, read_head, Head};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Memory of the machines under test, in megabytes of 1,000,000 bytes. No process may have more resident memory.
pub const EDGE_MEMORY_MB: u64 = 48;
pub const NODE_MEMORY_MB: u64 = 64;
const MEGABYTE_BYTES: u64 = 1_000_000;
/// Receive buffer of a client that reads slowly, in bytes.
const CLIENT_BUFFER_BYTES: u32 = 4_096;
/// How long a crowd stays before the processes are checked, in milliseconds.
const CROWD_STAYS_MS: u64 = 4_000;
/// Time limit for conditions that must come about, in milliseconds: many times what an idle machine needs.
const PATIENCE_MS: u64 = 60_000;
const POLL_INTERVAL_MS: u64 = 50;
/// Time limit of one attempt of an ordinary client, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 10_000;
/// Length of the body that an ordinary client requests, in bytes.
const ORDINARY_BODY_BYTES: usize = 2_000;
const FIRST_PORT: u16 = 27_000;
/// Number of ports of one site, and of sites after which ports are used again.
const PORTS: u16 = 20;
const SITES: u64 = 200;
const HOST: &str = "crowd.example";

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Runs one test while no other test with a crowd runs.
pub fn run(test: impl Future<Output = ()>) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    actix_rt::System::new().block_on(test);
}

pub async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(PATIENCE_MS) {
        if holds() {
            return;
        }
        sleep(POLL_INTERVAL_MS).await;
    }
    panic!("not within {PATIENCE_MS} ms: {what}");
}

/// A controller, a store, an edge and a stand-in server.
pub struct Site {
    pub fleet: ProcessFleet,
    pub server: Rc<StandInServer>,
}

pub const CONTROLLER: &str = "refuge1";
pub const STORE: &str = "bothy1";
pub const EDGE: &str = "trailhead1";

impl Site {
    pub async fn start() -> Site {
        Site::start_with_descriptors(None).await
    }

    /// Starts a site whose edge may open only so many descriptors.
    pub async fn start_with_descriptors(edge_descriptors: Option<u64>) -> Site {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("corkdrum-crowd-{}-{number}", std::process::id()));
        let port = FIRST_PORT + ((u64::from(std::process::id()) * 7 + number) % SITES) as u16 * PORTS;
        let mut fleet = ProcessFleet::new(&folder, port, Deployment::Glenmorven).expect("a folder");
        fleet.proxied_stop_s = Some(5);
        fleet.memory_mb.insert("trailhead", EDGE_MEMORY_MB);
        fleet.memory_mb.insert("bothy", NODE_MEMORY_MB);
        fleet.memory_mb.insert("refuge", NODE_MEMORY_MB);
        fleet.descriptors.extend(edge_descriptors.map(|limit| ("trailhead", limit)));
        fleet.start_small_fleet();
        let server = StandInServer::start().await;
        let site = Site { fleet, server };
        assert!(site.fleet.put_config(0, "first", &document()).await.is_some_and(|(status, _)| status == 200));
        let listing = jzon::object! { group: "app", address: site.server.address.as_str(), cell: "ben" };
        let listed = site.fleet.call_controllers("PUT", "/v1/servers/app1", &[], &listing.dump()).await;
        assert!(listed.is_some_and(|(status, ..)| status == 200));
        assert!(site.fleet.wait_until_ready(PATIENCE_MS).await, "the site is ready");
        site.serves_ordinary_clients().await;
        site
    }

    pub fn front(&self) -> SocketAddr {
        self.fleet.processes[EDGE].proxy_addr.parse().expect("an address")
    }

    pub fn http(&self, name: &str) -> SocketAddr {
        self.fleet.processes[name].http_addr.parse().expect("an address")
    }

    pub fn wire(&self, name: &str) -> SocketAddr {
        self.fleet.rpc_addr(name).parse().expect("an address")
    }

    /// Checks that every process lives within its machine's memory while the crowd stays, and that an ordinary client
    /// and an operator are served.
    pub async fn holds_out(&mut self) {
        sleep(CROWD_STAYS_MS).await;
        self.is_alive_within_memory();
        self.serves_ordinary_clients().await;
        self.serves_operators().await;
        self.is_alive_within_memory();
    }

    pub fn is_alive_within_memory(&mut self) {
        for (name, memory_mb) in [(EDGE, EDGE_MEMORY_MB), (STORE, NODE_MEMORY_MB), (CONTROLLER, NODE_MEMORY_MB)] {
            assert_eq!(self.fleet.take_exit(name), None, "{name} has ended");
            let peak = self.memory_kb(name, "VmHWM:") * 1_024;
            let limit = memory_mb * MEGABYTE_BYTES;
            println!("{name} took {} MB at most", peak / MEGABYTE_BYTES);
            assert!(peak <= limit, "{name} took {} MB of {memory_mb} MB", peak / MEGABYTE_BYTES);
        }
    }

    /// Returns a figure of a process's memory, in kilobytes of 1,024 bytes.
    pub fn memory_kb(&self, name: &str, field: &str) -> u64 {
        let pid = self.fleet.pid(name).expect("a running process");
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix(field)).expect("the field");
        line.split_whitespace().next().and_then(|number| number.parse().ok()).expect("a number")
    }

    pub fn descriptors(&self, name: &str) -> usize {
        let pid = self.fleet.pid(name).expect("a running process");
        std::fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process").count()
    }

    /// Checks that an ordinary client gets its answer, with as many attempts as its patience allows.
    pub async fn serves_ordinary_clients(&self) {
        let path = format!("/plain/{ORDINARY_BODY_BYTES}");
        let body = self.patient_request("GET", &path, "", "").await;
        assert_eq!(body.len(), ORDINARY_BODY_BYTES);
    }

    async fn serves_operators(&self) {
        let answer = self.fleet.call_controllers("GET", "/v1/status", &[], "").await;
        assert!(answer.is_some_and(|(status, ..)| status == 200), "an operator got no answer");
        for name in [STORE, EDGE] {
            let url = format!("http://{}/readyz", self.http(name));
            let answer = call("GET", &url, &[], String::new(), ATTEMPT_TIMEOUT_MS).await;
            assert!(matches!(answer, Ok((200, ..))), "{name} is not ready: {answer:?}");
        }
    }

    /// Sends a request as an ordinary client does, again after each failure, and returns the body of the success.
    pub async fn patient_request(&self, method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
        let mut last_failure = String::new();
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(PATIENCE_MS) {
            let request = request(method, path, headers, body);
            let attempt = actix_rt::time::timeout(Duration::from_millis(ATTEMPT_TIMEOUT_MS), self.exchange(&request));
            match attempt.await {
                Ok(Some((200, body))) => return body,
                other => last_failure = format!("{other:?}").chars().take(200).collect(),
            }
            sleep(200).await;
        }
        panic!("an ordinary client got no answer: {last_failure}");
    }

    async fn exchange(&self, request: &[u8]) -> Option<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect(self.front()).await.ok()?;
        stream.write_all(request).await.ok()?;
        read_answer(&mut stream).await
    }
}

/// Reads one answer to its end.
pub async fn read_answer(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut bytes = vec![];
    let head = read_head(stream, &mut bytes).await?;
    let body = read_body(stream, &mut bytes, &head).await?;
    Some((head.status, body))
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.fleet.dir);
    }
}

fn document() -> String {
    let route = |path: &str, kind: &str, timeout_ms: u64, keeps_turns: bool| {
        jzon::object! {
            host: HOST, prefix: path, services: { app: 1 }, kind: kind, timeout_ms: timeout_ms, target_ms: 5_000, tries: 1,
            keep_turns: keeps_turns, retention_s: 60,
        }
    };
    let document = jzon::object! {
        groups: {
            own: { kind: "model", slo_ms: 1000, least: 1, most: 4, in_flight: 8 },
            app: { kind: "model", slo_ms: 1000, least: 1, most: 4, in_flight: 10_000, proxied: { connections_most: 0 } },
        },
        routes: { own: { group: "own", work: "any" } },
        work: { any: { wait_ms: 1000 } },
        proxy_routes: {
            plain: route("/plain/", "repeatable", 20_000, false),
            once: route("/once/", "once_only", 20_000, false),
            stream: route("/stream/", "stream", 20_000, false),
            brief: route("/brief/", "stream", 2_000, false),
            parts: route("/parts/", "stream", 20_000, false),
            turn: route("/turn/", "stream", 20_000, true),
        },
    };
    document.dump()
}

/// Returns an id that no request has had.
pub fn new_id() -> String {
    format!("crowd-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Returns a whole request to the edge's listener for proxied requests, with an id of its own.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    let id = new_id();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{headers}{length}\r\n{body}",
        HEADER_NAMES.attempt_id
    )
    .into_bytes()
}

/// Opens a connection whose client takes in little at a time.
pub async fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES).ok()?;
    socket.connect(addr).await.ok()
}

/// Opens a connection for each client and sends what `sent` returns for it. The clients read nothing. One that is
/// refused drops out.
pub async fn crowd(clients: usize, addr: SocketAddr, sent: impl Fn() -> Vec<u8>) -> Vec<TcpStream> {
    let mut streams = vec![];
    for _ in 0..clients {
        let connecting = actix_rt::time::timeout(Duration::from_millis(ATTEMPT_TIMEOUT_MS), connect(addr)).await;
        // a listener that accepts nobody holds all others up as well
        let Ok(connected) = connecting else { break };
        let Some(mut stream) = connected else { continue };
        let bytes = sent();
        let written =
            actix_rt::time::timeout(Duration::from_millis(ATTEMPT_TIMEOUT_MS), stream.write_all(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            streams.push(stream);
        }
    }
    streams
}

/// Returns whether the other side has ended the connection. What it sent before is read and dropped.
async fn has_ended(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; CLIENT_BUFFER_BYTES as usize];
    loop {
        match actix_rt::time::timeout(Duration::from_millis(1), stream.read(&mut buffer)).await {
            Ok(Ok(0)) | Ok(Err(_)) => return true,
            Ok(Ok(_)) => {}
            Err(_) => return false,
        }
    }
}

/// Waits until the other side has ended all of these connections.
pub async fn wait_for_ends(mut streams: Vec<TcpStream>) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(PATIENCE_MS) {
        let mut open = vec![];
        for mut stream in streams {
            if !has_ended(&mut stream).await {
                open.push(stream);
            }
        }
        if open.is_empty() {
            return;
        }
        streams = open;
        sleep(POLL_INTERVAL_MS).await;
    }
    panic!("{} connections are still open after {PATIENCE_MS} ms", streams.len());
}

/// Waits until the other side has reset all of these connections, whose clients go on reading nothing.
pub async fn wait_for_resets(mut streams: Vec<TcpStream>) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(PATIENCE_MS) {
        // an empty line before a request means nothing; only on a connection that is gone it fails
        streams.retain(|stream| {
            let written = stream.try_write(b"\r\n");
            written.is_ok() || written.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
        });
        if streams.is_empty() {
            return;
        }
        sleep(POLL_INTERVAL_MS).await;
    }
    panic!("{} connections are still open after {PATIENCE_MS} ms", streams.len());
}

/// Lets each client read a few bytes twice a second, until dropped.
pub fn drip(streams: Vec<TcpStream>) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(async move {
        let mut streams = streams;
        let mut buffer = [0; 500];
        loop {
            for stream in &mut streams {
                let _ = stream.try_read(&mut buffer);
            }
            sleep(500).await;
        }
    })
}

/// A server with answers as long as the path of a request says.
pub struct StandInServer {
    pub address: String,
    /// Number of requests whose answers are being written.
    pub answering: Cell<usize>,
    /// Number of open connections.
    pub connections: Cell<usize>,
}

const WRITE_BYTES: usize = 64 * 1_024;

impl StandInServer {
    async fn start() -> Rc<StandInServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener").to_string();
        let server = Rc::new(StandInServer { address, answering: Cell::new(0), connections: Cell::new(0) });
        let accepting_server = server.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                actix_rt::spawn(accepting_server.clone().serve(stream));
            }
        });
        server
    }

    async fn serve(self: Rc<StandInServer>, mut stream: TcpStream) {
        self.connections.set(self.connections.get() + 1);
        self.serve_requests(&mut stream).await;
        self.connections.set(self.connections.get() - 1);
    }

    async fn serve_requests(&self, stream: &mut TcpStream) {
        let mut bytes = vec![];
        while let Some(head) = read_head(stream, &mut bytes).await {
            self.answering.set(self.answering.get() + 1);
            let answered = answer(stream, &mut bytes, &head).await;
            self.answering.set(self.answering.get() - 1);
            if answered.is_none() {
                return;
            }
        }
    }
}

/// Answers one request. None if its connection has ended.
async fn answer(stream: &mut TcpStream, bytes: &mut Vec<u8>, head: &Head) -> Option<()> {
    let mut rest = head.content_length();
    while rest > bytes.len() {
        rest -= bytes.len();
        bytes.clear();
        stream.read_buf(bytes).await.ok().filter(|count| *count > 0)?;
    }
    bytes.drain(..rest);
    let id = head.header(HEADER_NAMES.attempt_id).unwrap_or_default();
    let headers = format!("{}: {id}\r\n{}: app1\r\n", HEADER_NAMES.attempt_id, HEADER_NAMES.seal);
    let path: Vec<&str> = head.target().split('?').next()?.split('/').skip(1).collect();
    let number = |index: usize| path.get(index).and_then(|text| text.parse::<usize>().ok()).unwrap_or(1);
    match path.first().copied() {
        Some("plain" | "once") => write_plain(stream, &headers, number(1)).await,
        Some("parts") => write_event_in_parts(stream, &headers, number(1), number(2)).await,
        Some(_) => write_events(stream, &headers, number(1), number(2)).await,
        None => None,
    }
}

async fn write_plain(stream: &mut TcpStream, headers: &str, length: usize) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let part = vec![b'x'; WRITE_BYTES];
    let mut rest = length;
    while rest > 0 {
        let count = rest.min(part.len());
        stream.write_all(&part[..count]).await.ok()?;
        rest -= count;
    }
    Some(())
}

async fn begin_stream(stream: &mut TcpStream, headers: &str) -> Option<()> {
    let head =
        format!("HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()
}

async fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
    stream.write_all(&chunk).await.ok()
}

async fn write_events(stream: &mut TcpStream, headers: &str, events: usize, event_bytes: usize) -> Option<()> {
    begin_stream(stream, headers).await?;
    let data = "e".repeat(event_bytes);
    for number in 1..=events {
        write_chunk(stream, format!("id: {number}\ndata: {data}\n\n").as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}

async fn write_event_in_parts(stream: &mut TcpStream, headers: &str, parts: usize, part_bytes: usize) -> Option<()> {
    begin_stream(stream, headers).await?;
    write_chunk(stream, b"id: 1\ndata: ").await?;
    let part = "p".repeat(part_bytes);
    for _ in 0..parts {
        write_chunk(stream, part.as_bytes()).await?;
    }
    write_chunk(stream, b"\n\n").await?;
    stream.write_all(b"0\r\n\r\n").await.ok()
}
