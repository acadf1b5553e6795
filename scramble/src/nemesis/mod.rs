//! Randomised runs ("days") of the in-memory fleet: a nemesis combines every kind of fault with operators' commands
//! and ends the day with a closing fault. The seed determines the whole run.

mod faults;
mod full_state;
mod orders;

pub use full_state::{full_state_plan, run_full_state_day, FullStateDay, KINDS as FULL_STATE_KINDS};

use crate::check::{check, Breach};
use crate::fleet::{ProgramKind, World, SYNC_MS};
use crate::observations::Observations;
use hutbook::constants::OPERATOR_TIMEOUT_MS;
use hutbook::coordination::control::{ControlRequest, ControlResponse};
use std::collections::BTreeMap;

const CONFIG: &str = include_str!("../../../examples/glenmorven.json");
const ZONES: [&str; 3] = ["ben", "glen", "strath"];
const MODELS: u64 = 12;

/// Compound faults that a day may contain. Each is counted when it was actually injected.
pub const KINDS: [&str; 16] = [
    "answer lost, sent again",
    "answer lost, leader falls, sent again",
    "two operators at one number",
    "eight orders at once",
    "hundreds of changes, one restarts",
    "hundreds of changes, all restart",
    "hundreds of changes, one was away",
    "loss after a repair: the new member",
    "loss after a repair: another member",
    "cut of 20 s, both ways",
    "cut of 20 s, nothing reaches the side",
    "cut of 20 s, nothing leaves the side",
    "cut of 20 s, both leaders",
    "frozen leader wakes",
    "cut of 20 s, core leader",
    "cut of 20 s, store leader",
];

pub struct Day {
    pub observed: Observations,
    pub breaches: Vec<Breach>,
    /// Log of the injected faults and operators' commands, in order.
    pub action_log: Vec<String>,
    /// How often each of `KINDS` was injected.
    pub kinds: BTreeMap<&'static str, u64>,
    /// Whether until the closing fault some edge could always reach a majority of both groups and a server.
    pub majority_kept: bool,
    /// Longest time without any first response while clients arrived and faults were injected, in milliseconds.
    pub max_outage_ms: u64,
}

struct Nemesis {
    world: World,
    action_log: Vec<String>,
    powered_off: Vec<String>,
    paused: Vec<String>,
    faulty_disks: Vec<String>,
    wiped_kinds: Vec<String>,
    evacuated_zone: Option<String>,
    changes: u64,
    /// Whether operators number their configurations on this day.
    numbered: bool,
    kinds: BTreeMap<&'static str, u64>,
    /// Store machines that were retired.
    retired: Vec<String>,
}

/// Runs one day with `blows` faults and operators' commands.
pub fn run_random_day(seed: u64, steps: u64) -> Day {
    let world = World::new(seed);
    world.start_default_fleet();
    // one spare of each kind, which repair can use
    world.add_store(4);
    world.add_controller(4, false);
    world.configure_and_list_servers(CONFIG, MODELS as usize, 8, "tiles");
    let from = world.now();
    world.spawn_traffic(steps * 2_500, 60);
    world.spawn_over_allowance_clients("greedy", 8, 8);
    let numbered = world.0.borrow_mut().draw(2) == 0;
    let mut nemesis = Nemesis {
        world,
        action_log: vec![],
        powered_off: vec![],
        paused: vec![],
        faulty_disks: vec![],
        wiped_kinds: vec![],
        evacuated_zone: None,
        changes: 0,
        numbered,
        kinds: BTreeMap::new(),
        retired: vec![],
    };
    let until = from + steps * 2_500;
    for _ in 0..steps {
        nemesis.inject_random();
        nemesis.read_everything();
        let pause = 500 + nemesis.draw(3_000);
        nemesis.world.run(pause);
    }
    let until = until.min(nemesis.world.now());
    nemesis.closing_fault();
    nemesis.end_all_faults();
    let observed = nemesis.world.finish_and_observe(180_000);
    nemesis.world.close();
    let breaches = check(&observed);
    let majority_kept = observed.quorum_losses.iter().all(|x| x.0 > until || x.1 < from);
    let max_outage_ms = observed.gap(from, until);
    Day { observed, breaches, action_log: nemesis.action_log, kinds: nemesis.kinds, majority_kept, max_outage_ms }
}

impl Nemesis {
    fn draw(&self, n: u64) -> u64 {
        self.world.0.borrow_mut().draw(n)
    }

    fn pick(&self, v: &[String]) -> Option<String> {
        (!v.is_empty()).then(|| v[self.draw(v.len() as u64) as usize].clone())
    }

    fn count_kind(&mut self, kind: &'static str) {
        debug_assert!(KINDS.contains(&kind), "{kind}");
        *self.kinds.entry(kind).or_default() += 1;
    }

    fn log_action(&mut self, what: String) {
        self.action_log.push(format!("{} ms: {what}", self.world.now()));
    }

    fn active_nodes(&self) -> Vec<String> {
        let all = self.world.process_names().into_iter();
        all.filter(|n| !self.powered_off.contains(n) && !self.paused.contains(n)).collect()
    }

    fn inject_random(&mut self) {
        match self.draw(23) {
            0 | 1 => self.kill_node(),
            2 => self.start_next(),
            3 => self.freeze_node(),
            4 => self.wake_next(),
            5 => self.partition(),
            6 => {
                self.log_action("the network heals".into());
                self.world.heal_partitions();
            }
            7 => self.disk_fault(),
            8 => self.wipe_disk(),
            9 => self.change_configs(),
            10 => self.drain_or_relist(),
            11 => self.lose_answers(),
            12 => self.toggle_evacuation(),
            13 => self.race_configs(),
            14 => self.message_loss(),
            15 | 16 => self.lost_answer(),
            17 => self.same_number(),
            18 => self.concurrent_orders(),
            19 => self.many_changes(),
            20 => self.second_disk_loss(),
            21 => self.long_partition(),
            _ => self.frozen_leader(),
        }
    }

    fn kill_node(&mut self) {
        let Some(n) = self.pick(&self.active_nodes()) else { return };
        self.log_action(format!("{n} loses power"));
        self.world.kill(&n);
        self.powered_off.push(n);
        // at most a few at once: with more machines down there would be no service left to check
        if self.powered_off.len() > 3 {
            self.start_next();
        }
    }

    fn start_next(&mut self) {
        if self.powered_off.is_empty() {
            return;
        }
        let n = self.powered_off.remove(0);
        self.log_action(format!("{n} starts"));
        self.world.start(&n);
    }

    fn freeze_node(&mut self) {
        let Some(n) = self.pick(&self.active_nodes()) else { return };
        self.log_action(format!("{n} freezes"));
        self.world.freeze(&n);
        self.paused.push(n);
        if self.paused.len() > 2 {
            self.wake_next();
        }
    }

    fn wake_next(&mut self) {
        if self.paused.is_empty() {
            return;
        }
        let n = self.paused.remove(0);
        self.log_action(format!("{n} wakes"));
        self.world.unfreeze(&n);
    }

    fn partition(&mut self) {
        let Some(n) = self.pick(&self.active_nodes()) else { return };
        match self.draw(3) {
            0 => {
                self.log_action(format!("{n} is cut off"));
                self.world.isolate(&[&n]);
            }
            1 => {
                self.log_action(format!("nothing reaches {n}"));
                self.active_nodes().iter().filter(|m| **m != n).for_each(|m| self.world.block_link(m, &n, false));
            }
            _ => {
                let half: Vec<String> = self.active_nodes().into_iter().filter(|_| self.draw(2) == 0).collect();
                self.log_action(format!("cut in two: {}", half.join(" ")));
                self.world.isolate(&half.iter().map(String::as_str).collect::<Vec<_>>());
            }
        }
    }

    fn disk_fault(&mut self) {
        if let Some(n) = self.faulty_disks.pop() {
            self.log_action(format!("{n}'s disk recovers"));
            return self.world.set_sync_latency(&n, Some(SYNC_MS));
        }
        let nodes_with_disk: Vec<String> =
            self.active_nodes().into_iter().filter(|n| !n.starts_with("trail")).collect();
        let Some(n) = self.pick(&nodes_with_disk) else { return };
        let ms = [None, Some(50), Some(700)][self.draw(3) as usize];
        self.log_action(format!("{n}'s disk takes {ms:?} ms"));
        self.world.set_sync_latency(&n, ms);
        self.faulty_disks.push(n);
    }

    /// Wipes a disk, but never before an earlier loss has been repaired.
    fn wipe_disk(&mut self) {
        let kind = if self.draw(2) == 0 { "refuge" } else { "bothy" };
        let has_fault =
            self.powered_off.iter().chain(&self.paused).chain(&self.faulty_disks).any(|n| n.starts_with(kind));
        if has_fault || !self.world.has_full_membership(kind) || self.wiped_kinds.iter().any(|k| k == kind) {
            return;
        }
        let Some(n) = self.pick(&self.world.names(kind)) else { return };
        self.log_action(format!("{n} loses its disk"));
        self.wiped_kinds.push(kind.into());
        self.world.lose_disk(&n);
        self.powered_off.push(n);
    }

    fn change_configs(&mut self) {
        for _ in 0..1 + self.draw(3) {
            let base = self.current_base();
            let request = self.next_change(base);
            let answer = self.world.issue(request);
            self.log_action(format!("a config on {base}: {}", summary(&answer)));
        }
    }

    fn race_configs(&mut self) {
        let base = self.current_base();
        let members = self.world.names("refuge");
        let both: Vec<ControlRequest> = (0..2).map(|_| self.next_change(base)).collect();
        let pending: Vec<_> =
            both.into_iter().map(|r| self.world.send_command(&members, r, OPERATOR_TIMEOUT_MS * 2)).collect();
        let answers: Vec<String> =
            pending.iter().map(|p| summary(&self.world.wait_for_answer(p, OPERATOR_TIMEOUT_MS * 3))).collect();
        self.log_action(format!("two configs on {base}: {}", answers.join(", ")));
    }

    fn drain_or_relist(&mut self) {
        let n = format!("model{:02}", self.draw(MODELS) + 1);
        let now = self.world.now();
        let is_leaving =
            self.world.0.borrow().observed.leaving_servers.iter().any(|(_, until, s)| *s == n && *until == u64::MAX);
        if is_leaving {
            // the server is back after its release, with a cold cache
            self.world
                .0
                .borrow_mut()
                .observed
                .leaving_servers
                .iter_mut()
                .filter(|x| x.2 == n)
                .for_each(|x| x.1 = now.min(x.1));
            self.world.configure_backend(&n, |b| b.runs_finished = 0);
            let (zone, _, _) = self.world.0.borrow().observed.servers[&n].clone();
            let request = ControlRequest::List { name: n.clone(), group: "lang".into(), addr: n.clone(), zone };
            let answer = self.world.issue(request);
            self.log_action(format!("{n} is listed again: {}", summary(&answer)));
        } else if let Some(ControlResponse::Committed(_)) = self.world.issue(ControlRequest::Leave(n.clone())) {
            let now = self.world.now();
            self.world.0.borrow_mut().observed.leaving_servers.push((now, u64::MAX, n.clone()));
            self.log_action(format!("{n} is leaving"));
        }
    }

    fn lose_answers(&mut self) {
        let all: Vec<String> = self.world.names("model").into_iter().chain(self.world.names("tool")).collect();
        let Some(n) = self.pick(&all) else { return };
        let every = self.draw(2) * 7;
        self.log_action(format!("{n} loses every {every}th answer"));
        self.world.configure_backend(&n, |b| b.lose_answer_every = every);
    }

    fn toggle_evacuation(&mut self) {
        if let Some(zone) = self.evacuated_zone.take() {
            let now = self.world.now();
            self.world
                .0
                .borrow_mut()
                .observed
                .evacuations
                .iter_mut()
                .filter(|x| x.2 == zone)
                .for_each(|x| x.1 = now.min(x.1));
            let answer = self.world.issue(ControlRequest::Evacuate { zone: zone.clone(), evacuated: false });
            return self.log_action(format!("{zone} is used again: {}", summary(&answer)));
        }
        let zone = ZONES[self.draw(3) as usize];
        let Some(ControlResponse::Committed(_)) =
            self.world.issue(ControlRequest::Evacuate { zone: zone.into(), evacuated: true })
        else {
            return;
        };
        self.evacuated_zone = Some(zone.into());
        let done = self.world.wait_for_evacuation(zone, 6_000);
        self.log_action(format!("{zone} is evacuated: {done:?}"));
    }

    fn message_loss(&mut self) {
        let per_mille = [0, 20, 100][self.draw(3) as usize];
        self.log_action(format!("{per_mille} of 1000 messages are lost"));
        self.world.set_message_loss(per_mille);
    }

    /// Injects the closing fault of the day.
    fn closing_fault(&mut self) {
        self.log_action("closing fault".into());
        match self.draw(3) {
            0 => {
                let leaders = self.world.leaders("refuge");
                leaders.iter().for_each(|n| self.world.kill(n));
                self.powered_off.extend(leaders);
            }
            1 => {
                let all = self.active_nodes();
                all.iter().for_each(|n| self.world.kill(n));
                self.powered_off.extend(all);
            }
            _ => self.partition(),
        }
        let pause = self.draw(4_000);
        self.world.run(pause);
    }

    /// Ends all faults; whatever was committed must still be there.
    fn end_all_faults(&mut self) {
        self.world.heal_partitions();
        self.world.set_message_loss(0);
        for n in std::mem::take(&mut self.faulty_disks) {
            self.world.set_sync_latency(&n, Some(SYNC_MS));
        }
        for n in std::mem::take(&mut self.paused) {
            self.world.unfreeze(&n);
        }
        for n in std::mem::take(&mut self.powered_off) {
            self.world.start(&n);
        }
        for n in self.world.names("tool").into_iter().chain(self.world.names("model")) {
            self.world.configure_backend(&n, |b| b.lose_answer_every = 0);
        }
        let now = self.world.now();
        self.world.spawn_clients(20, 10_000, ProgramKind { name: "evening", route: "chat", turns: 1, tool: None });
        self.world.0.borrow_mut().observed.total_losses.push((now, None));
    }
}

fn summary(answer: &Option<ControlResponse>) -> String {
    match answer {
        Some(ControlResponse::Committed(revision)) => format!("agreed at {revision}"),
        Some(ControlResponse::Conflict(revision)) => format!("lost to {revision}"),
        Some(other) => format!("{other:?}").chars().take(60).collect(),
        None => "no answer".into(),
    }
}
