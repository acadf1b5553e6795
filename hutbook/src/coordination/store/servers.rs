//! Names of servers, held once each.

use super::measured::{block_bytes, HeapBytes};
use minicbor::encode::{self, Encode, Encoder, Write};
use std::collections::BTreeSet;
use std::sync::Arc;

/// bytes. Two counters stand before the text of a shared name.
const COUNTERS: usize = 2 * size_of::<usize>();

/// The name of a server, shared by all who ran there. Empty where there is none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServerName(Arc<str>);

impl ServerName {
    pub(super) fn as_str(&self) -> &str {
        &self.0
    }
}

impl HeapBytes for ServerName {
    /// Its text is counted with the table.
    fn heap_bytes(&self) -> usize {
        0
    }
}

impl<C> Encode<C> for ServerName {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.str(&self.0)?.ok()
    }
}

/// Every name that is in use; derived from the state, so a snapshot doesn't hold it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerNames {
    names: BTreeSet<Arc<str>>,
    text_bytes: usize,
}

/// Two states are the same whichever unused names are still in their tables.
impl PartialEq for ServerNames {
    fn eq(&self, _: &ServerNames) -> bool {
        true
    }
}

impl ServerNames {
    /// The one copy of this name. A new name makes room first: names that nobody uses any more go.
    pub(super) fn intern(&mut self, name: &str) -> ServerName {
        if let Some(known) = self.names.get(name) {
            return ServerName(known.clone());
        }
        self.names.retain(|name| Arc::strong_count(name) > 1);
        let name: Arc<str> = name.into();
        self.names.insert(name.clone());
        self.text_bytes = self.names.iter().map(|name| block_bytes(name.len() + COUNTERS)).sum();
        ServerName(name)
    }

    /// bytes. Of the table, at so many an entry, and of the names' texts.
    pub(super) fn bytes(&self, entry: usize) -> usize {
        self.names.len() * entry + self.text_bytes
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }
}
