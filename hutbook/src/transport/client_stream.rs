//! The byte stream of a client's connection. It reports reads and writes to the connection's state, ends when the
//! connection is to be closed, and hands out what a client sends request by request: the HTTP library decodes all heads
//! that it is given at once, and each takes hundreds of times its bytes.

use super::client_connection::{ClientConnection, ReadPermit};
use crate::constants::{MAX_READ_BYTES, MAX_UNSENT_BYTES};
use bytes::{Buf, BytesMut};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's TCP stream, and the state of its connection.
pub struct ClientStream {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    /// What was read and not handed out yet.
    read_ahead: BytesMut,
    /// Whether the client has ended its side.
    has_ended: bool,
    empty_lines: EmptyLines,
}

/// Finds empty lines, with which heads end, in what is handed out.
#[derive(Default)]
struct EmptyLines {
    /// Whether the bytes before are a line feed, or a line feed and a carriage return.
    after_line_feed: bool,
}

impl EmptyLines {
    /// Returns the length of the part that ends with the `most`th empty line, and the number of empty lines in it.
    fn take(&mut self, bytes: &[u8], most: usize) -> (usize, usize) {
        let mut found = 0;
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.after_line_feed => {
                    self.after_line_feed = false;
                    found += 1;
                    if found == most {
                        return (index + 1, found);
                    }
                }
                b'\n' => self.after_line_feed = true,
                b'\r' => {}
                _ => self.after_line_feed = false,
            }
        }
        (bytes.len(), found)
    }
}

impl ClientStream {
    pub fn new(stream: TcpStream, connection: Arc<ClientConnection>) -> ClientStream {
        // otherwise the operating system takes megabytes for a client that doesn't read
        let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        ClientStream {
            stream,
            connection,
            read_ahead: BytesMut::new(),
            has_ended: false,
            empty_lines: EmptyLines::default(),
        }
    }

    pub fn connection(&self) -> &Arc<ClientConnection> {
        &self.connection
    }

    /// Reads once from the socket, into `read_ahead`.
    fn poll_socket(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut storage = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut part = ReadBuf::uninit(&mut storage);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        self.has_ended = part.filled().is_empty();
        self.read_ahead.extend_from_slice(part.filled());
        Poll::Ready(Ok(()))
    }

    /// Reads ahead of the request that is being answered, so that the client's end is noticed.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.read_ahead.len() < MAX_READ_BYTES && !self.has_ended {
            ready!(self.poll_socket(cx))?;
        }
        if self.has_ended && self.read_ahead.is_empty() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }

    /// Hands out what has been read, with at most so many ends of heads.
    fn hand_out(&mut self, buf: &mut ReadBuf<'_>, max_heads: usize) {
        let available = self.read_ahead.len().min(buf.remaining());
        let (count, heads) = self.empty_lines.take(&self.read_ahead[..available], max_heads);
        buf.put_slice(&self.read_ahead[..count]);
        self.read_ahead.advance(count);
        if self.read_ahead.is_empty() {
            // an idle connection holds no buffer
            self.read_ahead = BytesMut::new();
        }
        self.connection.note_read(count, heads == max_heads);
    }
}

fn closed() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let max_heads = match self.connection.permit_read(cx.waker()) {
            ReadPermit::Allowed { max_heads } => max_heads,
            ReadPermit::Wait => return Poll::Pending,
            ReadPermit::HandleFirst => {
                if self.read_ahead.is_empty() && !self.has_ended {
                    // mostly there is no more, and then the task need not be woken
                    ready!(self.poll_socket(cx))?;
                }
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            ReadPermit::ReadAhead => return self.poll_ahead(cx),
            ReadPermit::Close(answer) => {
                if let Some(answer) = answer {
                    let _ = self.stream.try_write(answer.as_bytes());
                }
                return Poll::Ready(Err(closed()));
            }
        };
        if self.read_ahead.is_empty() && !self.has_ended {
            let read = self.poll_socket(cx);
            if read.is_pending() {
                self.connection.note_read_pending();
            }
            ready!(read)?;
        }
        self.hand_out(buf, max_heads);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.connection.is_closing() {
            return Poll::Ready(Err(closed()));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        match &written {
            Poll::Ready(Ok(count)) => self.connection.note_write(Some(*count)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.note_write(None),
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
