//! The state of the whole model and its transitions.

use super::action::{deliverable_positions, Action, Budget, Delivery, NodeId};
use super::invariant::{self, History, Violation};
use super::machine::{Order, Request, Response};
use super::node::{digest, Fault, Node};
use hutbook::constants::{ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS};
use hutbook::coordination::raft::{MembershipChange, RaftMessage, RaftOutput, RejectReason};
use hutbook::coordination::replica::{Input, Output, StateMachine};
use hutbook::state::disk::{DiskOp, PersistedState};
use hutbook::state::entry::{EntryPayload, Member};
use std::sync::Arc;

/// How far each heartbeat advances a leader's clock, in milliseconds: more than the heartbeat interval, and like all
/// clock steps a multiple of 100, so that states recur.
const HEARTBEAT_STEP_MS: u64 = 100;
/// How far an election timeout advances the clock, in milliseconds: the longest election timeout.
const ELECTION_TIMEOUT_STEP_MS: u64 = MAX_ELECTION_TIMEOUT_MS;

/// A pending event.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Event {
    Message {
        from: NodeId,
        to: NodeId,
        message: Arc<RaftMessage>,
    },
    /// This node's disk syncs the oldest unsynced batch.
    Sync(NodeId),
}

/// Settings that are the same for all states of one search.
#[derive(Clone, Debug)]
pub struct Rules {
    pub delivery: Delivery,
    pub fault: Fault,
    /// Allows requests, membership changes and snapshots only while the queue is empty: far fewer schedules.
    pub requests_when_idle: bool,
    /// All new orders claim the same number.
    pub same_number: bool,
    /// The nodes that may time out and crash; empty means all of them.
    pub faulty_nodes: Vec<NodeId>,
}

/// A node and the digest of its contents.
#[derive(Clone)]
struct HashedNode {
    node: Arc<Node>,
    digest: u128,
}

#[derive(Clone)]
pub struct State {
    nodes: Vec<HashedNode>,
    queue: Vec<Event>,
    /// Severed links, as (from, to).
    cuts: Vec<(NodeId, NodeId)>,
    budget: Budget,
    history: Arc<History>,
}

impl State {
    /// Returns a freshly bootstrapped group of `voters` nodes, and `spares` nodes with empty disks.
    pub fn bootstrapped(voters: u8, spare_nodes: u8, budget: Budget, fault: Fault) -> State {
        let bootstrap_members: Vec<Member> = (1..=voters).map(member).collect();
        let nodes = (1..=voters + spare_nodes).map(|id| {
            let boot = if id <= voters {
                PersistedState::bootstrap_with(&bootstrap_members, None)
            } else {
                PersistedState::default()
            };
            let mut node = Node::new(id.into(), boot);
            node.start(fault);
            let digest = node.digest();
            HashedNode { node: Arc::new(node), digest }
        });
        State { nodes: nodes.collect(), queue: vec![], cuts: vec![], budget, history: Arc::default() }
    }

    /// Sets the budget from this state on.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[usize::from(id) - 1].node
    }

    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().map(|s| &*s.node)
    }

    pub fn queue(&self) -> &[Event] {
        &self.queue
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    pub fn history_mut(&mut self) -> &mut History {
        Arc::make_mut(&mut self.history)
    }

    /// Returns a digest that is equal for two states with the same possible futures.
    pub fn digest(&self, rules: &Rules) -> u128 {
        let mut events: Vec<u128> = self.queue.iter().map(digest).collect();
        if rules.delivery == Delivery::Any {
            events.sort_unstable();
        }
        let nodes: Vec<u128> = self.nodes.iter().map(|s| s.digest).collect();
        digest(&(nodes, events, &self.cuts, self.budget, &*self.history))
    }

    /// Returns every possible next action.
    pub fn actions(&self, rules: &Rules) -> Vec<Action> {
        let mut all = vec![];
        self.network_actions(rules, &mut all);
        let ids = || 1..=self.nodes.len() as NodeId;
        for id in ids().filter(|id| self.may_act(rules, *id)) {
            let node = self.node(id);
            if node.replica.is_none() {
                all.push(Action::Restart(id));
                continue;
            }
            if rules.faulty_nodes.is_empty() || rules.faulty_nodes.contains(&id) {
                if node.is_voter() {
                    all.push(Action::TimeOut { node: id, alone: false });
                    all.push(Action::TimeOut { node: id, alone: true });
                }
                all.extend((0..=node.unsynced.len() as u8).map(|kept| Action::Crash { node: id, kept }));
            }
            if node.is_leader() {
                all.push(Action::Heartbeat(id));
            }
            if node.is_leader() && (!rules.requests_when_idle || self.queue.is_empty()) {
                self.request_actions(id, &mut all);
            }
        }
        all.retain(|a| self.budget.allows(*a));
        all
    }

    /// Whether this node may act spontaneously (time out, crash, receive a request) now. What a node does between two
    /// of its own events can be postponed until just before the second one: other nodes observe no difference, except
    /// for the position of its messages in the queue. With in-order delivery a node therefore acts only when the next
    /// event is its own or the queue is empty.
    fn may_act(&self, rules: &Rules, id: NodeId) -> bool {
        match self.queue.first() {
            Some(Event::Message { to, .. }) if rules.delivery == Delivery::InOrder => *to == id,
            Some(Event::Sync(node)) if rules.delivery == Delivery::InOrder => *node == id,
            _ => true,
        }
    }

    fn network_actions(&self, rules: &Rules, all: &mut Vec<Action>) {
        for position in deliverable_positions(&self.queue, rules.delivery) {
            all.push(Action::Take(position));
            if let Event::Message { from, to, .. } = self.queue[usize::from(position)] {
                all.push(Action::Repeat(position));
                // the state of a link matters only when a message is delivered over it
                let cut = self.cuts.contains(&(from, to));
                all.push(if cut { Action::Heal { from, to } } else { Action::Cut { from, to } });
            }
        }
        if rules.delivery == Delivery::InOrder {
            if self.queue.len() > 1 {
                all.push(Action::Delay);
            }
            if matches!(self.queue.first(), Some(Event::Message { .. })) {
                all.push(Action::Lose);
            }
        }
    }

    /// Adds the requests that clients and operators may send to a leader.
    fn request_actions(&self, id: NodeId, all: &mut Vec<Action>) {
        let raft = &self.node(id).replica.as_ref().expect("a leader is running").raft;
        all.extend([Action::Order(id), Action::Read(id), Action::Transfer(id)]);
        all.extend((1..=self.history.callers).map(|caller| Action::Resend { node: id, caller }));
        if raft.applied_index() > raft.snapshot_position().0 {
            all.push(Action::Compact(id));
        }
        let members = raft.members();
        for who in 1..=self.nodes.len() as NodeId {
            let is = |list: &[Member]| list.iter().any(|m| m.id == u64::from(who));
            if is(&members.voters) || is(&members.learners) {
                all.push(Action::Remove { node: id, who });
            } else {
                all.push(Action::AddLearner { node: id, who });
            }
            if is(&members.learners) {
                all.push(Action::Promote { node: id, who });
            }
        }
    }

    /// Returns the state after `action`, or the invariant that it violates.
    pub fn successor(&self, rules: &Rules, action: Action) -> Result<State, Violation> {
        let mut next = self.clone();
        next.budget.spend(action);
        next.apply(rules, action)?;
        invariant::check_committed_durable(&next)?;
        Ok(next)
    }

    fn apply(&mut self, rules: &Rules, action: Action) -> Result<(), Violation> {
        match action {
            Action::Take(position) => {
                let event = self.queue.remove(position.into());
                self.process_event(rules, event)
            }
            Action::Repeat(position) => {
                let event = self.queue.remove(position.into());
                self.queue.push(event.clone());
                self.process_event(rules, event)
            }
            Action::Delay => {
                self.queue.rotate_left(1);
                Ok(())
            }
            Action::Lose => {
                self.queue.remove(0);
                Ok(())
            }
            Action::TimeOut { node, alone } => {
                self.fire_election_timer(node, alone);
                self.step(rules, node, Input::Tick)
            }
            Action::Heartbeat(node) => {
                self.update_node(node, |n| n.clock += HEARTBEAT_STEP_MS);
                self.step(rules, node, Input::Tick)
            }
            Action::Crash { node, kept } => {
                self.queue.retain(|e| *e != Event::Sync(node));
                self.history_mut().record_crash(node);
                self.update_node(node, |n| n.crash(kept));
                Ok(())
            }
            Action::Restart(node) => {
                self.update_node(node, |n| n.start(rules.fault));
                invariant::check(self, node)
            }
            Action::Cut { from, to } => {
                self.cuts.push((from, to));
                self.cuts.sort_unstable();
                Ok(())
            }
            Action::Heal { from, to } => {
                self.cuts.retain(|c| *c != (from, to));
                Ok(())
            }
            Action::Order(node) => {
                let caller = self.history.callers + 1;
                self.history_mut().callers = caller;
                let number = if rules.same_number { 1 } else { caller };
                self.send_request(rules, node, Request::Order(Order { number, caller }))
            }
            Action::Resend { node, caller } => {
                let number = if rules.same_number { 1 } else { caller };
                self.send_request(rules, node, Request::Order(Order { number, caller }))
            }
            Action::Read(node) => self.send_request(rules, node, Request::Read),
            Action::AddLearner { node, who } => {
                self.send_request(rules, node, Request::Change(MembershipChange::AddLearner(member(who))))
            }
            Action::Promote { node, who } => {
                self.send_request(rules, node, Request::Change(MembershipChange::Promote(who.into())))
            }
            Action::Remove { node, who } => {
                self.send_request(rules, node, Request::Change(MembershipChange::Remove(who.into())))
            }
            Action::Transfer(node) => self.step(rules, node, Input::TransferLeadership),
            Action::Compact(node) => self.compact(rules, node),
        }
    }

    /// Modifies a node and its digest; copies the node first if other states share it.
    fn update_node<T>(&mut self, id: NodeId, change: impl FnOnce(&mut Node) -> T) -> T {
        let hashed = &mut self.nodes[usize::from(id) - 1];
        let node = Arc::make_mut(&mut hashed.node);
        let result = change(node);
        hashed.digest = node.digest();
        result
    }

    fn fire_election_timer(&mut self, node: NodeId, alone: bool) {
        self.update_node(node, |n| n.clock += ELECTION_TIMEOUT_STEP_MS);
        if alone {
            return;
        }
        for id in 1..=self.nodes.len() as NodeId {
            if id != node && !self.node(id).is_leader() {
                self.update_node(id, |n| n.clock += ELECTION_TIMEOUT_MS);
            }
        }
    }

    fn process_event(&mut self, rules: &Rules, event: Event) -> Result<(), Violation> {
        match event {
            Event::Sync(node) => {
                let (ticket, batch) = self.update_node(node, |n| {
                    let oldest = n.unsynced.pop_front().expect("every sync event has a batch");
                    oldest.1.iter().for_each(|op| n.disk.apply(op));
                    oldest
                });
                drop(batch);
                if rules.fault == Fault::SyncReportedBeforeWrite {
                    return Ok(());
                }
                self.step(rules, node, Input::Synced(ticket))
            }
            Event::Message { from, to, message } => {
                if self.cuts.contains(&(from, to)) || self.node(to).replica.is_none() {
                    return Ok(());
                }
                let mut msg = (*message).clone();
                match (rules.fault, &mut msg) {
                    (Fault::CommandCorruptedInTransit, _) if to == 3 => corrupt_commands(&mut msg),
                    (Fault::AckedIndexTooHigh, RaftMessage::AppendResponse { success: true, index, .. }) => *index += 1,
                    (Fault::CandidateLogOverstated, RaftMessage::VoteRequest { last_term, .. }) => {
                        *last_term = u64::MAX
                    }
                    _ => {}
                }
                self.step(rules, to, Input::Message { from: from.into(), at: String::new(), msg })
            }
        }
    }

    fn send_request(&mut self, rules: &Rules, node: NodeId, request: Request) -> Result<(), Violation> {
        let ticket = self.history_mut().begin_call(node, &request);
        match (rules.fault, &request) {
            (Fault::ReadWithoutQuorum, Request::Read) => {
                let answer = Response::Orders(self.node(node).accepted().to_vec());
                return self.history_mut().record_answer(ticket, answer);
            }
            (Fault::OrderAcknowledgedBeforeCommit, Request::Order(order)) => {
                self.history_mut().record_answer(ticket, Response::Accepted(*order))?;
            }
            _ => {}
        }
        self.step(rules, node, Input::Request { ticket, request })
    }

    fn compact(&mut self, rules: &Rules, id: NodeId) -> Result<(), Violation> {
        let outputs = self.update_node(id, |n| {
            let replica = n.replica.as_mut().expect("a leader is running");
            replica.raft.compact(n.clock, replica.raft.applied_index(), replica.machine.snapshot())
        });
        for output in outputs {
            match output {
                RaftOutput::Persist { sync_ticket, ops } => self.persist(rules, id, sync_ticket, ops)?,
                other => panic!("compaction must only write to disk, but produced {other:?}"),
            }
        }
        invariant::check(self, id)
    }

    fn step(&mut self, rules: &Rules, id: NodeId, input: Input<Request>) -> Result<(), Violation> {
        self.step_unchecked(rules, id, input)?;
        invariant::check(self, id)
    }

    fn step_unchecked(&mut self, rules: &Rules, id: NodeId, input: Input<Request>) -> Result<(), Violation> {
        let outputs =
            self.update_node(id, |n| n.replica.as_mut().expect("only running nodes step").step(n.clock, input));
        // entries that this step committed are recorded before its replies are checked against them
        invariant::record_commits(self, id)?;
        for output in outputs {
            match output {
                Output::Send { to, msg, .. } => {
                    invariant::check_promise_durable(self.node(id), to, &msg)?;
                    if (1..=self.nodes.len() as u64).contains(&to) {
                        self.queue.push(Event::Message { from: id, to: to as NodeId, message: Arc::new(msg) });
                    }
                }
                Output::Persist { sync_ticket, ops } => self.persist(rules, id, sync_ticket, ops)?,
                Output::Reply { ticket, response } => self.reply(rules, ticket, response)?,
                Output::ReadText { .. } => unreachable!("the checker's state machine references no texts"),
                Output::Compute(()) => unreachable!("the checker's state machine computes nothing"),
            }
        }
        Ok(())
    }

    fn reply(&mut self, rules: &Rules, ticket: u64, response: Response) -> Result<(), Violation> {
        let reported = match response {
            Response::Denied(RejectReason::OutcomeUnknown) if rules.fault == Fault::LostReportedAsRefused => {
                Response::Denied(RejectReason::NotLeader)
            }
            other => other,
        };
        self.history_mut().record_answer(ticket, reported)
    }

    fn persist(&mut self, rules: &Rules, id: NodeId, ticket: u64, ops: Vec<DiskOp>) -> Result<(), Violation> {
        self.update_node(id, |n| n.unsynced.push_back((ticket, ops)));
        self.queue.push(Event::Sync(id));
        if rules.fault == Fault::SyncReportedBeforeWrite {
            self.step_unchecked(rules, id, Input::Synced(ticket))?;
        }
        Ok(())
    }
}

fn member(id: NodeId) -> Member {
    // addresses are not used here, and empty ones are cheap to copy
    Member { id: id.into(), addr: String::new() }
}

fn corrupt_commands(message: &mut RaftMessage) {
    if let RaftMessage::AppendRequest { entries, .. } = message {
        for entry in entries {
            if let EntryPayload::Command(bytes) = &mut entry.payload {
                bytes[1] = bytes[1].wrapping_add(100);
            }
        }
    }
}
