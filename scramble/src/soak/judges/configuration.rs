//! Configuration: an acknowledged change is in force after the bound, is never reverted, and is visible to reads.

use super::super::document::{allowed, Allowed};
use super::super::history::{ChangeKind, ChangeResult, ConfigChange, Ending, Micros, Records, Request, Run};
use super::{Bounds, Finding};
use std::collections::BTreeMap;

/// Changes that may be in force. Those without a definite answer may have any revision.
struct PossibleChanges<'a> {
    /// (revision, change), sorted by revision.
    accepted: Vec<(u64, &'a ConfigChange)>,
    unclear: Vec<&'a ConfigChange>,
}

impl<'a> PossibleChanges<'a> {
    fn of(records: &'a Records) -> PossibleChanges<'a> {
        let mut accepted = vec![];
        let mut unclear = vec![];
        for change in records.config_changes.iter().filter(|change| change.kind == ChangeKind::Change) {
            match change.ended {
                Some((_, ChangeResult::Acknowledged(revision))) => accepted.push((revision, change)),
                Some((_, ChangeResult::Refused(_))) => {}
                Some((_, ChangeResult::Unclear)) | None => unclear.push(change),
            }
        }
        accepted.sort_by_key(|(revision, _)| *revision);
        PossibleChanges { accepted, unclear }
    }

    /// Returns the newest revision that had been acknowledged by the given time.
    fn acknowledged_by(&self, at: Micros) -> u64 {
        let acknowledged = |change: &ConfigChange| change.ended.is_some_and(|(ended, _)| ended <= at);
        self.accepted
            .iter()
            .filter(|(_, change)| acknowledged(change))
            .map(|(revision, _)| *revision)
            .max()
            .unwrap_or(0)
    }

    /// Returns the ways in which a path may be handled: as the newest revision acknowledged by `binding` says, or as
    /// any newer or unclear change that was sent by `until` says.
    fn allowed(&self, path: &str, binding: Micros, until: Micros) -> Vec<Allowed> {
        let oldest = self.acknowledged_by(binding);
        let newer = self.accepted.iter().filter(|(revision, _)| *revision >= oldest).map(|(_, change)| *change);
        let sent = newer.chain(self.unclear.iter().copied()).filter(|change| change.sent <= until);
        sent.map(|change| allowed(change.number, path)).collect()
    }

    /// Returns the oldest and newest revision that allow this handling of a path, or None if an unclear change allows
    /// it too.
    fn revisions_allowing(&self, path: &str, handling: Allowed) -> Option<(u64, u64)> {
        if self.unclear.iter().any(|change| allowed(change.number, path) == handling) {
            return None;
        }
        let mut allowing = self.accepted.iter().filter(|(_, change)| allowed(change.number, path) == handling);
        let oldest = allowing.next()?.0;
        Some((oldest, allowing.next_back().map_or(oldest, |(revision, _)| *revision)))
    }
}

/// Returns how a request was handled, if that depends on the configuration.
fn handled_as(request: &Request, runs: &[&Run]) -> Option<Allowed> {
    if let Some(run) = runs.first() {
        return Some(Allowed::Service(run.service));
    }
    match &request.ended {
        // a 404 for an unknown previous turn says nothing about routes
        Some((_, Ending::Answered(answer))) if answer.status == 404 && answer.server.is_empty() => {
            request.previous_turn.is_empty().then_some(Allowed::NoRoute)
        }
        _ => None,
    }
}

/// A request whose handling depends on the configuration, for the check of one incarnation of an edge.
#[derive(Clone)]
struct Handled<'a> {
    request: &'a Request,
    until: Micros,
    /// Oldest and newest revision that allow how the request was handled.
    oldest: u64,
    newest: u64,
}

fn handled_requests<'a>(
    records: &'a Records,
    runs: &'a BTreeMap<&str, Vec<&'a Run>>,
) -> impl Iterator<Item = (&'a Request, Allowed, Micros)> + 'a {
    records.requests.iter().filter_map(|request| {
        let own_runs: &[&Run] = runs.get(request.id.as_str()).map_or(&[], |runs| runs);
        let handling = handled_as(request, own_runs)?;
        let until = request.ended.as_ref().map_or(records.end, |(at, _)| *at);
        // the run may have started after the client gave up
        let until = own_runs.iter().map(|run| run.at).fold(until, Micros::max);
        Some((request, handling, until))
    })
}

/// Checks that each request sent later than the bound after an acknowledgement is handled by that revision or a newer
/// one.
pub(super) fn in_force(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let (changes, runs) = (PossibleChanges::of(records), records.runs_by_id());
    let mut findings = vec![];
    for (request, handling, until) in handled_requests(records, &runs) {
        let expected = changes.allowed(&request.path, request.sent.saturating_sub(bounds.in_force), until);
        if !expected.contains(&handling) {
            let Request { id, path, edge, incarnation, .. } = request;
            let description = format!(
                "{id} on {path} at {edge} (life {incarnation}) was handled as {handling:?}; allowed: {expected:?}"
            );
            findings.push(Finding { judge: "configuration in force", at: until, description });
        }
    }
    findings
}

/// Checks that one incarnation of an edge never goes back: no request is handled as only revisions allow that are older
/// than one already seen in a request that ended before this one was sent.
pub(super) fn never_reverted(records: &Records, _: &Bounds) -> Vec<Finding> {
    let (changes, runs) = (PossibleChanges::of(records), records.runs_by_id());
    let mut incarnations: BTreeMap<(&str, u64), Vec<Handled>> = BTreeMap::new();
    for (request, handling, until) in handled_requests(records, &runs) {
        if let Some((oldest, newest)) = changes.revisions_allowing(&request.path, handling) {
            let incarnation = (request.edge.as_str(), request.incarnation);
            incarnations.entry(incarnation).or_default().push(Handled { request, until, oldest, newest });
        }
    }
    let mut findings = vec![];
    for ((edge, incarnation), mut handled) in incarnations {
        handled.sort_by_key(|handled| handled.request.sent);
        let mut by_end = handled.clone();
        by_end.sort_by_key(|handled| handled.until);
        let (mut revision_seen, mut next_ended) = (0, 0);
        for Handled { request, until, newest, .. } in handled {
            while next_ended < by_end.len() && by_end[next_ended].until < request.sent {
                revision_seen = by_end[next_ended].oldest.max(revision_seen);
                next_ended += 1;
            }
            if newest < revision_seen {
                let description = format!(
                    "{edge} (life {incarnation}) had used revision {revision_seen}; {} used {newest} at most",
                    request.id
                );
                findings.push(Finding { judge: "never back", at: until, description });
            }
        }
    }
    findings
}

/// Checks that no read returns a revision older than one acknowledged before the read was sent.
pub(super) fn read_back(records: &Records, _: &Bounds) -> Vec<Finding> {
    let changes = PossibleChanges::of(records);
    let stale = records.reads.iter().filter_map(|read| {
        let oldest = changes.acknowledged_by(read.sent);
        let description =
            || format!("{} returned revision {} after {oldest} was acknowledged", read.node, read.revision);
        (read.revision < oldest).then(|| Finding { judge: "read-back", at: read.sent, description: description() })
    });
    stale.collect()
}

/// Checks that at most one change per base is accepted and that no invalid change is.
pub(super) fn accepted_changes(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = vec![];
    let mut accepted_by_base: BTreeMap<u64, u64> = BTreeMap::new();
    for change in &records.config_changes {
        let Some((at, ChangeResult::Acknowledged(revision))) = change.ended else { continue };
        if change.kind == ChangeKind::Invalid {
            let description = format!("invalid change {} was accepted as revision {revision}", change.number);
            findings.push(Finding { judge: "invalid order", at, description });
        }
        if let Some(other) = accepted_by_base.insert(change.base, change.number).filter(|other| *other != change.number)
        {
            let description =
                format!("changes {other} and {} were both accepted on base {}", change.number, change.base);
            findings.push(Finding { judge: "one winner", at, description });
        }
    }
    findings
}
