//! Fault: a storage machine is killed once while the whole system starts for the first time, and comes back with its disk.

use crate::fleet::Class;
use crate::has_trouble;
use crate::record::Record;
use crate::setup::{serves_programs, Deployment};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Deployments that start beside each other.
const LANES: u64 = 3;
/// When the last deployment starts, at the latest: one that doesn't serve is judged for some 40 s.
const LAST_START_MS: u64 = 66_000;
const BACK_AFTER_MS: u64 = 500;
/// A change of a database after a pause of so long begins the next step.
const PAUSE_MS: u64 = 40;

pub fn run(root: &str, record: &str) -> Option<bool> {
    let record = Arc::new(Record::create(record).ok()?);
    let is_broken = Arc::new(AtomicBool::new(false));
    let (started, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (root, record, is_broken) = (root.to_string(), record.clone(), is_broken.clone());
            let (started, served) = (started.clone(), served.clone());
            std::thread::spawn(move || {
                let mut round = 0;
                while !is_broken.load(Ordering::Relaxed) && record.now() < LAST_START_MS {
                    let delay_us = 400 + (lane + LANES * round) * 300 % 3_600;
                    round += 1;
                    started.fetch_add(1, Ordering::Relaxed);
                    match trial(&root, &record, &format!("start {lane}.{round}"), delay_us) {
                        Some(true) => drop(served.fetch_add(1, Ordering::Relaxed)),
                        Some(false) => is_broken.store(true, Ordering::Relaxed),
                        None => record.note(format!("start {lane}.{round}: could not run")),
                    }
                }
            })
        })
        .collect();
    lanes.into_iter().for_each(|lane| drop(lane.join()));
    let (started, served) = (started.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.note(format!("{started} first starts, {served} of them served programs afterwards"));
    (started > 0 && (served > 0 || is_broken.load(Ordering::Relaxed))).then(|| is_broken.load(Ordering::Relaxed))
}

/// Starts a deployment. Returns whether it serves programs at last.
fn trial(root: &str, record: &Arc<Record>, name: &str, delay_us: u64) -> Option<bool> {
    let mut deployment = Deployment::prepare(root, record.clone(), 1, 3, 3)?;
    deployment.fleet.start_all();
    if has_trouble() {
        let store = wait_for_assignment(&deployment)?;
        std::thread::sleep(Duration::from_micros(delay_us));
        deployment.fleet.kill(store);
        record.note(format!("{name}: {} is killed", deployment.fleet.nodes[store].name));
        std::thread::sleep(Duration::from_millis(BACK_AFTER_MS));
        deployment.fleet.start(store, false);
        record.note(format!("{name}: {} is back with its disk", deployment.fleet.nodes[store].name));
    }
    serves_programs(&deployment, name)
}

/// Waits until a storage machine begins to write down its first assignment.
fn wait_for_assignment(deployment: &Deployment) -> Option<usize> {
    let stores = deployment.fleet.of_class(Class::Storage);
    // the last change that was seen, when, and the number of pauses since the folder was made
    let mut seen = vec![(None, Instant::now(), 0); stores.len()];
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline {
        for (store, (changed, at, pauses)) in stores.iter().zip(&mut seen) {
            let now_changed = deployment.fleet.database_changed(*store);
            if now_changed.is_none() || now_changed == *changed {
                continue;
            }
            if changed.is_some() && at.elapsed() > Duration::from_millis(PAUSE_MS) {
                *pauses += 1;
            }
            (*changed, *at) = (now_changed, Instant::now());
            // first it writes down its cluster, then its group
            if *pauses == 2 {
                return Some(*store);
            }
        }
        std::thread::sleep(Duration::from_micros(50));
    }
    None
}
