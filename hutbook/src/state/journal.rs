//! An in-memory journal: events in order, and views folded from them.

use std::collections::VecDeque;

/// One event with the revision it made and the bytes it takes in memory.
struct Recorded<E> {
    revision: u64,
    bytes: usize,
    event: E,
}

/// Keeps the newest events, bounded by their number and by the bytes they take.
pub struct Journal<E> {
    events: VecDeque<Recorded<E>>,
    max_events: usize,
    max_bytes: usize,
    /// bytes. Of the events that are kept.
    bytes: usize,
    /// Everything up to here has been let go.
    gone: u64,
}

impl<E: Clone> Journal<E> {
    /// An empty journal whose events up to revision `gone` are not to be had.
    pub fn new(max_events: usize, max_bytes: usize, gone: u64) -> Self {
        Journal { events: VecDeque::new(), max_events, max_bytes, bytes: 0, gone }
    }

    /// Adds an event that takes so many bytes in memory.
    pub fn append(&mut self, revision: u64, event: E, bytes: usize) {
        self.events.push_back(Recorded { revision, bytes, event });
        self.bytes += bytes;
        while self.events.len() > self.max_events || self.bytes > self.max_bytes {
            self.drop_oldest_revision();
        }
    }

    /// Events of one revision go together, or a reader would see half of it.
    fn drop_oldest_revision(&mut self) {
        let Some(oldest) = self.events.front().map(|recorded| recorded.revision) else { return };
        self.gone = oldest;
        while self.events.front().is_some_and(|recorded| recorded.revision == oldest) {
            let dropped = self.events.pop_front();
            self.bytes -= dropped.map_or(0, |recorded| recorded.bytes);
        }
    }

    /// Every event after `revision`, or None when some of them are gone already.
    pub fn since(&self, revision: u64) -> Option<Vec<(u64, E)>> {
        if revision < self.gone {
            return None;
        }
        let first = self.events.partition_point(|recorded| recorded.revision <= revision);
        Some(self.events.iter().skip(first).map(|recorded| (recorded.revision, recorded.event.clone())).collect())
    }

    /// bytes. Of the events that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests;
