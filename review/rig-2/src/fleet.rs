//! The project's own programs as separate processes, with settings files like those of a small deployment. Each machine
//! has a loopback address of its own, so that all use the same ports.

use crate::http;
use crate::record::Record;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// First address of the machines: 127.77.X.1 and up, X drawn for each run.
const NETWORK: [u8; 2] = [127, 77];
const PORTS: u16 = 8;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

#[derive(Clone, Copy, PartialEq)]
pub enum Class {
    Edge,
    Storage,
    Core,
}

impl Class {
    fn role(self) -> &'static str {
        match self {
            Class::Edge => "trailhead",
            Class::Storage => "bothy",
            Class::Core => "refuge",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Class::Edge => "edge",
            Class::Storage => "storage",
            Class::Core => "core",
        }
    }

    fn serves(self) -> &'static str {
        match self {
            Class::Edge => "edge",
            Class::Storage => "storage",
            Class::Core => "control",
        }
    }
}

pub struct Node {
    pub name: String,
    pub class: Class,
    pub ip: IpAddr,
    zone: &'static str,
    process: Option<Child>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    base_port: u16,
    cloud: SocketAddr,
    program: PathBuf,
    pub net: u8,
}

/// Finds a block of ports that is free on the first addresses.
fn free_ports(net: u8) -> u16 {
    let mut seed = std::process::id() as u64 ^ u64::from(Instant::now().elapsed().subsec_nanos());
    loop {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let base = 21_000 + ((seed >> 33) % 9_000) as u16;
        let free = |port| TcpListener::bind((Ipv4Addr::new(NETWORK[0], NETWORK[1], net, 1), port)).is_ok();
        if (base..base + PORTS).all(free) {
            return base;
        }
    }
}

impl Fleet {
    pub fn new(root: &str, edges: usize, storage: usize, core: usize) -> Fleet {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let net = ((std::process::id() + number) % 250) as u8 + 1;
        let base_port = free_ports(net);
        let folder = std::env::temp_dir().join(format!("rig-2-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut nodes = vec![];
        let classes = [(Class::Core, core), (Class::Storage, storage), (Class::Edge, edges)];
        for (class, count) in classes {
            for index in 0..count {
                let zone = ZONES[index % ZONES.len()];
                let ip = IpAddr::from([NETWORK[0], NETWORK[1], net, nodes.len() as u8 + 1]);
                let name = format!("{}-{zone}-{}", class.name(), index / ZONES.len() + 1);
                nodes.push(Node { name, class, ip, zone, process: None });
            }
        }
        let cloud = SocketAddr::from(([NETWORK[0], NETWORK[1], net, 100], base_port));
        Fleet { nodes, folder, base_port, cloud, program: PathBuf::from(root).join("target/release/corkdrum"), net }
    }

    /// Address of the platform's list of servers.
    pub fn cloud(&self) -> SocketAddr {
        self.cloud
    }

    pub fn server_addr(&self, number: u8) -> SocketAddr {
        SocketAddr::from(([NETWORK[0], NETWORK[1], self.net, 101 + number], self.base_port))
    }

    pub fn front(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[node].ip, self.base_port + 1)
    }

    pub fn readiness(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[node].ip, self.base_port + 2)
    }

    pub fn control(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[node].ip, self.base_port + 3)
    }

    pub fn of_class(&self, class: Class) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].class == class).collect()
    }

    fn settings(&self, node: &Node, is_first_start: bool) -> String {
        let seeds: String = self
            .of_class(Class::Core)
            .iter()
            .take(3)
            .map(|index| format!("  - \"{}\"\n", self.control(*index)))
            .collect();
        let (memory, descriptors, disk, data) = match node.class {
            Class::Edge => (220, 4_100, 0, "null".to_string()),
            Class::Storage => (230, 8_200, 320, format!("\"{}\"", self.data(node).display())),
            Class::Core => (256, 4_096, 128, format!("\"{}\"", self.data(node).display())),
        };
        let address = |offset: u16| SocketAddr::new(node.ip, self.base_port + offset);
        let listen = match node.class {
            Class::Edge => format!("BindAddrs:\n  Front: \"{}\"\n  Readiness: \"{}\"\n", address(1), address(2)),
            Class::Core => format!("BindAddrs:\n  Control: \"{}\"\n", address(3)),
            Class::Storage => "BindAddrs: {}\n".to_string(),
        };
        let zones: String = ZONES.iter().map(|zone| format!("  {zone}: \"scot-north\"\n")).collect();
        let (name, role, class, serves, ip, zone) =
            (&node.name, node.class.role(), node.class.name(), node.class.serves(), node.ip, node.zone);
        let (first_port, last_port, cloud) = (self.base_port + 4, self.base_port + 7, self.cloud);
        let counted = node.class != Class::Edge;
        format!(
            "NodeName: \"{name}\"\nRole: \"{role}\"\nMachineClass: \"{class}\"\nServes:\n  - \"{serves}\"\nIp: \"{ip}\"\n\
             Zone: \"{zone}\"\nRegion: \"scot-north\"\nZones:\n{zones}{listen}PortRange:\n  - {first_port}\n  - {last_port}\n\
             SeedAddrs:\n{seeds}IsFirstStart: {is_first_start}\nLossCounted: {counted}\nLimits:\n  CpuFraction: 0.25\n  \
             CoreCount: 1\n  MemoryMb: {memory}\n  FdLimit: {descriptors}\n  LinkMbps: 1000.0\n  DiskMb: {disk}\n\
             DataDir: {data}\nDiscoverySource: \"cloud_api\"\nEntryKind: \"virtual_ip\"\nBeatIntervalMs: 1200\n\
             FaultBudget:\n  MachineLosses: 1\n  Zones: 1\n  RegionLosses: 0\nBounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  \
             InTouchMs: 3000\n  AckMs: 4000\n  CatchUpS: 4.2\n  DrainMs: 3000\n  GraceS: 8\n  LossSlackMs: 200\n  \
             ConfigApplyMs: 2000\n  RevertSlackMs: 250\n  SkewMaxMs: 5000\n  ColdExcess: 1.5\n  ColdSlack: 5\n  \
             EvacuateMs: 5000\n  RecoveryS: 12\n  PassLimitMs: 120\n  FinishByS: 10\n  SettleMs: 1000\n\
             CloudApi:\n  Address: \"{cloud}\"\n  RatePerS: 40.0\n  DutyList: []\n  MaxLagMs: 800\n"
        )
    }

    /// Empties a machine's data folder.
    pub fn wipe(&self, index: usize) {
        let _ = fs::remove_dir_all(self.data(&self.nodes[index]));
    }

    /// What a machine's process has logged.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(&self.nodes[index].name).join("log")).unwrap_or_default()
    }

    /// When a storage machine's database last changed, if it exists.
    pub fn database_changed(&self, index: usize) -> Option<std::time::SystemTime> {
        fs::metadata(self.data(&self.nodes[index]).join("hut.redb")).and_then(|file| file.modified()).ok()
    }

    fn data(&self, node: &Node) -> PathBuf {
        self.folder.join(&node.name).join("data")
    }

    /// Starts a node's process, as the deploy file says.
    pub fn start(&mut self, index: usize, is_first_start: bool) {
        let node = &self.nodes[index];
        let folder = self.folder.join(&node.name);
        fs::create_dir_all(self.data(node)).expect("a data folder");
        let settings = folder.join("local.yaml");
        fs::write(&settings, self.settings(node, is_first_start)).expect("a settings file");
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log")).expect("a log file");
        let mut command = Command::new(&self.program);
        // the process ends with this one, however that ends
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let process = command
            .arg(node.class.role())
            .env("CORKDRUM_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        self.nodes[index].process = Some(process);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|index| self.start(index, true));
    }

    /// Returns whether a process is still running.
    pub fn is_running(&self, index: usize) -> bool {
        let process = self.nodes[index].process.as_ref().map(|process| process.id() as i32);
        // its state is the third word of the file; a zombie has ended
        let state = process.and_then(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok());
        state.is_some_and(|text| !text.rsplit(") ").next().unwrap_or("Z").starts_with('Z'))
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut process) = self.nodes[index].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Waits until all edges answer 200 to the readiness question.
    pub fn wait_until_ready(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        self.of_class(Class::Edge).into_iter().all(|edge| {
            while Instant::now() < deadline {
                let answer = http::call(self.readiness(edge), "GET", "/ready", &[], b"", Duration::from_millis(500));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// Sends an order of the operator until it gets a final answer, as the pages say: to one node after the other.
    pub fn order(&self, record: &Arc<Record>, method: &str, path: &str, headers: &[(&str, String)], body: &str) -> u16 {
        let core = self.of_class(Class::Core);
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut turn = 0;
        while Instant::now() < deadline {
            let to = self.control(core[turn % core.len()]);
            turn += 1;
            match http::call(to, method, path, headers, body.as_bytes(), Duration::from_secs(1)) {
                Ok(answer) if answer.status() < 500 && ![408, 429].contains(&answer.status()) => {
                    record.note(format!("operator: {method} {path} -> {}", answer.status()));
                    return answer.status();
                }
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        0
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|index| self.kill(index));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
