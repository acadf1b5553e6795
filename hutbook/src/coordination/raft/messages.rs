//! Messages between the members of a group, and the inputs and outputs of one step.

use crate::state::disk::DiskOp;
use crate::state::entry::{Entry, Member, Members, Snapshot};
use crate::state::texts::TextPlace;
use std::sync::Arc;

messages! {
    /// One message between two members of a group.
    #[derive(Hash)]
    pub enum RaftMessage {
        /// Requests a vote in `term`. `pre_vote`: only asks whether the vote would be granted (Raft thesis 9.6).
        /// `forced`: part of a leadership transfer, so the live leader's lease is no reason to refuse (3.10).
        #[n(0)] VoteRequest { #[n(0)] term: u64, #[n(1)] last_index: u64, #[n(2)] last_term: u64, #[n(3)] pre_vote: bool, #[n(4)] forced: bool },
        #[n(1)] VoteResponse { #[n(0)] term: u64, #[n(1)] pre_vote: bool, #[n(2)] granted: bool },
        /// Entries after `previous_index`; without entries, a heartbeat. `round` numbers the leader's heartbeat rounds.
        #[n(2)] AppendRequest { #[n(0)] term: u64, #[n(1)] previous_index: u64, #[n(2)] previous_term: u64, #[n(3)] entries: Vec<Entry>, #[n(4)] commit: u64, #[n(5)] round: u64 },
        /// On success, the log up to `index` is on disk and equals the leader's; otherwise it may differ after `index`.
        #[n(3)] AppendResponse { #[n(0)] term: u64, #[n(1)] success: bool, #[n(2)] index: u64, #[n(3)] round: u64 },
        /// Bytes of the snapshot at `index` from `offset` on. The whole snapshot has `total` bytes, and `digest`
        /// is their CRC-32. The texts that it refers to have been sent before, up to the position `texts`.
        /// Number 4 was a chunk without a digest, in which no text was compressed. A member of that version would
        /// decode this format as an empty state; under the new number it takes no snapshot until it is upgraded.
        #[n(7)] SnapshotChunk { #[n(0)] term: u64, #[n(1)] index: u64, #[n(2)] index_term: u64, #[n(3)] members: Members, #[n(4)] offset: u64, #[n(5)] total: u64, #[cbor(n(6), with = "minicbor::bytes")] bytes: Vec<u8>, #[n(7)] digest: u32, #[n(8)] #[cbor(default)] texts: u64 },
        /// Acknowledges the first `received` bytes of the snapshot at `index`.
        #[n(5)] SnapshotChunkAck { #[n(0)] term: u64, #[n(1)] index: u64, #[n(2)] received: u64 },
        /// The leader of `term` asks the recipient to start an election at once (transfer, Raft thesis 3.10).
        #[n(6)] TimeoutNow { #[n(0)] term: u64 },
        /// Bytes of a segment that the leader's snapshot refers to: `length` bytes from `offset` on, which follow what
        /// was sent up to the position `after`; that is 0 for the first. `bytes` is empty if the sender has none;
        /// `digest` is their CRC-32. A newer snapshot continues where the previous one stopped.
        /// A member of the previous version, which stores texts in its state, does not know this message and
        /// therefore takes no snapshot from this version.
        #[n(8)] SnapshotTexts { #[n(0)] term: u64, #[n(1)] after: u64, #[n(2)] segment: u32, #[n(3)] offset: u32, #[n(4)] length: u32, #[cbor(n(5), with = "minicbor::bytes")] bytes: Vec<u8>, #[n(6)] digest: u32 },
        /// Texts up to this position have been written without a gap; None if none have been received.
        #[n(9)] SnapshotTextsAck { #[n(0)] term: u64, #[n(1)] upto: Option<u64> },
        /// Requests a text that is missing or damaged on the sender's disk. The request and its response carry no term
        /// and do not take part in consensus. A member of the previous version does not know them: it rejects the
        /// frame and closes the connection.
        #[n(10)] TextRequest { #[n(0)] place: TextPlace },
        /// The text at `place`.
        #[n(11)] TextResponse { #[n(0)] place: TextPlace, #[cbor(n(1), with = "minicbor::bytes")] bytes: Vec<u8> },
    }
    /// A change of one member (single-server changes, Raft thesis 4.1).
    #[derive(Hash)]
    pub enum MembershipChange {
        #[n(0)] AddLearner(#[n(0)] Member),
        #[n(1)] Promote(#[n(0)] u64),
        #[n(2)] Remove(#[n(0)] u64),
        /// Changes the address of a member.
        #[n(3)] UpdateAddress(#[n(0)] Member),
    }
}

impl RaftMessage {
    /// Returns whether the message binds its sender to state that must survive a power loss.
    pub(super) fn is_promise(&self) -> bool {
        match self {
            // a candidate votes for itself
            RaftMessage::VoteRequest { pre_vote, .. } => !pre_vote,
            RaftMessage::VoteResponse { pre_vote, granted, .. } => *granted && !pre_vote,
            // index 0 only confirms that the sender is in the leader's term
            RaftMessage::AppendResponse { success, index, .. } => *success && *index > 0,
            // the leader sends on at the speed of the receiver's disk
            RaftMessage::SnapshotTextsAck { .. } => true,
            _ => false,
        }
    }
}

/// Input of one step. Tickets are numbers that the driver assigns to its requests.
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
    /// A linearizable read: answered by `ReadReady` once a majority has confirmed the leader.
    Read {
        ticket: u64,
    },
    ChangeMembership {
        ticket: u64,
        change: MembershipChange,
    },
    /// The disk thread has synced everything up to this sync ticket.
    Synced(u64),
    /// Transfer leadership to a caught-up peer.
    TransferLeadership,
}

/// Output of one step, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Hash)]
pub enum RaftOutput {
    Send {
        to: u64,
        msg: RaftMessage,
    },
    /// Write and sync these operations in order, then report `RaftInput::Synced`.
    Persist {
        sync_ticket: u64,
        ops: Vec<DiskOp>,
    },
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state with this snapshot.
    Restore(Arc<Snapshot>),
    /// The proposal is in this leader's log at `index`. It can still be lost until it is committed.
    Appended {
        ticket: u64,
        index: u64,
    },
    ReadReady {
        ticket: u64,
    },
    Rejected {
        ticket: u64,
        why: RejectReason,
    },
    BecameLeader {
        term: u64,
    },
    SteppedDown,
}

messages! {
    /// Why a proposal, read or membership change was rejected.
    #[derive(Hash)]
    pub enum RejectReason {
        /// Not appended: this node is not the leader.
        #[n(0)] NotLeader,
        /// Appended, but its outcome is unknown to this node.
        #[n(1)] OutcomeUnknown,
        /// Not appended: too much is in progress.
        #[n(2)] Busy,
        /// Not appended: the change would endanger the group.
        #[n(3)] Unsafe(#[n(0)] String),
    }
}
