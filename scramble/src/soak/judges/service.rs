//! Service: requests are served again after the last event.

use super::super::history::{Ending, Micros, Records, Request};
use super::{Bounds, Finding};

/// Length of the spans whose share of served requests is checked, in microseconds.
const SPAN: Micros = 5_000_000;
/// Minimum share of requests served in the span that starts when the recovery bound is over, and in the span after it.
const MIN_SERVED_FIRST: f64 = 0.25;
const MIN_SERVED_LATER: f64 = 0.95;
/// Minimum number of requests in a checked span.
const MIN_REQUESTS: usize = 20;

/// Returns true if the request was served completely.
pub fn is_served(request: &Request) -> bool {
    matches!(&request.ended, Some((_, Ending::Answered(answer))) if answer.status == 200 && answer.is_whole)
}

/// Returns true if the request counts for the share. Routes that are added and removed don't count.
pub fn is_measured(request: &Request) -> bool {
    !request.path.starts_with("/added")
}

/// Returns the share served of the requests sent in a span, and the number of these requests.
pub fn served(records: &Records, from: Micros, to: Micros) -> (f64, usize) {
    let sent =
        |request: &&Request| (from..to).contains(&request.sent) && is_measured(request) && request.ended.is_some();
    let all: Vec<&Request> = records.requests.iter().filter(sent).collect();
    let served = all.iter().filter(|request| is_served(request)).count();
    (served as f64 / all.len().max(1) as f64, all.len())
}

/// Checks that a quarter of the requests is served once the recovery bound is over, and nearly all one span later.
pub(super) fn recovery(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    if records.recovered_at == 0 {
        return vec![];
    }
    let first = records.recovered_at + bounds.recovery;
    let mut findings = vec![];
    for (from, min_share) in [(first, MIN_SERVED_FIRST), (first + SPAN, MIN_SERVED_LATER)] {
        let to = from + SPAN;
        if to > records.end {
            continue;
        }
        let (share, requests) = served(records, from, to);
        let description =
            format!("{share:.2} of {requests} requests served from {from} to {to} us; {min_share} required");
        if requests < MIN_REQUESTS || share < min_share {
            findings.push(Finding { judge: "recovery", at: to, description });
        }
    }
    findings
}
