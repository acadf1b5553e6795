//! Calls to servers whose answers carry no id: tools, lists of servers, probes, operators' commands.

mod pool_server;

use hutbook::transport::dispatch::NoAnswer;
use hutbook::transport::http::{call, gated_call};
use pool_server::{reset, run, write, Server, TIMEOUT_MS};
use rstest::rstest;
use std::net::{Shutdown, TcpStream};

/// Marks a connection that has carried a request.
const USED_TTL: u32 = 63;

/// Sends a call and returns the body of its answer.
async fn ask(server: &Server, id: &str) -> Result<String, NoAnswer> {
    let url = format!("http://{}/", server.addr);
    let answer = call("GET", &url, &[("corkdrum-job", id)], String::new(), TIMEOUT_MS).await;
    answer.map(|(_, body, _)| body)
}

fn close(stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[1, 2")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n[1, 2\r\n")]
#[case::number("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n12")]
fn a_cut_answer_to_a_call_is_no_answer(#[case] answer: &'static str) {
    let server = Server::start(move |stream, _| {
        write(stream, answer);
        close(stream);
    });
    run(async { assert_eq!(ask(&server, "a").await, Err(NoAnswer { sent: true })) });
}

#[test]
fn an_answer_to_a_call_that_ends_with_its_connection_is_whole() {
    let server = Server::start(|stream, _| {
        write(stream, "HTTP/1.1 200 OK\r\n\r\n[1, 2]");
        close(stream);
    });
    run(async { assert_eq!(ask(&server, "a").await, Ok("[1, 2]".into())) });
}

#[test]
fn an_answer_to_a_call_that_is_reset_is_no_answer() {
    let server = Server::start(|stream, _| {
        write(stream, "HTTP/1.1 200 OK\r\n\r\n[1, 2]");
        reset(stream);
    });
    run(async { assert_eq!(ask(&server, "a").await, Err(NoAnswer { sent: true })) });
}

#[test]
fn a_late_second_answer_is_not_taken_for_the_next_calls() {
    // given a server that answers "a" again once another request has come over the same connection
    let server = Server::start(|stream, id| {
        let is_reused = stream.ttl().is_ok_and(|ttl| ttl == USED_TTL);
        if is_reused {
            write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
        }
        stream.set_ttl(USED_TTL).expect("a socket");
        write(stream, &format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{id}"));
    });
    run(async {
        assert_eq!(ask(&server, "a").await, Ok("a".into()));
        assert_eq!(ask(&server, "b").await, Ok("b".into()));
    });
}

#[test]
fn a_call_whose_gate_is_closed_sends_nothing() {
    let server = Server::start(|stream, _| write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
    run(async {
        let url = format!("http://{}/", server.addr);
        let answer = gated_call("GET", &url, &[], String::new(), TIMEOUT_MS, Box::new(|| false)).await;
        assert_eq!(answer.map(drop), Err(NoAnswer { sent: false }));
        assert!(server.seen().is_empty());
    });
}

#[test]
fn a_call_to_a_dead_address_was_not_sent() {
    let addr = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    run(async {
        let answer = call("GET", &format!("http://{addr}/"), &[], String::new(), TIMEOUT_MS).await;
        assert_eq!(answer.map(drop), Err(NoAnswer { sent: false }));
    });
}
