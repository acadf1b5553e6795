//! What two nodes believe, side by side.

use jzon::JsonValue;

/// What belongs to one group's agreement: compared only between its members.
const GROUP: [&str; 6] = ["term", "leader", "members", "applied", "programs", "jobs"];

/// What belongs to a node itself and may differ.
const OWN: [&str; 5] = ["node", "kind", "cell", "licensed", "clock_ms"];

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub place: String,
    pub left: String,
    pub right: String,
    /// What such a difference means.
    pub why: &'static str,
}

/// Every difference in what both should agree on. Only what both say is compared:
/// a bothy follows its own group and has no view of servers.
pub fn compare(a: &JsonValue, b: &JsonValue) -> Vec<Difference> {
    let mut out = vec![];
    let one_group = a["kind"] == b["kind"] && a["group"] == b["group"];
    for (k, x) in a.entries() {
        let mine = OWN.contains(&k) || (GROUP.contains(&k) && !one_group);
        if !mine && b.has_key(k) {
            walk(k, x, &b[k], why(k, a, b), &mut out);
        }
    }
    out
}

fn walk(place: &str, a: &JsonValue, b: &JsonValue, why: &'static str, out: &mut Vec<Difference>) {
    if a.is_object() && b.is_object() {
        let mut keys: Vec<&str> = a.entries().chain(b.entries()).map(|(k, _)| k).collect();
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter().for_each(|k| walk(&format!("{place}.{k}"), &a[k], &b[k], why, out));
    } else if a != b {
        let text = |v: &JsonValue| if v.is_null() { "nothing".to_string() } else { v.dump() };
        out.push(Difference { place: place.into(), left: text(a), right: text(b), why });
    }
}

fn why(key: &str, a: &JsonValue, b: &JsonValue) -> &'static str {
    let behind = a["revision"] != b["revision"];
    match key {
        "cluster" => "they belong to different clusters, or one has not found its cluster yet",
        "term" | "leader" => "an election is under way, or one of them is cut off",
        "members" | "core" => "a change of members has not reached both",
        "applied" | "programs" | "jobs" => "one of them is behind in its group's log",
        _ if behind => "the one with the lower revision is behind, and follows within a renewal unless it is cut off",
        _ => "at the same revision this must not differ: keep both nodes' logs and report it",
    }
}

#[cfg(test)]
mod tests;
