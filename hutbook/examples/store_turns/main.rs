//! Benchmark of a store's turns through its public functions only: a group of one member with its folder on disk.
//! Differences between versions of the store are in `shim`, of which each side of a comparison has its own.
//! Usage: cargo run --release -p hutbook --example store_turns [turns] [MB of texts at the restart] [folder]
//!
//! Prints one figure per line (`name value unit`), so that `proof/compare-store` can compare two builds.
//! Bytes written are those passed to write calls of this process (`wchar`); memory is counted in the allocator.

mod shim;

use hutbook::coordination::replica::{Input, Output, Outputs, Replica};
use hutbook::coordination::store::{Store, StoreRequest, StoreResponse, TurnAdmission, TurnEnd};
use hutbook::state::disk::{Disk, DiskOp, PersistedState};
use shim::Texts;
use std::alloc::{GlobalAlloc, Layout, System};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Sizes of a turn's input and answer, in bytes.
const INPUT_BYTES: usize = 3_000;
const ANSWER_BYTES: usize = 400;
/// Number of turns in a chain.
const CHAIN: usize = 10;
/// Number of requests accepted before the disk is synced.
const BATCH: usize = 16;
/// Retention of turns, in milliseconds; longer than the benchmark runs.
const RETENTION_MS: u64 = 80_000_000;
/// Interval between two ticks, in milliseconds of the replica's clock.
const TICK_MS: u64 = 50;
/// Duration of a batch, in milliseconds of the replica's clock.
const BATCH_MS: u64 = 5;
/// Number of chains that are read, first cold, then warm.
const CHAINS_READ: usize = 200;
/// Texts in the store while chains are read, in MB: below the limit at which any build refuses new turns.
const CHAINS_MB: usize = 30;
/// Kind of the data folder, and the member's id.
const KIND: u64 = 2;
const MEMBER: u64 = 77;
/// Size of the database's cache, in bytes, as on a machine of 58 MB.
const DISK_CACHE_BYTES: usize = 2_000_000;
const MEGABYTE: usize = 1_000_000;

/// System allocator that counts the allocated bytes.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn allocated() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}

/// Returns the number of bytes that this process has passed to write calls so far.
fn written_bytes() -> u64 {
    let io = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = io.lines().find_map(|line| line.strip_prefix("wchar: "));
    line.and_then(|bytes| bytes.trim().parse().ok()).unwrap_or(0)
}

/// Returns the processor time of this thread in microseconds; on a shared machine it is more reliable than wall time.
fn processor_us() -> f64 {
    let schedule = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = schedule.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok());
    nanoseconds.unwrap_or(0.0) / 1e3
}

fn figure(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// A group of one member: its replica, data folder and clock.
struct Group {
    replica: Replica<Store>,
    disk: Disk,
    texts: Texts,
    now: u64,
    ticked_at: u64,
    ticket: u64,
    pending: Vec<(u64, Vec<DiskOp>)>,
    replies: Vec<StoreResponse>,
}

impl Group {
    /// Opens the folder and bootstraps the group if it is new. The member is the leader when this returns.
    fn open(folder: &Path) -> Group {
        let mut disk = Disk::open_with_cache(folder, KIND, DISK_CACHE_BYTES, || MEMBER).expect("a folder");
        let mut state = disk.load().expect("a readable folder");
        let is_new = state == PersistedState::default();
        if is_new {
            state = PersistedState::bootstrap(MEMBER, "store", None);
            disk.write(&[DiskOp::Append { entries: state.entries.clone() }]).expect("written");
        }
        let texts = Texts::of(&disk);
        let (mut replica, outputs) = Replica::new(MEMBER, state, texts.store(), 1, 1);
        replica.log_limit = shim::log_limit();
        let mut group =
            Group { replica, disk, texts, now: 1, ticked_at: 1, ticket: 0, pending: vec![], replies: vec![] };
        group.handle_outputs(outputs);
        while !group.replica.is_leader() {
            group.now += TICK_MS;
            group.step(Input::Tick);
            group.sync();
        }
        group
    }

    fn step(&mut self, input: Input<StoreRequest>) {
        let outputs = self.replica.step(self.now, input);
        self.handle_outputs(outputs);
    }

    fn handle_outputs(&mut self, outputs: Outputs<Store>) {
        for output in outputs {
            match output {
                Output::Persist { sync_ticket, ops } => {
                    self.texts.begin_write(&ops);
                    self.pending.push((sync_ticket, ops));
                }
                Output::Reply { response, .. } => self.replies.push(self.texts.complete(response)),
                _ => {}
            }
        }
    }

    /// Writes all pending operations in one batch, and repeats that until none is pending.
    fn sync(&mut self) {
        while let Some(last) = self.pending.last().map(|(ticket, _)| *ticket) {
            let ops: Vec<DiskOp> = std::mem::take(&mut self.pending).into_iter().flat_map(|(_, ops)| ops).collect();
            self.disk.write(&ops).expect("written");
            self.texts.finish_write(&ops);
            self.step(Input::Synced(last));
        }
    }

    fn request(&mut self, request: StoreRequest) {
        self.ticket += 1;
        self.step(Input::Request { ticket: self.ticket, request });
    }

    /// Makes the requests and syncs after every `BATCH` of them.
    fn request_all(&mut self, requests: impl Iterator<Item = StoreRequest>) {
        for (number, request) in requests.enumerate() {
            self.request(request);
            if number % BATCH == BATCH - 1 {
                self.now += BATCH_MS;
                self.sync();
                self.tick_if_due();
            }
        }
        self.sync();
    }

    /// Ticks the replica if `TICK_MS` have passed, since snapshots are taken at ticks.
    fn tick_if_due(&mut self) {
        if self.now >= self.ticked_at + TICK_MS {
            self.ticked_at = self.now;
            self.step(Input::Tick);
            self.sync();
        }
    }

    /// Admits a turn and returns the number of links in the chain it got.
    fn admit(&mut self, admitted: TurnAdmission) -> usize {
        let turn = admitted.turn.clone();
        self.replies.clear();
        self.request(StoreRequest::TurnAdmission(admitted));
        while self.replies.is_empty() {
            self.sync();
            self.now += 1;
            self.step(Input::Tick);
        }
        match self.replies.pop() {
            Some(StoreResponse::TurnAdmitted { chain, .. }) => chain.len(),
            other => panic!("turn {turn} was not admitted: {other:?}"),
        }
    }
}

fn name(turn: usize) -> String {
    format!("{:016x}", (turn as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn previous_turn(turn: usize) -> String {
    if turn.is_multiple_of(CHAIN) {
        String::new()
    } else {
        name(turn - 1)
    }
}

/// Returns random words from a seed; the text compresses about as well as prose.
fn text(seed: u64, length: usize) -> Vec<u8> {
    let words = ["ledger ", "of ", "harbour ", "the ", "tile ", "and ", "request ", "to "];
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut bytes = Vec::with_capacity(length + 16);
    while bytes.len() < length {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(words[(state >> 61) as usize].as_bytes());
        bytes.extend_from_slice(format!("{:x} ", state >> 48).as_bytes());
    }
    bytes.truncate(length);
    bytes
}

fn admission(turn: String, program: usize, previous: String) -> TurnAdmission {
    shim::turn_admission(turn, format!("{program:08x}"), previous, RETENTION_MS)
}

fn end(turn: usize) -> StoreRequest {
    let admitted = admission(name(turn), turn / CHAIN, previous_turn(turn));
    let (input, answer) = (text(turn as u64, INPUT_BYTES), text(!(turn as u64), ANSWER_BYTES));
    StoreRequest::TurnEnd(TurnEnd {
        record: Some(shim::link(admitted.turn.clone(), input, answer)),
        turn: admitted.turn,
        program: admitted.program,
        session: admitted.session,
        previous_turn: admitted.previous_turn,
        edge: admitted.edge,
        tokens: 100,
        server: "10.1.2.3:8000".into(),
        retention_ms: RETENTION_MS,
    })
}

/// Measures admission and end of turns: time, bytes written, memory.
fn run_turns(folder: &Path, turns: usize) {
    let mut group = Group::open(folder);
    let (memory, disk, processor, start) = (allocated(), written_bytes(), processor_us(), Instant::now());
    for first in (0..turns).step_by(CHAIN) {
        // the turns of one chain follow each other, possibly within one batch
        let chains = first..(first + CHAIN).min(turns);
        let requests = chains.flat_map(|turn| {
            let admitted = admission(name(turn), turn / CHAIN, previous_turn(turn));
            [StoreRequest::TurnAdmission(admitted), end(turn)]
        });
        group.request_all(requests);
        group.replies.clear();
    }
    let seconds = start.elapsed().as_secs_f64();
    let (_, stored, _) = group.replica.machine.turn_counts();
    assert_eq!(stored, turns, "turns stored");
    figure("turns_per_s", turns as f64 / seconds, "turns/s");
    figure("processor_per_turn", (processor_us() - processor) / turns as f64, "us");
    figure("written_per_turn", (written_bytes() - disk) as f64 / turns as f64, "bytes");
    figure("entries_per_turn", group.replica.raft.applied_index() as f64 / turns as f64, "entries");
    figure("allocated_per_turn", (allocated() - memory) as f64 / turns as f64, "bytes");
    figure("index_per_turn", shim::turn_index_bytes(&group.replica.machine) as f64 / turns as f64, "bytes");
    figure("state_per_turn", group.replica.machine.state_bytes().0 as f64 / turns as f64, "bytes");
}

/// Fills a folder with `bytes` bytes of texts, by ends of turns only, which are accepted however full the store is.
fn fill(folder: &Path, bytes: usize) -> usize {
    let turns = bytes / (INPUT_BYTES + ANSWER_BYTES) / CHAIN * CHAIN;
    let mut group = Group::open(folder);
    for first in (0..turns).step_by(BATCH) {
        group.request_all((first..(first + BATCH).min(turns)).map(end));
        group.replies.clear();
    }
    turns
}

/// Measures a restart with `bytes` bytes of texts.
fn restart(folder: &Path, bytes: usize) {
    let (disk, start) = (written_bytes(), Instant::now());
    let turns = fill(folder, bytes);
    figure("fill", start.elapsed().as_secs_f64(), "s");
    figure("fill_written_per_turn", (written_bytes() - disk) as f64 / turns as f64, "bytes");
    let (memory, processor, start) = (allocated(), processor_us(), Instant::now());
    let _group = Group::open(folder);
    figure("restart_until_leading", start.elapsed().as_secs_f64(), "s");
    figure("restart_processor", (processor_us() - processor) / 1e6, "s");
    figure("restart_allocated_per_turn", (allocated() - memory) as f64 / turns as f64, "bytes");
}

/// Measures admissions after a restart: without a chain, and with a chain that is read cold, then warm.
fn read_chains(folder: &Path, bytes: usize) {
    let chains = fill(folder, bytes) / CHAIN;
    let mut group = Group::open(folder);
    for (figure_name, links) in
        [("admission_alone", 0), ("admission_chain_cold", CHAIN), ("admission_chain_warm", CHAIN)]
    {
        let mut took: Vec<f64> = (0..CHAINS_READ)
            .map(|number| {
                let chain = number * (chains / CHAINS_READ).max(1);
                let previous = if links > 0 { name(chain * CHAIN + CHAIN - 1) } else { String::new() };
                let admitted = admission(format!("{figure_name}-{number}"), chain, previous);
                let start = Instant::now();
                assert_eq!(group.admit(admitted), links, "links");
                start.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        if links > 0 {
            let texts = group.texts.take_reads() as f64 / CHAINS_READ as f64;
            figure(&format!("{figure_name}_reads"), texts, "texts/chain");
        }
        took.sort_unstable_by(f64::total_cmp);
        // the median, as a slow sync of a busy disk is no property of the store
        figure(figure_name, took[CHAINS_READ / 2], "us");
    }
}

/// One part of the benchmark; takes its own folder and the number of turns or bytes.
type Part = fn(&Path, usize);

fn argument(number: usize, default: usize) -> usize {
    std::env::args().nth(number).and_then(|argument| argument.parse().ok()).unwrap_or(default)
}

fn main() {
    let turns = argument(1, 10_000) / CHAIN * CHAIN;
    let bytes = argument(2, 300) * MEGABYTE;
    let folder = std::env::args().nth(3).map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("corkdrum-store-turns-{}", std::process::id()));
    let parts: [(&str, Part, usize); 3] =
        [("turns", run_turns, turns), ("chains", read_chains, CHAINS_MB * MEGABYTE), ("restart", restart, bytes)];
    for (name, part, size) in parts {
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        part(&folder, size);
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}
