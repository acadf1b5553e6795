//! Cache of the newest texts, and access to all others on disk.

use super::files::{read, texts_folder};
use super::{SegmentBytes, SegmentSource, TextOp, TextPlace};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};

/// The location of a text.
#[derive(Debug, PartialEq)]
pub enum TextLocation {
    InMemory(Bytes),
    /// It must be read from disk.
    OnDisk,
}

/// Texts by place, which is the order in which they were written. Texts that are not on disk yet are always
/// retained; of the others, the newest that fit into the limit.
#[derive(Default)]
struct RecentTexts {
    texts: BTreeMap<(u32, u32), Bytes>,
    bytes: usize,
    /// Limit in bytes, which applies to texts that are on disk.
    max_bytes: usize,
    /// All texts before this place are on disk.
    written_to: (u32, u32),
    /// There are writes that have not been completed.
    writing: bool,
}

impl RecentTexts {
    fn evict(&mut self) {
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.texts.first_entry() else { return };
            if self.writing && *oldest.key() >= self.written_to {
                return;
            }
            self.bytes -= oldest.remove().len();
        }
    }
}

/// The texts of one replica: its segments, with a cache of limited size.
#[derive(Default)]
pub struct StoredTexts {
    folder: Option<PathBuf>,
    recent: Mutex<RecentTexts>,
}

impl StoredTexts {
    /// Returns the texts of this data folder, with a cache of `cache_bytes`.
    pub fn in_folder(data: &Path, cache_bytes: usize) -> StoredTexts {
        let recent = RecentTexts { max_bytes: cache_bytes, ..RecentTexts::default() };
        StoredTexts { folder: Some(texts_folder(data)), recent: Mutex::new(recent) }
    }

    fn recent(&self) -> MutexGuard<'_, RecentTexts> {
        self.recent.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Called when these changes are handed to the disk writer: the texts can be read from now on.
    pub fn begin_write(&self, ops: &[TextOp]) {
        let mut recent = self.recent();
        for op in ops {
            let TextOp::Write { place, text } = op else { continue };
            if !recent.writing {
                (recent.writing, recent.written_to) = (true, place.start());
            }
            // after a start, the replayed log writes its texts again
            recent.written_to = recent.written_to.min(place.start());
            if let Some(replaced) = recent.texts.insert(place.start(), text.clone()) {
                recent.bytes -= replaced.len();
            }
            recent.bytes += text.len();
        }
        recent.evict();
    }

    /// Called when these changes have been carried out.
    pub fn finish_write(&self, ops: &[TextOp]) {
        let mut recent = self.recent();
        let ends = ops.iter().filter_map(|op| match op {
            TextOp::Write { place, .. } => Some((place.segment, place.offset + place.length)),
            _ => None,
        });
        let Some(end) = ends.last() else { return };
        recent.written_to = end;
        recent.writing = recent.texts.range(end..).next().is_some();
        recent.evict();
    }

    /// Returns the text if it is in memory.
    pub fn find(&self, place: &TextPlace) -> TextLocation {
        match self.recent().texts.get(&place.start()) {
            Some(text) if place.is_text(text) => TextLocation::InMemory(text.clone()),
            _ => TextLocation::OnDisk,
        }
    }

    /// Returns the text from memory or disk. If it is missing or corrupt, logs an error and returns None.
    pub fn text(&self, place: &TextPlace) -> Option<Bytes> {
        if let TextLocation::InMemory(text) = self.find(place) {
            return Some(text);
        }
        let SegmentBytes::Bytes(bytes) = read(self.folder.as_ref()?, place.segment, place.offset, place.length) else {
            log::error!("segment {} at {}: a text of {} bytes is missing", place.segment, place.offset, place.length);
            return None;
        };
        if !place.is_text(&bytes) {
            log::error!("segment {} at {}: a text of {} bytes is damaged", place.segment, place.offset, place.length);
            return None;
        }
        Some(bytes.into())
    }

    /// Returns the bytes of texts in memory, including those that are not on disk yet.
    pub fn memory_bytes(&self) -> usize {
        self.recent().bytes
    }
}

impl SegmentSource for StoredTexts {
    fn read(&self, segment: u32, offset: u32, length: u32) -> SegmentBytes {
        {
            let recent = self.recent();
            if recent.writing && (segment, offset + length) > recent.written_to {
                return SegmentBytes::NotWritten;
            }
        }
        self.folder.as_ref().map_or(SegmentBytes::Gone, |folder| read(folder, segment, offset, length))
    }
}
