//! Evacuating a zone, and undoing that.

use super::super::replica::{LeaderContext, Plan};
use super::super::view::{Event, Server};
use super::messages::{ControlCommand, ControlResponse};
use super::ControlStateMachine;
use crate::constants::*;

impl ControlStateMachine {
    /// Returns the command for an evacuation, or why it is refused. A zone exists if one of its machines or
    /// servers has ever been seen, whether or not it is still there.
    pub(super) fn plan_evacuation(
        &self,
        context: LeaderContext,
        zone: String,
        evacuated: bool,
    ) -> Result<ControlCommand, Plan<ControlResponse>> {
        let evacuated_zones = &self.state.view.evacuated_zones;
        if evacuated && evacuated_zones.len() >= MAX_ZONES && !evacuated_zones.contains_key(&zone) {
            let why = format!("{MAX_ZONES} zones are evacuated already");
            return Err(Plan::Reply(ControlResponse::Refused { code: "too_many_zones".into(), why }));
        }
        if self.knows_zone(&zone) {
            return Ok(ControlCommand::Evacuate { zone, evacuated });
        }
        if !self.has_heard_all(context.now) {
            return Err(Plan::Reply(ControlResponse::Busy));
        }
        Err(Plan::Reply(ControlResponse::Unknown(format!("no machine or server of a zone {zone} has been heard of"))))
    }

    fn knows_zone(&self, zone: &str) -> bool {
        // beyond the bound, a zone may have been seen without being recorded
        self.state.zones.contains(zone)
            || self.state.zones.len() >= MAX_ZONES
            || self.state.view.evacuated_zones.contains_key(zone)
            || self.machine_zones().any(|known| known == zone)
    }

    /// Returns the zones of the machines that this leader has heard from.
    fn machine_zones(&self) -> impl Iterator<Item = &String> {
        let stores = self.store_nodes.values().map(|node| &node.zone);
        let edges = self.ledger.edges.values().map(|edge| &edge.zone);
        stores.chain(self.controller_zones.values()).chain(edges)
    }

    /// Returns the command that records the next zone for later leaders.
    pub(super) fn next_zone(&self) -> Option<ControlCommand> {
        if self.state.zones.len() >= MAX_ZONES {
            return None;
        }
        let unrecorded = self.machine_zones().find(|zone| !zone.is_empty() && !self.state.zones.contains(*zone));
        unrecorded.map(|zone| ControlCommand::ZoneSeen(zone.clone()))
    }

    pub(super) fn record_zone(&mut self, zone: &str) {
        if self.state.zones.len() < MAX_ZONES && !self.state.zones.contains(zone) {
            self.state.zones.insert(zone.to_string());
        }
    }

    pub(super) fn evacuate(&mut self, revision: u64, zone: String, evacuated: bool) -> ControlResponse {
        if let Some(evacuated_at) = self.state.view.evacuated_zones.get(&zone).filter(|_| evacuated) {
            return ControlResponse::Committed(*evacuated_at);
        }
        if evacuated {
            let view = &self.state.view;
            // for proxied requests, the edges themselves report that no server is left
            let mut unproxied =
                view.servers.values().filter(|server| !view.is_proxied(&server.group) && !server.listed_by_directory);
            let others_remain = view.servers.values().any(|server| {
                server.zone != zone && !view.evacuated_zones.contains_key(&server.zone) && !server.leaving
            });
            let proxies =
                view.config.as_ref().is_some_and(|config| config.groups.values().any(|group| group.proxy.is_some()));
            if !others_remain && (!proxies || unproxied.next().is_some()) {
                let why = format!("no server outside {zone} would be left to take its work");
                return ControlResponse::Refused { code: "last_cell".into(), why };
            }
        }
        if !evacuated && self.state.view.evacuated_zones.contains_key(&zone) {
            // the servers may have become cold meanwhile: they count as cold until the directory reports otherwise
            let view = &self.state.view;
            let returning =
                view.servers.values().filter(|server| server.zone == zone && server.listed_by_directory).cloned();
            for server in returning.collect::<Vec<_>>() {
                self.emit(revision, Event::Server(Server { cold: true, warmup_revision: revision, ..server }));
            }
        }
        self.emit(revision, Event::ZoneEvacuation { zone, evacuated });
        self.settle_and_respond(revision)
    }
}
