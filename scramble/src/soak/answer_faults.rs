//! Faults in the answers of stand-in servers: each begins, ends or frames an answer in another wrong way.

use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How a server's answers deviate from one whole answer with a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// A second, identical answer follows, after a pause.
    Twice,
    /// Without a length: the body ends with the connection, in order.
    NoLength,
    /// Without a length, and the connection is reset in the middle of the body.
    NoLengthReset,
    /// The connection ends in order before the body does.
    CutShort,
    /// The connection is reset before the body ends.
    Reset,
    /// The answer is preceded by an interim one.
    Interim,
    /// Bytes that form no answer.
    Garbage,
    /// A head without end.
    EndlessHead,
    /// Chunks whose sizes are wrong.
    WrongChunks,
}

/// All kinds, of which a server with mixed faults uses one after the other.
pub const ANSWER_FAULTS: [AnswerFault; 9] = [
    AnswerFault::Twice,
    AnswerFault::NoLength,
    AnswerFault::NoLengthReset,
    AnswerFault::CutShort,
    AnswerFault::Reset,
    AnswerFault::Interim,
    AnswerFault::Garbage,
    AnswerFault::EndlessHead,
    AnswerFault::WrongChunks,
];

/// Pause before a second answer, in milliseconds: long enough for the connection to be used again meanwhile.
const SECOND_ANSWER_DELAY_MS: u64 = 15;
/// Length of a head that does not end, in bytes; longer than any client reads.
const ENDLESS_HEAD_BYTES: usize = 200 * 1024;

impl AnswerFault {
    /// Returns whether the answer stays incomplete.
    pub fn breaks_off(self) -> bool {
        !matches!(self, AnswerFault::Twice | AnswerFault::NoLength | AnswerFault::Interim)
    }
}

/// An answer as a server without a fault would give it.
pub struct PlainAnswer<'a> {
    /// Header lines, without those that frame the body.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// Writes an answer with a fault. Returns None if its connection ends with it.
pub async fn write_faulty(stream: &mut TcpStream, fault: AnswerFault, answer: &PlainAnswer<'_>) -> Option<()> {
    let PlainAnswer { headers, body } = answer;
    let half = &body[..body.len() / 2];
    let unframed = format!("HTTP/1.1 200 OK\r\n{headers}\r\n").into_bytes();
    let with_length = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n", body.len()).into_bytes();
    let chunked = format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n").into_bytes();
    match fault {
        AnswerFault::Twice => {
            let whole = [&with_length, *body].concat();
            stream.write_all(&whole).await.ok()?;
            actix_rt::time::sleep(Duration::from_millis(SECOND_ANSWER_DELAY_MS)).await;
            stream.write_all(&whole).await.ok()
        }
        AnswerFault::Interim => {
            let interim = format!("HTTP/1.1 103 Early Hints\r\n{headers}\r\n").into_bytes();
            stream.write_all(&[&interim, &with_length, *body].concat()).await.ok()
        }
        AnswerFault::NoLength => end(stream, &[&unframed, *body].concat(), Ending::InOrder).await,
        AnswerFault::NoLengthReset => end(stream, &[&unframed, half].concat(), Ending::Reset).await,
        AnswerFault::CutShort => end(stream, &[&with_length, half].concat(), Ending::InOrder).await,
        AnswerFault::Reset => end(stream, &[&with_length, half].concat(), Ending::Reset).await,
        AnswerFault::Garbage => end(stream, b"these bytes form no answer\r\n\r\n", Ending::InOrder).await,
        AnswerFault::EndlessHead => {
            let endless = format!("HTTP/1.1 200 OK\r\n{headers}x-long: {}", "x".repeat(ENDLESS_HEAD_BYTES));
            end(stream, endless.as_bytes(), Ending::InOrder).await
        }
        AnswerFault::WrongChunks => {
            let wrong_size = format!("{:x}\r\n", half.len()).into_bytes();
            let bytes = [&chunked, &wrong_size, *body, b"\r\n0\r\n\r\n"].concat();
            end(stream, &bytes, Ending::InOrder).await
        }
    }
}

enum Ending {
    InOrder,
    Reset,
}

/// Writes the last bytes of a connection. Always returns None: nothing else may follow.
async fn end(stream: &mut TcpStream, bytes: &[u8], ending: Ending) -> Option<()> {
    stream.write_all(bytes).await.ok()?;
    match ending {
        Ending::InOrder => stream.shutdown().await.ok()?,
        Ending::Reset => stream.set_zero_linger().ok()?,
    }
    None
}
