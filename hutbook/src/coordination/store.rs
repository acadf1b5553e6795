//! The store's agreed state: programs with their allowance, time left and
//! history, and every job by its key.

use super::raft::{Change, Denial, Raft};
use super::replica::{LeaderContext, LeaderTask, Plan, StateMachine};
use super::shares::OpenAt;
use super::store_admission::{Load, Refusal, StoreAdmission, WorkClass};
use super::turns::Turns;
use crate::constants::*;
use crate::state::entry::{to_bytes, Member, Members};
use crate::state::memory::MemoryBudget;
use crate::state::snapshot_data::{SnapshotData, SnapshotReader, SnapshotWriter};
use minicbor::{decode, encode, Encoder};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;

messages! {
    pub struct Turn {
        #[n(0)] pub said: String,
        #[n(1)] pub answer: String,
        #[n(2)] pub key: String,
        /// When it was first begun, as an entry of the store's log: turns stand in this order.
        #[n(3)] #[cbor(default)] pub began: u64,
    }
    pub struct Program {
        #[n(0)] pub id: String,
        #[n(1)] pub allowance: u64,
        #[n(2)] pub spent: u64,
        /// Caps of turns that may still hand out tokens.
        #[n(3)] pub reserved: u64,
        /// ms on the store's clock.
        #[n(4)] pub ends: u64,
        #[n(5)] pub forget: u64,
        #[n(6)] pub retention_ms: u64,
        #[n(7)] pub history: Vec<Turn>,
        /// Group of the last turn: the caller of the tool calls that follow it.
        #[n(8)] pub last_group: String,
        /// When it was made, as an entry of the log: another program of this id has another.
        #[n(9)] pub since: u64,
    }
    #[derive(Copy, Eq)]
    pub enum Verdict {
        #[n(0)] Done,
        /// It ran and the back end said no.
        #[n(1)] Failed,
        /// It did not run and never will.
        #[n(2)] Refused,
        /// It may have run; it will not be run again.
        #[n(3)] InDoubt,
    }
    pub struct Ended {
        #[n(0)] pub verdict: Verdict,
        #[n(1)] pub code: String,
        /// What the caller was told: a turn's text or a tool's JSON.
        #[n(2)] pub body: String,
        #[n(3)] pub tokens: u64,
    }
    pub enum JobState {
        /// An intent: `until` is when, on the store's clock, it can no longer be under way.
        #[n(0)] Open { #[n(0)] edge: u64, #[n(1)] attempt: u32, #[n(2)] server: String, #[n(3)] until: u64, #[n(4)] cap: u64, #[n(5)] nonce: u64, #[n(6)] at: String, #[n(7)] #[cbor(default)] began: u64 },
        #[n(1)] Ended(#[n(0)] Ended),
    }
    pub struct Job {
        #[n(0)] pub digest: u64,
        #[n(1)] pub route: String,
        #[n(2)] pub once_only: bool,
        #[n(3)] pub state: JobState,
        #[n(4)] pub forget: u64,
        #[n(5)] pub retention_ms: u64,
    }
    /// What an edge means to do, said before it does it.
    pub struct Intent {
        #[n(0)] pub program: String,
        #[n(1)] pub key: String,
        #[n(2)] pub digest: u64,
        #[n(3)] pub route: String,
        #[n(4)] pub once_only: bool,
        #[n(5)] pub edge: u64,
        #[n(6)] pub attempt: u32,
        #[n(7)] pub server: String,
        #[n(8)] pub cap: u64,
        #[n(9)] pub run_ms: u64,
        #[n(10)] pub retention_ms: u64,
        /// Group, for turns only.
        #[n(11)] pub group: String,
        /// Distinguishes one asking from another by the same edge.
        #[n(12)] pub nonce: u64,
        /// Where the edge stands.
        #[n(13)] pub at: String,
        /// The attempt before this one was never sent, which only this edge can know.
        #[n(14)] pub unsent: bool,
        /// The making of the program that was looked up.
        #[n(15)] pub since: u64,
    }
    /// One turn of work passed through, as it was said and answered.
    pub struct Link {
        #[n(0)] pub turn: String,
        #[cbor(n(1), with = "minicbor::bytes")] pub said: Vec<u8>,
        /// The data of each event, each followed by a line feed.
        #[cbor(n(2), with = "minicbor::bytes")] pub answer: Vec<u8>,
    }
    /// A turn of work passed through asks whether it may run: before its first byte goes to a server.
    pub struct TurnLeave {
        /// Never comes again.
        #[n(0)] pub turn: String,
        #[n(1)] pub program: String,
        /// One line of turns.
        #[n(2)] pub session: String,
        /// The turn it goes on from, where the way keeps turns; empty at the start.
        #[n(3)] pub before: String,
        /// Tokens that all turns of the program may put out; u64::MAX where none is said.
        #[n(4)] pub budget: u64,
        /// The most that this turn puts out.
        #[n(5)] pub cap: u64,
        #[n(6)] pub edge: u64,
        /// ms. Once leave is given it can't be under way for longer than this.
        #[n(7)] pub run_ms: u64,
        /// ms. A turn it goes on from is kept at least this much longer, with its chain; 0 where its way
        /// keeps no turns.
        #[n(8)] pub retention_ms: u64,
        /// Turns of the chain that this edge holds already: their texts needn't be sent.
        #[n(9)] pub have: Vec<String>,
    }
    /// The end of such a turn, before its last event is given.
    pub struct TurnEnd {
        #[n(0)] pub turn: String,
        #[n(1)] pub program: String,
        #[n(2)] pub session: String,
        #[n(3)] pub before: String,
        #[n(4)] pub edge: u64,
        /// Tokens that it put out at the most.
        #[n(5)] pub tokens: u64,
        /// Where it ran; empty where it did not.
        #[n(6)] pub server: String,
        /// Its own link, where it ended whole and its way keeps turns.
        #[n(7)] pub kept: Option<Link>,
        #[n(8)] pub retention_ms: u64,
    }
    pub enum StoreRequest {
        #[n(0)] Put { #[n(0)] id: String, #[n(1)] allowance: u64, #[n(2)] time_left_ms: u64, #[n(3)] retention_ms: u64 },
        #[n(1)] Program { #[n(0)] id: String },
        /// What is known of a job, and its program.
        #[n(2)] Look { #[n(0)] program: String, #[n(1)] key: String, #[n(2)] digest: u64 },
        #[n(3)] Begin(#[n(0)] Intent),
        /// The end of a run that an intent of this edge began.
        #[n(4)] Settle { #[n(0)] program: String, #[n(1)] key: String, #[n(2)] edge: u64, #[n(3)] attempt: u32, #[n(4)] ended: Ended, #[n(5)] turn: Option<Turn> },
        /// A refusal of a job that has not begun.
        #[n(5)] Refuse { #[n(0)] program: String, #[n(1)] key: String, #[n(2)] digest: u64, #[n(3)] route: String, #[n(4)] code: String, #[n(5)] retention_ms: u64 },
        #[n(6)] Status,
        /// Jobs whose intents stand, by edge and server.
        #[n(7)] Open,
        #[n(8)] TurnLeave(#[n(0)] TurnLeave),
        #[n(9)] TurnEnd(#[n(0)] TurnEnd),
    }
    pub enum StoreResponse {
        #[n(0)] Program(#[n(0)] Program, #[n(1)] u64),
        #[n(1)] NoProgram,
        #[n(2)] Conflict,
        /// Nothing is known of this key; the program stands as given, at this store time.
        #[n(3)] Unknown(#[n(0)] Program, #[n(1)] u64),
        #[n(4)] Running,
        #[n(5)] Ended(#[n(0)] Ended),
        #[n(6)] Go(#[n(0)] Vec<Turn>),
        #[n(7)] OtherBody,
        #[n(8)] Settled,
        #[n(9)] Status { #[n(0)] programs: u64, #[n(1)] jobs: u64, #[n(2)] clock: u64 },
        #[n(10)] NotLeader(#[n(0)] Option<Member>),
        /// Taken, but whether it came to pass is not known here.
        #[n(11)] Lost,
        /// Not taken, and nothing will come of it; with the refusal where admission control spoke.
        #[n(12)] Busy(#[n(0)] Option<Refusal>),
        #[n(13)] WrongGroup,
        #[n(14)] Open(#[n(0)] Vec<OpenAt>),
        /// It may run. The chain before it, oldest first (texts only of what the edge doesn't hold),
        /// and the server where its line of turns ran last.
        #[n(15)] TurnMay { #[n(0)] chain: Vec<Link>, #[n(1)] server: String },
        /// The program's budget is spent: the turn is not run.
        #[n(16)] TurnSpent,
        /// The turn that it names is not kept.
        #[n(17)] TurnUnknown,
    }
    struct StoreCmd {
        /// ms. The store's clock as the leader counts it.
        #[n(0)] clock: u64,
        #[n(1)] ask: Option<StoreRequest>,
    }
    #[derive(Default)]
    struct Kept {
        #[n(0)] clock: u64,
        #[n(1)] programs: BTreeMap<String, Program>,
        #[n(2)] jobs: BTreeMap<String, Job>,
        #[n(3)] ends: BTreeMap<u64, Vec<String>>,
        /// Work passed through; a snapshot from before it was kept holds none.
        #[cbor(n(4), default)] turns: Turns,
    }
}

/// What the core asks of this group's leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    pub wanted: Vec<Member>,
}

impl Kept {
    /// Encodes as `to_bytes` would, but shares the texts of turns.
    fn write(&self, e: &mut Encoder<SnapshotWriter>) -> Result<(), encode::Error<Infallible>> {
        e.array(5)?.encode(self.clock)?.encode(&self.programs)?.encode(&self.jobs)?.encode(&self.ends)?;
        self.turns.write(e)
    }

    /// Reads what `write` or `to_bytes` wrote, item by item.
    fn read(mut r: SnapshotReader) -> Result<Kept, decode::Error> {
        let fields = r.count(|d| d.array())?;
        let mut kept =
            Kept { clock: r.item()?, programs: r.item()?, jobs: r.item()?, ends: r.item()?, ..Kept::default() };
        // a snapshot from before work was passed through has none of it
        if fields > 4 {
            kept.turns = Turns::read(&mut r)?;
        }
        Ok(kept)
    }

    /// bytes, roughly, that this state takes in memory.
    fn size(&self) -> usize {
        let (accounts, turns, _) = self.turns.counts();
        let things = accounts + turns + self.programs.len() + self.jobs.len();
        self.turns.stored_bytes() + things * STATE_ITEM_BYTES
    }
}

#[derive(Default)]
pub struct Store {
    kept: Kept,
    budget: MemoryBudget,
    admission: StoreAdmission,
    /// Ids of the jobs whose intents stand: folded from what is kept.
    open: BTreeSet<String>,
    /// The leader's clock: the committed one, run on from when it rose.
    base: Option<(u64, u64)>,
    clock_at: u64,
    pub orders: Orders,
}

/// Jobs are named within their program; 0x1f stands in no key or id.
fn job_id(program: &str, key: &str) -> String {
    format!("{program}\u{1f}{key}")
}

impl Store {
    /// An empty state that refuses new work once it has reached its part of the memory.
    pub fn with(budget: MemoryBudget) -> Store {
        Store { budget, ..Store::default() }
    }

    /// bytes, roughly, that the state takes, and how many it may take.
    pub fn state_bytes(&self) -> (usize, usize) {
        (self.kept.size(), self.budget.state)
    }

    /// What the request brings; None for what ends work under way, and for reads.
    fn class_of(&self, ask: &StoreRequest) -> Option<WorkClass> {
        match ask {
            StoreRequest::TurnLeave(l) => {
                let is_first = l.before.is_empty() && !self.kept.turns.has_account(&l.program);
                Some(WorkClass::of(is_first, l.retention_ms > 0))
            }
            StoreRequest::Put { id, .. } => Some(WorkClass::of(!self.kept.programs.contains_key(id), true)),
            StoreRequest::Begin(_) => Some(WorkClass::NextKept),
            _ => None,
        }
    }

    fn load(&self) -> Load {
        let (accounts, _, text_bytes) = self.kept.turns.counts();
        let bytes = self.kept.size();
        let uses = [(bytes, self.budget.state), (text_bytes as usize, TEXT_BYTES as usize), (accounts, LEDGERS_KEPT)];
        Load::new(&uses, accounts + self.kept.programs.len(), bytes)
    }

    /// The refusal of new work that there is no room for.
    fn refusal(&mut self, now: u64, ask: &StoreRequest) -> Option<Refusal> {
        let class = self.class_of(ask)?;
        let (clock, load) = (self.clock(now), self.load());
        self.admission.admit(clock, class, &load).err()
    }

    fn clock(&mut self, now: u64) -> u64 {
        let c = self.base.map_or(self.kept.clock, |(c, t)| c + now.saturating_sub(t));
        if c >= self.kept.clock {
            return c;
        }
        // a leader rises before it has applied all that was agreed: after a loss of power its clock would
        // begin at the last capture's, and stand still until it had counted the same time once more
        self.base = self.base.map(|_| (self.kept.clock, now));
        self.kept.clock
    }

    pub fn counts(&self) -> (usize, usize, u64) {
        (self.kept.programs.len(), self.kept.jobs.len(), self.kept.clock)
    }

    /// Of work passed through: accounts, turns kept, and bytes of their texts.
    pub fn turn_counts(&self) -> (usize, usize, u64) {
        self.kept.turns.counts()
    }

    fn known(&self, program: &str, key: &str, digest: u64) -> Option<StoreResponse> {
        let j = self.kept.jobs.get(&job_id(program, key))?;
        // a digest of 0 asks for whatever stands under the key
        if digest != 0 && j.digest != digest {
            return Some(StoreResponse::OtherBody);
        }
        Some(match &j.state {
            JobState::Open { .. } => StoreResponse::Running,
            JobState::Ended(e) => StoreResponse::Ended(e.clone()),
        })
    }

    fn note_time(&mut self, at: u64, id: &str) {
        self.kept.ends.entry(at).or_default().push(id.to_string());
    }

    fn put(&mut self, index: u64, id: &str, allowance: u64, time_left: u64, retention: u64) -> StoreResponse {
        let c = self.kept.clock;
        if let Some(p) = self.kept.programs.get(id) {
            // the same again is fine; another allowance for a running program is not
            if p.allowance == allowance && p.retention_ms == retention {
                return StoreResponse::Program(p.clone(), c);
            }
            return StoreResponse::Conflict;
        }
        let p = Program {
            id: id.to_string(),
            allowance,
            spent: 0,
            reserved: 0,
            ends: c + time_left,
            forget: c + time_left + retention,
            retention_ms: retention,
            history: vec![],
            last_group: String::new(),
            since: index,
        };
        self.note_time(p.forget, id);
        self.kept.programs.insert(id.to_string(), p.clone());
        StoreResponse::Program(p, c)
    }

    fn end_job(&mut self, id: &str, ended: Ended) {
        let c = self.kept.clock;
        let Some(j) = self.kept.jobs.get_mut(id) else { return };
        self.open.remove(id);
        j.state = JobState::Ended(ended);
        j.forget = c + j.retention_ms;
        let at = j.forget;
        self.note_time(at, id);
    }

    fn refuse(&mut self, i: &Intent, code: &str) -> StoreResponse {
        let ended = Ended { verdict: Verdict::Refused, code: code.to_string(), body: String::new(), tokens: 0 };
        let id = job_id(&i.program, &i.key);
        let state = JobState::Ended(ended.clone());
        let j = Job {
            digest: i.digest,
            route: i.route.clone(),
            once_only: i.once_only,
            state,
            forget: 0,
            retention_ms: i.retention_ms,
        };
        self.kept.jobs.insert(id.clone(), j);
        self.end_job(&id, ended.clone());
        StoreResponse::Ended(ended)
    }

    fn begin(&mut self, index: u64, i: Intent) -> StoreResponse {
        let id = job_id(&i.program, &i.key);
        let c = self.kept.clock;
        // a further attempt keeps the place of the first
        let mut since = index;
        let again = match self.kept.jobs.get(&id) {
            None => false,
            Some(j) => match &j.state {
                // the next attempt of a job that may be repeated, or wasn't sent, by the request that holds the intent
                JobState::Open { edge, attempt, nonce, began, .. }
                    if (!j.once_only || i.unsent) && (*edge, *nonce) == (i.edge, i.nonce) && i.attempt > *attempt =>
                {
                    since = *began;
                    true
                }
                // its answer was lost and the same request asks again
                JobState::Open { edge, attempt, nonce, .. }
                    if (*edge, *attempt, *nonce) == (i.edge, i.attempt, i.nonce) =>
                {
                    let h = self.kept.programs.get(&i.program).map(|p| p.history.clone());
                    return h.map_or(StoreResponse::NoProgram, StoreResponse::Go);
                }
                _ => return self.known(&i.program, &i.key, i.digest).expect("it is there"),
            },
        };
        let Some(p) = self.kept.programs.get_mut(&i.program).filter(|p| p.since == i.since) else {
            return StoreResponse::NoProgram;
        };
        if !again {
            if c >= p.ends {
                return self.refuse(&i, "program_ended");
            }
            // only turns hand out tokens
            if i.cap > 0 && p.spent + p.reserved >= p.allowance {
                return self.refuse(&i, "allowance_spent");
            }
            p.reserved += i.cap;
        }
        if !i.group.is_empty() {
            p.last_group = i.group.clone();
        }
        p.forget = p.forget.max(c + p.retention_ms);
        let (f, h) = (p.forget, p.history.clone());
        self.note_time(f, &i.program);
        let until = c + DISPATCH_MS + i.run_ms;
        let state = JobState::Open {
            edge: i.edge,
            attempt: i.attempt,
            server: i.server,
            until,
            cap: i.cap,
            nonce: i.nonce,
            at: i.at,
            began: since,
        };
        let j = Job {
            digest: i.digest,
            route: i.route,
            once_only: i.once_only,
            state,
            forget: 0,
            retention_ms: i.retention_ms,
        };
        self.kept.jobs.insert(id.clone(), j);
        self.open.insert(id.clone());
        self.note_time(until, &id);
        StoreResponse::Go(h)
    }

    fn settle(
        &mut self,
        program: &str,
        key: &str,
        by: u64,
        att: u32,
        ended: Ended,
        turn: Option<Turn>,
    ) -> StoreResponse {
        let id = job_id(program, key);
        let Some(j) = self.kept.jobs.get(&id) else { return StoreResponse::NoProgram };
        let (cap, began) = match &j.state {
            JobState::Open { edge, attempt, cap, began, .. } if *edge == by && *attempt == att => (*cap, *began),
            JobState::Open { .. } => return StoreResponse::Running,
            JobState::Ended(e) => return StoreResponse::Ended(e.clone()),
        };
        self.release(program, cap, ended.tokens);
        let c = self.kept.clock;
        if let (Some(t), Some(p)) = (turn, self.kept.programs.get_mut(program)) {
            // an end may be recorded long after it was streamed, when the caller has said more meanwhile:
            // the order is that of the beginnings, and one asked for after another's end began after it
            let at = p.history.partition_point(|h| h.began <= began);
            p.history.insert(at, Turn { began, ..t });
            p.forget = p.forget.max(c + p.retention_ms);
            let f = p.forget;
            self.note_time(f, program);
        }
        self.end_job(&id, ended.clone());
        StoreResponse::Ended(ended)
    }

    fn release(&mut self, program: &str, cap: u64, tokens: u64) {
        if let Some(p) = self.kept.programs.get_mut(program) {
            p.reserved -= cap;
            p.spent += tokens;
        }
    }

    /// Ends and forgets what the store's clock has passed.
    fn pass_time(&mut self) {
        let c = self.kept.clock;
        while let Some((at, _)) = self.kept.ends.first_key_value() {
            if *at > c {
                break;
            }
            let (_, ids) = self.kept.ends.pop_first().expect("just seen");
            for id in ids {
                self.pass(&id, c);
            }
        }
    }

    fn pass(&mut self, id: &str, c: u64) {
        if let Some(p) = self.kept.programs.get(id) {
            // use has extended many of these; only the last one counts
            if p.forget <= c && p.reserved == 0 {
                self.kept.programs.remove(id);
            } else if p.forget <= c {
                self.note_time(c + RUN_MS, id);
            }
            return;
        }
        let Some(j) = self.kept.jobs.get(id) else { return };
        match &j.state {
            JobState::Open { until, cap, .. } if *until <= c => {
                // its edge is gone: it can no longer run, and it may have handed out all it reserved
                let cap = *cap;
                let program = id.split('\u{1f}').next().unwrap_or_default().to_string();
                self.release(&program, cap, cap);
                let code = "edge_lost".to_string();
                self.end_job(id, Ended { verdict: Verdict::InDoubt, code, body: String::new(), tokens: cap });
            }
            JobState::Ended(_) if j.forget <= c => {
                // a key is remembered for as long as its program is, or it could run again under it
                let program = id.split('\u{1f}').next().unwrap_or_default();
                match self.kept.programs.get(program).map(|p| p.forget.max(c + 1)) {
                    Some(at) => self.note_time(at, id),
                    None => drop(self.kept.jobs.remove(id)),
                }
            }
            _ => {}
        }
    }
}

impl StateMachine for Store {
    type Request = StoreRequest;
    type Response = StoreResponse;
    type Computation = ();

    fn plan(&mut self, st: LeaderContext, ask: &StoreRequest) -> Plan<StoreResponse> {
        // said before anything is agreed: the members' machines may differ, their states may not
        if let Some(refusal) = self.refusal(st.now, ask) {
            return Plan::Reply(StoreResponse::Busy(Some(refusal)));
        }
        match ask {
            StoreRequest::Program { .. } | StoreRequest::Look { .. } | StoreRequest::Status | StoreRequest::Open => {
                Plan::Read
            }
            _ => {
                self.clock_at = st.now;
                Plan::Propose(to_bytes(&StoreCmd { clock: self.clock(st.now), ask: Some(ask.clone()) }))
            }
        }
    }

    fn answer(&mut self, st: LeaderContext, ask: StoreRequest) -> StoreResponse {
        let c = self.clock(st.now);
        match ask {
            StoreRequest::Program { id } => match self.kept.programs.get(&id) {
                Some(p) => StoreResponse::Program(p.clone(), c),
                None => StoreResponse::NoProgram,
            },
            StoreRequest::Look { program, key, digest } => match self.known(&program, &key, digest) {
                Some(t) => t,
                None => match self.kept.programs.get(&program) {
                    Some(p) => StoreResponse::Unknown(p.clone(), c),
                    None => StoreResponse::NoProgram,
                },
            },
            StoreRequest::Open => {
                let mut by: BTreeMap<(u64, &str, &str), u32> = BTreeMap::new();
                for j in self.open.iter().filter_map(|id| self.kept.jobs.get(id)) {
                    if let JobState::Open { edge, server, at, .. } = &j.state {
                        *by.entry((*edge, at, server)).or_default() += 1;
                    }
                }
                let row = |((edge, at, server), jobs): ((u64, &str, &str), u32)| OpenAt {
                    edge,
                    at: at.into(),
                    server: server.into(),
                    jobs,
                };
                StoreResponse::Open(by.into_iter().map(row).collect())
            }
            _ => {
                let (p, j, clock) = self.counts();
                StoreResponse::Status { programs: p as u64, jobs: j as u64, clock }
            }
        }
    }

    fn apply(&mut self, index: u64, _term: u64, bytes: &[u8]) -> StoreResponse {
        let Ok(cmd) = minicbor::decode::<StoreCmd>(bytes) else {
            // the same bytes fail the same way on every replica
            return StoreResponse::Lost;
        };
        self.kept.clock = self.kept.clock.max(cmd.clock);
        let before = self.kept.size();
        self.pass_time();
        let c = self.kept.clock;
        self.kept.turns.pass_time(c);
        self.admission.note_freed(c, before.saturating_sub(self.kept.size()));
        // only a leader's answer is heard by anybody
        let told = self.base.is_some();
        match cmd.ask {
            None => StoreResponse::Settled,
            Some(StoreRequest::Put { id, allowance, time_left_ms, retention_ms }) => {
                self.put(index, &id, allowance, time_left_ms, retention_ms)
            }
            Some(StoreRequest::Begin(i)) => self.begin(index, i),
            Some(StoreRequest::Settle { program, key, edge, attempt, ended, turn }) => {
                self.settle(&program, &key, edge, attempt, ended, turn)
            }
            Some(StoreRequest::Refuse { program, key, digest, route, code, retention_ms }) => {
                if let Some(t) = self.known(&program, &key, digest) {
                    return t;
                }
                let i = Intent {
                    program,
                    key,
                    digest,
                    route,
                    once_only: true,
                    edge: 0,
                    attempt: 0,
                    server: String::new(),
                    cap: 0,
                    run_ms: 0,
                    retention_ms,
                    group: String::new(),
                    nonce: 0,
                    at: String::new(),
                    unsent: false,
                    since: 0,
                };
                self.refuse(&i, &code)
            }
            Some(StoreRequest::TurnLeave(l)) => self.kept.turns.leave(c, &l, told),
            Some(StoreRequest::TurnEnd(e)) => self.kept.turns.end(c, e),
            Some(_) => StoreResponse::Lost,
        }
    }

    fn members_agreed(&mut self, _index: u64, _m: &Members) -> StoreResponse {
        StoreResponse::Settled
    }

    fn snapshot(&self) -> SnapshotData {
        let mut e = Encoder::new(SnapshotWriter::default());
        self.kept.write(&mut e).expect("encoding to memory");
        e.into_writer().finish()
    }

    fn restore(&mut self, data: &SnapshotData) {
        // the state that it replaces is let go first: both at once may be more than the machine has
        self.kept = Kept::default();
        self.open.clear();
        // its digest was looked at before it came here: going on from nothing would lose promises
        self.kept = Kept::read(data.drain()).expect("a snapshot that passed its digest can be decoded");
        let open = self.kept.jobs.iter().filter(|(_, j)| matches!(j.state, JobState::Open { .. }));
        self.open = open.map(|(id, _)| id.clone()).collect();
        data.share(&self.snapshot());
    }

    fn became_leader(&mut self, st: LeaderContext) {
        self.base = Some((self.kept.clock, st.now));
        self.clock_at = st.now;
        self.admission.begin(self.kept.clock);
        // an order from before this term may have been overtaken by one that another leader carried out
        self.orders = Orders::default();
    }

    fn stepped_down(&mut self) {
        self.base = None;
        self.orders = Orders::default();
    }

    fn tick(&mut self, st: LeaderContext, raft: &Raft) -> Vec<LeaderTask<()>> {
        let mut todo: Vec<LeaderTask<()>> =
            follow_orders(&self.orders.wanted, raft, st.now).into_iter().map(LeaderTask::Change).collect();
        if st.now >= self.clock_at + CLOCK_MS {
            self.clock_at = st.now;
            todo.push(LeaderTask::Propose(to_bytes(&StoreCmd { clock: self.clock(st.now), ask: None })));
        }
        todo
    }

    fn denied(&self, why: Denial, leader: Option<Member>) -> StoreResponse {
        match why {
            Denial::NotLeader => StoreResponse::NotLeader(leader),
            Denial::Busy => StoreResponse::Busy(None),
            Denial::Lost | Denial::Unsafe(_) => StoreResponse::Lost,
        }
    }
}

/// The next single change that brings a group nearer to the members wanted: learners in; then one vote
/// for one vote. A lost member goes before another votes in its place, one that lives after it, so that
/// each step bears what the step before bore; the leader itself goes last.
pub fn follow_orders(wanted: &[Member], raft: &Raft, now: u64) -> Option<Change> {
    if wanted.is_empty() {
        return None;
    }
    let m = raft.members();
    let want = |id: u64| wanted.iter().any(|w| w.id == id);
    if let Some(w) = wanted.iter().find(|w| m.all().all(|x| x.id != w.id)) {
        return Some(Change::AddLearner(w.clone()));
    }
    if let Some(w) = wanted.iter().find(|w| m.all().any(|x| x.id == w.id && x.addr != w.addr)) {
        return Some(Change::Readdress(w.clone()));
    }
    let ready = m.learners.iter().find(|l| want(l.id) && raft.caught_up(now, l.id));
    let all_vote = !m.learners.iter().any(|l| want(l.id));
    let heard: BTreeMap<u64, u64> = raft.peer_status().into_iter().map(|peer| (peer.0, peer.2)).collect();
    let lost = |id: u64| id != raft.id && heard.get(&id).is_none_or(|at| now.saturating_sub(*at) > ELECTION_MS);
    let odd = m.voters.iter().filter(|v| !want(v.id));
    let odd = odd.max_by_key(|v| (lost(v.id), v.id != raft.id));
    let surplus = m.voters.len() > wanted.len();
    let full = m.voters.len() >= wanted.len();
    if let Some(v) = odd.filter(|v| surplus || all_vote || full && ready.is_some() && lost(v.id)) {
        return Some(Change::Remove(v.id));
    }
    if let Some(l) = ready.filter(|_| !surplus) {
        return Some(Change::Promote(l.id));
    }
    m.learners.iter().find(|l| !want(l.id)).map(|l| Change::Remove(l.id))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn apply(s: &mut Store, clock: u64, ask: Option<StoreRequest>) -> StoreResponse {
        s.apply(0, 1, &to_bytes(&StoreCmd { clock, ask }))
    }

    #[test]
    fn a_turn_whose_edge_vanished_is_settled_at_its_full_cap() {
        // given a program with an open turn of cap 40
        let mut s = Store::default();
        let put = StoreRequest::Put { id: "p".into(), allowance: 50, time_left_ms: 600_000, retention_ms: 600_000 };
        apply(&mut s, 1, Some(put));
        let i = Intent {
            program: "p".into(),
            key: "k".into(),
            digest: 3,
            route: "chat".into(),
            once_only: false,
            edge: 9,
            attempt: 0,
            server: "m".into(),
            cap: 40,
            run_ms: 1_000,
            retention_ms: 600_000,
            group: "lang".into(),
            nonce: 5,
            at: String::new(),
            unsent: false,
            since: 0,
        };
        assert!(matches!(apply(&mut s, 2, Some(StoreRequest::Begin(i))), StoreResponse::Go(_)));
        // when its run can't be going on any more and nobody has settled it
        apply(&mut s, 2 + DISPATCH_MS + 1_000, None);
        // then it is in doubt, and counts as if all of its cap had been handed out
        assert!(matches!(s.known("p", "k", 3), Some(StoreResponse::Ended(e)) if e.verdict == Verdict::InDoubt));
        let p = &s.kept.programs["p"];
        assert_eq!((p.spent, p.reserved), (40, 0));
    }

    fn turn_end(turn: &str, text: usize) -> StoreRequest {
        StoreRequest::TurnEnd(TurnEnd {
            turn: turn.into(),
            program: "p".into(),
            session: "s".into(),
            before: String::new(),
            edge: 1,
            tokens: 1,
            server: String::new(),
            kept: Some(Link { turn: turn.into(), said: vec![1; text], answer: vec![2; text] }),
            retention_ms: 60_000,
        })
    }

    fn turn_leave(turn: &str) -> StoreRequest {
        StoreRequest::TurnLeave(TurnLeave {
            turn: turn.into(),
            program: "p".into(),
            session: "s".into(),
            before: String::new(),
            budget: u64::MAX,
            cap: 1,
            edge: 1,
            run_ms: 1_000,
            retention_ms: 60_000,
            have: vec![],
        })
    }

    #[test]
    fn new_work_over_the_memory_is_refused_before_it_is_agreed_and_ends_are_taken() {
        // given a store whose state has reached its part of the machine's memory
        let budget = MemoryBudget::of(Some(MEMORY_LEAST_MB));
        let mut s = Store::with(budget);
        let st = LeaderContext { now: 1, term: 1 };
        s.became_leader(st);
        assert!(matches!(s.plan(st, &turn_leave("a")), Plan::Propose(_)));
        apply(&mut s, 1, Some(turn_leave("a")));
        for n in 0..budget.state / STATE_ITEM_BYTES {
            apply(&mut s, 1, Some(turn_end(&format!("t{n}"), 0)));
        }
        // when new work comes, then it is told to come back and nothing is agreed
        assert!(matches!(s.plan(st, &turn_leave("b")), Plan::Reply(StoreResponse::Busy(Some(_)))));
        let put = StoreRequest::Put { id: "q".into(), allowance: 1, time_left_ms: 1, retention_ms: 1 };
        assert!(matches!(s.plan(st, &put), Plan::Reply(StoreResponse::Busy(Some(_)))));
        // but a turn that keeps no text may still run
        let StoreRequest::TurnLeave(l) = turn_leave("c") else { unreachable!() };
        let unkept = StoreRequest::TurnLeave(TurnLeave { retention_ms: 0, ..l });
        assert!(matches!(s.plan(st, &unkept), Plan::Propose(_)));
        // then the end of what had leave is taken all the same, and reads are answered
        assert!(matches!(s.plan(st, &turn_end("a", 10)), Plan::Propose(_)));
        assert!(matches!(s.plan(st, &StoreRequest::Status), Plan::Read));
        // and once it is forgotten there is room again
        apply(&mut s, 70_000, None);
        assert!(matches!(s.plan(st, &turn_leave("b")), Plan::Propose(_)));
    }

    #[test]
    fn a_snapshot_has_the_bytes_of_a_plain_encoding_and_is_read_back_the_same() {
        // given a state with programs, jobs and turns
        let mut s = Store::default();
        let put = StoreRequest::Put { id: "p".into(), allowance: 50, time_left_ms: 600_000, retention_ms: 600_000 };
        apply(&mut s, 1, Some(put));
        for i in 0..200 {
            apply(&mut s, 2, Some(turn_leave(&format!("open{i}"))));
            apply(&mut s, 2, Some(turn_end(&format!("end{i}"), i * 20)));
        }
        // when a snapshot is taken, then its bytes are as they always were
        let data = s.snapshot();
        assert!(data.to_vec() == to_bytes(&s.kept));
        // when one from the disk is read, in pieces that cut items anywhere, then it is the same state
        let whole = data.to_vec();
        let pieces = whole.chunks(1_000).map(bytes::Bytes::copy_from_slice).collect();
        let from_disk = SnapshotData::from_pieces(pieces);
        let mut t = Store::default();
        t.restore(&from_disk);
        assert!(t.kept == s.kept && from_disk == data);
    }
}
