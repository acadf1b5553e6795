//! Clients: one request over one connection, as the pages describe it.

use crate::http::{Connection, Message};
use crate::servers::HOST;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

pub struct Request<'a> {
    pub method: &'a str,
    pub path: String,
    pub attempt: String,
    pub headers: Vec<(&'a str, String)>,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

/// How a request ended for its client.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

/// Opens a connection and sends a request.
pub fn send(front: SocketAddr, request: &Request) -> std::io::Result<Connection> {
    let mut connection = Connection::open(front, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 1_000)))?;
    send_on(&mut connection, request)?;
    Ok(connection)
}

pub fn send_on(connection: &mut Connection, request: &Request) -> std::io::Result<()> {
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
        request.method,
        request.path,
        request.attempt,
        request.deadline_ms,
        request.body.len()
    );
    request.headers.iter().for_each(|(name, value)| bytes.push_str(&format!("{name}: {value}\r\n")));
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(&request.body);
    connection.stream.write_all(&bytes)
}

/// Reads an answer as far as it comes.
pub fn read(connection: &mut Connection) -> Answer {
    let mut answer = Answer::default();
    let Ok(Some(mut head)) = connection.read_head() else { return answer };
    answer.status = head.status();
    if head.header("transfer-encoding").is_some() {
        loop {
            match connection.read_chunk() {
                Ok(Some(chunk)) => answer.body.extend_from_slice(&chunk),
                Ok(None) => {
                    answer.is_whole = true;
                    break;
                }
                Err(_) => break,
            }
        }
    } else {
        answer.is_whole = connection.read_body(&mut head).is_ok();
        answer.body = std::mem::take(&mut head.body);
    }
    answer.head = head;
    answer
}

pub fn ask(front: SocketAddr, request: &Request) -> Answer {
    match send(front, request) {
        Ok(mut connection) => read(&mut connection),
        Err(_) => Answer::default(),
    }
}
