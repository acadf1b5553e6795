use super::*;
use crate::constants::{LOG_WHILE_SENDING, PROCESS_BYTES};
use rstest::rstest;

#[rstest]
fn the_parts_fit_into_the_machine(#[values(56, 58, 130, 270, 1_000, 64_000)] mb: u64) {
    let budget = MemoryBudget::of(Some(mb), None);
    // the state, the log while a snapshot is being sent, texts forgotten since the last one, and the cache
    let most = budget.state + (LOG_WHILE_SENDING + 1) * budget.log + budget.disk_cache;
    assert!(most + PROCESS_BYTES <= mb as usize * MEGABYTE as usize, "{budget:?}");
    // and no machine is given more than the constants say
    let whole = MemoryBudget::default();
    assert!(budget.state <= whole.state && budget.log <= whole.log && budget.disk_cache <= whole.disk_cache);
}
