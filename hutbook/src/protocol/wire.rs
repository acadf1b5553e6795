//! Frames between corkdrum processes: length, version, then CBOR.

use crate::constants::*;
use crate::coordination::control::{ControlRequest, ControlResponse};
use crate::coordination::raft::RaftMessage;
use crate::coordination::store::{StoreRequest, StoreResponse};
use crate::state::entry::to_bytes;

messages! {
    pub enum Body {
        #[n(0)] Raft { #[n(0)] group: u32, #[n(1)] msg: RaftMessage, #[n(2)] at: String },
        #[n(1)] ControlRequest(#[n(0)] Box<ControlRequest>),
        #[n(2)] ControlResponse(#[n(0)] Box<ControlResponse>),
        #[n(3)] StoreRequest { #[n(0)] group: u32, #[n(1)] ask: Box<StoreRequest> },
        #[n(4)] StoreResponse(#[n(0)] Box<StoreResponse>),
        /// Rejected, with the reason.
        #[n(5)] Rejected(#[n(0)] String),
    }
    pub struct Message {
        /// 0 while a node does not know its cluster yet.
        #[n(0)] pub cluster: u64,
        #[n(1)] pub from: u64,
        /// 0 if no answer is expected.
        #[n(2)] pub id: u64,
        #[n(3)] pub body: Body,
    }
}

/// Group number of the control group; store groups count from one.
pub const CONTROL_GROUP: u32 = 0;

#[derive(Debug, PartialEq)]
pub enum FrameError {
    TooLarge(usize),
    Version(u16),
    Malformed,
    /// Bytes after the message, within the frame.
    TrailingBytes(usize),
    OtherCluster(u64),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::TooLarge(length) => {
                write!(formatter, "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            }
            FrameError::Version(version) => {
                write!(formatter, "unsupported protocol version {version}; this node uses {WIRE_VERSION}")
            }
            FrameError::Malformed => formatter.write_str("malformed frame"),
            FrameError::TrailingBytes(length) => {
                write!(formatter, "{length} surplus bytes after the message in its frame")
            }
            FrameError::OtherCluster(cluster) => write!(formatter, "message of another cluster ({cluster:016x})"),
        }
    }
}

pub fn pack(message: &Message) -> Vec<u8> {
    let body = to_bytes(message);
    let mut frame = Vec::with_capacity(body.len() + 6);
    frame.extend_from_slice(&(body.len() as u32 + 2).to_be_bytes());
    frame.extend_from_slice(&WIRE_VERSION.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Returns the length of the frame that this header announces.
pub fn frame_len(head: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(head) as usize {
        length if length > MAX_FRAME_BYTES => Err(FrameError::TooLarge(length)),
        length if length < 3 => Err(FrameError::Malformed),
        length => Ok(length),
    }
}

pub fn unpack(frame: &[u8], cluster: u64) -> Result<Message, FrameError> {
    let (version, body) = frame.split_at_checked(2).ok_or(FrameError::Malformed)?;
    let version = u16::from_be_bytes([version[0], version[1]]);
    if version != WIRE_VERSION && version + 1 != WIRE_VERSION {
        return Err(FrameError::Version(version));
    }
    let mut decoder = minicbor::Decoder::new(body);
    let message: Message = decoder.decode().map_err(|_| FrameError::Malformed)?;
    // a sender that includes bytes belonging to no message may have left out others
    if decoder.position() != body.len() {
        return Err(FrameError::TrailingBytes(body.len() - decoder.position()));
    }
    // a new node knows no cluster yet; any other must belong to ours
    if cluster != 0 && message.cluster != 0 && message.cluster != cluster {
        return Err(FrameError::OtherCluster(message.cluster));
    }
    Ok(message)
}

#[cfg(test)]
mod tests;
