//! Snapshots: taking them, sending them in chunks and installing them (Raft thesis, chapter 5).

use super::replication::Peer;
use super::{Raft, RaftMessage, RaftOutput, Role};
use crate::constants::*;
use crate::state::disk::DiskOp;
use crate::state::entry::{Members, Snapshot};
use crate::state::snapshot_data::{SegmentPart, SnapshotData, SnapshotTexts};
use bytes::Bytes;
use std::sync::Arc;

/// Metadata of the whole snapshot, carried by each chunk.
pub(super) struct SnapshotMetadata {
    pub(super) index: u64,
    pub(super) term: u64,
    pub(super) members: Members,
    /// Size of the state in bytes.
    pub(super) total: u64,
    /// CRC-32 of the state.
    pub(super) digest: u32,
    /// End position of the texts that the state refers to.
    pub(super) texts: u64,
}

impl Peer {
    /// Records that the last chunk was acknowledged, and adapts the retransmission timeout to the time it took.
    fn record_chunk_ack(&mut self, now: u64) {
        if !self.chunk_repeated && self.chunk_sent_at != 0 {
            let took = now.saturating_sub(self.chunk_sent_at);
            self.chunk_retry_ms = (2 * took).clamp(SNAPSHOT_CHUNK_RETRY_MS, MAX_SNAPSHOT_CHUNK_RETRY_MS);
        }
        self.chunk_sent_at = 0;
    }
}

impl Raft {
    /// Stores the state up to `index` as a snapshot and drops the log up to there.
    pub fn compact(&mut self, now: u64, index: u64, data: impl Into<SnapshotData>) -> Vec<RaftOutput> {
        if index <= self.snapshot_index || index > self.applied {
            return vec![];
        }
        let term = self.term_at(index).expect("applied entries are in the log");
        let members = self.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, data: data.into() });
        while self.log.front().is_some_and(|entry| entry.index <= index) {
            self.log.pop_front();
        }
        self.set_snapshot(snapshot.clone());
        self.persist(now, vec![DiskOp::Snapshot { snapshot, clear: false }]);
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether a snapshot is being sent to a member that responds.
    pub fn is_sending_snapshot(&self, now: u64) -> bool {
        let sending = |peer: &Peer| {
            peer.snapshot_progress.is_some() && now.saturating_sub(peer.last_contact) <= MAX_SNAPSHOT_CHUNK_RETRY_MS
        };
        self.role == Role::Leader && self.peers.values().any(sending)
    }

    /// Makes the log begin after this snapshot.
    pub(super) fn set_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot_index = snapshot.index;
        self.snapshot_term = snapshot.term;
        self.member_log.retain(|(index, _)| *index > snapshot.index);
        self.member_log.insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = Some(snapshot);
    }

    /// Sends what follows the peer's acknowledgements: first the texts, then the state that refers to them.
    pub(super) fn send_snapshot_chunk(&mut self, to: u64) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let peer = self.peers.get_mut(&to).expect("snapshots are sent to members only");
        let progress = peer.snapshot_progress.filter(|(index, _)| *index == snapshot.index);
        let offset = progress.map_or(0, |(_, received)| received);
        peer.snapshot_progress = Some((snapshot.index, offset));
        let acked_to = peer.texts_acked_to;
        let texts = snapshot.data.texts();
        if let Some(texts) = &texts {
            // a member of the previous version can't install a state whose texts are stored apart. It does not
            // answer the first message with texts, so one is sent even if there are no texts
            if acked_to.is_none_or(|upto| upto < texts.end()) {
                return self.send_texts(to, texts, acked_to.unwrap_or(0));
            }
        }
        let msg = RaftMessage::SnapshotChunk {
            term: self.term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset,
            total: snapshot.data.len() as u64,
            bytes: snapshot.data.copy_from(offset as usize, SNAPSHOT_CHUNK_BYTES),
            digest: snapshot.data.digest(),
            texts: texts.map_or(0, |texts| texts.end()),
        };
        self.send(to, msg);
    }

    /// Sends the texts after a position. Sends nothing while they are not on this disk yet; a later call retries.
    fn send_texts(&mut self, to: u64, texts: &SnapshotTexts, after: u64) {
        let Some(part) = texts.part(after, SNAPSHOT_CHUNK_BYTES as u32) else { return };
        let SegmentPart { segment, offset, length, bytes } = part;
        let (term, digest) = (self.term, crc32fast::hash(&bytes));
        self.send(to, RaftMessage::SnapshotTexts { term, after, segment, offset, length, bytes, digest });
    }

    /// Records that the peer has the texts up to `upto`, and sends the next ones.
    pub(super) fn on_snapshot_texts_ack(&mut self, now: u64, from: u64, upto: Option<u64>) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.texts_acked_to = upto;
        peer.record_chunk_ack(now);
        self.replicate_to(now, from);
    }

    /// Records that the peer has the first `received` bytes of the snapshot at `index`, and sends the next chunk.
    pub(super) fn on_snapshot_chunk_ack(&mut self, now: u64, from: u64, index: u64, received: u64) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.snapshot_progress.is_some_and(|(sending, _)| sending == index) {
            peer.snapshot_progress = Some((index, received));
            peer.record_chunk_ack(now);
            self.replicate_to(now, from);
        }
    }

    /// Acknowledges the snapshot at `index` if the log covers it already, so that the leader continues with the log.
    /// Later entries stay in the log, since the leader may have counted them (Raft thesis, figure 5.3, step 6).
    fn acknowledge_if_covered(&mut self, from: u64, index: u64, term: u64) -> bool {
        if index > self.commit_index && self.term_at(index) != Some(term) {
            return false;
        }
        self.commit_index = self.commit_index.max(index);
        let index = self.commit_index;
        self.send(from, RaftMessage::AppendResponse { term: self.term, success: true, index, round: 0 });
        true
    }

    /// Receives bytes of segments in order and submits them to the disk. The acknowledgement waits for their sync.
    pub(super) fn on_snapshot_texts(&mut self, now: u64, from: u64, after: u64, part: SegmentPart, digest: u32) {
        if self.disk_stalled(now) {
            return;
        }
        if crc32fast::hash(&part.bytes) != digest {
            return log::error!("snapshot texts failed their CRC-32 check: discarded, waiting for retransmission");
        }
        if after == 0 || self.incoming_texts == Some(after) {
            self.incoming_texts = Some(part.end());
            if !part.bytes.is_empty() {
                let (segment, offset, bytes) = (part.segment, part.offset, part.bytes.into());
                self.persist(now, vec![DiskOp::StageTexts { segment, offset, bytes }]);
            }
        }
        let upto = self.incoming_texts;
        self.send(from, RaftMessage::SnapshotTextsAck { term: self.term, upto });
    }

    /// Receives a chunk of the state in order. With the last one, the snapshot replaces state and log.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: u64,
        from: u64,
        metadata: SnapshotMetadata,
        offset: u64,
        bytes: Vec<u8>,
    ) {
        let SnapshotMetadata { index, term, members, total, digest, texts } = metadata;
        if self.disk_stalled(now) || self.acknowledge_if_covered(from, index, term) {
            return;
        }
        if self.incoming_texts.unwrap_or(0) < texts {
            let upto = self.incoming_texts;
            return self.send(from, RaftMessage::SnapshotTextsAck { term: self.term, upto });
        }
        let mut chunks = match self.incoming_snapshot.take() {
            Some((incoming, chunks)) if incoming == index => chunks,
            _ => vec![],
        };
        let mut received = chunks.iter().map(Bytes::len).sum::<usize>() as u64;
        if received == offset {
            received += bytes.len() as u64;
            chunks.push(bytes.into());
        }
        if received < total {
            self.incoming_snapshot = Some((index, chunks));
            return self.send(from, RaftMessage::SnapshotChunkAck { term: self.term, index, received });
        }
        let data = SnapshotData::from_chunks(chunks);
        if digest != data.digest() {
            log::error!("snapshot at index {index} failed its digest check: discarded, requesting it again");
            return self.send(from, RaftMessage::SnapshotChunkAck { term: self.term, index, received: 0 });
        }
        self.install_snapshot(now, Arc::new(Snapshot { index, term, members, data }));
        self.send(from, RaftMessage::AppendResponse { term: self.term, success: true, index, round: 0 });
    }

    /// Replaces log and state with a complete snapshot from the leader. It is acknowledged only after its sync:
    /// see `send`.
    fn install_snapshot(&mut self, now: u64, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.log.clear();
        self.member_log.clear();
        self.set_snapshot(snapshot.clone());
        self.commit_index = index;
        self.applied = index;
        self.persist(now, vec![DiskOp::Snapshot { snapshot: snapshot.clone(), clear: true }]);
        self.outputs.push(RaftOutput::Restore(snapshot));
    }
}
