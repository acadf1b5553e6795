//! Relays streams from a server to the client, event by event.

use super::answers::end_to_end_headers;
use super::attempt::{classify, open, Attempts, Opened, SendResult};
use super::context::{within, Context};
use super::events::EventParser;
use super::reservation::{end, settle};
use super::*;
use crate::coordination::store::TurnRecord;
use crate::state::byte_budget::ReservedBytes;
use crate::state::turn_texts::TurnText;
use crate::transport::answer_stream::{answer_stream, answer_stream_within, StreamSender};
use futures_util::future::{select, Either};
use std::pin::pin;

pub(super) enum Relayed {
    Done,
    /// It broke off before anything was forwarded: the reply is unused.
    BrokeBeforeFirstEvent(Reply),
}

/// How reading a stream ended.
enum StreamEnd {
    Complete,
    BrokeOff,
    BrokeBeforeFirstEvent(Reply),
}

/// The client's side of a stream: either nothing has been sent yet, or events go through a channel.
enum Client {
    NotStarted(Reply),
    Streaming(StreamSender),
}

impl Client {
    /// Ends the answer, as complete or broken off.
    fn end(self, is_complete: bool) {
        if let (true, Client::Streaming(events)) = (is_complete, self) {
            events.complete();
        }
    }
}

/// One stream that is being relayed.
struct Relay<'r, 'a, G: ProxyEnvironment> {
    context: &'r Context<'a, G>,
    attempts: &'r mut Attempts,
    placement: Placement,
    answer: G::Response,
    /// Already read, but not forwarded yet.
    read_ahead: Option<BodyRead>,
    sent_at: u64,
    events: EventParser,
    /// Memory reserved for what `events` holds.
    memory: ReservedBytes,
    /// Response head of the first server; it stays the same if another server resumes the stream.
    head: (StatusCode, Vec<(HeaderName, HeaderValue)>),
}

/// Relays a stream event by event. If the route is resumable, it continues at another server after a failure.
pub(super) async fn relay<G: ProxyEnvironment + Clone + 'static>(
    context: &Context<'_, G>,
    attempts: &mut Attempts,
    opened: Opened<G::Response>,
    reply: Reply,
) -> Relayed {
    let Opened { placement, sent_at, answer, first_read } = opened;
    let is_retained = context.request.turn.is_some() && context.route.keeps_turns;
    let head = (answer.status(), end_to_end_headers(answer.headers()));
    let events = EventParser::new(is_retained);
    let memory = context.environment.memory().reserve_existing(0);
    let mut relay =
        Relay { context, attempts, placement, answer, read_ahead: first_read, sent_at, events, memory, head };
    let mut client = Client::NotStarted(reply);
    let is_complete = match relay.read(&mut client).await {
        StreamEnd::Complete => true,
        StreamEnd::BrokeOff => false,
        StreamEnd::BrokeBeforeFirstEvent(reply) => {
            relay.attempts.may_have_run = true;
            return Relayed::BrokeBeforeFirstEvent(reply);
        }
    };
    relay.close(client, is_complete && is_retained, is_complete).await;
    Relayed::Done
}

impl<G: ProxyEnvironment + Clone + 'static> Relay<'_, '_, G> {
    /// Reads events until the stream ends or fails.
    async fn read(&mut self, client: &mut Client) -> StreamEnd {
        loop {
            let Some(body_read) = self.next_read(client).await else {
                self.finish(Outcome::Cancelled);
                return StreamEnd::BrokeOff;
            };
            match body_read {
                BodyRead::Bytes(bytes) => {
                    if !self.take_and_forward(client, &bytes).await {
                        self.finish(Outcome::Cancelled);
                        return StreamEnd::BrokeOff;
                    }
                }
                // bytes after the last complete event mean that the stream broke off
                BodyRead::End if self.events.is_complete() => {
                    self.finish(Outcome::Success);
                    return StreamEnd::Complete;
                }
                _ => {
                    self.finish(Outcome::Failed);
                    self.events.drop_partial();
                    if let Client::NotStarted(_) = client {
                        let Client::NotStarted(reply) =
                            std::mem::replace(client, Client::Streaming(answer_stream(1).0))
                        else {
                            return StreamEnd::BrokeOff;
                        };
                        return StreamEnd::BrokeBeforeFirstEvent(reply);
                    }
                    if !self.resume().await {
                        return StreamEnd::BrokeOff;
                    }
                }
            }
        }
    }

    /// Reads the next part of the answer's body. None if the client has disconnected.
    async fn next_read(&mut self, client: &Client) -> Option<BodyRead> {
        if let Some(body_read) = self.read_ahead.take() {
            return Some(body_read);
        }
        let next = within(self.context.environment, self.context.request.ends_at, self.answer.next());
        let Client::Streaming(events) = client else { return Some(next.await.unwrap_or(BodyRead::Broken)) };
        match select(pin!(next), pin!(events.disconnected())).await {
            Either::Left((body_read, _)) => Some(body_read.unwrap_or(BodyRead::Broken)),
            Either::Right(_) => None,
        }
    }

    /// Takes a part of the body and forwards the events that it completes. Returns false if the stream can't go on: its
    /// memory can't be had, or its client didn't take it in time.
    async fn take_and_forward(&mut self, client: &mut Client, bytes: &[u8]) -> bool {
        if !self.reserve_for(bytes.len()).await {
            self.context.record.note_ending("edge_memory");
            return false;
        }
        let events = self.events.take(bytes);
        self.memory.shrink_to(self.memory_needed(0));
        events.is_empty() || self.forward(client, events).await
    }

    /// Returns the memory that `events` needs beside its request's own, with so many more bytes.
    fn memory_needed(&self, more: usize) -> usize {
        let partial = (self.events.partial_bytes() + more).saturating_sub(FREE_STREAM_BUFFER_BYTES);
        partial + RETAINED_TEXT_COPIES * self.events.data_bytes()
    }

    /// Reserves memory for so many more bytes. Returns false if there is none, or if an event or a text is too long.
    async fn reserve_for(&mut self, bytes: usize) -> bool {
        let longest = (self.events.partial_bytes() + bytes).max(self.events.data_bytes());
        let more = self.memory_needed(bytes).saturating_sub(self.memory.bytes());
        longest <= MAX_FRAME_BYTES && (more == 0 || self.context.environment.grow(&mut self.memory, more).await)
    }

    /// Forwards events. Returns false if the client did not take them before its request's deadline.
    async fn forward(&mut self, client: &mut Client, events: Bytes) -> bool {
        if let Client::NotStarted(_) = client {
            self.context.note_timing();
            let memory = self.context.environment.memory().clone();
            let (sender, receiver) = answer_stream_within(STREAM_BUFFER_BYTES, memory);
            let (status, headers) = self.head.clone();
            let ends_at = Some(self.context.request.ends_at);
            let outgoing = Outgoing { status, headers, body: ProxyBody::Events(receiver), own_code: None, ends_at };
            if let Client::NotStarted(reply) = std::mem::replace(client, Client::Streaming(sender)) {
                // if the client has disconnected, the channel shows it
                let _ = reply.send(outgoing);
            }
        }
        let Client::Streaming(sender) = client else { return true };
        // a client that has disconnected is noticed at the next read
        let sent = within(self.context.environment, self.context.request.ends_at, sender.send(events)).await;
        sent.is_some()
    }

    fn finish(&self, outcome: Outcome) {
        self.context.finish(&self.placement, self.sent_at, outcome);
    }

    /// Resumes the stream at another server, after the last event that was forwarded.
    async fn resume(&mut self) -> bool {
        let Some(last_event) = self.events.last_id.clone() else { return false };
        while self.context.route.resumable && self.attempts.may_repeat(self.context) {
            let now = self.context.now();
            let chosen = self.context.edge.balancer().choose(now, self.context.service, &self.attempts.placement);
            let Some(placement) = chosen else { return false };
            self.attempts.remaining -= 1;
            self.attempts.placement.tried_servers.push(placement.server.clone());
            let (first_read, head) = match open(self.context, &placement, now, Some(&last_event)).await {
                Ok((answer, first_read)) => (first_read, Ok(answer)),
                Err(no_answer) => (None, Err(no_answer)),
            };
            let outcome = match classify(head, self.context.names) {
                SendResult::Answer(answer) if answer.status().is_success() => {
                    (self.placement, self.answer, self.sent_at) = (placement, answer, now);
                    self.read_ahead = first_read;
                    return true;
                }
                SendResult::NotRun(outcome) => outcome,
                _ => Outcome::Failed,
            };
            self.context.finish(&placement, now, outcome);
        }
        false
    }

    fn note_ending(&self, client: &Client, is_complete: bool) {
        let has_disconnected = matches!(client, Client::Streaming(events) if events.is_disconnected());
        let ending = match (is_complete, has_disconnected) {
            (true, _) => "served",
            (false, true) => "gone",
            (false, false) => "stream_broke_off",
        };
        self.context.record.note_ending(ending);
    }

    /// Commits the turn's end. The end of a retained turn is committed before its answer is complete; if that is
    /// uncertain, the answer must not look complete.
    async fn close(mut self, client: Client, stores_text: bool, is_complete: bool) {
        let Context { environment, edge, request, incoming, .. } = *self.context;
        self.note_ending(&client, is_complete);
        let tokens = self.events.count * self.tokens_per_event();
        let server = self.placement.server;
        let turn = request.turn.as_ref().filter(|_| stores_text);
        let Some(turn) = turn else {
            client.end(is_complete);
            return end(environment, edge, request, tokens, server, None).await;
        };
        let (input, answer) = (incoming.body.to_vec(), self.events.take_data());
        let (turn_name, before) = (turn.turn.clone(), turn.previous_turn.clone());
        let text = TurnText {
            turn: turn_name,
            previous_turn: before,
            input: incoming.body.clone(),
            answer: answer.clone().into(),
        };
        let link = TurnRecord { turn: turn.turn.clone(), input, answer, stored: None };
        let settle_started = environment.now();
        let committed =
            settle(environment, edge, request, tokens, server, Some(link), RETAINED_TURN_END_TIMEOUT_MS).await;
        if committed {
            edge.turn_texts().insert(text);
        } else {
            self.context.record.note_ending("end_not_agreed");
        }
        self.context.record.note_settled(environment.now() - settle_started);
        client.end(committed);
    }

    fn tokens_per_event(&self) -> u64 {
        let settings = self.context.view.group(&self.placement.service).and_then(|group| group.proxy.as_ref());
        settings.map_or(1, |settings| settings.tokens_per_event.max(1))
    }
}
