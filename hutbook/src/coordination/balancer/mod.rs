//! Load balancing of proxied requests: one edge's state of the servers that handle them.
//!
//! Warm servers refuse surplus requests without harm, so they are shared without hard limits, by the load that answers
//! report. Cold servers would fail under surplus load: for them the controller's rates are binding over any second.

mod choose;
mod latency;
mod server;

use super::view::{hash, Server, View};
use crate::constants::*;
use crate::coordination::fleet_health::{FleetDigest, ServerReport, Verdict};
use crate::state::config::{Group, Policy, ProxyGroup};
use choose::Choice;
use latency::{LatencyModel, ReadModel};
use server::ServerState;
use std::collections::{BTreeMap, BTreeSet};

/// What one request requires from a server.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Parts of its prompt, in order: (id, tokens).
    pub prompt_parts: Vec<(u64, u32)>,
    /// Server of the previous turn of its conversation.
    pub last_server: String,
    /// Servers that it has already been sent to.
    pub tried_servers: Vec<String>,
    /// It can't be retried after a failure: suspect servers are avoided.
    pub at_most_once: bool,
    /// Identifier of its route: requests of one route are similar.
    pub route: u64,
    /// Target time to the first byte, in milliseconds; used as the expected latency until that has been learned. 0 if
    /// not specified.
    pub target_latency_ms: u64,
}

impl PlacementRequest {
    /// Returns the number of tokens of its prompt.
    fn tokens(&self) -> u32 {
        self.prompt_parts.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// The server that a request is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub server: String,
    pub addr: String,
    pub service: String,
    /// Maximum number of connections that this edge may have open to it.
    pub max_connections: u32,
    /// Estimated number of prompt tokens that the server does not have cached.
    pub unread_tokens: u32,
    /// Identifies this attempt among those of this edge.
    ticket: u64,
    route: u64,
    target_latency_ms: u64,
}

/// How a request ended on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Success,
    /// It was refused: the server is full, or the request's deadline had passed.
    TurnedAway,
    /// A different server answers at the address.
    WrongServer,
    /// It failed, timed out or was cut off.
    Failed,
    /// It was hedged to a second server, which answered first.
    Overtaken,
    /// Cancelled by this edge; no evidence about the server.
    Cancelled,
}

/// The servers of one service.
struct ServicePool {
    settings: ProxyGroup,
    servers: BTreeMap<String, ServerState>,
    /// This edge's requests in flight, over all servers.
    in_flight: u32,
    /// Smoothed duration of a request, in milliseconds.
    took_ms: f64,
    /// Time to the first byte by route.
    first_byte: BTreeMap<u64, LatencyModel>,
    reading: ReadModel,
    /// Hedged requests available in the budget.
    hedge_budget: f64,
}

impl ServicePool {
    fn new(settings: ProxyGroup) -> ServicePool {
        ServicePool {
            settings,
            servers: BTreeMap::new(),
            in_flight: 0,
            took_ms: 0.0,
            first_byte: BTreeMap::new(),
            reading: ReadModel::default(),
            hedge_budget: MAX_HEDGE_BUDGET,
        }
    }

    /// Returns how long a request may wait for its first byte, in milliseconds: the mean plus `deviations` deviations.
    /// Until these have been learned they are derived from its target. Returns `None` if there is neither.
    fn wait_bound(&self, route: u64, target_latency_ms: u64, unread_tokens: u32, deviations: f64) -> Option<u64> {
        let learned = self.first_byte.get(&route).and_then(|model| model.bound(deviations));
        let prior = (target_latency_ms > 0).then_some(target_latency_ms as f64 * deviations / HEDGE_DEVIATIONS);
        let reading = f64::from(unread_tokens) * self.reading.ms_per_token();
        Some((learned.or(prior)? + reading).max(MIN_REQUEST_STALL_MS) as u64)
    }

    /// Returns the time from which a request sent now counts as stalled: it then has waited longer than similar
    /// requests.
    fn stalls_at(&self, now: u64, request: &PlacementRequest, unread_tokens: u32) -> u64 {
        let bound = self.wait_bound(request.route, request.target_latency_ms, unread_tokens, STALL_DEVIATIONS);
        bound.map_or(u64::MAX, |ms| now + ms)
    }

    /// Records that the first byte of an answer arrived after `ms`. Returns that time relative to similar requests.
    fn note_first_byte(&mut self, placement: &Placement, ms: u64) -> f32 {
        let unread = f64::from(placement.unread_tokens);
        if self.settings.max_batch_size > 0 {
            self.reading.add(unread, ms as f64);
        }
        let reading = unread * self.reading.ms_per_token();
        if self.first_byte.len() >= MAX_LATENCY_ROUTES && !self.first_byte.contains_key(&placement.route) {
            self.first_byte.clear();
        }
        let model = self.first_byte.entry(placement.route).or_default();
        let usual = model.bound(0.0);
        model.add((ms as f64 - reading).max(0.0));
        // short waits vary randomly: the floor prevents that they count as slow
        usual.map_or(1.0, |usual| ((ms as f64) / (usual + reading).max(SLOWNESS_FLOOR_MS)) as f32)
    }
}

/// One edge's state of all servers that handle proxied requests.
#[derive(Default)]
pub struct Balancer {
    zone: String,
    pools: BTreeMap<String, ServicePool>,
    /// Number of edges that hold a lease.
    edges: u32,
    /// Maximum number of recorded prompt parts: over all servers, and for each server.
    max_parts: usize,
    max_parts_each: usize,
    revision: u64,
    policy: Policy,
    /// Random value of this edge.
    salt: u64,
    last_ticket: u64,
}

impl Balancer {
    /// `salt` is a random value of this edge, so that edges with equal information prefer different servers.
    pub fn new(zone: &str, salt: u64) -> Balancer {
        let max_parts = DEFAULT_PROMPT_PARTS_BYTES / PROMPT_PART_BYTES;
        Balancer { zone: zone.into(), salt, max_parts, max_parts_each: MAX_PROMPT_PARTS, ..Balancer::default() }
    }

    /// Sets the maximum number of recorded prompt parts, over all servers.
    pub fn limit_parts(&mut self, max_parts: usize) {
        self.max_parts = max_parts;
        self.divide_parts();
    }

    /// Returns the number of recorded prompt parts, over all servers.
    pub fn parts(&self) -> usize {
        self.pools.values().flat_map(|pool| pool.servers.values()).map(ServerState::cached_parts).sum()
    }

    /// Divides the maximum number of recorded prompt parts among the servers.
    fn divide_parts(&mut self) {
        let servers: usize = self.pools.values().map(|pool| pool.servers.len()).sum();
        let each = (self.max_parts / servers.max(1)).clamp(MIN_PROMPT_PARTS, MAX_PROMPT_PARTS);
        self.max_parts_each = each;
        let all = self.pools.values_mut().flat_map(|pool| pool.servers.values_mut());
        all.for_each(|server| server.forget_oldest_parts(each));
    }

    /// Applies the newest view and cold rates from the controller.
    pub fn apply_view(&mut self, view: &View, cold_rates: &BTreeMap<String, u32>, edges: u32) {
        self.edges = edges.max(1);
        if self.revision != view.revision {
            self.revision = view.revision;
            self.update_services(view);
        }
        for (name, server) in self.pools.values_mut().flat_map(|pool| &mut pool.servers) {
            // this edge sends nothing to a cold server for which it has no rate
            let is_cold = view.servers.get(name).is_some_and(|listed| listed.cold);
            server.cold_rate = cold_rates.get(name).copied().or(is_cold.then_some(0));
        }
    }

    fn update_services(&mut self, view: &View) {
        let Some(config) = &view.config else { return };
        self.policy = config.policy.clone();
        let settings_of = |(name, group): (&String, &Group)| Some((name.clone(), group.proxy.clone()?));
        let mut services: BTreeMap<String, ProxyGroup> = view.draining_groups.iter().filter_map(settings_of).collect();
        services.extend(config.groups.iter().filter_map(settings_of));
        self.pools.retain(|name, pool| services.contains_key(name) || pool.in_flight > 0);
        for (name, settings) in services {
            self.update_service(view, name, settings);
        }
        self.divide_parts();
    }

    fn update_service(&mut self, view: &View, service: String, settings: ProxyGroup) {
        let is_usable = |server: &&Server| server.group == service && view.is_usable(&server.name);
        // the group's limit applies to servers whose number of slots is not specified
        let in_flight = view.group(&service).map_or(1, |group| group.max_in_flight);
        let usable: BTreeSet<&String> = view.servers.values().filter(is_usable).map(|server| &server.name).collect();
        let pool = self.pools.entry(service).or_insert_with(|| ServicePool::new(settings.clone()));
        pool.settings = settings;
        pool.servers.retain(|name, _| usable.contains(name));
        let default_slots = in_flight.max(1);
        for name in usable {
            let listed = &view.servers[name];
            let server = pool.servers.entry(name.clone()).or_default();
            if server.addr != listed.addr {
                *server = ServerState::new(hash(name));
            }
            server.addr.clone_from(&listed.addr);
            server.zone.clone_from(&listed.zone);
            server.slots = if listed.slots > 0 { listed.slots } else { default_slots };
        }
    }

    /// Chooses the best server for a request and counts the request as in flight there.
    pub fn choose(&mut self, now: u64, service: &str, request: &PlacementRequest) -> Option<Placement> {
        let pool = self.pools.get_mut(service)?;
        let choice = Choice {
            now,
            own_zone: &self.zone,
            edge_salt: if self.policy.spread { self.salt } else { 0 },
            edges: self.edges,
            policy: &self.policy,
            pool,
            request,
        };
        let name = choice.best()?;
        let max_connections = match pool.settings.max_connections {
            0 => MAX_POOLED_CONNECTIONS as u32,
            most => (most / self.edges.max(1)).max(2),
        };
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        pool.in_flight += 1;
        pool.hedge_budget = (pool.hedge_budget + self.policy.hedge_budget).min(MAX_HEDGE_BUDGET);
        let unread_tokens = pool.servers.get(&name)?.unread_tokens(&request.prompt_parts);
        let stalls_at = pool.stalls_at(now, request, unread_tokens);
        let server = pool.servers.get_mut(&name)?;
        server.note_sent(now, ticket, stalls_at, &request.prompt_parts, self.max_parts_each);
        let addr = server.addr.clone();
        let PlacementRequest { route, target_latency_ms, .. } = *request;
        let service = service.to_string();
        Some(Placement {
            server: name,
            addr,
            service,
            max_connections,
            unread_tokens,
            ticket,
            route,
            target_latency_ms,
        })
    }

    /// Returns how long a repeatable request waits for its first byte before it is also sent to a second server, in
    /// milliseconds; `None` if it isn't hedged.
    pub fn hedge_after(&self, placement: &Placement) -> Option<u64> {
        if !self.policy.hedging {
            return None;
        }
        let Placement { service, route, target_latency_ms, unread_tokens, .. } = placement;
        self.pools.get(service)?.wait_bound(*route, *target_latency_ms, *unread_tokens, HEDGE_DEVIATIONS)
    }

    /// Takes one hedged request from the service's budget. Returns false if the budget is used up.
    pub fn take_hedge(&mut self, service: &str) -> bool {
        let Some(pool) = self.pools.get_mut(service) else { return false };
        let is_available = pool.hedge_budget >= 1.0;
        if is_available {
            pool.hedge_budget -= 1.0;
        }
        is_available
    }

    /// Records that the first byte of an answer arrived `waited_ms` after the request was sent.
    pub fn note_first_byte(&mut self, placement: &Placement, waited_ms: u64) {
        let Some(pool) = self.pools.get_mut(&placement.service) else { return };
        let slowness = pool.note_first_byte(placement, waited_ms);
        if let Some(server) = pool.servers.get_mut(&placement.server) {
            server.note_first_byte(placement.ticket, slowness);
        }
    }

    /// Returns what this edge has observed of its servers since the last report.
    pub fn report(&mut self, now: u64) -> Vec<ServerReport> {
        let servers = self.pools.values_mut().flat_map(|pool| &mut pool.servers);
        servers.filter_map(|(name, server)| server.report(now, name)).collect()
    }

    /// Applies a fleet digest if it was made for the servers of this view.
    pub fn note_fleet(&mut self, now: u64, view: &View, digest: &FleetDigest) {
        let is_whole = digest.load.len() == view.servers.len() && digest.verdicts.len() == view.servers.len();
        if digest.revision != view.revision || !is_whole {
            return;
        }
        let entries = digest.load.iter().zip(&digest.verdicts);
        for (listed, (load, verdict)) in view.servers.values().zip(entries) {
            let server = self.pools.get_mut(&listed.group).and_then(|pool| pool.servers.get_mut(&listed.name));
            if let Some(server) = server {
                server.note_fleet(now, *load, Verdict::from_byte(*verdict));
            }
        }
    }

    /// Whether this server may still receive work.
    pub fn is_usable(&self, service: &str, server: &str) -> bool {
        let found = self.pools.get(service).and_then(|pool| pool.servers.get(server));
        found.is_some_and(|server| !server.is_replaced)
    }

    /// Whether there is any server that a request could wait for.
    pub fn has_candidate(&self, service: &str, tried: &[String]) -> bool {
        let Some(pool) = self.pools.get(service) else { return false };
        pool.servers.iter().any(|(name, server)| !server.is_replaced && !tried.contains(name))
    }

    fn server_mut(&mut self, placement: &Placement) -> Option<&mut ServerState> {
        self.pools.get_mut(&placement.service)?.servers.get_mut(&placement.server)
    }

    /// Records the load of a server that was reported with an answer.
    pub fn note_load(&mut self, now: u64, placement: &Placement, running: u32, waiting: u32) {
        if let Some(server) = self.server_mut(placement) {
            server.note_load(now, running, waiting);
        }
    }

    /// Records that a request ended on its server after `took_ms`.
    pub fn finish(&mut self, now: u64, placement: &Placement, took_ms: u64, outcome: Outcome) {
        let Some(pool) = self.pools.get_mut(&placement.service) else { return };
        pool.in_flight = pool.in_flight.saturating_sub(1);
        if outcome == Outcome::Success {
            let took = took_ms as f64;
            pool.took_ms = if pool.took_ms == 0.0 { took } else { pool.took_ms * 0.95 + took * 0.05 };
        }
        if let Some(server) = pool.servers.get_mut(&placement.server) {
            server.note_outcome(now, placement.ticket, outcome);
        }
    }

    /// Returns (service, requests in flight, servers), for the windows that the scaler reads.
    pub fn in_flight(&self) -> Vec<(String, u32, usize)> {
        self.pools.iter().map(|(name, pool)| (name.clone(), pool.in_flight, pool.servers.len())).collect()
    }
}

#[cfg(test)]
mod deployment_tests;
#[cfg(test)]
mod tests;
