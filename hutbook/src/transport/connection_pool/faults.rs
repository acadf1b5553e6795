//! What was wrong with the answers of servers, counted by kind: an answer that is taken for whole leaves no other trace.

use crate::transport::refusals::RefusalCounts;
use actix_http::error::{ParseError, PayloadError};

/// A deviation of a server's answer from one whole answer to its own request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection ended before the head of an answer.
    NoHead,
    /// Bytes that form no answer stand in place of a head.
    UnreadableHead,
    /// The head is longer than the codec accepts.
    HeadTooLong,
    /// The answer has neither a length nor chunks.
    NoLength,
    /// Another request's answer stands before the own one.
    Surplus,
    /// Bytes follow a whole answer.
    SurplusBytes,
    /// The connection ended in order before the end of the body.
    CutShort,
    /// The connection was reset before the end of the body.
    Reset,
    /// The body's chunks can't be read.
    UnreadableBody,
}

impl AnswerFault {
    /// Returns why no head could be read.
    pub(super) fn of_head(error: &ParseError) -> AnswerFault {
        match error {
            ParseError::Io(_) => AnswerFault::NoHead,
            ParseError::TooLarge => AnswerFault::HeadTooLong,
            _ => AnswerFault::UnreadableHead,
        }
    }

    /// Returns why a body could not be read to its end.
    pub(super) fn of_body(error: &PayloadError) -> AnswerFault {
        use std::io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, TimedOut};
        match error {
            PayloadError::Io(error)
                if matches!(error.kind(), ConnectionReset | ConnectionAborted | BrokenPipe | TimedOut) =>
            {
                AnswerFault::Reset
            }
            _ => AnswerFault::UnreadableBody,
        }
    }

    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            AnswerFault::NoHead => "no_head",
            AnswerFault::UnreadableHead => "unreadable_head",
            AnswerFault::HeadTooLong => "head_too_long",
            AnswerFault::NoLength => "no_length",
            AnswerFault::Surplus => "surplus_answer",
            AnswerFault::SurplusBytes => "surplus_bytes",
            AnswerFault::CutShort => "cut_short",
            AnswerFault::Reset => "reset",
            AnswerFault::UnreadableBody => "unreadable_body",
        }
    }
}

/// Counters of a process, by kind of fault.
#[derive(Default)]
pub struct AnswerFaultCounts(RefusalCounts);

impl AnswerFaultCounts {
    pub(super) fn count(&self, fault: AnswerFault) {
        self.0.count(fault.name());
    }

    /// Returns all totals by name.
    pub fn totals(&self) -> Vec<(&'static str, u64)> {
        self.0.totals()
    }

    /// Logs what was counted since the last call.
    pub fn log(&self) {
        self.0.log("answer_faults");
    }

    /// Appends one counter for each kind.
    pub fn write_metrics(&self, out: &mut String) {
        self.0.write_metrics(out, "answer_faults_total");
    }
}
