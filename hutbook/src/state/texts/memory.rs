//! Segments in memory, for replicas without a disk in simulations and tests.

use super::{SegmentBytes, SegmentSource, TextOp, TextPlace};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// Segments as they would be on a disk, without writes that have not been carried out yet.
#[derive(Default)]
pub struct MemoryTexts(Mutex<BTreeMap<u32, Vec<u8>>>);

impl MemoryTexts {
    fn segments(&self) -> MutexGuard<'_, BTreeMap<u32, Vec<u8>>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Carries out a change. It is idempotent.
    pub fn apply(&self, op: &TextOp) {
        match op {
            TextOp::Write { place, text } => self.write_at(place.segment, place.offset, text),
            TextOp::DropSegment(segment) => drop(self.segments().remove(segment)),
            TextOp::RetainSegments(segments) => self.segments().retain(|number, _| segments.contains(number)),
        }
    }

    /// Writes bytes of a segment, which may cover several texts.
    pub fn write_at(&self, segment: u32, offset: u32, bytes: &[u8]) {
        let mut segments = self.segments();
        let segment_bytes = segments.entry(segment).or_default();
        let (start, end) = (offset as usize, offset as usize + bytes.len());
        if segment_bytes.len() < end {
            segment_bytes.resize(end, 0);
        }
        segment_bytes[start..end].copy_from_slice(bytes);
    }

    /// Corrupts or truncates a segment, as a faulty disk might.
    pub fn corrupt(&self, segment: u32, damage: impl FnOnce(&mut Vec<u8>)) {
        if let Some(segment_bytes) = self.segments().get_mut(&segment) {
            damage(segment_bytes);
        }
    }

    /// Returns the text if it is intact.
    pub fn text(&self, place: &TextPlace) -> Option<Bytes> {
        let segments = self.segments();
        let start = place.offset as usize;
        let bytes = segments.get(&place.segment)?.get(start..start + place.length as usize)?;
        place.is_text(bytes).then(|| Bytes::copy_from_slice(bytes))
    }

    /// Returns the total size of all segments, in bytes.
    pub fn len(&self) -> usize {
        self.segments().values().map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl SegmentSource for MemoryTexts {
    fn read(&self, segment: u32, offset: u32, length: u32) -> SegmentBytes {
        let segments = self.segments();
        let range = offset as usize..(offset + length) as usize;
        match segments.get(&segment).and_then(|segment_bytes| segment_bytes.get(range)) {
            Some(bytes) => SegmentBytes::Bytes(bytes.to_vec()),
            // writes are atomic here: a missing part of the newest segment may still be written
            None if segments.last_key_value().is_none_or(|(newest, _)| *newest <= segment) => SegmentBytes::NotWritten,
            None => SegmentBytes::Gone,
        }
    }
}
