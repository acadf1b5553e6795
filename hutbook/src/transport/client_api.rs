//! HTTP API of an edge for clients.

use super::answer_stream::{answer_stream_within, StreamSender};
use super::http::{HttpRequest, HttpResponse, ResponseBody};
use super::lease::leased_view;
use super::network_environment::NetworkEnvironment;
use super::serve::{serve_tool_call, serve_turn, Environment, Request, Response, ResponseChannel, ResponseEvent};
use crate::constants::*;
use crate::coordination::edge::Edge;
use crate::coordination::leased_view::LeasedView;
use crate::coordination::store::{JobOutcome, JobResult, Program, StoreRequest, StoreResponse};
use crate::coordination::view::hash;
use crate::protocol::findings::{is_name, Reader};
use crate::state::config::{Config, Kind};
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Code of the answer to a request that an edge without a lease could not decide.
const NO_LEASE: &str = "no_licence";

/// Job counters for the operators' metrics.
#[derive(Default)]
pub struct JobCounters {
    pub done: AtomicU64,
    pub failed: AtomicU64,
    pub refused: AtomicU64,
    pub in_doubt: AtomicU64,
    pub unavailable: AtomicU64,
    pub in_progress: AtomicU64,
}

impl JobCounters {
    fn count(&self, response: &Response) {
        let counter = match response {
            Response::Ended(end) => match end.outcome {
                JobOutcome::Done => &self.done,
                JobOutcome::Failed => &self.failed,
                JobOutcome::Refused => &self.refused,
                JobOutcome::InDoubt => &self.in_doubt,
            },
            Response::Unavailable(_) => &self.unavailable,
            _ => return,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts a job as in progress for as long as its task runs.
struct InProgress(Arc<JobCounters>);

impl InProgress {
    fn new(counters: &Arc<JobCounters>) -> InProgress {
        counters.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(counters.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

pub async fn handle_request(
    environment: Arc<NetworkEnvironment>,
    counters: Arc<JobCounters>,
    request: HttpRequest,
) -> HttpResponse {
    let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
    match (request.method.as_str(), path.as_slice()) {
        ("PUT", ["v1", "programs", id]) => put_program(&environment, id, &request).await,
        ("GET", ["v1", "programs", id]) => get_program(&environment, id).await,
        ("POST", ["v1", "programs", id, "turns"]) => run_turn(environment, counters, id, &request).await,
        ("POST", ["v1", "programs", id, "tools", route]) => run_tool(environment, counters, id, route, &request).await,
        ("GET", ["v1", "jobs", key]) => get_job(&environment, key, &request).await,
        (_, ["v1", "programs", ..] | ["v1", "jobs", ..]) => {
            HttpResponse::error(405, "wrong_method", "not with this method")
        }
        _ => HttpResponse::error(404, "unknown_path", "nothing is served there"),
    }
}

/// Returns the configuration that decides a request; without a lease, waits for one for up to `wait_ms`.
async fn leased_config(
    environment: &Arc<NetworkEnvironment>,
    wait_ms: u64,
    request: &HttpRequest,
) -> Result<Config, NotBegun> {
    let view = match environment.edge.leased_view(environment.now()) {
        Some(view) => view,
        None => wait_for_lease(environment, wait_ms, request).await?,
    };
    let config = view.config().cloned();
    config.ok_or_else(|| {
        NotBegun::UnlessKnown(retry_later(503, "no_config", "no configuration is in force yet", "same_key"))
    })
}

async fn wait_for_lease(
    environment: &Arc<NetworkEnvironment>,
    wait_ms: u64,
    request: &HttpRequest,
) -> Result<LeasedView, NotBegun> {
    let Some(_held) = environment.requests.try_reserve(job_size(request, 0)) else {
        return Err(NotBegun::Final(no_memory()));
    };
    let found = leased_view(environment, &environment.edge, wait_ms, || false).await;
    found.ok_or_else(|| {
        let why = "this edge does not know the newest configuration";
        NotBegun::UnlessKnown(retry_later(503, NO_LEASE, why, "same_key"))
    })
}

/// Returns how long a job waits for a lease, in milliseconds: the wait limit of its kind of work, if its route is known
/// here.
fn lease_wait_ms(edge: &Edge, route: &str) -> u64 {
    let view = edge.view();
    let set_point = || {
        let config = view.config.as_ref()?;
        Some(config.job_classes.get(&config.routes.get(route)?.job_class)?.target_wait_ms)
    };
    set_point().unwrap_or(MAX_LEASE_WAIT_MS)
}

fn retry_later(status: u16, code: &str, why: &str, retry_with: &str) -> HttpResponse {
    let json = jzon::object! { error: code, why: why, retry_after_ms: RETRY_AFTER_MS, retry_with: retry_with };
    HttpResponse::json(status, json).with_header("retry-after", RETRY_AFTER_MS.div_ceil(1_000).to_string())
}

fn bad_input(reader: Reader) -> HttpResponse {
    let findings: Vec<jzon::JsonValue> = reader
        .findings
        .iter()
        .map(|finding| jzon::object! { place: finding.place.as_str(), what: finding.what.as_str() })
        .collect();
    HttpResponse::json(422, jzon::object! { error: "bad_input", findings: findings })
}

fn program_json(program: &Program, clock: u64) -> jzon::JsonValue {
    let turns: Vec<jzon::JsonValue> = program
        .history
        .iter()
        .map(|turn| jzon::object! { key: turn.key.as_str(), said: turn.input.as_str(), answer: turn.answer.as_str() })
        .collect();
    jzon::object! {
        program: program.id.as_str(), since: program.created_index, allowance: program.allowance, spent: program.spent,
        reserved: program.reserved, time_left_ms: program.ends_at.saturating_sub(clock), history: turns,
    }
}

async fn put_program(environment: &Arc<NetworkEnvironment>, id: &str, request: &HttpRequest) -> HttpResponse {
    let config = match leased_config(environment, MAX_LEASE_WAIT_MS, request).await {
        Ok(config) => config,
        Err(NotBegun::Final(refusal) | NotBegun::UnlessKnown(refusal)) => return refusal,
    };
    let mut reader = Reader::default();
    let Some(json) = reader.parse(&request.body) else { return bad_input(reader) };
    if !is_name(id) {
        reader.report("program", "is not a name: up to 128 letters, digits, and -_.:");
    }
    if !reader.check_keys("", &json, &["allowance", "time_left_ms", "retention_s"]) {
        return bad_input(reader);
    }
    let allowance = reader.integer("", &json, "allowance", None, 1, config.limits.max_allowance);
    let duration_ms = reader.integer("", &json, "time_left_ms", None, 1, config.limits.max_time_left_ms);
    let max_retention_s = config.limits.history_retention_ms / 1_000;
    let retained_ms = reader.integer("", &json, "retention_s", Some(max_retention_s), 1, max_retention_s) * 1_000;
    if !reader.findings.is_empty() {
        return bad_input(reader);
    }
    let store_request =
        StoreRequest::PutProgram { id: id.into(), allowance, time_left_ms: duration_ms, retention_ms: retained_ms };
    match environment.store(id, store_request).await {
        Some(StoreResponse::Program(program, store_clock)) => {
            HttpResponse::json(200, program_json(&program, store_clock))
        }
        Some(StoreResponse::Conflict) => {
            HttpResponse::error(409, "program_differs", "this program exists with other terms")
        }
        _ => retry_later(503, "store_unreachable", "nothing could be decided", "same_key"),
    }
}

async fn get_program(environment: &Arc<NetworkEnvironment>, id: &str) -> HttpResponse {
    match environment.store(id, StoreRequest::GetProgram { id: id.into() }).await {
        Some(StoreResponse::Program(program, store_clock)) => {
            HttpResponse::json(200, program_json(&program, store_clock))
        }
        Some(StoreResponse::NoProgram) => HttpResponse::error(404, "no_program", "no such program is kept"),
        _ => retry_later(503, "store_unreachable", "nothing could be decided", "same_key"),
    }
}

async fn get_job(environment: &Arc<NetworkEnvironment>, key: &str, request: &HttpRequest) -> HttpResponse {
    let Some(program) = request.query.get("program").filter(|program| is_name(program)) else {
        return HttpResponse::error(400, "no_program_named", "say which program the key belongs to: ?program=ID");
    };
    let store_request = StoreRequest::LookupJob { program: program.clone(), key: key.into(), digest: 0 };
    match environment.store(program, store_request).await {
        Some(StoreResponse::Ended(end)) => HttpResponse::json(200, outcome_json(&Response::Ended(end), key)),
        Some(StoreResponse::Running) => HttpResponse::json(200, outcome_json(&Response::Running, key)),
        Some(StoreResponse::Unknown(..) | StoreResponse::NoProgram) => {
            HttpResponse::error(404, "no_job", "no such key is kept")
        }
        _ => retry_later(503, "store_unreachable", "nothing could be decided", "same_key"),
    }
}

/// Why a job was not begun.
enum NotBegun {
    /// It can't be begun, whatever is known about its key.
    Final(HttpResponse),
    /// Nothing may be begun here and now, but an outcome that is known for its key is still returned.
    UnlessKnown(HttpResponse),
}

/// Checks what both kinds of job need: a valid program name, a key, a route of the right kind.
async fn prepare(
    environment: &Arc<NetworkEnvironment>,
    kind: Kind,
    id: &str,
    route: &str,
    request: &HttpRequest,
) -> Result<(Request, Config), NotBegun> {
    check_names(id, request).map_err(NotBegun::Final)?;
    let config = leased_config(environment, lease_wait_ms(&environment.edge, route), request).await?;
    let request = resolve(&config, kind, id, route, request)?;
    Ok((request, config))
}

fn check_names(id: &str, request: &HttpRequest) -> Result<(), HttpResponse> {
    if !is_name(id) {
        return Err(HttpResponse::error(400, "bad_program", "the program's id is not a name"));
    }
    let key = idempotency_key(request);
    if key.is_empty() {
        return Err(HttpResponse::error(400, "no_key", "every job needs an Idempotency-Key"));
    }
    if !is_name(&key) {
        return Err(HttpResponse::error(400, "bad_key", "a key has up to 128 letters, digits, and -_.:"));
    }
    Ok(())
}

/// Builds the job under its route in this configuration.
fn resolve(config: &Config, kind: Kind, id: &str, route: &str, request: &HttpRequest) -> Result<Request, NotBegun> {
    let found = config
        .routes
        .get(route)
        .filter(|route_config| config.groups.get(&route_config.group).is_some_and(|g| g.kind == kind));
    let Some(route_config) = found.cloned() else {
        let refusal = HttpResponse::error(404, "unknown_route", format!("no such route: {route}"));
        return Err(NotBegun::UnlessKnown(refusal));
    };
    let since = match request.headers.get("program-since").map(|text| text.parse::<u64>()) {
        None => 0,
        Some(Ok(since_number)) => since_number,
        Some(Err(_)) => {
            let refusal = HttpResponse::error(400, "bad_since", "Program-Since is the number that PUT told");
            return Err(NotBegun::Final(refusal));
        }
    };
    let digest = hash(&format!("{route}\u{1f}{}", request.body)) | 1;
    Ok(Request {
        program: id.into(),
        key: idempotency_key(request),
        digest,
        route_name: route.into(),
        route: route_config,
        body: request.body.clone(),
        prefix: String::new(),
        max_tokens: 0,
        program_created_index: since,
    })
}

/// Returns the idempotency key, or an empty text if the request has none.
fn idempotency_key(request: &HttpRequest) -> String {
    request.headers.get("idempotency-key").cloned().unwrap_or_default()
}

/// Returns the known outcome of a key: it may have been used under a route that a config has removed since, or before
/// the edge lost its lease.
async fn known_outcome_or(
    environment: &Arc<NetworkEnvironment>,
    id: &str,
    request: &HttpRequest,
    not_begun: NotBegun,
) -> HttpResponse {
    let refusal = match not_begun {
        NotBegun::Final(refusal) => return refusal,
        NotBegun::UnlessKnown(refusal) => refusal,
    };
    let key = idempotency_key(request);
    let store_request = StoreRequest::LookupJob { program: id.into(), key: key.clone(), digest: 0 };
    match environment.store(id, store_request).await {
        Some(StoreResponse::Ended(end)) => outcome_response(&Response::Ended(end), &key),
        Some(StoreResponse::Running) => outcome_response(&Response::Running, &key),
        _ => refusal,
    }
}

/// Returns the bytes that a job may hold until its end is committed: its body, and an answer of up to this many tokens.
fn job_size(request: &HttpRequest, tokens: u64) -> usize {
    REQUEST_OVERHEAD_BYTES + CLIENT_BODY_COPIES * request.body.len() + tokens as usize * TOKEN_BYTES
}

/// Builds the answer when the memory for jobs is used up by jobs in progress and by ends that wait for their store.
fn no_memory() -> HttpResponse {
    retry_later(503, "edge_memory", "no memory is left for more jobs here; nothing was begun", "same_key")
}

async fn run_tool(
    environment: Arc<NetworkEnvironment>,
    counters: Arc<JobCounters>,
    id: &str,
    route: &str,
    request: &HttpRequest,
) -> HttpResponse {
    let (job, _) = match prepare(&environment, Kind::Tool, id, route, request).await {
        Ok(prepared) => prepared,
        Err(not_begun) => return known_outcome_or(&environment, id, request, not_begun).await,
    };
    if jzon::parse(&request.body).is_err() {
        return HttpResponse::error(400, "bad_json", "the body is not JSON");
    }
    let key = job.key.clone();
    let Some(memory) = environment.requests.try_reserve(job_size(request, 0)) else { return no_memory() };
    let in_progress = InProgress::new(&counters);
    let (sender, mut receiver) = mpsc::channel(1);
    // a separate task: a client that disconnects must not stop a once-only job half way
    actix_rt::spawn(async move {
        serve_tool_call(&environment, &environment.edge, job, ResponseChannel::new(sender)).await;
        drop((in_progress, memory));
    });
    match receiver.recv().await {
        Some(ResponseEvent::Response(response)) => {
            counters.count(&response);
            outcome_response(&response, &key)
        }
        _ => outcome_response(&Response::Unavailable("fault"), &key),
    }
}

async fn run_turn(
    environment: Arc<NetworkEnvironment>,
    counters: Arc<JobCounters>,
    id: &str,
    request: &HttpRequest,
) -> HttpResponse {
    if request.is_http_10 {
        return HttpResponse::error(505, "http_version", "a turn is answered as a stream, which needs HTTP/1.1");
    }
    let mut reader = Reader::default();
    let Some(json) = reader.parse(&request.body) else {
        return HttpResponse::error(400, "bad_json", "the body is not JSON");
    };
    if !reader.check_keys("", &json, &["route", "text", "cap", "prefix"]) {
        return bad_input(reader);
    }
    let (route, input) = (reader.text("", &json, "route", None), reader.text("", &json, "text", None));
    let prefix = json["prefix"].as_str().unwrap_or("").to_string();
    if !reader.findings.is_empty() {
        return bad_input(reader);
    }
    let (mut job, config) = match prepare(&environment, Kind::Model, id, &route, request).await {
        Ok(prepared) => prepared,
        Err(not_begun) => return known_outcome_or(&environment, id, request, not_begun).await,
    };
    let cap = reader.integer("", &json, "cap", Some(config.limits.max_turn_tokens), 1, config.limits.max_turn_tokens);
    if !reader.findings.is_empty() {
        return bad_input(reader);
    }
    (job.max_tokens, job.prefix) = (cap, prefix);
    let key = job.key.clone();
    let Some(memory) = environment.requests.try_reserve(job_size(request, cap)) else { return no_memory() };
    let (sender, mut receiver) = mpsc::channel(READ_AHEAD_CHUNKS);
    let in_progress = InProgress::new(&counters);
    let environment_memory = environment.requests.clone();
    actix_rt::spawn(async move {
        serve_turn(&environment, &environment.edge, job, input, ResponseChannel::new(sender)).await;
        drop((in_progress, memory));
    });
    // an early verdict is a plain answer with its own status; a stream begins with its first chunk
    match receiver.recv().await {
        Some(ResponseEvent::Response(response)) => {
            counters.count(&response);
            outcome_response(&response, &key)
        }
        Some(first) => {
            let (client, events) = answer_stream_within(STREAM_BUFFER_BYTES, environment_memory);
            actix_rt::spawn(forward_events(first, receiver, client, key, counters));
            HttpResponse { status: 200, headers: vec![], body: ResponseBody::Events(events) }
        }
        None => outcome_response(&Response::Unavailable("fault"), &key),
    }
}

/// Forwards a turn's events to its client. The stream is complete with the response, and with nothing before it.
async fn forward_events(
    first: ResponseEvent,
    mut rest: mpsc::Receiver<ResponseEvent>,
    client: StreamSender,
    key: String,
    counters: Arc<JobCounters>,
) {
    let mut next = Some(first);
    while let Some(response_event) = next {
        let is_last = matches!(response_event, ResponseEvent::Response(_));
        if let ResponseEvent::Response(response) = &response_event {
            counters.count(response);
        }
        if client.send(event(&response_event, &key)).await.is_err() {
            // dropping the receiver tells the run that its client has disconnected
            return;
        }
        if is_last {
            return client.complete();
        }
        next = rest.recv().await;
    }
}

fn event(event: &ResponseEvent, key: &str) -> Bytes {
    let (name, json) = match event {
        ResponseEvent::Chunk { run, seq, text } => {
            ("piece", jzon::object! { run: *run, seq: *seq, text: text.as_str() })
        }
        ResponseEvent::Response(response) => ("verdict", outcome_json(response, key)),
    };
    Bytes::from(format!("event: {name}\ndata: {}\n\n", json.dump()))
}

pub fn outcome_name(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Done => "done",
        JobOutcome::Failed => "failed",
        JobOutcome::Refused => "refused",
        JobOutcome::InDoubt => "in_doubt",
    }
}

fn outcome_json(response: &Response, key: &str) -> jzon::JsonValue {
    match response {
        Response::Ended(end) => {
            let mut json = jzon::object! { key: key, verdict: outcome_name(end.outcome), code: end.code.as_str(), tokens: end.tokens };
            if !end.body.is_empty() {
                json["body"] = jzon::parse(&end.body).unwrap_or_else(|_| end.body.as_str().into());
            }
            if is_retryable(end) {
                json["retry_after_ms"] = RETRY_AFTER_MS.into();
                json["retry_with"] = "new_key".into();
            }
            json
        }
        Response::Running => {
            jzon::object! { key: key, verdict: "running", retry_after_ms: RETRY_AFTER_MS, retry_with: "same_key" }
        }
        Response::Unavailable(code) => {
            jzon::object! { key: key, verdict: "unavailable", code: *code, retry_after_ms: RETRY_AFTER_MS, retry_with: "same_key" }
        }
        Response::NoProgram => jzon::object! { error: "no_program", why: "no such program is kept" },
        Response::ProgramRecreated => {
            jzon::object! { error: "unknown", why: "the program was made anew since: what became of this key is not known, and it is not run" }
        }
        Response::KeyReused => jzon::object! { error: "key_reused", why: "this key was used with another body" },
    }
}

fn is_retryable(end: &JobResult) -> bool {
    end.outcome == JobOutcome::Refused && !["allowance_spent", "program_ended"].contains(&end.code.as_str())
}

fn outcome_response(response: &Response, key: &str) -> HttpResponse {
    let status = match response {
        Response::Ended(end) => match (end.outcome, end.code.as_str()) {
            (JobOutcome::Done, _) => 200,
            (JobOutcome::Failed, _) => 502,
            (JobOutcome::Refused, "allowance_spent") => 403,
            (JobOutcome::Refused, "program_ended") => 410,
            (JobOutcome::Refused, "no_time_left") => 504,
            (JobOutcome::Refused, _) => 503,
            (JobOutcome::InDoubt, _) => 504,
        },
        Response::Running => 409,
        Response::Unavailable(_) => 503,
        Response::NoProgram => 404,
        Response::ProgramRecreated => 410,
        Response::KeyReused => 422,
    };
    let answer = HttpResponse::json(status, outcome_json(response, key));
    let retryable = match response {
        Response::Ended(end) => is_retryable(end),
        Response::Running | Response::Unavailable(_) => true,
        _ => false,
    };
    if retryable {
        return answer.with_header("retry-after", RETRY_AFTER_MS.div_ceil(1_000).to_string());
    }
    answer
}
