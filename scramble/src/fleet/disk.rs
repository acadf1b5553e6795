//! A node's simulated disk: what is synced, and what is still pending.

use bytes::Bytes;
use hutbook::state::disk::{DiskOp, PersistedState};
use hutbook::state::texts::{MemoryTexts, TextOp, TextPlace};
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Default)]
pub struct Disk {
    pub synced: PersistedState,
    /// Text segments as the running process reads them.
    pub texts: Arc<MemoryTexts>,
    /// Segment, offset and length of writes that no sync has covered yet.
    unsynced_texts: Vec<(u32, u32, usize)>,
    pending: VecDeque<(u64, Vec<DiskOp>)>,
    /// How long a sync takes, in milliseconds; None while the disk is stalled or full.
    pub sync_ms: Option<u64>,
    busy: bool,
}

impl Disk {
    pub fn new(sync_ms: u64) -> Disk {
        Disk { sync_ms: Some(sync_ms), ..Disk::default() }
    }

    pub fn write(&mut self, sync_ticket: u64, ops: Vec<DiskOp>) {
        self.pending.push_back((sync_ticket, ops));
    }

    /// Starts the next sync if one is due. Returns how long it will take, in milliseconds.
    pub fn begin_sync(&mut self) -> Option<u64> {
        if self.busy || self.pending.is_empty() {
            return None;
        }
        let ms = self.sync_ms?;
        self.busy = true;
        Some(ms)
    }

    /// Ends the sync: all pending writes are on disk. Returns the ticket of the last one.
    pub fn finish_sync(&mut self) -> Option<u64> {
        self.busy = false;
        let mut sync_ticket = None;
        // the disk has stalled since: nothing was written
        self.sync_ms?;
        while let Some((ticket, ops)) = self.pending.pop_front() {
            ops.iter().for_each(|op| self.apply(op));
            sync_ticket = Some(ticket);
        }
        sync_ticket
    }

    fn apply(&mut self, op: &DiskOp) {
        self.synced.apply(op);
        match op {
            DiskOp::Texts(ops) => ops.iter().for_each(|op| self.apply_text(op)),
            DiskOp::StageTexts { segment, offset, bytes } => self.write_at(*segment, *offset, bytes),
            // segments are synced before a snapshot is written
            DiskOp::Snapshot { .. } => self.unsynced_texts.clear(),
            DiskOp::Meta { .. } | DiskOp::Append { .. } => {}
        }
    }

    fn apply_text(&mut self, op: &TextOp) {
        match op {
            TextOp::Write { place, text } => self.write_at(place.segment, place.offset, text),
            dropped => self.texts.apply(dropped),
        }
    }

    fn write_at(&mut self, segment: u32, offset: u32, bytes: &Bytes) {
        self.texts.write_at(segment, offset, bytes);
        self.unsynced_texts.push((segment, offset, bytes.len()));
    }

    /// Returns a text if it is on disk and intact, or pending.
    pub fn text(&self, place: &TextPlace) -> Option<Bytes> {
        let ops = self.pending.iter().flat_map(|(_, ops)| ops);
        let mut writes = ops.flat_map(|op| match op {
            DiskOp::Texts(ops) => ops.as_slice(),
            _ => &[],
        });
        let pending_text = writes.find_map(|op| match op {
            TextOp::Write { place: other, text } if other == place => Some(text.clone()),
            _ => None,
        });
        pending_text.or_else(|| self.texts.text(place))
    }

    /// Simulates a power loss: the first `surviving_writes` pending writes reach the disk. Of the texts that no sync
    /// has covered, the last `surviving_writes` are lost, or all of them if it is 0.
    pub fn lose_power(&mut self, surviving_writes: usize) {
        for (_, ops) in std::mem::take(&mut self.pending).into_iter().take(surviving_writes) {
            ops.iter().for_each(|op| self.apply(op));
        }
        let unsynced = std::mem::take(&mut self.unsynced_texts);
        let lost = if surviving_writes == 0 { unsynced.len() } else { unsynced.len().min(surviving_writes) };
        for (segment, offset, length) in unsynced.into_iter().rev().take(lost) {
            let (start, end) = (offset as usize, offset as usize + length);
            self.texts.corrupt(segment, |bytes| bytes[start..end].fill(0));
        }
        self.busy = false;
    }

    /// Returns the number of text writes that no sync has covered yet.
    pub fn unsynced_texts(&self) -> usize {
        self.unsynced_texts.len()
    }

    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
