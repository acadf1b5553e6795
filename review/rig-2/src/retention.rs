//! LOST: an edge freezes and wakes again while turns end. Each turn that was answered whole is gone on from inside
//! `RetentionS` after the end of its answer.

use crate::clients::ask;
use crate::fleet::Class;
use crate::has_trouble;
use crate::setup::{turn, Deployment, RETENTION_S};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// `node_freeze` of the site file lasts up to 3.5 s.
const FREEZE_MS: u64 = 750;
const TURNS: u64 = 300;
const STEP_MS: u64 = 6;
const END_MS: u64 = 3_000;

struct Ended {
    attempt: String,
    program: String,
    server_end: u64,
    client_end: u64,
}

pub fn run(root: &str, record: &str) -> Option<bool> {
    let deployment = Arc::new(Deployment::start(root, record, 3, 3, 3)?);
    let record = deployment.record.clone();
    let edge = deployment.fleet.of_class(Class::Edge)[0];
    let front = deployment.fleet.front(edge);
    let answered = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..TURNS)
        .map(|number| {
            let (deployment, answered) = (deployment.clone(), answered.clone());
            std::thread::spawn(move || {
                let (attempt, program) = (format!("first-{number}"), format!("p-{number}"));
                // they begin one after the other, and all end at about the same time
                let begins_after = number * STEP_MS;
                std::thread::sleep(Duration::from_millis(begins_after));
                let query = format!("events=2&gap=1&work={}", END_MS - begins_after);
                let answer = ask(front, &turn(&attempt, &program, None, &query, b"the first input"));
                let client_end = deployment.record.now();
                answered.fetch_add(u64::from(answer.status == 200 && answer.is_whole), Ordering::Relaxed);
                let server_end = deployment.servers.ledger.of(&attempt).first().and_then(|run| run.ended)?;
                (answer.status == 200 && answer.is_whole).then_some(Ended { attempt, program, server_end, client_end })
            })
        })
        .collect();
    // the freeze comes while turns end one after the other
    while has_trouble() && answered.load(Ordering::Relaxed) < TURNS / 20 {
        std::thread::sleep(Duration::from_micros(200));
    }
    if has_trouble() {
        deployment.fleet.signal(edge, crate::fleet::SIGSTOP);
        record.note(format!("the edge is frozen for {FREEZE_MS} ms"));
        std::thread::sleep(Duration::from_millis(FREEZE_MS));
        deployment.fleet.signal(edge, crate::fleet::SIGCONT);
        record.note("the edge is awake again");
    }
    let ended: Vec<Ended> = threads.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect();
    let delayed = ended.iter().filter(|turn| turn.client_end > turn.server_end + 300).count();
    record.note(format!(
        "{} of {TURNS} turns were answered whole, {delayed} of them later than 300 ms after their server's last byte",
        ended.len()
    ));
    let lost: Vec<_> = ended
        .into_iter()
        .map(|first| {
            let deployment = deployment.clone();
            std::thread::spawn(move || {
                let delay = first.client_end.saturating_sub(first.server_end);
                // well inside the time for which the turn is kept, counted from the end of its answer
                let margin = (delay / 2).max(250);
                let at = first.client_end + RETENTION_S * 1_000 - margin;
                std::thread::sleep(Duration::from_millis(at.saturating_sub(deployment.record.now())));
                let mut tries = 0;
                let (sent, next, answer) = loop {
                    tries += 1;
                    let sent = deployment.record.now();
                    let next = format!("{}-next-{tries}", first.attempt);
                    let request = turn(&next, &first.program, Some(&first.attempt), "events=1&work=1", b"the next input");
                    let answer = ask(front, &request);
                    // a refusal is asked again, as the pages say
                    if answer.status != 503 || tries == 3 {
                        break (sent, next, answer);
                    }
                    std::thread::sleep(Duration::from_millis(200));
                };
                let is_lost = [404, 410].contains(&answer.status);
                if is_lost || delay > 300 {
                    deployment.record.note(format!(
                        "{next}: {} sent {} ms after the whole answer (which ended {delay} ms after its server), answered {}",
                        first.attempt,
                        sent - first.client_end,
                        answer.status
                    ));
                }
                u64::from(is_lost)
            })
        })
        .collect();
    let lost: u64 = lost.into_iter().filter_map(|thread| thread.join().ok()).sum();
    record.note(format!("{lost} turns that had to be kept were answered 404 or 410"));
    Some(lost > 0)
}
