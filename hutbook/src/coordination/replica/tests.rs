use super::*;
use rstest::rstest;

/// Keeps as many bytes as it is told to, whatever is agreed.
struct Keeps(usize);

impl StateMachine for Keeps {
    type Request = usize;
    type Response = ();
    type Computation = ();

    fn plan(&mut self, _st: LeaderContext, ask: &usize) -> Plan<()> {
        Plan::Propose(vec![1; *ask])
    }
    fn answer(&mut self, _st: LeaderContext, _ask: usize) {}
    fn apply(&mut self, _index: u64, _term: u64, _bytes: &[u8]) {}
    fn members_agreed(&mut self, _index: u64, _m: &Members) {}
    fn snapshot(&self) -> SnapshotData {
        vec![0; self.0].into()
    }
    fn restore(&mut self, _data: &SnapshotData) {}
    fn became_leader(&mut self, _st: LeaderContext) {}
    fn stepped_down(&mut self) {}
    fn tick(&mut self, _st: LeaderContext, _raft: &Raft) -> Vec<LeaderTask<()>> {
        vec![]
    }
    fn denied(&self, _why: Denial, _leader: Option<Member>) {}
}

#[rstest]
// small states: by count
#[case(1_000, 8, 3 * SNAPSHOT_EVERY, 3)]
// a state of 1 MB and entries of 100 bytes: only when they weigh as much, the first one at once
#[case(1_000_000, 76, 4 * SNAPSHOT_EVERY, 2)]
// a state that entries hardly ever outweigh: not for ever
#[case(4_000_000, 8, SNAPSHOT_MOST + SNAPSHOT_EVERY, 2)]
// heavy entries: by weight
#[case(1_000, 100_000, 420, 2)]
fn captures_cost_no_more_than_the_log(
    #[case] state: usize,
    #[case] entry: usize,
    #[case] entries: u64,
    #[case] most: usize,
) {
    // given a group of one
    let mut now = 1;
    let (mut r, mut fruit) = Replica::new(1, Boot::founding(1, "a", None), Keeps(state), 1, now);
    let (mut taken, mut asked) = (0, 0);
    while asked < entries + 64 {
        // when so many entries are agreed
        let synced = fruit.iter().filter_map(|f| match f {
            Output::Persist { sync_ticket: mark, ops } => Some((*mark, ops)),
            _ => None,
        });
        taken += synced.clone().flat_map(|x| x.1).filter(|o| matches!(o, DiskOp::Snapshot { .. })).count();
        let mark = synced.map(|x| x.0).max();
        fruit = mark.map_or(vec![], |m| r.step(now, Input::Synced(m)));
        if r.leads() {
            asked += 1;
            fruit.extend(r.step(now, Input::Request { ticket: asked, request: entry }));
        }
        now += TICK_MS;
        fruit.extend(r.step(now, Input::Tick));
    }
    // then snapshots were taken as often as they are worth it
    assert_eq!(taken, most);
    assert!(r.raft.log_len() as u64 <= SNAPSHOT_MOST);
}
