//! Faults of long days: those injected while the stores are full, and the closing one.

use super::Day;
use crate::fleet::{World, SYNC_MS};

/// Duration of a fault before the closing one, in milliseconds.
const FAULT_MS: u64 = 4_000;
/// Sync time of a slow disk, in milliseconds.
const SLOW_SYNC_MS: u64 = 40;

/// A fault during the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    StoreLeaderPower,
    CoreLeaderPower,
    EdgePower,
    /// A store's disk is full for a while.
    StoreDiskFull,
    StoreDiskSlow,
    StoreLeaderFrozen,
    EverythingPower,
}

/// The fault at the end of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingFault {
    /// All machines lose power.
    Power,
    /// All machines lose power, and the store leader loses its disk as well.
    PowerAndDisk,
}

impl Day {
    pub(super) fn inject(&self, fault: Fault) {
        let world = &self.world;
        let from = world.now();
        let store = world.leader("bothy");
        match fault {
            Fault::StoreLeaderPower => self.cut_power(&[store]),
            Fault::CoreLeaderPower => self.cut_power(&[world.leader("refuge")]),
            Fault::EdgePower => self.cut_power(&world.names("trailhead")[..1]),
            Fault::EverythingPower => self.cut_power(&world.process_names()),
            Fault::StoreDiskFull => self.set_disk(&store, None),
            Fault::StoreDiskSlow => self.set_disk(&store, Some(SLOW_SYNC_MS)),
            Fault::StoreLeaderFrozen => {
                world.freeze(&store);
                world.run(FAULT_MS);
                world.unfreeze(&store);
            }
        }
        self.load.record.borrow_mut().record_fault(from, world.now());
    }

    fn cut_power(&self, names: &[String]) {
        names.iter().for_each(|name| self.world.kill(name));
        self.world.run(FAULT_MS);
        names.iter().for_each(|name| self.world.start(name));
    }

    fn set_disk(&self, store: &str, sync_ms: Option<u64>) {
        self.world.set_sync_latency(store, sync_ms);
        self.world.run(FAULT_MS);
        self.world.set_sync_latency(store, Some(SYNC_MS));
    }
}

/// Cuts the power of all machines and returns the names of those to be started again.
pub fn cut_all_power(world: &World, closing: ClosingFault) -> Vec<String> {
    let lost = (closing == ClosingFault::PowerAndDisk).then(|| world.leader("bothy"));
    let machines = world.process_names();
    for name in &machines {
        if lost.as_ref() == Some(name) {
            world.lose_disk(name);
        } else {
            world.kill(name);
        }
    }
    machines
}

pub fn start_machines(world: &World, names: &[String]) {
    names.iter().for_each(|name| world.start(name));
}
