//! Share of requests served per second.

use super::history::{Micros, Records};
use super::judges::served;

const SECOND: Micros = 1_000_000;

/// Returns (seconds since the start, share served) for each second in which requests were sent.
pub fn share_by_second(records: &Records) -> Vec<(f64, f64)> {
    let seconds = records.end / SECOND;
    let shares = (0..seconds).map(|second| (second, served(records, second * SECOND, (second + 1) * SECOND)));
    shares.filter(|(_, (_, sent))| *sent > 0).map(|(second, (share, _))| (second as f64, share)).collect()
}
