//! Human-readable output of search results and schedules.

use super::action::Action;
use super::scenario::Scenario;
use super::search::{successor, Counterexample, Report};
use super::state::{Event, State};
use hutbook::coordination::raft::RaftMessage;
use hutbook::state::entry::{Entry, EntryPayload};
use std::fmt::Write;

/// Formats one line that says what was explored and how long it took.
pub fn summary(scenario: &Scenario, report: &Report) -> String {
    let seconds = report.elapsed.as_secs_f64();
    let rate = report.states as f64 / seconds.max(1e-9);
    let verdict = match &report.counterexample {
        Some(counterexample) => format!("{:?} broken", counterexample.violation.invariant),
        None if report.exhausted => "exhausted, nothing broken".into(),
        None => "not exhausted, nothing broken".into(),
    };
    format!(
        "{:<34} {:>10} transitions {:>9} states, depth {:>3}, {seconds:>7.1} s, {rate:>8.0} states/s: {verdict}",
        scenario.name, report.transitions, report.states, report.depth
    )
}

/// Formats the schedule that leads to a violation, one line per action, and the nodes' state before the last action.
pub fn schedule(scenario: &Scenario, counterexample: &Counterexample) -> String {
    let rules = scenario.rules();
    let mut text =
        format!("{}: {:?}: {}\n", scenario.name, counterexample.violation.invariant, counterexample.violation.detail);
    let _ = writeln!(text, "start: {}", scenario.describe_start());
    let Ok(mut state) = scenario.initial_state() else { return text + "violated during the setup\n" };
    for (step, action) in counterexample.schedule.iter().enumerate() {
        let _ = writeln!(text, "{:>3}  {}", step + 1, describe_action(&state, *action));
        match successor(&state, &rules, *action) {
            Ok(next) => state = next,
            Err(_) => break,
        }
    }
    text.push_str("the nodes before the last step:\n");
    for node in state.nodes() {
        let _ = match &node.replica {
            Some(r) => writeln!(
                text,
                "  node {}: {:?} in term {}, snapshot to {}, log {}, committed {}; on disk: term {}, log to {}, {} batches unsynced",
                node.id,
                r.raft.role,
                r.raft.term,
                r.raft.snapshot_position().0,
                describe_entries(r.raft.entries()),
                r.raft.commit_index,
                node.disk.term,
                node.disk_end().0,
                node.unsynced.len()
            ),
            None => writeln!(text, "  node {}: down; on disk: term {}, log to {}", node.id, node.disk.term, node.disk_end().0),
        };
    }
    text
}

fn describe_action(state: &State, action: Action) -> String {
    match action {
        Action::Take(position) => describe_event(&state.queue()[usize::from(position)]),
        Action::Repeat(position) => {
            format!("{}, and a duplicate stays in flight", describe_event(&state.queue()[usize::from(position)]))
        }
        Action::Delay => format!("delayed: {}", describe_event(&state.queue()[0])),
        Action::Lose => format!("lost: {}", describe_event(&state.queue()[0])),
        Action::TimeOut { node, alone: true } => format!("the timer of node {node} fires, of it alone"),
        Action::TimeOut { node, alone: false } => format!("the timer of node {node} fires"),
        Action::Crash { node, kept } => format!("node {node} crashes, {kept} unsynced batches are on its disk"),
        other => format!("{other:?}"),
    }
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::Sync(node) => format!("node {node} syncs its oldest batch"),
        Event::Message { from, to, message } => format!("{from} -> {to}: {}", describe_message(message)),
    }
}

fn describe_message(message: &RaftMessage) -> String {
    match message {
        RaftMessage::AppendRequest { term, previous_index, previous_term, entries: list, commit, round } => format!(
            "AppendRequest term {term}, after {previous_index} of term {previous_term}: {}, committed {commit}, round {round}",
            describe_entries(list.iter())
        ),
        RaftMessage::SnapshotChunk { term, index, index_term, .. } => {
            format!("SnapshotChunk term {term}, up to index {index} of term {index_term}")
        }
        other => format!("{other:?}"),
    }
}

fn describe_entries<'a>(list: impl Iterator<Item = &'a Entry>) -> String {
    let each = list.map(|e| {
        let what = match &e.payload {
            EntryPayload::Noop => "blank".to_string(),
            EntryPayload::Command(bytes) => format!("order {bytes:?}"),
            EntryPayload::Members(m) => {
                let ids = |list: &[hutbook::state::entry::Member]| list.iter().map(|m| m.id).collect::<Vec<u64>>();
                format!("voters {:?} learners {:?}", ids(&m.voters), ids(&m.learners))
            }
        };
        format!("{}@{} {what}", e.index, e.term)
    });
    format!("[{}]", each.collect::<Vec<String>>().join(", "))
}
