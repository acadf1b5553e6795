//! State of one edge: the view it follows, its lease, its admission queues and its measurements.
//! Each is guarded by its own lock.

use super::admission_queue::{AdmissionQueue, Dispatch, JobEnd, QueuedJob, Refusal, ServerProbe, ServerSlots};
use super::balancer::Balancer;
use super::control::{LeaseGrant, LeaseRenewal, ViewUpdate, Window};
use super::edge_admission::EdgeAdmission;
use super::leased_view::{FollowedView, LeasedView};
use super::slot_allocation::SlotReport;
use super::view::View;
use crate::constants::*;
use crate::state::histogram::Histogram;
use crate::state::log_limit::LogLimit;
use crate::state::turn_texts::TurnTexts;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use tokio::sync::oneshot;

type ReplySender = oneshot::Sender<Result<SlotGuard, Refusal>>;
type SharedQueue = Arc<Mutex<AdmissionQueue<ReplySender>>>;

/// A slot reserved on a server, released on drop.
#[derive(Debug)]
pub struct SlotGuard {
    pub dispatch: Dispatch,
    queue: Option<QueueRef>,
}

struct QueueRef(SharedQueue);

impl std::fmt::Debug for QueueRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("lane")
    }
}

impl SlotGuard {
    /// Records that the job has ended on its server.
    pub fn finish(mut self, now: u64, first_chunk_ms: Option<u64>, end: JobEnd) {
        if let Some(queue) = self.queue.take() {
            lock_ignoring_poison(&queue.0).finish(
                now,
                &self.dispatch.server,
                self.dispatch.warmup_revision,
                first_chunk_ms,
                end,
            );
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            lock_ignoring_poison(&queue.0).release_slot(&self.dispatch.server);
        }
    }
}

/// Locks a mutex even if it is poisoned: a panic in another thread must not disable a queue, and its counts stay
/// usable.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[derive(Default)]
struct Lease {
    until: u64,
    number: u64,
    term: u64,
}

#[derive(Default)]
struct Measurements {
    last_number: u64,
    window_start: u64,
    pairs: BTreeMap<(String, String), Histogram>,
    /// Sums over the samples of the window, and the number of samples.
    groups: BTreeMap<String, ([f64; 4], u32)>,
    windows: VecDeque<(u64, Window)>,
    /// Newest window that was part of an answered renewal.
    last_acknowledged: u64,
    last_sent: u64,
}

pub struct Edge {
    pub id: u64,
    pub zone: String,
    pub addr: String,
    followed: RwLock<FollowedView>,
    lease: Mutex<Lease>,
    queues: RwLock<BTreeMap<String, SharedQueue>>,
    measurements: Mutex<Measurements>,
    balancer: Mutex<Balancer>,
    admission: Mutex<EdgeAdmission>,
    turn_texts: Mutex<TurnTexts>,
    /// Retries available in the retry budget.
    retry_budget: Mutex<f64>,
    unknown_route_log: Mutex<LogLimit>,
}

impl Edge {
    pub fn new(id: u64, zone: &str, addr: &str) -> Edge {
        Edge {
            id,
            zone: zone.into(),
            addr: addr.into(),
            followed: RwLock::default(),
            lease: Mutex::default(),
            queues: RwLock::default(),
            measurements: Mutex::default(),
            balancer: Mutex::new(Balancer::new(zone, id)),
            admission: Mutex::default(),
            turn_texts: Mutex::new(TurnTexts::new(DEFAULT_TURN_TEXTS_BYTES)),
            retry_budget: Mutex::new(MAX_RETRY_BUDGET),
            unknown_route_log: Mutex::new(LogLimit::new(MAX_UNKNOWN_ROUTE_LOGS, LOG_LIMIT_WINDOW_MS)),
        }
    }

    /// Returns the newest view, with or without a lease. Requests must be decided by [`Edge::leased_view`] instead.
    pub fn view(&self) -> Arc<View> {
        self.followed().view
    }

    fn followed(&self) -> FollowedView {
        self.followed.read().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Returns the view that requests may be decided by, or `None` without a lease. Excludes a concurrent grant by
    /// holding the lease's lock.
    pub fn leased_view(&self, now: u64) -> Option<LeasedView> {
        let lease = lock_ignoring_poison(&self.lease);
        (now < lease.until).then(|| LeasedView::new(self.followed()))
    }

    /// Returns the target latency, in milliseconds, of the route that a request would match if nothing had changed
    /// since the last lease.
    pub fn last_known_target_latency_ms(&self, host: &str, path: &str) -> Option<u64> {
        self.followed().find_route(host, path).map(|(_, route)| route.target_latency_ms)
    }

    /// Returns the longest time, in milliseconds, that an accepted job may wait and run. A planned stop waits this long
    /// for the work under way.
    pub fn max_drain_ms(&self) -> u64 {
        let view = self.view();
        let Some(config) = &view.config else { return STOP_TIMEOUT_MS };
        let run = config.routes.values().map(|r| r.max_run_ms).max().unwrap_or(0);
        let wait = config
            .job_classes
            .values()
            .map(|w| w.target_wait_ms * MAX_WAIT_FACTOR)
            .fold(MIN_OVERLOAD_WAIT_MS, u64::max);
        (run + wait + DISPATCH_WINDOW_MS + STORE_TIMEOUT_MS).max(STOP_TIMEOUT_MS)
    }

    pub fn has_lease(&self, now: u64) -> bool {
        now < lock_ignoring_poison(&self.lease).until
    }

    /// Returns this edge's state of the servers that handle proxied requests.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock_ignoring_poison(&self.balancer)
    }

    /// Limits the memory, in bytes, for records of prompts that are cached at servers.
    pub fn limit_prompt_parts(&self, bytes: usize) {
        self.balancer().limit_parts(bytes / PROMPT_PART_BYTES);
    }

    /// Returns the cache of texts of turns that this edge has recently proxied.
    pub fn turn_texts(&self) -> MutexGuard<'_, TurnTexts> {
        lock_ignoring_poison(&self.turn_texts)
    }

    /// Returns the recent refusals of the store groups.
    pub fn admission(&self) -> MutexGuard<'_, EdgeAdmission> {
        lock_ignoring_poison(&self.admission)
    }

    /// Decides whether a request on an unknown route may be logged now. Returns the number of log lines suppressed
    /// since the last one, or `None` if it may not.
    pub fn admit_unknown_route_log(&self, now: u64) -> Option<u64> {
        lock_ignoring_poison(&self.unknown_route_log).admit(now)
    }

    /// Final check before a proxied request is sent.
    pub fn may_proxy(&self, now: u64, group: &str, server: &str) -> bool {
        self.has_lease(now) && self.balancer().is_usable(group, server)
    }

    /// Returns the term of the leader that issued the newest grant.
    pub fn term(&self) -> u64 {
        lock_ignoring_poison(&self.lease).term
    }

    /// Final check before a job is sent: whether this server may receive work now.
    pub fn may_dispatch(&self, now: u64, server: &str, since: u64) -> bool {
        // the lease's lock is held while the view is read, so that no grant is applied in between
        let lease = lock_ignoring_poison(&self.lease);
        let view = self.view();
        now < lease.until
            && view.is_usable(server)
            && view.servers.get(server).is_some_and(|s| s.warmup_revision == since)
    }

    fn queue(&self, group: &str) -> Option<SharedQueue> {
        self.queues.read().unwrap_or_else(|e| e.into_inner()).get(group).cloned()
    }

    fn all_queues(&self) -> Vec<SharedQueue> {
        self.queues.read().unwrap_or_else(|e| e.into_inner()).values().cloned().collect()
    }

    pub fn build_renewal(&self, now: u64) -> LeaseRenewal {
        let have = self.view().revision;
        // shares are valid only with the lease: an edge that was suspended must not claim slots that may have been
        // given to another edge since
        let (last_grant, term, licensed) = {
            let lease = lock_ignoring_poison(&self.lease);
            (lease.number, lease.term, now < lease.until)
        };
        let share = |server: &ServerSlots| if licensed { server.share } else { 0 };
        let (mut demand, mut slot_reports) = (vec![], vec![]);
        for queue in self.all_queues() {
            let queue = lock_ignoring_poison(&queue);
            demand.push((queue.group.clone(), queue.demand()));
            // servers without a share and without jobs are not reported
            slot_reports.extend(queue.servers.iter().filter(|(_, server)| share(server) + server.busy > 0).map(
                |(name, server)| SlotReport {
                    server: name.clone(),
                    share: share(server),
                    busy: server.busy,
                    done: server.done,
                    warmup_revision: server.warmup_revision,
                    started_at: server.started_at,
                    returned: server.has_returned(),
                },
            ));
        }
        let reports = self.balancer().report(now);
        let mut measurements = lock_ignoring_poison(&self.measurements);
        measurements.last_sent = measurements.last_number;
        let last_acknowledged = measurements.last_acknowledged;
        let fresh = measurements.windows.iter().filter(|(_, window)| window.sequence > last_acknowledged);
        let windows = fresh.map(|(middle, window)| Window { age_ms: now - middle, ..window.clone() }).collect();
        LeaseRenewal {
            node: self.id,
            zone: self.zone.clone(),
            addr: self.addr.clone(),
            applied_revision: have,
            last_grant,
            demand,
            slot_reports,
            windows,
            term,
            reports,
        }
    }

    /// Applies the controller's answer to the renewal that was sent at `sent`.
    pub fn apply_grant(&self, now: u64, sent: u64, mut grant: LeaseGrant) {
        let mut lease = lock_ignoring_poison(&self.lease);
        // a new leader confirms the shares that the renewal claimed; if the lease under which they were claimed has
        // expired since, the previous leader may have given them to another edge
        if lease.number > 0 && now >= lease.until && grant.term != lease.term {
            grant.shares.clear();
        }
        let before = self.followed();
        let old = &before.view;
        let new = match grant.update {
            // a view is never replaced by an older one
            ViewUpdate::FullView(view) => (view.revision >= old.revision).then_some(*view),
            ViewUpdate::Events(events) if events.iter().all(|(revision, _)| *revision <= old.revision) => None,
            ViewUpdate::Events(events) => {
                let mut view = View::clone(old);
                // several events may share a revision, so the new ones are selected before the first is applied
                events
                    .iter()
                    .filter(|(revision, _)| *revision > old.revision)
                    .for_each(|(revision, event)| view.apply(*revision, event));
                Some(view)
            }
        };
        let mut measurements = lock_ignoring_poison(&self.measurements);
        // a new leader has no windows: all of them are sent again
        measurements.last_acknowledged = if grant.term == lease.term { measurements.last_sent } else { 0 };
        drop(measurements);
        self.all_queues().iter().for_each(|queue| lock_ignoring_poison(queue).record_renewal_answer(sent));
        (lease.number, lease.term) = (grant.number, grant.term);
        // the lease is valid only if the granted revision has been applied
        if new.as_ref().map_or(old.revision, |view| view.revision) >= grant.revision {
            lease.until = sent + LEASE_MS - CLOCK_DRIFT_MS;
        }
        let view = new.as_ref().unwrap_or(old);
        let mut balancer = lock_ignoring_poison(&self.balancer);
        balancer.apply_view(view, &grant.cold_rates, grant.live_edges);
        balancer.note_fleet(now, view, &grant.fleet_digest);
        drop(balancer);
        match new {
            Some(view) => {
                self.update_queues(&view, &grant.shares);
                let followed = FollowedView::after(&before, view);
                *self.followed.write().unwrap_or_else(|e| e.into_inner()) = followed;
            }
            // only the shares are new
            None => self.all_queues().iter().for_each(|queue| lock_ignoring_poison(queue).apply_shares(&grant.shares)),
        }
    }

    fn update_queues(&self, view: &View, shares: &BTreeMap<String, u32>) {
        let mut queues = self.queues.write().unwrap_or_else(|e| e.into_inner());
        if let Some(config) = &view.config {
            for (name, group) in config.groups.iter().filter(|(_, group)| group.proxy.is_none()) {
                if !queues.contains_key(name) {
                    let queue = AdmissionQueue::new(name, &self.zone, group.clone(), config.job_classes.clone());
                    queues.insert(name.clone(), Arc::new(Mutex::new(queue)));
                }
            }
        }
        queues.values().for_each(|queue| lock_ignoring_poison(queue).apply_view(view, shares));
        if let Some(config) = &view.config {
            // a caller that holds a reference may be about to enqueue a job: the queue is kept until the next update
            let idle = |queue: &SharedQueue| Arc::strong_count(queue) == 1 && lock_ignoring_poison(queue).demand() == 0;
            let in_use = |name: &String| config.groups.contains_key(name) || view.draining_groups.contains_key(name);
            queues.retain(|name, queue| in_use(name) || !idle(queue));
        }
    }

    /// Clears all shares if the lease has expired: they are valid only with a lease.
    pub fn clear_lapsed_shares(&self, now: u64) {
        if !self.has_lease(now) {
            for queue in self.all_queues() {
                lock_ignoring_poison(&queue).servers.values_mut().for_each(|server| server.set_share(0));
            }
        }
    }

    pub fn enqueue(&self, now: u64, group: &str, job: QueuedJob<()>) -> oneshot::Receiver<Result<SlotGuard, Refusal>> {
        let (reply, receiver) = oneshot::channel();
        let job = QueuedJob {
            job_class: job.job_class,
            queued_at: job.queued_at,
            deadline: job.deadline,
            affinity: job.affinity,
            avoid_server: job.avoid_server,
            reply,
        };
        let refused = match self.queue(group) {
            Some(queue) => lock_ignoring_poison(&queue).enqueue(now, job).err(),
            None => Some((job.reply, Refusal::Overloaded)),
        };
        if let Some((reply, refusal)) = refused {
            // a client that has disconnected needs no answer
            let _ = reply.send(Err(refusal));
        }
        self.dispatch_queued(now, group);
        receiver
    }

    pub fn dispatch_queued(&self, now: u64, group: &str) {
        let Some(queue) = self.queue(group) else { return };
        let may_dispatch = self.has_lease(now);
        let replies = lock_ignoring_poison(&queue).dispatch_queued(now, may_dispatch, |reply| reply.is_closed());
        for (reply, result) in replies {
            let result = result.map(|placed| SlotGuard { dispatch: placed, queue: Some(QueueRef(queue.clone())) });
            // a slot that no caller accepts is released on drop
            let _ = reply.send(result);
        }
    }

    pub fn dispatch_all_queued(&self, now: u64) {
        let groups: Vec<String> = self.queues.read().unwrap_or_else(|e| e.into_inner()).keys().cloned().collect();
        groups.iter().for_each(|group| self.dispatch_queued(now, group));
    }

    pub fn is_starved(&self, now: u64) -> bool {
        self.all_queues().iter().any(|queue| lock_ignoring_poison(queue).is_starved(now))
    }

    /// Adds a fraction of a retry to the retry budget; called for every job that arrives.
    pub fn earn_retry(&self) {
        let mut budget = lock_ignoring_poison(&self.retry_budget);
        *budget = (*budget + RETRY_BUDGET_SHARE).min(MAX_RETRY_BUDGET);
    }

    pub fn take_retry(&self) -> bool {
        let mut budget = lock_ignoring_poison(&self.retry_budget);
        let available = *budget >= 1.0;
        if available {
            *budget -= 1.0;
        }
        available
    }

    /// Records the result of a probe: the load that a backend reported, or `None` if it did not answer.
    pub fn record_probe(&self, now: u64, group: &str, server: &str, addr: &str, probe: Option<ServerProbe>) {
        if let Some(queue) = self.queue(group) {
            lock_ignoring_poison(&queue).record_probe(now, server, addr, probe);
        }
    }

    /// Records the latency of one call between groups, including its time in the queue.
    pub fn record_latency(&self, now: u64, caller: &str, callee: &str, ms: u64) {
        let mut measurements = lock_ignoring_poison(&self.measurements);
        self.rotate_window(now, &mut measurements);
        measurements.pairs.entry((caller.into(), callee.into())).or_default().add(ms);
    }

    /// Samples every queue for the group metrics of the window.
    pub fn sample_queues(&self, now: u64) {
        let mut measurements = lock_ignoring_poison(&self.measurements);
        self.rotate_window(now, &mut measurements);
        for queue in self.all_queues() {
            let queue = lock_ignoring_poison(&queue);
            let servers = queue.servers.len().max(1) as f64;
            let pressure = queue.servers.values().map(|s| s.pressure).fold(0.0, f64::max);
            let cache = queue.servers.values().map(|s| s.cache).sum::<f64>() / servers;
            let entry = measurements.groups.entry(queue.group.clone()).or_default();
            for (sum, value) in entry.0.iter_mut().zip([queue.queued as f64, f64::from(queue.busy), pressure, cache]) {
                *sum += value;
            }
            entry.1 += 1;
        }
        for (group, busy, _) in self.balancer().in_flight() {
            let entry = measurements.groups.entry(group).or_default();
            entry.0[1] += f64::from(busy);
            entry.1 += 1;
        }
    }

    fn rotate_window(&self, now: u64, measurements: &mut Measurements) {
        if now < measurements.window_start + MEASUREMENT_WINDOW_MS {
            return;
        }
        let window_start = now / MEASUREMENT_WINDOW_MS * MEASUREMENT_WINDOW_MS;
        if measurements.window_start == 0 {
            measurements.window_start = window_start.max(1);
            return;
        }
        let previous_start = std::mem::replace(&mut measurements.window_start, window_start);
        let pairs = std::mem::take(&mut measurements.pairs)
            .into_iter()
            .map(|((caller, callee), latencies)| (caller, callee, latencies))
            .collect();
        let mean = |(group, (sums, samples)): (String, ([f64; 4], u32))| {
            let samples = f64::from(samples.max(1));
            (group, sums[0] / samples, sums[1] / samples, sums[2] / samples, sums[3] / samples)
        };
        let groups = std::mem::take(&mut measurements.groups).into_iter().map(mean).collect();
        measurements.last_number += 1;
        let window = Window { sequence: measurements.last_number, age_ms: 0, pairs, groups };
        // stored with the middle of its period: rounding can't move that into the next period
        measurements.windows.push_back((previous_start + MEASUREMENT_WINDOW_MS / 2, window));
        while measurements.windows.len() > MAX_WINDOWS {
            measurements.windows.pop_front();
        }
    }

    /// Returns (group, queued, in flight, limit, longest wait relative to its target) of each queue, for metrics.
    pub fn queue_stats(&self, now: u64) -> Vec<(String, usize, u32, f64, f64)> {
        let stats = |queue: &SharedQueue| {
            let queue = lock_ignoring_poison(queue);
            (queue.group.clone(), queue.queued, queue.busy, queue.limit(), queue.max_relative_wait(now))
        };
        self.all_queues().iter().map(stats).collect()
    }

    /// Returns the servers whose probe is due: (group, server, address).
    pub fn due_probes(&self, now: u64) -> Vec<(String, String, String)> {
        let due_servers = |queue: &SharedQueue| {
            let mut queue = lock_ignoring_poison(queue);
            let group = queue.group.clone();
            queue.due_probes(now).into_iter().map(move |(name, addr)| (group.clone(), name, addr)).collect::<Vec<_>>()
        };
        self.all_queues().iter().flat_map(due_servers).collect()
    }
}

#[cfg(test)]
mod tests;
