//! TopoRank: personalised PageRank on the subgraph of abnormal groups, with edges weighted by correlation and
//! preferences given by the anomaly potential.

use super::ScalerInput;
use crate::state::histogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of iterations; the remaining error is then far below any relevant difference.
const MAX_ITERATIONS: usize = 100;

/// Returns the abnormal groups with their scores, most likely cause first.
pub fn rank(input: &ScalerInput, abnormal: &BTreeSet<String>) -> Vec<(String, f64)> {
    let nodes: Vec<&String> = abnormal.iter().collect();
    let index_of: BTreeMap<&String, usize> = nodes.iter().enumerate().map(|(i, group)| (*group, i)).collect();
    let mut successors: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); nodes.len()];
    for pair in &input.pairs {
        if let (Some(i), Some(j)) = (index_of.get(&pair.caller), index_of.get(&pair.callee)) {
            if i != j {
                successors[*i].insert(*j);
            }
        }
    }
    let anomalies: Vec<f64> = nodes.iter().map(|group| violations(input, group)).collect();
    let mut preference = potential(&successors, &anomalies, input.tuning.sigma);
    let sum: f64 = preference.iter().sum();
    // without any violation all start nodes are equal
    preference = preference.iter().map(|x| if sum > 0.0 { x / sum } else { 1.0 / nodes.len() as f64 }).collect();
    let tails: Vec<Vec<f64>> = nodes.iter().map(|group| tail_latencies(input, group)).collect();
    let weights: Vec<Vec<(usize, f64)>> = successors
        .iter()
        .enumerate()
        .map(|(i, targets)| targets.iter().map(|j| (*j, weight(input, &tails[i], nodes[*j], &tails[*j]))).collect())
        .collect();
    let scores = page_rank(&weights, &preference, input.tuning.delta);
    let mut out: Vec<(String, f64)> = nodes.into_iter().cloned().zip(scores).collect();
    out.sort_by(|x, y| y.1.total_cmp(&x.1).then(x.0.cmp(&y.0)));
    out
}

/// Returns the number of calls to the group that exceeded its bound within one check.
fn violations(input: &ScalerInput, group: &str) -> f64 {
    let Some(state) = input.groups.iter().find(|state| state.name == group) else { return 0.0 };
    let bound = state.slo_ms as f64 * (1.0 + input.tuning.alpha / 2.0);
    let incoming = input.pairs.iter().filter(|pair| pair.callee == group);
    incoming
        .flat_map(|pair| pair.windows.iter().rev().take(input.windows_per_check))
        .map(|window| window.count_over(bound) as f64)
        .sum()
}

/// φ_i = a_i + Σ over upstream j of a_j·e^{−(h_ji/σ)²}
pub fn potential(successors: &[BTreeSet<usize>], anomalies: &[f64], sigma: f64) -> Vec<f64> {
    let mut result = anomalies.to_vec();
    for (j, anomaly) in anomalies.iter().enumerate() {
        for (i, distance) in hops(successors, j) {
            result[i] += anomaly * (-(f64::from(distance) / sigma).powi(2)).exp();
        }
    }
    result
}

/// Returns the minimum number of hops from `start` to every node downstream of it. `start` itself is excluded, even on
/// a cycle.
fn hops(successors: &[BTreeSet<usize>], start: usize) -> BTreeMap<usize, u32> {
    let mut distances = BTreeMap::from([(start, 0)]);
    let mut queue = VecDeque::from([start]);
    while let Some(node) = queue.pop_front() {
        for successor in &successors[node] {
            if !distances.contains_key(successor) {
                distances.insert(*successor, distances[&node] + 1);
                queue.push_back(*successor);
            }
        }
    }
    distances.remove(&start);
    distances
}

/// Returns the tail latency of the calls to a group, by window.
fn tail_latencies(input: &ScalerInput, group: &str) -> Vec<f64> {
    let incoming: Vec<_> = input.pairs.iter().filter(|pair| pair.callee == group).collect();
    let windows = incoming.iter().map(|pair| pair.windows.len()).max().unwrap_or(0);
    (0..windows)
        .map(|index| {
            let mut merged = Histogram::default();
            incoming.iter().filter_map(|pair| pair.windows.get(index)).for_each(|window| merged.merge(window));
            merged.quantile(0.9).unwrap_or(0.0)
        })
        .collect()
}

/// P_ij: the strongest correlation of i's tail latency with any metric of j.
fn weight(input: &ScalerInput, tail_i: &[f64], j: &str, tail_j: &[f64]) -> f64 {
    let group = input.groups.iter().find(|group| group.name == j);
    let metrics = group.into_iter().flat_map(|group| group.metrics.iter().chain([&group.load]));
    metrics.map(Vec::as_slice).chain([tail_j]).filter_map(|metric| pearson(tail_i, metric)).fold(0.0, f64::max)
}

/// Returns Pearson's correlation; `None` if it is undefined: too few values, or one side is constant.
pub fn pearson(x: &[f64], y: &[f64]) -> Option<f64> {
    let n = x.len().min(y.len());
    if n < 3 {
        return None;
    }
    let (x, y) = (&x[x.len() - n..], &y[y.len() - n..]);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / n as f64;
    let (mx, my) = (mean(x), mean(y));
    let dot = |f: &dyn Fn(usize) -> f64| (0..n).map(f).sum::<f64>();
    let (xx, yy) = (dot(&|i| (x[i] - mx).powi(2)), dot(&|i| (y[i] - my).powi(2)));
    let xy = dot(&|i| (x[i] - mx) * (y[i] - my));
    (xx > 0.0 && yy > 0.0).then(|| xy / (xx * yy).sqrt())
}

/// Iterates v = (1−δ)·Pᵀv + δ·u on row-normalised weights. The formula printed in the paper has P instead of Pᵀ; with
/// P_ij from i to downstream j that would move suspicion upstream, which contradicts the paper's text and figure.
pub fn page_rank(weights: &[Vec<(usize, f64)>], preference: &[f64], delta: f64) -> Vec<f64> {
    let mut scores = preference.to_vec();
    for _ in 0..MAX_ITERATIONS {
        let mut next = vec![0.0; scores.len()];
        let mut dangling = 0.0;
        for (i, row) in weights.iter().enumerate() {
            let sum: f64 = row.iter().map(|(_, weight)| weight).sum();
            if sum > 0.0 {
                row.iter().for_each(|(j, weight)| next[*j] += scores[i] * weight / sum);
            } else {
                // a node without outgoing weight: the walk restarts by preference
                dangling += scores[i];
            }
        }
        let updated: Vec<f64> = next
            .iter()
            .zip(preference)
            .map(|(next, preference)| (1.0 - delta) * (next + dangling * preference) + delta * preference)
            .collect();
        let change: f64 = updated.iter().zip(&scores).map(|(a, b)| (a - b).abs()).sum();
        scores = updated;
        if change < 1e-12 {
            break;
        }
    }
    scores
}

#[cfg(test)]
mod tests;
