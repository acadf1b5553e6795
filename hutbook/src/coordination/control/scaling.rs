//! The control group's side of the scaler: collecting its input and applying its decisions.

use super::super::replica::{LeaderContext, Plan};
use super::super::scaler::{self, CallPair, Course, Decision, GroupState, Sample, ScalerInput};
use super::super::view::Event;
use super::leases::MergedWindow;
use super::messages::{ControlCommand, ControlRequest, ControlResponse, RecordedDecision};
use super::{ControlStateMachine, EXTERNAL_CLIENT};
use crate::constants::*;
use crate::state::entry::to_bytes;

impl ControlStateMachine {
    pub(super) fn record_decision(&mut self, revision: u64, term: u64, new_decision: Decision, sample: Sample) {
        let max_samples = self.state.view.config.as_ref().map_or(480, |config| config.scaler.max_samples) as usize;
        self.state.samples.push_back(sample);
        self.drop_oldest_samples(max_samples);
        // counted as in the scaler's input: the wanted number, for proxied groups at most the number of servers
        let outdated =
            new_decision.moves.iter().find(|step| self.state.view.capacity_and_target(&step.group).1 != step.from);
        let outcome = match outdated {
            Some(step) => format!("not applied: {} no longer stood at {}", step.group, step.from),
            None => {
                for step in &new_decision.moves {
                    let takes_all = self.state.view.is_proxied(&step.group)
                        && step.to >= self.state.view.capacity_and_target(&step.group).0;
                    // growing to all servers includes those that are listed later
                    let count = if takes_all { u32::MAX } else { step.to };
                    self.emit(revision, Event::WantedCount { group: step.group.clone(), count });
                }
                "applied".to_string()
            }
        };
        self.settle(revision);
        self.state.decisions.push_back(RecordedDecision { index: revision, term, decision: new_decision, outcome });
        while self.state.decisions.len() > MAX_RETAINED_DECISIONS {
            self.state.decisions.pop_front();
        }
    }

    /// Drops the oldest samples beyond the configured history and the bound on their counts.
    fn drop_oldest_samples(&mut self, max_samples: usize) {
        let samples = &mut self.state.samples;
        let counts = |sample: &Sample| sample.counts.len().max(sample.load.len());
        let mut total: usize = samples.iter().map(counts).sum();
        while samples.len() > max_samples || total > MAX_SAMPLE_COUNTS {
            let Some(dropped) = samples.pop_front() else { return };
            total -= counts(&dropped);
        }
    }

    /// Collects the input of one scaling decision.
    pub(super) fn scaling_input(&self, now: u64, term: u64) -> Option<ScalerInput> {
        let config = self.state.view.config.as_ref()?;
        if !config.policy.scaler {
            return None;
        }
        // the newest window is still being filled
        let windows: Vec<u64> = match (self.merged_windows.keys().next(), now / MEASUREMENT_WINDOW_MS) {
            (Some(first), current) => (*first..current).collect(),
            _ => return None,
        };
        let empty = MergedWindow::default();
        let window = |index: &u64| self.merged_windows.get(index).unwrap_or(&empty);
        let mut groups = vec![];
        for (name, group) in &config.groups {
            let (room, count) = self.state.view.capacity_and_target(name);
            let load = windows.iter().map(|index| {
                let matching = window(index).pairs.iter().filter(|((_, callee), _)| callee == name);
                matching.map(|(_, latencies)| latencies.count()).sum::<u64>() as f64 * 1_000.0
                    / MEASUREMENT_WINDOW_MS as f64
            });
            let metric = |kind: usize| {
                let value = |index: &u64| {
                    let group = window(index).groups.get(name);
                    group.map_or(
                        0.0,
                        |(sums, edges)| if kind == 3 { sums[kind] / f64::from((*edges).max(1)) } else { sums[kind] },
                    )
                };
                windows.iter().map(value).collect::<Vec<f64>>()
            };
            groups.push(GroupState {
                name: name.clone(),
                count,
                min_count: group.min_servers,
                max_count: room,
                slo_ms: group.slo_ms,
                in_flight: group.max_in_flight,
                load: load.collect(),
                metrics: (0..4).map(metric).collect(),
            });
        }
        let mut names: Vec<(String, String)> =
            windows.iter().flat_map(|index| window(index).pairs.keys().cloned()).collect();
        names.sort();
        names.dedup();
        let pairs = names.into_iter().map(|pair| {
            let windows =
                windows.iter().map(|index| window(index).pairs.get(&pair).cloned().unwrap_or_default()).collect();
            CallPair { caller: pair.0, callee: pair.1, windows }
        });
        Some(ScalerInput {
            groups,
            pairs: pairs.collect(),
            samples: self.state.samples.iter().cloned().collect(),
            tuning: config.scaler.clone(),
            seed: self.state.view.cluster ^ term.rotate_left(32) ^ self.state.view.revision,
            term,
            shrink_blocker: self.shrink_blocker(),
            windows_per_check: (SCALER_INTERVAL_MS / MEASUREMENT_WINDOW_MS) as usize,
        })
    }

    /// Returns why no group may shrink now, if there is a reason.
    pub(super) fn shrink_blocker(&self) -> Option<String> {
        let view = &self.state.view;
        if !view.evacuated_zones.is_empty() {
            return Some("a cell is evacuated".into());
        }
        if view.servers.values().any(|server| server.leaving) {
            return Some("servers are leaving, as in a roll-out".into());
        }
        if view.group_slots.values().flatten().any(|(_, slot)| slot.draining) {
            return Some("the step before is still draining".into());
        }
        None
    }

    pub(super) fn next_scaling_input(&mut self, context: LeaderContext) -> Option<ScalerInput> {
        let cooldown_ms = self.state.view.config.as_ref()?.scaler.cooldown_ms;
        if context.now < self.next_scaling_check || context.now < self.ledger.leader_since + cooldown_ms {
            return None;
        }
        let input = self.scaling_input(context.now, context.term)?;
        // too few measurements yet: check again after the next window, not after a whole check interval
        let too_early = input.groups.iter().all(|group| group.load.len() < input.windows_per_check);
        self.next_scaling_check = context.now + if too_early { MEASUREMENT_WINDOW_MS } else { SCALER_INTERVAL_MS };
        if too_early {
            return None;
        }
        Some(input)
    }

    pub(super) fn plan_scaling_decision(
        &mut self,
        context: LeaderContext,
        term: u64,
        decision: &Decision,
        sample: &Sample,
    ) -> Plan<ControlResponse> {
        if term != context.term {
            return Plan::Reply(ControlResponse::Refused {
                code: "stale_term".into(),
                why: "it was begun under another term".into(),
            });
        }
        let mut decision = decision.clone();
        if let Some(why) = self.outdated_reason(context, &decision) {
            decision.moves.clear();
            decision.course = Course::Stay;
            decision.reasons.push(why);
        }
        let command =
            ControlCommand::ScalingDecided { term, decision: Box::new(decision), sample: Box::new(sample.clone()) };
        Plan::Propose(to_bytes(&command))
    }

    /// Returns why a decision is outdated, if it is. The paper assumes a steady workload during the decision; this
    /// checks it.
    pub(super) fn outdated_reason(&self, context: LeaderContext, decision: &Decision) -> Option<String> {
        let input = self.scaling_input(context.now, context.term)?;
        let current_load = input.load();
        let outdated = decision.moves.iter().find(|step| {
            let (assumed, measured) = (
                decision.load.get(&step.group).copied().unwrap_or(0.0),
                current_load.get(&step.group).copied().unwrap_or(0.0),
            );
            (assumed - measured).abs() > input.tuning.max_workload_change * assumed.max(measured).max(1.0)
        })?;
        Some(format!("dropped: the workload of {} moved while it was decided", outdated.group))
    }
}

/// Runs the scaler on its input, outside of the control group's thread.
pub fn compute_scaling_decision(input: &ScalerInput) -> ControlRequest {
    ControlRequest::ScalingDecision {
        term: input.term,
        decision: Box::new(scaler::decide(input)),
        sample: Box::new(input.sample(EXTERNAL_CLIENT)),
    }
}
