//! Observability of a store: the size of its state by kind, its refusals by reason, and its recovery phases.

use hutbook::constants::{OBSERVE_INTERVAL_MS, STATE_LOG_STEP};
use hutbook::coordination::replica::Replica;
use hutbook::coordination::store::{Store, StoreResponse};
use hutbook::transport::daemon::metric;
use hutbook::transport::logs::{event, Field};
use hutbook::transport::recovery_phases::RecoveryPhases;
use hutbook::transport::refusals::RefusalCounts;
use hutbook::transport::replica_runtime::{Clock, ReplicaRuntime};
use log::Level;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Bytes in a kibibyte, the unit in which the kernel reports a process's memory.
const KIBIBYTE: u64 = 1024;

/// Why a store refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRefusal {
    /// The state or the texts are close to their share of the memory or the disk, or exceed it.
    NoRoom,
    /// Too many requests are in progress, or the same turn is; the state has capacity.
    Busy,
    /// This member knows no leader of its group.
    NoLeader,
    /// Another member is the leader, to which the client is redirected.
    NotLeader,
    /// This process belongs to no group, or not to the requested one.
    NotMember,
    /// Writes to the data folder fail.
    DiskFailing,
    /// The request was accepted, and its outcome is unknown.
    OutcomeUnknown,
    /// The previous turn is not stored.
    TurnUnknown,
    /// The program's token budget is used up.
    BudgetSpent,
}

impl StoreRefusal {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreRefusal::NoRoom => "no_room",
            StoreRefusal::Busy => "busy",
            StoreRefusal::NoLeader => "no_leader",
            StoreRefusal::NotLeader => "not_leader",
            StoreRefusal::NotMember => "not_member",
            StoreRefusal::DiskFailing => "disk_failing",
            StoreRefusal::OutcomeUnknown => "outcome_unknown",
            StoreRefusal::TurnUnknown => "turn_unknown",
            StoreRefusal::BudgetSpent => "budget_spent",
        }
    }
}

/// Size of a store's state by kind, in bytes as the memory budget counts them, and of its log and snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Texts of turns on disk, including unreferenced ones that share a segment with others.
    pub texts_on_disk: u64,
    /// Index of stored turns.
    pub turns: u64,
    /// Accounts and programs.
    pub accounts: u64,
    pub jobs: u64,
    /// Sum of turns, accounts and jobs.
    pub total: u64,
    /// Limit of that sum.
    pub bound: u64,
    /// Number of log entries in memory.
    pub log_entries: u64,
    /// Entries applied since the newest snapshot.
    pub log: u64,
    pub snapshot: u64,
}

impl StateSize {
    /// Reads the sizes of a replica from its counters, without traversing the state, so it may be called often.
    pub fn of(replica: &Replica<Store>) -> StateSize {
        let usage = replica.machine.usage();
        let (total, bound) = replica.machine.state_bytes();
        StateSize {
            texts_on_disk: replica.machine.text_disk_bytes().0,
            turns: usage.turn_index as u64,
            accounts: (usage.accounts + usage.programs) as u64,
            jobs: usage.jobs as u64,
            total: total as u64,
            bound: bound as u64,
            log_entries: replica.raft.log_len() as u64,
            log: replica.applied_bytes() as u64,
            snapshot: replica.snapshot_bytes() as u64,
        }
    }

    fn kinds(&self) -> [(&'static str, u64); 8] {
        [
            ("texts_on_disk", self.texts_on_disk),
            ("turns", self.turns),
            ("accounts", self.accounts),
            ("jobs", self.jobs),
            ("total", self.total),
            ("bound", self.bound),
            ("log", self.log),
            ("snapshot", self.snapshot),
        ]
    }
}

/// Returns the resident memory of this process in bytes; None if the kernel does not report it.
pub fn resident_bytes() -> Option<u64> {
    parse_resident_bytes(&std::fs::read_to_string("/proc/self/status").ok()?)
}

/// Parses the resident size, in bytes, from the text of `/proc/PID/status`.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * KIBIBYTE)
}

/// Returns why a response is a refusal; None if it is not one. `is_disk_failing` is called only for responses that a
/// failing disk may cause.
pub fn classify(response: &StoreResponse, is_disk_failing: impl FnOnce() -> bool) -> Option<StoreRefusal> {
    Some(match response {
        StoreResponse::Busy(Some(_)) => StoreRefusal::NoRoom,
        StoreResponse::Busy(None) => StoreRefusal::Busy,
        StoreResponse::NotLeader(Some(_)) => StoreRefusal::NotLeader,
        StoreResponse::NotLeader(None) if is_disk_failing() => StoreRefusal::DiskFailing,
        StoreResponse::NotLeader(None) => StoreRefusal::NoLeader,
        StoreResponse::WrongGroup => StoreRefusal::NotMember,
        StoreResponse::OutcomeUnknown => StoreRefusal::OutcomeUnknown,
        StoreResponse::PreviousTurnUnknown => StoreRefusal::TurnUnknown,
        StoreResponse::TurnBudgetSpent => StoreRefusal::BudgetSpent,
        _ => return None,
    })
}

/// Counters and recovery phases of a store process.
#[derive(Default)]
pub struct StoreMetrics {
    pub refusals: RefusalCounts,
    pub phases: Arc<RecoveryPhases>,
}

impl StoreMetrics {
    /// Counts a response if it is a refusal.
    pub fn observe(&self, response: &StoreResponse, runtime: &ReplicaRuntime<Store>) {
        let is_disk_failing = || runtime.disk_failing.load(Ordering::Relaxed);
        if let Some(refusal) = classify(response, is_disk_failing) {
            self.refusals.count(refusal.name());
        }
    }

    /// Appends the metrics of the process and its state. The replica's own are written by the caller.
    pub fn write_metrics(&self, out: &mut String, runtime: Option<&ReplicaRuntime<Store>>) {
        self.refusals.write_metrics(out, "refusals_total");
        self.phases.write_metrics(out);
        if let Some(resident) = resident_bytes() {
            metric(out, "resident_bytes", &[], resident);
        }
        let Some(runtime) = runtime else { return };
        metric(out, "inbox_full_total", &[], runtime.inbox_full.load(Ordering::Relaxed));
        metric(out, "texts_mended_total", &[], runtime.with_replica(|replica| replica.texts_repaired()));
        metric(out, "disk_failing", &[], u8::from(runtime.disk_failing.load(Ordering::Relaxed)));
        for (kind, bytes) in runtime.with_replica(StateSize::of).kinds() {
            metric(out, "store_bytes", &[("kind", kind)], bytes);
        }
    }
}

fn log_state(size: &StateSize, runtime: &ReplicaRuntime<Store>) {
    let (leads, clock_ms) = runtime.with_replica(|replica| (replica.is_leader(), replica.machine.counts().2));
    let mut fields: Vec<Field> = size.kinds().iter().map(|(kind, bytes)| (*kind, (*bytes).into())).collect();
    fields.push(("log_entries", size.log_entries.into()));
    fields.push(("leads", u64::from(leads).into()));
    fields.push(("clock_ms", clock_ms.into()));
    fields.push(("sync_ms", runtime.sync_ms.load(Ordering::Relaxed).into()));
    fields.push(("inbox_full", runtime.inbox_full.load(Ordering::Relaxed).into()));
    if let Some(resident) = resident_bytes() {
        fields.push(("resident", resident.into()));
    }
    event(Level::Info, "store_state", &fields);
}

/// Returns whether the state has changed enough since it was last logged.
fn has_changed_enough(now: &StateSize, logged: &StateSize) -> bool {
    now.total.abs_diff(logged.total) as f64 >= now.bound as f64 * STATE_LOG_STEP
}

/// Logs refusals, the state and overdue recovery phases, each at most once a second. The state is logged while
/// requests are refused, or when it has changed considerably. Runs until the process ends.
pub async fn observe<G>(
    metrics: Arc<StoreMetrics>,
    assigned: Arc<OnceLock<(G, Arc<ReplicaRuntime<Store>>)>>,
    clock: Clock,
) {
    let mut logged = StateSize::default();
    loop {
        actix_rt::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        metrics.phases.warn_of_overdue(clock.now());
        let refused = metrics.refusals.log("store_refusals");
        let Some((_, runtime)) = assigned.get() else { continue };
        let size = runtime.with_replica(StateSize::of);
        if refused || has_changed_enough(&size, &logged) {
            log_state(&size, runtime);
            logged = size;
        }
    }
}
