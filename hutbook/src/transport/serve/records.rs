//! Lookups and records of a request at its program's store.

use super::attempts::Attempts;
use super::environment::Environment;
use super::request::{Request, Response, ResponseChannel};
use crate::constants::{LEADER_RETRY_MS, SETTLE_TIMEOUT_MS};
use crate::coordination::edge::Edge;
use crate::coordination::store::{JobOutcome, JobResult, Program, StoreRequest, StoreResponse, Turn};

pub(super) fn ended(outcome: JobOutcome, code: &str, body: String, tokens: u64) -> JobResult {
    JobResult { outcome, code: code.into(), body, tokens }
}

/// Looks up the request's key and program. Returns the program and its deadline (milliseconds on this node's clock) if
/// the key is new, else the client's response.
pub(super) async fn look_up<G: Environment>(environment: &G, request: &Request) -> Result<(Program, u64), Response> {
    let store_request =
        StoreRequest::LookupJob { program: request.program.clone(), key: request.key.clone(), digest: request.digest };
    match environment.store(&request.program, store_request).await {
        // the key may have been forgotten together with the earlier program it belonged to
        Some(StoreResponse::Unknown(program, _))
            if request.program_created_index != 0 && program.created_index != request.program_created_index =>
        {
            Err(Response::ProgramRecreated)
        }
        // the remaining time is the program's, measured on the store's clock
        Some(StoreResponse::Unknown(program, store_clock)) => {
            let deadline = environment.now() + program.ends_at.saturating_sub(store_clock);
            Ok((program, deadline))
        }
        Some(response) => Err(client_response(response)),
        None => Err(Response::Unavailable("store_unreachable")),
    }
}

/// Translates the store's answer about a key into the client's response.
pub(super) fn client_response(response: StoreResponse) -> Response {
    match response {
        StoreResponse::Ended(end) => Response::Ended(end),
        StoreResponse::Running => Response::Running,
        StoreResponse::BodyMismatch => Response::KeyReused,
        StoreResponse::NoProgram => Response::NoProgram,
        _ => Response::Unavailable("store_busy"),
    }
}

/// Refuses a request. The refusal is reported only once its tombstone is committed: the request did not run and never
/// will.
pub(super) async fn refuse<G: Environment>(environment: &G, request: &Request, code: &str) -> Response {
    let store_request = StoreRequest::RefuseJob {
        program: request.program.clone(),
        key: request.key.clone(),
        digest: request.digest,
        route: request.route_name.clone(),
        code: code.into(),
        retention_ms: request.route.retention_ms,
    };
    match environment.store(&request.program, store_request).await {
        Some(response) => client_response(response),
        None => Response::Unavailable("store_unreachable"),
    }
}

/// Records the end of a run and returns it as the store has committed it. If the store is unreachable, the client does
/// not wait: it is told to ask again, and the end is recorded once the store can be reached.
pub(super) async fn settle<G: Environment>(
    environment: &G,
    edge: &Edge,
    request: &Request,
    attempts: &Attempts,
    end: JobResult,
    turn: Option<Turn>,
    channel: &ResponseChannel,
) -> Response {
    let store_request = StoreRequest::SettleJob {
        program: request.program.clone(),
        key: request.key.clone(),
        edge: edge.id,
        attempt: attempts.attempt,
        ended: end,
        turn,
    };
    let until = environment.now() + SETTLE_TIMEOUT_MS;
    loop {
        match environment.store(&request.program, store_request.clone()).await {
            Some(outcome @ (StoreResponse::Ended(_) | StoreResponse::Running | StoreResponse::NoProgram)) => {
                return client_response(outcome)
            }
            _ if environment.now() >= until => return Response::Unavailable("not_recorded"),
            _ => channel.respond(Response::Unavailable("not_recorded_yet")).await,
        }
        environment.sleep(LEADER_RETRY_MS).await;
    }
}
