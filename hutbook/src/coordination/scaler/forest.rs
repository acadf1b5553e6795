//! R1: predicts whether given counts meet the SLOs under a workload. Uses a random forest once the history is
//! sufficient, and a capacity rule until then.

use super::{tail_mean, GroupState, Sample, ScalerInput};
use smartcore::ensemble::random_forest_classifier::{RandomForestClassifier, RandomForestClassifierParameters};
use smartcore::linalg::basic::matrix::DenseMatrix;
use std::collections::BTreeMap;

/// Share of a group's slots that may be in use before requests are expected to queue.
const MAX_UTILIZATION: f64 = 0.8;
/// Minimum balanced accuracy on held-back samples for the forest to be used.
const MIN_ACCURACY: f64 = 0.65;
/// One sample in this many is held back to measure the forest's accuracy.
const HOLDOUT_INTERVAL: usize = 4;
const TREES: u16 = 40;

type Forest = RandomForestClassifier<f64, u32, DenseMatrix<f64>, Vec<u32>>;

pub struct SloPredictor {
    forest: Option<Forest>,
    names: Vec<String>,
}

fn features(names: &[String], counts: &dyn Fn(&str) -> f64, load: &dyn Fn(&str) -> f64) -> Vec<f64> {
    // load per server combines both vectors, and is the best feature for a tree to split on
    names.iter().flat_map(|name| [counts(name), load(name), load(name) / counts(name).max(1.0)]).collect()
}

fn features_of(names: &[String], sample: &Sample) -> Vec<f64> {
    let counts = |name: &str| f64::from(sample.counts.get(name).copied().unwrap_or(0));
    features(names, &counts, &|name| sample.load.get(name).copied().unwrap_or(0.0))
}

fn fit(names: &[String], samples: &[&Sample], seed: u64) -> Option<Forest> {
    let inputs: Vec<Vec<f64>> = samples.iter().map(|sample| features_of(names, sample)).collect();
    let labels: Vec<u32> = samples.iter().map(|sample| u32::from(sample.slos_met)).collect();
    let parameters = RandomForestClassifierParameters::default().with_n_trees(TREES).with_max_depth(8).with_seed(seed);
    Forest::fit(&DenseMatrix::from_2d_vec(&inputs).ok()?, &labels, parameters).ok()
}

fn predict(forest: &Forest, features: Vec<f64>) -> Option<u32> {
    let matrix = DenseMatrix::from_2d_vec(&vec![features]).ok()?;
    forest.predict(&matrix).ok()?.first().copied()
}

/// Returns the balanced accuracy: the mean of the hit rates of both labels.
fn balanced_accuracy(names: &[String], forest: &Forest, holdout: &[&Sample]) -> f64 {
    let rate = |ok: bool| {
        let samples: Vec<_> = holdout.iter().filter(|sample| sample.slos_met == ok).collect();
        let hits =
            samples.iter().filter(|sample| predict(forest, features_of(names, sample)) == Some(u32::from(ok))).count();
        if samples.is_empty() {
            0.0
        } else {
            hits as f64 / samples.len() as f64
        }
    };
    (rate(true) + rate(false)) / 2.0
}

impl SloPredictor {
    pub fn new(input: &ScalerInput, reasons: &mut Vec<String>) -> SloPredictor {
        let names: Vec<String> = input.groups.iter().map(|group| group.name.clone()).collect();
        let good = input.samples.iter().filter(|sample| sample.slos_met).count() as u32;
        let bad = input.samples.len() as u32 - good;
        if good.min(bad) < input.tuning.min_samples_per_label {
            reasons.push(format!(
                "capacity rule: {good} samples held and {bad} broke, {} of each are wanted",
                input.tuning.min_samples_per_label
            ));
            return SloPredictor { forest: None, names };
        }
        let numbered = input.samples.iter().enumerate();
        let (holdout, training): (Vec<_>, Vec<_>) =
            numbered.partition(|(i, _)| i % HOLDOUT_INTERVAL == HOLDOUT_INTERVAL - 1);
        let cloned = |samples: Vec<(usize, &'_ Sample)>| {
            samples.into_iter().map(|(_, sample)| sample.clone()).collect::<Vec<_>>()
        };
        let (holdout, training) = (cloned(holdout), cloned(training));
        let candidate = fit(&names, &training.iter().collect::<Vec<_>>(), input.seed);
        let score =
            candidate.map_or(0.0, |forest| balanced_accuracy(&names, &forest, &holdout.iter().collect::<Vec<_>>()));
        if score < MIN_ACCURACY {
            reasons.push(format!("capacity rule: the forest scored {score:.2} on samples it had not seen"));
            return SloPredictor { forest: None, names };
        }
        reasons.push(format!("forest: {score:.2} balanced accuracy on samples it had not seen"));
        let forest = fit(&names, &input.samples.iter().collect::<Vec<_>>(), input.seed);
        SloPredictor { forest, names }
    }

    pub fn name(&self) -> &'static str {
        if self.forest.is_some() {
            "forest"
        } else {
            "capacity"
        }
    }

    pub fn meets_slos(&self, input: &ScalerInput, counts: &BTreeMap<&str, u32>, load: &BTreeMap<String, f64>) -> bool {
        let count_of = |name: &str| f64::from(counts.get(name).copied().unwrap_or(0));
        let load_of = |name: &str| load.get(name).copied().unwrap_or(0.0);
        match &self.forest {
            Some(forest) => predict(forest, features(&self.names, &count_of, &load_of)) == Some(1),
            None => {
                input.groups.iter().all(|group| fits_capacity(group, count_of(&group.name), input.windows_per_check))
            }
        }
    }
}

/// The capacity rule: queued and running requests fit into the slots with spare capacity.
fn fits_capacity(group: &GroupState, count: f64, span: usize) -> bool {
    let required: f64 = group.metrics.iter().take(2).map(|values| tail_mean(values, span)).sum();
    // a group that can't have more servers must not prevent a solution for the others
    required <= MAX_UTILIZATION * count * f64::from(group.in_flight) || count >= f64::from(group.max_count)
}

#[cfg(test)]
mod tests;
