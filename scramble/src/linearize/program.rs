//! Model of one program at the store: its allowance, its turns and the outcome of each job key.
//!
//! Time is not modelled: a program may be reported as ended at any time, and an open job may lapse at any time unless
//! some answer reports another end.

use super::{Call, Model};
use crate::observations::{Observations, ObservedProgram, StoreInvocation, StoreOutcome, StoreRecord};
use hutbook::coordination::store::{Ended, Intent, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// The store's code for a job whose edge stopped responding.
const EDGE_LOST_CODE: &str = "edge_lost";

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum JobState {
    Open { edge: u64, attempt: u32, nonce: u64, cap: u64, started_seq: u32 },
    Ended { verdict: u8, code: String, tokens: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProgramState {
    pub exists: bool,
    pub allowance: u64,
    pub spent: u64,
    pub reserved: u64,
    pub jobs: BTreeMap<String, JobState>,
    /// (start sequence number, key) of each turn, in the order in which the turns started.
    pub history: Vec<(u32, String)>,
    pub started_turns: u32,
}

pub type StoreOperation = (StoreInvocation, StoreOutcome);

/// The programs of one day.
pub struct ProgramModel {
    /// Keys for which some answer reports an end other than a lost edge.
    ended: BTreeSet<String>,
}

fn ended_state(e: &Ended) -> JobState {
    JobState::Ended { verdict: e.verdict as u8, code: e.code.clone(), tokens: e.tokens }
}

impl ProgramState {
    fn keys(&self) -> Vec<&str> {
        self.history.iter().map(|(_, key)| key.as_str()).collect()
    }

    fn matches_read(&self, read: &ObservedProgram) -> bool {
        self.exists
            && (self.allowance, self.spent, self.reserved) == (read.allowance, read.spent, read.reserved)
            && self.keys() == read.history
    }

    fn end(&mut self, key: &str, cap: u64, end: JobState) {
        if let JobState::Ended { tokens, .. } = &end {
            self.reserved -= cap;
            self.spent += tokens;
        }
        self.jobs.insert(key.into(), end);
    }

    /// Whether this outcome is a possible answer for a known key.
    fn matches_answer(&self, key: &str, outcome: &StoreOutcome) -> bool {
        match (self.jobs.get(key), outcome) {
            (Some(JobState::Open { .. }), StoreOutcome::Running) => true,
            (Some(job), StoreOutcome::Ended(e)) => *job == ended_state(e),
            (Some(_), StoreOutcome::Unclear) => true,
            _ => false,
        }
    }

    fn begin(&self, intent: &Intent, outcome: &StoreOutcome) -> Vec<ProgramState> {
        let unchanged = || vec![self.clone()];
        if !self.exists {
            return if matches!(outcome, StoreOutcome::NoProgram | StoreOutcome::Unclear) {
                unchanged()
            } else {
                vec![]
            };
        }
        let matches_go = |state: &ProgramState| match outcome {
            StoreOutcome::Go(history) => state.keys() == *history,
            outcome => *outcome == StoreOutcome::Unclear,
        };
        let mut started_seq = self.started_turns;
        let mut after = self.clone();
        match self.jobs.get(&intent.key) {
            Some(JobState::Open { edge, attempt, nonce, started_seq: first, .. })
                if (*edge, *nonce) == (intent.edge, intent.nonce)
                    && intent.attempt > *attempt
                    && (!intent.at_most_once || intent.previous_unsent) =>
            {
                started_seq = *first;
            }
            // a duplicate of the same intent
            Some(JobState::Open { edge, attempt, nonce, .. })
                if (*edge, *attempt, *nonce) == (intent.edge, intent.attempt, intent.nonce) =>
            {
                return if matches_go(self) { unchanged() } else { vec![] };
            }
            Some(_) => return if self.matches_answer(&intent.key, outcome) { unchanged() } else { vec![] },
            None if matches!(outcome, StoreOutcome::Ended(e) if e.code == "program_ended") => {
                let StoreOutcome::Ended(e) = outcome else { return vec![] };
                after.jobs.insert(intent.key.clone(), ended_state(e));
                return vec![after];
            }
            None if intent.cap > 0 && self.spent + self.reserved >= self.allowance => {
                let (verdict, code) = (Verdict::Refused as u8, "allowance_spent".to_string());
                let end = JobState::Ended { verdict, code, tokens: 0 };
                after.jobs.insert(intent.key.clone(), end);
                return if after.matches_answer(&intent.key, outcome) { vec![after] } else { vec![] };
            }
            None => {
                after.reserved += intent.cap;
                after.started_turns += 1;
            }
        }
        let (edge, attempt, nonce, cap) = (intent.edge, intent.attempt, intent.nonce, intent.cap);
        after.jobs.insert(intent.key.clone(), JobState::Open { edge, attempt, nonce, cap, started_seq });
        if matches_go(&after) {
            vec![after]
        } else {
            vec![]
        }
    }

    fn settle(
        &self,
        key: &str,
        attempt_id: (u64, u32),
        end: &Ended,
        turn: bool,
        outcome: &StoreOutcome,
    ) -> Vec<ProgramState> {
        let unchanged = || vec![self.clone()];
        let unclear = *outcome == StoreOutcome::Unclear;
        match self.jobs.get(key) {
            Some(JobState::Open { edge, attempt, cap, started_seq, .. }) if (*edge, *attempt) == attempt_id => {
                let mut after = self.clone();
                after.end(key, *cap, ended_state(end));
                if turn {
                    let at = after.history.partition_point(|h| h.0 <= *started_seq);
                    after.history.insert(at, (*started_seq, key.into()));
                }
                if after.matches_answer(key, outcome) {
                    vec![after]
                } else {
                    vec![]
                }
            }
            Some(_) if self.matches_answer(key, outcome) => unchanged(),
            None if unclear || *outcome == StoreOutcome::NoProgram => unchanged(),
            _ => vec![],
        }
    }

    fn refuse(&self, key: &str, code: &str, outcome: &StoreOutcome) -> Vec<ProgramState> {
        if self.jobs.contains_key(key) {
            return if self.matches_answer(key, outcome) { vec![self.clone()] } else { vec![] };
        }
        let mut after = self.clone();
        let end = JobState::Ended { verdict: Verdict::Refused as u8, code: code.into(), tokens: 0 };
        after.jobs.insert(key.into(), end);
        if after.matches_answer(key, outcome) {
            vec![after]
        } else {
            vec![]
        }
    }

    fn apply(&self, order: &StoreInvocation, outcome: &StoreOutcome) -> Vec<ProgramState> {
        let mut after = self.clone();
        let matches_outcome = match (order, outcome) {
            (StoreInvocation::Put { allowance }, outcome) => {
                if !self.exists {
                    (after.exists, after.allowance) = (true, *allowance);
                }
                match outcome {
                    StoreOutcome::Program(read) => after.matches_read(read),
                    StoreOutcome::Conflict => after.allowance != *allowance,
                    outcome => *outcome == StoreOutcome::Unclear,
                }
            }
            (StoreInvocation::Begin(intent), outcome) => return self.begin(intent, outcome),
            (StoreInvocation::Settle { key, edge, attempt, end, turn }, outcome) => {
                return self.settle(key, (*edge, *attempt), end, *turn, outcome)
            }
            (StoreInvocation::Refuse { key, code }, outcome) => return self.refuse(key, code, outcome),
            (StoreInvocation::Read | StoreInvocation::Look { .. }, StoreOutcome::Unclear) => true,
            (StoreInvocation::Read, StoreOutcome::Program(read)) => self.matches_read(read),
            (StoreInvocation::Look { key }, StoreOutcome::Program(read)) => {
                !self.jobs.contains_key(key) && self.matches_read(read)
            }
            (StoreInvocation::Read | StoreInvocation::Look { .. }, StoreOutcome::NoProgram) => !self.exists,
            (StoreInvocation::Look { key }, outcome) => self.matches_answer(key, outcome),
            _ => false,
        };
        if matches_outcome {
            vec![after]
        } else {
            vec![]
        }
    }
}

impl ProgramModel {
    pub fn program_ids(observed: &Observations) -> BTreeSet<String> {
        observed.store_operations.iter().map(|seen| seen.program.clone()).collect()
    }

    pub fn of(observed: &Observations, program: &str) -> ProgramModel {
        let mut ended = BTreeSet::new();
        for seen in observed.store_operations.iter().filter(|seen| seen.program == program) {
            let key = match &seen.order {
                StoreInvocation::Begin(intent) => &intent.key,
                StoreInvocation::Settle { key, .. }
                | StoreInvocation::Refuse { key, .. }
                | StoreInvocation::Look { key } => key,
                StoreInvocation::Put { .. } | StoreInvocation::Read => continue,
            };
            if matches!(&seen.outcome, StoreOutcome::Ended(e) if e.code != EDGE_LOST_CODE) {
                ended.insert(key.clone());
            }
        }
        ProgramModel { ended }
    }

    pub fn calls(observed: &Observations, program: &str) -> Vec<Call<StoreOperation>> {
        let is_accepted = |seen: &&StoreRecord| seen.program == program && seen.outcome != StoreOutcome::NotTaken;
        observed
            .store_operations
            .iter()
            .filter(is_accepted)
            .map(|seen| Call {
                invoked_at: seen.from,
                responded_at: seen.until,
                operation: (seen.order.clone(), seen.outcome.clone()),
            })
            .collect()
    }

    /// Returns this state and each state in which some of the jobs that may lapse have lapsed.
    fn with_lapses(&self, state: &ProgramState) -> Vec<ProgramState> {
        let mut all = vec![state.clone()];
        for (key, job) in &state.jobs {
            let JobState::Open { cap, .. } = job else { continue };
            if self.ended.contains(key) {
                continue;
            }
            let lapsed = |state: &ProgramState| {
                let mut after = state.clone();
                let end =
                    JobState::Ended { verdict: Verdict::InDoubt as u8, code: EDGE_LOST_CODE.into(), tokens: *cap };
                after.end(key, *cap, end);
                after
            };
            let with_lapse: Vec<ProgramState> = all.iter().map(lapsed).collect();
            all.extend(with_lapse);
        }
        all
    }
}

impl Model for ProgramModel {
    type State = ProgramState;
    type Operation = StoreOperation;

    fn initial(&self) -> ProgramState {
        ProgramState::default()
    }

    fn step(&self, state: &ProgramState, (order, outcome): &StoreOperation) -> Vec<ProgramState> {
        self.with_lapses(state).iter().flat_map(|state| state.apply(order, outcome)).collect()
    }
}
