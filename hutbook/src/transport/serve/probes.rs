//! Probes of the backends that this edge may use.

use super::environment::Environment;
use crate::constants::PROBE_SOON_MS;
use crate::coordination::edge::Edge;

/// Probes the backends that this edge may use, in an endless loop.
pub async fn probe_servers<G: Environment>(environment: &G, edge: &Edge) {
    loop {
        let probes = edge.due_probes(environment.now()).into_iter().map(|(group, server, addr)| async move {
            let probe = environment.probe(&addr).await;
            edge.record_probe(environment.now(), &group, &server, &addr, probe);
            // a server that was closed to new work may be open now
            edge.dispatch_queued(environment.now(), &group);
        });
        futures_util::future::join_all(probes).await;
        environment.sleep(PROBE_SOON_MS).await;
    }
}
