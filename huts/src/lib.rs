//! The programs of corkdrum. Their main functions are in the files under `bin`.
pub mod controller;
pub mod edge;
pub mod report;
pub mod store;
pub mod store_metrics;
