//! Checks the safety rules of the specification against recorded observations alone, one checker per rule.
//!
//! Each checker reports the violations and the spans in which the rule could have been violated (exposures):
//! a checker without exposures proves nothing. Anything that could not be observed is reported as a violation.

use crate::linearize::check_day;
use crate::observations::{JobRecord, Observations, RunRecord, TurnRecord, NETWORK};
use hutbook::constants::WARMUP_START_SLOTS;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: &'static str,
    pub description: String,
}

/// The result of one rule's checker over a run.
#[derive(Debug, Default)]
pub struct RuleReport {
    /// (from, until) of every span in which the rule could have been violated.
    pub exposures: Vec<(u64, u64)>,
    pub violations: Vec<String>,
}

impl RuleReport {
    /// Counts the exposures that overlap one of these spans.
    pub fn exposures_within(&self, spans: &[(u64, u64)]) -> usize {
        self.exposures.iter().filter(|e| spans.iter().any(|span| e.0 <= span.1 && span.0 <= e.1)).count()
    }
}

type Checker = fn(&Observations) -> RuleReport;

/// The rules of the specification in its order, then the rules that they depend on: a final verdict
/// never changes, everything could be observed, groups make progress, and operations are linearizable.
pub const RULES: [(&str, Checker); 16] = [
    ("once-only run twice", ran_at_most_once),
    ("refused work ran", refused_did_not_run),
    ("allowance passed", allowance),
    ("history lost", history),
    ("stream broken", stream),
    ("leaving server got work", leaving),
    ("evacuated cell got work", evacuated),
    ("config late, back, or lost race applied", config),
    ("read back an older config", read_back),
    ("planned change dropped work", dropped),
    ("server flooded", flooded),
    ("not back after total loss", recovered),
    ("a last word changed", final_verdict_changed),
    ("not looked at", unobserved),
    ("a group stood still", stalled),
    ("not linearizable", linearizable),
];

/// How many of `RULES` come from the specification.
pub const SPECIFIED_RULES: usize = 12;

/// Time limits that the specification sets, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;
const EVACUATION_GRACE_MS: u64 = 5_000;
const CONFIG_PROPAGATION_MS: u64 = 2_000;
const RECOVERY_LIMIT_MS: u64 = 12_000;
/// How long a group whose majority is available may have no leader, or edges no lease, in milliseconds.
/// An election takes up to a second; several may be needed while messages are lost.
const MAX_STALL_MS: u64 = 5_000;
/// How long after the end of a fault its effect on a job may still appear, in milliseconds.
const FAULT_AFTERMATH_MS: u64 = 3_000;

pub fn evaluate(observed: &Observations) -> Vec<(&'static str, RuleReport)> {
    RULES.iter().map(|(rule, evaluate_rule)| (*rule, evaluate_rule(observed))).collect()
}

pub fn check(observed: &Observations) -> Vec<Breach> {
    evaluate(observed)
        .into_iter()
        .flat_map(|(rule, report)| report.violations.into_iter().map(move |description| Breach { rule, description }))
        .collect()
}

fn runs_by_key(observed: &Observations) -> BTreeMap<&str, Vec<&RunRecord>> {
    let mut runs_of: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    observed.runs.iter().for_each(|run| runs_of.entry(run.key.as_str()).or_default().push(run));
    runs_of
}

fn has_verdict(job: &JobRecord, verdict: &str) -> bool {
    job.verdicts.iter().any(|v| v.1 == verdict)
}

/// From a job's first request until its client had the final verdict or gave up.
fn span(job: &JobRecord) -> (u64, u64) {
    (job.asked_at, job.ended_at.unwrap_or(u64::MAX))
}

fn ran_at_most_once(observed: &Observations) -> RuleReport {
    let runs_of = runs_by_key(observed);
    let jobs: Vec<&JobRecord> =
        observed.jobs.iter().filter(|job| job.at_most_once && runs_of.contains_key(job.key.as_str())).collect();
    let repeated = jobs.iter().filter(|job| runs_of[job.key.as_str()].len() > 1);
    let violations = repeated.map(|job| format!("{} ran {} times", job.key, runs_of[job.key.as_str()].len())).collect();
    RuleReport { exposures: jobs.iter().map(|job| span(job)).collect(), violations }
}

fn refused_did_not_run(observed: &Observations) -> RuleReport {
    let runs_of = runs_by_key(observed);
    // a repeatable turn may have run and failed before a retry was refused; its verdict is then `failed`
    let refused: Vec<&JobRecord> = observed.jobs.iter().filter(|job| has_verdict(job, "refused")).collect();
    let ran = refused.iter().filter(|job| runs_of.contains_key(job.key.as_str()));
    let violations = ran.map(|job| format!("{} was refused and ran", job.key)).collect();
    RuleReport { exposures: refused.iter().map(|job| span(job)).collect(), violations }
}

fn allowance(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for (id, program) in &observed.programs {
        let turns: Vec<_> = observed.jobs.iter().filter(|job| job.turn && &job.program == id).collect();
        let delivered: u64 = turns.iter().map(|job| job.tokens).sum();
        let largest_turn = turns.iter().map(|job| job.max_tokens).max().unwrap_or(0);
        // exposed if the turns together ask for more than the program's allowance
        if turns.iter().map(|job| job.max_tokens).sum::<u64>() > program.allowance {
            report.exposures.extend(turns.iter().map(|job| span(job)));
        }
        if delivered > program.allowance + largest_turn {
            report.violations.push(format!(
                "{id} delivered {delivered} tokens of an allowance of {}; one turn may exceed it by {largest_turn}",
                program.allowance
            ));
        }
    }
    report
}

fn history(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for (id, program) in &observed.programs {
        let Some(turns) = &program.history else { continue };
        let positions: BTreeMap<&str, (usize, &TurnRecord)> =
            turns.iter().enumerate().map(|(i, t)| (t.key.as_str(), (i, t))).collect();
        if positions.len() != turns.len() {
            report.violations.push(format!("{id} has a turn twice in its history"));
        }
        let mut before: Vec<(u64, usize)> = vec![];
        for job in observed.jobs.iter().filter(|job| job.turn && &job.program == id && has_verdict(job, "done")) {
            report.exposures.push(span(job));
            let Some((i, t)) = positions.get(job.key.as_str()) else {
                report.violations.push(format!("{id} has lost turn {}", job.key));
                continue;
            };
            if t.input != format!("{}?", job.key) || job.answer.as_ref().is_some_and(|a| *a != t.answer) {
                report.violations.push(format!("{id} has turn {} with other texts: {:?}", job.key, t));
            }
            // a turn that ended before another was requested must come before it
            if before.iter().any(|(end, k)| *end < job.asked_at && k > i) {
                report.violations.push(format!("{id} has turn {} before an earlier one", job.key));
            }
            before.push((job.ended_at.unwrap_or(u64::MAX), *i));
        }
    }
    report
}

fn stream(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for job in observed.jobs.iter().filter(|job| job.chunks.len() > 1) {
        report.exposures.push(span(job));
        if job.chunks.windows(2).any(|w| w[0].0 != w[1].0) {
            report.violations.push(format!("{}: the stream mixes chunks of two runs", job.key));
        } else if job.chunks.iter().enumerate().any(|(i, p)| p.1 != i as u64) {
            report.violations.push(format!("{}: a chunk of the stream was skipped or repeated", job.key));
        } else if job.broken_connections == 0 && job.answer.as_ref().is_some_and(|a| *a != job.text) {
            report.violations.push(format!("{}: the verdict's text differs from the streamed text", job.key));
        }
    }
    report
}

fn leaving(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for run in &observed.runs {
        let active: Vec<_> = observed
            .leaving_servers
            .iter()
            .filter(|(from, until, _)| run.at > from + LEAVING_GRACE_MS && run.at < *until)
            .collect();
        report.exposures.extend((!active.is_empty()).then_some((run.at, run.at)));
        if active.iter().any(|x| x.2 == run.server) {
            report.violations.push(format!("{} ran on {} at {}", run.key, run.server, run.at));
        }
    }
    report
}

fn evacuated(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for run in &observed.runs {
        let active: Vec<_> = observed
            .evacuations
            .iter()
            .filter(|(done, until, _)| run.at > done + EVACUATION_GRACE_MS && run.at < *until)
            .collect();
        report.exposures.extend((!active.is_empty()).then_some((run.at, run.at)));
        let Some((zone, _, _)) = observed.servers.get(&run.server) else { continue };
        if active.iter().any(|x| x.2 == *zone) {
            report.violations.push(format!("{} ran on {} at {}", run.key, run.server, run.at));
        }
    }
    report
}

/// Checks the revision that each dispatch named, and the revisions that edges reported.
fn config(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    // a config whose response was lost may have been accepted; the history lists it
    let accepted: BTreeSet<u64> =
        observed.configs.iter().map(|(_, r)| *r).chain(observed.history.iter().map(|h| h.0)).collect();
    let raced = observed.overtaken_changes.iter().filter(|c| observed.history.iter().any(|h| h.1 == **c));
    report.violations.extend(raced.map(|c| format!("{c} was reported as overtaken but was applied")));
    let due = |at: u64| {
        observed.configs.iter().filter(|(t, _)| at > t + CONFIG_PROPAGATION_MS).map(|(_, r)| *r).max().unwrap_or(0)
    };
    let first = observed.configs.iter().map(|c| c.1).min().unwrap_or(0);
    for run in &observed.runs {
        let due_revision = due(run.at);
        if due_revision > first || run.config_revision > first {
            report.exposures.push((run.at, run.at));
        }
        if run.config_revision < due_revision {
            report.violations.push(format!(
                "{} was dispatched with config {} at {}, {due_revision} was due",
                run.key, run.config_revision, run.at
            ));
        }
        if !accepted.contains(&run.config_revision) {
            report.violations.push(format!(
                "{} was dispatched with config {}, which was never accepted",
                run.key, run.config_revision
            ));
        }
    }
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut seen: Vec<_> = observed.edge_samples.iter().collect();
    seen.sort_by_key(|sample| sample.at);
    for sample in seen {
        if sample.has_lease && sample.config_revision < due(sample.at) {
            report.violations.push(format!(
                "{} held a lease with config {} at {}, {} was due",
                sample.node,
                sample.config_revision,
                sample.at,
                due(sample.at)
            ));
        }
        let n = newest.entry(&sample.node).or_default();
        if sample.config_revision < *n {
            report.violations.push(format!("{} went back from config {n} to {}", sample.node, sample.config_revision));
        }
        *n = (*n).max(sample.config_revision);
        if sample.config_revision != 0 && !accepted.contains(&sample.config_revision) {
            report
                .violations
                .push(format!("{} has config {}, which was never accepted", sample.node, sample.config_revision));
        }
    }
    report
}

fn read_back(observed: &Observations) -> RuleReport {
    let newest = observed.configs.iter().map(|(_, r)| *r).max().unwrap_or(0);
    let violations = match observed.read_back {
        Some(r) if r < newest => vec![format!("read back config {r}, but {newest} was accepted")],
        Some(_) => vec![],
        None if newest > 0 => vec!["the config could not be read back".into()],
        None => vec![],
    };
    // an accepted config must survive every later fault
    RuleReport { exposures: observed.configs.iter().skip(1).map(|c| (c.0, u64::MAX)).collect(), violations }
}

/// Every job accepted before a planned change, queued jobs included, must end as it would have without the change.
/// Jobs are checked unless a fault affected their edge, server or store, or the network.
/// A fault of the control group may cost a job its place in a queue, but never a run in progress.
/// A job lasts until its client is gone and the last edge has finished its request for the job.
fn dropped(observed: &Observations) -> RuleReport {
    let runs_of = runs_by_key(observed);
    let mut request_ends: BTreeMap<&str, u64> = BTreeMap::new();
    for (key, until) in observed.requests.iter().filter_map(|request| Some((request.key.as_str(), request.until?))) {
        let last = request_ends.entry(key).or_default();
        *last = until.max(*last);
    }
    let mut report = RuleReport::default();
    for job in &observed.jobs {
        let (from, ended) = span(job);
        let until = ended.max(request_ends.get(job.key.as_str()).copied().unwrap_or(0));
        let Some(at) = observed.planned_changes.iter().find(|p| from < **p && **p <= until) else { continue };
        let ran = runs_of.get(job.key.as_str()).map_or(&[][..], |v| v);
        let concerns_job = |n: &str| {
            let own = job.edges.iter().any(|e| e == n) || ran.iter().any(|run| run.server == n);
            own || n == NETWORK || n.starts_with("bothy")
        };
        // a group without an available majority counts as faulty, even if a machine that lost its disk is up again
        let mut faults = observed
            .fault_spans
            .iter()
            .chain(&observed.quorum_losses)
            .filter(|(a, b, _)| *a <= until && from <= b.saturating_add(FAULT_AFTERMATH_MS));
        if faults.clone().any(|h| concerns_job(&h.2)) {
            continue;
        }
        let control_group_hurt = faults.any(|h| h.2.starts_with("refuge"));
        report.exposures.push((*at, *at));
        let last = job.verdicts.iter().find(|v| !NON_FINAL_VERDICTS.contains(&v.1.as_str()));
        let reason = match last {
            _ if job.broken_connections > 0 => "its connection was closed",
            None => "it never ended",
            Some((_, v, c)) => match (v.as_str(), c.as_str()) {
                ("done", _) | ("refused", "allowance_spent" | "program_ended") => continue,
                ("failed", c) if c.starts_with("back_end") => continue,
                // `refused` means that the job never ran, whether it waited for its first slot or for a retry
                ("refused", "overloaded" | "no_time_left" | "not_sent" | "no_server_left") if control_group_hurt => {
                    continue
                }
                // its client had hung up by the time it got a slot
                ("failed", "caller_gone") if control_group_hurt && job.client_hangups > 0 => continue,
                // its client gave up before it had a slot, and it never ran: it was queued throughout
                ("unknown", _) if control_group_hurt && ran.is_empty() => continue,
                (_, c) => c,
            },
        };
        report
            .violations
            .push(format!("{}, requested at {from}, was dropped by the change at {at}: {reason}", job.key));
    }
    report
}

fn flooded(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for run in &observed.runs {
        let Some((_, slots, jobs_per_slot)) = observed.servers.get(&run.server) else { continue };
        let warmup_slots = WARMUP_START_SLOTS + run.finished / u64::from((*jobs_per_slot).max(1));
        let limit = u64::from(*slots).min(warmup_slots);
        // while the server warms up, or is at its limit
        if warmup_slots < u64::from(*slots) || u64::from(run.running) >= limit {
            report.exposures.push((run.at, run.at));
        }
        if u64::from(run.running) > limit {
            report.violations.push(format!(
                "{} had {} jobs in progress at {}, its limit is {limit}",
                run.server, run.running, run.at
            ));
        }
    }
    report
}

/// Answers that are not final: each asks to come back with the same key.
const NON_FINAL_VERDICTS: [&str; 6] =
    ["running", "unavailable", "no_config", "no_licence", "store_unreachable", "edge_memory"];

/// Returns whether an answer decides what became of a job.
pub fn is_final_verdict(verdict: &str) -> bool {
    !NON_FINAL_VERDICTS.contains(&verdict)
}

fn final_verdict_changed(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    for job in &observed.jobs {
        let mut last: Vec<&str> = job.verdicts.iter().map(|v| v.1.as_str()).filter(|v| is_final_verdict(v)).collect();
        report.exposures.extend((last.len() > 1).then(|| span(job)));
        last.dedup();
        // no final verdict was ever reported, so none has to be retained
        let never = last == ["unknown"];
        if last.len() > 1 && !never {
            report.violations.push(format!("{} had the final verdicts {}", job.key, last.join(", then ")));
        }
    }
    report
}

fn recovered(observed: &Observations) -> RuleReport {
    let late = |(up, first): &(u64, Option<u64>)| match first {
        Some(f) if f.saturating_sub(*up) <= RECOVERY_LIMIT_MS => None,
        Some(f) => Some(format!("first served {} ms after all processes were up", f - up)),
        None => Some("nothing was served after all processes were up".to_string()),
    };
    let exposures = observed.total_losses.iter().map(|l| (l.0, l.0 + RECOVERY_LIMIT_MS)).collect();
    RuleReport { exposures, violations: observed.total_losses.iter().filter_map(late).collect() }
}

/// What could not be observed, and edges that never had a lease.
fn unobserved(observed: &Observations) -> RuleReport {
    let mut report = RuleReport::default();
    let unread = observed.programs.iter().filter(|(_, p)| p.history.is_none());
    report.violations.extend(unread.map(|(id, _)| format!("the history of {id} could not be read")));
    report.violations.extend(
        observed.jobs.iter().filter(|job| job.verdicts.is_empty()).map(|job| format!("{} has no verdict", job.key)),
    );
    let mut edges: BTreeMap<&str, bool> = BTreeMap::new();
    for sample in &observed.edge_samples {
        *edges.entry(sample.node.split('/').next().unwrap_or_default()).or_default() |= sample.has_lease;
    }
    report.violations.extend(edges.iter().filter(|e| !e.1).map(|e| format!("{} never had a lease", e.0)));
    report.violations.extend(observed.jobs.is_empty().then(|| "no job was requested".to_string()));
    report
}

/// A group must have a leader, and edges must get leases, whenever a majority is available.
/// The other rules excuse what happens without a majority; this rule checks the opposite case and allows no excuse.
fn stalled(observed: &Observations) -> RuleReport {
    let too_long = observed.stall_spans.iter().filter(|x| x.1 - x.0 > MAX_STALL_MS);
    let violations = too_long
        .map(|x| format!("{} stalled from {} to {} although a majority was available", x.2, x.0, x.1))
        .collect();
    RuleReport { exposures: observed.stall_spans.iter().map(|x| (x.0, x.1)).collect(), violations }
}

/// Operator commands, reads and requests to the stores must have a sequential order in which each takes effect at
/// one moment between its request and its response.
fn linearizable(observed: &Observations) -> RuleReport {
    let spans = observed.control_operations.iter().map(|o| (o.from, o.until.unwrap_or(u64::MAX)));
    RuleReport { exposures: spans.collect(), violations: check_day(observed).1 }
}

#[cfg(test)]
mod tests;
