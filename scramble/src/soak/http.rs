//! Minimal HTTP/1.1 over raw TCP, so that the soak controls every byte of a connection. Heads are parsed by `httparse`.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum size of a head in bytes; a longer one is treated as invalid.
const HEAD_BYTES: usize = 64 * 1024;
const HEADERS: usize = 64;
const READ_BYTES: usize = 16 * 1024;

/// First line and headers of a request or an answer.
pub struct Head {
    /// Path of a request; empty for an answer.
    target: String,
    /// Status code of an answer; 0 for a request.
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns the value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    /// Returns true if the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the next head; `bytes` retains what was received beyond it. Returns None if the connection ended or the data
/// is not a valid head.
pub async fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some((head, length)) = parse(bytes)? {
            bytes.drain(..length);
            return Some(head);
        }
        read_more(stream, bytes).await?;
    }
}

/// Reads more bytes. Returns None if the connection ended.
async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut more = [0; READ_BYTES];
    let count = stream.read(&mut more).await.ok()?;
    bytes.extend_from_slice(&more[..count]);
    (count > 0).then_some(())
}

/// Parses a head. Returns Some(None) if more bytes are needed and None if the data is invalid or too long.
fn parse(bytes: &[u8]) -> Option<Option<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let (length, target, status) = if bytes.starts_with(b"HTTP/") {
        let mut answer = httparse::Response::new(&mut headers);
        match answer.parse(bytes).ok()? {
            httparse::Status::Complete(length) => (length, String::new(), answer.code.unwrap_or(0)),
            httparse::Status::Partial => return (bytes.len() < HEAD_BYTES).then_some(None),
        }
    } else {
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes).ok()? {
            httparse::Status::Complete(length) => (length, request.path.unwrap_or_default().to_string(), 0),
            httparse::Status::Partial => return (bytes.len() < HEAD_BYTES).then_some(None),
        }
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    let headers = headers.iter().take_while(|header| !header.name.is_empty());
    let headers = headers.map(|header| (header.name.to_ascii_lowercase(), text(header.value))).collect();
    Some(Some((Head { target, status, headers }, length)))
}

/// Reads the body of an answer according to its framing. Returns None if it was truncated.
pub async fn read_body(stream: &mut TcpStream, bytes: &mut Vec<u8>, head: &Head) -> Option<Vec<u8>> {
    if head.is_chunked() {
        return read_chunks(stream, bytes).await;
    }
    take(stream, bytes, head.content_length()).await
}

async fn take(stream: &mut TcpStream, bytes: &mut Vec<u8>, count: usize) -> Option<Vec<u8>> {
    while bytes.len() < count {
        read_more(stream, bytes).await?;
    }
    Some(bytes.drain(..count).collect())
}

async fn read_chunks(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = vec![];
    loop {
        let (start, size) = loop {
            match httparse::parse_chunk_size(bytes).ok()? {
                httparse::Status::Complete((start, size)) => break (start, size as usize),
                httparse::Status::Partial => read_more(stream, bytes).await?,
            }
        };
        bytes.drain(..start);
        let chunk = take(stream, bytes, size + 2).await?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
