//! What replicas say to each other, and what goes into and comes out of one step.

use crate::state::disk::DiskOp;
use crate::state::entry::{Entry, Member, Members, Snapshot};
use crate::state::texts::TextPlace;
use std::sync::Arc;

messages! {
    /// One message between two members of a group.
    #[derive(Hash)]
    pub enum RaftMessage {
        /// Asks for a vote in `term`. `pre_vote`: would it be granted, were it asked (Raft thesis 9.6).
        /// `forced`: a transfer of leadership, so that the live leader's lease is no reason against it (3.10).
        #[n(0)] VoteRequest { #[n(0)] term: u64, #[n(1)] last_index: u64, #[n(2)] last_term: u64, #[n(3)] pre_vote: bool, #[n(4)] forced: bool },
        #[n(1)] VoteResponse { #[n(0)] term: u64, #[n(1)] pre_vote: bool, #[n(2)] granted: bool },
        /// Entries after `previous_index`, or none: a heartbeat. `round` numbers the leader's heartbeats.
        #[n(2)] AppendRequest { #[n(0)] term: u64, #[n(1)] previous_index: u64, #[n(2)] previous_term: u64, #[n(3)] entries: Vec<Entry>, #[n(4)] commit: u64, #[n(5)] round: u64 },
        /// On success the log is on disk and equals the leader's up to `index`; else it may differ after it.
        #[n(3)] AppendResponse { #[n(0)] term: u64, #[n(1)] success: bool, #[n(2)] index: u64, #[n(3)] round: u64 },
        /// Bytes of the snapshot at `index` from `offset` on; it has `total` bytes, of which `digest` is the
        /// CRC-32.
        /// Texts that it names have come before, up to the position `texts`.
        /// Number 4 was that of chunks without a digest, in which no text was compressed: a member of that
        /// version would take this one's for an empty state, and waits until it is of this version.
        #[n(7)] SnapshotChunk { #[n(0)] term: u64, #[n(1)] index: u64, #[n(2)] index_term: u64, #[n(3)] members: Members, #[n(4)] offset: u64, #[n(5)] total: u64, #[cbor(n(6), with = "minicbor::bytes")] bytes: Vec<u8>, #[n(7)] digest: u32, #[n(8)] #[cbor(default)] texts: u64 },
        /// The first `received` bytes of the snapshot at `index` are here.
        #[n(5)] SnapshotChunkAck { #[n(0)] term: u64, #[n(1)] index: u64, #[n(2)] received: u64 },
        /// The leader of `term` asks this member to be elected in its place, without waiting.
        #[n(6)] TimeoutNow { #[n(0)] term: u64 },
        /// Bytes of a segment that the leader's snapshot names: `length` of them from `offset` on, which follow what
        /// was sent up to the position `after`; 0 for the first. `bytes` is empty where the sender has none; `digest`
        /// is their CRC-32. A newer snapshot goes on where the one before was.
        /// A member of the version before, which keeps texts in its state, does not know this message and
        /// so takes no snapshot from this one.
        #[n(8)] SnapshotTexts { #[n(0)] term: u64, #[n(1)] after: u64, #[n(2)] segment: u32, #[n(3)] offset: u32, #[n(4)] length: u32, #[cbor(n(5), with = "minicbor::bytes")] bytes: Vec<u8>, #[n(6)] digest: u32 },
        /// Texts up to this position have been written, without a gap; None where nothing is known of any.
        #[n(9)] SnapshotTextsAck { #[n(0)] term: u64, #[n(1)] upto: Option<u64> },
        /// Asks for a text that the sender's disk has not whole. It and its answer carry no term, and change nothing
        /// of the agreement; a member of the version before does not know them, refuses the frame and closes the connection it came over.
        #[n(10)] TextRequest { #[n(0)] place: TextPlace },
        /// The text at that place.
        #[n(11)] TextResponse { #[n(0)] place: TextPlace, #[cbor(n(1), with = "minicbor::bytes")] bytes: Vec<u8> },
    }
    /// A change of one member (single-server changes, Raft thesis 4.1).
    #[derive(Hash)]
    pub enum Change {
        #[n(0)] AddLearner(#[n(0)] Member),
        #[n(1)] Promote(#[n(0)] u64),
        #[n(2)] Remove(#[n(0)] u64),
        /// The same member at another address.
        #[n(3)] Readdress(#[n(0)] Member),
    }
}

impl RaftMessage {
    /// Does it bind its sender to something that must outlive a loss of power?
    pub(super) fn is_promise(&self) -> bool {
        match self {
            // a candidate has voted for itself
            RaftMessage::VoteRequest { pre_vote, .. } => !pre_vote,
            RaftMessage::VoteResponse { pre_vote, granted, .. } => *granted && !pre_vote,
            // index 0 says only: I am here, in your term
            RaftMessage::AppendResponse { success, index, .. } => *success && *index > 0,
            // the sender goes on as fast as the disk takes what it sends
            RaftMessage::SnapshotTextsAck { .. } => true,
            _ => false,
        }
    }
}

/// What a step is given. Tickets are the caller's own numbers for what it asked.
#[derive(Debug)]
pub enum RaftInput {
    /// Time has passed.
    Tick,
    Message {
        from: u64,
        msg: RaftMessage,
    },
    Propose {
        ticket: u64,
        bytes: Vec<u8>,
    },
    /// A linearizable read: answered by `Readable` once a majority has confirmed the leader.
    Read {
        ticket: u64,
    },
    Change {
        ticket: u64,
        change: Change,
    },
    /// The disk thread has synced everything up to this sync ticket.
    Synced(u64),
    /// Hand leadership to the best peer.
    TransferLeadership,
}

/// What a step brings forth, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Hash)]
pub enum RaftOutput {
    Send {
        to: u64,
        msg: RaftMessage,
    },
    /// To be written and synced in this order; then `RaftInput::Synced`.
    Persist {
        sync_ticket: u64,
        ops: Vec<DiskOp>,
    },
    /// A committed entry.
    Apply(Entry),
    /// The state is replaced by this snapshot.
    Restore(Arc<Snapshot>),
    /// The proposal stands in this leader's log at `index`; it may yet be lost.
    Accepted {
        ticket: u64,
        index: u64,
    },
    Readable {
        ticket: u64,
    },
    Denied {
        ticket: u64,
        why: Denial,
    },
    BecameLeader {
        term: u64,
    },
    SteppedDown,
}

messages! {
    /// Why a proposal, read or change was not taken.
    #[derive(Hash)]
    pub enum Denial {
        /// Surely not taken: this node does not lead.
        #[n(0)] NotLeader,
        /// Taken but its outcome is unknown to this node.
        #[n(1)] Lost,
        /// Surely not taken: too much is under way.
        #[n(2)] Busy,
        /// Surely not taken: the change would endanger the group.
        #[n(3)] Unsafe(#[n(0)] String),
    }
}
