//! Stand-ins of the users' servers and of the platform's list of them. A server does what the query of a request says:
//! `work` ms before the answer, then, on a stream, `events` events `gap` ms apart.

use crate::fleet::{Fleet, ZONES};
use crate::http::{write, Connection, Message};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub attempt: String,
    /// Milliseconds since the start of the record.
    pub began: u64,
    pub ended: Option<u64>,
    /// Whether it was given up because its connection was closed.
    pub dropped: bool,
}

/// Everything that the servers ran.
#[derive(Default)]
pub struct Ledger {
    runs: Mutex<Vec<Run>>,
}

impl Ledger {
    pub fn all(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    pub fn of(&self, attempt: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.attempt == attempt).collect()
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, at: u64, dropped: bool) {
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        (runs[index].ended, runs[index].dropped) = (Some(at), dropped);
    }
}

pub struct Server {
    pub id: String,
    target: &'static str,
    zone: &'static str,
    pub addr: SocketAddr,
    slots: u64,
    is_model: bool,
    running: AtomicU64,
    seals: AtomicU64,
}

pub const MODEL: &str = "lm-desk";
pub const TOOL: &str = "tile-api";
pub const HOST: &str = "desk.example";

pub struct Servers {
    pub ledger: Ledger,
    pub all: Vec<Arc<Server>>,
    record: Arc<Record>,
}

impl Servers {
    /// Starts the list, and in each zone one model server and one plain server.
    pub fn start(fleet: &Fleet, record: Arc<Record>) -> std::io::Result<Arc<Servers>> {
        let mut all = vec![];
        for (number, zone) in ZONES.iter().enumerate() {
            for (is_model, target, slots) in [(true, MODEL, 256), (false, TOOL, 256)] {
                let addr = fleet.server_addr(all.len() as u8);
                let id = format!("i-{target}-{number}");
                let (running, seals) = (AtomicU64::new(0), AtomicU64::new(0));
                all.push(Arc::new(Server { id, target, zone, addr, slots, is_model, running, seals }));
            }
        }
        let servers = Arc::new(Servers { ledger: Ledger::default(), all, record });
        for server in servers.all.clone() {
            let listener = TcpListener::bind(server.addr)?;
            let servers = servers.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (servers, server) = (servers.clone(), server.clone());
                    std::thread::spawn(move || drop(servers.serve(&server, stream)));
                }
            });
        }
        let (listener, list) = (TcpListener::bind(fleet.cloud())?, servers.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                std::thread::spawn(move || drop(list.serve_list(stream)));
            }
        });
        Ok(servers)
    }

    fn serve_list(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut connection = Connection::of(stream)?;
        while let Some(_request) = connection.read_head()? {
            let entry = |server: &Arc<Server>| {
                format!(
                    r#"{{"Target":"{}","Address":"{}","Zone":"{}","Revision":"v1","Capacity":{},"Condition":"ready","ColdLeftMs":0,"Id":"{}"}}"#,
                    server.target, server.addr, server.zone, server.slots, server.id
                )
            };
            let entries: Vec<String> = self.all.iter().map(entry).collect();
            let body = format!(r#"{{"Instances":[{}],"NextToken":null}}"#, entries.join(","));
            let headers = [("Content-Type", "application/json".to_string())];
            write(&mut connection.stream, "HTTP/1.1 200 OK", &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn serve(&self, server: &Arc<Server>, stream: TcpStream) -> std::io::Result<()> {
        let mut connection = Connection::of(stream)?;
        while let Some(mut request) = connection.read_head()? {
            connection.read_body(&mut request)?;
            self.answer(server, &mut connection, &request)?;
        }
        Ok(())
    }

    fn answer(&self, server: &Server, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let path = request.line.get(1).cloned().unwrap_or_default();
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_string();
        let mut headers = vec![
            ("X-Attempt-Id", attempt.clone()),
            ("X-Server-Seal", format!("{}.{}", server.id, server.seals.fetch_add(1, Ordering::Relaxed))),
            ("Keep-Alive", "timeout=5".to_string()),
        ];
        let refusal = if attempt.is_empty() {
            Some("400 Bad Request")
        } else if request.header("x-expect-instance").is_some_and(|id| id != server.id) {
            Some("421 Misdirected Request")
        } else if server.running.load(Ordering::Relaxed) >= server.slots {
            Some("503 Service Unavailable")
        } else {
            None
        };
        if let Some(status) = refusal {
            headers.push(("X-Not-Run", "1".to_string()));
            return write(&mut connection.stream, &format!("HTTP/1.1 {status}"), &headers, b"");
        }
        server.running.fetch_add(1, Ordering::Relaxed);
        let run = Run {
            server: server.id.clone(),
            attempt: attempt.clone(),
            began: self.record.now(),
            ended: None,
            dropped: false,
        };
        let index = self.ledger.begin(run);
        let done = self.run(server, connection, request, &path, &attempt, headers);
        self.ledger.end(index, self.record.now(), !matches!(done, Ok(true)));
        server.running.fetch_sub(1, Ordering::Relaxed);
        match done {
            Ok(true) => Ok(()),
            Ok(false) => Err(std::io::ErrorKind::ConnectionAborted.into()),
            Err(error) => Err(error),
        }
    }

    /// Does the work. Returns false if the connection was closed meanwhile: the request is dropped then.
    fn run(
        &self,
        server: &Server,
        connection: &mut Connection,
        request: &Message,
        path: &str,
        attempt: &str,
        headers: Vec<(&str, String)>,
    ) -> std::io::Result<bool> {
        let number = |name: &str, default: u64| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|value| value.parse().ok()).unwrap_or(default)
        };
        let left = request.header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(left);
        if !work(connection, number("work", 10), deadline) {
            return Ok(false);
        }
        if !server.is_model {
            let body = format!("the bundle of {attempt}");
            write(&mut connection.stream, "HTTP/1.1 200 OK", &headers, body.as_bytes())?;
            return Ok(true);
        }
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_string();
        headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
        connection.stream.write_all(format!("{head}\r\n").as_bytes())?;
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for event in after + 1..=number("events", 4) {
            if event > after + 1 && !work(connection, number("gap", 10), deadline) {
                return Ok(false);
            }
            let text = format!("id: {event}\ndata: {attempt}/{event}\n\n");
            connection.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Works for so long. Returns false if the connection is closed, or the deadline passes, meanwhile.
fn work(connection: &Connection, ms: u64, deadline: Instant) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        let now = Instant::now();
        if connection.is_closed() || now > deadline {
            return false;
        }
        if now >= end {
            return true;
        }
        std::thread::sleep((end - now).min(Duration::from_millis(5)));
    }
}
