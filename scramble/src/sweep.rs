//! Scale sweep: runs real daemons beside simulated ("hollow") nodes at several fleet sizes, measures the resource usage
//! of each role, and fits its growth over the sizes.

use crate::fault_script::Deployment;
use crate::fit::{fit, growth_exponent};
use crate::plot::{svg, Line, Panel};
use crate::process_fleet::{ProcessFleet, CONTROLLERS, STORES};
use crate::scale::measure_leader;
use futures_util::StreamExt;
use hutbook::transport::http::{call, gauge};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Memory of a daemon without a fleet, in KB; well above the measured use of an idle one.
const DAEMON_KB: u64 = 64 * 1024;
/// Memory of a hollow edge without servers, and of each listed server, in KB; above the measured use.
const EDGE_BASE_KB: f64 = 128.0;
const SERVER_KB: f64 = 1.5;
/// Maximum number of processes on one machine.
const MAX_PROCESSES: usize = 200;
/// A run may use at most the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;
/// Open files of a process besides its connections.
const BASE_OPEN_FILES: u64 = 200;
/// First port of the range that the system uses for outgoing connections.
const FIRST_EPHEMERAL_PORT: usize = 32_768;
/// Polling interval and timeout of every wait, in milliseconds.
const POLL_MS: u64 = 10;
const WAIT_TIMEOUT_MS: u64 = 60_000;
/// The fleet counts as settled if nothing has changed for this long, in milliseconds.
const SETTLED_MS: u64 = 3_000;
/// Number of concurrent requests while servers are listed.
const CONCURRENT_LISTS: usize = 8;
/// Growth exponents over the number of edges: above the first a figure grows worse than linearly, below the second it
/// hardly grows.
const LINEAR_EXPONENT: f64 = 1.1;
const FLAT_EXPONENT: f64 = 0.1;
/// The planned fleet size: edges, servers.
pub const TARGET_SIZE: (usize, usize) = (1_200, 10_000);
/// The sizes of one of its 20 zones and of one of its 7 regions.
pub const ZONE_SIZE: (usize, usize) = (60, 500);
pub const REGION_SIZE: (usize, usize) = (171, 1_429);

#[derive(Clone, Debug)]
pub struct SweepPlan {
    /// (edges, servers) of each step; all but `real_edges` of the edges are hollow.
    pub sizes: Vec<(usize, usize)>,
    pub real_edges: usize,
    pub seconds: u64,
    /// Job rates per second; each is run for `seconds`.
    pub rates: Vec<u64>,
    pub changes: u64,
    pub kills: u64,
    /// Number of routes added to the configuration, to make its document larger.
    pub routes: usize,
    pub port: u16,
}

/// Resource usage of one role, per second, change or job.
#[derive(Clone, Debug)]
pub struct RoleUsage {
    pub edges: usize,
    pub servers: usize,
    pub phase: String,
    pub per: &'static str,
    pub role: &'static str,
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
    pub cpu_ms: f64,
    pub disk_bytes: f64,
    pub peak_kb: f64,
}

/// The duration of one waited-for event.
#[derive(Clone, Debug)]
pub struct Timing {
    pub edges: usize,
    pub servers: usize,
    pub what: &'static str,
    pub ms: f64,
    /// Number of leases that lapsed meanwhile.
    pub lapses: f64,
}

#[derive(Default)]
pub struct Report {
    pub rows: Vec<RoleUsage>,
    pub timings: Vec<Timing>,
}

/// Returns why one of the sizes can't be run on this machine, with the limit that is exceeded.
pub fn refusal_reason(plan: &SweepPlan, memory_kb: u64, files: u64) -> Option<String> {
    let processes = CONTROLLERS + STORES + plan.real_edges + 1;
    if processes > MAX_PROCESSES {
        return Some(format!("{processes} processes are more than {MAX_PROCESSES}"));
    }
    for (e, s) in &plan.sizes {
        let size = format!("{e} edges before {s} servers");
        if *e <= plan.real_edges || *s < 2 {
            return Some(format!(
                "{size}: there must be more edges than the {} real ones, and two servers",
                plan.real_edges
            ));
        }
        let hollow = *e as f64 * (EDGE_BASE_KB + SERVER_KB * *s as f64);
        let needed_kb = processes as u64 * (DAEMON_KB + (SERVER_KB * *s as f64) as u64) + hollow as u64;
        if needed_kb > memory_kb / MEMORY_DIVISOR {
            let (needed_mb, half_mb) = (needed_kb / 1_024, memory_kb / MEMORY_DIVISOR / 1_024);
            return Some(format!(
                "{size} would take about {needed_mb} MB, more than half of the machine's memory ({half_mb} MB)"
            ));
        }
        // a hollow edge may connect to every controller, and every real edge probes each server
        let open = BASE_OPEN_FILES + (e * CONTROLLERS + s * (1 + plan.real_edges)) as u64;
        if open > files {
            return Some(format!("{size} would take {open} open files in one process; {files} are allowed"));
        }
        let last = first_server(plan) as usize + s;
        if last > FIRST_EPHEMERAL_PORT {
            return Some(format!("{size} would take ports up to {last}, past {FIRST_EPHEMERAL_PORT}"));
        }
    }
    None
}

/// Returns the port of the first hollow server, above the daemons' own ports.
fn first_server(plan: &SweepPlan) -> u16 {
    plan.port.saturating_add(2 * MAX_PROCESSES as u16)
}

/// Returns the memory of this machine in KB.
pub fn memory_kb() -> u64 {
    let t = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    field(&t, "MemTotal:") as u64
}

fn field(text: &str, name: &str) -> f64 {
    let l = text.lines().find_map(|l| l.strip_prefix(name));
    l.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    messages_in: f64,
    messages_out: f64,
    bytes_in: f64,
    bytes_out: f64,
    cpu_ms: f64,
    disk: f64,
    peak_kb: f64,
}

impl Usage {
    fn map(&self, f: impl Fn(f64) -> f64) -> Usage {
        Usage {
            messages_in: f(self.messages_in),
            messages_out: f(self.messages_out),
            bytes_in: f(self.bytes_in),
            bytes_out: f(self.bytes_out),
            cpu_ms: f(self.cpu_ms),
            disk: f(self.disk),
            peak_kb: self.peak_kb,
        }
    }

    /// Returns the sum of both, the second multiplied by `sign`, and the higher peak.
    fn add_scaled(&self, other: &Usage, sign: f64) -> Usage {
        Usage {
            messages_in: self.messages_in + sign * other.messages_in,
            messages_out: self.messages_out + sign * other.messages_out,
            bytes_in: self.bytes_in + sign * other.bytes_in,
            bytes_out: self.bytes_out + sign * other.bytes_out,
            cpu_ms: self.cpu_ms + sign * other.cpu_ms,
            disk: self.disk + sign * other.disk,
            peak_kb: self.peak_kb.max(other.peak_kb),
        }
    }
}

/// Returns utime plus stime of /proc/PID/stat, in milliseconds. The program's name in it may contain spaces.
pub fn cpu_ms(stat: &str) -> f64 {
    let tick = 1_000.0 / rustix::param::clock_ticks_per_second() as f64;
    let f: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let n = |i: usize| f.get(i).and_then(|x| x.parse::<f64>().ok()).unwrap_or(0.0);
    (n(11) + n(12)) * tick
}

struct Fleet<'a> {
    daemons: ProcessFleet,
    plan: &'a SweepPlan,
    edges: usize,
    servers: usize,
    text: String,
}

type Figure = fn(&RoleUsage) -> f64;
type UsageMark = (Instant, BTreeMap<String, Usage>);

impl Fleet<'_> {
    async fn metrics(&self, name: &str) -> Option<String> {
        let url = format!("http://{}/metrics", self.daemons.processes[name].http_addr);
        call("GET", &url, &[], String::new(), 2_000).await.ok().map(|x| x.1)
    }

    async fn usage(&self, name: &str) -> Option<Usage> {
        let pid = self.daemons.pid(name)?;
        let read = |f: &str| std::fs::read_to_string(format!("/proc/{pid}/{f}")).unwrap_or_default();
        let (stat, status, io) = (read("stat"), read("status"), read("io"));
        let metrics = self.metrics(name).await?;
        let counter = |name: &str| gauge(&metrics, &format!("corkdrum_letters_{name}_total")).unwrap_or(0.0);
        Some(Usage {
            messages_in: counter("received"),
            messages_out: counter("sent"),
            bytes_in: counter("received_bytes"),
            bytes_out: counter("sent_bytes"),
            cpu_ms: cpu_ms(&stat),
            disk: field(&io, "write_bytes:"),
            peak_kb: field(&status, "VmHWM:"),
        })
    }

    async fn mark(&self) -> UsageMark {
        let mut usages = BTreeMap::new();
        for name in self.daemons.processes.keys() {
            if let Some(usage) = self.usage(name).await {
                usages.insert(name.clone(), usage);
            }
        }
        (Instant::now(), usages)
    }

    /// Returns the usage of each role per unit since the mark, less its idle usage.
    async fn usage_since(
        &self,
        mark: &UsageMark,
        divisor: f64,
        quiet: Option<&BTreeMap<&'static str, Usage>>,
    ) -> BTreeMap<&'static str, Usage> {
        let (at, now) = self.mark().await;
        let seconds = (at - mark.0).as_secs_f64();
        let divisor = if divisor > 0.0 { divisor } else { seconds };
        let (control_leader, store_leader) = (self.daemons.leader("refuge").await, self.daemons.leader("bothy").await);
        let mut sums: BTreeMap<&'static str, (Usage, f64)> = BTreeMap::new();
        for (name, after) in &now {
            let Some(before) = mark.1.get(name) else { continue };
            let (role, instances) = match name {
                n if Some(n) == control_leader.as_ref() => ("core leader", 1.0),
                n if Some(n) == store_leader.as_ref() => ("store leader", 1.0),
                n if n.starts_with("refuge") => ("core follower", 1.0),
                n if n.starts_with("bothy") => ("store follower", 1.0),
                n if n.starts_with("trailhead") => ("edge", 1.0),
                _ => ("hollow edge", (self.edges - self.plan.real_edges) as f64),
            };
            let sum = sums.entry(role).or_default();
            sum.0 = sum.0.add_scaled(&after.add_scaled(before, -1.0), 1.0);
            sum.0.peak_kb = sum.0.peak_kb.max(after.peak_kb);
            sum.1 += instances;
        }
        let mut usage_by_role = BTreeMap::new();
        for (role, (total, instances)) in sums {
            let mut usage = total.map(|v| v / instances);
            if let Some(idle) = quiet.and_then(|quiet| quiet.get(role)) {
                usage = usage.add_scaled(&idle.map(|v| v * seconds), -1.0);
            }
            let mut usage = usage.map(|v| v / divisor);
            if role == "hollow edge" {
                usage.peak_kb /= instances;
            }
            usage_by_role.insert(role, usage);
        }
        usage_by_role
    }

    fn rows(&self, phase: &str, per: &'static str, usage_by_role: &BTreeMap<&'static str, Usage>) -> Vec<RoleUsage> {
        let row = |(role, usage): (&&'static str, &Usage)| RoleUsage {
            edges: self.edges,
            servers: self.servers,
            phase: phase.into(),
            per,
            role,
            messages_in: usage.messages_in,
            messages_out: usage.messages_out,
            bytes_in: usage.bytes_in,
            bytes_out: usage.bytes_out,
            cpu_ms: usage.cpu_ms,
            disk_bytes: usage.disk,
            peak_kb: usage.peak_kb,
        };
        usage_by_role.iter().map(row).collect()
    }

    /// Waits until the metric of every edge, hollow or real, has at least this value; returns how long that took, in
    /// milliseconds.
    async fn wait_for_metric(
        &self,
        hollow: &str,
        real: &str,
        minimum: f64,
        needs_lease: bool,
        from: Instant,
    ) -> Result<f64, String> {
        let end = from + Duration::from_millis(WAIT_TIMEOUT_MS);
        let all = (self.edges - self.plan.real_edges) as f64;
        let edges = self.daemons.names("trailhead");
        while Instant::now() < end {
            let value = |metrics: &Option<String>, name: &str| {
                metrics.as_ref().and_then(|metrics| gauge(metrics, &format!("corkdrum_{name}"))).unwrap_or(0.0)
            };
            let metrics = self.metrics("hollow").await;
            let mut reached = value(&metrics, hollow) >= minimum && value(&metrics, "edges") >= all;
            reached &= !needs_lease || value(&metrics, "edges_licensed") >= all;
            for edge in edges.iter().filter(|_| reached).collect::<Vec<_>>() {
                let metrics = self.metrics(edge).await;
                reached &= value(&metrics, real) >= minimum && (!needs_lease || value(&metrics, "licensed") >= 1.0);
            }
            if reached {
                return Ok(from.elapsed().as_secs_f64() * 1_000.0);
            }
            sleep(POLL_MS).await;
        }
        let metrics = self.metrics("hollow").await.unwrap_or_default();
        Err(format!("not every edge reached {hollow} {minimum} within {WAIT_TIMEOUT_MS} ms:\n{metrics}"))
    }

    async fn revision(&self) -> f64 {
        match self.daemons.leader("refuge").await {
            Some(l) => self.daemons.gauge(&l, "corkdrum_revision").await.unwrap_or(0.0),
            None => 0.0,
        }
    }

    /// Waits until the revision has not changed for SETTLED_MS, and then until all edges have applied it and hold a
    /// lease. Returns an error if either takes longer than WAIT_TIMEOUT_MS.
    async fn wait_until_settled(&self) -> Result<(), String> {
        let from = Instant::now();
        let mut last = (self.revision().await, Instant::now());
        while last.1.elapsed() < Duration::from_millis(SETTLED_MS) {
            if from.elapsed() > Duration::from_millis(WAIT_TIMEOUT_MS) {
                return Err("the fleet's revision kept changing".into());
            }
            sleep(100).await;
            let revision = self.revision().await;
            if revision != last.0 {
                last = (revision, Instant::now());
            }
        }
        self.wait_for_metric("least_revision", "revision", last.0, true, Instant::now()).await.map(drop)
    }

    async fn list_server(&self, i: usize, port: u16) -> bool {
        let group = if i.is_multiple_of(2) { "lang" } else { "tiles" };
        let zone = crate::process_fleet::ZONES[i % 3];
        let body = jzon::object! { group: group, address: format!("127.0.0.1:{}", port + i as u16), cell: zone };
        let answer =
            self.daemons.call_controllers("PUT", &format!("/v1/servers/server{i:05}"), &[], &body.dump()).await;
        matches!(answer, Some((200, _, _)))
    }

    async fn change_config(&self, change: &str) -> Result<f64, String> {
        let base = self.daemons.call_controllers("GET", "/v1/config", &[], "").await.and_then(|x| x.2).unwrap_or(0);
        match self.daemons.put_config(base, change, &self.text).await {
            Some((200, Some(revision))) => Ok(revision as f64),
            other => Err(format!("a config was not accepted: {other:?}")),
        }
    }

    /// Returns the number of jobs done, the number of jobs with another outcome, and the total duration of all in
    /// milliseconds.
    async fn job_totals(&self) -> [f64; 3] {
        let metrics = self.metrics("hollow").await.unwrap_or_default();
        ["done", "other", "ms"].map(|n| gauge(&metrics, &format!("corkdrum_jobs_{n}_total")).unwrap_or(0.0))
    }

    async fn lapse_count(&self) -> f64 {
        self.metrics("hollow").await.and_then(|t| gauge(&t, "corkdrum_lapses_total")).unwrap_or(0.0)
    }
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Returns the configuration with bounds that assign a slot of a group to every server, so that all of them are shared
/// out, and with `routes` additional routes.
pub fn config(base: &str, servers: usize, routes: usize) -> String {
    let half = servers / 2;
    let bounds = format!("\"least\": {half}, \"most\": {half}");
    let mut text = base.replace("\"least\": 2, \"most\": 12", &bounds).replace("\"least\": 2, \"most\": 8", &bounds);
    let more: String = (0..routes)
        .map(|i| format!("\"more-{i:04}\": {{\"group\": \"tiles\", \"work\": \"fetch\", \"retention_s\": 3600, \"run_ms\": 10000, \"path\": \"/more/{i:04}\"}},\n    "))
        .collect();
    text = text.replace("\"routes\": {\n    ", &format!("\"routes\": {{\n    {more}"));
    text
}

/// Measures one size, from an empty directory to the last kill.
pub async fn run(plan: &SweepPlan, size: (usize, usize), dir: &Path, report: &mut Report) -> Result<(), String> {
    let (edges, servers) = size;
    let mut daemons = ProcessFleet::new(dir, plan.port, Deployment::Glenmorven).map_err(|e| e.to_string())?;
    daemons.start_daemons(plan.real_edges);
    let port = first_server(plan);
    daemons.start_hollow_nodes("hollow", edges - plan.real_edges, servers, port);
    if !daemons.wait_for_voters(30_000).await {
        return Err("the control group or the store did not get all its members in time".into());
    }
    let text = config(daemons.config(), servers, plan.routes);
    let mut fleet = Fleet { daemons, plan, edges, servers, text };
    fleet.change_config("first").await?;
    let listed =
        futures_util::stream::iter(0..servers).map(|i| fleet.list_server(i, port)).buffer_unordered(CONCURRENT_LISTS);
    if !listed.all(|ok| async move { ok }).await {
        return Err("a server was not listed".into());
    }
    let url = format!("http://{}/v1/edges", fleet.daemons.processes["hollow"].http_addr);
    call("POST", &url, &[], String::new(), 2_000).await.map_err(|_| "the hollow edges could not be started")?;
    fleet.wait_until_settled().await?;

    let mark = fleet.mark().await;
    sleep(plan.seconds * 1_000).await;
    let quiet = fleet.usage_since(&mark, 0.0, None).await;
    report.rows.extend(fleet.rows("quiet", "second", &quiet));

    let mark = fleet.mark().await;
    for i in 0..plan.changes {
        let start = Instant::now();
        let revision = fleet.change_config(&format!("change-{i}")).await?;
        let agreed = start.elapsed().as_secs_f64() * 1_000.0;
        let ms = fleet.wait_for_metric("least_config_revision", "config_revision", revision, false, start).await?;
        report.timings.push(Timing { edges, servers, what: "a config is agreed", ms: agreed, lapses: 0.0 });
        report.timings.push(Timing { edges, servers, what: "a config is in force everywhere", ms, lapses: 0.0 });
    }
    if plan.changes > 0 {
        sleep(1_000).await;
        let usage = fleet.usage_since(&mark, plan.changes as f64, Some(&quiet)).await;
        report.rows.extend(fleet.rows("config", "change", &usage));
        let mark = fleet.mark().await;
        for i in 0..plan.changes as usize {
            let name = format!("server{:05}", i % servers);
            let start = Instant::now();
            let out = fleet.daemons.call_controllers("POST", &format!("/v1/servers/{name}/leaving"), &[], "").await;
            if !matches!(out, Some((200, _, _))) {
                return Err(format!("{name} could not leave: {out:?}"));
            }
            let revision = fleet.revision().await;
            let ms = fleet.wait_for_metric("least_revision", "revision", revision, false, start).await?;
            report.timings.push(Timing {
                edges,
                servers,
                what: "a leaving server is known everywhere",
                ms,
                lapses: 0.0,
            });
            if !fleet.list_server(i % servers, port).await {
                return Err(format!("{name} was not listed again"));
            }
        }
        fleet.wait_until_settled().await?;
        let usage = fleet.usage_since(&mark, plan.changes as f64, Some(&quiet)).await;
        report.rows.extend(fleet.rows("server goes and comes", "change", &usage));
    }

    let hollow = fleet.daemons.processes["hollow"].http_addr.clone();
    for rate in &plan.rates {
        let before = fleet.job_totals().await;
        let mark = fleet.mark().await;
        let url = format!("http://{hollow}/v1/callers?rate={rate}&ms={}", plan.seconds * 1_000);
        call("POST", &url, &[], String::new(), 2_000).await.map_err(|_| "the clients could not be started")?;
        sleep(plan.seconds * 1_000 + 1_000).await;
        let after = fleet.job_totals().await;
        let [done, other, ms] = [0, 1, 2].map(|i| after[i] - before[i]);
        let usage = fleet.usage_since(&mark, done.max(1.0), Some(&quiet)).await;
        report.rows.extend(fleet.rows(&format!("{rate} jobs a second"), "job", &usage));
        for (what, n) in
            [("jobs done", done), ("jobs not done", other), ("a job's mean ms", ms / (done + other).max(1.0))]
        {
            report.timings.push(Timing { edges, servers, what, ms: n, lapses: 0.0 });
        }
    }

    for _ in 0..plan.kills {
        let leader = fleet.daemons.leader("refuge").await.ok_or("no leader")?;
        let term = fleet.daemons.gauge(&leader, "corkdrum_term").await.ok_or("no term")?;
        let before = fleet.lapse_count().await;
        fleet.daemons.remove_found_flag(&leader);
        let start = Instant::now();
        fleet.daemons.kill(&leader);
        let ms = fleet.wait_for_metric("least_term", "term", term + 1.0, true, start).await?;
        let lapses = fleet.lapse_count().await - before;
        report.timings.push(Timing { edges, servers, what: "licensed again after the leader's end", ms, lapses });
        fleet.daemons.start(&leader);
        if !fleet.daemons.wait_until_ready(20_000).await {
            return Err(format!("{leader} did not come back"));
        }
        sleep(SETTLED_MS).await;
    }
    Ok(())
}

impl Report {
    pub fn csv(&self) -> String {
        let mut text =
            "edges,servers,phase,per,role,letters_in,letters_out,bytes_in,bytes_out,cpu_ms,disk_bytes,peak_kb\n"
                .to_string();
        for r in &self.rows {
            text.push_str(&format!(
                "{},{},{},{},{},{:.2},{:.2},{:.0},{:.0},{:.3},{:.0},{:.0}\n",
                r.edges,
                r.servers,
                r.phase,
                r.per,
                r.role,
                r.messages_in,
                r.messages_out,
                r.bytes_in,
                r.bytes_out,
                r.cpu_ms,
                r.disk_bytes,
                r.peak_kb
            ));
        }
        text
    }

    pub fn timings_csv(&self) -> String {
        let mut text = "edges,servers,what,figure,lapses\n".to_string();
        self.timings.iter().for_each(|w| {
            text.push_str(&format!("{},{},{},{:.0},{:.0}\n", w.edges, w.servers, w.what, w.ms, w.lapses))
        });
        text
    }

    fn of(&self, phase: &str, role: &str) -> Vec<&RoleUsage> {
        self.rows.iter().filter(|r| r.phase == phase && r.role == role).collect()
    }

    /// Formats the fit of every figure against the sizes as a Markdown table.
    pub fn slopes(&self) -> String {
        let figures: [(&str, Figure); 6] = [
            ("letters", |r| r.messages_in + r.messages_out),
            ("bytes in", |r| r.bytes_in),
            ("bytes out", |r| r.bytes_out),
            ("cpu ms", |r| r.cpu_ms),
            ("disk bytes", |r| r.disk_bytes),
            ("peak KB", |r| r.peak_kb),
        ];
        let mut text = format!(
            "Of an edge: a + b·servers + c·servers/edges; of the others: a + b·edges + c·servers + d·edges·servers.\n\n\
             | phase, per | role | figure | a | b | c | d | residual | explained | power of edges | growth | at {} × {} |\n\
             |---|---|---|---|---|---|---|---|---|---|---|---|\n",
            TARGET_SIZE.0, TARGET_SIZE.1
        );
        let mut keys: Vec<(&str, &str, &str)> = vec![];
        for r in &self.rows {
            let key = (r.phase.as_str(), r.per, r.role);
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
        for (phase, per, role) in keys {
            let rows = self.of(phase, role);
            let terms = |edges: f64, servers: f64| match role.contains("edge") {
                // an edge's messages name the servers that it has slots of; their number grows with servers per edge
                true => vec![1.0, servers, servers / edges],
                false => vec![1.0, edges, servers, edges * servers],
            };
            let inputs: Vec<Vec<f64>> = rows.iter().map(|r| terms(r.edges as f64, r.servers as f64)).collect();
            for (name, f) in &figures {
                let y: Vec<f64> = rows.iter().map(|r| f(r)).collect();
                // peak memory belongs to the process, not to the phase
                if y.iter().all(|y| *y == 0.0) || *name == "peak KB" && phase != "quiet" {
                    continue;
                }
                // only sizes with twice as many servers as edges, which have a single dimension
                let line: Vec<&&RoleUsage> = rows.iter().filter(|r| r.servers == 2 * r.edges).collect();
                let (a, b): (Vec<f64>, Vec<f64>) = line.iter().map(|r| (r.edges as f64, f(r))).unzip();
                let exponent = growth_exponent(&a, &b).filter(|_| b.iter().all(|b| *b > 0.0));
                let growth = match exponent {
                    None => "in the noise",
                    Some(p) if p > LINEAR_EXPONENT => "worse than linear",
                    Some(p) if p > FLAT_EXPONENT => "linear or less",
                    _ => "none",
                };
                let exponent = exponent.map_or("-".into(), |p| format!("{p:.2}"));
                text.push_str(&format!("| {phase}, {per} | {role} | {name} |"));
                match fit(&inputs, &y) {
                    Some(result) => {
                        let coefficient =
                            |i: usize| result.coefficients.get(i).map_or("-".into(), |b| format!("{b:.4}"));
                        let at_target = result.predict(&terms(TARGET_SIZE.0 as f64, TARGET_SIZE.1 as f64));
                        text.push_str(&format!(
                            " {} | {} | {} | {} |",
                            coefficient(0),
                            coefficient(1),
                            coefficient(2),
                            coefficient(3)
                        ));
                        text.push_str(&format!(
                            " {:.2} | {:.3} | {exponent} | {growth} | {at_target:.0} |\n",
                            result.residual, result.explained
                        ));
                    }
                    None => text.push_str(&format!(" - | - | - | - | - | - | {exponent} | {growth} | - |\n")),
                }
            }
        }
        text
    }

    /// Formats the median and worst of every timing as a Markdown table.
    pub fn timings(&self) -> String {
        let mut values_by_size: BTreeMap<_, Vec<(f64, f64)>> = BTreeMap::new();
        self.timings
            .iter()
            .for_each(|w| values_by_size.entry((w.what, w.edges, w.servers)).or_default().push((w.ms, w.lapses)));
        let mut text =
            "| what | edges | servers | times | median | worst | lapses |\n|---|---|---|---|---|---|---|\n".to_string();
        for ((what, edges, servers), mut values) in values_by_size {
            values.sort_by(|a, b| a.0.total_cmp(&b.0));
            let lapses: f64 = values.iter().map(|x| x.1).sum();
            text.push_str(&format!(
                "| {what} | {edges} | {servers} | {} | {:.0} | {:.0} | {lapses:.0} |\n",
                values.len(),
                values[values.len() / 2].0,
                values[values.len() - 1].0
            ));
        }
        text
    }

    pub fn plot(&self) -> String {
        let line = |phase: &str, role: &'static str, f: Figure| Line {
            name: role.into(),
            points: self
                .of(phase, role)
                .iter()
                .filter(|r| r.servers == 2 * r.edges)
                .map(|r| (r.edges as f64, f(r)))
                .collect(),
        };
        let roles = ["core leader", "core follower", "store leader", "edge", "hollow edge"];
        let panel = |title: &str, phase: &str, f: Figure| Panel {
            title: title.into(),
            lines: roles.iter().map(|r| line(phase, r, f)).collect(),
        };
        let wait = |what: &'static str| {
            let mut points: Vec<(f64, f64)> = self
                .timings
                .iter()
                .filter(|w| w.what == what && w.servers == 2 * w.edges)
                .map(|w| (w.edges as f64, w.ms))
                .collect();
            points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
            Line { name: what.into(), points }
        };
        svg(&[
            panel("idle: % of a core", "quiet", |r| r.cpu_ms / 10.0),
            panel("idle: bytes a second, both ways", "quiet", |r| r.bytes_in + r.bytes_out),
            panel("peak memory, MB", "quiet", |r| r.peak_kb / 1_024.0),
            panel("one config: bytes, both ways", "config", |r| r.bytes_in + r.bytes_out),
            panel("a server goes and comes: bytes, both ways", "server goes and comes", |r| r.bytes_in + r.bytes_out),
            Panel {
                title: "ms until all edges have it".into(),
                lines: vec![wait("a config is in force everywhere"), wait("licensed again after the leader's end")],
            },
        ])
    }
}

/// Formats the in-memory cost of single operations of the leader, for these sizes, as a Markdown table.
pub fn leader_costs(sizes: &[(usize, usize)]) -> String {
    let mut text = "| edges | servers | dividing all shares, ms | one grant, µs | one server leaves: settling, ms | whole view, bytes | places of one change, bytes | copy of the view, ms | edges without a slot though all have jobs |\n|---|---|---|---|---|---|---|---|---|\n".to_string();
    for (edges, servers) in sizes {
        let costs = measure_leader(*edges, *servers);
        text.push_str(&format!(
            "| {edges} | {servers} | {:.2} | {:.1} | {:.2} | {} | {} | {:.3} | {} |\n",
            costs.divide_ms,
            costs.grant_us,
            costs.plan_slots_ms,
            costs.view_bytes,
            costs.group_slots_bytes,
            costs.copy_view_ms,
            costs.edges_without_slots
        ));
    }
    text
}
