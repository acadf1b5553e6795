//! Evacuation of a zone, and taking it back.

use super::super::view::{Event, Server};
use super::messages::ControlResponse;
use super::Core;

impl Core {
    pub(super) fn evacuate(&mut self, rev: u64, cell: String, out: bool) -> ControlResponse {
        if let Some(r) = self.state.view.out.get(&cell).filter(|_| out) {
            return ControlResponse::Agreed(*r);
        }
        if out {
            let v = &self.state.view;
            // whoever passes work through says itself when nothing is left to take it
            let mut ours = v.servers.values().filter(|s| !v.passes(&s.group) && !s.listed_by_directory);
            let left = v.servers.values().any(|s| s.cell != cell && !v.out.contains_key(&s.cell) && !s.leaving);
            let passes = v.config.as_ref().is_some_and(|c| c.groups.values().any(|g| g.pass.is_some()));
            if !left && (!passes || ours.next().is_some()) {
                let why = format!("no server outside {cell} would be left to take its work");
                return ControlResponse::Refused { code: "last_cell".into(), why };
            }
        }
        if !out && self.state.view.out.contains_key(&cell) {
            // they may have turned cold meanwhile: cold until the directory says otherwise
            let v = &self.state.view;
            let back = v.servers.values().filter(|s| s.cell == cell && s.listed_by_directory).cloned();
            for s in back.collect::<Vec<_>>() {
                self.emit(rev, Event::Server(Server { cold: true, since: rev, ..s }));
            }
        }
        self.emit(rev, Event::Cell { cell, out });
        self.done(rev)
    }
}
