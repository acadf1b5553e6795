//! What callers and an observer of the stores saw on a long day. Times are ms on the fleet's clock.

use std::collections::BTreeMap;

/// How a turn ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It had its admission, its chain and its end agreed.
    Served,
    /// It was told to come back, or had no admission within its time.
    Refused,
    /// It ran, and its end was not agreed within its time.
    EndNotAgreed,
    /// It names an earlier turn that is not kept, as it was told.
    Unknown,
    /// The budget of its program is spent, as it was told.
    BudgetSpent,
}

#[derive(Clone, Debug)]
pub struct TurnRecord {
    pub turn: String,
    pub requested_at: u64,
    /// ms. From when it was asked until it was admitted or told otherwise.
    pub admission_ms: u64,
    pub outcome: Outcome,
}

/// What the fullest store holds at one time.
#[derive(Clone, Copy, Debug)]
pub struct StoreSample {
    pub at: u64,
    pub bytes: usize,
    pub bound: usize,
    pub accounts: usize,
    pub turns: usize,
}

#[derive(Clone, Debug, Default)]
pub struct DayRecord {
    /// Programs come from here on.
    pub from: u64,
    /// When the closing fault struck, and when its machines had power again.
    pub lost_at: u64,
    pub restored_at: u64,
    pub turns: Vec<TurnRecord>,
    pub samples: Vec<StoreSample>,
    /// (from, until) of every fault.
    pub faults: Vec<(u64, u64)>,
    /// Turns that went on from a turn of another program, and were admitted.
    pub continued_turns: u64,
    /// What was told though it is not so, in words.
    pub wrong_chains: Vec<String>,
    pub lost_retained_turns: Vec<String>,
    /// Programs whose spent budget was forgotten within the retention.
    pub forgotten_budgets: Vec<String>,
    /// Times a program whose budget was spent came again within the retention.
    pub returned_programs: u64,
    pub changes_acknowledged: u64,
    pub revision_acknowledged: u64,
    pub revision_read_back: u64,
    /// Tokens put out by each program with a budget that binds, and that budget.
    pub spent: BTreeMap<String, u64>,
    pub budgets: BTreeMap<String, u64>,
}

impl DayRecord {
    pub fn record_fault(&mut self, from: u64, until: u64) {
        self.faults.push((from, until));
    }

    /// Was no fault on at this time, nor within `after_ms` before it, nor until `before_ms` after it?
    pub fn is_calm(&self, at: u64, after_ms: u64, before_ms: u64) -> bool {
        self.faults.iter().all(|(from, until)| at + before_ms < *from || at > until + after_ms)
    }

    /// Of the turns asked from `from` to `until`, the part that was served; None where there were none.
    pub fn served_share(&self, from: u64, until: u64) -> Option<f64> {
        let requested_at: Vec<&TurnRecord> =
            self.turns.iter().filter(|turn| (from..until).contains(&turn.requested_at)).collect();
        let served = requested_at.iter().filter(|turn| turn.outcome == Outcome::Served).count();
        (!requested_at.is_empty()).then(|| served as f64 / requested_at.len() as f64)
    }

    pub fn count(&self, outcome: Outcome) -> usize {
        self.turns.iter().filter(|turn| turn.outcome == outcome).count()
    }
}
