//! The agreement both the core and the store groups run on.
//!
//! `step(now, input)` is the whole of it: no clock, socket or disk of its own.
//! What must be on disk before it may be said is held back until the driver
//! reports the matching sync_ticket as synced.

mod fingerprint;

use crate::constants::*;
use crate::state::disk::{Boot, DiskOp};
use crate::state::entry::{Entry, Member, Members, Snapshot, What};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

messages! {
    #[derive(Hash)]
    pub enum RaftMessage {
        #[n(0)] VoteRequest { #[n(0)] term: u64, #[n(1)] last: u64, #[n(2)] last_term: u64, #[n(3)] pre: bool, #[n(4)] forced: bool },
        #[n(1)] VoteResponse { #[n(0)] term: u64, #[n(1)] pre: bool, #[n(2)] yes: bool },
        #[n(2)] AppendRequest { #[n(0)] term: u64, #[n(1)] prev: u64, #[n(2)] prev_term: u64, #[n(3)] entries: Vec<Entry>, #[n(4)] commit: u64, #[n(5)] round: u64 },
        #[n(3)] AppendResponse { #[n(0)] term: u64, #[n(1)] yes: bool, #[n(2)] at: u64, #[n(3)] round: u64 },
        #[n(4)] SnapshotChunk { #[n(0)] term: u64, #[n(1)] index: u64, #[n(2)] index_term: u64, #[n(3)] members: Members, #[n(4)] from: u64, #[n(5)] total: u64, #[cbor(n(6), with = "minicbor::bytes")] bytes: Vec<u8> },
        #[n(5)] SnapshotChunkAck { #[n(0)] term: u64, #[n(1)] index: u64, #[n(2)] upto: u64 },
        #[n(6)] TimeoutNow { #[n(0)] term: u64 },
    }
    #[derive(Hash)]
    pub enum Change {
        #[n(0)] AddLearner(#[n(0)] Member),
        #[n(1)] Promote(#[n(0)] u64),
        #[n(2)] Remove(#[n(0)] u64),
        /// The same member at another address.
        #[n(3)] Readdress(#[n(0)] Member),
    }
}

#[derive(Debug)]
pub enum RaftInput {
    Tick,
    Message {
        from: u64,
        msg: RaftMessage,
    },
    Propose {
        ticket: u64,
        bytes: Vec<u8>,
    },
    Read {
        ticket: u64,
    },
    Change {
        ticket: u64,
        change: Change,
    },
    /// The disk thread has synced everything up to this sync_ticket.
    Synced(u64),
    /// Hand leadership to the best peer.
    TransferLeadership,
}

#[derive(Debug, Clone, PartialEq, Hash)]
pub enum RaftOutput {
    Send { to: u64, msg: RaftMessage },
    Persist { sync_ticket: u64, ops: Vec<DiskOp> },
    Apply(Entry),
    Restore(Arc<Snapshot>),
    Accepted { ticket: u64, index: u64 },
    Readable { ticket: u64 },
    Denied { ticket: u64, why: Denial },
    BecameLeader { term: u64 },
    SteppedDown,
}

messages! {
    /// Why a proposal, read or change was not taken.
    #[derive(Hash)]
    pub enum Denial {
        #[n(0)] NotLeader,
        /// Taken but its outcome is unknown to this node.
        #[n(1)] Lost,
        #[n(2)] Busy,
        #[n(3)] Unsafe(#[n(0)] String),
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

#[derive(Clone)]
struct Peer {
    next: u64,
    matched: u64,
    round: u64,
    heard: u64,
    /// Set while it isn't known where the peer's log ends: when it was last asked.
    /// One append at a time then, or refusals of many would each bring the log again.
    probe: Option<u64>,
    /// Bytes of a snapshot already taken by the peer, while one is under way.
    piece: Option<(u64, u64)>,
    /// When that piece was sent; 0 once it has been taken.
    piece_at: u64,
}

#[derive(Clone)]
struct HeldOutputs {
    sync_ticket: u64,
    since: u64,
    last: u64,
    outs: Vec<RaftOutput>,
}

#[derive(Clone)]
pub struct Raft {
    pub id: u64,
    pub term: u64,
    voted: Option<u64>,
    pub role: Role,
    pub leader: Option<u64>,
    /// Entries after `base`.
    log: VecDeque<Entry>,
    base: u64,
    base_term: u64,
    snapshot: Option<Arc<Snapshot>>,
    member_log: Vec<(u64, Members)>,
    pub commit: u64,
    applied: u64,
    synced_index: u64,
    sync_ticket: u64,
    held_outputs: VecDeque<HeldOutputs>,
    peers: BTreeMap<u64, Peer>,
    votes: BTreeMap<u64, bool>,
    rng: ChaCha8Rng,
    election_at: u64,
    heard_leader: u64,
    heartbeat_at: u64,
    probe_at: u64,
    round: u64,
    round_sent: u64,
    reads: VecDeque<(u64, u64, u64)>,
    transfer_until: Option<u64>,
    incoming_snapshot: Option<(u64, Vec<u8>)>,
    outs: Vec<RaftOutput>,
    /// Sends of this step that may not pass the sync of `sync_ticket`.
    hold_until_synced: bool,
}

impl Raft {
    pub fn new(id: u64, boot: Boot, seed: u64, now: u64) -> Raft {
        let cap = boot.snapshot.map(Arc::new);
        let (base, base_term) = cap.as_ref().map_or((0, 0), |c| (c.index, c.term));
        let mut member_log = vec![(base, cap.as_ref().map_or(Members::default(), |c| c.members.clone()))];
        let mut log = VecDeque::new();
        for e in boot.entries.into_iter().filter(|e| e.index > base) {
            if let What::Members(m) = &e.what {
                member_log.push((e.index, m.clone()));
            }
            log.push_back(e);
        }
        let last = log.back().map_or(base, |e| e.index);
        let mut r = Raft {
            id,
            term: boot.term,
            voted: boot.voted,
            role: Role::Follower,
            leader: None,
            log,
            base,
            base_term,
            snapshot: cap.clone(),
            member_log,
            commit: base,
            applied: base,
            synced_index: last,
            sync_ticket: 0,
            held_outputs: VecDeque::new(),
            peers: BTreeMap::new(),
            votes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ id),
            election_at: 0,
            heard_leader: 0,
            heartbeat_at: 0,
            probe_at: 0,
            round: 0,
            round_sent: 0,
            reads: VecDeque::new(),
            transfer_until: None,
            incoming_snapshot: None,
            outs: vec![],
            hold_until_synced: false,
        };
        if let Some(c) = cap {
            r.outs.push(RaftOutput::Restore(c));
        }
        r.reset_election_timer(now);
        r
    }

    pub fn members(&self) -> &Members {
        &self.member_log.last().expect("the base is always there").1
    }

    /// The members as agreed: a change under way is not among them yet.
    pub fn agreed_members(&self) -> Members {
        self.members_at(self.commit)
    }

    pub fn last(&self) -> u64 {
        self.log.back().map_or(self.base, |e| e.index)
    }

    /// Term of the log's last entry: with its index, how new the log is.
    pub fn last_term(&self) -> u64 {
        self.log.back().map_or(self.base_term, |e| e.term)
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Every peer's last word to this leader: id, matched index, time heard.
    pub fn peer_status(&self) -> Vec<(u64, u64, u64)> {
        self.peers.iter().map(|(p, x)| (*p, x.matched, x.heard)).collect()
    }

    /// Is this peer live, and near enough to the end of the log to vote?
    pub fn caught_up(&self, now: u64, id: u64) -> bool {
        self.peers.get(&id).is_some_and(|p| {
            p.matched > 0 && p.matched + PROMOTE_LAG >= self.last() && now.saturating_sub(p.heard) <= ELECTION_MS
        })
    }

    /// A disk that has not answered within its bound: no vote, no yes, no lead.
    pub fn disk_late(&self, now: u64) -> bool {
        self.held_outputs.front().is_some_and(|h| now.saturating_sub(h.since) > DISK_BOUND_MS)
    }

    pub fn step(&mut self, now: u64, input: RaftInput) -> Vec<RaftOutput> {
        match input {
            RaftInput::Tick => self.tick(now),
            RaftInput::Message { from, msg } => self.handle_message(now, from, msg),
            RaftInput::Propose { ticket, bytes } => self.propose(now, ticket, What::Command(bytes)),
            RaftInput::Read { ticket } => self.read(ticket),
            RaftInput::Change { ticket, change } => self.change(now, ticket, change),
            RaftInput::Synced(m) => self.on_synced(m),
            RaftInput::TransferLeadership => self.transfer_leadership(now),
        }
        self.advance(now);
        std::mem::take(&mut self.outs)
    }

    /// Keeps the state up to `index` as a snapshot and lets the log before it go.
    pub fn compact(&mut self, now: u64, index: u64, data: Vec<u8>) -> Vec<RaftOutput> {
        if index <= self.base || index > self.applied {
            return vec![];
        }
        let term = self.term_at(index).expect("applied entries are in the log");
        let members = self.members_at(index);
        let c = Arc::new(Snapshot { index, term, members, data });
        while self.log.front().is_some_and(|e| e.index <= index) {
            self.log.pop_front();
        }
        self.install_base(c.clone());
        self.persist(now, vec![DiskOp::Snapshot { snapshot: c, clear: false }]);
        std::mem::take(&mut self.outs)
    }

    fn install_base(&mut self, c: Arc<Snapshot>) {
        self.base = c.index;
        self.base_term = c.term;
        self.member_log.retain(|(i, _)| *i > c.index);
        self.member_log.insert(0, (c.index, c.members.clone()));
        self.snapshot = Some(c);
    }

    fn members_at(&self, index: u64) -> Members {
        let it = self.member_log.iter().rev().find(|(i, _)| *i <= index);
        it.map_or(Members::default(), |(_, m)| m.clone())
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        if index < self.base {
            return None;
        }
        self.log.get((index - self.base - 1) as usize).map(|e| e.term)
    }

    fn is_voter(&self, id: u64) -> bool {
        self.members().voters.iter().any(|m| m.id == id)
    }

    fn quorum(&self) -> usize {
        self.members().voters.len() / 2 + 1
    }

    /// The value a quorum of voters has reached, by `f` for peers and `own` for this node.
    fn quorum_value(&self, own: u64, f: impl Fn(&Peer) -> u64) -> u64 {
        let mut v: Vec<u64> = self
            .members()
            .voters
            .iter()
            .map(|m| if m.id == self.id { own } else { self.peers.get(&m.id).map_or(0, &f) })
            .collect();
        v.sort_unstable_by(|a, b| b.cmp(a));
        v.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    fn reset_election_timer(&mut self, now: u64) {
        let spread = self.rng.next_u64() % ELECTION_SPREAD_MS;
        self.election_at = now + ELECTION_MS + spread;
    }

    fn send(&mut self, to: u64, msg: RaftMessage) {
        let o = RaftOutput::Send { to, msg };
        // a promise made in this step may not leave before what it promises is synced
        match self.held_outputs.back_mut() {
            Some(h) if self.hold_until_synced => h.outs.push(o),
            _ => self.outs.push(o),
        }
    }

    fn persist(&mut self, now: u64, ops: Vec<DiskOp>) {
        self.sync_ticket += 1;
        self.held_outputs.push_back(HeldOutputs {
            sync_ticket: self.sync_ticket,
            since: now,
            last: self.last(),
            outs: vec![],
        });
        self.outs.push(RaftOutput::Persist { sync_ticket: self.sync_ticket, ops });
    }

    fn persist_meta(&mut self, now: u64) {
        let op = DiskOp::Meta { term: self.term, voted: self.voted };
        self.persist(now, vec![op]);
    }

    fn on_synced(&mut self, m: u64) {
        while self.held_outputs.front().is_some_and(|h| h.sync_ticket <= m) {
            let h = self.held_outputs.pop_front().expect("just seen");
            self.synced_index = self.synced_index.max(h.last).min(self.last());
            self.outs.extend(h.outs);
        }
    }

    fn tick(&mut self, now: u64) {
        if self.role == Role::Leader {
            // a leader whose disk or whose quorum has gone quiet must stop leading
            let heard = self.quorum_value(now, |p| p.heard);
            if self.disk_late(now) || now.saturating_sub(heard) > ELECTION_MS {
                return self.step_down(now);
            }
            if self.transfer_until.is_some_and(|t| now > t) {
                self.transfer_until = None;
            }
            if now >= self.heartbeat_at {
                self.send_heartbeats(now);
            }
            // a leader with nothing to write would not notice that its disk is gone
            if self.held_outputs.is_empty() && now >= self.probe_at {
                self.probe_at = now + DISK_PROBE_MS;
                self.persist_meta(now);
            }
        } else if now >= self.election_at {
            self.reset_election_timer(now);
            if self.is_voter(self.id) && !self.disk_late(now) {
                self.campaign(now, true, false);
            }
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        self.heartbeat_at = now + HEARTBEAT_MS;
        self.round += 1;
        self.round_sent = now;
        self.broadcast(now);
    }

    fn broadcast(&mut self, now: u64) {
        let ids: Vec<u64> = self.peers.keys().copied().collect();
        for p in ids {
            self.replicate_to(now, p);
        }
    }

    fn campaign(&mut self, now: u64, pre: bool, forced: bool) {
        self.leader = None;
        self.votes = BTreeMap::from([(self.id, true)]);
        let term = if pre {
            self.role = Role::PreCandidate;
            self.term + 1
        } else {
            self.role = Role::Candidate;
            self.term += 1;
            self.voted = Some(self.id);
            self.persist_meta(now);
            self.hold_until_synced = true;
            self.term
        };
        let (last, last_term) = (self.last(), self.term_at(self.last()).unwrap_or(0));
        let ids: Vec<u64> = self.members().voters.iter().map(|m| m.id).filter(|i| *i != self.id).collect();
        for to in ids {
            self.send(to, RaftMessage::VoteRequest { term, last, last_term, pre, forced });
        }
        self.hold_until_synced = false;
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: u64) {
        let yes = self.members().voters.iter().filter(|m| self.votes.get(&m.id) == Some(&true)).count();
        if yes < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false, false),
            // our own vote counts only once it is on disk
            Role::Candidate if self.held_outputs.is_empty() => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: u64) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.transfer_until = None;
        self.reads.clear();
        self.peers.clear();
        self.follow_members(now);
        self.outs.push(RaftOutput::BecameLeader { term: self.term });
        self.append_own(now, What::Blank);
        self.send_heartbeats(now);
    }

    fn follow_members(&mut self, now: u64) {
        let next = self.last() + 1;
        let ids: Vec<u64> = self.members().all().map(|m| m.id).filter(|i| *i != self.id).collect();
        self.peers.retain(|p, _| ids.contains(p));
        for p in ids {
            self.peers.entry(p).or_insert(Peer {
                next,
                matched: 0,
                round: 0,
                heard: now,
                probe: None,
                piece: None,
                piece_at: 0,
            });
        }
    }

    fn step_down(&mut self, now: u64) {
        if self.role == Role::Leader {
            for (ticket, _, _) in std::mem::take(&mut self.reads) {
                self.outs.push(RaftOutput::Denied { ticket, why: Denial::NotLeader });
            }
            self.outs.push(RaftOutput::SteppedDown);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    fn observe_term(&mut self, now: u64, term: u64) {
        if term > self.term {
            self.step_down(now);
            self.leader = None;
            self.term = term;
            self.voted = None;
            self.persist_meta(now);
        }
    }

    fn handle_message(&mut self, now: u64, from: u64, msg: RaftMessage) {
        match msg {
            RaftMessage::VoteRequest { term, last, last_term, pre, forced } => {
                self.on_vote_request(now, from, term, (last_term, last), pre, forced)
            }
            RaftMessage::VoteResponse { term, pre, yes } => {
                if !pre || !yes {
                    self.observe_term(now, term);
                }
                let waited = if pre { Role::PreCandidate } else { Role::Candidate };
                let right = if pre { self.term + 1 } else { self.term };
                if self.role == waited && (term == right || !yes) {
                    self.votes.insert(from, yes);
                    self.count_votes(now);
                }
            }
            RaftMessage::AppendRequest { term, prev, prev_term, entries, commit, round } => {
                if self.accept_leader(now, from, term) {
                    self.on_append_request(now, from, prev, prev_term, entries, commit, round);
                } else {
                    let at = self.last();
                    self.send(from, RaftMessage::AppendResponse { term: self.term, yes: false, at, round: 0 });
                }
            }
            RaftMessage::AppendResponse { term, yes, at, round } => {
                self.observe_term(now, term);
                if self.role == Role::Leader && term == self.term {
                    self.on_append_response(now, from, yes, at, round);
                }
            }
            RaftMessage::SnapshotChunk { term, index, index_term, members, from: off, total, bytes } => {
                if self.accept_leader(now, from, term) {
                    self.on_snapshot_chunk(now, from, (index, index_term), members, off, total, bytes);
                }
            }
            RaftMessage::SnapshotChunkAck { term, index, upto } => {
                self.observe_term(now, term);
                if let (Role::Leader, Some(p)) = (self.role, self.peers.get_mut(&from)) {
                    p.heard = now;
                    if p.piece.is_some_and(|(i, _)| i == index) {
                        p.piece = Some((index, upto));
                        p.piece_at = 0;
                        self.replicate_to(now, from);
                    }
                }
            }
            RaftMessage::TimeoutNow { term } => {
                if term == self.term && self.is_voter(self.id) && !self.disk_late(now) {
                    self.campaign(now, false, true);
                }
            }
        }
    }

    fn on_vote_request(&mut self, now: u64, from: u64, term: u64, theirs: (u64, u64), pre: bool, forced: bool) {
        // a live leader is not unseated by a node that merely lost sight of it
        let led = self.role == Role::Leader || (self.leader.is_some() && now < self.heard_leader + ELECTION_MS);
        if led && !forced {
            return;
        }
        if !pre {
            self.observe_term(now, term);
        }
        let mine = (self.term_at(self.last()).unwrap_or(0), self.last());
        let free = if pre { term > self.term } else { term == self.term && self.voted.is_none_or(|v| v == from) };
        let yes = free && theirs >= mine && !self.disk_late(now);
        if yes && !pre && self.voted.is_none() {
            self.voted = Some(from);
            self.persist_meta(now);
        }
        if yes && !pre {
            self.reset_election_timer(now);
        }
        // a vote leaves only behind the sync that keeps it
        self.hold_until_synced = yes && !pre;
        let said = if pre && yes { term } else { self.term };
        self.send(from, RaftMessage::VoteResponse { term: said, pre, yes });
        self.hold_until_synced = false;
    }

    /// Takes `from` as this term's leader; false when its term is over.
    fn accept_leader(&mut self, now: u64, from: u64, term: u64) -> bool {
        self.observe_term(now, term);
        if term < self.term {
            return false;
        }
        if self.role != Role::Follower {
            self.step_down(now);
        }
        self.leader = Some(from);
        self.heard_leader = now;
        self.reset_election_timer(now);
        true
    }

    #[allow(clippy::too_many_arguments)]
    fn on_append_request(
        &mut self,
        now: u64,
        from: u64,
        prev: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        // a stalled disk takes nothing more: memory stays bounded and no yes is given
        if self.disk_late(now) {
            return;
        }
        if prev >= self.base && self.term_at(prev) != Some(prev_term) {
            let at = self.last().min(prev.saturating_sub(1));
            return self.send(from, RaftMessage::AppendResponse { term: self.term, yes: false, at, round });
        }
        let upto = (prev + entries.len() as u64).max(self.base);
        let mut fresh = vec![];
        for e in entries {
            if e.index <= self.base {
                continue;
            }
            match self.term_at(e.index) {
                Some(t) if t == e.term => {}
                Some(_) => {
                    self.truncate_from(e.index);
                    self.push(e.clone());
                    fresh.push(e);
                }
                None => {
                    self.push(e.clone());
                    fresh.push(e);
                }
            }
        }
        if !fresh.is_empty() {
            self.persist(now, vec![DiskOp::Append { entries: fresh }]);
        }
        self.commit = self.commit.max(commit.min(upto));
        self.hold_until_synced = upto > self.synced_index;
        self.send(from, RaftMessage::AppendResponse { term: self.term, yes: true, at: upto, round });
        self.hold_until_synced = false;
    }

    fn truncate_from(&mut self, from: u64) {
        assert!(from > self.commit, "a committed entry may not be replaced");
        self.log.truncate((from - self.base - 1) as usize);
        self.member_log.retain(|(i, _)| *i < from);
        for h in &mut self.held_outputs {
            h.last = h.last.min(from - 1);
        }
        self.synced_index = self.synced_index.min(from - 1);
    }

    fn push(&mut self, e: Entry) {
        if let What::Members(m) = &e.what {
            self.member_log.push((e.index, m.clone()));
        }
        self.log.push_back(e);
    }

    fn append_own(&mut self, now: u64, what: What) -> u64 {
        let e = Entry { index: self.last() + 1, term: self.term, what };
        let index = e.index;
        self.push(e.clone());
        self.persist(now, vec![DiskOp::Append { entries: vec![e] }]);
        index
    }

    fn on_append_response(&mut self, now: u64, from: u64, yes: bool, at: u64, round: u64) {
        let last = self.last();
        let Some(p) = self.peers.get_mut(&from) else { return };
        p.heard = now;
        p.round = p.round.max(round);
        if yes {
            p.matched = p.matched.max(at);
            p.next = p.next.max(at + 1);
            p.piece = None;
            p.probe = None;
            if p.next <= last {
                self.replicate_to(now, from);
            }
        } else if at + 1 < p.next {
            // never below what it has already synced
            let back = (at + 1).max(p.matched + 1);
            // only a refusal that leads further back is news
            if back < p.next {
                p.next = back;
                p.probe = Some(0);
                self.replicate_to(now, from);
            }
        }
        if self.transfer_until.is_some() {
            self.try_transfer(now);
        }
    }

    fn replicate_to(&mut self, now: u64, to: u64) {
        let (last, base) = (self.last(), self.base);
        let Some(p) = self.peers.get_mut(&to) else { return };
        // a silent peer gets bare heartbeats, not the log or the snapshot again and again
        let quiet = now.saturating_sub(p.heard) > ELECTION_MS;
        if p.next <= base && !quiet {
            // one piece at a time: every new entry comes by here, and would bring another copy of it
            let due = now >= p.piece_at + SNAPSHOT_CHUNK_RETRY_MS;
            p.piece_at = if due { now } else { p.piece_at };
            if due {
                self.send_snapshot_chunk(to);
            }
            return;
        }
        if p.probe.is_some_and(|t| now < t + HEARTBEAT_MS) {
            return;
        }
        let prev = (p.next - 1).max(base);
        let mut entries = vec![];
        let mut size = 0;
        if !quiet {
            let skip = (prev - base) as usize;
            for e in self.log.iter().skip(skip).take(APPEND_ENTRIES) {
                size += e.size();
                entries.push(e.clone());
                if size > APPEND_BYTES {
                    break;
                }
            }
            match &mut p.probe {
                Some(t) => *t = now,
                None => p.next = (prev + entries.len() as u64 + 1).min(last + 1),
            }
        }
        let prev_term = self.term_at(prev).unwrap_or(0);
        let msg = RaftMessage::AppendRequest {
            term: self.term,
            prev,
            prev_term,
            entries,
            commit: self.commit,
            round: self.round,
        };
        self.send(to, msg);
    }

    fn send_snapshot_chunk(&mut self, to: u64) {
        let Some(c) = self.snapshot.clone() else { return };
        let p = self.peers.get_mut(&to).expect("fed peers are known");
        let off = p.piece.filter(|(i, _)| *i == c.index).map_or(0, |(_, o)| o);
        p.piece = Some((c.index, off));
        let end = (off as usize + SNAPSHOT_CHUNK_BYTES).min(c.data.len());
        let msg = RaftMessage::SnapshotChunk {
            term: self.term,
            index: c.index,
            index_term: c.term,
            members: c.members.clone(),
            from: off,
            total: c.data.len() as u64,
            bytes: c.data[off as usize..end].to_vec(),
        };
        self.send(to, msg);
    }

    #[allow(clippy::too_many_arguments)]
    fn on_snapshot_chunk(
        &mut self,
        now: u64,
        from: u64,
        at: (u64, u64),
        members: Members,
        off: u64,
        total: u64,
        bytes: Vec<u8>,
    ) {
        if self.disk_late(now) {
            return;
        }
        let (index, term) = at;
        // what it covers is here already: say so and go on with the log
        if index <= self.commit {
            let at = self.commit.min(self.synced_index);
            return self.send(from, RaftMessage::AppendResponse { term: self.term, yes: true, at, round: 0 });
        }
        let mut buf = match self.incoming_snapshot.take() {
            Some((i, b)) if i == index => b,
            _ => vec![],
        };
        if buf.len() as u64 == off {
            buf.extend_from_slice(&bytes);
        }
        let upto = buf.len() as u64;
        if upto < total {
            self.incoming_snapshot = Some((index, buf));
            return self.send(from, RaftMessage::SnapshotChunkAck { term: self.term, index, upto });
        }
        let c = Arc::new(Snapshot { index, term, members, data: buf });
        self.log.clear();
        self.member_log.clear();
        self.install_base(c.clone());
        self.synced_index = index;
        self.commit = index;
        self.applied = index;
        for h in &mut self.held_outputs {
            h.last = index;
        }
        self.persist(now, vec![DiskOp::Snapshot { snapshot: c.clone(), clear: true }]);
        self.outs.push(RaftOutput::Restore(c));
        self.hold_until_synced = true;
        self.send(from, RaftMessage::AppendResponse { term: self.term, yes: true, at: index, round: 0 });
        self.hold_until_synced = false;
    }

    fn ready_to_lead(&self) -> bool {
        self.role == Role::Leader && self.term_at(self.commit) == Some(self.term)
    }

    fn deny(&mut self, ticket: u64, why: Denial) {
        self.outs.push(RaftOutput::Denied { ticket, why });
    }

    fn propose(&mut self, now: u64, ticket: u64, what: What) {
        if self.role != Role::Leader {
            return self.deny(ticket, Denial::NotLeader);
        }
        let open = self.last() - self.commit;
        if self.transfer_until.is_some() || open > OPEN_PROPOSALS || self.disk_late(now) {
            return self.deny(ticket, Denial::Busy);
        }
        let index = self.append_own(now, what);
        self.outs.push(RaftOutput::Accepted { ticket, index });
        self.broadcast(now);
    }

    fn read(&mut self, ticket: u64) {
        if !self.ready_to_lead() {
            return self.deny(ticket, Denial::NotLeader);
        }
        if self.reads.len() >= OPEN_READS {
            return self.deny(ticket, Denial::Busy);
        }
        self.reads.push_back((ticket, self.round + 1, self.commit));
    }

    fn change(&mut self, now: u64, ticket: u64, c: Change) {
        if !self.ready_to_lead() {
            return self.deny(ticket, Denial::NotLeader);
        }
        // one change at a time: the last one must be committed
        if self.member_log.last().is_some_and(|(i, _)| *i > self.commit) {
            return self.deny(ticket, Denial::Busy);
        }
        match self.changed(now, c) {
            Ok(m) => {
                let index = self.append_own(now, What::Members(m));
                self.follow_members(now);
                self.outs.push(RaftOutput::Accepted { ticket, index });
                self.broadcast(now);
            }
            Err(why) => self.deny(ticket, Denial::Unsafe(why)),
        }
    }

    fn changed(&self, now: u64, c: Change) -> Result<Members, String> {
        let mut m = self.members().clone();
        match c {
            Change::AddLearner(x) => {
                if m.all().any(|y| y.id == x.id) {
                    return Err("it is a member already".into());
                }
                m.learners.push(x);
            }
            Change::Promote(id) => {
                let Some(i) = m.learners.iter().position(|x| x.id == id) else {
                    return Err("it is not a learner".into());
                };
                // a voter that is far behind would weaken the group it joins
                if !self.caught_up(now, id) {
                    return Err("it has not caught up yet".into());
                }
                let x = m.learners.remove(i);
                m.voters.push(x);
            }
            Change::Readdress(x) => {
                let it = m.voters.iter_mut().chain(&mut m.learners).find(|y| y.id == x.id);
                it.ok_or("it is not a member")?.addr = x.addr;
            }
            Change::Remove(id) => {
                if !m.all().any(|x| x.id == id) {
                    return Err("it is not a member".into());
                }
                m.learners.retain(|x| x.id != id);
                m.voters.retain(|x| x.id != id);
                let live = |x: &&Member| {
                    x.id == self.id || self.peers.get(&x.id).is_some_and(|p| now.saturating_sub(p.heard) <= ELECTION_MS)
                };
                let alive = m.voters.iter().filter(live).count();
                if alive < m.voters.len() / 2 + 1 {
                    return Err("the voters left would have no live quorum".into());
                }
            }
        }
        Ok(m)
    }

    fn transfer_leadership(&mut self, now: u64) {
        if self.role == Role::Leader {
            self.transfer_until = Some(now + ELECTION_MS);
            self.try_transfer(now);
        }
    }

    fn try_transfer(&mut self, now: u64) {
        let last = self.last();
        let best = self.members().voters.iter().filter_map(|m| self.peers.get_key_value(&m.id));
        let best = best.filter(|(_, p)| p.matched == last && now.saturating_sub(p.heard) <= ELECTION_MS);
        if let Some(to) = best.map(|(i, _)| *i).next() {
            self.send(to, RaftMessage::TimeoutNow { term: self.term });
        }
    }

    /// Moves commit, reads and apply as far as they go.
    fn advance(&mut self, now: u64) {
        if self.role == Role::Candidate {
            self.count_votes(now);
        }
        if self.role == Role::Leader {
            let n = self.quorum_value(self.synced_index, |p| p.matched);
            // only an entry of this term proves the ones before it
            if n > self.commit && self.term_at(n) == Some(self.term) {
                self.commit = n;
                if !self.is_voter(self.id) && self.member_log.last().is_some_and(|(i, _)| *i <= n) {
                    self.broadcast(now);
                    self.apply_ready();
                    return self.step_down(now);
                }
            }
            let done = self.quorum_value(self.round, |p| p.round);
            while self.reads.front().is_some_and(|(_, r, i)| *r <= done && *i <= self.commit) {
                let (ticket, _, _) = self.reads.pop_front().expect("just seen");
                self.apply_ready();
                self.outs.push(RaftOutput::Readable { ticket });
            }
            // one round serves every read that waits; a lost round is asked again by the heartbeat
            if self.reads.back().is_some_and(|(_, r, _)| *r > self.round)
                && (done == self.round || now > self.round_sent + HEARTBEAT_MS)
            {
                self.send_heartbeats(now);
                if self.peers.is_empty() {
                    self.advance(now);
                }
            }
        }
        self.apply_ready();
    }

    fn apply_ready(&mut self) {
        while self.applied < self.commit {
            let Some(e) = self.log.get((self.applied - self.base) as usize) else { break };
            self.outs.push(RaftOutput::Apply(e.clone()));
            self.applied += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A voter among three whose log ends with an entry of term 2, leading in a later term.
    fn leader() -> Raft {
        let m = |id| Member { id, addr: id.to_string() };
        let members = Members { voters: vec![m(1), m(2), m(3)], learners: vec![] };
        let entries = vec![
            Entry { index: 1, term: 1, what: What::Members(members) },
            Entry { index: 2, term: 2, what: What::Command(vec![7]) },
        ];
        let mut r = Raft::new(1, Boot { term: 3, entries, ..Boot::default() }, 1, 0);
        let late = ELECTION_MS + ELECTION_SPREAD_MS;
        r.step(late, RaftInput::Tick);
        r.step(late, RaftInput::Message { from: 2, msg: RaftMessage::VoteResponse { term: 4, pre: true, yes: true } });
        let marks = r.sync_ticket;
        r.step(late, RaftInput::Message { from: 2, msg: RaftMessage::VoteResponse { term: 4, pre: false, yes: true } });
        assert_eq!(r.role, Role::Candidate, "its own vote is not on disk yet");
        r.step(late, RaftInput::Synced(marks));
        assert_eq!(r.role, Role::Leader);
        r
    }

    fn appended(at: u64) -> RaftInput {
        RaftInput::Message { from: 2, msg: RaftMessage::AppendResponse { term: 4, yes: true, at, round: 0 } }
    }

    #[test]
    fn an_older_entry_is_committed_only_with_one_of_this_term() {
        // given a new leader whose log holds an entry of an older term
        let mut r = leader();
        let (now, sync_ticket) = (ELECTION_MS + ELECTION_SPREAD_MS, r.sync_ticket);
        r.step(now, RaftInput::Synced(sync_ticket));
        // when a quorum has that entry, then it is not committed: a later leader might replace it
        r.step(now, appended(2));
        assert_eq!(r.commit, 0);
        // when a quorum has the leader's own first entry, then both are
        r.step(now, appended(3));
        assert_eq!(r.commit, 3);
    }

    #[test]
    fn a_leader_counts_its_own_entry_only_once_it_is_synced() {
        // given a leader whose disk has not answered for its first entry
        let mut r = leader();
        let now = ELECTION_MS + ELECTION_SPREAD_MS;
        // when one peer has it, then that is no quorum of disks
        r.step(now, appended(3));
        assert_eq!(r.commit, 0);
        let m = r.sync_ticket;
        r.step(now, RaftInput::Synced(m));
        assert_eq!(r.commit, 3);
    }

    #[test]
    fn a_capture_goes_out_one_piece_at_a_time_and_never_to_a_silent_partner() {
        // given a leader whose log begins after what its peers hold, and a flood of proposals
        let mut r = leader();
        let (now, sync_ticket) = (ELECTION_MS + ELECTION_SPREAD_MS, r.sync_ticket);
        r.step(now, RaftInput::Synced(sync_ticket));
        r.step(now, appended(3));
        r.compact(now, 3, vec![0; 3 * SNAPSHOT_CHUNK_BYTES]);
        let sent = |r: &mut Raft, now: u64, i: RaftInput| {
            let o = r.step(now, i);
            o.iter().filter(|o| matches!(o, RaftOutput::Send { to: 3, msg: RaftMessage::SnapshotChunk { .. } })).count()
        };
        let refuses = |r: &mut Raft, now| {
            r.step(
                now,
                RaftInput::Message {
                    from: 3,
                    msg: RaftMessage::AppendResponse { term: 4, yes: false, at: 0, round: 0 },
                },
            )
        };
        refuses(&mut r, now);
        // when the peer has just been heard, then it is sent one piece, not one for each proposal
        let n: usize = (0..50).map(|t| sent(&mut r, now + 1, RaftInput::Propose { ticket: t, bytes: vec![1] })).sum();
        assert!(n <= 1, "{n} pieces");
        let sync_ticket = r.sync_ticket;
        r.step(now + 1, RaftInput::Synced(sync_ticket));
        // when it falls silent, then it is sent none any more, for as long as that lasts
        let quiet = now + ELECTION_MS + SNAPSHOT_CHUNK_RETRY_MS;
        let n: usize = (0..200)
            .map(|t| {
                let (at, sync_ticket) = (quiet + t * 10, r.sync_ticket);
                r.step(at, RaftInput::Synced(sync_ticket));
                r.step(at, appended(3));
                sent(&mut r, at, RaftInput::Tick)
            })
            .sum();
        assert_eq!(n, 0);
        // and once it speaks again it gets the piece
        let at = quiet + 2_000;
        let o = refuses(&mut r, at);
        let o = o.into_iter().chain(r.step(at + HEARTBEAT_MS, RaftInput::Tick));
        assert!(
            o.filter(|o| matches!(o, RaftOutput::Send { to: 3, msg: RaftMessage::SnapshotChunk { .. } })).count() >= 1
        );
    }
}
