//! Attempts at servers until one answers: choose a server, send, classify the result.

use super::context::{within, Context};
use super::{BodyRead, NoAnswer, ProxyEnvironment, Reply, ServerResponse};
use crate::constants::*;
use crate::coordination::balancer::{Outcome, Placement, PlacementRequest};
use crate::state::config::RetrySemantics;
use crate::transport::dispatch::Gate;
use crate::transport::header_names::HeaderNames;
use actix_http::StatusCode;
use futures_util::future::{select, Either};
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use std::future::Future;
use std::pin::{pin, Pin};

/// Why no server's answer can be returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No server had capacity in time.
    NoCapacity,
    /// Every server that it was sent to rejected it.
    ServersFull,
    NoAnswer,
    ClientDisconnected,
}

impl Failure {
    /// Code reported to clients and counters.
    pub(super) fn code(self) -> &'static str {
        match self {
            Failure::NoCapacity => "no_place",
            Failure::ServersFull => "servers_full",
            Failure::NoAnswer => "no_answer",
            Failure::ClientDisconnected => "gone",
        }
    }
}

/// The attempts of one request.
pub(super) struct Attempts {
    pub(super) placement: PlacementRequest,
    /// Number of servers that it may still be sent to.
    pub(super) remaining: u32,
    /// Whether some server may have run it.
    pub(super) may_have_run: bool,
    /// Number of sends that wrote nothing; they don't count as attempts.
    unsent: u32,
}

impl Attempts {
    pub(super) fn new<G>(context: &Context<'_, G>) -> Attempts {
        let last_server = context.last_server.clone();
        let placement = PlacementRequest { last_server, ..context.request.placement.clone() };
        Attempts { placement, remaining: context.route.max_attempts.max(1), may_have_run: false, unsent: 0 }
    }

    /// Gives back an attempt that wrote nothing to the chosen server; bounded, so that this can't go on forever.
    fn refund_unsent(&mut self) {
        self.unsent += 1;
        if self.unsent < MAX_UNSENT_TRIES {
            self.remaining += 1;
        }
    }

    /// Returns whether it may go to another server, given that it has not run.
    fn may_continue<G: ProxyEnvironment>(&self, context: &Context<'_, G>) -> bool {
        self.remaining > 0 && context.now() < context.request.ends_at
    }

    /// Returns whether it may go to another server, given that it may have run.
    pub(super) fn may_repeat<G: ProxyEnvironment>(&self, context: &Context<'_, G>) -> bool {
        !self.placement.at_most_once && self.may_continue(context)
    }
}

/// The result of one send.
pub(super) enum SendResult<A> {
    /// An answer to be returned as it is.
    Answer(A),
    /// It was not run; `Outcome::Failed` means that nothing was sent.
    NotRun(Outcome),
    MayHaveRun,
}

pub(super) fn classify<A: ServerResponse>(result: Result<A, NoAnswer>, names: &HeaderNames) -> SendResult<A> {
    let answer = match result {
        Err(NoAnswer { sent: false }) => return SendResult::NotRun(Outcome::Failed),
        Err(NoAnswer { sent: true }) => return SendResult::MayHaveRun,
        Ok(answer) => answer,
    };
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return SendResult::NotRun(Outcome::WrongServer);
    }
    if answer.headers().contains_key(names.not_run) {
        return SendResult::NotRun(Outcome::TurnedAway);
    }
    // a success without the seal header did not come from one of our servers
    if answer.status().is_success() && !answer.headers().contains_key(names.seal) {
        return SendResult::MayHaveRun;
    }
    SendResult::Answer(answer)
}

/// A server's answer that has begun.
pub(super) struct Opened<A> {
    pub(super) placement: Placement,
    pub(super) sent_at: u64,
    pub(super) answer: A,
    /// The first read of a stream's body; None for an answer that isn't a stream.
    pub(super) first_read: Option<BodyRead>,
}

/// A send that has completed, with or without an answer.
struct JobResult<A> {
    placement: Placement,
    sent_at: u64,
    result: Result<(A, Option<BodyRead>), NoAnswer>,
}

type Send<'a, A> = Pin<Box<dyn Future<Output = JobResult<A>> + 'a>>;

/// The next event among the pending sends of one request.
enum Event<A> {
    Ended(JobResult<A>),
    HedgeDue,
    ClientDisconnected,
}

/// The pending sends of one request: one, or two after a hedge, when the first takes longer than comparable sends.
struct Race<'a, G: ProxyEnvironment> {
    context: &'a Context<'a, G>,
    sends: FuturesUnordered<Send<'a, G::Response>>,
    pending: Vec<(Placement, u64)>,
    /// When a second send is due, in milliseconds.
    hedge_at: Option<u64>,
}

impl<'a, G: ProxyEnvironment + Clone + 'static> Race<'a, G> {
    fn new(context: &'a Context<'a, G>) -> Race<'a, G> {
        Race { context, sends: FuturesUnordered::new(), pending: vec![], hedge_at: None }
    }

    fn start(&mut self, attempts: &mut Attempts, placement: Placement) {
        let sent_at = self.context.now();
        attempts.remaining -= 1;
        attempts.placement.tried_servers.push(placement.server.clone());
        let after = self.context.edge.balancer().hedge_after(&placement);
        let may_hedge = self.pending.is_empty() && attempts.remaining > 0 && !attempts.placement.at_most_once;
        self.hedge_at = after.filter(|_| may_hedge).map(|ms| sent_at + ms);
        self.pending.push((placement.clone(), sent_at));
        let context = self.context;
        self.sends.push(Box::pin(async move {
            let result = open(context, &placement, sent_at, None).await;
            JobResult { placement, sent_at, result }
        }));
    }

    /// Waits for the next event. A once-only request that may have run is completed even if its client disconnects.
    async fn next(&mut self, reply: &mut Reply) -> Event<G::Response> {
        let runs_to_completion = self.context.request.placement.at_most_once && self.context.request.turn.is_none();
        let now = self.context.now();
        let hedge_at = self.hedge_at;
        let environment = self.context.environment;
        let due = async move {
            match hedge_at {
                Some(at) => environment.sleep(at.saturating_sub(now)).await,
                None => std::future::pending().await,
            }
        };
        let disconnected = async move {
            match runs_to_completion {
                true => std::future::pending().await,
                false => reply.closed().await,
            }
        };
        let (disconnected, due, ended) = (pin!(disconnected), pin!(due), pin!(self.sends.next()));
        let event = match select(ended, select(disconnected, due)).await {
            Either::Left((Some(ended), _)) => Event::Ended(ended),
            Either::Left((None, _)) | Either::Right((Either::Left(_), _)) => Event::ClientDisconnected,
            Either::Right((Either::Right(_), _)) => Event::HedgeDue,
        };
        event
    }

    /// Sends the request to a second server as well, if there is one and the hedge budget allows.
    fn hedge(&mut self, attempts: &mut Attempts) {
        self.hedge_at = None;
        let (now, service) = (self.context.now(), self.context.service);
        let mut balancer = self.context.edge.balancer();
        if !balancer.has_candidate(service, &attempts.placement.tried_servers) || !balancer.take_hedge(service) {
            return;
        }
        let chosen = balancer.choose(now, service, &attempts.placement);
        drop(balancer);
        if let Some(placement) = chosen {
            self.start(attempts, placement);
        }
    }

    fn forget(&mut self, placement: &Placement) {
        self.pending.retain(|(other, _)| other != placement);
    }

    /// Cancels the pending sends. A send that began before the one that was answered has been overtaken by it.
    fn cancel(&mut self, answered_sent_at: Option<u64>) {
        for (placement, sent_at) in self.pending.drain(..) {
            let is_overtaken = answered_sent_at.is_some_and(|answered| sent_at < answered);
            let outcome = if is_overtaken { Outcome::Overtaken } else { Outcome::Cancelled };
            self.context.finish(&placement, sent_at, outcome);
        }
    }
}

/// Tries servers until one answers.
pub(super) async fn first_answer<G: ProxyEnvironment + Clone + 'static>(
    context: &Context<'_, G>,
    attempts: &mut Attempts,
    reply: &mut Reply,
) -> Result<Opened<G::Response>, Failure> {
    let mut race = Race::new(context);
    loop {
        if race.pending.is_empty() {
            let Some(placement) = wait_for_server(context, attempts, reply).await else {
                return Err(if reply.is_closed() { Failure::ClientDisconnected } else { Failure::NoCapacity });
            };
            race.start(attempts, placement);
        }
        let ended = match race.next(reply).await {
            Event::Ended(ended) => ended,
            Event::HedgeDue => {
                race.hedge(attempts);
                continue;
            }
            Event::ClientDisconnected => {
                race.cancel(None);
                return Err(Failure::ClientDisconnected);
            }
        };
        let JobResult { placement, sent_at, result } = ended;
        race.forget(&placement);
        let (first_read, head) = match result {
            Ok((answer, first_read)) => (first_read, Ok(answer)),
            Err(no_answer) => (None, Err(no_answer)),
        };
        match classify(head, context.names) {
            SendResult::Answer(answer) => {
                race.cancel(Some(sent_at));
                return Ok(Opened { placement, sent_at, answer, first_read });
            }
            SendResult::NotRun(outcome) => {
                context.finish(&placement, sent_at, outcome);
                if outcome == Outcome::Failed {
                    attempts.refund_unsent();
                }
                if race.pending.is_empty() && !attempts.may_continue(context) {
                    return Err(Failure::ServersFull);
                }
            }
            SendResult::MayHaveRun => {
                context.finish(&placement, sent_at, Outcome::Failed);
                attempts.may_have_run = true;
                if race.pending.is_empty() && !attempts.may_repeat(context) {
                    return Err(Failure::NoAnswer);
                }
            }
        }
    }
}

/// Sends a request to its server, if it may still be dispatched there when its bytes are written, and waits for the
/// answer's head and the first bytes of a stream.
pub(super) async fn open<G: ProxyEnvironment + Clone + 'static>(
    context: &Context<'_, G>,
    placement: &Placement,
    sent_at: u64,
    resume_from: Option<&str>,
) -> Result<(G::Response, Option<BodyRead>), NoAnswer> {
    let request = context.request.server_request(context, placement, resume_from);
    let (edge, environment, to) = (context.edge.clone(), context.environment.clone(), placement.clone());
    let gate: Gate = Box::new(move || edge.may_proxy(environment.now(), &to.service, &to.server));
    let mut answer = context.environment.send(placement, request, gate).await?;
    if !answer.status().is_success() {
        return Ok((answer, None));
    }
    let mut first_read = None;
    if context.route.retry_semantics == RetrySemantics::Stream {
        let body_read = within(context.environment, context.request.ends_at, answer.next()).await;
        first_read = Some(body_read.unwrap_or(BodyRead::Broken));
    }
    if matches!(first_read, None | Some(BodyRead::Bytes(_))) {
        let now = context.now();
        context.edge.balancer().note_first_byte(placement, now - sent_at);
        context.record.note_first_byte(now - context.arrived_at);
    }
    Ok((answer, first_read))
}

/// Waits briefly for a server. A longer wait would only hold a client that could be told to retry.
async fn wait_for_server<G: ProxyEnvironment>(
    context: &Context<'_, G>,
    attempts: &Attempts,
    reply: &Reply,
) -> Option<Placement> {
    let earliest_deadline = context.now() + PLACEMENT_POLL_MS;
    let deadline =
        (context.arrived_at + context.route.target_latency_ms / 4).max(earliest_deadline).min(context.request.ends_at);
    loop {
        let now = context.now();
        if let Some(placement) = context.edge.balancer().choose(now, context.service, &attempts.placement) {
            return Some(placement);
        }
        let may_free_up = context.edge.balancer().has_candidate(context.service, &attempts.placement.tried_servers);
        if now >= deadline || reply.is_closed() || !may_free_up {
            return None;
        }
        context.environment.sleep(PLACEMENT_POLL_MS).await;
    }
}
