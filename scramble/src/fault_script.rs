//! Simulated clients of both example deployments. They send requests over HTTP and record what they observe.

use crate::check::is_final_verdict;
use crate::observations::{tokens, JobRecord, Observations, ProgramRecord, TurnRecord};
use futures_util::StreamExt;
use hutbook::constants::MAX_BODY_BYTES;
use hutbook::transport::connection_pool::BodyRead;
use hutbook::transport::http::{call, open_call};
use jzon::JsonValue;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deployment {
    Glenmorven,
    Tianguis,
}

#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub deployment: Deployment,
    pub edges: Vec<String>,
    pub seconds: u64,
    /// Arrival rate, in percent of the usual one.
    pub rate_percent: u64,
    /// Programs of the first kind that all arrive in the first second.
    pub initial_burst: u64,
    pub seed: u64,
}

pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// How long a client retries a job, in milliseconds.
const CLIENT_RETRY_MS: u64 = 25_000;
/// The longest a client reads from one connection, in milliseconds.
const MAX_CONNECTION_MS: u64 = 60_000;
/// How often the outcome of a job is queried at the end, 300 ms apart: until the longest run must have ended.
const MAX_OUTCOME_QUERIES: u64 = 400;
const TOKEN_ALLOWANCE: u64 = 60;
const MAX_TOKENS: u64 = 12;

pub struct LoadClients {
    plan: LoadPlan,
    pub observed: RefCell<Observations>,
    rng: RefCell<ChaCha8Rng>,
    next_name: Cell<u64>,
    unfinished_programs: Cell<u64>,
    /// When the last client arrived.
    pub last_arrival_at: Cell<u64>,
    run_label: String,
}

/// A kind of arrival: its rate (per 1,000 s) and what it starts.
type ArrivalRate = (u64, fn(Rc<LoadClients>, u64));

impl LoadClients {
    pub fn new(plan: LoadPlan) -> Rc<LoadClients> {
        let rng = RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed));
        let run_label = match plan.deployment {
            Deployment::Glenmorven => "g",
            Deployment::Tianguis => "t",
        };
        let run_label = format!("{run_label}{}", plan.seed);
        Rc::new(LoadClients {
            plan,
            observed: RefCell::default(),
            rng,
            next_name: Cell::new(1),
            unfinished_programs: Cell::new(0),
            last_arrival_at: Cell::new(0),
            run_label,
        })
    }

    fn draw(&self, n: u64) -> u64 {
        self.rng.borrow_mut().next_u64() % n.max(1)
    }

    fn unique_name(&self, kind: &str) -> String {
        let n = self.next_name.get();
        self.next_name.set(n + 1);
        format!("{kind}-{}-{n}", self.run_label)
    }

    fn edge(&self, turn: u64) -> String {
        let edges = &self.plan.edges;
        edges[(turn as usize) % edges.len()].clone()
    }

    /// Starts clients for the plan's duration, waits until all have finished, and reads the histories and outcomes
    /// back.
    pub async fn run(self: &Rc<Self>) {
        let kinds: &[ArrivalRate] = match self.plan.deployment {
            Deployment::Glenmorven => &[
                (15_000, |clients, i| clients.start_program(i, "chat", "chat", 1, None, 1)),
                (2_000, |clients, i| {
                    clients.start_program(i, "review", "review", 4, Some(("thumbnail", "fetch", false)), 2)
                }),
                (500, |clients, i| clients.start_program(i, "surveyor", "", 0, Some(("bundle", "fetch", true)), 1)),
                (500, |clients, i| clients.start_program(i, "flood", "", 0, Some(("flood-bundle", "urgent", true)), 1)),
                (500, |clients, i| clients.start_program(i, "council", "", 0, Some(("archive", "archive", true)), 1)),
            ],
            Deployment::Tianguis => &[
                (15_000, |clients, i| clients.start_program(i, "fee", "fee", 1, None, 1)),
                (2_000, |clients, i| {
                    clients.start_program(i, "renewal", "renewal", 3, Some(("charge", "counter", true)), 2)
                }),
                (500, |clients, i| {
                    clients.start_program(i, "vendor", "", 0, Some(("stall-lookup", "counter", false)), 1)
                }),
                (500, |clients, i| clients.start_program(i, "cashier", "", 0, Some(("receipt", "urgent", true)), 1)),
                (300, |clients, i| clients.start_program(i, "noticer", "", 0, Some(("notice", "urgent", true)), 1)),
            ],
        };
        for i in 0..self.plan.initial_burst {
            kinds[0].1(self.clone(), i);
        }
        let start = wall_clock_ms();
        let mut due: Vec<u64> = kinds.iter().map(|_| 0).collect();
        let end = self.plan.seconds * 1_000;
        let mut n = 0;
        loop {
            let now = wall_clock_ms() - start;
            if now >= end {
                break;
            }
            for (k, (rate, start)) in kinds.iter().enumerate() {
                while due[k] <= now {
                    start(self.clone(), n);
                    n += 1;
                    // exponential gaps: independent arrivals
                    let u = (self.draw(1 << 20) + 1) as f64 / (1u64 << 20) as f64;
                    let mean = 1_000.0 * 1_000.0 * 100.0 / (*rate as f64 * self.plan.rate_percent as f64);
                    due[k] += (-u.ln() * mean) as u64 + 1;
                }
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        self.last_arrival_at.set(wall_clock_ms());
        while self.unfinished_programs.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        self.read_histories().await;
        self.recheck_outcomes().await;
    }

    /// Looks up the outcome of every key again; it must still be the same.
    async fn recheck_outcomes(&self) {
        let keys: Vec<(usize, String, String)> = self
            .observed
            .borrow()
            .jobs
            .iter()
            .enumerate()
            .map(|(i, job)| (i, job.program.clone(), job.key.clone()))
            .collect();
        let queries = futures_util::stream::iter(keys).map(|(i, program, key)| async move {
            for n in 0..MAX_OUTCOME_QUERIES {
                let url = format!("http://{}/v1/jobs/{key}?program={program}", self.edge(n));
                let (verdict, code) = match call("GET", &url, &[], String::new(), 5_000).await {
                    Ok((200, b, _)) => {
                        let json = jzon::parse(&b).unwrap_or(JsonValue::Null);
                        let text = |k: &str| json[k].as_str().unwrap_or("").to_string();
                        (text("verdict"), text("code"))
                    }
                    Ok((404, _, _)) => ("unknown".to_string(), String::new()),
                    _ => (String::new(), String::new()),
                };
                if verdict.is_empty() || verdict == "running" {
                    actix_rt::time::sleep(Duration::from_millis(300)).await;
                    continue;
                }
                return self.observed.borrow_mut().jobs[i].verdicts.push((wall_clock_ms(), verdict, code));
            }
        });
        queries.buffer_unordered(16).collect::<Vec<()>>().await;
    }

    /// Starts one program: its turns, and tool calls after most of them.
    fn start_program(
        self: Rc<Self>,
        i: u64,
        kind: &'static str,
        route: &'static str,
        turns: u64,
        tool: Option<(&'static str, &'static str, bool)>,
        tools: u64,
    ) {
        self.unfinished_programs.set(self.unfinished_programs.get() + 1);
        actix_rt::spawn(async move {
            let id = self.unique_name(kind);
            if self.create_program(&id, i).await {
                for turn in 0..turns {
                    self.run_turn(&id, route, kind, i + turn).await;
                    if let Some(tool_call) = tool.filter(|_| turn % 4 != 3 && turn < tools) {
                        self.run_tool_call(&id, tool_call, i + turn).await;
                    }
                }
                if let Some(tool_call) = tool.filter(|_| turns == 0) {
                    self.run_tool_call(&id, tool_call, i).await;
                }
            }
            self.unfinished_programs.set(self.unfinished_programs.get() - 1);
        });
    }

    async fn create_program(&self, id: &str, i: u64) -> bool {
        let end = wall_clock_ms() + CLIENT_RETRY_MS;
        let body = jzon::object! { allowance: TOKEN_ALLOWANCE, time_left_ms: 120_000 }.dump();
        let mut n = i;
        while wall_clock_ms() < end {
            let url = format!("http://{}/v1/programs/{id}", self.edge(n));
            if let Ok((200, _, _)) = call("PUT", &url, &[], body.clone(), 5_000).await {
                let program = ProgramRecord { allowance: TOKEN_ALLOWANCE, history: None };
                self.observed.borrow_mut().programs.insert(id.to_string(), program);
                return true;
            }
            n += 1;
            actix_rt::time::sleep(Duration::from_millis(300)).await;
        }
        false
    }

    fn store_record(&self, mut job: JobRecord) {
        job.ended_at = Some(wall_clock_ms());
        self.observed.borrow_mut().jobs.push(job);
    }

    async fn run_tool_call(
        &self,
        id: &str,
        (route, job_class, at_most_once): (&'static str, &'static str, bool),
        i: u64,
    ) {
        let key = self.unique_name("k");
        let mut job = JobRecord {
            program: id.into(),
            key: key.clone(),
            route: route.into(),
            job_class: job_class.into(),
            at_most_once,
            asked_at: wall_clock_ms(),
            ..JobRecord::default()
        };
        let body = jzon::object! { of: id }.dump();
        let mut n = i;
        while wall_clock_ms() < job.asked_at + CLIENT_RETRY_MS {
            let edge = self.edge(n);
            let url = format!("http://{edge}/v1/programs/{id}/tools/{route}");
            job.edges.push(edge);
            let response =
                call("POST", &url, &[("idempotency-key", key.as_str())], body.clone(), MAX_CONNECTION_MS).await;
            n += 1;
            let last = match response {
                Ok((_, body, _)) => self.record_verdict(&mut job, &jzon::parse(&body).unwrap_or(JsonValue::Null)),
                Err(error) => {
                    job.broken_connections += u32::from(error.sent);
                    false
                }
            };
            if last {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(500)).await;
        }
        self.store_record(job);
    }

    /// Records a verdict. Returns true if it is final for this key.
    fn record_verdict(&self, job: &mut JobRecord, json: &JsonValue) -> bool {
        let verdict = json["verdict"].as_str().or(json["error"].as_str()).unwrap_or("nonsense").to_string();
        let code = json["code"].as_str().unwrap_or("").to_string();
        let last = is_final_verdict(&verdict);
        if last && job.first_answer_at.is_none() && verdict == "done" {
            job.first_answer_at = Some(wall_clock_ms());
        }
        if last && verdict == "done" && job.turn {
            job.answer = json["body"].as_str().map(String::from);
        }
        job.verdicts.push((wall_clock_ms(), verdict, code));
        last
    }

    async fn run_turn(&self, id: &str, route: &str, kind: &str, i: u64) {
        let key = self.unique_name("k");
        let work = if kind == "fee" { "chat" } else { kind };
        let mut job = JobRecord {
            program: id.into(),
            key: key.clone(),
            route: route.into(),
            job_class: work.into(),
            turn: true,
            max_tokens: MAX_TOKENS,
            asked_at: wall_clock_ms(),
            ..JobRecord::default()
        };
        let body =
            jzon::object! { route: route, text: format!("{key}?"), cap: MAX_TOKENS, prefix: format!("house rules {}", i % 4) }
                .dump();
        let mut n = i;
        while wall_clock_ms() < job.asked_at + CLIENT_RETRY_MS {
            let edge = self.edge(n);
            let url = format!("http://{edge}/v1/programs/{id}/turns");
            job.edges.push(edge);
            n += 1;
            if self.attempt_turn(&url, &key, body.clone(), &mut job).await {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(500)).await;
        }
        self.store_record(job);
    }

    async fn attempt_turn(&self, url: &str, key: &str, body: String, job: &mut JobRecord) -> bool {
        let headers = [("idempotency-key", key)];
        let Ok(mut response) = open_call("POST", url, &headers, body, MAX_CONNECTION_MS, Box::new(|| true)).await
        else {
            return false;
        };
        let kind = response.headers.get("content-type").and_then(|value| value.to_str().ok()).unwrap_or("").to_string();
        if !kind.starts_with("text/event-stream") {
            let Some(body) = response.read_to_end(MAX_BODY_BYTES).await else { return false };
            let json = jzon::parse(&String::from_utf8_lossy(&body)).unwrap_or(JsonValue::Null);
            return self.record_verdict(job, &json);
        }
        let mut buffer = String::new();
        while let BodyRead::Bytes(b) = response.next().await {
            buffer.push_str(&String::from_utf8_lossy(&b));
            while let Some(at) = buffer.find("\n\n") {
                let e: String = buffer.drain(..at + 2).collect();
                let data = e.lines().find_map(|l| l.strip_prefix("data: ")).unwrap_or("null");
                let json = jzon::parse(data).unwrap_or(JsonValue::Null);
                if e.starts_with("event: verdict") {
                    return self.record_verdict(job, &json);
                }
                job.first_answer_at.get_or_insert(wall_clock_ms());
                job.chunks.push((json["run"].as_u32().unwrap_or(u32::MAX), json["seq"].as_u64().unwrap_or(u64::MAX)));
                let t = json["text"].as_str().unwrap_or("");
                job.tokens += tokens(t);
                job.text.push_str(t);
            }
        }
        job.broken_connections += 1;
        false
    }

    /// Reads the history of every program at the end of the run.
    async fn read_histories(&self) {
        let ids: Vec<String> = self.observed.borrow().programs.keys().cloned().collect();
        let queries = futures_util::stream::iter(ids).map(|id| async move {
            for n in 0..40 {
                let url = format!("http://{}/v1/programs/{id}", self.edge(n));
                match call("GET", &url, &[], String::new(), 5_000).await {
                    Ok((200, b, _)) => {
                        let json = jzon::parse(&b).unwrap_or(JsonValue::Null);
                        let text = |t: &JsonValue, k: &str| t[k].as_str().unwrap_or("").to_string();
                        let turn = |t: &JsonValue| TurnRecord {
                            key: text(t, "key"),
                            input: text(t, "said"),
                            answer: text(t, "answer"),
                        };
                        let history = json["history"].members().map(turn).collect();
                        self.observed.borrow_mut().programs.get_mut(&id).expect("the program is recorded").history =
                            Some(history);
                        return;
                    }
                    // the program is deleted, so it has no history
                    Ok((404, _, _)) => {
                        self.observed.borrow_mut().programs.get_mut(&id).expect("the program is recorded").history =
                            Some(vec![]);
                        return;
                    }
                    _ => actix_rt::time::sleep(Duration::from_millis(300)).await,
                }
            }
        });
        queries.buffer_unordered(16).collect::<Vec<()>>().await;
    }
}

/// Formats counts and response times by job class.
pub fn report(observed: &Observations, points: &[(String, u64)]) -> String {
    use std::collections::BTreeMap;
    /// Jobs, last verdicts and times to the first answer of one job class.
    type Row<'a> = (u64, BTreeMap<&'a str, u64>, Vec<u64>);
    let mut by_class: BTreeMap<&str, Row> = BTreeMap::new();
    for job in &observed.jobs {
        let e = by_class.entry(&job.job_class).or_default();
        e.0 += 1;
        *e.1.entry(job.verdicts.last().map_or("no verdict", |verdict| verdict.1.as_str())).or_default() += 1;
        e.2.extend(job.first_answer_at.map(|f| f.saturating_sub(job.asked_at)));
    }
    let mut out = String::from("work       jobs  first answer p50/p90 ms (set point)  verdicts\n");
    for (w, (n, vs, mut t)) in by_class {
        t.sort_unstable();
        let q = |p: usize| t.get(t.len() * p / 100).copied().unwrap_or(0);
        let point = points.iter().find(|(k, _)| k == w).map_or("-".into(), |(_, p)| p.to_string());
        let vs: Vec<String> = vs.iter().map(|(k, n)| format!("{k} {n}")).collect();
        out.push_str(&format!("{w:<10} {n:>5}  {:>6} / {:>6} ({point})  {}\n", q(50), q(90), vs.join(", ")));
    }
    let cut: u32 = observed.jobs.iter().map(|job| job.broken_connections).sum();
    out.push_str(&format!("runs {}, sessions cut {cut}, programs {}\n", observed.runs.len(), observed.programs.len()));
    out
}
