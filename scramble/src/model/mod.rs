//! A model checker for the consensus layer: explores every schedule of the product's own replicas within given bounds.
//!
//! A [`state::State`] holds the replicas, their disks, the messages in flight and what was acknowledged to clients.
//! An [`action::Action`] is one possible next step: a delivery, a sync, a timeout, a crash, a request.
//! [`search::run`] explores breadth first, so the first state that violates an [`invariant::Invariant`] is reached by
//! a shortest schedule, which [`trace`] prints. [`scenario`] defines the initial states and bounds that are run.
//!
//! The search is implemented here rather than taken from a library: it is a breadth-first search with a set of 128-bit
//! digests whose states share the replicas that an action did not change, which a general library could not do.

pub mod action;
pub mod invariant;
pub mod machine;
pub mod node;
pub mod scenario;
pub mod search;
pub mod state;
pub mod trace;
