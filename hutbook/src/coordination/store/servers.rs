//! Interned names of servers.

use super::measured::{block_bytes, HeapBytes};
use minicbor::encode::{self, Encode, Encoder, Write};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Size of the two reference counters before the text of a shared name, in bytes.
const REFERENCE_COUNTERS_BYTES: usize = 2 * size_of::<usize>();

/// The interned name of a server; empty for none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServerName(Arc<str>);

impl ServerName {
    pub(super) fn as_str(&self) -> &str {
        &self.0
    }
}

impl HeapBytes for ServerName {
    /// The text is counted with the table.
    fn heap_bytes(&self) -> usize {
        0
    }
}

impl<C> Encode<C> for ServerName {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.str(&self.0)?.ok()
    }
}

/// The names in use. Derived from the state, so not part of a snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerNames {
    names: BTreeSet<Arc<str>>,
    text_bytes: usize,
}

/// Always equal: unused names that are still in the tables make no difference between two states.
impl PartialEq for ServerNames {
    fn eq(&self, _: &ServerNames) -> bool {
        true
    }
}

impl ServerNames {
    /// Returns the shared copy of this name. Unused names are removed before a new one is added.
    pub(super) fn intern(&mut self, name: &str) -> ServerName {
        if let Some(known) = self.names.get(name) {
            return ServerName(known.clone());
        }
        self.names.retain(|name| Arc::strong_count(name) > 1);
        let name: Arc<str> = name.into();
        self.names.insert(name.clone());
        self.text_bytes = self.names.iter().map(|name| block_bytes(name.len() + REFERENCE_COUNTERS_BYTES)).sum();
        ServerName(name)
    }

    /// Size of the table, at `entry_bytes` for each entry, and of the names' texts, in bytes.
    pub(super) fn bytes(&self, entry_bytes: usize) -> usize {
        self.names.len() * entry_bytes + self.text_bytes
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }
}
