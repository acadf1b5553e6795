//! The list of servers: entered one by one by operators, or taken as a whole from a service directory.

use super::super::replica::{LeaderContext, Plan};
use super::super::view::{Event, Server};
use super::messages::{ControlCommand, ControlResponse, DirectoryChange, ListedServer};
use super::ControlStateMachine;
use crate::constants::MAX_SERVERS;
use crate::state::entry::to_bytes;
use std::collections::BTreeMap;

/// A cold server as this leader has observed it in the directory's polls.
pub(super) struct ColdObservation {
    /// Revision at which its cold phase began, and when a poll first showed it.
    since: u64,
    at: u64,
    /// Whether the directory itself has listed it as cold; otherwise that is only assumed.
    listed_cold: bool,
}

impl ControlStateMachine {
    pub(super) fn list_server(
        &mut self,
        revision: u64,
        name: String,
        group: String,
        addr: String,
        zone: String,
    ) -> ControlResponse {
        let old = self.state.view.servers.get(&name);
        // an identical listing changes nothing; otherwise it would mark a warm server as cold
        if old.is_some_and(|old| !old.leaving && (&old.group, &old.addr, &old.zone) == (&group, &addr, &zone)) {
            return ControlResponse::Committed(self.state.view.revision);
        }
        self.emit(
            revision,
            Event::Server(Server {
                name,
                group,
                addr,
                zone,
                leaving: false,
                warmup_revision: revision,
                started_at: 0,
                slots: 0,
                cold: false,
                listed_by_directory: false,
            }),
        );
        self.settle_and_respond(revision)
    }

    /// Proposes the differences between the directory's list and the committed state, if there are any.
    pub(super) fn plan_directory(
        &mut self,
        context: LeaderContext,
        term: u64,
        servers: &[ListedServer],
    ) -> Plan<ControlResponse> {
        if term != context.term {
            let why = "that list was polled under another term".to_string();
            return Plan::Reply(ControlResponse::Refused { code: "stale_term".into(), why });
        }
        if servers.len() > MAX_SERVERS {
            return Plan::Reply(too_many_servers());
        }
        let view = &self.state.view;
        let listed_names: std::collections::BTreeSet<&str> =
            servers.iter().map(|listing| listing.name.as_str()).collect();
        let mut changed = vec![];
        for listing in servers {
            let old = view.servers.get(&listing.name);
            // this list was requested after the previous one had arrived, but may be outdated by the directory's
            // lag. If the directory itself has listed the server as cold, its report that it no longer is suffices
            let confirmed = |observed: &&ColdObservation| {
                observed.listed_cold || self.directory_list_at >= observed.at + self.directory_lag_ms
            };
            let observation = self
                .cold_observations
                .get(&listing.name)
                .filter(|observed| old.is_some_and(|server| server.warmup_revision == observed.since));
            let cold_since = observation.filter(confirmed).map_or(0, |observed| observed.since);
            if old != Some(&updated_server(old, listing.clone(), cold_since, view.revision)) {
                changed.push(DirectoryChange { listing: listing.clone(), cold_since });
            }
        }
        let directory_servers = view.servers.values().filter(|server| server.listed_by_directory);
        let removed: Vec<String> = directory_servers
            .clone()
            .filter(|server| !listed_names.contains(server.name.as_str()))
            .map(|server| server.name.clone())
            .collect();
        let cold: BTreeMap<&str, bool> = servers.iter().map(|listing| (listing.name.as_str(), listing.cold)).collect();
        let mut cold_observations = BTreeMap::new();
        for server in directory_servers.filter(|server| server.cold) {
            let before =
                self.cold_observations.remove(&server.name).filter(|observed| observed.since == server.warmup_revision);
            let (at, listed_cold) = before.map_or((context.now, false), |observed| (observed.at, observed.listed_cold));
            let listed_cold = listed_cold || cold.get(server.name.as_str()) == Some(&true);
            cold_observations
                .insert(server.name.clone(), ColdObservation { since: server.warmup_revision, at, listed_cold });
        }
        self.cold_observations = cold_observations;
        self.directory_list_at = context.now;
        if changed.is_empty() && removed.is_empty() {
            return Plan::Reply(ControlResponse::Committed(view.revision));
        }
        Plan::Propose(to_bytes(&ControlCommand::DirectoryChanged { term, changed, removed }))
    }

    pub(super) fn apply_directory_changes(
        &mut self,
        revision: u64,
        changed: Vec<DirectoryChange>,
        removed: Vec<String>,
    ) -> ControlResponse {
        for change in changed {
            let old = self.state.view.servers.get(&change.listing.name);
            let new = updated_server(old, change.listing, change.cold_since, revision);
            if old != Some(&new) {
                self.emit(revision, Event::Server(new));
            }
        }
        for name in removed {
            if self.state.view.servers.get(&name).is_some_and(|server| server.listed_by_directory) {
                self.emit(revision, Event::ServerRemoved(name));
            }
        }
        self.settle_and_respond(revision)
    }

    pub(super) fn mark_leaving(&mut self, revision: u64, name: &str) -> ControlResponse {
        let Some(server) = self.state.view.servers.get(name).cloned() else {
            return ControlResponse::Unknown(format!("no server {name} is listed"));
        };
        self.emit(revision, Event::Server(Server { leaving: true, ..server }));
        self.settle_and_respond(revision)
    }

    /// Records what edges observed of a server's process. The server is cold again, and its warm-up begins anew, if the
    /// process has another start time than the recorded one, or if the server was away. Otherwise a first known start
    /// time is only recorded.
    pub(super) fn record_process(&mut self, revision: u64, name: &str, since: u64, started_at: u64, returned: bool) {
        // reported of an earlier process, or reported before
        let Some(server) = self.state.view.servers.get(name).filter(|s| s.warmup_revision == since).cloned() else {
            return;
        };
        let process_changed = server.started_at != 0 && started_at != 0 && started_at != server.started_at;
        if process_changed || returned || (started_at != 0 && server.started_at == 0) {
            let since = if process_changed || returned { revision } else { server.warmup_revision };
            self.emit(
                revision,
                Event::Server(Server {
                    warmup_revision: since,
                    started_at: if started_at != 0 { started_at } else { server.started_at },
                    ..server
                }),
            );
        }
    }
}

/// Returns the refusal of more servers than the control group has memory for.
pub(super) fn too_many_servers() -> ControlResponse {
    let why = format!("no more than {MAX_SERVERS} servers are listed at once");
    ControlResponse::Refused { code: "too_many_servers".into(), why }
}

/// Returns a server's record after the directory has listed it.
pub(super) fn updated_server(old: Option<&Server>, listing: ListedServer, cold_since: u64, revision: u64) -> Server {
    // a name identifies one incarnation of one server
    let old = old.filter(|old| (&old.group, &old.addr, &old.zone) == (&listing.group, &listing.addr, &listing.zone));
    Server {
        // lists are delayed, by varying times: a server that is leaving stays so
        leaving: listing.leaving || old.is_some_and(|old| old.leaving),
        // a newly listed server is cold until a list that was requested later says otherwise
        cold: listing.cold || old.is_none_or(|old| old.cold && old.warmup_revision != cold_since),
        warmup_revision: old.map_or(revision, |old| old.warmup_revision),
        started_at: old.map_or(0, |old| old.started_at),
        name: listing.name,
        group: listing.group,
        addr: listing.addr,
        zone: listing.zone,
        slots: listing.slots,
        listed_by_directory: true,
    }
}
