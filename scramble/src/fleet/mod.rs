//! A whole fleet in memory, with virtual time, a seeded network and seeded disks. It runs the same
//! coordination, state and request code as the daemons.

mod clients;
pub mod disk;
mod edge_environment;
mod exec;
mod faults;
mod leadership;
mod majority;
mod operators;
mod proxy_clients;
mod requests;
mod simulated_network;

pub use clients::{ProgramKind, MAX_TOKENS};
pub use edge_environment::EdgeEnvironment;
pub use operators::{put_config_request, PendingCommand};
pub use proxy_clients::{stream_route, PendingTurn, TurnAnswer, TurnRequest};
pub use simulated_network::{SimulatedClient, World};

use crate::observations::Observations;
use bytes::Bytes;
use disk::Disk;
use exec::Executor;
use hutbook::constants::*;
use hutbook::coordination::control::{
    compute_scaling_decision, CheckIn, ControlRequest, ControlResponse, ControlStateMachine, RedundancySettings,
    StoreAssignment,
};
use hutbook::coordination::edge::Edge;
use hutbook::coordination::raft::{RaftMessage, Role};
use hutbook::coordination::replica::{missing_places, Input, Output, Outputs, Replica, StateMachine};
use hutbook::coordination::store::{Store, StoreResponse};
use hutbook::protocol::wire::{Body, CORE};
use hutbook::state::disk::{DiskOp, PersistedState};
use hutbook::state::entry::Member;
use hutbook::state::memory::MemoryBudget;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Message delay of an undisturbed network, in milliseconds: the minimum and the range above it.
const NETWORK_DELAY_MS: (u64, u64) = (1, 4);
/// How long a sync of a healthy disk takes, in milliseconds.
pub const SYNC_MS: u64 = 3;
/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;
/// How long the scaler's computation takes, in milliseconds.
const COMPUTATION_MS: u64 = 40;
/// Interval between samples of the edges' leases and configs, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// Receives the response to a request that a replica is processing.
struct Requester {
    from: String,
    call: u64,
}

enum NodeKind {
    Controller(Option<Box<Replica<ControlStateMachine>>>),
    Store {
        group: Option<u32>,
        replica: Option<Box<Replica<Store>>>,
        controllers: Vec<Member>,
    },
    Edge(Arc<Edge>),
    Backend(Backend),
    /// Clients and operators, which are not processes of the fleet.
    External,
}

/// A simulated backend.
#[derive(Clone, Default)]
pub struct Backend {
    pub model: bool,
    pub slots: u32,
    pub chunk_ms: u64,
    pub chunks: u64,
    pub work_ms: u64,
    pub running_jobs: u32,
    pub runs_started: u64,
    pub runs_finished: u64,
    /// Runs every nth job but loses its response; 0 loses none.
    pub lose_answer_every: u64,
    /// When its process started.
    pub started_at: u64,
    pub reports_start: bool,
    /// Tokens in a chunk; the last one may have fewer.
    pub tokens_per_chunk: u64,
    /// Generates more tokens than the request allows.
    pub ignores_max_tokens: bool,
    /// Reports no token counts.
    pub omits_usage: bool,
    answers: BTreeMap<String, String>,
}

struct Node {
    id: u64,
    zone: String,
    kind: NodeKind,
    disk: Disk,
    up: bool,
    /// Was asked to stop: accepts no new connections, finishes the requests in progress.
    draining: bool,
    /// Its disk is lost: if it restarts, it does so as another node.
    disk_lost: bool,
    frozen: bool,
    /// Incremented when the process ends; tasks and events of an earlier incarnation are dropped.
    incarnation: u64,
    /// Events that arrived while it was frozen.
    held_events: Vec<NodeEvent>,
    pending_requests: BTreeMap<u64, Requester>,
    next_ticket: u64,
}

/// A fault of a node. Several may be active at once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum NodeFault {
    Down,
    Frozen,
    Partitioned,
    Disk,
    /// A backend that loses responses.
    LostAnswers,
    /// Messages are lost on the whole network.
    MessageLoss,
}

/// An event of one node.
#[allow(clippy::large_enum_variant)]
enum NodeEvent {
    Message { from: String, call: u64, body: Body },
    Response { call: u64, body: Body },
    Tick,
    SyncDone,
    ComputationDone(ControlRequest),
}

#[allow(clippy::large_enum_variant)]
enum Event {
    Deliver {
        node: String,
        incarnation: Option<u64>,
        event: NodeEvent,
    },
    /// Wakes a sleeping task.
    Timer(oneshot::Sender<()>),
    Sample,
}

struct ScheduledEvent {
    at: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

pub struct Inner {
    pub now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    nodes: BTreeMap<String, Node>,
    pub rng: ChaCha8Rng,
    /// Directed links (from, to) that deliver no messages.
    blocked_links: BTreeSet<(String, String)>,
    /// Messages lost, in a thousand.
    loss_per_mille: u64,
    pending_calls: BTreeMap<u64, oneshot::Sender<Body>>,
    pub executor: Executor,
    pub observed: Observations,
    cluster: u64,
    redundancy: RedundancySettings,
    /// Memory budget of every store process.
    store_memory_budget: MemoryBudget,
    /// The environment of each edge's proxied requests.
    proxies: BTreeMap<String, edge_environment::EdgeEnvironment>,
    /// Requests in progress at each edge: one reference each, plus the entry's own.
    active_requests: BTreeMap<String, std::rc::Rc<()>>,
    /// Messages sent between the fleet's processes, by kind.
    pub messages_sent: BTreeMap<&'static str, u64>,
    /// Messages that reached each node, by second of virtual time; counted only if a test asks for it.
    messages_by_second: Option<BTreeMap<(String, u64), u64>>,
    group_watch: majority::GroupWatch,
    active_faults: BTreeSet<(String, NodeFault)>,
}

impl Inner {
    fn new(seed: u64) -> Inner {
        Inner {
            now: 1,
            sequence: 0,
            events: BinaryHeap::new(),
            nodes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            blocked_links: BTreeSet::new(),
            loss_per_mille: 0,
            pending_calls: BTreeMap::new(),
            executor: Executor::default(),
            observed: Observations::default(),
            cluster: 0,
            redundancy: RedundancySettings::default(),
            store_memory_budget: MemoryBudget::default(),
            proxies: BTreeMap::new(),
            active_requests: BTreeMap::new(),
            messages_sent: BTreeMap::new(),
            messages_by_second: None,
            group_watch: majority::GroupWatch::default(),
            active_faults: BTreeSet::new(),
        }
    }

    pub fn draw(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    fn schedule_for(&mut self, ms: u64, node: &str, event: NodeEvent) {
        let incarnation = self.nodes.get(node).map(|node| node.incarnation);
        self.schedule_at(self.now + ms, Event::Deliver { node: node.into(), incarnation, event });
    }

    fn network_delay(&mut self, from: &str, to: &str) -> Option<u64> {
        let ms = NETWORK_DELAY_MS.0 + self.draw(NETWORK_DELAY_MS.1);
        let lost = self.draw(1_000) < self.loss_per_mille;
        let cut = self.blocked_links.contains(&(from.to_string(), to.to_string()));
        (!cut && !lost).then_some(ms)
    }

    fn send_message(&mut self, from: &str, to: &str, call: u64, body: Body) {
        let kind = match &body {
            Body::Raft { .. } => "raft",
            Body::ControlRequest(_) => "core",
            Body::StoreRequest { .. } => "store",
            _ => "answers",
        };
        *self.messages_sent.entry(kind).or_default() += 1;
        if let Some(ms) = self.network_delay(from, to) {
            // delivered by address, to whichever incarnation runs when the message arrives
            let event = match call {
                0 => NodeEvent::Message { from: from.into(), call: 0, body },
                _ => NodeEvent::Message { from: from.into(), call, body },
            };
            self.schedule_at(self.now + ms, Event::Deliver { node: to.into(), incarnation: None, event });
        }
    }

    fn send_response(&mut self, from: &str, requester: Requester, body: Body) {
        *self.messages_sent.entry("answers").or_default() += 1;
        if let Some(ms) = self.network_delay(from, &requester.from) {
            let event = NodeEvent::Response { call: requester.call, body };
            self.schedule_at(self.now + ms, Event::Deliver { node: requester.from, incarnation: None, event });
        }
    }

    /// Handles one event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Timer(tx) => {
                let _ = tx.send(());
            }
            Event::Sample => {
                self.sample();
                self.schedule_at(self.now + SAMPLE_INTERVAL_MS, Event::Sample);
            }
            Event::Deliver { node, incarnation, event } => {
                let Some(target) = self.nodes.get_mut(&node) else { return };
                if !target.up || incarnation.is_some_and(|started| started != target.incarnation) {
                    return;
                }
                if target.frozen {
                    // one held tick is enough
                    if !matches!(event, NodeEvent::Tick)
                        || !target.held_events.iter().any(|held| matches!(held, NodeEvent::Tick))
                    {
                        target.held_events.push(event);
                    }
                    return;
                }
                self.deliver(&node, event);
            }
        }
    }

    fn deliver(&mut self, name: &str, event: NodeEvent) {
        let now = self.now;
        match event {
            NodeEvent::Response { call, body } => {
                if let Some(tx) = self.pending_calls.remove(&call) {
                    let _ = tx.send(body);
                }
            }
            NodeEvent::Message { from, call, body } => self.on_message(name, from, call, body),
            NodeEvent::Tick => {
                self.on_tick(name);
                self.schedule_for(TICK_MS, name, NodeEvent::Tick);
            }
            NodeEvent::SyncDone => {
                let node = self.nodes.get_mut(name).expect("known node");
                if let Some(sync_ticket) = node.disk.finish_sync() {
                    self.step_replica(
                        name,
                        |r, now| r.step(now, Input::Synced(sync_ticket)),
                        |r, now| r.step(now, Input::Synced(sync_ticket)),
                    );
                }
                self.sync(name);
            }
            NodeEvent::ComputationDone(command) => {
                let node = self.nodes.get_mut(name).expect("known node");
                if let NodeKind::Controller(Some(r)) = &mut node.kind {
                    let outputs = r.step(now, Input::Request { ticket: 0, request: command });
                    self.process_controller_outputs(name, outputs);
                }
            }
        }
    }

    fn step_replica(
        &mut self,
        name: &str,
        core: impl FnOnce(&mut Replica<ControlStateMachine>, u64) -> Outputs<ControlStateMachine>,
        store: impl FnOnce(&mut Replica<Store>, u64) -> Outputs<Store>,
    ) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("known node");
        match &mut node.kind {
            NodeKind::Controller(Some(r)) => {
                let outputs = core(r, now);
                self.process_controller_outputs(name, outputs);
            }
            NodeKind::Store { replica: Some(r), .. } => {
                let outputs = store(r, now);
                self.process_store_outputs(name, outputs);
            }
            _ => {}
        }
    }

    fn on_message(&mut self, name: &str, from: String, call: u64, body: Body) {
        let now = self.now;
        if let Some(messages_by_second) = &mut self.messages_by_second {
            *messages_by_second.entry((name.to_string(), now / SECOND_MS)).or_default() += 1;
        }
        let id = self.nodes.get(&from).map_or(0, |node| node.id);
        let node = self.nodes.get_mut(name).expect("known node");
        match (body, &mut node.kind) {
            (Body::Raft { group: CORE, msg, at }, NodeKind::Controller(Some(r))) => {
                let outputs = r.step(now, Input::Message { from: id, at, msg });
                self.process_controller_outputs(name, outputs);
            }
            (Body::Raft { group, msg, at }, NodeKind::Store { group: Some(g), replica: Some(r), .. })
                if *g == group =>
            {
                let outputs = r.step(now, Input::Message { from: id, at, msg });
                self.process_store_outputs(name, outputs);
            }
            (Body::ControlRequest(request), NodeKind::Controller(Some(r))) => {
                node.next_ticket += 1;
                let ticket = node.next_ticket;
                node.pending_requests.insert(ticket, Requester { from, call });
                let outputs = r.step(now, Input::Request { ticket, request: *request });
                self.process_controller_outputs(name, outputs);
            }
            (Body::ControlRequest(_), NodeKind::Controller(None)) => {
                let response = ControlResponse::NotLeader(None);
                self.send_response(name, Requester { from, call }, Body::ControlResponse(Box::new(response)));
            }
            (Body::StoreRequest { group, ask }, NodeKind::Store { group: Some(g), replica: Some(r), .. })
                if *g == group =>
            {
                node.next_ticket += 1;
                let ticket = node.next_ticket;
                node.pending_requests.insert(ticket, Requester { from, call });
                let outputs = r.step(now, Input::Request { ticket, request: *ask });
                self.process_store_outputs(name, outputs);
            }
            (Body::StoreRequest { .. }, _) => {
                let response = StoreResponse::NotLeader(None);
                self.send_response(name, Requester { from, call }, Body::StoreResponse(Box::new(response)));
            }
            _ => {}
        }
    }

    fn on_tick(&mut self, name: &str) {
        self.step_replica(name, |r, now| r.step(now, Input::Tick), |r, now| r.step(now, Input::Tick));
    }

    fn sync(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("known node");
        if let Some(ms) = node.disk.begin_sync() {
            self.schedule_for(ms, name, NodeEvent::SyncDone);
        }
    }

    fn persist(&mut self, name: &str, sync_ticket: u64, ops: Vec<DiskOp>) {
        self.nodes.get_mut(name).expect("known node").disk.write(sync_ticket, ops);
        self.sync(name);
    }

    fn process_outputs<M: StateMachine>(
        &mut self,
        name: &str,
        group: u32,
        outputs: Outputs<M>,
        to_body: fn(M::Response) -> Body,
        run_computation: fn(M::Computation) -> Option<ControlRequest>,
    ) {
        for output in outputs {
            match output {
                Output::Send { addr, msg, .. } => {
                    self.send_message(name, &addr, 0, Body::Raft { group, msg, at: name.to_string() })
                }
                Output::Persist { sync_ticket, ops } => self.persist(name, sync_ticket, ops),
                Output::Reply { ticket, response } => {
                    let node = self.nodes.get_mut(name).expect("known node");
                    let places = M::missing_texts(&response);
                    let texts: Vec<Option<Bytes>> = places.iter().map(|place| node.disk.text(place)).collect();
                    let missing = missing_places(&places, &texts);
                    let response = M::with_texts(response, texts);
                    if let Some(requester) = node.pending_requests.remove(&ticket) {
                        self.send_response(name, requester, to_body(response));
                    }
                    if !missing.is_empty() {
                        let input = Input::TextsMissing(missing.clone());
                        self.step_replica(
                            name,
                            |r, now| r.step(now, Input::TextsMissing(missing)),
                            |r, now| r.step(now, input),
                        );
                    }
                }
                Output::ReadText { addr, place, .. } => {
                    if let Some(text) = self.nodes[name].disk.text(&place) {
                        let msg = RaftMessage::TextResponse { place, bytes: text.to_vec() };
                        self.send_message(name, &addr, 0, Body::Raft { group, msg, at: name.to_string() });
                    }
                }
                Output::Compute(computation) => {
                    if let Some(request) = run_computation(computation) {
                        self.schedule_for(COMPUTATION_MS, name, NodeEvent::ComputationDone(request));
                    }
                }
            }
        }
    }

    fn process_controller_outputs(&mut self, name: &str, outputs: Outputs<ControlStateMachine>) {
        self.process_outputs::<ControlStateMachine>(
            name,
            CORE,
            outputs,
            |t| Body::ControlResponse(Box::new(t)),
            |k| Some(compute_scaling_decision(&k)),
        );
    }

    fn process_store_outputs(&mut self, name: &str, outputs: Outputs<Store>) {
        let group = match &self.nodes[name].kind {
            NodeKind::Store { group: Some(g), .. } => *g,
            _ => return,
        };
        self.process_outputs::<Store>(name, group, outputs, |t| Body::StoreResponse(Box::new(t)), |_| None);
    }

    /// Applies the control group's assignment to a store: it joins its group, bootstraps it if assigned to, and adopts
    /// the wanted members. `leader_term` is the term in which it led its group when it checked in.
    fn apply_assignment(&mut self, name: &str, assignment: &StoreAssignment, leader_term: Option<u64>) {
        let now = self.now;
        let (seed, budget) = (self.rng.next_u64(), self.store_memory_budget);
        let node = self.nodes.get_mut(name).expect("known node");
        let NodeKind::Store { group, replica, controllers, .. } = &mut node.kind else { return };
        if !assignment.controllers.is_empty() {
            controllers.clone_from(&assignment.controllers);
        }
        match (assignment.group, replica) {
            (Some(g), None) => {
                if assignment.bootstraps_group && node.disk.synced == PersistedState::default() {
                    node.disk.synced = PersistedState::bootstrap(node.id, name, None);
                }
                *group = Some(g);
                let (r, outputs) = store_replica(node.id, &node.disk, budget, seed, now);
                node.kind = NodeKind::Store {
                    group: Some(g),
                    replica: Some(Box::new(r)),
                    controllers: assignment.controllers.clone(),
                };
                self.process_store_outputs(name, outputs);
            }
            (Some(_), Some(r)) if r.is_leader() && leader_term == Some(r.raft.term) => {
                r.machine.orders.wanted_members.clone_from(&assignment.wanted)
            }
            _ => {}
        }
    }

    /// Records an injected fault of a node. Overlapping faults make one span.
    fn begin_fault(&mut self, name: &str, fault: NodeFault) {
        let first = !self.active_faults.iter().any(|a| a.0 == name);
        self.active_faults.insert((name.into(), fault));
        if first {
            self.observed.fault_spans.push((self.now, u64::MAX, name.into()));
        }
    }

    /// Ends one fault of a node; its span ends with its last fault.
    fn end_fault(&mut self, name: &str, fault: NodeFault) {
        let had = self.active_faults.remove(&(name.to_string(), fault));
        if had && !self.active_faults.iter().any(|a| a.0 == name) {
            let now = self.now;
            self.observed.fault_spans.iter_mut().filter(|h| h.1 == u64::MAX && h.2 == name).for_each(|h| h.1 = now);
        }
    }

    fn sample(&mut self) {
        self.check_groups();
        let now = self.now;
        for (name, node) in &self.nodes {
            if let (NodeKind::Edge(edge), true) = (&node.kind, node.up && !node.frozen) {
                let sample = crate::observations::EdgeSample {
                    at: now,
                    node: format!("{name}/{}", node.incarnation),
                    has_lease: edge.has_lease(now),
                    config_revision: edge.view().config_revision,
                };
                self.observed.edge_samples.push(sample);
            }
        }
    }
}

/// Creates a store's replica with the limits that a daemon derives from its machine's memory.
fn store_replica(id: u64, disk: &Disk, budget: MemoryBudget, seed: u64, now: u64) -> (Replica<Store>, Outputs<Store>) {
    let store = Store::with(budget, disk.texts.clone());
    let (mut replica, outputs) = Replica::new(id, disk.synced.clone(), store, seed, now);
    replica.log_limit = budget.log;
    (replica, outputs)
}

fn check_in(node: &Node, name: &str) -> Option<CheckIn> {
    let NodeKind::Store { group, replica, .. } = &node.kind else { return None };
    let leads_group = match (group, replica) {
        (Some(g), Some(r)) if r.is_leader() => Some((*g, r.raft.committed_members())),
        _ => None,
    };
    Some(CheckIn {
        member: Member { id: node.id, addr: name.into() },
        zone: node.zone.clone(),
        leads_group,
        open_jobs: None,
        // in the simulation a machine has the name of its node
        name: name.into(),
    })
}
