//! Clients that reuse each connection until the process behind it closes it.

use super::document::{added_path, HOST, MOVED_PATH, ONCE_ONLY_PATH, REPEATABLE_PATH, TURNS_PATH};
use super::history::{Answer, Ending, History, Request};
use super::http::{read_body, read_head};
use super::judges::input_of;
use super::processes::Fleet;
use super::shape::{SeededRandom, FIRST_CLIENT_STREAM};
use hutbook::transport::header_names::HEADER_NAMES;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which a client abandons an unanswered request, in milliseconds; well above every route's time-out.
const REQUEST_TIMEOUT_MS: u64 = 9_000;
/// Delay before the next connection attempt after a failed one, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 60;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Longest pause between two requests of a client, in milliseconds; 40% of requests follow without a pause.
const MAX_PAUSE_MS: u64 = 40;
/// Number of turns in one program.
const TURNS_PER_PROGRAM: u64 = 6;
/// Token budget of a program; larger than what its turns use.
const TOKEN_BUDGET: u64 = 1_000;

/// State shared by all clients.
pub struct Clients {
    pub fleet: Rc<Fleet>,
    pub history: Rc<History>,
    /// Number of the newest change that an operator has sent; clients request the route that it adds.
    pub newest_change: Rc<Cell<u64>>,
    pub finished: Rc<Cell<bool>>,
}

struct Client {
    shared: Rc<Clients>,
    number: usize,
    random: SeededRandom,
    requests_sent: u64,
    /// Id of the last turn that was answered completely; empty at the start of a program.
    previous_turn: String,
    turns: u64,
    program: u64,
}

/// An open connection and the process behind it.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    number: u64,
    edge: String,
    incarnation: u64,
}

/// Runs one client until the soak ends. Each time its connection closes it connects to a random edge.
pub async fn run_client(shared: Rc<Clients>, seed: u64, number: usize) {
    let random = SeededRandom::new(seed, FIRST_CLIENT_STREAM + number as u64);
    let mut client =
        Client { shared, number, random, requests_sent: 0, previous_turn: String::new(), turns: 0, program: 0 };
    while !client.shared.finished.get() {
        match client.connect().await {
            Some(connection) => client.use_connection(connection).await,
            None => sleep(RECONNECT_DELAY_MS).await,
        }
    }
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

impl Client {
    async fn connect(&mut self) -> Option<Connection> {
        let edges = self.shared.fleet.edges();
        let edge = self.random.pick(&edges).clone();
        let address = self.shared.fleet.proxy_addr(&edge);
        let incarnation = self.shared.fleet.incarnation(&edge);
        let connecting = TcpStream::connect(&address);
        let stream = actix_rt::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        // If the process was restarted meanwhile, the connection can't be attributed to one of its incarnations.
        (self.shared.fleet.incarnation(&edge) == incarnation).then(|| {
            let number = self.shared.history.record_connection();
            Connection { stream, bytes: vec![], number, edge, incarnation }
        })
    }

    async fn use_connection(&mut self, mut connection: Connection) {
        while !self.shared.finished.get() {
            if self.random.chance(60) {
                sleep(self.random.between(1, MAX_PAUSE_MS)).await;
            }
            if !self.send_request(&mut connection).await {
                return;
            }
        }
    }

    fn path(&mut self) -> String {
        let newest = self.shared.newest_change.get();
        match self.random.between(1, 100) {
            1..=25 => REPEATABLE_PATH.into(),
            26..=40 => ONCE_ONLY_PATH.into(),
            41..=60 => TURNS_PATH.into(),
            61..=78 => MOVED_PATH.into(),
            // a route that was added just now, some changes ago, or has been removed again
            _ => added_path(newest.saturating_sub(self.random.between(0, 5))),
        }
    }

    /// Sends one request and records how it ended. Returns true if the connection can be reused.
    async fn send_request(&mut self, connection: &mut Connection) -> bool {
        let path = self.path();
        self.requests_sent += 1;
        let id = format!("c{}-{}", self.number, self.requests_sent);
        let is_turn = path == TURNS_PATH;
        let head = self.head(&id, &path, is_turn);
        let previous_turn = if is_turn { self.previous_turn.clone() } else { String::new() };
        let index = self.shared.history.record_request(Request {
            id: id.clone(),
            client: self.number,
            connection: connection.number,
            edge: connection.edge.clone(),
            incarnation: connection.incarnation,
            path,
            previous_turn,
            sent: 0,
            ended: None,
        });
        let exchange = exchange(connection, &head);
        let result = actix_rt::time::timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), exchange).await;
        let (ending, is_reusable) = match result {
            Ok(Some((answer, is_reusable))) => (Ending::Answered(answer), is_reusable),
            Ok(None) => (Ending::ConnectionEnded, false),
            Err(_) => (Ending::NothingCame, false),
        };
        if is_turn {
            self.record_turn(&id, &ending);
        }
        self.shared.history.end_request(index, ending);
        is_reusable
    }

    fn head(&self, id: &str, path: &str, is_turn: bool) -> Vec<u8> {
        let body = if is_turn { input_of(id) } else { id.as_bytes().to_vec() };
        let mut head = format!(
            "POST {path}x HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{}: 6000\r\ncontent-length: {}\r\n",
            HEADER_NAMES.attempt_id,
            HEADER_NAMES.time_left,
            body.len()
        );
        if is_turn {
            let program = format!("p{}-{}", self.number, self.program);
            head.push_str(&format!("{}: {program}\r\n{}: {program}\r\n", HEADER_NAMES.program, HEADER_NAMES.session));
            head.push_str(&format!(
                "{}: {TOKEN_BUDGET}\r\n{}: 10,10\r\n",
                HEADER_NAMES.token_budget, HEADER_NAMES.token_counts
            ));
            if !self.previous_turn.is_empty() {
                head.push_str(&format!("{}: {}\r\n", HEADER_NAMES.previous_turn, self.previous_turn));
            }
        }
        [head.as_bytes(), b"\r\n", &body].concat()
    }

    fn record_turn(&mut self, id: &str, ending: &Ending) {
        let is_complete = matches!(ending, Ending::Answered(answer) if answer.status == 200 && answer.is_whole);
        if !is_complete {
            return;
        }
        self.previous_turn = id.to_string();
        self.turns += 1;
        if self.turns >= TURNS_PER_PROGRAM {
            self.previous_turn.clear();
            self.turns = 0;
            self.program += 1;
        }
    }
}

/// Sends a request and reads its answer. Returns the answer and whether the connection can be reused, or None if the
/// connection ended before the head of the answer arrived.
async fn exchange(connection: &mut Connection, request: &[u8]) -> Option<(Answer, bool)> {
    let Connection { stream, bytes, .. } = connection;
    stream.write_all(request).await.ok()?;
    let head = read_head(stream, bytes).await?;
    let body = read_body(stream, bytes, &head).await;
    let is_whole = body.is_some();
    let header_value = |name| head.header(name).unwrap_or_default().to_string();
    let answer = Answer {
        status: head.status,
        server: header_value(HEADER_NAMES.seal),
        id: header_value(HEADER_NAMES.attempt_id),
        is_whole,
        body: body.unwrap_or_default(),
        has_surplus: is_whole && !bytes.is_empty(),
        says_when: head.header("retry-after").is_some(),
    };
    Some((answer, is_whole && !head.closes()))
}
