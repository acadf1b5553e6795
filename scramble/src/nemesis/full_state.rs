//! Randomised days with nearly full stores: retention, store size, load and faults are drawn from the seed.

use crate::long_day::{check_invariants, run_long_day, ClosingFault, DayRecord, Fault, Plan, Violation};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Divisors of a full machine's capacity and load.
const SCALES: [u64; 3] = [50, 70, 100];
/// How long turns are retained, in milliseconds. The day lasts five times as long, but at least the minimum length.
const RETENTIONS_MS: [u64; 4] = [15_000, 30_000, 60_000, 120_000];
const RETENTIONS_PER_DAY: u64 = 5;
const MIN_LENGTH_MS: u64 = 240_000;
/// Load in percent of what the machines are sized for when turns are retained for one minute.
const LOADS_PERCENT: [u64; 6] = [40, 60, 90, 100, 150, 200];
/// Maximum number of configuration changes per day (exclusive).
const MAX_CHANGES: u64 = 300;
/// Maximum number of faults per day before the closing one.
const MAX_FAULTS: u64 = 5;
/// No fault begins within this time before the closing fault, in milliseconds: the service in this window is the
/// reference for the service after the fault.
const CALM_BEFORE_CLOSING_MS: u64 = 40_000;

const FAULTS: [(Fault, &str); 7] = [
    (Fault::StoreLeaderPower, "store leader without power"),
    (Fault::CoreLeaderPower, "core leader without power"),
    (Fault::EdgePower, "edge without power"),
    (Fault::StoreDiskFull, "store disk full"),
    (Fault::StoreDiskSlow, "store disk slow"),
    (Fault::StoreLeaderFrozen, "store leader frozen"),
    (Fault::EverythingPower, "everything without power"),
];

/// Faults and conditions of such days. Each is counted when it occurred.
pub const KINDS: [&str; 13] = [
    "store leader without power",
    "core leader without power",
    "edge without power",
    "store disk full",
    "store disk slow",
    "store leader frozen",
    "everything without power",
    "closing: all without power",
    "closing: a disk lost as well",
    "load within the machines' size",
    "load over the machines' size",
    "retention of a minute or more",
    "state over nine tenths of its bound",
];
/// Share of its limit from which a state counts as nearly full.
const NEARLY_FULL_SHARE: f64 = 0.9;

pub struct FullStateDay {
    pub plan: Plan,
    pub record: DayRecord,
    pub violations: Vec<Violation>,
    /// How often each of `KINDS` occurred.
    pub kinds: BTreeMap<&'static str, u64>,
}

/// Returns the plan that is drawn from a seed.
pub fn full_state_plan(seed: u64) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = move |n: u64| random.next_u64() % n;
    let retention_ms = RETENTIONS_MS[draw(RETENTIONS_MS.len() as u64) as usize];
    let length_ms = (retention_ms * RETENTIONS_PER_DAY).max(MIN_LENGTH_MS);
    let faults = 1 + draw(MAX_FAULTS);
    let last_fault_ms = length_ms - CALM_BEFORE_CLOSING_MS;
    let fault = |_| (draw(last_fault_ms), FAULTS[draw(FAULTS.len() as u64) as usize].0);
    let faults = (0..faults).map(fault).collect();
    Plan {
        length_ms,
        retention_ms,
        scale: SCALES[draw(SCALES.len() as u64) as usize],
        load_percent: LOADS_PERCENT[draw(LOADS_PERCENT.len() as u64) as usize],
        memory_percent: 100,
        changes: draw(MAX_CHANGES),
        faults,
        closing: if draw(2) == 0 { ClosingFault::Power } else { ClosingFault::PowerAndDisk },
    }
}

/// Runs the day whose plan is drawn from a seed.
pub fn run_full_state_day(seed: u64) -> FullStateDay {
    let plan = full_state_plan(seed);
    let record = run_long_day(seed, &plan);
    let violations = check_invariants(&plan, &record);
    let kinds = kinds_of(&plan, &record);
    FullStateDay { plan, record, violations, kinds }
}

fn kinds_of(plan: &Plan, record: &DayRecord) -> BTreeMap<&'static str, u64> {
    let mut kinds = BTreeMap::new();
    let mut count = |kind: &'static str| *kinds.entry(kind).or_default() += 1;
    for (_, injected) in &plan.faults {
        FAULTS.iter().filter(|(fault, _)| fault == injected).for_each(|(_, kind)| count(kind));
    }
    count(if plan.closing == ClosingFault::Power { KINDS[7] } else { KINDS[8] });
    count(if plan.is_within_size() { KINDS[9] } else { KINDS[10] });
    if plan.retention_ms >= 60_000 {
        count(KINDS[11]);
    }
    if record.samples.iter().any(|sample| sample.bytes as f64 >= sample.bound as f64 * NEARLY_FULL_SHARE) {
        count(KINDS[12]);
    }
    kinds
}
