//! Body of a whole answer, written to its client piece by piece. Its memory stays reserved until the last piece.

use super::client_connection::ClientConnection;
use crate::constants::WRITE_PIECE_BYTES;
use crate::state::byte_budget::ReservedBytes;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Bytes that are held for a connection, and counted there.
pub struct HeldBytes {
    connection: Arc<ClientConnection>,
    memory: ReservedBytes,
}

impl HeldBytes {
    pub fn new(connection: Arc<ClientConnection>, memory: ReservedBytes) -> HeldBytes {
        connection.add_held(memory.bytes());
        HeldBytes { connection, memory }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.connection.remove_held(self.memory.bytes());
    }
}

/// The part of a whole answer that has not been written yet.
pub struct AnswerBody {
    rest: Bytes,
    _held: Option<HeldBytes>,
}

impl AnswerBody {
    pub fn new(bytes: Bytes, held: Option<HeldBytes>) -> AnswerBody {
        AnswerBody { rest: bytes, _held: held }
    }
}

impl MessageBody for AnswerBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.rest.len().min(WRITE_PIECE_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(piece))))
    }
}
