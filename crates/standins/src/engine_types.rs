//! What an engine holds, says and counts, as data.

use serde::{Deserialize, Serialize};

use crate::text::token_count;

/// The daemon's life that a request belongs to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Owner {
    /// The daemon's host.
    pub host: String,
    /// Its incarnation, hex text.
    pub incarnation: String,
}

/// How far a held request is, as reports tell it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ReportedStage {
    /// Its prompt is read or waits for that.
    Prefill,
    /// Its KV cache waits for export.
    Exported,
    /// Its KV cache is being copied.
    Transfer,
    /// It has a slot and its KV cache.
    Decode,
}

/// How far a held request is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Stage {
    /// Waits for its prefill.
    Queued,
    /// Its prompt is being read.
    Prefilling,
    /// Its KV cache waits to be imported elsewhere, and is evicted soon.
    Prefilled,
    /// Its KV cache is being copied to another engine.
    Exporting,
    /// It has a slot and its KV cache is being copied in.
    Importing,
    /// It has a slot and its KV cache.
    Imported,
    /// It has a slot and writes tokens.
    Decoding,
}

impl Stage {
    /// Whether a request in this stage takes a decode slot.
    pub(crate) fn has_slot(self) -> bool {
        matches!(self, Self::Importing | Self::Imported | Self::Decoding)
    }

    pub(crate) fn reported(self) -> ReportedStage {
        match self {
            Self::Queued | Self::Prefilling => ReportedStage::Prefill,
            Self::Prefilled => ReportedStage::Exported,
            Self::Exporting | Self::Importing => ReportedStage::Transfer,
            Self::Imported | Self::Decoding => ReportedStage::Decode,
        }
    }
}

/// A held request as reports show it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// The request.
    pub request_id: String,
    /// For whom.
    pub owner: Owner,
    /// How far it is.
    pub stage: ReportedStage,
}

/// An engine's account, in tokens and counts since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineCounters {
    /// Prompt tokens read (not found in the prefix cache).
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prefilled tokens evicted before they were imported.
    pub evicted_tokens: u64,
    /// Prefilled tokens cancelled before they were imported, or in the middle of their prefill.
    pub cancelled_tokens: u64,
    /// Imported tokens released before any token was written from them.
    pub unused_tokens: u64,
    /// Prompt tokens read again for a request that this engine had prefilled before.
    pub redone_tokens: u64,
    /// Tokens written.
    pub decoded_tokens: u64,
    /// Tokens written for requests released before their last token was read.
    pub unread_tokens: u64,
    /// Imports refused because no slot was free: each would have over-committed the engine.
    pub slot_refusals: u64,
    /// Imports whose source no longer held the result.
    pub gone_imports: u64,
    /// Most slots ever taken at once.
    pub most_slots_used: u64,
    /// Streams taken over by a newer connection.
    pub resumes: u64,
}

/// Prefill work done for one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestWork {
    /// Prompt tokens read for it over all times, cached ones left out.
    pub work_tokens: u64,
    /// The part of it in the last result that another engine imported.
    pub exported_tokens: u64,
    /// Times it was prefilled whole.
    pub prefills: u64,
}

/// What an engine reads before it writes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct Prompt {
    /// The caller's prompt.
    pub(crate) prompt: String,
    /// What an earlier try wrote behind it; it counts as the first tokens of the answer.
    #[serde(default)]
    pub(crate) generated: String,
}

impl Prompt {
    pub(crate) fn text(&self) -> String {
        format!("{}{}", self.prompt, self.generated)
    }

    pub(crate) fn tokens(&self) -> u64 {
        token_count(&self.text())
    }
}

/// What a stream may send next.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Next {
    Tokens { texts: Vec<String>, done: Option<u64> },
    Wait,
    TakenOver,
    Gone,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ImportStart {
    Begin,
    Wait,
    Done,
    NoSlot,
}
