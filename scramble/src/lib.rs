//! Tools for testing the fleet: simulated and real fleets, fault injection, records of what clients and backends
//! observe, and checkers over these records. Not part of the product.

pub mod check;
pub mod drills;
pub mod fault_catalogue;
pub mod fault_script;
pub mod fit;
pub mod flags;
pub mod fleet;
pub mod hollow;
pub mod invariant_table;
pub mod linearize;
pub mod long_day;
pub mod model;
pub mod nemesis;
pub mod observations;
pub mod plot;
pub mod process_fleet;
pub mod relay;
pub mod scale;
pub mod soak;
pub mod sweep;
