//! Fleet of real processes on the loopback addresses of one machine.

use crate::fault_script::{wall_clock_ms, Deployment};
use crate::relay::RelayNetwork;
use hutbook::transport::http::call;
use rustix::process::{getrlimit, kill_process, setrlimit, Pid, Resource, Rlimit, Signal};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const ZONES: [&str; 3] = ["ben", "glen", "strath"];
pub const CONTROLLERS: usize = 3;
pub const STORES: usize = 3;
pub const EDGES: usize = 6;
pub const MODELS: usize = 12;
/// File-size limit that simulates a full disk, in bytes. Any further write to a data file lies beyond it.
const FULL_DISK_LIMIT_BYTES: u64 = 4_096;

pub struct FleetProcess {
    program: &'static str,
    args: Vec<String>,
    child: Option<Child>,
    pub http_addr: String,
    /// Address at which an edge accepts proxied requests; empty if it accepts none.
    pub proxy_addr: String,
    pub zone: String,
    log: PathBuf,
    data_folder: Option<PathBuf>,
}

pub struct ProcessFleet {
    pub dir: PathBuf,
    pub processes: BTreeMap<String, FleetProcess>,
    pub deployment: Deployment,
    port: u16,
    /// Relays between the daemons, if the network is to be faulty.
    pub net: Option<RelayNetwork>,
    /// If set, edges accept proxied requests, and a planned stop of an edge waits this many seconds for requests in
    /// progress.
    pub proxied_stop_s: Option<u64>,
    /// Memory of the machines by program, in megabytes; a program that is absent gets no limit.
    pub memory_mb: BTreeMap<&'static str, u64>,
    /// Maximum number of descriptors by program; a program that is absent has the limit of this process.
    pub descriptors: BTreeMap<&'static str, u64>,
}

/// Number of daemons of each kind.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub controllers: usize,
    pub stores: usize,
    pub edges: usize,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Code(i32),
    /// Ended by a signal that it did not handle.
    Signal(i32),
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        // kill only processes that this fleet started, through their handles
        for process in self.processes.values_mut() {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn flag_of(args: &[String], flag: &str) -> Option<String> {
    let position = args.iter().position(|arg| arg == flag)?;
    args.get(position + 1).cloned()
}

fn binary(name: &str) -> PathBuf {
    let current_exe = std::env::current_exe().expect("the path of the running program is known");
    current_exe.parent().map(|process| process.join(name)).filter(|process| process.exists()).unwrap_or_else(|| {
        // test binaries are one folder below the programs
        current_exe.parent().and_then(Path::parent).map_or(name.into(), |process| process.join(name))
    })
}

/// Starts a process that may open only so many descriptors. It inherits this process's limit, which is lowered meanwhile.
fn spawn_with_descriptors(command: &mut Command, limit: u64) -> std::io::Result<Child> {
    let own_limit = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(limit), maximum: own_limit.maximum })?;
    let child = command.spawn();
    setrlimit(Resource::Nofile, own_limit)?;
    child
}

/// Settings of the stand-in backends.
#[derive(Clone, Copy)]
pub struct BackendSettings {
    pub chunk_ms: u64,
    pub work_ms: u64,
    pub lose_every: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        BackendSettings { chunk_ms: 25, work_ms: 60, lose_every: 0 }
    }
}

impl ProcessFleet {
    pub fn new(dir: &Path, port: u16, deployment: Deployment) -> std::io::Result<ProcessFleet> {
        let _ = std::fs::remove_dir_all(dir);
        std::fs::create_dir_all(dir)?;
        Ok(ProcessFleet {
            dir: dir.into(),
            processes: BTreeMap::new(),
            deployment,
            port,
            net: None,
            proxied_stop_s: None,
            memory_mb: BTreeMap::new(),
            descriptors: BTreeMap::new(),
        })
    }

    fn next_addr(&mut self) -> String {
        self.port += 1;
        format!("127.0.0.1:{}", self.port)
    }

    fn add_process(
        &mut self,
        name: &str,
        program: &'static str,
        http_addr: String,
        zone: &str,
        args: Vec<String>,
        data_folder: Option<PathBuf>,
    ) {
        let log = self.dir.join(format!("{name}.log"));
        let proxy_addr = flag_of(&args, "--front").unwrap_or_default();
        let process =
            FleetProcess { program, args, child: None, http_addr, proxy_addr, zone: zone.into(), log, data_folder };
        self.processes.insert(name.into(), process);
        self.start(name);
    }

    pub fn start(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("known process");
        let log =
            std::fs::File::options().create(true).append(true).open(&process.log).expect("the log file can be opened");
        let mut command = Command::new(binary(process.program));
        command.args(&process.args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = match self.descriptors.get(process.program) {
            Some(limit) => spawn_with_descriptors(&mut command, *limit),
            None => command.spawn(),
        };
        process.child = Some(child.unwrap_or_else(|error| panic!("{}: {error}", process.program)));
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.get_mut(name).and_then(|process| process.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to a process of this fleet. Returns false if it isn't running.
    pub fn signal(&self, name: &str, signal: Signal) -> bool {
        let pid = self
            .processes
            .get(name)
            .and_then(|process| process.child.as_ref())
            .and_then(|child| Pid::from_raw(child.id() as i32));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Returns how a process ended. Returns None while it runs, and after its end has been returned once.
    pub fn take_exit(&mut self, name: &str) -> Option<Exit> {
        let child = &mut self.processes.get_mut(name)?.child;
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status.code().map_or_else(|| Exit::Signal(status.signal().unwrap_or_default()), Exit::Code))
    }

    pub fn log_path(&self, name: &str) -> PathBuf {
        self.processes[name].log.clone()
    }

    /// Removes the data folder of a stopped process, so that it next starts with an empty one.
    pub fn remove_data_folder(&self, name: &str) {
        if let Some(folder) = &self.processes[name].data_folder {
            let _ = std::fs::remove_dir_all(folder);
        }
    }

    pub fn freeze(&self, name: &str) {
        self.signal(name, Signal::STOP);
    }

    pub fn resume(&self, name: &str) {
        self.signal(name, Signal::CONT);
    }

    /// Stops a process with SIGTERM and waits for it. Returns true if it ended in time and successfully.
    pub async fn stop(&mut self, name: &str) -> bool {
        self.signal(name, Signal::TERM);
        let Some(mut child) = self.processes.get_mut(name).and_then(|p| p.child.take()) else { return false };
        for _ in 0..400 {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// Simulates the loss of a disk: kills the process and removes its data folder.
    pub fn lose_disk(&mut self, name: &str) {
        self.kill(name);
        self.remove_data_folder(name);
    }

    pub fn remove_found_flag(&mut self, name: &str) {
        // `--found` forms a new cluster and is passed on the first start only
        self.processes.get_mut(name).expect("known process").args.retain(|argument| argument != "--found");
    }

    pub fn names(&self, program: &str) -> Vec<String> {
        self.processes.iter().filter(|(_, process)| process.program == program).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the names of all daemons, without the backends.
    pub fn daemon_names(&self) -> Vec<String> {
        ["refuge", "bothy", "trailhead"].iter().flat_map(|program| self.names(program)).collect()
    }

    pub fn http_addrs(&self, program: &str) -> Vec<String> {
        self.processes
            .values()
            .filter(|process| process.program == program)
            .map(|process| process.http_addr.clone())
            .collect()
    }

    /// Starts one daemon of each kind in one zone.
    pub fn start_small_fleet(&mut self) {
        let (rpc_addr, http_addr) = (self.next_addr(), self.next_addr());
        let seeds = vec![rpc_addr.clone()];
        self.add_node("refuge1", "refuge", rpc_addr, http_addr, ZONES[0], &[], true);
        for program in ["bothy", "trailhead"] {
            let (rpc_addr, http_addr) = (self.next_addr(), self.next_addr());
            self.add_node(&format!("{program}1"), program, rpc_addr, http_addr, ZONES[0], &seeds, false);
        }
    }

    fn flag(&self, name: &str, flag: &str) -> Option<String> {
        flag_of(&self.processes[name].args, flag)
    }

    /// Returns the address at which a daemon's peers reach it.
    pub fn rpc_addr(&self, name: &str) -> String {
        self.flag(name, "--advertise").or(self.flag(name, "--wire")).expect("every daemon has an RPC address")
    }

    /// Starts a relay for each daemon that advertises the address of one.
    pub async fn start_relays(&self) -> std::io::Result<()> {
        let Some(net) = &self.net else { return Ok(()) };
        for name in self.processes.keys() {
            self.start_relay(net, name).await?;
        }
        Ok(())
    }

    async fn start_relay(&self, net: &RelayNetwork, name: &str) -> std::io::Result<()> {
        let invalid = |_| std::io::Error::other("not a socket address");
        if let (Some(advertised), Some(listening)) = (self.flag(name, "--advertise"), self.flag(name, "--wire")) {
            net.start(advertised.parse().map_err(invalid)?, listening.parse().map_err(invalid)?, name).await?;
        }
        Ok(())
    }

    /// Registers the node id of each daemon with the relays. An edge has a new id after every start.
    pub async fn register_nodes(&self) {
        let Some(net) = &self.net else { return };
        for (name, process) in self.processes.iter().filter(|(_, process)| process.program != "bivouac") {
            let url = format!("http://{}/v1/beliefs", process.http_addr);
            if let Ok((200, body, _)) = call("GET", &url, &[], String::new(), 1_000).await {
                let id =
                    jzon::parse(&body).ok().and_then(|beliefs| u64::from_str_radix(beliefs["node"].as_str()?, 16).ok());
                if let Some(id) = id {
                    net.register_node(id, name);
                }
            }
        }
    }

    /// Starts another daemon on unused addresses with an empty folder.
    pub async fn add_daemon(&mut self, name: &str, program: &'static str, zone: &str) -> std::io::Result<()> {
        let seeds: Vec<String> = self.names("refuge").iter().map(|name| self.rpc_addr(name)).collect();
        let (rpc_addr, http_addr) = (self.next_addr(), self.next_addr());
        self.add_node(name, program, rpc_addr, http_addr, zone, &seeds, false);
        match &self.net {
            Some(net) => self.start_relay(net, name).await,
            None => Ok(()),
        }
    }

    /// Returns the node id that a daemon reports.
    pub async fn node_id(&self, name: &str) -> Option<String> {
        let url = format!("http://{}/v1/beliefs", self.processes[name].http_addr);
        let (_, body, _) = call("GET", &url, &[], String::new(), 1_000).await.ok()?;
        jzon::parse(&body).ok()?["node"].as_str().map(String::from)
    }

    /// Simulates a full disk, or space again, with a file-size limit below which hardly a page can be written.
    pub fn set_disk_full(&self, name: &str, is_full: bool) -> bool {
        let Some(child) = self.processes[name].child.as_ref() else { return false };
        let limit = Rlimit { current: is_full.then_some(FULL_DISK_LIMIT_BYTES), maximum: None };
        rustix::process::prlimit(Pid::from_raw(child.id() as i32), Resource::Fsize, limit).is_ok()
    }

    /// Starts the fleet of the example deployments: 3 zones, 3 controllers, 3 stores, 6 edges, 12 model servers and the
    /// tool servers.
    pub fn start_example_fleet(&mut self, settings: BackendSettings) {
        self.start_daemons(EDGES);
        let tool_count = if self.deployment == Deployment::Glenmorven { 8 } else { 3 };
        for index in 0..MODELS {
            self.start_backend(&format!("model{:02}", index + 1), "model", ZONES[index % 3], settings);
        }
        for index in 0..tool_count {
            self.start_backend(&format!("tool{}", index + 1), "tool", ZONES[index % 3], settings);
        }
    }

    /// Starts a process of hollow nodes beside the real ones; its servers listen on ports from `server_port` on.
    pub fn start_hollow_nodes(&mut self, name: &str, edges: usize, servers: usize, server_port: u16) {
        let http_addr = self.next_addr();
        let mut args = vec!["--http".to_string(), http_addr.clone()];
        for (flag, value) in [("edges", edges), ("servers", servers), ("server-port", server_port.into())] {
            args.extend([format!("--{flag}"), value.to_string()]);
        }
        let seeds = self.names("refuge").iter().map(|name| self.rpc_addr(name)).collect::<Vec<_>>();
        seeds.into_iter().for_each(|seed| args.extend(["--seed".into(), seed]));
        self.http_addrs("trailhead").into_iter().for_each(|addr| args.extend(["--trailhead".into(), addr]));
        self.add_process(name, "hollow", http_addr, ZONES[0], args, None);
    }

    /// Returns the process id while the process runs.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.get(name)?.child.as_ref().map(Child::id)
    }

    /// Starts only the daemons: 3 controllers, 3 stores and this many edges in 3 zones.
    pub fn start_daemons(&mut self, edges: usize) {
        let size = FleetSize { controllers: CONTROLLERS, stores: STORES, edges };
        self.start_daemons_in_zones(size, |index| ZONES[index % 3].to_string());
    }

    /// Starts daemons of each kind; `zone` maps the index of a daemon to its zone.
    pub fn start_daemons_in_zones(&mut self, size: FleetSize, zone: impl Fn(usize) -> String) {
        // the seeds of all daemons, including the bootstrap member, are the controllers
        let addresses: Vec<(String, String)> = (0..size.controllers)
            .map(|_| {
                let addrs = (self.next_addr(), self.next_addr());
                // reserve a port for its relay
                if self.net.is_some() {
                    self.port += 1;
                }
                addrs
            })
            .collect();
        // with a relay, a daemon is reached at the port after its own two
        let relay_addr = |rpc_addr: &str| {
            rpc_addr.parse::<SocketAddr>().map(|addr| SocketAddr::new(addr.ip(), addr.port() + 2).to_string())
        };
        let seed_of = |addrs: &(String, String)| {
            if self.net.is_some() {
                relay_addr(&addrs.0).unwrap_or_default()
            } else {
                addrs.0.clone()
            }
        };
        let seeds: Vec<String> = addresses.iter().map(seed_of).collect();
        for (index, (rpc_addr, http_addr)) in addresses.into_iter().enumerate() {
            self.add_node(
                &format!("refuge{}", index + 1),
                "refuge",
                rpc_addr,
                http_addr,
                &zone(index),
                &seeds,
                index == 0,
            );
        }
        for index in 0..size.stores {
            let (rpc_addr, http_addr) = (self.next_addr(), self.next_addr());
            self.add_node(&format!("bothy{}", index + 1), "bothy", rpc_addr, http_addr, &zone(index), &seeds, false);
        }
        for index in 0..size.edges {
            let (rpc_addr, http_addr) = (self.next_addr(), self.next_addr());
            self.add_node(
                &format!("trailhead{}", index + 1),
                "trailhead",
                rpc_addr,
                http_addr,
                &zone(index),
                &seeds,
                false,
            );
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn add_node(
        &mut self,
        name: &str,
        program: &'static str,
        rpc_addr: String,
        http_addr: String,
        zone: &str,
        seeds: &[String],
        forms_cluster: bool,
    ) {
        let relay = match (self.net.is_some(), rpc_addr.parse::<SocketAddr>()) {
            (true, Ok(rpc)) => {
                self.port = self.port.max(rpc.port() + 2);
                Some(SocketAddr::new(rpc.ip(), rpc.port() + 2).to_string())
            }
            _ => None,
        };
        let mut args: Vec<String> =
            vec!["--wire".into(), rpc_addr.clone(), "--http".into(), http_addr.clone(), "--cell".into(), zone.into()];
        for seed in seeds.iter().filter(|seed| **seed != rpc_addr).take(3) {
            args.extend(["--seed".into(), seed.clone()]);
        }
        if let Some(relay_addr) = relay {
            args.extend(["--advertise".into(), relay_addr]);
        }
        let data_folder = (program != "trailhead").then(|| self.dir.join(name));
        if let Some(folder) = &data_folder {
            args.extend(["--data".into(), folder.display().to_string()]);
        }
        if forms_cluster {
            args.push("--found".into());
        }
        if let Some(memory_mb) = self.memory_mb.get(program) {
            args.extend(["--memory-mb".into(), memory_mb.to_string()]);
        }
        if let Some(stop_s) = self.proxied_stop_s.filter(|_| program == "trailhead") {
            args.extend(["--front".into(), self.next_addr(), "--stop-s".into(), stop_s.to_string()]);
        }
        self.add_process(name, program, http_addr, zone, args, data_folder);
    }

    pub fn start_backend(&mut self, name: &str, kind: &str, zone: &str, settings: BackendSettings) {
        self.start_faulty_backend(name, kind, zone, settings, "");
    }

    /// Starts a backend with a fault; see bivouac's `--fault`.
    pub fn start_faulty_backend(&mut self, name: &str, kind: &str, zone: &str, settings: BackendSettings, fault: &str) {
        let http_addr = self.next_addr();
        let slots = self.slots(kind).0;
        let flags = [
            ("http", http_addr.clone()),
            ("name", name.to_string()),
            ("kind", kind.to_string()),
            ("slots", slots.to_string()),
            ("piece-ms", settings.chunk_ms.to_string()),
            ("work-ms", settings.work_ms.to_string()),
            ("lose-every", settings.lose_every.to_string()),
            ("fault", fault.to_string()),
            ("ledger", self.dir.join(format!("{name}.ledger")).display().to_string()),
        ];
        let args = flags.into_iter().flat_map(|(flag, value)| [format!("--{flag}"), value]).collect();
        self.add_process(name, "bivouac", http_addr, zone, args, None);
    }

    /// Returns the slots of a server and the number of its warm-up jobs, as in the example configurations.
    pub fn slots(&self, kind: &str) -> (u32, u32) {
        match (kind, self.deployment) {
            ("tool", Deployment::Glenmorven) => (6, 2),
            _ => (8, 2),
        }
    }

    pub fn config(&self) -> &'static str {
        match self.deployment {
            Deployment::Glenmorven => include_str!("../../examples/glenmorven.json"),
            Deployment::Tianguis => include_str!("../../examples/tianguis.json"),
        }
    }

    /// Sends a request to the controllers, trying each until one gives an answer other than 503, for up to 20 s.
    /// Returns status, body and etag.
    pub async fn call_controllers(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<(u16, String, Option<u64>)> {
        let deadline = wall_clock_ms() + 20_000;
        while wall_clock_ms() < deadline {
            for addr in self.http_addrs("refuge") {
                let result = call(method, &format!("http://{addr}{path}"), headers, body.into(), 6_000).await;
                if let Ok((status, body, response_headers)) = result {
                    if status != 503 {
                        let etag = response_headers.get("etag").and_then(|value| value.trim_matches('"').parse().ok());
                        return Some((status, body, etag));
                    }
                }
            }
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
        None
    }

    pub async fn put_config(&self, base: u64, change_id: &str, text: &str) -> Option<(u16, Option<u64>)> {
        let base = base.to_string();
        let headers = [("if-match", base.as_str()), ("change-id", change_id)];
        self.call_controllers("PUT", "/v1/config", &headers, text).await.map(|(status, _, etag)| (status, etag))
    }

    pub async fn list_server(&self, name: &str) -> bool {
        let process = &self.processes[name];
        let group = match (name.starts_with("model"), self.deployment) {
            (true, _) => "lang",
            (_, Deployment::Glenmorven) => "tiles",
            _ => "office",
        };
        let body = jzon::object! { group: group, address: process.http_addr.as_str(), cell: process.zone.as_str() };
        let result = self.call_controllers("PUT", &format!("/v1/servers/{name}"), &[], &body.dump()).await;
        matches!(result, Some((200, _, _)))
    }

    /// Waits until all daemons report that they are ready: edges have a lease and a configuration, stores are assigned
    /// to a group, and stores and controllers know their group's leader. Returns false if that takes longer than `ms`.
    pub async fn wait_until_ready(&self, ms: u64) -> bool {
        let deadline = wall_clock_ms() + ms;
        while wall_clock_ms() < deadline {
            let mut all_ready = true;
            for addr in self
                .http_addrs("trailhead")
                .into_iter()
                .chain(self.http_addrs("bothy"))
                .chain(self.http_addrs("refuge"))
            {
                all_ready &= matches!(
                    call("GET", &format!("http://{addr}/readyz"), &[], String::new(), 500).await,
                    Ok((200, _, _))
                );
            }
            if all_ready {
                return true;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Waits until the control group and the first store group have all their voting members. Returns false if that
    /// takes longer than `ms`.
    pub async fn wait_for_voters(&self, ms: u64) -> bool {
        let deadline = wall_clock_ms() + ms;
        while wall_clock_ms() < deadline {
            if let Some((200, body, _)) = self.call_controllers("GET", "/v1/status", &[], "").await {
                let status = jzon::parse(&body).unwrap_or(jzon::JsonValue::Null);
                if status["core"]["voters"].len() >= CONTROLLERS && status["stores"]["1"]["actual"].len() >= STORES {
                    return true;
                }
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Returns the value of one of a daemon's metrics.
    pub async fn gauge(&self, name: &str, metric: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.processes[name].http_addr);
        let (_, text, _) = call("GET", &url, &[], String::new(), 500).await.ok()?;
        hutbook::transport::http::gauge(&text, metric)
    }

    /// Returns the process of this program that reports itself as leader; waits up to about 5 s for one.
    pub async fn leader(&self, program: &str) -> Option<String> {
        for _ in 0..50 {
            for name in self.names(program) {
                if self.gauge(&name, "corkdrum_leads").await == Some(1.0) {
                    return Some(name);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }
}
