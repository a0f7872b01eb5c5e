//! Lengths and prefix hashes of prompts, as engines count them; see `docs/INTERFACES.md`.

use hibiscusvale_core::units::Tokens;

/// Mean number of bytes of prompt text in one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of prompt text in one block of the engines' prefix caches.
const BLOCK_BYTES: usize = 256;

/// Estimates the number of tokens in a text from its length.
pub fn estimate_tokens(text: &[u8]) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// Hashes of the prompt's prefixes that end at a block boundary, shortest first.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            hasher.finalize().as_bytes().first_chunk().map_or(0, |first| u64::from_le_bytes(*first))
        })
        .collect()
}
