//! The configuration: a register changed by compare-and-set on its revision, or on the operator's own number.

use super::{Call, Model};
use crate::saw::{Order, OrderSeen, Outcome, Saw};
use std::collections::{BTreeMap, BTreeSet};

/// What was decided on a change when it was first applied; a repeat of it is answered the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Accepted, at this revision where an answer has told it.
    Accepted(Option<u64>),
    /// Overtaken by what was in force then, where an answer has told it.
    Overtaken(Option<u64>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigState {
    /// Document in force: 0 before the first.
    pub document: u64,
    /// Its revision, where it is known.
    pub revision: Option<u64>,
    pub number: u64,
    /// Only of changes that were sent more than once.
    pub decisions: BTreeMap<String, Decision>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ConfigOperation {
    pub order: Order,
    pub outcome: Outcome,
}

/// The register of one day.
#[derive(Default)]
pub struct Configs {
    /// Changes that were sent more than once.
    repeated: BTreeSet<String>,
    /// Revision of each accepted change, where any answer of the day tells it.
    revisions: BTreeMap<String, u64>,
}

fn is_config(seen: &OrderSeen) -> bool {
    matches!(seen.order, Order::PutConfig { .. } | Order::ReadConfig | Order::ReadNumber)
}

impl Configs {
    pub fn of(saw: &Saw) -> Configs {
        let mut model = Configs::default();
        let mut once = BTreeSet::new();
        for seen in saw.orders.iter().filter(|seen| is_config(seen)) {
            let Order::PutConfig { change, .. } = &seen.order else { continue };
            if !once.insert(change.clone()) {
                model.repeated.insert(change.clone());
            }
            if let Outcome::Accepted(revision) = seen.outcome {
                model.revisions.insert(change.clone(), revision);
            }
        }
        model
    }

    pub fn calls(&self, saw: &Saw) -> Vec<Call<ConfigOperation>> {
        let ours = saw.orders.iter().filter(|seen| is_config(seen));
        ours.map(|seen| Call {
            from: seen.from,
            until: seen.until,
            operation: ConfigOperation { order: seen.order.clone(), outcome: seen.outcome.clone() },
        })
        .collect()
    }

    fn decide(&self, state: &mut ConfigState, change: &str, decision: Decision) {
        if self.repeated.contains(change) {
            state.decisions.insert(change.into(), decision);
        }
    }

    /// The first time that a change is applied: what becomes of it, and what is answered.
    fn first(&self, state: &ConfigState, order: &Order) -> Option<(ConfigState, Decision)> {
        let Order::PutConfig { base, number, change, document } = order else { return None };
        let mut after = state.clone();
        // the base of an order without a number is a revision, which may not be known yet
        let (fits, current) = match number {
            0 => (state.revision.is_none_or(|revision| revision == *base), state.revision),
            _ => (state.number == *base && *number > state.number, Some(state.number)),
        };
        if !fits {
            let decision = Decision::Overtaken(current);
            self.decide(&mut after, change, decision);
            return Some((after, decision));
        }
        let revision = self.revisions.get(change).copied();
        // revisions rise
        if revision.is_some_and(|new| state.revision.is_some_and(|old| new <= old)) {
            return None;
        }
        (after.document, after.revision, after.number) = (*document, revision, *number);
        self.decide(&mut after, change, Decision::Accepted(revision));
        Some((after, Decision::Accepted(revision)))
    }

    fn put(&self, state: &ConfigState, order: &Order, outcome: &Outcome) -> Vec<ConfigState> {
        let Order::PutConfig { change, .. } = order else { return vec![] };
        let applied = match state.decisions.get(change) {
            Some(decision) => Some((state.clone(), *decision)),
            None => self.first(state, order),
        };
        let mut after = vec![];
        if let Some((next, decision)) = applied {
            after.extend(agrees(decision, outcome).then_some(next));
        }
        // a revision that nobody has told yet may be another than the base
        let unknown = matches!(order, Order::PutConfig { number: 0, .. }) && state.revision.is_none();
        if unknown && !state.decisions.contains_key(change) {
            let mut next = state.clone();
            if let Outcome::Overtaken(current) = outcome {
                next.revision = Some(*current);
            }
            let decision = Decision::Overtaken(next.revision);
            self.decide(&mut next, change, decision);
            after.extend(agrees(decision, outcome).then_some(next));
        }
        after
    }
}

/// Could this decision have been answered so?
fn agrees(decision: Decision, outcome: &Outcome) -> bool {
    match (decision, outcome) {
        (_, Outcome::Unclear) => true,
        (Decision::Accepted(known), Outcome::Accepted(told)) => known.is_none_or(|known| known == *told),
        (Decision::Overtaken(known), Outcome::Overtaken(told)) => known.is_none_or(|known| known == *told),
        _ => false,
    }
}

impl Model for Configs {
    type State = ConfigState;
    type Operation = ConfigOperation;

    fn initial(&self) -> ConfigState {
        ConfigState { revision: Some(0), ..ConfigState::default() }
    }

    fn step(&self, state: &ConfigState, operation: &ConfigOperation) -> Vec<ConfigState> {
        let known = |told: &u64| state.revision.is_none_or(|revision| revision == *told);
        let learnt = |revision: u64| vec![ConfigState { revision: Some(revision), ..state.clone() }];
        match (&operation.order, &operation.outcome) {
            (Order::PutConfig { .. }, Outcome::Refused) => vec![state.clone()],
            (Order::PutConfig { .. }, outcome) => self.put(state, &operation.order, outcome),
            (_, Outcome::Config { revision, document }) if known(revision) && state.document == *document => {
                learnt(*revision)
            }
            (Order::ReadConfig, Outcome::Nothing) if state.document == 0 => vec![state.clone()],
            (_, Outcome::Number { revision, number }) if known(revision) && state.number == *number => {
                learnt(*revision)
            }
            (Order::ReadConfig | Order::ReadNumber, Outcome::Unclear) => vec![state.clone()],
            _ => vec![],
        }
    }
}
