//! Removal of state about machines that are gone, so that the controller's memory does not grow with them.

use super::ControlStateMachine;
use crate::constants::*;
use crate::state::entry::Member;

impl ControlStateMachine {
    /// Drops the leader's data on machines that are gone.
    pub(super) fn prune_departed(&mut self, now: u64) {
        let edges = &self.ledger.edges;
        self.last_windows.retain(|edge, _| edges.contains_key(edge));
        let view = &self.state.view;
        let in_a_group = |id: u64| {
            view.stores.values().any(|group| group.wanted.iter().chain(&group.actual).any(|member| member.id == id))
        };
        self.store_nodes.retain(|id, node| now < node.last_check_in + NODE_RETENTION_MS || in_a_group(*id));
    }

    /// Records an id that must not join again. Beyond the bound, the oldest ids are dropped, except those of members.
    pub(super) fn record_retired(&mut self, id: u64) {
        if self.state.retired_nodes.contains(&id) {
            return;
        }
        self.state.retired_nodes.push(id);
        let mut excess = self.state.retired_nodes.len().saturating_sub(MAX_RETIRED_NODES);
        let view = &self.state.view;
        let stores = view.stores.values().flat_map(|group| group.wanted.iter().chain(&group.actual));
        let members: Vec<u64> = stores.chain(&view.controllers).map(|member: &Member| member.id).collect();
        self.state.retired_nodes.retain(|old| {
            let drop = excess > 0 && *old != id && !members.contains(old);
            excess -= usize::from(drop);
            !drop
        });
    }

    /// Records a controller's zone. Beyond the bound, only the zones of members and this one are kept.
    pub(super) fn record_controller_zone(&mut self, id: u64, zone: String) {
        self.controller_zones.insert(id, zone);
        if self.controller_zones.len() > MAX_CORE_ZONES {
            let members = &self.members;
            self.controller_zones.retain(|known, _| *known == id || members.all().any(|member| member.id == *known));
        }
    }
}
