//! Long runs ("long days") of the in-memory fleet: programs that continue retained turns for ten retention periods,
//! hundreds of configuration changes, faults on the way and a total power loss at the end. Stores and load are scaled
//! down by the same factor.

mod faults;
mod invariants;
mod load;
mod record;
mod report;
mod texts;

pub use faults::{ClosingFault, Fault};
pub use invariants::{check_invariants, Violation, INVARIANTS};
pub use record::{DayRecord, Outcome, StoreSample, TurnResult};
pub use report::report;

use crate::fleet::{put_config_request, World};
use hutbook::constants::{OPERATOR_TIMEOUT_MS, SEGMENT_BYTES};
use hutbook::coordination::control::ControlResponse;
use hutbook::state::memory::MemoryBudget;
use load::Load;
use std::rc::Rc;

const CONFIG: &str = include_str!("../../../examples/glenmorven.json");
/// Memory of a store machine of the grown deployment, in MB.
const STORE_MEMORY_MB: u64 = 58;
/// Minimum capacity of a disk in segments, however small the scale; a full-size disk holds about 200.
const MIN_SEGMENTS: u32 = 16;
/// Disk of such a machine, in MB.
const STORE_DISK_MB: u64 = 350;
/// New programs per second that such a machine must sustain, and how long they are retained, in milliseconds.
const GROWN_PROGRAMS_PER_S: u64 = 70;
const GROWN_RETENTION_MS: u64 = 60_000;
const STORES: usize = 3;
const EDGES: usize = 6;
/// How long the machines have no power, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// Interval between two samples of the stores' size, in milliseconds.
const SAMPLE_MS: u64 = 500;
/// How long the day continues after power is restored, in milliseconds.
const AFTER_RESTORE_MS: u64 = 25_000;
/// Time within which open turns end after the last program has started, in milliseconds.
const LAST_TURNS_MS: u64 = 15_000;

/// Parameters of a long day. The same plan and seed give the same run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Time until the closing fault, in milliseconds.
    pub length_ms: u64,
    /// How long turns and the accounts of their programs are retained, in milliseconds.
    pub retention_ms: u64,
    /// Divisor of a full machine's capacity and load.
    pub scale: u64,
    /// Load in percent of what the machine is sized for.
    pub load_percent: u64,
    /// Memory in percent of what a machine of this size has.
    pub memory_percent: u64,
    /// Number of configuration changes, spread evenly over the day.
    pub changes: u64,
    /// Faults before the closing one, each with its time in milliseconds from the start.
    pub faults: Vec<(u64, Fault)>,
    pub closing: ClosingFault,
}

impl Plan {
    /// The grown load for ten retention periods, then a total power loss.
    pub fn grown(scale: u64) -> Plan {
        Plan {
            length_ms: 600_000,
            retention_ms: GROWN_RETENTION_MS,
            scale,
            load_percent: 100,
            memory_percent: 100,
            changes: 300,
            faults: vec![],
            closing: ClosingFault::Power,
        }
    }

    /// Returns what the stores are sized for as a share of what arrives and is retained.
    pub fn sized_share(&self) -> f64 {
        let kept = self.load_percent * self.retention_ms;
        (self.memory_percent * GROWN_RETENTION_MS) as f64 / kept as f64
    }

    /// Whether the stores must sustain this load without refusing turns.
    pub fn is_within_size(&self) -> bool {
        self.sized_share() >= 1.0
    }

    /// Returns the interval between two new programs, in milliseconds.
    fn program_interval_ms(&self) -> u64 {
        (1_000 * 100 * self.scale / (GROWN_PROGRAMS_PER_S * self.load_percent)).max(1)
    }

    fn store_memory(&self) -> MemoryBudget {
        let machine = MemoryBudget::of(Some(STORE_MEMORY_MB), Some(STORE_DISK_MB));
        let part = |bytes: usize| bytes * self.memory_percent as usize / 100 / self.scale as usize;
        // segments are not scaled down: a disk of two or three segments would be full while one of them is half empty
        let texts_on_disk = machine.texts_on_disk * self.memory_percent / 100 / self.scale;
        let texts_on_disk = texts_on_disk.max(u64::from(MIN_SEGMENTS * SEGMENT_BYTES));
        MemoryBudget { state: part(machine.state), log: part(machine.log), texts_on_disk, ..machine }
    }
}

/// Runs one long day and returns what was recorded.
pub fn run_long_day(seed: u64, plan: &Plan) -> DayRecord {
    let world = World::new(seed);
    world.set_store_memory_budget(plan.store_memory());
    world.start_default_fleet();
    // a spare store, so that a lost disk can be repaired
    world.add_store(STORES + 1);
    world.configure_and_list_servers(CONFIG, 3, 2, "tiles");
    let load = Rc::new(Load::new(&world, plan));
    load.spawn_programs(EDGES);
    let mut day = Day { world, plan: plan.clone(), load, revision: 0, change: 0 };
    day.revision = day.world.config_revision();
    day.run_until_closing_fault();
    day.run_closing_fault();
    day.finish()
}

struct Day {
    world: World,
    plan: Plan,
    load: Rc<Load>,
    /// Revision of the last acknowledged configuration.
    revision: u64,
    change: u64,
}

impl Day {
    fn run_until_closing_fault(&mut self) {
        let from = self.world.now();
        self.load.record.borrow_mut().from = from;
        let mut faults = self.plan.faults.clone();
        faults.sort_by_key(|fault| fault.0);
        let mut faults = faults.into_iter().peekable();
        while self.world.now() < from + self.plan.length_ms {
            let elapsed = self.world.now() - from;
            if let Some((_, fault)) = faults.next_if(|fault| fault.0 <= elapsed) {
                self.inject(fault);
            }
            let due = elapsed * self.plan.changes / self.plan.length_ms.max(1);
            if self.change < due {
                self.change_configuration();
            }
            self.sample();
            self.world.run(SAMPLE_MS);
        }
    }

    /// Makes one more change. An operator who gets no clear answer reads the active revision and continues from there.
    fn change_configuration(&mut self) {
        self.change += 1;
        let document = document(self.change);
        let members = self.world.names("refuge");
        let request = put_config_request(self.revision, 0, &format!("change-{}", self.change), &document);
        let pending = self.world.send_command(&members, request, OPERATOR_TIMEOUT_MS);
        match self.world.wait_for_answer(&pending, OPERATOR_TIMEOUT_MS * 2) {
            Some(ControlResponse::Committed(revision)) => {
                self.revision = revision;
                self.load.record.borrow_mut().changes_acknowledged += 1;
            }
            _ => self.revision = self.revision.max(self.world.config_revision()),
        }
    }

    fn sample(&self) {
        let at = self.world.now();
        let measure = |name: &String| {
            self.world.with_store(name, |replica| (replica.machine.state_bytes(), replica.machine.turn_counts()))
        };
        let stores: Vec<_> = self.world.names("bothy").iter().filter_map(measure).collect();
        let Some(((bytes, bound), (accounts, turns, _))) = stores.into_iter().max_by_key(|store| store.0) else {
            return;
        };
        self.load.record.borrow_mut().samples.push(StoreSample { at, bytes, bound, accounts, turns });
    }

    /// Injects the closing fault, restores power and runs the rest of the day, in which programs keep arriving.
    fn run_closing_fault(&mut self) {
        let lost_at = self.world.now();
        let powered_off = faults::cut_all_power(&self.world, self.plan.closing);
        self.world.run(DOWN_MS);
        faults::start_machines(&self.world, &powered_off);
        let restored_at = self.world.now();
        {
            let mut record = self.load.record.borrow_mut();
            record.lost_at = lost_at;
            record.restored_at = restored_at;
            record.record_fault(lost_at, restored_at);
        }
        while self.world.now() < restored_at + AFTER_RESTORE_MS {
            self.sample();
            self.world.run(SAMPLE_MS);
        }
    }

    fn finish(self) -> DayRecord {
        self.load.stop();
        self.world.run(LAST_TURNS_MS);
        let read_back = self.world.config_revision();
        {
            let mut record = self.load.record.borrow_mut();
            record.revision_acknowledged = self.revision;
            record.revision_read_back = read_back;
        }
        let (spent, budgets) = self.load.accounts();
        let mut record = self.load.record.take();
        (record.spent, record.budgets) = (spent, budgets);
        self.world.close();
        record
    }
}

/// Returns a distinct document for each change; all of them are the same JSON value.
fn document(change: u64) -> String {
    let bits = (0..24).map(|bit| if change >> bit & 1 == 1 { '\t' } else { ' ' });
    CONFIG.chars().chain(bits).collect()
}
