//! The bytes of a snapshot, in chunks.
//!
//! A snapshot is decoded chunk by chunk, and each chunk is freed as soon as it has been read, so that a state
//! that is being restored is never in memory twice. The bytes are a single CBOR item. Texts that the state
//! refers to are not included: they are stored in segments on disk.
//!
//! A snapshot has several owners: Raft, which sends it to members that lag behind, and the queue of the disk
//! writer. All of them have handles to the same bytes, so that a restore can free the bytes for all owners at once
//! (`drain`), and then give all of them the bytes of an equal snapshot of the restored state (`share`).

use super::texts::{SegmentBytes, SegmentSource};
use bytes::Bytes;
use minicbor::decode::{self, Decode, Decoder};
use minicbor::encode::{self, Encoder};
use std::sync::{Arc, Mutex, MutexGuard};

/// The bytes of a snapshot. Clones are handles to the same bytes.
#[derive(Clone, Default)]
pub struct SnapshotData(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    chunks: Vec<Bytes>,
    len: usize,
    digest: Option<u32>,
    texts: Option<Arc<SnapshotTexts>>,
}

/// The segments that a snapshot's state refers to. They are on disk, not part of the snapshot's bytes, and are
/// sent to another member before those.
pub struct SnapshotTexts {
    source: Arc<dyn SegmentSource>,
    /// Segment numbers with their lengths in bytes, in order.
    segments: Vec<(u32, u32)>,
}

/// A range of bytes of one segment, to be sent to another member.
#[derive(Debug, PartialEq)]
pub struct SegmentPart {
    pub segment: u32,
    pub offset: u32,
    /// Length of the range in bytes; `bytes` is empty if the segment has been deleted.
    pub length: u32,
    pub bytes: Vec<u8>,
}

/// Returns the position of a byte as one number, which increases over the segments.
fn position(segment: u32, offset: u32) -> u64 {
    u64::from(segment) << u32::BITS | u64::from(offset)
}

impl SegmentPart {
    /// Returns the position after the last byte.
    pub fn end(&self) -> u64 {
        position(self.segment, self.offset + self.length)
    }
}

impl SnapshotTexts {
    pub fn new(source: Arc<dyn SegmentSource>, segments: Vec<(u32, u32)>) -> SnapshotTexts {
        SnapshotTexts { source, segments }
    }

    /// Returns the position after the last byte; 0 without segments.
    pub fn end(&self) -> u64 {
        self.segments.last().map_or(0, |(segment, length)| position(*segment, *length))
    }

    /// Returns up to `max_length` bytes of one segment, starting at the position `after` or at the next byte that
    /// exists. The part is empty at the end, and None while the bytes have not been written to disk yet.
    pub fn part(&self, after: u64, max_length: u32) -> Option<SegmentPart> {
        let next = self.segments.iter().find(|(segment, length)| after < position(*segment, *length));
        let Some((segment, length)) = next.copied() else {
            return Some(SegmentPart { segment: 0, offset: 0, length: 0, bytes: vec![] });
        };
        let offset = after.saturating_sub(position(segment, 0)) as u32;
        let part_length = max_length.min(length - offset);
        let bytes = match self.source.read(segment, offset, part_length) {
            SegmentBytes::Bytes(bytes) => bytes,
            SegmentBytes::NotWritten => return None,
            SegmentBytes::Gone => vec![],
        };
        Some(SegmentPart { segment, offset, length: part_length, bytes })
    }
}

impl SnapshotData {
    /// Returns the concatenation of these chunks.
    pub fn from_chunks(chunks: Vec<Bytes>) -> SnapshotData {
        let chunks: Vec<Bytes> = chunks.into_iter().filter(|chunk| !chunk.is_empty()).collect();
        let len = chunks.iter().map(Bytes::len).sum();
        SnapshotData(Arc::new(Mutex::new(Inner { chunks, len, digest: None, texts: None })))
    }

    /// Attaches the segments that the state refers to.
    pub fn with_texts(self, texts: SnapshotTexts) -> SnapshotData {
        self.lock().texts = Some(Arc::new(texts));
        self
    }

    /// Returns the segments that the state refers to, if it stores texts on disk.
    pub fn texts(&self) -> Option<Arc<SnapshotTexts>> {
        self.lock().texts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.lock().len
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the CRC-32 of the bytes, computed once. It serves to detect corruption, and costs a hundredth of a
    /// cryptographic hash.
    pub fn digest(&self) -> u32 {
        let mut inner = self.lock();
        let Inner { chunks, digest, .. } = &mut *inner;
        *digest.get_or_insert_with(|| {
            let mut hash = crc32fast::Hasher::new();
            chunks.iter().for_each(|chunk| hash.update(chunk));
            hash.finalize()
        })
    }

    /// Returns a copy of up to `max_length` bytes, starting at `offset`.
    pub fn copy_from(&self, offset: usize, max_length: usize) -> Vec<u8> {
        let inner = self.lock();
        let end = inner.len.min(offset.saturating_add(max_length));
        let mut copy = Vec::with_capacity(end.saturating_sub(offset));
        let mut start = 0;
        for chunk in &inner.chunks {
            let (from, to) = (offset.max(start), end.min(start + chunk.len()));
            if from < to {
                copy.extend_from_slice(&chunk[from - start..to - start]);
            }
            start += chunk.len();
            if start >= end {
                break;
            }
        }
        copy
    }

    /// Iterates over copies of `size` bytes each; the last one may be shorter. Each is made when it is requested.
    pub fn chunks(&self, size: usize) -> impl Iterator<Item = Vec<u8>> {
        let mut chunks = self.lock().chunks.clone().into_iter();
        let mut rest = Bytes::new();
        std::iter::from_fn(move || {
            let mut chunk = Vec::with_capacity(size);
            while chunk.len() < size {
                if rest.is_empty() {
                    match chunks.next() {
                        Some(next) => rest = next,
                        None => break,
                    }
                }
                let taken = rest.split_to(rest.len().min(size - chunk.len()));
                chunk.extend_from_slice(&taken);
            }
            (!chunk.is_empty()).then_some(chunk)
        })
    }

    /// Returns a copy of all bytes.
    pub fn to_vec(&self) -> Vec<u8> {
        self.copy_from(0, usize::MAX)
    }

    /// Takes the chunks out of all handles, so that each is freed once it is read. `share` puts equal bytes back.
    pub fn drain(&self) -> SnapshotReader {
        SnapshotReader::new(std::mem::take(&mut *self.lock()).chunks)
    }

    /// Makes all handles share the chunks of `other`, which is the same snapshot.
    pub fn share(&self, other: &SnapshotData) {
        let other = {
            let inner = other.lock();
            Inner { chunks: inner.chunks.clone(), texts: inner.texts.clone(), ..*inner }
        };
        *self.lock() = other;
    }
}

impl From<Vec<u8>> for SnapshotData {
    fn from(bytes: Vec<u8>) -> SnapshotData {
        SnapshotData::from_chunks(if bytes.is_empty() { vec![] } else { vec![bytes.into()] })
    }
}

impl PartialEq for SnapshotData {
    fn eq(&self, other: &SnapshotData) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.to_vec() == other.to_vec()
    }
}

impl std::hash::Hash for SnapshotData {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.len(), self.digest()).hash(hasher);
    }
}

impl std::fmt::Debug for SnapshotData {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SnapshotData({} bytes, {:08x})", self.len(), self.digest())
    }
}

/// Decodes a snapshot item by item. Each chunk is freed as soon as it has been read.
pub struct SnapshotReader {
    chunks: std::vec::IntoIter<Bytes>,
    buffer: Vec<u8>,
    position: usize,
}

impl SnapshotReader {
    fn new(chunks: Vec<Bytes>) -> SnapshotReader {
        SnapshotReader { chunks: chunks.into_iter(), buffer: vec![], position: 0 }
    }

    /// Doubles the bytes in the buffer, so that decoding a long item isn't retried for each of its chunks.
    fn fill(&mut self) -> bool {
        self.buffer.drain(..self.position);
        self.position = 0;
        let before = self.buffer.len();
        while self.buffer.len() <= 2 * before {
            match self.chunks.next() {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None => return self.buffer.len() > before,
            }
        }
        true
    }

    /// Decodes the next bytes with `read`, which is called again with more bytes if there were too few.
    pub fn read<T>(&mut self, read: impl Fn(&mut Decoder<'_>) -> Result<T, decode::Error>) -> Result<T, decode::Error> {
        loop {
            let mut decoder = Decoder::new(&self.buffer[self.position..]);
            match read(&mut decoder) {
                Ok(item) => {
                    self.position += decoder.position();
                    return Ok(item);
                }
                Err(e) if e.is_end_of_input() && self.fill() => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Decodes the next item.
    pub fn item<T: for<'b> Decode<'b, ()>>(&mut self) -> Result<T, decode::Error> {
        self.read(|d| d.decode())
    }

    /// Decodes the header of an array or map of known length.
    pub fn count(
        &mut self,
        head: impl Fn(&mut Decoder<'_>) -> Result<Option<u64>, decode::Error>,
    ) -> Result<u64, decode::Error> {
        self.read(head)?.ok_or_else(|| decode::Error::message("array or map of unknown length"))
    }
}

/// Field codec (`with`) that encodes snapshot data as one byte string.
pub mod whole {
    use super::*;

    pub fn encode<C, W: encode::Write>(
        data: &SnapshotData,
        e: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), encode::Error<W::Error>> {
        e.bytes(&data.to_vec())?.ok()
    }

    pub fn decode<C>(d: &mut Decoder<'_>, _: &mut C) -> Result<SnapshotData, decode::Error> {
        Ok(d.bytes()?.to_vec().into())
    }
}

#[cfg(test)]
mod tests;
