//! Serves a client's turn or tool call, from the first lookup to its recorded end.
//!
//! Time, the store and the backends are reached through an `Environment`, so that the same functions run in the daemons
//! and in the in-memory fleet.

mod admission;
mod attempts;
mod environment;
mod probes;
mod records;
mod request;
mod stream;
mod tool_call;
mod turn;

pub use environment::{Environment, ModelCall, Stream, StreamEvent, ToolCall};
pub use probes::probe_servers;
pub use request::{Request, Response, ResponseChannel, ResponseEvent};
pub use tool_call::serve_tool_call;
pub use turn::serve_turn;
