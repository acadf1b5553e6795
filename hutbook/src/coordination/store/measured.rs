//! What a state's parts own on the heap, counted as they change.

use minicbor::encode::{self, Encode, Encoder, Write};
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// bytes. Each block of the system's allocator is a multiple of this.
const BLOCK_STEP: usize = 16;
/// bytes. Its smallest block.
const BLOCK_LEAST: usize = 32;
/// bytes. What the allocator adds to a block.
const BLOCK_HEAD: usize = 8;

/// bytes that the allocator takes for one block of so many, as glibc's does; nothing for none.
pub(super) fn block_bytes(requested: usize) -> usize {
    match requested {
        0 => 0,
        _ => (requested + BLOCK_HEAD).next_multiple_of(BLOCK_STEP).max(BLOCK_LEAST),
    }
}

/// What a value owns beside itself.
pub(super) trait HeapBytes {
    /// bytes on the heap, as the allocator rounds them.
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

/// A list's own block and what its items own.
pub(super) fn list_bytes<T: HeapBytes>(list: &[T], capacity: usize) -> usize {
    block_bytes(capacity * size_of::<T>()) + list.iter().map(T::heap_bytes).sum::<usize>()
}

/// A map that knows what its keys and values own on the heap.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MeasuredMap<K, V> {
    map: BTreeMap<K, V>,
    owned: usize,
}

impl<K, V> Default for MeasuredMap<K, V> {
    fn default() -> MeasuredMap<K, V> {
        MeasuredMap { map: BTreeMap::new(), owned: 0 }
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
        self.owned += key.heap_bytes() + value.heap_bytes();
        self.map.insert(key, value);
    }

    pub(super) fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let (key, value) = self.map.remove_entry(key)?;
        self.owned -= key.heap_bytes() + value.heap_bytes();
        Some(value)
    }

    /// Changes a value, and counts anew what it owns. None where there is none.
    pub(super) fn update<Q: Ord + ?Sized, R>(&mut self, key: &Q, change: impl FnOnce(&mut V) -> R) -> Option<R>
    where
        K: Borrow<Q>,
    {
        let value = self.map.get_mut(key)?;
        let before = value.heap_bytes();
        let result = change(value);
        self.owned = self.owned - before + value.heap_bytes();
        Some(result)
    }

    /// bytes. Of the entries, at so many each, and of what they own.
    pub(super) fn bytes(&self, entry: usize) -> usize {
        self.map.len() * entry + self.owned
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
