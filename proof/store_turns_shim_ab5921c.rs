//! Access of the benchmark to stores up to ab5921c, whose texts are in the state: `proof/compare-store` uses this file
//! instead of `hutbook/examples/store_turns/shim.rs` there. Its names are those of that version.

use hutbook::coordination::store::{Link, Store, StoreResponse, TurnLeave};
use hutbook::state::disk::{Disk, DiskOp};
use hutbook::state::memory::MemoryBudget;

/// Memory of the machine, in MB, from which the size of the log follows.
const MEMORY_MB: u64 = 58;
/// Maximum output of a turn, in tokens.
const CAP: u64 = 136;
const EDGE: u64 = 7;
/// Maximum duration of a turn, in milliseconds.
const RUN_MS: u64 = 4_000;

/// Returns the size of applied log entries, in bytes, at which a snapshot is taken.
pub fn log_limit() -> usize {
    MemoryBudget::of(Some(MEMORY_MB)).log
}

/// Returns the estimated size of the whole state, in bytes; that version has no separate estimate for turns.
pub fn turn_index_bytes(store: &Store) -> usize {
    store.state_bytes().0
}

/// Has no content, as the state contains all texts.
pub struct Texts;

impl Texts {
    pub fn of(_disk: &Disk) -> Texts {
        Texts
    }

    pub fn store(&self) -> Store {
        Store::default()
    }

    pub fn begin_write(&self, _ops: &[DiskOp]) {}

    pub fn finish_write(&self, _ops: &[DiskOp]) {}

    pub fn complete(&self, response: StoreResponse) -> StoreResponse {
        response
    }

    pub fn take_reads(&self) -> usize {
        0
    }
}

pub fn turn_admission(turn: String, program: String, before: String, retention_ms: u64) -> TurnLeave {
    TurnLeave {
        turn,
        session: program.clone(),
        program,
        before,
        budget: u64::MAX,
        cap: CAP,
        edge: EDGE,
        run_ms: RUN_MS,
        retention_ms,
        have: vec![],
    }
}

pub fn link(turn: String, said: Vec<u8>, answer: Vec<u8>) -> Link {
    Link { turn, said, answer }
}
