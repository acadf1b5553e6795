//! Phases from the start of a process to the first turn that it serves: each has a name, a duration and a bound.
//!
//! A phase that is reached is logged once, as event `recovery_phase`. One that exceeds its bound is warned about once,
//! as event `recovery_phase_overdue`, whether it is reached later or not.

use super::daemon::metric;
use super::logs::{event, Field};
use super::replica_runtime::{Clock, ReplicaRuntime};
use crate::constants::*;
use crate::coordination::replica::StateMachine;
use crate::state::disk::PersistedState;
use log::Level;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// One step of a process's recovery. Which phases a process has depends on its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Controller, store: the data directory is open and belongs to this process.
    FolderOpened,
    /// Controller, store: snapshot and log have been read from the disk.
    SnapshotRead,
    /// Controller, store: the group has a leader, as far as this member knows.
    LeaderKnown,
    /// Controller, store: every entry that the log held at the start has been applied.
    LogReplayed,
    /// Edge: it holds a lease.
    LeaseHeld,
    /// Edge: it knows a configuration and a store group.
    StoresKnown,
    /// Edge: a server has answered, measured from the first request.
    ServerAnswered,
    /// Edge: a stream has been relayed to its end, measured from the first request.
    TurnServed,
}

impl Phase {
    /// All phases, in the order in which they are usually reached.
    pub const ALL: [Phase; 8] = [
        Phase::FolderOpened,
        Phase::SnapshotRead,
        Phase::LeaderKnown,
        Phase::LogReplayed,
        Phase::LeaseHeld,
        Phase::StoresKnown,
        Phase::ServerAnswered,
        Phase::TurnServed,
    ];

    /// Returns the phase's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Phase::FolderOpened => "folder_opened",
            Phase::SnapshotRead => "snapshot_read",
            Phase::LeaderKnown => "leader_known",
            Phase::LogReplayed => "log_replayed",
            Phase::LeaseHeld => "lease_held",
            Phase::StoresKnown => "stores_known",
            Phase::ServerAnswered => "server_answered",
            Phase::TurnServed => "turn_served",
        }
    }

    /// Returns the longest time that the phase may take from its beginning, in milliseconds.
    pub fn bound_ms(self) -> u64 {
        match self {
            Phase::FolderOpened => FOLDER_OPENED_BOUND_MS,
            Phase::SnapshotRead => SNAPSHOT_READ_BOUND_MS,
            Phase::LeaderKnown => LEADER_KNOWN_BOUND_MS,
            Phase::LogReplayed => LOG_REPLAYED_BOUND_MS,
            Phase::LeaseHeld => LEASE_HELD_BOUND_MS,
            Phase::StoresKnown => STORES_KNOWN_BOUND_MS,
            Phase::ServerAnswered => SERVER_ANSWERED_BOUND_MS,
            Phase::TurnServed => TURN_SERVED_BOUND_MS,
        }
    }
}

/// Times on the process's clock, in milliseconds; zero means never.
#[derive(Default)]
struct Times {
    begun: AtomicU64,
    reached: AtomicU64,
    warned: AtomicBool,
}

/// When the phases of this process have begun and been reached. Shared by its threads.
#[derive(Default)]
pub struct RecoveryPhases {
    times: [Times; Phase::ALL.len()],
}

impl RecoveryPhases {
    fn times(&self, phase: Phase) -> &Times {
        &self.times[phase as usize]
    }

    /// Starts the phase and its bound; a second call has no effect.
    pub fn begin(&self, phase: Phase, now: u64) {
        let begun = &self.times(phase).begun;
        if begun.load(Ordering::Relaxed) == 0 {
            let _ = begun.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Ends the phase and logs it with `details` the first time. A phase that never began is ignored.
    pub fn reach(&self, phase: Phase, now: u64, details: &[Field]) {
        let times = self.times(phase);
        let begun = times.begun.load(Ordering::Relaxed);
        if begun == 0 || times.reached.load(Ordering::Relaxed) != 0 {
            return;
        }
        if times.reached.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).is_err() {
            return;
        }
        let took_ms = now.saturating_sub(begun);
        let mut fields: Vec<Field> = vec![
            ("phase", phase.name().into()),
            ("took_ms", took_ms.into()),
            ("since_start_ms", now.into()),
            ("bound_ms", phase.bound_ms().into()),
        ];
        fields.extend_from_slice(details);
        event(Level::Info, "recovery_phase", &fields);
        if took_ms > phase.bound_ms() && !times.warned.swap(true, Ordering::Relaxed) {
            warn_overdue(phase, took_ms);
        }
    }

    /// Returns the phases that have begun, aren't reached and have exceeded their bound; each is returned once.
    pub fn overdue(&self, now: u64) -> Vec<Phase> {
        let is_overdue = |phase: &Phase| {
            let times = self.times(*phase);
            let begun = times.begun.load(Ordering::Relaxed);
            let open = begun != 0 && times.reached.load(Ordering::Relaxed) == 0;
            open && now > begun + phase.bound_ms() && !times.warned.swap(true, Ordering::Relaxed)
        };
        Phase::ALL.into_iter().filter(is_overdue).collect()
    }

    /// Warns about every phase that is overdue now.
    pub fn warn_of_overdue(&self, now: u64) {
        for phase in self.overdue(now) {
            let begun = self.times(phase).begun.load(Ordering::Relaxed);
            warn_overdue(phase, now.saturating_sub(begun));
        }
    }

    /// Returns the phases that were reached, with the duration of each in milliseconds.
    pub fn durations(&self) -> Vec<(Phase, u64)> {
        let duration = |phase: Phase| {
            let times = self.times(phase);
            let reached = times.reached.load(Ordering::Relaxed);
            (reached != 0).then(|| (phase, reached.saturating_sub(times.begun.load(Ordering::Relaxed))))
        };
        Phase::ALL.into_iter().filter_map(duration).collect()
    }

    /// Appends one gauge for each phase that was reached, in milliseconds.
    pub fn write_metrics(&self, out: &mut String) {
        for (phase, took_ms) in self.durations() {
            metric(out, "recovery_phase_ms", &[("phase", phase.name())], took_ms);
        }
    }
}

fn warn_overdue(phase: Phase, elapsed_ms: u64) {
    let fields =
        [("phase", phase.name().into()), ("elapsed_ms", elapsed_ms.into()), ("bound_ms", phase.bound_ms().into())];
    event(Level::Warn, "recovery_phase_overdue", &fields);
}

/// What a replica found on its disk, as far as recovery is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootSummary {
    /// Number of entries read from the log, to be applied again.
    pub entries: u64,
    /// Index of the newest of them; that of the snapshot if there are none.
    pub last_index: u64,
    /// Size of the snapshot, in bytes.
    pub snapshot_bytes: u64,
}

impl BootSummary {
    /// Returns the summary of what `boot` holds.
    pub fn of(boot: &PersistedState) -> BootSummary {
        let snapshot_index = boot.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        BootSummary {
            entries: boot.entries.len() as u64,
            last_index: boot.entries.last().map_or(snapshot_index, |entry| entry.index),
            snapshot_bytes: boot.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len() as u64),
        }
    }

    /// Returns the summary as fields of a log line.
    pub fn fields(&self) -> Vec<Field<'static>> {
        vec![
            ("entries", self.entries.into()),
            ("last_index", self.last_index.into()),
            ("snapshot_bytes", self.snapshot_bytes.into()),
        ]
    }
}

/// Follows a replica until it knows a leader and has applied what its log held at the start.
pub async fn follow_replica<M>(
    runtime: Arc<ReplicaRuntime<M>>,
    boot: BootSummary,
    phases: Arc<RecoveryPhases>,
    clock: Clock,
) where
    M: StateMachine + Send + 'static,
    M::Request: Send + 'static,
    M::Response: Send + 'static,
    M::Computation: Send + 'static,
{
    phases.begin(Phase::LeaderKnown, clock.now());
    phases.begin(Phase::LogReplayed, clock.now());
    loop {
        let (leader, leads, term, applied) = runtime.with_replica(|replica| {
            (replica.leader(), replica.is_leader(), replica.raft.term, replica.raft.applied_index())
        });
        if leader.is_some() {
            let details = [("term", term.into()), ("leads", u64::from(leads).into())];
            phases.reach(Phase::LeaderKnown, clock.now(), &details);
        }
        if leader.is_some() && applied >= boot.last_index {
            let details = [("entries", boot.entries.into()), ("applied", applied.into())];
            phases.reach(Phase::LogReplayed, clock.now(), &details);
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(RECOVERY_POLL_MS)).await;
    }
}
