//! A streamed answer on its way to its client. It is complete only if its sender says so: one whose sender is dropped,
//! by a failure, a panic or a stopping process, is broken off.

use crate::constants::{FREE_STREAM_BUFFER_BYTES, WRITE_PIECE_BYTES};
use crate::state::byte_budget::{ByteBudget, ReservedBytes};
use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody, SizedStream};
use bytes::Bytes;
use futures_util::Stream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

/// The client has disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected;

/// The answer ended without having been completed.
#[derive(Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// What sender and receiver of one answer share.
#[derive(Default)]
struct Shared {
    is_complete: AtomicBool,
    /// Bytes that were sent and not received yet.
    waiting_bytes: AtomicUsize,
    /// Signalled when the receiver has taken all of them.
    drained: Notify,
}

/// One part of an answer, and the memory that is reserved for it.
struct Part {
    bytes: Bytes,
    _memory: Option<ReservedBytes>,
}

/// The producing end of a streamed answer.
pub struct StreamSender {
    parts: mpsc::UnboundedSender<Part>,
    shared: Arc<Shared>,
    max_waiting_bytes: usize,
    /// Memory for parts that wait for a slow client; None if it isn't limited.
    budget: Option<Arc<ByteBudget>>,
}

/// The end of a streamed answer that its client reads.
pub struct StreamReceiver {
    parts: mpsc::UnboundedReceiver<Part>,
    shared: Arc<Shared>,
    /// The part that was received last; its memory is in use until the next one is asked for.
    last: Option<Part>,
}

/// Creates a stream in which up to `max_waiting_bytes` wait for a slow reader, which then holds the producer back. A
/// single part may be larger.
pub fn answer_stream(max_waiting_bytes: usize) -> (StreamSender, StreamReceiver) {
    create(max_waiting_bytes, None)
}

/// Like `answer_stream`; what waits is reserved from this budget.
pub fn answer_stream_within(max_waiting_bytes: usize, budget: Arc<ByteBudget>) -> (StreamSender, StreamReceiver) {
    create(max_waiting_bytes, Some(budget))
}

fn create(max_waiting_bytes: usize, budget: Option<Arc<ByteBudget>>) -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::default());
    let receiver = StreamReceiver { parts: receiver, shared: shared.clone(), last: None };
    (StreamSender { parts: sender, shared, max_waiting_bytes, budget }, receiver)
}

impl StreamSender {
    /// Sends one part, once there is room for it. An empty part is not sent: to the client it would be the last chunk.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Disconnected> {
        if bytes.is_empty() {
            return Ok(());
        }
        let memory = loop {
            let drained = self.shared.drained.notified();
            if let Some(memory) = self.room_for(bytes.len()) {
                break memory;
            }
            tokio::select! {
                _ = drained => {}
                _ = self.parts.closed() => return Err(Disconnected),
            }
        };
        self.shared.waiting_bytes.fetch_add(bytes.len(), Ordering::AcqRel);
        self.parts.send(Part { bytes, _memory: memory }).map_err(|_| Disconnected)
    }

    /// Returns the memory for a part that may be sent now; None if it has to wait.
    fn room_for(&self, bytes: usize) -> Option<Option<ReservedBytes>> {
        let waiting = self.shared.waiting_bytes.load(Ordering::Acquire);
        if waiting == 0 || waiting + bytes <= FREE_STREAM_BUFFER_BYTES.min(self.max_waiting_bytes) {
            // what the reader takes next exists already
            let needs_memory = bytes > FREE_STREAM_BUFFER_BYTES;
            return Some(self.budget.as_ref().filter(|_| needs_memory).map(|budget| budget.reserve_existing(bytes)));
        }
        if waiting + bytes > self.max_waiting_bytes {
            return None;
        }
        match &self.budget {
            Some(budget) => budget.try_reserve(bytes).map(Some),
            None => Some(None),
        }
    }

    /// Completes when the client disconnects.
    pub async fn disconnected(&self) {
        self.parts.closed().await;
    }

    pub fn is_disconnected(&self) -> bool {
        self.parts.is_closed()
    }

    /// Ends the answer as complete.
    pub fn complete(self) {
        self.shared.is_complete.store(true, Ordering::Release);
    }
}

impl StreamReceiver {
    /// Returns the next part; None at the end of a complete answer.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if let Some(last) = self.last.take() {
            let before = self.shared.waiting_bytes.fetch_sub(last.bytes.len(), Ordering::AcqRel);
            drop(last);
            if before > 0 {
                self.shared.drained.notify_waiters();
            }
        }
        match self.parts.recv().await {
            Some(part) => {
                let bytes = part.bytes.clone();
                self.last = Some(part);
                Some(Ok(bytes))
            }
            None if self.shared.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(BrokenOff)),
        }
    }

    /// Makes it the body of a response; `on_complete` is called at the end of a complete answer. A broken answer aborts
    /// its connection, so that it doesn't look complete.
    pub fn into_body(self, on_complete: impl Fn() + 'static) -> BoxBody {
        BodyStream::new(Box::pin(self.into_pieces(on_complete))).boxed()
    }

    /// Like `into_body`, for an answer whose length is known.
    pub fn into_sized_body(self, length: u64, on_complete: impl Fn() + 'static) -> BoxBody {
        let body = SizedStream::new(length, Box::pin(self.into_pieces(on_complete)));
        debug_assert_eq!(body.size(), BodySize::Sized(length));
        body.boxed()
    }

    /// Returns its bytes in small pieces, so that a connection buffers little of them.
    fn into_pieces(self, on_complete: impl Fn() + 'static) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        let state = (self, Bytes::new(), on_complete);
        futures_util::stream::unfold(state, |(mut receiver, mut rest, on_complete)| async move {
            if rest.is_empty() {
                match receiver.next().await {
                    Some(Ok(part)) => rest = part,
                    Some(Err(BrokenOff)) => {
                        let aborted = std::io::ErrorKind::ConnectionAborted.into();
                        return Some((Err(aborted), (receiver, rest, on_complete)));
                    }
                    None => {
                        on_complete();
                        return None;
                    }
                }
            }
            let piece = rest.split_to(rest.len().min(WRITE_PIECE_BYTES));
            Some((Ok(piece), (receiver, rest, on_complete)))
        })
    }
}
