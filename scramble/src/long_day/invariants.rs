//! Invariants of a long day, checked against what its clients observed and what its stores held.

use super::record::{DayRecord, Outcome, StoreSample};
use super::Plan;

/// How long after power is restored the service must be as good as before the loss, in milliseconds.
const RECOVERY_MS: u64 = 5_000;
/// Windows in which the service is measured before the loss and after the recovery, in milliseconds.
const BEFORE_LOSS_MS: u64 = 30_000;
const AFTER_RECOVERY_MS: u64 = 15_000;
/// Minimum ratio of the share of turns served after the recovery to that before the loss.
const MIN_RECOVERED_SHARE: f64 = 0.95;
/// Maximum relative difference of the state's size between the two halves of the time after two retention periods.
const MAX_STATE_DRIFT: f64 = 0.05;
/// Minimum share of the sized load that must be served under overload.
const MIN_OVERLOAD_SHARE: f64 = 0.95;
/// A turn requested up to this long before a fault may be affected by it, in milliseconds.
const AFFECTED_MS: u64 = 15_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub invariant: &'static str,
    pub detail: String,
}

type Check = fn(&Plan, &DayRecord) -> Vec<String>;

/// The invariants of a long day.
pub const INVARIANTS: [(&str, Check); 9] = [
    ("state grows after two retentions", state_grows),
    ("refused within the size of the machine", refused_within_size),
    ("overload starves service", overload_starves),
    ("service does not come back", not_recovered),
    ("kept turn told unknown", |_, record| record.lost_retained_turns.clone()),
    ("wrong chain told", |_, record| record.wrong_chains.clone()),
    ("budget passed", budget_passed),
    ("spent budget forgotten", |_, record| record.forgotten_budgets.clone()),
    ("acknowledged change lost", change_lost),
];

pub fn check_invariants(plan: &Plan, record: &DayRecord) -> Vec<Violation> {
    let of = |(invariant, check): &(&'static str, Check)| {
        let invariant = *invariant;
        check(plan, record).into_iter().map(move |detail| Violation { invariant, detail }).collect::<Vec<_>>()
    };
    INVARIANTS.iter().flat_map(of).collect()
}

fn mean_bytes(samples: &[&StoreSample]) -> f64 {
    samples.iter().map(|sample| sample.bytes as f64).sum::<f64>() / samples.len().max(1) as f64
}

/// Checks that the state no longer grows once two retention periods have passed.
fn state_grows(plan: &Plan, record: &DayRecord) -> Vec<String> {
    let steady = record.from + 2 * plan.retention_ms;
    let samples: Vec<&StoreSample> =
        record.samples.iter().filter(|s| (steady..record.lost_at).contains(&s.at)).collect();
    if samples.len() < 2 {
        return vec!["the day is too short to check the growth of the state".into()];
    }
    let (first, last) = samples.split_at(samples.len() / 2);
    let (first, last) = (mean_bytes(first), mean_bytes(last));
    if (last - first).abs() <= first * (MAX_STATE_DRIFT + fault_share(record, steady)) {
        return vec![];
    }
    let end = samples[samples.len() - 1];
    vec![format!(
        "{first:.0} bytes in the first half, {last:.0} in the last; at the end {} of {} bytes, {} accounts, {} turns",
        end.bytes, end.bound, end.accounts, end.turns
    )]
}

/// Returns the duration of faults from `from` to the closing fault as a share of half of that time. During faults
/// fewer turns arrive, so that the state may differ by that much.
fn fault_share(record: &DayRecord, from: u64) -> f64 {
    let within = |(start, end): &(u64, u64)| (*end).min(record.lost_at).saturating_sub((*start).max(from));
    let faulty: u64 = record.faults.iter().map(within).sum();
    faulty as f64 / (record.lost_at.saturating_sub(from) / 2).max(1) as f64
}

fn refused_within_size(plan: &Plan, record: &DayRecord) -> Vec<String> {
    if !plan.is_within_size() {
        return vec![];
    }
    let calm = |at: u64| record.is_calm(at, RECOVERY_MS, AFFECTED_MS);
    let refused: Vec<u64> = record
        .turns
        .iter()
        .filter(|turn| matches!(turn.outcome, Outcome::Refused | Outcome::EndNotAgreed) && calm(turn.requested_at))
        .map(|turn| turn.requested_at)
        .collect();
    let Some(first) = refused.iter().min() else { return vec![] };
    let requested = record.turns.iter().filter(|turn| calm(turn.requested_at)).count();
    vec![format!(
        "{} of {requested} turns asked in calm times, from second {} on",
        refused.len(),
        (first - record.from) / 1_000
    )]
}

/// Checks that under overload as many turns are served as the machines are sized for.
fn overload_starves(plan: &Plan, record: &DayRecord) -> Vec<String> {
    if plan.is_within_size() {
        return vec![];
    }
    let sized = plan.sized_share();
    let from = (record.from + 2 * plan.retention_ms).min(record.lost_at.saturating_sub(BEFORE_LOSS_MS));
    let share = record.served_share(from, record.lost_at).unwrap_or(0.0);
    if share >= sized * MIN_OVERLOAD_SHARE {
        return vec![];
    }
    vec![format!("{share:.3} of all turns served, where the machines are sized for {sized:.3}")]
}

fn not_recovered(_: &Plan, record: &DayRecord) -> Vec<String> {
    let before =
        record.served_share(record.lost_at.saturating_sub(BEFORE_LOSS_MS), record.lost_at.saturating_sub(AFFECTED_MS));
    let from = record.restored_at + RECOVERY_MS;
    let after = record.served_share(from, from + AFTER_RECOVERY_MS);
    let (Some(before), Some(after)) = (before, after) else {
        return vec![format!("no turn was requested before the loss ({before:?}) or after the recovery ({after:?})")];
    };
    if after > 0.0 && after >= before * MIN_RECOVERED_SHARE {
        return vec![];
    }
    vec![format!(
        "{after:.3} of the turns served from {} s after the return on, {before:.3} before",
        RECOVERY_MS / 1_000
    )]
}

/// Checks that a program generates at most its budget plus one turn.
fn budget_passed(_: &Plan, record: &DayRecord) -> Vec<String> {
    let over = |(program, spent): (&String, &u64)| {
        let budget = record.budgets.get(program)?;
        (*spent >= budget + super::load::MAX_TURN_TOKENS)
            .then(|| format!("{program} generated {spent} tokens with a budget of {budget}"))
    };
    record.spent.iter().filter_map(over).collect()
}

fn change_lost(_: &Plan, record: &DayRecord) -> Vec<String> {
    if record.revision_read_back >= record.revision_acknowledged {
        return vec![];
    }
    vec![format!("revision {} was acknowledged, {} read back", record.revision_acknowledged, record.revision_read_back)]
}
