//! Determines whether a group could have a majority. Only the simulation knows which nodes are up, running and
//! connected, so only it can tell whether a group without a leader could have elected one.

use super::*;
use hutbook::coordination::raft::Raft;

/// The slowest sync of a disk that counts as healthy, in milliseconds. Slower ones are too close to the limit at which
/// a disk counts as stalled.
const MAX_HEALTHY_SYNC_MS: u64 = MAX_DISK_SYNC_MS / 3;

/// Name of the spans in which no edge could reach what it needs to serve.
const SERVICE: &str = "service";

/// The start of each open span, by name.
#[derive(Default)]
pub struct GroupWatch {
    no_quorum: BTreeMap<&'static str, u64>,
    leaderless: BTreeMap<&'static str, u64>,
}

/// Opens, continues or closes a span. Returns it when it closes.
fn track_span(
    open: &mut BTreeMap<&'static str, u64>,
    name: &'static str,
    active: bool,
    now: u64,
) -> Option<(u64, u64, String)> {
    if active {
        open.entry(name).or_insert(now);
        return None;
    }
    open.remove(name).map(|from| (from, now, name.to_string()))
}

impl Inner {
    pub(super) fn raft(&self, name: &str) -> Option<&Raft> {
        match &self.nodes[name].kind {
            NodeKind::Controller(Some(r)) => Some(&r.raft),
            NodeKind::Store { replica: Some(r), .. } => Some(&r.raft),
            _ => None,
        }
    }

    pub(super) fn is_running(&self, name: &str) -> bool {
        let n = &self.nodes[name];
        n.up && !n.frozen
    }

    /// Returns whether the node is running and its disk is healthy.
    fn is_healthy(&self, name: &str) -> bool {
        self.is_running(name) && self.nodes[name].disk.sync_ms.is_some_and(|ms| ms <= MAX_HEALTHY_SYNC_MS)
    }

    fn is_connected(&self, a: &str, b: &str) -> bool {
        if self.blocked_links.is_empty() {
            return true;
        }
        let cut = |a: &str, b: &str| self.blocked_links.contains(&(a.to_string(), b.to_string()));
        !cut(a, b) && !cut(b, a)
    }

    /// Returns whether some node could lead this group: a voter by its own log, connected to a majority whose logs are
    /// no newer than its own. If an `edge` is given, the node must be connected to it as well.
    fn can_elect_leader(&self, kind: &str, edge: Option<&str>) -> bool {
        let healthy = |n: &&String| n.starts_with(kind) && self.is_healthy(n);
        let candidates: Vec<(&str, u64, &Raft)> = self
            .nodes
            .keys()
            .filter(healthy)
            .filter_map(|n| Some((n.as_str(), self.nodes[n].id, self.raft(n)?)))
            .collect();
        candidates.iter().any(|(name, id, raft)| {
            let log = (raft.last_term(), raft.last_index());
            let voters = &raft.members().voters;
            let votes = candidates.iter().filter(|(voter, voter_id, voter_raft)| {
                let reachable = voter == name || self.is_connected(name, voter);
                reachable
                    && voters.iter().any(|m| m.id == *voter_id)
                    && (voter_raft.last_term(), voter_raft.last_index()) <= log
            });
            let is_candidate = voters.iter().any(|m| m.id == *id) && edge.is_none_or(|e| self.is_connected(name, e));
            is_candidate && votes.count() > voters.len() / 2
        })
    }

    /// Checks both groups and the edges' leases once.
    pub(super) fn check_groups(&mut self) {
        let now = self.now;
        let mut watch = std::mem::take(&mut self.group_watch);
        let mut control_group = false;
        for kind in ["refuge", "bothy"] {
            let can_lead = self.can_elect_leader(kind, None);
            let leads = self.confirmed_leader(kind).is_some();
            self.observed.quorum_losses.extend(track_span(&mut watch.no_quorum, kind, !can_lead, now));
            self.observed.stall_spans.extend(track_span(&mut watch.leaderless, kind, can_lead && !leads, now));
            control_group |= kind == "refuge" && can_lead;
        }
        // an edge that is connected to all controllers should have a lease
        let controllers: Vec<&String> = self.nodes.keys().filter(|n| n.starts_with("refuge")).collect();
        let connected = self.nodes.iter().filter(|(n, node)| {
            matches!(node.kind, NodeKind::Edge(_))
                && node.up
                && !node.frozen
                && controllers.iter().all(|r| self.is_connected(n, r))
        });
        let connected: Vec<bool> =
            connected.map(|(_, node)| matches!(&node.kind, NodeKind::Edge(e) if e.has_lease(now))).collect();
        let none_leased = control_group && !connected.is_empty() && !connected.contains(&true);
        self.observed.stall_spans.extend(track_span(&mut watch.leaderless, "licences", none_leased, now));
        // clients could be served by an edge that reaches both majorities and a model server
        let has_server =
            |e: &str| self.nodes.iter().any(|(n, node)| n.starts_with("model") && node.up && self.is_connected(e, n));
        let reaches_majorities = |e: &str| ["refuge", "bothy"].iter().all(|k| self.can_elect_leader(k, Some(e)));
        let edges = self.nodes.iter().filter(|(n, node)| matches!(node.kind, NodeKind::Edge(_)) && self.is_running(n));
        let any_serves = edges.into_iter().any(|(e, _)| reaches_majorities(e) && has_server(e));
        self.observed.quorum_losses.extend(track_span(&mut watch.no_quorum, SERVICE, !any_serves, now));
        self.group_watch = watch;
    }
}
