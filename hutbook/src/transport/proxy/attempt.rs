//! Tries at servers until one answers: choose, send, judge.

use super::context::Context;
use super::{NoAnswer, ProxyGround, Reply, Sending, ServerAnswer};
use crate::constants::*;
use crate::coordination::balancer::{Outcome, Placement, PlacementRequest};
use crate::transport::dispatch::Gate;
use crate::transport::lexicon::Lexicon;
use actix_http::StatusCode;
use futures_util::future::{select, Either};
use std::pin::pin;

/// Why no server's answer can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No server could take it in time.
    NoPlace,
    /// All that it was sent to turned it away.
    ServersFull,
    NoAnswer,
    ClientLeft,
}

impl Failure {
    /// As clients and counters are told it.
    pub(super) fn code(self) -> &'static str {
        match self {
            Failure::NoPlace => "no_place",
            Failure::ServersFull => "servers_full",
            Failure::NoAnswer => "no_answer",
            Failure::ClientLeft => "gone",
        }
    }
}

/// The tries of one request.
pub(super) struct Attempts {
    pub(super) placement: PlacementRequest,
    /// Servers that it may still be sent to.
    pub(super) left: u32,
    /// Some server may have run it.
    pub(super) may_have_run: bool,
}

impl Attempts {
    pub(super) fn new<G>(context: &Context<'_, G>) -> Attempts {
        let placement = context.request.placement.clone();
        Attempts { placement, left: context.route.tries.max(1), may_have_run: false }
    }

    /// May it go to another server although it has not run?
    fn may_go_on<G: ProxyGround>(&self, context: &Context<'_, G>) -> bool {
        self.left > 0 && context.now() < context.request.ends_at
    }

    /// May it go to another server although it may have run?
    pub(super) fn may_repeat<G: ProxyGround>(&self, context: &Context<'_, G>) -> bool {
        !self.placement.once_only && self.may_go_on(context)
    }
}

/// What became of one send.
pub(super) enum Sent<A> {
    /// An answer to be given as it is.
    Answer(A),
    NotRun(Outcome),
    MayHaveRun,
}

pub(super) fn judge<A: ServerAnswer>(result: Result<A, NoAnswer>, names: &Lexicon) -> Sent<A> {
    let answer = match result {
        Err(NoAnswer { sent: false }) => return Sent::NotRun(Outcome::Failed),
        Err(NoAnswer { sent: true }) => return Sent::MayHaveRun,
        Ok(answer) => answer,
    };
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun(Outcome::WrongServer);
    }
    if answer.headers().contains_key(names.not_run) {
        return Sent::NotRun(Outcome::TurnedAway);
    }
    // a success without its seal is no server's
    if answer.status().is_success() && !answer.headers().contains_key(names.seal) {
        return Sent::MayHaveRun;
    }
    Sent::Answer(answer)
}

/// Tries servers until one answers: where, its answer, and when it was sent.
pub(super) async fn first_answer<G: ProxyGround + Clone + 'static>(
    context: &Context<'_, G>,
    attempts: &mut Attempts,
    reply: &mut Reply,
) -> Result<(Placement, G::Answer, u64), Failure> {
    loop {
        let Some(placement) = wait_for_place(context, attempts, reply).await else {
            return Err(if reply.is_closed() { Failure::ClientLeft } else { Failure::NoPlace });
        };
        attempts.left -= 1;
        let sent_at = context.now();
        let request = context.request.sending(context, &placement, None);
        let Some(result) = send_while_wanted(context, &placement, request, reply).await else {
            context.finish(&placement, sent_at, Outcome::Cancelled);
            return Err(Failure::ClientLeft);
        };
        match judge(result, context.names) {
            Sent::Answer(answer) => return Ok((placement, answer, sent_at)),
            Sent::NotRun(outcome) => {
                context.finish(&placement, sent_at, outcome);
                attempts.placement.tried.push(placement.server);
                if !attempts.may_go_on(context) {
                    return Err(Failure::ServersFull);
                }
            }
            Sent::MayHaveRun => {
                context.finish(&placement, sent_at, Outcome::Failed);
                attempts.placement.tried.push(placement.server);
                attempts.may_have_run = true;
                if !attempts.may_repeat(context) {
                    return Err(Failure::NoAnswer);
                }
            }
        }
    }
}

/// None: its client has left. A once-only request that may have run is seen through whoever still listens.
async fn send_while_wanted<G: ProxyGround + Clone + 'static>(
    context: &Context<'_, G>,
    placement: &Placement,
    request: Sending,
    reply: &mut Reply,
) -> Option<Result<G::Answer, NoAnswer>> {
    let sent = pin!(send(context, placement, request));
    match select(sent, pin!(reply.closed())).await {
        Either::Left((result, _)) => Some(result),
        Either::Right((_, sent)) if context.request.placement.once_only && context.request.turn.is_none() => {
            Some(sent.await)
        }
        Either::Right(_) => None,
    }
}

/// Sends a request to its server, if it may still go there as its bytes go out.
pub(super) async fn send<G: ProxyGround + Clone + 'static>(
    context: &Context<'_, G>,
    placement: &Placement,
    request: Sending,
) -> Result<G::Answer, NoAnswer> {
    let (edge, ground, to) = (context.edge.clone(), context.ground.clone(), placement.clone());
    let gate: Gate = Box::new(move || edge.may_proxy(ground.now(), &to.service, &to.server));
    context.ground.send(placement, request, gate).await
}

/// A server, waited for shortly: longer would only hold what could be told to come back.
async fn wait_for_place<G: ProxyGround>(
    context: &Context<'_, G>,
    attempts: &Attempts,
    reply: &Reply,
) -> Option<Placement> {
    let soonest = context.now() + PASS_LOOK_MS;
    let until = (context.came + context.route.aim_ms / 4).max(soonest).min(context.request.ends_at);
    loop {
        let now = context.now();
        if let Some(placement) = context.edge.balancer().choose(now, context.service, &attempts.placement) {
            return Some(placement);
        }
        let may_come = context.edge.balancer().has_candidate(context.service, &attempts.placement.tried);
        if now >= until || reply.is_closed() || !may_come {
            return None;
        }
        context.ground.nap(PASS_LOOK_MS).await;
    }
}
