//! Claims on idempotency keys: a request that must not run twice runs only after a record in the platform's
//! log grants the key to this request and to no other.
//!
//! A key belongs to one partition, a partition is one stream of the log, and the first record for a key in
//! stream order wins, whichever daemon appended it. The daemon that usually appends for a partition, its
//! owner, only reduces the number of appends by grouping them: daemons that disagree on the owner may both
//! append, and the order of the log decides between them. The reasons are in `docs/FAILURES.md`, the formal
//! model is `spec/claim.pml`.

mod answers;
mod decision;
mod fold;
mod machine;
mod owners;
mod partition;
mod runs;
mod start_search;

use serde::{Deserialize, Serialize};

pub use answers::{AnswerCache, StoredAnswer, StoredHeader};
pub use decision::Decision;
pub use fold::{ClaimFold, FoldError};
pub use machine::Claims;
pub use partition::{AppendOutcome, ClaimPage, ClaimRecord};
pub use runs::{HolderState, RunOutcome};

use crate::ids::{HostId, IdempotencyKey, Offset, PartnerId, RequestId};
use crate::units::{Bytes, Millis};

/// Bytes of the truncated BLAKE3 hash: two of 2^32 different keys or bodies collide with a probability of
/// 2^-64.
const HASH_BYTES: usize = 16;

/// Hash of a partner's idempotency key. The log contains no caller's text, and each record has the same size.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ClaimKey(pub [u8; HASH_BYTES]);

impl ClaimKey {
    /// Hashes the key together with its partner, so that two partners may use the same key text.
    pub fn new(partner: &PartnerId, key: &IdempotencyKey) -> Self {
        Self(hash(&[partner.as_str().as_bytes(), key.as_str().as_bytes()]))
    }

    /// The partition of the key, out of `partitions`.
    pub fn partition(&self, partitions: u16) -> u16 {
        let [first, second, ..] = self.0;
        u16::from_le_bytes([first, second]) % partitions.max(1)
    }
}

/// Digest of a request's contents: the same key with another digest is refused.
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

/// Milliseconds since 1970-01-01 UTC, by the clock of the daemon that wrote the timestamp.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct UnixMillis(pub u64);

/// Claim of a request on a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Claim {
    /// Key that is claimed or released.
    pub key: ClaimKey,
    /// Digest of the request's contents.
    pub digest: BodyDigest,
    /// The only request that may run under the key.
    pub request: RequestId,
    /// Host whose daemon received the request and alone may run it.
    pub host: HostId,
}

/// Entry of a [`ClaimGroup`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum ClaimEntry {
    /// Claims a key.
    Claim(Claim),
    /// Releases a key whose holder proved that its request did not run and never will.
    Release {
        /// Key that is claimed or released.
        key: ClaimKey,
        /// Request that held the key.
        request: RequestId,
    },
}

/// Record of a claims stream: all entries that were queued while the previous append was in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct ClaimGroup {
    /// Time of the append, by the appending daemon's clock.
    pub appended_unix_ms: UnixMillis,
    /// Entries in the order in which they apply.
    pub entries: Vec<ClaimEntry>,
}

/// Result of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The request holds its key.
    Won,
    /// Another request holds the key.
    Held(Claim),
    /// No record of the claim was appended, and the reporting daemon will not append one.
    NotClaimed {
        /// Suggested delay before a retry.
        retry_after_ms: Millis,
    },
    /// A record of the claim may be in the log but could not be read back in time.
    Undecided {
        /// Suggested delay before a retry.
        retry_after_ms: Millis,
    },
}

/// Messages between daemons about claims. A message may be lost, duplicated or delayed: receivers match it by
/// request id, and ids are never reused.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimMessage {
    /// To all daemons: the sender is shutting down and is not to be used as an owner any more.
    Leaving,
    /// To the owner of a partition: append this claim.
    Request(Claim),
    /// From the owner: the claim is queued for the log.
    Accepted {
        /// Request that the message answers.
        request: RequestId,
    },
    /// From the owner: the result of a claim.
    Verdict {
        /// Request that the message answers.
        request: RequestId,
        /// Result of the claim.
        verdict: Verdict,
    },
    /// To the holder of a key: asks for the state of the request that holds it.
    Query {
        /// Request whose claim found the key held.
        request: RequestId,
        /// Request that holds the key.
        holder: RequestId,
    },
    /// From the holder: answer to a query.
    State {
        /// Request that the message answers.
        request: RequestId,
        /// Request that holds the key.
        holder: RequestId,
        /// State of the holding request.
        state: HolderState,
    },
    /// To the owner of a partition: release the key, because its holder did not run.
    Release {
        /// Key that is claimed or released.
        key: ClaimKey,
        /// Request that held the key.
        request: RequestId,
    },
}

/// Action for the caller of the state machine to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Append one record to the partition's stream and report the result to [`Claims::append_ended`].
    Append {
        /// Partition number.
        partition: u16,
        /// Record to append.
        group: ClaimGroup,
    },
    /// Read the partition's stream and report the page to [`Claims::read_ended`].
    Read {
        /// Partition number.
        partition: u16,
        /// First offset to read.
        from: Offset,
        /// Maximum number of records.
        limit: u32,
    },
    /// Send a message to another daemon.
    Send {
        /// Host of the receiving daemon.
        to: HostId,
        /// Message to send.
        message: ClaimMessage,
    },
    /// Deliver the decision to the task that handles the caller's request.
    Decide {
        /// Request that started the claim.
        request: RequestId,
        /// Result of the claim for the task.
        decision: Decision,
    },
}

/// Limits and timeouts of the claims protocol.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Number of streams that keys are spread over. Part of the protocol: all daemons must use the same
    /// value.
    pub partitions: u16,
    /// Retention of a key, as stated to callers. The log must keep records for at least twice as long.
    pub retention_ms: Millis,
    /// Maximum difference between the clocks of two hosts.
    pub clock_skew_ms: Millis,
    /// Time limit for deciding a claim; after it the caller is refused.
    pub begin_timeout_ms: Millis,
    /// Time limit from the claim to sending the request to a server, including the wait for one. Far shorter
    /// than the retention of the key, so that a process that was paused cannot send the request when another
    /// holds the key.
    pub start_within_ms: Millis,
    /// Time limit for an owner to decide a claim that it accepted.
    pub accepted_timeout_ms: Millis,
    /// Time limit for an owner or a holder to answer a message.
    pub peer_timeout_ms: Millis,
    /// Time for which an owner that did not answer is bypassed. Short, so that a lost message disables the
    /// grouping of appends only briefly.
    pub unresponsive_ms: Millis,
    /// Time for which an owner that announced its shutdown is bypassed: until membership has spread the news.
    pub leaving_ms: Millis,
    /// Minimum time between two appends to one partition. With `partitions` it limits the claims' part of the
    /// log's rate: 32 partitions every 100 ms are 320 appends a second.
    pub append_interval_ms: Millis,
    /// Maximum number of entries in one group.
    pub group_entries: usize,
    /// Maximum number of records requested in one read.
    pub read_limit: u32,
    /// Idle time after which the state of a partition that another daemon owns is dropped.
    pub idle_ms: Millis,
    /// Maximum number of claims retained for one partition. Beyond it callers are refused, because dropping a
    /// claim early could let its request run twice.
    pub partition_claims: usize,
    /// Maximum number of this daemon's requests whose outcome is retained.
    pub runs: usize,
    /// Maximum size of one cached response.
    pub answer_bytes: Bytes,
    /// Maximum total size of the cached responses.
    pub answers_bytes: Bytes,
    /// Retry delay suggested to refused callers.
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
            accepted_timeout_ms: Millis(1_200),
            peer_timeout_ms: Millis(300),
            unresponsive_ms: Millis(2_000),
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
    /// How long the fold holds a key: the stated retention plus the most that two clocks can shorten it by.
    pub fn hold_ms(&self) -> Millis {
        self.retention_ms + self.clock_skew_ms + self.clock_skew_ms
    }
}
