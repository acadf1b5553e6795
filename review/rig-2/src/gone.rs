//! GONE: a share of the clients close their connections while a server is at work on their requests.

use crate::clients::{read, send, Request};
use crate::fleet::Class;
use crate::has_trouble;
use crate::setup::{plain, Deployment};
use std::sync::Arc;
use std::time::Duration;

/// `give_up`: clients leave within half the aim, which is 200 ms for `change-review`.
const LEAVES_AFTER_MS: u64 = 90;
/// The share that leaves: 18 of 120 clients, 0.15.
const CLIENTS: usize = 120;
const STREAMS_LEFT: usize = 12;
const PLAIN_LEFT: usize = 6;
/// The prompt of a late turn of a long session: at most 18 turns of at most 2,570 tokens, and 5,120 shared.
const PROMPT_TOKENS: u64 = 40_000;
/// An engine of the site reads 37.9 prompt tokens in a ms.
const STREAM_WORK_MS: u64 = PROMPT_TOKENS * 10 / 379;
/// The longest work of `archive-pull`.
const PLAIN_WORK_MS: u64 = 1_500;
/// From the rule.
const HALF_SECOND_MS: u64 = 500;

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// A resumable stream with the figures of `change-review`; the verdict rests on these.
    Stream,
    /// A pure request with the figures of `archive-pull`; reported beside.
    Plain,
}

/// A stream that may be resumed, whose first event comes once its prompt has been read.
fn stream<'a>(attempt: &str) -> Request<'a> {
    Request {
        method: "POST",
        path: format!("/streams/chat?work={STREAM_WORK_MS}&events=8&gap=5"),
        attempt: attempt.to_string(),
        headers: vec![
            ("X-Program-Id", attempt.to_string()),
            ("X-Session-Id", attempt.to_string()),
            ("X-Token-Budget", "1000".to_string()),
            ("X-Token-Counts", format!("{PROMPT_TOKENS},32")),
        ],
        body: b"input".to_vec(),
        deadline_ms: 4_000,
    }
}

/// What servers did for clients that had left.
#[derive(Default)]
struct Tally {
    left: usize,
    at_work: usize,
    late_sends: usize,
}

pub fn run(root: &str, record: &str) -> Option<bool> {
    let deployment = Arc::new(Deployment::start(root, record, 3, 3, 3)?);
    let edges = deployment.fleet.of_class(Class::Edge);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (deployment, front) = (deployment.clone(), deployment.fleet.front(edges[number % edges.len()]));
            std::thread::spawn(move || {
                let record = &deployment.record;
                std::thread::sleep(Duration::from_millis(number as u64 * 100));
                let kind = if number < PLAIN_LEFT { Kind::Plain } else { Kind::Stream };
                // those that leave are spread over the others
                let leaves = kind == Kind::Plain || (number % 9 == 0 && number / 9 <= STREAMS_LEFT);
                let (attempt, request) = match kind {
                    Kind::Plain => {
                        let attempt = format!("plain-{number}");
                        let request = plain("/long/", &attempt, &format!("work={PLAIN_WORK_MS}"));
                        (attempt, request)
                    }
                    Kind::Stream => (format!("stream-{number}"), stream(&format!("stream-{number}"))),
                };
                let mut connection = send(front, &request).ok()?;
                if !has_trouble() || !leaves {
                    let answer = read(&mut connection);
                    let (status, whole) = (answer.status, answer.is_whole);
                    record.note(format!("{attempt}: stayed, answered {status}, whole: {whole}"));
                    return Some((kind, attempt, None));
                }
                std::thread::sleep(Duration::from_millis(LEAVES_AFTER_MS));
                drop(connection);
                let left_at = record.now();
                record.note(format!("{attempt}: the client has closed its connection"));
                Some((kind, attempt, Some(left_at)))
            })
        })
        .collect();
    let clients: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    std::thread::sleep(Duration::from_millis(PLAIN_WORK_MS + 2_000));
    let (mut streams, mut plains) = (Tally::default(), Tally::default());
    for (kind, attempt, left_at) in clients {
        let Some(left_at) = left_at else { continue };
        let tally = if kind == Kind::Stream { &mut streams } else { &mut plains };
        let runs = deployment.servers.ledger.of(&attempt);
        let limit = left_at + HALF_SECOND_MS;
        tally.left += 1;
        tally.late_sends += runs.iter().filter(|run| run.began > limit).count();
        let works = runs.iter().any(|run| run.began <= limit && run.ended.is_none_or(|end| end > limit));
        tally.at_work += usize::from(works);
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
        "half a second after {} clients of streams had left, servers were still at work on {} of these streams; of {} plain \
         requests on {}, and {} sends of these reached a server only later",
        streams.left, streams.at_work, plains.left, plains.at_work, plains.late_sends
    ));
    Some(streams.at_work * 4 > streams.left)
}
