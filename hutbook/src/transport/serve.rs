//! A caller's turn and a caller's tool call, each one function from top to bottom.
//!
//! What lies outside (time, the store, back ends) is a `Ground`, so that the very
//! same functions run in the daemons and in the in-memory fleet.

use super::dispatch::{Gate, NoAnswer};
use crate::constants::*;
use crate::coordination::control::OUTSIDE;
use crate::coordination::edge::{Edge, Seat};
use crate::coordination::line::{Left, Look, Refusal, Wait};
use crate::coordination::store::{Ended, Intent, Program, StoreRequest, StoreResponse, Turn, Verdict};
use crate::coordination::view::hash;
use crate::state::config::Route;
use std::cell::RefCell;
use std::sync::Arc;
use tokio::sync::mpsc;

pub struct ModelCall {
    pub gate: Gate,
    /// Config revision this is dispatched under.
    pub rev: u64,
    pub addr: String,
    pub path: String,
    pub program: String,
    pub key: String,
    /// (role, text), oldest first.
    pub talk: Vec<(&'static str, String)>,
    pub prefix: String,
    pub cap: u64,
    pub run_ms: u64,
}

pub struct ToolCall {
    pub gate: Gate,
    /// Config revision this is dispatched under.
    pub rev: u64,
    pub addr: String,
    pub path: String,
    pub key: String,
    pub body: String,
    pub run_ms: u64,
}

#[derive(Debug)]
pub enum Bit {
    /// A piece, and the answer's tokens so far where the back end says them as it goes.
    Text(String, Option<u64>),
    /// Tokens, as the back end counts them, at the end of a whole stream.
    End(Option<u64>),
    Broken,
}

#[allow(async_fn_in_trait)]
pub trait Ground {
    type Stream: Stream;
    fn now(&self) -> u64;
    fn draw(&self) -> u64;
    async fn nap(&self, ms: u64);
    /// None when the store could not be reached, or its answer didn't come.
    async fn store(&self, program: &str, ask: StoreRequest) -> Option<StoreResponse>;
    async fn model(&self, c: ModelCall) -> Result<Result<Self::Stream, u16>, NoAnswer>;
    async fn tool(&self, c: ToolCall) -> Result<(u16, String), NoAnswer>;
    /// Asks a back end for its load and since when its process runs; None when nothing comes.
    async fn look(&self, addr: &str) -> Option<Look>;
    /// Asks a back end what became of a key: None when it doesn't know or say.
    async fn lookup(&self, addr: &str, key: &str) -> Option<(u16, String)>;
}

#[allow(async_fn_in_trait)]
pub trait Stream {
    async fn next(&mut self) -> Bit;
}

/// Looks at the back ends this edge may use, for ever.
pub async fn look_around<G: Ground>(g: &G, e: &Edge) {
    loop {
        let all = e.due(g.now()).into_iter().map(|(group, server, addr)| async move {
            let saw = g.look(&addr).await;
            e.looked(g.now(), &group, &server, &addr, saw);
            // what was closed to new work may be open now
            e.pump(g.now(), &group);
        });
        futures_util::future::join_all(all).await;
        g.nap(LOOK_SOON_MS).await;
    }
}

/// One job as a caller asked for it.
#[derive(Clone, Debug)]
pub struct Job {
    pub program: String,
    pub key: String,
    pub digest: u64,
    pub name: String,
    pub route: Route,
    pub body: String,
    /// For turns: what is shared by many programs, and the most tokens wanted.
    pub prefix: String,
    pub cap: u64,
    /// The making of its program that the caller means; 0 where it doesn't say.
    pub since: u64,
}

/// What the caller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Ended(Ended),
    Running,
    Unavailable(&'static str),
    NoProgram,
    /// The program has been made anew since: nothing is known of the key, and it is not run.
    MadeAnew,
    OtherBody,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Piece { run: u32, seq: u64, text: String },
    Told(Told),
}

fn ended(v: Verdict, code: &str, body: String, tokens: u64) -> Ended {
    Ended { verdict: v, code: code.into(), body, tokens }
}

/// Is this key known already, and does its program stand? Else the verdict.
async fn look<G: Ground>(g: &G, j: &Job) -> Result<(Program, u64), Told> {
    let ask = StoreRequest::Look { program: j.program.clone(), key: j.key.clone(), digest: j.digest };
    match g.store(&j.program, ask).await {
        // its key may have been forgotten with the program it belonged to
        Some(StoreResponse::Unknown(p, _)) if j.since != 0 && p.since != j.since => Err(Told::MadeAnew),
        // time left is the program's, counted from the store's clock
        Some(StoreResponse::Unknown(p, c)) => {
            let ends = g.now() + p.ends.saturating_sub(c);
            Ok((p, ends))
        }
        Some(t) => Err(known(t)),
        None => Err(Told::Unavailable("store_unreachable")),
    }
}

fn known(t: StoreResponse) -> Told {
    match t {
        StoreResponse::Ended(e) => Told::Ended(e),
        StoreResponse::Running => Told::Running,
        StoreResponse::OtherBody => Told::OtherBody,
        StoreResponse::NoProgram => Told::NoProgram,
        _ => Told::Unavailable("store_busy"),
    }
}

/// A refusal is told only once its tombstone is agreed: it did not run and never will.
async fn refuse<G: Ground>(g: &G, j: &Job, code: &str) -> Told {
    let ask = StoreRequest::Refuse {
        program: j.program.clone(),
        key: j.key.clone(),
        digest: j.digest,
        route: j.name.clone(),
        code: code.into(),
        retention_ms: j.route.retention_ms,
    };
    match g.store(&j.program, ask).await {
        Some(t) => known(t),
        None => Told::Unavailable("store_unreachable"),
    }
}

async fn seat<G: Ground>(g: &G, e: &Edge, j: &Job, ends: u64, avoid: Option<String>) -> Result<Seat, Refusal> {
    // turns follow their prefix's cache, or else their program's
    let by = if j.prefix.is_empty() { &j.program } else { &j.prefix };
    let w = Wait { work: j.route.work.clone(), since: g.now(), ends, affinity: hash(by), avoid, tell: () };
    e.join(g.now(), &j.route.group, w).await.unwrap_or(Err(Refusal::Overloaded))
}

/// Where one job's verdict goes. It is told once; then the caller is let go.
pub struct Ear(RefCell<Option<mpsc::Sender<Heard>>>);

impl Ear {
    pub fn new(to: mpsc::Sender<Heard>) -> Ear {
        Ear(RefCell::new(Some(to)))
    }

    async fn tell(&self, t: Told) {
        let to = self.0.borrow_mut().take();
        if let Some(to) = to {
            // a caller that has gone can ask by its key
            let _ = to.send(Heard::Told(t)).await;
        }
    }

    /// Ends when the caller has gone without a verdict.
    async fn left(&self) {
        match self.pieces() {
            Some(to) => to.closed().await,
            None => std::future::pending().await,
        }
    }

    /// The way for pieces, while no verdict has been told.
    fn pieces(&self) -> Option<mpsc::Sender<Heard>> {
        self.0.borrow().clone()
    }
}

/// One request's intents at this edge, one attempt after the other.
struct Run {
    nonce: u64,
    /// Of the intent that stands, or is next.
    attempt: u32,
    /// Attempts that went out, or may have.
    sent: u32,
    /// The attempt before this one was never sent.
    unsent: bool,
    ends: u64,
    /// The program as it was looked up.
    since: u64,
    /// ms, this edge's clock. When the intent that stands was asked for; none has been yet at first.
    intended_at: Option<u64>,
}

impl Run {
    fn new<G: Ground>(g: &G, p: &Program, ends: u64) -> Run {
        Run { nonce: g.draw(), attempt: 0, sent: 0, unsent: false, ends, since: p.since, intended_at: None }
    }

    /// ms, this edge's clock. The longest that the next attempt may wait for a place.
    ///
    /// The store ends an intent in doubt once `DISPATCH_MS` and the run's time have passed since it was agreed,
    /// which was after it was asked for. The wait ends before that, with time left to record the true end.
    fn wait_ends(&self, run_ms: u64) -> u64 {
        let Some(intended_at) = self.intended_at else { return self.ends };
        let to_record = if self.unsent { DISPATCH_MS } else { SETTLE_MS };
        self.ends.min(intended_at + DISPATCH_MS + run_ms - to_record)
    }

    /// May a job that went out be tried again, elsewhere?
    fn again(&mut self, e: &Edge, j: &Job, now: u64) -> bool {
        let ok = !j.route.once_only && self.sent < ATTEMPTS && now + SETTLE_MS < self.ends && e.may_retry();
        self.next(ok, false)
    }

    /// May one that certainly never went out be placed anew? Nothing is repeated by that.
    fn anew(&mut self, now: u64) -> bool {
        let ok = self.attempt - self.sent < UNSENT_TRIES && now + SETTLE_MS < self.ends;
        self.next(ok, true)
    }

    fn next(&mut self, ok: bool, unsent: bool) -> bool {
        if ok {
            (self.attempt, self.unsent) = (self.attempt + 1, unsent);
        }
        ok
    }

    /// The end of a job that found no server any more. Only one that never went out was refused.
    fn unserved(&self, code: &str) -> Ended {
        ended(if self.sent > 0 { Verdict::Failed } else { Verdict::Refused }, code, String::new(), 0)
    }
}

/// A job placed, its intent agreed, its gate open.
struct Go {
    seat: Seat,
    history: Vec<Turn>,
    rev: u64,
    gate: Gate,
    run_ms: u64,
}

/// Waits for a place, says the intent, and looks once more; else the verdict.
async fn set_out<G: Ground + Clone + 'static>(
    g: &G,
    e: &Arc<Edge>,
    j: &Job,
    r: &mut Run,
    avoid: Option<String>,
    ear: &Ear,
) -> Result<Go, Told> {
    let mut avoid = avoid;
    loop {
        // a turn that waits for a caller who has gone would be run for nobody and told as failed to the
        // same caller when it asks elsewhere: nothing is decided of it. Only turns: tool work goes on alone
        let leaves = j.cap > 0 && r.attempt == 0;
        let seat = tokio::select! {
            biased;
            _ = ear.left(), if leaves => return Err(Told::Unavailable("caller_gone")),
            s = seat(g, e, j, r.wait_ends(j.route.run_ms), avoid.take()) => s,
        };
        let seat = match seat {
            Ok(s) => s,
            Err(_) if r.attempt > 0 => {
                // the intent that stands is the attempt before
                r.attempt -= 1;
                return Err(settle(g, e, j, r, r.unserved("no_server_left"), None, ear).await);
            }
            Err(why) => return Err(refuse(g, j, why.code()).await),
        };
        let asked = g.now();
        let i = Intent {
            program: j.program.clone(),
            key: j.key.clone(),
            digest: j.digest,
            route: j.name.clone(),
            once_only: j.route.once_only,
            edge: e.id,
            attempt: r.attempt,
            server: seat.placed.server.clone(),
            cap: j.cap,
            run_ms: j.route.run_ms,
            retention_ms: j.route.retention_ms,
            // only turns hand out tokens, and make their group the caller of what follows
            group: if j.cap > 0 { j.route.group.clone() } else { String::new() },
            nonce: r.nonce,
            at: e.addr.clone(),
            unsent: r.unsent,
            since: r.since,
        };
        let history = match g.store(&j.program, StoreRequest::Begin(i)).await {
            Some(StoreResponse::Go(h)) => h,
            Some(t) => return Err(known(t)),
            None => return Err(Told::Unavailable("store_unreachable")),
        };
        r.intended_at = Some(asked);
        // an old belief, an old intent or a sleeping process must not act
        let (at, g2, p, rev) = (e.clone(), g.clone(), seat.placed.clone(), e.view().config_rev);
        let gate: Gate =
            Box::new(move || g2.now() < asked + DISPATCH_MS - DRIFT_MS && at.may(g2.now(), &p.server, p.since));
        if gate() {
            let run_ms = j.route.run_ms.min(r.ends.saturating_sub(g.now()).saturating_sub(SETTLE_MS)).max(1);
            return Ok(Go { seat, history, rev, gate, run_ms });
        }
        drop(seat);
        // never sent, and this edge alone could have: so it may be placed anew
        if !r.anew(g.now()) {
            return Err(settle(g, e, j, r, r.unserved("not_sent"), None, ear).await);
        }
    }
}

/// The end of a run is told as the store has agreed on it. A caller isn't held while the
/// store can't be reached: it is told to ask again, and the end is recorded when it can be.
async fn settle<G: Ground>(g: &G, e: &Edge, j: &Job, r: &Run, end: Ended, turn: Option<Turn>, ear: &Ear) -> Told {
    let (program, key) = (j.program.clone(), j.key.clone());
    let ask = StoreRequest::Settle { program, key, edge: e.id, attempt: r.attempt, ended: end, turn };
    let until = g.now() + SETTLE_FOR_MS;
    loop {
        match g.store(&j.program, ask.clone()).await {
            Some(t @ (StoreResponse::Ended(_) | StoreResponse::Running | StoreResponse::NoProgram)) => return known(t),
            _ if g.now() >= until => return Told::Unavailable("not_recorded"),
            _ => ear.tell(Told::Unavailable("not_recorded_yet")).await,
        }
        g.nap(HUNT_MS).await;
    }
}

/// A caller's turn: known already? wait for a place, say the intent, look once
/// more, stream, settle, tell.
pub async fn turn<G: Ground + Clone + 'static>(g: &G, e: &Arc<Edge>, j: Job, said: String, ear: Ear) {
    let t = turn_inner(g, e, &j, said, &ear).await;
    ear.tell(t).await;
}

async fn turn_inner<G: Ground + Clone + 'static>(g: &G, e: &Arc<Edge>, j: &Job, said: String, ear: &Ear) -> Told {
    let came = g.now();
    let (p, ends) = match look(g, j).await {
        Ok(x) => x,
        Err(t) => return t,
    };
    if g.now() >= ends {
        return refuse(g, j, "program_ended").await;
    }
    if p.spent + p.reserved >= p.allowance {
        return refuse(g, j, "allowance_spent").await;
    }
    e.earn_retry();
    let mut r = Run::new(g, &p, ends);
    let mut avoid = None;
    loop {
        let go = match set_out(g, e, j, &mut r, avoid.take(), ear).await {
            Ok(go) => go,
            Err(t) => return t,
        };
        let mut talk: Vec<(&'static str, String)> = vec![];
        go.history.into_iter().for_each(|t| talk.extend([("user", t.said), ("assistant", t.answer)]));
        talk.push(("user", said.clone()));
        let c = ModelCall {
            gate: go.gate,
            rev: go.rev,
            addr: go.seat.placed.addr.clone(),
            path: j.route.path.clone(),
            program: j.program.clone(),
            key: j.key.clone(),
            talk,
            prefix: j.prefix.clone(),
            cap: j.cap,
            run_ms: go.run_ms,
        };
        let start = g.now();
        let got = g.model(c).await;
        let unsent = matches!(got, Err(NoAnswer { sent: false }));
        r.sent += u32::from(!unsent);
        let broke = got.is_err();
        let f = match got {
            Ok(Ok(st)) => stream(g, st, j, r.attempt, ear, start + go.run_ms).await,
            Ok(Err(status)) if status < 500 && status != 429 => {
                Flow { first: Some(g.now()), ..Flow::over("back_end_refused") }
            }
            _ => Flow::over("no_answer"),
        };
        if let Some(at) = f.first {
            e.timed(g.now(), OUTSIDE, &j.route.group, at - came);
        }
        let server = go.seat.placed.server.clone();
        let how = match f.code {
            "" => Left::Finished,
            "back_end_refused" | "caller_gone" | "out_of_time" | "over_cap" => Left::Cancelled,
            _ if broke || f.code == "stream_broken" => Left::Broke,
            _ => Left::Failed,
        };
        go.seat.done(g.now(), f.first.map(|at| at - start), how);
        e.pump(g.now(), &j.route.group);
        if unsent {
            if r.anew(g.now()) {
                avoid = Some(server);
                continue;
            }
            return settle(g, e, j, &r, r.unserved("not_sent"), None, ear).await;
        }
        if f.pieces == 0 && !["", "caller_gone", "over_cap"].contains(&f.code) && r.again(e, j, g.now()) {
            avoid = Some(server);
            continue;
        }
        if !f.code.is_empty() {
            return settle(g, e, j, &r, ended(Verdict::Failed, f.code, String::new(), f.tokens), None, ear).await;
        }
        let turn = Turn { said, answer: f.text.clone(), key: j.key.clone(), began: 0 };
        return settle(g, e, j, &r, ended(Verdict::Done, "done", f.text, f.tokens), Some(turn), ear).await;
    }
}

/// What became of one stream.
#[derive(Default)]
struct Flow {
    /// What went wrong, or nothing.
    code: &'static str,
    text: String,
    pieces: u64,
    /// Handed out, as far as that can be known; never less.
    tokens: u64,
    first: Option<u64>,
}

impl Flow {
    fn over(code: &'static str) -> Flow {
        Flow { code, ..Flow::default() }
    }
}

/// Carries one run's pieces to the caller, and never more tokens than its cap. Where the
/// back end doesn't say its tokens as it goes, every byte may be one.
async fn stream<G: Ground>(g: &G, mut st: G::Stream, j: &Job, run: u32, ear: &Ear, end: u64) -> Flow {
    let mut f = Flow::default();
    let Some(to) = ear.pieces() else { return Flow::over("caller_gone") };
    loop {
        // the run's time bounds a back end that says nothing more
        if g.now() >= end {
            return Flow { code: "out_of_time", ..f };
        }
        match st.next().await {
            Bit::Text(t, said) => {
                f.first.get_or_insert(g.now());
                let tokens = said.unwrap_or(f.tokens + t.len() as u64);
                // what passes the cap is held back, whatever the back end was asked for
                if tokens > j.cap {
                    // where not even one piece fits, nothing has been answered
                    return if f.pieces == 0 { Flow { code: "over_cap", ..f } } else { f };
                }
                f.tokens = f.tokens.max(tokens);
                f.text.push_str(&t);
                let p = Heard::Piece { run, seq: f.pieces, text: t };
                f.pieces += 1;
                // a slow caller holds the back end back; one that went away ends the run
                let left = end.saturating_sub(g.now());
                tokio::select! {
                    biased;
                    r = to.send(p) => if r.is_err() {
                        return Flow { code: "caller_gone", ..f };
                    },
                    _ = g.nap(left) => return Flow { code: "out_of_time", ..f },
                }
                if f.tokens >= j.cap {
                    return f;
                }
            }
            Bit::End(n) => {
                f.first.get_or_insert(g.now());
                // the back end's own count, where it is one that can be
                f.tokens = n.map_or(f.tokens, |n| n.clamp(f.pieces, j.cap.max(f.pieces)));
                return f;
            }
            Bit::Broken => return Flow { code: "stream_broken", ..f },
        }
    }
}

/// A caller's tool call, in the same order.
pub async fn tool<G: Ground + Clone + 'static>(g: &G, e: &Arc<Edge>, j: Job, ear: Ear) {
    let t = tool_inner(g, e, &j, &ear).await;
    ear.tell(t).await;
}

async fn tool_inner<G: Ground + Clone + 'static>(g: &G, e: &Arc<Edge>, j: &Job, ear: &Ear) -> Told {
    let came = g.now();
    let (p, ends) = match look(g, j).await {
        Ok(x) => x,
        Err(t) => return t,
    };
    if g.now() >= ends {
        return refuse(g, j, "program_ended").await;
    }
    e.earn_retry();
    let mut r = Run::new(g, &p, ends);
    let caller = if p.last_group.is_empty() { OUTSIDE.to_string() } else { p.last_group };
    let mut avoid = None;
    loop {
        let go = match set_out(g, e, j, &mut r, avoid.take(), ear).await {
            Ok(go) => go,
            Err(t) => return t,
        };
        let (addr, server) = (go.seat.placed.addr.clone(), go.seat.placed.server.clone());
        let c = ToolCall {
            gate: go.gate,
            rev: go.rev,
            addr: addr.clone(),
            path: j.route.path.clone(),
            key: j.key.clone(),
            body: j.body.clone(),
            run_ms: go.run_ms,
        };
        let start = g.now();
        let mut got = g.tool(c).await;
        r.sent += u32::from(got != Err(NoAnswer { sent: false }));
        let how = match got {
            Ok((st, _)) if st < 500 => Left::Finished,
            Ok(_) => Left::Failed,
            Err(_) => Left::Broke,
        };
        go.seat.done(g.now(), got.is_ok().then(|| g.now() - start), how);
        e.pump(g.now(), &j.route.group);
        e.timed(g.now(), &caller, &j.route.group, g.now() - came);
        // the work may be done and only its answer lost: the back end may know
        if got == Err(NoAnswer { sent: true }) && j.route.lookup {
            for _ in 0..LOOKUPS {
                g.nap(LOOKUP_MS).await;
                if let Some(x) = g.lookup(&addr, &j.key).await {
                    got = Ok(x);
                    break;
                }
            }
        }
        let retry = match &got {
            Ok((st, _)) if *st < 500 => false,
            // a once-only one has been run by whoever answered, or may have been
            Ok(_) | Err(NoAnswer { sent: true }) => r.again(e, j, g.now()),
            Err(NoAnswer { sent: false }) => r.anew(g.now()),
        };
        if retry {
            avoid = Some(server);
            continue;
        }
        let end = match got {
            Ok((st, b)) if (200..300).contains(&st) => ended(Verdict::Done, "done", b, 0),
            Ok((st, b)) => ended(Verdict::Failed, &format!("back_end_{st}"), b, 0),
            Err(NoAnswer { sent: false }) => r.unserved("not_sent"),
            Err(NoAnswer { sent: true }) if j.route.once_only => {
                ended(Verdict::InDoubt, "answer_lost", String::new(), 0)
            }
            Err(NoAnswer { sent: true }) => ended(Verdict::Failed, "no_answer", String::new(), 0),
        };
        return settle(g, e, j, &r, end, None, ear).await;
    }
}
