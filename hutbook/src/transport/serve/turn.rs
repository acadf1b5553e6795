//! Serves a client's turn: look up the key, wait for a slot, reserve, check once more, stream, settle, respond.

use super::admission::{admit, Admitted};
use super::attempts::Attempts;
use super::environment::{Environment, ModelCall};
use super::records::{ended, look_up, refuse, settle};
use super::request::{Request, Response, ResponseChannel};
use super::stream::{relay, StreamOutcome};
use crate::coordination::admission_queue::JobEnd;
use crate::coordination::control::EXTERNAL_CLIENT;
use crate::coordination::edge::{Edge, SlotGuard};
use crate::coordination::store::{JobOutcome, Program, Turn};
use crate::transport::dispatch::{Gate, NoAnswer};
use std::sync::Arc;

/// Serves a turn whose user message is `input`.
pub async fn serve_turn<G: Environment + Clone + 'static>(
    environment: &G,
    edge: &Arc<Edge>,
    request: Request,
    input: String,
    channel: ResponseChannel,
) {
    let response = serve(environment, edge, &request, input, &channel).await;
    channel.respond(response).await;
}

async fn serve<G: Environment + Clone + 'static>(
    environment: &G,
    edge: &Arc<Edge>,
    request: &Request,
    input: String,
    channel: &ResponseChannel,
) -> Response {
    let arrived_at = environment.now();
    let (program, deadline) = match look_up(environment, request).await {
        Ok(found) => found,
        Err(response) => return response,
    };
    if let Some(code) = immediate_refusal(environment, &program, deadline) {
        return refuse(environment, request, code).await;
    }
    edge.earn_retry();
    let mut attempts = Attempts::new(environment, &program, deadline);
    let mut avoid = None;
    loop {
        let admitted = match admit(environment, edge, request, &mut attempts, avoid.take(), channel).await {
            Ok(admitted) => admitted,
            Err(response) => return response,
        };
        let Admitted { slot, history, revision, gate, run_ms } = admitted;
        let call = model_call(request, &slot, messages(history, &input), revision, gate, run_ms);
        let start = environment.now();
        let answer = environment.model(call).await;
        let unsent = matches!(answer, Err(NoAnswer { sent: false }));
        attempts.sent += u32::from(!unsent);
        let unanswered = answer.is_err();
        let outcome = match answer {
            Ok(Ok(stream)) => relay(environment, stream, request, attempts.attempt, channel, start + run_ms).await,
            Ok(Err(status)) if status < 500 && status != 429 => {
                StreamOutcome { first_at: Some(environment.now()), ..StreamOutcome::failed("back_end_refused") }
            }
            _ => StreamOutcome::failed("no_answer"),
        };
        if let Some(at) = outcome.first_at {
            edge.record_latency(environment.now(), EXTERNAL_CLIENT, &request.route.group, at - arrived_at);
        }
        let server = slot.dispatch.server.clone();
        slot.finish(environment.now(), outcome.first_at.map(|at| at - start), job_end(&outcome, unanswered));
        edge.dispatch_queued(environment.now(), &request.route.group);
        if unsent {
            if attempts.retry_unsent(environment.now()) {
                avoid = Some(server);
                continue;
            }
            return settle(environment, edge, request, &attempts, attempts.unserved_end("not_sent"), None, channel)
                .await;
        }
        if is_repeatable(&outcome) && attempts.retry(edge, request, environment.now()) {
            avoid = Some(server);
            continue;
        }
        if !outcome.code.is_empty() {
            let end = ended(JobOutcome::Failed, outcome.code, String::new(), outcome.tokens);
            return settle(environment, edge, request, &attempts, end, None, channel).await;
        }
        let turn = Turn { input, answer: outcome.text.clone(), key: request.key.clone(), start_index: 0 };
        let end = ended(JobOutcome::Done, "done", outcome.text, outcome.tokens);
        return settle(environment, edge, request, &attempts, end, Some(turn), channel).await;
    }
}

/// Returns the code with which a turn is refused before it waits for anything.
fn immediate_refusal<G: Environment>(environment: &G, program: &Program, deadline: u64) -> Option<&'static str> {
    if environment.now() >= deadline {
        return Some("program_ended");
    }
    (program.spent + program.reserved >= program.allowance).then_some("allowance_spent")
}

/// Returns (role, text) of the program so far followed by the new user message, oldest first.
fn messages(history: Vec<Turn>, input: &str) -> Vec<(&'static str, String)> {
    let mut messages: Vec<(&'static str, String)> = vec![];
    for turn in history {
        messages.extend([("user", turn.input), ("assistant", turn.answer)]);
    }
    messages.push(("user", input.to_string()));
    messages
}

fn model_call(
    request: &Request,
    slot: &SlotGuard,
    talk: Vec<(&'static str, String)>,
    revision: u64,
    gate: Gate,
    run_ms: u64,
) -> ModelCall {
    ModelCall {
        gate,
        revision,
        addr: slot.dispatch.addr.clone(),
        path: request.route.path.clone(),
        program: request.program.clone(),
        key: request.key.clone(),
        messages: talk,
        prefix: request.prefix.clone(),
        max_tokens: request.max_tokens,
        run_ms,
    }
}

/// Returns whether the run may be retried: no chunk was relayed, and another server may succeed.
fn is_repeatable(outcome: &StreamOutcome) -> bool {
    outcome.chunks == 0 && !["", "caller_gone", "over_cap"].contains(&outcome.code)
}

fn job_end(outcome: &StreamOutcome, unanswered: bool) -> JobEnd {
    match outcome.code {
        "" => JobEnd::Finished,
        "back_end_refused" | "caller_gone" | "out_of_time" | "over_cap" => JobEnd::Cancelled,
        _ if unanswered || outcome.code == "stream_broken" => JobEnd::ConnectionLost,
        _ => JobEnd::Failed,
    }
}
