//! Reports of a run: summary figures, findings with the surrounding history, and a plot of the share of requests
//! served.

use super::history::{json_lines, Micros, Records};
use super::judges::Finding;
use super::service_share::share_by_second;
use super::{Outcome, Settings};
use std::collections::BTreeMap;
use std::path::Path;

/// Number of history lines shown before and after a finding.
const CONTEXT_LINES: usize = 12;
/// Maximum number of findings that are printed; the others are only counted.
const MAX_FINDINGS: usize = 5;

/// Returns one line of figures.
pub fn summary(seed: u64, outcome: &Outcome) -> String {
    let records = &outcome.records;
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    records.events.iter().for_each(|event| *kinds.entry(event.kind).or_default() += 1);
    let kinds: Vec<String> = kinds.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    let seconds = records.end / 1_000_000;
    format!(
        "seed {seed}: {} findings; {seconds} s, {} requests ({:.3} served), {} connections, {} orders, {} reads, \
         {} starts; {}; {} frames cut; own cost {:.2}",
        outcome.findings.len(),
        records.requests.len(),
        share_served(records),
        records.connections,
        records.config_changes.len(),
        records.reads.len(),
        records.incarnations.len(),
        kinds.join(", "),
        outcome.frames_dropped,
        outcome.own_cpu_share,
    )
}

fn share_served(records: &Records) -> f64 {
    super::judges::served(records, 0, records.end).0
}

/// Returns the findings, each with the surrounding history, and the command that runs the seed again.
pub fn findings(settings: &Settings, outcome: &Outcome) -> String {
    let history = json_lines(&outcome.records);
    let mut text = String::new();
    for finding in outcome.findings.iter().take(MAX_FINDINGS) {
        text.push_str(&format!("FINDING {} at {} us: {}\n", finding.judge, finding.at, finding.description));
        context_of(&history, finding).for_each(|line| text.push_str(&format!("    {line}\n")));
    }
    let omitted = outcome.findings.len().saturating_sub(MAX_FINDINGS);
    if omitted > 0 {
        text.push_str(&format!("and {omitted} more\n"));
    }
    text.push_str(&format!(
        "again: soak --first-seed {} --seeds 1 --seconds {} --processes {} --faults {} --out DIR\n",
        settings.seed,
        settings.seconds,
        settings.processes,
        settings.kinds.join(",")
    ));
    text
}

fn context_of<'a>(history: &'a [(Micros, String)], finding: &Finding) -> impl Iterator<Item = &'a str> {
    let index = history.partition_point(|(at, _)| *at < finding.at);
    let from = index.saturating_sub(CONTEXT_LINES);
    history[from..history.len().min(index + CONTEXT_LINES)].iter().map(|(_, line)| line.as_str())
}

/// Writes the history and the plot into the folder of the plan.
pub fn write(folder: &Path, outcome: &Outcome) -> std::io::Result<()> {
    let text: String = json_lines(&outcome.records).into_iter().map(|(_, line)| line + "\n").collect();
    std::fs::write(folder.join("history.jsonl"), text)?;
    let marks: Vec<(f64, String)> = outcome
        .records
        .events
        .iter()
        .filter(|event| !["change", "race", "invalid"].contains(&event.kind))
        .map(|event| (event.at as f64 / 1e6, event.kind.to_string()))
        .collect();
    let shares = share_by_second(&outcome.records);
    std::fs::write(folder.join("served.svg"), crate::plot::timeline("share of requests served", &shares, &marks))
}
