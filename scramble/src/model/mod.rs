//! A model checker for the agreement: the product's own replicas, explored over every schedule within given bounds.
//!
//! A [`state::State`] holds the replicas, their disks, the messages under way and what was promised to callers.
//! An [`action::Action`] is one thing that may happen next: a delivery, a sync, a time-out, a crash, a request.
//! [`search::run`] explores breadth first, so the first state that breaks an [`invariant::Invariant`] is reached by a
//! shortest schedule, which [`trace`] prints. [`scenario`] names the starting points and bounds that are run.
//!
//! The search is our own: it is a breadth-first walk with a set of 128-bit digests, and keeps states that share the
//! replicas that an action left alone, which a general library could not.

pub mod action;
pub mod invariant;
pub mod machine;
pub mod node;
pub mod scenario;
pub mod search;
pub mod state;
pub mod trace;
