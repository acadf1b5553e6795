//! Calls whose answers carry no id. Each has a connection of its own, so that a late or surplus answer to another call
//! can't be taken for its own.

use super::answer::Answer;
use super::exchange::exchange;
use super::faults::AnswerFaultCounts;
use super::ServerRequest;
use crate::constants::CONNECT_TIMEOUT_MS;
use crate::transport::dispatch::{Gate, NoAnswer};
use actix_codec::Framed;
use actix_http::h1::ClientCodec;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Sends a request over a new connection, if `gate` is open once it is connected, and waits for the answer's head.
pub async fn single_call(addr: &str, request: ServerRequest, gate: Gate) -> Result<Answer, NoAnswer> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS.min(request.timeout_ms));
    let connected = actix_rt::time::timeout(timeout, TcpStream::connect(addr)).await;
    let Ok(Ok(stream)) = connected else { return Err(NoAnswer { sent: false }) };
    let _ = stream.set_nodelay(true);
    if !gate() {
        return Err(NoAnswer { sent: false });
    }
    let faults = Arc::<AnswerFaultCounts>::default();
    let connection = Framed::new(stream, ClientCodec::default());
    let timeout = Duration::from_millis(request.timeout_ms);
    match actix_rt::time::timeout(timeout, exchange(connection, &request, &faults)).await {
        Ok(Ok(received)) => Ok(Answer::new(received, None, faults)),
        _ => Err(NoAnswer { sent: true }),
    }
}
