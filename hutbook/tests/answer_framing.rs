//! How the end of a server's answer is told: by a length, by chunks, or by the end of its connection.

mod pool_server;

use bytes::Bytes;
use hutbook::transport::connection_pool::BodyRead;
use pool_server::{read_all, reset, run, write, Client, Server};
use std::net::Shutdown;

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
