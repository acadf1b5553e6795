use super::*;

#[test]
fn the_search_finds_the_smallest_counts_that_hold_and_repeats_itself() {
    // given counts that hold from (5, 3) on, and a price on every server
    let range = [(2, 12), (1, 8)];
    let fit = |x: &[u32]| {
        let r1 = f64::from(u8::from(x[0] >= 5 && x[1] >= 3));
        0.7 * r1 + 0.3 * (1.0 - f64::from(x[0] + x[1]) / 20.0)
    };
    // when it is searched with several seeds, then each finds the best and stays in range
    for seed in 0..20 {
        let a = search(&range, 24, 20, seed, &fit);
        assert_eq!(a.0, vec![5, 3], "seed {seed}");
        assert_eq!(a, search(&range, 24, 20, seed, &fit));
    }
    // and a range of one value is no trouble
    assert_eq!(search(&[(4, 4)], 24, 20, 1, &|_| 0.0).0, vec![4]);
}
