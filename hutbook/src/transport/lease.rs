//! Waits for an edge's lease, under which a request is decided.

use super::serve::Environment;
use crate::constants::LEASE_POLL_MS;
use crate::coordination::edge::Edge;
use crate::coordination::leased_view::LeasedView;

/// Returns the view at a moment when the edge holds a lease. None if there is no lease within `max_wait_ms`, or the
/// client disconnects first.
pub async fn leased_view<G: Environment>(
    environment: &G,
    edge: &Edge,
    max_wait_ms: u64,
    client_disconnected: impl Fn() -> bool,
) -> Option<LeasedView> {
    let deadline = environment.now() + max_wait_ms;
    loop {
        let now = environment.now();
        if let Some(leased) = edge.leased_view(now) {
            return Some(leased);
        }
        if now >= deadline || client_disconnected() {
            return None;
        }
        environment.sleep(LEASE_POLL_MS).await;
    }
}
