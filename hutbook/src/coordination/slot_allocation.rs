//! Allocation of each server's slots to edges. The sum of the shares that all edges may hold never exceeds the
//! server's bound: a share is raised only from slots that no other edge can still consider its own.

use super::view::{hash, View};
use crate::constants::*;
use crate::state::config::Kind;
use std::collections::{BTreeMap, BTreeSet};

messages! {
    /// What an edge reports about one server with a renewal.
    #[derive(Default)]
    pub struct SlotReport {
        #[n(0)] pub server: String,
        /// The share that the edge holds, as far as it knows.
        #[n(1)] pub share: u32,
        #[n(2)] pub busy: u32,
        /// Jobs finished there since its warm-up began at `warmup_revision`.
        #[n(3)] pub done: u64,
        #[n(4)] pub warmup_revision: u64,
        /// When its process started, as reported by the server; 0 if it doesn't report it.
        #[n(5)] pub started_at: u64,
        /// It is back after it was unreachable or ejected.
        #[n(6)] pub returned: bool,
    }
    /// A store group's open jobs, listed after the control group's leader of `term` asked for them, at `asked_at` on
    /// that leader's clock.
    pub struct OpenJobs {
        #[n(0)] pub term: u64,
        #[n(1)] pub asked_at: u64,
        #[n(2)] pub jobs: Vec<OpenJobCount>,
    }
    /// Number of jobs that an edge, reached at `edge_addr`, has open on a server.
    pub struct OpenJobCount {
        #[n(0)] pub edge: u64,
        #[n(1)] pub edge_addr: String,
        #[n(2)] pub server: String,
        #[n(3)] pub jobs: u32,
    }
}

#[derive(Default, Clone)]
pub struct EdgeSlots {
    pub lease_until: u64,
    pub applied_revision: u64,
    pub zone: String,
    pub addr: String,
    pub demand: BTreeMap<String, u32>,
    pub slot_reports: BTreeMap<String, SlotReport>,
    last_grant: u64,
    confirmed: BTreeMap<String, u32>,
    unconfirmed: BTreeMap<String, u32>,
    /// Its jobs that the stores still had open when they were asked after its lease had expired.
    open_jobs: Option<BTreeMap<String, u32>>,
    /// Another process uses its address: this edge is dead, and its streams are closed.
    is_dead: bool,
    /// The part of the ledger's sums that belongs to this edge.
    counted: BTreeMap<String, u32>,
}

impl EdgeSlots {
    /// Returns the maximum number of jobs that this edge may have in flight on a server. An expired lease alone
    /// doesn't reduce it: jobs that were started under the lease may still run, for example in a suspended process.
    /// The stores know these jobs, since every job is committed there before it is sent.
    fn max_in_flight(&self, server: &str, is_streaming: bool) -> u32 {
        if self.is_dead && is_streaming {
            return 0;
        }
        if let Some(jobs) = &self.open_jobs {
            return jobs.get(server).copied().unwrap_or(0);
        }
        let believed = self.confirmed.get(server).max(self.unconfirmed.get(server)).copied().unwrap_or(0);
        believed.max(self.slot_reports.get(server).map_or(0, |report| report.busy))
    }

    fn busy(&self, server: &str) -> u32 {
        match &self.open_jobs {
            Some(jobs) => jobs.get(server).copied().unwrap_or(0),
            None => self.slot_reports.get(server).map_or(0, |report| report.busy),
        }
    }
}

/// The leader's record of leases and shares. A new leader starts with an empty one. It only confirms the shares that
/// each edge already holds until all leases of earlier leaders have expired and every store group has reported its open
/// jobs, including those of edges that no longer renew.
#[derive(Default)]
pub struct SlotLedger {
    pub leader_since: u64,
    /// All jobs that may be in flight are accounted for.
    pub is_accounted: bool,
    /// Newest report of each store group, with the time at which it was requested.
    open_job_reports: BTreeMap<u32, (u64, Vec<OpenJobCount>)>,
    /// Servers of model groups: their jobs end when their streams are closed.
    streaming_servers: BTreeSet<String>,
    /// How long jobs may still run after a lease has expired if no store can be asked, in milliseconds.
    max_job_ms: u64,
    pub edges: BTreeMap<u64, EdgeSlots>,
    warmups: BTreeMap<String, (u64, u32)>,
    /// Target shares of each edge: (index of the server in `usable_servers`, slots).
    targets: BTreeMap<u64, Vec<(u32, u32)>>,
    next_targets_at: u64,
    /// Revision from which `usable_servers` and `bounds` were computed.
    revision: u64,
    /// Servers that may receive work, with their group; and the maximum number of slots in use on each.
    usable_servers: Vec<(String, String)>,
    bounds: BTreeMap<String, u32>,
    /// Maximum number of jobs that all edges together may have in flight on a server.
    sums: BTreeMap<String, u32>,
    cold: ColdRates,
}

/// Rate, in jobs per second, that one edge was granted for one cold server, with the previously granted rate for as
/// long as the edge may still use that.
#[derive(Default)]
struct RateGrant {
    rate: u32,
    until: u64,
    previous_rate: u32,
    previous_until: u64,
}

impl RateGrant {
    /// Returns the maximum number of jobs that the edge may have sent in the second before `at`.
    fn max_rate(&self, at: u64) -> u32 {
        let rate_at = |rate, until| if at <= until { rate } else { 0 };
        rate_at(self.rate, self.until).max(rate_at(self.previous_rate, self.previous_until))
    }

    fn record(&mut self, at: u64, rate: u32) {
        if rate < self.rate {
            let previous = if at <= self.previous_until { self.previous_rate } else { 0 };
            (self.previous_rate, self.previous_until) = (previous.max(self.rate), self.until);
        }
        (self.rate, self.until) = (rate, at + LEASE_MS + CLOCK_DRIFT_MS + COLD_ALLOWANCE_GRACE_MS);
    }
}

/// Rates of the cold servers that handle proxied requests, over all edges. As with slots, an edge's rate is raised only
/// from a rate that no other edge can still use.
#[derive(Default)]
struct ColdRates {
    next_targets_at: u64,
    revision: u64,
    /// Active edges, and the rate that each server sustains, from which `targets` was computed.
    edges: Vec<u64>,
    bounds: BTreeMap<String, u32>,
    targets: BTreeMap<String, BTreeMap<u64, u32>>,
    grants: BTreeMap<String, BTreeMap<u64, RateGrant>>,
}

impl ColdRates {
    fn update_targets(&mut self, now: u64, view: &View, edges: Vec<u64>) {
        self.next_targets_at = now + SLOT_DIVISION_INTERVAL_MS;
        let mut is_changed = self.edges != edges;
        if self.revision != view.revision {
            self.revision = view.revision;
            let bound = |server: &super::view::Server| {
                let rate = view.group(&server.group)?.proxy.as_ref()?.cold_requests_per_s;
                // a rate below one per second can't be divided
                (rate >= 1.0 && view.is_usable(&server.name)).then(|| (server.name.clone(), rate as u32))
            };
            let bounds: BTreeMap<String, u32> =
                view.servers.values().filter(|server| server.cold).filter_map(bound).collect();
            is_changed |= self.bounds != bounds;
            self.bounds = bounds;
        }
        self.grants.retain(|_, grants| {
            grants.retain(|_, grant| now <= grant.until.max(grant.previous_until));
            !grants.is_empty()
        });
        if is_changed {
            self.edges = edges;
            self.targets = self
                .bounds
                .iter()
                .map(|(server, bound)| (server.clone(), divide_rate(*bound, &self.edges, hash(server))))
                .collect();
        }
    }

    fn grant(&mut self, now: u64, node: u64) -> BTreeMap<String, u32> {
        let mut out = BTreeMap::new();
        for (server, bound) in &self.bounds {
            let grants = self.grants.entry(server.clone()).or_default();
            let others: u32 =
                grants.iter().filter(|(edge, _)| **edge != node).map(|(_, grant)| grant.max_rate(now)).sum();
            let target = self.targets.get(server).and_then(|targets| targets.get(&node)).copied().unwrap_or(0);
            let rate = target.min(bound.saturating_sub(others));
            if rate > 0 || grants.contains_key(&node) {
                grants.entry(node).or_default().record(now, rate);
            }
            if rate > 0 {
                out.insert(server.clone(), rate);
            }
        }
        out
    }
}

/// Divides a cold server's rate among edges. If there are more edges than jobs per second, a few edges get
/// `MIN_COLD_RATE_PER_EDGE` each. These stay the same while the set of edges is unchanged, and differ from server to
/// server.
fn divide_rate(bound: u32, edges: &[u64], salt: u64) -> BTreeMap<u64, u32> {
    let mix = |edge: u64| {
        let mixed = (edge ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    };
    let mut order: Vec<(u64, u64)> = edges.iter().map(|edge| (mix(*edge), *edge)).collect();
    order.sort_unstable();
    let count = order.len() as u32;
    if count == 0 {
        return BTreeMap::new();
    }
    if bound < count {
        let chosen = (bound / MIN_COLD_RATE_PER_EDGE).max(1) as usize;
        return order.into_iter().take(chosen).map(|(_, edge)| (edge, MIN_COLD_RATE_PER_EDGE.min(bound))).collect();
    }
    let each = |index: u32| bound / count + u32::from(index < bound % count);
    order.into_iter().zip(0..).map(|((_, edge), index)| (edge, each(index))).collect()
}

impl SlotLedger {
    pub fn new(now: u64) -> Self {
        SlotLedger { leader_since: now, max_job_ms: DEFAULT_RUN_MS, ..SlotLedger::default() }
    }

    /// Whether leases of an earlier leader may still be valid.
    pub fn may_have_earlier_leases(&self, now: u64) -> bool {
        now <= self.leader_since + LEASE_MS + CLOCK_DRIFT_MS
    }

    /// Whether every edge that may still hold a lease has applied `revision`.
    pub fn all_applied(&self, now: u64, revision: u64) -> bool {
        !self.may_have_earlier_leases(now)
            && self.edges.values().all(|edge| edge.lease_until < now || edge.applied_revision >= revision)
    }

    pub fn live_edges(&self, now: u64) -> usize {
        self.edges.values().filter(|edge| edge.lease_until >= now).count()
    }

    /// Returns the number of servers with state beside the edges' reports. It is bounded by the servers that are listed
    /// or in use.
    pub fn tracked_servers(&self) -> usize {
        self.sums.len().max(self.warmups.len())
    }

    pub fn busy(&self, server: &str) -> u32 {
        self.edges.values().map(|edge| edge.busy(server)).sum()
    }

    /// Returns the number of jobs that the known edges have queued or in flight for a group.
    pub fn demand(&self, group: &str) -> u32 {
        self.edges.values().map(|edge| edge.demand.get(group).copied().unwrap_or(0)).sum()
    }

    /// Whether the stores must report their open jobs: as long as the jobs of some edge are not known from the edge
    /// itself.
    pub fn needs_open_jobs(&self, now: u64) -> bool {
        !self.is_accounted || self.edges.values().any(|edge| now > edge.lease_until)
    }

    /// Records a store group's report of its open jobs. Jobs of edges that still renew are ignored.
    pub fn record_open_jobs(&mut self, now: u64, view: &View, group: u32, report: OpenJobs) {
        self.open_job_reports.insert(group, (report.asked_at, report.jobs));
        self.update_accounting(now, view);
    }

    fn update_accounting(&mut self, now: u64, view: &View) {
        // without the report of every group the total is unknown
        let reported_at = view
            .stores
            .keys()
            .map(|group| self.open_job_reports.get(group).map_or(0, |report| report.0))
            .min()
            .unwrap_or(now);
        let leases_expired_at = self.leader_since + LEASE_MS + CLOCK_DRIFT_MS;
        if reported_at <= leases_expired_at {
            return;
        }
        self.is_accounted = true;
        let mut open_jobs: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
        for jobs in self.open_job_reports.values().flat_map(|report| &report.1) {
            *open_jobs.entry(jobs.edge).or_default().entry(jobs.server.clone()).or_default() += jobs.jobs;
            if !self.edges.contains_key(&jobs.edge) {
                // it has never renewed with this leader: it is dead if another process uses its address
                let is_dead = self.edges.values().any(|edge| edge.last_grant > 0 && edge.addr == jobs.edge_addr);
                let edge = EdgeSlots {
                    lease_until: leases_expired_at,
                    addr: jobs.edge_addr.clone(),
                    is_dead,
                    ..EdgeSlots::default()
                };
                self.edges.insert(jobs.edge, edge);
            }
        }
        let lapsed: Vec<u64> = self
            .edges
            .iter()
            .filter(|(_, edge)| edge.lease_until < reported_at && edge.lease_until < now)
            .map(|x| *x.0)
            .collect();
        for node in lapsed {
            self.edges.get_mut(&node).expect("just listed").open_jobs =
                Some(open_jobs.remove(&node).unwrap_or_default());
            self.update_sums(node);
        }
    }

    /// Computes the number of slots that may be in use on each server, over all edges. It rises with the finished jobs
    /// while a server warms up.
    fn update_bounds(&mut self, view: &View) {
        let mut finished: BTreeMap<&str, u64> = BTreeMap::new();
        for report in self.edges.values().flat_map(|edge| edge.slot_reports.values()) {
            if view.servers.get(&report.server).is_some_and(|server| server.warmup_revision == report.warmup_revision) {
                *finished.entry(&report.server).or_default() += report.done;
            }
        }
        self.bounds.clear();
        for (name, group) in &self.usable_servers {
            let (Some(server), Some(group)) = (view.servers.get(name), view.group(group)) else {
                continue;
            };
            let earned = WARMUP_START_SLOTS
                + finished.get(name.as_str()).unwrap_or(&0) / u64::from(group.jobs_per_warmup_slot.max(1));
            let warmup = self.warmups.entry(name.clone()).or_insert((server.warmup_revision, 0));
            if warmup.0 != server.warmup_revision {
                *warmup = (server.warmup_revision, 0);
            }
            warmup.1 = warmup.1.max(earned.min(u64::from(u32::MAX)) as u32);
            self.bounds.insert(name.clone(), warmup.1.min(group.max_in_flight));
        }
    }

    /// Collects what this edge has observed of servers' processes and the control group has not agreed on yet. A start
    /// time is accepted from one edge; that a server was unreachable only if at least half of the edges that use it
    /// report it.
    pub fn process_changes(&self, now: u64, view: &View, node: u64, out: &mut BTreeMap<String, (u64, u64, bool)>) {
        let Some(edge) = self.edges.get(&node) else { return };
        for report in edge.slot_reports.values() {
            let Some(server) = view.servers.get(&report.server).filter(|s| s.warmup_revision == report.warmup_revision)
            else {
                continue;
            };
            let is_new = report.started_at != 0 && report.started_at != server.started_at;
            if !is_new && !report.returned {
                continue;
            }
            let users = self.edges.values().filter(|edge| edge.lease_until >= now || edge.last_grant == 0);
            let users: Vec<&SlotReport> = users
                .filter_map(|edge| edge.slot_reports.get(&report.server))
                .filter(|report| report.warmup_revision == server.warmup_revision)
                .collect();
            let has_returned =
                users.iter().filter(|report| report.returned).count() * 2 >= users.len() && report.returned;
            if is_new || has_returned {
                out.insert(report.server.clone(), (report.warmup_revision, report.started_at, has_returned));
            }
        }
    }

    /// Updates the sums with the number of jobs that this edge may have in flight now.
    fn update_sums(&mut self, node: u64) {
        let Some(edge) = self.edges.get_mut(&node) else { return };
        let mut counted: BTreeMap<String, u32> = BTreeMap::new();
        let open_jobs = edge.open_jobs.iter().flat_map(|jobs| jobs.keys());
        for server in
            edge.confirmed.keys().chain(edge.unconfirmed.keys()).chain(edge.slot_reports.keys()).chain(open_jobs)
        {
            if !counted.contains_key(server) {
                let jobs = edge.max_in_flight(server, self.streaming_servers.contains(server));
                if jobs > 0 {
                    counted.insert(server.clone(), jobs);
                }
            }
        }
        for (server, jobs) in &edge.counted {
            *self.sums.entry(server.clone()).or_default() -= jobs;
        }
        for (server, jobs) in &counted {
            *self.sums.entry(server.clone()).or_default() += jobs;
        }
        edge.counted = counted;
    }

    /// Removes edges that can't have any job in flight any more.
    pub fn expire_edges(&mut self, now: u64) {
        let max_job_ms = self.max_job_ms;
        let is_idle = |edge: &EdgeSlots| edge.open_jobs.as_ref().is_some_and(|jobs| jobs.is_empty());
        self.remove_edges(|_, edge| now >= edge.lease_until + max_job_ms || now > edge.lease_until && is_idle(edge));
    }

    fn remove_edges(&mut self, is_expired: impl Fn(u64, &EdgeSlots) -> bool) {
        let nodes: Vec<u64> =
            self.edges.iter().filter(|(node, edge)| is_expired(**node, edge)).map(|(node, _)| *node).collect();
        for node in nodes {
            let edge = self.edges.remove(&node).expect("just listed");
            for (server, jobs) in edge.counted {
                *self.sums.entry(server).or_default() -= jobs;
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn record_renewal(
        &mut self,
        now: u64,
        node: u64,
        acknowledged_grant: u64,
        applied_revision: u64,
        zone: &str,
        addr: &str,
        demand: Vec<(String, u32)>,
        slot_reports: Vec<SlotReport>,
    ) {
        // only one process listens at an address: a new one there means that the old one is dead, not suspended.
        // Its streams are closed; tool jobs may continue without it
        if !self.edges.contains_key(&node) {
            let replaced: Vec<u64> = self.edges.iter().filter(|(_, edge)| edge.addr == addr).map(|x| *x.0).collect();
            for node in replaced {
                self.edges.get_mut(&node).expect("just listed").is_dead = true;
                self.update_sums(node);
            }
        }
        let edge = self.edges.entry(node).or_default();
        edge.open_jobs = None;
        edge.applied_revision = applied_revision;
        edge.zone = zone.to_string();
        edge.addr = addr.to_string();
        edge.demand = demand.into_iter().collect();
        if edge.last_grant == 0 || now > edge.lease_until {
            // first renewal with this leader: its shares were granted by the previous one
            edge.confirmed = slot_reports.iter().map(|report| (report.server.clone(), report.share)).collect();
            edge.unconfirmed.clear();
        } else if acknowledged_grant == edge.last_grant {
            edge.confirmed = std::mem::take(&mut edge.unconfirmed);
        } else {
            // the last grant was lost or has not arrived yet: the edge may hold either share
            for (server, slots) in std::mem::take(&mut edge.unconfirmed) {
                let share = edge.confirmed.entry(server).or_default();
                *share = (*share).max(slots);
            }
        }
        edge.slot_reports = slot_reports.into_iter().map(|report| (report.server.clone(), report)).collect();
        self.update_sums(node);
    }

    /// Grants shares to one edge, recorded until they are acknowledged or expire.
    pub fn grant(&mut self, now: u64, view: &View, node: u64) -> (u64, BTreeMap<String, u32>) {
        if view.stores.is_empty() && !self.may_have_earlier_leases(now) {
            // without a store no job was ever started
            self.is_accounted = true;
        }
        let accounted = self.is_accounted;
        if now >= self.next_targets_at || self.revision != view.revision {
            self.update_targets(now, view);
        }
        let mut out = BTreeMap::new();
        let edge = &self.edges[&node];
        // only this edge's targets are visited: visiting all servers for each edge would have quadratic cost
        if accounted {
            for &(index, target) in self.targets.get(&node).into_iter().flatten() {
                let server = &self.usable_servers[index as usize].0;
                let bound = self.bounds.get(server).copied().unwrap_or(0);
                let others = self.sums.get(server).unwrap_or(&0) - edge.counted.get(server).unwrap_or(&0);
                let share = target.min(bound.saturating_sub(others));
                if share > 0 {
                    out.insert(server.clone(), share);
                }
            }
        } else {
            for (server, confirmed) in &edge.confirmed {
                // the share that it holds, if it belongs to the same warm-up; a share that it no longer claims has
                // expired
                let is_same_warmup = |report: &&SlotReport| {
                    view.servers.get(server).is_some_and(|x| x.warmup_revision == report.warmup_revision)
                };
                let claims = edge.slot_reports.get(server).filter(is_same_warmup).map_or(0, |report| report.share);
                let share = (*confirmed).min(claims).min(self.bounds.get(server).copied().unwrap_or(0));
                if share > 0 {
                    out.insert(server.clone(), share);
                }
            }
        }
        let edge = self.edges.get_mut(&node).expect("a renewal is recorded before its grant");
        edge.last_grant += 1;
        edge.unconfirmed = out.clone();
        edge.lease_until = now + LEASE_MS + CLOCK_DRIFT_MS;
        self.update_sums(node);
        (self.edges[&node].last_grant, out)
    }

    /// Returns the number of jobs per second that this edge may send to each cold server that handles proxied requests.
    pub fn cold_rates(&mut self, now: u64, view: &View, node: u64) -> BTreeMap<String, u32> {
        // rates that an earlier leader has granted may still be used, and this leader does not know them
        if now <= self.leader_since + LEASE_MS + CLOCK_DRIFT_MS + COLD_ALLOWANCE_GRACE_MS {
            return BTreeMap::new();
        }
        if now >= self.cold.next_targets_at || self.cold.revision != view.revision {
            let is_active = |edge: &EdgeSlots| edge.last_grant > 0 && now <= edge.lease_until + COLD_ALLOWANCE_GRACE_MS;
            let edges = self.edges.iter().filter(|(_, edge)| is_active(edge)).map(|x| *x.0).collect();
            self.cold.update_targets(now, view, edges);
        }
        self.cold.grant(now, node)
    }

    /// Divides every server's bound among the edges in proportion to their demand.
    fn update_targets(&mut self, now: u64, view: &View) {
        if self.revision != view.revision {
            self.revision = view.revision;
            // proxied requests use no slots of this ledger
            let usable =
                view.servers.values().filter(|server| !view.is_proxied(&server.group) && view.is_usable(&server.name));
            self.usable_servers = usable.map(|server| (server.name.clone(), server.group.clone())).collect();
            // a server that is listed again starts a new warm-up, so the state of unlisted ones is dropped
            self.warmups.retain(|server, _| view.servers.contains_key(server));
            self.sums.retain(|server, taken| *taken > 0 || view.servers.contains_key(server));
            if let Some(config) = &view.config {
                let is_model = |server: &&super::view::Server| {
                    view.group(&server.group).is_some_and(|group| group.kind == Kind::Model)
                };
                self.streaming_servers =
                    view.servers.values().filter(is_model).map(|server| server.name.clone()).collect();
                self.max_job_ms = config.routes.values().map(|r| r.max_run_ms).fold(DEFAULT_RUN_MS, u64::max);
            }
        }
        self.update_bounds(view);
        // a large fleet is divided less often, so that the cost doesn't grow quadratically
        let size = self.edges.len() * self.usable_servers.len();
        self.next_targets_at = now + SLOT_DIVISION_INTERVAL_MS * (1 + (size / SLOT_DIVISION_PAIRS) as u64);
        self.targets.clear();
        // servers of one group with the same bound are divided equally, except for the winners of ties
        let mut divisions: BTreeMap<(&str, u32), Apportionment> = BTreeMap::new();
        let mut ties = vec![];
        for (index, (server, group)) in self.usable_servers.iter().enumerate() {
            let bound = self.bounds.get(server).copied().unwrap_or(0);
            let division = divisions.entry((group, bound)).or_insert_with(|| {
                let live = self.edges.iter().filter(|(_, edge)| edge.lease_until >= now || edge.last_grant == 0);
                let weights: Vec<(u64, u32)> =
                    live.map(|(node, edge)| (*node, edge.demand.get(group).copied().unwrap_or(0) + 1)).collect();
                Apportionment::new(bound, &weights)
            });
            division.assign(hash(server), &mut ties, |node, slots| {
                self.targets.entry(node).or_default().push((index as u32, slots))
            });
        }
    }
}

/// Division of a bound among edges by the largest remainder method. What is equal for all servers with that bound is
/// computed once; only ties differ from server to server.
pub struct Apportionment {
    /// (edge, slots) that don't depend on ties, without zeros.
    fixed: Vec<(u64, u32)>,
    /// Edges that share the remainder at the cutoff, with their integer part.
    tied: Vec<(u64, u32)>,
    /// Number of these edges that get one slot more.
    remaining: usize,
}

impl Apportionment {
    pub fn new(bound: u32, weights: &[(u64, u32)]) -> Apportionment {
        let sum: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut division = Apportionment { fixed: vec![], tied: vec![], remaining: 0 };
        if sum == 0 {
            return division;
        }
        let mut remaining = bound;
        // (remainder, edge, integer part)
        let mut remainders: Vec<(u64, u64, u32)> = vec![];
        for (edge, weight) in weights {
            let product = u64::from(bound) * u64::from(*weight);
            let integer = (product / sum) as u32;
            remaining -= integer;
            remainders.push((product % sum, *edge, integer));
        }
        remainders.sort_unstable_by(|a, b| b.cmp(a));
        // fewer slots are left over than there are edges, so the cutoff is at one of the edges
        let cutoff = remainders[remaining as usize].0;
        division.remaining = remaining as usize;
        for (remainder, edge, integer) in remainders {
            if remainder == cutoff {
                division.tied.push((edge, integer));
                continue;
            }
            let slots = integer + u32::from(remainder > cutoff);
            division.remaining -= usize::from(remainder > cutoff);
            if slots > 0 {
                division.fixed.push((edge, slots));
            }
        }
        division
    }

    /// Passes each edge's slots to `assign_slots`, without zeros. `salt` varies the order of ties; `ties` is a scratch
    /// buffer.
    pub fn assign(&self, salt: u64, ties: &mut Vec<(u64, u64, u32)>, mut assign_slots: impl FnMut(u64, u32)) {
        self.fixed.iter().for_each(|(edge, slots)| assign_slots(*edge, *slots));
        ties.clear();
        ties.extend(
            self.tied.iter().map(|(edge, integer)| (edge.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt, *edge, *integer)),
        );
        if self.remaining > 0 && self.remaining < ties.len() {
            ties.select_nth_unstable_by(self.remaining, |a, b| b.cmp(a));
        }
        for (index, (_, edge, integer)) in ties.iter().enumerate() {
            let slots = integer + u32::from(index < self.remaining);
            if slots > 0 {
                assign_slots(*edge, slots);
            }
        }
    }
}

/// Divides a bound by the largest remainder method; `salt` varies the order of ties from server to server.
pub fn divide(bound: u32, weights: &[(u64, u32)], salt: u64) -> BTreeMap<u64, u32> {
    let mut out = BTreeMap::new();
    Apportionment::new(bound, weights).assign(salt, &mut vec![], |edge, slots| {
        out.insert(edge, slots);
    });
    out
}

#[cfg(test)]
mod tests;
