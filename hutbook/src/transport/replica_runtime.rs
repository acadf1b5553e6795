//! Runs a replica on its own thread, with one thread that writes to its disk and one that reads texts.

use super::logs::LogThrottle;
use super::rpc::RpcTransport;
use crate::constants::*;
use crate::coordination::raft::RaftMessage;
use crate::coordination::replica::{missing_places, Input, Output, Outputs, Replica, StateMachine};
use crate::protocol::wire::Body;
use crate::state::disk::{Disk, DiskOp, PersistedState};
use crate::state::memory::MemoryBudget;
use crate::state::texts::{StoredTexts, TextLocation, TextOp, TextPlace};
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The process's monotonic clock, in milliseconds. It starts above zero, so that zero means never.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> u64 {
        self.0.elapsed().as_millis() as u64 + 1
    }
}

type ReplyFn<T> = Box<dyn FnOnce(T) + Send>;

enum Inbound<M: StateMachine> {
    Message(u64, String, RaftMessage),
    Synced(u64),
    Request(M::Request, ReplyFn<M::Response>),
    TextsMissing(Vec<TextPlace>),
    TransferLeadership,
}

pub struct ReplicaRuntime<M: StateMachine> {
    tx: SyncSender<Inbound<M>>,
    pub replica: Arc<Mutex<Replica<M>>>,
    /// Duration of the newest sync in milliseconds, and the number of failed syncs.
    pub sync_ms: Arc<AtomicU64>,
    pub sync_failed: Arc<AtomicU64>,
    /// Whether the newest write has failed and is being retried.
    pub disk_failing: AtomicBool,
    /// Number of requests that found the inbox full.
    pub inbox_full: AtomicU64,
}

/// A response that waits for texts from the disk.
struct TextRead<M: StateMachine> {
    places: Vec<TextPlace>,
    response: M::Response,
    answer: ReplyFn<M::Response>,
}

/// What texts are read for.
enum ReadJob<M: StateMachine> {
    Response(TextRead<M>),
    /// Another member has lost this text.
    Member {
        addr: String,
        place: TextPlace,
    },
}

/// Runs a long computation of the state machine and returns the request that reports its result.
pub type BackgroundComputation<M> =
    Arc<dyn Fn(<M as StateMachine>::Computation) -> Option<<M as StateMachine>::Request> + Send + Sync>;

impl<M> ReplicaRuntime<M>
where
    M: StateMachine + Send + 'static,
    M::Request: Send + 'static,
    M::Response: Send + 'static,
    M::Computation: Send + 'static,
{
    /// Starts the threads. `boot` is what `disk` holds, and `texts` reads the texts stored there.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        group: u32,
        disk: Disk,
        boot: PersistedState,
        machine: M,
        texts: Arc<StoredTexts>,
        budget: MemoryBudget,
        seed: u64,
        clock: Clock,
        transport: Arc<RpcTransport>,
        computation: BackgroundComputation<M>,
    ) -> std::io::Result<Arc<ReplicaRuntime<M>>> {
        let (tx, rx) = sync_channel(MAX_INBOX_INPUTS);
        let (disk_tx, disk_rx) = channel();
        let (mut replica, first) = Replica::new(disk.id, boot, machine, seed, clock.now());
        replica.log_limit = budget.log;
        let runtime = Arc::new(ReplicaRuntime {
            tx: tx.clone(),
            replica: Arc::new(Mutex::new(replica)),
            sync_ms: Arc::default(),
            sync_failed: Arc::default(),
            disk_failing: AtomicBool::default(),
            inbox_full: AtomicU64::default(),
        });
        let (reader_tx, reader_rx) = sync_channel(MAX_PENDING_TEXT_READS);
        let thread_runtime = runtime.clone();
        let inbox = tx.clone();
        let spawn = |name: &str, body: Box<dyn FnOnce() + Send>| {
            std::thread::Builder::new().name(name.into()).spawn(body).map(drop)
        };
        let written_texts = texts.clone();
        spawn("disk", Box::new(move || thread_runtime.write(disk, disk_rx, &written_texts, inbox)))?;
        let reader = TextReader { group, texts: texts.clone(), transport: transport.clone(), inbox: tx.clone() };
        spawn("texts", Box::new(move || reader.run(reader_rx)))?;
        let thread_runtime = runtime.clone();
        let runner = Runner {
            group,
            clock,
            transport,
            disk: disk_tx,
            texts,
            reader: reader_tx,
            pending_replies: HashMap::new(),
            next: 0,
            computation,
            inbox: tx,
        };
        spawn("replica", Box::new(move || runner.run(&thread_runtime.replica, rx, first)))?;
        Ok(runtime)
    }

    pub fn deliver(&self, from: u64, at: String, msg: RaftMessage) {
        // if the inbox is full, the message is dropped, as a network would
        let _ = self.tx.try_send(Inbound::Message(from, at, msg));
    }

    /// Sends a request to the replica; if its inbox is full, the answer is `busy`.
    pub fn ask(&self, ask: M::Request, busy: M::Response, reply: impl FnOnce(M::Response) + Send + 'static) {
        match self.tx.try_send(Inbound::Request(ask, Box::new(reply))) {
            Ok(()) => {}
            Err(
                TrySendError::Full(Inbound::Request(_, reply)) | TrySendError::Disconnected(Inbound::Request(_, reply)),
            ) => {
                self.inbox_full.fetch_add(1, Ordering::Relaxed);
                reply(busy)
            }
            Err(_) => {}
        }
    }

    pub fn transfer_leadership(&self) {
        let _ = self.tx.try_send(Inbound::TransferLeadership);
    }

    pub fn with_replica<T>(&self, read: impl FnOnce(&Replica<M>) -> T) -> T {
        read(&self.replica.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Writes one batch after the other, in order, and retries a failed one until it succeeds. Meanwhile the replica
    /// sees no sync complete and steps down by itself.
    fn write(
        &self,
        mut disk: Disk,
        rx: Receiver<(u64, Vec<DiskOp>)>,
        texts: &StoredTexts,
        inbox: SyncSender<Inbound<M>>,
    ) {
        while let Ok((mut mark, mut ops)) = rx.recv() {
            while let Ok((next_mark, next_ops)) = rx.try_recv() {
                mark = next_mark;
                ops.extend(next_ops);
            }
            let started = Instant::now();
            let mut throttle = LogThrottle::default();
            while let Err(error) = disk.write(&ops) {
                self.sync_failed.fetch_add(1, Ordering::Relaxed);
                self.disk_failing.store(true, Ordering::Relaxed);
                if throttle.is_due() {
                    log::error!("write to the data directory failed; retrying: {error}");
                }
                std::thread::sleep(Duration::from_millis(DISK_RETRY_MS));
            }
            text_ops(&ops).for_each(|ops| texts.finish_write(ops));
            self.disk_failing.store(false, Ordering::Relaxed);
            self.sync_ms.store(started.elapsed().as_millis() as u64, Ordering::Relaxed);
            if inbox.send(Inbound::Synced(mark)).is_err() {
                return;
            }
        }
    }
}

fn text_ops(ops: &[DiskOp]) -> impl Iterator<Item = &[TextOp]> {
    ops.iter().filter_map(|op| match op {
        DiskOp::Texts(ops) => Some(ops.as_slice()),
        _ => None,
    })
}

/// Reads texts for one job after the other, so that a slow disk delays only these jobs.
struct TextReader<M: StateMachine> {
    group: u32,
    texts: Arc<StoredTexts>,
    transport: Arc<RpcTransport>,
    inbox: SyncSender<Inbound<M>>,
}

impl<M: StateMachine> TextReader<M> {
    fn run(self, jobs: Receiver<ReadJob<M>>) {
        while let Ok(job) = jobs.recv() {
            match job {
                ReadJob::Response(read) => self.complete(read),
                ReadJob::Member { addr, place } => self.send_text(&addr, place),
            }
        }
    }

    /// Completes a response. Texts that are missing or damaged on disk are fetched from other members, so that a later
    /// response can include them.
    fn complete(&self, TextRead { places, response, answer }: TextRead<M>) {
        let found: Vec<Option<Bytes>> = places.iter().map(|place| self.texts.text(place)).collect();
        let missing = missing_places(&places, &found);
        if !missing.is_empty() {
            // if the inbox is full this is dropped: the next read finds them missing again
            let _ = self.inbox.try_send(Inbound::TextsMissing(missing));
        }
        answer(M::with_texts(response, found));
    }

    /// Sends the text to a member that has lost it, if it is intact here.
    fn send_text(&self, addr: &str, place: TextPlace) {
        let Some(text) = self.texts.text(&place) else { return };
        let msg = RaftMessage::TextResponse { place, bytes: text.to_vec() };
        self.transport.send(addr, Body::Raft { group: self.group, msg, at: self.transport.advertised_addr.clone() });
    }
}

struct Runner<M: StateMachine> {
    group: u32,
    clock: Clock,
    transport: Arc<RpcTransport>,
    disk: Sender<(u64, Vec<DiskOp>)>,
    texts: Arc<StoredTexts>,
    reader: SyncSender<ReadJob<M>>,
    pending_replies: HashMap<u64, ReplyFn<M::Response>>,
    next: u64,
    computation: BackgroundComputation<M>,
    inbox: SyncSender<Inbound<M>>,
}

impl<M> Runner<M>
where
    M: StateMachine + Send + 'static,
    M::Request: Send + 'static,
    M::Response: Send + 'static,
    M::Computation: Send + 'static,
{
    fn run(mut self, replica: &Mutex<Replica<M>>, rx: Receiver<Inbound<M>>, first: Outputs<M>) {
        self.dispatch(first);
        let mut tick_at = 0;
        loop {
            let now = self.clock.now();
            let wait = Duration::from_millis(TICK_MS.min(tick_at.max(now) - now));
            let input = match rx.recv_timeout(wait) {
                Ok(inbound) => Some(inbound),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut outputs = vec![];
            {
                let mut replica = replica.lock().unwrap_or_else(|e| e.into_inner());
                let mut next = input;
                // the batch is bounded, so that a flood of messages can't delay the ticks
                for _ in 0..MAX_REPLICA_BATCH {
                    let Some(inbound) = next else { break };
                    let input = self.accept_input(inbound);
                    outputs.extend(replica.step(self.clock.now(), input));
                    next = rx.try_recv().ok();
                }
                if let Some(inbound) = next {
                    let input = self.accept_input(inbound);
                    outputs.extend(replica.step(self.clock.now(), input));
                }
                let now = self.clock.now();
                if now >= tick_at {
                    tick_at = now + TICK_MS;
                    outputs.extend(replica.step(now, Input::Tick));
                }
            }
            self.dispatch(outputs);
        }
    }

    fn accept_input(&mut self, inbound: Inbound<M>) -> Input<M::Request> {
        match inbound {
            Inbound::Message(from, at, msg) => Input::Message { from, at, msg },
            Inbound::Synced(mark) => Input::Synced(mark),
            Inbound::TransferLeadership => Input::TransferLeadership,
            Inbound::TextsMissing(places) => Input::TextsMissing(places),
            Inbound::Request(ask, reply) => {
                self.next += 1;
                self.pending_replies.insert(self.next, reply);
                Input::Request { ticket: self.next, request: ask }
            }
        }
    }

    fn dispatch(&mut self, outputs: Outputs<M>) {
        for output in outputs {
            match output {
                Output::Send { addr, msg, .. } => self
                    .transport
                    .send(&addr, Body::Raft { group: self.group, msg, at: self.transport.advertised_addr.clone() }),
                Output::Persist { sync_ticket: mark, ops } => {
                    text_ops(&ops).for_each(|ops| self.texts.begin_write(ops));
                    // the disk thread ends only with the process
                    let _ = self.disk.send((mark, ops));
                }
                Output::Reply { ticket, response: answer } => {
                    if let Some(reply) = self.pending_replies.remove(&ticket) {
                        self.reply(answer, reply);
                    }
                }
                Output::ReadText { addr, place, .. } => {
                    // if the queue is full this is dropped: the member asks again
                    let _ = self.reader.try_send(ReadJob::Member { addr, place });
                }
                Output::Compute(computation_input) => {
                    let (computation, inbox) = (self.computation.clone(), self.inbox.clone());
                    let _ = std::thread::Builder::new().name("think".into()).spawn(move || {
                        if let Some(ask) = computation(computation_input) {
                            let _ = inbox.try_send(Inbound::Request(ask, Box::new(|_| {})));
                        }
                    });
                }
            }
        }
    }

    /// Answers at once if all texts that the response lacks are in memory, else after they have been read.
    fn reply(&self, response: M::Response, answer: ReplyFn<M::Response>) {
        let places = M::missing_texts(&response);
        let in_memory: Vec<Option<Bytes>> = places.iter().map(|place| self.in_memory(place)).collect();
        if in_memory.iter().all(Option::is_some) {
            return answer(M::with_texts(response, in_memory));
        }
        let job = ReadJob::Response(TextRead { places, response, answer });
        let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) = self.reader.try_send(job) else { return };
        if let ReadJob::Response(read) = job {
            let none = vec![None; read.places.len()];
            (read.answer)(M::with_texts(read.response, none));
        }
    }

    fn in_memory(&self, place: &TextPlace) -> Option<Bytes> {
        match self.texts.find(place) {
            TextLocation::InMemory(text) => Some(text),
            TextLocation::OnDisk => None,
        }
    }
}
