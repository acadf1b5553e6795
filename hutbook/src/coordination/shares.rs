//! Who may use how many of each server's slots. The sum of what all edges may
//! believe never passes the server's bound: a share is raised only out of what
//! no other edge can still believe it has.

use super::view::{hash, View};
use crate::constants::*;
use std::collections::BTreeMap;

messages! {
    /// What an edge says of one server at a renewal.
    #[derive(Default)]
    pub struct Held {
        #[n(0)] pub server: String,
        /// Its share as it believes it.
        #[n(1)] pub share: u32,
        #[n(2)] pub busy: u32,
        /// Jobs finished there since the server was listed at `since`.
        #[n(3)] pub done: u64,
        #[n(4)] pub since: u64,
    }
}

#[derive(Default, Clone)]
pub struct EdgeBook {
    pub until: u64,
    pub have: u64,
    pub cell: String,
    pub addr: String,
    pub demand: BTreeMap<String, u32>,
    pub held: BTreeMap<String, Held>,
    no: u64,
    sure: BTreeMap<String, u32>,
    sent: BTreeMap<String, u32>,
}

impl EdgeBook {
    /// The most this edge may have, or believe it may have, under way on a server.
    fn taken(&self, server: &str, now: u64) -> u32 {
        let busy = self.held.get(server).map_or(0, |h| h.busy);
        if now > self.until {
            return busy;
        }
        let believed = self.sure.get(server).max(self.sent.get(server)).copied().unwrap_or(0);
        believed.max(busy)
    }
}

/// The leader's memory of licences and shares. A new leader starts with none
/// and for one whole term only repeats what each edge already held.
#[derive(Default)]
pub struct Ledger {
    pub rose: u64,
    pub edges: BTreeMap<u64, EdgeBook>,
    ramp: BTreeMap<String, (u64, u32)>,
    targets: BTreeMap<String, BTreeMap<u64, u32>>,
    targets_at: Option<u64>,
}

impl Ledger {
    pub fn new(now: u64) -> Self {
        Ledger { rose: now, ..Ledger::default() }
    }

    /// Licences of an earlier leader may still be out.
    pub fn young(&self, now: u64) -> bool {
        now <= self.rose + LICENCE_MS + DRIFT_MS
    }

    /// Has every licence that could still act applied `rev`?
    pub fn all_have(&self, now: u64, rev: u64) -> bool {
        !self.young(now) && self.edges.values().all(|e| e.until < now || e.have >= rev)
    }

    pub fn live(&self, now: u64) -> usize {
        self.edges.values().filter(|e| e.until >= now).count()
    }

    pub fn busy(&self, server: &str) -> u32 {
        self.edges.values().map(|e| e.held.get(server).map_or(0, |h| h.busy)).sum()
    }

    /// Slots the server may have in use fleet-wide now: cold ones earn theirs.
    pub fn bound(&mut self, v: &View, server: &str) -> u32 {
        let Some(s) = v.servers.get(server) else { return 0 };
        let Some(g) = v.config.as_ref().and_then(|c| c.groups.get(&s.group)) else { return 0 };
        let said = self.edges.values().filter_map(|e| e.held.get(server)).filter(|h| h.since == s.since);
        let done: u64 = said.map(|h| h.done).sum();
        let earned = RAMP_START + done / u64::from(g.warm_jobs.max(1));
        let r = self.ramp.entry(server.to_string()).or_insert((s.since, 0));
        if r.0 != s.since {
            *r = (s.since, 0);
        }
        r.1 = r.1.max(earned.min(u64::from(u32::MAX)) as u32);
        r.1.min(g.in_flight)
    }

    /// Forgets edges that can't have anything under way any more.
    pub fn sweep(&mut self, now: u64) {
        self.edges.retain(|_, e| now < e.until + GONE_MS);
    }

    #[allow(clippy::too_many_arguments)]
    pub fn hear(
        &mut self,
        now: u64,
        node: u64,
        seen: u64,
        have: u64,
        cell: &str,
        addr: &str,
        demand: Vec<(String, u32)>,
        held: Vec<Held>,
    ) {
        let e = self.edges.entry(node).or_default();
        e.have = have;
        e.cell = cell.to_string();
        e.addr = addr.to_string();
        e.demand = demand.into_iter().collect();
        if e.no == 0 || now > e.until {
            // first word to this leader: what it holds came from the one before
            e.sure = held.iter().map(|h| (h.server.clone(), h.share)).collect();
            e.sent.clear();
        } else if seen == e.no {
            e.sure = std::mem::take(&mut e.sent);
        } else {
            // the last grant was lost, or is yet to be seen: it may hold either
            for (s, n) in std::mem::take(&mut e.sent) {
                let m = e.sure.entry(s).or_default();
                *m = (*m).max(n);
            }
        }
        e.held = held.into_iter().map(|h| (h.server.clone(), h)).collect();
    }

    /// Shares for one edge, recorded as granted until they are acknowledged or lapse.
    pub fn grant(&mut self, now: u64, v: &View, node: u64) -> (u64, BTreeMap<String, u32>) {
        let young = self.young(now);
        if self.targets_at.is_none_or(|t| now >= t + TARGETS_MS) {
            self.aim(now, v);
        }
        let servers: Vec<String> = v.servers.keys().filter(|s| v.usable(s)).cloned().collect();
        let mut out = BTreeMap::new();
        for s in servers {
            let bound = self.bound(v, &s);
            let e = &self.edges[&node];
            let share = if young {
                e.sure.get(&s).copied().unwrap_or(0)
            } else {
                let others: u32 = self.edges.iter().filter(|(n, _)| **n != node).map(|(_, x)| x.taken(&s, now)).sum();
                let aim = self.targets.get(&s).and_then(|t| t.get(&node)).copied().unwrap_or(0);
                aim.min(bound.saturating_sub(others))
            };
            if share > 0 {
                out.insert(s, share.min(bound));
            }
        }
        let e = self.edges.get_mut(&node).expect("heard before it is granted");
        e.no += 1;
        e.sent = out.clone();
        e.until = now + LICENCE_MS + DRIFT_MS;
        (e.no, out)
    }

    /// Divides every server's bound by what the edges say they could use.
    fn aim(&mut self, now: u64, v: &View) {
        self.targets_at = Some(now);
        self.targets.clear();
        let servers: Vec<(String, String)> =
            v.servers.values().filter(|s| v.usable(&s.name)).map(|s| (s.name.clone(), s.group.clone())).collect();
        for (s, g) in servers {
            let bound = self.bound(v, &s);
            let live = self.edges.iter().filter(|(_, e)| e.until >= now || e.no == 0);
            let w: Vec<(u64, u32)> = live.map(|(n, e)| (*n, e.demand.get(&g).copied().unwrap_or(0) + 1)).collect();
            self.targets.insert(s.clone(), divide(bound, &w, hash(&s)));
        }
    }
}

/// Largest remainders; `salt` turns the order so that ties differ from server to server.
pub fn divide(bound: u32, weights: &[(u64, u32)], salt: u64) -> BTreeMap<u64, u32> {
    let sum: u64 = weights.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut out = BTreeMap::new();
    if sum == 0 {
        return out;
    }
    let mut rest = vec![];
    let mut left = bound;
    for (n, w) in weights {
        let exact = u64::from(bound) * u64::from(*w);
        let whole = (exact / sum) as u32;
        left -= whole;
        out.insert(*n, whole);
        rest.push((exact % sum, n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt, *n));
    }
    rest.sort_unstable_by(|a, b| b.cmp(a));
    for (_, _, n) in rest.into_iter().take(left as usize) {
        *out.get_mut(&n).expect("every weight has a share") += 1;
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_to_the_bound_and_follow_demand() {
        // given edges of different demand, when a bound is divided
        let d = divide(10, &[(1, 1), (2, 8), (3, 1)], 7);
        // then nothing is lost and the busy edge has the most
        assert_eq!(d.values().sum::<u32>(), 10);
        assert_eq!(d[&2], 8);
        assert_eq!(divide(2, &[(1, 1), (2, 1), (3, 1)], 0).values().sum::<u32>(), 2);
        assert!(divide(5, &[], 0).is_empty());
    }
}
