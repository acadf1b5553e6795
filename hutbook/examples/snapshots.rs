//! Benchmark of a store's turns and snapshots: time of this process and its peak memory.
//! Usage: cargo run --release -p hutbook --example snapshots [MB of texts]

use hutbook::coordination::replica::{LeaderContext, Plan, StateMachine};
use hutbook::coordination::store::{Store, StoreRequest, TurnAdmission, TurnEnd, TurnRecord};
use hutbook::state::disk::{Disk, DiskOp};
use hutbook::state::entry::{Entry, EntryPayload, Members, Snapshot};
use std::sync::Arc;
use std::time::Instant;

/// Size of a turn's texts in bytes: half of it input, half of it answer.
const TEXT_BYTES: usize = 5_000;
/// Number of turns in a chain.
const CHAIN: usize = 9;

/// Returns the current and the peak resident memory, in kB.
fn memory() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let of =
        |key: &str| status.lines().find(|l| l.starts_with(key)).and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
    (of("VmRSS:").unwrap_or(0), of("VmHWM:").unwrap_or(0))
}

fn timed<T>(what: &str, count: usize, run: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = run();
    let micros = start.elapsed().as_micros();
    let (current, peak) = memory();
    println!(
        "{what:36} {:>9.1} ms {:>8.1} us each; memory {current} kB, peak {peak} kB",
        micros as f64 / 1e3,
        micros as f64 / count as f64
    );
    result
}

fn main() {
    let megabytes: usize = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(20);
    let turns = megabytes * 1_000_000 / TEXT_BYTES;
    let mut store = Store::default();
    let context = LeaderContext { now: 1, term: 1 };
    store.became_leader(context);
    let mut index = 0;
    let mut log = vec![];
    let mut commit = |store: &mut Store, request: StoreRequest| {
        let Plan::Propose(command) = store.plan(context, &request) else { panic!("request was not proposed") };
        index += 1;
        store.apply(index, 1, &command);
        log.push(command.len());
        if log.len() <= 4_096 {
            Some(Entry { index, term: 1, payload: EntryPayload::Command(command) })
        } else {
            None
        }
    };
    let name = |i: usize| format!("{:016x}", (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut entries = vec![];
    timed("turns: admission, chain read, end", turns, || {
        for i in 0..turns {
            let previous_turn = if i % CHAIN == 0 { String::new() } else { name(i - 1) };
            let (turn, program, session) = (name(i), format!("{:06x}", i / CHAIN), format!("{:06x}", i / CHAIN + 7));
            let admission = TurnAdmission {
                turn: turn.clone(),
                program: program.clone(),
                session: session.clone(),
                previous_turn: previous_turn.clone(),
                budget: 1 << 20,
                cap: 136,
                edge: 7,
                run_ms: 4_000,
                retention_ms: 60_000,
                cached_turns: vec![],
                account_retention_ms: Some(60_000),
            };
            entries.extend(commit(&mut store, StoreRequest::TurnAdmission(admission)));
            let record = TurnRecord {
                turn: turn.clone(),
                input: vec![b'x'; TEXT_BYTES / 2],
                answer: vec![b'y'; TEXT_BYTES / 2],
                stored: None,
            };
            let end = TurnEnd {
                turn,
                program,
                session,
                previous_turn,
                edge: 7,
                tokens: 100,
                server: "10.1.2.3:8000".into(),
                record: Some(record),
                retention_ms: 60_000,
            };
            entries.extend(commit(&mut store, StoreRequest::TurnEnd(end)));
        }
    });
    println!("{turns} turns; 4,096 log entries have {} bytes", log.iter().take(4_096).sum::<usize>());
    let data = timed("a snapshot encoded", turns, || store.snapshot());
    println!("{} bytes", data.len());
    timed("a snapshot restored", turns, || Store::default().restore(&data));
    let dir = std::env::temp_dir().join(format!("corkdrum-snapshots-{}", std::process::id()));
    let mut disk = Disk::open(&dir, 2, || 77).expect("a folder");
    timed("4,096 entries written, 16 per batch", entries.len(), || {
        entries
            .chunks(16)
            .for_each(|batch| disk.write(&[DiskOp::Append { entries: batch.to_vec() }]).expect("written"));
    });
    drop(entries);
    let snapshot = Arc::new(Snapshot { index, term: 1, members: Members::default(), data });
    for _ in 0..3 {
        timed("a snapshot written to disk", turns, || {
            disk.write(&[DiskOp::Snapshot { snapshot: snapshot.clone(), clear: false }]).expect("written")
        });
    }
    drop(snapshot);
    let size = std::fs::metadata(dir.join("hut.redb")).map_or(0, |metadata| metadata.len());
    println!("file size: {size} bytes");
    let state = timed("the data folder loaded", turns, || disk.load().expect("read"));
    assert!(state.snapshot.is_some());
    std::fs::remove_dir_all(&dir).expect("removed");
}
