//! Drills: run a fleet of real processes under the traffic of a deployment, inject faults or planned changes, and check
//! what was observed.

// Only the drill borrows the fleet; the watcher and the clients never do, so a borrow held across an await can't
// conflict.
#![allow(clippy::await_holding_refcell_ref)]

use crate::check::{check, Breach, RULES};
use crate::fault_script::{report, wall_clock_ms, Deployment, LoadClients, LoadPlan};
use crate::observations::{run_from_json, EdgeSample, Observations};
use crate::process_fleet::{BackendSettings, ProcessFleet, CONTROLLERS, STORES, ZONES};
use crate::relay::RelayNetwork;
use hutbook::transport::http::call;
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

pub const DRILLS: [&str; 25] = [
    "calm",
    "opening",
    "kill-core-leader",
    "kill-store-leader",
    "kill-trailhead",
    "freeze-core-leader",
    "freeze-store-leader",
    "freeze-trailhead",
    "lost-answers",
    "rolling-servers",
    "config-races",
    "evacuation",
    "planned-restarts",
    "kill-everything",
    "core-split",
    "core-leader-deaf",
    "core-cut-off",
    "store-split",
    "cell-cut-off",
    "store-disk-lost",
    "store-folder-emptied",
    "core-swapped",
    "store-retired",
    "store-disk-full",
    "closing-fault",
];

/// Drills whose fleet runs behind relays, so that links can be cut.
const RELAYED_DRILLS: [&str; 5] = ["core-split", "core-leader-deaf", "core-cut-off", "store-split", "cell-cut-off"];
/// Drills that wait for a repair. They run for at least `MIN_REPAIR_DRILL_S`, so that the effects of the repair are
/// observed as well.
const REPAIR_DRILLS: [&str; 4] = ["store-disk-lost", "store-folder-emptied", "core-swapped", "store-retired"];
/// Minimum time for which clients arrive in a drill with a repair, in seconds.
const MIN_REPAIR_DRILL_S: u64 = 32;
/// Time-out for a repair, in milliseconds.
const REPAIR_TIMEOUT_MS: u64 = 45_000;

#[derive(Clone, Debug)]
pub struct DrillSettings {
    pub drill: String,
    pub deployment: Deployment,
    pub seconds: u64,
    pub rate: u64,
    pub seed: u64,
    pub port: u16,
}

pub struct Outcome {
    pub breaches: Vec<Breach>,
    pub text: String,
    /// Longest time without a first answer while clients arrived, in milliseconds.
    pub gap_ms: u64,
    pub jobs: usize,
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// The fleet and the observations of a running drill.
struct DrillContext {
    fleet: RefCell<ProcessFleet>,
    observed: RefCell<Observations>,
    finished: Cell<bool>,
}

impl DrillContext {
    fn record_planned(&self) {
        self.observed.borrow_mut().planned_changes.push(wall_clock_ms());
    }

    /// Returns the name under which clients know a process: the address of an edge, the name of any other.
    fn client_facing_name(&self, name: &str) -> String {
        if name.starts_with("trailhead") {
            self.fleet.borrow().processes[name].http_addr.clone()
        } else {
            name.to_string()
        }
    }

    fn record_fault(&self, name: &str) {
        let name = self.client_facing_name(name);
        self.observed.borrow_mut().fault_spans.push((wall_clock_ms(), u64::MAX, name));
    }

    fn record_recovery(&self, name: &str) {
        let name = self.client_facing_name(name);
        self.observed
            .borrow_mut()
            .fault_spans
            .iter_mut()
            .filter(|fault| fault.1 == u64::MAX && fault.2 == name)
            .for_each(|fault| fault.1 = wall_clock_ms());
    }

    /// Cuts the links of these pairs and records a fault for both ends.
    async fn cut(&self, pairs: impl Iterator<Item = (String, String)>, both: bool) -> Result<(), String> {
        let fleet = self.fleet.borrow();
        fleet.register_nodes().await;
        let net = fleet.net.as_ref().ok_or("the fleet has no relays")?;
        for (a, b) in pairs {
            net.block_link(&a, &b, both);
            self.record_fault(&a);
            self.record_fault(&b);
        }
        Ok(())
    }

    /// Heals all cuts. Fails if the relays dropped no frame, because then the cut had no effect.
    fn heal(&self) -> Result<(), String> {
        let fleet = self.fleet.borrow();
        let net = fleet.net.as_ref().ok_or("the fleet has no relays")?;
        net.heal_all();
        let now = wall_clock_ms();
        self.observed
            .borrow_mut()
            .fault_spans
            .iter_mut()
            .filter(|fault| fault.1 == u64::MAX)
            .for_each(|fault| fault.1 = now);
        if net.dropped_frames() == 0 {
            return Err("the relays dropped no frames during the cut".into());
        }
        Ok(())
    }

    /// Waits until the controllers' status meets a condition.
    async fn wait_for_status(&self, is_met: impl Fn(&jzon::JsonValue) -> bool) -> Result<(), String> {
        let deadline = wall_clock_ms() + REPAIR_TIMEOUT_MS;
        while wall_clock_ms() < deadline {
            let response = self.fleet.borrow().call_controllers("GET", "/v1/status", &[], "").await;
            if response.and_then(|answer| jzon::parse(&answer.1).ok()).is_some_and(|status| is_met(&status)) {
                return Ok(());
            }
            sleep(200).await;
        }
        Err("the fleet was not repaired before the time-out".into())
    }

    fn kill(&self, name: &str) {
        self.record_fault(name);
        self.fleet.borrow_mut().kill(name);
    }

    /// Kills all daemons and starts them again.
    async fn kill_and_restart_all(&self) {
        let all = self.fleet.borrow().daemon_names();
        all.iter().for_each(|name| self.kill(name));
        sleep(500).await;
        all.iter().for_each(|name| self.start(name));
        self.observed.borrow_mut().total_losses.push((wall_clock_ms(), None));
    }

    fn start(&self, name: &str) {
        self.fleet.borrow_mut().start(name);
        self.record_recovery(name);
    }
}

pub async fn run(settings: &DrillSettings, dir: &Path) -> Result<Outcome, String> {
    let mut fleet = ProcessFleet::new(dir, settings.port, settings.deployment).map_err(|error| error.to_string())?;
    let backends = match settings.drill.as_str() {
        "lost-answers" => BackendSettings { lose_every: 9, ..BackendSettings::default() },
        "opening" => BackendSettings { chunk_ms: 60, ..BackendSettings::default() },
        _ => BackendSettings::default(),
    };
    if RELAYED_DRILLS.contains(&settings.drill.as_str()) {
        fleet.net = Some(RelayNetwork::default());
    }
    fleet.start_example_fleet(backends);
    fleet.start_relays().await.map_err(|error| format!("failed to start a relay: {error}"))?;
    if !fleet.wait_for_voters(30_000).await {
        return Err("the controllers and the stores did not get all their voters in time".into());
    }
    fleet.remove_found_flag("refuge1");
    let mut observed = Observations::default();
    let (status, revision) =
        fleet.put_config(0, "first", fleet.config()).await.ok_or("no answer to the first configuration")?;
    let revision = revision
        .filter(|_| status == 200)
        .ok_or(format!("the first configuration was answered with status {status}"))?;
    observed.configs.push((wall_clock_ms(), revision));
    for name in fleet.names("bivouac") {
        if !fleet.list_server(&name).await {
            return Err(format!("{name} could not be listed"));
        }
        let (slots, warmup_jobs) = fleet.slots(if name.starts_with("model") { "model" } else { "tool" });
        observed.servers.insert(name.clone(), (fleet.processes[&name].zone.clone(), slots, warmup_jobs));
    }
    if !fleet.wait_until_ready(20_000).await {
        return Err("not all processes became ready in time".into());
    }
    let seconds = if REPAIR_DRILLS.contains(&settings.drill.as_str()) {
        settings.seconds.max(MIN_REPAIR_DRILL_S)
    } else {
        settings.seconds
    };
    let edges = fleet.http_addrs("trailhead");
    let context = Rc::new(DrillContext {
        fleet: RefCell::new(fleet),
        observed: RefCell::new(observed),
        finished: Cell::new(false),
    });
    let plan = LoadPlan {
        deployment: settings.deployment,
        edges: edges.clone(),
        seconds,
        rate_percent: settings.rate,
        initial_burst: if settings.drill == "opening" { 150 } else { 0 },
        seed: settings.seed,
    };
    let clients = LoadClients::new(plan);
    let sampler = actix_rt::spawn(sample_edges(context.clone(), edges));
    let (drill_context, drill_name, drill_seconds) = (context.clone(), settings.drill.clone(), seconds);
    let drill_task =
        actix_rt::spawn(async move { run_drill(&drill_context, &drill_name, drill_seconds * 1_000).await });
    clients.run().await;
    drill_task.await.map_err(|error| error.to_string())??;
    context.finished.set(true);
    sampler.await.map_err(|error| error.to_string())?;
    Ok(summarize(settings, &context, &clients, dir).await)
}

async fn summarize(settings: &DrillSettings, context: &DrillContext, clients: &LoadClients, dir: &Path) -> Outcome {
    let mut observed = context.observed.borrow().clone();
    let client_observations = clients.observed.borrow();
    observed.jobs = client_observations.jobs.clone();
    observed.programs = client_observations.programs.clone();
    let fleet = context.fleet.borrow();
    observed.read_back = fleet.call_controllers("GET", "/v1/config", &[], "").await.and_then(|answer| answer.2);
    let history =
        fleet.call_controllers("GET", "/v1/config/history", &[], "").await.map(|answer| answer.1).unwrap_or_default();
    let history = jzon::parse(&history).unwrap_or(jzon::JsonValue::Null);
    observed.history = history
        .members()
        .filter_map(|change| Some((change["revision"].as_u64()?, change["change"].as_str()?.to_string())))
        .collect();
    let scaler = fleet.call_controllers("GET", "/v1/scaler", &[], "").await.map(|answer| answer.1).unwrap_or_default();
    let places = fleet.call_controllers("GET", "/v1/places", &[], "").await.map(|answer| answer.1).unwrap_or_default();
    for name in fleet.names("bivouac") {
        let ledger = std::fs::read_to_string(dir.join(format!("{name}.ledger"))).unwrap_or_default();
        observed.runs.extend(ledger.lines().filter_map(run_from_json));
    }
    let mut first_answers: Vec<u64> = observed.jobs.iter().filter_map(|job| job.first_answer_at).collect();
    first_answers.sort_unstable();
    for (restarted, first) in &mut observed.total_losses {
        *first = first_answers.iter().find(|time| **time > *restarted).copied();
    }
    // The gap is measured only while clients arrive; without requests there are no answers.
    let last_arrival = clients.last_arrival_at.get();
    let gap_ms = observed.gap(observed.jobs.iter().map(|job| job.asked_at).min().unwrap_or(last_arrival), last_arrival);
    let config = hutbook::protocol::config::read(fleet.config()).expect("the example configuration is valid");
    let points: Vec<(String, u64)> =
        config.job_classes.iter().map(|(class, job_class)| (class.clone(), job_class.target_wait_ms)).collect();
    let mut text = report(&observed, &points);
    text.push_str(&format!("longest time without a first answer: {gap_ms} ms\n"));
    if settings.drill == "opening" || settings.drill == "calm" {
        text.push_str(&format!("places: {places}\nscaler: {scaler}\n"));
    }
    let breaches = check(&observed);
    text.push_str("never-list:");
    for (line, _) in RULES {
        let count = breaches.iter().filter(|breach| breach.rule == line).count();
        text.push_str(&format!(" {line} {count};"));
    }
    text.push('\n');
    Outcome { breaches, text, gap_ms, jobs: observed.jobs.len() }
}

/// Records samples of every edge's lease and configuration until the drill is over.
async fn sample_edges(context: Rc<DrillContext>, edges: Vec<String>) {
    while !context.finished.get() {
        for addr in &edges {
            let at = wall_clock_ms();
            if let Ok((200, body, _)) = call("GET", &format!("http://{addr}/v1/beliefs"), &[], String::new(), 300).await
            {
                let status = jzon::parse(&body).unwrap_or(jzon::JsonValue::Null);
                let sample = EdgeSample {
                    at,
                    node: status["node"].as_str().unwrap_or("").into(),
                    has_lease: status["licensed"].as_bool().unwrap_or(false),
                    config_revision: status["config_revision"].as_u64().unwrap_or(0),
                };
                context.observed.borrow_mut().edge_samples.push(sample);
            }
        }
        sleep(150).await;
    }
}

async fn run_drill(context: &Rc<DrillContext>, name: &str, ms: u64) -> Result<(), String> {
    let third = ms / 3;
    match name {
        "calm" | "opening" | "lost-answers" => {}
        "kill-core-leader" | "kill-store-leader" => {
            let program = if name.contains("core") { "refuge" } else { "bothy" };
            sleep(third).await;
            let process = context.fleet.borrow().leader(program).await.ok_or("no leader")?;
            context.kill(&process);
            sleep(third).await;
            context.start(&process);
        }
        "kill-trailhead" => {
            sleep(third).await;
            context.kill("trailhead2");
            sleep(third).await;
            context.start("trailhead2");
        }
        "freeze-core-leader" | "freeze-store-leader" | "freeze-trailhead" => {
            sleep(third).await;
            let process = match name {
                "freeze-trailhead" => "trailhead3".to_string(),
                _ => context
                    .fleet
                    .borrow()
                    .leader(if name.contains("core") { "refuge" } else { "bothy" })
                    .await
                    .ok_or("no leader")?,
            };
            context.record_fault(&process);
            context.fleet.borrow().freeze(&process);
            sleep(third.min(4_000)).await;
            // Change the configuration and a server while the process is frozen, so that acting on stale state after it
            // resumes would be detected.
            change_config(context, "while-asleep").await?;
            mark_leaving(context, "model02").await?;
            sleep(third.min(4_000)).await;
            context.fleet.borrow().resume(&process);
            context.record_recovery(&process);
        }
        "rolling-servers" => {
            let all = context.fleet.borrow().names("bivouac");
            for server in all.iter().filter(|server| server.starts_with("model")).take((ms / 3_000) as usize) {
                mark_leaving(context, server).await?;
                sleep(2_500).await;
                let (server_name, until) = (server.clone(), wall_clock_ms());
                context
                    .observed
                    .borrow_mut()
                    .leaving_servers
                    .iter_mut()
                    .filter(|entry| entry.2 == server_name)
                    .for_each(|entry| entry.1 = until);
                context.fleet.borrow().list_server(&server_name).await;
            }
        }
        "config-races" => {
            for round in 0..(ms / 1_000) {
                let fleet = context.fleet.borrow();
                let base = fleet
                    .call_controllers("GET", "/v1/config", &[], "")
                    .await
                    .and_then(|answer| answer.2)
                    .ok_or("the configuration could not be read")?;
                let text = fleet.config();
                context.record_planned();
                let (first_id, second_id) = (format!("a{round}"), format!("b{round}"));
                let (first, second) = futures_util::join!(
                    fleet.put_config(base, &first_id, text),
                    fleet.put_config(base, &second_id, text)
                );
                for (change_id, answer) in [(format!("a{round}"), &first), (format!("b{round}"), &second)] {
                    if matches!(answer, Some((412, _))) {
                        context.observed.borrow_mut().overtaken_changes.push(change_id);
                    }
                }
                let accepted: Vec<u64> = [first, second]
                    .into_iter()
                    .flatten()
                    .filter(|answer| answer.0 == 200)
                    .filter_map(|answer| answer.1)
                    .collect();
                if accepted.len() != 1 {
                    return Err(format!("{} of two concurrent configurations were accepted", accepted.len()));
                }
                context.observed.borrow_mut().configs.push((wall_clock_ms(), accepted[0]));
                // then three more changes without a pause, each based on the one before
                let mut base = accepted[0];
                for step in 0..3 {
                    let answer = fleet.put_config(base, &format!("c{round}-{step}"), text).await;
                    if let Some((200, Some(revision))) = answer {
                        context.observed.borrow_mut().configs.push((wall_clock_ms(), revision));
                        base = revision;
                    }
                }
                drop(fleet);
                sleep(500).await;
            }
        }
        "evacuation" => {
            sleep(third).await;
            let path = format!("/v1/cells/{}/evacuation", ZONES[1]);
            let fleet = context.fleet.borrow();
            context.record_planned();
            fleet
                .call_controllers("PUT", &path, &[], "")
                .await
                .filter(|answer| answer.0 == 200)
                .ok_or("the evacuation was not accepted")?;
            loop {
                let (_, body, _) =
                    fleet.call_controllers("GET", &path, &[], "").await.ok_or("no answer about the evacuation")?;
                if jzon::parse(&body).is_ok_and(|status| status["done"] == true) {
                    break;
                }
                sleep(100).await;
            }
            context.observed.borrow_mut().evacuations.push((wall_clock_ms(), u64::MAX, ZONES[1].into()));
            sleep(third).await;
            context.observed.borrow_mut().evacuations[0].1 = wall_clock_ms();
            fleet.call_controllers("DELETE", &path, &[], "").await;
        }
        "planned-restarts" => {
            let mut all: Vec<String> = context.fleet.borrow().names("refuge");
            all.extend(context.fleet.borrow().names("bothy"));
            all.extend(context.fleet.borrow().names("trailhead").into_iter().take(2));
            sleep(1_000).await;
            for process in all {
                context.record_planned();
                if !context.fleet.borrow_mut().stop(&process).await {
                    return Err(format!("{process} did not stop cleanly"));
                }
                context.fleet.borrow_mut().start(&process);
                context.fleet.borrow().wait_until_ready(15_000).await;
            }
        }
        "kill-everything" => {
            sleep(third).await;
            context.kill_and_restart_all().await;
        }
        "core-split" | "core-leader-deaf" => {
            sleep(third).await;
            let leader = context.fleet.borrow().leader("refuge").await.ok_or("no leader")?;
            let both = name == "core-split";
            let others = context
                .fleet
                .borrow()
                .names("refuge")
                .into_iter()
                .filter(|process| *process != leader)
                .collect::<Vec<_>>();
            context.cut(others.iter().map(|process| (process.clone(), leader.clone())), both).await?;
            sleep(1_500).await;
            // Change the configuration and a server while the old leader may still consider itself leader.
            change_config(context, "during-the-cut").await?;
            mark_leaving(context, "model02").await?;
            sleep(third.min(3_000)).await;
            context.heal()?;
        }
        "core-cut-off" | "store-split" | "cell-cut-off" => {
            sleep(third).await;
            let isolated: Vec<String> = match name {
                "core-cut-off" => context.fleet.borrow().names("refuge"),
                "store-split" => {
                    let leader = context.fleet.borrow().leader("bothy").await.ok_or("no leader")?;
                    vec![leader, "trailhead2".into(), "trailhead5".into()]
                }
                _ => ["refuge2", "bothy2", "trailhead2", "trailhead5"].map(String::from).to_vec(),
            };
            let all = context.fleet.borrow().daemon_names();
            let others: Vec<String> = all.into_iter().filter(|process| !isolated.contains(process)).collect();
            let pairs = isolated.iter().flat_map(|a| others.iter().map(|b| (a.clone(), b.clone()))).collect::<Vec<_>>();
            context.cut(pairs.into_iter(), true).await?;
            sleep(third.min(4_000)).await;
            context.heal()?;
        }
        "store-disk-lost" | "store-folder-emptied" => {
            sleep(3_000).await;
            let leader = context.fleet.borrow().leader("bothy").await.ok_or("no leader")?;
            let old_id = context.fleet.borrow().node_id(&leader).await.ok_or("the leader has no id")?;
            context.record_fault(&leader);
            context.fleet.borrow_mut().lose_disk(&leader);
            if name == "store-disk-lost" {
                context
                    .fleet
                    .borrow_mut()
                    .add_daemon("bothy4", "bothy", ZONES[0])
                    .await
                    .map_err(|error| error.to_string())?;
            } else {
                context.start(&leader);
            }
            context.wait_for_status(|status| group_without(&status["stores"]["1"]["actual"], &old_id, STORES)).await?;
            if name == "store-disk-lost" {
                // The machine returns with an empty folder: it must be a new node and not a member.
                context.start(&leader);
                sleep(1_500).await;
                let id = context
                    .fleet
                    .borrow()
                    .node_id(&leader)
                    .await
                    .ok_or("the process with the emptied folder has no id")?;
                if id == old_id {
                    return Err("a process with an emptied folder returned under its old node id".into());
                }
            }
        }
        "core-swapped" => {
            sleep(3_000).await;
            let leader = context.fleet.borrow().leader("refuge").await.ok_or("no leader")?;
            let old_id = context.fleet.borrow().node_id(&leader).await.ok_or("the leader has no id")?;
            context.record_fault(&leader);
            context.fleet.borrow_mut().lose_disk(&leader);
            context
                .fleet
                .borrow_mut()
                .add_daemon("refuge4", "refuge", ZONES[0])
                .await
                .map_err(|error| error.to_string())?;
            context
                .wait_for_status(|status| {
                    let ids: Vec<_> =
                        status["core"]["voters"].members().filter_map(|voter| voter["node"].as_str()).collect();
                    ids.len() == CONTROLLERS && !ids.contains(&old_id.as_str())
                })
                .await?;
            change_config(context, "after-the-swap").await?;
        }
        "store-retired" => {
            sleep(2_000).await;
            context
                .fleet
                .borrow_mut()
                .add_daemon("bothy4", "bothy", ZONES[0])
                .await
                .map_err(|error| error.to_string())?;
            let leader = context.fleet.borrow().leader("bothy").await.ok_or("no leader")?;
            let old_id = context.fleet.borrow().node_id(&leader).await.ok_or("the leader has no id")?;
            context.record_planned();
            let path = format!("/v1/stores/{old_id}/retirement");
            let answer = context.fleet.borrow().call_controllers("PUT", &path, &[], "").await;
            answer.filter(|answer| answer.0 == 200).ok_or("the retirement was not accepted")?;
            context.wait_for_status(|status| group_without(&status["stores"]["1"]["actual"], &old_id, STORES)).await?;
            if !context.fleet.borrow_mut().stop(&leader).await {
                return Err(format!("{leader} did not stop cleanly"));
            }
        }
        "store-disk-full" => {
            sleep(third).await;
            let leader = context.fleet.borrow().leader("bothy").await.ok_or("no leader")?;
            context.record_fault(&leader);
            if !context.fleet.borrow().set_disk_full(&leader, true) {
                return Err("the file-size limit could not be set".into());
            }
            sleep(third.max(4_000)).await;
            let failed_syncs = context.fleet.borrow().gauge(&leader, "corkdrum_sync_failed_total").await;
            let other = context.fleet.borrow().leader("bothy").await.ok_or("no leader while the disk is full")?;
            context.fleet.borrow().set_disk_full(&leader, false);
            context.record_recovery(&leader);
            if failed_syncs.unwrap_or(0.0) < 1.0 || other == leader {
                return Err(format!("the full disk had no effect: {failed_syncs:?} syncs failed, {other} leads"));
            }
            sleep(2_000).await;
            let after = context.fleet.borrow().gauge(&leader, "corkdrum_sync_failed_total").await;
            sleep(1_000).await;
            if context.fleet.borrow().gauge(&leader, "corkdrum_sync_failed_total").await != after {
                return Err("syncs still fail after the limit was removed".into());
            }
        }
        "closing-fault" => {
            sleep(ms.saturating_sub(2_500)).await;
            change_config(context, "the-last").await?;
            context.kill_and_restart_all().await;
        }
        other => return Err(format!("no drill is called {other}")),
    }
    Ok(())
}

/// Returns true if the group has this many members and this node is none of them.
fn group_without(members: &jzon::JsonValue, id: &str, copies: usize) -> bool {
    members.len() == copies && members.members().all(|member| member.as_str() != Some(id))
}

async fn change_config(context: &DrillContext, change: &str) -> Result<(), String> {
    let fleet = context.fleet.borrow();
    context.record_planned();
    let base = fleet
        .call_controllers("GET", "/v1/config", &[], "")
        .await
        .and_then(|answer| answer.2)
        .ok_or("the configuration could not be read")?;
    if let Some((200, Some(revision))) = fleet.put_config(base, change, fleet.config()).await {
        context.observed.borrow_mut().configs.push((wall_clock_ms(), revision));
        return Ok(());
    }
    Err("a configuration was not accepted".into())
}

async fn mark_leaving(context: &DrillContext, server: &str) -> Result<(), String> {
    let fleet = context.fleet.borrow();
    context.record_planned();
    let response = fleet.call_controllers("POST", &format!("/v1/servers/{server}/leaving"), &[], "").await;
    response.filter(|answer| answer.0 == 200).ok_or(format!("{server} could not be marked as leaving"))?;
    context.observed.borrow_mut().leaving_servers.push((wall_clock_ms(), u64::MAX, server.into()));
    Ok(())
}
