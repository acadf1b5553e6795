//! Leases of edges: what each edge may send to which server, and the measurements that renewals carry.

use super::super::replica::LeaderContext;
use super::messages::{ControlResponse, LeaseGrant, LeaseRenewal, ViewUpdate, Window};
use super::ControlStateMachine;
use crate::constants::*;
use crate::state::histogram::Histogram;
use std::collections::BTreeMap;

/// One measuring window, merged over all edges.
#[derive(Default, Clone)]
pub(super) struct MergedWindow {
    pub(super) pairs: BTreeMap<(String, String), Histogram>,
    /// Queued and in progress (sums over the edges), pressure (maximum) and cache (sum); number of edges that reported.
    pub(super) groups: BTreeMap<String, ([f64; 4], u32)>,
}

impl ControlStateMachine {
    pub(super) fn renew_lease(&mut self, context: LeaderContext, renewal: LeaseRenewal) -> ControlResponse {
        self.merge_windows(context.now, renewal.node, renewal.windows);
        // a grant number of another term has no meaning here
        let acknowledged_grant = if renewal.term == context.term { renewal.last_grant } else { 0 };
        self.ledger.record_renewal(
            context.now,
            renewal.node,
            acknowledged_grant,
            renewal.applied_revision,
            &renewal.zone,
            &renewal.addr,
            renewal.demand,
            renewal.slot_reports,
        );
        self.ledger.process_changes(context.now, &self.state.view, renewal.node, &mut self.process_changes);
        let (no, shares) = self.ledger.grant(context.now, &self.state.view, renewal.node);
        let cold = self.ledger.cold_rates(context.now, &self.state.view, renewal.node);
        self.fleet_health.record_report(context.now, &self.state.view, renewal.node, renewal.reports);
        let fleet = self.fleet_health.digest(context.now, &self.state.view);
        let update = match self.journal.since(renewal.applied_revision) {
            Some(events)
                if renewal.applied_revision <= self.state.view.revision
                    && (renewal.applied_revision > 0 || self.state.view.revision == 0) =>
            {
                ViewUpdate::Events(events)
            }
            _ => ViewUpdate::FullView(Box::new(self.state.view.clone())),
        };
        ControlResponse::Grant(Box::new(LeaseGrant {
            number: no,
            term: context.term,
            revision: self.state.view.revision,
            update,
            shares,
            cold_rates: cold,
            live_edges: self.ledger.live_edges(context.now) as u32,
            fleet_digest: fleet,
        }))
    }

    pub(super) fn merge_windows(&mut self, now: u64, node: u64, windows: Vec<Window>) {
        for window in windows {
            if self.last_windows.get(&node).is_some_and(|last| window.sequence <= *last) {
                continue;
            }
            self.last_windows.insert(node, window.sequence);
            // aligned by its end on this leader's clock
            let slot = now.saturating_sub(window.age_ms) / MEASUREMENT_WINDOW_MS;
            let merged = self.merged_windows.entry(slot).or_default();
            for (caller, callee, latencies) in window.pairs {
                merged.pairs.entry((caller, callee)).or_default().merge(&latencies);
            }
            for (group, queued, in_progress, pressure, cache) in window.groups {
                let sums = merged.groups.entry(group).or_default();
                sums.0[0] += queued;
                sums.0[1] += in_progress;
                sums.0[2] = sums.0[2].max(pressure);
                sums.0[3] += cache;
                sums.1 += 1;
            }
        }
        let oldest = (now / MEASUREMENT_WINDOW_MS).saturating_sub(MAX_WINDOWS as u64);
        self.merged_windows = self.merged_windows.split_off(&oldest);
    }
}
