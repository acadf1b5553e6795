//! A streamed answer on its way to its client. It is complete only if its sender says so: one whose sender is dropped,
//! by a failure, a panic or a stopping process, is broken off.

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use bytes::Bytes;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;

/// The client has disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected;

/// The answer ended without having been completed.
#[derive(Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// The producing end of a streamed answer.
pub struct StreamSender {
    parts: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

/// The end of a streamed answer that its client reads.
pub struct StreamReceiver {
    parts: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
}

/// Creates a stream that holds up to `capacity` unread parts; a slow reader applies back pressure to the producer.
pub fn answer_stream(capacity: usize) -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::channel(capacity);
    let is_complete = Arc::new(AtomicBool::new(false));
    (StreamSender { parts: sender, is_complete: is_complete.clone() }, StreamReceiver { parts: receiver, is_complete })
}

impl StreamSender {
    /// Sends one part. An empty part is not sent: to the client it would be the last chunk.
    pub async fn send(&self, part: Bytes) -> Result<(), Disconnected> {
        if part.is_empty() {
            return Ok(());
        }
        self.parts.send(part).await.map_err(|_| Disconnected)
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
        self.is_complete.store(true, Ordering::Release);
    }
}

impl StreamReceiver {
    /// Returns the next part; None at the end of a complete answer.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        match self.parts.recv().await {
            Some(part) => Some(Ok(part)),
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(BrokenOff)),
        }
    }

    /// Makes it the body of a response; `on_complete` is called at the end of a complete answer. A broken answer aborts
    /// its connection, so that it doesn't look complete.
    pub fn into_body(self, on_complete: impl Fn() + 'static) -> BoxBody {
        let parts = futures_util::stream::unfold((self, on_complete), |(mut receiver, on_complete)| async move {
            let Some(part) = receiver.next().await else {
                on_complete();
                return None;
            };
            let part: Result<Bytes, std::io::Error> =
                part.map_err(|BrokenOff| std::io::ErrorKind::ConnectionAborted.into());
            Some((part, (receiver, on_complete)))
        });
        BodyStream::new(Box::pin(parts)).boxed()
    }
}
