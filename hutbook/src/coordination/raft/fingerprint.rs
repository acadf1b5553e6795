//! Access for the model checker: a node's log, and a digest of all state that determines its next steps.

use super::election::Transfer;
use super::log::UnsyncedWrite;
use super::replication::Peer;
use super::Raft;
use crate::constants::*;
use crate::state::entry::Entry;
use std::hash::{Hash, Hasher};

impl Raft {
    /// Returns the log entries after the snapshot, synced or not.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.log.iter()
    }

    /// Returns index and term of the last entry that the snapshot covers; zeros without a snapshot.
    pub fn snapshot_position(&self) -> (u64, u64) {
        (self.snapshot_index, self.snapshot_term)
    }

    /// Feeds `hasher` with all state that determines how this node continues from `now`.
    ///
    /// Two nodes with the same digest behave alike. So that states repeat, times are taken relative to `now` and
    /// only up to the bound beyond which they make no difference, and sync tickets are left out, as they are mere
    /// counters. The election timer and the random numbers behind it are left out as well: a checker starts
    /// elections at any time it chooses.
    pub fn fingerprint(&self, now: u64, hasher: &mut impl Hasher) {
        (self.id, self.term, self.voted_for, self.role as u8, self.leader).hash(hasher);
        (self.snapshot_index, self.snapshot_term, self.commit_index, self.applied, self.synced_index, self.synced_term)
            .hash(hasher);
        (&self.log, &self.snapshot, &self.member_log).hash(hasher);
        (&self.votes, self.round, &self.reads, &self.incoming_snapshot, self.incoming_texts).hash(hasher);
        let leader_is_live = self.leader.is_some() && now < self.last_leader_contact + ELECTION_TIMEOUT_MS;
        (leader_is_live, self.next_heartbeat.saturating_sub(now), self.next_disk_probe.saturating_sub(now))
            .hash(hasher);
        let lease_remaining = (self.last_leader_contact + ELECTION_TIMEOUT_MS).saturating_sub(now);
        (lease_remaining, self.answered_round).hash(hasher);
        self.transfer.as_ref().map(|transfer| transfer.fingerprint(now)).hash(hasher);
        for (round, sent) in &self.rounds_sent {
            (round, age(now, *sent, ELECTION_TIMEOUT_MS)).hash(hasher);
        }
        self.unsynced_writes.len().hash(hasher);
        for write in &self.unsynced_writes {
            write.fingerprint(now, hasher);
        }
        for (id, peer) in &self.peers {
            id.hash(hasher);
            peer.fingerprint(now, hasher);
        }
    }
}

impl Transfer {
    fn fingerprint(&self, now: u64) -> (u64, Option<u64>) {
        ((self.until + 1).saturating_sub(now), self.target)
    }
}

impl UnsyncedWrite {
    fn fingerprint(&self, now: u64, hasher: &mut impl Hasher) {
        (self.last_index, self.term, self.gates_promises, age(now, self.submitted_at, MAX_DISK_SYNC_MS), &self.outputs)
            .hash(hasher);
    }
}

impl Peer {
    fn fingerprint(&self, now: u64, hasher: &mut impl Hasher) {
        (self.next_index, self.match_index, self.acknowledged_round, age(now, self.last_contact, ELECTION_TIMEOUT_MS))
            .hash(hasher);
        (self.probing_since.map(|at| age(now, at, HEARTBEAT_MS)), self.snapshot_progress, self.texts_acked_to)
            .hash(hasher);
        (age(now, self.chunk_sent_at, self.chunk_retry_ms), self.chunk_retry_ms, self.chunk_repeated).hash(hasher);
    }
}

/// Returns the milliseconds since `then`, limited to just above `bound`.
fn age(now: u64, then: u64, bound: u64) -> u64 {
    now.saturating_sub(then).min(bound + 1)
}
