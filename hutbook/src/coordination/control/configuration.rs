//! Configurations: compare-and-set on the version in force, each change decided exactly once.
//!
//! A change is identified by the operator's change id, or by its version, number and digest together,
//! never by the document that results from it. Accepted changes are recorded in the state, so a repeat
//! gets its first outcome from any member, also after a restart. Versions only increase, so a change
//! based on a superseded version is always refused by the version rule itself.

use super::super::view::{hash, Event};
use super::messages::ControlResponse;
use super::ControlStateMachine;
use crate::constants::*;
use crate::state::config::Config;
use sha2::Digest;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Digest that identifies a text: half of its SHA-256.
pub type TextDigest = [u8; 16];

/// Returns the digest of a text as an operator sent it.
pub fn text_digest(text: &str) -> TextDigest {
    let digest = sha2::Sha256::digest(text.as_bytes());
    digest[..16].try_into().expect("a SHA-256 has 32 bytes")
}

/// Identity of a change: the same for each copy of one request, whichever node received it.
#[derive(Clone)]
pub struct ChangeIdentity {
    /// Version that the change is based on.
    pub base_version: u64,
    /// The operator's own number, which must increase; 0 if it gives none.
    pub number: u64,
    /// The change id.
    pub change_id: String,
    /// Digest of the content that was requested under that id.
    pub content_digest: u64,
}

messages! {
    /// Record of an accepted configuration. It outlives the configuration's text.
    struct AcceptedConfig {
        #[cbor(n(0), with = "minicbor::bytes")] identity: TextDigest,
        #[n(1)] revision: u64,
        #[n(2)] number: u64,
        #[n(3)] content_digest: u64,
    }
    /// A change refused because it is based on a version that does not exist yet. It is recorded
    /// until that version has been superseded: from then on the version rule refuses it.
    struct RefusedPremature {
        #[cbor(n(0), with = "minicbor::bytes")] identity: TextDigest,
        #[n(1)] base_version: u64,
        /// The version in force when it was refused.
        #[n(2)] lost_to: u64,
    }
    /// Outcomes of changes that the version rule can't determine by itself.
    #[derive(Default)]
    pub(super) struct ChangeOutcomes {
        /// Oldest first; both revisions and numbers increase.
        #[n(0)] accepted: VecDeque<AcceptedConfig>,
        #[n(1)] refused_premature: Vec<RefusedPremature>,
        /// Newest revision and number that are no longer recorded.
        #[n(2)] dropped_revision: u64,
        #[n(3)] dropped_number: u64,
    }
}

/// Ruling on a change, determined by the log entries before it.
enum Ruling {
    Accepted,
    /// Refused or undecidable, with the same response whenever the change is repeated.
    Answered(ControlResponse),
    /// The change is based on a version that does not exist yet.
    Premature,
}

impl ChangeOutcomes {
    fn record(&mut self, accepted: AcceptedConfig) {
        self.accepted.push_back(accepted);
        while self.accepted.len() > MAX_ACCEPTED_CONFIGS {
            if let Some(oldest) = self.accepted.pop_front() {
                self.dropped_revision = self.dropped_revision.max(oldest.revision);
                self.dropped_number = self.dropped_number.max(oldest.number);
            }
        }
    }

    /// Returns the first response to this change, if it is recorded.
    fn first_response(&self, change: &ChangeIdentity) -> Option<ControlResponse> {
        let identity = text_digest(&change.change_id);
        if let Some(first) = self.accepted.iter().rev().find(|accepted| accepted.identity == identity) {
            if first.content_digest != change.content_digest {
                let why = "this change id was used for another document".to_string();
                return Some(ControlResponse::Refused { code: "change_reused".into(), why });
            }
            return Some(ControlResponse::Committed(first.revision));
        }
        let same =
            |refused: &&RefusedPremature| refused.identity == identity && refused.base_version == change.base_version;
        self.refused_premature.iter().find(same).map(|refused| ControlResponse::Conflict(refused.lost_to))
    }

    /// Returns the version that superseded `base_version`: the one that a late change lost to.
    fn superseding_version(&self, change: &ChangeIdentity, current: u64) -> u64 {
        let version = |accepted: &AcceptedConfig| if change.number > 0 { accepted.number } else { accepted.revision };
        self.accepted.iter().map(version).find(|version| *version > change.base_version).unwrap_or(current)
    }
}

impl ControlStateMachine {
    /// Returns the version that a change of this kind must be based on.
    fn current_version(&self, change: &ChangeIdentity) -> u64 {
        let view = &self.state.view;
        if change.number > 0 {
            view.config_number
        } else {
            view.config_revision
        }
    }

    /// Decides by the versions alone. A refusal here is final: versions only increase.
    fn rule_by_version(&self, change: &ChangeIdentity) -> Ruling {
        let outcomes = &self.state.change_outcomes;
        let current = self.current_version(change);
        let numbered = change.number > 0;
        if numbered && change.number <= change.base_version {
            return Ruling::Answered(ControlResponse::Conflict(change.base_version));
        }
        if !numbered && self.state.view.config_number > 0 {
            // otherwise the number could decrease, and one number could identify two configurations
            let why = "configurations of this cluster are numbered by their operator".to_string();
            return Ruling::Answered(ControlResponse::Refused { code: "numbered".into(), why });
        }
        let is_dropped = if numbered {
            change.number <= outcomes.dropped_number
        } else {
            change.base_version < outcomes.dropped_revision
        };
        if is_dropped {
            let why = "changes as old as this one are no longer remembered".to_string();
            return Ruling::Answered(ControlResponse::Unclear(why));
        }
        if change.base_version < current {
            return Ruling::Answered(ControlResponse::Conflict(outcomes.superseding_version(change, current)));
        }
        if change.base_version > current {
            return Ruling::Premature;
        }
        Ruling::Accepted
    }

    /// Refuses a change based on a version that does not exist yet, and records that it stays refused once it does.
    fn refuse_premature(&mut self, change: &ChangeIdentity) -> ControlResponse {
        let lost_to = self.current_version(change);
        let refused = &mut self.state.change_outcomes.refused_premature;
        if refused.len() >= MAX_REFUSED_CONFIGS {
            return ControlResponse::Unclear("too many changes build on versions that do not exist".into());
        }
        let identity = text_digest(&change.change_id);
        refused.push(RefusedPremature { identity, base_version: change.base_version, lost_to });
        ControlResponse::Conflict(lost_to)
    }

    /// Returns the first outcome of a change that is sent again.
    pub(super) fn known_outcome(&self, change: &ChangeIdentity) -> Option<ControlResponse> {
        self.state.change_outcomes.first_response(change)
    }

    /// Decides a change by its identity alone: its document could not be computed, since the
    /// version in force is not the one that it is based on.
    pub(super) fn decide_without_document(&mut self, change: &ChangeIdentity) -> ControlResponse {
        if let Some(first) = self.known_outcome(change) {
            return first;
        }
        match self.rule_by_version(change) {
            Ruling::Answered(response) => response,
            Ruling::Premature => self.refuse_premature(change),
            Ruling::Accepted => ControlResponse::Unclear("the version it builds on came into force only now".into()),
        }
    }

    pub(super) fn put_config(
        &mut self,
        revision: u64,
        change: ChangeIdentity,
        text: String,
        config: Config,
    ) -> ControlResponse {
        if let Some(first) = self.known_outcome(&change) {
            return first;
        }
        match self.rule_by_version(&change) {
            Ruling::Answered(response) => return response,
            Ruling::Premature => return self.refuse_premature(&change),
            Ruling::Accepted => {}
        }
        let number = change.number;
        self.record_accepted(revision, &change);
        self.state.configs.push_back((revision, text.clone(), change.change_id));
        self.drop_oldest_texts();
        // a group whose bounds changed keeps its count within them
        for (name, group) in &config.groups {
            // a proxied group starts with all its servers, until the scaler decides otherwise
            if group.proxy.is_some() && !self.state.view.wanted_counts.contains_key(name) {
                continue;
            }
            let wanted = self
                .state
                .view
                .wanted_counts
                .get(name)
                .copied()
                .unwrap_or(group.min_servers)
                .clamp(group.min_servers, group.max_servers);
            self.emit(revision, Event::WantedCount { group: name.clone(), count: wanted });
        }
        self.emit(revision, Event::Config { text, config, number });
        self.settle_and_respond(revision)
    }

    /// Drops the oldest configuration texts beyond the bounds on their number and bytes, but never the one in
    /// force.
    fn drop_oldest_texts(&mut self) {
        let configs = &mut self.state.configs;
        let mut bytes: usize = configs.iter().map(|(_, text, _)| text.len()).sum();
        while configs.len() > 1 && (configs.len() > MAX_RETAINED_CONFIGS || bytes > MAX_CONFIG_TEXTS_BYTES) {
            let dropped = configs.pop_front();
            bytes -= dropped.map_or(0, |(_, text, _)| text.len());
        }
    }

    fn record_accepted(&mut self, revision: u64, change: &ChangeIdentity) {
        let outcomes = &mut self.state.change_outcomes;
        let version = if change.number > 0 { change.number } else { revision };
        outcomes.refused_premature.retain(|refused| refused.base_version >= version);
        let identity = text_digest(&change.change_id);
        let content_digest = change.content_digest;
        outcomes.record(AcceptedConfig { identity, revision, number: change.number, content_digest });
    }

    /// Migrates the changes recorded by an earlier version, which kept only a few of them, by their ids. A change
    /// that it no longer recorded can't be told from one that never existed.
    pub(super) fn migrate_old_changes(&mut self) {
        let old_changes = std::mem::take(&mut self.state.old_changes);
        if old_changes.is_empty() {
            return;
        }
        let (revision, number) = (self.state.view.config_revision, self.state.view.config_number);
        let outcomes = &mut self.state.change_outcomes;
        outcomes.dropped_revision = outcomes.dropped_revision.max(revision);
        outcomes.dropped_number = outcomes.dropped_number.max(number);
        for (change, accepted, revision, content_digest) in old_changes {
            if accepted {
                let identity = text_digest(&change);
                outcomes.accepted.push_back(AcceptedConfig { identity, revision, number: 0, content_digest });
            }
        }
    }
}

/// Returns the digest that identifies the document of an unnumbered change.
pub(super) fn document_digest(text: &str) -> u64 {
    hash(text)
}
