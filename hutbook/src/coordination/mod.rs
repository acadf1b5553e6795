//! Coordination between nodes: consensus, leases, slot allocation, admission, load balancing and scaling.
//! All of it is synchronous and receives the time as an argument.
pub mod admission_queue;
pub mod balancer;
pub mod control;
pub mod edge;
pub mod edge_admission;
pub mod fleet_health;
pub mod leased_view;
pub mod raft;
pub mod replica;
pub mod routes;
pub mod scaler;
pub mod slot_allocation;
pub mod store;
pub mod store_admission;
#[cfg(test)]
mod test_views;
mod text_repair;
pub mod view;
