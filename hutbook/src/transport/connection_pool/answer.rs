//! An answer whose body is still to be read. It ends as whole only where its framing shows that it is.

use super::exchange::ReceivedAnswer;
use super::faults::{AnswerFault, AnswerFaultCounts};
use super::ConnectionCount;
use crate::constants::*;
use actix_codec::Framed;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_http::header::{HeaderMap, CONNECTION};
use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A connection between two messages.
pub(super) type MessageConnection = Framed<TcpStream, ClientCodec>;

/// The unread part of an answer's body.
pub(super) enum Body {
    /// All of it has been read. The connection is still there if it may carry another request.
    Done(Option<MessageConnection>),
    /// It ends with a length or a last chunk.
    Delimited(Box<Framed<TcpStream, ClientPayloadCodec>>),
    /// It ends with its connection, which carries nothing else.
    UntilClose {
        stream: TcpStream,
        buffer: BytesMut,
    },
    Broken,
}

/// The result of one read of an answer's body.
#[derive(Debug, PartialEq)]
pub enum BodyRead {
    Bytes(Bytes),
    /// The whole body has arrived.
    End,
    Broken,
}

impl Body {
    /// Reads the next part. The body is `Done` or `Broken` from its last part on.
    pub(super) async fn read(&mut self) -> Result<Option<Bytes>, AnswerFault> {
        let read = match self {
            Body::Done(_) => return Ok(None),
            Body::Broken => return Err(AnswerFault::CutShort),
            Body::Delimited(payload) => match payload.next().await {
                Some(Ok(part)) => Ok(part),
                Some(Err(error)) => Err(AnswerFault::of_body(&error)),
                None => Err(AnswerFault::CutShort),
            },
            Body::UntilClose { stream, buffer } => read_until_close(stream, buffer).await,
        };
        if !matches!(read, Ok(Some(_))) {
            let ended = std::mem::replace(self, Body::Broken);
            if read.is_ok() {
                *self = ended.into_done();
            }
        }
        read
    }

    /// Reads and drops what is left. Returns the connection if it may carry another message.
    pub(super) async fn skip(mut self) -> Result<MessageConnection, AnswerFault> {
        while self.read().await?.is_some() {}
        match self {
            Body::Done(Some(connection)) => Ok(connection),
            _ => Err(AnswerFault::CutShort),
        }
    }

    fn into_done(self) -> Body {
        match self {
            Body::Delimited(payload) => Body::Done(Some(payload.into_map_codec(|c| c.into_message_codec()))),
            _ => Body::Done(None),
        }
    }
}

/// Reads what has arrived. None once the connection has ended in order; a reset is an error.
async fn read_until_close(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Option<Bytes>, AnswerFault> {
    if buffer.is_empty() {
        buffer.reserve(READ_BUFFER_BYTES);
        let read = stream.read_buf(buffer).await;
        read.map_err(|error| AnswerFault::of_body(&PayloadError::Io(error)))?;
    }
    Ok((!buffer.is_empty()).then(|| buffer.split().freeze()))
}

/// Where the connection of an answer goes once the answer is whole.
pub(super) struct Reuse {
    pub(super) connection: ConnectionCount,
    /// How long the server keeps it open, in milliseconds.
    pub(super) keep_alive_ms: u64,
    pub(super) now: Box<dyn Fn() -> u64>,
}

/// An answer whose body is still to be read.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Body,
    /// Keeps its connection counted until the answer is dropped or the connection returns to its pool.
    reuse: Option<Reuse>,
    /// Whether its connection may carry another request.
    is_reusable: bool,
    faults: Arc<AnswerFaultCounts>,
}

impl Answer {
    /// Creates an answer from what has arrived. Without `reuse` its connection belongs to no pool.
    pub(super) fn new(received: ReceivedAnswer, reuse: Option<Reuse>, faults: Arc<AnswerFaultCounts>) -> Answer {
        let ReceivedAnswer { status, headers, body, is_reusable } = received;
        let closes = headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        Answer { status, headers, body, reuse, is_reusable: is_reusable && !closes, faults }
    }

    /// Reads the next part of the body. A connection that may carry another request returns to its pool at the end.
    pub async fn next(&mut self) -> BodyRead {
        match self.body.read().await {
            Ok(Some(bytes)) => BodyRead::Bytes(bytes),
            Ok(None) => {
                self.finish();
                BodyRead::End
            }
            Err(fault) => {
                self.faults.count(fault);
                BodyRead::Broken
            }
        }
    }

    /// Reads the rest of the body. None if it broke off or is longer than `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Option<Bytes> {
        let mut body = BytesMut::new();
        loop {
            match self.next().await {
                BodyRead::Bytes(bytes) if body.len() + bytes.len() > max_bytes => return None,
                BodyRead::Bytes(bytes) => body.extend_from_slice(&bytes),
                BodyRead::End => return Some(body.freeze()),
                BodyRead::Broken => return None,
            }
        }
    }

    /// Returns the connection to its pool, if it may be used again.
    fn finish(&mut self) {
        let Body::Done(connection) = &mut self.body else { return };
        let Some(connection) = connection.take() else { return };
        // bytes after a whole answer belong to no request
        let has_surplus = !connection.is_read_buf_empty();
        if has_surplus {
            self.faults.count(AnswerFault::SurplusBytes);
        }
        let is_reusable = self.is_reusable && !has_surplus && connection.codec_ref().keep_alive();
        if let (Some(reuse), true) = (self.reuse.take(), is_reusable) {
            reuse.connection.release(connection, &reuse.now, reuse.keep_alive_ms);
        }
    }
}
