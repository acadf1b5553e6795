//! Tracks the texts that this member has requested from the others because they are missing or damaged on its own
//! disk.
//!
//! A text is verified by the checksum in its place, so any member may send it. The requests are not part of the
//! replicated state: after a restart the damage is found again by the next read.

use crate::constants::{MAX_PENDING_TEXT_REQUESTS, TEXT_REQUEST_RETRY_MS};
use crate::state::texts::TextPlace;
use std::collections::BTreeMap;

/// A text that has been requested from the other members.
#[derive(Clone)]
struct PendingRequest {
    place: TextPlace,
    /// In milliseconds on the driver's clock.
    sent_at: u64,
    /// The text has been received; answers of further members are ignored.
    answered: bool,
}

impl PendingRequest {
    fn is_recent(&self, now: u64) -> bool {
        now.saturating_sub(self.sent_at) < TEXT_REQUEST_RETRY_MS
    }
}

/// Requests for texts, by where each text starts.
#[derive(Clone, Default)]
pub(super) struct TextRepair {
    requests: BTreeMap<(u32, u32), PendingRequest>,
    /// Number of texts received intact and handed to the disk since this process started.
    repaired: u64,
}

impl TextRepair {
    /// Records a request for the text. Returns false if it was requested recently or too many requests are open.
    pub(super) fn request(&mut self, now: u64, place: &TextPlace) -> bool {
        if self.requests.get(&place.start()).is_some_and(|request| request.is_recent(now)) {
            return false;
        }
        if self.requests.len() >= MAX_PENDING_TEXT_REQUESTS {
            self.requests.retain(|_, request| request.is_recent(now));
        }
        if self.requests.len() >= MAX_PENDING_TEXT_REQUESTS {
            return false;
        }
        self.requests.insert(place.start(), PendingRequest { place: *place, sent_at: now, answered: false });
        true
    }

    /// Reports whether this is a requested text, intact and received for the first time.
    pub(super) fn is_wanted(&self, place: &TextPlace, bytes: &[u8]) -> bool {
        let pending =
            self.requests.get(&place.start()).is_some_and(|request| request.place == *place && !request.answered);
        pending && place.is_text(bytes)
    }

    /// Records that the text has been handed to the disk.
    pub(super) fn mark_received(&mut self, place: &TextPlace) {
        if let Some(request) = self.requests.get_mut(&place.start()) {
            request.answered = true;
        }
        self.repaired += 1;
    }

    pub(super) fn repaired_total(&self) -> u64 {
        self.repaired
    }
}
