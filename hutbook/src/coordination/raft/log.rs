//! The replicated log in memory, how much of it is on disk, and the outputs that wait for a sync.

use super::{Raft, RaftMessage, RaftOutput, Role};
use crate::constants::MAX_DISK_SYNC_MS;
use crate::state::disk::DiskOp;
use crate::state::entry::{Entry, EntryPayload};
use crate::state::texts::{TextOp, TextPlace};
use bytes::Bytes;

/// A write that is not known to be synced, with the outputs that must wait for it.
#[derive(Clone)]
pub(super) struct UnsyncedWrite {
    pub(super) sync_ticket: u64,
    /// When the write was submitted, in milliseconds.
    pub(super) submitted_at: u64,
    /// The log's last index and the current term, both of which are on disk once this write is synced.
    pub(super) last_index: u64,
    pub(super) term: u64,
    /// Whether promises depend on this write. False for a snapshot, or texts, of entries already in the log.
    pub(super) gates_promises: bool,
    pub(super) outputs: Vec<RaftOutput>,
}

impl Raft {
    /// Returns the index of the log's last entry.
    pub fn last_index(&self) -> u64 {
        self.log.back().map_or(self.snapshot_index, |entry| entry.index)
    }

    /// Returns the term of the log's last entry. With the index, it tells how up to date the log is.
    pub fn last_term(&self) -> u64 {
        self.log.back().map_or(self.snapshot_term, |entry| entry.term)
    }

    /// Returns the number of entries in memory, which are those after the newest snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        if index < self.snapshot_index {
            return None;
        }
        self.log.get((index - self.snapshot_index - 1) as usize).map(|entry| entry.term)
    }

    pub(super) fn truncate_from(&mut self, from: u64) {
        assert!(from > self.commit_index, "committed entries must not be replaced");
        self.log.truncate((from - self.snapshot_index - 1) as usize);
        self.member_log.retain(|(index, _)| *index < from);
    }

    pub(super) fn push(&mut self, entry: Entry) {
        if let EntryPayload::Members(members) = &entry.payload {
            self.member_log.push((entry.index, members.clone()));
        }
        self.log.push_back(entry);
    }

    /// Appends an entry in this leader's term and returns its index.
    pub(super) fn append_own(&mut self, now: u64, what: EntryPayload) -> u64 {
        let index = self.last_index() + 1;
        let entry = Entry { index, term: self.term, payload: what };
        self.push(entry.clone());
        self.persist(now, vec![DiskOp::Append { entries: vec![entry] }]);
        index
    }

    pub(super) fn persist(&mut self, now: u64, ops: Vec<DiskOp>) {
        let gates_promises =
            ops.iter().any(|op| !matches!(op, DiskOp::Snapshot { clear: false, .. } | DiskOp::Texts(_)));
        self.submit_write(now, ops, gates_promises);
    }

    fn submit_write(&mut self, now: u64, ops: Vec<DiskOp>, gates_promises: bool) {
        self.sync_ticket += 1;
        let (sync_ticket, last_index, term) = (self.sync_ticket, self.last_index(), self.term);
        self.unsynced_writes.push_back(UnsyncedWrite {
            sync_ticket,
            submitted_at: now,
            last_index,
            term,
            gates_promises,
            outputs: vec![],
        });
        self.outputs.push(RaftOutput::Persist { sync_ticket, ops });
    }

    /// Writes texts that committed entries carry.
    pub fn persist_texts(&mut self, now: u64, ops: Vec<TextOp>) -> Vec<RaftOutput> {
        if !ops.is_empty() {
            self.persist(now, vec![DiskOp::Texts(ops)]);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Rewrites a text that is damaged or missing on disk. Unlike the texts of a snapshot transfer, which are
    /// acknowledged to the leader, no promise depends on it.
    pub fn persist_repaired_text(&mut self, now: u64, place: &TextPlace, text: Bytes) -> Vec<RaftOutput> {
        let op = DiskOp::StageTexts { segment: place.segment, offset: place.offset, bytes: text };
        self.submit_write(now, vec![op], false);
        std::mem::take(&mut self.outputs)
    }

    pub(super) fn persist_meta(&mut self, now: u64) {
        let op = DiskOp::Meta { term: self.term, voted: self.voted_for };
        self.persist(now, vec![op]);
    }

    /// Sends a message, or holds it back until the state that it promises is on disk.
    ///
    /// Writes are synced in the order of submission. So a promise (a vote, an acknowledged index) waits for
    /// the newest of them, and any other message waits only while the term that it names is not on disk.
    /// A leader's term was on disk before its election. Its entries may reach the other members' disks before
    /// its own (Raft thesis 10.2.1), and it counts its own copy only once that is synced.
    pub(super) fn send(&mut self, to: u64, msg: RaftMessage) {
        let must_wait = self.role != Role::Leader && (msg.is_promise() || self.synced_term < self.term);
        let output = RaftOutput::Send { to, msg };
        match self.unsynced_writes.iter_mut().rev().find(|write| write.gates_promises) {
            Some(write) if must_wait => write.outputs.push(output),
            _ => self.outputs.push(output),
        }
    }

    /// Releases the outputs that waited for the writes up to this ticket, which are on disk now.
    pub(super) fn on_synced(&mut self, sync_ticket: u64) {
        while self.unsynced_writes.front().is_some_and(|write| write.sync_ticket <= sync_ticket) {
            let write = self.unsynced_writes.pop_front().expect("the front was checked above");
            (self.synced_index, self.synced_term) = (write.last_index, write.term);
            self.outputs.extend(write.outputs);
        }
    }

    /// Returns whether a write has been pending beyond its time bound. A member with such a disk neither votes,
    /// acknowledges nor leads.
    pub fn disk_stalled(&self, now: u64) -> bool {
        self.unsynced_writes.front().is_some_and(|write| now.saturating_sub(write.submitted_at) > MAX_DISK_SYNC_MS)
    }
}
