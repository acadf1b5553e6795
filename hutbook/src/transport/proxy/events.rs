//! Parser for the events of one stream: complete events are forwarded, counted, and their data is collected.

use bytes::{Bytes, BytesMut};

#[derive(Default)]
pub(super) struct EventParser {
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
    /// Length of the part of `partial` in which no event ends.
    searched: usize,
    /// Number of events with data.
    pub(super) count: u64,
    pub(super) last_id: Option<String>,
    /// Data of each event followed by a line feed, if the turn is retained.
    data: Option<Vec<u8>>,
}

impl EventParser {
    pub(super) fn new(keeps_data: bool) -> EventParser {
        EventParser { data: keeps_data.then(Vec::new), ..EventParser::default() }
    }

    /// Returns the events that these bytes complete, unchanged.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Bytes {
        let mut partial = std::mem::take(&mut self.partial);
        partial.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some(end) = end_of_event(&partial, self.searched.max(complete)) {
            self.inspect(&partial[complete..end]);
            complete = end;
        }
        let events = partial.split_to(complete).freeze();
        // an empty line may have begun with the last two bytes
        self.searched = partial.len().saturating_sub(2);
        self.partial = partial;
        events
    }

    /// Returns the bytes that it holds of an event that is not complete yet.
    pub(super) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the bytes of data that it has collected.
    pub(super) fn data_bytes(&self) -> usize {
        self.data.as_ref().map_or(0, Vec::len)
    }

    fn inspect(&mut self, event: &[u8]) {
        let mut has_data = false;
        for line in event.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let field = |name: &[u8]| line.strip_prefix(name).map(|value| value.strip_prefix(b" ").unwrap_or(value));
            if let Some(value) = field(b"data:") {
                has_data = true;
                if let Some(data) = &mut self.data {
                    // the data lines of one event are joined by line feeds
                    data.extend_from_slice(value);
                    data.push(b'\n');
                }
            } else if let Some(value) = field(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(value).into_owned());
            }
        }
        self.count += u64::from(has_data);
    }

    /// Returns whether no event is incomplete, so that the stream may end here.
    pub(super) fn is_complete(&self) -> bool {
        self.partial.is_empty() && self.count > 0
    }

    /// Discards the bytes of an incomplete event.
    pub(super) fn drop_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    pub(super) fn take_data(&mut self) -> Vec<u8> {
        self.data.take().unwrap_or_default()
    }
}

/// Returns where the first event ends that ends after `searched`, including its empty line.
fn end_of_event(bytes: &[u8], searched: usize) -> Option<usize> {
    let mut position = searched;
    while let Some(newline) = bytes[position..].iter().position(|byte| *byte == b'\n') {
        position += newline + 1;
        match bytes.get(position) {
            Some(b'\n') => return Some(position + 1),
            Some(b'\r') if bytes.get(position + 1) == Some(&b'\n') => return Some(position + 2),
            _ => {}
        }
    }
    None
}
