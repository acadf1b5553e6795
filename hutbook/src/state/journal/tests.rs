use super::*;

#[test]
fn a_reader_gets_what_it_lacks_or_is_told_that_it_is_gone() {
    // given a journal of three events at the most, and one revision with two of them
    let mut j = Journal::new(3, 0);
    for (r, e) in [(1, 'a'), (2, 'b'), (2, 'c'), (3, 'd')] {
        j.append(r, e);
    }
    // when readers come with different revisions, then each gets all or nothing
    assert_eq!(j.since(0), None);
    assert_eq!(j.since(1), Some(vec![(2, 'b'), (2, 'c'), (3, 'd')]));
    assert_eq!(j.since(2), Some(vec![(3, 'd')]));
    assert_eq!(j.since(3), Some(vec![]));
}
