//! The control group's state machine: its replicated state and its leader's volatile state.
//! Each kind of decision has its own module; this one dispatches to them.

mod configuration;
mod core_membership;
mod directory;
mod evacuation;
mod forgetting;
#[cfg(test)]
mod growth_tests;
mod leases;
mod messages;
mod operator_commands;
mod scaling;
mod status;
mod store_membership;
#[cfg(test)]
mod tests;

pub use configuration::{text_digest, ChangeIdentity, TextDigest};
pub use core_membership::{bootstrap_cluster_id, bootstrap_member_id, bootstrap_members};
pub use messages::*;
pub use operator_commands::{CommandFence, CommandId};
pub use scaling::compute_scaling_decision;
pub use status::{format_id, members_json};

use super::fleet_health::FleetHealth;
use super::raft::{MembershipChange, Raft, RejectReason};
use super::replica::{LeaderContext, LeaderTask, Plan, StateMachine};
use super::scaler::{Sample, ScalerInput};
use super::slot_allocation::SlotLedger;
use super::view::{Event, View};
use crate::constants::*;
use crate::state::entry::{to_bytes, Member, Members};
use crate::state::journal::Journal;
use crate::state::snapshot_data::SnapshotData;
use configuration::{document_digest, ChangeOutcomes};
use directory::{too_many_servers, ColdObservation};
use leases::MergedWindow;
use messages::ControlCommand;
use operator_commands::LastCommands;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use store_membership::StoreNode;

/// Caller name under which measurements record requests from outside the fleet.
pub const EXTERNAL_CLIENT: &str = "callers";

messages! {
    #[derive(Default)]
    struct ClusterState {
        #[n(0)] view: View,
        /// (revision, text, change id), oldest first.
        #[n(1)] configs: VecDeque<(u64, String, String)>,
        /// Written by an earlier version: (change id, accepted, revision, digest of its document).
        #[n(2)] old_changes: Vec<(String, bool, u64, u64)>,
        #[n(3)] samples: VecDeque<Sample>,
        #[n(4)] decisions: VecDeque<RecordedDecision>,
        #[n(5)] retired_nodes: Vec<u64>,
        /// Names of store machines, each with the node id of one incarnation, oldest first.
        #[cbor(n(6), default)] store_names: Vec<(String, u64)>,
        #[cbor(n(7), default)] retired_names: Vec<String>,
        #[cbor(n(8), default)] change_outcomes: ChangeOutcomes,
        #[cbor(n(9), default)] last_commands: LastCommands,
        /// Zones of all machines and servers that have ever been seen.
        #[cbor(n(10), default)] zones: BTreeSet<String>,
    }
}

/// Settings with which all controllers must be started alike; not part of the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RedundancySettings {
    /// Number of voters up to which the control group grows automatically.
    pub core_voters: usize,
    /// Number of replicas of each store group.
    pub store_replicas: usize,
    /// Time in milliseconds after which a silent member is replaced, if a spare is available.
    pub repair_ms: u64,
}

impl Default for RedundancySettings {
    fn default() -> Self {
        RedundancySettings {
            core_voters: TARGET_CORE_VOTERS,
            store_replicas: STORE_REPLICAS,
            repair_ms: REPAIR_SILENCE_MS,
        }
    }
}

pub struct ControlStateMachine {
    shape: RedundancySettings,
    /// Maximum age of a list from the service directory, in milliseconds.
    directory_lag_ms: u64,
    /// Bytes of events retained for edges that lag slightly behind.
    event_log_bytes: usize,
    state: ClusterState,
    journal: Journal<Event>,
    /// Volatile state of the leader, as most of the fields below; lost with the leadership.
    ledger: SlotLedger,
    store_nodes: BTreeMap<u64, StoreNode>,
    merged_windows: BTreeMap<u64, MergedWindow>,
    /// Newest window number received from each edge.
    last_windows: BTreeMap<u64, u64>,
    next_scaling_check: u64,
    last_membership_step: u64,
    last_proposals_at: u64,
    members: Members,
    /// Zones of the controllers, as reported to this leader.
    controller_zones: BTreeMap<u64, String>,
    /// Cold servers of the directory, and when its last list arrived.
    cold_observations: BTreeMap<String, ColdObservation>,
    directory_list_at: u64,
    /// Voters that this leader has recently heard from.
    live_voters: BTreeSet<u64>,
    /// Removed groups without waiting jobs, and since when.
    idle_groups: BTreeMap<String, u64>,
    /// Servers with a new or restored process: (revision of the warm-up's start, process start, returned).
    process_changes: BTreeMap<String, (u64, u64, bool)>,
    /// Reports of the edges on the servers of proxied requests.
    fleet_health: FleetHealth,
}

impl ControlStateMachine {
    /// Creates a state machine with empty state; the bootstrap command names its cluster.
    pub fn new() -> ControlStateMachine {
        ControlStateMachine::with(RedundancySettings::default())
    }

    pub fn with(shape: RedundancySettings) -> ControlStateMachine {
        ControlStateMachine {
            shape,
            directory_lag_ms: MAX_DIRECTORY_LAG_MS,
            state: ClusterState::default(),
            event_log_bytes: DEFAULT_FEED_BYTES,
            journal: Journal::new(MAX_FEED_EVENTS, DEFAULT_FEED_BYTES, 0),
            ledger: SlotLedger::default(),
            store_nodes: BTreeMap::new(),
            merged_windows: BTreeMap::new(),
            last_windows: BTreeMap::new(),
            next_scaling_check: 0,
            last_membership_step: 0,
            last_proposals_at: 0,
            members: Members::default(),
            controller_zones: BTreeMap::new(),
            cold_observations: BTreeMap::new(),
            directory_list_at: 0,
            live_voters: Default::default(),
            process_changes: BTreeMap::new(),
            fleet_health: FleetHealth::default(),
            idle_groups: BTreeMap::new(),
        }
    }

    /// Sets the maximum age of a list from the service directory.
    pub fn with_directory_lag(self, ms: u64) -> ControlStateMachine {
        ControlStateMachine { directory_lag_ms: ms, ..self }
    }

    /// Sets how many bytes of events are retained for edges that lag slightly behind.
    pub fn with_event_log_bytes(self, bytes: usize) -> ControlStateMachine {
        ControlStateMachine {
            event_log_bytes: bytes,
            journal: Journal::new(MAX_FEED_EVENTS, bytes, self.state.view.revision),
            ..self
        }
    }

    /// Returns the command in the first log entry of a new cluster.
    pub fn bootstrap_command(cluster: u64) -> Vec<u8> {
        to_bytes(&ControlCommand::Bootstrap(cluster))
    }

    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// Returns the edges' reports on the servers of proxied requests.
    pub fn fleet_health(&self) -> &FleetHealth {
        &self.fleet_health
    }

    pub fn ledger(&self) -> &SlotLedger {
        &self.ledger
    }

    /// Returns the number of merged measuring windows that this leader holds.
    pub fn window_count(&self) -> usize {
        self.merged_windows.len()
    }

    fn emit(&mut self, revision: u64, event: Event) {
        if let Event::Server(server) = &event {
            self.record_zone(&server.zone);
        }
        self.state.view.apply(revision, &event);
        let bytes = to_bytes(&event).len() * EVENT_MEMORY_FACTOR;
        self.journal.append(revision, event, bytes);
    }

    fn settle(&mut self, revision: u64) {
        for (group, spots) in self.state.view.plan_group_slots(revision) {
            self.emit(revision, Event::GroupSlots { group, slots: spots });
        }
    }

    fn settle_and_respond(&mut self, revision: u64) -> ControlResponse {
        self.settle(revision);
        ControlResponse::Committed(revision)
    }

    /// Adds the proposals that follow from the leader's observations: drained servers and groups, zones, store names.
    fn collect_proposals(&mut self, context: LeaderContext, tasks: &mut Vec<LeaderTask<ScalerInput>>) {
        let term = context.term;
        if self.ledger.all_applied(context.now, self.state.view.revision) {
            for (group, places) in &self.state.view.group_slots {
                // proxied requests on a server are not counted in the ledger
                let accounted = self.state.view.is_proxied(group) || self.ledger.is_accounted;
                // drained once no edge can still hold slots there or have work on it
                for (server, _) in
                    places.iter().filter(|(name, slot)| slot.draining && accounted && self.ledger.busy(name) == 0)
                {
                    let command = ControlCommand::ServerDrained { term, group: group.clone(), server: server.clone() };
                    tasks.push(LeaderTask::Propose(to_bytes(&command)));
                }
            }
        }
        tasks.extend(self.next_zone().map(|zone| LeaderTask::Propose(to_bytes(&zone))));
        for store in self.store_nodes.values().filter(|store| !store.name.is_empty()) {
            // recorded for all later leaders, so that none of them reports the name as unknown
            if !self.state.store_names.iter().any(|(name, id)| *id == store.member.id && *name == store.name) {
                let command = ControlCommand::StoreNamed { name: store.name.clone(), node: store.member.id };
                tasks.push(LeaderTask::Propose(to_bytes(&command)));
            }
        }
        let view = &self.state.view;
        let no_demand = |ledger: &SlotLedger, group: &String| {
            ledger.all_applied(context.now, view.config_revision) && ledger.demand(group) == 0
        };
        self.idle_groups.retain(|group, _| view.draining_groups.contains_key(group) && no_demand(&self.ledger, group));
        for group in view.draining_groups.keys().filter(|group| no_demand(&self.ledger, group)) {
            // a job may have been accepted before the change without having joined its queue yet
            let since = *self.idle_groups.entry(group.clone()).or_insert(context.now);
            if context.now >= since + REMOVED_GROUP_RETENTION_MS {
                tasks.push(LeaderTask::Propose(to_bytes(&ControlCommand::GroupDrained { term, group: group.clone() })));
            }
        }
    }
}

impl Default for ControlStateMachine {
    fn default() -> Self {
        ControlStateMachine::new()
    }
}

impl StateMachine for ControlStateMachine {
    type Request = ControlRequest;
    type Response = ControlResponse;
    type Computation = ScalerInput;

    fn plan(&mut self, context: LeaderContext, request: &ControlRequest) -> Plan<ControlResponse> {
        match self.command(context, request.clone()) {
            Ok(command) => Plan::Propose(to_bytes(&command)),
            Err(plan) => plan,
        }
    }

    fn answer(&mut self, context: LeaderContext, request: ControlRequest) -> ControlResponse {
        match request {
            ControlRequest::Renew(renewal) => self.renew_lease(context, renewal),
            ControlRequest::CheckIn(check_in) => self.check_in(context, check_in),
            ControlRequest::Join(..) => {
                let assignment = StoreAssignment {
                    cluster: self.state.view.cluster,
                    controllers: self.members.voters.clone(),
                    ..StoreAssignment::default()
                };
                ControlResponse::Assignment(assignment)
            }
            ControlRequest::GetConfig(0) if self.state.view.config_revision > 0 => ControlResponse::Config {
                revision: self.state.view.config_revision,
                text: self.state.view.config_text.clone(),
            },
            ControlRequest::GetConfig(revision) => {
                match self.state.configs.iter().find(|(known, _, _)| *known == revision) {
                    Some((revision, text, _)) => ControlResponse::Config { revision: *revision, text: text.clone() },
                    None => ControlResponse::Unknown("no config of that revision is kept".into()),
                }
            }
            ControlRequest::LastCommandNumber(subject) => self.last_command_number(context, &subject),
            ControlRequest::RetirementNamed(name) if !self.knows_store_name(&name) => {
                self.unknown_store_name(context.now)
            }
            request => match self.status_json(context, &request) {
                Some(json) => ControlResponse::Json(json.dump()),
                None => ControlResponse::Unknown("nothing of that name".into()),
            },
        }
    }

    fn apply(&mut self, index: u64, term: u64, bytes: &[u8]) -> ControlResponse {
        let Ok(command) = minicbor::decode::<ControlCommand>(bytes) else {
            // decoding the same bytes fails on every replica alike
            return ControlResponse::OutcomeUnknown;
        };
        match command {
            ControlCommand::Fenced { id, previous_number: after, command } => {
                self.apply_fenced(index, term, id, after, *command)
            }
            command => self.apply_unfenced(index, term, command),
        }
    }

    fn members_committed(&mut self, index: u64, members: &Members) -> ControlResponse {
        self.members = members.clone();
        self.emit(index, Event::Controllers(members.voters.clone()));
        ControlResponse::Assignment(StoreAssignment {
            cluster: self.state.view.cluster,
            controllers: members.voters.clone(),
            ..StoreAssignment::default()
        })
    }

    fn snapshot(&self) -> SnapshotData {
        to_bytes(&self.state).into()
    }

    fn restore(&mut self, data: &SnapshotData) {
        self.state = minicbor::decode(&data.to_vec()).expect("a snapshot that passed its digest can be decoded");
        self.migrate_old_changes();
        // edges with a revision older than the snapshot's are sent the full view
        self.journal = Journal::new(MAX_FEED_EVENTS, self.event_log_bytes, self.state.view.revision);
    }

    fn became_leader(&mut self, context: LeaderContext) {
        self.ledger = SlotLedger::new(context.now);
        self.store_nodes.clear();
        self.merged_windows.clear();
        self.last_windows.clear();
        self.process_changes.clear();
        self.fleet_health = FleetHealth::default();
        self.idle_groups.clear();
        self.controller_zones.clear();
        self.live_voters.clear();
        self.cold_observations.clear();
        self.next_scaling_check = context.now + SCALER_INTERVAL_MS;
    }

    fn stepped_down(&mut self) {
        self.ledger = SlotLedger::default();
    }

    fn tick(&mut self, context: LeaderContext, raft: &Raft) -> Vec<LeaderTask<ScalerInput>> {
        let mut tasks = vec![];
        self.members = raft.members().clone();
        // counts contact in this term only: a new leader has none yet
        let caught_up =
            self.members.voters.iter().map(|member| member.id).filter(|id| raft.caught_up(context.now, *id));
        self.live_voters = caught_up.chain([raft.id]).collect();
        self.ledger.expire_edges(context.now);
        for (server, (warmup_revision, started_at, returned)) in std::mem::take(&mut self.process_changes) {
            let command =
                ControlCommand::ProcessObserved { term: context.term, server, warmup_revision, started_at, returned };
            tasks.push(LeaderTask::Propose(to_bytes(&command)));
        }
        if context.now >= self.last_proposals_at + CHECK_IN_INTERVAL_MS {
            self.last_proposals_at = context.now;
            self.prune_departed(context.now);
            self.collect_proposals(context, &mut tasks);
        }
        // a repair continues as soon as its previous step is committed, and no step is proposed twice
        let settled =
            raft.applied_index() == raft.last_index() && context.now >= self.last_membership_step + REPAIR_STEP_MS;
        if settled || context.now >= self.last_membership_step + CHECK_IN_INTERVAL_MS {
            self.last_membership_step = context.now;
            if let Some((group, state)) = self.next_store_change(context.now) {
                tasks.push(LeaderTask::Propose(to_bytes(&ControlCommand::StoreGroupChanged {
                    term: context.term,
                    group,
                    state,
                })));
            }
            tasks.extend(self.next_controller_change(context.now, raft).map(LeaderTask::Change));
        }
        tasks.extend(self.next_scaling_input(context).map(LeaderTask::Compute));
        tasks
    }

    fn denied(&self, why: RejectReason, leader: Option<Member>) -> ControlResponse {
        match why {
            RejectReason::NotLeader => ControlResponse::NotLeader(leader),
            RejectReason::Busy => ControlResponse::Busy,
            RejectReason::OutcomeUnknown => ControlResponse::OutcomeUnknown,
            RejectReason::Unsafe(why) => ControlResponse::Refused { code: "unsafe".into(), why },
        }
    }
}

impl ControlStateMachine {
    /// Applies one committed command. Its outcome depends on the log alone.
    fn apply_command(&mut self, index: u64, term: u64, command: ControlCommand) -> ControlResponse {
        let stale_term =
            ControlResponse::Refused { code: "stale_term".into(), why: "decided under an earlier term".into() };
        match command {
            // fenced commands are not nested
            ControlCommand::Fenced { .. } => ControlResponse::OutcomeUnknown,
            ControlCommand::Bootstrap(cluster) => {
                // the first one fixes the cluster's id for good
                if self.state.view.cluster == 0 {
                    self.emit(index, Event::Cluster(cluster));
                    self.emit(index, Event::StoreSlots(vec![1; STORE_SLOTS as usize]));
                }
                ControlResponse::Committed(index)
            }
            ControlCommand::Config { base_version, change_id: change, text, config, number, content_digest } => {
                let change = ChangeIdentity { base_version, number, change_id: change, content_digest };
                self.put_config(index, change, text, *config)
            }
            ControlCommand::DecideConfig { base_version, change_id: change, number, content_digest } => self
                .decide_without_document(&ChangeIdentity { base_version, number, change_id: change, content_digest }),
            ControlCommand::List { name, group, addr, zone } => self.list_server(index, name, group, addr, zone),
            ControlCommand::Leave(name) => self.mark_leaving(index, &name),
            ControlCommand::Remove(name) => {
                if !self.state.view.servers.contains_key(&name) {
                    return ControlResponse::Unknown(format!("no server {name} is listed"));
                }
                self.emit(index, Event::ServerRemoved(name));
                self.settle_and_respond(index)
            }
            ControlCommand::Evacuate { zone, evacuated } => self.evacuate(index, zone, evacuated),
            ControlCommand::Retire(id) => self.retire_node(index, id),
            ControlCommand::StoreNamed { name, node } => {
                if !self.state.store_names.iter().any(|(known, id)| *id == node && *known == name) {
                    self.state.store_names.push((name, node));
                    if self.state.store_names.len() > MAX_RETAINED_NAMES {
                        self.state.store_names.remove(0);
                    }
                }
                ControlResponse::Committed(index)
            }
            ControlCommand::ZoneSeen(zone) => {
                self.record_zone(&zone);
                ControlResponse::Committed(index)
            }
            ControlCommand::RetireNamed(name) => {
                if !self.state.retired_names.contains(&name) {
                    self.state.retired_names.push(name);
                }
                if self.state.retired_names.len() > MAX_RETAINED_NAMES {
                    self.state.retired_names.remove(0);
                }
                ControlResponse::Committed(index)
            }
            ControlCommand::RemoveController(id) => {
                let known = self.state.view.controllers.iter().any(|member| member.id == id);
                if !known && !self.state.retired_nodes.contains(&id) {
                    return ControlResponse::Unknown("no such core member".into());
                }
                self.record_retired(id);
                ControlResponse::Committed(index)
            }
            // proposed by the leader of an earlier term: without effect
            ControlCommand::ServerDrained { term: command_term, .. }
            | ControlCommand::StoreGroupChanged { term: command_term, .. }
            | ControlCommand::ScalingDecided { term: command_term, .. }
            | ControlCommand::ProcessObserved { term: command_term, .. }
            | ControlCommand::GroupDrained { term: command_term, .. }
            | ControlCommand::DirectoryChanged { term: command_term, .. }
                if command_term != term =>
            {
                stale_term
            }
            ControlCommand::ServerDrained { group, server, .. } => {
                let Some(mut slots) = self.state.view.group_slots.get(&group).cloned() else {
                    return ControlResponse::Committed(index);
                };
                if slots.get(&server).is_some_and(|slot| slot.draining) {
                    slots.remove(&server);
                    self.emit(index, Event::GroupSlots { group, slots });
                }
                self.settle_and_respond(index)
            }
            ControlCommand::ProcessObserved { server, warmup_revision, started_at, returned, .. } => {
                self.record_process(index, &server, warmup_revision, started_at, returned);
                ControlResponse::Committed(index)
            }
            ControlCommand::DirectoryChanged { changed, removed, .. } => {
                self.apply_directory_changes(index, changed, removed)
            }
            ControlCommand::GroupDrained { group, .. } => {
                if self.state.view.draining_groups.contains_key(&group) {
                    self.emit(index, Event::GroupDrained(group));
                }
                self.settle_and_respond(index)
            }
            ControlCommand::StoreGroupChanged { group, state, .. } => {
                self.emit(index, Event::StoreGroup { group, state });
                ControlResponse::Committed(index)
            }
            ControlCommand::ScalingDecided { decision, sample, .. } => {
                self.record_decision(index, term, *decision, *sample);
                ControlResponse::Committed(index)
            }
        }
    }

    /// Returns the command that carries out a request, or the plan for a request that needs none.
    fn command(
        &mut self,
        context: LeaderContext,
        request: ControlRequest,
    ) -> Result<ControlCommand, Plan<ControlResponse>> {
        let command = match request {
            ControlRequest::CheckIn(check_in) => match self.changed_group(&check_in) {
                Some(state) => {
                    self.check_in(context, check_in.clone());
                    let group = check_in.leads_group.expect("only a store leader reports its group").0;
                    ControlCommand::StoreGroupChanged { term: context.term, group, state }
                }
                None => return Err(Plan::Read),
            },
            ControlRequest::Join(member, zone) => {
                self.record_controller_zone(member.id, zone);
                if self.state.retired_nodes.contains(&member.id) {
                    let why = "it was removed by an operator; start it with an empty folder".to_string();
                    return Err(Plan::Reply(ControlResponse::Refused { code: "removed".into(), why }));
                }
                return Err(match self.members.all().find(|known| known.id == member.id) {
                    Some(known) if known.addr == member.addr => Plan::Read,
                    Some(_) => Plan::Change(MembershipChange::UpdateAddress(member)),
                    None => Plan::Change(MembershipChange::AddLearner(member)),
                });
            }
            ControlRequest::RemoveControlNode(id) => {
                let remaining: Vec<&Member> = self.members.voters.iter().filter(|member| member.id != id).collect();
                let live_count = remaining.iter().filter(|member| self.live_voters.contains(&member.id)).count();
                if live_count < remaining.len() / 2 + 1 && !self.has_heard_all(context.now) {
                    return Err(Plan::Reply(ControlResponse::Busy));
                }
                if live_count < remaining.len() / 2 + 1 {
                    let why = "the members left would have no live quorum".to_string();
                    return Err(Plan::Reply(ControlResponse::Refused { code: "no_quorum".into(), why }));
                }
                ControlCommand::RemoveController(id)
            }
            ControlRequest::PutConfig { base_version, change_id: change, text, config, number, content_digest } => {
                let content_digest = if content_digest == 0 { document_digest(&text) } else { content_digest };
                let identity = ChangeIdentity { base_version, number, change_id: change, content_digest };
                if let Some(first) = self.known_outcome(&identity) {
                    return Err(Plan::Reply(first));
                }
                ControlCommand::Config {
                    base_version,
                    change_id: identity.change_id,
                    text,
                    config,
                    number,
                    content_digest,
                }
            }
            ControlRequest::ConfigOutcome { base_version, change_id: change, number, content_digest } => {
                let identity = ChangeIdentity { base_version, number, change_id: change, content_digest };
                if let Some(first) = self.known_outcome(&identity) {
                    return Err(Plan::Reply(first));
                }
                ControlCommand::DecideConfig { base_version, change_id: identity.change_id, number, content_digest }
            }
            ControlRequest::List { name, group, addr, zone } => {
                let servers = &self.state.view.servers;
                if servers.len() >= MAX_SERVERS && !servers.contains_key(&name) {
                    return Err(Plan::Reply(too_many_servers()));
                }
                ControlCommand::List { name, group, addr, zone }
            }
            ControlRequest::Leave(name) => ControlCommand::Leave(name),
            ControlRequest::Remove { name, force: anyway } => {
                let busy = self.ledger.busy(&name);
                if !anyway && busy == 0 && !self.ledger.is_accounted {
                    return Err(Plan::Reply(ControlResponse::Busy));
                }
                if !anyway && busy > 0 {
                    let why = format!("{busy} jobs are under way there; let it leave first, or say that it is meant");
                    return Err(Plan::Reply(ControlResponse::Refused { code: "has_work".into(), why }));
                }
                ControlCommand::Remove(name)
            }
            ControlRequest::Fenced { fence: stamp, command: order } => {
                return Err(self.plan_fenced(context, stamp, *order))
            }
            ControlRequest::Evacuate { zone, evacuated } => return self.plan_evacuation(context, zone, evacuated),
            ControlRequest::Retire(id) => {
                let removal_blocker = self.removal_blocker(context.now, id);
                if removal_blocker.is_some() && !self.has_heard_all(context.now) {
                    return Err(Plan::Reply(ControlResponse::Busy));
                }
                if let Some(why) = removal_blocker {
                    return Err(Plan::Reply(ControlResponse::Refused { code: "no_quorum".into(), why }));
                }
                ControlCommand::Retire(id)
            }
            ControlRequest::RetireNamed(name) => return Err(self.plan_named_retirement(context.now, name)),
            ControlRequest::Directory { term, servers } => return Err(self.plan_directory(context, term, &servers)),
            ControlRequest::ScalingDecision { term, decision, sample } => {
                return Err(self.plan_scaling_decision(context, term, &decision, &sample))
            }
            _ => return Err(Plan::Read),
        };
        Ok(command)
    }
}
