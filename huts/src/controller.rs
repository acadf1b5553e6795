//! The controller: a replica of the control group, which holds the fleet's replicated state and steers the fleet.

use hutbook::constants::*;
use hutbook::coordination::control::{
    bootstrap_cluster_id, bootstrap_member_id, compute_scaling_decision, format_id, members_json, ControlRequest,
    ControlResponse, ControlStateMachine,
};
use hutbook::protocol::settings::Settings;
use hutbook::protocol::wire::{Body, CONTROL_GROUP};
use hutbook::state::disk::Disk;
use hutbook::state::entry::Member;
use hutbook::state::memory::MemoryBudget;
use hutbook::transport::connections::Connections;
use hutbook::transport::daemon::{self, answer_common_paths, metric, ShutdownFlag};
use hutbook::transport::directory::{self, Directory};
use hutbook::transport::http::{self, HttpRequest, Listener};
use hutbook::transport::leader_client::{LeaderClient, NetworkClient};
use hutbook::transport::network_environment::random_u64;
use hutbook::transport::operator_api::{self, OperatorProtocol};
use hutbook::transport::recovery_phases::{follow_replica, BootSummary, Phase, RecoveryPhases};
use hutbook::transport::replica_runtime::{Clock, ReplicaRuntime};
use hutbook::transport::rpc::{Handler, RpcTransport};
use hutbook::transport::stall_detector::StallDetector;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Kind of process that a data folder belongs to.
const KIND: u64 = 1;

pub fn run(
    settings: Settings,
    protocol: Box<dyn OperatorProtocol>,
    server_directory: Option<Box<dyn Directory>>,
) -> Result<(), String> {
    let protocol: Arc<dyn OperatorProtocol> = Arc::from(protocol);
    actix_rt::System::new().block_on(run_until_stopped(settings, Clock::start(), protocol, server_directory))
}

async fn run_until_stopped(
    settings: Settings,
    clock: Clock,
    protocol: Arc<dyn OperatorProtocol>,
    server_directory: Option<Box<dyn Directory>>,
) -> Result<(), String> {
    daemon::ignore_hangups().map_err(|e| e.to_string())?;
    let shutdown = ShutdownFlag::default();
    daemon::ignore_file_size_signal();
    let data_dir = settings.data.clone().expect("checked with the settings");
    // the id of a bootstrap member is derived from its address, so the others know it before any contact
    let bootstrap_addrs: Vec<String> = settings.bootstrap_members.iter().map(|addr| addr.to_string()).collect();
    let own_addr = settings.advertised_addr().to_string();
    let id = || if bootstrap_addrs.contains(&own_addr) { bootstrap_member_id(&own_addr) } else { random_u64() };
    let budget = MemoryBudget::of(settings.memory_mb, settings.disk_mb);
    let phases = Arc::new(RecoveryPhases::default());
    phases.begin(Phase::FolderOpened, clock.now());
    let mut disk =
        daemon::retry_until_disk_accepts(|| Disk::open_with_cache(&data_dir, KIND, budget.disk_cache, id)).await?;
    phases.reach(Phase::FolderOpened, clock.now(), &[]);
    let me = Member { id: disk.id, addr: settings.advertised_addr().to_string() };
    let bootstrap_members: Vec<Member> = match settings.bootstraps_cluster {
        true => vec![me.clone()],
        false => bootstrap_addrs.into_iter().map(|addr| Member { id: bootstrap_member_id(&addr), addr }).collect(),
    };
    if bootstrap_members.contains(&me) && disk.cluster == 0 {
        let addrs: Vec<String> = bootstrap_members.iter().map(|member| member.addr.clone()).collect();
        let cluster = if settings.bootstraps_cluster { random_u64() } else { bootstrap_cluster_id(&addrs) };
        // the log is written first, so that a folder that names a cluster always holds its first entries
        daemon::retry_until_disk_accepts(|| {
            disk.bootstrap_group_of(&bootstrap_members, Some(ControlStateMachine::bootstrap_command(cluster)))
        })
        .await?;
        daemon::retry_until_disk_accepts(|| disk.set_cluster(cluster)).await?;
        log::info!("formed cluster {}", format_id(cluster));
    }
    let shared_runtime: Arc<OnceLock<Arc<ReplicaRuntime<ControlStateMachine>>>> = Arc::default();
    let runtime_for_rpc = shared_runtime.clone();
    let handler: Handler = Arc::new(move |message, reply| match (message.body, runtime_for_rpc.get()) {
        (Body::Raft { group: CONTROL_GROUP, msg, at }, Some(runtime)) => runtime.deliver(message.from, at, msg),
        (Body::ControlRequest(request), Some(runtime)) => {
            runtime.ask(*request, ControlResponse::Busy, move |response| {
                reply.send(Body::ControlResponse(Box::new(response)))
            })
        }
        (Body::ControlRequest(_), None) => {
            reply.send(Body::ControlResponse(Box::new(ControlResponse::NotLeader(None))))
        }
        (Body::Raft { .. }, _) => {}
        _ => reply.send(Body::Rejected("a refuge answers for the core alone".into())),
    });
    let rpc = RpcTransport::start(disk.id, disk.cluster, Some(settings.wire), settings.advertised_addr(), handler)
        .map_err(|e| format!("{}: {e}", settings.wire))?;
    let leader_client = Arc::new(LeaderClient::new(NetworkClient { rpc: rpc.clone(), clock }));
    let seeds: Vec<String> = settings.seeds.iter().map(|addr| addr.to_string()).collect();
    // a new node asks to join until it has learnt the cluster's id
    while disk.cluster == 0 {
        match leader_client
            .ask_controllers(
                &seeds,
                ControlRequest::Join(me.clone(), settings.zone.clone()),
                OPERATOR_TIMEOUT_MS,
                RPC_TIMEOUT_MS,
            )
            .await
        {
            Some(ControlResponse::Assignment(assignment)) if assignment.cluster != 0 => {
                daemon::retry_until_disk_accepts(|| disk.set_cluster(assignment.cluster)).await?
            }
            Some(ControlResponse::Refused { why, .. }) => log::warn!("join refused, retrying: {why}"),
            _ => log::info!("no controller has answered the join request yet"),
        }
        actix_rt::time::sleep(Duration::from_millis(CHECK_IN_INTERVAL_MS)).await;
    }
    rpc.cluster.store(disk.cluster, Ordering::Relaxed);
    let compute = Arc::new(|input| Some(compute_scaling_decision(&input)));
    phases.begin(Phase::SnapshotRead, clock.now());
    let persisted = daemon::retry_until_disk_accepts(|| disk.load()).await?;
    let summary = BootSummary::of(&persisted);
    phases.reach(Phase::SnapshotRead, clock.now(), &summary.fields());
    let feed_bytes = (budget.state as f64 * FEED_STATE_SHARE) as usize;
    let control_machine = ControlStateMachine::with(settings.shape).with_event_log_bytes(feed_bytes);
    let texts = Arc::default();
    let runtime = ReplicaRuntime::start(
        CONTROL_GROUP,
        disk,
        persisted,
        control_machine,
        texts,
        budget,
        random_u64(),
        clock,
        rpc.clone(),
        compute,
    )
    .map_err(|e| e.to_string())?;
    let _ = shared_runtime.set(runtime.clone());
    actix_rt::spawn(follow_replica(runtime.clone(), summary, phases.clone(), clock));
    actix_rt::spawn(warn_of_overdue(phases.clone(), clock));
    log::info!("refuge {} listens at {}", format_id(me.id), me.addr);

    let (http_runtime, http_rpc, http_shutdown, http_client) =
        (runtime.clone(), rpc.clone(), shutdown.clone(), leader_client.clone());
    let (http_member, http_seeds) = (me.clone(), seeds.clone());
    let zone = settings.zone.clone();
    let stall_detector = Arc::new(StallDetector::new(clock.now()));
    actix_rt::spawn(watch_for_stalls(stall_detector.clone(), clock));
    let connections = daemon::api_connections(&settings, clock);
    let workers = settings.workers.unwrap_or_else(daemon::workers);
    let (server, active) = http::serve_on(
        Listener::of_api(settings.http, workers, connections.clone()),
        MAX_OPERATOR_BODY_BYTES,
        shutdown.clone(),
        move |request| {
            let connections = connections.clone();
            let (stall_detector, phases) = (stall_detector.clone(), phases.clone());
            let (protocol, runtime, rpc, shutdown, leader_client, me, seeds, zone) = (
                protocol.clone(),
                http_runtime.clone(),
                http_rpc.clone(),
                http_shutdown.clone(),
                http_client.clone(),
                http_member.clone(),
                http_seeds.clone(),
                zone.clone(),
            );
            async move {
                let ready =
                    runtime.with_replica(|replica| replica.leader().map(drop).ok_or("no leader is known".to_string()));
                match answer_common_paths(
                    &request,
                    &shutdown,
                    ready,
                    || metrics(&runtime, &rpc, &phases, &connections),
                    || beliefs(&runtime, &me, &zone),
                )
                .filter(|_| protocol.serves_common_paths(&request))
                {
                    Some(response) => response,
                    None => {
                        let bytes = response_bytes(&runtime, &request);
                        let Some(_memory) = connections.reserve(bytes).await else { return http::memory_refusal() };
                        operator_api::handle_request(
                            &leader_client,
                            members(&runtime, &me, &seeds),
                            request,
                            &*protocol,
                            stall_detector.recently_stalled(clock.now()),
                        )
                        .await
                    }
                }
            }
        },
    )
    .map_err(|e| format!("{}: {e}", settings.http))?;
    let handle = server.handle();
    actix_rt::spawn(server);
    if let Some(server_directory) = server_directory {
        actix_rt::spawn(directory::follow(runtime.clone(), server_directory));
    }
    actix_rt::spawn(rejoin_when_unlisted(runtime.clone(), leader_client, me, settings.zone.clone(), seeds));

    daemon::wait_for_stop_signal(&shutdown).await.map_err(|e| e.to_string())?;
    // leadership is transferred first, so that no election is needed
    for _ in 0..STOP_TIMEOUT_MS / CHECK_IN_INTERVAL_MS {
        if !runtime.with_replica(|replica| replica.is_leader() && replica.raft.members().voters.len() > 1) {
            break;
        }
        runtime.transfer_leadership();
        actix_rt::time::sleep(Duration::from_millis(CHECK_IN_INTERVAL_MS)).await;
    }
    http::drain_server(handle, &active, STOP_TIMEOUT_MS).await;
    Ok(())
}

/// Asks to join while the group does not list this member, or lists it at another address, and while it knows no
/// leader: it may have been removed during a stall without learning of it. Reports its address once to each new leader.
async fn rejoin_when_unlisted(
    runtime: Arc<ReplicaRuntime<ControlStateMachine>>,
    leader_client: Arc<LeaderClient<NetworkClient>>,
    me: Member,
    zone: String,
    seeds: Vec<String>,
) {
    let mut reported_term = 0;
    loop {
        actix_rt::time::sleep(Duration::from_millis(CHECK_IN_INTERVAL_MS)).await;
        let (is_listed, has_leader, term) = runtime.with_replica(|replica| {
            let is_listed = replica.raft.members().all().any(|member| *member == me);
            (is_listed, replica.raft.leader.is_some(), replica.raft.term)
        });
        if is_listed && has_leader && reported_term == term {
            continue;
        }
        let request = ControlRequest::Join(me.clone(), zone.clone());
        match leader_client
            .ask_controllers(&members(&runtime, &me, &seeds), request, OPERATOR_TIMEOUT_MS, RPC_TIMEOUT_MS)
            .await
        {
            Some(ControlResponse::Assignment(_)) => reported_term = term,
            Some(ControlResponse::Refused { why, .. }) => log::warn!("join refused: {why}"),
            _ => {}
        }
    }
}

async fn warn_of_overdue(phases: Arc<RecoveryPhases>, clock: Clock) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        phases.warn_of_overdue(clock.now());
    }
}

async fn watch_for_stalls(stall_detector: Arc<StallDetector>, clock: Clock) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(STALL_TIMER_MS)).await;
        stall_detector.tick(clock.now());
    }
}

/// Returns the addresses to ask for the leader: this node, the members and the seeds, without duplicates.
fn members(runtime: &ReplicaRuntime<ControlStateMachine>, me: &Member, seeds: &[String]) -> Vec<String> {
    let mut addrs = vec![me.addr.clone()];
    addrs
        .extend(runtime.with_replica(|replica| {
            replica.raft.members().all().map(|member| member.addr.clone()).collect::<Vec<_>>()
        }));
    addrs.extend(seeds.iter().cloned());
    let mut seen = std::collections::BTreeSet::new();
    addrs.retain(|addr| seen.insert(addr.clone()));
    addrs
}

fn beliefs(runtime: &ReplicaRuntime<ControlStateMachine>, me: &Member, zone: &str) -> jzon::JsonValue {
    runtime.with_replica(|replica| {
        let mut json = replica.machine.view().json();
        json["node"] = format_id(me.id).into();
        json["kind"] = "refuge".into();
        json["cell"] = zone.into();
        json["term"] = replica.raft.term.into();
        json["leader"] = replica.raft.leader.map(format_id).into();
        json["members"] = members_json(replica.raft.members());
        json
    })
}

/// Estimates the memory that an operator's request takes until its response is ready.
fn response_bytes(runtime: &ReplicaRuntime<ControlStateMachine>, request: &HttpRequest) -> usize {
    let concerns_config = request.path.iter().any(|part| part == "config");
    if request.method == "PUT" || !concerns_config {
        return OPERATOR_RESPONSE_BYTES;
    }
    let text_bytes = runtime.with_replica(|replica| replica.machine.view().config_text.len());
    OPERATOR_RESPONSE_BYTES + CONFIG_TEXT_COPIES * text_bytes
}

fn metrics(
    runtime: &ReplicaRuntime<ControlStateMachine>,
    rpc: &RpcTransport,
    phases: &RecoveryPhases,
    connections: &Connections,
) -> String {
    let mut out = String::new();
    connections.write_metrics(&mut out);
    phases.write_metrics(&mut out);
    runtime.with_replica(|replica| {
        metric(&mut out, "term", &[], replica.raft.term);
        metric(&mut out, "leads", &[], u8::from(replica.is_leader()));
        metric(&mut out, "commit", &[], replica.raft.commit_index);
        metric(&mut out, "log_entries", &[], replica.raft.log_len());
        metric(&mut out, "revision", &[], replica.machine.view().revision);
        metric(&mut out, "config_revision", &[], replica.machine.view().config_revision);
        metric(&mut out, "edges_known", &[], replica.machine.ledger().edges.len());
        metric(&mut out, "servers_suspect", &[], replica.machine.fleet_health().suspect_count());
        metric(&mut out, "edge_reports_absurd_total", &[], replica.machine.fleet_health().rejected_reports);
    });
    metric(&mut out, "sync_ms", &[], runtime.sync_ms.load(Ordering::Relaxed));
    metric(&mut out, "sync_failed_total", &[], runtime.sync_failed.load(Ordering::Relaxed));
    metric(&mut out, "frames_refused_total", &[], rpc.refused.load(Ordering::Relaxed));
    metric(&mut out, "strangers_closed_total", &[], rpc.strangers.closed());
    rpc.traffic.metrics().iter().for_each(|(name, value)| metric(&mut out, name, &[], value));
    out
}
