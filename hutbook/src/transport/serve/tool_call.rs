//! Serves a client's tool call, with the same steps as a turn.

use super::admission::{admit, Admitted};
use super::attempts::Attempts;
use super::environment::{Environment, ToolCall};
use super::records::{ended, look_up, refuse, settle};
use super::request::{Request, Response, ResponseChannel};
use crate::constants::{LOOKUP_INTERVAL_MS, MAX_LOOKUPS};
use crate::coordination::admission_queue::JobEnd;
use crate::coordination::control::EXTERNAL_CLIENT;
use crate::coordination::edge::Edge;
use crate::coordination::store::{JobOutcome, JobResult};
use crate::transport::dispatch::NoAnswer;
use std::sync::Arc;

/// A status and a body, or no answer.
type Answer = Result<(u16, String), NoAnswer>;

/// Serves a tool call.
pub async fn serve_tool_call<G: Environment + Clone + 'static>(
    environment: &G,
    edge: &Arc<Edge>,
    request: Request,
    channel: ResponseChannel,
) {
    let response = serve(environment, edge, &request, &channel).await;
    channel.respond(response).await;
}

async fn serve<G: Environment + Clone + 'static>(
    environment: &G,
    edge: &Arc<Edge>,
    request: &Request,
    channel: &ResponseChannel,
) -> Response {
    let arrived_at = environment.now();
    let (program, deadline) = match look_up(environment, request).await {
        Ok(found) => found,
        Err(response) => return response,
    };
    if environment.now() >= deadline {
        return refuse(environment, request, "program_ended").await;
    }
    edge.earn_retry();
    let mut attempts = Attempts::new(environment, &program, deadline);
    let caller = if program.last_group.is_empty() { EXTERNAL_CLIENT.to_string() } else { program.last_group };
    let mut avoid = None;
    loop {
        let admitted = match admit(environment, edge, request, &mut attempts, avoid.take(), channel).await {
            Ok(admitted) => admitted,
            Err(response) => return response,
        };
        let Admitted { slot, revision, gate, run_ms, .. } = admitted;
        let (addr, server) = (slot.dispatch.addr.clone(), slot.dispatch.server.clone());
        let call = ToolCall {
            gate,
            revision,
            addr: addr.clone(),
            path: request.route.path.clone(),
            key: request.key.clone(),
            body: request.body.clone(),
            run_ms,
        };
        let start = environment.now();
        let mut answer = environment.tool(call).await;
        attempts.sent += u32::from(answer != Err(NoAnswer { sent: false }));
        let took = answer.is_ok().then(|| environment.now() - start);
        slot.finish(environment.now(), took, job_end(&answer));
        edge.dispatch_queued(environment.now(), &request.route.group);
        edge.record_latency(environment.now(), &caller, &request.route.group, environment.now() - arrived_at);
        // The work may be done and only its answer lost; the backend may have stored the result.
        if answer == Err(NoAnswer { sent: true }) && request.route.lookup {
            answer = look_up_answer(environment, &addr, &request.key).await.map_or(answer, Ok);
        }
        if may_repeat(&answer, edge, request, &mut attempts, environment.now()) {
            avoid = Some(server);
            continue;
        }
        let end = end_from_answer(answer, request, &attempts);
        return settle(environment, edge, request, &attempts, end, None, channel).await;
    }
}

/// Asks the backend for the result that it stored for a key.
async fn look_up_answer<G: Environment>(environment: &G, addr: &str, key: &str) -> Option<(u16, String)> {
    for _ in 0..MAX_LOOKUPS {
        environment.sleep(LOOKUP_INTERVAL_MS).await;
        let found = environment.lookup(addr, key).await;
        if found.is_some() {
            return found;
        }
    }
    None
}

fn may_repeat(answer: &Answer, edge: &Edge, request: &Request, attempts: &mut Attempts, now: u64) -> bool {
    match answer {
        Ok((status, _)) if *status < 500 => false,
        // a once-only call has been run by the server that answered, or may have been run
        Ok(_) | Err(NoAnswer { sent: true }) => attempts.retry(edge, request, now),
        Err(NoAnswer { sent: false }) => attempts.retry_unsent(now),
    }
}

fn end_from_answer(answer: Answer, request: &Request, attempts: &Attempts) -> JobResult {
    match answer {
        Ok((status, body)) if (200..300).contains(&status) => ended(JobOutcome::Done, "done", body, 0),
        Ok((status, body)) => ended(JobOutcome::Failed, &format!("back_end_{status}"), body, 0),
        Err(NoAnswer { sent: false }) => attempts.unserved_end("not_sent"),
        Err(NoAnswer { sent: true }) if request.route.at_most_once => {
            ended(JobOutcome::InDoubt, "answer_lost", String::new(), 0)
        }
        Err(NoAnswer { sent: true }) => ended(JobOutcome::Failed, "no_answer", String::new(), 0),
    }
}

fn job_end(answer: &Answer) -> JobEnd {
    match answer {
        Ok((status, _)) if *status < 500 => JobEnd::Finished,
        Ok(_) => JobEnd::Failed,
        Err(_) => JobEnd::ConnectionLost,
    }
}
