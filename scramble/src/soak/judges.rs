//! Judges: checkers that look for violations in the history of a run. They use only what clients, servers and operators
//! observed, never the internal state of the fleet.

mod configuration;
mod processes;
mod requests;
mod service;
#[cfg(test)]
mod tests;

use super::history::{Micros, Records};
pub use requests::input_of;
pub use service::served;

/// A violation that a judge found.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub judge: &'static str,
    pub at: Micros,
    pub description: String,
}

/// Time bounds that the judges check.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from the acknowledgement of a change until every later request must follow it, in microseconds.
    pub in_force: Micros,
    /// Time from the return of all processes until requests must be served again, in microseconds.
    pub recovery: Micros,
    /// Maximum duration of a requested stop, in microseconds.
    pub grace: Micros,
}

type Judge = fn(&Records, &Bounds) -> Vec<Finding>;

const JUDGES: [Judge; 8] = [
    configuration::in_force,
    configuration::never_reverted,
    configuration::read_back,
    configuration::accepted_changes,
    requests::complete_answers,
    requests::executions,
    service::recovery,
    processes::process_ends,
];

/// Returns the findings of all judges, sorted by time.
pub fn judge(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings: Vec<Finding> = JUDGES.iter().flat_map(|judge| judge(records, bounds)).collect();
    findings.sort_by_key(|finding| finding.at);
    findings
}
