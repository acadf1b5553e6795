//! Generates the texts of simulated turns: deterministic per turn, and as compressible as prose.

/// Vocabulary of the generated texts.
const WORDS: [&str; 32] = [
    "ledger", "harbour", "tile", "request", "of", "the", "and", "to", "river", "answer", "with", "stone", "a", "plan",
    "for", "north", "in", "roof", "is", "as", "crew", "that", "by", "survey", "on", "from", "rope", "at", "quarry",
    "which", "sheet", "order",
];

/// Returns a text of exactly `length` bytes, generated from `seed`.
pub fn text(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut bytes = Vec::with_capacity(length + 16);
    while bytes.len() < length {
        // xorshift64
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(WORDS[(state >> 59) as usize].as_bytes());
        bytes.push(b' ');
    }
    bytes.truncate(length);
    bytes
}
