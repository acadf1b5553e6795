//! Which of a service's servers a request goes to: the one where it is expected to end first.

use super::server::ServerState;
use super::{PlacementRequest, ServicePool};
use crate::constants::*;

/// How a server stands for a request; the least goes first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    is_out: bool,
    is_full: bool,
    /// ms.
    cost: f64,
}

/// Name of the best server for a request now; None where none may take it.
pub(super) fn choose(now: u64, own_zone: &str, pool: &ServicePool, request: &PlacementRequest) -> Option<String> {
    let mut best: Option<(Rank, &String)> = None;
    for (name, server) in &pool.servers {
        if server.is_replaced || request.tried.contains(name) || !server.may_send(now) {
            continue;
        }
        let load = server.load(now);
        let rank = Rank {
            is_out: now < server.out_until,
            is_full: load >= f64::from(server.slots) * PASS_FULL,
            cost: cost(now, own_zone, pool, request, name, server, load),
        };
        if best.is_none_or(|(least, _)| rank < least) {
            best = Some((rank, name));
        }
    }
    best.map(|(_, name)| name.clone())
}

/// ms. What sending the request there is expected to cost it.
fn cost(
    now: u64,
    own_zone: &str,
    pool: &ServicePool,
    request: &PlacementRequest,
    name: &str,
    server: &ServerState,
    load: f64,
) -> f64 {
    let zone = if server.zone == own_zone { 0.0 } else { PASS_CELL_COST_MS };
    let work = match pool.settings.batch {
        0 => queue_cost(now, pool, server, load),
        _ => batch_cost(request, name, server, load),
    };
    let failure = if request.once_only { 40.0 } else { 10.0 };
    zone + work + f64::from(server.failures.min(8)) * failure
}

/// At a server that runs one request a slot: below its slots a request waits for nobody.
fn queue_cost(now: u64, pool: &ServicePool, server: &ServerState, load: f64) -> f64 {
    let slots = f64::from(server.slots);
    let over = (load + 1.0 - slots).max(0.0);
    over * pool.took_ms.max(1.0) / slots + load / slots * 4.0 + spread(now, server.salt)
}

/// At a server that runs batches: what it must still read, and who is there already.
fn batch_cost(request: &PlacementRequest, name: &str, server: &ServerState, load: f64) -> f64 {
    let unread = server.unread_tokens(&request.parts);
    let mut cost = f64::from(unread) / PASS_READ_PER_MS + load * PASS_JOB_COST_MS;
    if name == request.last_server {
        // what was said before is kept there, whoever sent it
        let own = request.parts.last().map_or(0, |(_, tokens)| *tokens);
        cost -= f64::from(unread.saturating_sub(own)) / PASS_READ_PER_MS;
    }
    // all edges lean to the same server for the same beginning, without a word
    let first = request.parts.first().map_or(0, |(part, _)| *part);
    cost + spread(first, server.salt) * 8.0
}

/// 0 to 1, the same for the same two numbers.
fn spread(a: u64, b: u64) -> f64 {
    let bits = (a ^ b).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    bits as f64 / (1u64 << 24) as f64
}
