//! Linearizability checker for recorded histories.
//!
//! Implements the search of Wing and Gong with Lowe's memoised states, as in Knossos and Porcupine: operations are
//! linearized one after the other; the next one must have been invoked before the first response of any operation
//! that is not linearized yet; a set of linearized operations that has led to the same state before is not searched
//! again. An operation with an unclear outcome has no response time: it may take effect at any later time, or never.

mod config;
mod evacuation;
mod program;

pub use config::ConfigModel;
pub use evacuation::EvacuationModel;
pub use program::ProgramModel;

use crate::observations::Observations;
use std::collections::HashSet;
use std::hash::Hash;

/// Maximum number of configurations that one search visits; a history that needs more is reported as too large.
pub const SEARCH_BUDGET: usize = 400_000;

/// Sequential specification of an object.
pub trait Model {
    type State: Clone + Eq + Hash;
    type Operation;

    fn initial(&self) -> Self::State;

    /// Returns the possible states after this operation with its recorded outcome; empty if the operation can't have
    /// that outcome in this state.
    fn step(&self, state: &Self::State, operation: &Self::Operation) -> Vec<Self::State>;
}

/// One operation with its invocation and response times in milliseconds; `until` is None if the outcome is unclear.
#[derive(Clone, Debug)]
pub struct Call<O> {
    pub invoked_at: u64,
    pub responded_at: Option<u64>,
    pub operation: O,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Linearizable,
    /// Not linearizable. Holds the indices of the answered operations that the longest attempt could not linearize.
    NotLinearizable(Vec<usize>),
    /// Not decided within the search budget.
    TooLarge,
}

/// Bit set of the operations that are linearized.
#[derive(Clone, PartialEq, Eq, Hash)]
struct LinearizedSet(Vec<u64>);

impl LinearizedSet {
    fn empty(operations: usize) -> LinearizedSet {
        LinearizedSet(vec![0; operations.div_ceil(64)])
    }

    fn contains(&self, index: usize) -> bool {
        self.0[index / 64] >> (index % 64) & 1 == 1
    }

    fn with(&self, index: usize) -> LinearizedSet {
        let mut linearized = self.clone();
        linearized.0[index / 64] |= 1 << (index % 64);
        linearized
    }
}

/// Searches for a linearization of these calls that the model allows.
pub fn check<M: Model>(model: &M, calls: &[Call<M::Operation>], budget: usize) -> Verdict {
    let mut order: Vec<usize> = (0..calls.len()).collect();
    order.sort_by_key(|i| calls[*i].invoked_at);
    let answered = calls.iter().filter(|c| c.responded_at.is_some()).count();
    let mut visited = HashSet::new();
    let mut stack = vec![(LinearizedSet::empty(calls.len()), model.initial(), 0, 0)];
    let mut longest = (0, LinearizedSet::empty(calls.len()));
    while let Some((linearized, state, count, first)) = stack.pop() {
        if count == answered {
            return Verdict::Linearizable;
        }
        if count > longest.0 {
            longest = (count, linearized.clone());
        }
        if visited.len() >= budget {
            return Verdict::TooLarge;
        }
        // all calls before this position of the order are linearized
        let first = (first..order.len()).find(|position| !linearized.contains(order[*position])).unwrap_or(order.len());
        let pending = || order[first..].iter().copied().filter(|i| !linearized.contains(*i));
        let earliest_response = pending().filter_map(|i| calls[i].responded_at).min().unwrap_or(u64::MAX);
        let mut next = vec![];
        for index in pending().take_while(|i| calls[*i].invoked_at <= earliest_response) {
            let answered_calls = usize::from(calls[index].responded_at.is_some());
            for after in model.step(&state, &calls[index].operation) {
                // an unclear operation that does not change the state need not be linearized
                if answered_calls == 1 || after != state {
                    next.push((index, answered_calls, after));
                }
            }
        }
        // answered operations are tried before unclear ones, which may never have taken effect
        next.sort_by_key(|(index, answered_calls, _)| (*answered_calls, std::cmp::Reverse(calls[*index].responded_at)));
        for (index, answered_calls, after) in next {
            let linearized = linearized.with(index);
            if visited.insert((linearized.clone(), after.clone())) {
                stack.push((linearized, after, count + answered_calls, first));
            }
        }
    }
    let missing = (0..calls.len()).filter(|i| calls[*i].responded_at.is_some() && !longest.1.contains(*i));
    Verdict::NotLinearizable(missing.collect())
}

/// Totals of the checks of one or more days.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CheckTotals {
    pub histories: u64,
    pub operations: u64,
    pub unclear: u64,
    pub too_large: u64,
}

impl CheckTotals {
    pub fn add(&mut self, other: &CheckTotals) {
        self.histories += other.histories;
        self.operations += other.operations;
        self.unclear += other.unclear;
        self.too_large += other.too_large;
    }
}

/// Checks every history of a day, split by object; returns the totals and a description of each violation.
pub fn check_day(observed: &Observations) -> (CheckTotals, Vec<String>) {
    let mut checked = CheckTotals::default();
    let mut violations = vec![];
    let configs = ConfigModel::of(observed);
    check_history(&mut checked, &mut violations, "configuration", &configs, &configs.calls(observed));
    for zone in EvacuationModel::zones(observed) {
        check_history(
            &mut checked,
            &mut violations,
            &format!("evacuation of {zone}"),
            &EvacuationModel,
            &EvacuationModel::calls(observed, &zone),
        );
    }
    for program in ProgramModel::program_ids(observed) {
        let model = ProgramModel::of(observed, &program);
        check_history(
            &mut checked,
            &mut violations,
            &format!("program {program}"),
            &model,
            &ProgramModel::calls(observed, &program),
        );
    }
    (checked, violations)
}

/// Formats the operations recorded for one program at the stores, one line each.
pub fn program_history(observed: &Observations, program: &str) -> Vec<String> {
    ProgramModel::calls(observed, program).iter().map(|call| format!("{call:?}")).collect()
}

fn check_history<M: Model>(
    checked: &mut CheckTotals,
    violations: &mut Vec<String>,
    name: &str,
    model: &M,
    calls: &[Call<M::Operation>],
) where
    M::Operation: std::fmt::Debug,
{
    if calls.is_empty() {
        return;
    }
    checked.histories += 1;
    checked.operations += calls.len() as u64;
    checked.unclear += calls.iter().filter(|c| c.responded_at.is_none()).count() as u64;
    match check(model, calls, SEARCH_BUDGET) {
        Verdict::Linearizable => {}
        Verdict::TooLarge => checked.too_large += 1,
        Verdict::NotLinearizable(missing) => {
            let first: Vec<String> = missing.iter().take(3).map(|i| format!("{:?}", calls[*i])).collect();
            violations.push(format!("{name}: no linearization explains {}", first.join("; ")));
        }
    }
}

#[cfg(test)]
mod tests;
