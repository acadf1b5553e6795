//! The control group's own members: who founds it, and which change of its voters comes next.

use super::super::raft::{Change, Raft};
use super::super::view::hash;
use super::Core;
use crate::constants::*;
use crate::state::entry::Member;
use std::collections::BTreeMap;

/// The id of a core machine that founds a cluster with others: all of them know it by its
/// address alone. Never 0, which stands for nobody.
pub fn founder_id(addr: &str) -> u64 {
    hash(&format!("founder {addr}")) | 1
}

/// The cluster that core machines at these addresses found, in whatever order they are named.
pub fn founding_cluster(addrs: &[String]) -> u64 {
    let mut a = addrs.to_vec();
    a.sort();
    a.dedup();
    hash(&format!("cluster {}", a.join(" "))) | 1
}

/// The founders themselves, as their ids and addresses.
pub fn founders(addrs: &[String]) -> Vec<Member> {
    addrs.iter().map(|a| Member { id: founder_id(a), addr: a.clone() }).collect()
}

impl Core {
    /// The core's own members: newcomers learn, then vote; a dead one goes once another stands
    /// ready, or enough others live.
    pub(super) fn next_core(&self, now: u64, raft: &Raft) -> Option<Change> {
        let m = raft.members();
        let heard: BTreeMap<u64, u64> = raft.peer_status().into_iter().map(|h| (h.0, h.2)).collect();
        let silent = |id: u64, ms: u64| id != raft.id && heard.get(&id).is_none_or(|h| now >= h + ms);
        // a newcomer stands where it stood: it is dead for sure. Newcomers come last in the list
        let replaced = |x: &Member| {
            let later = m.all().skip_while(|y| y.id != x.id).skip(1);
            silent(x.id, ELECTION_MS) && later.into_iter().any(|y| y.addr == x.addr)
        };
        if let Some(l) = m.learners.iter().find(|l| replaced(l)) {
            return Some(Change::Remove(l.id));
        }
        let dead =
            m.voters.iter().find(|v| replaced(v)).or(m.voters.iter().find(|v| silent(v.id, self.shape.repair_ms)));
        let alive = m.voters.iter().filter(|v| !silent(v.id, self.shape.repair_ms) && !replaced(v)).count();
        let cell = |x: &Member| self.cells.get(&x.id).map_or("", |c| c.as_str());
        let staying: Vec<&Member> = m.voters.iter().filter(|v| dead.is_none_or(|d| d.id != v.id)).collect();
        let there = |c: &str| staying.iter().filter(|v| !c.is_empty() && cell(v) == c).count();
        let ready = m.learners.iter().filter(|l| raft.caught_up(now, l.id) && !self.state.retired.contains(&l.id));
        let next = ready.min_by_key(|l| there(cell(l)));
        if let Some(d) = dead {
            // without one in its place it is only given up after long, and never below three
            let enough = alive >= CORE_LEAST.min(self.shape.core_voters);
            let given_up = silent(d.id, self.shape.repair_ms.max(REPAIR_MS));
            let stands_in = next.is_some() || m.voters.len() > self.shape.core_voters;
            if enough && (stands_in || given_up || replaced(d)) || next.is_some() && replaced(d) {
                return Some(Change::Remove(d.id));
            }
        }
        // removed by an operator: the leader itself goes last
        let gone = m.all().filter(|x| self.state.retired.contains(&x.id));
        if let Some(g) = gone.max_by_key(|x| x.id != raft.id) {
            return Some(Change::Remove(g.id));
        }
        // a cell with most of the voters would take the core with it: one more elsewhere, then one fewer there
        let (most, size) =
            m.voters.iter().map(|v| (there(cell(v)), v)).max_by_key(|x| x.0).map_or((0, 0), |x| (x.0, staying.len()));
        let crowded = |v: &&Member| there(cell(v)) == most && most > 1;
        if size > self.shape.core_voters && dead.is_none() {
            let out = m.voters.iter().filter(|v| v.id != raft.id && crowded(v)).max_by_key(|v| v.id);
            return out.map(|v| Change::Remove(v.id));
        }
        let spread = most * 2 > size
            && size >= CORE_LEAST
            && next.is_some_and(|l| !cell(l).is_empty() && there(cell(l)) + 1 < most);
        let room = m.voters.len() < self.shape.core_voters || dead.is_some() || spread;
        next.filter(|_| room).map(|l| Change::Promote(l.id))
    }
}
