//! Breadth-first search over all states within the bounds of a scenario.
//!
//! States are identified by a 128-bit digest; only the states of the newest depth are held in full. For each state the
//! predecessor from which it was first reached and the action are stored, so that a violation is reported with a
//! shortest schedule. Several threads expand one depth chunk by chunk; their results are merged in the order of the
//! states, so that a search has the same result, in the same order, with any number of threads.

use super::action::Action;
use super::invariant::{Invariant, Violation};
use super::scenario::Scenario;
use super::state::{Rules, State};
use std::collections::HashSet;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// States that the threads expand before their results are merged. Bounds the memory for unmerged successors.
const CHUNK_STATES: usize = 8_192;

/// A violated invariant, and the schedule that leads to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    pub violation: Violation,
    /// Actions from the scenario's initial state; the last one causes the violation.
    pub schedule: Vec<Action>,
}

#[derive(Clone, Debug)]
pub struct Report {
    /// Number of actions tried.
    pub transitions: u64,
    /// Number of distinct states.
    pub states: u64,
    pub depth: u32,
    /// Whether every state within the bounds was visited.
    pub exhausted: bool,
    pub elapsed: Duration,
    pub counterexample: Option<Counterexample>,
}

/// How a state was first reached: the number of its predecessor, and the action.
struct Origin {
    from: u32,
    action: Action,
}

struct Successor {
    digest: u128,
    from: u32,
    action: Action,
    state: Result<State, Violation>,
}

/// Explores `scenario` until it is exhausted, an invariant is violated, or a bound is reached.
pub fn run(scenario: &Scenario, threads: usize) -> Report {
    let started = Instant::now();
    let rules = scenario.rules();
    let mut report =
        Report { transitions: 0, states: 1, depth: 0, exhausted: false, elapsed: Duration::ZERO, counterexample: None };
    let initial = match scenario.initial_state() {
        Ok(initial) => initial,
        Err(violation) => {
            report.counterexample = Some(Counterexample { violation, schedule: vec![] });
            return report;
        }
    };
    let mut visited = HashSet::from([initial.digest(&rules)]);
    // indexed by state number minus one; the initial state is number 0
    let mut origins: Vec<Origin> = vec![];
    let mut frontier = vec![(0, initial)];
    while !frontier.is_empty() && report.depth < scenario.depth && report.counterexample.is_none() {
        let mut next = vec![];
        'frontier: for chunk in frontier.chunks(CHUNK_STATES) {
            let (tried, successors) = expand(chunk, &rules, &visited, threads);
            report.transitions += tried;
            for successor in successors {
                match successor.state {
                    Err(violation) => {
                        let mut schedule = schedule_to(&origins, successor.from);
                        schedule.push(successor.action);
                        report.counterexample = Some(Counterexample { violation, schedule });
                        break 'frontier;
                    }
                    Ok(state) => {
                        if visited.insert(successor.digest) {
                            origins.push(Origin { from: successor.from, action: successor.action });
                            next.push((origins.len() as u32, state));
                        }
                    }
                }
            }
            if visited.len() as u64 >= scenario.max_states {
                break 'frontier;
            }
        }
        report.depth += 1;
        report.states = visited.len() as u64;
        if report.states >= scenario.max_states {
            break;
        }
        frontier = next;
    }
    report.exhausted = report.counterexample.is_none() && report.states < scenario.max_states;
    report.elapsed = started.elapsed();
    report
}

/// Returns the number of actions tried and, in order, the new states that one action reaches from those of `piece`.
fn expand(chunk: &[(u32, State)], rules: &Rules, visited: &HashSet<u128>, threads: usize) -> (u64, Vec<Successor>) {
    if threads <= 1 {
        return expand_states(chunk, rules, visited);
    }
    let share = chunk.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let parts: Vec<_> =
            chunk.chunks(share).map(|states| scope.spawn(move || expand_states(states, rules, visited))).collect();
        let mut all = (0, vec![]);
        for states in parts {
            let (tried, successors) = states.join().expect("panics of a replica are caught in successor()");
            all.0 += tried;
            all.1.extend(successors);
        }
        all
    })
}

fn expand_states(states: &[(u32, State)], rules: &Rules, visited: &HashSet<u128>) -> (u64, Vec<Successor>) {
    let (mut tried, mut successors) = (0, vec![]);
    for (number, state) in states {
        for action in state.actions(rules) {
            tried += 1;
            let state = successor(state, rules, action);
            let digest = state.as_ref().map_or(0, |s| s.digest(rules));
            if state.is_err() || !visited.contains(&digest) {
                successors.push(Successor { digest, from: *number, action, state });
            }
        }
    }
    (tried, successors)
}

/// Returns the next state. A panic of a replica is reported as a violation.
pub fn successor(state: &State, rules: &Rules, action: Action) -> Result<State, Violation> {
    catch_unwind(AssertUnwindSafe(|| state.successor(rules, action))).unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<String>().cloned();
        let message = message.or(panic.downcast_ref::<&str>().map(|s| s.to_string())).unwrap_or_default();
        Err(Violation { invariant: Invariant::NoPanic, detail: message })
    })
}

fn schedule_to(origins: &[Origin], number: u32) -> Vec<Action> {
    let mut schedule = vec![];
    let mut current = number;
    while current > 0 {
        let origin = &origins[current as usize - 1];
        schedule.push(origin.action);
        current = origin.from;
    }
    schedule.reverse();
    schedule
}
