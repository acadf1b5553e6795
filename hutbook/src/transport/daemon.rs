//! What all daemons share: start, stop and readiness.

use super::allocator;
use super::connections::Connections;
use super::descriptors::DescriptorBudget;
use super::http::{self, HttpRequest, HttpResponse, Listener};
use super::logs::{self, LogThrottle};
use super::replica_runtime::Clock;
use crate::constants::*;
use crate::protocol::settings::{self, NodeRole, Settings, Start};
use crate::state::byte_budget::ByteBudget;
use crate::state::disk::DiskError;
use crate::state::memory::MemoryBudget;
use actix_rt::signal::unix::{signal, SignalKind};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Exit code for invalid settings or flags.
pub const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a data directory or an address that can't be used.
pub const EXIT_START_FAILED: u8 = 3;

/// Reads the settings, reports everything that is wrong with them, and starts only if they are valid.
pub fn main(role: NodeRole, run: impl FnOnce(Settings) -> Result<(), String>) -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let settings = match settings::read(role, &args) {
        Ok(Start::Run(settings)) => *settings,
        Ok(Start::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{}: {finding}", role.name()));
            eprintln!("{}: try --help", role.name());
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    start(role, settings, run)
}

/// Starts with valid settings.
pub fn start(role: NodeRole, settings: Settings, run: impl FnOnce(Settings) -> Result<(), String>) -> ExitCode {
    logs::start(role.name(), &settings.log);
    allocator::return_freed_memory();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("{}: {error}", role.name());
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Set once this process has been told to stop.
pub type ShutdownFlag = Arc<AtomicBool>;

pub fn is_shutting_down(closing: &ShutdownFlag) -> bool {
    closing.load(Ordering::Relaxed)
}

/// SIGXFSZ: a write exceeded the file-size limit of this process.
const SIGXFSZ: i32 = 25;

/// Handles SIGXFSZ, so that a file-size limit acts like a full disk: the write fails and is retried, and the process
/// survives.
pub fn ignore_file_size_signal() {
    match signal(SignalKind::from_raw(SIGXFSZ)) {
        Ok(_) => {}
        Err(error) => log::warn!("cannot handle SIGXFSZ; a file-size limit would end this process: {error}"),
    }
}

/// Retries until the disk accepts the operation: a full or failing disk may recover by itself, and clearing the data
/// directory would only lose its contents. Damaged data is an error at once.
pub async fn retry_until_disk_accepts<T>(mut operation: impl FnMut() -> Result<T, DiskError>) -> Result<T, String> {
    let mut throttle = LogThrottle::default();
    loop {
        match operation() {
            Err(DiskError::Failed(reason)) => {
                if throttle.is_due() {
                    log::error!("disk is full or failing; retrying until it accepts the operation: {reason}");
                }
                actix_rt::time::sleep(Duration::from_millis(DISK_RETRY_MS)).await;
            }
            result => return result.map_err(|e| e.to_string()),
        }
    }
}

/// Waits for SIGTERM or SIGINT and marks the process as shutting down.
pub async fn wait_for_stop_signal(closing: &ShutdownFlag) -> std::io::Result<()> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("received a stop signal: no longer ready, finishing work in progress");
    closing.store(true, Ordering::Relaxed);
    Ok(())
}

/// Answers the paths that every daemon serves; None for any other path.
pub fn answer_common_paths(
    request: &HttpRequest,
    closing: &ShutdownFlag,
    ready: Result<(), String>,
    metrics: impl FnOnce() -> String,
    beliefs: impl FnOnce() -> jzon::JsonValue,
) -> Option<HttpResponse> {
    let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
    if request.method != "GET" {
        return None;
    }
    Some(match path.as_slice() {
        ["healthz"] => HttpResponse::text("alive\n".into()),
        ["readyz"] if is_shutting_down(closing) => HttpResponse::error(503, "closing", "it has been told to stop"),
        ["readyz"] => match ready {
            Ok(()) => HttpResponse::text("ready\n".into()),
            Err(why) => HttpResponse::error(503, "not_ready", why),
        },
        ["metrics"] => HttpResponse::text(metrics()),
        ["v1", "beliefs"] => HttpResponse::json(200, beliefs()),
        _ => return None,
    })
}

/// Returns the connections of clients of a store's or controller's API, and closes those whose time is over from now on.
pub fn api_connections(settings: &Settings, clock: Clock) -> Arc<Connections> {
    let budget = ByteBudget::new(MemoryBudget::of(settings.memory_mb, settings.disk_mb).api);
    let connections = Connections::new(clock, budget, DescriptorBudget::of_process(settings.descriptors).clients);
    actix_rt::spawn(connections.clone().watch());
    connections
}

/// Number of HTTP worker threads: enough to use a small machine, few enough to share one.
pub fn workers() -> usize {
    std::thread::available_parallelism().map_or(2, |n| n.get()).clamp(1, HTTP_WORKERS)
}

/// Appends one line of Prometheus text.
pub fn metric(out: &mut String, name: &str, labels: &[(&str, &str)], value: impl std::fmt::Display) {
    let labels_text: Vec<String> = labels.iter().map(|(label, value)| format!("{label}=\"{value}\"")).collect();
    let labels_text = if labels_text.is_empty() { String::new() } else { format!("{{{}}}", labels_text.join(",")) };
    out.push_str(&format!("corkdrum_{name}{labels_text} {value}\n"));
}

/// Serves only readiness, on a separate address.
pub fn serve_ready<F>(
    addr: Option<SocketAddr>,
    closing: ShutdownFlag,
    connections: Arc<Connections>,
    ready: F,
) -> Result<(), String>
where
    F: Fn() -> Result<(), String> + Clone + Send + 'static,
{
    let Some(addr) = addr else { return Ok(()) };
    let listener = Listener::of_api(addr, 1, connections);
    let (server, _) = http::serve_on(listener, MAX_BODY_BYTES, closing.clone(), move |request| {
        let (readiness, closing_flag) = (ready(), closing.clone());
        async move {
            match (request.method.as_str(), request.path.first().map(String::as_str)) {
                ("GET", Some("ready" | "readyz")) if is_shutting_down(&closing_flag) => {
                    HttpResponse::error(503, "closing", "it has been told to stop")
                }
                ("GET", Some("ready" | "readyz")) => match readiness {
                    Ok(()) => HttpResponse::text("ready\n".into()),
                    Err(why) => HttpResponse::error(503, "not_ready", why),
                },
                _ => HttpResponse::error(404, "unknown_path", "only readiness is served there"),
            }
        }
    })
    .map_err(|error| format!("{addr}: {error}"))?;
    actix_rt::spawn(server);
    Ok(())
}

/// Handles SIGHUP, which announces changed settings, so that it doesn't end the process from its first moment on.
/// Settings are read only at start.
pub fn ignore_hangups() -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangups.recv().await.is_some() {
            log::info!("SIGHUP ignored: settings are read at the start only");
        }
    });
    Ok(())
}
