//! Messages between edges and stores, the records that they carry, and the commands of a store group's log.

use crate::coordination::slot_allocation::OpenJobCount;
use crate::coordination::store_admission::Refusal;
use crate::state::entry::Member;
use crate::state::texts::TextPlace;

messages! {
    pub struct Turn {
        #[n(0)] pub input: String,
        #[n(1)] pub answer: String,
        #[n(2)] pub key: String,
        /// Log index of the entry that first started this turn; the history is in this order.
        #[n(3)] #[cbor(default)] pub start_index: u64,
    }
    pub struct Program {
        #[n(0)] pub id: String,
        #[n(1)] pub allowance: u64,
        #[n(2)] pub spent: u64,
        /// Sum of the caps of turns that may still output tokens.
        #[n(3)] pub reserved: u64,
        /// In milliseconds on the store's clock.
        #[n(4)] pub ends_at: u64,
        #[n(5)] pub expires_at: u64,
        #[n(6)] pub retention_ms: u64,
        #[n(7)] pub history: Vec<Turn>,
        /// Group of the last turn, which makes the tool calls that follow it.
        #[n(8)] pub last_group: String,
        /// Log index of the entry that created it. Distinguishes it from other programs of the same id.
        #[n(9)] pub created_index: u64,
    }
    #[derive(Copy, Eq)]
    pub enum JobOutcome {
        #[n(0)] Done,
        /// It ran and the backend answered with an error.
        #[n(1)] Failed,
        /// It has not run and never will.
        #[n(2)] Refused,
        /// It may have run; it will not be run again.
        #[n(3)] InDoubt,
    }
    pub struct JobResult {
        #[n(0)] pub outcome: JobOutcome,
        #[n(1)] pub code: String,
        /// Answer to the client: the text of a turn or the JSON of a tool call.
        #[n(2)] pub body: String,
        #[n(3)] pub tokens: u64,
    }
    pub enum JobState {
        /// Started, not ended. After `expires_at`, on the store's clock, it can no longer be running.
        #[n(0)] Open { #[n(0)] edge: u64, #[n(1)] attempt: u32, #[n(2)] server: String, #[n(3)] expires_at: u64, #[n(4)] cap: u64, #[n(5)] nonce: u64, #[n(6)] edge_addr: String, #[n(7)] #[cbor(default)] start_index: u64 },
        #[n(1)] Ended(#[n(0)] JobResult),
    }
    pub struct Job {
        #[n(0)] pub digest: u64,
        #[n(1)] pub route: String,
        #[n(2)] pub at_most_once: bool,
        #[n(3)] pub state: JobState,
        #[n(4)] pub expires_at: u64,
        #[n(5)] pub retention_ms: u64,
    }
    /// Intent record: an edge registers a run of a job here before it sends the job to a server.
    pub struct Intent {
        #[n(0)] pub program: String,
        #[n(1)] pub key: String,
        #[n(2)] pub digest: u64,
        #[n(3)] pub route: String,
        #[n(4)] pub at_most_once: bool,
        #[n(5)] pub edge: u64,
        #[n(6)] pub attempt: u32,
        #[n(7)] pub server: String,
        #[n(8)] pub cap: u64,
        #[n(9)] pub run_ms: u64,
        #[n(10)] pub retention_ms: u64,
        /// Group of the server; for turns only.
        #[n(11)] pub group: String,
        /// Distinguishes requests of the same edge for the same job.
        #[n(12)] pub nonce: u64,
        /// Address of the edge.
        #[n(13)] pub edge_addr: String,
        /// The previous attempt was never sent to a server, which only this edge can know.
        #[n(14)] pub previous_unsent: bool,
        /// Log index of the creation of the program that was looked up.
        #[n(15)] pub program_created_index: u64,
    }
    /// Input and output of one turn of proxied requests.
    pub struct TurnRecord {
        #[n(0)] pub turn: String,
        #[cbor(n(1), with = "minicbor::bytes")] pub input: Vec<u8>,
        /// Data of the answer's events, each followed by a line feed.
        #[cbor(n(2), with = "minicbor::bytes")] pub answer: Vec<u8>,
        /// Where the encoded record is stored as long as it has not been read; never on the wire.
        #[cbor(skip)] pub stored: Option<TextPlace>,
    }
    /// Asks for admission of a proxied turn, before its first byte is sent to a server.
    pub struct TurnAdmission {
        /// Unique: the id is never reused.
        #[n(0)] pub turn: String,
        #[n(1)] pub program: String,
        /// A sequence of turns within the program.
        #[n(2)] pub session: String,
        /// The turn that it continues, if its route stores turns; empty for a first turn.
        #[n(3)] pub previous_turn: String,
        /// Tokens that all turns of the program together may output; u64::MAX without a budget.
        #[n(4)] pub budget: u64,
        /// Maximum number of tokens that this turn outputs.
        #[n(5)] pub cap: u64,
        #[n(6)] pub edge: u64,
        /// How long the turn can be running after its admission, at most, in milliseconds.
        #[n(7)] pub run_ms: u64,
        /// How much longer, at least, the turn that it continues and its chain are stored, in milliseconds; 0 if
        /// its route stores no turns.
        #[n(8)] pub retention_ms: u64,
        /// Turns of the chain whose texts the edge has already, so that they needn't be sent.
        #[n(9)] pub cached_turns: Vec<String>,
        /// How long, at least, its program's account is retained after its last use, in milliseconds, even if its
        /// route stores no turns. None from an edge of the previous version.
        #[n(10)] #[cbor(default)] pub account_retention_ms: Option<u64>,
    }
    /// The end of an admitted turn, recorded before its last event goes to the client.
    pub struct TurnEnd {
        #[n(0)] pub turn: String,
        #[n(1)] pub program: String,
        #[n(2)] pub session: String,
        #[n(3)] pub previous_turn: String,
        #[n(4)] pub edge: u64,
        /// Upper bound of the tokens that it has output.
        #[n(5)] pub tokens: u64,
        /// The server where it ran; empty if it did not run.
        #[n(6)] pub server: String,
        /// Its text, if the turn is complete and its route stores turns.
        #[n(7)] pub record: Option<TurnRecord>,
        #[n(8)] pub retention_ms: u64,
    }
    pub enum StoreRequest {
        #[n(0)] PutProgram { #[n(0)] id: String, #[n(1)] allowance: u64, #[n(2)] time_left_ms: u64, #[n(3)] retention_ms: u64 },
        #[n(1)] GetProgram { #[n(0)] id: String },
        /// Reads the state of a job and its program.
        #[n(2)] LookupJob { #[n(0)] program: String, #[n(1)] key: String, #[n(2)] digest: u64 },
        #[n(3)] BeginJob(#[n(0)] Intent),
        /// Records the end of a run that this edge began.
        #[n(4)] SettleJob { #[n(0)] program: String, #[n(1)] key: String, #[n(2)] edge: u64, #[n(3)] attempt: u32, #[n(4)] ended: JobResult, #[n(5)] turn: Option<Turn> },
        /// Records the refusal of a job that has not begun.
        #[n(5)] RefuseJob { #[n(0)] program: String, #[n(1)] key: String, #[n(2)] digest: u64, #[n(3)] route: String, #[n(4)] code: String, #[n(5)] retention_ms: u64 },
        #[n(6)] Status,
        /// Counts the open jobs by edge and server.
        #[n(7)] ListOpenJobs,
        #[n(8)] TurnAdmission(#[n(0)] TurnAdmission),
        #[n(9)] TurnEnd(#[n(0)] TurnEnd),
    }
    pub enum StoreResponse {
        #[n(0)] Program(#[n(0)] Program, #[n(1)] u64),
        #[n(1)] NoProgram,
        #[n(2)] Conflict,
        /// The key is unknown; the program's state and the store's clock.
        #[n(3)] Unknown(#[n(0)] Program, #[n(1)] u64),
        #[n(4)] Running,
        #[n(5)] Ended(#[n(0)] JobResult),
        #[n(6)] Started(#[n(0)] Vec<Turn>),
        #[n(7)] BodyMismatch,
        #[n(8)] Settled,
        #[n(9)] Status { #[n(0)] programs: u64, #[n(1)] jobs: u64, #[n(2)] clock: u64 },
        #[n(10)] NotLeader(#[n(0)] Option<Member>),
        /// Accepted, but the outcome is not known here.
        #[n(11)] OutcomeUnknown,
        /// Not accepted, and it will have no effect; with the refusal if admission control refused it.
        #[n(12)] Busy(#[n(0)] Option<Refusal>),
        #[n(13)] WrongGroup,
        #[n(14)] OpenJobs(#[n(0)] Vec<OpenJobCount>),
        /// The turn may run. Has the chain that it continues, oldest first (with the texts that the edge doesn't
        /// have), and the server where its session ran last.
        #[n(15)] TurnAdmitted { #[n(0)] chain: Vec<TurnRecord>, #[n(1)] server: String },
        /// The program's budget is used up: the turn must not run.
        #[n(16)] TurnBudgetSpent,
        /// The turn that it continues is not stored.
        #[n(17)] PreviousTurnUnknown,
    }
    /// One command of a store group's log.
    pub(super) struct StoreCommand {
        /// The store's clock according to the leader, in milliseconds.
        #[n(0)] pub(super) clock: u64,
        #[n(1)] pub(super) request: Option<StoreRequest>,
    }
}
