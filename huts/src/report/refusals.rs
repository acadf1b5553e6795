//! Refusals and retries by reason and by second, over all processes.

use super::records::Record;
use super::SECOND_MS;
use std::collections::BTreeMap;

/// Events whose fields are counts by reason.
const EVENTS: [&str; 4] = ["edge_refusals", "store_refusals", "store_retries", "core_retries"];

/// Counts of one second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalRow {
    /// Wall clock, in seconds.
    pub second: u64,
    pub event: String,
    pub by_reason: BTreeMap<String, u64>,
}

/// Sums the counts over all processes, in chronological order.
pub fn refusals_by_second(records: &[Record]) -> Vec<RefusalRow> {
    let mut sums: BTreeMap<(u64, &str), BTreeMap<String, u64>> = BTreeMap::new();
    for record in records.iter().filter(|record| EVENTS.contains(&record.event.as_str())) {
        let sum = sums.entry((record.at_ms / SECOND_MS, &record.event)).or_default();
        for (reason, count) in record.fields.iter() {
            *sum.entry(reason.to_string()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    let row = |((second, event), by_reason): ((u64, &str), _)| RefusalRow { second, event: event.into(), by_reason };
    sums.into_iter().map(row).collect()
}
