//! The drill catalogue: each drill injects one failure into a simulated fleet, over many seeds, and measures the
//! longest time without any first answer, in virtual time.

use crate::check::check;
use crate::fleet::{World, SYNC_MS};
use hutbook::coordination::control::ControlRequest;

const CONFIG: &str = include_str!("../../examples/glenmorven.json");
/// How long clients arrive, in milliseconds; the fault is injected after `FAULT_AT_MS`.
const TRAFFIC_MS: u64 = 24_000;
const FAULT_AT_MS: u64 = 6_000;
/// Time until all jobs in progress have ended, in milliseconds.
const SETTLE_MS: u64 = 150_000;

pub type Drill = (&'static str, fn(&World));

fn others(world: &World, kind: &str, one: &str) -> Vec<String> {
    world.names(kind).into_iter().filter(|n| n != one).collect()
}

fn kill_leader(world: &World, kind: &str) {
    let leader = world.leader(kind);
    world.kill(&leader);
    world.run(5_000);
    world.start(&leader);
}

fn freeze_leader(world: &World, kind: &str) {
    let leader = world.leader(kind);
    world.freeze(&leader);
    world.run(5_000);
    world.unfreeze(&leader);
}

fn stall_leader_disk(world: &World, kind: &str) {
    let leader = world.leader(kind);
    world.set_sync_latency(&leader, None);
    world.run(6_000);
    world.set_sync_latency(&leader, Some(SYNC_MS));
}

fn isolate_nodes(world: &World, names: &[String]) {
    world.isolate(&names.iter().map(String::as_str).collect::<Vec<_>>());
    world.run(5_000);
    world.heal_partitions();
}

fn kill_everything(world: &World, down_ms: u64) {
    let all = world.process_names();
    all.iter().for_each(|n| world.kill(n));
    world.run(down_ms);
    all.iter().for_each(|n| world.start(n));
    let now = world.now();
    world.0.borrow_mut().observed.total_losses.push((now, None));
}

pub const DRILLS: [Drill; 21] = [
    ("calm", |_| {}),
    ("core leader killed", |world| kill_leader(world, "refuge")),
    ("store leader killed", |world| kill_leader(world, "bothy")),
    ("trailhead killed", |world| {
        world.kill("trailhead2");
        world.run(5_000);
        world.start("trailhead2");
    }),
    ("core leader frozen", |world| freeze_leader(world, "refuge")),
    ("store leader frozen", |world| freeze_leader(world, "bothy")),
    ("trailhead frozen", |world| {
        world.freeze("trailhead2");
        world.run(5_000);
        world.unfreeze("trailhead2");
    }),
    ("core leader cut off", |world| isolate_nodes(world, &[world.leader("refuge")])),
    ("core leader deaf", |world| {
        let leader = world.leader("refuge");
        others(world, "refuge", &leader).iter().for_each(|n| world.block_link(n, &leader, false));
        world.run(5_000);
        world.heal_partitions();
    }),
    ("core leader mute", |world| {
        let leader = world.leader("refuge");
        others(world, "refuge", &leader).iter().for_each(|n| world.block_link(&leader, n, false));
        world.run(5_000);
        world.heal_partitions();
    }),
    ("core cut off from all", |world| isolate_nodes(world, &world.names("refuge"))),
    ("store leader cut off", |world| isolate_nodes(world, &[world.leader("bothy")])),
    ("a cell cut off", |world| {
        isolate_nodes(world, &["refuge2", "bothy2", "trailhead2", "trailhead5"].map(String::from))
    }),
    ("core leader's disk stalls", |world| stall_leader_disk(world, "refuge")),
    ("store leader's disk stalls", |world| stall_leader_disk(world, "bothy")),
    ("all store disks slow (300 ms)", |world| {
        world.names("bothy").iter().for_each(|n| world.set_sync_latency(n, Some(300)))
    }),
    ("a bothy lost with its disk, spare by", |world| {
        world.add_store(4);
        world.run(1_000);
        let leader = world.leader("bothy");
        world.lose_disk(&leader);
    }),
    ("core leader lost, empty one comes", |world| {
        let leader = world.leader("refuge");
        world.lose_disk(&leader);
        world.add_controller(4, false);
    }),
    ("servers replaced one by one", |world| {
        for s in ["model01", "model02", "model03", "tool1"] {
            world.mark_leaving(s);
            world.run(2_500);
        }
    }),
    ("a cell evacuated", |world| {
        world.evacuate("ben", 10_000).expect("the evacuation was reported done");
        world.run(4_000);
        world.issue(ControlRequest::Evacuate { zone: "ben".into(), evacuated: false });
    }),
    ("everything killed", |world| kill_everything(world, 1_000)),
];

pub struct DrillResult {
    pub jobs: usize,
    pub done: usize,
    pub breaches: Vec<String>,
    /// The longest time without any first answer while clients arrived, in milliseconds.
    pub longest_gap_ms: u64,
}

pub fn run(drill: &Drill, seed: u64) -> DrillResult {
    let world = World::new(seed);
    world.start_default_fleet();
    world.configure_and_list_servers(CONFIG, 12, 8, "tiles");
    let from = world.now();
    world.spawn_traffic(TRAFFIC_MS, 100);
    world.run(FAULT_AT_MS);
    (drill.1)(&world);
    let observed = world.finish_and_observe(SETTLE_MS);
    let done = observed.jobs.iter().filter(|j| j.verdicts.iter().any(|v| v.1 == "done")).count();
    DrillResult {
        jobs: observed.jobs.len(),
        done,
        breaches: check(&observed).into_iter().map(|b| format!("seed {seed}: {}: {}", b.rule, b.description)).collect(),
        longest_gap_ms: observed.gap(from, from + TRAFFIC_MS),
    }
}
