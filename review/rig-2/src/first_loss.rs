//! Fault: while the whole system starts for the first time, the storage machine that has formed the store group loses its
//! disk.

use crate::fleet::Class;
use crate::has_trouble;
use crate::record::Record;
use crate::setup::{serves_programs, Deployment};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Times from the forming of the group to the loss, each in a deployment of its own.
const LOST_AFTER_MS: [u64; 3] = [900, 1_100, 1_300];
const BACK_AFTER_MS: u64 = 500;
/// The line that the product logs when a machine has formed the group.
const FORMED: &str = "formed store group";

pub fn run(root: &str, record: &str) -> Option<bool> {
    let record = Arc::new(Record::create(record).ok()?);
    let mut results = vec![];
    for (number, lost_after_ms) in LOST_AFTER_MS.into_iter().enumerate() {
        let served = trial(root, &record, &format!("start {}", number + 1), lost_after_ms);
        results.push(served);
        if served == Some(false) {
            break;
        }
    }
    let broken = results.contains(&Some(false));
    record.note(format!("{} first starts, programs are served afterwards: {results:?}", results.len()));
    (broken || results.iter().all(Option::is_some)).then_some(broken)
}

/// Starts a deployment. Returns whether it serves programs at last.
fn trial(root: &str, record: &Arc<Record>, name: &str, lost_after_ms: u64) -> Option<bool> {
    let mut deployment = Deployment::prepare(root, record.clone(), 1, 3, 3)?;
    deployment.fleet.start_all();
    let started_at = record.now();
    let store = wait_for_group(&deployment)?;
    if has_trouble() {
        std::thread::sleep(Duration::from_millis(lost_after_ms));
        deployment.fleet.kill(store);
        deployment.fleet.wipe(store);
        let machine = &deployment.fleet.nodes[store].name;
        let after = record.now() - started_at;
        record.note(format!("{name}: {machine} loses its disk, {after} ms after the machines were started"));
        std::thread::sleep(Duration::from_millis(BACK_AFTER_MS));
        deployment.fleet.start(store, false);
        record.note(format!("{name}: it is back with an empty folder"));
    }
    serves_programs(&deployment, name)
}

/// Waits until a storage machine has formed the group.
fn wait_for_group(deployment: &Deployment) -> Option<usize> {
    let stores = deployment.fleet.of_class(Class::Storage);
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        if let Some(store) = stores.iter().find(|store| deployment.fleet.log(**store).contains(FORMED)) {
            return Some(*store);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}
