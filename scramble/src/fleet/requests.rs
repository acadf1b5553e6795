//! A record of what the fleet's edges ask of the stores, and of each outcome.

use super::ground::World;
use crate::saw::{ProgramRead, StoreOrder, StoreOutcome, StoreSeen};
use hutbook::coordination::store::{Ended, Program, StoreRequest, StoreResponse, Turn};

impl World {
    pub(super) fn note_request(&self, program: &str, request: &StoreRequest) -> Option<usize> {
        let order = order_of(request)?;
        let mut inner = self.0.borrow_mut();
        let (from, program) = (inner.now, program.to_string());
        inner.saw.store_orders.push(StoreSeen { program, from, until: None, order, outcome: StoreOutcome::Unclear });
        Some(inner.saw.store_orders.len() - 1)
    }

    pub(super) fn note_answer(&self, index: Option<usize>, answer: &Option<StoreResponse>) {
        let mut inner = self.0.borrow_mut();
        let now = inner.now;
        let Some(seen) = index.and_then(|i| inner.saw.store_orders.get_mut(i)) else { return };
        seen.outcome = outcome_of(answer);
        // what is unclear may take effect at any later time
        seen.until = (seen.outcome != StoreOutcome::Unclear).then_some(now);
    }
}

fn order_of(request: &StoreRequest) -> Option<StoreOrder> {
    Some(match request {
        StoreRequest::Put { allowance, .. } => StoreOrder::Put { allowance: *allowance },
        StoreRequest::Program { .. } => StoreOrder::Read,
        StoreRequest::Look { key, .. } => StoreOrder::Look { key: key.clone() },
        StoreRequest::Begin(intent) => StoreOrder::Begin(Box::new(intent.clone())),
        StoreRequest::Settle { key, edge, attempt, ended, turn, .. } => StoreOrder::Settle {
            key: key.clone(),
            edge: *edge,
            attempt: *attempt,
            end: without_body(ended),
            turn: turn.is_some(),
        },
        StoreRequest::Refuse { key, code, .. } => StoreOrder::Refuse { key: key.clone(), code: code.clone() },
        _ => return None,
    })
}

fn outcome_of(answer: &Option<StoreResponse>) -> StoreOutcome {
    match answer {
        Some(StoreResponse::Program(program, _) | StoreResponse::Unknown(program, _)) => {
            StoreOutcome::Program(read(program))
        }
        Some(StoreResponse::NoProgram) => StoreOutcome::NoProgram,
        Some(StoreResponse::Conflict) => StoreOutcome::Conflict,
        Some(StoreResponse::Running) => StoreOutcome::Running,
        Some(StoreResponse::Ended(ended)) => StoreOutcome::Ended(without_body(ended)),
        Some(StoreResponse::Go(history)) => StoreOutcome::Go(keys(history)),
        _ => StoreOutcome::Unclear,
    }
}

fn keys(history: &[Turn]) -> Vec<String> {
    history.iter().map(|turn| turn.key.clone()).collect()
}

fn read(program: &Program) -> ProgramRead {
    ProgramRead {
        allowance: program.allowance,
        spent: program.spent,
        reserved: program.reserved,
        history: keys(&program.history),
    }
}

/// Texts are compared elsewhere: here they would only fill memory.
fn without_body(ended: &Ended) -> Ended {
    Ended { body: String::new(), ..ended.clone() }
}
