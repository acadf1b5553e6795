//! Sends one request over a connection and finds the head of its own answer.

use super::answer::{Body, MessageConnection};
use super::faults::{AnswerFault, AnswerFaultCounts};
use super::framing::Framing;
use super::ServerRequest;
use crate::constants::*;
use actix_http::body::BodySize;
use actix_http::h1::{Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{RequestHead, RequestHeadType, ResponseHead, StatusCode, Version};
use futures_util::{SinkExt, StreamExt};

/// The head of a request's own answer, and its body as far as it has arrived.
pub(super) struct ReceivedAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Body,
    /// Whether the connection may carry another request once the body has been read.
    pub(super) is_reusable: bool,
}

/// Sends a request and reads heads until its own answer's. Interim and surplus answers before it are skipped.
pub(super) async fn exchange(
    mut connection: MessageConnection,
    request: &ServerRequest,
    faults: &AnswerFaultCounts,
) -> Result<ReceivedAnswer, AnswerFault> {
    write(&mut connection, request).await.map_err(|_| AnswerFault::NoHead)?;
    let mut is_clean = true;
    for _ in 0..=MAX_SKIPPED_ANSWERS {
        let head = read_head(&mut connection).await?;
        let is_own = request.expects(&head);
        if is_interim(&head) {
            is_clean &= is_own;
            require_no_body(&connection)?;
            continue;
        }
        let framing = Framing::of(&request.method, &head);
        if framing == Framing::UntilClose {
            faults.count(AnswerFault::NoLength);
        }
        let may_reuse = is_clean && head.version == Version::HTTP_11;
        let body = body(connection, framing);
        if is_own {
            return Ok(ReceivedAnswer { status: head.status, headers: head.headers, body, is_reusable: may_reuse });
        }
        faults.count(AnswerFault::Surplus);
        is_clean = false;
        connection = body.skip().await?;
    }
    Err(AnswerFault::NoHead)
}

async fn write(connection: &mut MessageConnection, request: &ServerRequest) -> std::io::Result<()> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.target.clone();
    head.headers = request.headers.clone();
    let size = if request.body.is_empty() { BodySize::None } else { BodySize::Sized(request.body.len() as u64) };
    connection.feed(Message::Item((RequestHeadType::from(head), size))).await?;
    let mut rest = request.body.clone();
    while !rest.is_empty() {
        // in pieces, because the connection copies what it writes
        let piece = rest.split_to(rest.len().min(REQUEST_PIECE_BYTES));
        connection.feed(Message::Chunk(Some(piece))).await?;
        SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(connection).await?;
    }
    SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(connection).await
}

async fn read_head(connection: &mut MessageConnection) -> Result<ResponseHead, AnswerFault> {
    match connection.next().await {
        Some(Ok(head)) => Ok(head),
        Some(Err(error)) => Err(AnswerFault::of_head(&error)),
        None => Err(AnswerFault::NoHead),
    }
}

/// Returns whether the final answer is still to come.
fn is_interim(head: &ResponseHead) -> bool {
    head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS
}

/// An interim answer that announces a body can't be told from the answer after it.
fn require_no_body(connection: &MessageConnection) -> Result<(), AnswerFault> {
    match connection.codec_ref().message_type() {
        MessageType::None => Ok(()),
        _ => Err(AnswerFault::UnreadableHead),
    }
}

/// Returns the body that follows a head on its connection.
fn body(connection: MessageConnection, framing: Framing) -> Body {
    let codec_expects_body = connection.codec_ref().message_type() != MessageType::None;
    match framing {
        Framing::Delimited if codec_expects_body => {
            Body::Delimited(Box::new(connection.into_map_codec(|c| c.into_payload_codec())))
        }
        Framing::UntilClose => {
            let parts = connection.into_parts();
            Body::UntilClose { stream: parts.io, buffer: parts.read_buf }
        }
        // the head of an answer without a body may announce one, and some servers send it all the same
        Framing::Empty => Body::Done((!codec_expects_body).then_some(connection)),
        Framing::Delimited | Framing::Invalid => Body::Broken,
    }
}
