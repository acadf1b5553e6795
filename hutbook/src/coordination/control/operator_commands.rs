//! Operator commands that a later one can undo: evacuations and the listing of servers.
//!
//! Each command has an identity, drawn by the node that received it, and is fenced: it carries the number
//! of the last command on its subject at its arrival, and takes effect only while that is still the last
//! one (compare-and-set). So a delayed copy never undoes a later command, and a copy of a committed
//! command gets its first outcome. A command that is older than its request's timeout is not even proposed.

use super::super::replica::{LeaderContext, Plan};
use super::messages::{ControlCommand, ControlRequest, ControlResponse};
use super::ControlStateMachine;
use crate::constants::*;
use crate::state::entry::to_bytes;
use std::collections::BTreeMap;

/// Identifies one operator command; drawn at random by the node that received it.
pub type CommandId = [u8; 16];

messages! {
    /// Fence of an operator command against those committed after its arrival.
    pub struct CommandFence {
        #[cbor(n(0), with = "minicbor::bytes")] pub id: CommandId,
        /// Number of the last command on its subject when this one arrived.
        #[n(1)] pub previous_number: u64,
        /// Term and clock of the leader that reported that number.
        #[n(2)] pub term: u64,
        #[n(3)] pub leader_time: u64,
        /// Remaining milliseconds of the operator's request at that time: no copy takes effect after its timeout.
        #[cbor(n(4), default)] pub remaining_ms: u64,
    }
    /// The last command on one subject.
    struct LastCommand {
        #[cbor(n(0), with = "minicbor::bytes")] id: CommandId,
        /// Log index of its entry.
        #[n(1)] number: u64,
        #[n(2)] outcome: ControlResponse,
    }
    /// The last command on each subject, which is a zone, or a server by its name.
    #[derive(Default)]
    pub(super) struct LastCommands {
        #[n(0)] by_subject: BTreeMap<String, LastCommand>,
        /// Newest number that is no longer recorded; stands for all subjects that are not listed.
        #[n(1)] newest_dropped: u64,
    }
}

impl LastCommands {
    fn last_number(&self, subject: &str) -> u64 {
        self.by_subject.get(subject).map_or(self.newest_dropped, |last| last.number)
    }

    fn outcome_of(&self, subject: &str, id: &CommandId) -> Option<ControlResponse> {
        self.by_subject.get(subject).filter(|last| last.id == *id).map(|last| last.outcome.clone())
    }

    fn record(&mut self, subject: String, id: CommandId, number: u64, outcome: ControlResponse) {
        self.by_subject.insert(subject, LastCommand { id, number, outcome });
        while self.by_subject.len() > MAX_SUBJECTS {
            let oldest = self
                .by_subject
                .iter()
                .min_by_key(|(_, last)| last.number)
                .map(|(subject, last)| (subject.clone(), last.number));
            let Some((subject, number)) = oldest else { return };
            self.by_subject.remove(&subject);
            self.newest_dropped = self.newest_dropped.max(number);
        }
    }
}

impl ControlRequest {
    /// Returns the subject of a command that a later one can undo.
    pub fn subject(&self) -> Option<String> {
        match self {
            ControlRequest::Evacuate { zone, .. } => Some(zone_subject(zone)),
            ControlRequest::List { name, .. } | ControlRequest::Leave(name) | ControlRequest::Remove { name, .. } => {
                Some(server_subject(name))
            }
            _ => None,
        }
    }
}

impl ControlCommand {
    fn subject(&self) -> Option<String> {
        match self {
            ControlCommand::Evacuate { zone, .. } => Some(zone_subject(zone)),
            ControlCommand::List { name, .. } | ControlCommand::Leave(name) | ControlCommand::Remove(name) => {
                Some(server_subject(name))
            }
            _ => None,
        }
    }
}

fn zone_subject(zone: &str) -> String {
    format!("zone/{zone}")
}

fn server_subject(name: &str) -> String {
    format!("server/{name}")
}

impl ControlStateMachine {
    /// Returns the number of the last command on a subject, for a command that arrives now.
    pub(super) fn last_command_number(&self, context: LeaderContext, subject: &str) -> ControlResponse {
        ControlResponse::LastCommandNumber {
            last: self.state.last_commands.last_number(subject),
            term: context.term,
            leader_time: context.now,
        }
    }

    pub(super) fn plan_fenced(
        &mut self,
        context: LeaderContext,
        stamp: CommandFence,
        request: ControlRequest,
    ) -> Plan<ControlResponse> {
        let Some(subject) = request.subject() else {
            let why = "this is no order that another one undoes".to_string();
            return Plan::Reply(ControlResponse::Refused { code: "no_order".into(), why });
        };
        if let Some(first) = self.state.last_commands.outcome_of(&subject, &stamp.id) {
            return Plan::Reply(first);
        }
        // the leader's clock is valid only in its own term; another leader must be asked for the number again
        if stamp.term != context.term || context.now >= stamp.leader_time + stamp.remaining_ms.min(COMMAND_LIFETIME_MS)
        {
            return Plan::Reply(ControlResponse::Expired);
        }
        match self.command(context, request) {
            Ok(command) => {
                let (id, after, command) = (stamp.id, stamp.previous_number, Box::new(command));
                Plan::Propose(to_bytes(&ControlCommand::Fenced { id, previous_number: after, command }))
            }
            Err(plan) => plan,
        }
    }

    pub(super) fn apply_fenced(
        &mut self,
        index: u64,
        term: u64,
        id: CommandId,
        after: u64,
        command: ControlCommand,
    ) -> ControlResponse {
        let Some(subject) = command.subject() else { return ControlResponse::OutcomeUnknown };
        if let Some(first) = self.state.last_commands.outcome_of(&subject, &id) {
            return first;
        }
        if self.state.last_commands.last_number(&subject) != after {
            return self.outcome_if_superseded(&command);
        }
        let outcome = self.apply_command(index, term, command);
        self.state.last_commands.record(subject, id, index, outcome.clone());
        outcome
    }

    /// Returns the outcome of a command if another one on its subject was committed after its arrival. If the state
    /// is already what this command asks for, it counts as done; otherwise it is unknown which of the two was meant
    /// to be the later one.
    fn outcome_if_superseded(&self, command: &ControlCommand) -> ControlResponse {
        let view = &self.state.view;
        let already_done = match command {
            ControlCommand::Evacuate { zone, evacuated } => view.evacuated_zones.contains_key(zone) == *evacuated,
            ControlCommand::Leave(name) => view.servers.get(name).is_some_and(|server| server.leaving),
            ControlCommand::Remove(name) => !view.servers.contains_key(name),
            ControlCommand::List { name, group, addr, zone } => {
                let same = |server: &&super::super::view::Server| {
                    (&server.group, &server.addr, &server.zone) == (group, addr, zone)
                };
                view.servers.get(name).filter(same).is_some_and(|server| !server.leaving)
            }
            _ => false,
        };
        if already_done {
            return ControlResponse::Committed(view.revision);
        }
        ControlResponse::Unclear("another order on it was agreed since this one came in".into())
    }

    /// Applies a command without a fence. An operator command without one comes from a member of an earlier version
    /// and is recorded, since fenced commands must take it into account.
    pub(super) fn apply_unfenced(&mut self, index: u64, term: u64, command: ControlCommand) -> ControlResponse {
        let subject = command.subject();
        let outcome = self.apply_command(index, term, command);
        if let Some(subject) = subject {
            self.state.last_commands.record(subject, CommandId::default(), index, outcome.clone());
        }
        outcome
    }
}
