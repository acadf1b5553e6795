//! Admission queue of one group at one edge: decides the order of jobs, how many run, and on which server.

use super::view::{hash, GroupSlot, View};
use crate::constants::*;
use crate::state::config::{Group, JobClass};
use std::collections::{BTreeMap, VecDeque};

/// Why a job was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It could not finish before its deadline.
    NoTime,
    /// It waited longer than allowed for its job class.
    Overloaded,
    QueueFull,
}

impl Refusal {
    pub fn code(self) -> &'static str {
        match self {
            Refusal::NoTime => "no_time_left",
            Refusal::Overloaded => "overloaded",
            Refusal::QueueFull => "queue_full",
        }
    }
}

/// How a job ended on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// The server completed it: it counts towards the server's warm-up.
    Finished,
    /// Cancelled by this edge; no evidence about the server.
    Cancelled,
    Failed,
    /// The connection to the server was lost or could not be established.
    ConnectionLost,
}

/// A queued job; `T` is the handle through which its request is answered.
pub struct QueuedJob<T> {
    pub job_class: String,
    pub queued_at: u64,
    /// Deadline, on this node's clock.
    pub deadline: u64,
    /// Hash of its prompt prefix or program, by which a server is preferred.
    pub affinity: u64,
    /// A server on which it has already failed.
    pub avoid_server: Option<String>,
    pub reply: T,
}

/// The server that a job was assigned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub server: String,
    pub addr: String,
    pub warmup_revision: u64,
    pub waited_ms: u64,
}

/// The state that a server reported when it was probed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerProbe {
    pub pressure: f64,
    pub cache: f64,
    pub started_at: u64,
}

pub type QueueReply<T> = (T, Result<Dispatch, Refusal>);

#[derive(Default, Clone)]
pub struct ServerSlots {
    pub addr: String,
    pub zone: String,
    pub warmup_revision: u64,
    pub share: u32,
    pub busy: u32,
    pub done: u64,
    pub usable: bool,
    /// Jobs waiting there and the used share of its KV cache, as last reported by the server.
    pub pressure: f64,
    pub cache: f64,
    /// When its process started: as last reported by the server, and as agreed by the control group.
    pub started_at: u64,
    agreed_started_at: u64,
    /// It receives no work before its first successful probe, nor between a lost connection and the next successful
    /// probe.
    probed: bool,
    unreachable_since: Option<u64>,
    next_probe_at: u64,
    /// Since when it is back after it was unreachable or ejected: it receives no work until the control group has
    /// agreed on that, or until some time after a leader was informed.
    returned_at: Option<u64>,
    reported_at: Option<u64>,
    failures: u32,
    ejected_until: u64,
    salt: u64,
}

impl ServerSlots {
    /// Whether it has a slot for new work: one trial job at a server that failed, none while it is ejected.
    fn has_free_slot(&self, now: u64) -> bool {
        let max_busy = match self.failures >= EJECTION_FAILURES {
            true if now < self.ejected_until => 0,
            true => self.share.min(1),
            false => self.share,
        };
        self.usable && self.probed && self.unreachable_since.is_none() && self.busy < max_busy
    }

    /// Sets its share. A server without a share isn't probed, so it must be probed again before it receives work.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
        if share == 0 {
            (self.probed, self.next_probe_at) = (false, 0);
        }
    }

    /// Records that the server is unreachable. It may be a different process afterwards: the next probe decides.
    fn mark_unreachable(&mut self, now: u64) {
        self.unreachable_since.get_or_insert(now);
        self.next_probe_at = self.next_probe_at.min(now + PROBE_SOON_MS);
    }

    pub fn has_returned(&self) -> bool {
        self.returned_at.is_some()
    }

    /// Records the result of a probe: `None` if there was no answer, else its load and the start time of its process.
    fn record_probe(&mut self, now: u64, probe: Option<ServerProbe>) {
        self.next_probe_at = now + PROBE_INTERVAL_MS;
        let Some(probe) = probe else { return self.mark_unreachable(now) };
        (self.pressure, self.cache, self.started_at) = (probe.pressure, probe.cache, probe.started_at);
        self.probed = true;
        if self.agreed_started_at != 0 && probe.started_at != 0 && probe.started_at != self.agreed_started_at {
            // not the process that the control group knows: no work until its warm-up has been agreed on
            return self.mark_unreachable(now);
        }
        if self.returned_at.is_some() {
            // agreement takes little time; a single edge is not believed, and then continues with the server
            if self.reported_at.is_some_and(|reported_at| now >= reported_at + RETURNED_SERVER_HOLD_MS) {
                (self.returned_at, self.reported_at, self.unreachable_since) = (None, None, None);
            }
        } else if let Some(since) = self.unreachable_since {
            if probe.started_at != 0 && now < since + EJECTION_MS {
                self.unreachable_since = None;
            } else {
                // unreachable for long, or it doesn't report whether it is the same process
                self.returned_at = Some(now);
            }
        }
        if self.unreachable_since.is_some() {
            self.next_probe_at = now + PROBE_SOON_MS;
        }
    }
}

pub struct AdmissionQueue<T> {
    pub group: String,
    zone: String,
    settings: Group,
    job_classes: BTreeMap<String, JobClass>,
    class_queues: BTreeMap<String, ClassQueue<T>>,
    pub servers: BTreeMap<String, ServerSlots>,
    pub queued: usize,
    pub busy: u32,
    limit: f64,
    /// The limit grows exponentially until jobs are too slow for the first time.
    slow_start: bool,
    recent_latencies: VecDeque<u64>,
    limit_adjusted_at: u64,
    /// Smoothed time from a job's start to the first chunk of its answer, in milliseconds.
    latency_estimate_ms: f64,
    last_number: u64,
}

struct ClassQueue<T> {
    /// By deadline, then by arrival.
    by_deadline: BTreeMap<(u64, u64), QueuedJob<T>>,
    by_age: BTreeMap<u64, (u64, u64)>,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        ClassQueue { by_deadline: BTreeMap::new(), by_age: BTreeMap::new() }
    }
}

impl<T> ClassQueue<T> {
    fn take(&mut self, key: (u64, u64)) -> Option<QueuedJob<T>> {
        self.by_age.remove(&key.1);
        self.by_deadline.remove(&key)
    }

    fn oldest(&self) -> Option<u64> {
        let (_, key) = self.by_age.first_key_value()?;
        self.by_deadline.get(key).map(|job| job.queued_at)
    }
}

impl<T> AdmissionQueue<T> {
    pub fn new(group: &str, zone: &str, settings: Group, job_classes: BTreeMap<String, JobClass>) -> Self {
        AdmissionQueue {
            group: group.into(),
            zone: zone.into(),
            settings,
            job_classes,
            class_queues: BTreeMap::new(),
            servers: BTreeMap::new(),
            queued: 0,
            busy: 0,
            limit: INITIAL_CONCURRENCY_LIMIT,
            slow_start: true,
            recent_latencies: VecDeque::new(),
            limit_adjusted_at: 0,
            latency_estimate_ms: 0.0,
            last_number: 0,
        }
    }

    /// Applies the newest view. Work that is already queued or running keeps the settings it started with.
    pub fn apply_view(&mut self, view: &View, shares: &BTreeMap<String, u32>) {
        if let Some(config) = &view.config {
            if let Some(settings) = config.groups.get(&self.group) {
                self.settings = settings.clone();
            }
            // a removed job class keeps its target wait for the jobs that were queued under it
            self.job_classes.extend(config.job_classes.clone());
            if self.job_classes.len() > MAX_WORK_KINDS {
                let class_queues = &self.class_queues;
                self.job_classes
                    .retain(|class, _| config.job_classes.contains_key(class) || class_queues.contains_key(class));
            }
        }
        let none = BTreeMap::new();
        let spots: &BTreeMap<String, GroupSlot> = view.group_slots.get(&self.group).unwrap_or(&none);
        for (name, server) in &mut self.servers {
            server.usable = view.is_usable(name) && spots.contains_key(name);
            server.set_share(if server.usable { shares.get(name).copied().unwrap_or(0) } else { 0 });
        }
        for name in spots.keys().filter(|name| view.is_usable(name)) {
            let Some(listed) = view.servers.get(name) else { continue };
            let server = self.servers.entry(name.clone()).or_default();
            if server.warmup_revision != listed.warmup_revision {
                // the server's warm-up has restarted: the state of the previous process no longer applies
                *server = ServerSlots {
                    busy: server.busy,
                    salt: hash(name),
                    warmup_revision: listed.warmup_revision,
                    ..ServerSlots::default()
                };
            }
            if server.agreed_started_at != listed.started_at && listed.started_at == server.started_at {
                // the control group has agreed on the process that this edge has probed
                server.unreachable_since = None;
            }
            server.agreed_started_at = listed.started_at;
            server.addr = listed.addr.clone();
            server.zone = listed.zone.clone();
            server.usable = true;
            server.set_share(shares.get(name).copied().unwrap_or(0));
        }
        self.servers.retain(|_, server| server.usable || server.busy > 0);
    }

    /// Applies new shares under an unchanged view.
    pub fn apply_shares(&mut self, shares: &BTreeMap<String, u32>) {
        for (name, server) in &mut self.servers {
            server.set_share(if server.usable { shares.get(name).copied().unwrap_or(0) } else { 0 });
        }
    }

    pub fn demand(&self) -> u32 {
        self.queued as u32 + self.busy
    }

    /// Returns true if jobs are queued and no slot is free, which justifies an early renewal.
    pub fn is_starved(&self, now: u64) -> bool {
        self.queued > 0 && !self.servers.values().any(|server| server.has_free_slot(now))
    }

    /// Returns the number of job classes whose target waits are retained.
    pub fn work_kinds(&self) -> usize {
        self.job_classes.len()
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the longest wait of any job class, relative to its target.
    pub fn max_relative_wait(&self, now: u64) -> f64 {
        self.class_queues
            .iter()
            .filter_map(|(class, queue)| Some(self.relative_wait(now, class, queue.oldest()?)))
            .fold(0.0, f64::max)
    }

    fn relative_wait(&self, now: u64, class: &str, since: u64) -> f64 {
        let target_ms = self.job_classes.get(class).map_or(1_000, |work| work.target_wait_ms).max(1);
        now.saturating_sub(since) as f64 / target_ms as f64
    }

    fn max_wait(&self, class: &str) -> u64 {
        let target_ms = self.job_classes.get(class).map_or(1_000, |work| work.target_wait_ms);
        (target_ms * MAX_WAIT_FACTOR).max(MIN_OVERLOAD_WAIT_MS)
    }

    pub fn enqueue(&mut self, now: u64, job: QueuedJob<T>) -> Result<(), (T, Refusal)> {
        if self.queued >= MAX_QUEUED_JOBS {
            return Err((job.reply, Refusal::QueueFull));
        }
        if job.deadline <= now + self.latency_estimate_ms as u64 {
            return Err((job.reply, Refusal::NoTime));
        }
        self.last_number += 1;
        let queue = self.class_queues.entry(job.job_class.clone()).or_default();
        queue.by_age.insert(self.last_number, (job.deadline, self.last_number));
        queue.by_deadline.insert((job.deadline, self.last_number), job);
        self.queued += 1;
        Ok(())
    }

    /// Assigns queued jobs to free slots and refuses those that can't be served in time. Without a lease no job is
    /// assigned.
    pub fn dispatch_queued(&mut self, now: u64, licensed: bool, is_gone: impl Fn(&T) -> bool) -> Vec<QueueReply<T>> {
        let mut out = self.refuse_late(now, &is_gone);
        while licensed && self.queued > 0 && f64::from(self.busy) < self.limit.floor().max(1.0) {
            // the job class whose oldest job has waited longest relative to its target; ties are broken by rank
            let next = self.class_queues.iter().filter_map(|(class, queue)| {
                let rank = self.job_classes.get(class).map_or(u32::MAX, |work| work.rank);
                Some((self.relative_wait(now, class, queue.oldest()?), std::cmp::Reverse(rank), class.clone()))
            });
            let Some((_, _, class)) = next.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))) else { break };
            let queue = self.class_queues.get_mut(&class).expect("just seen");
            let (key, job) = queue.by_deadline.first_key_value().expect("a class with an oldest job has a first one");
            let key = *key;
            let (affinity, avoid) = (job.affinity, job.avoid_server.clone());
            let Some(server) = self.select_server(now, affinity, avoid.as_deref()) else { break };
            let queue = self.class_queues.get_mut(&class).expect("just seen");
            let job = queue.take(key).expect("just seen");
            self.queued -= 1;
            self.busy += 1;
            let slots = self.servers.get_mut(&server).expect("placed on a known server");
            slots.busy += 1;
            let dispatch = Dispatch {
                server,
                addr: slots.addr.clone(),
                warmup_revision: slots.warmup_revision,
                waited_ms: now - job.queued_at,
            };
            out.push((job.reply, Ok(dispatch)));
        }
        out
    }

    fn refuse_late(&mut self, now: u64, is_gone: &impl Fn(&T) -> bool) -> Vec<QueueReply<T>> {
        let mut out = vec![];
        let classes: Vec<String> = self.class_queues.keys().cloned().collect();
        for class in classes {
            let max_wait_ms = self.max_wait(&class);
            let estimate_ms = self.latency_estimate_ms as u64;
            let queue = self.class_queues.get_mut(&class).expect("just listed");
            let late: Vec<((u64, u64), Refusal)> = queue
                .by_deadline
                .iter()
                .filter_map(|(key, job)| {
                    let refusal = if job.deadline <= now + estimate_ms { Refusal::NoTime } else { Refusal::Overloaded };
                    (job.deadline <= now + estimate_ms || now >= job.queued_at + max_wait_ms || is_gone(&job.reply))
                        .then_some((*key, refusal))
                })
                .collect();
            for (key, refusal) in late {
                let job = queue.take(key).expect("just listed");
                self.queued -= 1;
                out.push((job.reply, Err(refusal)));
            }
            if queue.by_deadline.is_empty() {
                self.class_queues.remove(&class);
            }
        }
        out
    }

    /// Selects a server. The own zone is preferred, then the order of a rendezvous hash, so that jobs with a shared
    /// prefix reach the server that has it cached. An overloaded server is used only if all are overloaded.
    fn select_server(&self, now: u64, affinity: u64, avoid: Option<&str>) -> Option<String> {
        let has_capacity = |server: &ServerSlots| {
            server.pressure <= self.settings.max_pressure && server.cache <= self.settings.max_cache_usage
        };
        let candidates = self.servers.iter().filter(|(_, server)| server.has_free_slot(now));
        let best = candidates.max_by_key(|(name, server)| {
            let order = (affinity ^ server.salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (avoid != Some(name.as_str()), has_capacity(server), server.zone == self.zone, order ^ (order >> 29))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Records that a job has ended on its server. `first_chunk_ms` is the time to the first chunk of its answer, if
    /// one arrived.
    pub fn finish(&mut self, now: u64, server: &str, since: u64, first_chunk_ms: Option<u64>, end: JobEnd) {
        self.busy -= 1;
        if let Some(slots) = self.servers.get_mut(server) {
            slots.busy = slots.busy.saturating_sub(1);
            if end == JobEnd::Finished && slots.warmup_revision == since {
                slots.done += 1;
                if slots.failures >= EJECTION_FAILURES {
                    // back after an ejection: treated as cold if the other edges agree
                    slots.returned_at = Some(now);
                    slots.mark_unreachable(now);
                }
                slots.failures = 0;
            } else if end == JobEnd::Failed || end == JobEnd::ConnectionLost {
                slots.failures += 1;
                slots.ejected_until = now + EJECTION_MS;
            }
            if end == JobEnd::ConnectionLost && slots.warmup_revision == since {
                slots.mark_unreachable(now);
            }
        }
        let Some(ms) = first_chunk_ms else { return };
        self.latency_estimate_ms =
            if self.latency_estimate_ms == 0.0 { ms as f64 } else { self.latency_estimate_ms * 0.9 + ms as f64 * 0.1 };
        self.recent_latencies.push_back(ms);
        if ms <= self.settings.slo_ms && f64::from(self.busy) + 2.0 >= self.limit {
            self.limit += if self.slow_start { 1.0 } else { 1.0 / self.limit };
        }
        self.adjust_limit(now);
    }

    /// Once a second: reduces the limit by a fifth if the P90 latency exceeds the SLO.
    fn adjust_limit(&mut self, now: u64) {
        if now < self.limit_adjusted_at + LIMIT_ADJUST_INTERVAL_MS {
            return;
        }
        self.limit_adjusted_at = now;
        let mut latencies: Vec<u64> = self.recent_latencies.drain(..).collect();
        latencies.sort_unstable();
        if latencies.get(latencies.len() * 9 / 10).is_some_and(|latency| *latency > self.settings.slo_ms) {
            self.limit = (self.limit * CONCURRENCY_LIMIT_BACKOFF).max(1.0);
            self.slow_start = false;
        }
        let slots: u32 = self.servers.values().map(|server| server.share).sum();
        // the limit stays near the number of slots, or a later increase of slots would release a burst of jobs
        self.limit = self.limit.min(f64::from(slots.max(1)) + INITIAL_CONCURRENCY_LIMIT);
    }

    /// Records that a leader has answered a renewal that was sent at `sent`.
    pub fn record_renewal_answer(&mut self, sent: u64) {
        for server in self.servers.values_mut().filter(|server| server.returned_at.is_some_and(|since| since <= sent)) {
            server.reported_at.get_or_insert(sent);
        }
    }

    /// Returns the servers whose probe is due, and their addresses.
    pub fn due_probes(&mut self, now: u64) -> Vec<(String, String)> {
        let due =
            self.servers.iter_mut().filter(|(_, slots)| slots.usable && slots.share > 0 && slots.next_probe_at <= now);
        due.map(|(name, slots)| {
            slots.next_probe_at = now + PROBE_INTERVAL_MS;
            (name.clone(), slots.addr.clone())
        })
        .collect()
    }

    pub fn record_probe(&mut self, now: u64, server: &str, addr: &str, probe: Option<ServerProbe>) {
        if let Some(slots) = self.servers.get_mut(server).filter(|slots| slots.addr == addr) {
            slots.record_probe(now, probe);
        }
    }

    /// Releases a slot whose job was never sent: it counts neither as finished nor as failed.
    pub fn release_slot(&mut self, server: &str) {
        self.busy -= 1;
        if let Some(slots) = self.servers.get_mut(server) {
            slots.busy = slots.busy.saturating_sub(1);
        }
    }
}

#[cfg(test)]
mod tests;
