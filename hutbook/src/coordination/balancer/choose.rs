//! Server selection: a request is sent to the server where it is expected to finish first.

use super::server::ServerState;
use super::{PlacementRequest, ServicePool};
use crate::constants::*;
use crate::coordination::fleet_health::{max_ejected, Verdict};
use crate::state::config::Policy;

/// Rank of a server for a request; the lowest is chosen.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    is_avoided: bool,
    is_full: bool,
    is_suspect: bool,
    /// In milliseconds.
    cost: f64,
}

/// Inputs of one choice that are the same for all servers.
pub(super) struct Choice<'a> {
    pub(super) now: u64,
    pub(super) own_zone: &'a str,
    /// Random value of this edge: edges with equal information prefer different servers.
    pub(super) edge_salt: u64,
    /// Number of edges that hold a lease.
    pub(super) edges: u32,
    pub(super) policy: &'a Policy,
    pub(super) pool: &'a ServicePool,
    pub(super) request: &'a PlacementRequest,
}

impl Choice<'_> {
    /// Returns the name of the best server, or `None` if no server may receive the request.
    pub(super) fn best(&self) -> Option<String> {
        let ignores_suspects = self.has_too_many_suspects();
        let mut best: Option<(Rank, &String)> = None;
        for (name, server) in &self.pool.servers {
            if server.is_replaced || self.request.tried_servers.contains(name) || !server.may_send(self.now) {
                continue;
            }
            if self.is_trial(server) {
                return Some(name.clone());
            }
            let rank = self.rank(name, server, ignores_suspects);
            if best.is_none_or(|(lowest, _)| rank < lowest) {
                best = Some((rank, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    fn rank(&self, name: &str, server: &ServerState, ignores_suspects: bool) -> Rank {
        let load = server.load(self.now, self.policy.shared_load, self.pool.took_ms);
        Rank {
            is_avoided: self.policy.failure_ejection && self.now < server.avoided_until,
            is_full: load >= f64::from(server.slots) * FULL_SERVER_SLOT_SHARE,
            is_suspect: !ignores_suspects && self.is_suspect(server),
            cost: self.cost(name, server, load),
        }
    }

    fn is_suspect(&self, server: &ServerState) -> bool {
        let stalls = self.policy.stall_detection && server.is_stalled(self.now);
        stalls || self.policy.shared_health && server.verdict(self.now) != Verdict::Sound
    }

    /// Whether too many servers are suspect to treat them as outliers: the cause is then load, or a fault of this edge.
    fn has_too_many_suspects(&self) -> bool {
        let servers = self.pool.servers.values();
        let suspects = servers.filter(|server| self.is_suspect(server)).count();
        suspects > max_ejected(self.pool.servers.len(), self.policy.max_ejected_share)
    }

    /// Whether to send this request to a server on trial. Only repeatable requests are sent there, and over all edges
    /// only as many as one edge has.
    fn is_trial(&self, server: &ServerState) -> bool {
        let is_eligible =
            self.policy.shared_health && !self.request.at_most_once && self.request.tried_servers.is_empty();
        is_eligible
            && server.verdict(self.now) == Verdict::OnTrial
            && hash_to_unit_interval(self.now ^ self.edge_salt, server.salt) * f64::from(self.edges) < 1.0
    }

    /// Returns the expected cost of sending the request to a server, in milliseconds.
    fn cost(&self, name: &str, server: &ServerState, load: f64) -> f64 {
        let is_own_zone = !self.policy.own_zone || server.zone == self.own_zone;
        let zone = if is_own_zone { 0.0 } else { self.policy.other_zone_ms };
        let work = match self.pool.settings.max_batch_size {
            0 => self.queue_cost(server, load),
            _ => self.batch_cost(name, server, load),
        };
        let failure = if self.request.at_most_once { FAILURE_COST_ONCE_MS } else { FAILURE_COST_MS };
        let failures = if self.policy.failure_ejection { server.failures.min(MAX_COUNTED_FAILURES) } else { 0 };
        zone + work + f64::from(failures) * failure
    }

    /// Cost at a server that runs one request per slot: a request waits only if all slots are in use.
    fn queue_cost(&self, server: &ServerState, load: f64) -> f64 {
        let slots = f64::from(server.slots);
        let excess = (load + 1.0 - slots).max(0.0);
        excess * self.pool.took_ms.max(1.0) / slots
            + load / slots * FILLED_SLOTS_COST_MS
            + hash_to_unit_interval(self.now, server.salt)
    }

    /// Cost at a server that runs batches: the prompt tokens that are not cached, and the requests that are there
    /// already.
    fn batch_cost(&self, name: &str, server: &ServerState, load: f64) -> f64 {
        let request = self.request;
        let ms_per_token = self.pool.reading.ms_per_token();
        let unread = match self.policy.prefix_affinity {
            true => server.unread_tokens(&request.prompt_parts),
            false => request.tokens(),
        };
        let mut cost = f64::from(unread) * ms_per_token + load * JOB_COST_MS;
        if self.policy.session_affinity && name == request.last_server {
            // the earlier part of the conversation is cached there, whichever edge sent it
            let own = request.prompt_parts.last().map_or(0, |(_, tokens)| *tokens);
            cost -= f64::from(unread.saturating_sub(own)) * ms_per_token;
        }
        // equal servers are spread: the preferred one differs by edge and by the first part of the prompt
        let first = request.prompt_parts.first().map_or(0, |(part, _)| *part);
        cost + hash_to_unit_interval(first ^ self.edge_salt, server.salt) * SERVER_CHOICE_JITTER_MS
    }
}

/// Maps two numbers to a deterministic value from 0 to 1.
pub(super) fn hash_to_unit_interval(a: u64, b: u64) -> f64 {
    let bits = (a ^ b).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    bits as f64 / (1u64 << 24) as f64
}
