//! Requests on persistent connections: each gets one complete answer, and its own.

use super::super::document::{ONCE_ONLY_PATH, TURNS_PATH};
use super::super::history::{Answer, Ending, Incarnation, Micros, Records, Request, StopRequest};
use super::super::processes::STORE;
use super::super::servers::whole_body;
use super::{Bounds, Finding};
use std::collections::BTreeMap;

/// Time until clients notice the end of a killed process on a busy machine, in microseconds.
const KILL_NOTICE_DELAY: Micros = 3_000_000;
/// Time that a disrupted store group may take to elect a leader and be found by edges, in microseconds.
const STORE_RECOVERY: Micros = 3_000_000;

/// Returns true if the process behind the connection was killed while the request was open, or up to
/// `KILL_NOTICE_DELAY` before it was sent.
fn was_killed(incarnation: Option<&Incarnation>, sent: Micros, ended: Micros) -> bool {
    let Some(incarnation) = incarnation else { return false };
    matches!(incarnation.stop_request, StopRequest::Kill(at) if at + KILL_NOTICE_DELAY >= sent && at <= ended)
}

/// Returns true if the request is answered as a stream and its server broke off.
fn is_broken_stream(records: &Records, request: &Request) -> bool {
    request.path == TURNS_PATH && records.broken_answers.contains(&request.id)
}

fn was_frozen(incarnation: Option<&Incarnation>, sent: Micros, ended: Micros) -> bool {
    incarnation.is_some_and(|incarnation| incarnation.frozen.iter().any(|(from, to)| *from <= ended && *to >= sent))
}

/// Returns true if the end of a turn may not have been committed. A turn's answer completes only after its store group
/// has committed the end; otherwise it is truncated. That is accepted if a store or the edge was disrupted, or if other
/// turns were refused meanwhile; the `recovery` judge limits how long it lasts.
fn end_may_be_uncommitted(records: &Records, request: &Request, ended: Micros) -> bool {
    let is_relevant = |process: &str| process.starts_with(STORE) || process == request.edge;
    let from = request.sent.saturating_sub(STORE_RECOVERY);
    request.path == TURNS_PATH
        && (records.was_disrupted(is_relevant, from, ended) || turns_were_refused(records, request.sent, ended))
}

fn turns_were_refused(records: &Records, from: Micros, to: Micros) -> bool {
    records.requests.iter().any(|other| {
        let Some((at, Ending::Answered(answer))) = &other.ended else { return false };
        other.path == TURNS_PATH && (from..=to).contains(at) && answer.status == 503 && answer.server.is_empty()
    })
}

/// Checks that each request on an open connection gets its own complete answer unless the process was killed, and that
/// a request whose connection ended without an answer has not run.
pub(super) fn complete_answers(records: &Records, _: &Bounds) -> Vec<Finding> {
    let runs = records.runs_by_id();
    let mut findings = vec![];
    for request in &records.requests {
        let Some((at, ending)) = &request.ended else { continue };
        let incarnation = records.incarnation(&request.edge, request.incarnation);
        let was_process_killed = was_killed(incarnation, request.sent, *at);
        let has_run = runs.contains_key(request.id.as_str());
        let violation = match ending {
            Ending::Answered(answer) if answer.is_whole => answer_violation(request, answer),
            _ if was_process_killed => None,
            Ending::Answered(_) if end_may_be_uncommitted(records, request, *at) => None,
            // a plain answer is given out whole or not at all; a stream may begin before its server breaks off
            Ending::Answered(_) | Ending::ConnectionEnded if is_broken_stream(records, request) => None,
            Ending::Answered(_) => Some("its answer was truncated".to_string()),
            Ending::ConnectionEnded if has_run => Some("its connection ended although it had run".to_string()),
            Ending::ConnectionEnded => None,
            Ending::NothingCame if was_frozen(incarnation, request.sent, *at) => None,
            Ending::NothingCame => Some("no answer before the client's time-out".to_string()),
        };
        if let Some(violation) = violation {
            let Request { id, path, edge, incarnation, connection, .. } = request;
            let description =
                format!("{id} on {path} at {edge} (life {incarnation}, connection {connection}): {violation}");
            findings.push(Finding { judge: "whole answers", at: *at, description });
        }
    }
    findings
}

/// Returns what is wrong with a whole answer: no answer may have another request's id, a success needs an id, the name
/// of a server and the server's whole body, and a refusal needs a `retry-after` header.
fn answer_violation(request: &Request, answer: &Answer) -> Option<String> {
    if !answer.id.is_empty() && answer.id != request.id {
        return Some(format!("it got the answer of {}", answer.id));
    }
    if answer.status == 200 && (answer.server.is_empty() || answer.id.is_empty()) {
        return Some("a success without a server's name or a request id".into());
    }
    if answer.status == 200 && answer.body != whole_body(&request.id, &request.path) {
        let (received, expected) = (answer.body.len(), whole_body(&request.id, &request.path).len());
        return Some(format!("a success whose body is not its server's: {received} bytes in place of {expected}"));
    }
    if answer.has_surplus {
        return Some("bytes that belong to no request follow its answer".into());
    }
    if answer.status == 503 && answer.server.is_empty() && !answer.says_when {
        return Some("refused without a retry-after header".into());
    }
    None
}

fn answer_of(request: &Request) -> Option<&Answer> {
    match &request.ended {
        Some((_, Ending::Answered(answer))) => Some(answer),
        _ => None,
    }
}

/// Checks that at-most-once requests run at most once, that refused ones never run, and that retained turns are found
/// with exactly the texts that were exchanged.
pub(super) fn executions(records: &Records, _: &Bounds) -> Vec<Finding> {
    let runs = records.runs_by_id();
    let mut findings = vec![];
    // completely answered turns: their input and output texts, as the next turn must bring them to its server
    let mut retained_texts: BTreeMap<&str, Vec<u8>> = BTreeMap::new();
    for request in &records.requests {
        let at = request.ended.as_ref().map_or(records.end, |(at, _)| *at);
        let mut add_finding = |judge, description| findings.push(Finding { judge, at, description });
        let run_count = runs.get(request.id.as_str()).map_or(0, Vec::len);
        let is_once_only = [ONCE_ONLY_PATH, TURNS_PATH].contains(&request.path.as_str());
        if is_once_only && run_count > 1 {
            add_finding("once only", format!("{} on {} ran {run_count} times", request.id, request.path));
        }
        let Some(answer) = answer_of(request) else { continue };
        if is_once_only && answer.server.is_empty() && [429, 503].contains(&answer.status) && run_count > 0 {
            add_finding("refused has not run", format!("{} got {} and ran", request.id, answer.status));
        }
        if request.path != TURNS_PATH {
            continue;
        }
        if let (false, 404 | 410) = (request.previous_turn.is_empty(), answer.status) {
            add_finding(
                "kept turns",
                format!("{} continues {} and got {}", request.id, request.previous_turn, answer.status),
            );
        }
        if answer.status != 200 || !answer.is_whole {
            continue;
        }
        let previous_text = retained_texts.get(request.previous_turn.as_str()).cloned().unwrap_or_default();
        let input = input_of(&request.id);
        let expected = [previous_text.clone(), input.clone()].concat();
        if runs.get(request.id.as_str()).is_some_and(|runs| runs[0].body != expected) {
            add_finding(
                "kept turns",
                format!("{} sent its server texts that differ from the exchanged ones", request.id),
            );
        }
        retained_texts.insert(&request.id, [previous_text, input, output_of(&request.id)].concat());
    }
    findings
}

/// Returns what a client sends as the new input of a turn.
pub fn input_of(id: &str) -> Vec<u8> {
    format!("input of {id};").into_bytes()
}

/// Returns the data of a server's events for a turn, each followed by a line feed.
fn output_of(id: &str) -> Vec<u8> {
    super::super::servers::event_texts(id).iter().map(|text| format!("{text}\n")).collect::<String>().into_bytes()
}
