//! A replica: one node's Raft instance together with the state machine that it replicates.

use super::raft::{MembershipChange, Raft, RaftInput, RaftMessage, RaftOutput, RejectReason, Role};
use super::text_repair::TextRepair;
use crate::constants::*;
use crate::state::disk::{DiskOp, PersistedState};
use crate::state::entry::{Entry, EntryPayload, Member, Members};
use crate::state::memory::MemoryBudget;
use crate::state::snapshot_data::SnapshotData;
use crate::state::texts::{TextOp, TextPlace};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How a request is processed before it can be answered.
pub enum Plan<T> {
    /// Sends this answer, which may be a refusal, if the plan is unchanged once a majority has confirmed the leader.
    Reply(T),
    /// Calls `answer` once a majority has confirmed the leader.
    Read,
    Propose(Vec<u8>),
    /// Starts a membership change if the plan is unchanged once a majority has confirmed the leader.
    Change(MembershipChange),
}

/// How a request proceeds once a majority has confirmed the leader.
#[derive(Clone, Copy, PartialEq, Debug, Hash)]
enum WhenConfirmed {
    Answer,
    /// It is planned again on the state at that time: a leader that was isolated may have had an outdated state.
    Plan,
}

/// Context in which the leader calls its state machine.
#[derive(Clone, Copy)]
pub struct LeaderContext {
    pub now: u64,
    pub term: u64,
}

/// State that a group replicates. `apply` must be deterministic: it may depend only on the state and its arguments.
pub trait StateMachine {
    type Request;
    type Response;
    type Computation;

    fn plan(&mut self, context: LeaderContext, request: &Self::Request) -> Plan<Self::Response>;
    fn answer(&mut self, context: LeaderContext, request: Self::Request) -> Self::Response;
    fn apply(&mut self, index: u64, term: u64, bytes: &[u8]) -> Self::Response;
    /// Called when a change of the group's members has been committed.
    fn members_committed(&mut self, index: u64, members: &Members) -> Self::Response;
    /// Returns the current state. Immutable data is shared, not copied.
    fn snapshot(&self) -> SnapshotData;
    /// Replaces the state. The data may be released while it is read if equal data that is shared with the state
    /// replaces it.
    fn restore(&mut self, data: &SnapshotData);
    fn became_leader(&mut self, context: LeaderContext);
    fn stepped_down(&mut self);
    /// Returns the leader's own proposals and long computations.
    fn tick(&mut self, context: LeaderContext, raft: &Raft) -> Vec<LeaderTask<Self::Computation>>;
    fn denied(&self, reason: RejectReason, leader: Option<Member>) -> Self::Response;
    /// Returns the operations on stored texts since the last call, in order.
    fn take_text_ops(&mut self) -> Vec<TextOp> {
        vec![]
    }
    /// Returns the texts that must be read from this member's disk to complete the response. They are read outside the
    /// Raft thread.
    fn missing_texts(_response: &Self::Response) -> Vec<TextPlace> {
        vec![]
    }
    /// Completes the response with those texts, in that order. If one is missing the response reports an unknown
    /// outcome.
    fn with_texts(response: Self::Response, _texts: Vec<Option<Bytes>>) -> Self::Response {
        response
    }
    /// Whether the state references this text.
    fn references_text(&self, _place: &TextPlace) -> bool {
        false
    }
}

pub enum LeaderTask<K> {
    Propose(Vec<u8>),
    Change(MembershipChange),
    Compute(K),
}

pub enum Input<A> {
    Tick,
    /// `at` is the sender's address, as reported by the sender.
    Message {
        from: u64,
        at: String,
        msg: RaftMessage,
    },
    Synced(u64),
    Request {
        ticket: u64,
        request: A,
    },
    TransferLeadership,
    /// Texts that are missing or damaged on this member's disk: they are requested from the other members.
    TextsMissing(Vec<TextPlace>),
}

pub enum Output<T, K> {
    Send {
        to: u64,
        addr: String,
        msg: RaftMessage,
    },
    Persist {
        sync_ticket: u64,
        ops: Vec<DiskOp>,
    },
    Reply {
        ticket: u64,
        response: T,
    },
    /// A member requests this text: it is sent in a `TextResponse` if it is intact on this disk.
    ReadText {
        to: u64,
        addr: String,
        place: TextPlace,
    },
    Compute(K),
}

/// Returns the places whose texts were not found.
pub fn missing_places(places: &[TextPlace], found: &[Option<Bytes>]) -> Vec<TextPlace> {
    places.iter().zip(found).filter(|(_, text)| text.is_none()).map(|(place, _)| *place).collect()
}

/// All outputs of one step, in order.
pub type Outputs<M> = Vec<Output<<M as StateMachine>::Response, <M as StateMachine>::Computation>>;

pub struct Replica<M: StateMachine> {
    pub raft: Raft,
    pub machine: M,
    /// Pending proposals by log index: (term, ticket).
    pending_proposals: BTreeMap<u64, (u64, u64)>,
    /// Requests that wait until a majority has confirmed this leader, by ticket.
    pending_requests: BTreeMap<u64, (WhenConfirmed, M::Request)>,
    /// Addresses that members reported themselves; newer than those in the log.
    pub addresses: BTreeMap<u64, String>,
    snapshot_index: u64,
    /// Size in bytes of the entries applied since the newest snapshot, and of the snapshot.
    bytes_since_snapshot: usize,
    snapshot_bytes: usize,
    /// Maximum size of the entries applied since the newest snapshot, in bytes; then the next snapshot is taken.
    pub log_limit: usize,
    text_repair: TextRepair,
}

impl<M: StateMachine + Clone> Clone for Replica<M>
where
    M::Request: Clone,
{
    fn clone(&self) -> Self {
        Replica {
            raft: self.raft.clone(),
            machine: self.machine.clone(),
            pending_proposals: self.pending_proposals.clone(),
            pending_requests: self.pending_requests.clone(),
            addresses: self.addresses.clone(),
            snapshot_index: self.snapshot_index,
            bytes_since_snapshot: self.bytes_since_snapshot,
            snapshot_bytes: self.snapshot_bytes,
            log_limit: self.log_limit,
            text_repair: self.text_repair.clone(),
        }
    }
}

/// Ticket of the replica's own proposals, whose responses are not sent to anyone.
const NO_TICKET: u64 = 0;

impl<M: StateMachine> Replica<M> {
    pub fn new(id: u64, boot: PersistedState, machine: M, seed: u64, now: u64) -> (Self, Outputs<M>) {
        let raft = Raft::new(id, boot, seed, now);
        let mut replica = Replica {
            raft,
            machine,
            pending_proposals: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            addresses: BTreeMap::new(),
            snapshot_index: 0,
            bytes_since_snapshot: 0,
            snapshot_bytes: 0,
            log_limit: MemoryBudget::default().log,
            text_repair: TextRepair::default(),
        };
        let outputs = replica.step(now, Input::Tick);
        (replica, outputs)
    }

    /// Hashes all state that determines the replica's further behaviour from `now`, for a model checker. The time of
    /// the next snapshot is excluded, since a checker takes snapshots at any time. So are requests for lost texts,
    /// since the checker's state references none.
    pub fn fingerprint(&self, now: u64, hasher: &mut impl Hasher)
    where
        M: Hash,
        M::Request: Hash,
    {
        self.raft.fingerprint(now, hasher);
        (&self.machine, &self.pending_proposals, &self.pending_requests).hash(hasher);
    }

    pub fn leader(&self) -> Option<Member> {
        let id = self.raft.leader?;
        let known = self.raft.members().all().find(|member| member.id == id).map(|member| member.addr.clone());
        Some(Member { id, addr: self.addresses.get(&id).cloned().or(known)? })
    }

    /// Returns the size of the entries applied since the newest snapshot, in bytes.
    pub fn applied_bytes(&self) -> usize {
        self.bytes_since_snapshot
    }

    /// Returns the size of the newest snapshot, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Returns the number of lost texts that were restored from other members since this process started.
    pub fn texts_repaired(&self) -> u64 {
        self.text_repair.repaired_total()
    }

    pub fn is_leader(&self) -> bool {
        self.raft.role == Role::Leader
    }

    pub fn step(&mut self, now: u64, input: Input<M::Request>) -> Outputs<M> {
        let mut outputs = vec![];
        match input {
            Input::Tick => {
                let raft_outputs = self.raft.step(now, RaftInput::Tick);
                self.process_raft_outputs(now, raft_outputs, &mut outputs);
                self.run_leader_tasks(now, &mut outputs);
                self.take_snapshot(now, &mut outputs);
            }
            Input::Message { from, at, msg } => {
                // a learner receives messages from its leader before it knows any member; the bound prevents that
                // unknown senders fill the table
                if self.addresses.len() < MAX_PEER_ADDRESSES || self.addresses.contains_key(&from) {
                    self.addresses.insert(from, at);
                }
                self.on_message(now, from, msg, &mut outputs);
            }
            Input::Synced(sync_ticket) => {
                let raft_outputs = self.raft.step(now, RaftInput::Synced(sync_ticket));
                self.process_raft_outputs(now, raft_outputs, &mut outputs);
            }
            Input::TransferLeadership => {
                let raft_outputs = self.raft.step(now, RaftInput::TransferLeadership);
                self.process_raft_outputs(now, raft_outputs, &mut outputs);
            }
            Input::Request { ticket, request: received } => self.handle_request(now, ticket, received, &mut outputs),
            Input::TextsMissing(places) => self.request_texts(now, places, &mut outputs),
        }
        self.persist_texts(now, &mut outputs);
        outputs
    }

    fn on_message(&mut self, now: u64, from: u64, msg: RaftMessage, outputs: &mut Outputs<M>) {
        match msg {
            RaftMessage::TextRequest { place } => self.on_text_request(from, place, outputs),
            RaftMessage::TextResponse { place, bytes } => self.on_text_response(now, from, place, bytes, outputs),
            msg => {
                let raft_outputs = self.raft.step(now, RaftInput::Message { from, msg });
                self.process_raft_outputs(now, raft_outputs, outputs);
            }
        }
    }

    /// Requests each text from all other members, unless it was requested recently.
    fn request_texts(&mut self, now: u64, places: Vec<TextPlace>, outputs: &mut Outputs<M>) {
        let others: Vec<u64> =
            self.raft.members().all().map(|member| member.id).filter(|id| *id != self.raft.id).collect();
        for place in places {
            if !self.text_repair.request(now, &place) {
                continue;
            }
            for to in &others {
                let addr = self.address_of(*to);
                outputs.push(Output::Send { to: *to, addr, msg: RaftMessage::TextRequest { place } });
            }
        }
    }

    /// Reads the text for any sender: the place identifies its content.
    fn on_text_request(&self, from: u64, place: TextPlace, outputs: &mut Outputs<M>) {
        // no valid text is larger, and it could not be sent in one frame
        if place.length as usize <= MAX_FRAME_BYTES {
            outputs.push(Output::ReadText { to: from, addr: self.address_of(from), place });
        }
    }

    /// Writes a requested text if it is the right one and is still referenced.
    fn on_text_response(&mut self, now: u64, from: u64, place: TextPlace, bytes: Vec<u8>, outputs: &mut Outputs<M>) {
        let wanted = self.text_repair.is_wanted(&place, &bytes) && self.machine.references_text(&place);
        if !wanted || self.raft.disk_stalled(now) {
            return;
        }
        let TextPlace { segment, offset, length, .. } = place;
        log::info!("segment {segment} at {offset}: a text of {length} bytes came whole from {from}, written again");
        self.text_repair.mark_received(&place);
        let raft_outputs = self.raft.persist_repaired_text(now, &place, bytes.into());
        self.process_raft_outputs(now, raft_outputs, outputs);
    }

    /// Returns a member's address; empty if it is unknown.
    fn address_of(&self, id: u64) -> String {
        let known = self.raft.members().all().find(|member| member.id == id).map(|member| &member.addr);
        self.addresses.get(&id).or(known).cloned().unwrap_or_default()
    }

    /// Passes texts of applied entries to the disk.
    fn persist_texts(&mut self, now: u64, outputs: &mut Outputs<M>) {
        let ops = self.machine.take_text_ops();
        let raft_outputs = self.raft.persist_texts(now, ops);
        self.process_raft_outputs(now, raft_outputs, outputs);
    }

    /// Processes a request. No answer is sent, including refusals and membership changes, before a majority has
    /// confirmed the leader after the request arrived: commands by being committed, everything else by read-index (Raft
    /// thesis, 6.4).
    fn handle_request(&mut self, now: u64, ticket: u64, request: M::Request, outputs: &mut Outputs<M>) {
        if !self.is_leader() {
            let refusal = self.machine.denied(RejectReason::NotLeader, self.leader());
            return outputs.push(Output::Reply { ticket, response: refusal });
        }
        let context = LeaderContext { now, term: self.raft.term };
        let input = match self.machine.plan(context, &request) {
            Plan::Propose(bytes) => RaftInput::Propose { ticket, bytes },
            plan => {
                let next = if matches!(plan, Plan::Read) { WhenConfirmed::Answer } else { WhenConfirmed::Plan };
                self.pending_requests.insert(ticket, (next, request));
                RaftInput::Read { ticket }
            }
        };
        let raft_outputs = self.raft.step(now, input);
        self.process_raft_outputs(now, raft_outputs, outputs);
    }

    /// Plans a request again and executes that plan, now that a majority has confirmed this leader.
    fn execute_confirmed(&mut self, now: u64, ticket: u64, request: M::Request, outputs: &mut Outputs<M>) {
        if !self.is_leader() {
            let response = self.machine.denied(RejectReason::NotLeader, self.leader());
            return self.reply(ticket, response, outputs);
        }
        let context = LeaderContext { now, term: self.raft.term };
        let input = match self.machine.plan(context, &request) {
            Plan::Reply(response) => return self.reply(ticket, response, outputs),
            Plan::Read => {
                let response = self.machine.answer(context, request);
                return self.reply(ticket, response, outputs);
            }
            Plan::Propose(bytes) => RaftInput::Propose { ticket, bytes },
            Plan::Change(change) => RaftInput::ChangeMembership { ticket, change },
        };
        let raft_outputs = self.raft.step(now, input);
        self.process_raft_outputs(now, raft_outputs, outputs);
    }

    fn run_leader_tasks(&mut self, now: u64, outputs: &mut Outputs<M>) {
        if !self.is_leader() {
            return;
        }
        let context = LeaderContext { now, term: self.raft.term };
        for task in self.machine.tick(context, &self.raft) {
            let raft_outputs = match task {
                LeaderTask::Propose(bytes) => self.raft.step(now, RaftInput::Propose { ticket: NO_TICKET, bytes }),
                LeaderTask::Change(change) => {
                    self.raft.step(now, RaftInput::ChangeMembership { ticket: NO_TICKET, change })
                }
                LeaderTask::Compute(computation) => {
                    outputs.push(Output::Compute(computation));
                    continue;
                }
            };
            self.process_raft_outputs(now, raft_outputs, outputs);
        }
    }

    fn take_snapshot(&mut self, now: u64, outputs: &mut Outputs<M>) {
        let entries = self.raft.applied_index() - self.snapshot_index;
        // a large snapshot after few small entries would be most of the data that the disk writes
        let is_worthwhile = entries >= SNAPSHOT_INTERVAL_ENTRIES && self.bytes_since_snapshot >= self.snapshot_bytes;
        // a snapshot that is being sent is kept until it has arrived, or the receiver would start over each time
        let factor = if self.raft.is_sending_snapshot(now) { LOG_GROWTH_WHILE_SENDING } else { 1 };
        let is_full = entries >= MAX_SNAPSHOT_INTERVAL_ENTRIES * factor as u64
            || self.bytes_since_snapshot >= self.log_limit * factor;
        let is_due = is_full || (is_worthwhile && factor == 1);
        // a disk that exceeds its latency bound receives no further writes
        if !is_due || self.raft.disk_stalled(now) {
            return;
        }
        self.snapshot_index = self.raft.applied_index();
        // the snapshot references these texts, so they are written before it
        self.persist_texts(now, outputs);
        let data = self.machine.snapshot();
        (self.bytes_since_snapshot, self.snapshot_bytes) = (0, data.len());
        let raft_outputs = self.raft.compact(now, self.snapshot_index, data);
        self.process_raft_outputs(now, raft_outputs, outputs);
    }

    fn reply(&mut self, ticket: u64, answer: M::Response, outputs: &mut Outputs<M>) {
        if ticket != NO_TICKET {
            outputs.push(Output::Reply { ticket, response: answer });
        }
    }

    fn process_raft_outputs(&mut self, now: u64, raft_outputs: Vec<RaftOutput>, outputs: &mut Outputs<M>) {
        let mut confirmed = vec![];
        for output in raft_outputs {
            match output {
                RaftOutput::Send { to, msg } => {
                    let addr = self.address_of(to);
                    outputs.push(Output::Send { to, addr, msg });
                }
                RaftOutput::Persist { sync_ticket, ops } => outputs.push(Output::Persist { sync_ticket, ops }),
                RaftOutput::Apply(entry) => self.apply(entry, outputs),
                RaftOutput::Restore(snapshot) => {
                    self.machine.restore(&snapshot.data);
                    self.snapshot_index = snapshot.index;
                    (self.bytes_since_snapshot, self.snapshot_bytes) = (0, snapshot.data.len());
                    self.fail_pending_proposals(outputs);
                }
                RaftOutput::Appended { ticket, index } => {
                    self.pending_proposals.insert(index, (self.raft.term, ticket));
                }
                RaftOutput::ReadReady { ticket } => match self.pending_requests.remove(&ticket) {
                    Some((WhenConfirmed::Answer, request)) => {
                        let context = LeaderContext { now, term: self.raft.term };
                        let response = self.machine.answer(context, request);
                        self.reply(ticket, response, outputs);
                    }
                    Some((WhenConfirmed::Plan, request)) => confirmed.push((ticket, request)),
                    None => {}
                },
                RaftOutput::Rejected { ticket, why } => {
                    self.pending_requests.remove(&ticket);
                    let refusal = self.machine.denied(why, self.leader());
                    self.reply(ticket, refusal, outputs);
                }
                RaftOutput::BecameLeader { term } => self.machine.became_leader(LeaderContext { now, term }),
                RaftOutput::SteppedDown => {
                    self.machine.stepped_down();
                    self.fail_pending_proposals(outputs);
                }
            }
        }
        // processed last: each is a separate step whose outputs follow the ones above
        for (ticket, request) in confirmed {
            self.execute_confirmed(now, ticket, request, outputs);
        }
    }

    /// Answers all pending proposals with an unknown outcome: they may or may not be committed.
    fn fail_pending_proposals(&mut self, outputs: &mut Outputs<M>) {
        for (_, (_, ticket)) in std::mem::take(&mut self.pending_proposals) {
            let answer = self.machine.denied(RejectReason::OutcomeUnknown, None);
            self.reply(ticket, answer, outputs);
        }
    }

    fn apply(&mut self, entry: Entry, outputs: &mut Outputs<M>) {
        self.bytes_since_snapshot += entry.size();
        let answer = match &entry.payload {
            EntryPayload::Command(bytes) => Some(self.machine.apply(entry.index, entry.term, bytes)),
            EntryPayload::Members(members) => Some(self.machine.members_committed(entry.index, members)),
            EntryPayload::Noop => None,
        };
        if let (Some((term, ticket)), Some(answer)) = (self.pending_proposals.remove(&entry.index), answer) {
            let answer =
                if term == entry.term { answer } else { self.machine.denied(RejectReason::OutcomeUnknown, None) };
            self.reply(ticket, answer, outputs);
        }
    }
}

#[cfg(test)]
mod tests;
