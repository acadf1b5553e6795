//! The table of rules against failures: a simulated run for each failure of the specification, in which every rule
//! is exposed while the failure is active.

use crate::check::{evaluate, RULES};
use crate::fleet::{ProgramKind, World};
use crate::observations::Observations;
use hutbook::coordination::control::ControlRequest;

const CONFIG: &str = include_str!("../../examples/glenmorven.json");
const CHAT: ProgramKind = ProgramKind { name: "rush", route: "chat", turns: 1, tool: None };
const ALARM: ProgramKind = ProgramKind { name: "alarm", route: "", turns: 0, tool: Some(("flood-bundle", true)) };
/// How long a failure lasts from the start of each action, in milliseconds, and how long the run continues after it.
const FAULT_MS: u64 = 3_600;
/// How long clients arrive, in milliseconds.
const TRAFFIC_MS: u64 = 60_000;
/// Time until all jobs in progress have ended, in milliseconds.
const SETTLE_MS: u64 = 180_000;

/// A failure: its name, what it does as an action of the run starts, and what it does right after the action's
/// confirmation.
pub struct Failure {
    pub name: &'static str,
    inject: fn(&World, u64),
    after_action: fn(&World, u64),
}

fn no_fault(_: &World, _: u64) {}

/// Returns the node that a failure affects: the leading controller, the leading store and an edge in turn.
fn target_node(world: &World, step: u64) -> String {
    match step % 3 {
        0 => world.leader("refuge"),
        1 => world.leader("bothy"),
        _ => format!("trailhead{}", step % 6 + 1),
    }
}

fn spawn_client_bursts(world: &World, _: u64) {
    world.spawn_clients(120, 400, CHAT);
    world.spawn_clients(20, 400, ALARM);
}

fn replace_servers(world: &World, step: u64) {
    let name = |n: u64| format!("model{:02}", n % 5 + 6);
    world.relist(&name(step + 4));
    world.mark_leaving(&name(step));
}

fn lose_answers(world: &World, _: u64) {
    // only some servers, so that there are unaffected jobs and capacity for them
    let some = |s: &String| s.ends_with(['1', '5']);
    let all = world.names("model").into_iter().chain(world.names("tool")).filter(some);
    all.for_each(|s| world.configure_backend(&s, |b| b.lose_answer_every = 3));
}

fn kill(world: &World, step: u64) {
    world.kill(&target_node(world, step));
}

fn freeze(world: &World, step: u64) {
    world.freeze(&target_node(world, step));
}

fn add_or_swap(world: &World, step: u64) {
    match step % 3 {
        0 => {
            // a controller is lost for good, and one with an empty disk is added at a new address
            let whole = world.names("refuge").iter().filter(|r| world.is_up(r)).count() >= 3;
            if whole && world.voters("refuge") == 3 && world.names("refuge").len() == 3 {
                world.lose_disk(&world.leader("refuge"));
                world.add_controller(4, false);
            } else {
                world.add_controller(world.names("refuge").len() + 1, false);
            }
        }
        1 => world.add_store(world.names("bothy").len() + 1),
        _ => world.add_edge(world.names("trailhead").len() + 1),
    }
}

/// Returns the running controllers for every action, and the stores as well for every second one, since a job whose
/// store has a fault isn't checked as dropped.
fn nodes_with_slow_disks(world: &World, step: u64) -> Vec<String> {
    let mut all = world.names("refuge");
    if step.is_multiple_of(2) {
        all.extend(world.names("bothy"));
    }
    all.retain(|x| world.is_up(x));
    all
}

fn slow_disks(world: &World, step: u64) {
    nodes_with_slow_disks(world, step).iter().for_each(|x| world.set_sync_latency(x, Some(60)));
}

fn cycle_power(world: &World, step: u64) {
    let spare = step % 6 == 2 && world.voters("bothy") <= 3;
    let mut all = nodes_with_slow_disks(world, step);
    all.iter().for_each(|x| world.kill(x));
    world.run(300);
    // in one action a disk is lost as well, and a spare store is added
    if spare {
        world.lose_disk(&all[all.len() - 1]);
        all.pop();
        world.add_store(world.names("bothy").len() + 1);
    }
    all.iter().for_each(|x| world.start(x));
}

fn disk_faults(world: &World, step: u64) {
    let kind = if step.is_multiple_of(2) { "refuge" } else { "bothy" };
    match step % 3 {
        0 => world.set_sync_latency(&world.leader(kind), None),
        1 => world.names(kind).iter().filter(|x| world.is_up(x)).for_each(|x| world.set_sync_latency(x, Some(300))),
        // full disk: accepts no writes until there is space again
        _ => world.set_sync_latency(&world.names(kind)[0], None),
    }
}

fn partition_controllers(world: &World, step: u64) {
    let leader = world.leader("refuge");
    match step % 4 {
        0 => world.names("refuge").iter().filter(|x| **x != leader).for_each(|x| world.block_link(&leader, x, true)),
        1 => world.names("refuge").iter().filter(|x| **x != leader).for_each(|x| world.block_link(x, &leader, false)),
        // the whole control group, right after the confirmation
        2 => {}
        _ => world.isolate(&[&leader, "trailhead2"]),
    }
}

fn isolate_controllers(world: &World, step: u64) {
    if step % 4 == 2 {
        world.isolate(&world.names("refuge").iter().map(String::as_str).collect::<Vec<_>>());
    }
}

fn change_config_repeatedly(world: &World, step: u64) {
    let base = world.config_revision();
    world.race_configs(base, CONFIG, &format!("x{step}-a"), &format!("x{step}-b"));
    for k in 0..3 {
        let base = world.config_revision();
        world.put_config(base, &format!("x{step}-c{k}"), CONFIG);
    }
}

fn retire_store_member(world: &World, step: u64) {
    world.add_store(world.names("bothy").len() + 1);
    world.run(700);
    // retire the leader, or another member
    let leader = world.leader("bothy");
    let id = world.with_store(&leader, |r| {
        let voters = &r.raft.members().voters;
        voters.iter().map(|x| x.id).find(|x| (*x == r.raft.id) == step.is_multiple_of(2))
    });
    if let Some(id) = id.flatten() {
        world.issue(ControlRequest::Retire(id));
    }
}

pub const FAILURES: [Failure; 12] = [
    Failure { name: "rush", inject: spawn_client_bursts, after_action: no_fault },
    Failure { name: "rolling", inject: replace_servers, after_action: no_fault },
    Failure { name: "lost answers", inject: lose_answers, after_action: no_fault },
    Failure { name: "kill", inject: kill, after_action: no_fault },
    Failure { name: "freeze", inject: freeze, after_action: no_fault },
    Failure { name: "add, swap", inject: add_or_swap, after_action: no_fault },
    Failure { name: "power", inject: slow_disks, after_action: cycle_power },
    Failure { name: "disk ill", inject: disk_faults, after_action: no_fault },
    Failure { name: "split", inject: partition_controllers, after_action: isolate_controllers },
    Failure { name: "bursts", inject: change_config_repeatedly, after_action: no_fault },
    Failure { name: "retire", inject: retire_store_member, after_action: no_fault },
    Failure { name: "closing", inject: no_fault, after_action: no_fault },
];

/// Runs an action while the failure is active.
fn run_action(world: &World, failure: &Failure, step: u64, action: impl FnOnce(&World)) {
    let from = world.now();
    world.spawn_over_allowance_clients(&format!("g{step}"), 3, 8);
    (failure.inject)(world, step);
    action(world);
    (failure.after_action)(world, step);
    world.run(FAULT_MS);
    world.end_all_faults();
    world.run(FAULT_MS);
    let until = world.now();
    if failure.name != "closing" {
        world.0.borrow_mut().observed.failure_windows.push((from, until));
    }
}

/// Runs one simulated day under one failure.
pub fn day(failure: &Failure, seed: u64) -> Observations {
    let world = World::new(seed);
    world.start_default_fleet();
    world.configure_and_list_servers(CONFIG, 12, 8, "tiles");
    world.spawn_traffic(TRAFFIC_MS, 60);
    world.spawn_clients(
        12,
        40_000,
        ProgramKind { name: "long", route: "review", turns: 8, tool: Some(("bundle", true)) },
    );
    world.run(3_000);
    let number = |i: u64| seed + i;
    run_action(&world, failure, number(0), |world| world.mark_leaving("model01"));
    run_action(&world, failure, number(1), |world| {
        world.evacuate("glen", 12_000);
    });
    run_action(&world, failure, number(2), |world| {
        let base = world.config_revision();
        world.race_configs(base, CONFIG, &format!("r{seed}a"), &format!("r{seed}b"));
        let base = world.config_revision();
        world.put_config(base, &format!("p{seed}"), CONFIG);
    });
    run_action(&world, failure, number(3), |world| {
        // one server is listed again after its release, one restarts at the same address
        world.relist("model01");
        let busy = world.busiest("model");
        world.kill(&busy);
        world.run(1_500);
        world.start(&busy);
        world.mark_leaving("model02");
    });
    run_action(&world, failure, number(4), |world| {
        world.stop("trailhead5");
        world.start("trailhead5");
        world.stop(&world.leader("refuge"));
        world.end_all_faults();
    });
    closing(&world, failure, seed);
    world.finish_and_observe(SETTLE_MS)
}

/// Injects the last fault of the run: all processes, the leading controllers, or a partition; then repairs it and
/// checks that the fleet serves again.
fn closing(world: &World, failure: &Failure, seed: u64) {
    let from = world.now();
    world.spawn_over_allowance_clients("last", 3, 8);
    world.spawn_clients(
        10,
        3_000,
        ProgramKind { name: "late", route: "review", turns: 3, tool: Some(("bundle", true)) },
    );
    world.run(400);
    (failure.inject)(world, seed + 5);
    let base = world.config_revision();
    world.put_config(base, &format!("l{seed}"), CONFIG);
    (failure.after_action)(world, seed + 5);
    match seed % 3 {
        0 if failure.name == "closing" => world.leaders("refuge").iter().for_each(|l| world.kill(l)),
        1 if failure.name == "closing" => world.isolate(&[&world.leader("refuge"), "bothy2", "trailhead3"]),
        _ => {
            let all = world.process_names();
            all.iter().filter(|x| world.is_up(x)).for_each(|x| world.kill(x));
        }
    }
    world.run(1_000);
    world.end_all_faults();
    let now = world.now();
    world.0.borrow_mut().observed.total_losses.push((now, None));
    world.spawn_clients(30, 12_000, ProgramKind { name: "evening", route: "chat", turns: 1, tool: None });
    world.spawn_clients(5, 12_000, ALARM);
    world.run(14_000);
    let until = world.now();
    world.0.borrow_mut().observed.failure_windows.push((from, until));
    let answer = world.issue(ControlRequest::Evacuate { zone: "glen".into(), evacuated: false });
    let now = world.now();
    world.0.borrow_mut().observed.evacuations.iter_mut().for_each(|x| x.1 = now.min(x.1));
    assert!(answer.is_some(), "the end of the evacuation was not confirmed");
}

/// The result of one column: how often each rule was exposed while the failure was active, and all violations.
pub struct DayResult {
    pub exposed: [usize; RULES.len()],
    pub breaches: Vec<(&'static str, String)>,
    /// The longest time without any first answer while clients arrived, in milliseconds.
    pub longest_gap_ms: u64,
}

pub fn evaluate_day(failure: &Failure, seed: u64) -> DayResult {
    let observed = day(failure, seed);
    let from = observed.jobs.iter().map(|j| j.asked_at).min().unwrap_or(0);
    let gap = observed.gap(from, from + TRAFFIC_MS);
    let mut result = DayResult { exposed: [0; RULES.len()], breaches: vec![], longest_gap_ms: gap };
    for (i, (rule, report)) in evaluate(&observed).into_iter().enumerate() {
        result.exposed[i] = report.exposures_within(&observed.failure_windows);
        result.breaches.extend(
            report
                .violations
                .into_iter()
                .map(|violation| (rule, format!("{}, seed {seed}: {violation}", failure.name))),
        );
    }
    result
}
