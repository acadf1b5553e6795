//! The invariants of every state. They have the names of the Raft thesis (Ongaro 2014, figure 3.2 and chapter 4) where
//! it defines them.

use super::action::NodeId;
use super::machine::{MachineFault, Order, Orders, Request, Response};
use super::node::Node;
use super::state::State;
use hutbook::coordination::raft::{Raft, RaftMessage, RejectReason, Role};
use hutbook::coordination::replica::StateMachine;
use hutbook::state::entry::{Entry, EntryPayload, Members};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// At most one leader is elected per term.
    ElectionSafety,
    /// Two logs that have an entry with the same index and term are identical up to that entry.
    LogMatching,
    /// A committed entry is in the log of every leader of a later term.
    LeaderCompleteness,
    /// No two replicas apply different entries at one index, and each has the state that results from its entries.
    StateMachineSafety,
    /// A committed entry is on the disks of a majority from the time of its commit on.
    CommittedOnMajority,
    /// What a vote or a successful append response promises is on its sender's disk when it is sent.
    PromiseOnDisk,
    /// An acknowledged order is committed, and accepted exactly once.
    OrderKeptOnce,
    /// An order does not run if every call of it was answered that it did not run.
    RefusedNeverRuns,
    /// A number accepts one order.
    OneOrderPerNumber,
    /// A read returns every order that was known to a client before the read began.
    FreshReads,
    /// No two disjoint groups of voters can each elect a leader.
    JointMajorities,
    /// At most one membership change is uncommitted at a time, and each changes at most one voter.
    OneChangeAtATime,
    /// A call is answered at most once.
    OneAnswer,
    /// No assertion of the replica fails.
    NoPanic,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub invariant: Invariant,
    pub detail: String,
}

fn violated<T>(invariant: Invariant, detail: String) -> Result<T, Violation> {
    Err(Violation { invariant, detail })
}

/// A committed entry, and the term of the leader that committed it.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Committed {
    pub entry: Entry,
    pub by_term: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outcome {
    Open,
    Answered,
    /// The client was told, or has to assume, that the command may have run.
    Unknown,
    /// The client was told that the command did not run.
    NotRun,
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct Call {
    node: NodeId,
    order: Option<Order>,
    /// Orders that a read must return: those that were known to a client when it began.
    must_observe: Vec<Order>,
    outcome: Outcome,
}

/// The part of the past that later states are checked against.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct History {
    /// Number of clients so far; each has sent one order and may send it again.
    pub callers: u8,
    leaders: BTreeMap<u64, u64>,
    committed: Vec<Committed>,
    calls: Vec<Call>,
    /// Orders that some client knows to be accepted, because they were acknowledged or read.
    known_orders: Vec<Order>,
}

impl History {
    /// Records the start of a call and returns its ticket.
    pub fn begin_call(&mut self, node: NodeId, request: &Request) -> u64 {
        let order = match request {
            Request::Order(order) => Some(*order),
            _ => None,
        };
        let must_observe = if *request == Request::Read { self.known_orders.clone() } else { vec![] };
        self.calls.push(Call { node, order, must_observe, outcome: Outcome::Open });
        self.calls.len() as u64
    }

    /// Marks the open calls of a crashed node as having an unknown outcome.
    pub fn record_crash(&mut self, node: NodeId) {
        let open = self.calls.iter_mut().filter(|c| c.node == node && c.outcome == Outcome::Open);
        open.for_each(|c| c.outcome = Outcome::Unknown);
    }

    /// Checks a response against the history.
    pub fn record_answer(&mut self, ticket: u64, response: Response) -> Result<(), Violation> {
        let call = &mut self.calls[ticket as usize - 1];
        if call.outcome != Outcome::Open {
            return violated(Invariant::OneAnswer, format!("call {ticket} is answered twice, now with {response:?}"));
        }
        call.outcome = match response {
            Response::Denied(RejectReason::OutcomeUnknown) => Outcome::Unknown,
            Response::Denied(_) => Outcome::NotRun,
            _ => Outcome::Answered,
        };
        let call = call.clone();
        match response {
            Response::Accepted(order) => self.check_acknowledged(order),
            Response::Overtaken(order) => self.check_overtaken(order),
            Response::Orders(orders) => self.check_read(&call, orders),
            Response::Denied(_) => self.check_refused(call.order),
            Response::MembersAgreed => Ok(()),
        }
    }

    fn check_acknowledged(&mut self, order: Order) -> Result<(), Violation> {
        let accepted = self.committed_state().accepted;
        if let Some(other) = accepted.iter().find(|o| o.number == order.number && **o != order) {
            let detail = format!("{order:?} is acknowledged, but {other:?} was accepted for its number");
            return violated(Invariant::OneOrderPerNumber, detail);
        }
        if !accepted.contains(&order) {
            return violated(Invariant::OrderKeptOnce, format!("{order:?} is acknowledged but not committed"));
        }
        self.add_known(order);
        Ok(())
    }

    fn check_overtaken(&self, order: Order) -> Result<(), Violation> {
        let accepted = self.committed_state().accepted;
        if accepted.contains(&order) || !accepted.iter().any(|o| o.number == order.number) {
            return violated(
                Invariant::OneOrderPerNumber,
                format!("{order:?} is overtaken, but no other order was accepted for its number"),
            );
        }
        Ok(())
    }

    fn check_read(&mut self, call: &Call, orders: Vec<Order>) -> Result<(), Violation> {
        if let Some(missing) = call.must_observe.iter().find(|o| !orders.contains(o)) {
            return violated(
                Invariant::FreshReads,
                format!("a read misses {missing:?}, which was known before it began"),
            );
        }
        orders.into_iter().for_each(|o| self.add_known(o));
        Ok(())
    }

    /// Checks that an order is not committed if all its calls were answered that it did not run.
    fn check_refused(&self, order: Option<Order>) -> Result<(), Violation> {
        let Some(order) = order else { return Ok(()) };
        let mut calls = self.calls.iter().filter(|c| c.order == Some(order));
        let is_committed = self.committed.iter().any(|c| command(&c.entry) == Some(order));
        if is_committed && calls.all(|c| c.outcome == Outcome::NotRun) {
            return violated(Invariant::RefusedNeverRuns, format!("{order:?} was refused but is committed"));
        }
        Ok(())
    }

    fn add_known(&mut self, order: Order) {
        if !self.known_orders.contains(&order) {
            self.known_orders.push(order);
        }
    }

    /// Returns the state that results from all committed entries.
    fn committed_state(&self) -> Orders {
        self.state_at(self.committed.len() as u64)
    }

    /// Returns the state that results from the committed entries up to `index`.
    fn state_at(&self, index: u64) -> Orders {
        let mut orders = Orders::new(MachineFault::None);
        for committed in self.committed.iter().take(index as usize) {
            if let EntryPayload::Command(bytes) = &committed.entry.payload {
                orders.apply(committed.entry.index, committed.entry.term, bytes);
            }
        }
        orders
    }

    pub fn committed(&self) -> &[Committed] {
        &self.committed
    }
}

fn command(entry: &Entry) -> Option<Order> {
    match &entry.payload {
        EntryPayload::Command(bytes) => Order::from_bytes(bytes),
        _ => None,
    }
}

/// Records the entries that a node has newly committed. Only a leader can be the first to commit an entry.
pub fn record_commits(state: &mut State, id: NodeId) -> Result<(), Violation> {
    let Some(replica) = &state.node(id).replica else { return Ok(()) };
    let raft = &replica.raft;
    let recorded = state.history().committed.len() as u64;
    if raft.commit_index <= recorded {
        return Ok(());
    }
    let by_term = raft.term;
    let new_entries: Vec<Entry> =
        raft.entries().filter(|e| e.index > recorded && e.index <= raft.commit_index).cloned().collect();
    if new_entries.len() as u64 != raft.commit_index - recorded {
        return violated(
            Invariant::StateMachineSafety,
            format!("node {id} commits index {} without the entries", raft.commit_index),
        );
    }
    let voters: Vec<u64> = raft.members().voters.iter().map(|m| m.id).collect();
    for entry in &new_entries {
        let holders: Vec<u64> = state.nodes().filter(|n| n.on_disk(entry.index, entry.term)).map(|n| n.id).collect();
        let votes = voters.iter().filter(|v| holders.contains(v)).count();
        if votes < majority(voters.len()) {
            let detail = format!(
                "node {id} commits index {} of term {}, which is on the disks of {holders:?}; the voters are {voters:?}",
                entry.index, entry.term
            );
            return violated(Invariant::CommittedOnMajority, detail);
        }
    }
    let history = state.history_mut();
    let orders: Vec<Option<Order>> = new_entries.iter().map(command).collect();
    history.committed.extend(new_entries.into_iter().map(|entry| Committed { entry, by_term }));
    orders.into_iter().try_for_each(|order| history.check_refused(order))
}

/// Checks that the newest committed entry, and with it all earlier ones, is on the disks of a majority of the voters of
/// the newest committed membership.
pub fn check_committed_durable(state: &State) -> Result<(), Violation> {
    let committed = state.history().committed();
    let Some(entry) = committed.last().map(|c| &c.entry) else { return Ok(()) };
    let memberships = committed.iter().rev().filter_map(|c| match &c.entry.payload {
        EntryPayload::Members(members) => Some(members),
        _ => None,
    });
    let Some(members) = memberships.into_iter().next() else { return Ok(()) };
    let has_entry = |id: u64| state.node(id as NodeId).on_disk(entry.index, entry.term);
    let holders = members.voters.iter().filter(|m| has_entry(m.id)).count();
    if holders < majority(members.voters.len()) {
        let detail = format!(
            "index {} of term {} is committed but on the disks of only {holders} of {} voters",
            entry.index,
            entry.term,
            members.voters.len()
        );
        return violated(Invariant::CommittedOnMajority, detail);
    }
    Ok(())
}

/// Checks that a vote, a successful append response or a candidacy is on its sender's disk before it is sent.
pub fn check_promise_durable(node: &Node, to: u64, message: &RaftMessage) -> Result<(), Violation> {
    let disk = (node.disk.term, node.disk.voted);
    let is_durable = |term: u64, voted: u64| disk.0 > term || disk == (term, Some(voted));
    match message {
        RaftMessage::VoteResponse { term, pre_vote: false, granted: true } if !is_durable(*term, to) => violated(
            Invariant::PromiseOnDisk,
            format!("node {} votes for {to} in term {term}, on disk: {disk:?}", node.id),
        ),
        RaftMessage::VoteRequest { term, pre_vote: false, .. } if !is_durable(*term, node.id) => violated(
            Invariant::PromiseOnDisk,
            format!("node {} is a candidate in term {term}, on disk: {disk:?}", node.id),
        ),
        RaftMessage::AppendResponse { term, success: true, index, .. }
            if disk.0 < *term || node.disk_end().0 < *index =>
        {
            let detail = format!(
                "node {} acknowledges index {index} of term {term} to {to}; on disk: term {}, log up to index {}",
                node.id,
                disk.0,
                node.disk_end().0
            );
            violated(Invariant::PromiseOnDisk, detail)
        }
        _ => Ok(()),
    }
}

/// Checks the state after node `id` has changed.
pub fn check(state: &mut State, id: NodeId) -> Result<(), Violation> {
    record_commits(state, id)?;
    let Some(replica) = &state.node(id).replica else { return Ok(()) };
    let (raft, committed) = (&replica.raft, state.history().committed());
    check_election(state, raft)?;
    check_committed(raft, committed)?;
    check_leader_completeness(raft, committed)?;
    state.nodes().filter(|n| n.id != raft.id).try_for_each(|n| check_logs_match(raft, n))?;
    check_orders(state.history(), raft, &replica.machine)?;
    check_changes(raft, committed.len() as u64)?;
    check_majorities(state)?;
    if raft.role == Role::Leader {
        let (term, leader) = (raft.term, raft.id);
        if !state.history().leaders.contains_key(&term) {
            state.history_mut().leaders.insert(term, leader);
        }
    }
    Ok(())
}

fn check_election(state: &State, raft: &Raft) -> Result<(), Violation> {
    match state.history().leaders.get(&raft.term) {
        Some(other) if raft.role == Role::Leader && *other != raft.id => violated(
            Invariant::ElectionSafety,
            format!("nodes {other} and {} are both leader in term {}", raft.id, raft.term),
        ),
        _ => Ok(()),
    }
}

fn check_committed(raft: &Raft, committed: &[Committed]) -> Result<(), Violation> {
    let (index, term) = raft.snapshot_position();
    if index > 0 && committed.get(index as usize - 1).is_none_or(|c| c.entry.term != term) {
        let detail = format!("node {} has a snapshot at index {index} of term {term}, which is not committed", raft.id);
        return violated(Invariant::StateMachineSafety, detail);
    }
    let committed_entries = raft.entries().filter(|e| e.index <= raft.commit_index);
    for entry in committed_entries {
        let other = &committed[entry.index as usize - 1].entry;
        if other != entry {
            let detail = format!("node {} applies {entry:?}, another has applied {other:?}", raft.id);
            return violated(Invariant::StateMachineSafety, detail);
        }
    }
    Ok(())
}

fn check_leader_completeness(raft: &Raft, committed: &[Committed]) -> Result<(), Violation> {
    if raft.role != Role::Leader {
        return Ok(());
    }
    let (base, _) = raft.snapshot_position();
    for committed_entry in committed.iter().filter(|c| c.by_term < raft.term && c.entry.index > base) {
        if !raft.entries().any(|e| *e == committed_entry.entry) {
            let detail = format!(
                "node {} is leader in term {} without index {} of term {}, which was committed in term {}",
                raft.id, raft.term, committed_entry.entry.index, committed_entry.entry.term, committed_entry.by_term
            );
            return violated(Invariant::LeaderCompleteness, detail);
        }
    }
    Ok(())
}

fn check_logs_match(raft: &Raft, other: &Node) -> Result<(), Violation> {
    let Some(other) = &other.replica else { return Ok(()) };
    let theirs: BTreeMap<u64, &Entry> = other.raft.entries().map(|e| (e.index, e)).collect();
    let pairs: Vec<(&Entry, &Entry)> =
        raft.entries().filter_map(|mine| theirs.get(&mine.index).map(|t| (mine, *t))).collect();
    let Some(last_match) = pairs.iter().rposition(|(a, b)| a.term == b.term) else { return Ok(()) };
    match pairs[..=last_match].iter().find(|(a, b)| a != b) {
        Some((a, b)) => {
            let detail = format!("node {} has {a:?}, node {} has {b:?}", raft.id, other.raft.id);
            violated(Invariant::LogMatching, detail)
        }
        None => Ok(()),
    }
}

fn check_orders(history: &History, raft: &Raft, machine: &Orders) -> Result<(), Violation> {
    let accepted = &machine.accepted;
    for (i, order) in accepted.iter().enumerate() {
        if accepted[..i].contains(order) {
            return violated(Invariant::OrderKeptOnce, format!("{order:?} is accepted twice at node {}", raft.id));
        }
        if let Some(other) = accepted[..i].iter().find(|o| o.number == order.number) {
            let detail = format!("{order:?} and {other:?} are both accepted at node {}", raft.id);
            return violated(Invariant::OneOrderPerNumber, detail);
        }
    }
    let expected = history.state_at(raft.applied_index()).accepted;
    if let Some(missing) = history.known_orders.iter().find(|o| expected.contains(o) && !accepted.contains(o)) {
        return violated(
            Invariant::OrderKeptOnce,
            format!("{missing:?} was acknowledged but is missing at node {}", raft.id),
        );
    }
    if *accepted != expected {
        let detail =
            format!("node {} at index {}: {accepted:?}, committed: {expected:?}", raft.id, raft.applied_index());
        return violated(Invariant::StateMachineSafety, detail);
    }
    Ok(())
}

/// Checks the memberships in a log, of which the first is that of the snapshot.
fn check_changes(raft: &Raft, committed: u64) -> Result<(), Violation> {
    let changes: Vec<(u64, &Members)> = raft
        .entries()
        .filter_map(|e| match &e.payload {
            EntryPayload::Members(m) => Some((e.index, m)),
            _ => None,
        })
        .collect();
    let open = changes.iter().filter(|(index, _)| *index > committed).count();
    // the bootstrap members are at index 1, before anything is committed
    if open > 1 {
        return violated(Invariant::OneChangeAtATime, format!("node {} has {open} uncommitted changes", raft.id));
    }
    for pair in changes.windows(2) {
        let voters = |m: &Members| m.voters.iter().map(|m| m.id).collect::<BTreeSet<u64>>();
        let (before, after) = (voters(pair[0].1), voters(pair[1].1));
        if before.symmetric_difference(&after).count() > 1 {
            let detail = format!("node {} changes its voters from {before:?} to {after:?} in one step", raft.id);
            return violated(Invariant::OneChangeAtATime, detail);
        }
    }
    Ok(())
}

/// A node that could be elected, and its supporters: the voters of its latest membership whose logs on disk are not
/// newer than its own.
struct Electable {
    id: u64,
    voters: usize,
    supporters: BTreeSet<u64>,
}

fn electable(state: &State, node: &Node) -> Option<Electable> {
    let raft = &node.replica.as_ref()?.raft;
    let voters = &raft.members().voters;
    if !voters.iter().any(|m| m.id == node.id) {
        return None;
    }
    let end = (raft.last_term(), raft.last_index());
    let grants_vote = |id: u64| {
        let (index, term) = state.node(id as NodeId).disk_end();
        (term, index) <= end
    };
    let supporters: BTreeSet<u64> = voters.iter().map(|m| m.id).filter(|v| *v == node.id || grants_vote(*v)).collect();
    let has_majority = supporters.len() >= majority(voters.len());
    has_majority.then_some(Electable { id: node.id, voters: voters.len(), supporters })
}

fn check_majorities(state: &State) -> Result<(), Violation> {
    let all: Vec<Electable> = state.nodes().filter_map(|n| electable(state, n)).collect();
    for (i, a) in all.iter().enumerate() {
        for b in &all[..i] {
            if disjoint_majorities((a.voters, &a.supporters), (b.voters, &b.supporters)) {
                let detail = format!(
                    "node {} can be elected by {:?} of {} voters, node {} by {:?} of {}",
                    a.id, a.supporters, a.voters, b.id, b.supporters, b.voters
                );
                return violated(Invariant::JointMajorities, detail);
            }
        }
    }
    Ok(())
}

/// Whether two groups, each given as its number of voters and the voters that would grant a vote, can both find a
/// majority that shares no member with the other's.
pub fn disjoint_majorities(a: (usize, &BTreeSet<u64>), b: (usize, &BTreeSet<u64>)) -> bool {
    let shared = a.1.intersection(b.1).count();
    let needed_shared =
        |(voters, supporters): (usize, &BTreeSet<u64>)| majority(voters).saturating_sub(supporters.len() - shared);
    needed_shared(a) + needed_shared(b) <= shared
}

fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
