//! Relays a model server's stream to the client, within the request's token cap and time limit.

use super::environment::{Environment, Stream, StreamEvent};
use super::request::{Request, ResponseChannel, ResponseEvent};

/// The result of relaying one stream.
#[derive(Default)]
pub(super) struct StreamOutcome {
    /// Error code; empty on success.
    pub(super) code: &'static str,
    pub(super) text: String,
    pub(super) chunks: u64,
    /// Tokens relayed, as far as known; never an underestimate.
    pub(super) tokens: u64,
    /// When the first event arrived, in milliseconds on this edge's clock.
    pub(super) first_at: Option<u64>,
}

impl StreamOutcome {
    pub(super) fn failed(code: &'static str) -> StreamOutcome {
        StreamOutcome { code, ..StreamOutcome::default() }
    }
}

/// Relays the chunks of one run to the client until `ends_at`, and never more tokens than the cap. If the backend
/// doesn't report tokens while streaming, every byte is counted as one.
pub(super) async fn relay<G: Environment>(
    environment: &G,
    mut stream: G::Stream,
    request: &Request,
    run: u32,
    channel: &ResponseChannel,
    ends_at: u64,
) -> StreamOutcome {
    let mut outcome = StreamOutcome::default();
    let Some(sender) = channel.chunk_sender() else { return StreamOutcome::failed("caller_gone") };
    loop {
        // the run time bounds a backend that stops sending
        if environment.now() >= ends_at {
            return StreamOutcome { code: "out_of_time", ..outcome };
        }
        match stream.next().await {
            StreamEvent::Text(text, reported_tokens) => {
                outcome.first_at.get_or_insert(environment.now());
                let tokens = reported_tokens.unwrap_or(outcome.tokens + text.len() as u64);
                // text beyond the cap is withheld, whatever limit the backend was given
                if tokens > request.max_tokens {
                    // if not even one chunk fits, nothing has been answered
                    let code = if outcome.chunks == 0 { "over_cap" } else { "" };
                    return StreamOutcome { code, ..outcome };
                }
                outcome.tokens = outcome.tokens.max(tokens);
                outcome.text.push_str(&text);
                let chunk = ResponseEvent::Chunk { run, seq: outcome.chunks, text };
                outcome.chunks += 1;
                // a slow client applies back pressure to the backend; a client that disconnects ends the run
                let remaining = ends_at.saturating_sub(environment.now());
                tokio::select! {
                    biased;
                    sent = sender.send(chunk) => if sent.is_err() {
                        return StreamOutcome { code: "caller_gone", ..outcome };
                    },
                    _ = environment.sleep(remaining) => return StreamOutcome { code: "out_of_time", ..outcome },
                }
                if outcome.tokens >= request.max_tokens {
                    return outcome;
                }
            }
            StreamEvent::End(tokens) => {
                outcome.first_at.get_or_insert(environment.now());
                // the backend's own count, clamped to the plausible range
                let max_tokens = request.max_tokens.max(outcome.chunks);
                outcome.tokens = tokens.map_or(outcome.tokens, |count| count.clamp(outcome.chunks, max_tokens));
                return outcome;
            }
            StreamEvent::Broken => return StreamOutcome { code: "stream_broken", ..outcome },
        }
    }
}
