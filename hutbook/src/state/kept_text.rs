//! Texts as states up to disk format 3 hold them: compressed where that saved memory.

use bytes::Bytes;
use minicbor::data::Type;
use minicbor::decode::{self, Decode, Decoder};
use minicbor::encode::{self, Encode, Encoder, Write};

/// bytes. A shorter text is kept as it is: compressing it saves less than it costs.
const COMPRESS_LEAST: usize = 256;

/// A text as it lies in memory: as it came, or as an LZ4 block.
///
/// Encoded as a byte string where it is kept as it came, which is how all texts were encoded before,
/// and as `[length, block]` where it is compressed.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptText {
    stored: Bytes,
    /// bytes. Of the text itself, where it is compressed.
    length: Option<usize>,
}

impl KeptText {
    /// Compresses the text if that makes it shorter by a tenth.
    pub fn new(text: Vec<u8>) -> KeptText {
        if text.len() >= COMPRESS_LEAST {
            let block = lz4_flex::block::compress(&text);
            if block.len() < text.len() / 10 * 9 {
                return KeptText { stored: Bytes::copy_from_slice(&block), length: Some(text.len()) };
            }
        }
        KeptText { stored: text.into(), length: None }
    }

    /// The text. None where the block is damaged.
    pub fn text(&self) -> Option<Vec<u8>> {
        match self.length {
            None => Some(self.stored.to_vec()),
            Some(length) => lz4_flex::block::decompress(&self.stored, length).ok().filter(|t| t.len() == length),
        }
    }

    /// bytes. Of the text.
    pub fn len(&self) -> usize {
        self.length.unwrap_or(self.stored.len())
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// bytes. That it takes in memory.
    pub fn stored_len(&self) -> usize {
        self.stored.len()
    }
}

impl<C> Encode<C> for KeptText {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        if let Some(length) = self.length {
            e.array(2)?.u64(length as u64)?;
        }
        e.bytes(&self.stored)?.ok()
    }
}

impl<'b, C> Decode<'b, C> for KeptText {
    fn decode(d: &mut Decoder<'b>, _: &mut C) -> Result<KeptText, decode::Error> {
        let length = match d.datatype()? {
            Type::Array => {
                d.array()?;
                Some(d.u64()? as usize)
            }
            _ => None,
        };
        Ok(KeptText { stored: Bytes::copy_from_slice(d.bytes()?), length })
    }
}

#[cfg(test)]
mod tests;
