//! Texts in states up to disk format 3: compressed if that saves memory.

use bytes::Bytes;
use minicbor::data::Type;
use minicbor::decode::{self, Decode, Decoder};
use minicbor::encode::{self, Encode, Encoder, Write};

/// Minimum length of a text to be compressed, in bytes. For shorter ones compression costs more than it saves.
const MIN_COMPRESSED_BYTES: usize = 256;

/// A text in memory, either uncompressed or as an LZ4 block.
///
/// Encoded as a byte string if uncompressed, as all texts were before compression was introduced, and as
/// `[length, block]` if compressed.
#[derive(Clone, Debug, PartialEq)]
pub struct CompressedText {
    stored: Bytes,
    /// Length of the uncompressed text in bytes, if it is compressed.
    length: Option<usize>,
}

impl CompressedText {
    /// Compresses the text if that makes it at least a tenth shorter.
    pub fn new(text: Vec<u8>) -> CompressedText {
        if text.len() >= MIN_COMPRESSED_BYTES {
            let block = lz4_flex::block::compress(&text);
            if block.len() < text.len() / 10 * 9 {
                return CompressedText { stored: Bytes::copy_from_slice(&block), length: Some(text.len()) };
            }
        }
        CompressedText { stored: text.into(), length: None }
    }

    /// Returns the text, or None if the block is corrupt.
    pub fn text(&self) -> Option<Vec<u8>> {
        match self.length {
            None => Some(self.stored.to_vec()),
            Some(length) => lz4_flex::block::decompress(&self.stored, length).ok().filter(|t| t.len() == length),
        }
    }

    /// Returns the length of the text in bytes.
    pub fn len(&self) -> usize {
        self.length.unwrap_or(self.stored.len())
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes that it takes in memory.
    pub fn stored_len(&self) -> usize {
        self.stored.len()
    }
}

impl<C> Encode<C> for CompressedText {
    fn encode<W: Write>(&self, encoder: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        if let Some(length) = self.length {
            encoder.array(2)?.u64(length as u64)?;
        }
        encoder.bytes(&self.stored)?.ok()
    }
}

impl<'b, C> Decode<'b, C> for CompressedText {
    fn decode(decoder: &mut Decoder<'b>, _: &mut C) -> Result<CompressedText, decode::Error> {
        let length = match decoder.datatype()? {
            Type::Array => {
                decoder.array()?;
                Some(decoder.u64()? as usize)
            }
            _ => None,
        };
        Ok(CompressedText { stored: Bytes::copy_from_slice(decoder.bytes()?), length })
    }
}

#[cfg(test)]
mod tests;
