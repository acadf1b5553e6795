//! Where the body of a server's answer ends, as its head says (RFC 9112, section 6.3).

use actix_http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode, Version};

/// What shows that the body of an answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// There is no body: the head is the whole answer.
    Empty,
    /// A length or a last chunk, which the codec watches for.
    Delimited,
    /// The end of the connection, if it ends in order.
    UntilClose,
    /// The head contradicts itself, or announces another protocol.
    Invalid,
}

impl Framing {
    /// Returns the framing of a final answer to a request of this method.
    pub(super) fn of(method: &Method, head: &ResponseHead) -> Framing {
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Framing::Invalid;
        }
        if *method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Framing::Empty;
        }
        let is_chunked = is_chunked(head.headers());
        match (is_chunked, content_length(head.headers())) {
            (true, Some(_)) => Framing::Invalid,
            // before HTTP/1.1 there were no chunks, and the codec doesn't read any there
            (true, None) if head.version < Version::HTTP_11 => Framing::Invalid,
            (true, None) => Framing::Delimited,
            (false, Some(0)) => Framing::Empty,
            (false, Some(_)) => Framing::Delimited,
            (false, None) => Framing::UntilClose,
        }
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers.get_all(TRANSFER_ENCODING).any(|value| !value.as_bytes().eq_ignore_ascii_case(b"identity"))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
