//! Measures how CPU time and messages grow with the size of the in-memory fleet.

use crate::fleet::World;
use hutbook::coordination::slot_allocation::{divide, SlotLedger, SlotReport};
use hutbook::coordination::view::{hash, Event, GroupSlot, Server, View};
use hutbook::state::entry::to_bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const CONFIG: &str = include_str!("../../examples/glenmorven.json");
/// Virtual time that is measured once the fleet has settled, in milliseconds.
const COUNT_MS: u64 = 5_000;

pub struct FleetCost {
    pub edges: usize,
    pub servers: usize,
    /// Messages per second to and from the control group.
    pub messages_per_s: u64,
    /// CPU time for one virtual second of the whole fleet, in milliseconds.
    pub cpu_ms_per_s: f64,
}

/// Measures a fleet of this size without client load.
pub fn measure(edges: usize, servers: usize) -> FleetCost {
    let world = World::new(1);
    world.start_default_fleet();
    (7..=edges).for_each(|i| world.add_edge(i));
    // every server is assigned a slot of its group, so all of them are shared out
    let all = format!("\"least\": {servers}, \"most\": {servers}");
    world.configure_and_list_servers(&CONFIG.replace("\"least\": 2, \"most\": 12", &all), servers, 2, "tiles");
    world.run(4_000);
    let count = |world: &World| world.0.borrow().messages_sent.values().sum::<u64>();
    let (before, start) = (count(&world), Instant::now());
    world.run(COUNT_MS);
    let cpu_ms_per_s = start.elapsed().as_secs_f64() * 1_000.0 * 1_000.0 / COUNT_MS as f64;
    FleetCost { edges, servers, messages_per_s: (count(&world) - before) * 1_000 / COUNT_MS, cpu_ms_per_s }
}

/// Slots of a warm model server of the example configuration.
const WARM_SLOTS: u32 = 8;

/// Cost of single operations of the control group's leader, measured without a fleet.
pub struct LeaderCosts {
    /// Time to divide every server's slots among all edges, in milliseconds.
    pub divide_ms: f64,
    /// Time to process and grant one edge's lease renewal when no division is due, in microseconds.
    pub grant_us: f64,
    /// Time to plan all group slots after one server was marked as leaving, in milliseconds.
    pub plan_slots_ms: f64,
    /// Size of the whole view as a new edge receives it, and of the group slots that one change sends to every edge, in
    /// bytes.
    pub view_bytes: usize,
    pub group_slots_bytes: usize,
    /// Time of an edge to copy its view, which it does for every update, in milliseconds.
    pub copy_view_ms: f64,
    /// Number of edges that get no slot on any server although each has one to sixteen jobs.
    pub edges_without_slots: usize,
}

/// Measures a leader whose servers are warm and divided between two groups, and whose edges all have the same demand.
pub fn measure_leader(edges: usize, servers: usize) -> LeaderCosts {
    let text = crate::sweep::config(CONFIG, servers, 0);
    let config = hutbook::protocol::config::read(&text).expect("the example config is valid");
    let mut view = View::default();
    view.apply(1, &Event::Config { text, config, number: 0 });
    let group = |i: usize| if i.is_multiple_of(2) { "lang" } else { "tiles" };
    let mut group_slots = BTreeMap::from([("lang", BTreeMap::new()), ("tiles", BTreeMap::new())]);
    for i in 0..servers {
        let (name, addr) = (format!("server{i:05}"), format!("10.0.{}.{}:9000", i / 250, i % 250));
        let zone = crate::process_fleet::ZONES[i % 3].to_string();
        group_slots
            .get_mut(group(i))
            .expect("both groups exist")
            .insert(name.clone(), GroupSlot { since_revision: 2, draining: false });
        view.apply(
            2,
            &Event::Server(Server {
                name,
                group: group(i).into(),
                addr,
                zone,
                leaving: false,
                warmup_revision: 2,
                started_at: 1,
                slots: 0,
                cold: false,
                listed_by_directory: false,
            }),
        );
    }
    for (g, group_slots) in group_slots {
        view.apply(2, &Event::GroupSlots { group: g.into(), slots: group_slots });
    }
    let ms = |start: Instant| start.elapsed().as_secs_f64() * 1_000.0;
    let mut ledger = SlotLedger::new(0);
    // late enough that no lease of an earlier leader can still be valid
    let mut now = 10_000;
    let mut reports_by_edge: Vec<Vec<SlotReport>> = vec![vec![]; edges];
    let (mut divide_ms, mut grant_us) = (f64::MAX, f64::MAX);
    for round in 0..3 {
        let mut grants_us = 0.0;
        for (i, reports) in reports_by_edge.iter_mut().enumerate() {
            let (n, addr) = (i as u64 + 1, format!("10.1.0.{i}"));
            let demand = vec![("lang".to_string(), 3), ("tiles".to_string(), 3)];
            let start = Instant::now();
            ledger.record_renewal(now, n, round, view.revision, "ben", &addr, demand, std::mem::take(reports));
            let (_, shares) = ledger.grant(now, &view, n);
            // the first grant of a round divides all slots again
            match i {
                0 => divide_ms = if round == 0 { divide_ms } else { divide_ms.min(ms(start)) },
                _ => grants_us += ms(start) * 1_000.0,
            }
            let to_report = |(server, share): (String, u32)| SlotReport {
                server,
                share,
                done: 100,
                warmup_revision: 2,
                ..SlotReport::default()
            };
            *reports = shares.into_iter().map(to_report).collect();
        }
        grant_us = grant_us.min(grants_us / (edges - 1).max(1) as f64);
        // a new revision makes the next grant divide the slots again
        now += 300;
        view.revision += 1;
    }
    let mut changed_view = view.clone();
    let server = changed_view.servers.values_mut().next().expect("there are servers");
    server.leaving = true;
    let start = Instant::now();
    let planned_slots = changed_view.plan_group_slots(3);
    let plan_slots_ms = ms(start);
    let event =
        planned_slots.into_iter().map(|(group, group_slots)| Event::GroupSlots { group, slots: group_slots }).next();
    let start = Instant::now();
    let copy = view.clone();
    let copy_view_ms = ms(start);
    let demand_by_edge: Vec<(u64, u32)> = (0..edges as u64).map(|i| (i + 1, 1 + (i % 16) as u32)).collect();
    let mut served_edges = BTreeSet::new();
    for n in view.servers.keys() {
        served_edges.extend(divide(WARM_SLOTS, &demand_by_edge, hash(n)).into_keys());
    }
    LeaderCosts {
        edges_without_slots: edges - served_edges.len(),
        divide_ms,
        grant_us,
        plan_slots_ms,
        view_bytes: to_bytes(&copy).len(),
        group_slots_bytes: event.map_or(0, |e| to_bytes(&e).len()),
        copy_view_ms,
    }
}
