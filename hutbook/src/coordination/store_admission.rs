//! Admission control of a store group: decides which new work its leader admits while the state approaches its bound.
//!
//! Each class of work is refused above a threshold, a share of the bound. Below its threshold there is a slope for
//! first turns: there a token bucket admits them at the rate at which programs leave the state. So the state settles on
//! the slope, and programs under way have free space above it. Requests that end work are not subject to admission:
//! they are always accepted.
//!
//! Pure and deterministic. Only the leader decides, before anything is proposed. All members measure the space that
//! expiry frees, so that a new leader continues at the rate of the previous one.

use crate::constants::*;
use std::collections::BTreeMap;

messages! {
    /// Class of a request to a store, for admission control.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum WorkClass {
        /// The first turn of a program, on a route that stores turns.
        #[n(0)] FirstKept,
        /// The first turn of a program, on a route that doesn't store turns.
        #[n(1)] FirstUnkept,
        /// A turn of a program that has had one already, or one that continues a stored turn.
        #[n(2)] NextKept,
        /// A further turn, on a route that doesn't store turns.
        #[n(3)] NextUnkept,
    }
    /// A refusal: no part of the request was or will be executed.
    #[derive(Copy, Eq)]
    pub struct Refusal {
        #[n(0)] pub class: WorkClass,
        /// Time after which the client may retry, in milliseconds.
        #[n(1)] pub retry_after_ms: u64,
        /// How long an edge refuses this class without asking, in milliseconds.
        #[n(2)] pub hold_ms: u64,
    }
}

impl WorkClass {
    pub fn of(is_first: bool, is_kept: bool) -> WorkClass {
        match (is_first, is_kept) {
            (true, true) => WorkClass::FirstKept,
            (true, false) => WorkClass::FirstUnkept,
            (false, true) => WorkClass::NextKept,
            (false, false) => WorkClass::NextUnkept,
        }
    }

    fn is_first(self) -> bool {
        matches!(self, WorkClass::FirstKept | WorkClass::FirstUnkept)
    }

    /// Factor on the bound that applies to routes which store turns.
    fn bound_factor(self) -> f64 {
        match self {
            WorkClass::FirstKept | WorkClass::NextKept => 1.0,
            WorkClass::FirstUnkept | WorkClass::NextUnkept => UNRETAINED_TURN_STATE_FACTOR,
        }
    }
}

/// Utilization of the state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The highest ratio of usage to bound, over all bounds.
    pub occupancy: f64,
    pub programs: usize,
    /// Size of the whole state, in bytes.
    pub bytes: usize,
}

impl Load {
    /// Computes the load from several (used, bound) pairs, in any units.
    pub fn new(uses: &[(usize, usize)], programs: usize, bytes: usize) -> Load {
        let share = |(used, bound): &(usize, usize)| *used as f64 / (*bound).max(1) as f64;
        Load { occupancy: uses.iter().map(share).fold(0.0, f64::max), programs, bytes }
    }

    /// Returns the mean size of a program with all its turns, in bytes.
    fn program_bytes(&self) -> f64 {
        self.bytes as f64 / self.programs.max(1) as f64
    }
}

/// A rate with exponentially decaying memory.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    /// Decayed sum of all amounts as of `at`.
    sum: f64,
    at: u64,
    /// Time of the first amount.
    since: Option<u64>,
}

impl DecayingRate {
    fn sum(&self, now: u64) -> f64 {
        self.sum * decay_factor(now.saturating_sub(self.at))
    }

    fn add(&mut self, now: u64, amount: f64) {
        self.sum = self.sum(now) + amount;
        self.at = self.at.max(now);
        self.since.get_or_insert(now);
    }

    /// Returns the rate per millisecond; `None` until an amount was added.
    fn per_ms(&self, now: u64) -> Option<f64> {
        let measured_ms = now.saturating_sub(self.since?).max(MIN_ADMISSION_SAMPLE_MS);
        Some(self.sum(now) / (ADMISSION_AVERAGING_MS as f64 * (1.0 - decay_factor(measured_ms))))
    }
}

/// Returns the share of an amount that still counts after `passed_ms`.
fn decay_factor(passed_ms: u64) -> f64 {
    (-(passed_ms as f64) / ADMISSION_AVERAGING_MS as f64).exp()
}

/// Admission control of one replica of a store group. All times are in milliseconds on the store's clock.
#[derive(Clone, Debug, Default)]
pub struct StoreAdmission {
    /// Bytes that expiry has freed.
    freed: DecayingRate,
    refused: BTreeMap<WorkClass, DecayingRate>,
    /// Tokens for first turns.
    tokens: f64,
    refilled_at: u64,
}

impl StoreAdmission {
    /// Records that expiry has freed `bytes`.
    pub fn note_freed(&mut self, clock: u64, bytes: usize) {
        if bytes > 0 {
            self.freed.add(clock, bytes as f64);
        }
    }

    /// Resets for a new leader: it starts with an empty bucket, and continues at the rate that was measured before.
    pub fn reset_for_new_leader(&mut self, clock: u64) {
        self.tokens = 0.0;
        self.refilled_at = clock;
        self.refused.clear();
    }

    /// Admits or refuses a request; a first turn on the slope takes tokens. Must not be called for requests that end
    /// work.
    pub fn admit(&mut self, clock: u64, class: WorkClass, load: &Load) -> Result<(), Refusal> {
        let rate = self.programs_per_ms(clock, load);
        self.refill(clock, rate);
        let slope = slope(class, load.occupancy);
        if slope >= 1.0 {
            return Ok(());
        }
        let is_on_slope = class.is_first() && slope >= MIN_ADMISSION_SLOPE;
        let cost = if is_on_slope { ADMISSION_SLOPE_MIDPOINT / slope } else { f64::INFINITY };
        if self.tokens >= cost {
            self.tokens -= cost;
            return Ok(());
        }
        self.refused.entry(class).or_default().add(clock, 1.0 / PLANS_PER_REFUSAL);
        Err(self.refusal(clock, class, load, rate, cost))
    }

    /// Returns the measured rate at which programs leave the state, per millisecond and with a lower bound.
    fn programs_per_ms(&self, clock: u64, load: &Load) -> f64 {
        let programs = load.programs.max(1) as f64;
        match self.freed.per_ms(clock) {
            Some(bytes) => (bytes / load.program_bytes().max(1.0)).max(programs / MAX_TURNOVER_MS as f64),
            None => programs / DEFAULT_TURNOVER_MS as f64,
        }
    }

    fn refill(&mut self, clock: u64, rate: f64) {
        let elapsed_ms = clock.saturating_sub(self.refilled_at) as f64;
        // at least the cost of the most expensive turn, which would never be admitted otherwise
        let max_tokens = (rate * ADMISSION_BURST_MS as f64).max(ADMISSION_SLOPE_MIDPOINT / MIN_ADMISSION_SLOPE);
        self.tokens = (self.tokens + rate * elapsed_ms).min(max_tokens);
        self.refilled_at = self.refilled_at.max(clock);
    }

    fn refusal(&self, clock: u64, class: WorkClass, load: &Load, rate: f64, cost: f64) -> Refusal {
        let excess = (load.occupancy - class.bound_factor()).max(0.0) * load.programs as f64;
        let missing = if cost.is_finite() { cost - self.tokens } else { 1.0 + excess };
        let hold = missing / rate;
        // clients that were refused recently retry as well: the retry time accounts for all of them
        let waiting = self.refused.get(&class).and_then(|refusals| refusals.per_ms(clock)).unwrap_or(0.0)
            * ADMISSION_BACKLOG_MS as f64;
        let retry_after = (missing + waiting) / rate;
        Refusal {
            class,
            retry_after_ms: (retry_after as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
            hold_ms: (hold as u64).clamp(MIN_LOCAL_REFUSAL_MS, MAX_LOCAL_REFUSAL_MS),
        }
    }
}

/// Returns 1 if a class is admitted without limit, 0 if it is refused, and a value in between on its slope.
fn slope(class: WorkClass, occupancy: f64) -> f64 {
    let share = occupancy / class.bound_factor();
    let (start, end) = if class.is_first() { FIRST_TURN_SLOPE } else { (1.0, 1.0) };
    match share {
        share if share < start => 1.0,
        share if share >= end => 0.0,
        share => (end - share) / (end - start),
    }
}

#[cfg(test)]
mod tests;
