//! The store: a replica of a store group, which stores programs and jobs.

use crate::store_metrics::{observe, StoreMetrics, StoreRefusal};
use hutbook::constants::*;
use hutbook::coordination::control::{
    format_id, members_json, CheckIn, ControlRequest, ControlResponse, StoreAssignment,
};
use hutbook::coordination::store::{Store, StoreResponse};
use hutbook::protocol::settings::Settings;
use hutbook::protocol::wire::Body;
use hutbook::state::disk::{Disk, DiskError};
use hutbook::state::entry::{from_bytes, to_bytes, Member};
use hutbook::state::memory::MemoryBudget;
use hutbook::transport::connections::Connections;
use hutbook::transport::daemon::{self, answer_common_paths, metric, ShutdownFlag};
use hutbook::transport::http::{self, HttpResponse, Listener};
use hutbook::transport::leader_client::{open_jobs, LeaderClient, NetworkClient};
use hutbook::transport::network_environment::random_u64;
use hutbook::transport::recovery_phases::{follow_replica, BootSummary, Phase};
use hutbook::transport::replica_runtime::{Clock, ReplicaRuntime};
use hutbook::transport::rpc::{Handler, RpcTransport};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Kind of process that a data folder belongs to.
const KIND: u64 = 2;

type AssignedRuntime = Arc<OnceLock<(u32, Arc<ReplicaRuntime<Store>>)>>;

pub fn run(settings: Settings) -> Result<(), String> {
    actix_rt::System::new().block_on(run_until_stopped(settings, Clock::start()))
}

async fn run_until_stopped(settings: Settings, clock: Clock) -> Result<(), String> {
    daemon::ignore_hangups().map_err(|e| e.to_string())?;
    let shutdown = ShutdownFlag::default();
    daemon::ignore_file_size_signal();
    let data_dir = settings.data.clone().expect("checked with the settings");
    let budget = MemoryBudget::of(settings.memory_mb, settings.disk_mb);
    let store_metrics = Arc::new(StoreMetrics::default());
    store_metrics.phases.begin(Phase::FolderOpened, clock.now());
    let disk =
        daemon::retry_until_disk_accepts(|| Disk::open_with_cache(&data_dir, KIND, budget.disk_cache, random_u64))
            .await?;
    store_metrics.phases.reach(Phase::FolderOpened, clock.now(), &[]);
    let assigned = AssignedRuntime::default();
    let (rpc_assigned, rpc_metrics) = (assigned.clone(), store_metrics.clone());
    let handler: Handler = Arc::new(move |message, reply| match (message.body, rpc_assigned.get()) {
        (Body::Raft { group, msg, at }, Some((own_group, runtime))) if group == *own_group => {
            runtime.deliver(message.from, at, msg)
        }
        (Body::Raft { .. }, _) => {}
        (Body::StoreRequest { group, ask }, Some((own_group, runtime))) if group == *own_group => {
            let (response_metrics, response_runtime) = (rpc_metrics.clone(), runtime.clone());
            runtime.ask(*ask, StoreResponse::Busy(None), move |response| {
                response_metrics.observe(&response, &response_runtime);
                reply.send(Body::StoreResponse(Box::new(response)))
            })
        }
        (Body::StoreRequest { .. }, _) => {
            rpc_metrics.refusals.count(StoreRefusal::NotMember.name());
            reply.send(Body::StoreResponse(Box::new(StoreResponse::NotLeader(None))))
        }
        _ => reply.send(Body::Rejected("a bothy answers for its store group alone".into())),
    });
    let rpc = RpcTransport::start(disk.id, disk.cluster, Some(settings.wire), settings.advertised_addr(), handler)
        .map_err(|e| format!("{}: {e}", settings.wire))?;
    let me = Member { id: disk.id, addr: settings.advertised_addr().to_string() };
    let (http_assigned, http_rpc, http_shutdown, http_member, zone) =
        (assigned.clone(), rpc.clone(), shutdown.clone(), me.clone(), settings.zone.clone());
    let http_metrics = store_metrics.clone();
    let connections = daemon::api_connections(&settings, clock);
    let listener = Listener::of_api(settings.http, 1, connections.clone());
    let (server, active) = http::serve_on(listener, MAX_BODY_BYTES, shutdown.clone(), move |request| {
        let connections = connections.clone();
        let (assigned, rpc, shutdown, me, zone) =
            (http_assigned.clone(), http_rpc.clone(), http_shutdown.clone(), http_member.clone(), zone.clone());
        let store_metrics = http_metrics.clone();
        async move {
            let ready = match assigned.get() {
                None => Err("no store group has been assigned".to_string()),
                Some((_, runtime)) => runtime
                    .with_replica(|replica| replica.leader().map(drop).ok_or("the group has no leader".to_string())),
            };
            let response = answer_common_paths(
                &request,
                &shutdown,
                ready,
                || metrics(&assigned, &rpc, &store_metrics, &connections),
                || beliefs(&assigned, &rpc, &me, &zone),
            );
            response.unwrap_or_else(|| HttpResponse::error(404, "unknown_path", "nothing is served there"))
        }
    })
    .map_err(|e| format!("{}: {e}", settings.http))?;
    let handle = server.handle();
    actix_rt::spawn(server);
    log::info!("bothy {} listens at {}", format_id(me.id), me.addr);

    let seeds: Vec<String> = settings.seeds.iter().map(|addr| addr.to_string()).collect();
    actix_rt::spawn(observe(store_metrics.clone(), assigned.clone(), clock));
    let follower = AssignmentFollower {
        store_metrics,
        clock,
        rpc,
        assigned: assigned.clone(),
        me,
        zone: settings.zone,
        name: settings.name,
        seeds,
        budget,
        disk: Mutex::new(Some(disk)),
    };
    let follower_task = actix_rt::spawn(follower.run());
    tokio::select! {
        signal = daemon::wait_for_stop_signal(&shutdown) => signal.map_err(|e| e.to_string())?,
        ended = follower_task => return ended.map_err(|e| e.to_string())?,
    }
    if let Some((_, runtime)) = assigned.get() {
        for _ in 0..STOP_TIMEOUT_MS / CHECK_IN_INTERVAL_MS {
            if !runtime.with_replica(|replica| replica.is_leader() && replica.raft.members().voters.len() > 1) {
                break;
            }
            runtime.transfer_leadership();
            actix_rt::time::sleep(Duration::from_millis(CHECK_IN_INTERVAL_MS)).await;
        }
    }
    http::drain_server(handle, &active, STOP_TIMEOUT_MS).await;
    Ok(())
}

/// Reports to the control group and carries out its assignments.
struct AssignmentFollower {
    store_metrics: Arc<StoreMetrics>,
    clock: Clock,
    rpc: Arc<RpcTransport>,
    assigned: AssignedRuntime,
    me: Member,
    zone: String,
    name: String,
    seeds: Vec<String>,
    budget: MemoryBudget,
    /// The data folder, until the replica takes it over.
    disk: Mutex<Option<Disk>>,
}

impl AssignmentFollower {
    async fn run(self) -> Result<(), String> {
        let leader_client = LeaderClient::new(NetworkClient { rpc: self.rpc.clone(), clock: self.clock });
        // a folder that holds a group is served at once: the control group may be down as well after a total outage
        let stored_controllers = self.on_disk(|disk| disk.read_blob("cores")).await?.flatten();
        let mut controllers: Vec<Member> = stored_controllers.and_then(|bytes| from_bytes(&bytes)).unwrap_or_default();
        if let Some(group) = self.on_disk(|disk| disk.read_number("group")).await?.flatten() {
            self.start_replica(group as u32, false).await?;
        }
        let mut report_request: Option<StoreAssignment> = None;
        loop {
            let leadership = self.assigned.get().and_then(|(group, runtime)| {
                runtime.with_replica(|replica| {
                    replica.is_leader().then(|| (replica.raft.term, (*group, replica.raft.committed_members())))
                })
            });
            let (term, leads_group) = leadership.unzip();
            let mut open_job_reports = None;
            if let (Some(assignment), Some((group, _))) = (report_request.take(), &leads_group) {
                open_job_reports = open_jobs(&leader_client.client, &self.me.addr, *group, &assignment).await;
            }
            let check_in = CheckIn {
                member: self.me.clone(),
                zone: self.zone.clone(),
                leads_group,
                open_jobs: open_job_reports,
                name: self.name.clone(),
            };
            let mut addrs: Vec<String> = controllers.iter().map(|member| member.addr.clone()).collect();
            addrs.extend(self.seeds.iter().cloned());
            if let Some(ControlResponse::Assignment(assignment)) = leader_client
                .ask_controllers(&addrs, ControlRequest::CheckIn(check_in), OPERATOR_TIMEOUT_MS, RPC_TIMEOUT_MS)
                .await
            {
                self.apply_assignment(&assignment, &mut controllers, term).await?;
                report_request = assignment.needs_open_jobs.then_some(assignment);
            }
            // slots stay unused until the control group knows the open jobs
            let interval_ms = if report_request.is_some() { OPEN_JOBS_REPORT_MS } else { CHECK_IN_INTERVAL_MS };
            actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    /// Runs `access` on the data folder, retrying until the disk accepts it. Returns None once the replica has taken the
    /// folder over.
    async fn on_disk<T>(&self, access: impl Fn(&mut Disk) -> Result<T, DiskError>) -> Result<Option<T>, String> {
        let locked_access = || self.disk.lock().unwrap_or_else(|e| e.into_inner()).as_mut().map(&access).transpose();
        daemon::retry_until_disk_accepts(locked_access).await
    }

    /// Carries out an assignment. `led_term` is the term in which this machine led its group when it checked in. Only a
    /// leader of that same term carries out the wanted members, because the answer to an earlier one may be outdated.
    async fn apply_assignment(
        &self,
        assignment: &StoreAssignment,
        controllers: &mut Vec<Member>,
        led_term: Option<u64>,
    ) -> Result<(), String> {
        let cluster = self.on_disk(|disk| {
            if disk.cluster == 0 && assignment.cluster != 0 {
                disk.set_cluster(assignment.cluster)?;
            }
            if !assignment.controllers.is_empty() && *controllers != assignment.controllers {
                disk.write_blob("cores", &to_bytes(&assignment.controllers))?;
            }
            Ok(disk.cluster)
        });
        if let Some(cluster) = cluster.await? {
            self.rpc.cluster.store(cluster, Ordering::Relaxed);
        }
        if !assignment.controllers.is_empty() {
            controllers.clone_from(&assignment.controllers);
        }
        match (assignment.group, self.assigned.get()) {
            (Some(group), None) => self.start_replica(group, assignment.bootstraps_group).await?,
            (Some(_), Some((_, runtime))) => {
                let mut replica = runtime.replica.lock().unwrap_or_else(|e| e.into_inner());
                if replica.is_leader() && led_term == Some(replica.raft.term) {
                    replica.machine.orders.wanted_members.clone_from(&assignment.wanted);
                }
            }
            _ => {}
        }
        Ok(())
    }

    async fn start_replica(&self, group: u32, bootstraps_group: bool) -> Result<(), String> {
        let phases = &self.store_metrics.phases;
        phases.begin(Phase::SnapshotRead, self.clock.now());
        let loaded = self.on_disk(|disk| {
            if disk.read_number("group")? != Some(u64::from(group)) {
                disk.write_number("group", u64::from(group))?;
            }
            if bootstraps_group && disk.bootstrap_group(&self.me.addr, None)? {
                log::info!("formed store group {group}");
            }
            disk.load()
        });
        let Some(persisted) = loaded.await? else { return Ok(()) };
        let Some(disk) = self.disk.lock().unwrap_or_else(|e| e.into_inner()).take() else { return Ok(()) };
        let summary = BootSummary::of(&persisted);
        phases.reach(Phase::SnapshotRead, self.clock.now(), &summary.fields());
        let no_computation = Arc::new(|_| None);
        let texts = Arc::new(disk.stored_texts(self.budget.text_cache));
        let runtime = ReplicaRuntime::start(
            group,
            disk,
            persisted,
            Store::with(self.budget, texts.clone()),
            texts,
            self.budget,
            random_u64(),
            self.clock,
            self.rpc.clone(),
            no_computation,
        )
        .map_err(|e| e.to_string())?;
        actix_rt::spawn(follow_replica(runtime.clone(), summary, phases.clone(), self.clock));
        let _ = self.assigned.set((group, runtime));
        Ok(())
    }
}

fn beliefs(assigned: &AssignedRuntime, rpc: &RpcTransport, me: &Member, zone: &str) -> jzon::JsonValue {
    let mut json = jzon::object! {
        node: format_id(me.id), kind: "bothy", cell: zone, cluster: format_id(rpc.cluster.load(Ordering::Relaxed)),
    };
    if let Some((group, runtime)) = assigned.get() {
        runtime.with_replica(|replica| {
            let (programs, jobs, clock) = replica.machine.counts();
            json["group"] = (*group).into();
            json["term"] = replica.raft.term.into();
            json["leader"] = replica.raft.leader.map(format_id).into();
            json["members"] = members_json(replica.raft.members());
            json["applied"] = replica.raft.applied_index().into();
            json["programs"] = programs.into();
            json["jobs"] = jobs.into();
            json["clock_ms"] = clock.into();
            let (accounts, turns, bytes) = replica.machine.turn_counts();
            json["accounts"] = accounts.into();
            json["turns_kept"] = turns.into();
            json["turn_bytes"] = bytes.into();
        });
    }
    json
}

fn metrics(
    assigned: &AssignedRuntime,
    rpc: &RpcTransport,
    store_metrics: &StoreMetrics,
    connections: &Connections,
) -> String {
    let mut out = String::new();
    connections.write_metrics(&mut out);
    metric(&mut out, "frames_refused_total", &[], rpc.refused.load(Ordering::Relaxed));
    metric(&mut out, "strangers_closed_total", &[], rpc.strangers.closed());
    rpc.traffic.metrics().iter().for_each(|(name, value)| metric(&mut out, name, &[], value));
    store_metrics.write_metrics(&mut out, assigned.get().map(|(_, runtime)| &**runtime));
    if let Some((_, runtime)) = assigned.get() {
        metric(&mut out, "sync_ms", &[], runtime.sync_ms.load(Ordering::Relaxed));
        metric(&mut out, "sync_failed_total", &[], runtime.sync_failed.load(Ordering::Relaxed));
        runtime.with_replica(|replica| {
            let (programs, jobs, clock) = replica.machine.counts();
            metric(&mut out, "term", &[], replica.raft.term);
            metric(&mut out, "leads", &[], u8::from(replica.is_leader()));
            metric(&mut out, "commit", &[], replica.raft.commit_index);
            metric(&mut out, "log_entries", &[], replica.raft.log_len());
            metric(&mut out, "programs", &[], programs);
            metric(&mut out, "jobs", &[], jobs);
            metric(&mut out, "store_clock_ms", &[], clock);
            let (accounts, turns, bytes) = replica.machine.turn_counts();
            metric(&mut out, "accounts", &[], accounts);
            metric(&mut out, "turns_kept", &[], turns);
            metric(&mut out, "turn_bytes", &[], bytes);
            let (state, max_state) = replica.machine.state_bytes();
            metric(&mut out, "state_bytes", &[], state);
            metric(&mut out, "state_bytes_most", &[], max_state);
        });
    }
    out
}
