//! Operators of the in-memory fleet: sends their commands and reads, and records each with its outcome.

use super::simulated_network::World;
use super::*;
use crate::observations::{ControlInvocation, ControlOutcome, ControlRecord};
use hutbook::coordination::view::hash;
use hutbook::protocol::config;
use hutbook::transport::leader_client::LeaderClient;
use std::cell::RefCell;
use std::rc::Rc;

/// A command in progress: `None` until its operator has a response or has given up; then the response, if any.
pub type PendingCommand = Rc<RefCell<Option<Option<ControlResponse>>>>;

/// Builds a configuration change. With a `number` it is named as by operators that number their configurations:
/// by base, number and digest, so that a repeated command is the same change.
pub fn put_config_request(base: u64, number: u64, change: &str, text: &str) -> ControlRequest {
    let digest = hash(text);
    let change = match number {
        0 => change.to_string(),
        _ => format!("{base}-{number}-{digest:016x}"),
    };
    ControlRequest::PutConfig {
        base_version: base,
        change_id: change,
        text: text.into(),
        config: Box::new(config::read(text).expect("a valid config")),
        number,
        content_digest: digest,
    }
}

impl World {
    /// Sends a command through these members, in this order, for at most `ms`.
    pub fn send_command(&self, members: &[String], request: ControlRequest, ms: u64) -> PendingCommand {
        let pending = PendingCommand::default();
        let (answered, world, members) = (pending.clone(), self.clone(), members.to_vec());
        let index = self.record_invocation(&request);
        let change = match &request {
            ControlRequest::PutConfig { change_id, .. } => Some(change_id.clone()),
            _ => None,
        };
        self.spawn("outside", async move {
            let reach = LeaderClient::new(world.client_at("outside"));
            let answer = reach.run_operator_command(&members, request, ms, RPC_TIMEOUT_MS).await;
            world.record_outcome(index, &answer);
            if let Some(change) = change {
                world.record_config_outcome(&change, &answer);
            }
            *answered.borrow_mut() = Some(answer);
        });
        pending
    }

    /// Runs the fleet until a command has a response or is given up.
    pub fn wait_for_answer(&self, pending: &PendingCommand, ms: u64) -> Option<ControlResponse> {
        let end = self.now() + ms;
        self.run_to(end, || pending.borrow().is_some());
        let answer = pending.borrow().clone();
        answer.flatten()
    }

    /// Sends a command to the control group as an operator would, retries while there is no response, and runs the
    /// fleet until there is one. Each retry is a separate command.
    pub fn issue(&self, request: ControlRequest) -> Option<ControlResponse> {
        let end = self.now() + OPERATOR_TIMEOUT_MS;
        loop {
            let pending = self.send_command(&self.names("refuge"), request.clone(), OPERATOR_TIMEOUT_MS);
            let answer = self.wait_for_answer(&pending, OPERATOR_TIMEOUT_MS * 2);
            if answer.is_some() || self.now() >= end {
                return answer;
            }
            self.run(LEADER_RETRY_MS);
        }
    }

    /// Reads the list of recently accepted configurations and adds them to the recorded ones.
    pub fn read_history(&self, ms: u64) {
        let pending = self.send_command(&self.names("refuge"), ControlRequest::Configs, ms);
        let Some(ControlResponse::Json(text)) = self.wait_for_answer(&pending, ms * 2) else { return };
        let listed = jzon::parse(&text).expect("the controllers return JSON");
        let mut inner = self.0.borrow_mut();
        for config in listed.members() {
            let revision = config["revision"].as_u64().expect("a revision number");
            let change = config["change"].as_str().expect("a change id").to_string();
            let seen = (revision, change);
            if !inner.observed.history.contains(&seen) {
                inner.observed.history.push(seen);
            }
        }
    }

    fn record_invocation(&self, request: &ControlRequest) -> Option<usize> {
        let order = order_of(request)?;
        let mut inner = self.0.borrow_mut();
        let from = inner.now;
        inner.observed.control_operations.push(ControlRecord {
            from,
            until: None,
            order,
            outcome: ControlOutcome::Unclear,
        });
        Some(inner.observed.control_operations.len() - 1)
    }

    fn record_outcome(&self, index: Option<usize>, answer: &Option<ControlResponse>) {
        let mut inner = self.0.borrow_mut();
        let now = inner.now;
        let Some(seen) = index.and_then(|i| inner.observed.control_operations.get_mut(i)) else { return };
        seen.outcome = outcome_of(&seen.order, answer);
        // a command without a clear outcome may take effect at any later time
        seen.until = (seen.outcome != ControlOutcome::Unclear).then_some(now);
    }
}

/// Returns the invocation of a command or read whose history is checked; others are not recorded.
fn order_of(request: &ControlRequest) -> Option<ControlInvocation> {
    Some(match request {
        ControlRequest::PutConfig { base_version, change_id, text, number, .. } => ControlInvocation::PutConfig {
            base: *base_version,
            number: *number,
            change: change_id.clone(),
            document: hash(text),
        },
        ControlRequest::GetConfig(0) => ControlInvocation::ReadConfig,
        ControlRequest::Status => ControlInvocation::ReadNumber,
        ControlRequest::Evacuate { zone, evacuated } => {
            ControlInvocation::Evacuate { zone: zone.clone(), out: *evacuated }
        }
        ControlRequest::Evacuation(zone) => ControlInvocation::ReadEvacuation { zone: zone.clone() },
        _ => return None,
    })
}

fn outcome_of(order: &ControlInvocation, answer: &Option<ControlResponse>) -> ControlOutcome {
    match answer {
        Some(ControlResponse::Committed(revision)) => ControlOutcome::Accepted(*revision),
        Some(ControlResponse::Conflict(current)) => ControlOutcome::Overtaken(*current),
        Some(ControlResponse::Refused { .. }) => ControlOutcome::Refused,
        Some(ControlResponse::Config { revision, text }) => {
            ControlOutcome::Config { revision: *revision, document: hash(text) }
        }
        Some(ControlResponse::Unknown(_)) => ControlOutcome::Nothing,
        Some(ControlResponse::Json(text)) => read(order, text),
        _ => ControlOutcome::Unclear,
    }
}

fn read(order: &ControlInvocation, text: &str) -> ControlOutcome {
    let json = jzon::parse(text).expect("the controllers return JSON");
    let number = |key: &str| json[key].as_u64().expect("a number");
    match order {
        ControlInvocation::ReadNumber => {
            ControlOutcome::Number { revision: number("config_revision"), number: number("config_number") }
        }
        _ => ControlOutcome::Evacuated(number("revision")),
    }
}
