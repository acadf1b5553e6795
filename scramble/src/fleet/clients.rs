//! Clients and operators of the in-memory fleet, which record what they observe.

use super::edge_environment::EdgeEnvironment;
use super::simulated_network::World;
use super::*;
use crate::observations::{tokens, JobRecord, ProgramRecord, RequestRecord, TurnRecord};
use hutbook::coordination::store::{JobOutcome, JobResult, StoreRequest};
use hutbook::coordination::view::hash;
use hutbook::protocol::config;
use hutbook::state::byte_budget::ByteBudget;
use hutbook::transport::client_api::outcome_name;
use hutbook::transport::leader_client::{RpcClient, StoreClient};
use hutbook::transport::serve::{
    serve_tool_call, serve_turn, Environment, Request, Response, ResponseChannel, ResponseEvent,
};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// How long a client retries with the same key, in milliseconds.
const CLIENT_RETRY_MS: u64 = 25_000;
/// How long a client waits for an edge that sends nothing, in milliseconds.
const EDGE_SILENCE_MS: u64 = 10_000;
pub const MAX_TOKENS: u64 = 12;

/// A request that an edge is processing. Dropped when the edge has finished it, or with the edge's process.
struct HeldRequest {
    world: World,
    index: usize,
}

impl HeldRequest {
    fn new(world: &World, key: &str) -> HeldRequest {
        let mut inner = world.0.borrow_mut();
        let request = RequestRecord { key: key.into(), from: inner.now, until: None };
        inner.observed.requests.push(request);
        HeldRequest { world: world.clone(), index: inner.observed.requests.len() - 1 }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let mut inner = self.world.0.borrow_mut();
        let now = inner.now;
        // the run's records may have been taken already
        if let Some(request) = inner.observed.requests.get_mut(self.index) {
            request.until = Some(now);
        }
    }
}

impl World {
    pub(crate) fn edge_environment(&self, edge: &str) -> EdgeEnvironment {
        let client = self.client_at(edge);
        let memory = ByteBudget::new(DEFAULT_REQUESTS_BYTES);
        EdgeEnvironment { edge: self.edge(edge), stores: Rc::new(StoreClient::new(client.clone())), memory, client }
    }

    pub fn is_up(&self, name: &str) -> bool {
        self.0.borrow().nodes[name].up
    }

    /// Returns whether the process is up and accepts new connections.
    fn is_open(&self, name: &str) -> bool {
        let node = &self.0.borrow().nodes[name];
        node.up && !node.draining
    }

    /// Records a planned change at the current time.
    pub fn record_planned_change(&self) {
        let now = self.now();
        self.0.borrow_mut().observed.planned_changes.push(now);
    }

    /// Puts a configuration in force, lists simulated servers for it and waits until every edge has a lease.
    pub fn configure_and_list_servers(&self, text: &str, models: usize, tools: usize, tool_group: &str) {
        self.put_config(0, "first", text);
        let c = config::read(text).expect("a valid config");
        let g = &c.groups;
        for i in 0..models {
            let backend = Backend {
                model: true,
                slots: g["lang"].max_in_flight,
                chunk_ms: 25,
                chunks: MAX_TOKENS,
                reports_start: true,
                ..Backend::default()
            };
            self.list_server(
                &format!("model{:02}", i + 1),
                "lang",
                ZONE_NAMES[i % 3],
                backend,
                g["lang"].jobs_per_warmup_slot,
            );
        }
        for i in 0..tools {
            let backend = Backend { slots: g[tool_group].max_in_flight, work_ms: 60, ..Backend::default() };
            self.list_server(
                &format!("tool{}", i + 1),
                tool_group,
                ZONE_NAMES[i % 3],
                backend,
                g[tool_group].jobs_per_warmup_slot,
            );
        }
        let ready = |world: &World| {
            let now = world.now();
            world
                .names("trailhead")
                .iter()
                .all(|edge| world.edge(edge).has_lease(now) && world.edge(edge).view().config.is_some())
        };
        assert!(self.until(10_000, ready), "the edges got no lease");
    }

    pub fn list_server(&self, name: &str, group: &str, zone: &str, backend: Backend, jobs_per_slot: u32) {
        self.0.borrow_mut().observed.servers.insert(name.into(), (zone.into(), backend.slots, jobs_per_slot));
        if !self.0.borrow().nodes.contains_key(name) {
            self.add_backend(name, zone, backend);
        }
        let (name, group, zone) = (name.to_string(), group.to_string(), zone.to_string());
        let answer = self.issue(ControlRequest::List { name: name.clone(), group, addr: name, zone });
        assert!(matches!(answer, Some(ControlResponse::Committed(_))), "{answer:?}");
    }

    /// Puts a config. An accepted one is recorded with the time of the confirmation.
    pub fn put_config(&self, base: u64, change: &str, text: &str) -> Option<ControlResponse> {
        self.record_planned_change();
        self.issue(put_config_request(base, 0, change, text))
    }

    /// Records an operator's response to a configuration change.
    pub(super) fn record_config_outcome(&self, change: &str, answer: &Option<ControlResponse>) {
        if let Some(ControlResponse::Conflict(_)) = answer {
            self.0.borrow_mut().observed.overtaken_changes.push(change.into());
        }
        if let Some(ControlResponse::Committed(revision)) = answer {
            let now = self.now();
            let observed = &mut self.0.borrow_mut().observed;
            if observed.configs.iter().all(|(_, known)| known != revision) {
                observed.configs.push((now, *revision));
            }
        }
    }

    /// Two operators put a config at once, on the same base.
    pub fn race_configs(&self, base: u64, text: &str, a: &str, b: &str) -> Vec<Option<ControlResponse>> {
        let members = self.names("refuge");
        let both = [a, b].map(|change| {
            self.send_command(&members, put_config_request(base, 0, change, text), OPERATOR_TIMEOUT_MS * 2)
        });
        both.iter().map(|pending| self.wait_for_answer(pending, OPERATOR_TIMEOUT_MS * 3)).collect()
    }

    pub fn config_revision(&self) -> u64 {
        match self.issue(ControlRequest::GetConfig(0)) {
            Some(ControlResponse::Config { revision, .. }) => revision,
            _ => 0,
        }
    }

    pub fn mark_leaving(&self, server: &str) {
        self.record_planned_change();
        let answer = self.issue(ControlRequest::Leave(server.into()));
        assert!(matches!(answer, Some(ControlResponse::Committed(_))), "{answer:?}");
        let now = self.now();
        self.0.borrow_mut().observed.leaving_servers.push((now, u64::MAX, server.into()));
    }

    /// Lists a server again that was marked as leaving; its process is restarted and so is cold.
    pub fn relist(&self, name: &str) {
        let now = self.now();
        let listed = {
            let mut inner = self.0.borrow_mut();
            let open_spans =
                inner.observed.leaving_servers.iter_mut().filter(|span| span.2 == name && span.1 == u64::MAX);
            open_spans.map(|span| span.1 = now).count()
        };
        // a server that was not marked as leaving is still listed
        if listed == 0 {
            return;
        }
        self.terminate(name);
        self.start(name);
        let (zone, _, _) = self.0.borrow().observed.servers[name].clone();
        let group = if name.starts_with("model") { "lang" } else { "tiles" };
        let (name, group) = (name.to_string(), group.to_string());
        self.issue(ControlRequest::List { name: name.clone(), group, addr: name, zone });
    }

    /// Reduces a group to one server, as the scaler would: puts the config in force with `most` and `least` at 1.
    pub fn reduce_group(&self, group: &str) {
        let Some(ControlResponse::Config { revision, text }) = self.issue(ControlRequest::GetConfig(0)) else { return };
        let mut json = jzon::parse(&text).expect("the config in force is JSON");
        json["groups"][group]["most"] = 1.into();
        json["groups"][group]["least"] = 1.into();
        self.put_config(revision, "shrink", &json.pretty(1));
    }

    /// Evacuates a zone and waits until it is reported done; None if that takes longer than `ms`.
    pub fn evacuate(&self, zone: &str, ms: u64) -> Option<u64> {
        self.record_planned_change();
        let answer = self.issue(ControlRequest::Evacuate { zone: zone.into(), evacuated: true });
        assert!(matches!(answer, Some(ControlResponse::Committed(_))), "{answer:?}");
        self.wait_for_evacuation(zone, ms)
    }

    /// Waits until an evacuation is reported done, and records when.
    pub fn wait_for_evacuation(&self, zone: &str, ms: u64) -> Option<u64> {
        let from = self.now();
        while self.now() < from + ms {
            if let Some(ControlResponse::Json(text)) = self.issue(ControlRequest::Evacuation(zone.into())) {
                if jzon::parse(&text).is_ok_and(|json| json["done"] == true) {
                    let now = self.now();
                    self.0.borrow_mut().observed.evacuations.push((now, u64::MAX, zone.into()));
                    return Some(now - from);
                }
            }
            self.run(50);
        }
        None
    }

    /// Starts `n` programs of one kind, arriving over `ms`.
    pub fn spawn_clients(&self, n: u64, ms: u64, kind: ProgramKind) {
        for i in 0..n {
            let at = self.0.borrow_mut().draw(ms);
            let world = self.clone();
            self.spawn("outside", async move {
                world.client_at("outside").sleep(at + 1).await;
                world.run_program(kind, i).await;
            });
        }
    }

    /// Starts the usual mix of programs for `ms`, at `rate` percent of the usual rate.
    pub fn spawn_traffic(&self, ms: u64, rate: u64) {
        let n = |per_s: u64| per_s * ms * rate / 100_000;
        self.spawn_clients(n(15), ms, ProgramKind { name: "chat", route: "chat", turns: 1, tool: None });
        self.spawn_clients(
            n(2),
            ms,
            ProgramKind { name: "review", route: "review", turns: 4, tool: Some(("thumbnail", false)) },
        );
        self.spawn_clients(
            n(1),
            ms,
            ProgramKind { name: "surveyor", route: "", turns: 0, tool: Some(("bundle", true)) },
        );
        self.spawn_clients(
            n(1).max(1),
            ms,
            ProgramKind { name: "flood", route: "", turns: 0, tool: Some(("flood-bundle", true)) },
        );
        self.spawn_clients(
            n(1).max(1),
            ms,
            ProgramKind { name: "council", route: "", turns: 0, tool: Some(("archive", true)) },
        );
    }

    /// Starts programs that request turns three at a time at different edges, and so exceed their allowance.
    pub fn spawn_over_allowance_clients(&self, name: &str, n: u64, turns: u64) {
        for i in 0..n {
            let world = self.clone();
            let id = format!("{name}-{i}");
            self.spawn("outside", async move {
                if !world.create_program_retrying(&id, i).await {
                    return;
                }
                for round in 0..turns / 2 {
                    let (first, second, third) = (
                        world.run_job(&id, "chat", None, round),
                        world.run_job(&id, "chat", None, round + 1),
                        world.run_job(&id, "review", None, round + 2),
                    );
                    futures_util::join!(first, second, third);
                }
            });
        }
    }

    async fn run_program(&self, kind: ProgramKind, i: u64) {
        let id = format!("{}-{i}-{}", kind.name, self.now());
        if !self.create_program_retrying(&id, i).await {
            return;
        }
        for turn in 0..kind.turns {
            self.run_job(&id, kind.route, None, i + turn).await;
            if let Some(tool) = kind.tool.filter(|_| turn % 4 != 3) {
                self.run_job(&id, tool.0, Some(tool.1), i + turn).await;
            }
        }
        if let Some(tool) = kind.tool.filter(|_| kind.turns == 0) {
            self.run_job(&id, tool.0, Some(tool.1), i).await;
        }
    }

    async fn create_program_retrying(&self, id: &str, i: u64) -> bool {
        let client = self.client_at("outside");
        let end = self.now() + CLIENT_RETRY_MS;
        let request =
            StoreRequest::PutProgram { id: id.into(), allowance: 60, time_left_ms: 120_000, retention_ms: 3_600_000 };
        let mut n = i;
        while self.now() < end {
            let edge = format!("trailhead{}", n % 6 + 1);
            n += 1;
            if self.is_up(&edge) {
                if let Some(StoreResponse::Program(..)) = self.edge_environment(&edge).store(id, request.clone()).await
                {
                    let program = ProgramRecord { allowance: 60, history: None };
                    self.0.borrow_mut().observed.programs.insert(id.into(), program);
                    return true;
                }
            }
            client.sleep(300).await;
        }
        false
    }

    /// Runs one job: retries with its key at one edge after another until its final verdict.
    /// `at_most_once` is None for a turn.
    async fn run_job(&self, id: &str, route: &str, at_most_once: Option<bool>, i: u64) {
        let client = self.client_at("outside");
        let key = format!("k-{id}-{}", self.0.borrow_mut().draw(1 << 40));
        let asked_at = self.now();
        let mut job = JobRecord {
            program: id.into(),
            key: key.clone(),
            route: route.into(),
            at_most_once: at_most_once == Some(true),
            turn: at_most_once.is_none(),
            asked_at,
            max_tokens: if at_most_once.is_none() { MAX_TOKENS } else { 0 },
            ..JobRecord::default()
        };
        let mut n = i;
        while self.now() < asked_at + CLIENT_RETRY_MS {
            let edge = format!("trailhead{}", n % 6 + 1);
            n += 1;
            if self.is_open(&edge) {
                job.edges.push(edge.clone());
                if self.attempt_job(&edge, id, route, &mut job).await {
                    break;
                }
            }
            client.sleep(500).await;
        }
        job.ended_at = Some(self.now());
        self.0.borrow_mut().observed.jobs.push(job);
    }

    async fn attempt_job(&self, edge: &str, id: &str, route: &str, job: &mut JobRecord) -> bool {
        let environment = self.edge_environment(edge);
        let Some(route_config) = environment.edge.view().config.as_ref().and_then(|c| c.routes.get(route).cloned())
        else {
            // a config has removed the route: the outcome stored under the key still counts
            let request = StoreRequest::LookupJob { program: id.into(), key: job.key.clone(), digest: 0 };
            return match environment.store(id, request).await {
                Some(StoreResponse::Ended(ended)) => self.record_job_response(job, &Response::Ended(ended)),
                _ => false,
            };
        };
        job.job_class = route_config.job_class.clone();
        let request = Request {
            program: id.into(),
            key: job.key.clone(),
            digest: hash(&job.key) | 1,
            route_name: route.into(),
            route: route_config,
            body: String::new(),
            prefix: if job.turn { "house rules".into() } else { String::new() },
            max_tokens: job.max_tokens,
            program_created_index: 0,
        };
        let (tx, mut rx) = mpsc::channel(READ_AHEAD_CHUNKS);
        let is_turn = job.turn;
        let input = format!("{}?", job.key);
        let active_request = self.register_request(edge);
        let held_request = HeldRequest::new(self, &job.key);
        self.spawn(edge, async move {
            let (_active_request, _held_request) = (active_request, held_request);
            if is_turn {
                serve_turn(&environment, &environment.edge.clone(), request, input, ResponseChannel::new(tx)).await;
            } else {
                serve_tool_call(&environment, &environment.edge.clone(), request, ResponseChannel::new(tx)).await;
            }
        });
        let client = self.client_at("outside");
        loop {
            let event = tokio::select! {
                biased;
                event = rx.recv() => event,
                // the client tries another edge; its connection was not broken
                _ = client.sleep(EDGE_SILENCE_MS) => {
                    job.client_hangups += 1;
                    return false;
                }
            };
            match event {
                Some(ResponseEvent::Chunk { run, seq, text }) => {
                    job.first_answer_at.get_or_insert(self.now());
                    job.chunks.push((run, seq));
                    job.tokens += tokens(&text);
                    job.text.push_str(&text);
                }
                Some(ResponseEvent::Response(answer)) => return self.record_job_response(job, &answer),
                None => {
                    job.broken_connections += 1;
                    return false;
                }
            }
        }
    }

    fn record_job_response(&self, job: &mut JobRecord, answer: &Response) -> bool {
        let (verdict, code, last) = match answer {
            Response::Ended(ended) => (outcome_name(ended.outcome), ended.code.clone(), true),
            Response::Running => ("running", String::new(), false),
            Response::Unavailable(c) => ("unavailable", c.to_string(), false),
            Response::NoProgram => ("no_program", String::new(), true),
            Response::ProgramRecreated => ("made_anew", String::new(), true),
            Response::KeyReused => ("key_reused", String::new(), true),
        };
        if let Response::Ended(JobResult { outcome: JobOutcome::Done, body, .. }) = answer {
            job.first_answer_at.get_or_insert(self.now());
            job.answer = job.turn.then(|| body.clone());
        }
        job.verdicts.push((self.now(), verdict.into(), code));
        last
    }

    /// Creates a program at any edge. Returns the index of its creation.
    pub fn create_program(&self, id: &str, allowance: u64, time_left_ms: u64, retention_ms: u64) -> u64 {
        let request = StoreRequest::PutProgram { id: id.into(), allowance, time_left_ms, retention_ms };
        let (world, program_id) = (self.clone(), id.to_string());
        let response: Rc<std::cell::Cell<u64>> = Rc::default();
        let result = response.clone();
        self.spawn("outside", async move {
            for n in 0..40 {
                if let Some(StoreResponse::Program(program, _)) =
                    world.edge_environment(&format!("trailhead{}", n % 6 + 1)).store(&program_id, request.clone()).await
                {
                    return result.set(program.created_index);
                }
            }
        });
        assert!(self.until(30_000, |_| response.get() > 0), "program {id} could not be created");
        self.0.borrow_mut().observed.programs.insert(id.into(), ProgramRecord { allowance, history: None });
        response.get()
    }

    /// Starts one tool call at an edge that is not recorded as a job. None while there is no verdict.
    pub fn start_tool_call(
        &self,
        edge: &str,
        id: &str,
        route: &str,
        key: &str,
        program_created_index: u64,
    ) -> Rc<RefCell<Option<Response>>> {
        self.start_request(edge, id, route, key, program_created_index, 0)
    }

    /// Starts one turn in the same way.
    pub fn start_turn(&self, edge: &str, id: &str, route: &str, key: &str) -> Rc<RefCell<Option<Response>>> {
        self.start_request(edge, id, route, key, 0, MAX_TOKENS)
    }

    fn start_request(
        &self,
        edge: &str,
        id: &str,
        route: &str,
        key: &str,
        program_created_index: u64,
        max_tokens: u64,
    ) -> Rc<RefCell<Option<Response>>> {
        let environment = self.edge_environment(edge);
        let route_config =
            environment.edge.view().config.as_ref().expect("the edge has a config").routes[route].clone();
        let digest = hash(key) | 1;
        let (body, prefix) = (String::new(), String::new());
        let input = format!("{key}?");
        let (program, key, route_name) = (id.to_string(), key.to_string(), route.to_string());
        let request = Request {
            program,
            key,
            digest,
            route_name,
            route: route_config,
            body,
            prefix,
            max_tokens,
            program_created_index,
        };
        let (tx, mut rx) = mpsc::channel(READ_AHEAD_CHUNKS);
        self.spawn(edge, async move {
            if max_tokens > 0 {
                serve_turn(&environment, &environment.edge.clone(), request, input, ResponseChannel::new(tx)).await;
            } else {
                serve_tool_call(&environment, &environment.edge.clone(), request, ResponseChannel::new(tx)).await;
            }
        });
        let response: Rc<RefCell<Option<Response>>> = Rc::default();
        let result = response.clone();
        self.spawn("outside", async move {
            while let Some(event) = rx.recv().await {
                if let ResponseEvent::Response(answer) = event {
                    *result.borrow_mut() = Some(answer);
                }
            }
        });
        response
    }

    /// Runs a tool call and waits for its verdict. Returns the verdict's name.
    pub fn tool_call_outcome(
        &self,
        edge: &str,
        id: &str,
        route: &str,
        key: &str,
        program_created_index: u64,
    ) -> String {
        let response = self.start_tool_call(edge, id, route, key, program_created_index);
        self.until(40_000, |_| response.borrow().is_some());
        let answer = response.borrow_mut().take();
        match answer {
            Some(Response::Ended(ended)) => outcome_name(ended.outcome).into(),
            answer => format!("{answer:?}"),
        }
    }

    /// Returns how often backends ran this key.
    pub fn run_count(&self, key: &str) -> usize {
        self.0.borrow().observed.runs.iter().filter(|run| run.key == key).count()
    }

    /// Looks up the outcome of every key again; it must still be the same.
    fn recheck_outcomes(&self) {
        let jobs: Vec<(usize, String, String)> = {
            let inner = self.0.borrow();
            inner.observed.jobs.iter().enumerate().map(|(i, job)| (i, job.program.clone(), job.key.clone())).collect()
        };
        let unfinished = std::rc::Rc::new(std::cell::Cell::new(jobs.len()));
        for (i, program, key) in jobs {
            let (world, unfinished_count) = (self.clone(), unfinished.clone());
            self.spawn("outside", async move {
                for n in 0..20 {
                    let edge = format!("trailhead{}", n % 6 + 1);
                    let request = StoreRequest::LookupJob { program: program.clone(), key: key.clone(), digest: 0 };
                    let answer = if world.is_up(&edge) {
                        world.edge_environment(&edge).store(&program, request).await
                    } else {
                        None
                    };
                    if let Some(StoreResponse::Ended(ended)) = answer {
                        let now = world.now();
                        world.0.borrow_mut().observed.jobs[i].verdicts.push((
                            now,
                            outcome_name(ended.outcome).into(),
                            ended.code,
                        ));
                    } else if !matches!(answer, Some(StoreResponse::Unknown(..) | StoreResponse::NoProgram)) {
                        world.client_at("outside").sleep(300).await;
                        continue;
                    } else {
                        let now = world.now();
                        world.0.borrow_mut().observed.jobs[i].verdicts.push((now, "unknown".into(), String::new()));
                    }
                    break;
                }
                unfinished_count.set(unfinished_count.get() - 1);
            });
        }
        self.until(60_000, |_| unfinished.get() == 0);
    }

    /// Ends a run: waits until all jobs have ended, reads the config and the histories back, and returns the
    /// observations.
    pub fn finish_and_observe(&self, ms: u64) -> Observations {
        self.run(ms);
        let revision = self.config_revision();
        self.recheck_outcomes();
        self.read_history(OPERATOR_TIMEOUT_MS);
        let ids: Vec<String> = self.0.borrow().observed.programs.keys().cloned().collect();
        let unfinished = std::rc::Rc::new(std::cell::Cell::new(ids.len()));
        for id in ids {
            let (world, unfinished_count) = (self.clone(), unfinished.clone());
            self.spawn("outside", async move {
                for n in 0..40 {
                    let edge = format!("trailhead{}", n % 6 + 1);
                    let up = world.is_up(&edge);
                    let answer = if up {
                        world.edge_environment(&edge).store(&id, StoreRequest::GetProgram { id: id.clone() }).await
                    } else {
                        None
                    };
                    let history = match answer {
                        Some(StoreResponse::Program(program, _)) => {
                            program.history.into_iter().map(turn_record).collect()
                        }
                        Some(StoreResponse::NoProgram) => vec![],
                        _ => {
                            world.client_at("outside").sleep(300).await;
                            continue;
                        }
                    };
                    world.0.borrow_mut().observed.programs.get_mut(&id).expect("the program is recorded").history =
                        Some(history);
                    break;
                }
                unfinished_count.set(unfinished_count.get() - 1);
            });
        }
        self.until(60_000, |_| unfinished.get() == 0);
        let mut inner = self.0.borrow_mut();
        inner.observed.read_back = (revision > 0).then_some(revision);
        let first_answers: Vec<u64> = inner.observed.jobs.iter().filter_map(|job| job.first_answer_at).collect();
        for (up, first) in &mut inner.observed.total_losses {
            *first = first_answers.iter().filter(|at| *at > up).min().copied();
        }
        inner.observed.clone()
    }
}

fn turn_record(turn: hutbook::coordination::store::Turn) -> TurnRecord {
    TurnRecord { key: turn.key, input: turn.input, answer: turn.answer }
}

const ZONE_NAMES: [&str; 3] = super::simulated_network::ZONES;

/// One kind of program: its turns, and a tool call (at most once or repeatable) after most of them.
#[derive(Clone, Copy)]
pub struct ProgramKind {
    pub name: &'static str,
    pub route: &'static str,
    pub turns: u64,
    pub tool: Option<(&'static str, bool)>,
}
