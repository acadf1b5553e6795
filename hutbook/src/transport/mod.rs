//! Transport: sessions, HTTP, timers, disk threads. All async lives here.
pub mod callers;
pub mod daemon;
pub mod directory;
pub mod dispatch;
pub mod field;
pub mod front;
pub mod http;
pub mod hut;
pub mod lexicon;
pub mod logs;
pub mod open_calls;
pub mod operators;
pub mod passing;
pub mod post;
pub mod reach;
pub mod serve;
pub mod sessions;
