//! The programs of a long day: each takes a few turns, and half of them keep their turns, from which others go on.

use super::seen::{Outcome, Seen, TurnSeen};
use super::texts::text;
use super::Plan;
use crate::fleet::{Meadow, World};
use hutbook::constants::{
    DISPATCH_WINDOW_MS, LEADER_RETRY_MS, MAX_RESERVE_TIMEOUT_MS, RETAINED_TURN_END_TIMEOUT_MS, TURN_END_TIMEOUT_MS,
};
use hutbook::coordination::store::{StoreRequest, StoreResponse, TurnAdmission, TurnEnd, TurnRecord};
use hutbook::coordination::view::hash;
use hutbook::transport::leader_client::RpcClient;
use hutbook::transport::serve::Environment;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// turns. The least of a program, and how many more some have.
const TURNS_LEAST: u64 = 4;
const TURNS_MORE: u64 = 4;
/// bytes. A turn's input is one to five of these; its answer is about as long as the second.
const INPUT_STEP_BYTES: usize = 1_000;
const ANSWER_BYTES: usize = 400;
/// tokens. The most that a turn puts out; it puts out half of it at the least.
pub const CAP: u64 = 40;
/// ms. A turn's time at its server, and its program's pause before the next one.
const RUN_MS: u64 = 120;
const THINK_MS: u64 = 60;
/// ms. The time that a caller gives a turn.
const DEADLINE_MS: u64 = 4_000;
/// Every so many programs, one goes on from a turn of another.
const GOES_ON_EACH: u64 = 8;
/// Every so many programs, one has a budget that it spends, and comes again later.
const SPENDS_EACH: u64 = 16;
/// turns. What such a program asks for; its budget is a third of that.
const SPENDER_TURNS: u64 = 9;
const SPENDER_BUDGET: u64 = 3 * CAP;
/// links. From a longer chain nobody goes on.
const CHAIN_MOST: usize = 10;
/// ms. What is kept for a shorter time yet is not gone on from.
const KEPT_MARGIN_MS: u64 = DEADLINE_MS + DISPATCH_WINDOW_MS;
/// turns. Those remembered for others to go on from.
const REMEMBERED: usize = 256;

/// A turn whose end was agreed, with the turns before it, the first one first.
#[derive(Clone)]
struct KeptTurn {
    chain: Vec<String>,
    agreed_at: u64,
}

/// A program as it is planned: drawn from its number alone.
struct Program {
    id: String,
    number: u64,
    keeps: bool,
    turns: u64,
    budget: u64,
}

impl Program {
    fn of(number: u64) -> Program {
        let spends = number % SPENDS_EACH == SPENDS_EACH - 2;
        Program {
            id: format!("program-{number}"),
            number,
            keeps: number.is_multiple_of(2),
            turns: if spends { SPENDER_TURNS } else { TURNS_LEAST + number / 2 % TURNS_MORE },
            budget: if spends { SPENDER_BUDGET } else { u64::MAX },
        }
    }

    fn has_budget(&self) -> bool {
        self.budget < u64::MAX
    }

    fn goes_on(&self) -> bool {
        self.number % GOES_ON_EACH == GOES_ON_EACH / 2
    }
}

pub struct Load {
    world: World,
    plan: Plan,
    pub seen: RefCell<Seen>,
    kept: RefCell<VecDeque<KeptTurn>>,
    spent: RefCell<BTreeMap<String, u64>>,
    budgets: RefCell<BTreeMap<String, u64>>,
    stopped: Cell<bool>,
}

impl Load {
    pub fn new(world: &World, plan: &Plan) -> Load {
        Load {
            world: world.clone(),
            plan: plan.clone(),
            seen: RefCell::default(),
            kept: RefCell::default(),
            spent: RefCell::default(),
            budgets: RefCell::default(),
            stopped: Cell::new(false),
        }
    }

    /// No more programs come.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Tokens put out by each program with a budget that binds, and the budgets.
    pub fn accounts(&self) -> (BTreeMap<String, u64>, BTreeMap<String, u64>) {
        (self.spent.take(), self.budgets.take())
    }

    /// Programs come at an even pace, each at the next edge.
    pub fn spawn_programs(self: &Rc<Load>, edges: usize) {
        let load = self.clone();
        self.world.spawn("outside", async move {
            let way = load.world.way("outside");
            for number in 0.. {
                if load.stopped.get() {
                    return;
                }
                let edge = format!("trailhead{}", number % edges as u64 + 1);
                let (load, program) = (load.clone(), Program::of(number));
                let every_ms = load.plan.program_every_ms();
                let world = load.world.clone();
                world.spawn("outside", async move { load.run_program(program, edge).await });
                way.sleep(every_ms).await;
            }
        });
    }

    async fn run_program(self: Rc<Load>, program: Program, edge: String) {
        let way = self.world.way("outside");
        if program.has_budget() {
            self.budgets.borrow_mut().insert(program.id.clone(), program.budget);
        }
        let mut before = if program.goes_on() { self.pick_kept() } else { None };
        for number in 0..program.turns {
            let name = format!("{}-turn-{number}", program.id);
            let foreign = number == 0 && before.is_some();
            let (outcome, kept) = self.run_turn(&program, &name, &edge, before.as_ref()).await;
            if foreign && outcome == Outcome::Served {
                self.seen.borrow_mut().went_on += 1;
            }
            match outcome {
                Outcome::Served => before = kept,
                Outcome::BudgetSpent => return self.come_again(&program, &edge).await,
                _ => return,
            }
            way.sleep(THINK_MS).await;
        }
    }

    /// A turn that is kept still, of whatever program.
    fn pick_kept(&self) -> Option<KeptTurn> {
        let now = self.world.now();
        let last = now.saturating_sub(self.plan.retention_ms.saturating_sub(KEPT_MARGIN_MS));
        let mut kept = self.kept.borrow_mut();
        kept.retain(|turn| turn.agreed_at > last && turn.chain.len() < CHAIN_MOST);
        // the oldest one: its retention is nearly over
        kept.pop_front()
    }

    /// A program whose budget is spent stays stopped for as long as its account is kept.
    async fn come_again(&self, program: &Program, edge: &str) {
        if !program.keeps {
            return;
        }
        self.world.way("outside").sleep(self.plan.retention_ms / 2).await;
        if self.stopped.get() {
            return;
        }
        let name = format!("{}-again", program.id);
        let (outcome, _) = self.run_turn(program, &name, edge, None).await;
        let mut seen = self.seen.borrow_mut();
        seen.came_again += 1;
        if outcome == Outcome::Served {
            seen.forgotten_budgets.push(program.id.clone());
        }
    }

    /// One turn, as an edge has it admitted, runs it and has its end agreed.
    async fn run_turn(
        &self,
        program: &Program,
        name: &str,
        edge: &str,
        before: Option<&KeptTurn>,
    ) -> (Outcome, Option<KeptTurn>) {
        let asked = self.world.now();
        let leave = self.leave(program, name, edge, before);
        let answer = self.admit(&leave, edge).await;
        let answered_after = self.world.now() - asked;
        let (outcome, kept) = match answer {
            Some(StoreResponse::TurnAdmitted { chain, .. }) => {
                self.check_chain(name, before, &chain);
                self.run_admitted(program, &leave, edge, before).await
            }
            answer => (self.not_admitted(&leave, answer, edge, before, asked).await, None),
        };
        let turn = TurnSeen { turn: name.into(), asked, answered_after, outcome };
        self.seen.borrow_mut().turns.push(turn);
        (outcome, kept)
    }

    /// What an admitted turn does: puts out its tokens, and has its end agreed.
    async fn run_admitted(
        &self,
        program: &Program,
        leave: &TurnAdmission,
        edge: &str,
        before: Option<&KeptTurn>,
    ) -> (Outcome, Option<KeptTurn>) {
        self.world.way("outside").sleep(RUN_MS).await;
        let tokens = CAP / 2 + hash(&leave.turn) % (CAP / 2 + 1);
        if program.has_budget() {
            *self.spent.borrow_mut().entry(program.id.clone()).or_default() += tokens;
        }
        if !self.settle(leave, edge, tokens, program.keeps).await {
            return (Outcome::EndNotAgreed, None);
        }
        (Outcome::Served, program.keeps.then(|| self.keep(&leave.turn, before)))
    }

    async fn not_admitted(
        &self,
        leave: &TurnAdmission,
        answer: Option<StoreResponse>,
        edge: &str,
        before: Option<&KeptTurn>,
        asked: u64,
    ) -> Outcome {
        match answer {
            Some(StoreResponse::TurnBudgetSpent) => Outcome::BudgetSpent,
            Some(StoreResponse::PreviousTurnUnknown) => {
                let agreed_at = before.map_or(0, |kept| kept.agreed_at);
                let since_ms = asked - agreed_at;
                let what = format!("{} goes on from {}, agreed {since_ms} ms before", leave.turn, leave.previous_turn);
                self.seen.borrow_mut().unknown_though_kept.push(what);
                Outcome::Unknown
            }
            _ => {
                // the admission may have been given: it is given back
                self.settle(leave, edge, 0, false).await;
                Outcome::Refused
            }
        }
    }

    fn leave(&self, program: &Program, name: &str, edge: &str, before: Option<&KeptTurn>) -> TurnAdmission {
        let last = before.and_then(|kept| kept.chain.last().cloned());
        TurnAdmission {
            turn: name.into(),
            program: program.id.clone(),
            session: program.id.clone(),
            previous_turn: last.unwrap_or_default(),
            budget: program.budget,
            cap: CAP,
            edge: self.world.id(edge),
            run_ms: DEADLINE_MS,
            retention_ms: if program.keeps { self.plan.retention_ms } else { 0 },
            cached_turns: vec![],
            account_retention_ms: Some(self.plan.retention_ms),
        }
    }

    /// Asks as an edge does, until there is a final answer or the time for it is over.
    async fn admit(&self, leave: &TurnAdmission, edge: &str) -> Option<StoreResponse> {
        let until = self.world.now() + MAX_RESERVE_TIMEOUT_MS;
        let ground = self.world.meadow(edge);
        loop {
            let answer = self.ask(&ground, until, &leave.program, StoreRequest::TurnAdmission(leave.clone())).await;
            match answer {
                Some(
                    StoreResponse::TurnAdmitted { .. }
                    | StoreResponse::TurnBudgetSpent
                    | StoreResponse::PreviousTurnUnknown,
                ) => return answer,
                _ if self.world.now() >= until => return None,
                _ => self.world.way("outside").sleep(LEADER_RETRY_MS).await,
            }
        }
    }

    /// Has the end of a turn agreed, as an edge does.
    async fn settle(&self, leave: &TurnAdmission, edge: &str, tokens: u64, keeps: bool) -> bool {
        let end = TurnEnd {
            turn: leave.turn.clone(),
            program: leave.program.clone(),
            session: leave.session.clone(),
            previous_turn: leave.previous_turn.clone(),
            edge: leave.edge,
            tokens,
            server: if tokens > 0 { "model01".into() } else { String::new() },
            record: keeps.then(|| link(&leave.turn)),
            retention_ms: leave.retention_ms,
        };
        let until = self.world.now() + if keeps { RETAINED_TURN_END_TIMEOUT_MS } else { TURN_END_TIMEOUT_MS };
        let ground = self.world.meadow(edge);
        while self.world.now() < until {
            let answer = self.ask(&ground, until, &leave.program, StoreRequest::TurnEnd(end.clone())).await;
            if answer == Some(StoreResponse::Settled) {
                return true;
            }
            self.world.way("outside").sleep(LEADER_RETRY_MS).await;
        }
        false
    }

    /// Asks the stores by way of an edge; None where there was no answer in time, or the edge is down.
    async fn ask(&self, ground: &Meadow, until: u64, program: &str, request: StoreRequest) -> Option<StoreResponse> {
        if !self.world.is_up(&ground.way.node) {
            return None;
        }
        let left = until.saturating_sub(self.world.now());
        tokio::select! {
            biased;
            answer = ground.store(program, request) => answer,
            _ = ground.way.sleep(left) => None,
        }
    }

    fn check_chain(&self, name: &str, before: Option<&KeptTurn>, told: &[TurnRecord]) {
        let wanted: Vec<TurnRecord> = before.iter().flat_map(|kept| &kept.chain).map(|turn| link(turn)).collect();
        if wanted != told {
            let turns: Vec<&str> = told.iter().map(|link| link.turn.as_str()).collect();
            let what = format!("{name}: {} links wanted, told {turns:?}", wanted.len());
            self.seen.borrow_mut().wrong_chains.push(what);
        }
    }

    fn keep(&self, name: &str, before: Option<&KeptTurn>) -> KeptTurn {
        let mut chain = before.map_or(vec![], |kept| kept.chain.clone());
        chain.push(name.into());
        let turn = KeptTurn { chain, agreed_at: self.world.now() };
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= REMEMBERED {
            kept.pop_front();
        }
        kept.push_back(turn.clone());
        turn
    }
}

/// What a turn said and was answered: drawn from its name.
fn link(turn: &str) -> TurnRecord {
    let seed = hash(turn);
    let said = text(seed, INPUT_STEP_BYTES * (1 + seed as usize % 5));
    let answer = text(seed ^ 1, ANSWER_BYTES / 2 + seed as usize % ANSWER_BYTES);
    TurnRecord { turn: turn.into(), input: said, answer, stored: None }
}
