//! A faulty disk for tests. On a power loss, writes that were not synced are lost, torn or applied out of order;
//! syncs fail; space runs out and becomes available again.

use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use redb::StorageBackend;
use std::io::Error;
use std::sync::{Arc, Mutex};

/// Atomic unit of a write, in bytes; a longer write may be torn between sectors.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Len(u64),
}

#[derive(Debug)]
struct State {
    /// Contents as the running process sees them, and (`synced`) as they would be after a power loss.
    contents: Vec<u8>,
    synced: Vec<u8>,
    pending: Vec<Op>,
    syncs: u64,
    /// Power is lost during the sync of this number.
    power_loss_at_sync: u64,
    is_off: bool,
    /// Number of next syncs that fail; pending writes may or may not have been applied.
    failing_syncs: u64,
    /// Capacity in bytes.
    capacity: u64,
    /// Fails all writes and syncs, also those that overwrite.
    rejects_writes: bool,
    rng: ChaCha8Rng,
}

#[derive(Clone, Debug)]
pub struct FaultyDisk(Arc<Mutex<State>>);

fn apply(image: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Len(length) => image.resize(*length as usize, 0),
        Op::Write(offset, bytes) => {
            let end = *offset as usize + bytes.len();
            if image.len() < end {
                image.resize(end, 0);
            }
            image[*offset as usize..end].copy_from_slice(bytes);
        }
    }
}

impl State {
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    /// Applies some of the pending operations, in random order, some of them torn.
    fn apply_some_pending(&mut self) {
        let mut ops = std::mem::take(&mut self.pending);
        while !ops.is_empty() {
            let index = self.random_below(ops.len() as u64) as usize;
            let op = ops.swap_remove(index);
            match (self.random_below(3), op) {
                (0, _) => {}
                (1, Op::Write(offset, bytes)) => {
                    // only a range of its sectors
                    let sectors = bytes.len().div_ceil(SECTOR) as u64;
                    let from = self.random_below(sectors) as usize * SECTOR;
                    let to = (from + (1 + self.random_below(sectors)) as usize * SECTOR).min(bytes.len());
                    apply(&mut self.synced, &Op::Write(offset + from as u64, bytes[from..to].to_vec()));
                }
                (_, op) => apply(&mut self.synced, &op),
            }
        }
    }
}

impl FaultyDisk {
    pub fn new(seed: u64, image: Vec<u8>) -> FaultyDisk {
        FaultyDisk(Arc::new(Mutex::new(State {
            contents: image.clone(),
            synced: image,
            pending: vec![],
            syncs: 0,
            power_loss_at_sync: u64::MAX,
            is_off: false,
            failing_syncs: 0,
            capacity: u64::MAX,
            rejects_writes: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        })))
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }

    pub fn syncs(&self) -> u64 {
        self.with(|state| state.syncs)
    }

    pub fn lose_power_at_sync(&self, sync: u64) {
        self.with(|state| state.power_loss_at_sync = sync);
    }

    pub fn fail_syncs(&self, count: u64) {
        self.with(|state| state.failing_syncs = count);
    }

    /// Limits the capacity to what is in use, or makes it unlimited again.
    pub fn set_full(&self, on: bool) {
        self.with(|state| state.capacity = if on { state.contents.len() as u64 } else { u64::MAX });
    }

    /// Fails all writes while it is on, as a full disk with copy-on-write does.
    pub fn reject_writes(&self, on: bool) {
        self.with(|state| state.rejects_writes = on);
    }

    /// Returns the contents after a power loss: what was synced, and some of what was not.
    pub fn contents_after_power_loss(&self) -> Vec<u8> {
        self.with(|state| {
            if !state.is_off {
                state.apply_some_pending();
            }
            state.synced.clone()
        })
    }
}

fn io_error(message: &str) -> Error {
    Error::other(message.to_string())
}

impl FaultyDisk {
    fn if_powered<T>(&self, f: impl FnOnce(&mut State) -> Result<T, Error>) -> Result<T, Error> {
        self.with(|state| if state.is_off { Err(io_error("power lost")) } else { f(state) })
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, Error> {
        self.if_powered(|state| Ok(state.contents.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.if_powered(|state| {
            let end = offset as usize + out.len();
            // the error of a file that is too short, which is no fault of the disk
            let past = || Error::new(std::io::ErrorKind::UnexpectedEof, "read past the end");
            out.copy_from_slice(state.contents.get(offset as usize..end).ok_or_else(past)?);
            Ok(())
        })
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        self.if_powered(|state| {
            if state.rejects_writes || length > state.capacity {
                return Err(io_error("no space left on device"));
            }
            apply(&mut state.contents, &Op::Len(length));
            state.pending.push(Op::Len(length));
            Ok(())
        })
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.if_powered(|state| {
            state.syncs += 1;
            if state.syncs == state.power_loss_at_sync {
                state.apply_some_pending();
                state.is_off = true;
                return Err(io_error("power lost"));
            }
            if state.rejects_writes || state.failing_syncs > 0 {
                state.failing_syncs = state.failing_syncs.saturating_sub(1);
                state.apply_some_pending();
                // the operating system may have dropped pages that it could not write
                state.contents = state.synced.clone();
                return Err(io_error("sync failed"));
            }
            for op in std::mem::take(&mut state.pending) {
                apply(&mut state.synced, &op);
            }
            Ok(())
        })
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> Result<(), Error> {
        self.if_powered(|state| {
            if state.rejects_writes || offset + bytes.len() as u64 > state.capacity {
                return Err(io_error("no space left on device"));
            }
            let op = Op::Write(offset, bytes.to_vec());
            apply(&mut state.contents, &op);
            state.pending.push(op);
            Ok(())
        })
    }
}
