//! Status of the control group for operators, as JSON.

use super::super::replica::LeaderContext;
use super::messages::{ControlRequest, RecordedDecision};
use super::ControlStateMachine;
use crate::state::entry::{Member, Members};

impl ControlStateMachine {
    pub(super) fn status_json(&self, context: LeaderContext, request: &ControlRequest) -> Option<jzon::JsonValue> {
        let view = &self.state.view;
        Some(match request {
            ControlRequest::Configs => {
                let mut list = jzon::array![];
                for (revision, _, change) in &self.state.configs {
                    let _ = list.push(jzon::object! { revision: *revision, change: change.as_str() });
                }
                list
            }
            ControlRequest::Servers => {
                let mut list = jzon::array![];
                for server in view.servers.values() {
                    let _ = list.push(jzon::object! {
                        name: server.name.as_str(), group: server.group.as_str(), address: server.addr.as_str(),
                        cell: server.zone.as_str(), leaving: server.leaving, usable: view.is_usable(&server.name),
                        listed_at: server.warmup_revision, busy: self.ledger.busy(&server.name), slots: server.slots, cold: server.cold,
                    });
                }
                list
            }
            ControlRequest::Evacuation(zone) => {
                let revision = *view.evacuated_zones.get(zone)?;
                let waiting: Vec<String> = self
                    .ledger
                    .edges
                    .iter()
                    .filter(|(_, edge)| edge.lease_until >= context.now && edge.applied_revision < revision)
                    .map(|(node, _)| format_id(*node))
                    .collect();
                jzon::object! {
                    cell: zone.as_str(), revision: revision, done: self.ledger.all_applied(context.now, revision),
                    waiting_for: waiting,
                }
            }
            ControlRequest::Retirement(node) => {
                let remaining = view.stores.values().any(|group| group.actual.iter().any(|member| member.id == *node));
                if !self.state.retired_nodes.contains(node) {
                    return None;
                }
                jzon::object! { node: format_id(*node), done: !remaining }
            }
            ControlRequest::RetirementNamed(name) => {
                if !self.knows_store_name(name) {
                    return None;
                }
                jzon::object! { name: name.as_str(), done: self.is_retired(context.now, name) }
            }
            ControlRequest::Members => members_json(&self.members),
            ControlRequest::Placements => {
                let mut groups = jzon::object! {};
                for (group, places) in &view.group_slots {
                    let (room, wanted) = view.capacity_and_target(group);
                    let mut list = jzon::array![];
                    for (server, slot) in places {
                        let _ = list.push(
                            jzon::object! { server: server.as_str(), since: slot.since_revision, draining: slot.draining },
                        );
                    }
                    groups[group.as_str()] = jzon::object! { wanted: wanted, room: room, servers: list };
                }
                groups
            }
            ControlRequest::Scaler => {
                let mut list = jzon::array![];
                for recorded in &self.state.decisions {
                    let _ = list.push(decision_json(recorded));
                }
                let met = self.state.samples.iter().filter(|sample| sample.slos_met).count();
                jzon::object! { samples: self.state.samples.len(), samples_held: met, decisions: list }
            }
            ControlRequest::Status => {
                let mut stores = jzon::object! {};
                for (id, group) in &view.stores {
                    let ids =
                        |members: &[Member]| members.iter().map(|member| format_id(member.id)).collect::<Vec<_>>();
                    stores[id.to_string()] = jzon::object! { wanted: ids(&group.wanted), actual: ids(&group.actual) };
                }
                let silent = self
                    .store_nodes
                    .values()
                    .filter(|store| context.now > store.last_check_in + self.shape.repair_ms)
                    .count();
                let mut edges = jzon::array![];
                for (node, edge) in &self.ledger.edges {
                    let _ = edges.push(jzon::object! {
                        node: format_id(*node), address: edge.addr.as_str(), cell: edge.zone.as_str(),
                        licensed: edge.lease_until >= context.now, revision: edge.applied_revision,
                    });
                }
                jzon::object! {
                    cluster: format_id(view.cluster), term: context.term, revision: view.revision, config_revision: view.config_revision,
                    config_number: view.config_number, core: members_json(&self.members), edges: edges, stores: stores,
                    silent_stores: silent, servers: view.servers.len(), evacuated: view.evacuated_zones.keys().cloned().collect::<Vec<_>>(),
                }
            }
            _ => return None,
        })
    }
}

pub fn format_id(id: u64) -> String {
    format!("{id:016x}")
}

pub fn members_json(members: &Members) -> jzon::JsonValue {
    let list = |list: &[Member]| {
        list.iter()
            .map(|member| jzon::object! { node: format_id(member.id), address: member.addr.as_str() })
            .collect::<Vec<_>>()
    };
    jzon::object! { voters: list(&members.voters), learners: list(&members.learners) }
}

pub(super) fn decision_json(recorded: &RecordedDecision) -> jzon::JsonValue {
    let decision = &recorded.decision;
    let ranks: Vec<jzon::JsonValue> =
        decision.ranks.iter().map(|(group, score)| jzon::object! { group: group.as_str(), score: *score }).collect();
    let moves: Vec<jzon::JsonValue> = decision
        .moves
        .iter()
        .map(|step| jzon::object! { group: step.group.as_str(), from: step.from, to: step.to })
        .collect();
    let mut load = jzon::object! {};
    decision.load.iter().for_each(|(group, rate)| load[group.as_str()] = (*rate).into());
    jzon::object! {
        index: recorded.index, term: recorded.term, course: format!("{:?}", decision.course).to_lowercase(),
        abnormal: decision.abnormal.clone(), ranks: ranks, moves: moves, judge: decision.predictor.as_str(),
        reasons: decision.reasons.clone(), load: load, outcome: recorded.outcome.as_str(),
    }
}
