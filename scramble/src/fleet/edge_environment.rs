//! The environment of an edge of the in-memory fleet: its servers, its stores and its clock.

use super::simulated_network::{SimulatedClient, World};
use super::*;
use hutbook::coordination::admission_queue::ServerProbe;
use hutbook::coordination::store::StoreRequest;
use hutbook::state::byte_budget::ByteBudget;
use hutbook::transport::dispatch::{Gate, NoAnswer};
use hutbook::transport::leader_client::{RpcClient, StoreClient};
use hutbook::transport::serve::{Environment, ModelCall, Stream, StreamEvent, ToolCall};
use std::cell::Cell;
use std::rc::Rc;

/// The environment of one simulated edge.
#[derive(Clone)]
pub struct EdgeEnvironment {
    pub client: SimulatedClient,
    pub edge: Arc<Edge>,
    pub stores: Rc<StoreClient<SimulatedClient>>,
    /// Memory for proxied requests and their answers.
    pub memory: Arc<ByteBudget>,
}

impl EdgeEnvironment {
    /// Returns the delay to a server, in milliseconds; None if it can't be reached.
    fn delay_to(&self, server: &str) -> Option<u64> {
        let mut inner = self.client.world.0.borrow_mut();
        let up = inner.nodes.get(server).is_some_and(|node| node.up);
        inner.network_delay(&self.client.node, server).filter(|_| up)
    }

    /// Connects, checks the gate and sends. Once sent, the request can't be recalled: `work` starts at the backend even
    /// if the edge fails.
    pub(super) async fn dispatch<T: 'static, F>(
        &self,
        (gate, revision): (&Gate, u64),
        server: &str,
        key: &str,
        work: F,
    ) -> Result<T, NoAnswer>
    where
        F: FnOnce(u64, Backend, BackendSlot) -> T + 'static,
    {
        let Some(ms) = self.delay_to(server) else {
            self.client.sleep(CONNECT_TIMEOUT_MS).await;
            return Err(NoAnswer { sent: false });
        };
        self.client.sleep(ms).await;
        if !gate() {
            return Err(NoAnswer { sent: false });
        }
        let (tx, rx) = oneshot::channel();
        let (world, server, key) = (self.client.world.clone(), server.to_string(), key.to_string());
        self.client.world.spawn("outside", async move {
            world.client_at("outside").sleep(ms).await;
            if let Some((run_number, backend, slot)) = start_run(&world, &server, &key, revision) {
                let _ = tx.send(work(run_number, backend, slot));
            }
        });
        rx.await.map_err(|_| NoAnswer { sent: false })
    }
}

/// Records the start of a run at a backend. Returns the run's number, the backend's state and the run's slot.
fn start_run(world: &World, server: &str, key: &str, revision: u64) -> Option<(u64, Backend, BackendSlot)> {
    let mut inner = world.0.borrow_mut();
    let now = inner.now;
    let node = inner.nodes.get_mut(server).filter(|node| node.up)?;
    let incarnation = node.incarnation;
    let NodeKind::Backend(backend) = &mut node.kind else { return None };
    backend.running_jobs += 1;
    backend.runs_started += 1;
    let record = crate::observations::RunRecord {
        at: now,
        server: server.into(),
        key: key.into(),
        running: backend.running_jobs,
        finished: backend.runs_finished,
        config_revision: revision,
    };
    let backend = backend.clone();
    inner.observed.runs.push(record);
    let slot = BackendSlot {
        world: world.clone(),
        server: server.into(),
        incarnation,
        occupied: Cell::new(true),
        delivered_half: Cell::new(false),
    };
    Some((backend.runs_started, backend, slot))
}

/// One run's slot at a backend, released when the stream ends or its reader is dropped.
pub(super) struct BackendSlot {
    world: World,
    server: String,
    incarnation: u64,
    occupied: Cell<bool>,
    /// Half of the requested tokens are delivered: the run then counts as finished even if its reader is dropped.
    delivered_half: Cell<bool>,
}

impl BackendSlot {
    fn release(&self, done: bool) {
        if !self.occupied.replace(false) {
            return;
        }
        let mut inner = self.world.0.borrow_mut();
        let Some(n) = inner.nodes.get_mut(&self.server).filter(|n| n.incarnation == self.incarnation) else { return };
        if let NodeKind::Backend(backend) = &mut n.kind {
            backend.running_jobs = backend.running_jobs.saturating_sub(1);
            backend.runs_finished += u64::from(done);
        }
    }
}

impl Drop for BackendSlot {
    fn drop(&mut self) {
        self.release(self.delivered_half.get());
    }
}

/// Ends a run at the backend after its time limit, even if its reader is frozen and reads nothing more.
fn release_after(world: &World, run_ms: u64, slot: &Rc<BackendSlot>) {
    let (slot, client) = (Rc::downgrade(slot), world.client_at("outside"));
    world.spawn("outside", async move {
        client.sleep(run_ms).await;
        if let Some(slot) = slot.upgrade() {
            slot.release(false);
        }
    });
}

/// A simulated backend's stream: each word is one token.
pub struct BackendStream {
    client: SimulatedClient,
    slot: Rc<BackendSlot>,
    chunk_ms: u64,
    tokens_per_chunk: u64,
    omits_usage: bool,
    remaining: u64,
    produced: u64,
    breaks_at: Option<u64>,
    max_tokens: u64,
}

impl Stream for BackendStream {
    async fn next(&mut self) -> StreamEvent {
        if self.remaining == 0 {
            return StreamEvent::End((!self.omits_usage).then_some(self.produced));
        }
        self.client.sleep(self.chunk_ms).await;
        let alive = {
            let inner = self.client.world.0.borrow();
            inner.nodes.get(&self.slot.server).is_some_and(|node| node.up && node.incarnation == self.slot.incarnation)
        };
        if !alive || self.breaks_at.is_some_and(|at| self.produced >= at) {
            return StreamEvent::Broken;
        }
        let n = self.tokens_per_chunk.clamp(1, self.remaining);
        let text = (self.produced..self.produced + n).map(|i| format!("{i} ")).collect();
        (self.remaining, self.produced) = (self.remaining - n, self.produced + n);
        self.slot.delivered_half.set(self.produced * 2 >= self.max_tokens);
        if self.remaining == 0 {
            self.slot.release(true);
        }
        StreamEvent::Text(text, (!self.omits_usage).then_some(self.produced))
    }
}

impl Environment for EdgeEnvironment {
    type Stream = BackendStream;

    fn now(&self) -> u64 {
        self.client.now()
    }

    fn random_u64(&self) -> u64 {
        self.client.world.0.borrow_mut().rng.next_u64() | 1
    }

    async fn sleep(&self, ms: u64) {
        self.client.sleep(ms).await;
    }

    async fn store(&self, program: &str, request: StoreRequest) -> Option<StoreResponse> {
        self.stores.ask(&self.edge.view(), program, request).await
    }

    async fn model(&self, call: ModelCall) -> Result<Result<BackendStream, u16>, NoAnswer> {
        let (client, max_tokens, run_ms) = (self.client.clone(), call.max_tokens, call.run_ms);
        let make_stream = move |run_number: u64, backend: Backend, slot| {
            let slot = Rc::new(slot);
            release_after(&client.world, run_ms, &slot);
            let slowdown = u64::from(backend.running_jobs).div_ceil(u64::from(backend.slots.max(1))).max(1);
            let lost = backend.lose_answer_every > 0 && run_number.is_multiple_of(backend.lose_answer_every);
            let remaining = if backend.ignores_max_tokens { backend.chunks } else { max_tokens.min(backend.chunks) };
            let breaks_at = lost.then_some(remaining / 2);
            BackendStream {
                client,
                slot,
                chunk_ms: backend.chunk_ms * slowdown,
                tokens_per_chunk: backend.tokens_per_chunk,
                omits_usage: backend.omits_usage,
                remaining,
                produced: 0,
                breaks_at,
                max_tokens,
            }
        };
        self.dispatch((&call.gate, call.revision), &call.addr, &call.key, make_stream).await.map(Ok)
    }

    async fn tool(&self, call: ToolCall) -> Result<(u16, String), NoAnswer> {
        let (world, key) = (self.client.world.clone(), call.key.clone());
        let run = move |run_number: u64, backend: Backend, slot: BackendSlot| {
            let (tx, rx) = oneshot::channel();
            let slowdown = u64::from(backend.running_jobs).div_ceil(u64::from(backend.slots.max(1))).max(1);
            let body = jzon::object! { key: key.as_str(), run: run_number }.dump();
            world.clone().spawn("outside", async move {
                world.client_at("outside").sleep(backend.work_ms * slowdown).await;
                let same_incarnation = |world: &World| {
                    world.0.borrow().nodes.get(&slot.server).is_some_and(|node| node.incarnation == slot.incarnation)
                };
                if !same_incarnation(&world) {
                    return;
                }
                if let Some(NodeKind::Backend(backend)) =
                    world.0.borrow_mut().nodes.get_mut(&slot.server).map(|node| &mut node.kind)
                {
                    backend.answers.insert(key, body.clone());
                }
                slot.release(true);
                if !(backend.lose_answer_every > 0 && run_number.is_multiple_of(backend.lose_answer_every)) {
                    let _ = tx.send(body);
                } else {
                    // the connection stays open without a response
                    world.client_at("outside").sleep(DEFAULT_RUN_MS * 2).await;
                }
            });
            rx
        };
        let rx = self.dispatch((&call.gate, call.revision), &call.addr, &call.key, run).await?;
        let answer = tokio::select! {
            biased;
            r = rx => r.ok(),
            _ = self.client.sleep(call.run_ms) => None,
        };
        match (answer, self.delay_to(&call.addr)) {
            (Some(body), Some(ms)) => {
                self.client.sleep(ms).await;
                Ok((200, body))
            }
            _ => Err(NoAnswer { sent: true }),
        }
    }

    async fn probe(&self, addr: &str) -> Option<ServerProbe> {
        let delay = self.delay_to(addr).filter(|_| !self.client.world.0.borrow().nodes[addr].frozen);
        let Some(ms) = delay else {
            self.client.sleep(PROBE_TIMEOUT_MS).await;
            return None;
        };
        self.client.sleep(ms * 2).await;
        let inner = self.client.world.0.borrow();
        match &inner.nodes.get(addr).filter(|node| node.up)?.kind {
            NodeKind::Backend(backend) => Some(ServerProbe {
                started_at: if backend.reports_start { backend.started_at } else { 0 },
                ..ServerProbe::default()
            }),
            _ => None,
        }
    }

    async fn lookup(&self, addr: &str, key: &str) -> Option<(u16, String)> {
        let ms = self.delay_to(addr)? * 2;
        self.client.sleep(ms).await;
        let inner = self.client.world.0.borrow();
        match &inner.nodes.get(addr).filter(|node| node.up)?.kind {
            NodeKind::Backend(backend) => backend.answers.get(key).map(|body| (200, body.clone())),
            _ => None,
        }
    }
}
