//! The stores' state by kind over time.

use super::records::Record;

/// Kinds of bytes, in the order of the columns.
pub const KINDS: [&str; 9] = ["texts", "turns", "accounts", "jobs", "total", "bound", "log", "snapshot", "resident"];

/// One store's state at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateRow {
    pub at_ms: u64,
    pub source: String,
    /// Whether the store is its group's leader.
    pub leads: bool,
    /// By `KINDS`; None if the line lacks the field.
    pub bytes: [Option<u64>; KINDS.len()],
}

/// Returns one row for each line, in chronological order.
pub fn states_over_time(records: &[Record]) -> Vec<StateRow> {
    let states = records.iter().filter(|record| record.event == "store_state");
    let mut rows: Vec<StateRow> = states.map(row).collect();
    rows.sort_by(|a, b| (a.at_ms, &a.source).cmp(&(b.at_ms, &b.source)));
    rows
}

fn row(record: &Record) -> StateRow {
    StateRow {
        at_ms: record.at_ms,
        source: record.source.clone(),
        leads: record.number("leads") == Some(1),
        bytes: KINDS.map(|kind| record.number(kind)),
    }
}
