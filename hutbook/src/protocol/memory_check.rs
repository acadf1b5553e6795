//! Checks that a machine's memory holds the fixed parts of a process.

use super::settings::NodeRole;
use crate::constants::{
    LOG_GROWTH_WHILE_SENDING, MEGABYTE_BYTES, MIN_EDGE_MEMORY_MB, MIN_MEMORY_MB, PROCESS_OVERHEAD_BYTES,
};
use crate::state::edge_budget::EdgeBudget;
use crate::state::memory::MemoryBudget;

#[cfg(test)]
mod tests;

/// Returns the minimum memory, in MB, with which a process of this role may be configured.
pub fn min_mb(role: NodeRole) -> u64 {
    match role {
        NodeRole::Edge => MIN_EDGE_MEMORY_MB,
        NodeRole::Controller | NodeRole::Store => MIN_MEMORY_MB,
    }
}

/// Returns the parts of a process on a machine with this much memory, each with its name and bytes.
pub fn parts(role: NodeRole, memory_mb: u64) -> Vec<(&'static str, usize)> {
    if role == NodeRole::Edge {
        return EdgeBudget::parts(memory_mb);
    }
    let budget = MemoryBudget::of(Some(memory_mb), None);
    vec![
        ("process", PROCESS_OVERHEAD_BYTES),
        ("state", budget.state),
        ("snapshot", budget.snapshot),
        // it keeps growing while a snapshot is sent
        ("log", LOG_GROWTH_WHILE_SENDING * budget.log),
        ("disk cache", budget.disk_cache),
        ("texts", budget.text_cache),
        ("api", budget.api),
    ]
}

/// Formats the sum of the parts for people.
pub fn describe_parts(role: NodeRole, memory_mb: u64) -> String {
    let parts = parts(role, memory_mb);
    let total = parts.iter().map(|(_, bytes)| bytes).sum();
    let listed: Vec<String> = parts.iter().map(|(name, bytes)| format!("{name} {}", megabytes(*bytes))).collect();
    format!("{} = {} MB of {memory_mb} MB", listed.join(" + "), megabytes(total))
}

/// Returns why a machine with this much memory can't hold the process, with the sum of its parts; None if it can.
pub fn shortfall(role: NodeRole, memory_mb: u64) -> Option<String> {
    let total: usize = parts(role, memory_mb).iter().map(|(_, bytes)| bytes).sum();
    let least = min_mb(role);
    let short = memory_mb < least || total as u64 > memory_mb * MEGABYTE_BYTES;
    short.then(|| {
        format!("is too little for the fixed parts: {}; the least is {least} MB", describe_parts(role, memory_mb))
    })
}

fn megabytes(bytes: usize) -> String {
    format!("{:.1}", bytes as f64 / MEGABYTE_BYTES as f64)
}
