//! Tests that the judges report nothing for a correct history and report each fault that is injected into it.

use super::super::document::{added_path, BLUE, GREEN, MOVED_PATH, ONCE_ONLY_PATH, REPEATABLE_PATH, TURNS_PATH};
use super::super::history::{
    Answer, ChangeKind, ChangeResult, ConfigChange, Ending, Incarnation, Micros, Read, Records, Request, Run, Sample,
    StopRequest, Usage,
};
use super::super::servers::{event_texts, whole_body};
use super::*;
use crate::process_fleet::Exit;
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const BOUNDS: Bounds = Bounds { in_force: 2 * SECOND, recovery: 2 * SECOND, grace: 10 * SECOND };
const EDGE: &str = "edge1";

/// Returns a server's whole answer to a plain request.
fn server_answer(id: &str, server: &str) -> Ending {
    whole_answer(id, server, REPEATABLE_PATH)
}

fn whole_answer(id: &str, server: &str, path: &str) -> Ending {
    Ending::Answered(Answer {
        status: 200,
        server: server.into(),
        id: id.into(),
        is_whole: true,
        body: whole_body(id, path),
        has_surplus: false,
        says_when: false,
    })
}

fn edge_answer(status: u16) -> Ending {
    Ending::Answered(Answer {
        status,
        server: String::new(),
        id: String::new(),
        is_whole: true,
        body: vec![],
        has_surplus: false,
        says_when: status == 503,
    })
}

fn request(id: &str, path: &str, sent: Micros, ending: Ending) -> Request {
    Request {
        id: id.into(),
        client: 1,
        connection: 1,
        edge: EDGE.into(),
        incarnation: 1,
        path: path.into(),
        previous_turn: String::new(),
        sent,
        ended: Some((sent + 1_000, ending)),
    }
}

fn run(id: &str, at: Micros, service: &'static str) -> Run {
    Run { at, id: id.into(), server: format!("{service}1"), service, body: vec![] }
}

fn change(number: u64, base: u64, sent: Micros, end: ChangeResult) -> ConfigChange {
    ConfigChange { number, kind: ChangeKind::Change, base, sent, ended: Some((sent + 1_000, end)) }
}

fn incarnation(stop_request: StopRequest, ended: Option<(Micros, Exit)>) -> Incarnation {
    Incarnation { process: EDGE.into(), number: 1, started: 0, stop_request, frozen: vec![], ended }
}

fn sample(at: Micros, files: u64, threads: u64, open_at_servers: u64) -> Sample {
    let of = |process: &str, is_edge| Usage {
        process: process.into(),
        is_edge,
        incarnation: 1,
        files,
        threads,
        memory_kb: 1,
    };
    Sample { at, open_at_servers, usages: vec![of(EDGE, true), of("core1", false)] }
}

/// Returns a correct history: two changes a second apart, then requests of all kinds for ten seconds.
fn correct_history() -> Records {
    let mut records = Records { end: 20 * SECOND, recovered_at: 4 * SECOND, ..Records::default() };
    records.config_changes = vec![
        change(1, 0, 1_000, ChangeResult::Acknowledged(10)),
        change(2, 10, SECOND, ChangeResult::Acknowledged(20)),
        change(3, 10, SECOND, ChangeResult::Refused(412)),
    ];
    records.incarnations = vec![incarnation(StopRequest::Nothing, None)];
    records.reads = vec![Read { sent: 2 * SECOND, node: "core1".into(), revision: 20 }];
    for n in 0..200 {
        let (id, sent) = (format!("r{n}"), 4 * SECOND + n * SECOND / 15);
        records.requests.push(request(&id, REPEATABLE_PATH, sent, server_answer(&id, "blue1")));
        records.runs.push(run(&id, sent + 100, BLUE));
    }
    for (id, path, service) in [("m", MOVED_PATH, BLUE), ("o", ONCE_ONLY_PATH, BLUE)] {
        records.requests.push(request(id, path, 5 * SECOND, server_answer(id, "blue1")));
        records.runs.push(run(id, 5 * SECOND + 100, service));
    }
    records.requests.push(request("gone", &added_path(9), 5 * SECOND, edge_answer(404)));
    add_turn(&mut records, "t1", "", 6 * SECOND);
    add_turn(&mut records, "t2", "t1", 7 * SECOND);
    records.samples = (0..20).map(|n| sample(4 * SECOND + n * SECOND / 2, 50 + n % 2, 8, 10)).collect();
    records
}

fn add_turn(records: &mut Records, id: &str, previous_turn: &str, sent: Micros) {
    let mut body = records.runs.iter().find(|run| run.id == previous_turn).map_or(vec![], |run| run.body.clone());
    if !previous_turn.is_empty() {
        event_texts(previous_turn).iter().for_each(|text| body.extend_from_slice(format!("{text}\n").as_bytes()));
    }
    body.extend(input_of(id));
    records.requests.push(Request {
        previous_turn: previous_turn.into(),
        ..request(id, TURNS_PATH, sent, whole_answer(id, "blue1", TURNS_PATH))
    });
    records.runs.push(Run { body, ..run(id, sent + 100, BLUE) });
}

fn request_of<'a>(records: &'a mut Records, id: &str) -> &'a mut Request {
    records.requests.iter_mut().find(|request| request.id == id).expect("it is there")
}

fn answer_of<'a>(records: &'a mut Records, id: &str) -> &'a mut Answer {
    match &mut request_of(records, id).ended {
        Some((_, Ending::Answered(answer))) => answer,
        _ => unreachable!("every request of this history is answered"),
    }
}

fn answer_with(records: &mut Records, id: &str, ending: Ending) {
    let request = request_of(records, id);
    request.ended = Some((request.sent + 1_000, ending));
}

fn remove_run(records: &mut Records, id: &str) {
    records.runs.retain(|run| run.id != id);
}

#[test]
fn correct_history_has_no_findings() {
    assert_eq!(judge(&correct_history(), &BOUNDS), []);
}

#[rstest]
#[case::confirmed_route_refused("configuration in force", |r: &mut Records| {
    r.requests.push(request("added", &added_path(2), 5 * SECOND, edge_answer(404)));
})]
#[case::dropped_route_served("configuration in force", |r: &mut Records| {
    r.requests.push(request("dropped", &added_path(9), 5 * SECOND, server_answer("dropped", "blue1")));
    r.runs.push(run("dropped", 5 * SECOND + 9, BLUE));
})]
#[case::old_service_runs("configuration in force", |r: &mut Records| {
    r.runs.iter_mut().find(|run| run.id == "m").expect("it is there").service = GREEN;
})]
#[case::refused_change_in_force("configuration in force", |r: &mut Records| {
    r.requests.push(request("third", &added_path(3), 5 * SECOND, server_answer("third", "blue1")));
    r.runs.push(run("third", 5 * SECOND + 9, BLUE));
})]
#[case::older_revision_used_again("never back", |r: &mut Records| {
    for (id, sent, service) in [("new", SECOND + 5_000, BLUE), ("old", SECOND + 50_000, GREEN)] {
        r.requests.push(request(id, MOVED_PATH, sent, server_answer(id, "x1")));
        r.runs.push(run(id, sent + 10, service));
    }
})]
#[case::stale_read("read-back", |r: &mut Records| r.reads[0].revision = 10)]
#[case::two_changes_on_one_base("one winner", |r: &mut Records|
    r.config_changes[2].ended = Some((2 * SECOND, ChangeResult::Acknowledged(30))))]
#[case::invalid_change_accepted("invalid order", |r: &mut Records| {
    r.config_changes.push(ConfigChange {
        kind: ChangeKind::Invalid,
        ..change(8, 20, 3 * SECOND, ChangeResult::Acknowledged(30))
    });
})]
#[case::connection_ended_after_it_ran("whole answers", |r: &mut Records| answer_with(r, "r5", Ending::ConnectionEnded))]
#[case::no_answer_in_time("whole answers", |r: &mut Records| {
    answer_with(r, "gone", Ending::NothingCame);
})]
#[case::truncated_answer("whole answers", |r: &mut Records| {
    let Some((_, Ending::Answered(answer))) = &mut request_of(r, "r5").ended else { unreachable!() };
    answer.is_whole = false;
})]
#[case::turn_truncated_without_a_store_fault("whole answers", |r: &mut Records| {
    let Some((_, Ending::Answered(answer))) = &mut request_of(r, "t2").ended else { unreachable!() };
    answer.is_whole = false;
})]
#[case::body_cut_short("whole answers", |r: &mut Records| answer_of(r, "r5").body.truncate(3))]
#[case::body_dropped("whole answers", |r: &mut Records| answer_of(r, "r5").body.clear())]
#[case::last_event_dropped("whole answers", |r: &mut Records| {
    let body = &mut answer_of(r, "t2").body;
    body.truncate(body.len() / 2);
})]
#[case::body_of_another_request("whole answers", |r: &mut Records|
    answer_of(r, "r5").body = whole_body("r6", REPEATABLE_PATH))]
#[case::bytes_after_an_answer("whole answers", |r: &mut Records| answer_of(r, "r5").has_surplus = true)]
#[case::plain_answer_truncated_as_its_server_broke_off("whole answers", |r: &mut Records| {
    answer_of(r, "r5").is_whole = false;
    r.broken_answers.insert("r5".into());
})]
#[case::connection_ended_as_the_server_of_a_plain_answer_broke_off("whole answers", |r: &mut Records| {
    answer_with(r, "r5", Ending::ConnectionEnded);
    r.broken_answers.insert("r5".into());
})]
#[case::turn_not_answered_as_its_server_broke_off("whole answers", |r: &mut Records| {
    answer_with(r, "t2", Ending::NothingCame);
    r.broken_answers.insert("t2".into());
})]
#[case::answer_to_another_request("whole answers", |r: &mut Records|
    answer_with(r, "r5", server_answer("r6", "blue1")))]
#[case::success_without_a_server("whole answers", |r: &mut Records| answer_with(r, "r5", edge_answer(200)))]
#[case::refusal_without_retry_after("whole answers", |r: &mut Records| {
    let mut refusal = edge_answer(503);
    if let Ending::Answered(answer) = &mut refusal {
        answer.says_when = false;
    }
    remove_run(r, "o");
    answer_with(r, "o", refusal);
})]
#[case::ran_twice("once only", |r: &mut Records| r.runs.push(run("o", 6 * SECOND, BLUE)))]
#[case::refused_and_ran("refused has not run", |r: &mut Records| answer_with(r, "o", edge_answer(503)))]
#[case::retained_turn_unknown("kept turns", |r: &mut Records| {
    remove_run(r, "t2");
    answer_with(r, "t2", edge_answer(404));
})]
#[case::changed_texts("kept turns", |r: &mut Records| {
    r.runs.iter_mut().find(|run| run.id == "t2").expect("it is there").body = b"else".to_vec();
})]
#[case::no_service_after_recovery("recovery", |r: &mut Records| {
    let ids: Vec<String> = r.requests.iter().filter(|q| q.path == REPEATABLE_PATH).map(|q| q.id.clone()).collect();
    for id in ids {
        remove_run(r, &id);
        answer_with(r, &id, edge_answer(503));
    }
})]
#[case::too_little_service_later("recovery", |r: &mut Records| {
    let late: Vec<String> = r.requests.iter().filter(|q| q.sent > 14 * SECOND).map(|q| q.id.clone()).collect();
    for id in late {
        remove_run(r, &id);
        answer_with(r, &id, edge_answer(503));
    }
})]
#[case::ended_unexpectedly("ends of processes", |r: &mut Records|
    r.incarnations[0].ended = Some((9 * SECOND, Exit::Code(101))))]
#[case::bad_exit_code("ends of processes", |r: &mut Records| {
    r.incarnations[0] = incarnation(StopRequest::Terminate(8 * SECOND), Some((9 * SECOND, Exit::Code(1))));
})]
#[case::killed_by_sigterm_after_its_start("ends of processes", |r: &mut Records| {
    r.incarnations[0] = incarnation(StopRequest::Terminate(8 * SECOND), Some((8 * SECOND, Exit::Signal(15))));
})]
#[case::crashed_when_stopped_during_its_start("ends of processes", |r: &mut Records| {
    r.incarnations[0] = incarnation(StopRequest::Terminate(SECOND), Some((SECOND, Exit::Signal(11))));
})]
#[case::does_not_stop("ends of processes", |r: &mut Records|
    r.incarnations[0] = incarnation(StopRequest::Terminate(8 * SECOND), None))]
#[case::slow_to_stop("ends of processes", |r: &mut Records| {
    r.incarnations[0] = incarnation(StopRequest::Terminate(SECOND), Some((15 * SECOND, Exit::Code(0))));
})]
#[case::files_of_a_controller_grow("growth", |r: &mut Records| {
    r.samples.iter_mut().enumerate().for_each(|(n, sample)| sample.usages[1].files += n as u64);
})]
#[case::files_of_edges_grow("growth", |r: &mut Records| {
    r.samples.iter_mut().enumerate().for_each(|(n, sample)| sample.usages[0].files += n as u64);
})]
#[case::threads_grow("growth", |r: &mut Records| {
    r.samples.iter_mut().enumerate().for_each(|(n, sample)| sample.usages[0].threads += n as u64);
})]
fn injected_fault_is_found(#[case] judge_name: &str, #[case] inject: fn(&mut Records)) {
    let mut records = correct_history();
    inject(&mut records);
    let findings = judge(&records, &BOUNDS);
    assert!(findings.iter().any(|finding| finding.judge == judge_name), "{judge_name} not in {findings:?}");
}

#[rstest]
#[case::killed(|r: &mut Records| {
    answer_with(r, "r5", Ending::ConnectionEnded);
    let ended = request_of(r, "r5").ended.as_ref().expect("it has").0;
    r.incarnations[0].stop_request = StopRequest::Kill(ended - 10);
})]
#[case::turn_truncated_during_a_store_fault(|r: &mut Records| {
    let Some((_, Ending::Answered(answer))) = &mut request_of(r, "t2").ended else { unreachable!() };
    answer.is_whole = false;
    let stopped = Some((6 * SECOND, Exit::Signal(9)));
    r.incarnations.push(Incarnation {
        process: "bothy1".into(),
        ..incarnation(StopRequest::Kill(6 * SECOND), stopped)
    });
})]
#[case::stopped_before_it_handles_signals(|r: &mut Records| {
    r.incarnations[0] = incarnation(StopRequest::Terminate(5_000), Some((9_000, Exit::Signal(15))));
})]
#[case::connection_ended_before_the_request_was_read(|r: &mut Records| {
    remove_run(r, "o");
    answer_with(r, "o", Ending::ConnectionEnded);
})]
#[case::old_configuration_before_the_bound(|r: &mut Records| {
    r.requests.push(request("early", &added_path(2), SECOND + 500, edge_answer(404)));
})]
#[case::turn_truncated_as_its_server_broke_off(|r: &mut Records| {
    answer_of(r, "t2").is_whole = false;
    r.broken_answers.insert("t2".into());
})]
#[case::connection_of_a_turn_ended_as_its_server_broke_off(|r: &mut Records| {
    answer_with(r, "t2", Ending::ConnectionEnded);
    r.broken_answers.insert("t2".into());
})]
#[case::turn_truncated_while_turns_were_refused(|r: &mut Records| {
    let Some((at, Ending::Answered(answer))) = &mut request_of(r, "t2").ended else { unreachable!() };
    answer.is_whole = false;
    let at = *at;
    r.requests.push(request("t9", TURNS_PATH, at - 1_000, edge_answer(503)));
})]
#[case::files_grow_in_one_step(|r: &mut Records| {
    r.samples.iter_mut().skip(12).for_each(|sample| sample.usages[1].files += 5);
})]
#[case::edges_use_more_connections(|r: &mut Records| {
    r.samples.iter_mut().enumerate().for_each(|(n, sample)| {
        sample.usages[0].files += n as u64;
        sample.open_at_servers += n as u64;
    });
})]
fn allowed_behaviour_is_not_reported(#[case] change: fn(&mut Records)) {
    let mut records = correct_history();
    change(&mut records);
    assert_eq!(judge(&records, &BOUNDS), []);
}
