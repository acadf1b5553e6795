//! Timelines of recoveries: processes that started together, and when they reached each phase.

use super::records::Record;
use std::collections::{BTreeMap, BTreeSet};

/// Processes belong to one recovery if no two consecutive starts are further apart than this.
const MAX_START_GAP_MS: u64 = 5_000;

/// Processes that started together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Return {
    /// Wall clock of the first start, in milliseconds.
    pub started_at_ms: u64,
    pub processes: usize,
    /// In the order in which the phases were first reached.
    pub phases: Vec<PhaseRow>,
}

/// One phase over all processes of one program. Times are in milliseconds from the recovery's first start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseRow {
    pub program: String,
    pub phase: String,
    /// Processes that reached it.
    pub reached: usize,
    pub first_ms: u64,
    pub median_ms: u64,
    pub last_ms: u64,
    /// Processes that logged a warning that its bound was exceeded.
    pub overdue: usize,
    /// The process that reached it last; if some never did, the first of these by name.
    pub slowest: String,
}

/// One phase reached by one process.
struct Reached<'a> {
    record: &'a Record,
    phase: &'a str,
    /// Wall clock of the process's start, in milliseconds.
    started_at_ms: u64,
}

/// Returns all recoveries, in chronological order.
pub fn find_returns(records: &[Record]) -> Vec<Return> {
    let mut reached: Vec<Reached> = records.iter().filter_map(read_reached).collect();
    reached.sort_by_key(|phase| phase.started_at_ms);
    let mut recoveries: Vec<Vec<Reached>> = vec![];
    for start in reached {
        let is_near = |recovery: &Vec<Reached>| {
            recovery.last().is_some_and(|last| start.started_at_ms <= last.started_at_ms + MAX_START_GAP_MS)
        };
        match recoveries.last_mut().filter(|recovery| is_near(recovery)) {
            Some(recovery) => recovery.push(start),
            None => recoveries.push(vec![start]),
        }
    }
    let ends: Vec<u64> =
        recoveries.iter().skip(1).map(|recovery| recovery[0].started_at_ms).chain([u64::MAX]).collect();
    recoveries.iter().zip(ends).map(|(recovery, end)| summarize(recovery, records, end)).collect()
}

fn read_reached(record: &Record) -> Option<Reached<'_>> {
    if record.event != "recovery_phase" {
        return None;
    }
    let started_at_ms = record.at_ms.saturating_sub(record.number("since_start_ms")?);
    Some(Reached { record, phase: record.text("phase")?, started_at_ms })
}

/// Summarizes one recovery. Warnings between its start and that of the next one are counted to it.
fn summarize(recovery: &[Reached], records: &[Record], end_ms: u64) -> Return {
    let started_at_ms = recovery[0].started_at_ms;
    let processes: BTreeSet<(&str, &str)> =
        recovery.iter().map(|phase| (phase.record.source.as_str(), phase.record.program.as_str())).collect();
    let mut reached: BTreeMap<(&str, &str), Vec<(u64, &str)>> = BTreeMap::new();
    for event in recovery {
        let after_ms = event.record.at_ms.saturating_sub(started_at_ms);
        reached.entry((&event.record.program, event.phase)).or_default().push((after_ms, &event.record.source));
    }
    let mut overdue: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    let in_time = |record: &&Record| (started_at_ms..end_ms).contains(&record.at_ms);
    for record in records.iter().filter(|record| record.event == "recovery_phase_overdue").filter(in_time) {
        if let Some(phase) = record.text("phase") {
            overdue.entry((&record.program, phase)).or_default().insert(&record.source);
            reached.entry((&record.program, phase)).or_default();
        }
    }
    let mut phases: Vec<PhaseRow> = reached
        .into_iter()
        .map(|((program, phase), times)| {
            let late = overdue.get(&(program, phase)).cloned().unwrap_or_default();
            phase_row(program, phase, times, &late)
        })
        .collect();
    phases.sort_by_key(|row| (row.reached == 0, row.first_ms));
    Return { started_at_ms, processes: processes.len(), phases }
}

fn phase_row(program: &str, phase: &str, mut times: Vec<(u64, &str)>, late: &BTreeSet<&str>) -> PhaseRow {
    times.sort();
    let missing = late.iter().find(|source| times.iter().all(|(_, reached_by)| reached_by != *source));
    let last = times.last().copied();
    PhaseRow {
        program: program.into(),
        phase: phase.into(),
        reached: times.len(),
        first_ms: times.first().map_or(0, |time| time.0),
        median_ms: times.get(times.len() / 2).map_or(0, |time| time.0),
        last_ms: last.map_or(0, |time| time.0),
        overdue: late.len(),
        slowest: missing.copied().or(last.map(|time| time.1)).unwrap_or_default().into(),
    }
}
