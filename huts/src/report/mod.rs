//! A report for operators from the daemons' logs: the timeline of each recovery, refusals by reason and by second, and
//! the stores' state by kind over time.
//!
//! Logs of several machines are read together. Times are each machine's wall clock, so events of two machines are off by
//! the difference of their clocks.

mod records;
mod refusals;
mod returns;
mod states;

pub use records::{read_records, Record};
pub use refusals::{refusals_by_second, RefusalRow};
pub use returns::{find_returns, PhaseRow, Return};
pub use states::{states_over_time, StateRow};

use std::fmt::Write;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;
/// Bytes in a megabyte, as the tables show it.
const MEGABYTE: f64 = 1e6;

/// Renders the whole report as text; None if the records contain nothing to report.
pub fn render(records: &[Record]) -> Option<String> {
    let origin = records.iter().map(|record| record.at_ms).min()?;
    let (returns, refusals, states) = (find_returns(records), refusals_by_second(records), states_over_time(records));
    if returns.is_empty() && refusals.is_empty() && states.is_empty() {
        return None;
    }
    let mut out = format!("origin: {origin} ms (time of day of the first structured line); all times from there\n");
    render_returns(&mut out, origin, &returns);
    render_refusals(&mut out, origin, &refusals);
    render_states(&mut out, origin, &states);
    Some(out)
}

fn seconds_since(origin: u64, at_ms: u64) -> f64 {
    at_ms.saturating_sub(origin) as f64 / SECOND_MS as f64
}

fn line(out: &mut String, text: std::fmt::Arguments) {
    // writing to a string does not fail
    let _ = writeln!(out, "{text}");
}

fn render_returns(out: &mut String, origin: u64, returns: &[Return]) {
    for recovery in returns {
        let started_at_s = seconds_since(origin, recovery.started_at_ms);
        line(out, format_args!("\nreturn at {started_at_s:.1} s: {} processes started", recovery.processes));
        line(
            out,
            format_args!(
                "{:<10} {:<16} {:>7} {:>9} {:>9} {:>9} {:>8}  slowest",
                "program", "phase", "reached", "first_ms", "median_ms", "last_ms", "overdue"
            ),
        );
        for row in &recovery.phases {
            line(
                out,
                format_args!(
                    "{:<10} {:<16} {:>7} {:>9} {:>9} {:>9} {:>8}  {}",
                    row.program,
                    row.phase,
                    row.reached,
                    row.first_ms,
                    row.median_ms,
                    row.last_ms,
                    row.overdue,
                    row.slowest
                ),
            );
        }
    }
}

fn render_refusals(out: &mut String, origin: u64, refusals: &[RefusalRow]) {
    if refusals.is_empty() {
        return;
    }
    line(out, format_args!("\nrefusals and repeated tries by second"));
    for row in refusals {
        let at = seconds_since(origin, row.second * SECOND_MS);
        let reasons: Vec<String> = row.by_reason.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
        line(out, format_args!("{at:>8.0} s  {:<15} {}", row.event, reasons.join(" ")));
    }
}

fn render_states(out: &mut String, origin: u64, states: &[StateRow]) {
    if states.is_empty() {
        return;
    }
    line(out, format_args!("\nstate of stores over time, in MB"));
    let header: Vec<String> = states::KINDS.iter().map(|kind| format!("{kind:>8}")).collect();
    line(out, format_args!("{:>10}  {:<16} {:<5} {}", "time", "source", "leads", header.join(" ")));
    for row in states {
        let at = seconds_since(origin, row.at_ms);
        let sizes: Vec<String> = row.bytes.iter().map(|bytes| megabytes(*bytes)).collect();
        let leads = if row.leads { "yes" } else { "no" };
        line(out, format_args!("{at:>8.1} s  {:<16} {leads:<5} {}", row.source, sizes.join(" ")));
    }
}

fn megabytes(bytes: Option<u64>) -> String {
    bytes.map_or(format!("{:>8}", "-"), |bytes| format!("{:>8.2}", bytes as f64 / MEGABYTE))
}
