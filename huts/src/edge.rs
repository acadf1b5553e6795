//! The edge: serves clients and dispatches their jobs while it holds a short lease.

use hutbook::constants::*;
use hutbook::coordination::control::format_id;
use hutbook::coordination::edge::Edge;
use hutbook::protocol::settings::Settings;
use hutbook::protocol::wire::Body;
use hutbook::state::byte_budget::ByteBudget;
use hutbook::state::edge_budget::EdgeBudget;
use hutbook::transport::client_api::{self, JobCounters};
use hutbook::transport::connections::ListenerTimeouts;
use hutbook::transport::daemon::{self, answer_common_paths, metric, ShutdownFlag};
use hutbook::transport::descriptors::DescriptorBudget;
use hutbook::transport::header_names::HeaderNames;
use hutbook::transport::http::{self, Listener};
use hutbook::transport::leader_client::{renew_lease, run_queues, LeaderClient, NetworkClient};
use hutbook::transport::listener;
use hutbook::transport::network_environment::{random_u64, NetworkEnvironment};
use hutbook::transport::recovery_phases::Phase;
use hutbook::transport::refusals::RefusalCounts;
use hutbook::transport::replica_runtime::Clock;
use hutbook::transport::rpc::{Handler, RpcTransport};
use hutbook::transport::serve::probe_servers;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

pub fn run(settings: Settings, header_names: &'static HeaderNames) -> Result<(), String> {
    let clock = Clock::start();
    // without a disk, every start is a new node that is not bound by what an earlier one promised
    let budget = EdgeBudget::of(settings.memory_mb);
    let edge = Arc::new(Edge::new(random_u64(), &settings.zone, &settings.http.to_string()));
    edge.limit_prompt_parts(budget.prompt_parts);
    edge.turn_texts().set_limit(budget.turn_texts);
    let handler: Handler = Arc::new(|_, reply| reply.send(Body::Rejected("a trailhead answers callers only".into())));
    let rpc = RpcTransport::start(edge.id, 0, Some(settings.wire), settings.advertised_addr(), handler)
        .map_err(|e| format!("{}: {e}", settings.wire))?;
    rpc.send_queue_bytes.set_limit(budget.rpc_queue);
    let requests = ByteBudget::new(budget.requests);
    actix_rt::System::new().block_on(run_until_stopped(settings, header_names, clock, edge, rpc, requests))
}

async fn run_until_stopped(
    settings: Settings,
    header_names: &'static HeaderNames,
    clock: Clock,
    edge: Arc<Edge>,
    rpc: Arc<RpcTransport>,
    requests: Arc<ByteBudget>,
) -> Result<(), String> {
    daemon::ignore_hangups().map_err(|e| e.to_string())?;
    let shutdown = ShutdownFlag::default();
    let counters = Arc::new(JobCounters::default());
    let network_client = NetworkClient { rpc: rpc.clone(), clock };
    let descriptors = DescriptorBudget::of_process(settings.descriptors);
    let environment = NetworkEnvironment::with_descriptors(edge.clone(), network_client.clone(), requests, descriptors);
    let environment = Arc::new(environment);
    actix_rt::spawn(environment.connections.clone().watch());
    environment.phases.begin(Phase::LeaseHeld, clock.now());
    environment.phases.begin(Phase::StoresKnown, clock.now());
    let (http_environment, http_counters, http_shutdown, http_rpc) =
        (environment.clone(), counters.clone(), shutdown.clone(), rpc.clone());
    let workers = settings.workers.unwrap_or_else(daemon::workers);
    let listener = Listener::of_api(settings.http, workers, environment.connections.clone());
    let (server, active) = http::serve_on(listener, MAX_BODY_BYTES, shutdown.clone(), move |request| {
        let (environment, counters, shutdown, rpc) =
            (http_environment.clone(), http_counters.clone(), http_shutdown.clone(), http_rpc.clone());
        async move {
            match answer_common_paths(
                &request,
                &shutdown,
                ready(&environment),
                || metrics(&environment, &counters, &rpc),
                || beliefs(&environment),
            ) {
                Some(response) => response,
                None => client_api::handle_request(environment, counters, request).await,
            }
        }
    })
    .map_err(|e| format!("{}: {e}", settings.http))?;
    let handle = server.handle();
    actix_rt::spawn(server);
    let readiness_environment = environment.clone();
    daemon::serve_ready(settings.ready, shutdown.clone(), environment.connections.clone(), move || {
        ready(&readiness_environment)
    })?;
    let proxy_timeouts = ListenerTimeouts::new(PROXY_CLIENT_IDLE_MS, REQUEST_READ_TIMEOUT_MS);
    let proxy_server = match settings.proxy_addr {
        Some(proxy_addr) => {
            let (proxy_environment, proxy_shutdown) = (environment.clone(), shutdown.clone());
            let (drain, drained) = tokio::sync::watch::channel(false);
            let timeouts = proxy_timeouts.clone();
            let connections = environment.connections.clone();
            let proxy_listener = Listener { addr: proxy_addr, workers, connections, timeouts };
            let (server, active) = http::serve_requests_on(proxy_listener, Some(drained), move |request| {
                listener::handle_request(
                    proxy_environment.clone(),
                    header_names,
                    request,
                    daemon::is_shutting_down(&proxy_shutdown),
                )
            })
            .map_err(|e| format!("{proxy_addr}: {e}"))?;
            let proxy_handle = server.handle();
            actix_rt::spawn(server);
            Some((proxy_handle, active, drain))
        }
        None => None,
    };
    log::info!("trailhead {} listens at {}", format_id(edge.id), settings.http);

    let seeds: Vec<String> = settings.seeds.iter().map(|addr| addr.to_string()).collect();
    let (lease_edge, lease_client, lease_rpc, lease_environment) =
        (edge.clone(), network_client.clone(), rpc.clone(), environment.clone());
    let core_retries = Arc::new(RefusalCounts::default());
    actix_rt::spawn(observe(environment.clone(), core_retries.clone(), proxy_timeouts));
    actix_rt::spawn(async move {
        let leader_client = LeaderClient::shared(lease_client, core_retries);
        let on_lease_change = |has_lease| {
            // frames of other clusters are refused from the first lease on
            lease_rpc.cluster.store(lease_edge.view().cluster, Ordering::Relaxed);
            if has_lease {
                lease_environment.phases.reach(Phase::LeaseHeld, lease_environment.clock.now(), &[]);
            }
            log::info!("{}", if has_lease { "lease acquired" } else { "lease expired: new jobs are not dispatched" });
        };
        renew_lease(&lease_edge, &leader_client, &seeds, on_lease_change).await;
    });
    actix_rt::spawn(watch_for_stores(environment.clone()));
    let queue_edge = edge.clone();
    actix_rt::spawn(async move { run_queues(&queue_edge, &network_client).await });
    let probe_environment = environment.clone();
    actix_rt::spawn(async move { probe_servers(&probe_environment, &probe_environment.edge).await });

    daemon::wait_for_stop_signal(&shutdown).await.map_err(|e| e.to_string())?;
    // load balancers first see that this edge is not ready, and direct new connections to others
    if let Some((proxy_handle, active, drain)) = proxy_server {
        actix_rt::time::sleep(Duration::from_millis(settings.drain_ms)).await;
        // idle connections are closed now, because a later request on them would not be answered
        let _ = drain.send(true);
        let max_wait_ms = settings.stop_ms.unwrap_or(STOP_TIMEOUT_MS).saturating_sub(settings.drain_ms);
        http::drain_server(proxy_handle, &active, max_wait_ms).await;
    }
    // accepts no new connections; running and queued jobs finish within their deadlines, also if their client is gone
    let max_wait_ms = settings.stop_ms.unwrap_or_else(|| edge.max_drain_ms());
    log::info!("stopping: waiting up to {max_wait_ms} ms for jobs in progress");
    let wait_for_jobs = async {
        let mut logged_at = 0;
        while counters.in_progress.load(Ordering::Relaxed) > 0 {
            if environment.clock.now() >= logged_at + STOP_LOG_INTERVAL_MS {
                logged_at = environment.clock.now();
                log::info!("stopping: {} jobs still in progress", counters.in_progress.load(Ordering::Relaxed));
            }
            actix_rt::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    };
    let stopped = async {
        let jobs_done = actix_rt::time::timeout(Duration::from_millis(max_wait_ms), wait_for_jobs);
        tokio::join!(http::drain_server(handle, &active, max_wait_ms), jobs_done)
    };
    let has_unfinished_jobs = tokio::select! {
        (is_drained, jobs_done) = stopped => !is_drained || jobs_done.is_err(),
        // a second signal stops the process at once
        signal = daemon::wait_for_stop_signal(&shutdown) => signal.map(|_| true).map_err(|e| e.to_string())?,
    };
    if has_unfinished_jobs {
        log::warn!("stopped with {} jobs in progress", counters.in_progress.load(Ordering::Relaxed));
    }
    Ok(())
}

/// Logs refusals, retries and overdue recovery phases, each at most once a second, and applies the time limits of the
/// configuration in force to clients of proxied requests. Runs until the process ends.
async fn observe(
    environment: Arc<NetworkEnvironment>,
    core_retries: Arc<RefusalCounts>,
    proxy_timeouts: Arc<ListenerTimeouts>,
) {
    loop {
        let limits = environment.client_limits();
        proxy_timeouts.set(limits.idle_timeout_ms.into(), limits.header_timeout_ms.into());
        actix_rt::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        environment.phases.warn_of_overdue(environment.clock.now());
        environment.refusals.log("edge_refusals");
        environment.answer_faults.log();
        environment.connections.closed.log("client_connections_closed");
        environment.store_retries().log("store_retries");
        core_retries.log("core_retries");
    }
}

/// Polls until the stores are known, that is until there are a configuration and a store group.
async fn watch_for_stores(environment: Arc<NetworkEnvironment>) {
    loop {
        let view = environment.edge.view();
        if view.config.is_some() && !view.stores.is_empty() {
            let details = [("groups", view.stores.len().into()), ("servers", view.servers.len().into())];
            return environment.phases.reach(Phase::StoresKnown, environment.clock.now(), &details);
        }
        actix_rt::time::sleep(Duration::from_millis(RECOVERY_POLL_MS)).await;
    }
}

/// Returns whether this edge can accept jobs, or why not.
fn ready(environment: &NetworkEnvironment) -> Result<(), String> {
    match (environment.edge.has_lease(environment.clock.now()), environment.edge.view().config.is_some()) {
        (true, true) => Ok(()),
        (false, _) => Err("no licence".to_string()),
        _ => Err("no configuration is in force yet".to_string()),
    }
}

fn beliefs(environment: &NetworkEnvironment) -> jzon::JsonValue {
    let edge = &environment.edge;
    let mut json = edge.view().json();
    json["node"] = format_id(edge.id).into();
    json["kind"] = "trailhead".into();
    json["cell"] = edge.zone.as_str().into();
    json["licensed"] = edge.has_lease(environment.clock.now()).into();
    json
}

fn metrics(environment: &NetworkEnvironment, counters: &JobCounters, rpc: &RpcTransport) -> String {
    let mut out = String::new();
    let now = environment.clock.now();
    for (outcome, count) in [
        ("done", &counters.done),
        ("failed", &counters.failed),
        ("refused", &counters.refused),
        ("in_doubt", &counters.in_doubt),
        ("unavailable", &counters.unavailable),
    ] {
        metric(&mut out, "verdicts_total", &[("verdict", outcome)], count.load(Ordering::Relaxed));
    }
    environment.refusals.write_metrics(&mut out, "refusals_total");
    environment.store_retries().write_metrics(&mut out, "store_retries_total");
    environment.answer_faults.write_metrics(&mut out);
    environment.phases.write_metrics(&mut out);
    metric(&mut out, "under_way", &[], counters.in_progress.load(Ordering::Relaxed));
    metric(&mut out, "term", &[], environment.edge.term());
    metric(&mut out, "licensed", &[], u8::from(environment.edge.has_lease(now)));
    metric(&mut out, "revision", &[], environment.edge.view().revision);
    metric(&mut out, "config_revision", &[], environment.edge.view().config_revision);
    metric(&mut out, "frames_refused_total", &[], rpc.refused.load(Ordering::Relaxed));
    metric(&mut out, "strangers_closed_total", &[], rpc.strangers.closed());
    metric(&mut out, "requests_held_bytes", &[], environment.requests.reserved());
    metric(&mut out, "requests_limit_bytes", &[], environment.requests.limit());
    metric(&mut out, "requests_refused_for_memory_total", &[], environment.requests.refused());
    metric(&mut out, "server_connections", &[], environment.server_connections.taken());
    environment.connections.write_metrics(&mut out);
    metric(&mut out, "prompt_parts", &[], environment.edge.balancer().parts());
    metric(&mut out, "turn_texts_bytes", &[], environment.edge.turn_texts().bytes());
    metric(&mut out, "rpc_queue_bytes", &[], rpc.send_queue_bytes.reserved());
    metric(&mut out, "rpc_queue_refused_total", &[], rpc.send_queue_bytes.refused());
    rpc.traffic.metrics().iter().for_each(|(name, value)| metric(&mut out, name, &[], value));
    for (group, queued, busy, limit, max_wait) in environment.edge.queue_stats(now) {
        let labels = [("group", group.as_str())];
        metric(&mut out, "queued", &labels, queued);
        metric(&mut out, "busy", &labels, busy);
        metric(&mut out, "limit", &labels, limit);
        metric(&mut out, "wait_of_set_point", &labels, max_wait);
    }
    out
}
