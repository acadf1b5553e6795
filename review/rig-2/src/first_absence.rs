//! Fault: while the whole system starts for the first time, the storage machine that was chosen to form the store group is
//! killed before it has done so, and is back with its disk some 2.1 s later.

use crate::fleet::{Class, Fleet};
use crate::has_trouble;
use crate::http;
use crate::record::Record;
use crate::setup::{serves_programs, Deployment};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Deployments that start one after the other, until one doesn't serve.
const STARTS: u32 = 8;
/// When the last one starts, at the latest: one that doesn't serve is judged for some 40 s.
const LAST_START_MS: u64 = 66_000;
/// `node_kill` of the site's first trouble day, `on = "store", for_s = 2.1, how = ""`; a little less, for the time that a start takes.
const BACK_AFTER_MS: u64 = 2_060;

pub fn run(root: &str, record: &str) -> Option<bool> {
    let record = Arc::new(Record::create(record).ok()?);
    let mut results = vec![];
    while results.len() < STARTS as usize && record.now() < LAST_START_MS {
        let served = trial(root, &record, &format!("start {}", results.len() + 1));
        results.push(served);
        if served == Some(false) {
            break;
        }
    }
    let broken = results.contains(&Some(false));
    record.note(format!("{} first starts, programs are served afterwards: {results:?}", results.len()));
    (broken || results.iter().any(Option::is_some)).then_some(broken)
}

/// Starts a deployment. Returns whether it serves programs at last.
fn trial(root: &str, record: &Arc<Record>, name: &str) -> Option<bool> {
    let mut deployment = Deployment::prepare(root, record.clone(), 1, 3, 3)?;
    deployment.fleet.start_all();
    let started_at = record.now();
    let store = wait_for_choice(&deployment.fleet)?;
    if has_trouble() {
        deployment.fleet.kill(store);
        let machine = deployment.fleet.nodes[store].name.clone();
        let after = record.now() - started_at;
        record.note(format!("{name}: {machine} is killed, {after} ms after the machines were started"));
        std::thread::sleep(Duration::from_millis(BACK_AFTER_MS));
        deployment.fleet.start(store, false);
        record.note(format!("{name}: {machine} is back with its disk"));
    }
    serves_programs(&deployment, name)
}

/// Waits until a controller tells which storage machine is to form the group.
fn wait_for_choice(fleet: &Fleet) -> Option<usize> {
    let (core, stores) = (fleet.of_class(Class::Core), fleet.of_class(Class::Storage));
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        for node in &core {
            let answer = http::call(fleet.control(*node), "GET", "/v1/beliefs", &[], b"", Duration::from_millis(200));
            let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
            let group = text.split_once("\"wanted\":").map_or("", |(_, rest)| rest);
            if let Some(store) = stores.iter().find(|store| group.contains(&format!("@{}:", fleet.nodes[**store].ip))) {
                return Some(*store);
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}
