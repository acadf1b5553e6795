//! Could a group have a majority? Only the ground knows who is up, awake and within
//! reach; so only it can say whether a group that doesn't lead rightly can't.

use super::*;
use hutbook::coordination::raft::Raft;
use hutbook::state::entry::Members;

/// ms. A sync that takes longer is too near to the bound on a stalled disk to be counted on.
const SLOW_MS: u64 = DISK_BOUND_MS / 3;

/// The span in which no edge had within reach what it needs to serve.
const SERVICE: &str = "service";

/// What was seen so far, from look to look.
#[derive(Default)]
pub struct Watch {
    /// The newest members any log has held, and how new that log was.
    members: BTreeMap<&'static str, ((u64, u64), Members)>,
    short: BTreeMap<&'static str, u64>,
    still: BTreeMap<&'static str, u64>,
}

/// A span begins, goes on or ends.
fn mark(open: &mut BTreeMap<&'static str, u64>, which: &'static str, on: bool, now: u64) -> Option<(u64, u64, String)> {
    if on {
        open.entry(which).or_insert(now);
        return None;
    }
    open.remove(which).map(|from| (from, now, which.to_string()))
}

impl Inner {
    fn raft(&self, name: &str) -> Option<&Raft> {
        match &self.nodes[name].part {
            Part::Core(Some(r)) => Some(&r.raft),
            Part::Store { replica: Some(r), .. } => Some(&r.raft),
            _ => None,
        }
    }

    fn awake(&self, name: &str) -> bool {
        let n = &self.nodes[name];
        n.up && !n.frozen
    }

    /// Up, awake, and with a disk that can be counted on.
    fn whole(&self, name: &str) -> bool {
        self.awake(name) && self.nodes[name].disk.sync_ms.is_some_and(|ms| ms <= SLOW_MS)
    }

    fn linked(&self, a: &str, b: &str) -> bool {
        if self.cuts.is_empty() {
            return true;
        }
        let cut = |a: &str, b: &str| self.cuts.contains(&(a.to_string(), b.to_string()));
        !cut(a, b) && !cut(b, a)
    }

    /// Some majority of these voters is whole and hears each other both ways, and this edge too.
    fn could(&self, kind: &str, m: &Members, edge: Option<&str>) -> bool {
        let by_id = |id: u64| self.nodes.iter().find(|(n, x)| n.starts_with(kind) && x.id == id).map(|x| x.0.as_str());
        let well: Vec<&str> = m.voters.iter().filter_map(|v| by_id(v.id)).collect();
        let near = |n: &&&str| self.whole(n) && edge.is_none_or(|e| self.linked(e, n));
        let well: Vec<&str> = well.iter().filter(near).copied().collect();
        let most = m.voters.len() / 2 + 1;
        // groups are small: every choice of them is tried
        (0..1u32 << well.len()).any(|pick| {
            let some: Vec<&str> =
                well.iter().enumerate().filter(|(i, _)| pick >> i & 1 == 1).map(|(_, n)| *n).collect();
            some.len() >= most && some.iter().all(|a| some.iter().all(|b| a == b || self.linked(a, b)))
        })
    }

    /// Looks once at both groups and at the edges' licences.
    pub(super) fn watch(&mut self) {
        let now = self.now;
        let mut w = std::mem::take(&mut self.watch);
        let mut core = false;
        for kind in ["refuge", "bothy"] {
            let names: Vec<String> = self.nodes.keys().filter(|n| n.starts_with(kind)).cloned().collect();
            for r in names.iter().filter_map(|n| self.raft(n)).filter(|r| !r.members().voters.is_empty()) {
                let new = (r.last_term(), r.last());
                let known = w.members.entry(kind).or_default();
                if new >= known.0 {
                    *known = (new, r.members().clone());
                }
            }
            let Some((_, m)) = w.members.get(kind) else { continue };
            let could = self.could(kind, m, None);
            let leads = names.iter().any(|n| self.awake(n) && self.raft(n).is_some_and(|r| r.role == Role::Leader));
            self.saw.short.extend(mark(&mut w.short, kind, !could, now));
            self.saw.still.extend(mark(&mut w.still, kind, could && !leads, now));
            core |= kind == "refuge" && could;
        }
        // an edge that nothing keeps from the core should have its licence
        let refuges: Vec<&String> = self.nodes.keys().filter(|n| n.starts_with("refuge")).collect();
        let free = self.nodes.iter().filter(|(n, x)| {
            matches!(x.part, Part::Edge(_)) && x.up && !x.frozen && refuges.iter().all(|r| self.linked(n, r))
        });
        let free: Vec<bool> = free.map(|(_, x)| matches!(&x.part, Part::Edge(e) if e.licensed(now))).collect();
        let without = core && !free.is_empty() && !free.contains(&true);
        self.saw.still.extend(mark(&mut w.still, "licences", without, now));
        // somebody could be served: by an edge in reach of both majorities and of a model server
        let up = |e: &str| self.nodes.iter().any(|(n, x)| n.starts_with("model") && x.up && self.linked(e, n));
        let both = |e: &str| w.members.iter().all(|(k, (_, m))| self.could(k, m, Some(e)));
        let edges = self.nodes.iter().filter(|(n, x)| matches!(x.part, Part::Edge(_)) && self.awake(n));
        let serves = edges.into_iter().any(|(e, _)| both(e) && up(e));
        self.saw.short.extend(mark(&mut w.short, SERVICE, !serves, now));
        self.watch = w;
    }
}
