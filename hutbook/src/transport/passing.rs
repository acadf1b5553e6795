//! Work passed through, from its first byte to its last: one function a request.
//!
//! A plain job is kept once-only by this one edge: its id never comes again and its answer
//! can only go out over the session that asked, so no store has to know of it. A turn needs
//! two agreements: leave before its first byte goes to a server, and its end before its
//! answer is whole.

mod request;
mod reservation;
mod stream;

use super::dispatch::{Gate, NoAnswer};
use super::lexicon::Lexicon;
use super::serve::Ground;
use super::sessions::{Bite, Sending};
use crate::constants::*;
use crate::coordination::control::OUTSIDE;
use crate::coordination::edge::Edge;
use crate::coordination::pass::{Pass, Spotted, Want, Went};
use crate::coordination::store::{Link, StoreRequest, StoreResponse, TurnEnd, TurnLeave};
use crate::coordination::view::{hash, View};
use crate::state::config::{Nature, Way};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::future::{select, Either};
use request::{read, sending, text, whole_talk, Said, HOP};
use reservation::{end, reserve, settle, Reservation};
use std::pin::pin;
use std::sync::Arc;
use stream::{stream, Streamed};
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

/// What lies outside the request function, beside its `Ground`.
#[allow(async_fn_in_trait)]
pub trait PassGround: Ground {
    type Answer: PassAnswer;
    async fn send(&self, to: &Spotted, s: Sending, gate: Gate) -> Result<Self::Answer, NoAnswer>;
}

#[allow(async_fn_in_trait)]
pub trait PassAnswer {
    fn status(&self) -> StatusCode;
    fn headers(&self) -> &HeaderMap;
    async fn next(&mut self) -> Bite;
}

/// A final answer of our own.
fn own(status: u16, code: &'static str, back_ms: Option<u64>) -> Outgoing {
    let j = jzon::object! { error: code };
    let mut headers = vec![(actix_http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"))];
    if let Some(ms) = back_ms {
        let v = HeaderValue::from_str(&format!("{:.2}", ms as f64 / 1_000.0));
        headers.extend(v.ok().map(|v| (actix_http::header::RETRY_AFTER, v)));
    }
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Outgoing { status, headers, body: OutBody::Whole(Bytes::from(j.dump())), own_code: Some(code) }
}

/// It did not run and never will; its client is told at once when to come back.
fn refusal(code: &'static str) -> Outgoing {
    refusal_until(code, PASS_BACK_MS)
}

fn refusal_until(code: &'static str, retry_after_ms: u64) -> Outgoing {
    own(503, code, Some(retry_after_ms))
}

/// What became of one sending.
enum Went1<A> {
    /// An answer to be given as it is.
    Answer(A),
    NotRun(Went),
    /// It may have run.
    Failed,
}

fn judge<A: PassAnswer>(r: Result<A, NoAnswer>, lex: &Lexicon) -> Went1<A> {
    match r {
        Err(NoAnswer { sent: false }) => Went1::NotRun(Went::Badly),
        Err(_) => Went1::Failed,
        Ok(a) if a.status() == StatusCode::MISDIRECTED_REQUEST => Went1::NotRun(Went::Elsewhere),
        Ok(a) if a.headers().contains_key(lex.not_run) => Went1::NotRun(Went::TurnedAway),
        // a success without its seal is no server's
        Ok(a) if a.status().is_success() && !a.headers().contains_key(lex.seal) => Went1::Failed,
        Ok(a) => Went1::Answer(a),
    }
}

/// ms. The aim of a request's route, as far as this edge knows its routes.
fn aim_of(e: &Edge, v: &View, a: &Incoming) -> Option<u64> {
    let name = e.pass().way(&a.host, a.target.path()).map(str::to_string)?;
    Some(v.config.as_ref()?.ways.get(&name)?.aim_ms)
}

/// Passes one request through: way, leave, place, send, answer, end.
pub async fn pass<G: PassGround + Clone + 'static>(g: &G, e: &Arc<Edge>, lex: &Lexicon, a: Incoming, mut to: Reply) {
    let came = g.now();
    let v = e.view();
    // without a lease nothing new goes out; one that is just being renewed is waited for shortly
    let lease_ms = aim_of(e, &v, &a).map_or(PASS_UNLICENSED_MS, |aim| PASS_UNLICENSED_MS.min(aim / LEASE_PART));
    while !e.licensed(g.now()) {
        if g.now() >= came + lease_ms || to.is_closed() {
            return drop(to.send(refusal("no_licence")));
        }
        g.nap(PASS_LOOK_MS).await;
    }
    let found = e.pass().way(&a.host, a.target.path()).map(str::to_string);
    let Some((name, w)) = found.and_then(|n| Some((n.clone(), v.config.as_ref()?.ways.get(&n)?.clone()))) else {
        let known = v.config.is_some();
        return drop(to.send(if known { own(404, "no_way", None) } else { refusal("no_config") }));
    };
    let Some(mut s) = read(&a, lex, &w, e, came) else {
        return drop(to.send(own(400, "no_job", None)));
    };
    let Some(group) = Pass::target(&w, g.draw()).map(str::to_string) else {
        return drop(to.send(refusal("no_group")));
    };
    let mut body = a.body.clone();
    if let Some(t) = &s.turn {
        match reserve(g, e, t, w.aim_ms, came).await {
            Reservation::Made { chain, server } => {
                body = whole_talk(&chain, &a.body);
                s.want.last = server;
            }
            Reservation::BudgetSpent => return drop(to.send(own(402, "allowance_spent", None))),
            Reservation::TurnUnknown => return drop(to.send(own(404, "no_such_turn", None))),
            // nothing stands at the store: there is nothing to settle
            Reservation::Refused { retry_after_ms } => {
                return drop(to.send(refusal_until("store_full", retry_after_ms)))
            }
            Reservation::Unclear { retry_after_ms } => {
                drop(to.send(refusal_until("store_unreachable", retry_after_ms)));
                // it may stand: it is given back when the store can be reached
                return end(g, e, &s, 0, String::new(), None).await;
            }
        }
    }
    let mut left = w.tries.max(1);
    let sent_any = std::cell::Cell::new(false);
    let why = loop {
        let Some(at) = place(g, e, &group, &w, &s, &to, came).await else {
            break if to.is_closed() { None } else { Some("no_place") };
        };
        left -= 1;
        let start = g.now();
        let req = sending(&a, lex, &s, &at, body.clone(), None, start);
        // once it may have run, a once-only job is seen through whoever still listens
        let got = {
            let sent = pin!(offer(g, e, &at, req));
            match select(sent, pin!(to.closed())).await {
                Either::Left((r, _)) => Some(r),
                Either::Right((_, sent)) if s.want.once && s.turn.is_none() => Some(sent.await),
                Either::Right(_) => None,
            }
        };
        let Some(got) = got else {
            e.pass().left(g.now(), &at, g.now() - start, Went::Dropped);
            break None;
        };
        let mut ans = match judge(got, lex) {
            Went1::Answer(x) => x,
            Went1::NotRun(how) => {
                e.pass().left(g.now(), &at, g.now() - start, how);
                s.want.been.push(at.server);
                if left > 0 && g.now() < s.ends {
                    continue;
                }
                break Some("servers_full");
            }
            Went1::Failed => {
                e.pass().left(g.now(), &at, g.now() - start, Went::Badly);
                s.want.been.push(at.server);
                sent_any.set(true);
                if !s.want.once && left > 0 && g.now() < s.ends {
                    continue;
                }
                break Some("no_answer");
            }
        };
        said(e, g.now(), lex, &at, ans.headers());
        let events = w.nature == Nature::Stream && ans.status().is_success();
        if !events {
            let whole = whole(&mut ans, s.ends, g).await;
            let fine = whole.is_some() && !ans.status().is_server_error();
            e.pass().left(g.now(), &at, g.now() - start, if fine { Went::Well } else { Went::Badly });
            sent_any.set(true);
            if !fine && !s.want.once && left > 0 && g.now() < s.ends {
                s.want.been.push(at.server);
                continue;
            }
            timed(e, &v, g.now(), &s, &group, g.now() - came);
            let out = match whole {
                Some(b) => {
                    let headers = back(ans.headers());
                    Outgoing { status: ans.status(), headers, body: OutBody::Whole(b), own_code: None }
                }
                None => own(502, "answer_broke_off", None),
            };
            let _ = to.send(out);
            return end(g, e, &s, 0, at.server, None).await;
        }
        match stream(g, e, lex, &a, &w, &s, &v, at, ans, body.clone(), start, came, &mut left, to).await {
            Streamed::Over => return,
            Streamed::Again(t, server) => {
                sent_any.set(true);
                s.want.been.push(server);
                to = t;
                if !s.want.once && left > 0 && g.now() < s.ends {
                    continue;
                }
                break Some("no_answer");
            }
        }
    };
    log::debug!("{name}: unserved after {:?}: {}", s.want.been, why.unwrap_or("the client has gone"));
    let out = match why {
        // what may have run can't be promised not to have
        Some(c) if sent_any.get() && s.want.once => own(502, c, None),
        Some(c) => refusal(c),
        None => refusal("gone"),
    };
    let _ = to.send(out);
    end(g, e, &s, 0, String::new(), None).await
}

/// Sends a request to its place, if it may still go there as its bytes go out.
async fn offer<G: PassGround + Clone + 'static>(
    g: &G,
    e: &Arc<Edge>,
    at: &Spotted,
    request: Sending,
) -> Result<G::Answer, NoAnswer> {
    let (edge, ground, place) = (e.clone(), g.clone(), at.clone());
    let gate: Gate = Box::new(move || edge.may_pass(ground.now(), &place.group, &place.server));
    g.send(at, request, gate).await
}

/// A place, waited for shortly: longer would only hold what could be told to come back.
async fn place<G: PassGround>(
    g: &G,
    e: &Edge,
    group: &str,
    w: &Way,
    s: &Said,
    to: &Reply,
    came: u64,
) -> Option<Spotted> {
    let until = (came + w.aim_ms / 4).max(g.now() + PASS_LOOK_MS).min(s.ends);
    loop {
        let now = g.now();
        if let Some(p) = e.pass().place(now, group, &s.want) {
            return Some(p);
        }
        if now >= until || to.is_closed() || !e.pass().any(group, &s.want.been) {
            return None;
        }
        g.nap(PASS_LOOK_MS).await;
    }
}

/// Headers of a server's answer that go on to the user agent.
fn back(h: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let ok = |n: &str| !HOP.contains(&n) && n != "date";
    h.iter().filter(|(k, _)| ok(k.as_str())).map(|(k, v)| (k.clone(), v.clone())).collect()
}

fn said(e: &Edge, now: u64, lex: &Lexicon, at: &Spotted, h: &HeaderMap) {
    let Some(t) = text(h, lex.pressure) else { return };
    let mut n = t.split(',').filter_map(|x| x.trim().parse::<u32>().ok());
    if let (Some(r), Some(w)) = (n.next(), n.next()) {
        e.pass().said(now, at, r, w);
    }
}

fn timed(e: &Edge, v: &View, now: u64, s: &Said, group: &str, took: u64) {
    // a program's tools are called by its model
    let model = |(n, g): (&String, &crate::state::config::Group)| {
        g.pass.as_ref().is_some_and(|p| p.batch > 0).then(|| n.clone())
    };
    let caller = match (&s.turn, s.program) {
        (None, true) => v.config.as_ref().and_then(|c| c.groups.iter().find_map(model)),
        _ => None,
    };
    e.timed(now, caller.as_deref().unwrap_or(OUTSIDE), group, took);
}

async fn whole<G: PassGround, A: PassAnswer>(a: &mut A, ends: u64, g: &G) -> Option<Bytes> {
    let mut out = BytesMut::new();
    loop {
        match within(g, ends, a.next()).await? {
            Bite::Bytes(b) if out.len() + b.len() > FRAME_BYTES => return None,
            Bite::Bytes(b) => out.extend_from_slice(&b),
            Bite::End => return Some(out.freeze()),
            Bite::Broken => return None,
        }
    }
}

/// None when its time was over first.
async fn within<G: PassGround, T>(g: &G, ends: u64, f: impl std::future::Future<Output = T>) -> Option<T> {
    let left = ends.saturating_sub(g.now());
    match select(pin!(f), pin!(g.nap(left))).await {
        Either::Left((t, _)) => Some(t),
        Either::Right(_) => None,
    }
}
