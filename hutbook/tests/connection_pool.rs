//! Pooled connections to servers whose answers are surplus, late or truncated.

mod pool_server;

use bytes::Bytes;
use hutbook::transport::connection_pool::BodyRead;
use hutbook::transport::connection_pool::ServerRequest;
use hutbook::transport::dispatch::NoAnswer;
use pool_server::{
    complete_answer, jobs_by_connection, request, run, write, Client, Server, ARRIVAL_MS, MAX_CONNECTIONS,
};
use rstest::rstest;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn a_clean_connection_is_reused() {
    let server = Server::start(|stream, job| write(stream, &complete_answer(job)));
    run(async {
        let client = Client::default();
        client.expect_done(&server, "a").await;
        client.expect_done(&server, "b").await;
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (0, "b")]));
    });
}

#[test]
fn a_connection_with_another_jobs_answer_is_not_reused() {
    // given a server that sends a surplus answer before the expected one
    let server =
        Server::start(|stream, job| write(stream, &format!("{}{}", complete_answer("earlier"), complete_answer(job))));
    run(async {
        let client = Client::default();
        // when two jobs are sent in sequence
        client.expect_done(&server, "a").await;
        client.expect_done(&server, "b").await;
        // then each gets its own answer, over its own connection
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[test]
fn a_connection_with_late_surplus_bytes_is_not_reused() {
    // given a server that sends another job's answer some time after a complete one
    let server = Server::start(|stream, job| {
        write(stream, &complete_answer(job));
        std::thread::sleep(Duration::from_millis(ARRIVAL_MS / 2));
        write(stream, &complete_answer("earlier"));
    });
    run(async {
        let client = Client::default();
        client.expect_done(&server, "a").await;
        // when that answer has arrived while this process was stalled, so that its runtime hasn't polled the socket yet
        std::thread::sleep(Duration::from_millis(ARRIVAL_MS));
        client.expect_done(&server, "b").await;
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[test]
fn a_connection_closed_while_idle_is_not_reused() {
    // given a server that closes each connection some time after its answer, without notice
    let server = Server::start(|stream, job| {
        write(stream, &complete_answer(job));
        std::thread::sleep(Duration::from_millis(ARRIVAL_MS / 2));
        stream.shutdown(std::net::Shutdown::Both).expect("an open connection");
    });
    run(async {
        let client = Client::default();
        client.expect_done(&server, "a").await;
        // when this process was stalled meanwhile
        std::thread::sleep(Duration::from_millis(ARRIVAL_MS));
        // then even a once-only job is served
        let result = client.ask(&server, MAX_CONNECTIONS, request("b", true)).await;
        assert_eq!(result, Ok(Some(Bytes::from_static(b"done"))));
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[test]
fn a_truncated_answer_is_discarded_and_its_connection_is_not_reused() {
    // given a server that truncates its first answer in the middle of the body
    let server = Server::start(|stream, job| match job {
        "a" => {
            let all = complete_answer(job);
            write(stream, &all[..all.len() - 2]);
            stream.shutdown(std::net::Shutdown::Write).expect("an open connection");
        }
        _ => write(stream, &complete_answer(job)),
    });
    run(async {
        let client = Client::default();
        assert_eq!(client.ask(&server, MAX_CONNECTIONS, request("a", false)).await, Ok(None));
        client.expect_done(&server, "b").await;
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[test]
fn a_connection_with_a_partly_read_answer_is_not_reused() {
    // given a job whose answer is dropped before its whole body has been read
    let server = Server::start(|stream, job| match job {
        "a" => write(stream, "HTTP/1.1 200 OK\r\ncorkdrum-job: a\r\ncontent-length: 9\r\n\r\ndone"),
        _ => write(stream, &complete_answer(job)),
    });
    run(async {
        let client = Client::default();
        let mut a = client.send(&server, MAX_CONNECTIONS, request("a", false)).await.expect("a head");
        assert_eq!(a.next().await, BodyRead::Bytes(Bytes::from_static(b"done")));
        drop(a);
        client.expect_done(&server, "b").await;
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[test]
fn a_request_reset_after_sending_is_reported_as_sent_and_not_repeated() {
    // given a server that resets the connection as it reads its second job
    let server = Server::start(|stream, job| match job {
        "a" => write(stream, &complete_answer(job)),
        _ => {
            let no_linger = Some(Duration::ZERO);
            socket2::SockRef::from(&*stream).set_linger(no_linger).expect("a socket");
            stream.shutdown(std::net::Shutdown::Both).expect("an open connection");
        }
    });
    run(async {
        let client = Client::default();
        client.expect_done(&server, "a").await;
        // when a once-only job is sent over the same connection
        let result = client.ask(&server, MAX_CONNECTIONS, request("b", true)).await;
        // then it is reported as sent, and was received once
        assert_eq!(result, Err(NoAnswer { sent: true }));
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (0, "b")]));
    });
}

#[test]
fn an_answer_with_another_jobs_id_is_rejected() {
    let server = Server::start(|stream, _| write(stream, &complete_answer("another")));
    run(async {
        let client = Client::default();
        let request = ServerRequest { timeout_ms: ARRIVAL_MS, ..request("a", true) };
        assert_eq!(client.ask(&server, MAX_CONNECTIONS, request).await, Err(NoAnswer { sent: true }));
    });
}

#[test]
fn an_idle_connection_is_closed_for_a_job_that_cannot_reuse_it() {
    // given the maximum number of connections, idle for too long for a once-only job
    let server = Server::start(|stream, job| write(stream, &complete_answer(job)));
    run(async {
        let client = Client::default();
        assert_eq!(client.ask(&server, 1, request("a", false)).await, Ok(Some(Bytes::from_static(b"done"))));
        client.clock.store(hutbook::constants::MAX_ONCE_ONLY_IDLE_MS + 1, Ordering::Relaxed);
        // when such a job arrives
        let result = client.ask(&server, 1, request("b", true)).await;
        // then it gets a new connection, and the idle one is closed
        assert_eq!(result, Ok(Some(Bytes::from_static(b"done"))));
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[rstest]
#[case::closed_by_its_server("content-length: 9\r\nconnection: close\r\n")]
#[case::without_a_length("")]
fn a_connection_counts_as_open_while_its_answer_is_read(#[case] framing: &'static str) {
    let server = Server::start(move |stream, job| {
        write(stream, &format!("HTTP/1.1 200 OK\r\ncorkdrum-job: {job}\r\n{framing}\r\ndone"));
    });
    run(async {
        let client = Client::default();
        // given an answer whose connection can't be used again, and whose body is not read yet
        let answer = client.send(&server, 1, request("a", false)).await.expect("a head");
        // when another request comes, then it has to wait
        assert_eq!(client.send(&server, 1, request("b", false)).await.err(), Some(NoAnswer { sent: false }));
        drop(answer);
        assert!(client.send(&server, 1, request("c", false)).await.is_ok());
    });
}
