//! Entries, members and snapshots of the replicated log.

use super::snapshot_data::{self, SnapshotData};

messages! {
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Member {
        #[n(0)] pub id: u64,
        /// May change; the id is the identity.
        #[n(1)] pub addr: String,
    }
    #[derive(Default, Hash)]
    pub struct Members {
        #[n(0)] pub voters: Vec<Member>,
        #[n(1)] pub learners: Vec<Member>,
    }
    #[derive(Hash)]
    pub enum EntryPayload {
        /// First entry of a new leader.
        #[n(0)] Noop,
        #[n(1)] Members(#[n(0)] Members),
        #[n(2)] Command(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    }
    #[derive(Hash)]
    pub struct Entry {
        #[n(0)] pub index: u64,
        #[n(1)] pub term: u64,
        #[n(2)] pub payload: EntryPayload,
    }
    #[derive(Hash)]
    pub struct Snapshot {
        #[n(0)] pub index: u64,
        #[n(1)] pub term: u64,
        #[n(2)] pub members: Members,
        #[cbor(n(3), with = "snapshot_data::whole")] pub data: SnapshotData,
    }
}

impl Members {
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }
}

impl Entry {
    /// Returns the approximate size in bytes, for limiting the size of messages.
    pub fn size(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(b) => b.len() + 24,
            _ => 64,
        }
    }
}

/// Encodes a message; writing to memory can't fail.
pub fn to_bytes<T: minicbor::Encode<()>>(t: &T) -> Vec<u8> {
    minicbor::to_vec(t).expect("encoding to memory")
}

/// Decodes a message; None if the bytes are malformed.
pub fn from_bytes<'b, T: minicbor::Decode<'b, ()>>(b: &'b [u8]) -> Option<T> {
    minicbor::decode(b).ok()
}
