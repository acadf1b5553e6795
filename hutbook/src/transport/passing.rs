//! Work passed through, from its first byte to its last: one function a request.
//!
//! A plain job is kept once-only by this one edge: its id never comes again and its answer
//! can only go out over the session that asked, so no store has to know of it. A turn needs
//! two agreements: leave before its first byte goes to a server, and its end before its
//! answer is whole.

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
use std::pin::pin;
use std::sync::Arc;
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

/// Headers that concern one session only.
const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// What a request's headers say.
struct Said {
    job: HeaderValue,
    turn: Option<TurnLeave>,
    want: Want,
    ends: u64,
    /// Its program, where it belongs to one.
    program: bool,
    /// Id of the last event that the user agent has.
    last_event: Option<String>,
}

fn text<'a>(h: &'a HeaderMap, name: &str) -> Option<&'a str> {
    h.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

fn number(h: &HeaderMap, name: &str) -> Option<u64> {
    text(h, name).and_then(|v| v.parse().ok())
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

/// It did not run and never will; the user agent is told at once when to come back.
fn refusal(code: &'static str) -> Outgoing {
    own(503, code, Some(PASS_BACK_MS))
}

fn read(a: &Incoming, lex: &Lexicon, w: &Way, e: &Edge, now: u64) -> Option<Said> {
    let h = &a.headers;
    let job = h.get(lex.job)?.clone();
    let id = job.to_str().ok()?.to_string();
    let left = number(h, lex.time_left).unwrap_or(w.timeout_ms).min(w.timeout_ms);
    let parts: Vec<(u64, u32)> = text(h, lex.parts)
        .map(|t| t.split(',').filter_map(|p| p.trim().split_once(':')))
        .map(|ps| ps.filter_map(|(p, n)| Some((hash(p), n.parse().ok()?))).collect())
        .unwrap_or_default();
    let program = text(h, lex.program).map(str::to_string);
    let cap = text(h, lex.tokens).and_then(|t| t.split(',').nth(1)).and_then(|n| n.trim().parse().ok()).unwrap_or(0);
    let budget = number(h, lex.allowance);
    let before = text(h, lex.before).unwrap_or_default().to_string();
    // what neither counts against an allowance nor is kept needs no leave
    let turn = (w.nature == Nature::Stream && (budget.is_some() || w.kept)).then(|| TurnLeave {
        turn: id.clone(),
        program: program.clone().unwrap_or_else(|| id.clone()),
        session: text(h, lex.line).unwrap_or_default().to_string(),
        before: if w.kept { before } else { String::new() },
        budget: budget.unwrap_or(u64::MAX),
        cap,
        edge: e.id,
        run_ms: left,
        retention_ms: if w.kept { w.retention_ms } else { 0 },
        have: vec![],
        account_retention_ms: Some(w.retention_ms),
    });
    let once = w.nature == Nature::OnceOnly || w.nature == Nature::Stream && !w.resumable;
    Some(Said {
        job,
        turn,
        want: Want { parts, once, ..Want::default() },
        ends: now + left,
        program: program.is_some(),
        last_event: text(h, lex.last_event).map(str::to_string),
    })
}

/// The body a server is to get: what was said and answered before, then the new input.
fn whole_talk(chain: &[Link], new: &Bytes) -> Bytes {
    if chain.is_empty() {
        return new.clone();
    }
    let n = chain.iter().map(|l| l.said.len() + l.answer.len()).sum::<usize>() + new.len();
    let mut b = BytesMut::with_capacity(n);
    chain.iter().for_each(|l| {
        b.extend_from_slice(&l.said);
        b.extend_from_slice(&l.answer);
    });
    b.extend_from_slice(new);
    b.freeze()
}

/// Events of one stream: whole ones are passed on, what they hold is counted and gathered.
#[derive(Default)]
struct Events {
    held: BytesMut,
    count: u64,
    last_id: Option<String>,
    /// Data of each event, each with a line feed, where the turn is kept.
    data: Option<Vec<u8>>,
}

impl Events {
    /// Whole events that these bytes complete, as they came.
    fn take(&mut self, b: &[u8]) -> Bytes {
        self.held.extend_from_slice(b);
        let mut at = 0;
        while let Some(n) = end_of_event(&self.held[at..]) {
            let ev = self.held[at..at + n].to_vec();
            self.note(&ev);
            at += n;
        }
        self.held.split_to(at).freeze()
    }

    fn note(&mut self, ev: &[u8]) {
        let mut any = false;
        for l in ev.split(|b| *b == b'\n') {
            let l = l.strip_suffix(b"\r").unwrap_or(l);
            let of = |k: &[u8]| l.strip_prefix(k).map(|v| v.strip_prefix(b" ").unwrap_or(v));
            if let Some(v) = of(b"data:") {
                if let Some(d) = &mut self.data {
                    // lines of one event's data are joined by line feeds
                    d.extend_from_slice(v);
                    d.push(b'\n');
                }
                any = true;
            } else if let Some(v) = of(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(v).into_owned());
            }
        }
        self.count += u64::from(any);
    }
}

/// Length of the first whole event: up to and with its empty line.
fn end_of_event(b: &[u8]) -> Option<usize> {
    let mut i = 0;
    while let Some(n) = b[i..].iter().position(|x| *x == b'\n') {
        i += n + 1;
        match b.get(i) {
            Some(b'\n') => return Some(i + 1),
            Some(b'\r') if b.get(i + 1) == Some(&b'\n') => return Some(i + 2),
            _ => {}
        }
    }
    None
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

/// Passes one request through: way, leave, place, send, answer, end.
pub async fn pass<G: PassGround + Clone + 'static>(g: &G, e: &Arc<Edge>, lex: &Lexicon, a: Incoming, mut to: Reply) {
    let came = g.now();
    let v = e.view();
    // without a licence nothing new goes out; one that is just being renewed is waited for shortly
    while !e.licensed(g.now()) {
        if g.now() > came + PASS_UNLICENSED_MS || to.is_closed() {
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
        match leave(g, t, &to, came + w.timeout_ms.min(PASS_LEAVE_MS)).await {
            Some(StoreResponse::TurnMay { chain, server }) => {
                body = whole_talk(&chain, &a.body);
                s.want.last = server;
            }
            Some(StoreResponse::TurnSpent) => return drop(to.send(own(402, "allowance_spent", None))),
            Some(StoreResponse::TurnUnknown) => return drop(to.send(own(404, "no_such_turn", None))),
            _ => {
                drop(to.send(refusal("store_unreachable")));
                // leave may have been given: it is given back when the store can be reached
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

/// Leave is asked until it is given, refused, or out of time.
async fn leave<G: PassGround>(g: &G, t: &TurnLeave, to: &Reply, until: u64) -> Option<StoreResponse> {
    loop {
        let r = within(g, until, g.store(&t.program, StoreRequest::TurnLeave(t.clone()))).await.flatten();
        match r {
            Some(StoreResponse::TurnMay { .. } | StoreResponse::TurnSpent | StoreResponse::TurnUnknown) => return r,
            _ if g.now() >= until || to.is_closed() => return None,
            _ => g.nap(HUNT_MS).await,
        }
    }
}

/// The end of a turn, agreed; where it ran, and its link if it is kept. True once it stands.
async fn settle<G: PassGround>(
    g: &G,
    e: &Edge,
    s: &Said,
    tokens: u64,
    server: String,
    kept: Option<Link>,
    for_ms: u64,
) -> bool {
    let Some(t) = &s.turn else { return true };
    let ask = StoreRequest::TurnEnd(TurnEnd {
        turn: t.turn.clone(),
        program: t.program.clone(),
        session: t.session.clone(),
        before: t.before.clone(),
        edge: e.id,
        tokens,
        server,
        kept,
        retention_ms: t.retention_ms,
    });
    let until = g.now() + for_ms;
    loop {
        match within(g, until, g.store(&t.program, ask.clone())).await.flatten() {
            Some(StoreResponse::Settled) => return true,
            _ if g.now() >= until => return false,
            _ => g.nap(HUNT_MS).await,
        }
    }
}

/// The end of a turn that isn't kept: nobody waits for it.
async fn end<G: PassGround>(g: &G, e: &Edge, s: &Said, tokens: u64, server: String, kept: Option<Link>) {
    settle(g, e, s, tokens, server, kept, PASS_END_MS).await;
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

#[allow(clippy::too_many_arguments)]
fn sending(a: &Incoming, lex: &Lexicon, s: &Said, at: &Spotted, body: Bytes, from: Option<&str>, now: u64) -> Sending {
    let mut h = HeaderMap::with_capacity(a.headers.len() + 2);
    let named = text(&a.headers, "connection").unwrap_or_default().to_ascii_lowercase();
    for (k, v) in a.headers.iter() {
        let n = k.as_str();
        if !HOP.contains(&n) && !named.split(',').any(|x| x.trim() == n) {
            h.append(k.clone(), v.clone());
        }
    }
    let mut set = |n: &'static str, v: &str| {
        if let Ok(v) = HeaderValue::from_str(v) {
            h.insert(HeaderName::from_static(n), v);
        }
    };
    let left = s.ends.saturating_sub(now).max(1);
    set(lex.time_left, &left.to_string());
    set(lex.server, &at.server);
    if let Some(id) = from.or(s.last_event.as_deref()) {
        set(lex.last_event, id);
    }
    Sending {
        method: a.method.clone(),
        target: a.target.clone(),
        headers: h,
        body,
        job: s.job.clone(),
        job_name: HeaderName::from_static(lex.job),
        wait_ms: left,
        fresh: s.want.once,
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

enum Streamed {
    Over,
    /// It broke before anything had been passed on: the reply, and the server.
    Again(Reply, String),
}

/// Passes a stream on, event by event; where it may be resumed, it goes on at another server.
#[allow(clippy::too_many_arguments)]
async fn stream<G: PassGround + Clone + 'static>(
    g: &G,
    e: &Arc<Edge>,
    lex: &Lexicon,
    a: &Incoming,
    w: &Way,
    s: &Said,
    v: &View,
    at: Spotted,
    ans: G::Answer,
    body: Bytes,
    start: u64,
    came: u64,
    left: &mut u32,
    to: Reply,
) -> Streamed {
    let piece = v.group(&at.group).and_then(|x| x.pass.as_ref()).map_or(1, |p| p.piece_tokens.max(1));
    let kept = s.turn.is_some() && w.kept;
    let mut ev = Events { data: kept.then(Vec::new), ..Events::default() };
    let (mut at, mut ans, mut start) = (at, ans, start);
    let mut been = s.want.been.clone();
    // the head of the first server stays, whoever goes on
    let (status, headers) = (ans.status(), back(ans.headers()));
    let mut reply = Some(to);
    let mut tx: Option<mpsc::Sender<Result<Bytes, ()>>> = None;
    let whole = loop {
        let bite = match &tx {
            Some(t) => match select(pin!(within(g, s.ends, ans.next())), pin!(t.closed())).await {
                Either::Left((b, _)) => b.unwrap_or(Bite::Broken),
                Either::Right(_) => {
                    e.pass().left(g.now(), &at, g.now() - start, Went::Dropped);
                    break false;
                }
            },
            None => within(g, s.ends, ans.next()).await.unwrap_or(Bite::Broken),
        };
        match bite {
            Bite::Bytes(b) => {
                let out = ev.take(&b);
                if out.is_empty() {
                    continue;
                }
                if let Some(r) = reply.take() {
                    timed(e, v, g.now(), s, &at.group, g.now() - came);
                    let (t, rx) = mpsc::channel(PIECES);
                    let head = Outgoing { status, headers: headers.clone(), body: OutBody::Events(rx), own_code: None };
                    // a user agent that has gone is seen by the channel
                    let _ = r.send(head);
                    tx = Some(t);
                }
                if let Some(t) = &tx {
                    let _ = t.send(Ok(out)).await;
                }
            }
            // bytes after the last whole event are a stream that broke off
            Bite::End if ev.held.is_empty() && ev.count > 0 => {
                e.pass().left(g.now(), &at, g.now() - start, Went::Well);
                break true;
            }
            _ => {
                e.pass().left(g.now(), &at, g.now() - start, Went::Badly);
                ev.held.clear();
                let server = at.server.clone();
                if let Some(r) = reply.take() {
                    return Streamed::Again(r, server);
                }
                been.push(server);
                match resume(g, e, lex, a, w, s, &at.group, &body, &ev, &mut been, left).await {
                    Some((p, x)) => (at, ans, start) = (p, x, g.now()),
                    None => break false,
                }
            }
        }
    };
    let tokens = ev.count * piece;
    if kept && whole {
        let t = s.turn.as_ref().expect("a kept turn has its leave");
        let (said, answer) = (a.body.to_vec(), ev.data.take().unwrap_or_default());
        let link = Link { turn: t.turn.clone(), said, answer, stored: None };
        // its end is agreed before the answer is whole; unsure, it must not look complete
        if !settle(g, e, s, tokens, at.server, Some(link), PASS_KEPT_MS).await {
            if let Some(t) = &tx {
                let _ = t.send(Err(())).await;
            }
        }
        return Streamed::Over;
    }
    if let (false, Some(t)) = (whole, &tx) {
        let _ = t.send(Err(())).await;
    }
    drop(tx);
    end(g, e, s, tokens, at.server, None).await;
    Streamed::Over
}

/// Takes a stream up at another server, after the last event that was passed on.
#[allow(clippy::too_many_arguments)]
async fn resume<G: PassGround + Clone + 'static>(
    g: &G,
    e: &Arc<Edge>,
    lex: &Lexicon,
    a: &Incoming,
    w: &Way,
    s: &Said,
    group: &str,
    body: &Bytes,
    ev: &Events,
    been: &mut Vec<String>,
    left: &mut u32,
) -> Option<(Spotted, G::Answer)> {
    let id = ev.last_id.clone()?;
    while w.resumable && *left > 0 && g.now() < s.ends {
        *left -= 1;
        let want = Want { been: been.clone(), ..s.want.clone() };
        let p = e.pass().place(g.now(), group, &want)?;
        let start = g.now();
        let req = sending(a, lex, s, &p, body.clone(), Some(&id), start);
        match judge(offer(g, e, &p, req).await, lex) {
            Went1::Answer(x) if x.status().is_success() => return Some((p, x)),
            Went1::NotRun(how) => e.pass().left(g.now(), &p, g.now() - start, how),
            _ => e.pass().left(g.now(), &p, g.now() - start, Went::Badly),
        }
        been.push(p.server);
    }
    None
}
