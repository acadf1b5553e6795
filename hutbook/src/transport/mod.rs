//! Transport: sessions, HTTP, timers, disk threads. All async lives here.
pub mod callers;
pub mod daemon;
pub mod field;
pub mod http;
pub mod hut;
pub mod logs;
pub mod operators;
pub mod post;
pub mod reach;
pub mod serve;
