//! The little of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message as it was received: the words of its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn has(&self, name: &str, value: &str) -> bool {
        self.header(name).is_some_and(|found| found.to_ascii_lowercase().contains(value))
    }
}

/// A connection with what was read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_string())
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        Connection::of(stream)
    }

    pub fn of(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Ok(Connection { stream, rest: vec![] })
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.rest.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return Err(broken("the connection ended inside a body"));
            }
        }
        Ok(self.rest.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            if self.fill()? == 0 {
                return Err(broken("the connection ended inside a head"));
            }
        }
    }

    /// Reads a head. None if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        if self.rest.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message =
            Message { line: self.take_line()?.splitn(3, ' ').map(str::to_string).collect(), ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("a header without a colon"))?;
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads the next piece of a body in chunks. None after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.take_line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| broken("a chunk without a size"))?;
        let chunk = self.take(size)?;
        self.take_line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.has("transfer-encoding", "chunked") {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(length) = message.header("content-length").and_then(|length| length.parse().ok()) {
            message.body = self.take(length)?;
        }
        Ok(())
    }

    /// Returns whether the other side has closed or reset the connection. Reads nothing.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Writes a request or an answer with a length.
pub fn write(stream: &mut TcpStream, line: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{line}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request over a connection of its own and reads the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut connection = Connection::open(to, timeout.min(Duration::from_secs(1)))?;
    connection.stream.set_read_timeout(Some(timeout))?;
    let mut all = vec![("Host", to.to_string()), ("Connection", "close".to_string())];
    if headers.iter().any(|(name, _)| *name == "Host") {
        all.remove(0);
    }
    all.extend(headers.iter().cloned());
    write(&mut connection.stream, &format!("{method} {path} HTTP/1.1"), &all, body)?;
    let mut answer = connection.read_head()?.ok_or_else(|| broken("no answer"))?;
    connection.read_body(&mut answer)?;
    if Instant::now() > deadline {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(answer)
}
