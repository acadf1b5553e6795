//! Proxied requests, from the first byte to the last: one function a request.
//!
//! A plain request is kept once-only by this one edge: its id never comes again and its answer can only go out over
//! the connection that asked, so no store has to know of it. A turn needs two agreements: its reservation before its
//! first byte goes to a server, and its end before its answer is whole.

mod answers;
mod attempt;
mod context;
mod decision;
mod events;
mod request;
mod reservation;
mod stream;

use super::connection_pool::{Bite, Sending};
use super::dispatch::{Gate, NoAnswer};
use super::header_names::HeaderNames;
use super::lease::leased_view;
use super::serve::Environment;
use crate::constants::*;
use crate::coordination::balancer::{Outcome, Placement};
use crate::coordination::edge::Edge;
use crate::coordination::leased_view::LeasedView;
use crate::coordination::routes::service_of;
use crate::state::config::ProxyRoute;
use crate::transport::logs::event;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use answers::{own_answer, refusal, refusal_until};
use attempt::{first_answer, Attempts, Failure, Opened};
use bytes::{Bytes, BytesMut};
use context::{within, Context};
use decision::{Arrival, DecisionRecord};
use log::Level;
use request::{whole_conversation, ProxyRequest};
use reservation::{end, reserve, Reservation};
use std::sync::Arc;
use stream::{relay, Relayed};
use tokio::sync::{mpsc, oneshot};

/// A request as it came in, read to its end.
pub struct Incoming {
    pub method: Method,
    pub target: Uri,
    pub host: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An answer's head, and where its body comes from.
pub struct Outgoing {
    pub status: StatusCode,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    pub body: OutBody,
    /// The code of an answer of our own; None where a server gave it.
    pub own_code: Option<&'static str>,
}

pub enum OutBody {
    Whole(Bytes),
    /// An error breaks the answer off: it must not look complete.
    Events(mpsc::Receiver<Result<Bytes, ()>>),
}

/// Where the answer goes.
pub type Reply = oneshot::Sender<Outgoing>;

/// How requests get to servers, beside what `Environment` gives.
#[allow(async_fn_in_trait)]
pub trait ProxyEnvironment: Environment {
    type Answer: ServerAnswer;
    async fn send(&self, to: &Placement, request: Sending, gate: Gate) -> Result<Self::Answer, NoAnswer>;
}

/// A server's answer, of which the head has come.
#[allow(async_fn_in_trait)]
pub trait ServerAnswer {
    fn status(&self) -> StatusCode;
    fn headers(&self) -> &HeaderMap;
    async fn next(&mut self) -> Bite;
}

/// Code of the answer to a request whose host and path no route of the configuration has.
const UNKNOWN_ROUTE: &str = "no_way";

/// Serves one request: lease, route, reservation, server, answer, end.
pub async fn serve<G: ProxyEnvironment + Clone + 'static>(
    ground: &G,
    edge: &Arc<Edge>,
    names: &HeaderNames,
    incoming: Incoming,
    reply: Reply,
) {
    let came = ground.now();
    let Some(view) = wait_for_lease(ground, edge, &incoming, &reply).await else {
        return drop(reply.send(refusal("no_licence")));
    };
    let (service, name, route) = match find_route(ground, &view, &incoming) {
        Ok(found) => found,
        Err(answer) => {
            if answer.own_code == Some(UNKNOWN_ROUTE) {
                log_unknown_route(ground, edge, view.config_revision(), came);
            }
            return drop(reply.send(answer));
        }
    };
    let Some(request) = ProxyRequest::read(&incoming, names, (name, route), edge, came) else {
        return drop(reply.send(own_answer(400, "no_job", None)));
    };
    let share = view.config().map_or(0.0, |config| config.policy.decision_log_share);
    let record = DecisionRecord::new(share);
    let mut context = Context {
        ground,
        edge,
        names,
        view: &view,
        incoming: &incoming,
        body: incoming.body.clone(),
        last_server: String::new(),
        route,
        service: &service,
        request: &request,
        came,
        record: &record,
    };
    if let Some(reply) = reserve_turn(&mut context, reply).await {
        run(&context, reply).await;
    }
    log_decision(&context, name);
}

/// Reserves for a turn at its store and takes the conversation so far. None: it was refused, and its client told.
async fn reserve_turn<G: ProxyEnvironment>(context: &mut Context<'_, G>, reply: Reply) -> Option<Reply> {
    let Some(turn) = &context.request.turn else { return Some(reply) };
    let (ground, edge) = (context.ground, context.edge);
    let reservation = reserve(ground, edge, turn.clone(), context.route.aim_ms, context.came).await;
    context.record.note_reserved(ground.now() - context.came);
    let refused = match reservation {
        Reservation::Made { chain, server } => {
            context.body = whole_conversation(&chain, &context.incoming.body);
            context.last_server = server;
            return Some(reply);
        }
        Reservation::BudgetSpent => own_answer(402, "allowance_spent", None),
        Reservation::TurnUnknown => own_answer(404, "no_such_turn", None),
        // nothing stands at the store: there is nothing to settle
        Reservation::Refused { retry_after_ms } => refusal_until("store_full", retry_after_ms),
        Reservation::Unclear { retry_after_ms } => {
            context.record.note_ending("store_unreachable");
            drop(reply.send(refusal_until("store_unreachable", retry_after_ms)));
            // it may stand: it is given back when the store can be reached
            end(ground, edge, context.request, 0, String::new(), None).await;
            return None;
        }
    };
    context.record.note_ending(refused.own_code.unwrap_or_default());
    drop(reply.send(refused));
    None
}

fn log_decision<G: ProxyEnvironment>(context: &Context<'_, G>, route: &str) {
    if !context.record.is_on() {
        return;
    }
    let arrival = Arrival {
        id: context.request.id.to_str().unwrap_or_default(),
        route,
        came: context.came,
        left_ms: context.request.ends_at - context.came,
        program_left_ms: context.request.program_left_ms,
        has_turn: context.request.turn.is_some(),
    };
    context.record.log(&arrival, context.now(), context.ground.random_u64());
}

/// Logs which configuration decided that there is no such route, and the newest one that the edge knows.
fn log_unknown_route<G: ProxyEnvironment>(ground: &G, edge: &Edge, decided_by: u64, came: u64) {
    let now = ground.now();
    let Some(passed_over) = edge.admit_unknown_route_log(now) else { return };
    let fields = [
        ("decided_by_config", decided_by.into()),
        ("newest_config", edge.view().config_rev.into()),
        ("term", edge.term().into()),
        ("waited_ms", (now - came).into()),
        ("passed_over", passed_over.into()),
    ];
    event(Level::Info, "unknown_route", &fields);
}

/// What the request is decided by. Without a lease nothing new goes out; one that is being renewed is waited for shortly.
async fn wait_for_lease<G: ProxyEnvironment>(
    ground: &G,
    edge: &Edge,
    incoming: &Incoming,
    reply: &Reply,
) -> Option<LeasedView> {
    let aim_ms = edge.last_known_aim_ms(&incoming.host, incoming.target.path());
    let longest_ms = aim_ms.map_or(MAX_LEASE_WAIT_MS, |aim| MAX_LEASE_WAIT_MS.min(aim / LEASE_WAIT_DIVISOR));
    leased_view(ground, edge, longest_ms, || reply.is_closed()).await
}

/// A request's service, route's name and route, or the answer where there is none.
fn find_route<'a, G: ProxyEnvironment>(
    ground: &G,
    view: &'a LeasedView,
    incoming: &Incoming,
) -> Result<(String, &'a str, &'a ProxyRoute), Outgoing> {
    if view.config().is_none() {
        return Err(refusal("no_config"));
    }
    let found = view.find_route(&incoming.host, incoming.target.path());
    let Some((name, route)) = found else { return Err(own_answer(404, UNKNOWN_ROUTE, None)) };
    let Some(service) = service_of(route, ground.random_u64()) else { return Err(refusal("no_group")) };
    Ok((service.to_string(), name, route))
}

/// Tries servers until one's answer can be given, and agrees on the end of a turn.
async fn run<G: ProxyEnvironment + Clone + 'static>(context: &Context<'_, G>, mut reply: Reply) {
    let mut attempts = Attempts::new(context);
    let failure = loop {
        let opened = match first_answer(context, &mut attempts, &mut reply).await {
            Ok(opened) => opened,
            Err(failure) => break failure,
        };
        context.note_load(&opened.placement, opened.answer.headers());
        if opened.first.is_none() {
            match give_whole(context, &mut attempts, opened, reply).await {
                Some(unused) => reply = unused,
                None => return,
            }
        } else {
            match relay(context, &mut attempts, opened, reply).await {
                Relayed::Over => return,
                Relayed::BrokeBeforeFirstEvent(unused) => reply = unused,
            }
        }
        if !attempts.may_repeat(context) {
            break Failure::NoAnswer;
        }
    };
    give_failure(context, &attempts, failure, reply).await;
}

/// Gives a plain answer once it is whole. Some: it isn't, and another server may be tried.
async fn give_whole<G: ProxyEnvironment + Clone + 'static>(
    context: &Context<'_, G>,
    attempts: &mut Attempts,
    opened: Opened<G::Answer>,
    reply: Reply,
) -> Option<Reply> {
    let Opened { placement, sent_at, mut answer, .. } = opened;
    let whole = read_whole(context, &mut answer).await;
    let is_fine = whole.is_some() && !answer.status().is_server_error();
    let outcome = if is_fine { Outcome::Success } else { Outcome::Failed };
    context.finish(&placement, sent_at, outcome);
    attempts.may_have_run = true;
    if !is_fine && attempts.may_repeat(context) {
        return Some(reply);
    }
    context.note_timing();
    let is_good = is_fine && answer.status().is_success();
    context.record.note_ending(if is_good { "served" } else { "server_failed" });
    let outgoing = match whole {
        Some(body) => Outgoing {
            status: answer.status(),
            headers: answers::end_to_end_headers(answer.headers()),
            body: OutBody::Whole(body),
            own_code: None,
        },
        None => own_answer(502, "answer_broke_off", None),
    };
    let _ = reply.send(outgoing);
    end(context.ground, context.edge, context.request, 0, placement.server, None).await;
    None
}

async fn read_whole<G: ProxyEnvironment>(context: &Context<'_, G>, answer: &mut G::Answer) -> Option<Bytes> {
    let mut out = BytesMut::new();
    loop {
        match within(context.ground, context.request.ends_at, answer.next()).await? {
            Bite::Bytes(bytes) if out.len() + bytes.len() > MAX_FRAME_BYTES => return None,
            Bite::Bytes(bytes) => out.extend_from_slice(&bytes),
            Bite::End => return Some(out.freeze()),
            Bite::Broken => return None,
        }
    }
}

/// No server's answer can be given: says so at once, and ends a turn.
async fn give_failure<G: ProxyEnvironment + Clone + 'static>(
    context: &Context<'_, G>,
    attempts: &Attempts,
    failure: Failure,
    reply: Reply,
) {
    context.record.note_ending(failure.code());
    let outgoing = match failure {
        Failure::ClientLeft => refusal(failure.code()),
        // what may have run can't be promised not to have
        _ if attempts.may_have_run && context.request.placement.once_only => own_answer(502, failure.code(), None),
        _ => refusal(failure.code()),
    };
    let _ = reply.send(outgoing);
    end(context.ground, context.edge, context.request, 0, String::new(), None).await;
}
