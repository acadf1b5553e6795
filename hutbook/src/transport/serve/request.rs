//! A request as its client sent it, and the response to it.

use crate::coordination::store::JobResult;
use crate::state::config::Route;
use std::cell::RefCell;
use tokio::sync::mpsc;

/// One turn or tool call as requested by a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub program: String,
    pub key: String,
    pub digest: u64,
    /// Name of the route.
    pub route_name: String,
    pub route: Route,
    pub body: String,
    /// For turns: the prompt prefix shared by many programs, and the maximum number of tokens.
    pub prefix: String,
    pub max_tokens: u64,
    /// Which creation of the program the client means; 0 if it doesn't say.
    pub program_created_index: u64,
}

impl Request {
    /// Returns whether this is a turn; only turns return tokens.
    pub fn is_turn(&self) -> bool {
        self.max_tokens > 0
    }
}

/// The state of a request as reported to its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Ended(JobResult),
    Running,
    Unavailable(&'static str),
    NoProgram,
    /// The program has been created anew since: nothing is known about the key, and the request is not run.
    ProgramRecreated,
    KeyReused,
}

/// What is sent to a client: chunks, then the response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    Chunk { run: u32, seq: u64, text: String },
    Response(Response),
}

/// Where a request's response is sent. It is sent once, and the channel to the client is released then.
pub struct ResponseChannel(RefCell<Option<mpsc::Sender<ResponseEvent>>>);

impl ResponseChannel {
    pub fn new(sender: mpsc::Sender<ResponseEvent>) -> ResponseChannel {
        ResponseChannel(RefCell::new(Some(sender)))
    }

    pub(super) async fn respond(&self, response: Response) {
        let sender = self.0.borrow_mut().take();
        if let Some(sender) = sender {
            // a client that has disconnected can ask again with its key
            let _ = sender.send(ResponseEvent::Response(response)).await;
        }
    }

    /// Completes when the client disconnects before a response was sent.
    pub(super) async fn closed(&self) {
        match self.chunk_sender() {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the sender for chunks, as long as no response has been sent.
    pub(super) fn chunk_sender(&self) -> Option<mpsc::Sender<ResponseEvent>> {
        self.0.borrow().clone()
    }
}
