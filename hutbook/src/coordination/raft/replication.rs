//! Log replication to the other members, the commit index and linearizable reads.

use super::{Raft, RaftMessage, RaftOutput, RejectReason, Role};
use crate::constants::*;
use crate::state::disk::DiskOp;
use crate::state::entry::{Entry, EntryPayload};

/// A leader's view of another member.
#[derive(Clone)]
pub(super) struct Peer {
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Highest index known to be on the peer's disk and equal to this log.
    pub(super) match_index: u64,
    /// Newest heartbeat round that the peer has answered.
    pub(super) acknowledged_round: u64,
    /// When the newest round that the peer has answered was sent, in milliseconds: the peer was in this leader's
    /// term at some time after that. The arrival of a response proves less, since it may have been delayed.
    pub(super) last_contact: u64,
    /// Set while the end of the peer's log is unknown: when it was last probed. Only one append is in flight
    /// then; otherwise each of several rejections would cause the log to be sent again.
    pub(super) probing_since: Option<u64>,
    /// Index of the snapshot being sent, and how many of its bytes the peer has.
    pub(super) snapshot_progress: Option<(u64, u64)>,
    /// Position up to which the peer has this leader's texts; None until it has acknowledged any.
    pub(super) texts_acked_to: Option<u64>,
    /// When the last chunk was sent; 0 once it has been acknowledged.
    pub(super) chunk_sent_at: u64,
    /// Retransmission timeout of a chunk in milliseconds, twice the time that the last one took. With a fixed
    /// timeout, a link slower than it would carry nothing but retransmissions (Karn and Partridge, 1987).
    pub(super) chunk_retry_ms: u64,
    /// Whether this chunk has been sent more than once: its acknowledgement then doesn't tell how long it took.
    pub(super) chunk_repeated: bool,
}

impl Peer {
    pub(super) fn new(next_index: u64, now: u64) -> Peer {
        Peer {
            next_index,
            match_index: 0,
            acknowledged_round: 0,
            last_contact: now,
            probing_since: None,
            snapshot_progress: None,
            texts_acked_to: None,
            chunk_sent_at: 0,
            chunk_retry_ms: SNAPSHOT_CHUNK_RETRY_MS,
            chunk_repeated: false,
        }
    }

    /// Returns whether the peer was in contact within the election timeout.
    pub(super) fn is_live(&self, now: u64) -> bool {
        now.saturating_sub(self.last_contact) <= ELECTION_TIMEOUT_MS
    }
}

/// A read that waits for a majority to confirm this leader (read-index, Raft thesis 6.4).
#[derive(Clone, Hash)]
pub(super) struct PendingRead {
    pub(super) ticket: u64,
    /// The first heartbeat round sent after the read arrived.
    pub(super) round: u64,
    /// The commit index when the read arrived.
    pub(super) commit: u64,
}

impl Raft {
    /// Returns id, match index and time of the last contact of every peer.
    pub fn peer_status(&self) -> Vec<(u64, u64, u64)> {
        self.peers.iter().map(|(id, peer)| (*id, peer.match_index, peer.last_contact)).collect()
    }

    /// Returns the highest value that a quorum of voters has reached: `of_peer` for the others, `own` for this node.
    fn quorum_value(&self, own: u64, of_peer: impl Fn(&Peer) -> u64) -> u64 {
        let of_voter = |id: u64| if id == self.id { own } else { self.peers.get(&id).map_or(0, &of_peer) };
        let mut values: Vec<u64> = self.members().voters.iter().map(|voter| of_voter(voter.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Steps down if this leader had no contact with a majority for an election timeout (Raft thesis 6.2).
    ///
    /// Contact is counted from when a round was sent, so the other members have waited no longer for it than
    /// this leader has, and elect no other leader before it steps down. Checked before each input, so that a
    /// leader whose process was suspended doesn't trust the messages in its queues.
    pub(super) fn check_quorum(&mut self, now: u64) {
        let contact = self.quorum_value(now, |peer| peer.last_contact);
        if self.role == Role::Leader && now.saturating_sub(contact) > ELECTION_TIMEOUT_MS {
            self.step_down(now);
        }
    }

    /// Sends heartbeats, ends an expired transfer and probes the disk; steps down if the disk has stalled.
    pub(super) fn tick_leader(&mut self, now: u64) {
        if self.disk_stalled(now) {
            return self.step_down(now);
        }
        if self.transfer.as_ref().is_some_and(|transfer| now > transfer.until) {
            self.transfer = None;
        }
        if now >= self.next_heartbeat {
            self.send_heartbeats(now);
        }
        // a leader with nothing to write would not notice that its disk has failed
        if self.unsynced_writes.is_empty() && now >= self.next_disk_probe {
            self.next_disk_probe = now + DISK_PROBE_INTERVAL_MS;
            self.persist_meta(now);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: u64) {
        self.next_heartbeat = now + HEARTBEAT_MS;
        self.round += 1;
        self.rounds_sent.push_back((self.round, now));
        while self.rounds_sent.front().is_some_and(|(_, sent)| now.saturating_sub(*sent) > ELECTION_TIMEOUT_MS) {
            self.rounds_sent.pop_front();
        }
        let ids: Vec<u64> = self.peers.keys().copied().collect();
        for id in ids {
            // a peer that is sent no entries now must still confirm the round
            if !self.replicate_to(now, id) {
                self.send_append(id, vec![]);
            }
        }
    }

    /// Returns when a round was sent; None if that was more than an election timeout ago.
    fn round_sent(&self, round: u64) -> Option<u64> {
        let (oldest, _) = self.rounds_sent.front()?;
        let position = round.checked_sub(*oldest)?;
        self.rounds_sent.get(position as usize).map(|(_, sent)| *sent)
    }

    pub(super) fn broadcast(&mut self, now: u64) {
        let ids: Vec<u64> = self.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(now, id);
        }
    }

    /// Sends the peer what it needs next: entries, a chunk of the snapshot, or an empty heartbeat.
    /// Returns true if the message carried the heartbeat round.
    pub(super) fn replicate_to(&mut self, now: u64, to: u64) -> bool {
        let (last, snapshot_index) = (self.last_index(), self.snapshot_index);
        let Some(peer) = self.peers.get_mut(&to) else { return false };
        // a silent peer gets empty heartbeats, not repeated copies of the log or the snapshot
        let silent = now.saturating_sub(peer.last_contact) > ELECTION_TIMEOUT_MS;
        if peer.next_index <= snapshot_index && !silent {
            // one chunk at a time: this runs for every new entry, and would send another copy each time
            if now >= peer.chunk_sent_at + peer.chunk_retry_ms {
                peer.chunk_repeated = peer.chunk_sent_at != 0;
                if peer.chunk_repeated {
                    peer.chunk_retry_ms = (2 * peer.chunk_retry_ms).min(MAX_SNAPSHOT_CHUNK_RETRY_MS);
                }
                peer.chunk_sent_at = now;
                self.send_snapshot_chunk(to);
            }
            return false;
        }
        if peer.probing_since.is_some_and(|since| now < since + HEARTBEAT_MS) {
            return false;
        }
        let previous_index = (peer.next_index - 1).max(snapshot_index);
        let mut entries = vec![];
        if !silent {
            entries = next_batch(self.log.iter().skip((previous_index - snapshot_index) as usize));
            match &mut peer.probing_since {
                Some(since) => *since = now,
                None => peer.next_index = (previous_index + entries.len() as u64 + 1).min(last + 1),
            }
        }
        self.send_append_after(to, previous_index, entries);
        true
    }

    fn send_append(&mut self, to: u64, entries: Vec<Entry>) {
        let next_index = self.peers.get(&to).map_or(1, |peer| peer.next_index);
        self.send_append_after(to, (next_index - 1).max(self.snapshot_index), entries);
    }

    fn send_append_after(&mut self, to: u64, previous_index: u64, entries: Vec<Entry>) {
        let previous_term = self.term_at(previous_index).unwrap_or(0);
        let (term, commit, round) = (self.term, self.commit_index, self.round);
        self.send(to, RaftMessage::AppendRequest { term, previous_index, previous_term, entries, commit, round });
    }

    /// Appends the leader's entries only after an entry that both logs contain (log matching, Raft thesis 3.5).
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append_request(
        &mut self,
        now: u64,
        from: u64,
        previous_index: u64,
        previous_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        // nothing is accepted while the disk is stalled: memory stays bounded and nothing is acknowledged
        if self.disk_stalled(now) {
            return;
        }
        if previous_index >= self.snapshot_index && self.term_at(previous_index) != Some(previous_term) {
            let index = self.last_index().min(previous_index.saturating_sub(1));
            return self.send(from, RaftMessage::AppendResponse { term: self.term, success: false, index, round });
        }
        let index = (previous_index + entries.len() as u64).max(self.snapshot_index);
        let new_entries = self.append_new(entries);
        if !new_entries.is_empty() {
            self.persist(now, vec![DiskOp::Append { entries: new_entries }]);
        }
        self.commit_index = self.commit_index.max(commit.min(index));
        self.confirm_round(from, round);
        self.send(from, RaftMessage::AppendResponse { term: self.term, success: true, index, round });
    }

    /// Confirms to the leader at once, and once per round, that this follower is in its term, while a slow disk
    /// delays the acknowledgement of entries: reads and the leader's quorum check need contact, not copies.
    fn confirm_round(&mut self, leader: u64, round: u64) {
        let new_round = round > self.answered_round;
        self.answered_round = self.answered_round.max(round);
        let write_pending = self.unsynced_writes.iter().any(|write| write.gates_promises);
        if new_round && write_pending && self.synced_term == self.term {
            self.send(leader, RaftMessage::AppendResponse { term: self.term, success: true, index: 0, round });
        }
    }

    /// Appends the leader's entries that the log lacks, replacing those in conflict, and returns them.
    fn append_new(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut new_entries = vec![];
        let snapshot_index = self.snapshot_index;
        for entry in entries.into_iter().filter(|entry| entry.index > snapshot_index) {
            let own_term = self.term_at(entry.index);
            if own_term == Some(entry.term) {
                continue;
            }
            if own_term.is_some() {
                self.truncate_from(entry.index);
            }
            self.push(entry.clone());
            new_entries.push(entry);
        }
        new_entries
    }

    pub(super) fn on_append_response(&mut self, now: u64, from: u64, success: bool, index: u64, round: u64) {
        let last = self.last_index();
        let contact = self.round_sent(round);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.last_contact = contact.map_or(peer.last_contact, |sent| peer.last_contact.max(sent));
        peer.acknowledged_round = peer.acknowledged_round.max(round);
        if success {
            peer.match_index = peer.match_index.max(index);
            peer.next_index = peer.next_index.max(index + 1);
            peer.snapshot_progress = None;
            peer.probing_since = None;
            if peer.next_index <= last {
                self.replicate_to(now, from);
            }
        } else if index + 1 < peer.next_index {
            // never below what the peer has already synced
            let next_index = (index + 1).max(peer.match_index + 1);
            // only a rejection that leads further back is new information
            if next_index < peer.next_index {
                peer.next_index = next_index;
                peer.probing_since = Some(0);
                self.replicate_to(now, from);
            }
        }
        self.try_transfer(now);
    }

    /// Returns whether this leader has committed an entry of its own term; it may answer only then (Raft thesis 6.4).
    pub(super) fn ready_to_lead(&self) -> bool {
        self.role == Role::Leader && self.term_at(self.commit_index) == Some(self.term)
    }

    pub(super) fn propose(&mut self, now: u64, ticket: u64, what: EntryPayload) {
        if self.role != Role::Leader {
            return self.deny(ticket, RejectReason::NotLeader);
        }
        let uncommitted = self.last_index() - self.commit_index;
        if self.transfer.is_some() || uncommitted > MAX_PENDING_PROPOSALS || self.disk_stalled(now) {
            return self.deny(ticket, RejectReason::Busy);
        }
        let index = self.append_own(now, what);
        self.outputs.push(RaftOutput::Appended { ticket, index });
        self.broadcast(now);
    }

    pub(super) fn read(&mut self, ticket: u64) {
        if !self.ready_to_lead() {
            return self.deny(ticket, RejectReason::NotLeader);
        }
        if self.reads.len() >= MAX_PENDING_READS {
            return self.deny(ticket, RejectReason::Busy);
        }
        self.reads.push_back(PendingRead { ticket, round: self.round + 1, commit: self.commit_index });
    }

    /// Advances the vote count, the commit index, reads and applied entries as far as possible.
    pub(super) fn advance(&mut self, now: u64) {
        if self.role == Role::Candidate {
            self.count_votes(now);
        }
        if self.role == Role::Leader && self.advance_commit() {
            self.broadcast(now);
            self.transfer_after_removal(now);
            self.apply_ready();
            return self.step_down(now);
        }
        if self.role == Role::Leader {
            self.advance_reads(now);
        }
        self.apply_ready();
    }

    /// Advances the commit index; returns true if that committed this leader's own removal.
    fn advance_commit(&mut self) -> bool {
        let reached = self.quorum_value(self.synced_index, |peer| peer.match_index);
        // only an entry of the current term commits the ones before it (Raft thesis 3.6.2)
        if reached <= self.commit_index || self.term_at(reached) != Some(self.term) {
            return false;
        }
        self.commit_index = reached;
        !self.is_voter(self.id) && self.member_log.last().is_some_and(|(index, _)| *index <= reached)
    }

    fn advance_reads(&mut self, now: u64) {
        let confirmed = self.quorum_value(self.round, |peer| peer.acknowledged_round);
        while self.reads.front().is_some_and(|read| read.round <= confirmed && read.commit <= self.commit_index) {
            let read = self.reads.pop_front().expect("the front was checked above");
            self.apply_ready();
            self.outputs.push(RaftOutput::ReadReady { ticket: read.ticket });
        }
        // one round serves all waiting reads; the next heartbeat replaces a round that was lost
        let waits = self.reads.back().is_some_and(|read| read.round > self.round);
        if waits && (confirmed == self.round || now >= self.next_heartbeat) {
            self.send_heartbeats(now);
            if self.peers.is_empty() {
                self.advance(now);
            }
        }
    }

    fn apply_ready(&mut self) {
        while self.applied < self.commit_index {
            let Some(entry) = self.log.get((self.applied - self.snapshot_index) as usize) else { break };
            self.outputs.push(RaftOutput::Apply(entry.clone()));
            self.applied += 1;
        }
    }
}

/// Returns as many entries as one append message may carry.
fn next_batch<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Entry> {
    let mut batch = vec![];
    let mut size = 0;
    for entry in entries.take(MAX_APPEND_ENTRIES) {
        size += entry.size();
        batch.push(entry.clone());
        if size > MAX_APPEND_BYTES {
            break;
        }
    }
    batch
}
