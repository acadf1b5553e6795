//! Access of the benchmark to stores whose texts are in segments on disk.

use hutbook::coordination::replica::StateMachine;
use hutbook::coordination::store::{Store, StoreResponse, TurnAdmission, TurnRecord};
use hutbook::state::disk::{Disk, DiskOp};
use hutbook::state::memory::MemoryBudget;
use hutbook::state::texts::{StoredTexts, TextLocation, TextOp, TextPlace};
use std::cell::Cell;
use std::sync::Arc;

/// Memory and disk of the machine, in MB, from which the size of the text cache and of the log follow.
const MEMORY_MB: u64 = 58;
const DISK_MB: u64 = 350;
/// Maximum output of a turn, in tokens.
const CAP: u64 = 136;
const EDGE: u64 = 7;
/// Maximum duration of a turn, in milliseconds.
const RUN_MS: u64 = 4_000;

fn machine() -> MemoryBudget {
    MemoryBudget::of(Some(MEMORY_MB), Some(DISK_MB))
}

/// Returns the size of applied log entries, in bytes, at which a snapshot is taken.
pub fn log_limit() -> usize {
    machine().log
}

/// Returns the estimated size of the index of all turns, in bytes.
pub fn turn_index_bytes(store: &Store) -> usize {
    store.usage().turn_index
}

/// The texts of a member, read in the same way as in a store's process.
pub struct Texts {
    stored: Arc<StoredTexts>,
    /// Number of texts read from segments.
    reads: Cell<usize>,
}

impl Texts {
    pub fn of(disk: &Disk) -> Texts {
        Texts { stored: Arc::new(disk.stored_texts(machine().text_cache)), reads: Cell::new(0) }
    }

    /// Returns an empty store whose memory limit is beyond the benchmark's size.
    pub fn store(&self) -> Store {
        Store::with(MemoryBudget::default(), self.stored.clone())
    }

    /// Records that these operations were submitted to the disk.
    pub fn begin_write(&self, ops: &[DiskOp]) {
        text_ops(ops).for_each(|ops| self.stored.begin_write(ops));
    }

    /// Records that these operations have been written.
    pub fn finish_write(&self, ops: &[DiskOp]) {
        text_ops(ops).for_each(|ops| self.stored.finish_write(ops));
    }

    /// Returns the response with its missing texts.
    pub fn complete(&self, response: StoreResponse) -> StoreResponse {
        let places = Store::missing_texts(&response);
        let texts = places.iter().map(|place| self.text(place)).collect();
        Store::with_texts(response, texts)
    }

    fn text(&self, place: &TextPlace) -> Option<bytes::Bytes> {
        if self.stored.find(place) == TextLocation::OnDisk {
            self.reads.set(self.reads.get() + 1);
        }
        self.stored.text(place)
    }

    /// Returns the number of texts read from segments since the last call.
    pub fn take_reads(&self) -> usize {
        self.reads.take()
    }
}

fn text_ops(ops: &[DiskOp]) -> impl Iterator<Item = &[TextOp]> {
    ops.iter().filter_map(|op| match op {
        DiskOp::Texts(ops) => Some(ops.as_slice()),
        _ => None,
    })
}

pub fn turn_admission(turn: String, program: String, previous_turn: String, retention_ms: u64) -> TurnAdmission {
    TurnAdmission {
        turn,
        session: program.clone(),
        program,
        previous_turn,
        budget: u64::MAX,
        cap: CAP,
        edge: EDGE,
        run_ms: RUN_MS,
        retention_ms,
        cached_turns: vec![],
        account_retention_ms: Some(retention_ms),
    }
}

pub fn link(turn: String, input: Vec<u8>, answer: Vec<u8>) -> TurnRecord {
    TurnRecord { turn, input, answer, stored: None }
}
