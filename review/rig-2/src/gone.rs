//! GONE: clients close their connections while a server is at work on their requests, which may be repeated.

use crate::clients::{read, send, Request};
use crate::fleet::Class;
use crate::has_trouble;
use crate::setup::{plain, Deployment};
use std::sync::Arc;
use std::time::Duration;

/// 312 ms of work (`archive-pull`), eight times as long (`srv_grey`, slow).
const WORK_MS: u64 = 2_496;
/// Clients leave within half the aim (`give_up`); here the aim is 1,200 ms.
const LEAVES_AFTER_MS: u64 = 100;
/// From the rule.
const HALF_SECOND_MS: u64 = 500;
/// "more than a few requests".
const FEW: usize = 5;
const REQUESTS: usize = 20;

/// A stream that may be resumed, whose first event takes as long as the plain work.
fn stream<'a>(attempt: &str) -> Request<'a> {
    Request {
        method: "POST",
        path: format!("/streams/chat?work={WORK_MS}&events=2"),
        attempt: attempt.to_string(),
        headers: vec![
            ("X-Program-Id", attempt.to_string()),
            ("X-Session-Id", attempt.to_string()),
            ("X-Token-Budget", "1000".to_string()),
            ("X-Token-Counts", "100,8".to_string()),
        ],
        body: b"input".to_vec(),
        deadline_ms: 6_000,
    }
}

pub fn run(root: &str, record: &str) -> Option<bool> {
    let deployment = Arc::new(Deployment::start(root, record, 3, 3, 3)?);
    let edges = deployment.fleet.of_class(Class::Edge);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (deployment, front) = (deployment.clone(), deployment.fleet.front(edges[number % edges.len()]));
            std::thread::spawn(move || {
                let record = &deployment.record;
                std::thread::sleep(Duration::from_millis(number as u64 * 200));
                let attempt = format!("{}-{number}", if number % 2 == 0 { "plain" } else { "stream" });
                let request = match number % 2 {
                    0 => plain("/long/", &attempt, &format!("work={WORK_MS}")),
                    _ => stream(&attempt),
                };
                let mut connection = send(front, &request).ok()?;
                if !has_trouble() {
                    let answer = read(&mut connection);
                    record.note(format!("{attempt}: stayed, answered {}, whole: {}", answer.status, answer.is_whole));
                    return Some((attempt, None));
                }
                std::thread::sleep(Duration::from_millis(LEAVES_AFTER_MS));
                drop(connection);
                let left_at = record.now();
                record.note(format!("{attempt}: the client has closed its connection"));
                Some((attempt, Some(left_at)))
            })
        })
        .collect();
    let clients: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    std::thread::sleep(Duration::from_millis(WORK_MS + 3_000));
    let (mut late_arrivals, mut at_work, mut left) = (0, 0, 0);
    for (attempt, left_at) in clients {
        let Some(left_at) = left_at else { continue };
        left += 1;
        let runs = deployment.servers.ledger.of(&attempt);
        let limit = left_at + HALF_SECOND_MS;
        late_arrivals += runs.iter().filter(|run| run.began > limit).count();
        at_work += usize::from(runs.iter().any(|run| run.began <= limit && run.ended.is_none_or(|end| end > limit)));
        for run in runs {
            let since = |at: u64| at as i64 - left_at as i64;
            deployment.record.note(format!(
                "{attempt} at {}: began {} ms, ended {:?} ms after its client had left, dropped: {}",
                run.server,
                since(run.began),
                run.ended.map(since),
                run.dropped
            ));
        }
    }
    deployment.record.note(format!(
        "{left} clients left; half a second later servers were still at work on {at_work} of their requests, and \
         {late_arrivals} sends reached a server only after that"
    ));
    Some(late_arrivals > FEW || at_work * 4 > left)
}
