//! Settings of the system's memory allocator.

use crate::constants::{ALLOCATOR_MMAP_THRESHOLD_BYTES, ALLOCATOR_TRIM_THRESHOLD_BYTES};

/// Makes the allocator return large blocks to the system when they are freed. By default it raises its thresholds to the
/// size of the largest block that was ever freed, and then keeps up to twice as much for itself.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn return_freed_memory() {
    let thresholds = [
        (libc::M_MMAP_THRESHOLD, ALLOCATOR_MMAP_THRESHOLD_BYTES),
        (libc::M_TRIM_THRESHOLD, ALLOCATOR_TRIM_THRESHOLD_BYTES),
    ];
    for (parameter, bytes) in thresholds {
        // SAFETY: `mallopt` takes two integers and may be called at any time
        if unsafe { libc::mallopt(parameter, bytes) } == 0 {
            log::warn!("the allocator refused parameter {parameter}: it may keep freed memory");
        }
    }
}

/// Returns free pages anywhere in the heap to the system, also between blocks in use.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn trim() {
    // SAFETY: `malloc_trim` takes the allocator's own locks and touches free blocks only
    unsafe { libc::malloc_trim(0) };
}

/// Other allocators decide by themselves.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn trim() {}

/// Other allocators keep their settings.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn return_freed_memory() {}
