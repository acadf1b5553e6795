//! Model of a zone's evacuation: set, cleared and read.

use super::{Call, Model};
use crate::observations::{ControlInvocation, ControlOutcome, Observations};
use std::collections::BTreeSet;

/// Evacuation of one zone. The state is the revision of the active evacuation.
pub struct EvacuationModel;

/// Revision of an evacuation, which no answer may have reported yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EvacuationRevision {
    Unknown,
    Revision(u64),
}

impl EvacuationRevision {
    /// Whether it may be this revision, which is then known from now on.
    fn may_be(self, revision: u64) -> bool {
        self == EvacuationRevision::Unknown || self == EvacuationRevision::Revision(revision)
    }

    fn may_not_exceed(self, revision: u64) -> bool {
        match self {
            EvacuationRevision::Unknown => true,
            EvacuationRevision::Revision(since) => since <= revision,
        }
    }
}

/// A command or a read of one zone with its outcome.
pub type ZoneOperation = (ControlInvocation, ControlOutcome);

impl EvacuationModel {
    pub fn zones(observed: &Observations) -> BTreeSet<String> {
        let zone = |order: &ControlInvocation| match order {
            ControlInvocation::Evacuate { zone, .. } | ControlInvocation::ReadEvacuation { zone } => Some(zone.clone()),
            _ => None,
        };
        observed.control_operations.iter().filter_map(|seen| zone(&seen.order)).collect()
    }

    pub fn calls(observed: &Observations, wanted: &str) -> Vec<Call<ZoneOperation>> {
        let zone_orders = observed.control_operations.iter().filter(
            |seen| matches!(&seen.order, ControlInvocation::Evacuate { zone, .. } | ControlInvocation::ReadEvacuation { zone } if zone == wanted),
        );
        zone_orders
            .map(|seen| Call {
                invoked_at: seen.from,
                responded_at: seen.until,
                operation: (seen.order.clone(), seen.outcome.clone()),
            })
            .collect()
    }
}

impl Model for EvacuationModel {
    type State = Option<EvacuationRevision>;
    type Operation = ZoneOperation;

    fn initial(&self) -> Self::State {
        None
    }

    fn step(&self, state: &Self::State, (order, outcome): &Self::Operation) -> Vec<Self::State> {
        match (order, outcome, state) {
            (ControlInvocation::Evacuate { out: true, .. }, ControlOutcome::Accepted(revision), None) => {
                vec![Some(EvacuationRevision::Revision(*revision))]
            }
            // already evacuated: the answer may report any revision since then
            (ControlInvocation::Evacuate { out: true, .. }, ControlOutcome::Accepted(revision), Some(since))
                if since.may_not_exceed(*revision) =>
            {
                vec![*state]
            }
            (ControlInvocation::Evacuate { out: true, .. }, ControlOutcome::Unclear, None) => {
                vec![Some(EvacuationRevision::Unknown)]
            }
            (
                ControlInvocation::Evacuate { out: false, .. },
                ControlOutcome::Accepted(_) | ControlOutcome::Unclear,
                _,
            ) => vec![None],
            (
                ControlInvocation::Evacuate { .. },
                ControlOutcome::Refused | ControlOutcome::Nothing | ControlOutcome::Unclear,
                _,
            ) => vec![*state],
            (ControlInvocation::ReadEvacuation { .. }, ControlOutcome::Nothing, None) => vec![None],
            (ControlInvocation::ReadEvacuation { .. }, ControlOutcome::Evacuated(revision), Some(since))
                if since.may_be(*revision) =>
            {
                vec![Some(EvacuationRevision::Revision(*revision))]
            }
            (ControlInvocation::ReadEvacuation { .. }, ControlOutcome::Unclear, _) => vec![*state],
            _ => vec![],
        }
    }
}
