//! Plan of the events that are applied to a fleet, generated from the seed before the fleet starts.

use super::answer_faults::{AnswerFault, ANSWER_FAULTS};
use super::shape::{SeededRandom, Shape, PLAN_STREAM};

/// Processes that an event applies to. Leaders are determined when the event is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Edge(usize),
    CoreLeader,
    Core(usize),
    StoreLeader,
    Store(usize),
    AllCores,
    AllStores,
    /// All daemons.
    All,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    Hangs,
    Resets,
    SaysIll,
    FailsAndSaysWell,
    /// All its answers have this fault.
    Answers(AnswerFault),
    /// Its answers have all kinds of faults, one after the other, and some have none.
    MixedAnswers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// SIGTERM, then a restart `restart_ms` after the process ends.
    Terminate {
        restart_ms: u64,
    },
    Hangup,
    Kill {
        restart_ms: u64,
    },
    Freeze {
        for_ms: u64,
    },
    /// SIGKILL; the next start finds an empty data folder.
    LoseDisk {
        restart_ms: u64,
    },
    /// Stops and restarts the processes of the fleet one after the other.
    RollingRestart,
    /// Drops everything that others send to the process and, if `both`, everything that it sends to others.
    Cut {
        for_ms: u64,
        both: bool,
    },
    /// A change of the configuration. If `acks_lost`, the first answer is not read and the change is sent again.
    Change {
        acks_lost: bool,
    },
    /// Two concurrent changes with the same base.
    Race,
    /// A change that must be rejected.
    Invalid,
    /// Removes a server from the list and lists it again.
    Relist {
        server: usize,
        for_ms: u64,
    },
    Server {
        server: usize,
        fault: ServerFault,
        for_ms: u64,
    },
}

impl Action {
    /// Returns the name of this kind as used by `--faults` and in the summary.
    pub fn kind(&self) -> &'static str {
        match self {
            Action::Terminate { .. } => "terminate",
            Action::Hangup => "hangup",
            Action::Kill { .. } => "kill",
            Action::Freeze { .. } => "freeze",
            Action::LoseDisk { .. } => "lose-disk",
            Action::RollingRestart => "rolling-restart",
            Action::Cut { .. } => "cut",
            Action::Change { .. } => "change",
            Action::Race => "race",
            Action::Invalid => "invalid",
            Action::Relist { .. } => "relist",
            Action::Server { fault: ServerFault::Answers(_) | ServerFault::MixedAnswers, .. } => "answer",
            Action::Server { .. } => "server",
        }
    }
}

/// All kinds of events.
pub const KINDS: [&str; 13] = [
    "terminate",
    "hangup",
    "kill",
    "freeze",
    "lose-disk",
    "rolling-restart",
    "cut",
    "change",
    "race",
    "invalid",
    "relist",
    "server",
    "answer",
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Milliseconds since the start of traffic.
    pub at_ms: u64,
    pub target: Option<Target>,
    pub action: Action,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub events: Vec<Event>,
    /// Time in milliseconds after which there are no events: the fleet recovers and the quiet period follows.
    pub events_end_ms: u64,
    pub end_ms: u64,
}

/// Average interval between two changes of the configuration, in milliseconds.
const MEAN_CHANGE_INTERVAL_MS: u64 = 180;
/// Average interval between two events that are not part of a series, in milliseconds; a quarter of the events follow
/// within 10 ms of the one before.
const MEAN_EVENT_INTERVAL_MS: u64 = 450;
/// Percentage of freezes, cuts and server faults that last longer than every lease.
const LONG_FAULT_PERCENT: u64 = 35;
/// Average interval between two servers whose answers become faulty, in milliseconds.
const MEAN_ANSWER_FAULT_INTERVAL_MS: u64 = 700;
/// Longest time for which a server's answers are faulty, in milliseconds.
const MAX_ANSWER_FAULT_MS: u64 = 1_500;
/// Percentage of servers with faulty answers that mix all kinds.
const MIXED_ANSWERS_PERCENT: u64 = 30;
/// Time at the beginning of a run without events, in milliseconds.
const QUIET_START_MS: u64 = 1_000;
/// Minimum time between two disk losses, in milliseconds, so that the fleet can repair itself in between.
const MIN_DISK_LOSS_INTERVAL_MS: u64 = 30_000;

impl Plan {
    /// Generates the plan of a seed: events for `seconds`, then `quiet_ms` without events.
    pub fn generate(seed: u64, shape: &Shape, seconds: u64, quiet_ms: u64, kinds: &[String]) -> Plan {
        let mut random = SeededRandom::new(seed, PLAN_STREAM);
        let events_end_ms = seconds * 1_000;
        let mut events = change_events(&mut random, events_end_ms);
        events.extend(fault_events(&mut random, shape, events_end_ms));
        events.extend(answer_events(&mut random, shape, events_end_ms));
        events.retain(|event| kinds.iter().any(|kind| kind == event.action.kind()));
        events.sort_by_key(|event| event.at_ms);
        Plan { events, events_end_ms, end_ms: events_end_ms + quiet_ms }
    }

    pub fn to_json(&self, seed: u64, shape: &Shape) -> jzon::JsonValue {
        let events: Vec<jzon::JsonValue> = self
            .events
            .iter()
            .map(|event| {
                let target = event.target.map(|target| format!("{target:?}")).unwrap_or_default();
                jzon::object! { at_ms: event.at_ms, target: target, action: format!("{:?}", event.action) }
            })
            .collect();
        jzon::object! {
            seed: seed, shape: shape.to_json(), events_end_ms: self.events_end_ms, end_ms: self.end_ms, events: events,
        }
    }
}

fn change_events(random: &mut SeededRandom, until_ms: u64) -> Vec<Event> {
    let mut events = vec![];
    let mut at_ms = QUIET_START_MS;
    while at_ms < until_ms {
        let action = match random.between(1, 100) {
            1..=70 => Action::Change { acks_lost: false },
            71..=82 => Action::Change { acks_lost: true },
            83..=92 => Action::Race,
            _ => Action::Invalid,
        };
        events.push(Event { at_ms, target: None, action });
        at_ms += random.between(1, 2 * MEAN_CHANGE_INTERVAL_MS);
    }
    events
}

fn fault_events(random: &mut SeededRandom, shape: &Shape, until_ms: u64) -> Vec<Event> {
    let mut events = vec![];
    let mut at_ms = QUIET_START_MS;
    let mut next_disk_loss_ms = QUIET_START_MS;
    while at_ms < until_ms {
        let mut event = fault_event(random, shape, at_ms);
        let loses_disk = matches!(event.action, Action::LoseDisk { .. });
        if loses_disk && (at_ms < next_disk_loss_ms || shape.stores < 3) {
            event.action = Action::Kill { restart_ms: random.between(0, 1_500) };
        } else if loses_disk {
            next_disk_loss_ms = at_ms + MIN_DISK_LOSS_INTERVAL_MS;
        }
        events.push(event);
        // one in four events is followed by the next one within 10 ms
        at_ms += if random.chance(25) { random.between(0, 10) } else { random.between(50, 2 * MEAN_EVENT_INTERVAL_MS) };
    }
    events
}

fn fault_event(random: &mut SeededRandom, shape: &Shape, at_ms: u64) -> Event {
    let restart_ms = if random.chance(50) { 0 } else { random.between(200, 5_000) };
    // Some faults last long enough that a change is acknowledged well before the affected edge has a lease again.
    let for_ms =
        if random.chance(LONG_FAULT_PERCENT) { random.between(3_000, 6_000) } else { random.between(100, 2_500) };
    let server = random.between(0, 2 * shape.servers as u64 - 1) as usize;
    let faults = [ServerFault::Hangs, ServerFault::Resets, ServerFault::SaysIll, ServerFault::FailsAndSaysWell];
    let action = match random.between(1, 100) {
        1..=20 => Action::Terminate { restart_ms },
        21..=32 => Action::Hangup,
        33..=50 => Action::Kill { restart_ms },
        51..=62 => Action::Freeze { for_ms },
        63..=66 => Action::LoseDisk { restart_ms },
        67..=69 => Action::RollingRestart,
        70..=81 => Action::Cut { for_ms, both: random.chance(50) },
        82..=89 => Action::Relist { server, for_ms },
        _ => Action::Server { server, fault: *random.pick(&faults), for_ms },
    };
    let target = match action {
        Action::LoseDisk { .. } => Some(Target::Store(random.between(0, shape.stores as u64 - 1) as usize)),
        Action::RollingRestart | Action::Relist { .. } | Action::Server { .. } => None,
        Action::Cut { .. } | Action::Freeze { .. } => Some(single_target(random, shape)),
        _ => Some(any_target(random, shape)),
    };
    Event { at_ms, target, action }
}

/// Generates spans in which a server's answers are faulty; several servers may have some at once.
fn answer_events(random: &mut SeededRandom, shape: &Shape, until_ms: u64) -> Vec<Event> {
    let mut events = vec![];
    let mut at_ms = QUIET_START_MS;
    while at_ms < until_ms {
        let server = random.between(0, 2 * shape.servers as u64 - 1) as usize;
        let (fault, for_ms) = (answer_fault(random), random.between(100, MAX_ANSWER_FAULT_MS));
        events.push(Event { at_ms, target: None, action: Action::Server { server, fault, for_ms } });
        at_ms += random.between(1, 2 * MEAN_ANSWER_FAULT_INTERVAL_MS);
    }
    events
}

fn answer_fault(random: &mut SeededRandom) -> ServerFault {
    if random.chance(MIXED_ANSWERS_PERCENT) {
        return ServerFault::MixedAnswers;
    }
    ServerFault::Answers(*random.pick(&ANSWER_FAULTS))
}

fn single_target(random: &mut SeededRandom, shape: &Shape) -> Target {
    let controller = random.between(0, shape.controllers as u64 - 1) as usize;
    let store = random.between(0, shape.stores as u64 - 1) as usize;
    let edge = random.between(0, shape.edges as u64 - 1) as usize;
    match random.between(1, 100) {
        1..=35 => Target::Edge(edge),
        36..=55 => Target::CoreLeader,
        56..=65 => Target::Core(controller),
        66..=85 => Target::StoreLeader,
        _ => Target::Store(store),
    }
}

fn any_target(random: &mut SeededRandom, shape: &Shape) -> Target {
    match random.between(1, 100) {
        1..=4 => Target::All,
        5..=8 => Target::AllCores,
        9..=12 => Target::AllStores,
        _ => single_target(random, shape),
    }
}
