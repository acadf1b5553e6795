use super::*;
use crate::observations::{ControlInvocation, ControlOutcome, ControlRecord, EdgeSample, ProgramRecord, RequestRecord};

fn run(at: u64, server: &str, key: &str, busy: u32, done: u64) -> RunRecord {
    RunRecord { at, server: server.into(), key: key.into(), running: busy, finished: done, config_revision: 7 }
}

fn turn_record(key: &str) -> TurnRecord {
    TurnRecord { key: key.into(), input: format!("{key}?"), answer: "a b ".into() }
}

fn clean() -> Observations {
    let verdict_only = |v: &str| vec![(5, v.to_string(), String::new())];
    let turn = JobRecord {
        program: "p".into(),
        key: "t1".into(),
        turn: true,
        max_tokens: 4,
        chunks: vec![(0, 0), (0, 1)],
        tokens: 2,
        text: "a b ".into(),
        answer: Some("a b ".into()),
        ended_at: Some(50),
        verdicts: verdict_only("done"),
        ..JobRecord::default()
    };
    let tool =
        JobRecord { key: "c1".into(), at_most_once: true, verdicts: verdict_only("done"), ..JobRecord::default() };
    let refused =
        JobRecord { key: "r1".into(), asked_at: 30, verdicts: verdict_only("refused"), ..JobRecord::default() };
    Observations {
        jobs: vec![turn, tool, refused],
        programs: BTreeMap::from([(
            "p".into(),
            ProgramRecord { allowance: 2, history: Some(vec![turn_record("t1")]) },
        )]),
        runs: vec![run(10, "s1", "t1", 1, 0), run(20, "s1", "c1", 2, 0)],
        servers: BTreeMap::from([("s1".into(), ("a".into(), 4, 1))]),
        configs: vec![(0, 7), (1_000, 9)],
        edge_samples: vec![
            EdgeSample { at: 500, node: "e1".into(), has_lease: true, config_revision: 7 },
            EdgeSample { at: 4_000, node: "e1".into(), has_lease: true, config_revision: 9 },
        ],
        read_back: Some(9),
        total_losses: vec![(100, Some(9_000))],
        planned_changes: vec![20],
        ..Observations::default()
    }
}

#[test]
fn clean_run_has_no_violations() {
    assert_eq!(check(&clean()), vec![]);
}

/// Each rule's checker must report a violation that was added to a clean run.
#[rstest::rstest]
#[case("once-only run twice", |observed: &mut Observations| observed.runs.push(run(30, "s1", "c1", 1, 0)))]
#[case("refused work ran", |observed: &mut Observations| observed.runs.push(run(30, "s1", "r1", 1, 0)))]
#[case("allowance passed", |observed: &mut Observations| observed.jobs[0].tokens = 7)]
#[case("history lost", |observed: &mut Observations| observed.programs.get_mut("p").unwrap().history = Some(vec![]))]
#[case("history lost", |observed: &mut Observations| observed.programs.get_mut("p").unwrap().history = Some(vec![turn_record("t1"), turn_record("t1")]))]
#[case("history lost", |observed: &mut Observations| observed.programs.get_mut("p").unwrap().history.as_mut().unwrap()[0].answer = "a c ".into())]
#[case("history lost", |observed: &mut Observations| observed.programs.get_mut("p").unwrap().history.as_mut().unwrap()[0].input = "?".into())]
#[case("history lost", |observed: &mut Observations| {
    let mut j = JobRecord { key: "t2".into(), asked_at: 60, ended_at: Some(70), ..observed.jobs[0].clone() };
    j.verdicts[0].0 = 70;
    observed.jobs.push(j);
    let h = observed.programs.get_mut("p").unwrap().history.as_mut().unwrap();
    h.insert(0, turn_record("t2"));
})]
#[case("stream broken", |observed: &mut Observations| observed.jobs[0].chunks = vec![(0, 0), (0, 2)])]
#[case("stream broken", |observed: &mut Observations| observed.jobs[0].chunks = vec![(0, 0), (1, 1)])]
#[case("stream broken", |observed: &mut Observations| observed.jobs[0].text = "a ".into())]
#[case("leaving server got work", |observed: &mut Observations| {
    observed.leaving_servers.push((0, u64::MAX, "s1".into()));
    observed.runs.push(run(3_500, "s1", "x", 1, 0));
})]
#[case("evacuated cell got work", |observed: &mut Observations| {
    observed.evacuations.push((0, u64::MAX, "a".into()));
    observed.runs.push(run(5_500, "s1", "x", 1, 0));
})]
#[case("config late, back, or lost race applied", |observed: &mut Observations| observed.edge_samples[1].config_revision = 7)]
#[case("config late, back, or lost race applied", |observed: &mut Observations| observed.edge_samples[0].config_revision = 8)]
#[case("config late, back, or lost race applied", |observed: &mut Observations| {
    observed.overtaken_changes.push("b".into());
    observed.history.push((9, "b".into()));
})]
#[case("config late, back, or lost race applied", |observed: &mut Observations| observed.runs.push(run(3_500, "s1", "x", 1, 0)))]
#[case("config late, back, or lost race applied", |observed: &mut Observations| observed.runs[0].config_revision = 8)]
#[case("read back an older config", |observed: &mut Observations| observed.read_back = Some(7))]
#[case("read back an older config", |observed: &mut Observations| observed.read_back = None)]
#[case("planned change dropped work", |observed: &mut Observations| observed.jobs[0].broken_connections = 1)]
#[case("planned change dropped work", |observed: &mut Observations| observed.jobs[0].verdicts[0] = (5, "refused".into(), "overloaded".into()))]
#[case("planned change dropped work", |observed: &mut Observations| observed.jobs[0].verdicts[0] = (5, "in_doubt".into(), "edge_lost".into()))]
// its edge failed, but only well after it had finished the request
#[case("planned change dropped work", |observed: &mut Observations| {
    observed.jobs[0].verdicts[0] = (5, "in_doubt".into(), "edge_lost".into());
    observed.jobs[0].edges = vec!["e1".into()];
    observed.requests.push(RequestRecord { key: "t1".into(), from: 0, until: Some(60) });
    observed.fault_spans.push((60 + FAULT_AFTERMATH_MS, u64::MAX, "e1".into()));
})]
// a planned change is checked even if only the edge still held the request
#[case("planned change dropped work", |observed: &mut Observations| {
    observed.jobs[0].verdicts[0] = (5, "in_doubt".into(), "edge_lost".into());
    observed.planned_changes = vec![80];
    observed.requests.push(RequestRecord { key: "t1".into(), from: 0, until: Some(90) });
})]
#[case("not looked at", |observed: &mut Observations| observed.programs.get_mut("p").unwrap().history = None)]
#[case("not looked at", |observed: &mut Observations| observed.jobs[1].verdicts.clear())]
#[case("not looked at", |observed: &mut Observations| observed.edge_samples.iter_mut().for_each(|sample| sample.has_lease = false))]
#[case("server flooded", |observed: &mut Observations| observed.runs[1].running = 3)]
#[case("not back after total loss", |observed: &mut Observations| observed.total_losses[0].1 = Some(12_200))]
#[case("not back after total loss", |observed: &mut Observations| observed.total_losses[0].1 = None)]
#[case("a group stood still", |observed: &mut Observations| observed.stall_spans.push((100, 5_200, "refuge".into())))]
#[case("not linearizable", |observed: &mut Observations| observed.control_operations.push(ControlRecord {
    from: 1,
    until: Some(2),
    order: ControlInvocation::ReadConfig,
    outcome: ControlOutcome::Config { revision: 9, document: 9 },
}))]
#[case("a last word changed", |observed: &mut Observations| observed.jobs[1].verdicts.push((9, "refused".into(), String::new())))]
#[case("a last word changed", |observed: &mut Observations| observed.jobs[1].verdicts.push((9, "unknown".into(), String::new())))]
fn injected_violation_is_reported(#[case] rule: &str, #[case] inject: fn(&mut Observations)) {
    let mut observed = clean();
    inject(&mut observed);
    let breaches = check(&observed);
    assert!(breaches.iter().any(|breach| breach.rule == rule), "{breaches:?}");
}

#[rstest::rstest]
fn a_refusal_that_asks_for_the_same_key_is_no_final_verdict(
    #[values("no_config", "no_licence", "store_unreachable", "edge_memory")] code: &str,
) {
    let mut observed = clean();
    observed.jobs[1].verdicts.insert(0, (1, code.into(), String::new()));
    assert!(!check(&observed).iter().any(|breach| breach.rule == "a last word changed"));
}
