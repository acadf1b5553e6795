//! Shape of the fleet under test, generated from the seed.

use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};

/// Number of processes in the smallest fleet: one controller, three stores, one edge.
pub const MIN_PROCESSES: usize = 5;
/// Maximum number of processes, however much memory the machine has.
pub const MAX_PROCESSES: usize = 300;
/// Maximum number of ports that a process uses: two of its own, that of its relay and that for proxied requests.
pub const PORTS_PER_PROCESS: usize = 4;
/// Memory budgeted for one process in MB, including its share of the clients.
const PROCESS_MB: u64 = 40;

/// Numbers of processes, servers and clients, and the settings that differ from run to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    pub controllers: usize,
    pub stores: usize,
    pub edges: usize,
    pub zones: usize,
    /// Number of servers of each of the two services.
    pub servers: usize,
    /// True if servers report their load with each answer.
    pub reports_load: bool,
    /// Time that a server works on a request, in milliseconds.
    pub work_ms: u64,
    /// Time-out of the routes, in milliseconds.
    pub timeout_ms: u64,
    /// Time for which turns are retained and can be continued, in seconds.
    pub retention_s: u64,
    pub clients: usize,
}

/// Deterministic random numbers of one stream of a seed.
pub struct SeededRandom(ChaCha8Rng);

impl SeededRandom {
    pub fn new(seed: u64, stream: u64) -> SeededRandom {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(stream);
        SeededRandom(random)
    }

    /// Returns a number from `low` to `high`, both inclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.0.next_u64() % (high - low + 1)
    }

    pub fn pick<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        &all[self.between(0, all.len() as u64 - 1) as usize]
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.between(1, 100) <= percent
    }
}

/// Random streams of one seed. Each part uses its own, so that a change to one part doesn't affect the others.
pub const SHAPE_STREAM: u64 = 1;
pub const PLAN_STREAM: u64 = 2;
pub const OPERATOR_STREAM: u64 = 3;
pub const FIRST_CLIENT_STREAM: u64 = 100;

/// Returns the maximum number of processes on this machine: those that fit into half of its memory, up to a fixed
/// maximum.
pub fn max_supported_processes() -> usize {
    let by_memory = crate::sweep::memory_kb() / 1_024 / 2 / PROCESS_MB;
    (by_memory as usize).min(MAX_PROCESSES)
}

/// Returns the first ephemeral port. A listener on an ephemeral port may find it in use by an outgoing connection.
pub fn first_ephemeral_port() -> usize {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    text.split_whitespace().next().and_then(|port| port.parse().ok()).unwrap_or(32_768)
}

impl Shape {
    /// Generates the shape of a seed for the given number of processes.
    pub fn generate(seed: u64, processes: usize) -> Shape {
        let mut random = SeededRandom::new(seed, SHAPE_STREAM);
        let controllers = match processes {
            0..=8 => 1,
            9..=12 => 3,
            _ => *random.pick(&[3, 3, 5]),
        };
        let stores = match processes {
            0..=16 => 3,
            17..=40 => *random.pick(&[3, 5]),
            _ => *random.pick(&[5, 7, 9]),
        };
        let edges = processes.saturating_sub(controllers + stores).max(1);
        let zones = random.between(1, 5) as usize;
        let servers = random.between(2, 6) as usize;
        Shape {
            controllers,
            stores,
            edges,
            zones,
            servers,
            reports_load: random.chance(50),
            work_ms: random.between(5, 60),
            timeout_ms: random.between(2_000, 4_000),
            retention_s: random.between(30, 120),
            clients: (edges * 2).clamp(6, 60),
        }
    }

    pub fn zone(&self, index: usize) -> String {
        format!("zone{}", index % self.zones)
    }

    pub fn to_json(&self) -> jzon::JsonValue {
        jzon::object! {
            cores: self.controllers, stores: self.stores, edges: self.edges, zones: self.zones, servers: self.servers,
            tells_load: self.reports_load, work_ms: self.work_ms, timeout_ms: self.timeout_ms,
            retention_s: self.retention_s, clients: self.clients,
        }
    }
}
