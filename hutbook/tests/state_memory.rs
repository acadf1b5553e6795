//! A store's estimate of its memory, against what the allocator holds.

mod memory;

use memory::{measure, CountingAllocator, Shape};
use rstest::rstest;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// share. How far the estimate may be from the allocator's count.
const TOLERANCE: f64 = 0.15;

#[rstest]
fn the_estimate_is_near_to_what_the_allocator_holds(
    #[values(
        Shape::Accounts,
        Shape::Settled,
        Shape::ManySessions,
        Shape::Reservations,
        Shape::Chains { text: 0 },
        Shape::Chains { text: 2_500 },
        Shape::Churn,
        Shape::Programs,
        Shape::OpenJobs,
        Shape::Mixed,
        Shape::Restored
    )]
    shape: Shape,
    #[values(1_000, 20_000)] size: u64,
) {
    // given a state of some shape and size
    let measured = measure(shape, size);
    // when it says what it takes
    let (estimate, held) = (measured.usage.total() as f64, measured.held as f64);
    println!("{shape:?} of {size}: {estimate} estimated, {held} held, {:.3}", estimate / held);
    // then that is what the allocator holds, by and large
    assert!((estimate / held - 1.0).abs() <= TOLERANCE, "{shape:?}: {estimate} estimated, {held} held");
    assert_eq!(measured.store.state_bytes().0, measured.usage.total());
}

#[test]
fn a_turns_index_takes_at_most_200_bytes() {
    // given very many turns, with and without their texts
    let without = measure(Shape::Chains { text: 0 }, 50_000);
    // when what the allocator holds beside texts and accounts is told a turn
    let index = without.held - without.usage.texts - without.usage.accounts;
    let a_turn = index / without.store.turn_counts().1;
    println!("{a_turn} bytes a turn");
    // then it is no more than was asked for
    assert!(a_turn <= 200, "{a_turn} bytes a turn");
}
