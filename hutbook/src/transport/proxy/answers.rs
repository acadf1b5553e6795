//! Answers of the edge's own, and what of a server's head goes on to the client.

use super::request::HOP_BY_HOP;
use super::{OutBody, Outgoing};
use crate::constants::*;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use actix_http::StatusCode;
use bytes::Bytes;

/// A final answer of our own.
pub(super) fn own_answer(status: u16, code: &'static str, retry_after_ms: Option<u64>) -> Outgoing {
    let body = jzon::object! { error: code };
    let mut headers = vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))];
    if let Some(ms) = retry_after_ms {
        let seconds = HeaderValue::from_str(&format!("{:.2}", ms as f64 / 1_000.0));
        headers.extend(seconds.ok().map(|seconds| (RETRY_AFTER, seconds)));
    }
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Outgoing { status, headers, body: OutBody::Whole(Bytes::from(body.dump())), own_code: Some(code) }
}

/// It did not run and never will; its client is told at once when to come back.
pub(super) fn refusal(code: &'static str) -> Outgoing {
    refusal_until(code, PROXY_RETRY_AFTER_MS)
}

pub(super) fn refusal_until(code: &'static str, retry_after_ms: u64) -> Outgoing {
    own_answer(503, code, Some(retry_after_ms))
}

/// Headers of a server's answer that go on to the client.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let goes_on = |name: &str| !HOP_BY_HOP.contains(&name) && name != "date";
    let kept = headers.iter().filter(|(name, _)| goes_on(name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
