//! Servers on loopback that answer as a script says, and a client that reaches them through the connection pool.

// each test uses its own part of this
#![allow(dead_code)]

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::Method;
use bytes::Bytes;
use hutbook::transport::connection_pool::{Answer, AttemptId, BodyRead, ConnectionPool, ServerRequest};
use hutbook::transport::dispatch::NoAnswer;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// In milliseconds; longer than any answer here takes on a busy machine.
pub const TIMEOUT_MS: u64 = 5_000;
/// Time, in milliseconds, within which bytes sent over the loopback interface have arrived.
pub const ARRIVAL_MS: u64 = 100;
/// Limit of open connections in tests that don't depend on it.
pub const MAX_CONNECTIONS: u32 = 8;
const JOB: &str = "corkdrum-job";

/// What a test server does with one request and with its connection after that.
pub type Script = dyn Fn(&mut TcpStream, &str) + Send + Sync;

/// Test server: serves each connection in a thread, and records which job arrived over which connection.
pub struct Server {
    pub addr: String,
    seen: Arc<Mutex<Vec<(usize, String)>>>,
}

impl Server {
    pub fn start(script: impl Fn(&mut TcpStream, &str) + Send + Sync + 'static) -> Server {
        let script: Arc<Script> = Arc::new(script);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener").to_string();
        let seen: Arc<Mutex<Vec<(usize, String)>>> = Arc::default();
        let recorded = seen.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (mut stream, seen, script) = (stream.expect("a connection"), recorded.clone(), script.clone());
                std::thread::spawn(move || {
                    while let Some(job) = read_request(&mut stream) {
                        seen.lock().expect("lock is not poisoned").push((number, job.clone()));
                        script(&mut stream, &job);
                    }
                });
            }
        });
        Server { addr, seen }
    }

    pub fn seen(&self) -> Vec<(usize, String)> {
        self.seen.lock().expect("lock is not poisoned").clone()
    }
}

/// Reads the next request, which has no body, and returns its id; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = vec![];
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8(head).expect("text");
    let id = text.lines().find_map(|line| line.strip_prefix("corkdrum-job: ")).expect("an id");
    Some(id.to_string())
}

pub fn write(stream: &mut TcpStream, text: &str) {
    // in some tests the client has closed the connection
    let _ = stream.write_all(text.as_bytes());
}

pub fn complete_answer(job: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncorkdrum-job: {job}\r\ncontent-length: 4\r\n\r\ndone")
}

pub fn request(job: &str, is_at_most_once: bool) -> ServerRequest {
    ServerRequest {
        method: Method::GET,
        target: "/".parse().expect("a path"),
        headers: HeaderMap::from_iter([(HeaderName::from_static(JOB), HeaderValue::from_str(job).expect("an id"))]),
        body: Bytes::new(),
        attempt: Some(AttemptId {
            header: HeaderName::from_static(JOB),
            id: HeaderValue::from_str(job).expect("an id"),
        }),
        timeout_ms: TIMEOUT_MS,
        needs_fresh_connection: is_at_most_once,
    }
}

/// A connection pool with a manual clock.
#[derive(Clone, Default)]
pub struct Client {
    pub pool: ConnectionPool,
    pub clock: Arc<AtomicU64>,
}

impl Client {
    pub async fn send(&self, server: &Server, max_open: u32, request: ServerRequest) -> Result<Answer, NoAnswer> {
        let clock = self.clock.clone();
        let now = move || clock.load(Ordering::Relaxed);
        self.pool.send("server", &server.addr, max_open, request, now, &|| true).await
    }

    /// Sends a request that may be repeated.
    pub async fn get(&self, server: &Server, job: &str) -> Result<Answer, NoAnswer> {
        self.send(server, MAX_CONNECTIONS, request(job, false)).await
    }

    /// Sends the request and returns the answer's body; `None` if it is incomplete.
    pub async fn ask(&self, server: &Server, max_open: u32, request: ServerRequest) -> Result<Option<Bytes>, NoAnswer> {
        let mut answer = self.send(server, max_open, request).await?;
        Ok(read_all(&mut answer).await.ok())
    }

    pub async fn expect_done(&self, server: &Server, job: &str) {
        let result = self.ask(server, MAX_CONNECTIONS, request(job, false)).await;
        assert_eq!(result, Ok(Some(Bytes::from_static(b"done"))), "{job}");
    }
}

pub fn run(future: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(future)
}

pub fn jobs_by_connection(connections: &[(usize, &str)]) -> Vec<(usize, String)> {
    connections.iter().map(|(connection, job)| (*connection, job.to_string())).collect()
}

/// Resets a connection: what it still holds is dropped, and the other side is told that it broke.
pub fn reset(stream: &mut TcpStream) {
    socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    // the last handle of the connection closes it with a reset
    let no_connection = TcpListener::bind("127.0.0.1:0").and_then(|listener| {
        let connected = TcpStream::connect(listener.local_addr()?)?;
        Ok(connected)
    });
    *stream = no_connection.expect("a free port");
}

/// Reads an answer to its end. Returns the last read if it did not end as complete.
pub async fn read_all(answer: &mut Answer) -> Result<Bytes, BodyRead> {
    let mut body = vec![];
    loop {
        match answer.next().await {
            BodyRead::Bytes(bytes) => body.extend_from_slice(&bytes),
            BodyRead::End => return Ok(body.into()),
            BodyRead::Broken => return Err(BodyRead::Broken),
        }
    }
}
