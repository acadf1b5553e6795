//! Records of what clients, backends and operators observed. Times are in milliseconds on one clock.

use hutbook::coordination::store::{Ended, Intent};
use jzon::JsonValue;
use std::collections::BTreeMap;

/// The start of one run, as the backend recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    pub at: u64,
    pub server: String,
    pub key: String,
    /// Runs in progress there, this one included, and runs finished before it.
    pub running: u32,
    pub finished: u64,
    /// Config revision of its dispatch.
    pub config_revision: u64,
}

/// One job as its client observed it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobRecord {
    pub program: String,
    pub key: String,
    pub route: String,
    pub job_class: String,
    pub at_most_once: bool,
    pub turn: bool,
    pub asked_at: u64,
    /// (run, seq) of each chunk in the order of arrival; then the tokens and the text of all chunks.
    pub chunks: Vec<(u32, u64)>,
    pub tokens: u64,
    pub text: String,
    /// The verdict's text of a turn that is done.
    pub answer: Option<String>,
    /// When its client had the final verdict, or gave up.
    pub ended_at: Option<u64>,
    /// Edges that the job was requested at.
    pub edges: Vec<String>,
    pub first_answer_at: Option<u64>,
    /// (when, verdict, code) of every response to this key.
    pub verdicts: Vec<(u64, String, String)>,
    /// Connections that ended without a verdict.
    pub broken_connections: u32,
    /// How often its client hung up on an edge that sent nothing for too long.
    pub client_hangups: u32,
    pub max_tokens: u64,
}

/// One request of a job at one edge, from its arrival until the edge had finished it or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    pub key: String,
    pub from: u64,
    /// None while the edge is still processing it.
    pub until: Option<u64>,
}

/// An operator's command or read.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlInvocation {
    /// `number` is the operator's own and `base` is such a number as well; if `number` is 0, `base` is a revision.
    /// The same `change` means the same command repeated; `document` is a digest of the text.
    PutConfig {
        base: u64,
        number: u64,
        change: String,
        document: u64,
    },
    ReadConfig,
    /// Revision and number of the configuration in force.
    ReadNumber,
    Evacuate {
        zone: String,
        out: bool,
    },
    ReadEvacuation {
        zone: String,
    },
}

/// The outcome of a command or read, as the operator received it.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlOutcome {
    /// Accepted, at this revision.
    Accepted(u64),
    /// Another change was accepted first: the revision, or the number, in force.
    Overtaken(u64),
    /// Refused: no effect, now or later.
    Refused,
    Config {
        revision: u64,
        document: u64,
    },
    Number {
        revision: u64,
        number: u64,
    },
    /// Evacuated since this revision.
    Evacuated(u64),
    Nothing,
    /// No response, or one without a clear outcome: it may take effect at any later time, or never.
    Unclear,
}

/// One command or read, from its request until its response (None if the outcome stayed unclear).
#[derive(Clone, Debug, PartialEq)]
pub struct ControlRecord {
    pub from: u64,
    pub until: Option<u64>,
    pub order: ControlInvocation,
    pub outcome: ControlOutcome,
}

/// A request of an edge, or of a client through an edge, to a program's store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreInvocation {
    Put { allowance: u64 },
    Read,
    Look { key: String },
    Begin(Box<Intent>),
    Settle { key: String, edge: u64, attempt: u32, end: Ended, turn: bool },
    Refuse { key: String, code: String },
}

/// A program as the store returned it, with its history as the keys of its turns.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedProgram {
    pub allowance: u64,
    pub spent: u64,
    pub reserved: u64,
    pub history: Vec<String>,
}

/// A store's response.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutcome {
    Program(ObservedProgram),
    NoProgram,
    Conflict,
    Running,
    Ended(Ended),
    /// The job may start, after these turns.
    Go(Vec<String>),
    /// The replica is not the leader: no effect, now or later.
    NotTaken,
    Unclear,
}

/// One copy of a request to a program's store, from its request until its response (None if the outcome stayed
/// unclear).
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRecord {
    pub program: String,
    pub from: u64,
    pub until: Option<u64>,
    pub order: StoreInvocation,
    pub outcome: StoreOutcome,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramRecord {
    pub allowance: u64,
    /// Its history as last read; None if it was never read.
    pub history: Option<Vec<TurnRecord>>,
}

/// One turn of a history. The simulated clients send `KEY?` as input.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TurnRecord {
    pub key: String,
    pub input: String,
    pub answer: String,
}

/// A sample of one edge's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EdgeSample {
    pub at: u64,
    pub node: String,
    /// The edge has a lease and so may dispatch jobs.
    pub has_lease: bool,
    pub config_revision: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Observations {
    pub jobs: Vec<JobRecord>,
    /// Requests for jobs while edges process them, also those whose client is gone.
    pub requests: Vec<RequestRecord>,
    pub programs: BTreeMap<String, ProgramRecord>,
    /// Commands and reads of operators, as sent.
    pub control_operations: Vec<ControlRecord>,
    /// Requests to the stores, each copy that an edge sent.
    pub store_operations: Vec<StoreRecord>,
    pub runs: Vec<RunRecord>,
    /// (server, id, body) of each proxied request that an edge sent.
    pub proxied_sends: Vec<(String, String, Vec<u8>)>,
    /// server → (zone, slots, jobs per further slot during warm-up).
    pub servers: BTreeMap<String, (String, u32, u32)>,
    /// (from, until, server): the server was marked as leaving.
    pub leaving_servers: Vec<(u64, u64, String)>,
    /// (done, until, zone): the evacuation was reported done.
    pub evacuations: Vec<(u64, u64, String)>,
    /// (when, revision): configs accepted, in order.
    pub configs: Vec<(u64, u64)>,
    /// Changes that were reported as overtaken by another change.
    pub overtaken_changes: Vec<String>,
    /// (revision, change) as listed whenever the control group's config history was read.
    pub history: Vec<(u64, String)>,
    pub edge_samples: Vec<EdgeSample>,
    /// Config revision read back at the end.
    pub read_back: Option<u64>,
    /// (when all processes were up again after a total loss, first job done after that).
    pub total_losses: Vec<(u64, Option<u64>)>,
    /// Times of planned changes: configs, restarts, servers removed, zones evacuated.
    pub planned_changes: Vec<u64>,
    /// (from, until, node): injected faults.
    pub fault_spans: Vec<(u64, u64, String)>,
    /// (from, until, which): a group had no majority available: no voter had enough others that were up, running,
    /// with a healthy disk, connected and with no newer log. The simulation knows this, the fleet doesn't.
    /// `service`: no edge could reach both majorities and a model server.
    pub quorum_losses: Vec<(u64, u64, String)>,
    /// (from, until, which): a majority was available, but the group had no leader, or no edge had a lease.
    pub stall_spans: Vec<(u64, u64, String)>,
    /// (from, until): when the failure of a table's column was active.
    pub failure_windows: Vec<(u64, u64)>,
}

impl Observations {
    /// Returns the longest time without any job's first answer between two times, in milliseconds.
    pub fn gap(&self, from: u64, until: u64) -> u64 {
        let firsts = self.jobs.iter().filter_map(|j| j.first_answer_at).filter(|f| (from..=until).contains(f));
        let mut at: Vec<u64> = firsts.chain([from, until]).collect();
        at.sort_unstable();
        at.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0)
    }
}

/// Node name of faults that affect the whole network.
pub const NETWORK: &str = "network";

/// Counts the tokens of a simulated server's text: each word is one token.
pub fn tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

pub fn run_to_json(r: &RunRecord) -> JsonValue {
    jzon::object! { at: r.at, server: r.server.as_str(), key: r.key.as_str(), busy: r.running, done: r.finished, rev: r.config_revision }
}

pub fn run_from_json(line: &str) -> Option<RunRecord> {
    let v = jzon::parse(line).ok()?;
    Some(RunRecord {
        at: v["at"].as_u64()?,
        server: v["server"].as_str()?.into(),
        key: v["key"].as_str()?.into(),
        running: v["busy"].as_u32()?,
        finished: v["done"].as_u64()?,
        config_revision: v["rev"].as_u64()?,
    })
}
