//! Stand-in servers for proxied requests, running inside the soak process. Each run is recorded before the first byte
//! of the answer is sent.

use super::answer_faults::{write_faulty, AnswerFault, PlainAnswer, ANSWER_FAULTS};
use super::document::TURNS_PATH;
use super::history::History;
use super::http::{read_head, Head};
use super::plan::ServerFault;
use hutbook::transport::header_names::HEADER_NAMES;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of events in the stream of each turn.
const EVENTS_PER_TURN: usize = 4;
/// Interval between two events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 5;
/// Time that a hanging server stays silent, in milliseconds; longer than any client waits.
const HANG_DURATION_MS: u64 = 60_000;

/// Returns the data of the events that answer a turn.
pub fn event_texts(id: &str) -> Vec<String> {
    (0..EVENTS_PER_TURN).map(|index| format!("{id}-{index}")).collect()
}

/// Returns the whole body of a server's answer to a request.
pub fn whole_body(id: &str, path: &str) -> Vec<u8> {
    if !path.starts_with(TURNS_PATH) {
        return format!("answer to {id}").into_bytes();
    }
    let texts = event_texts(id);
    texts.iter().enumerate().flat_map(|(index, text)| event(index, text).into_bytes()).collect()
}

fn event(index: usize, text: &str) -> String {
    format!("id: {}\ndata: {text}\n\n", index + 1)
}

pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub address: String,
    pub zone: String,
    work_ms: u64,
    reports_load: bool,
    slots: u64,
    running: Cell<u64>,
    fault: Cell<Option<ServerFault>>,
    /// Number of answers given while faults were mixed.
    mixed_answers: Cell<usize>,
    history: Rc<History>,
}

/// Settings of a stand-in server.
pub struct ServerSettings {
    pub name: String,
    pub service: &'static str,
    pub zone: String,
    pub work_ms: u64,
    pub reports_load: bool,
    pub slots: u64,
}

impl Server {
    /// Starts a server on a free port; it serves until the run ends.
    pub async fn start(settings: ServerSettings, history: Rc<History>) -> std::io::Result<Rc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let ServerSettings { name, service, zone, work_ms, reports_load, slots } = settings;
        let address = listener.local_addr()?.to_string();
        let server = Rc::new(Server {
            name,
            service,
            address,
            zone,
            work_ms,
            reports_load,
            slots,
            running: Cell::new(0),
            fault: Cell::new(None),
            mixed_answers: Cell::new(0),
            history,
        });
        let accepting_server = server.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                actix_rt::spawn(accepting_server.clone().serve(stream));
            }
        });
        Ok(server)
    }

    pub fn set_fault(&self, fault: Option<ServerFault>) {
        self.fault.set(fault);
    }

    async fn serve(self: Rc<Server>, mut stream: TcpStream) {
        self.history.server_connection_opened();
        let mut bytes = vec![];
        while let Some(head) = read_head(&mut stream, &mut bytes).await {
            if self.handle_request(&mut stream, &mut bytes, &head).await.is_none() {
                break;
            }
        }
        drop(stream);
        self.history.server_connection_closed();
    }

    /// Handles one request. Returns None if the connection must be closed.
    async fn handle_request(&self, stream: &mut TcpStream, bytes: &mut Vec<u8>, head: &Head) -> Option<()> {
        let mut body = vec![0; head.content_length()];
        let buffered = bytes.len().min(body.len());
        body[..buffered].copy_from_slice(&bytes[..buffered]);
        bytes.drain(..buffered);
        stream.read_exact(&mut body[buffered..]).await.ok()?;
        let fault = self.fault.get();
        if head.target() == "/health" {
            let is_healthy = fault != Some(ServerFault::SaysIll);
            return write_response(stream, if is_healthy { 200 } else { 503 }, "", b"").await;
        }
        let id = head.header(HEADER_NAMES.attempt_id).unwrap_or_default().to_string();
        let is_addressee = head.header(HEADER_NAMES.server).is_none_or(|name| name == self.name);
        if !is_addressee || id.is_empty() {
            let not_run = format!("{}: 1\r\n{}: {id}\r\n", HEADER_NAMES.not_run, HEADER_NAMES.attempt_id);
            return write_response(stream, 421, &not_run, b"").await;
        }
        self.history.record_run(id.clone(), &self.name, self.service, body);
        self.running.set(self.running.get() + 1);
        let result = self.run_job(stream, head, &id, fault).await;
        self.running.set(self.running.get() - 1);
        result
    }

    /// Returns the fault of the next answer, if it has any.
    fn answer_fault(&self, fault: Option<ServerFault>) -> Option<AnswerFault> {
        match fault? {
            ServerFault::Answers(answer_fault) => Some(answer_fault),
            ServerFault::MixedAnswers => {
                let number = self.mixed_answers.replace(self.mixed_answers.get() + 1);
                ANSWER_FAULTS.get(number % (ANSWER_FAULTS.len() + 1)).copied()
            }
            _ => None,
        }
    }

    async fn run_job(&self, stream: &mut TcpStream, head: &Head, id: &str, fault: Option<ServerFault>) -> Option<()> {
        let sleep = |ms| actix_rt::time::sleep(Duration::from_millis(ms));
        let mut headers = format!("{}: {id}\r\n{}: {}\r\n", HEADER_NAMES.attempt_id, HEADER_NAMES.seal, self.name);
        if self.reports_load {
            headers.push_str(&format!("{}: {},0,{}\r\n", HEADER_NAMES.server_load, self.running.get(), self.slots));
        }
        match fault {
            Some(ServerFault::Hangs) => {
                sleep(HANG_DURATION_MS).await;
                return None;
            }
            Some(ServerFault::Resets) => return None,
            Some(ServerFault::FailsAndSaysWell) => return write_response(stream, 500, &headers, b"failed").await,
            _ => {}
        }
        sleep(self.work_ms).await;
        let body = whole_body(id, head.target());
        if let Some(answer_fault) = self.answer_fault(fault) {
            if answer_fault.breaks_off() {
                self.history.record_broken_answer(id.to_string());
            }
            return write_faulty(stream, answer_fault, &PlainAnswer { headers: &headers, body: &body }).await;
        }
        if !head.target().starts_with(TURNS_PATH) {
            return write_response(stream, 200, &headers, &body).await;
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(start.as_bytes()).await.ok()?;
        for (index, text) in event_texts(id).iter().enumerate() {
            sleep(EVENT_INTERVAL_MS).await;
            let event = event(index, text);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await.ok()?;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }
}

async fn write_response(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Option<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).await.ok()
}
