//! Operators: send configuration changes, concurrent and invalid ones, lose some of the answers, and read the
//! configuration from every controller.

use super::document::{document, invalid_document};
use super::history::{ChangeKind, ChangeResult, History, Read};
use super::processes::Fleet;
use super::shape::{SeededRandom, Shape, OPERATOR_STREAM};
use hutbook::transport::http::call;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time-out of one attempt, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 2_500;
/// Time during which an unanswered command is retried, in milliseconds.
const RETRY_PERIOD_MS: u64 = 12_000;
/// Delay between two attempts, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;
/// Interval between two reads of the configuration, in milliseconds.
const READ_INTERVAL_MS: u64 = 150;

pub struct Operators {
    pub fleet: Rc<Fleet>,
    pub history: Rc<History>,
    pub shape: Shape,
    pub newest_change: Rc<Cell<u64>>,
    pub finished: Rc<Cell<bool>>,
    /// Newest revision that an answer has reported.
    base: Cell<u64>,
    random: RefCell<SeededRandom>,
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// A change request; every retry sends it unchanged.
struct PendingChange {
    number: u64,
    base: u64,
    text: String,
}

impl Operators {
    pub fn new(
        fleet: Rc<Fleet>,
        history: Rc<History>,
        shape: Shape,
        newest_change: Rc<Cell<u64>>,
        finished: Rc<Cell<bool>>,
        seed: u64,
    ) -> Operators {
        let random = RefCell::new(SeededRandom::new(seed, OPERATOR_STREAM));
        Operators { fleet, history, shape, newest_change, finished, base: Cell::new(0), random }
    }

    fn next_number(&self) -> u64 {
        self.newest_change.set(self.newest_change.get() + 1);
        self.newest_change.get()
    }

    fn pick_controller(&self) -> String {
        let nodes = self.fleet.controller_addrs();
        self.random.borrow_mut().pick(&nodes).clone()
    }

    /// Sends one change based on the newest known revision. If `is_ack_lost`, the connection of a first attempt is
    /// closed without reading the answer.
    pub async fn send_change(&self, is_ack_lost: bool) -> ChangeResult {
        let number = self.next_number();
        let pending = PendingChange { number, base: self.base.get(), text: document(number, &self.shape) };
        let index = self.history.record_change(number, ChangeKind::Change, pending.base);
        if is_ack_lost {
            self.send_unread(&pending).await;
        }
        let result = self.send_until_answered(&pending).await;
        self.history.end_change(index, result);
        if let ChangeResult::Acknowledged(revision) = result {
            self.base.set(self.base.get().max(revision));
        }
        result
    }

    /// Sends two concurrent changes with the same base.
    pub async fn send_concurrent_changes(&self) {
        let one = self.send_change(false);
        let other = self.send_change(false);
        tokio::join!(one, other);
    }

    pub async fn send_invalid_change(&self) {
        let number = self.next_number();
        let pending = PendingChange { number, base: self.base.get(), text: invalid_document(number, &self.shape) };
        let index = self.history.record_change(number, ChangeKind::Invalid, pending.base);
        let result = self.send_until_answered(&pending).await;
        self.history.end_change(index, result);
    }

    /// Sends the change and closes the connection without reading the answer.
    async fn send_unread(&self, pending: &PendingChange) {
        let request = format!(
            "PUT /v1/config HTTP/1.1\r\nhost: core\r\nif-match: {}\r\nchange-id: change-{}\r\ncontent-length: {}\r\n\r\n{}",
            pending.base,
            pending.number,
            pending.text.len(),
            pending.text
        );
        let Ok(mut stream) = TcpStream::connect(self.pick_controller()).await else { return };
        let _ = stream.write_all(request.as_bytes()).await;
        let pause_ms = self.random.borrow_mut().between(0, 20);
        sleep(pause_ms).await;
    }

    /// Sends a change and retries until the answer is definite or `RETRY_PERIOD_MS` has passed.
    async fn send_until_answered(&self, pending: &PendingChange) -> ChangeResult {
        let (base, change) = (pending.base.to_string(), format!("change-{}", pending.number));
        let headers = [("if-match", base.as_str()), ("change-id", change.as_str())];
        let deadline = self.history.now() + RETRY_PERIOD_MS * 1_000;
        while self.history.now() < deadline {
            let url = format!("http://{}/v1/config", self.pick_controller());
            match call("PUT", &url, &headers, pending.text.clone(), ATTEMPT_TIMEOUT_MS).await {
                Ok((200, _, head)) => {
                    if let Some(revision) = etag(head.get("etag")) {
                        return ChangeResult::Acknowledged(revision);
                    }
                }
                Ok((412, _, head)) => {
                    self.base.set(self.base.get().max(etag(head.get("etag")).unwrap_or(0)));
                    return ChangeResult::Refused(412);
                }
                Ok((status @ 400..=499, ..)) => return ChangeResult::Refused(status),
                _ => {}
            }
            sleep(RETRY_DELAY_MS).await;
        }
        ChangeResult::Unclear
    }

    /// Lists a server, or removes it if there is no body. Retries until that succeeds or `RETRY_PERIOD_MS` has passed.
    pub async fn list_server(&self, name: &str, body: Option<String>) -> bool {
        let deadline = self.history.now() + RETRY_PERIOD_MS * 1_000;
        while self.history.now() < deadline {
            let (method, query) = if body.is_some() { ("PUT", "") } else { ("DELETE", "?anyway=true") };
            let url = format!("http://{}/v1/servers/{name}{query}", self.pick_controller());
            let answer = call(method, &url, &[], body.clone().unwrap_or_default(), ATTEMPT_TIMEOUT_MS).await;
            match answer {
                Ok((200, ..)) => return true,
                // already removed by an attempt whose answer was lost
                Ok((404, ..)) if body.is_none() => return true,
                _ => sleep(RETRY_DELAY_MS).await,
            }
        }
        false
    }

    /// Reads the configuration from random controllers until the run ends.
    pub async fn poll_config(self: Rc<Operators>) {
        while !self.finished.get() {
            sleep(READ_INTERVAL_MS).await;
            let (node, sent) = (self.pick_controller(), self.history.now());
            let answer = call("GET", &format!("http://{node}/v1/config"), &[], String::new(), ATTEMPT_TIMEOUT_MS).await;
            if let Ok((200, _, head)) = answer {
                if let Some(revision) = etag(head.get("etag")) {
                    self.history.records.borrow_mut().reads.push(Read { sent, node, revision });
                }
            }
        }
    }
}

fn etag(value: Option<&String>) -> Option<u64> {
    value.and_then(|tag| tag.trim_matches('"').parse().ok())
}
