//! The library behind corkdrum's programs.
//!
//! Four layers, each using only those below it: `transport`, `protocol`, `coordination`, `state`. The lower two are
//! synchronous: time is passed in, and they own no clock, socket, file handle or hidden source of randomness.

#[macro_use]
mod messages;
pub mod constants;
pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
