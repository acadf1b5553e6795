//! Configurations: which change is accepted, and what a repeated one is answered.

use super::super::view::Event;
use super::messages::ControlResponse;
use super::Core;
use crate::constants::*;
use crate::state::config::Config;

impl Core {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn put_config(
        &mut self,
        rev: u64,
        base_version: u64,
        change: String,
        text: String,
        config: Config,
        number: u64,
        content_digest: u64,
    ) -> ControlResponse {
        if let Some(t) = self.changed(&change, content_digest) {
            return t;
        }
        // an operator who numbers configs builds on those numbers, and they rise
        let v = &self.state.view;
        let cur = if number > 0 { v.config_number } else { v.config_rev };
        let accepted = base_version == cur && (number == 0 || number > cur);
        self.state.changes.push_back((change.clone(), accepted, if accepted { rev } else { cur }, content_digest));
        if self.state.changes.len() > CHANGES_KEPT {
            self.state.changes.pop_front();
        }
        if !accepted {
            return ControlResponse::Raced(cur);
        }
        self.state.configs.push_back((rev, text.clone(), change));
        if self.state.configs.len() > CONFIGS_KEPT {
            self.state.configs.pop_front();
        }
        // a group whose bounds moved keeps its count inside them
        for (n, g) in &config.groups {
            // work passed through starts with all there are, until the scaler says otherwise
            if g.pass.is_some() && !self.state.view.wanted.contains_key(n) {
                continue;
            }
            let c = self.state.view.wanted.get(n).copied().unwrap_or(g.least).clamp(g.least, g.most);
            self.emit(rev, Event::Wanted { group: n.clone(), count: c });
        }
        self.emit(rev, Event::Config { text, config, number });
        self.done(rev)
    }

    /// The first verdict on a change that was sent again.
    pub(super) fn changed(&self, change: &str, content_digest: u64) -> Option<ControlResponse> {
        let c = self.state.changes.iter().find(|c| c.0 == change)?;
        if c.3 != content_digest {
            let why = "this change id was used for another document".to_string();
            return Some(ControlResponse::Refused { code: "change_reused".into(), why });
        }
        Some(if c.1 { ControlResponse::Agreed(c.2) } else { ControlResponse::Raced(c.2) })
    }
}
