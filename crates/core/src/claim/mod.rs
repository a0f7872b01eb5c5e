//! Claims: a request that must not run twice runs only after a record on the platform's log says that this
//! request, and no other with its key, may.
//!
//! A key belongs to one partition, a partition is one stream of the log, and the first record for a key in
//! the stream's order wins, whoever appended it. The daemon that usually appends for a partition, its owner,
//! only saves appends by grouping them: daemons that disagree on the owner may both append, and the order of
//! the log decides between them. `docs/FAILURES.md` holds the reasons and `spec/claim.pml` the model.

mod answers;
mod decision;
mod fold;
mod machine;
mod opening;
mod owners;
mod partition;
mod runs;

use serde::{Deserialize, Serialize};

pub use answers::{AnswerMemory, StoredAnswer, StoredHeader};
pub use decision::Decision;
pub use fold::{ClaimFold, FoldError};
pub use machine::Claims;
pub use partition::{AppendEnd, ClaimPage, ClaimRecord};
pub use runs::{FinishedAs, HeldState};

use crate::ids::{HostId, IdempotencyKey, Offset, PartnerId, RequestId};
use crate::units::{Bytes, Millis};

/// Bytes kept of a BLAKE3 hash: two different keys or bodies meet with a chance of 2^-64 among 2^32 of them.
const HASH_BYTES: usize = 16;

/// A partner's idempotency key, hashed. The log holds no caller's text, and each record has the same size.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ClaimKey(pub [u8; HASH_BYTES]);

impl ClaimKey {
    /// Hashes the key together with its partner, so that two partners may use the same text.
    pub fn new(partner: &PartnerId, key: &IdempotencyKey) -> Self {
        Self(hash(&[partner.as_str().as_bytes(), key.as_str().as_bytes()]))
    }

    /// The partition that the key belongs to, of `partitions` in all.
    pub fn partition(&self, partitions: u16) -> u16 {
        let [first, second, ..] = self.0;
        u16::from_le_bytes([first, second]) % partitions.max(1)
    }
}

/// Digest of what a request asks for: the same key with another digest is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct BodyDigest(pub [u8; HASH_BYTES]);

impl BodyDigest {
    /// Digests the method, the path with its query, and the body.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(hash(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

fn hash(parts: &[&[u8]]) -> [u8; HASH_BYTES] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut short = [0; HASH_BYTES];
    hasher.finalize_xof().fill(&mut short);
    short
}

/// Milliseconds since 1970 by the clock of the daemon that wrote it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct UnixMillis(pub u64);

/// Who holds a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// What the request asks for.
    pub digest: BodyDigest,
    /// The request that alone may run.
    pub request: RequestId,
    /// The host whose daemon took it in and alone may run it.
    pub host: HostId,
}

/// One entry of a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum ClaimEntry {
    /// Asks for the key.
    Claim(Claim),
    /// Frees the key: its holder proved that the request did not run and never will.
    Release {
        /// The key.
        key: ClaimKey,
        /// The request that held it.
        request: RequestId,
    },
}

/// One record of a claims stream: all entries that gathered while the last append was on its way.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct ClaimGroup {
    /// Clock of the daemon that appended it.
    pub appended_unix_ms: UnixMillis,
    /// The entries, in order.
    pub entries: Vec<ClaimEntry>,
}

/// What the log's order says about a request's claim.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The request holds its key.
    Won,
    /// Another request holds the key.
    Held(Claim),
    /// No record of the request's claim was appended, and the one that says so will append none.
    NotClaimed {
        /// When another try may help.
        retry_after_ms: Millis,
    },
    /// A record may stand, and could not be read back in time.
    Undecided {
        /// When another try may help.
        retry_after_ms: Millis,
    },
}

/// What daemons say to each other about claims. Each message may be lost, doubled or late: a receiver
/// matches it by request id, and ids are never reused.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimMessage {
    /// To all: the sender stops, and is not to be asked as an owner any more.
    Leaving,
    /// To the owner of a partition: claim this.
    Ask(Claim),
    /// From the owner: the claim is on its way to the log.
    Taken {
        /// The request that asked.
        request: RequestId,
    },
    /// From the owner.
    Verdict {
        /// The request that asked.
        request: RequestId,
        /// What became of its claim.
        verdict: Verdict,
    },
    /// To the holder of a key: what became of your request?
    Query {
        /// The request that asks.
        request: RequestId,
        /// The request asked about.
        holder: RequestId,
    },
    /// From the holder.
    State {
        /// The request that asked.
        request: RequestId,
        /// The request asked about.
        holder: RequestId,
        /// What became of it.
        state: HeldState,
    },
    /// To the owner of a partition: the holder proved that it did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The request that held it.
        request: RequestId,
    },
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Append one record to the partition's stream and report the end of it.
    Append {
        /// The partition.
        partition: u16,
        /// The record.
        group: ClaimGroup,
    },
    /// Read the partition's stream and report the page.
    Read {
        /// The partition.
        partition: u16,
        /// First offset wanted.
        from: Offset,
        /// Records wanted at most.
        limit: u32,
    },
    /// Tell another daemon.
    Send {
        /// The host it runs on.
        to: HostId,
        /// What to say.
        message: ClaimMessage,
    },
    /// Tell the caller's task what to do.
    Decide {
        /// The request that began.
        request: RequestId,
        /// What it is to do.
        decision: Decision,
    },
}

/// Bounds of the claims protocol.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Number of streams that keys are spread over. All daemons must agree on it: it is part of the protocol.
    pub partitions: u16,
    /// How long a key is remembered, as told to callers. The log must keep records at least twice as long.
    pub retention_ms: Millis,
    /// How far the clocks of two hosts may differ.
    pub clock_skew_ms: Millis,
    /// Time in which a claim is decided, or the caller is refused.
    pub begin_timeout_ms: Millis,
    /// Time from the claim in which the request must be sent to a server: it may queue for one. The key is held
    /// for longer by far, so a process that was paused cannot send it when the key is another's.
    pub start_within_ms: Millis,
    /// Time for an owner that took a claim in to decide it.
    pub taken_timeout_ms: Millis,
    /// Time for an owner or a holder to answer.
    pub peer_timeout_ms: Millis,
    /// Time for which an owner that gave no answer is passed over. Short, so that a lost message costs the
    /// grouping of appends for no longer.
    pub silent_ms: Millis,
    /// Time for which an owner that said that it stops is passed over: until membership has told everybody.
    pub leaving_ms: Millis,
    /// Least time between two appends to one partition. With `partitions` it bounds what claims take of the
    /// log's rate: 32 partitions every 100 ms are 320 appends a second.
    pub append_interval_ms: Millis,
    /// Entries in one group at most.
    pub group_entries: usize,
    /// Records asked for in one read.
    pub read_limit: u32,
    /// Time after which the state of a partition that belongs to another daemon is dropped.
    pub idle_ms: Millis,
    /// Claims remembered for one partition at most; beyond, callers are refused, for forgetting one early
    /// could run it twice.
    pub partition_claims: usize,
    /// Requests of this daemon whose end is remembered at most.
    pub runs: usize,
    /// Largest answer kept for second callers.
    pub answer_bytes: Bytes,
    /// All answers kept for second callers.
    pub answers_bytes: Bytes,
    /// What a refused caller is told to wait.
    pub retry_after_ms: Millis,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            partitions: 32,
            retention_ms: Millis(600_000),
            clock_skew_ms: Millis(30_000),
            begin_timeout_ms: Millis(2_000),
            start_within_ms: Millis(60_000),
            taken_timeout_ms: Millis(1_200),
            peer_timeout_ms: Millis(300),
            silent_ms: Millis(2_000),
            leaving_ms: Millis(30_000),
            append_interval_ms: Millis(100),
            group_entries: 256,
            read_limit: 512,
            idle_ms: Millis(60_000),
            partition_claims: 50_000,
            runs: 50_000,
            answer_bytes: Bytes(16 << 10),
            answers_bytes: Bytes(4 << 20),
            retry_after_ms: Millis(1_000),
        }
    }
}

impl ClaimSettings {
    /// How long the fold holds a key: the time told to callers, and the most that two clocks can shorten it.
    pub fn hold_ms(&self) -> Millis {
        self.retention_ms + self.clock_skew_ms + self.clock_skew_ms
    }
}
