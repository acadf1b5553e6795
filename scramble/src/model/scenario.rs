//! Initial states and bounds of the searches that are run.

use super::action::{Action, Budget, Delivery, NodeId};
use super::invariant::Violation;
use super::node::Fault;
use super::state::{Rules, State};

/// A step that prepares the initial state of a search; it is not charged to the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Setup {
    Do(Action),
    /// Processes all pending events, in order.
    DeliverAll,
    /// Processes pending events, in order, until this node is leader.
    DeliverUntilLeader(NodeId),
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub voters: u8,
    /// Nodes with empty disks, which may be added as members.
    pub spare_nodes: u8,
    pub setup: Vec<Setup>,
    pub delivery: Delivery,
    pub budget: Budget,
    pub requests_when_idle: bool,
    pub same_number: bool,
    pub faulty_nodes: Vec<NodeId>,
    /// Maximum number of actions in a schedule.
    pub depth: u32,
    /// Number of distinct states at which the search ends, approximately.
    pub max_states: u64,
    pub fault: Fault,
}

/// Maximum number of actions that prepare an initial state; a preparation that needs more does not terminate.
const MAX_SETUP_ACTIONS: usize = 10_000;
const UNLIMITED_DEPTH: u32 = u32::MAX;

impl Scenario {
    fn new(name: &str, voters: u8, spare_nodes: u8) -> Scenario {
        Scenario {
            name: name.into(),
            voters,
            spare_nodes,
            setup: vec![],
            delivery: Delivery::InOrder,
            budget: Budget::default(),
            requests_when_idle: false,
            same_number: false,
            faulty_nodes: vec![],
            depth: UNLIMITED_DEPTH,
            max_states: u64::MAX,
            fault: Fault::None,
        }
    }

    pub fn rules(&self) -> Rules {
        Rules {
            delivery: self.delivery,
            fault: self.fault,
            requests_when_idle: self.requests_when_idle,
            same_number: self.same_number,
            faulty_nodes: self.faulty_nodes.clone(),
        }
    }

    /// Returns the initial state of the search.
    pub fn initial_state(&self) -> Result<State, Violation> {
        let rules = self.rules();
        let mut state = State::bootstrapped(self.voters, self.spare_nodes, Budget::default(), self.fault);
        for step in &self.setup {
            match step {
                Setup::Do(action) => state = state.successor(&rules, *action)?,
                Setup::DeliverAll => state = self.deliver_until(state, |s| s.queue().is_empty())?,
                Setup::DeliverUntilLeader(node) => state = self.deliver_until(state, |s| s.node(*node).is_leader())?,
            }
        }
        state.set_budget(self.budget);
        Ok(state)
    }

    /// Processes events in order until `enough` holds.
    fn deliver_until(&self, mut state: State, done: impl Fn(&State) -> bool) -> Result<State, Violation> {
        let rules = self.rules();
        for _ in 0..MAX_SETUP_ACTIONS {
            if done(&state) {
                return Ok(state);
            }
            assert!(!state.queue().is_empty(), "{}: no events left before the initial state was reached", self.name);
            state = state.successor(&rules, Action::Take(0))?;
        }
        panic!("{}: the initial state was not reached within {MAX_SETUP_ACTIONS} actions", self.name)
    }

    /// Describes the steps that lead to the initial state.
    pub fn describe_start(&self) -> String {
        let steps = self.setup.iter().map(|s| match s {
            Setup::Do(action) => format!("{action:?}"),
            Setup::DeliverAll => "all events are processed".into(),
            Setup::DeliverUntilLeader(node) => format!("node {node} is elected"),
        });
        let steps: Vec<String> = steps.collect();
        format!("{} voters, {} spares; {}", self.voters, self.spare_nodes, steps.join("; "))
    }

    /// Returns this scenario with a fault injected and another budget.
    pub fn with(self, fault: Fault, budget: Budget) -> Scenario {
        Scenario { fault, budget, ..self }
    }
}

/// Node 1 is elected and its first entry is committed by all.
fn elected_setup() -> Vec<Setup> {
    let time_out = Action::TimeOut { node: 1, alone: false };
    vec![Setup::Do(time_out), Setup::DeliverAll, Setup::Do(Action::Heartbeat(1)), Setup::DeliverAll]
}

/// An order is committed while node 3 is cut off, the leader compacts its log, and node 3 is reachable again.
fn behind_snapshot_setup() -> Vec<Setup> {
    let mut setup = elected_setup();
    setup.push(Setup::Do(Action::Cut { from: 1, to: 3 }));
    setup.extend([Setup::Do(Action::Order(1)), Setup::DeliverAll]);
    setup.extend([Setup::Do(Action::Compact(1)), Setup::DeliverAll]);
    setup.push(Setup::Do(Action::Heal { from: 1, to: 3 }));
    setup
}

/// An order is committed by nodes 1 and 2; node 3 is still cut off.
pub fn committed_by_two() -> Scenario {
    let mut setup = elected_setup();
    setup.push(Setup::Do(Action::Cut { from: 1, to: 3 }));
    setup.extend([Setup::Do(Action::Order(1)), Setup::DeliverAll]);
    Scenario { setup, ..Scenario::new("an order agreed by two", 3, 0) }
}

/// Nodes 1 and 3 are candidates at once, in the first term.
pub fn two_candidates() -> Scenario {
    let setup = [1, 3].map(|node| Setup::Do(Action::TimeOut { node, alone: false }));
    Scenario { setup: setup.into(), ..Scenario::new("two candidates", 3, 0) }
}

/// Elections of a new group, with messages in any order.
pub fn elections_in_any_order() -> Scenario {
    Scenario {
        delivery: Delivery::Any,
        budget: Budget { time_outs: 2, ..Budget::NOTHING },
        faulty_nodes: vec![1, 2],
        depth: 13,
        ..Scenario::new("elections, any order", 3, 0)
    }
}

/// Elections with timeouts, a message loss and a crash.
pub fn elections() -> Scenario {
    Scenario {
        budget: Budget { time_outs: 2, crashes: 1, losses: 1, ..Budget::NOTHING },
        ..Scenario::new("elections", 3, 0)
    }
}

/// An order, sent twice, under a message loss, a crash and a change of leader.
pub fn orders() -> Scenario {
    Scenario {
        setup: elected_setup(),
        budget: Budget { time_outs: 1, losses: 1, crashes: 1, orders: 1, resends: 1, ..Budget::NOTHING },
        ..Scenario::new("orders", 3, 0)
    }
}

/// Two clients' orders for one number, and a leader that is cut off in one direction.
pub fn contested_orders() -> Scenario {
    Scenario {
        setup: elected_setup(),
        budget: Budget { time_outs: 1, cuts: 1, orders: 2, reads: 1, ..Budget::NOTHING },
        same_number: true,
        ..Scenario::new("contested orders", 3, 0)
    }
}

/// A follower that has to be sent a snapshot.
pub fn snapshots() -> Scenario {
    Scenario {
        setup: behind_snapshot_setup(),
        budget: Budget { heartbeats: 1, time_outs: 1, crashes: 1, delays: 1, repeats: 1, ..Budget::NOTHING },
        ..Scenario::new("snapshot to a follower", 3, 0)
    }
}

/// A follower that has been sent more entries than the snapshot it is about to receive covers: node 3 has missed one
/// entry, its rejection is in flight, and two more orders have arrived.
pub fn snapshot_behind_the_log() -> Scenario {
    let mut setup = elected_setup();
    setup.push(Setup::Do(Action::Cut { from: 1, to: 3 }));
    setup.extend([Setup::Do(Action::Order(1)), Setup::DeliverAll]);
    setup.push(Setup::Do(Action::Heal { from: 1, to: 3 }));
    setup.extend([Action::Heartbeat(1), Action::Take(0), Action::Take(0)].map(Setup::Do));
    setup.extend([Action::Order(1), Action::Order(1)].map(Setup::Do));
    Scenario {
        setup,
        budget: Budget { heartbeats: 1, compactions: 1, delays: 1, losses: 1, ..Budget::NOTHING },
        ..Scenario::new("snapshot behind the log", 3, 0)
    }
}

/// A node is added and promoted, and another one is removed.
pub fn membership() -> Scenario {
    Scenario {
        setup: elected_setup(),
        budget: Budget { changes: 3, time_outs: 1, losses: 1, ..Budget::NOTHING },
        requests_when_idle: true,
        ..Scenario::new("membership 3 to 4 to 3", 3, 1)
    }
}

/// Two leaders change the membership of four voters concurrently: node 1, whose messages reach nobody, promotes node 5;
/// then another node becomes leader. Detects the flaw of single-server membership changes as first published (Ongaro,
/// raft-dev, 10 July 2015).
pub fn two_changes() -> Scenario {
    let mut setup = elected_setup();
    setup.extend([Setup::Do(Action::AddLearner { node: 1, who: 5 }), Setup::DeliverAll]);
    setup.extend([Setup::Do(Action::Heartbeat(1)), Setup::DeliverAll]);
    setup.extend((2..=4).map(|to| Setup::Do(Action::Cut { from: 1, to })));
    setup.extend([Setup::Do(Action::Promote { node: 1, who: 5 }), Setup::DeliverAll]);
    Scenario {
        setup,
        budget: Budget { time_outs: 1, changes: 2, ..Budget::NOTHING },
        faulty_nodes: vec![2],
        ..Scenario::new("two leaders change the members", 4, 1)
    }
}

/// An entry of an older term is replicated to a majority, while node 3 has a newer entry at the same index (Raft
/// thesis, figure 3.7).
pub fn older_entry() -> Scenario {
    let time_out = |node| Setup::Do(Action::TimeOut { node, alone: false });
    let cut = |from, to| Setup::Do(Action::Cut { from, to });
    let heal = |from, to| Setup::Do(Action::Heal { from, to });
    let mut setup = elected_setup();
    setup.extend([cut(1, 2), cut(1, 3), Setup::Do(Action::Order(1)), Setup::DeliverAll]);
    setup.extend([time_out(3), Setup::DeliverUntilLeader(3), cut(3, 1), cut(3, 2), Setup::DeliverAll]);
    setup.extend([heal(1, 2), time_out(1), time_out(1), Setup::DeliverAll, time_out(1), Setup::DeliverUntilLeader(1)]);
    Scenario {
        setup,
        budget: Budget { time_outs: 3, ..Budget::NOTHING },
        faulty_nodes: vec![3],
        ..Scenario::new("an older entry on a majority", 3, 0)
    }
}

/// Leadership is transferred while an order is in flight.
pub fn transfer() -> Scenario {
    Scenario {
        setup: elected_setup(),
        budget: Budget { transfers: 1, orders: 1, time_outs: 1, delays: 1, ..Budget::NOTHING },
        ..Scenario::new("transfer of leadership", 3, 0)
    }
}

/// Five voters.
pub fn five_voters() -> Scenario {
    Scenario {
        setup: elected_setup(),
        budget: Budget { time_outs: 1, orders: 1, losses: 1, ..Budget::NOTHING },
        ..Scenario::new("five voters", 5, 0)
    }
}

/// Returns the scenarios that run with every code change.
pub fn all() -> Vec<Scenario> {
    vec![
        elections_in_any_order(),
        elections(),
        orders(),
        contested_orders(),
        snapshots(),
        snapshot_behind_the_log(),
        membership(),
        two_changes(),
        older_entry(),
        transfer(),
        five_voters(),
    ]
}
