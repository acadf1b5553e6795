//! Parses a request's headers, and builds the request that a server receives.

use super::context::Context;
use super::{HeaderNames, IncomingRequest, ProxyEnvironment, ServerRequest};
use crate::constants::DAY_MS;
use crate::coordination::balancer::{Placement, PlacementRequest};
use crate::coordination::edge::Edge;
use crate::coordination::store::{TurnAdmission, TurnRecord};
use crate::coordination::view::hash;
use crate::state::config::{ProxyRoute, RetrySemantics};
use crate::transport::connection_pool::AttemptId;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};

/// Headers that concern one connection only.
pub(super) const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Contents of a request's headers.
pub(super) struct ProxyRequest {
    /// Id of the client's attempt.
    pub(super) id: HeaderValue,
    /// Present for a turn whose tokens are budgeted or whose text is retained.
    pub(super) turn: Option<TurnAdmission>,
    pub(super) placement: PlacementRequest,
    /// Deadline of the request, in milliseconds.
    pub(super) ends_at: u64,
    /// Remaining time of its program on arrival, in milliseconds; None if missing or implausible.
    pub(super) program_remaining_ms: Option<u64>,
    /// Whether it belongs to a program.
    pub(super) has_program: bool,
    /// Id of the last event that the client has received.
    last_event: Option<String>,
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).and_then(|text| text.parse().ok())
}

/// Parses the parts of the prompt in order, each with its token count.
fn prompt_parts(headers: &HeaderMap, names: &HeaderNames) -> Vec<(u64, u32)> {
    let text = header_text(headers, names.prompt_parts).unwrap_or_default();
    let pairs = text.split(',').filter_map(|part| part.trim().split_once(':'));
    pairs.filter_map(|(id, tokens)| Some((hash(id), tokens.parse().ok()?))).collect()
}

impl ProxyRequest {
    /// Reads the request's headers. None if the attempt id is missing.
    pub(super) fn read(
        incoming: &IncomingRequest,
        names: &HeaderNames,
        (route_name, route): (&str, &ProxyRoute),
        edge: &Edge,
        now: u64,
    ) -> Option<ProxyRequest> {
        let headers = &incoming.headers;
        let id = headers.get(names.attempt_id)?.clone();
        let remaining_ms = header_number(headers, names.time_left).unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let turn = read_turn(headers, names, route, edge, id.to_str().ok()?, remaining_ms);
        let is_unresumable = route.retry_semantics == RetrySemantics::Stream && !route.resumable;
        let at_most_once = route.retry_semantics == RetrySemantics::AtMostOnce || is_unresumable;
        let parts = prompt_parts(headers, names);
        Some(ProxyRequest {
            id,
            turn,
            placement: PlacementRequest {
                prompt_parts: parts,
                at_most_once,
                route: hash(route_name),
                target_latency_ms: route.target_latency_ms,
                ..PlacementRequest::default()
            },
            ends_at: now + remaining_ms,
            program_remaining_ms: header_number(headers, names.program_time_left).filter(|ms| *ms <= DAY_MS),
            has_program: header_text(headers, names.program).is_some(),
            last_event: header_text(headers, names.last_event_id).map(str::to_string),
        })
    }

    /// Builds the request that a server receives; `resume_from` is the id of the last event that was forwarded.
    pub(super) fn server_request<G: ProxyEnvironment>(
        &self,
        context: &Context<'_, G>,
        placement: &Placement,
        resume_from: Option<&str>,
    ) -> ServerRequest {
        let incoming = context.incoming;
        let names = context.names;
        let remaining_ms = self.ends_at.saturating_sub(context.now()).max(1);
        let mut headers = forwarded_headers(&incoming.headers);
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set(names.time_left, &remaining_ms.to_string());
        set(names.server, &placement.server);
        if let Some(event) = resume_from.or(self.last_event.as_deref()) {
            set(names.last_event_id, event);
        }
        ServerRequest {
            method: incoming.method.clone(),
            target: incoming.target.clone(),
            headers,
            body: context.body.clone(),
            attempt: Some(AttemptId { header: HeaderName::from_static(names.attempt_id), id: self.id.clone() }),
            timeout_ms: remaining_ms,
            needs_fresh_connection: self.placement.at_most_once,
        }
    }
}

/// Builds the reservation request for a turn. None for requests that neither count against a budget nor are retained.
fn read_turn(
    headers: &HeaderMap,
    names: &HeaderNames,
    route: &ProxyRoute,
    edge: &Edge,
    id: &str,
    remaining_ms: u64,
) -> Option<TurnAdmission> {
    let budget = header_number(headers, names.token_budget);
    if route.retry_semantics != RetrySemantics::Stream || budget.is_none() && !route.keeps_turns {
        return None;
    }
    let max_tokens = header_text(headers, names.token_counts).and_then(|counts| counts.split(',').nth(1));
    let previous_turn = header_text(headers, names.previous_turn).unwrap_or_default();
    Some(TurnAdmission {
        turn: id.to_string(),
        program: header_text(headers, names.program).unwrap_or(id).to_string(),
        session: header_text(headers, names.session).unwrap_or_default().to_string(),
        previous_turn: if route.keeps_turns { previous_turn.to_string() } else { String::new() },
        budget: budget.unwrap_or(u64::MAX),
        cap: max_tokens.and_then(|tokens| tokens.trim().parse().ok()).unwrap_or(0),
        edge: edge.id,
        run_ms: remaining_ms,
        retention_ms: if route.keeps_turns { route.retention_ms } else { 0 },
        cached_turns: vec![],
        account_retention_ms: Some(route.retention_ms),
    })
}

/// Returns all headers except those that concern one connection only.
fn forwarded_headers(from: &HeaderMap) -> HeaderMap {
    let named = header_text(from, "connection").unwrap_or_default().to_ascii_lowercase();
    let mut headers = HeaderMap::with_capacity(from.len() + 2);
    for (name, value) in from.iter() {
        let is_named = || named.split(',').any(|token| token.trim() == name.as_str());
        if !HOP_BY_HOP.contains(&name.as_str()) && !is_named() {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Builds the body that a server receives: earlier inputs and answers, then the new input.
pub(super) fn full_conversation(chain: &[TurnRecord], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let earlier_bytes: usize = chain.iter().map(|link| link.input.len() + link.answer.len()).sum();
    let mut body = BytesMut::with_capacity(earlier_bytes + input.len());
    for link in chain {
        body.extend_from_slice(&link.input);
        body.extend_from_slice(&link.answer);
    }
    body.extend_from_slice(input);
    body.freeze()
}
