//! Stored state: data types, disk, caches and budgets. Independent of replication.
pub mod byte_budget;
pub mod compressed_text;
pub mod config;
pub mod disk;
pub mod edge_budget;
pub mod entry;
#[cfg(test)]
mod faulty_disk;
pub mod histogram;
pub mod journal;
pub mod log_limit;
pub mod memory;
pub mod snapshot_data;
pub mod texts;
pub mod turn_texts;
