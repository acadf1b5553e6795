//! An in-memory journal of events in order, from which views are derived.

use std::collections::VecDeque;

/// An event with its revision and the bytes it takes in memory.
struct Recorded<E> {
    revision: u64,
    bytes: usize,
    event: E,
}

/// The newest events, limited by their number and by the bytes they take.
pub struct Journal<E> {
    events: VecDeque<Recorded<E>>,
    max_events: usize,
    max_bytes: usize,
    /// Bytes that the retained events take.
    bytes: usize,
    /// Events up to this revision have been dropped.
    dropped_to: u64,
}

impl<E: Clone> Journal<E> {
    /// Returns an empty journal whose events up to revision `dropped_to` are not available.
    pub fn new(max_events: usize, max_bytes: usize, dropped_to: u64) -> Self {
        Journal { events: VecDeque::new(), max_events, max_bytes, bytes: 0, dropped_to }
    }

    /// Appends an event that takes so many bytes in memory.
    pub fn append(&mut self, revision: u64, event: E, bytes: usize) {
        self.events.push_back(Recorded { revision, bytes, event });
        self.bytes += bytes;
        while self.events.len() > self.max_events || self.bytes > self.max_bytes {
            self.drop_oldest_revision();
        }
    }

    /// Drops all events of the oldest revision together, so that no reader gets a part of a revision.
    fn drop_oldest_revision(&mut self) {
        let Some(oldest) = self.events.front().map(|recorded| recorded.revision) else { return };
        self.dropped_to = oldest;
        while self.events.front().is_some_and(|recorded| recorded.revision == oldest) {
            let dropped = self.events.pop_front();
            self.bytes -= dropped.map_or(0, |recorded| recorded.bytes);
        }
    }

    /// Returns all events after `revision`, or None if some of them have been dropped.
    pub fn since(&self, revision: u64) -> Option<Vec<(u64, E)>> {
        if revision < self.dropped_to {
            return None;
        }
        let first = self.events.partition_point(|recorded| recorded.revision <= revision);
        Some(self.events.iter().skip(first).map(|recorded| (recorded.revision, recorded.event.clone())).collect())
    }

    /// Returns the bytes that the retained events take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests;
