//! Soak test: runs a fleet of real processes under clients with persistent connections while signals, restarts, network
//! cuts and configuration changes occur in overlapping series. One seed determines the shape of the fleet and the whole
//! plan of events. Judges (checkers) evaluate the recorded history afterwards.

pub mod answer_faults;
pub mod clients;
pub mod document;
pub mod history;
pub mod http;
pub mod judges;
pub mod operators;
pub mod plan;
pub mod processes;
pub mod report;
pub mod servers;
pub mod service_share;
pub mod shape;

use clients::{run_client, Clients};
use document::{BLUE, GREEN};
use history::{ChangeResult, History, Micros, Records};
use judges::{judge, Bounds, Finding};
use operators::Operators;
use plan::{Action, Event, Plan};
use processes::Fleet;
use servers::{Server, ServerSettings};
use shape::Shape;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Time within which an acknowledged configuration must be in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 2_000;
/// Time that a process may take to stop, in milliseconds; allows for a busy machine.
const STOP_GRACE_MS: u64 = 40_000;
/// Length of the two spans after recovery whose share of served requests is judged, in milliseconds.
const SERVICE_CHECK_MS: u64 = 10_000;
/// Time that each event may take until its processes run again, in milliseconds.
const EVENT_TIMEOUT_MS: u64 = 60_000;
const PROGRESS_INTERVAL_MS: u64 = 5_000;
/// Number of concurrent jobs that a stand-in server reports as its slots.
const SERVER_SLOTS: u64 = 32;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub seconds: u64,
    pub processes: usize,
    /// Kinds of events that may be planned.
    pub kinds: Vec<String>,
    pub folder: PathBuf,
    pub port: u16,
    /// Time from the return of all processes until requests must be served again, in milliseconds.
    pub recovery_ms: u64,
    pub is_quiet: bool,
}

/// Result of one run.
pub struct Outcome {
    pub records: Records,
    pub findings: Vec<Finding>,
    pub frames_dropped: u64,
    /// Share of the run's processor time that the soak process itself used.
    pub own_cpu_share: f64,
}

struct Run {
    fleet: Rc<Fleet>,
    history: Rc<History>,
    operators: Rc<Operators>,
    servers: Vec<Rc<Server>>,
    finished: Rc<Cell<bool>>,
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Runs one seed. Returns an error only if the run itself can't proceed, for example because a folder isn't writable or
/// a port is in use; violations are returned as findings.
pub async fn run(settings: &Settings) -> Result<Outcome, String> {
    let shape = Shape::generate(settings.seed, settings.processes);
    let quiet_ms = settings.recovery_ms + SERVICE_CHECK_MS;
    let plan = Plan::generate(settings.seed, &shape, settings.seconds, quiet_ms, &settings.kinds);
    write_plan(settings, &shape, &plan)?;
    let processor = ProcessorTime::now();
    let (history, finished) = (Rc::new(History::default()), Rc::new(Cell::new(false)));
    let data = settings.folder.join("data");
    let fleet = Fleet::start(&shape, &data, settings.port, history.clone(), finished.clone()).await?;
    actix_rt::spawn(fleet.clone().watch_exits());
    let newest_change = Rc::new(Cell::new(0));
    let operators = Operators::new(
        fleet.clone(),
        history.clone(),
        shape.clone(),
        newest_change.clone(),
        finished.clone(),
        settings.seed,
    );
    let servers = start_servers(&shape, &history).await.map_err(|error| error.to_string())?;
    let run = Rc::new(Run { fleet, history, operators: Rc::new(operators), servers, finished });
    let mut findings = run.set_up().await;
    if findings.is_empty() {
        actix_rt::spawn(run.operators.clone().poll_config());
        let clients = Rc::new(Clients {
            fleet: run.fleet.clone(),
            history: run.history.clone(),
            newest_change,
            finished: run.finished.clone(),
        });
        (0..shape.clients).for_each(|number| {
            actix_rt::spawn(run_client(clients.clone(), settings.seed, number));
        });
        findings = run.clone().apply_plan(&plan, settings).await;
    }
    run.finished.set(true);
    let mut records = run.history.records.borrow().clone();
    records.end = run.history.now();
    let recovery = settings.recovery_ms * 1_000;
    let bounds = Bounds { in_force: IN_FORCE_MS * 1_000, recovery, grace: STOP_GRACE_MS * 1_000 };
    findings.extend(judge(&records, &bounds));
    let frames_dropped = run.fleet.frames_dropped();
    let own_cpu_share = processor.own_share_since_start();
    Ok(Outcome { records, findings, frames_dropped, own_cpu_share })
}

fn write_plan(settings: &Settings, shape: &Shape, plan: &Plan) -> Result<(), String> {
    let file = settings.folder.join("plan.json");
    let text = plan.to_json(settings.seed, shape).pretty(1);
    let written = std::fs::create_dir_all(&settings.folder).and_then(|_| std::fs::write(&file, text));
    written.map_err(|error| format!("{}: {error}", file.display()))
}

async fn start_servers(shape: &Shape, history: &Rc<History>) -> std::io::Result<Vec<Rc<Server>>> {
    let mut servers = vec![];
    for service in [BLUE, GREEN] {
        for index in 0..shape.servers {
            let settings = ServerSettings {
                name: format!("{service}{}", index + 1),
                service,
                zone: shape.zone(index),
                work_ms: shape.work_ms,
                reports_load: shape.reports_load,
                slots: SERVER_SLOTS,
            };
            servers.push(Server::start(settings, history.clone()).await?);
        }
    }
    Ok(servers)
}

impl Run {
    /// Installs the first configuration, lists the servers and waits until all processes are ready. Returns a finding
    /// for the step that failed.
    async fn set_up(&self) -> Vec<Finding> {
        let fail = |description: String| vec![Finding { judge: "coming up", at: self.history.now(), description }];
        let first = self.operators.send_change(false).await;
        if !matches!(first, ChangeResult::Acknowledged(_)) {
            return fail(format!("the first configuration was not acknowledged: {first:?}"));
        }
        for server in &self.servers {
            if !self.list_server(server).await {
                return fail(format!("{} could not be listed", server.name));
            }
        }
        match self.fleet.wait_until_ready().await {
            Ok(()) => vec![],
            Err(unready) => fail(format!("not ready: {}", unready.join(", "))),
        }
    }

    async fn list_server(&self, server: &Server) -> bool {
        let (group, address, zone) = (server.service, server.address.as_str(), server.zone.as_str());
        let body = jzon::object! { group: group, address: address, cell: zone };
        self.operators.list_server(&server.name, Some(body.dump())).await
    }

    /// Applies all events at their planned times, waits for the fleet to recover, and then lets the quiet period pass.
    async fn apply_plan(self: Rc<Run>, plan: &Plan, settings: &Settings) -> Vec<Finding> {
        let start = self.history.now();
        let mut last_print = start;
        let mut tasks = vec![];
        for event in &plan.events {
            let due = start + event.at_ms * 1_000;
            while self.history.now() < due {
                sleep(((due - self.history.now()) / 1_000).clamp(1, PROGRESS_INTERVAL_MS / 10)).await;
                self.print_progress(&mut last_print, settings);
            }
            tasks.push(actix_rt::spawn(self.clone().apply_event(*event)));
        }
        for task in tasks {
            let _ = actix_rt::time::timeout(Duration::from_millis(EVENT_TIMEOUT_MS), task).await;
        }
        if let Err(unready) = self.fleet.wait_until_ready().await {
            let description = format!("not ready again after the last event: {}", unready.join(", "));
            return vec![Finding { judge: "return", at: self.history.now(), description }];
        }
        let recovered_at = self.history.now();
        self.history.records.borrow_mut().recovered_at = recovered_at;
        actix_rt::spawn(self.fleet.clone().sample_usage());
        let end: Micros = recovered_at + (plan.end_ms - plan.events_end_ms) * 1_000;
        while self.history.now() < end {
            sleep(PROGRESS_INTERVAL_MS / 10).await;
            self.print_progress(&mut last_print, settings);
        }
        vec![]
    }

    fn print_progress(&self, last_print: &mut Micros, settings: &Settings) {
        let now = self.history.now();
        if settings.is_quiet || now < *last_print + PROGRESS_INTERVAL_MS * 1_000 {
            return;
        }
        *last_print = now;
        let records = self.history.records.borrow();
        println!(
            "seed {}: {} s, {} requests, {} changes, {} events, {} connections",
            settings.seed,
            now / 1_000_000,
            records.requests.len(),
            records.config_changes.len(),
            records.events.len(),
            records.connections,
        );
    }

    async fn apply_event(self: Rc<Run>, event: Event) {
        let names = match event.target {
            Some(target) => self.fleet.resolve_target(target).await,
            None => vec![],
        };
        self.history.record_event(event.action.kind(), format!("{:?} {}", event.action, names.join(" ")));
        match event.action {
            Action::Change { acks_lost } => drop(self.operators.send_change(acks_lost).await),
            Action::Race => self.operators.send_concurrent_changes().await,
            Action::Invalid => self.operators.send_invalid_change().await,
            Action::RollingRestart => self.rolling_restart().await,
            Action::Relist { server, for_ms } => self.relist(server, for_ms).await,
            Action::Server { server, fault, for_ms } => {
                let server = &self.servers[server % self.servers.len()];
                server.set_fault(Some(fault));
                sleep(for_ms).await;
                server.set_fault(None);
            }
            process_action => {
                let each = names.iter().map(|name| self.apply_to_process(name, process_action));
                futures_util::future::join_all(each).await;
            }
        }
    }

    async fn apply_to_process(&self, name: &str, action: Action) {
        match action {
            Action::Terminate { restart_ms } => self.fleet.terminate(name, restart_ms).await,
            Action::Hangup => self.fleet.send_hangup(name),
            Action::Kill { restart_ms } => self.fleet.kill(name, restart_ms, false).await,
            Action::LoseDisk { restart_ms } => self.fleet.kill(name, restart_ms, true).await,
            Action::Freeze { for_ms } => self.fleet.freeze(name, for_ms).await,
            Action::Cut { for_ms, both } => self.fleet.cut(name, for_ms, both).await,
            _ => {}
        }
    }

    async fn rolling_restart(&self) {
        for name in self.fleet.process_names() {
            self.fleet.terminate(&name, 0).await;
        }
    }

    async fn relist(&self, server: usize, for_ms: u64) {
        let server = &self.servers[server % self.servers.len()];
        self.operators.list_server(&server.name, None).await;
        sleep(for_ms).await;
        self.list_server(server).await;
    }
}

/// Processor time of this process, in kernel clock ticks.
struct ProcessorTime {
    own: f64,
}

impl ProcessorTime {
    fn own_ticks(path: &Path) -> f64 {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        // The program name may contain spaces, so fields are counted after its closing parenthesis.
        let fields: Vec<f64> = text
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)
    }

    fn now() -> ProcessorTime {
        ProcessorTime { own: ProcessorTime::own_ticks(Path::new("/proc/self/stat")) }
    }

    /// Returns this process's share of the processor time used by itself and its children that are still running.
    fn own_share_since_start(&self) -> f64 {
        let own = ProcessorTime::own_ticks(Path::new("/proc/self/stat")) - self.own;
        let me = std::process::id().to_string();
        let children: f64 = std::fs::read_dir("/proc")
            .into_iter()
            .flatten()
            .flatten()
            .filter(|entry| entry.file_name().to_string_lossy().parse::<u32>().is_ok())
            .map(|entry| entry.path().join("stat"))
            .filter(|path| parent_of(path).as_deref() == Some(&me))
            .map(|path| ProcessorTime::own_ticks(&path))
            .sum();
        own / (own + children).max(1.0)
    }
}

fn parent_of(stat: &Path) -> Option<String> {
    let text = std::fs::read_to_string(stat).ok()?;
    text.rsplit(')').next()?.split_whitespace().nth(1).map(str::to_string)
}
