//! The PBScaler algorithm, as a pure function of its inputs and a seed.
//!
//! Checks the P90 latency of every call between groups. If any exceeds its bound, the abnormal groups are ranked by
//! TopoRank and a genetic search finds new counts for the highest ranked ones. If none does, groups are tested for
//! redundancy and a genetic search finds lower counts within bounded steps.

pub mod forest;
pub mod genetic;
pub mod toporank;
pub mod ttest;

use crate::state::config::ScalerConfig;
use crate::state::histogram::Histogram;
use forest::SloPredictor;
use std::collections::{BTreeMap, BTreeSet};

messages! {
    /// The state of one group, as input of the scaler.
    pub struct GroupState {
        #[n(0)] pub name: String,
        #[n(1)] pub count: u32,
        #[n(2)] pub min_count: u32,
        /// Maximum count now: limited by the configuration and by the servers that are listed, not leaving and in a
        /// zone that is not evacuated.
        #[n(3)] pub max_count: u32,
        #[n(4)] pub slo_ms: u64,
        #[n(5)] pub in_flight: u32,
        /// Requests per second by window, oldest first.
        #[n(6)] pub load: Vec<f64>,
        /// Other metrics by window, oldest first: queued, in flight, pressure, cache.
        #[n(7)] pub metrics: Vec<Vec<f64>>,
    }
    /// Latencies of the calls from one group to another by window, oldest first.
    pub struct CallPair {
        #[n(0)] pub caller: String,
        #[n(1)] pub callee: String,
        #[n(2)] pub windows: Vec<Histogram>,
    }
    /// Counts and load of all groups at one check, and whether the SLOs towards clients were met.
    pub struct Sample {
        #[n(0)] pub counts: BTreeMap<String, u32>,
        #[n(1)] pub load: BTreeMap<String, f64>,
        #[n(2)] pub slos_met: bool,
    }
    pub struct CountChange {
        #[n(0)] pub group: String,
        #[n(1)] pub from: u32,
        #[n(2)] pub to: u32,
    }
    #[derive(Copy, Eq)]
    pub enum Course {
        #[n(0)] Stay,
        #[n(1)] Grow,
        #[n(2)] Shrink,
    }
    pub struct Decision {
        #[n(0)] pub course: Course,
        #[n(1)] pub abnormal: Vec<String>,
        #[n(2)] pub ranks: Vec<(String, f64)>,
        #[n(3)] pub moves: Vec<CountChange>,
        /// The source of R1: the forest, or the capacity rule while the forest is not accurate enough.
        #[n(4)] pub predictor: String,
        #[n(5)] pub reasons: Vec<String>,
        #[n(6)] pub load: BTreeMap<String, f64>,
    }
}

#[derive(Clone, Debug)]
pub struct ScalerInput {
    pub groups: Vec<GroupState>,
    pub pairs: Vec<CallPair>,
    pub samples: Vec<Sample>,
    pub tuning: ScalerConfig,
    pub seed: u64,
    /// Term in which the computation was started; its result is void in any other term.
    pub term: u64,
    /// The reason why no group may shrink now, if there is one.
    pub shrink_blocker: Option<String>,
    /// Number of windows in one check.
    pub windows_per_check: usize,
}

impl ScalerInput {
    /// Returns the groups with incoming calls whose P90 latency exceeds its bound.
    pub fn abnormal(&self) -> BTreeSet<String> {
        let is_slow = |pair: &&CallPair| {
            let Some(group) = self.groups.iter().find(|group| group.name == pair.callee) else { return false };
            let mut latencies = Histogram::default();
            pair.windows.iter().rev().take(self.windows_per_check).for_each(|window| latencies.merge(window));
            latencies
                .quantile(0.9)
                .is_some_and(|latency| latency > group.slo_ms as f64 * (1.0 + self.tuning.alpha / 2.0))
        };
        self.pairs.iter().filter(is_slow).map(|pair| pair.callee.clone()).collect()
    }

    /// Returns the mean requests per second of each group over the last check.
    pub fn load(&self) -> BTreeMap<String, f64> {
        self.groups.iter().map(|group| (group.name.clone(), tail_mean(&group.load, self.windows_per_check))).collect()
    }

    /// Returns this check as a sample for the classifier's history.
    pub fn sample(&self, entry: &str) -> Sample {
        let abnormal = self.abnormal();
        let is_entry_group = |group: &str| self.pairs.iter().any(|pair| pair.callee == group && pair.caller == entry);
        Sample {
            counts: self.groups.iter().map(|group| (group.name.clone(), group.count)).collect(),
            load: self.load(),
            slos_met: !abnormal.iter().any(|group| is_entry_group(group)),
        }
    }
}

pub fn tail_mean(values: &[f64], count: usize) -> f64 {
    let tail = &values[values.len().saturating_sub(count)..];
    if tail.is_empty() {
        0.0
    } else {
        tail.iter().sum::<f64>() / tail.len() as f64
    }
}

/// Makes one decision. Counts never leave the bounds that the PBScaler paper specifies.
pub fn decide(input: &ScalerInput) -> Decision {
    let load = input.load();
    let no_change = |main_reason: &str, reasons: Vec<String>| Decision {
        course: Course::Stay,
        abnormal: vec![],
        ranks: vec![],
        moves: vec![],
        predictor: String::new(),
        reasons: [vec![main_reason.to_string()], reasons].concat(),
        load: load.clone(),
    };
    if input.groups.iter().all(|group| group.load.len() < input.windows_per_check) {
        return no_change("too few windows: nothing is decided before a whole check has been measured", vec![]);
    }
    let abnormal_groups = input.abnormal();
    let mut reasons = vec![];
    if abnormal_groups.is_empty() {
        if let Some(blocker) = &input.shrink_blocker {
            return no_change(&format!("no breach; nothing shrinks: {blocker}"), vec![]);
        }
        let redundant: Vec<&GroupState> =
            input.groups.iter().filter(|group| ttest::is_redundant(input, group, &mut reasons)).collect();
        let redundant: Vec<&GroupState> =
            redundant.into_iter().filter(|group| group.count > group.min_count.max(1)).collect();
        if redundant.is_empty() {
            return no_change("no breach, nothing redundant", reasons);
        }
        // down to c − γ, but never below one or below the configured minimum
        let lower_bound =
            |group: &GroupState| group.count.saturating_sub(input.tuning.gamma).max(1).max(group.min_count);
        let range: Vec<(u32, u32)> = redundant.iter().map(|group| (lower_bound(group), group.count)).collect();
        return search(input, Course::Shrink, vec![], vec![], &redundant, &range, reasons, load);
    }
    let ranks = toporank::rank(input, &abnormal_groups);
    let top: Vec<&GroupState> = ranks
        .iter()
        .take(input.tuning.k as usize)
        .filter_map(|(name, _)| input.groups.iter().find(|group| &group.name == name))
        .collect();
    let mut growable = vec![];
    for group in top {
        if group.max_count < group.count + 1 {
            reasons.push(format!(
                "{}: a bottleneck, but all {} servers it could have are placed",
                group.name, group.max_count
            ));
        } else {
            growable.push(group);
        }
    }
    let abnormal: Vec<String> = abnormal_groups.into_iter().collect();
    if growable.is_empty() {
        return Decision { abnormal, ranks, ..no_change("no bottleneck has room to grow", reasons) };
    }
    let range: Vec<(u32, u32)> = growable.iter().map(|group| (group.count + 1, group.max_count)).collect();
    search(input, Course::Grow, abnormal, ranks, &growable, &range, reasons, load)
}

#[allow(clippy::too_many_arguments)]
fn search(
    input: &ScalerInput,
    course: Course,
    abnormal: Vec<String>,
    ranks: Vec<(String, f64)>,
    groups: &[&GroupState],
    range: &[(u32, u32)],
    mut reasons: Vec<String>,
    load: BTreeMap<String, f64>,
) -> Decision {
    let predictor = SloPredictor::new(input, &mut reasons);
    let max_total: u32 = groups.iter().map(|group| group.max_count.max(group.count)).sum();
    let fitness = |counts: &[u32]| {
        let mut all_counts: BTreeMap<&str, u32> =
            input.groups.iter().map(|group| (group.name.as_str(), group.count)).collect();
        groups.iter().zip(counts).for_each(|(group, count)| {
            all_counts.insert(&group.name, *count);
        });
        let r1 = if predictor.meets_slos(input, &all_counts, &load) { 1.0 } else { 0.0 };
        // c_max·n of the paper, with a separate c_max for each group
        let r2 = 1.0 - f64::from(counts.iter().sum::<u32>()) / f64::from(max_total.max(1));
        input.tuning.lambda * r1 + (1.0 - input.tuning.lambda) * r2
    };
    let (mut best, score) =
        genetic::search(range, input.tuning.population, input.tuning.generations, input.seed, &fitness);
    // a shrink that is expected to violate an SLO is not performed; a growth takes the best counts in any case
    if course == Course::Shrink && score < input.tuning.lambda {
        reasons.push("every smaller count is expected to break an SLO".into());
        best = groups.iter().map(|group| group.count).collect();
    }
    let moves: Vec<CountChange> = groups
        .iter()
        .zip(best)
        .filter(|(group, count)| group.count != *count)
        .map(|(group, to)| CountChange { group: group.name.clone(), from: group.count, to })
        .collect();
    let course = if moves.is_empty() { Course::Stay } else { course };
    Decision { course, abnormal, ranks, moves, predictor: predictor.name().into(), reasons, load }
}
