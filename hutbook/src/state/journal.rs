//! An in-memory journal: events in order, and views folded from them.

use std::collections::VecDeque;

/// Keeps the newest `cap` events, each with the revision it made.
pub struct Journal<E> {
    events: VecDeque<(u64, E)>,
    cap: usize,
    /// Everything up to here has been let go.
    gone: u64,
}

impl<E: Clone> Journal<E> {
    pub fn new(cap: usize, gone: u64) -> Self {
        Journal { events: VecDeque::new(), cap, gone }
    }

    pub fn append(&mut self, rev: u64, e: E) {
        self.events.push_back((rev, e));
        // events of one revision go together, or a reader would see half of it
        while self.events.len() > self.cap {
            let gone = self.events.front().map_or(0, |(r, _)| *r);
            self.gone = gone;
            while self.events.front().is_some_and(|(r, _)| *r == gone) {
                self.events.pop_front();
            }
        }
    }

    /// Every event after `rev`, or None when some of them are gone already.
    pub fn since(&self, rev: u64) -> Option<Vec<(u64, E)>> {
        if rev < self.gone {
            return None;
        }
        let at = self.events.partition_point(|(r, _)| *r <= rev);
        Some(self.events.iter().skip(at).cloned().collect())
    }
}

#[cfg(test)]
mod tests;
