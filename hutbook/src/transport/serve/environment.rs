//! What serving a request needs from outside: a clock, the store and the backends.

use crate::coordination::admission_queue::ServerProbe;
use crate::coordination::store::{StoreRequest, StoreResponse};
use crate::transport::dispatch::{Gate, NoAnswer};

/// One call to a model server.
pub struct ModelCall {
    pub gate: Gate,
    /// Config revision under which this call is dispatched.
    pub revision: u64,
    pub addr: String,
    pub path: String,
    pub program: String,
    pub key: String,
    /// Chat messages as (role, text), oldest first.
    pub messages: Vec<(&'static str, String)>,
    pub prefix: String,
    /// Maximum number of tokens returned to the client.
    pub max_tokens: u64,
    pub run_ms: u64,
}

/// One call to a tool server.
pub struct ToolCall {
    pub gate: Gate,
    /// Config revision under which this call is dispatched.
    pub revision: u64,
    pub addr: String,
    pub path: String,
    pub key: String,
    pub body: String,
    pub run_ms: u64,
}

/// The next event of a model server's stream.
#[derive(Debug)]
pub enum StreamEvent {
    /// A chunk of text, and the answer's token count so far if the backend reports it while streaming.
    Text(String, Option<u64>),
    /// The end of a complete stream, with the backend's token count if it reports one.
    End(Option<u64>),
    Broken,
}

/// Everything outside the request's own logic. Implemented by the daemons and by the simulation.
#[allow(async_fn_in_trait)]
pub trait Environment {
    type Stream: Stream;
    /// Current time in milliseconds on this node's clock.
    fn now(&self) -> u64;
    fn random_u64(&self) -> u64;
    async fn sleep(&self, ms: u64);
    /// Sends a request to the program's store. None if the store was unreachable or did not answer.
    async fn store(&self, program: &str, ask: StoreRequest) -> Option<StoreResponse>;
    async fn model(&self, call: ModelCall) -> Result<Result<Self::Stream, u16>, NoAnswer>;
    async fn tool(&self, call: ToolCall) -> Result<(u16, String), NoAnswer>;
    /// Probes a backend for its load and the start time of its process. None if it does not answer.
    async fn probe(&self, addr: &str) -> Option<ServerProbe>;
    /// Asks a backend for the result of a key. None if the backend does not know it or does not answer.
    async fn lookup(&self, addr: &str, key: &str) -> Option<(u16, String)>;
}

/// A model server's answer, read as it arrives.
#[allow(async_fn_in_trait)]
pub trait Stream {
    async fn next(&mut self) -> StreamEvent;
}
