//! Fixed-width ids: digests of the names that clients give to turns, programs and sessions.

use minicbor::decode::{self, Decode, Decoder};
use minicbor::encode::{self, Encode, Encoder, Write};
use sha2::{Digest, Sha256};
use std::fmt;
use std::marker::PhantomData;

use super::measured::HeapBytes;
use crate::constants::ID_DIGEST_BYTES;

/// Type parameter of turn ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TurnKind {}

/// Type parameter of program ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramKind {}

/// Type parameter of session ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionKind {}

/// Digest of the name of a turn.
pub type TurnId = NameDigest<TurnKind>;
/// Digest of the name of a program of proxied requests.
pub type ProgramId = NameDigest<ProgramKind>;
/// Digest of the name of a session, a sequence of turns of one program.
pub type SessionId = NameDigest<SessionKind>;

/// The first `ID_DIGEST_BYTES` bytes of a name's SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NameDigest<Kind> {
    bytes: [u8; ID_DIGEST_BYTES],
    kind: PhantomData<Kind>,
}

impl<Kind> NameDigest<Kind> {
    /// Returns the id of a name.
    pub fn of(name: &str) -> NameDigest<Kind> {
        let digest = Sha256::digest(name.as_bytes());
        let mut bytes = [0; ID_DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..ID_DIGEST_BYTES]);
        NameDigest { bytes, kind: PhantomData }
    }

    /// Returns the id of an optional name; an empty name means none.
    pub fn of_optional(name: &str) -> Option<NameDigest<Kind>> {
        (!name.is_empty()).then(|| NameDigest::of(name))
    }
}

impl<Kind> fmt::Debug for NameDigest<Kind> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl<Kind> HeapBytes for NameDigest<Kind> {
    fn heap_bytes(&self) -> usize {
        0
    }
}

impl<C, Kind> Encode<C> for NameDigest<Kind> {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.bytes(&self.bytes)?.ok()
    }
}

impl<'b, C, Kind> Decode<'b, C> for NameDigest<Kind> {
    fn decode(d: &mut Decoder<'b>, _: &mut C) -> Result<NameDigest<Kind>, decode::Error> {
        let bytes = d.bytes()?.try_into().map_err(|_| decode::Error::message("id has the wrong length"))?;
        Ok(NameDigest { bytes, kind: PhantomData })
    }
}
