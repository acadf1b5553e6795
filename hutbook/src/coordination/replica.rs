//! A replica: one node's agreement together with the state it agrees on.

use super::raft::{Change, Denial, In, Out, Raft, RaftMsg, Role};
use crate::constants::*;
use crate::state::disk::{Boot, DiskOp};
use crate::state::entry::{Entry, Member, Members, What};
use std::collections::BTreeMap;

/// What a question needs before it can be answered.
pub enum Plan<T> {
    /// Known without the group.
    Tell(T),
    /// A confirmed leader, then `answer`.
    Read,
    Propose(Vec<u8>),
    Change(Change),
}

/// Where a machine stands when it is asked: always the leader's side.
#[derive(Clone, Copy)]
pub struct Stand {
    pub now: u64,
    pub term: u64,
}

/// State that a group agrees on. `apply` must depend on its arguments alone.
pub trait Machine {
    type Ask;
    type Tell;
    type Think;

    fn plan(&mut self, st: Stand, ask: &Self::Ask) -> Plan<Self::Tell>;
    fn answer(&mut self, st: Stand, ask: Self::Ask) -> Self::Tell;
    fn apply(&mut self, index: u64, term: u64, bytes: &[u8]) -> Self::Tell;
    /// A change of the group's members has been agreed.
    fn members_agreed(&mut self, index: u64, m: &Members) -> Self::Tell;
    fn capture(&self) -> Vec<u8>;
    fn restore(&mut self, data: &[u8]);
    fn rose(&mut self, st: Stand);
    fn fell(&mut self);
    /// The leader's own proposals and long computations.
    fn tick(&mut self, st: Stand, raft: &Raft) -> Vec<Todo<Self::Think>>;
    fn denied(&self, why: Denial, leader: Option<Member>) -> Self::Tell;
}

pub enum Todo<K> {
    Propose(Vec<u8>),
    Change(Change),
    Think(K),
}

pub enum Feed<A> {
    Tick,
    /// `at` is where the sender says it is reached.
    Msg {
        from: u64,
        at: String,
        msg: RaftMsg,
    },
    Synced(u64),
    Ask {
        ticket: u64,
        ask: A,
    },
    StepAside,
}

pub enum Fruit<T, K> {
    Send { to: u64, addr: String, msg: RaftMsg },
    Persist { mark: u64, ops: Vec<DiskOp> },
    Tell { ticket: u64, tell: T },
    Think(K),
}

/// Everything one step brought forth, in order.
pub type Fruits<M> = Vec<Fruit<<M as Machine>::Tell, <M as Machine>::Think>>;

pub struct Replica<M: Machine> {
    pub raft: Raft,
    pub machine: M,
    /// Proposals under way, by log index.
    waits: BTreeMap<u64, (u64, u64)>,
    asks: BTreeMap<u64, M::Ask>,
    /// Addresses as members told them, when they are newer than the log's.
    pub addrs: BTreeMap<u64, String>,
    captured: u64,
    /// bytes. Of the entries applied since, and of the capture itself.
    since: usize,
    captured_bytes: usize,
}

/// Tickets of the replica's own proposals: nobody waits for them.
const NOBODY: u64 = 0;

impl<M: Machine> Replica<M> {
    pub fn new(id: u64, boot: Boot, machine: M, seed: u64, now: u64) -> (Self, Fruits<M>) {
        let raft = Raft::new(id, boot, seed, now);
        let mut r = Replica {
            raft,
            machine,
            waits: BTreeMap::new(),
            asks: BTreeMap::new(),
            addrs: BTreeMap::new(),
            captured: 0,
            since: 0,
            captured_bytes: 0,
        };
        let f = r.step(now, Feed::Tick);
        (r, f)
    }

    pub fn leader(&self) -> Option<Member> {
        let id = self.raft.leader?;
        let known = self.raft.members().all().find(|m| m.id == id).map(|m| m.addr.clone());
        Some(Member { id, addr: self.addrs.get(&id).cloned().or(known)? })
    }

    pub fn leads(&self) -> bool {
        self.raft.role == Role::Leader
    }

    pub fn step(&mut self, now: u64, feed: Feed<M::Ask>) -> Fruits<M> {
        let mut fruit = vec![];
        match feed {
            Feed::Tick => {
                let o = self.raft.step(now, In::Tick);
                self.take(now, o, &mut fruit);
                self.own(now, &mut fruit);
                self.capture(now, &mut fruit);
            }
            Feed::Msg { from, at, msg } => {
                // a learner hears its leader before it knows any member; strangers don't fill the table
                if self.addrs.len() < ADDRS_KEPT || self.addrs.contains_key(&from) {
                    self.addrs.insert(from, at);
                }
                let o = self.raft.step(now, In::Msg { from, msg });
                self.take(now, o, &mut fruit);
            }
            Feed::Synced(m) => {
                let o = self.raft.step(now, In::Synced(m));
                self.take(now, o, &mut fruit);
            }
            Feed::StepAside => {
                let o = self.raft.step(now, In::StepAside);
                self.take(now, o, &mut fruit);
            }
            Feed::Ask { ticket, ask } => self.ask(now, ticket, ask, &mut fruit),
        }
        fruit
    }

    fn ask(&mut self, now: u64, ticket: u64, ask: M::Ask, fruit: &mut Fruits<M>) {
        if !self.leads() {
            let tell = self.machine.denied(Denial::NotLeader, self.leader());
            return fruit.push(Fruit::Tell { ticket, tell });
        }
        let st = Stand { now, term: self.raft.term };
        let o = match self.machine.plan(st, &ask) {
            Plan::Tell(tell) => return fruit.push(Fruit::Tell { ticket, tell }),
            Plan::Propose(bytes) => self.raft.step(now, In::Propose { ticket, bytes }),
            Plan::Change(change) => self.raft.step(now, In::Change { ticket, change }),
            Plan::Read => {
                self.asks.insert(ticket, ask);
                self.raft.step(now, In::Read { ticket })
            }
        };
        self.take(now, o, fruit);
    }

    fn own(&mut self, now: u64, fruit: &mut Fruits<M>) {
        if !self.leads() {
            return;
        }
        let st = Stand { now, term: self.raft.term };
        for t in self.machine.tick(st, &self.raft) {
            let o = match t {
                Todo::Propose(bytes) => self.raft.step(now, In::Propose { ticket: NOBODY, bytes }),
                Todo::Change(change) => self.raft.step(now, In::Change { ticket: NOBODY, change }),
                Todo::Think(k) => {
                    fruit.push(Fruit::Think(k));
                    continue;
                }
            };
            self.take(now, o, fruit);
        }
    }

    fn capture(&mut self, now: u64, fruit: &mut Fruits<M>) {
        let entries = self.raft.applied() - self.captured;
        // a large one among few small entries would be most of what the disk writes
        let worth = entries >= CAPTURE_EVERY && self.since >= self.captured_bytes;
        let due = worth || entries >= CAPTURE_MOST || self.since >= CAPTURE_BYTES;
        // a disk behind its bound is not given more to write
        if !due || self.raft.disk_late(now) {
            return;
        }
        self.captured = self.raft.applied();
        let data = self.machine.capture();
        (self.since, self.captured_bytes) = (0, data.len());
        let o = self.raft.keep_capture(now, self.captured, data);
        self.take(now, o, fruit);
    }

    fn tell(&mut self, ticket: u64, tell: M::Tell, fruit: &mut Fruits<M>) {
        if ticket != NOBODY {
            fruit.push(Fruit::Tell { ticket, tell });
        }
    }

    fn take(&mut self, now: u64, outs: Vec<Out>, fruit: &mut Fruits<M>) {
        for o in outs {
            match o {
                Out::Send { to, msg } => {
                    let known = self.raft.members().all().find(|m| m.id == to).map(|m| &m.addr);
                    let addr = self.addrs.get(&to).or(known).cloned().unwrap_or_default();
                    fruit.push(Fruit::Send { to, addr, msg });
                }
                Out::Persist { mark, ops } => fruit.push(Fruit::Persist { mark, ops }),
                Out::Apply(e) => self.apply(e, fruit),
                Out::Restore(c) => {
                    self.machine.restore(&c.data);
                    self.captured = c.index;
                    (self.since, self.captured_bytes) = (0, c.data.len());
                    self.lose(fruit);
                }
                Out::Accepted { ticket, index } => {
                    self.waits.insert(index, (self.raft.term, ticket));
                }
                Out::Readable { ticket } => {
                    if let Some(a) = self.asks.remove(&ticket) {
                        let tell = self.machine.answer(Stand { now, term: self.raft.term }, a);
                        self.tell(ticket, tell, fruit);
                    }
                }
                Out::Denied { ticket, why } => {
                    self.asks.remove(&ticket);
                    let tell = self.machine.denied(why, self.leader());
                    self.tell(ticket, tell, fruit);
                }
                Out::Rose { term } => self.machine.rose(Stand { now, term }),
                Out::Fell => {
                    self.machine.fell();
                    self.lose(fruit);
                }
            }
        }
    }

    /// What was under way may or may not come to pass; say just that.
    fn lose(&mut self, fruit: &mut Fruits<M>) {
        for (_, (_, ticket)) in std::mem::take(&mut self.waits) {
            let tell = self.machine.denied(Denial::Lost, None);
            self.tell(ticket, tell, fruit);
        }
    }

    fn apply(&mut self, e: Entry, fruit: &mut Fruits<M>) {
        self.since += e.size();
        let tell = match &e.what {
            What::Command(b) => Some(self.machine.apply(e.index, e.term, b)),
            What::Members(m) => Some(self.machine.members_agreed(e.index, m)),
            What::Blank => None,
        };
        if let (Some((term, ticket)), Some(tell)) = (self.waits.remove(&e.index), tell) {
            let tell = if term == e.term { tell } else { self.machine.denied(Denial::Lost, None) };
            self.tell(ticket, tell, fruit);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Keeps as many bytes as it is told to, whatever is agreed.
    struct Keeps(usize);

    impl Machine for Keeps {
        type Ask = usize;
        type Tell = ();
        type Think = ();

        fn plan(&mut self, _st: Stand, ask: &usize) -> Plan<()> {
            Plan::Propose(vec![1; *ask])
        }
        fn answer(&mut self, _st: Stand, _ask: usize) {}
        fn apply(&mut self, _index: u64, _term: u64, _bytes: &[u8]) {}
        fn members_agreed(&mut self, _index: u64, _m: &Members) {}
        fn capture(&self) -> Vec<u8> {
            vec![0; self.0]
        }
        fn restore(&mut self, _data: &[u8]) {}
        fn rose(&mut self, _st: Stand) {}
        fn fell(&mut self) {}
        fn tick(&mut self, _st: Stand, _raft: &Raft) -> Vec<Todo<()>> {
            vec![]
        }
        fn denied(&self, _why: Denial, _leader: Option<Member>) {}
    }

    #[rstest]
    // small states: by count
    #[case(1_000, 8, 3 * CAPTURE_EVERY, 3)]
    // a state of 1 MB and entries of 100 bytes: only when they weigh as much, the first one at once
    #[case(1_000_000, 76, 4 * CAPTURE_EVERY, 2)]
    // a state that entries hardly ever outweigh: not for ever
    #[case(4_000_000, 8, CAPTURE_MOST + CAPTURE_EVERY, 2)]
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
                Fruit::Persist { mark, ops } => Some((*mark, ops)),
                _ => None,
            });
            taken += synced.clone().flat_map(|x| x.1).filter(|o| matches!(o, DiskOp::Capture { .. })).count();
            let mark = synced.map(|x| x.0).max();
            fruit = mark.map_or(vec![], |m| r.step(now, Feed::Synced(m)));
            if r.leads() {
                asked += 1;
                fruit.extend(r.step(now, Feed::Ask { ticket: asked, ask: entry }));
            }
            now += TICK_MS;
            fruit.extend(r.step(now, Feed::Tick));
        }
        // then captures were taken as often as they are worth it
        assert_eq!(taken, most);
        assert!(r.raft.log_len() as u64 <= CAPTURE_MOST);
    }
}
