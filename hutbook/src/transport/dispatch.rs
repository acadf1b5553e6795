//! Types shared by all code that dispatches requests to servers.

/// Final check made as the bytes are written: connecting may take long, and the process may have been suspended.
pub type Gate = Box<dyn Fn() -> bool>;

/// A request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer {
    /// False only if it is certain that nothing was sent; then the request has not run.
    pub sent: bool,
}
