//! One node of the model: a replica of the product with its clock and disk.

use super::machine::{MachineFault, Order, Orders};
use hutbook::coordination::raft::Role;
use hutbook::coordination::replica::Replica;
use hutbook::state::disk::{DiskOp, PersistedState};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::VecDeque;
use std::hash::Hash;

/// A node's clock when it starts, in milliseconds: later than every deadline that follows from an unset (zero) time.
const CLOCK_START_MS: u64 = 100_000;
/// Random seed of every replica's election timeouts. The checker fires the timers at any time, whatever their length.
const SEED: u64 = 1;

/// A rule of the replica or of its environment that a test disables, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    Machine(MachineFault),
    /// Every sync is reported before the data is on disk.
    SyncReportedBeforeWrite,
    /// The vote is missing after a restart.
    VoteLostOnRestart,
    /// The newest synced log entry is missing after a restart.
    LastEntryLostOnRestart,
    /// The leader acknowledges an order as soon as it has received it.
    OrderAcknowledgedBeforeCommit,
    /// A leader answers reads without confirming its leadership with a quorum.
    ReadWithoutQuorum,
    /// A command is changed on its way to node 3.
    CommandCorruptedInTransit,
    /// A successful append response arrives with an index that is one too high.
    AckedIndexTooHigh,
    /// A vote request arrives as if the candidate's log were the newest.
    CandidateLogOverstated,
    /// When leadership ends, the client of a proposed command is told that it did not run.
    LostReportedAsRefused,
}

impl Fault {
    pub fn machine(self) -> MachineFault {
        match self {
            Fault::Machine(fault) => fault,
            _ => MachineFault::None,
        }
    }
}

/// Returns a 128-bit digest. Among ten million distinct states the probability of a collision is about 1e-25.
pub fn digest(value: &impl Hash) -> u128 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish128().as_u128()
}

#[derive(Clone)]
pub struct Node {
    pub id: u64,
    /// None while the node is down.
    pub replica: Option<Replica<Orders>>,
    /// The node's own clock, in milliseconds; only actions advance it.
    pub clock: u64,
    /// The durable state that a restart would load.
    pub disk: PersistedState,
    /// Batches written but not synced yet, oldest first, each with its sync ticket.
    pub unsynced: VecDeque<(u64, Vec<DiskOp>)>,
}

impl Node {
    pub fn new(id: u64, disk: PersistedState) -> Node {
        Node { id, replica: None, clock: CLOCK_START_MS, disk, unsynced: VecDeque::new() }
    }

    /// Starts the replica from its disk, which sends and writes nothing.
    pub fn start(&mut self, fault: Fault) {
        let mut boot = self.disk.clone();
        if fault == Fault::VoteLostOnRestart {
            boot.voted = None;
        }
        if fault == Fault::LastEntryLostOnRestart && boot.entries.len() > 1 {
            boot.entries.pop();
        }
        self.disk = boot.clone();
        let (replica, outputs) = Replica::new(self.id, boot, Orders::new(fault.machine()), SEED, self.clock);
        assert!(outputs.is_empty(), "starting a replica must produce no outputs");
        self.replica = Some(replica);
    }

    /// Cuts the power; only the first `kept` unsynced batches reach the disk.
    pub fn crash(&mut self, kept: u8) {
        self.replica = None;
        for (_, batch) in self.unsynced.drain(..).take(kept.into()) {
            batch.iter().for_each(|op| self.disk.apply(op));
        }
        self.unsynced.clear();
    }

    pub fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(|r| r.raft.role == Role::Leader)
    }

    pub fn is_voter(&self) -> bool {
        self.replica.as_ref().is_some_and(|r| r.raft.members().voters.iter().any(|m| m.id == self.id))
    }

    /// Returns the index and term of the last entry on disk.
    pub fn disk_end(&self) -> (u64, u64) {
        let covered = self.disk.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        self.disk.entries.last().map_or(covered, |e| (e.index, e.term).max(covered))
    }

    /// Whether the entry of this index and term is on disk, in the log or covered by the snapshot.
    pub fn on_disk(&self, index: u64, term: u64) -> bool {
        let covered = self.disk.snapshot.as_ref().is_some_and(|s| s.index >= index);
        covered || self.disk.entries.iter().any(|e| e.index == index && e.term == term)
    }

    /// Returns a digest that is equal for two nodes that behave the same from now on.
    pub fn digest(&self) -> u128 {
        let mut hasher = SipHasher13::new();
        (self.id, &self.disk, self.replica.is_some()).hash(&mut hasher);
        // ticket numbers are only a sequence and don't influence behaviour
        for (_, batch) in &self.unsynced {
            batch.hash(&mut hasher);
        }
        if let Some(replica) = &self.replica {
            replica.fingerprint(self.clock, &mut hasher);
        }
        hasher.finish128().as_u128()
    }

    pub fn accepted(&self) -> &[Order] {
        self.replica.as_ref().map_or(&[], |r| &r.machine.accepted)
    }
}
