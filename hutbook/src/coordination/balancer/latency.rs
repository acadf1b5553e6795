//! Latency models learned from answers: a smoothed mean with its deviation, and a linear regression over the number of
//! uncached prompt tokens. Samples soon outweigh the priors that both start with.

use crate::constants::*;

/// A smoothed mean and mean deviation, as TCP uses for round-trip times (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyModel {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl LatencyModel {
    pub(super) fn add(&mut self, ms: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            (self.mean_ms, self.deviation_ms) = (ms, ms / 2.0);
            return;
        }
        // the first few samples have equal weight, so that the first one doesn't dominate for long
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.samples));
        self.deviation_ms += weight * ((ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += weight * (ms - self.mean_ms);
    }

    /// Returns the mean plus `deviations` deviations, in milliseconds; `None` until there are enough samples.
    pub(super) fn bound(&self, deviations: f64) -> Option<f64> {
        (self.samples >= MIN_LATENCY_SAMPLES).then_some(self.mean_ms + deviations * self.deviation_ms)
    }
}

/// Linear regression `ms = base + per_token * tokens` with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadModel {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for ReadModel {
    /// The prior: two points on the line of an inference engine with a large model.
    fn default() -> Self {
        let mut model = ReadModel { weight: 0.0, tokens: 0.0, ms: 0.0, tokens_squared: 0.0, tokens_ms: 0.0 };
        for tokens in [0.0, READ_PRIOR_TOKENS] {
            model.accumulate(tokens, tokens / PRIOR_READ_TOKENS_PER_MS, READ_PRIOR_WEIGHT);
        }
        model
    }
}

impl ReadModel {
    fn accumulate(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_ms += weight * tokens * ms;
    }

    /// Adds a sample: a prompt with `tokens` uncached tokens had its first event after `ms`.
    pub(super) fn add(&mut self, tokens: f64, ms: f64) {
        for sum in [&mut self.weight, &mut self.tokens, &mut self.ms, &mut self.tokens_squared, &mut self.tokens_ms] {
            *sum *= READ_DECAY;
        }
        self.accumulate(tokens, ms, 1.0);
    }

    /// Returns the cost of each uncached token in milliseconds, from a tenth of the prior to ten times the prior.
    pub(super) fn ms_per_token(&self) -> f64 {
        let prior = 1.0 / PRIOR_READ_TOKENS_PER_MS;
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        if spread <= 0.0 {
            return prior;
        }
        let slope = (self.weight * self.tokens_ms - self.tokens * self.ms) / spread;
        slope.clamp(prior / 10.0, prior * 10.0)
    }
}
