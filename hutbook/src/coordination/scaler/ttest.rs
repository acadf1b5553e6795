//! Redundancy test: whether the current workload is significantly below β times the past one.

use super::{GroupState, ScalerInput};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Number of consecutive checks that form the busiest period of the past.
const BUSIEST_CHECKS: usize = 4;

/// Welch's one-sided t-test that `current` has a lower mean than `past`. Returns (t, p-value); `None` if neither side
/// varies.
pub fn welch(current: &[f64], past: &[f64]) -> Option<(f64, f64)> {
    let moments = |values: &[f64]| {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        (count, mean, values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0))
    };
    let ((nc, mc, vc), (np, mp, vp)) = (moments(current), moments(past));
    let (sc, sp) = (vc / nc, vp / np);
    if sc + sp <= 0.0 {
        return None;
    }
    let t = (mc - mp) / (sc + sp).sqrt();
    let df = (sc + sp).powi(2) / (sc * sc / (nc - 1.0) + sp * sp / (np - 1.0));
    let distribution = StudentsT::new(0.0, 1.0, df).ok()?;
    Some((t, distribution.cdf(t)))
}

pub fn is_redundant(input: &ScalerInput, group: &GroupState, reasons: &mut Vec<String>) -> bool {
    let current: Vec<f64> = group.load.iter().rev().take(input.windows_per_check).copied().collect();
    if current.len() < input.windows_per_check || current.len() < 2 {
        reasons.push(format!("{}: too few windows to call it redundant", group.name));
        return false;
    }
    let past = past_load(input, group);
    // no request in the whole history: the group is idle, and no test is needed
    if current.iter().chain(&past).all(|load| *load == 0.0) && past.len() >= BUSIEST_CHECKS {
        reasons.push(format!("{}: no request in the whole past", group.name));
        return true;
    }
    if past.len() < 2 {
        reasons.push(format!("{}: too little past to call it redundant", group.name));
        return false;
    }
    let past: Vec<f64> = past.iter().map(|load| load * input.tuning.beta).collect();
    match welch(&current, &past) {
        Some((t, p)) => {
            let is_lower = t < 0.0 && p < input.tuning.p;
            if is_lower {
                reasons.push(format!(
                    "{}: workload below {} of its past (t = {t:.2}, p = {p:.4})",
                    group.name, input.tuning.beta
                ));
            }
            is_lower
        }
        None => {
            // neither side varies, so the means alone decide
            let is_lower = current[0] < past[0];
            if is_lower {
                reasons.push(format!("{}: workload steady and below {} of its past", group.name, input.tuning.beta));
            }
            is_lower
        }
    }
}

/// Returns the busiest period of the history that the control group retains, or the windows before this check if the
/// history is too short.
fn past_load(input: &ScalerInput, group: &GroupState) -> Vec<f64> {
    let history: Vec<f64> = input.samples.iter().filter_map(|sample| sample.load.get(&group.name).copied()).collect();
    let sum = |window: &[f64]| window.iter().sum::<f64>();
    match history.windows(BUSIEST_CHECKS).max_by(|a, b| sum(a).total_cmp(&sum(b))) {
        Some(window) => window.to_vec(),
        None => group.load[..group.load.len() - input.windows_per_check].to_vec(),
    }
}

#[cfg(test)]
mod tests;
