//! The programs of corkdrum: what each does stands here, its start in a file under `bin`.
pub mod bothy;
pub mod refuge;
pub mod report;
pub mod store_metrics;
pub mod trailhead;
