//! Raft consensus for the control group and the store groups, as a deterministic step function.
//!
//! `Raft::step(now, input)` is the whole interface: this module has no clock, socket or disk of its own.
//! A message that depends on a write is held back until the driver reports the write's sync ticket as synced.
//! The reference is Ongaro's thesis, "Consensus: Bridging Theory and Practice" (2014); comments cite its
//! chapters.

mod election;
mod fingerprint;
mod log;
mod membership;
mod messages;
mod replication;
mod snapshot;
#[cfg(test)]
mod tests;

pub use election::Role;
pub use messages::{MembershipChange, RaftInput, RaftMessage, RaftOutput, RejectReason};

use crate::state::disk::PersistedState;
use crate::state::entry::{Entry, EntryPayload, Members, Snapshot};
use crate::state::snapshot_data::SegmentPart;
use bytes::Bytes;
use election::Transfer;
use log::UnsyncedWrite;
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use replication::{Peer, PendingRead};
use snapshot::SnapshotMetadata;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One member of a Raft group. Times are in milliseconds on the driver's clock.
#[derive(Clone)]
pub struct Raft {
    pub id: u64,
    pub term: u64,
    voted_for: Option<u64>,
    pub role: Role,
    /// The leader of `term`, if this member knows it.
    pub leader: Option<u64>,
    /// Entries after `snapshot_index`.
    log: VecDeque<Entry>,
    /// Index and term of the last entry that the newest snapshot covers; the log begins after it.
    snapshot_index: u64,
    snapshot_term: u64,
    snapshot: Option<Arc<Snapshot>>,
    /// Each membership since the snapshot, with the index of the entry that set it.
    member_log: Vec<(u64, Members)>,
    /// Highest index known to be committed.
    pub commit_index: u64,
    applied: u64,
    /// Last log index on this member's disk, and the current term as stored there. Only on a leader does the
    /// disk's log surely equal the one in memory up to that index: it was elected with everything synced,
    /// and a leader replaces no entries.
    synced_index: u64,
    synced_term: u64,
    /// Number of the newest write submitted to the disk.
    sync_ticket: u64,
    unsynced_writes: VecDeque<UnsyncedWrite>,
    /// Replication state of the other members, maintained while this member leads.
    peers: BTreeMap<u64, Peer>,
    /// Responses to this candidate's vote requests.
    votes: BTreeMap<u64, bool>,
    rng: ChaCha8Rng,
    election_deadline: u64,
    /// How many times the election timeout has doubled since the last known leader: once for each term whose
    /// votes took longer than the timeout.
    election_backoff: u32,
    /// Newest term that has raised `election_backoff`.
    late_votes_term: u64,
    /// When the last message from the leader arrived.
    last_leader_contact: u64,
    next_heartbeat: u64,
    next_disk_probe: u64,
    /// Number of this leader's newest heartbeat round.
    round: u64,
    /// Heartbeat rounds sent within the last election timeout, in order: number and send time.
    rounds_sent: VecDeque<(u64, u64)>,
    /// The leader's newest heartbeat round that this follower has answered.
    answered_round: u64,
    reads: VecDeque<PendingRead>,
    transfer: Option<Transfer>,
    /// Index of the snapshot being received from the leader, and its chunks so far.
    incoming_snapshot: Option<(u64, Vec<Bytes>)>,
    /// Position up to which the leader's texts have been received, for a snapshot that refers to them.
    incoming_texts: Option<u64>,
    outputs: Vec<RaftOutput>,
}

impl Raft {
    /// Creates a member from the contents of its disk. `seed` randomizes the election timeouts.
    pub fn new(id: u64, boot: PersistedState, seed: u64, now: u64) -> Raft {
        let snapshot = boot.snapshot.map(Arc::new);
        let (snapshot_index, snapshot_term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let mut member_log =
            vec![(snapshot_index, snapshot.as_ref().map_or(Members::default(), |s| s.members.clone()))];
        let mut log = VecDeque::new();
        for entry in boot.entries.into_iter().filter(|entry| entry.index > snapshot_index) {
            if let EntryPayload::Members(members) = &entry.payload {
                member_log.push((entry.index, members.clone()));
            }
            log.push_back(entry);
        }
        let last = log.back().map_or(snapshot_index, |entry| entry.index);
        let mut raft = Raft {
            id,
            term: boot.term,
            voted_for: boot.voted,
            role: Role::Follower,
            leader: None,
            log,
            snapshot_index,
            snapshot_term,
            snapshot: snapshot.clone(),
            member_log,
            commit_index: snapshot_index,
            applied: snapshot_index,
            synced_index: last,
            synced_term: boot.term,
            sync_ticket: 0,
            unsynced_writes: VecDeque::new(),
            peers: BTreeMap::new(),
            votes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ id),
            election_deadline: 0,
            election_backoff: 0,
            late_votes_term: 0,
            last_leader_contact: 0,
            next_heartbeat: 0,
            next_disk_probe: 0,
            round: 0,
            rounds_sent: VecDeque::new(),
            answered_round: 0,
            reads: VecDeque::new(),
            transfer: None,
            incoming_snapshot: None,
            incoming_texts: None,
            outputs: vec![],
        };
        if let Some(snapshot) = snapshot {
            raft.outputs.push(RaftOutput::Restore(snapshot));
        }
        raft.reset_election_timer(now);
        raft
    }

    /// Returns the highest index passed to the driver by `RaftOutput::Apply` or `Restore`.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Processes one input. The driver must carry out the outputs in order.
    pub fn step(&mut self, now: u64, input: RaftInput) -> Vec<RaftOutput> {
        self.check_quorum(now);
        match input {
            RaftInput::Tick => self.tick(now),
            RaftInput::Message { from, msg } => self.handle_message(now, from, msg),
            RaftInput::Propose { ticket, bytes } => self.propose(now, ticket, EntryPayload::Command(bytes)),
            RaftInput::Read { ticket } => self.read(ticket),
            RaftInput::ChangeMembership { ticket, change } => self.change(now, ticket, change),
            RaftInput::Synced(sync_ticket) => self.on_synced(sync_ticket),
            RaftInput::TransferLeadership => self.transfer_leadership(now),
        }
        self.advance(now);
        std::mem::take(&mut self.outputs)
    }

    fn tick(&mut self, now: u64) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            if self.role == Role::Candidate && !self.unsynced_writes.is_empty() {
                // this candidate's own vote is not on disk yet
                self.record_late_vote(self.term);
            }
            // clients must not be redirected to a leader that is no longer heard from
            self.leader = None;
            self.reset_election_timer(now);
            if self.is_voter(self.id) && !self.disk_stalled(now) {
                self.campaign(now, true, false);
            }
        }
    }

    fn handle_message(&mut self, now: u64, from: u64, msg: RaftMessage) {
        match msg {
            RaftMessage::VoteRequest { term, last_index, last_term, pre_vote, forced } => {
                self.on_vote_request(now, from, term, (last_term, last_index), pre_vote, forced)
            }
            RaftMessage::VoteResponse { term, pre_vote, granted } => {
                self.on_vote_response(now, from, term, pre_vote, granted)
            }
            RaftMessage::AppendRequest { term, previous_index, previous_term, entries, commit, round } => {
                if self.accept_leader(now, from, term) {
                    self.on_append_request(now, from, previous_index, previous_term, entries, commit, round);
                } else {
                    let index = self.last_index();
                    self.send(from, RaftMessage::AppendResponse { term: self.term, success: false, index, round: 0 });
                }
            }
            RaftMessage::AppendResponse { term, success, index, round } => {
                self.observe_term(now, term);
                if self.role == Role::Leader && term == self.term {
                    self.on_append_response(now, from, success, index, round);
                }
            }
            RaftMessage::SnapshotChunk { term, index, index_term, members, offset, total, bytes, digest, texts } => {
                if self.accept_leader(now, from, term) {
                    let metadata = SnapshotMetadata { index, term: index_term, members, total, digest, texts };
                    self.on_snapshot_chunk(now, from, metadata, offset, bytes);
                }
            }
            RaftMessage::SnapshotTexts { term, after, segment, offset, length, bytes, digest } => {
                if self.accept_leader(now, from, term) {
                    let part = SegmentPart { segment, offset, length, bytes };
                    self.on_snapshot_texts(now, from, after, part, digest);
                }
            }
            RaftMessage::SnapshotTextsAck { term, upto } => {
                self.observe_term(now, term);
                if self.role == Role::Leader && term == self.term {
                    self.on_snapshot_texts_ack(now, from, upto);
                }
            }
            RaftMessage::SnapshotChunkAck { term, index, received } => {
                self.observe_term(now, term);
                if self.role == Role::Leader && term == self.term {
                    self.on_snapshot_chunk_ack(now, from, index, received);
                }
            }
            RaftMessage::TimeoutNow { term } => self.on_timeout_now(now, from, term),
            // exchanged between replicas; not part of consensus
            RaftMessage::TextRequest { .. } | RaftMessage::TextResponse { .. } => {}
        }
    }

    fn deny(&mut self, ticket: u64, why: RejectReason) {
        self.outputs.push(RaftOutput::Rejected { ticket, why });
    }
}
