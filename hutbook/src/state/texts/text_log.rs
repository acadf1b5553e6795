//! Hands out places in the segments, and knows which segments are still needed.

use super::{TextOp, TextPlace};
use crate::constants::SEGMENT_BYTES;
use bytes::Bytes;
use std::collections::BTreeMap;

messages! {
    /// What is named in one segment.
    #[derive(Copy, Default)]
    struct SegmentUse {
        #[n(0)] texts: u32,
        /// bytes. Written to it so far, whether named or not.
        #[n(1)] length: u32,
    }
    /// The part of a replicated state that says where texts lie. A segment ends with the text that
    /// reaches its size, so that none stands in two.
    #[derive(Default)]
    pub struct TextLog {
        /// The one that is written to.
        #[n(0)] segment: u32,
        #[n(1)] segments: BTreeMap<u32, SegmentUse>,
    }
}

impl TextLog {
    /// The place of a new text: the end of the newest segment. The write is added to `ops`.
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

    /// The text there is not named any more.
    pub fn forget(&mut self, place: &TextPlace, ops: &mut Vec<TextOp>) {
        if let Some(segment) = self.segments.get_mut(&place.segment) {
            segment.texts = segment.texts.saturating_sub(1);
        }
        self.drop_if_unused(place.segment, ops);
    }

    fn drop_if_unused(&mut self, segment: u32, ops: &mut Vec<TextOp>) {
        let unused = self.segments.get(&segment).is_some_and(|unused| unused.texts == 0);
        if unused && segment != self.segment {
            self.segments.remove(&segment);
            ops.push(TextOp::DropSegment(segment));
        }
    }

    /// Segments that hold named texts or are being written to, and how many bytes each has.
    pub fn segments(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.segments.iter().map(|(number, segment)| (*number, segment.length))
    }

    /// bytes. That the segments take on disk.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| u64::from(segment.length)).sum()
    }
}
