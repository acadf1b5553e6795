//! Records the requests of the fleet's edges to the stores, and their outcomes.

use super::simulated_network::World;
use crate::observations::{ObservedProgram, StoreInvocation, StoreOutcome, StoreRecord};
use hutbook::coordination::store::{Ended, Program, StoreRequest, StoreResponse, Turn};

impl World {
    pub(super) fn record_request(&self, request: &StoreRequest) -> Option<usize> {
        let (program, order) = order_of(request)?;
        let mut inner = self.0.borrow_mut();
        let (from, program) = (inner.now, program.clone());
        inner.observed.store_operations.push(StoreRecord {
            program,
            from,
            until: None,
            order,
            outcome: StoreOutcome::Unclear,
        });
        Some(inner.observed.store_operations.len() - 1)
    }

    pub(super) fn record_response(&self, index: Option<usize>, answer: &StoreResponse) {
        let mut inner = self.0.borrow_mut();
        let now = inner.now;
        let Some(seen) = index.and_then(|i| inner.observed.store_operations.get_mut(i)) else { return };
        seen.outcome = outcome_of(answer);
        // a request without a clear outcome may take effect at any later time
        seen.until = (seen.outcome != StoreOutcome::Unclear).then_some(now);
    }
}

/// Returns the program of a request, and the invocation it makes.
fn order_of(request: &StoreRequest) -> Option<(&String, StoreInvocation)> {
    Some(match request {
        StoreRequest::PutProgram { id, allowance, .. } => (id, StoreInvocation::Put { allowance: *allowance }),
        StoreRequest::GetProgram { id } => (id, StoreInvocation::Read),
        StoreRequest::LookupJob { program, key, .. } => (program, StoreInvocation::Look { key: key.clone() }),
        StoreRequest::BeginJob(intent) => (&intent.program, StoreInvocation::Begin(Box::new(intent.clone()))),
        StoreRequest::SettleJob { program, key, edge, attempt, ended, turn } => {
            let (key, end, turn) = (key.clone(), without_body(ended), turn.is_some());
            (program, StoreInvocation::Settle { key, edge: *edge, attempt: *attempt, end, turn })
        }
        StoreRequest::RefuseJob { program, key, code, .. } => {
            (program, StoreInvocation::Refuse { key: key.clone(), code: code.clone() })
        }
        _ => return None,
    })
}

fn outcome_of(answer: &StoreResponse) -> StoreOutcome {
    match answer {
        StoreResponse::Program(program, _) | StoreResponse::Unknown(program, _) => StoreOutcome::Program(read(program)),
        StoreResponse::NoProgram => StoreOutcome::NoProgram,
        StoreResponse::Conflict => StoreOutcome::Conflict,
        StoreResponse::Running => StoreOutcome::Running,
        StoreResponse::Ended(ended) => StoreOutcome::Ended(without_body(ended)),
        StoreResponse::Started(history) => StoreOutcome::Go(keys(history)),
        // the replica did not accept this copy, so it can have no effect
        StoreResponse::NotLeader(_) => StoreOutcome::NotTaken,
        _ => StoreOutcome::Unclear,
    }
}

fn keys(history: &[Turn]) -> Vec<String> {
    history.iter().map(|turn| turn.key.clone()).collect()
}

fn read(program: &Program) -> ObservedProgram {
    ObservedProgram {
        allowance: program.allowance,
        spent: program.spent,
        reserved: program.reserved,
        history: keys(&program.history),
    }
}

/// Drops the body, which would only take memory here; texts are compared by other rules.
fn without_body(ended: &Ended) -> Ended {
    Ended { body: String::new(), ..ended.clone() }
}
