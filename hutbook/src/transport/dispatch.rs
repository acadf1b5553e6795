//! What holds for every request on its way out to a server, whoever sends it.

/// The very last look, taken as the bytes go out: connecting may take a while, and a process may sleep.
pub type Gate = Box<dyn Fn() -> bool>;

/// A request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer {
    /// False only where it is certain that nothing went out: then it has not run.
    pub sent: bool,
}
