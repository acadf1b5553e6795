//! Messages of the control group: the requests of edges, stores and operators, the responses to
//! them, and the commands in its log. Field numbers must never change.

use super::super::fleet_health::{FleetDigest, ServerReport};
use super::super::scaler::{Decision, Sample};
use super::super::slot_allocation::{OpenJobs, SlotReport};
use super::super::view::{Event, StoreGroup, View};
use super::operator_commands::{CommandFence, CommandId};
use crate::state::config::Config;
use crate::state::entry::{Member, Members};
use crate::state::histogram::Histogram;
use std::collections::BTreeMap;

messages! {
    /// One edge's measurements over one window.
    pub struct Window {
        /// The edge's sequence number of this window.
        #[n(0)] pub sequence: u64,
        /// Milliseconds since the window ended.
        #[n(1)] pub age_ms: u64,
        /// (caller, callee, latencies).
        #[n(2)] pub pairs: Vec<(String, String, Histogram)>,
        /// (group, queued, in progress, pressure, cache), averaged over the window.
        #[n(3)] pub groups: Vec<(String, f64, f64, f64, f64)>,
    }
    pub struct LeaseRenewal {
        #[n(0)] pub node: u64,
        #[n(1)] pub zone: String,
        #[n(2)] pub addr: String,
        /// Revision that the edge has applied, and number of the last grant that it received.
        #[n(3)] pub applied_revision: u64,
        #[n(4)] pub last_grant: u64,
        #[n(5)] pub demand: Vec<(String, u32)>,
        #[n(6)] pub slot_reports: Vec<SlotReport>,
        #[n(7)] pub windows: Vec<Window>,
        /// Term of the leader that issued `last_grant`.
        #[n(8)] pub term: u64,
        /// The edge's observations of the servers of proxied requests since its last renewal.
        #[cbor(n(9), default)] pub reports: Vec<ServerReport>,
    }
    pub enum ViewUpdate {
        #[n(0)] Events(#[n(0)] Vec<(u64, Event)>),
        #[n(1)] FullView(#[n(0)] Box<View>),
    }
    pub struct LeaseGrant {
        #[n(0)] pub number: u64,
        /// Term of the leader that issues the grant: a new leader is sent every window again.
        #[n(1)] pub term: u64,
        #[n(2)] pub revision: u64,
        #[n(3)] pub update: ViewUpdate,
        #[n(4)] pub shares: BTreeMap<String, u32>,
        /// Jobs per second that this edge may send to each cold server of proxied requests; none to a cold
        /// server that isn't listed here.
        #[cbor(n(5), default)] pub cold_rates: BTreeMap<String, u32>,
        /// Number of edges that hold a lease.
        #[cbor(n(6), default)] pub live_edges: u32,
        /// Digest of all edges' reports on the servers of proxied requests.
        #[cbor(n(7), default)] pub fleet_digest: FleetDigest,
    }
    pub struct CheckIn {
        #[n(0)] pub member: Member,
        #[n(1)] pub zone: String,
        /// From a store group's leader: the group and its committed members.
        #[n(2)] pub leads_group: Option<(u32, Members)>,
        /// The group's open jobs, if the control group's last response asked for them.
        #[n(3)] pub open_jobs: Option<OpenJobs>,
        /// The operators' name for this machine; empty if it has none.
        #[cbor(n(4), default)] pub name: String,
    }
    #[derive(Default)]
    pub struct StoreAssignment {
        #[n(0)] pub cluster: u64,
        #[n(1)] pub controllers: Vec<Member>,
        #[n(2)] pub group: Option<u32>,
        /// Whether this node bootstraps the group alone, if that has never been done.
        #[n(3)] pub bootstraps_group: bool,
        #[n(4)] pub wanted: Vec<Member>,
        /// The leader's term and clock, and whether it asks for the open jobs.
        #[n(5)] pub term: u64,
        #[n(6)] pub leader_time: u64,
        #[n(7)] pub needs_open_jobs: bool,
    }
    pub enum ControlRequest {
        #[n(0)] Renew(#[n(0)] LeaseRenewal),
        #[n(1)] CheckIn(#[n(0)] CheckIn),
        /// A controller asks to join the control group, or reports its address; with its zone.
        #[n(2)] Join(#[n(0)] Member, #[cbor(n(1), default)] String),
        /// `number` is the operator's own, which must increase; `base_version` is then one of those numbers as well.
        /// It is 0 if there is none. `content_digest` is a digest of the change as it was requested, which identifies
        /// repeats; if it is 0, the digest of the text does.
        #[n(3)] PutConfig { #[n(0)] base_version: u64, #[n(1)] change_id: String, #[n(2)] text: String, #[n(3)] config: Box<Config>, #[cbor(n(4), default)] number: u64, #[cbor(n(5), default)] content_digest: u64 },
        #[n(4)] GetConfig(#[n(0)] u64),
        #[n(5)] Configs,
        #[n(6)] List { #[n(0)] name: String, #[n(1)] group: String, #[n(2)] addr: String, #[n(3)] zone: String },
        #[n(7)] Leave(#[n(0)] String),
        /// Refused while the server has work, unless `force` is set.
        #[n(8)] Remove { #[n(0)] name: String, #[n(1)] force: bool },
        #[n(9)] Servers,
        #[n(10)] Evacuate { #[n(0)] zone: String, #[n(1)] evacuated: bool },
        #[n(11)] Evacuation(#[n(0)] String),
        #[n(12)] Retire(#[n(0)] u64),
        #[n(13)] Retirement(#[n(0)] u64),
        #[n(14)] Members,
        #[n(15)] RemoveControlNode(#[n(0)] u64),
        #[n(16)] Placements,
        #[n(17)] Scaler,
        #[n(18)] Status,
        /// The service directory's whole list of servers, from the leader's poller.
        #[n(20)] Directory { #[n(0)] term: u64, #[n(1)] servers: Vec<ListedServer> },
        /// Retires a store machine by its name.
        #[n(21)] RetireNamed(#[n(0)] String),
        #[n(22)] RetirementNamed(#[n(0)] String),
        /// Asks for the outcome of a change whose document the sender can't compute: another version is in force.
        #[n(23)] ConfigOutcome { #[n(0)] base_version: u64, #[n(1)] change_id: String, #[n(2)] number: u64, #[n(3)] content_digest: u64 },
        /// Asks for the number of the last operator command on a subject, with which a new command is fenced.
        #[n(24)] LastCommandNumber(#[n(0)] String),
        #[n(25)] Fenced { #[n(0)] fence: CommandFence, #[n(1)] command: Box<ControlRequest> },
        #[n(19)] ScalingDecision { #[n(0)] term: u64, #[n(1)] decision: Box<Decision>, #[n(2)] sample: Box<Sample> },
    }
    /// The directory's entry for one server, with the revision at which the cold phase began that this entry
    /// may end; 0 if it may not end one.
    pub(super) struct DirectoryChange {
        #[n(0)] pub(super) listing: ListedServer,
        #[n(1)] pub(super) cold_since: u64,
    }
    /// One server as the service directory lists it.
    #[derive(Eq)]
    pub struct ListedServer {
        /// Identifies one incarnation of a server.
        #[n(0)] pub name: String,
        #[n(1)] pub group: String,
        #[n(2)] pub addr: String,
        #[n(3)] pub zone: String,
        #[n(4)] pub slots: u32,
        #[n(5)] pub leaving: bool,
        #[n(6)] pub cold: bool,
    }
    pub enum ControlResponse {
        #[n(0)] Grant(#[n(0)] Box<LeaseGrant>),
        #[n(1)] Assignment(#[n(0)] StoreAssignment),
        /// Committed at this revision.
        #[n(2)] Committed(#[n(0)] u64),
        #[n(3)] Config { #[n(0)] revision: u64, #[n(1)] text: String },
        #[n(4)] Json(#[n(0)] String),
        /// The change lost a race against the given revision.
        #[n(5)] Conflict(#[n(0)] u64),
        #[n(6)] Refused { #[n(0)] code: String, #[n(1)] why: String },
        #[n(7)] Unknown(#[n(0)] String),
        #[n(8)] NotLeader(#[n(0)] Option<Member>),
        #[n(9)] OutcomeUnknown,
        #[n(10)] Busy,
        /// The outcome can't be determined any more, or not at present: neither done nor refused.
        #[n(11)] Unclear(#[n(0)] String),
        /// Number of the last operator command on a subject, and the leader's term and clock.
        #[n(12)] LastCommandNumber { #[n(0)] last: u64, #[n(1)] term: u64, #[n(2)] leader_time: u64 },
        /// The fence of an operator command is of another term, or too old. Nothing was done.
        #[n(13)] Expired,
    }
    pub(super) enum ControlCommand {
        #[n(0)] Bootstrap(#[n(0)] u64),
        #[n(1)] Config { #[n(0)] base_version: u64, #[n(1)] change_id: String, #[n(2)] text: String, #[n(3)] config: Box<Config>, #[cbor(n(4), default)] number: u64, #[cbor(n(5), default)] content_digest: u64 },
        /// An operator command and its fence: applied only while `previous_number` is the last command on its subject.
        #[n(17)] Fenced { #[cbor(n(0), with = "minicbor::bytes")] id: CommandId, #[n(1)] previous_number: u64, #[n(2)] command: Box<ControlCommand> },
        /// The zone of a machine that has been seen.
        #[n(18)] ZoneSeen(#[n(0)] String),
        #[n(16)] DecideConfig { #[n(0)] base_version: u64, #[n(1)] change_id: String, #[n(2)] number: u64, #[n(3)] content_digest: u64 },
        #[n(2)] List { #[n(0)] name: String, #[n(1)] group: String, #[n(2)] addr: String, #[n(3)] zone: String },
        #[n(3)] Leave(#[n(0)] String),
        #[n(4)] Remove(#[n(0)] String),
        #[n(5)] Evacuate { #[n(0)] zone: String, #[n(1)] evacuated: bool },
        #[n(6)] ServerDrained { #[n(0)] term: u64, #[n(1)] group: String, #[n(2)] server: String },
        #[n(7)] StoreGroupChanged { #[n(0)] term: u64, #[n(1)] group: u32, #[n(2)] state: StoreGroup },
        #[n(8)] ScalingDecided { #[n(0)] term: u64, #[n(1)] decision: Box<Decision>, #[n(2)] sample: Box<Sample> },
        #[n(9)] Retire(#[n(0)] u64),
        #[n(10)] RemoveController(#[n(0)] u64),
        /// No more jobs wait for a group that a configuration has removed.
        #[n(12)] GroupDrained { #[n(0)] term: u64, #[n(1)] group: String },
        #[n(14)] StoreNamed { #[n(0)] name: String, #[n(1)] node: u64 },
        #[n(15)] RetireNamed(#[n(0)] String),
        /// The differences between the directory's list and the committed state.
        #[n(13)] DirectoryChanged { #[n(0)] term: u64, #[n(1)] changed: Vec<DirectoryChange>, #[n(2)] removed: Vec<String> },
        /// An observation of the process of a server whose warm-up began at `warmup_revision`.
        #[n(11)] ProcessObserved { #[n(0)] term: u64, #[n(1)] server: String, #[n(2)] warmup_revision: u64, #[n(3)] started_at: u64, #[n(4)] returned: bool },
    }
    pub struct RecordedDecision {
        #[n(0)] pub index: u64,
        #[n(1)] pub term: u64,
        #[n(2)] pub decision: Decision,
        /// Whether the decision was applied, or why not.
        #[n(3)] pub outcome: String,
    }
}
