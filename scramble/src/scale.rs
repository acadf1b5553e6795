//! How work and messages grow with the fleet, in memory.

use crate::fleet::World;
use std::time::Instant;

const CONFIG: &str = include_str!("../../examples/glenmorven.json");
/// ms of virtual time that are counted, once the fleet stands.
const COUNT_MS: u64 = 5_000;

pub struct Size {
    pub edges: usize,
    pub servers: usize,
    /// Letters a second at the core and its answers.
    pub letters: u64,
    /// ms of one core's time for a second of the whole fleet.
    pub work: f64,
}

/// A fleet of this size, idle but for its own affairs.
pub fn measure(edges: usize, servers: usize) -> Size {
    let w = World::new(1);
    w.raise();
    (7..=edges).for_each(|i| w.trailhead(i));
    // every server holds a place, so every one of them is shared out
    let all = format!("\"least\": {servers}, \"most\": {servers}");
    w.furnish(&CONFIG.replace("\"least\": 2, \"most\": 12", &all), servers, 2, "tiles");
    w.run(4_000);
    let count = |w: &World| w.0.borrow().letters.values().sum::<u64>();
    let (before, t) = (count(&w), Instant::now());
    w.run(COUNT_MS);
    let work = t.elapsed().as_secs_f64() * 1_000.0 * 1_000.0 / COUNT_MS as f64;
    Size { edges, servers, letters: (count(&w) - before) * 1_000 / COUNT_MS, work }
}
