//! Admission of a request to a server: a slot, a reservation that the store has committed, and a final check before
//! dispatch.

use super::attempts::Attempts;
use super::environment::Environment;
use super::records::{client_response, refuse, settle};
use super::request::{Request, Response, ResponseChannel};
use crate::constants::{CLOCK_DRIFT_MS, DISPATCH_WINDOW_MS};
use crate::coordination::admission_queue::{QueuedJob, Refusal};
use crate::coordination::edge::{Edge, SlotGuard};
use crate::coordination::store::{Intent, StoreRequest, StoreResponse, Turn};
use crate::coordination::view::hash;
use crate::transport::dispatch::Gate;
use std::sync::Arc;

/// An admitted request: it has a slot and a committed reservation, and its dispatch gate was open.
pub(super) struct Admitted {
    pub(super) slot: SlotGuard,
    pub(super) history: Vec<Turn>,
    /// Config revision under which this request is dispatched.
    pub(super) revision: u64,
    pub(super) gate: Gate,
    pub(super) run_ms: u64,
}

/// Waits for a slot, reserves the attempt at the store and checks the dispatch gate. Returns the client's response if
/// one of these fails.
pub(super) async fn admit<G: Environment + Clone + 'static>(
    environment: &G,
    edge: &Arc<Edge>,
    request: &Request,
    attempts: &mut Attempts,
    mut avoid: Option<String>,
    channel: &ResponseChannel,
) -> Result<Admitted, Response> {
    loop {
        let slot = match wait_for_slot(environment, edge, request, attempts, avoid.take(), channel).await? {
            Ok(slot) => slot,
            Err(_) if attempts.attempt > 0 => {
                // the reservation in force is the previous attempt's
                attempts.attempt -= 1;
                let end = attempts.unserved_end("no_server_left");
                return Err(settle(environment, edge, request, attempts, end, None, channel).await);
            }
            Err(refusal) => return Err(refuse(environment, request, refusal.code()).await),
        };
        let requested_at = environment.now();
        let history = reserve(environment, edge, request, attempts, &slot).await?;
        attempts.reserved_at = Some(requested_at);
        let revision = edge.view().config_revision;
        let gate = dispatch_gate(environment, edge, &slot, requested_at);
        if gate() {
            let run_ms = attempts.run_ms(request.route.max_run_ms, environment.now());
            return Ok(Admitted { slot, history, revision, gate, run_ms });
        }
        drop(slot);
        // It was never sent, and only this edge could have sent it, so it is safe to send it to another server.
        if !attempts.retry_unsent(environment.now()) {
            let end = attempts.unserved_end("not_sent");
            return Err(settle(environment, edge, request, attempts, end, None, channel).await);
        }
    }
}

/// Waits for a slot. The inner error is the reason for a refusal; the outer error means that the client disconnected.
async fn wait_for_slot<G: Environment>(
    environment: &G,
    edge: &Edge,
    request: &Request,
    attempts: &Attempts,
    avoid: Option<String>,
    channel: &ResponseChannel,
) -> Result<Result<SlotGuard, Refusal>, Response> {
    // A waiting turn whose client has disconnected would run for nobody, and would be reported as failed to the same
    // client when it retries at another edge, so nothing is recorded for it. This applies to turns only: tool calls
    // continue without their client.
    let cancel_on_disconnect = request.is_turn() && attempts.attempt == 0;
    tokio::select! {
        biased;
        _ = channel.closed(), if cancel_on_disconnect => Err(Response::Unavailable("caller_gone")),
        slot = join_queue(environment, edge, request, attempts.wait_until(request.route.max_run_ms), avoid) => Ok(slot),
    }
}

async fn join_queue<G: Environment>(
    environment: &G,
    edge: &Edge,
    request: &Request,
    ends: u64,
    avoid: Option<String>,
) -> Result<SlotGuard, Refusal> {
    // turns have affinity to the server that has their prefix cached, or else to their program's server
    let affinity_key = if request.prefix.is_empty() { &request.program } else { &request.prefix };
    let (now, work) = (environment.now(), request.route.job_class.clone());
    let wait = QueuedJob {
        job_class: work,
        queued_at: now,
        deadline: ends,
        affinity: hash(affinity_key),
        avoid_server: avoid,
        reply: (),
    };
    edge.enqueue(now, &request.route.group, wait).await.unwrap_or(Err(Refusal::Overloaded))
}

/// Commits this attempt at the store. Returns the program's turns so far, or the client's response.
async fn reserve<G: Environment>(
    environment: &G,
    edge: &Edge,
    request: &Request,
    attempts: &Attempts,
    slot: &SlotGuard,
) -> Result<Vec<Turn>, Response> {
    let intent = Intent {
        program: request.program.clone(),
        key: request.key.clone(),
        digest: request.digest,
        route: request.route_name.clone(),
        at_most_once: request.route.at_most_once,
        edge: edge.id,
        attempt: attempts.attempt,
        server: slot.dispatch.server.clone(),
        cap: request.max_tokens,
        run_ms: request.route.max_run_ms,
        retention_ms: request.route.retention_ms,
        // only turns make their group the caller of later tool calls
        group: if request.is_turn() { request.route.group.clone() } else { String::new() },
        nonce: attempts.nonce,
        edge_addr: edge.addr.clone(),
        previous_unsent: attempts.unsent,
        program_created_index: attempts.since,
    };
    match environment.store(&request.program, StoreRequest::BeginJob(intent)).await {
        Some(StoreResponse::Started(history)) => Ok(history),
        Some(response) => Err(client_response(response)),
        None => Err(Response::Unavailable("store_unreachable")),
    }
}

/// Builds the final check before dispatch: a stale view, an expired reservation or a process that was suspended must
/// not dispatch.
fn dispatch_gate<G: Environment + Clone + 'static>(
    environment: &G,
    edge: &Arc<Edge>,
    slot: &SlotGuard,
    requested_at: u64,
) -> Gate {
    let (edge, environment, placed) = (edge.clone(), environment.clone(), slot.dispatch.clone());
    Box::new(move || {
        environment.now() < requested_at + DISPATCH_WINDOW_MS - CLOCK_DRIFT_MS
            && edge.may_dispatch(environment.now(), &placed.server, placed.warmup_revision)
    })
}
