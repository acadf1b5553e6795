//! Calls to other processes that wait for their answer.
//!
//! An answer is matched by its connection and by the id of its call. A connection ends when either process ends, and a
//! process numbers its calls from a random start, so that no answer to an earlier process or to another one can match.

use super::network_environment::random_u64;
use crate::constants::MAX_PENDING_CALLS;
use crate::protocol::wire::Body;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

/// Identifies one connection of this process; never reused while it runs.
pub type ConnectionId = u64;

/// The result of matching an answer to its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMatch {
    /// The answer was delivered to its call.
    Delivered,
    /// Nobody waits for it any more.
    Abandoned,
    /// Its call was sent over another connection, or not sent yet: the peer is faulty.
    WrongConnection,
}

struct PendingCall {
    /// None until the call has been handed to a connection.
    connection: Option<ConnectionId>,
    answer: oneshot::Sender<Body>,
}

/// The pending calls of one process.
pub struct PendingCalls {
    next: AtomicU64,
    calls: Mutex<HashMap<u64, PendingCall>>,
}

/// One pending call; it is removed when this is dropped, also if the wait was cancelled.
pub struct Call {
    /// Never 0, which means that no answer is expected.
    pub id: u64,
    all: Arc<PendingCalls>,
    answer: oneshot::Receiver<Body>,
}

impl Call {
    /// Waits for the answer. None once it can't arrive any more.
    pub async fn answer(&mut self) -> Option<Body> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.all.calls().remove(&self.id);
    }
}

impl Default for PendingCalls {
    fn default() -> Self {
        // the start is in the lower half of the number range, so the ids never wrap around to 0
        PendingCalls { next: AtomicU64::new(random_u64() >> 1), calls: Mutex::default() }
    }
}

impl PendingCalls {
    fn calls(&self) -> MutexGuard<'_, HashMap<u64, PendingCall>> {
        self.calls.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the number of pending calls.
    pub fn count(&self) -> usize {
        self.calls().len()
    }

    /// Registers a new call. None if too many are pending already.
    pub fn open(self: &Arc<Self>) -> Option<Call> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        let mut calls = self.calls();
        if calls.len() >= MAX_PENDING_CALLS {
            return None;
        }
        calls.insert(id, PendingCall { connection: None, answer: sender });
        Some(Call { id, all: self.clone(), answer })
    }

    /// Binds the call to the connection that carries it; only that connection can deliver its answer.
    pub fn bind(&self, id: u64, connection: ConnectionId) {
        if let Some(c) = self.calls().get_mut(&id) {
            c.connection = Some(connection);
        }
    }

    /// Removes a call that can't be sent, so that its wait ends at once.
    pub fn fail(&self, id: u64) {
        self.calls().remove(&id);
    }

    /// Delivers an answer that arrived over this connection.
    pub fn answer(&self, connection: ConnectionId, id: u64, body: Body) -> AnswerMatch {
        let mut calls = self.calls();
        match calls.get(&id).map(|c| c.connection) {
            None => return AnswerMatch::Abandoned,
            Some(c) if c != Some(connection) => return AnswerMatch::WrongConnection,
            Some(_) => {}
        }
        let delivered = calls.remove(&id).is_some_and(|c| c.answer.send(body).is_ok());
        if delivered {
            AnswerMatch::Delivered
        } else {
            AnswerMatch::Abandoned
        }
    }

    /// Ends the calls that were sent over this connection, since they can't be answered any more.
    pub fn end_connection(&self, connection: ConnectionId) {
        self.calls().retain(|_, c| c.connection != Some(connection));
    }
}

#[cfg(test)]
mod tests;
