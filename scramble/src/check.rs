//! A checker for each line of the brief's never-list, over what was seen alone.

use crate::saw::Saw;
use hutbook::constants::RAMP_START;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub line: &'static str,
    pub what: String,
}

type Checker = fn(&Saw) -> Vec<String>;

/// The never-list, in the brief's order, and what all of it rests on: a last word is the last.
pub const LINES: [(&str, Checker); 13] = [
    ("once-only run twice", once_twice),
    ("refused work ran", refused_ran),
    ("allowance passed", allowance),
    ("history lost", history),
    ("stream broken", stream),
    ("leaving server got work", leaving),
    ("evacuated cell got work", evacuated),
    ("config late, back, or lost race applied", config),
    ("read back an older config", read_back),
    ("planned change dropped work", dropped),
    ("server flooded", flooded),
    ("not back after total loss", back),
    ("a last word changed", changed),
];

/// ms. Bounds as the brief sets them.
const LEAVING_MS: u64 = 3_000;
const EVACUATED_MS: u64 = 5_000;
const CONFIG_MS: u64 = 2_000;
const BACK_MS: u64 = 12_000;

pub fn check(s: &Saw) -> Vec<Breach> {
    LINES.iter().flat_map(|(line, f)| f(s).into_iter().map(|what| Breach { line, what })).collect()
}

fn runs_by_key(s: &Saw) -> BTreeMap<&str, u32> {
    let mut m = BTreeMap::new();
    s.runs.iter().for_each(|r| *m.entry(r.key.as_str()).or_default() += 1);
    m
}

fn once_twice(s: &Saw) -> Vec<String> {
    let m = runs_by_key(s);
    let of = |j: &&crate::saw::JobSeen| j.once_only && m.get(j.key.as_str()).is_some_and(|n| *n > 1);
    s.jobs.iter().filter(of).map(|j| format!("{} ran {} times", j.key, m[j.key.as_str()])).collect()
}

fn refused_ran(s: &Saw) -> Vec<String> {
    let m = runs_by_key(s);
    // a repeatable turn may have run and broken before it was refused a further try; it is told failed then
    let told = |j: &&crate::saw::JobSeen| j.verdicts.iter().any(|(_, v, _)| v == "refused");
    let ran = s.jobs.iter().filter(told).filter(|j| m.contains_key(j.key.as_str()));
    ran.map(|j| format!("{} was refused and ran", j.key)).collect()
}

fn allowance(s: &Saw) -> Vec<String> {
    let mut out = vec![];
    for (id, p) in &s.programs {
        let turns: Vec<_> = s.jobs.iter().filter(|j| j.turn && &j.program == id).collect();
        let handed: u64 = turns.iter().map(|j| j.pieces.len() as u64).sum();
        let one = turns.iter().map(|j| j.cap).max().unwrap_or(0);
        if handed > p.allowance + one {
            out.push(format!("{id} handed out {handed} of {} and one turn of {one}", p.allowance));
        }
    }
    out
}

fn history(s: &Saw) -> Vec<String> {
    let mut out = vec![];
    for (id, p) in &s.programs {
        let Some(h) = &p.history else { continue };
        let kept: BTreeSet<&str> = h.iter().map(String::as_str).collect();
        let done = s.jobs.iter().filter(|j| j.turn && &j.program == id);
        let done = done.filter(|j| j.verdicts.iter().any(|(_, v, _)| v == "done"));
        out.extend(done.filter(|j| !kept.contains(j.key.as_str())).map(|j| format!("{id} has lost {}", j.key)));
        if kept.len() != h.len() {
            out.push(format!("{id} remembers a turn twice"));
        }
    }
    out
}

fn stream(s: &Saw) -> Vec<String> {
    let mut out = vec![];
    for j in &s.jobs {
        if j.pieces.windows(2).any(|w| w[0].0 != w[1].0) {
            out.push(format!("{}: two runs stitched together", j.key));
        } else if j.pieces.iter().enumerate().any(|(i, p)| p.1 != i as u64) {
            out.push(format!("{}: a piece skipped or repeated", j.key));
        }
    }
    out
}

fn leaving(s: &Saw) -> Vec<String> {
    let late = |r: &&crate::saw::Ran| {
        s.leaving.iter().any(|(from, until, n)| *n == r.server && r.at > from + LEAVING_MS && r.at < *until)
    };
    s.runs.iter().filter(late).map(|r| format!("{} ran on {} at {}", r.key, r.server, r.at)).collect()
}

fn evacuated(s: &Saw) -> Vec<String> {
    let late = |r: &&crate::saw::Ran| {
        let Some((cell, _, _)) = s.servers.get(&r.server) else { return false };
        s.evacuated.iter().any(|(done, until, c)| c == cell && r.at > done + EVACUATED_MS && r.at < *until)
    };
    s.runs.iter().filter(late).map(|r| format!("{} ran on {} at {}", r.key, r.server, r.at)).collect()
}

fn config(s: &Saw) -> Vec<String> {
    let mut out = vec![];
    // one whose answer was lost may have been accepted: the history knows
    let real: BTreeSet<u64> = s.configs.iter().map(|(_, r)| *r).chain(s.history.iter().map(|h| h.0)).collect();
    let raced = s.raced.iter().filter(|c| s.history.iter().any(|h| h.1 == **c));
    out.extend(raced.map(|c| format!("{c} lost its race and was applied")));
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut seen: Vec<_> = s.beliefs.iter().collect();
    seen.sort_by_key(|b| b.at);
    for b in seen {
        let due = s.configs.iter().filter(|(at, _)| b.at > at + CONFIG_MS).map(|(_, r)| *r).max().unwrap_or(0);
        if b.acts && b.config < due {
            out.push(format!("{} acted on {} at {}, {due} was due", b.node, b.config, b.at));
        }
        let n = newest.entry(&b.node).or_default();
        if b.config < *n {
            out.push(format!("{} fell back from {n} to {}", b.node, b.config));
        }
        *n = (*n).max(b.config);
        if b.config != 0 && !real.contains(&b.config) {
            out.push(format!("{} has {}, which nobody was told is accepted", b.node, b.config));
        }
    }
    out
}

fn read_back(s: &Saw) -> Vec<String> {
    let newest = s.configs.iter().map(|(_, r)| *r).max().unwrap_or(0);
    match s.read_back {
        Some(r) if r < newest => vec![format!("read back {r}, accepted {newest}")],
        _ => vec![],
    }
}

fn dropped(s: &Saw) -> Vec<String> {
    if !s.planned_only {
        return vec![];
    }
    let lost = |j: &&crate::saw::JobSeen| {
        let broken = j.verdicts.iter().any(|(_, v, c)| v == "failed" && c == "stream_broken" || v == "in_doubt");
        j.cut > 0 && !j.pieces.is_empty() || broken
    };
    s.jobs.iter().filter(lost).map(|j| format!("{} was dropped under way", j.key)).collect()
}

fn flooded(s: &Saw) -> Vec<String> {
    let mut out = vec![];
    for r in &s.runs {
        let Some((_, slots, warm)) = s.servers.get(&r.server) else { continue };
        let earned = RAMP_START + r.done / u64::from((*warm).max(1));
        let most = u64::from(*slots).min(earned);
        if u64::from(r.busy) > most {
            out.push(format!("{} had {} under way at {}, it bears {most}", r.server, r.busy, r.at));
        }
    }
    out
}

fn changed(s: &Saw) -> Vec<String> {
    let open = ["running", "unavailable", "no_config"];
    let mut out = vec![];
    for j in &s.jobs {
        let mut last: Vec<&str> = j.verdicts.iter().map(|v| v.1.as_str()).filter(|v| !open.contains(v)).collect();
        last.dedup();
        // told in doubt because its end could not be recorded: the record may know better, never worse
        let from_doubt = last.len() == 2 && last[0] == "in_doubt" && j.verdicts.iter().any(|v| v.2 == "not_recorded");
        // nothing was ever told for certain: then nothing need be kept
        let never = last == ["unknown"];
        if last.len() > 1 && !from_doubt && !never {
            out.push(format!("{} was told {}", j.key, last.join(", then ")));
        }
    }
    out
}

fn back(s: &Saw) -> Vec<String> {
    let late = |(up, first): &(u64, Option<u64>)| match first {
        Some(f) if f.saturating_sub(*up) <= BACK_MS => None,
        Some(f) => Some(format!("served {} ms after everything was up", f - up)),
        None => Some("served nothing after everything was up".to_string()),
    };
    s.losses.iter().filter_map(late).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::saw::{Belief, JobSeen, ProgramSeen, Ran};

    fn ran(at: u64, server: &str, key: &str, busy: u32, done: u64) -> Ran {
        Ran { at, server: server.into(), key: key.into(), busy, done }
    }

    fn clean() -> Saw {
        let told = |v: &str| vec![(5, v.to_string(), String::new())];
        let turn = JobSeen {
            program: "p".into(),
            key: "t1".into(),
            turn: true,
            cap: 4,
            pieces: vec![(0, 0), (0, 1)],
            verdicts: told("done"),
            ..JobSeen::default()
        };
        let tool = JobSeen { key: "c1".into(), once_only: true, verdicts: told("done"), ..JobSeen::default() };
        let no = JobSeen { key: "r1".into(), verdicts: told("refused"), ..JobSeen::default() };
        Saw {
            jobs: vec![turn, tool, no],
            programs: BTreeMap::from([("p".into(), ProgramSeen { allowance: 2, history: Some(vec!["t1".into()]) })]),
            runs: vec![ran(10, "s1", "t1", 1, 0), ran(20, "s1", "c1", 2, 0)],
            servers: BTreeMap::from([("s1".into(), ("a".into(), 4, 1))]),
            configs: vec![(0, 7), (1_000, 9)],
            beliefs: vec![
                Belief { at: 500, node: "e1".into(), acts: true, config: 7 },
                Belief { at: 4_000, node: "e1".into(), acts: true, config: 9 },
            ],
            read_back: Some(9),
            losses: vec![(100, Some(9_000))],
            planned_only: true,
            ..Saw::default()
        }
    }

    #[test]
    fn a_clean_day_passes() {
        assert_eq!(check(&clean()), vec![]);
    }

    /// Each line's checker is shown to fail on a fault put in by hand.
    #[rstest::rstest]
    #[case("once-only run twice", |s: &mut Saw| s.runs.push(ran(30, "s1", "c1", 1, 0)))]
    #[case("refused work ran", |s: &mut Saw| s.runs.push(ran(30, "s1", "r1", 1, 0)))]
    #[case("allowance passed", |s: &mut Saw| s.jobs[0].pieces = (0..7).map(|i| (0, i)).collect())]
    #[case("history lost", |s: &mut Saw| s.programs.get_mut("p").unwrap().history = Some(vec![]))]
    #[case("history lost", |s: &mut Saw| s.programs.get_mut("p").unwrap().history = Some(vec!["t1".into(), "t1".into()]))]
    #[case("stream broken", |s: &mut Saw| s.jobs[0].pieces = vec![(0, 0), (0, 2)])]
    #[case("stream broken", |s: &mut Saw| s.jobs[0].pieces = vec![(0, 0), (1, 1)])]
    #[case("leaving server got work", |s: &mut Saw| {
        s.leaving.push((0, u64::MAX, "s1".into()));
        s.runs.push(ran(3_500, "s1", "x", 1, 0));
    })]
    #[case("evacuated cell got work", |s: &mut Saw| {
        s.evacuated.push((0, u64::MAX, "a".into()));
        s.runs.push(ran(5_500, "s1", "x", 1, 0));
    })]
    #[case("config late, back, or lost race applied", |s: &mut Saw| s.beliefs[1].config = 7)]
    #[case("config late, back, or lost race applied", |s: &mut Saw| s.beliefs[0].config = 8)]
    #[case("config late, back, or lost race applied", |s: &mut Saw| {
        s.raced.push("b".into());
        s.history.push((9, "b".into()));
    })]
    #[case("read back an older config", |s: &mut Saw| s.read_back = Some(7))]
    #[case("planned change dropped work", |s: &mut Saw| s.jobs[0].cut = 1)]
    #[case("server flooded", |s: &mut Saw| s.runs[1].busy = 3)]
    #[case("not back after total loss", |s: &mut Saw| s.losses[0].1 = Some(12_200))]
    #[case("not back after total loss", |s: &mut Saw| s.losses[0].1 = None)]
    #[case("a last word changed", |s: &mut Saw| s.jobs[1].verdicts.push((9, "refused".into(), String::new())))]
    #[case("a last word changed", |s: &mut Saw| s.jobs[1].verdicts.push((9, "unknown".into(), String::new())))]
    fn a_fault_put_in_is_found(#[case] line: &str, #[case] put: fn(&mut Saw)) {
        let mut s = clean();
        put(&mut s);
        let b = check(&s);
        assert!(b.iter().any(|b| b.line == line), "{b:?}");
    }
}
