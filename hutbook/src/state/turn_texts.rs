//! Cache of the texts of recent turns that this edge handled: for a turn that continues them, the store needs to send
//! only their names.

use crate::constants::TURN_TEXT_OVERHEAD_BYTES;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// Input and answer of one turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnText {
    pub turn: String,
    /// The turn that it continues; empty for a first turn.
    pub previous_turn: String,
    pub input: Bytes,
    pub answer: Bytes,
}

impl TurnText {
    fn bytes(&self) -> usize {
        self.input.len() + self.answer.len() + self.turn.len() * 3 + self.previous_turn.len() + TURN_TEXT_OVERHEAD_BYTES
    }
}

/// A cache of limited size; the oldest texts are evicted first.
#[derive(Default)]
pub struct TurnTexts {
    limit: usize,
    size: usize,
    by_turn: HashMap<String, TurnText>,
    eviction_queue: VecDeque<String>,
}

impl TurnTexts {
    /// Returns an empty cache with a limit in bytes.
    pub fn new(limit: usize) -> TurnTexts {
        TurnTexts { limit, ..TurnTexts::default() }
    }

    /// Changes the limit, in bytes.
    pub fn set_limit(&mut self, bytes: usize) {
        self.limit = bytes;
        self.evict_oldest();
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        self.size
    }

    pub fn insert(&mut self, text: TurnText) {
        if text.bytes() > self.limit || self.by_turn.contains_key(&text.turn) {
            return;
        }
        self.size += text.bytes();
        self.eviction_queue.push_back(text.turn.clone());
        self.by_turn.insert(text.turn.clone(), text);
        self.evict_oldest();
    }

    /// Returns the chain that ends with this turn, newest first, as far back as it is cached without a gap.
    pub fn chain(&self, turn: &str) -> Vec<TurnText> {
        let mut chain: Vec<TurnText> = vec![];
        let mut next = turn;
        while let Some(text) = self.by_turn.get(next) {
            // guards against a cycle in the names that clients send
            if chain.len() > self.by_turn.len() {
                return vec![];
            }
            chain.push(text.clone());
            next = &text.previous_turn;
        }
        chain
    }

    fn evict_oldest(&mut self) {
        while self.size > self.limit {
            let Some(turn) = self.eviction_queue.pop_front() else { return };
            if let Some(text) = self.by_turn.remove(&turn) {
                self.size -= text.bytes();
            }
        }
    }
}

#[cfg(test)]
mod tests;
