//! Allocates places in the segments, and tracks which segments are in use.

use super::{TextOp, TextPlace};
use crate::constants::SEGMENT_BYTES;
use bytes::Bytes;
use std::collections::BTreeMap;

messages! {
    /// Usage of one segment.
    #[derive(Copy, Default)]
    struct SegmentUse {
        #[n(0)] texts: u32,
        /// Bytes written so far, whether still referenced or not.
        #[n(1)] length: u32,
    }
    /// The part of the replicated state that allocates places of texts. A segment ends with the text that reaches
    /// the segment size, so that no text spans two segments.
    #[derive(Default)]
    pub struct TextLog {
        /// The segment that is being written.
        #[n(0)] segment: u32,
        #[n(1)] segments: BTreeMap<u32, SegmentUse>,
    }
}

impl TextLog {
    /// Allocates a place for a new text at the end of the newest segment, and adds the write to `ops`.
    pub fn append(&mut self, text: Bytes, ops: &mut Vec<TextOp>) -> TextPlace {
        if self.segments.get(&self.segment).is_some_and(|newest| newest.length >= SEGMENT_BYTES) {
            self.segment += 1;
            self.drop_if_unused(self.segment - 1, ops);
        }
        let newest = self.segments.entry(self.segment).or_default();
        let place = TextPlace {
            segment: self.segment,
            offset: newest.length,
            length: text.len() as u32,
            checksum: crc32fast::hash(&text),
        };
        newest.texts += 1;
        newest.length += place.length;
        ops.push(TextOp::Write { place, text });
        place
    }

    /// Called when the text at this place is not referenced any more.
    pub fn forget(&mut self, place: &TextPlace, ops: &mut Vec<TextOp>) {
        if let Some(segment) = self.segments.get_mut(&place.segment) {
            segment.texts = segment.texts.saturating_sub(1);
        }
        self.drop_if_unused(place.segment, ops);
    }

    fn drop_if_unused(&mut self, segment: u32, ops: &mut Vec<TextOp>) {
        let is_unused = self.segments.get(&segment).is_some_and(|unused| unused.texts == 0);
        if is_unused && segment != self.segment {
            self.segments.remove(&segment);
            ops.push(TextOp::DropSegment(segment));
        }
    }

    /// Returns the segments with referenced texts and the one being written, with their lengths in bytes.
    pub fn segments(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.segments.iter().map(|(number, segment)| (*number, segment.length))
    }

    /// Returns the bytes that the segments take on disk.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| u64::from(segment.length)).sum()
    }
}
