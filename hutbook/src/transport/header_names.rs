//! Header names that proxied requests and their answers use. corkdrum has its own names; an adapter for another
//! platform passes that platform's names.

/// Header names, all in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a client, never reused. Answers carry it back.
    pub attempt_id: &'static str,
    /// How long the client will wait, in milliseconds.
    pub time_left: &'static str,
    /// Remaining time of the request's program, in milliseconds.
    pub program_time_left: &'static str,
    pub program: &'static str,
    /// Session of a program: one sequence of its turns.
    pub session: &'static str,
    /// Budget of output tokens for all turns of a program.
    pub token_budget: &'static str,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub token_counts: &'static str,
    /// Parts of the prompt in order, as id:tokens separated by commas.
    pub prompt_parts: &'static str,
    /// The turn that this one continues from.
    pub previous_turn: &'static str,
    pub last_event_id: &'static str,
    /// The server that the request is for; any other server rejects it.
    pub server: &'static str,
    /// On an answer: the request was not run.
    pub not_run: &'static str,
    /// Proof that an answer is a server's; without it, it isn't.
    pub seal: &'static str,
    /// On an answer: running requests, waiting requests and slots.
    pub server_load: &'static str,
}

/// corkdrum's own header names.
pub const HEADER_NAMES: HeaderNames = HeaderNames {
    attempt_id: "corkdrum-job",
    time_left: "corkdrum-time-left-ms",
    program_time_left: "corkdrum-program-time-left-ms",
    program: "corkdrum-program",
    session: "corkdrum-line",
    token_budget: "corkdrum-allowance",
    token_counts: "corkdrum-tokens",
    prompt_parts: "corkdrum-parts",
    previous_turn: "corkdrum-before",
    last_event_id: "last-event-id",
    server: "corkdrum-server",
    not_run: "corkdrum-not-run",
    seal: "corkdrum-seal",
    server_load: "corkdrum-pressure",
};
