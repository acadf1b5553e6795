//! The simulated fleet as tests use it: its nodes, its clock, its network and its leaders.

use super::*;
use hutbook::coordination::control::{
    bootstrap_cluster_id, bootstrap_member_id, bootstrap_members, RedundancySettings,
};
use hutbook::coordination::view::View;
use hutbook::state::memory::MemoryBudget;
use hutbook::transport::leader_client::{open_jobs, renew_lease, run_queues, LeaderClient, RpcClient};
use hutbook::transport::serve::probe_servers;
use std::cell::RefCell;
use std::rc::Rc;

/// The whole simulated fleet. A clone is another handle to the same fleet.
#[derive(Clone)]
pub struct World(pub Rc<RefCell<Inner>>);

/// One node's client: sends messages and keeps time for it.
#[derive(Clone)]
pub struct SimulatedClient {
    pub world: World,
    pub node: String,
}

pub const ZONES: [&str; 3] = ["ben", "glen", "strath"];

impl World {
    pub fn new(seed: u64) -> World {
        let world = World(Rc::new(RefCell::new(Inner::new(seed))));
        let now = world.now();
        world.0.borrow_mut().schedule_at(now, Event::Sample);
        world.add("outside", "", NodeKind::External);
        world
    }

    pub fn now(&self) -> u64 {
        self.0.borrow().now
    }

    pub fn client_at(&self, node: &str) -> SimulatedClient {
        SimulatedClient { world: self.clone(), node: node.into() }
    }

    fn add(&self, name: &str, zone: &str, kind: NodeKind) {
        let mut inner = self.0.borrow_mut();
        let id = inner.rng.next_u64() | 1;
        let mut kind = kind;
        if let NodeKind::Backend(backend) = &mut kind {
            backend.started_at = inner.now;
        }
        let node = Node {
            id,
            zone: zone.into(),
            kind,
            disk: Disk::new(SYNC_MS),
            up: true,
            draining: false,
            disk_lost: false,
            frozen: false,
            incarnation: 1,
            held_events: vec![],
            pending_requests: BTreeMap::new(),
            next_ticket: 0,
        };
        inner.nodes.insert(name.into(), node);
    }

    /// Drops pending tasks, events and calls. They hold handles to this world and would keep it in memory forever.
    pub fn close(&self) {
        let (exec, events, calls, proxies) = {
            let mut inner = self.0.borrow_mut();
            let (exec, events) = (std::mem::take(&mut inner.executor), std::mem::take(&mut inner.events));
            (exec, events, std::mem::take(&mut inner.pending_calls), std::mem::take(&mut inner.proxies))
        };
        drop((exec, events, calls, proxies));
    }

    /// Runs until the time `end`, or until `is_over` returns true.
    pub(super) fn run_to(&self, end: u64, is_over: impl Fn() -> bool) {
        loop {
            loop {
                let ready_task = {
                    let inner = &mut *self.0.borrow_mut();
                    let nodes = &inner.nodes;
                    inner.executor.take_ready(|n| nodes.get(n).is_some_and(|n| n.frozen))
                };
                let Some(mut task) = ready_task else { break };
                let done = task.run();
                let mut inner = self.0.borrow_mut();
                let (node, incarnation) = task.node();
                // a task that killed its own node must not run again
                let alive = inner.nodes.get(node).is_some_and(|n| n.up && n.incarnation == incarnation);
                if !done && alive {
                    inner.executor.put_back(task);
                } else {
                    drop(inner);
                    drop(task);
                }
            }
            if is_over() {
                return;
            }
            let event = {
                let mut inner = self.0.borrow_mut();
                match inner.events.peek() {
                    Some(Reverse(next)) if next.at <= end => {
                        let next = inner.events.pop().expect("just seen").0;
                        inner.now = inner.now.max(next.at);
                        next.event
                    }
                    _ => {
                        inner.now = end;
                        return;
                    }
                }
            };
            self.0.borrow_mut().handle_event(event);
        }
    }

    /// Starts to count the messages that reach each node.
    pub fn count_messages(&self) {
        self.0.borrow_mut().messages_by_second = Some(BTreeMap::new());
    }

    /// Returns the number of messages that reached a node, by second of virtual time.
    pub fn messages_by_second(&self, name: &str) -> Vec<(u64, u64)> {
        let inner = self.0.borrow();
        let of_node = inner.messages_by_second.iter().flatten().filter(|((node, _), _)| node == name);
        of_node.map(|((_, second), count)| (*second, *count)).collect()
    }

    pub fn run(&self, ms: u64) {
        let end = self.now() + ms;
        self.run_to(end, || false);
    }

    /// Runs until the condition holds. Returns false if it doesn't within `ms`.
    pub fn until(&self, ms: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now() + ms;
        while self.now() < end {
            if holds(self) {
                return true;
            }
            self.run(10);
        }
        holds(self)
    }

    pub fn spawn(&self, node: &str, f: impl std::future::Future<Output = ()> + 'static) {
        let mut inner = self.0.borrow_mut();
        let incarnation = inner.nodes[node].incarnation;
        inner.executor.spawn(node, incarnation, f);
    }

    pub fn names(&self, prefix: &str) -> Vec<String> {
        self.0.borrow().nodes.keys().filter(|n| n.starts_with(prefix)).cloned().collect()
    }

    /// Returns the names of all processes of the fleet, without its backends.
    pub fn process_names(&self) -> Vec<String> {
        ["refuge", "bothy", "trailhead"].iter().flat_map(|p| self.names(p)).collect()
    }

    pub fn add_controller(&self, index: usize, bootstrap: bool) {
        let name = format!("refuge{index}");
        self.add(&name, ZONES[index % 3], NodeKind::Controller(None));
        if bootstrap {
            let mut inner = self.0.borrow_mut();
            let cluster = inner.rng.next_u64();
            inner.cluster = cluster;
            let node = inner.nodes.get_mut(&name).expect("just added");
            node.disk.synced =
                PersistedState::bootstrap(node.id, &name, Some(ControlStateMachine::bootstrap_command(cluster)));
        }
        self.start_process(&name);
    }

    /// Adds `n` controllers that bootstrap the cluster together, each knowing only the others' addresses.
    pub fn add_bootstrap_controllers(&self, n: usize) {
        let addrs: Vec<String> = (1..=n).map(|i| format!("refuge{i}")).collect();
        let cluster = bootstrap_cluster_id(&addrs);
        for (i, name) in addrs.iter().enumerate() {
            self.add(name, ZONES[(i + 1) % 3], NodeKind::Controller(None));
            let mut inner = self.0.borrow_mut();
            inner.cluster = cluster;
            let node = inner.nodes.get_mut(name).expect("just added");
            node.id = bootstrap_member_id(name);
            node.disk.synced = PersistedState::bootstrap_with(
                &bootstrap_members(&addrs),
                Some(ControlStateMachine::bootstrap_command(cluster)),
            );
        }
        addrs.iter().for_each(|n| self.start_process(n));
    }

    /// Sets the redundancy that controllers started from now on use.
    pub fn set_redundancy(&self, settings: RedundancySettings) {
        self.0.borrow_mut().redundancy = settings;
    }

    /// Sets the memory budget of every store process from its next start on.
    pub fn set_store_memory_budget(&self, budget: MemoryBudget) {
        self.0.borrow_mut().store_memory_budget = budget;
    }

    /// Adds a controller in this zone, with an empty data folder.
    pub fn add_controller_in(&self, i: usize, zone: &str) {
        let name = format!("refuge{i}");
        self.add(&name, zone, NodeKind::Controller(None));
        self.start_process(&name);
    }

    pub fn add_store_in(&self, i: usize, zone: &str) {
        let name = format!("bothy{i}");
        self.add(&name, zone, NodeKind::Store { group: None, replica: None, controllers: vec![] });
        self.start_process(&name);
    }

    pub fn add_store(&self, i: usize) {
        let name = format!("bothy{i}");
        self.add(&name, ZONES[i % 3], NodeKind::Store { group: None, replica: None, controllers: vec![] });
        self.start_process(&name);
    }

    pub fn add_edge(&self, i: usize) {
        let name = format!("trailhead{i}");
        let edge = Arc::new(Edge::new(0, ZONES[i % 3], &name));
        self.add(&name, ZONES[i % 3], NodeKind::Edge(edge));
        self.start_process(&name);
    }

    pub fn add_backend(&self, name: &str, zone: &str, backend: Backend) {
        self.add(name, zone, NodeKind::Backend(backend));
    }

    /// Starts a node's process and its tasks.
    pub(super) fn start_process(&self, name: &str) {
        let now = self.now();
        let mut inner = self.0.borrow_mut();
        let (seed, redundancy, budget) = (inner.rng.next_u64(), inner.redundancy, inner.store_memory_budget);
        let node = inner.nodes.get_mut(name).expect("known node");
        match &mut node.kind {
            NodeKind::Controller(replica) => {
                let (new_replica, outputs) =
                    Replica::new(node.id, node.disk.synced.clone(), ControlStateMachine::with(redundancy), seed, now);
                *replica = Some(Box::new(new_replica));
                inner.process_controller_outputs(name, outputs);
                inner.schedule_for(TICK_MS, name, NodeEvent::Tick);
                drop(inner);
                let (client, name) = (self.client_at(name), name.to_string());
                self.spawn(&name.clone(), async move { join_control_group(client, name).await });
            }
            NodeKind::Store { group, replica, .. } => {
                // a store whose data folder belongs to a group serves at once
                if let Some(g) = *group {
                    let (new_replica, outputs) = store_replica(node.id, &node.disk, budget, seed, now);
                    *replica = Some(Box::new(new_replica));
                    *group = Some(g);
                    inner.process_store_outputs(name, outputs);
                }
                inner.schedule_for(TICK_MS, name, NodeEvent::Tick);
                drop(inner);
                let (client, name) = (self.client_at(name), name.to_string());
                self.spawn(&name.clone(), async move { run_store_agent(client, name).await });
            }
            NodeKind::Edge(edge) => {
                // an edge becomes a new node with every start
                let (id, zone) = (seed | 1, node.zone.clone());
                *edge = Arc::new(Edge::new(id, &zone, name));
                let edge = edge.clone();
                node.id = id;
                drop(inner);
                let client = self.client_at(name);
                let seeds = vec!["refuge1".to_string(), "refuge2".into(), "refuge3".into()];
                let (leased_edge, lease_client) = (edge.clone(), client.clone());
                self.spawn(name, async move {
                    renew_lease(&leased_edge, &LeaderClient::new(lease_client), &seeds, |_| ()).await
                });
                let queue_edge = edge.clone();
                self.spawn(name, async move { run_queues(&queue_edge, &client).await });
                let environment = self.edge_environment(name);
                self.spawn(name, async move { probe_servers(&environment, &edge).await });
            }
            NodeKind::Backend(_) | NodeKind::External => {}
        }
    }

    /// Waits for a confirmed leader and returns the number of voters of a kind's group.
    pub fn voters(&self, kind: &str) -> usize {
        self.leader(kind);
        self.voters_now(kind)
    }

    /// Waits for a confirmed leader and returns the names of this kind's voters.
    pub fn voter_names(&self, kind: &str) -> Vec<String> {
        self.leader(kind);
        self.voter_names_now(kind)
    }

    pub fn zone_of(&self, name: &str) -> String {
        self.0.borrow().nodes[name].zone.clone()
    }

    /// Returns the servers that hold a slot of a group, by the leading controller's view.
    pub fn servers_in_use(&self, group: &str) -> Vec<String> {
        self.view(&self.leader("refuge")).group_slots[group].keys().cloned().collect()
    }

    /// Returns the number of jobs in progress at a backend.
    pub fn running_jobs(&self, name: &str) -> u32 {
        match &self.0.borrow().nodes[name].kind {
            NodeKind::Backend(backend) => backend.running_jobs,
            _ => 0,
        }
    }

    /// Returns the backend of this kind with the most jobs in progress.
    pub fn busiest(&self, kind: &str) -> String {
        self.names(kind).into_iter().max_by_key(|n| self.running_jobs(n)).expect("there is a backend")
    }

    pub fn id(&self, name: &str) -> u64 {
        self.0.borrow().nodes[name].id
    }

    pub fn configure_backend(&self, name: &str, f: impl FnOnce(&mut Backend)) {
        let mut inner = self.0.borrow_mut();
        let NodeKind::Backend(backend) = &mut inner.nodes.get_mut(name).expect("known node").kind else { return };
        f(backend);
        // losing responses is a fault of the backend, also for jobs that no other fault affects
        if backend.lose_answer_every > 0 {
            inner.begin_fault(name, NodeFault::LostAnswers);
        } else {
            inner.end_fault(name, NodeFault::LostAnswers);
        }
    }

    pub fn edge(&self, name: &str) -> Arc<Edge> {
        match &self.0.borrow().nodes[name].kind {
            NodeKind::Edge(edge) => edge.clone(),
            _ => panic!("{name} is not an edge"),
        }
    }

    /// Runs a closure on a controller's replica, if the node is up.
    pub fn with_controller<T>(&self, name: &str, f: impl FnOnce(&Replica<ControlStateMachine>) -> T) -> Option<T> {
        match &self.0.borrow().nodes[name].kind {
            NodeKind::Controller(Some(r)) => Some(f(r)),
            _ => None,
        }
    }

    pub fn with_store<T>(&self, name: &str, f: impl FnOnce(&Replica<Store>) -> T) -> Option<T> {
        match &self.0.borrow().nodes[name].kind {
            NodeKind::Store { replica: Some(r), .. } => Some(f(r)),
            _ => None,
        }
    }

    /// Returns the nodes of this kind that consider themselves leader, newest term first. Frozen leaders and deposed
    /// ones that don't know it yet are included; `confirmed_leader` returns the actual leader.
    pub fn leaders(&self, prefix: &str) -> Vec<String> {
        let mut v: Vec<(u64, String)> = vec![];
        for n in self.names(prefix) {
            let c = self.with_controller(&n, |r| r.is_leader().then_some(r.raft.term)).flatten();
            let s = self.with_store(&n, |r| r.is_leader().then_some(r.raft.term)).flatten();
            v.extend(c.or(s).map(|t| (t, n)));
        }
        v.sort_by_key(|x| Reverse(x.0));
        v.into_iter().map(|x| x.1).collect()
    }

    pub fn leader(&self, prefix: &str) -> String {
        assert!(self.until(10_000, |world| world.confirmed_leader(prefix).is_some()), "no {prefix} became leader");
        self.confirmed_leader(prefix).expect("just seen")
    }

    pub fn view(&self, name: &str) -> View {
        self.with_controller(name, |r| r.machine.view().clone()).expect("the node is up")
    }

    /// Starts 3 controllers, 3 stores and 6 edges in three zones, and waits until both groups have three members.
    pub fn start_default_fleet(&self) {
        (1..=3).for_each(|i| self.add_controller(i, i == 1));
        (1..=3).for_each(|i| self.add_store(i));
        (1..=6).for_each(|i| self.add_edge(i));
        let is_complete = |world: &World| {
            let Some(leader) = world.confirmed_leader("refuge") else { return false };
            world.voters_now("refuge") == 3 && world.view(&leader).stores.get(&1).is_some_and(|s| s.actual.len() == 3)
        };
        assert!(self.until(30_000, is_complete), "the fleet did not come up");
    }
}

/// Runs a controller's membership task: asks to join while the control group doesn't list it or it knows no leader,
/// and reports its zone once in every new term.
async fn join_control_group(client: SimulatedClient, name: String) {
    let leader_client = LeaderClient::new(client.clone());
    let mut reported_term = 0;
    loop {
        client.sleep(CHECK_IN_INTERVAL_MS).await;
        let (id, addrs) = (client.world.id(&name), client.world.names("refuge"));
        let me = Member { id, addr: name.clone() };
        let status = client.world.with_controller(&name, |r| {
            let listed = r.raft.members().all().any(|m| *m == me);
            (listed && r.raft.leader.is_some(), r.raft.term)
        });
        let Some((is_member, term)) = status else { continue };
        if is_member && reported_term == term {
            continue;
        }
        let zone = client.world.0.borrow().nodes[&name].zone.clone();
        if let Some(ControlResponse::Assignment(_)) = leader_client
            .ask_controllers(&addrs, ControlRequest::Join(me, zone), OPERATOR_TIMEOUT_MS, RPC_TIMEOUT_MS)
            .await
        {
            reported_term = term;
        }
    }
}

/// Runs a store's check-in task: checks in with the controllers and applies the assignment in the response.
async fn run_store_agent(client: SimulatedClient, name: String) {
    let leader_client = LeaderClient::new(client.clone());
    let mut last_assignment: Option<StoreAssignment> = None;
    loop {
        let mut check_in_request = {
            let inner = client.world.0.borrow();
            check_in(&inner.nodes[&name], &name).expect("the node is a store")
        };
        let leader_term = client.world.with_store(&name, |r| r.is_leader().then_some(r.raft.term)).flatten();
        if let (Some(assignment), Some((g, _))) = (last_assignment.take(), &check_in_request.leads_group) {
            check_in_request.open_jobs = open_jobs(&client, &name, *g, &assignment).await;
        }
        let addrs = client.world.names("refuge");
        if let Some(ControlResponse::Assignment(assignment)) = leader_client
            .ask_controllers(&addrs, ControlRequest::CheckIn(check_in_request), OPERATOR_TIMEOUT_MS, RPC_TIMEOUT_MS)
            .await
        {
            client.world.0.borrow_mut().apply_assignment(&name, &assignment, leader_term);
            last_assignment = assignment.needs_open_jobs.then_some(assignment);
        }
        client.sleep(if last_assignment.is_some() { OPEN_JOBS_REPORT_MS } else { CHECK_IN_INTERVAL_MS }).await;
    }
}

impl RpcClient for SimulatedClient {
    fn now(&self) -> u64 {
        self.world.now()
    }

    fn random_u64(&self) -> u64 {
        self.world.0.borrow_mut().rng.next_u64()
    }

    async fn sleep(&self, ms: u64) {
        let (tx, rx) = oneshot::channel();
        {
            let mut inner = self.world.0.borrow_mut();
            let at = inner.now + ms.max(1);
            inner.schedule_at(at, Event::Timer(tx));
        }
        let _ = rx.await;
    }

    async fn call(&self, to: &str, body: Body, ms: u64) -> Option<Body> {
        let (tx, rx) = oneshot::channel();
        // each copy of a request is recorded as a separate operation
        let operation = match &body {
            Body::StoreRequest { ask, .. } => self.world.record_request(ask),
            _ => None,
        };
        let id = {
            let mut inner = self.world.0.borrow_mut();
            inner.sequence += 1;
            let id = inner.sequence;
            inner.pending_calls.insert(id, tx);
            inner.send_message(&self.node, to, id, body);
            id
        };
        let r = tokio::select! {
            biased;
            r = rx => r.ok(),
            _ = self.sleep(ms) => None,
        };
        self.world.0.borrow_mut().pending_calls.remove(&id);
        if let Some(Body::StoreResponse(answer)) = &r {
            self.world.record_response(operation, answer);
        }
        r
    }
}
