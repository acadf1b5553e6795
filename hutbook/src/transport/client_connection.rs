//! State of one connection of a client: what it is doing, since when, and what it holds.

use super::connections::{Connections, ListenerTimeouts};
use crate::constants::*;
use crate::state::byte_budget::ReservedBytes;
use futures_util::task::AtomicWaker;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;

/// Why a connection is closed before its client or its request ends it. The name is that of its counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No request arrived within the idle time.
    Idle,
    /// A request's head did not arrive in time.
    SlowHead,
    /// An answer was not read within its request's time.
    AnswerOverdue,
    /// An answer was read too slowly.
    SlowReader,
    /// Memory is short, and this connection held the most for the longest.
    Memory,
    /// Too many connections are open.
    Connections,
}

impl CloseReason {
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::SlowHead => "slow_head",
            CloseReason::AnswerOverdue => "answer_overdue",
            CloseReason::SlowReader => "slow_reader",
            CloseReason::Memory => "memory",
            CloseReason::Connections => "connections",
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between two requests.
    Idle,
    ReadingHead,
    ReadingBody,
    /// The request has been read, and its answer is not finished.
    Answering,
}

/// The rate at which a client takes its answer.
#[derive(Default)]
struct WriteProgress {
    /// Whether the last write had to wait for the client.
    is_blocked: bool,
    written: u64,
    window_start: u64,
    window_written: u64,
}

struct State {
    phase: Phase,
    /// When the request or the rest before it began, in milliseconds.
    phase_since: u64,
    /// Bytes that were read since the request began, until its body is read.
    head_bytes: usize,
    /// When a part of the request's body last arrived, in milliseconds.
    body_read_at: u64,
    /// Bytes that were read since the connection last paused to handle them.
    burst_bytes: usize,
    /// Whether reading is suspended while the request waits for memory.
    is_paused: bool,
    /// Whether the connection's task waits to be told that it may read.
    waits_to_read: bool,
    /// When the answer must have been written; None without a deadline.
    answer_deadline: Option<u64>,
    progress: WriteProgress,
    /// Bytes held for this connection beside `memory`: the body of its request, and the answer that it has not read.
    held: usize,
    memory: ReservedBytes,
    /// Why it is being closed, and the bytes that this releases.
    closing: Option<(CloseReason, usize)>,
}

/// One connection of a client.
pub struct ClientConnection {
    pub(super) id: u64,
    connections: Arc<Connections>,
    timeouts: Arc<ListenerTimeouts>,
    state: Mutex<State>,
    waker: AtomicWaker,
}

/// What a read may do.
pub(super) enum ReadPermit {
    /// Hand out bytes with at most so many ends of heads.
    Allowed { max_heads: usize },
    /// Hand out nothing until the waker is woken.
    Wait,
    /// Hand out nothing before what was handed out is handled.
    HandleFirst,
    /// Hand out nothing until the answer is finished, but notice the client's end.
    ReadAhead,
    /// The connection ends here, with this answer if there is one.
    Close(Option<&'static str>),
}

/// Answer to a client whose request is dropped before it was read completely, for want of memory or connections.
pub(super) const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 0.20\r\n\
     connection: close\r\ncontent-length: 23\r\n\r\n{\"error\":\"edge_memory\"}";
/// Answer to a client whose head did not arrive in time.
const HEAD_TIMEOUT: &str = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

impl ClientConnection {
    pub(super) fn new(
        id: u64,
        connections: Arc<Connections>,
        timeouts: Arc<ListenerTimeouts>,
        memory: ReservedBytes,
    ) -> ClientConnection {
        let now = connections.now();
        let state = State {
            phase: Phase::Idle,
            phase_since: now,
            head_bytes: 0,
            body_read_at: 0,
            burst_bytes: 0,
            is_paused: false,
            waits_to_read: false,
            answer_deadline: None,
            progress: WriteProgress::default(),
            held: 0,
            memory,
            closing: None,
        };
        ClientConnection { id, connections, timeouts, state: Mutex::new(state), waker: AtomicWaker::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the connections of this process.
    pub fn connections(&self) -> &Arc<Connections> {
        &self.connections
    }

    /// Returns whether the connection may be read from. `waker` is woken once that changes.
    pub(super) fn permit_read(&self, waker: &Waker) -> ReadPermit {
        self.waker.register(waker);
        let mut state = self.state();
        match state.closing {
            Some((CloseReason::SlowHead, _)) => ReadPermit::Close(Some(HEAD_TIMEOUT)),
            Some((CloseReason::Memory | CloseReason::Connections, _))
                if matches!(state.phase, Phase::ReadingHead | Phase::ReadingBody) =>
            {
                ReadPermit::Close(Some(REFUSAL))
            }
            Some(_) => ReadPermit::Close(None),
            None if state.is_paused => {
                state.waits_to_read = true;
                ReadPermit::Wait
            }
            None if state.phase == Phase::Answering => {
                state.waits_to_read = true;
                ReadPermit::ReadAhead
            }
            None if state.burst_bytes >= MAX_READ_BURST_BYTES => {
                state.burst_bytes = 0;
                ReadPermit::HandleFirst
            }
            None => self.reserve_for_head(state, waker),
        }
    }

    /// Reserves memory for the next part of a head before it is read.
    fn reserve_for_head(&self, mut state: MutexGuard<'_, State>, waker: &Waker) -> ReadPermit {
        let head_bytes = (state.head_bytes + MAX_READ_BURST_BYTES).min(MAX_HEAD_BUFFER_BYTES);
        let needed = CONNECTION_BYTES + head_bytes.saturating_sub(FREE_HEAD_BYTES);
        let more = needed.saturating_sub(state.memory.bytes());
        if state.phase != Phase::ReadingHead || more == 0 || state.memory.try_grow(more) {
            // the end of a body isn't known here: heads behind it would be handed out with it
            let max_heads = if state.phase == Phase::ReadingBody { MAX_EMPTY_LINES_READ } else { 1 };
            return ReadPermit::Allowed { max_heads };
        }
        drop(state);
        match self.connections.make_room(more, Some(self.id)) {
            true => {
                self.connections.wake_with_memory(waker);
                ReadPermit::Wait
            }
            false => ReadPermit::Close(Some(REFUSAL)),
        }
    }

    /// Records bytes that were handed out. `is_full` says that what was handed out has to be handled first.
    pub(super) fn note_read(&self, bytes: usize, is_full: bool) {
        if bytes == 0 {
            return;
        }
        let mut state = self.state();
        state.burst_bytes += if is_full { MAX_READ_BURST_BYTES } else { bytes };
        match state.phase {
            Phase::Idle => {
                (state.phase, state.phase_since) = (Phase::ReadingHead, self.connections.now());
                state.head_bytes = bytes;
            }
            Phase::ReadingHead => state.head_bytes += bytes,
            Phase::ReadingBody => state.body_read_at = self.connections.now(),
            Phase::Answering => {}
        }
    }

    /// Records that reading would wait for the client.
    pub(super) fn note_read_pending(&self) {
        self.state().burst_bytes = 0;
    }

    /// Records the result of a write: the bytes written, or None if it had to wait for the client.
    pub(super) fn note_write(&self, written: Option<usize>) {
        let mut state = self.state();
        let progress = &mut state.progress;
        match written {
            Some(bytes) => {
                progress.is_blocked = false;
                progress.written += bytes as u64;
            }
            None if progress.is_blocked => {}
            None => {
                progress.is_blocked = true;
                let now = self.connections.now();
                // a client that kept up until now begins a new period
                if now >= progress.window_start + WRITE_RATE_WINDOW_MS {
                    (progress.window_start, progress.window_written) = (now, progress.written);
                }
            }
        }
    }

    /// Returns whether writes fail because the connection is being closed.
    pub(super) fn is_closing(&self) -> bool {
        self.state().closing.is_some()
    }

    /// Begins a request, whose head has been read. Its body is not read before `resume_reading`.
    pub fn begin_request(&self) {
        let mut state = self.state();
        state.phase = Phase::ReadingBody;
        state.body_read_at = state.phase_since;
        state.is_paused = true;
    }

    /// Suspends reading while the request waits for memory, so that its body doesn't pile up meanwhile.
    pub fn pause_reading(&self) {
        self.state().is_paused = true;
    }

    pub fn resume_reading(&self) {
        let mut state = self.state();
        state.is_paused = false;
        self.wake_reader(state);
    }

    /// Wakes the connection's task if it waits to be told that it may read.
    fn wake_reader(&self, mut state: MutexGuard<'_, State>) {
        if std::mem::take(&mut state.waits_to_read) {
            drop(state);
            self.waker.wake();
        }
    }

    /// Reserves more memory for the body of the request; reading is suspended while it waits for some.
    pub async fn grow_for_body(&self, holder: &mut ReservedBytes, bytes: usize) -> bool {
        if holder.try_grow(bytes) {
            return true;
        }
        self.pause_reading();
        let is_grown = self.connections.grow(holder, bytes).await;
        self.resume_reading();
        is_grown
    }

    /// Records that the request has been read to its end.
    pub fn end_of_body(&self) {
        let mut state = self.state();
        state.phase = Phase::Answering;
        state.is_paused = false;
        state.memory.shrink_to(CONNECTION_BYTES);
    }

    /// Sets when the answer must have been written, in milliseconds.
    pub fn set_answer_deadline(&self, deadline: Option<u64>) {
        self.state().answer_deadline = deadline;
    }

    /// Ends a request: its answer has been handed to the connection.
    pub fn end_request(&self) {
        let now = self.connections.now();
        let mut state = self.state();
        (state.phase, state.phase_since) = (Phase::Idle, now);
        (state.head_bytes, state.answer_deadline) = (0, None);
        state.is_paused = false;
        state.memory.shrink_to(CONNECTION_BYTES);
        self.wake_reader(state);
    }

    /// Counts bytes that are held for this connection elsewhere.
    pub fn add_held(&self, bytes: usize) {
        self.state().held += bytes;
    }

    /// Ends the count of bytes that were held for this connection.
    pub fn remove_held(&self, bytes: usize) {
        let mut state = self.state();
        state.held = state.held.saturating_sub(bytes);
    }

    /// Returns how much the connection holds for how long, in byte milliseconds; None if it can't be closed in favour
    /// of others, because its request is arriving or being served, or because it is being closed already.
    pub(super) fn weight(&self, now: u64) -> Option<u64> {
        let state = self.state();
        let is_waited_for = match state.phase {
            Phase::Idle | Phase::ReadingHead => true,
            Phase::ReadingBody => !state.is_paused && now >= state.body_read_at + STALLED_BODY_MS,
            Phase::Answering => state.progress.is_blocked,
        };
        let bytes = (state.memory.bytes() + state.held) as u64;
        (is_waited_for && state.closing.is_none()).then(|| bytes * (now.saturating_sub(state.phase_since) + 1))
    }

    /// Returns why the connection's time is over, if it is.
    pub(super) fn overdue(&self, now: u64) -> Option<CloseReason> {
        let mut state = self.state();
        if state.closing.is_some() {
            return None;
        }
        let for_ms = now.saturating_sub(state.phase_since);
        match state.phase {
            Phase::Idle if for_ms > self.timeouts.idle_ms() && !state.progress.is_blocked => {
                return Some(CloseReason::Idle)
            }
            Phase::ReadingHead if for_ms > self.timeouts.header_ms() => return Some(CloseReason::SlowHead),
            _ => {}
        }
        if state.answer_deadline.is_some_and(|deadline| now > deadline) {
            return Some(CloseReason::AnswerOverdue);
        }
        let progress = &mut state.progress;
        if !progress.is_blocked || now < progress.window_start + WRITE_RATE_WINDOW_MS {
            return None;
        }
        let taken = progress.written - progress.window_written;
        (progress.window_start, progress.window_written) = (now, progress.written);
        (taken < MIN_WRITE_WINDOW_BYTES).then_some(CloseReason::SlowReader)
    }

    /// Closes the connection: its next read or write ends it. Returns the bytes that this will release.
    pub(super) fn close(&self, reason: CloseReason) -> usize {
        let mut state = self.state();
        let bytes = state.memory.bytes() + state.held;
        state.closing = Some((reason, bytes));
        drop(state);
        self.waker.wake();
        bytes
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let releases = self.state().closing.map_or(0, |(_, bytes)| bytes);
        self.connections.forget(self.id, releases);
    }
}
