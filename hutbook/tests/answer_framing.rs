//! How the end of a server's answer is told: by a length, by chunks, or by the end of its connection.

mod pool_server;

use actix_http::Method;
use bytes::Bytes;
use hutbook::transport::connection_pool::faults::AnswerFaultCounts;
use hutbook::transport::connection_pool::{BodyRead, ConnectionPool, ServerRequest};
use pool_server::{jobs_by_connection, read_all, request, reset, run, write, Client, Server, MAX_CONNECTIONS};
use rstest::rstest;
use std::net::Shutdown;
use std::sync::Arc;

/// An answer without a length and without chunks, up to its body.
fn head_without_length(attempt: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncorkdrum-job: {attempt}\r\n\r\n")
}

#[test]
fn an_answer_without_a_length_is_whole_once_its_connection_ends_in_order() {
    let server = Server::start(|stream, attempt| {
        write(stream, &head_without_length(attempt));
        write(stream, "the whole");
        write(stream, " body");
        let _ = stream.shutdown(Shutdown::Write);
    });
    run(async {
        let body = read_all(&mut Client::default().get(&server, "a").await.expect("a head")).await;
        assert_eq!(body, Ok(Bytes::from_static(b"the whole body")));
    });
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_not_whole() {
    let server = Server::start(|stream, attempt| {
        write(stream, &head_without_length(attempt));
        write(stream, "half of");
        reset(stream);
    });
    run(async {
        if let Ok(mut answer) = Client::default().get(&server, "a").await {
            assert_eq!(read_all(&mut answer).await, Err(BodyRead::Broken));
        }
    });
}

/// How a server ends its connection after the bytes of an answer.
#[derive(Clone, Copy)]
enum Ending {
    Open,
    Closed,
    Reset,
}

/// Starts a server that answers with these bytes, in which `ID` stands for the attempt's id.
fn answering(answer: &'static str, ending: Ending) -> Server {
    Server::start(move |stream, attempt| {
        write(stream, &answer.replace("ID", attempt));
        match ending {
            Ending::Open => {}
            Ending::Closed => {
                let _ = stream.shutdown(Shutdown::Write);
            }
            Ending::Reset => reset(stream),
        }
    })
}

/// Sends one request. Returns its answer's body, or None if there is no whole answer.
async fn whole_body(server: &Server) -> Option<Bytes> {
    let mut answer = Client::default().get(server, "a").await.ok()?;
    read_all(&mut answer).await.ok()
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\n\r\ndone", Ending::Open)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    Ending::Open
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nx-more: 1\r\n\r\n",
    Ending::Open
)]
#[case::close("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\n\r\ndone", Ending::Closed)]
#[case::identity("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: identity\r\n\r\ndone", Ending::Closed)]
#[case::http_1_0("HTTP/1.0 200 OK\r\ncorkdrum-job: ID\r\n\r\ndone", Ending::Closed)]
#[case::after_interim(
    "HTTP/1.1 103 Early Hints\r\ncorkdrum-job: ID\r\n\r\nHTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\n\r\ndone",
    Ending::Open
)]
#[case::after_surplus(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: x\r\ncontent-length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\n\r\ndone",
    Ending::Closed
)]
#[case::before_surplus(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\n\r\nno",
    Ending::Open
)]
fn a_whole_answer_is_given_out(#[case] answer: &'static str, #[case] ending: Ending) {
    run(async {
        assert_eq!(whole_body(&answering(answer, ending)).await, Some(Bytes::from_static(b"done")));
    });
}

#[rstest]
#[case::no_content("HTTP/1.1 204 No Content\r\ncorkdrum-job: ID\r\n\r\n")]
#[case::not_modified("HTTP/1.1 304 Not Modified\r\ncorkdrum-job: ID\r\n\r\n")]
#[case::length_0("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 0\r\n\r\n")]
fn an_answer_without_a_body_is_whole_with_its_head(#[case] answer: &'static str) {
    run(async {
        assert_eq!(whole_body(&answering(answer, Ending::Open)).await, Some(Bytes::new()));
    });
}

#[rstest]
#[case::length_too_large("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 9\r\n\r\ndone")]
#[case::no_last_chunk("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n")]
#[case::cut_chunk("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndone")]
#[case::wrong_chunk_size(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\n2\r\ndone\r\n0\r\n\r\n"
)]
#[case::no_chunk_size("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\ndone")]
#[case::two_lengths("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\ndone")]
#[case::length_and_chunks(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\ndo\r\n0\r\n\r\n"
)]
#[case::other_coding("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: gzip\r\n\r\ndone")]
#[case::chunks_before_http_1_1(
    "HTTP/1.0 200 OK\r\ncorkdrum-job: ID\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
)]
#[case::switching("HTTP/1.1 101 Switching Protocols\r\ncorkdrum-job: ID\r\nupgrade: x\r\n\r\ndone")]
#[case::cut_head("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-le")]
#[case::interim_alone("HTTP/1.1 103 Early Hints\r\ncorkdrum-job: ID\r\n\r\n")]
#[case::interim_with_body(
    "HTTP/1.1 103 Early Hints\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 0\r\n\r\n"
)]
#[case::behind_a_cut_surplus(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: x\r\ncontent-length: 90\r\n\r\nnoHTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\n\r\ndone"
)]
#[case::behind_a_surplus_without_length(
    "HTTP/1.1 200 OK\r\ncorkdrum-job: x\r\n\r\nHTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 4\r\n\r\ndone"
)]
#[case::no_answer("these bytes form no answer\r\n\r\n")]
fn an_answer_that_is_not_shown_whole_is_not_given_out(
    #[case] answer: &'static str,
    #[values(Ending::Closed, Ending::Reset)] ending: Ending,
) {
    run(async {
        assert_eq!(whole_body(&answering(answer, ending)).await, None);
    });
}

#[test]
fn a_head_without_end_is_given_up_and_counted() {
    let server = Server::start(|stream, _| {
        write(stream, &format!("HTTP/1.1 200 OK\r\nx-long: {}", "x".repeat(200 * 1024)));
    });
    run(async {
        let faults = Arc::new(AnswerFaultCounts::default());
        let client = Client { pool: ConnectionPool::new(faults.clone()), ..Client::default() };
        assert!(client.get(&server, "a").await.is_err());
        assert_eq!(faults.totals(), [("head_too_long", 1)]);
    });
}

#[test]
fn a_connection_whose_end_is_the_answers_is_not_reused() {
    let server = Server::start(|stream, attempt| {
        write(stream, &head_without_length(attempt));
        let _ = stream.shutdown(Shutdown::Write);
    });
    run(async {
        let client = Client::default();
        for attempt in ["a", "b"] {
            let mut answer = client.get(&server, attempt).await.expect("a head");
            assert_eq!(read_all(&mut answer).await, Ok(Bytes::new()));
        }
        assert_eq!(server.seen(), jobs_by_connection(&[(0, "a"), (1, "b")]));
    });
}

#[test]
fn parts_of_a_stream_without_a_length_arrive_before_its_end() {
    let server = Server::start(|stream, attempt| {
        write(stream, &head_without_length(attempt));
        write(stream, "id: 1\ndata: x\n\n");
    });
    run(async {
        let mut answer = Client::default().get(&server, "a").await.expect("a head");
        assert_eq!(answer.next().await, BodyRead::Bytes(Bytes::from_static(b"id: 1\ndata: x\n\n")));
    });
}

#[test]
fn the_answer_to_a_head_request_has_no_body() {
    let server = answering("HTTP/1.1 200 OK\r\ncorkdrum-job: ID\r\ncontent-length: 9\r\n\r\n", Ending::Open);
    run(async {
        let client = Client::default();
        let head_request = ServerRequest { method: Method::HEAD, ..request("a", false) };
        assert_eq!(client.ask(&server, MAX_CONNECTIONS, head_request).await, Ok(Some(Bytes::new())));
    });
}
