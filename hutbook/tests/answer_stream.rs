//! How a client sees the end of a streamed answer.

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use hutbook::transport::answer_stream::{answer_stream, BrokenOff, Disconnected, StreamSender};
use hutbook::transport::http::serve_requests;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// In milliseconds; longer than any answer here takes on a busy machine.
const TIMEOUT_MS: u64 = 5_000;
const PART: Bytes = Bytes::from_static(b"data: x\n\n");
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns all bytes that a client gets, where the answer's producer ends as `produce` does.
fn exchange(produce: fn(StreamSender)) -> String {
    let addr = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let (started, start_signal) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let answer = move |_| async move {
                let (sender, receiver) = answer_stream(2);
                actix_rt::spawn(async move {
                    sender.send(PART).await.expect("a client");
                    // the part has been written by the time that the answer ends
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                    produce(sender);
                });
                Response::with_body(StatusCode::OK, receiver.into_body(|| {}))
            };
            let (server, _) = serve_requests(addr, 1, TIMEOUT_MS, None, answer).expect("a free port");
            started.send(()).expect("receiver is alive");
            let _ = server.await;
        })
    });
    start_signal.recv().expect("server has started");
    read_answer(addr)
}

fn read_answer(addr: SocketAddr) -> String {
    let mut stream = TcpStream::connect(addr).expect("server is listening");
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS))).expect("a read time-out");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").expect("an open connection");
    let mut received = vec![];
    // bytes received before a reset count as well
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn a_completed_stream_ends_with_its_last_chunk() {
    let answer = exchange(StreamSender::complete);
    assert!(answer.contains("data: x") && answer.ends_with(LAST_CHUNK), "{answer}");
}

#[test]
fn a_stream_whose_producer_ends_without_a_word_does_not_look_complete() {
    let answer = exchange(drop);
    assert!(answer.contains("data: x") && !answer.contains(LAST_CHUNK), "{answer}");
}

#[test]
fn a_stream_whose_producer_panics_does_not_look_complete() {
    let answer = exchange(|_sender| panic!("a fault in the producer"));
    assert!(answer.contains("data: x") && !answer.contains(LAST_CHUNK), "{answer}");
}

#[test]
fn an_empty_part_does_not_end_a_stream() {
    actix_rt::System::new().block_on(async {
        let (sender, mut receiver) = answer_stream(2);
        assert_eq!(sender.send(Bytes::new()).await, Ok(()));
        assert_eq!(sender.send(PART).await, Ok(()));
        drop(sender);
        assert_eq!(receiver.next().await, Some(Ok(PART)));
        assert_eq!(receiver.next().await, Some(Err(BrokenOff)));
    });
}

#[test]
fn a_producer_learns_that_its_client_has_gone() {
    actix_rt::System::new().block_on(async {
        let (sender, receiver) = answer_stream(2);
        drop(receiver);
        sender.disconnected().await;
        assert_eq!(sender.send(PART).await, Err(Disconnected));
    });
}
