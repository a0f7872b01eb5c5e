//! Deterministic token generator. Each token is a function of the preceding text, so tests can recompute an answer,
//! and an engine that resumes from the prompt and partial output continues with identical tokens.

use std::fmt::Write as _;

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of prompt per cached prefix block.
pub const BLOCK_BYTES: usize = 256;

const LETTERS: u8 = 26;
const HASH_BYTES: usize = 8;

/// Number of tokens in `text`, rounded up.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// Generates the continuation of a prompt token by token.
#[derive(Clone, Debug)]
pub struct TokenGenerator {
    hasher: blake3::Hasher,
}

impl TokenGenerator {
    /// Creates a generator that continues `prompt`.
    pub fn new(prompt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(prompt.as_bytes());
        Self { hasher }
    }

    /// Returns the next token: a space and three letters.
    pub fn next_token(&mut self) -> String {
        let hash = self.hasher.finalize();
        let mut token = String::with_capacity(TOKEN_BYTES);
        token.push(' ');
        for byte in &hash.as_bytes()[..TOKEN_BYTES - 1] {
            token.push(char::from(b'a' + byte % LETTERS));
        }
        self.hasher.update(token.as_bytes());
        token
    }
}

/// Returns the first `tokens` tokens that follow `prompt`.
pub fn expected_answer(prompt: &str, tokens: usize) -> String {
    let mut generator = TokenGenerator::new(prompt);
    (0..tokens).map(|_| generator.next_token()).collect()
}

/// Hashes of the complete prefix blocks of `prompt`, as specified in `docs/INTERFACES.md`.
pub fn prefix_blocks(prompt: &str) -> Vec<String> {
    let bytes = prompt.as_bytes();
    let mut hasher = blake3::Hasher::new();
    let mut blocks = Vec::with_capacity(bytes.len() / BLOCK_BYTES);
    for block in bytes.chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        let mut first = [0; HASH_BYTES];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
        let mut hex = String::with_capacity(2 * HASH_BYTES);
        let _ = write!(hex, "{:016x}", u64::from_le_bytes(first));
        blocks.push(hex);
    }
    blocks
}
