//! Texts of turns on disk: append-only segments beside the database, with an in-memory cache.
//!
//! The replicated state refers to a text by its place ([`TextPlace`]) and never contains it, as Bitcask and
//! WiscKey separate values from keys. Places are allocated by [`TextLog`], which is part of that state: all
//! members that apply the same entries allocate the same places, so their segments contain the same bytes. A
//! segment is deleted when none of its texts is referenced any more; nothing is ever rewritten.
//!
//! Durability: the log entry that adds a text contains it, and stays in the replicated log until a snapshot
//! covers it. Segments are therefore synced only before a snapshot is written. Writes that were torn or lost in
//! a power loss are repeated, at the same place, when the log after the snapshot is replayed.

mod files;
mod memory;
mod recent;
mod text_log;

pub use files::TextFiles;
pub use memory::MemoryTexts;
pub use recent::{StoredTexts, TextLocation};
pub use text_log::TextLog;

use bytes::Bytes;

messages! {
    /// The place of a text in the segments, with its checksum.
    #[derive(Copy, Eq, Hash)]
    pub struct TextPlace {
        #[n(0)] pub segment: u32,
        /// Offset in the segment, in bytes.
        #[n(1)] pub offset: u32,
        /// Length in bytes.
        #[n(2)] pub length: u32,
        /// CRC-32 of the text.
        #[n(3)] pub checksum: u32,
    }
}

impl TextPlace {
    /// Reports whether these bytes are the text that was written there.
    pub fn is_text(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length as usize && crc32fast::hash(bytes) == self.checksum
    }

    /// Returns the segment and offset of the text's first byte.
    pub fn start(&self) -> (u32, u32) {
        (self.segment, self.offset)
    }
}

/// A change of the segments; changes are carried out in order.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum TextOp {
    Write {
        place: TextPlace,
        text: Bytes,
    },
    /// Deletes a segment, in which no text is referenced any more.
    DropSegment(u32),
    /// Deletes all segments but these, because the state has been replaced.
    RetainSegments(Vec<u32>),
}

/// Result of reading a part of a segment.
#[derive(Debug, PartialEq)]
pub enum SegmentBytes {
    Bytes(Vec<u8>),
    /// It has not been written to disk yet.
    NotWritten,
    /// The segment has been deleted or can't be read.
    Gone,
}

/// Reads parts of segments, regardless of where texts begin or end.
pub trait SegmentSource: Send + Sync {
    fn read(&self, segment: u32, offset: u32, length: u32) -> SegmentBytes;
}

#[cfg(test)]
mod tests;
