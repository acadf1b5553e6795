//! The replicated state of a store group: programs and jobs by key, and the turns and token accounts of
//! proxied requests.

mod accounts;
mod expiry;
mod format_3;
mod group_membership;
mod ids;
mod measured;
mod messages;
mod programs;
mod servers;
mod stored_turns;
mod turns;
mod usage;

pub use group_membership::next_membership_change;
pub use messages::*;
pub use usage::StateUsage;

use super::raft::{Raft, RejectReason};
use super::replica::{LeaderContext, LeaderTask, Plan, StateMachine};
use super::slot_allocation::OpenJobCount;
use super::store_admission::{Load, Refusal, StoreAdmission, WorkClass};
use crate::constants::*;
use crate::state::entry::{from_bytes, to_bytes, Member, Members};
use crate::state::memory::MemoryBudget;
use crate::state::snapshot_data::{SnapshotData, SnapshotReader, SnapshotTexts};
use crate::state::texts::{SegmentSource, TextOp, TextPlace};
use bytes::Bytes;
use expiry::ExpiryQueue;
use measured::MeasuredMap;
use minicbor::decode;
use minicbor::encode::{self, Encoder, Write};
use programs::job_due;
use std::collections::BTreeMap;
use std::sync::Arc;
use turns::Turns;

/// Number of fields of a state in a snapshot: clock, programs, jobs, turns.
const FIELDS: u64 = 4;
/// Number of fields up to disk format 3: clock, programs, jobs, their expiry times, turns.
const FIELDS_FORMAT_3: u64 = 5;

/// The replicated state, as it is encoded in a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    clock: u64,
    programs: MeasuredMap<String, Program>,
    jobs: MeasuredMap<String, Job>,
    /// When programs and jobs are next checked for expiry; derived from them.
    due: ExpiryQueue<Box<str>>,
    /// Turns and accounts of proxied requests.
    turns: Turns,
}

/// Members that the control group wants this group to have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipOrders {
    pub wanted_members: Vec<Member>,
}

impl State {
    /// Encodes the state for a snapshot.
    fn write<W: Write>(&self, e: &mut Encoder<W>) -> Result<(), encode::Error<W::Error>> {
        e.array(FIELDS)?.encode(self.clock)?.encode(&self.programs)?.encode(&self.jobs)?;
        self.turns.write(e)
    }

    /// Decodes item by item what `write` or a version with disk format 3 or older wrote.
    fn read(mut reader: SnapshotReader) -> Result<State, decode::Error> {
        let fields = reader.count(|d| d.array())?;
        let mut state = State { clock: reader.item()?, ..State::default() };
        for _ in 0..reader.count(|d| d.map())? {
            let (id, program): (String, Program) = (reader.item()?, reader.item()?);
            state.due.schedule(program.expires_at, id.as_str().into());
            state.programs.insert(id, program);
        }
        for _ in 0..reader.count(|d| d.map())? {
            let (id, job): (String, Job) = (reader.item()?, reader.item()?);
            state.due.schedule(job_due(&job), id.as_str().into());
            state.jobs.insert(id, job);
        }
        if fields == FIELDS_FORMAT_3 {
            // expiry times are derived from the programs and jobs
            reader.read(|d| d.skip())?;
        }
        state.turns = Turns::read(&mut reader, state.clock)?;
        Ok(state)
    }

    /// Memory that this state takes, in bytes by kind.
    fn usage(&self) -> StateUsage {
        StateUsage {
            turn_index: self.turns.index_bytes(),
            accounts: self.turns.accounts.bytes(),
            jobs: self.jobs.bytes(STATE_JOB_BYTES) + self.due.bytes(STATE_DUE_BYTES),
            programs: self.programs.bytes(STATE_PROGRAM_BYTES),
        }
    }
}

#[derive(Default)]
pub struct Store {
    state: State,
    budget: MemoryBudget,
    admission: StoreAdmission,
    /// Ids of the jobs that are open; derived from the state.
    open_jobs: MeasuredMap<String, ()>,
    /// (store clock, local time) when this member became leader; the leader's clock runs on from there.
    clock_base: Option<(u64, u64)>,
    clock_proposed_at: u64,
    /// Reads this member's text segments, which go to members that need a snapshot.
    segment_source: Option<Arc<dyn SegmentSource>>,
    pub orders: MembershipOrders,
}

impl Store {
    /// Returns an empty state that refuses new work once it has used up its share of memory or disk.
    /// `texts` reads the texts that it has stored on disk.
    pub fn with(budget: MemoryBudget, texts: Arc<dyn SegmentSource>) -> Store {
        Store { budget, segment_source: Some(texts), ..Store::default() }
    }

    /// Returns roughly how many bytes the state takes, and its limit.
    pub fn state_bytes(&self) -> (usize, usize) {
        (self.usage().total(), self.budget.state)
    }

    /// Returns the memory that the state takes, by kind.
    pub fn usage(&self) -> StateUsage {
        let mut usage = self.state.usage();
        usage.jobs += self.open_jobs.bytes(STATE_OPEN_JOB_BYTES);
        usage
    }

    /// Returns the class of work that the request adds; None for reads and for requests that end running work.
    fn work_class(&self, request: &StoreRequest) -> Option<WorkClass> {
        match request {
            StoreRequest::TurnAdmission(admission) => {
                let is_first = admission.previous_turn.is_empty() && !self.state.turns.has_account(&admission.program);
                Some(WorkClass::of(is_first, admission.retention_ms > 0))
            }
            StoreRequest::PutProgram { id, .. } => Some(WorkClass::of(!self.state.programs.contains_key(id), true)),
            StoreRequest::BeginJob(_) => Some(WorkClass::NextKept),
            _ => None,
        }
    }

    fn load(&self) -> Load {
        let (accounts, _, _) = self.state.turns.counts();
        let (texts, max_texts) = self.text_disk_bytes();
        let bytes = self.usage().total();
        let uses = [(bytes, self.budget.state), (texts as usize, max_texts as usize), (accounts, MAX_ACCOUNTS)];
        Load::new(&uses, accounts + self.state.programs.len(), bytes)
    }

    /// Returns a refusal if there is no capacity for the new work of the request.
    fn refusal(&mut self, now: u64, request: &StoreRequest) -> Option<Refusal> {
        let class = self.work_class(request)?;
        let (clock, load) = (self.clock(now), self.load());
        self.admission.admit(clock, class, &load).err()
    }

    fn clock(&mut self, now: u64) -> u64 {
        let clock = self.clock_base.map_or(self.state.clock, |(clock, since)| clock + now.saturating_sub(since));
        if clock >= self.state.clock {
            return clock;
        }
        // a member becomes leader before it has applied all committed entries: after a power loss its clock would
        // start at that of the last snapshot and stall until the same time had elapsed once more
        self.clock_base = self.clock_base.map(|_| (self.state.clock, now));
        self.state.clock
    }

    pub fn counts(&self) -> (usize, usize, u64) {
        (self.state.programs.len(), self.state.jobs.len(), self.state.clock)
    }

    /// Returns the places of the texts of stored turns.
    pub fn stored_text_places(&self) -> impl Iterator<Item = TextPlace> + '_ {
        self.state.turns.stored.texts()
    }

    /// Returns the bytes that texts take on disk, and their limit.
    pub fn text_disk_bytes(&self) -> (u64, u64) {
        (self.state.turns.stored.disk_bytes(), self.budget.texts_on_disk)
    }

    /// Returns the number of accounts and of stored turns, and the bytes of the turns' texts.
    pub fn turn_counts(&self) -> (usize, usize, u64) {
        self.state.turns.counts()
    }
}

impl StateMachine for Store {
    type Request = StoreRequest;
    type Response = StoreResponse;
    type Computation = ();

    fn plan(&mut self, context: LeaderContext, request: &StoreRequest) -> Plan<StoreResponse> {
        // decided before the request is proposed: members may have machines of different size, but their states
        // must be the same
        if let Some(refusal) = self.refusal(context.now, request) {
            return Plan::Reply(StoreResponse::Busy(Some(refusal)));
        }
        match request {
            StoreRequest::GetProgram { .. }
            | StoreRequest::LookupJob { .. }
            | StoreRequest::Status
            | StoreRequest::ListOpenJobs => Plan::Read,
            _ => {
                self.clock_proposed_at = context.now;
                Plan::Propose(to_bytes(&StoreCommand {
                    clock: self.clock(context.now),
                    request: Some(request.clone()),
                }))
            }
        }
    }

    fn answer(&mut self, context: LeaderContext, request: StoreRequest) -> StoreResponse {
        let clock = self.clock(context.now);
        match request {
            StoreRequest::GetProgram { id } => match self.state.programs.get(&id) {
                Some(program) => StoreResponse::Program(program.clone(), clock),
                None => StoreResponse::NoProgram,
            },
            StoreRequest::LookupJob { program, key, digest } => match self.job_response(&program, &key, digest) {
                Some(response) => response,
                None => match self.state.programs.get(&program) {
                    Some(program) => StoreResponse::Unknown(program.clone(), clock),
                    None => StoreResponse::NoProgram,
                },
            },
            StoreRequest::ListOpenJobs => {
                let mut open_jobs: BTreeMap<(u64, &str, &str), u32> = BTreeMap::new();
                for job in self.open_jobs.iter().filter_map(|(id, ())| self.state.jobs.get(id)) {
                    if let JobState::Open { edge, server, edge_addr: at, .. } = &job.state {
                        *open_jobs.entry((*edge, at, server)).or_default() += 1;
                    }
                }
                let row = |((edge, at, server), jobs): ((u64, &str, &str), u32)| OpenJobCount {
                    edge,
                    edge_addr: at.into(),
                    server: server.into(),
                    jobs,
                };
                StoreResponse::OpenJobs(open_jobs.into_iter().map(row).collect())
            }
            _ => {
                let (programs, jobs, clock) = self.counts();
                StoreResponse::Status { programs: programs as u64, jobs: jobs as u64, clock }
            }
        }
    }

    fn apply(&mut self, index: u64, _term: u64, bytes: &[u8]) -> StoreResponse {
        let Ok(command) = minicbor::decode::<StoreCommand>(bytes) else {
            // deterministic: the same bytes fail in the same way on every replica
            return StoreResponse::OutcomeUnknown;
        };
        self.state.clock = self.state.clock.max(command.clock);
        let before = self.state.usage().total();
        self.expire();
        let now = self.state.clock;
        self.state.turns.expire(now);
        self.admission.note_freed(now, before.saturating_sub(self.state.usage().total()));
        // only the leader's response is sent to a client
        let is_leader = self.clock_base.is_some();
        match command.request {
            None => StoreResponse::Settled,
            Some(StoreRequest::PutProgram { id, allowance, time_left_ms, retention_ms }) => {
                self.put_program(index, &id, allowance, time_left_ms, retention_ms)
            }
            Some(StoreRequest::BeginJob(intent)) => self.begin(index, intent),
            Some(StoreRequest::SettleJob { program, key, edge, attempt, ended, turn }) => {
                self.settle(&program, &key, edge, attempt, ended, turn)
            }
            Some(StoreRequest::RefuseJob { program, key, digest, route, code, retention_ms }) => {
                if let Some(response) = self.job_response(&program, &key, digest) {
                    return response;
                }
                let intent = Intent {
                    program,
                    key,
                    digest,
                    route,
                    at_most_once: true,
                    edge: 0,
                    attempt: 0,
                    server: String::new(),
                    cap: 0,
                    run_ms: 0,
                    retention_ms,
                    group: String::new(),
                    nonce: 0,
                    edge_addr: String::new(),
                    previous_unsent: false,
                    program_created_index: 0,
                };
                self.refuse(&intent, &code)
            }
            Some(StoreRequest::TurnAdmission(admission)) => self.state.turns.admit(now, &admission, is_leader),
            Some(StoreRequest::TurnEnd(end)) => self.state.turns.record_end(now, end),
            Some(_) => StoreResponse::OutcomeUnknown,
        }
    }

    fn members_committed(&mut self, _index: u64, _m: &Members) -> StoreResponse {
        StoreResponse::Settled
    }

    fn snapshot(&self) -> SnapshotData {
        let mut encoder = Encoder::new(vec![]);
        self.state.write(&mut encoder).expect("encoding to memory");
        let data = SnapshotData::from(encoder.into_writer());
        match &self.segment_source {
            Some(source) => data.with_texts(SnapshotTexts::new(source.clone(), self.state.turns.stored.segments())),
            None => data,
        }
    }

    fn restore(&mut self, data: &SnapshotData) {
        // frees the old state first: both at once may need more memory than the machine has
        self.state = State::default();
        self.open_jobs = MeasuredMap::default();
        // its digest has been verified by the caller; continuing from an empty state would lose acknowledged data
        self.state = State::read(data.drain()).expect("a snapshot that passed its digest can be decoded");
        self.state.turns.stored.retain_segments();
        let open_jobs = self.state.jobs.iter().filter(|(_, j)| matches!(j.state, JobState::Open { .. }));
        self.open_jobs = open_jobs.map(|(id, _)| (id.clone(), ())).collect();
        data.share(&self.snapshot());
    }

    fn became_leader(&mut self, context: LeaderContext) {
        self.clock_base = Some((self.state.clock, context.now));
        self.clock_proposed_at = context.now;
        self.admission.reset_for_new_leader(self.state.clock);
        // orders received before this term may be older than ones that another leader has carried out
        self.orders = MembershipOrders::default();
    }

    fn stepped_down(&mut self) {
        self.clock_base = None;
        self.orders = MembershipOrders::default();
    }

    fn tick(&mut self, context: LeaderContext, raft: &Raft) -> Vec<LeaderTask<()>> {
        let mut tasks: Vec<LeaderTask<()>> = next_membership_change(&self.orders.wanted_members, raft, context.now)
            .into_iter()
            .map(LeaderTask::Change)
            .collect();
        if context.now >= self.clock_proposed_at + CLOCK_COMMIT_INTERVAL_MS {
            self.clock_proposed_at = context.now;
            tasks.push(LeaderTask::Propose(to_bytes(&StoreCommand { clock: self.clock(context.now), request: None })));
        }
        tasks
    }

    fn take_text_ops(&mut self) -> Vec<TextOp> {
        self.state.turns.stored.take_text_ops()
    }

    fn missing_texts(response: &StoreResponse) -> Vec<TextPlace> {
        match response {
            StoreResponse::TurnAdmitted { chain, .. } => chain.iter().filter_map(|record| record.stored).collect(),
            _ => vec![],
        }
    }

    fn with_texts(response: StoreResponse, texts: Vec<Option<Bytes>>) -> StoreResponse {
        let StoreResponse::TurnAdmitted { chain, server } = response else { return response };
        let mut texts = texts.into_iter();
        let read = |record: TurnRecord| match record.stored {
            Some(_) => texts.next().flatten().and_then(|text| from_bytes::<TurnRecord>(&text)),
            None => Some(record),
        };
        match chain.into_iter().map(read).collect() {
            Some(chain) => StoreResponse::TurnAdmitted { chain, server },
            // an unreadable text must be reported neither as another text nor as unknown
            None => StoreResponse::Busy(None),
        }
    }

    fn references_text(&self, place: &TextPlace) -> bool {
        self.stored_text_places().any(|named| named == *place)
    }

    fn denied(&self, reason: RejectReason, leader: Option<Member>) -> StoreResponse {
        match reason {
            RejectReason::NotLeader => StoreResponse::NotLeader(leader),
            RejectReason::Busy => StoreResponse::Busy(None),
            RejectReason::OutcomeUnknown | RejectReason::Unsafe(_) => StoreResponse::OutcomeUnknown,
        }
    }
}

#[cfg(test)]
mod tests;
