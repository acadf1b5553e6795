//! Compares the states that two nodes report.

use jzon::JsonValue;

/// Fields of one group's replicated state: compared only between its members.
const GROUP_FIELDS: [&str; 6] = ["term", "leader", "members", "applied", "programs", "jobs"];

/// Fields of the node itself, which may differ.
const NODE_FIELDS: [&str; 5] = ["node", "kind", "cell", "licensed", "clock_ms"];

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub place: String,
    pub left: String,
    pub right: String,
    /// What such a difference means.
    pub why: &'static str,
}

/// Returns every difference in what both nodes should agree on. Only fields that both report are compared: a store
/// follows its own group and has no view of the servers.
pub fn compare(left: &JsonValue, right: &JsonValue) -> Vec<Difference> {
    let mut differences = vec![];
    let one_group = left["kind"] == right["kind"] && left["group"] == right["group"];
    for (key, value) in left.entries() {
        let is_excluded = NODE_FIELDS.contains(&key) || (GROUP_FIELDS.contains(&key) && !one_group);
        if !is_excluded && right.has_key(key) {
            compare_values(key, value, &right[key], why(key, left, right), &mut differences);
        }
    }
    differences
}

fn compare_values(
    place: &str,
    left: &JsonValue,
    right: &JsonValue,
    why: &'static str,
    differences: &mut Vec<Difference>,
) {
    if left.is_object() && right.is_object() {
        let mut keys: Vec<&str> = left.entries().chain(right.entries()).map(|(key, _)| key).collect();
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter()
            .for_each(|key| compare_values(&format!("{place}.{key}"), &left[key], &right[key], why, differences));
    } else if left != right {
        let text = |value: &JsonValue| if value.is_null() { "nothing".to_string() } else { value.dump() };
        differences.push(Difference { place: place.into(), left: text(left), right: text(right), why });
    }
}

fn why(key: &str, left: &JsonValue, right: &JsonValue) -> &'static str {
    let behind = left["revision"] != right["revision"];
    match key {
        "cluster" => "the nodes belong to different clusters, or one has not joined its cluster yet",
        "term" | "leader" => "an election is in progress, or one of the nodes is partitioned",
        "members" | "core" => "a membership change has not reached both nodes",
        "applied" | "programs" | "jobs" => "one of the nodes is behind in its group's log",
        _ if behind => {
            "the node with the lower revision is behind; it catches up at its next lease renewal unless partitioned"
        }
        _ => "at the same revision this must not differ: save both nodes' logs and report it",
    }
}

#[cfg(test)]
mod tests;
