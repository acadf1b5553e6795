//! Programs with their allowance, remaining time and history, and all jobs by key.

use super::measured::{list_bytes, HeapBytes};
use super::messages::*;
use super::Store;
use crate::constants::*;

/// Returns the id of a job: its key within its program. Neither keys nor program ids contain 0x1f.
fn job_id(program: &str, key: &str) -> String {
    format!("{program}\u{1f}{key}")
}

impl Store {
    pub(super) fn job_response(&self, program: &str, key: &str, digest: u64) -> Option<StoreResponse> {
        let job = self.state.jobs.get(&job_id(program, key))?;
        // a digest of 0 matches any body
        if digest != 0 && job.digest != digest {
            return Some(StoreResponse::BodyMismatch);
        }
        Some(match &job.state {
            JobState::Open { .. } => StoreResponse::Running,
            JobState::Ended(ended) => StoreResponse::Ended(ended.clone()),
        })
    }

    fn schedule_expiry(&mut self, at: u64, id: &str) {
        self.state.due.schedule(at, id.into());
    }

    pub(super) fn put_program(
        &mut self,
        index: u64,
        id: &str,
        allowance: u64,
        remaining_ms: u64,
        retention: u64,
    ) -> StoreResponse {
        let now = self.state.clock;
        if let Some(program) = self.state.programs.get(id) {
            // repeating the same request is allowed; changing the allowance of an existing program is not
            if program.allowance == allowance && program.retention_ms == retention {
                return StoreResponse::Program(program.clone(), now);
            }
            return StoreResponse::Conflict;
        }
        let program = Program {
            id: id.to_string(),
            allowance,
            spent: 0,
            reserved: 0,
            ends_at: now + remaining_ms,
            expires_at: now + remaining_ms + retention,
            retention_ms: retention,
            history: vec![],
            last_group: String::new(),
            created_index: index,
        };
        // later use extends the expiry; it is rescheduled when the first one is due
        self.schedule_expiry(program.expires_at, id);
        self.state.programs.insert(id.to_string(), program.clone());
        StoreResponse::Program(program, now)
    }

    fn end_job(&mut self, id: &str, ended: JobResult) {
        let now = self.state.clock;
        let forget = self.state.jobs.update(id, |job| {
            job.state = JobState::Ended(ended);
            job.expires_at = now + job.retention_ms;
            job.expires_at
        });
        self.open_jobs.remove(id);
        forget.into_iter().for_each(|at| self.schedule_expiry(at, id));
    }

    pub(super) fn refuse(&mut self, intent: &Intent, code: &str) -> StoreResponse {
        let ended = JobResult { outcome: JobOutcome::Refused, code: code.to_string(), body: String::new(), tokens: 0 };
        let id = job_id(&intent.program, &intent.key);
        let state = JobState::Ended(ended.clone());
        let job = Job {
            digest: intent.digest,
            route: intent.route.clone(),
            at_most_once: intent.at_most_once,
            state,
            expires_at: 0,
            retention_ms: intent.retention_ms,
        };
        self.state.jobs.insert(id.clone(), job);
        self.end_job(&id, ended.clone());
        StoreResponse::Ended(ended)
    }

    pub(super) fn begin(&mut self, index: u64, intent: Intent) -> StoreResponse {
        let id = job_id(&intent.program, &intent.key);
        let now = self.state.clock;
        // a further attempt keeps the position of the first
        let mut first_index = index;
        let is_further_attempt = match self.state.jobs.get(&id) {
            None => false,
            Some(job) => match &job.state {
                // the next attempt of a job that may be repeated, or wasn't sent, by the same request
                JobState::Open { edge, attempt, nonce, start_index: began, .. }
                    if (!job.at_most_once || intent.previous_unsent)
                        && (*edge, *nonce) == (intent.edge, intent.nonce)
                        && intent.attempt > *attempt =>
                {
                    first_index = *began;
                    true
                }
                // the same request retries after it lost the response
                JobState::Open { edge, attempt, nonce, .. }
                    if (*edge, *attempt, *nonce) == (intent.edge, intent.attempt, intent.nonce) =>
                {
                    let history = self.state.programs.get(&intent.program).map(|program| program.history.clone());
                    return history.map_or(StoreResponse::NoProgram, StoreResponse::Started);
                }
                _ => return self.job_response(&intent.program, &intent.key, intent.digest).expect("the job exists"),
            },
        };
        let Some(program) = self
            .state
            .programs
            .get(&intent.program)
            .filter(|program| program.created_index == intent.program_created_index)
        else {
            return StoreResponse::NoProgram;
        };
        if !is_further_attempt {
            if now >= program.ends_at {
                return self.refuse(&intent, "program_ended");
            }
            // only turns output tokens
            if intent.cap > 0 && program.spent + program.reserved >= program.allowance {
                return self.refuse(&intent, "allowance_spent");
            }
        }
        let history = program.history.clone();
        self.state.programs.update(&intent.program, |program| {
            if !is_further_attempt {
                program.reserved += intent.cap;
            }
            if !intent.group.is_empty() {
                program.last_group = intent.group.clone();
            }
            program.expires_at = program.expires_at.max(now + program.retention_ms);
        });
        let until = now + DISPATCH_WINDOW_MS + intent.run_ms;
        let state = JobState::Open {
            edge: intent.edge,
            attempt: intent.attempt,
            server: intent.server,
            expires_at: until,
            cap: intent.cap,
            nonce: intent.nonce,
            edge_addr: intent.edge_addr,
            start_index: first_index,
        };
        let job = Job {
            digest: intent.digest,
            route: intent.route,
            at_most_once: intent.at_most_once,
            state,
            expires_at: 0,
            retention_ms: intent.retention_ms,
        };
        self.state.jobs.insert(id.clone(), job);
        self.open_jobs.insert(id.clone(), ());
        self.schedule_expiry(until, &id);
        StoreResponse::Started(history)
    }

    pub(super) fn settle(
        &mut self,
        program: &str,
        key: &str,
        by_edge: u64,
        by_attempt: u32,
        ended: JobResult,
        turn: Option<Turn>,
    ) -> StoreResponse {
        let id = job_id(program, key);
        let Some(job) = self.state.jobs.get(&id) else { return StoreResponse::NoProgram };
        let (cap, began) = match &job.state {
            JobState::Open { edge, attempt, cap, start_index: began, .. }
                if *edge == by_edge && *attempt == by_attempt =>
            {
                (*cap, *began)
            }
            JobState::Open { .. } => return StoreResponse::Running,
            JobState::Ended(ended) => return StoreResponse::Ended(ended.clone()),
        };
        self.release(program, cap, ended.tokens);
        let now = self.state.clock;
        if let Some(turn) = turn {
            self.state.programs.update(program, |program| {
                // an end may be recorded long after its answer was streamed, when the client has already gone on: turns
                // are ordered by their start, and one that was requested after another's end started after it
                let at = program.history.partition_point(|h| h.start_index <= began);
                program.history.insert(at, Turn { start_index: began, ..turn });
                program.expires_at = program.expires_at.max(now + program.retention_ms);
            });
        }
        self.end_job(&id, ended.clone());
        StoreResponse::Ended(ended)
    }

    fn release(&mut self, program: &str, cap: u64, tokens: u64) {
        self.state.programs.update(program, |program| {
            program.reserved -= cap;
            program.spent += tokens;
        });
    }

    /// Ends and deletes what has expired by the store's clock.
    pub(super) fn expire(&mut self) {
        let now = self.state.clock;
        while let Some(id) = self.state.due.pop_due(now) {
            self.expire_item(&id, now);
        }
    }

    fn expire_item(&mut self, id: &str, now: u64) {
        if let Some(program) = self.state.programs.get(id) {
            if program.expires_at > now {
                self.schedule_expiry(program.expires_at, id);
            } else if program.reserved > 0 {
                self.schedule_expiry(now + DEFAULT_RUN_MS, id);
            } else {
                self.state.programs.remove(id);
            }
            return;
        }
        let Some(job) = self.state.jobs.get(id) else { return };
        match &job.state {
            JobState::Open { expires_at: until, cap, .. } if *until <= now => {
                // its edge is lost: it can no longer be running, and it may have output all tokens it reserved
                let cap = *cap;
                let program = id.split('\u{1f}').next().unwrap_or_default().to_string();
                self.release(&program, cap, cap);
                let code = "edge_lost".to_string();
                self.end_job(id, JobResult { outcome: JobOutcome::InDoubt, code, body: String::new(), tokens: cap });
            }
            JobState::Ended(_) if job.expires_at <= now => {
                // a key is retained as long as its program exists, or the job could run again under it
                let program = id.split('\u{1f}').next().unwrap_or_default();
                match self.state.programs.get(program).map(|program| program.expires_at.max(now + 1)) {
                    Some(at) => self.schedule_expiry(at, id),
                    None => drop(self.state.jobs.remove(id)),
                }
            }
            _ => {}
        }
    }
}

/// Returns when a job is next checked for expiry, in milliseconds on the store's clock.
pub(super) fn job_due(job: &Job) -> u64 {
    match job.state {
        JobState::Open { expires_at: until, .. } => until,
        JobState::Ended(_) => job.expires_at,
    }
}

impl HeapBytes for Turn {
    fn heap_bytes(&self) -> usize {
        self.input.heap_bytes() + self.answer.heap_bytes() + self.key.heap_bytes()
    }
}

impl HeapBytes for Program {
    fn heap_bytes(&self) -> usize {
        let history = list_bytes(&self.history, self.history.capacity());
        self.id.heap_bytes() + self.last_group.heap_bytes() + history
    }
}

impl HeapBytes for Job {
    fn heap_bytes(&self) -> usize {
        let state = match &self.state {
            JobState::Open { server, edge_addr: at, .. } => server.heap_bytes() + at.heap_bytes(),
            JobState::Ended(ended) => ended.code.heap_bytes() + ended.body.heap_bytes(),
        };
        self.route.heap_bytes() + state
    }
}
