//! Texts of turns on disk: append-only segments beside the database, and what of them is in memory.
//!
//! A replicated state names a text by where it lies ([`TextPlace`]) and never holds it. Places are handed
//! out by [`TextLog`], which is part of that state: every member that applies the same entries hands out the
//! same places, so segments of different members hold the same bytes (as Bitcask and WiscKey keep values
//! apart from keys). A segment goes when no text in it is named any more; nothing is ever rewritten.
//!
//! Durability: the entry that brings a text is in the replicated log, with the text, until a snapshot covers
//! it. Segments are therefore synced only before a snapshot is written, and what is torn or lost by a loss of
//! power is written again, to the same place, when the log after the snapshot is applied again.

mod files;
mod memory;
mod recent;
mod text_log;

pub use files::TextFiles;
pub use memory::MemoryTexts;
pub use recent::{Found, StoredTexts};
pub use text_log::TextLog;

use bytes::Bytes;

messages! {
    /// Where a text lies, and how it is recognized.
    #[derive(Copy, Eq, Hash)]
    pub struct TextPlace {
        #[n(0)] pub segment: u32,
        /// bytes. From the segment's start.
        #[n(1)] pub offset: u32,
        /// bytes.
        #[n(2)] pub length: u32,
        /// CRC-32 of the text.
        #[n(3)] pub checksum: u32,
    }
}

impl TextPlace {
    /// Is this the text that was put there?
    pub fn is_text(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length as usize && crc32fast::hash(bytes) == self.checksum
    }

    /// Where the text's first byte lies: segment, then offset.
    pub fn start(&self) -> (u32, u32) {
        (self.segment, self.offset)
    }
}

/// A change of the segments, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum TextOp {
    Write {
        place: TextPlace,
        text: Bytes,
    },
    /// No text in this segment is named any more.
    DropSegment(u32),
    /// The state has been replaced: all segments but these go.
    RetainSegments(Vec<u32>),
}

/// What there is of a part of a segment.
#[derive(Debug, PartialEq)]
pub enum SegmentBytes {
    Bytes(Vec<u8>),
    /// It is still on its way to the disk.
    NotWritten,
    /// The segment has gone, or can't be read.
    Gone,
}

/// Reads parts of segments, whatever they hold.
pub trait SegmentSource: Send + Sync {
    fn read(&self, segment: u32, offset: u32, length: u32) -> SegmentBytes;
}

#[cfg(test)]
mod tests;
