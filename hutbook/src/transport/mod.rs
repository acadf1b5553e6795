//! Transport: sessions, HTTP, timers, disk threads. All async lives here.
pub mod http;
pub mod hut;
pub mod logs;
pub mod post;
pub mod serve;
