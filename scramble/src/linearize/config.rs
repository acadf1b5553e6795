//! Model of the configuration: a register with compare-and-set on its revision or on the operator's own number.

use super::{Call, Model};
use crate::observations::{ControlInvocation, ControlOutcome, ControlRecord, Observations};
use std::collections::{BTreeMap, BTreeSet};

/// The decision on a change when it was first applied. A resent change gets the same answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Accepted at this revision, if an answer has reported it.
    Accepted(Option<u64>),
    /// Overtaken by this version, if an answer has reported the final one.
    Overtaken(Option<u64>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigState {
    /// The active document; 0 before the first one.
    pub document: u64,
    /// Revision of the active document, if known.
    pub revision: Option<u64>,
    pub number: u64,
    /// Decisions on the changes that were sent more than once.
    pub decisions: BTreeMap<String, Decision>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ConfigOperation {
    pub order: ControlInvocation,
    pub outcome: ControlOutcome,
}

/// The configuration register of one day.
#[derive(Default)]
pub struct ConfigModel {
    /// Changes that were sent more than once.
    resent: BTreeSet<String>,
    /// Revision of each accepted change that some answer of the day reports.
    revisions: BTreeMap<String, u64>,
}

fn is_config(seen: &ControlRecord) -> bool {
    matches!(
        seen.order,
        ControlInvocation::PutConfig { .. } | ControlInvocation::ReadConfig | ControlInvocation::ReadNumber
    )
}

impl ConfigModel {
    pub fn of(observed: &Observations) -> ConfigModel {
        let mut model = ConfigModel::default();
        let mut sent = BTreeSet::new();
        for seen in observed.control_operations.iter().filter(|seen| is_config(seen)) {
            let ControlInvocation::PutConfig { change, .. } = &seen.order else { continue };
            if !sent.insert(change.clone()) {
                model.resent.insert(change.clone());
            }
            if let ControlOutcome::Accepted(revision) = seen.outcome {
                model.revisions.insert(change.clone(), revision);
            }
        }
        model
    }

    pub fn calls(&self, observed: &Observations) -> Vec<Call<ConfigOperation>> {
        let config_orders = observed.control_operations.iter().filter(|seen| is_config(seen));
        config_orders
            .map(|seen| Call {
                invoked_at: seen.from,
                responded_at: seen.until,
                operation: ConfigOperation { order: seen.order.clone(), outcome: seen.outcome.clone() },
            })
            .collect()
    }

    fn record_decision(&self, state: &mut ConfigState, change: &str, decision: Decision) {
        if self.resent.contains(change) {
            state.decisions.insert(change.into(), decision);
        }
    }

    /// Returns the possible states after a change is applied for the first time with this outcome.
    fn apply_first(
        &self,
        state: &ConfigState,
        order: &ControlInvocation,
        outcome: &ControlOutcome,
    ) -> Vec<ConfigState> {
        let ControlInvocation::PutConfig { base, number, .. } = order else { return vec![] };
        // the base of a change without a number is a revision, which no answer may have reported yet
        let current = if *number == 0 { state.revision } else { Some(state.number) };
        let increases = *number == 0 || number > base;
        let mut after = vec![];
        if increases && current.is_none_or(|current| current == *base) {
            after.extend(self.accept(state, order, outcome));
        }
        if !increases || current.is_none_or(|current| current != *base) {
            after.extend(self.overtake(state, order, outcome, current.filter(|_| increases)));
        }
        after
    }

    fn accept(&self, state: &ConfigState, order: &ControlInvocation, outcome: &ControlOutcome) -> Option<ConfigState> {
        let ControlInvocation::PutConfig { number, change, document, .. } = order else { return None };
        let revision = self.revisions.get(change).copied();
        let matches_outcome = match outcome {
            ControlOutcome::Accepted(reported) => revision == Some(*reported),
            outcome => *outcome == ControlOutcome::Unclear,
        };
        // revisions increase
        let increases = revision.is_none_or(|new| state.revision.is_none_or(|old| new > old));
        let mut after = state.clone();
        (after.document, after.revision, after.number) = (*document, revision, *number);
        self.record_decision(&mut after, change, Decision::Accepted(revision));
        (matches_outcome && increases).then_some(after)
    }

    /// The refusal names the version that replaced the base, or the active one if the base is in the future.
    fn overtake(
        &self,
        state: &ConfigState,
        order: &ControlInvocation,
        outcome: &ControlOutcome,
        current: Option<u64>,
    ) -> Option<ConfigState> {
        let ControlInvocation::PutConfig { base, change, .. } = order else { return None };
        let is_base_ahead = current.is_some_and(|current| *base > current);
        let matches_outcome = match outcome {
            ControlOutcome::Overtaken(by) if is_base_ahead => current == Some(*by),
            ControlOutcome::Overtaken(by) => by >= base && current.is_none_or(|current| *by <= current),
            outcome => *outcome == ControlOutcome::Unclear,
        };
        let by = match outcome {
            ControlOutcome::Overtaken(by) if !is_base_ahead => Some(*by),
            _ => None,
        };
        let mut after = state.clone();
        self.record_decision(&mut after, change, Decision::Overtaken(by));
        matches_outcome.then_some(after)
    }

    /// A resent change has no effect and gets the answer that the first one got or would have got.
    fn apply_resent(
        &self,
        state: &ConfigState,
        change: &str,
        decision: Decision,
        outcome: &ControlOutcome,
    ) -> Vec<ConfigState> {
        let mut after = state.clone();
        let matches_decision = match (decision, outcome) {
            (_, ControlOutcome::Unclear) => true,
            (Decision::Accepted(known), ControlOutcome::Accepted(reported)) => {
                known.is_none_or(|known| known == *reported)
            }
            (Decision::Overtaken(Some(known)), ControlOutcome::Overtaken(reported)) => known == *reported,
            (Decision::Overtaken(None), ControlOutcome::Overtaken(reported)) => {
                self.record_decision(&mut after, change, Decision::Overtaken(Some(*reported)));
                true
            }
            _ => false,
        };
        if matches_decision {
            vec![after]
        } else {
            vec![]
        }
    }

    fn apply_put(&self, state: &ConfigState, order: &ControlInvocation, outcome: &ControlOutcome) -> Vec<ConfigState> {
        let ControlInvocation::PutConfig { change, .. } = order else { return vec![] };
        match state.decisions.get(change) {
            Some(decision) => self.apply_resent(state, change, *decision, outcome),
            None => self.apply_first(state, order, outcome),
        }
    }
}

impl Model for ConfigModel {
    type State = ConfigState;
    type Operation = ConfigOperation;

    fn initial(&self) -> ConfigState {
        ConfigState { revision: Some(0), ..ConfigState::default() }
    }

    fn step(&self, state: &ConfigState, operation: &ConfigOperation) -> Vec<ConfigState> {
        let known = |reported: &u64| state.revision.is_none_or(|revision| revision == *reported);
        let with_revision = |revision: u64| vec![ConfigState { revision: Some(revision), ..state.clone() }];
        match (&operation.order, &operation.outcome) {
            (ControlInvocation::PutConfig { .. }, ControlOutcome::Refused) => vec![state.clone()],
            (ControlInvocation::PutConfig { .. }, outcome) => self.apply_put(state, &operation.order, outcome),
            (_, ControlOutcome::Config { revision, document }) if known(revision) && state.document == *document => {
                with_revision(*revision)
            }
            (ControlInvocation::ReadConfig, ControlOutcome::Nothing) if state.document == 0 => vec![state.clone()],
            (_, ControlOutcome::Number { revision, number }) if known(revision) && state.number == *number => {
                with_revision(*revision)
            }
            (ControlInvocation::ReadConfig | ControlInvocation::ReadNumber, ControlOutcome::Unclear) => {
                vec![state.clone()]
            }
            _ => vec![],
        }
    }
}
