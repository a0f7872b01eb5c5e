//! The text that engines write: a function of the text so far, so that anyone can recompute an answer and
//! an engine that is given prompt and tokens so far goes on as the first one would have.

use std::fmt::Write as _;

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of prompt per cached prefix block.
pub const BLOCK_BYTES: usize = 256;

const LETTERS: u8 = 26;
const HASH_BYTES: usize = 8;

/// Tokens in `text`.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// Writes the continuation of a prompt token by token.
#[derive(Clone, Debug)]
pub struct Writer {
    so_far: blake3::Hasher,
}

impl Writer {
    /// Starts behind `prompt`.
    pub fn new(prompt: &str) -> Self {
        let mut so_far = blake3::Hasher::new();
        so_far.update(prompt.as_bytes());
        Self { so_far }
    }

    /// The next token: a space and three letters.
    pub fn next_token(&mut self) -> String {
        let hash = self.so_far.finalize();
        let mut token = String::with_capacity(TOKEN_BYTES);
        token.push(' ');
        for byte in &hash.as_bytes()[..TOKEN_BYTES - 1] {
            token.push(char::from(b'a' + byte % LETTERS));
        }
        self.so_far.update(token.as_bytes());
        token
    }
}

/// The first `tokens` tokens that follow `prompt`.
pub fn expected_answer(prompt: &str, tokens: usize) -> String {
    let mut writer = Writer::new(prompt);
    (0..tokens).map(|_| writer.next_token()).collect()
}

/// Hashes of the whole prefix blocks of `prompt`, as `docs/INTERFACES.md` states them.
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
