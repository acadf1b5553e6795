//! Processes: they end only when requested, in time and with success, and don't leak files or threads in the quiet
//! period.

use super::super::history::{Incarnation, Micros, Records, StopRequest};
use super::{Bounds, Finding};
use crate::process_fleet::Exit;
use rustix::process::Signal;
use std::collections::BTreeMap;

/// Maximum average growth of files or threads per sample in the quiet period: one in ten samples.
const MAX_GROWTH_PER_SAMPLE: f64 = 0.1;
/// Time after a start during which SIGTERM may kill the process, in microseconds. It doesn't handle signals yet and has
/// no requests in progress.
const SIGNAL_SETUP: Micros = 2_000_000;
const BY_SIGTERM: Exit = Exit::Signal(Signal::TERM.as_raw());
/// Minimum number of samples for a meaningful slope.
const MIN_SAMPLES: usize = 6;

fn frozen_within(incarnation: &Incarnation, from: Micros, to: Micros) -> Micros {
    incarnation.frozen.iter().map(|(a, b)| to.min(*b).saturating_sub(from.max(*a))).sum()
}

fn end_violation(incarnation: &Incarnation, records: &Records, bounds: &Bounds) -> Option<String> {
    let (at, exit) = match (incarnation.ended, incarnation.stop_request) {
        (None, StopRequest::Terminate(requested_at))
            if records.end > requested_at + bounds.grace + frozen_within(incarnation, requested_at, records.end) =>
        {
            return Some("was asked to stop and is still running".into())
        }
        (None, _) => return None,
        (Some(ended), _) => ended,
    };
    match incarnation.stop_request {
        StopRequest::Nothing => Some(format!("ended unexpectedly with {exit:?}")),
        StopRequest::Kill(_) => None,
        StopRequest::Terminate(requested_at)
            if at > requested_at + bounds.grace + frozen_within(incarnation, requested_at, at) =>
        {
            Some(format!("took {} ms to stop", (at - requested_at) / 1_000))
        }
        StopRequest::Terminate(requested_at)
            if exit == BY_SIGTERM && requested_at < incarnation.started + SIGNAL_SETUP =>
        {
            None
        }
        StopRequest::Terminate(_) if exit != Exit::Code(0) => {
            Some(format!("was asked to stop and ended with {exit:?}"))
        }
        StopRequest::Terminate(_) => None,
    }
}

/// Returns the least-squares slope over the indexes of the samples.
fn slope(values: &[f64]) -> f64 {
    let count = values.len() as f64;
    let (mean_x, mean_y) = ((count - 1.0) / 2.0, values.iter().sum::<f64>() / count);
    let sum_of = |f: fn(f64, f64) -> f64| -> f64 {
        values.iter().enumerate().map(|(x, y)| f(x as f64 - mean_x, y - mean_y)).sum()
    };
    sum_of(|x, y| x * y) / sum_of(|x, _| x * x)
}

pub(super) fn process_ends(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = vec![];
    for incarnation in &records.incarnations {
        if let Some(violation) = end_violation(incarnation, records, bounds) {
            let at = incarnation.ended.map_or(records.end, |(at, _)| at);
            let description = format!("{} (life {}) {violation}", incarnation.process, incarnation.number);
            findings.push(Finding { judge: "ends of processes", at, description });
        }
    }
    findings.extend(growth(records));
    findings
}

/// Checks the growth of files and threads in the quiet period. Edges keep recently used connections to servers open, so
/// these are subtracted from their files.
fn growth(records: &Records) -> Vec<Finding> {
    let mut series: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for sample in &records.samples {
        let mut add = |name: String, value: f64| series.entry(name).or_default().push(value);
        for usage in &sample.usages {
            add(format!("threads of {} (life {})", usage.process, usage.incarnation), usage.threads as f64);
            if !usage.is_edge {
                add(format!("files of {} (life {})", usage.process, usage.incarnation), usage.files as f64);
            }
        }
        let edges: u64 = sample.usages.iter().filter(|usage| usage.is_edge).map(|usage| usage.files).sum();
        add("files of edges without connections to servers".into(), edges as f64 - sample.open_at_servers as f64);
    }
    let growing = series.into_iter().filter(|(_, values)| values.len() >= MIN_SAMPLES && is_growing(values));
    let to_finding =
        |(name, values)| Finding { judge: "growth", at: records.end, description: format!("{name}: {values:?}") };
    growing.map(to_finding).collect()
}

/// Returns true if the values grow in both halves. A single step, such as edges connecting to a new leader, is not
/// growth.
fn is_growing(values: &[f64]) -> bool {
    let (first, second) = values.split_at(values.len() / 2);
    [first, second].iter().all(|half| slope(half) > MAX_GROWTH_PER_SAMPLE && half.last() > half.first())
}
