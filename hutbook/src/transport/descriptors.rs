//! How many descriptors this process may open, and for what.

use crate::constants::{CLIENT_DESCRIPTORS_SHARE, DEFAULT_DESCRIPTORS, KEPT_DESCRIPTORS_SHARE, MIN_KEPT_DESCRIPTORS};

/// Maximum numbers of connections. The other descriptors are kept for the fleet's own connections and files, so that a
/// crowd of clients can't take a lease away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    pub clients: usize,
    pub servers: usize,
}

impl DescriptorBudget {
    /// Returns the budget of this process: the system's limit, or the configured one if that is lower.
    pub fn of_process(configured: Option<u64>) -> DescriptorBudget {
        DescriptorBudget::of(system_limit().into_iter().chain(configured).min())
    }

    /// Returns the budget of a process with so many descriptors.
    pub fn of(descriptors: Option<u64>) -> DescriptorBudget {
        let all = descriptors.unwrap_or(DEFAULT_DESCRIPTORS).min(DEFAULT_DESCRIPTORS);
        let kept = MIN_KEPT_DESCRIPTORS.max((all as f64 * KEPT_DESCRIPTORS_SHARE) as u64);
        let free = all.saturating_sub(kept);
        let clients = (free as f64 * CLIENT_DESCRIPTORS_SHARE) as u64;
        DescriptorBudget { clients: clients.max(1) as usize, servers: (free - clients).max(1) as usize }
    }
}

/// Returns the system's limit; None if there is none, or if it can't be read.
fn system_limit() -> Option<u64> {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: the call only writes to the structure that it is given
    let result = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    (result == 0 && limit.rlim_cur > 0 && limit.rlim_cur != libc::RLIM_INFINITY).then_some(limit.rlim_cur)
}
