//! Incremental accounting of the heap memory of a state's parts.

use minicbor::encode::{self, Encode, Encoder, Write};
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// Granularity of the system allocator's blocks, in bytes.
const BLOCK_GRANULARITY: usize = 16;
/// Size of the allocator's smallest block, in bytes.
const MIN_BLOCK_BYTES: usize = 32;
/// Overhead of the allocator for each block, in bytes.
const BLOCK_OVERHEAD: usize = 8;

/// Size of the block that glibc's allocator uses for a request of so many bytes; 0 for 0.
pub(super) fn block_bytes(requested: usize) -> usize {
    match requested {
        0 => 0,
        _ => (requested + BLOCK_OVERHEAD).next_multiple_of(BLOCK_GRANULARITY).max(MIN_BLOCK_BYTES),
    }
}

/// Heap memory that a value owns.
pub(super) trait HeapBytes {
    /// Owned heap memory in bytes, as rounded by the allocator.
    fn heap_bytes(&self) -> usize;
}

impl HeapBytes for String {
    fn heap_bytes(&self) -> usize {
        block_bytes(self.capacity())
    }
}

impl HeapBytes for Box<str> {
    fn heap_bytes(&self) -> usize {
        block_bytes(self.len())
    }
}

impl HeapBytes for () {
    fn heap_bytes(&self) -> usize {
        0
    }
}

impl<A: HeapBytes, B: HeapBytes> HeapBytes for (A, B) {
    fn heap_bytes(&self) -> usize {
        self.0.heap_bytes() + self.1.heap_bytes()
    }
}

/// Heap memory of a list's buffer and of its items, in bytes.
pub(super) fn list_bytes<T: HeapBytes>(list: &[T], capacity: usize) -> usize {
    block_bytes(capacity * size_of::<T>()) + list.iter().map(T::heap_bytes).sum::<usize>()
}

/// A map that counts the heap memory that its keys and values own.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MeasuredMap<K, V> {
    map: BTreeMap<K, V>,
    owned_bytes: usize,
}

impl<K, V> Default for MeasuredMap<K, V> {
    fn default() -> MeasuredMap<K, V> {
        MeasuredMap { map: BTreeMap::new(), owned_bytes: 0 }
    }
}

impl<K: Ord + HeapBytes, V: HeapBytes> MeasuredMap<K, V> {
    pub(super) fn len(&self) -> usize {
        self.map.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.map.iter()
    }

    pub(super) fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.map.get(key)
    }

    pub(super) fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.map.contains_key(key)
    }

    pub(super) fn insert(&mut self, key: K, value: V) {
        self.remove(&key);
        self.owned_bytes += key.heap_bytes() + value.heap_bytes();
        self.map.insert(key, value);
    }

    pub(super) fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let (key, value) = self.map.remove_entry(key)?;
        self.owned_bytes -= key.heap_bytes() + value.heap_bytes();
        Some(value)
    }

    /// Changes a value and updates its owned memory. Returns None if the key is missing.
    pub(super) fn update<Q: Ord + ?Sized, R>(&mut self, key: &Q, change: impl FnOnce(&mut V) -> R) -> Option<R>
    where
        K: Borrow<Q>,
    {
        let value = self.map.get_mut(key)?;
        let before = value.heap_bytes();
        let result = change(value);
        self.owned_bytes = self.owned_bytes - before + value.heap_bytes();
        Some(result)
    }

    /// Size of the map, at `entry_bytes` for each entry, and of what the entries own, in bytes.
    pub(super) fn bytes(&self, entry_bytes: usize) -> usize {
        self.map.len() * entry_bytes + self.owned_bytes
    }
}

impl<K: Ord + HeapBytes, V: HeapBytes> FromIterator<(K, V)> for MeasuredMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> MeasuredMap<K, V> {
        let mut map = MeasuredMap::default();
        entries.into_iter().for_each(|(key, value)| map.insert(key, value));
        map
    }
}

impl<C, K: Encode<C> + Ord, V: Encode<C>> Encode<C> for MeasuredMap<K, V> {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, context: &mut C) -> Result<(), encode::Error<W::Error>> {
        self.map.encode(e, context)
    }
}
