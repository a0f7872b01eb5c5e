//! Lengths and prefix hashes of prompts, as engines count them; see `docs/INTERFACES.md`.

use hibiscusvale_core::units::Tokens;

/// Bytes of prompt text that one token stands for on average.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of prompt text in one block of the engines' prefix caches.
const BLOCK_BYTES: usize = 256;

/// Tokens of a text.
pub fn estimate_tokens(text: &[u8]) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// Hashes of the prompt's prefixes that end at a block border, shortest first.
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
