//! Processes of the fleet under test: starts, signals and watches them, and records each incarnation.

use super::history::{Cut, History, Incarnation, StopRequest, Usage};
use super::plan::Target;
use super::shape::Shape;
use crate::fault_script::Deployment;
use crate::process_fleet::{FleetSize, ProcessFleet};
use crate::relay::RelayNetwork;
use hutbook::transport::http::{call, gauge};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Time that a planned stop of an edge waits for requests in progress, in seconds.
pub const EDGE_STOP_S: u64 = 8;
/// Interval between two checks for ended processes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
const HTTP_TIMEOUT_MS: u64 = 1_000;
/// What a store without a group says of its readiness.
const WITHOUT_GROUP: &str = "no store group has been assigned";
/// Members of a store group.
const STORE_GROUP_MEMBERS: usize = 3;
/// Time within which all daemons must become ready, in milliseconds; otherwise it is a finding.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Interval between two samples of resource usage in the quiet period, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 1_000;

/// Program names of the fleet.
const CONTROLLER: &str = "refuge";
pub const STORE: &str = "bothy";
const EDGE: &str = "trailhead";

pub struct Fleet {
    processes: RefCell<ProcessFleet>,
    net: RelayNetwork,
    history: Rc<History>,
    /// Index of the newest incarnation of each process in the history.
    newest_incarnation: RefCell<BTreeMap<String, usize>>,
    pub finished: Rc<Cell<bool>>,
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

impl Fleet {
    /// Starts a fleet of this shape on loopback ports from `port` on, with data and logs in `folder`.
    pub async fn start(
        shape: &Shape,
        folder: &Path,
        port: u16,
        history: Rc<History>,
        finished: Rc<Cell<bool>>,
    ) -> Result<Rc<Fleet>, String> {
        let mut processes =
            ProcessFleet::new(folder, port, Deployment::Glenmorven).map_err(|error| error.to_string())?;
        let net = RelayNetwork::default();
        processes.net = Some(net.clone());
        processes.proxied_stop_s = Some(EDGE_STOP_S);
        let size = FleetSize { controllers: shape.controllers, stores: shape.stores, edges: shape.edges };
        processes.start_daemons_in_zones(size, |index| shape.zone(index));
        processes.start_relays().await.map_err(|error| format!("failed to start a relay: {error}"))?;
        let names = processes.daemon_names();
        let fleet = Rc::new(Fleet {
            processes: RefCell::new(processes),
            net,
            history,
            newest_incarnation: RefCell::default(),
            finished,
        });
        names.iter().for_each(|name| fleet.record_start(name));
        Ok(fleet)
    }

    fn record_start(&self, name: &str) {
        let started = self.history.now();
        let number = self.incarnation(name) + 1;
        let incarnation = Incarnation {
            process: name.into(),
            number,
            started,
            stop_request: StopRequest::Nothing,
            frozen: vec![],
            ended: None,
        };
        let mut records = self.history.records.borrow_mut();
        records.incarnations.push(incarnation);
        self.newest_incarnation.borrow_mut().insert(name.into(), records.incarnations.len() - 1);
    }

    /// Returns the number of the process's current incarnation; 0 before the first start.
    pub fn incarnation(&self, name: &str) -> u64 {
        let indexes = self.newest_incarnation.borrow();
        indexes.get(name).map_or(0, |index| self.history.records.borrow().incarnations[*index].number)
    }

    fn with_incarnation<T>(&self, name: &str, change: impl FnOnce(&mut Incarnation) -> T) -> T {
        let index = self.newest_incarnation.borrow()[name];
        change(&mut self.history.records.borrow_mut().incarnations[index])
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.with_incarnation(name, |incarnation| incarnation.ended.is_none())
    }

    pub fn edges(&self) -> Vec<String> {
        self.processes.borrow().names(EDGE)
    }

    pub fn process_names(&self) -> Vec<String> {
        self.processes.borrow().daemon_names()
    }

    pub fn proxy_addr(&self, edge: &str) -> String {
        self.processes.borrow().processes[edge].proxy_addr.clone()
    }

    fn http_addr(&self, name: &str) -> String {
        self.processes.borrow().processes[name].http_addr.clone()
    }

    pub fn controller_addrs(&self) -> Vec<String> {
        self.processes.borrow().http_addrs(CONTROLLER)
    }

    pub fn log_path(&self, name: &str) -> PathBuf {
        self.processes.borrow().log_path(name)
    }

    /// Records ends of processes until the run is over.
    pub async fn watch_exits(self: Rc<Fleet>) {
        while !self.finished.get() {
            self.record_exits();
            sleep(POLL_INTERVAL_MS).await;
        }
    }

    fn record_exits(&self) {
        let now = self.history.now();
        for name in self.process_names() {
            let ended = self.processes.borrow_mut().take_exit(&name);
            if let Some(exit) = ended {
                self.with_incarnation(&name, |incarnation| incarnation.ended = Some((now, exit)));
            }
        }
    }

    /// Restarts a process `restart_ms` after this incarnation has ended, unless it has been restarted meanwhile.
    async fn restart_after(&self, name: &str, incarnation: u64, restart_ms: u64) {
        while self.incarnation(name) == incarnation && self.is_running(name) {
            if self.finished.get() {
                return;
            }
            sleep(POLL_INTERVAL_MS).await;
        }
        sleep(restart_ms).await;
        if self.incarnation(name) == incarnation && !self.finished.get() {
            self.processes.borrow_mut().remove_found_flag(name);
            self.processes.borrow_mut().start(name);
            self.record_start(name);
        }
    }

    pub async fn terminate(&self, name: &str, restart_ms: u64) {
        let now = self.history.now();
        if !self.processes.borrow().signal(name, Signal::TERM) {
            return;
        }
        self.with_incarnation(name, |incarnation| {
            if incarnation.stop_request == StopRequest::Nothing {
                incarnation.stop_request = StopRequest::Terminate(now);
            }
        });
        self.restart_after(name, self.incarnation(name), restart_ms).await;
    }

    pub async fn kill(&self, name: &str, restart_ms: u64, is_disk_lost: bool) {
        let now = self.history.now();
        if !self.processes.borrow().signal(name, Signal::KILL) {
            return;
        }
        self.with_incarnation(name, |incarnation| incarnation.stop_request = StopRequest::Kill(now));
        let incarnation = self.incarnation(name);
        while self.incarnation(name) == incarnation && self.is_running(name) {
            sleep(POLL_INTERVAL_MS).await;
        }
        if is_disk_lost && self.incarnation(name) == incarnation {
            self.processes.borrow().remove_data_folder(name);
        }
        self.restart_after(name, incarnation, restart_ms).await;
    }

    pub fn send_hangup(&self, name: &str) {
        self.processes.borrow().signal(name, Signal::HUP);
    }

    pub async fn freeze(&self, name: &str, for_ms: u64) {
        let incarnation = self.incarnation(name);
        let from = self.history.now();
        if !self.processes.borrow().signal(name, Signal::STOP) {
            return;
        }
        sleep(for_ms).await;
        if self.incarnation(name) == incarnation {
            self.processes.borrow().signal(name, Signal::CONT);
            let to = self.history.now();
            self.with_incarnation(name, |incarnation| incarnation.frozen.push((from, to)));
        }
    }

    /// Registers the node id of each process with the relays. An edge has a new id after every start.
    async fn register_nodes(&self) {
        for name in self.process_names() {
            let url = format!("http://{}/v1/beliefs", self.http_addr(&name));
            let Ok((200, text, _)) = call("GET", &url, &[], String::new(), HTTP_TIMEOUT_MS).await else { continue };
            let node =
                jzon::parse(&text).ok().and_then(|beliefs| u64::from_str_radix(beliefs["node"].as_str()?, 16).ok());
            if let Some(node) = node {
                self.net.register_node(node, &name);
            }
        }
    }

    /// Drops everything that other processes send to this one and, if `both`, everything that it sends to them.
    pub async fn cut(&self, name: &str, for_ms: u64, both: bool) {
        self.register_nodes().await;
        let others: Vec<String> = self.process_names().into_iter().filter(|other| other != name).collect();
        let from = self.history.now();
        others.iter().for_each(|other| self.net.block_link(other, name, both));
        sleep(for_ms).await;
        others.iter().for_each(|other| self.net.heal_pair(other, name));
        let cut = Cut { process: name.into(), from, to: self.history.now() };
        self.history.records.borrow_mut().cuts.push(cut);
    }

    pub fn frames_dropped(&self) -> u64 {
        self.net.dropped_frames()
    }

    /// Returns the processes that a target currently stands for.
    pub async fn resolve_target(&self, target: Target) -> Vec<String> {
        let nth = |program: &str, index: usize| vec![format!("{program}{}", index + 1)];
        match target {
            Target::Edge(index) => nth(EDGE, index),
            Target::Core(index) => nth(CONTROLLER, index),
            Target::Store(index) => nth(STORE, index),
            Target::CoreLeader => vec![self.leader(CONTROLLER).await],
            Target::StoreLeader => vec![self.leader(STORE).await],
            Target::AllCores => self.processes.borrow().names(CONTROLLER),
            Target::AllStores => self.processes.borrow().names(STORE),
            Target::All => self.process_names(),
        }
    }

    /// Returns the process that reports itself as leader, or the first one if none does.
    async fn leader(&self, program: &str) -> String {
        let names = self.processes.borrow().names(program);
        for name in &names {
            let url = format!("http://{}/metrics", self.http_addr(name));
            if let Ok((_, text, _)) = call("GET", &url, &[], String::new(), HTTP_TIMEOUT_MS).await {
                if gauge(&text, "corkdrum_leads") == Some(1.0) {
                    return name.clone();
                }
            }
        }
        names[0].clone()
    }

    /// Returns the processes that don't report themselves as ready. Stores beyond the members of the one store group are
    /// spares, which are ready without a group.
    pub async fn unready(&self) -> Vec<String> {
        let (mut unready, mut without_group) = (vec![], vec![]);
        let names = self.process_names();
        for name in &names {
            let url = format!("http://{}/readyz", self.http_addr(name));
            match call("GET", &url, &[], String::new(), HTTP_TIMEOUT_MS).await {
                Ok((200, ..)) => {}
                Ok((503, body, _)) if body.contains(WITHOUT_GROUP) => without_group.push(name.clone()),
                _ => unready.push(name.clone()),
            }
        }
        let stores = names.iter().filter(|name| name.starts_with(STORE)).count();
        if without_group.len() > stores.saturating_sub(STORE_GROUP_MEMBERS) {
            unready.extend(without_group);
        }
        unready
    }

    /// Waits until all processes are ready. Returns those that are not when the time is up.
    pub async fn wait_until_ready(&self) -> Result<(), Vec<String>> {
        let deadline = self.history.now() + READY_TIMEOUT_MS * 1_000;
        loop {
            let unready = self.unready().await;
            if unready.is_empty() {
                return Ok(());
            }
            if self.history.now() >= deadline {
                return Err(unready);
            }
            sleep(POLL_INTERVAL_MS * 5).await;
        }
    }

    /// Records the resource usage of each process until the run is over.
    pub async fn sample_usage(self: Rc<Fleet>) {
        while !self.finished.get() {
            let pid = |name: &String| self.processes.borrow().pid(name);
            let usages = self.process_names().iter().filter_map(|name| self.usage(name, pid(name)?)).collect();
            self.history.record_sample(usages);
            sleep(SAMPLE_INTERVAL_MS).await;
        }
    }

    fn usage(&self, name: &str, pid: u32) -> Option<Usage> {
        let files = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let field = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(Usage {
            process: name.into(),
            is_edge: name.starts_with(EDGE),
            incarnation: self.incarnation(name),
            files,
            threads: field("Threads:")?,
            memory_kb: field("VmRSS:")?,
        })
    }
}
