//! A request as its client sent it, and what the client is told.

use crate::coordination::store::Ended;
use crate::state::config::Route;
use std::cell::RefCell;
use tokio::sync::mpsc;

/// One turn or tool call as a client asked for it.
#[derive(Clone, Debug)]
pub struct Request {
    pub program: String,
    pub key: String,
    pub digest: u64,
    /// Of its route.
    pub name: String,
    pub route: Route,
    pub body: String,
    /// For turns: what is shared by many programs, and the most tokens wanted.
    pub prefix: String,
    pub cap: u64,
    /// The making of its program that the client means; 0 where it doesn't say.
    pub since: u64,
}

impl Request {
    /// Only turns hand out tokens.
    pub fn is_turn(&self) -> bool {
        self.cap > 0
    }
}

/// How a request stands, as its client is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Ended(Ended),
    Running,
    Unavailable(&'static str),
    NoProgram,
    /// The program has been made anew since: nothing is known of the key, and it is not run.
    MadeAnew,
    OtherBody,
}

/// What goes to a client, piece after piece and then the response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    Piece { run: u32, seq: u64, text: String },
    Response(Response),
}

/// Where one request's response goes. It is sent once; then the client is let go.
pub struct ResponseChannel(RefCell<Option<mpsc::Sender<ResponseEvent>>>);

impl ResponseChannel {
    pub fn new(to: mpsc::Sender<ResponseEvent>) -> ResponseChannel {
        ResponseChannel(RefCell::new(Some(to)))
    }

    pub(super) async fn respond(&self, response: Response) {
        let to = self.0.borrow_mut().take();
        if let Some(to) = to {
            // a client that has gone can ask by its key
            let _ = to.send(ResponseEvent::Response(response)).await;
        }
    }

    /// Ends when the client has gone without a response.
    pub(super) async fn closed(&self) {
        match self.pieces() {
            Some(to) => to.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Where pieces go, while no response has been sent.
    pub(super) fn pieces(&self) -> Option<mpsc::Sender<ResponseEvent>> {
        self.0.borrow().clone()
    }
}
