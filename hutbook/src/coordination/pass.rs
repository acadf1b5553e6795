//! Where work passed through goes: one edge's belief about the servers that take it.
//!
//! Warm servers turn surplus away unharmed, so they are shared softly, by what answers
//! tell. Cold ones would fall over: there the core's numbers bind, over any second.

use super::view::{hash, View};
use crate::constants::*;
use crate::state::config::{Group, PassGroup, Way};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What one job needs of a place.
#[derive(Clone, Debug, Default)]
pub struct Want {
    /// Parts of its prompt in order: (id, tokens).
    pub parts: Vec<(u64, u32)>,
    /// Where its line of turns ran last.
    pub last: String,
    /// Servers it has been to.
    pub been: Vec<String>,
    /// It can't be tried again if it goes wrong: suspect servers come last.
    pub once: bool,
}

/// Where a job goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Spotted {
    pub server: String,
    pub addr: String,
    pub group: String,
    /// Sessions that this edge may have open to it.
    pub sessions: u32,
    /// Tokens of its prompt that the server must still read, as believed here.
    pub unread: u32,
}

/// How a job left its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    Well,
    /// It was turned away: full, or its time was over.
    TurnedAway,
    /// Another server stands at the address.
    Elsewhere,
    /// It failed, was silent or broke off.
    Badly,
    /// Ended from this side; says nothing of the server.
    Dropped,
}

#[derive(Default)]
struct Srv {
    addr: String,
    cell: String,
    slots: u32,
    busy: u32,
    salt: u64,
    /// Jobs a second that may be sent while it is cold.
    cold: Option<u32>,
    sent: VecDeque<u64>,
    /// (when, running, waiting) as it last said, and this edge's own share of that.
    said: Option<(u64, u32, u32, u32)>,
    fails: u32,
    out_until: u64,
    /// Parts believed to be kept there, with when they were used last.
    kept: HashMap<u64, u64>,
    /// Another server answered in its place.
    gone: bool,
}

impl Srv {
    fn load(&self, now: u64) -> f64 {
        match self.said {
            Some((at, running, waiting, own)) if now < at + PASS_SAID_MS => {
                let others = (running + waiting).saturating_sub(own);
                f64::from(others + self.busy)
            }
            _ => f64::from(self.busy),
        }
    }

    /// Cold servers are bound over any second, not by the second of a clock.
    fn allowed(&self, now: u64) -> bool {
        let Some(n) = self.cold else { return true };
        let lately = self.sent.iter().filter(|t| **t + 1_000 + DRIFT_MS > now).count();
        lately < n as usize
    }

    fn unread(&self, parts: &[(u64, u32)]) -> u32 {
        // a part counts only if every part before it is kept as well
        let n = parts.iter().take_while(|(p, _)| self.kept.contains_key(p)).count();
        parts[n..].iter().map(|(_, t)| t).sum()
    }

    /// Remembers these as kept there, `most` in all.
    fn keep(&mut self, now: u64, parts: &[(u64, u32)], most: usize) {
        for (p, _) in parts {
            self.kept.insert(*p, now);
        }
        self.forget_oldest(most);
    }

    /// Down to three quarters of `most` where there are more, so that it is seldom done.
    fn forget_oldest(&mut self, most: usize) {
        if self.kept.len() <= most {
            return;
        }
        let mut used_at: Vec<u64> = self.kept.values().copied().collect();
        used_at.sort_unstable();
        let surplus = used_at.len() - most * 3 / 4;
        let oldest_kept = used_at[surplus - 1];
        self.kept.retain(|_, at| *at > oldest_kept);
        self.kept.shrink_to(most);
    }
}

struct Pool {
    set: PassGroup,
    servers: BTreeMap<String, Srv>,
    busy: u32,
    /// ms. How long a job takes here, smoothed.
    took: f64,
}

/// One edge's belief about all servers that take work passed through.
#[derive(Default)]
pub struct Pass {
    cell: String,
    pools: BTreeMap<String, Pool>,
    edges: u32,
    /// Prompt parts remembered at the most: over all servers, and for each of them.
    max_parts: usize,
    max_parts_each: usize,
    /// By host: (prefix, name of the way), longest prefix first.
    ways: HashMap<String, Vec<(String, String)>>,
    rev: u64,
}

impl Pass {
    pub fn new(cell: &str) -> Pass {
        let max_parts = PROMPT_PARTS_BYTES / PROMPT_PART_BYTES;
        Pass { cell: cell.into(), max_parts, max_parts_each: PASS_PARTS, ..Pass::default() }
    }

    /// From now on so many prompt parts are remembered at the most, over all servers.
    pub fn limit_parts(&mut self, max_parts: usize) {
        self.max_parts = max_parts;
        self.divide_parts();
    }

    /// Prompt parts that are remembered now, over all servers.
    pub fn parts(&self) -> usize {
        self.pools.values().flat_map(|p| p.servers.values()).map(|s| s.kept.len()).sum()
    }

    /// Divides what may be remembered among the servers there are.
    fn divide_parts(&mut self) {
        let servers: usize = self.pools.values().map(|p| p.servers.len()).sum();
        let each = (self.max_parts / servers.max(1)).clamp(PROMPT_PARTS_LEAST, PASS_PARTS);
        self.max_parts_each = each;
        let all = self.pools.values_mut().flat_map(|p| p.servers.values_mut());
        all.for_each(|s| s.forget_oldest(each));
    }

    /// Takes the core's newest word.
    pub fn follow(&mut self, v: &View, cold: &BTreeMap<String, u32>, edges: u32) {
        self.edges = edges.max(1);
        if self.rev != v.rev {
            self.rev = v.rev;
            self.learn(v);
        }
        for (n, s) in self.pools.values_mut().flat_map(|p| &mut p.servers) {
            // one that is cold and for which this edge has no number gets nothing from it
            let is = v.servers.get(n).is_some_and(|s| s.cold);
            s.cold = cold.get(n).copied().or(is.then_some(0));
        }
    }

    fn learn(&mut self, v: &View) {
        let Some(c) = &v.config else { return };
        self.ways.clear();
        for (n, w) in &c.ways {
            self.ways.entry(w.host.clone()).or_default().push((w.prefix.clone(), n.clone()));
        }
        self.ways.values_mut().for_each(|w| w.sort_by(|a, b| b.0.len().cmp(&a.0.len()).then(a.cmp(b))));
        let of = |g: &Group| g.pass.clone();
        let mut sets: BTreeMap<&String, PassGroup> = v.fading.iter().filter_map(|(n, g)| Some((n, of(g)?))).collect();
        sets.extend(c.groups.iter().filter_map(|(n, g)| Some((n, of(g)?))));
        self.pools.retain(|n, p| sets.contains_key(n) || p.busy > 0);
        for (n, set) in sets {
            let p = self.pools.entry(n.clone()).or_insert_with(|| Pool {
                set: set.clone(),
                servers: BTreeMap::new(),
                busy: 0,
                took: 0.0,
            });
            p.set = set;
            let fit = |s: &&super::view::Server| s.group == *n && v.usable(&s.name);
            let now: BTreeSet<&String> = v.servers.values().filter(fit).map(|s| &s.name).collect();
            p.servers.retain(|n, _| now.contains(n));
            for n in now {
                let l = &v.servers[n];
                let s = p.servers.entry(n.clone()).or_default();
                if s.addr != l.addr {
                    *s = Srv { salt: hash(n), ..Srv::default() };
                }
                (s.addr, s.cell, s.slots) = (l.addr.clone(), l.cell.clone(), l.slots.max(1));
            }
        }
        self.divide_parts();
    }

    /// The way of a request: the longest prefix of its host's that begins its path.
    pub fn way(&self, host: &str, path: &str) -> Option<&str> {
        let of = |h: &str| self.ways.get(h)?.iter().find(|(p, _)| path.starts_with(p.as_str())).map(|w| w.1.as_str());
        // a port is no part of the name
        of(host).or_else(|| of(host.rsplit_once(':')?.0))
    }

    /// Which of a way's groups takes this job: by weight, the same one for the same draw.
    pub fn target(w: &Way, draw: u64) -> Option<&str> {
        let sum: u64 = w.to.iter().map(|(_, n)| u64::from(*n)).sum();
        let mut at = draw.checked_rem(sum)?;
        for (g, n) in &w.to {
            if at < u64::from(*n) {
                return Some(g);
            }
            at -= u64::from(*n);
        }
        None
    }

    /// The best place for a job now, which is then taken.
    pub fn place(&mut self, now: u64, group: &str, want: &Want) -> Option<Spotted> {
        let edges = self.edges;
        let p = self.pools.get_mut(group)?;
        let batch = p.set.batch > 0;
        let took = p.took.max(1.0);
        let first = want.parts.first().map_or(0, |x| x.0);
        let mut best: Option<(bool, bool, f64, String)> = None;
        for (n, s) in &p.servers {
            if s.gone || want.been.contains(n) || !s.allowed(now) {
                continue;
            }
            let out = now < s.out_until;
            let load = s.load(now);
            let full = load >= f64::from(s.slots) * PASS_FULL;
            let mut cost = if s.cell == self.cell { 0.0 } else { PASS_CELL_COST_MS };
            if batch {
                cost += f64::from(s.unread(&want.parts)) / PASS_READ_PER_MS + load * PASS_JOB_COST_MS;
                if *n == want.last {
                    // what was said before is kept there, whoever sent it
                    let own: u32 = want.parts.last().map_or(0, |x| x.1);
                    cost -= f64::from(s.unread(&want.parts).saturating_sub(own)) / PASS_READ_PER_MS;
                }
                // all edges lean to the same server for the same beginning, without a word
                let lean = (first ^ s.salt).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                cost += lean as f64 / (1u64 << 24) as f64 * 8.0;
            } else {
                // below its slots a job waits for nobody
                let over = (load + 1.0 - f64::from(s.slots)).max(0.0);
                cost += over * took / f64::from(s.slots) + load / f64::from(s.slots) * 4.0;
                let turn = (now ^ s.salt).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                cost += turn as f64 / (1u64 << 24) as f64;
            }
            cost += f64::from(s.fails.min(8)) * if want.once { 40.0 } else { 10.0 };
            let k = (out, full, cost, n.clone());
            if best.as_ref().is_none_or(|b| (k.0, k.1, k.2) < (b.0, b.1, b.2)) {
                best = Some(k);
            }
        }
        let (_, _, _, n) = best?;
        let most = p.set.sessions_most;
        let s = p.servers.get_mut(&n).expect("just seen");
        let unread = s.unread(&want.parts);
        s.busy += 1;
        p.busy += 1;
        if s.cold.is_some() {
            s.sent.push_back(now);
            while s.sent.front().is_some_and(|t| t + 2_000 < now) {
                s.sent.pop_front();
            }
        }
        s.keep(now, &want.parts, self.max_parts_each);
        let sessions = if most == 0 { POOLED as u32 } else { (most / edges.max(1)).max(2) };
        Some(Spotted { server: n, addr: s.addr.clone(), group: group.into(), sessions, unread })
    }

    /// May this server get work still?
    pub fn stands(&self, group: &str, server: &str) -> bool {
        self.pools.get(group).is_some_and(|p| p.servers.get(server).is_some_and(|s| !s.gone))
    }

    /// Is there any server that a job could wait for?
    pub fn any(&self, group: &str, been: &[String]) -> bool {
        let Some(p) = self.pools.get(group) else { return false };
        p.servers.iter().any(|(n, s)| !s.gone && !been.contains(n))
    }

    /// What an answer said of its server's load: running and waiting.
    pub fn said(&mut self, now: u64, at: &Spotted, running: u32, waiting: u32) {
        if let Some(s) = self.pools.get_mut(&at.group).and_then(|p| p.servers.get_mut(&at.server)) {
            s.said = Some((now, running, waiting, s.busy));
        }
    }

    /// A job left its server; `took` is how long it was there.
    pub fn left(&mut self, now: u64, at: &Spotted, took: u64, how: Went) {
        let Some(p) = self.pools.get_mut(&at.group) else { return };
        p.busy = p.busy.saturating_sub(1);
        if how == Went::Well {
            p.took = if p.took == 0.0 { took as f64 } else { p.took * 0.95 + took as f64 * 0.05 };
        }
        let Some(s) = p.servers.get_mut(&at.server) else { return };
        s.busy = s.busy.saturating_sub(1);
        match how {
            Went::Well => (s.fails, s.out_until) = (0, 0),
            Went::Elsewhere => s.gone = true,
            // full for the moment: others first
            Went::TurnedAway => s.out_until = s.out_until.max(now + PASS_OUT_MS / 4),
            Went::Badly => {
                s.fails += 1;
                s.out_until = now + (PASS_OUT_MS << s.fails.min(5)).min(PASS_OUT_MOST_MS);
            }
            Went::Dropped => {}
        }
    }

    /// (group, under way, servers) for the windows that the scaler reads.
    pub fn busy(&self) -> Vec<(String, u32, usize)> {
        self.pools.iter().map(|(n, p)| (n.clone(), p.busy, p.servers.len())).collect()
    }
}
