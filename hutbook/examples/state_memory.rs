//! Memory of a store's state by the allocator's count: bytes per account, index entry of a turn, job and program.
//! The constants `STATE_*_BYTES` are taken from its output.
//! Usage: cargo run --release -p hutbook --example state_memory [THINGS]

#[path = "../tests/memory/mod.rs"]
mod memory;

use memory::{measure, CountingAllocator, SHAPES};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    let size = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(10_000);
    println!(
        "{:28} {:>9} {:>9} {:>9} {:>9} {:>11} {:>11}",
        "shape", "accounts", "turns", "jobs", "programs", "allocated", "estimate"
    );
    for shape in SHAPES {
        let measured = measure(shape, size);
        let (accounts, turns, _) = measured.store.turn_counts();
        let (programs, jobs, _) = measured.store.counts();
        let shape = format!("{shape:?}");
        let (allocated, estimate) = (measured.allocated, measured.usage.total());
        println!("{shape:28} {accounts:>9} {turns:>9} {jobs:>9} {programs:>9} {allocated:>11} {estimate:>11}");
        println!("{:28} {:?}", "", measured.usage);
    }
}
