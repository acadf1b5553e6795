//! Where proxied requests go: one edge's belief about the servers that take them.
//!
//! Warm servers turn surplus away unharmed, so they are shared softly, by what answers tell. Cold ones would fall
//! over: there the controller's numbers bind, over any second.

mod choose;
mod routes;
mod server;

pub use routes::service_of;

use super::view::{hash, Server, View};
use crate::constants::*;
use crate::state::config::{Group, PassGroup};
use routes::RouteTable;
use server::ServerState;
use std::collections::{BTreeMap, BTreeSet};

/// What one request needs of a server.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Parts of its prompt in order: (id, tokens).
    pub parts: Vec<(u64, u32)>,
    /// Where its line of turns ran last.
    pub last_server: String,
    /// Servers it has been to.
    pub tried: Vec<String>,
    /// It can't be tried again if it goes wrong: suspect servers come last.
    pub once_only: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub server: String,
    pub addr: String,
    pub service: String,
    /// Connections that this edge may have open to it.
    pub max_connections: u32,
    /// Tokens of its prompt that the server must still read, as believed here.
    pub unread_tokens: u32,
}

/// How a request left its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Success,
    /// It was turned away: the server is full, or the request's time was over.
    TurnedAway,
    /// Another server stands at the address.
    WrongServer,
    /// It failed, was silent or broke off.
    Failed,
    /// Ended from this side; says nothing of the server.
    Cancelled,
}

/// The servers of one service.
struct ServicePool {
    settings: PassGroup,
    servers: BTreeMap<String, ServerState>,
    /// This edge's requests under way, over all servers.
    in_flight: u32,
    /// ms. How long a request takes here, smoothed.
    took_ms: f64,
}

/// One edge's belief about all servers that take proxied requests.
#[derive(Default)]
pub struct Balancer {
    zone: String,
    pools: BTreeMap<String, ServicePool>,
    /// Edges that hold a lease.
    edges: u32,
    /// Prompt parts remembered at the most: over all servers, and for each of them.
    max_parts: usize,
    max_parts_each: usize,
    routes: RouteTable,
    revision: u64,
}

impl Balancer {
    pub fn new(zone: &str) -> Balancer {
        let max_parts = PROMPT_PARTS_BYTES / PROMPT_PART_BYTES;
        Balancer { zone: zone.into(), max_parts, max_parts_each: PASS_PARTS, ..Balancer::default() }
    }

    /// From now on so many prompt parts are remembered at the most, over all servers.
    pub fn limit_parts(&mut self, max_parts: usize) {
        self.max_parts = max_parts;
        self.divide_parts();
    }

    /// Prompt parts that are remembered now, over all servers.
    pub fn parts(&self) -> usize {
        self.pools.values().flat_map(|pool| pool.servers.values()).map(ServerState::cached_parts).sum()
    }

    /// Divides what may be remembered among the servers there are.
    fn divide_parts(&mut self) {
        let servers: usize = self.pools.values().map(|pool| pool.servers.len()).sum();
        let each = (self.max_parts / servers.max(1)).clamp(PROMPT_PARTS_LEAST, PASS_PARTS);
        self.max_parts_each = each;
        let all = self.pools.values_mut().flat_map(|pool| pool.servers.values_mut());
        all.for_each(|server| server.forget_oldest_parts(each));
    }

    /// Takes the controller's newest word.
    pub fn follow(&mut self, view: &View, cold_rates: &BTreeMap<String, u32>, edges: u32) {
        self.edges = edges.max(1);
        if self.revision != view.rev {
            self.revision = view.rev;
            self.learn(view);
        }
        for (name, server) in self.pools.values_mut().flat_map(|pool| &mut pool.servers) {
            // one that is cold and for which this edge has no number gets nothing from it
            let is_cold = view.servers.get(name).is_some_and(|listed| listed.cold);
            server.cold_rate = cold_rates.get(name).copied().or(is_cold.then_some(0));
        }
    }

    fn learn(&mut self, view: &View) {
        let Some(config) = &view.config else { return };
        self.routes = RouteTable::new(config);
        let settings_of = |(name, group): (&String, &Group)| Some((name.clone(), group.pass.clone()?));
        let mut services: BTreeMap<String, PassGroup> = view.fading.iter().filter_map(settings_of).collect();
        services.extend(config.groups.iter().filter_map(settings_of));
        self.pools.retain(|name, pool| services.contains_key(name) || pool.in_flight > 0);
        for (name, settings) in services {
            self.learn_service(view, name, settings);
        }
        self.divide_parts();
    }

    fn learn_service(&mut self, view: &View, service: String, settings: PassGroup) {
        let is_usable = |server: &&Server| server.group == service && view.usable(&server.name);
        let usable: BTreeSet<&String> = view.servers.values().filter(is_usable).map(|server| &server.name).collect();
        let pool = self.pools.entry(service.clone()).or_insert_with(|| ServicePool {
            settings: settings.clone(),
            servers: BTreeMap::new(),
            in_flight: 0,
            took_ms: 0.0,
        });
        pool.settings = settings;
        pool.servers.retain(|name, _| usable.contains(name));
        for name in usable {
            let listed = &view.servers[name];
            let server = pool.servers.entry(name.clone()).or_default();
            if server.addr != listed.addr {
                *server = ServerState::new(hash(name));
            }
            server.addr.clone_from(&listed.addr);
            server.zone.clone_from(&listed.cell);
            server.slots = listed.slots.max(1);
        }
    }

    /// Name of the route of a request: the longest prefix of its host's that begins its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&str> {
        self.routes.find(host, path)
    }

    /// The best server for a request now, of which a place is then taken.
    pub fn choose(&mut self, now: u64, service: &str, request: &PlacementRequest) -> Option<Placement> {
        let pool = self.pools.get_mut(service)?;
        let name = choose::choose(now, &self.zone, pool, request)?;
        let max_connections = match pool.settings.sessions_most {
            0 => POOLED as u32,
            most => (most / self.edges.max(1)).max(2),
        };
        pool.in_flight += 1;
        let server = pool.servers.get_mut(&name)?;
        let unread_tokens = server.unread_tokens(&request.parts);
        server.note_sent(now, &request.parts, self.max_parts_each);
        let addr = server.addr.clone();
        Some(Placement { server: name, addr, service: service.into(), max_connections, unread_tokens })
    }

    /// May this server get work still?
    pub fn is_usable(&self, service: &str, server: &str) -> bool {
        let found = self.pools.get(service).and_then(|pool| pool.servers.get(server));
        found.is_some_and(|server| !server.is_replaced)
    }

    /// Is there any server that a request could wait for?
    pub fn has_candidate(&self, service: &str, tried: &[String]) -> bool {
        let Some(pool) = self.pools.get(service) else { return false };
        pool.servers.iter().any(|(name, server)| !server.is_replaced && !tried.contains(name))
    }

    fn server_mut(&mut self, placement: &Placement) -> Option<&mut ServerState> {
        self.pools.get_mut(&placement.service)?.servers.get_mut(&placement.server)
    }

    /// What an answer said of its server's load.
    pub fn note_load(&mut self, now: u64, placement: &Placement, running: u32, waiting: u32) {
        if let Some(server) = self.server_mut(placement) {
            server.note_load(now, running, waiting);
        }
    }

    /// A request left its server after `took_ms` there.
    pub fn finish(&mut self, now: u64, placement: &Placement, took_ms: u64, outcome: Outcome) {
        let Some(pool) = self.pools.get_mut(&placement.service) else { return };
        pool.in_flight = pool.in_flight.saturating_sub(1);
        if outcome == Outcome::Success {
            let took = took_ms as f64;
            pool.took_ms = if pool.took_ms == 0.0 { took } else { pool.took_ms * 0.95 + took * 0.05 };
        }
        if let Some(server) = pool.servers.get_mut(&placement.server) {
            server.note_outcome(now, outcome);
        }
    }

    /// (service, requests under way, servers) for the windows that the scaler reads.
    pub fn in_flight(&self) -> Vec<(String, u32, usize)> {
        self.pools.iter().map(|(name, pool)| (name.clone(), pool.in_flight, pool.servers.len())).collect()
    }
}
