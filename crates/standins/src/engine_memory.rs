//! Requests held by an engine, and counters of completed, wasted and repeated work.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use crate::engine_cache::PrefixCache;
pub use crate::engine_types::{EngineCounters, HeldRequest, Owner, ReportedStage, RequestWork};
pub(crate) use crate::engine_types::{ImportStart, NextTokens, Prompt, Stage};
use crate::text::{BLOCK_BYTES, TOKEN_BYTES, TokenGenerator, prefix_blocks, token_count};

/// Maximum number of finished answers that remain readable.
const MAX_FINISHED_ANSWERS: usize = 1_000;

/// Retention of a result being exported if the importing engine never confirms.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) owner: Owner,
    pub(crate) stage: Stage,
    pub(crate) prompt: Prompt,
    pub(crate) priority: i64,
    pub(crate) arrival: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) evict_at: Option<Instant>,
    pub(crate) max_tokens: u64,
    pub(crate) reader: u64,
    text: String,
    generator: Option<TokenGenerator>,
}

/// A completed answer whose slot is released and whose text is still readable.
#[derive(Debug)]
struct Finished {
    owner: Owner,
    text: String,
    reader: u64,
    arrival: u64,
}

#[derive(Debug)]
pub(crate) struct Memory {
    pub(crate) slots_total: usize,
    pub(crate) cache: PrefixCache,
    pub(crate) counters: EngineCounters,
    held: BTreeMap<String, Held>,
    finished: HashMap<String, Finished>,
    work: BTreeMap<String, RequestWork>,
    arrivals: u64,
}

impl Memory {
    pub(crate) fn new(slots_total: usize, cache: PrefixCache) -> Self {
        Self {
            slots_total,
            cache,
            counters: EngineCounters::default(),
            held: BTreeMap::new(),
            finished: HashMap::new(),
            work: BTreeMap::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Held> {
        self.held.get(id)
    }

    pub(crate) fn held_requests(&self) -> Vec<HeldRequest> {
        let held_requests = self.held.iter().map(|(id, held)| HeldRequest {
            request_id: id.clone(),
            owner: held.owner.clone(),
            stage: held.stage.reported(),
        });
        held_requests.collect()
    }

    pub(crate) fn work(&self) -> &BTreeMap<String, RequestWork> {
        &self.work
    }

    pub(crate) fn slots_used(&self) -> usize {
        self.held.values().filter(|held| held.stage.has_slot()).count()
    }

    pub(crate) fn queued_tokens(&self) -> u64 {
        let waiting = self.held.values();
        let waiting = waiting.filter(|held| matches!(held.stage, Stage::Queued | Stage::Prefilling));
        waiting.map(|held| held.prompt_tokens).sum()
    }

    pub(crate) fn tokens_held(&self) -> u64 {
        let held = self.held.values().filter(|held| held.stage != Stage::Queued);
        held.map(|held| held.prompt_tokens + token_count(&held.text)).sum()
    }

    pub(crate) fn ids_of_owner(&self, owner: &Owner) -> Vec<String> {
        let of_owner = self.held.iter().filter(|(_, held)| held.owner == *owner);
        of_owner.map(|(id, _)| id.clone()).collect()
    }

    fn insert(&mut self, id: &str, owner: Owner, prompt: Prompt, priority: i64, stage: Stage) {
        self.arrivals += 1;
        let prompt_tokens = prompt.tokens();
        self.finished.remove(id);
        self.held.insert(
            id.to_owned(),
            Held {
                owner,
                stage,
                prompt,
                priority,
                arrival: self.arrivals,
                prompt_tokens,
                cached_tokens: 0,
                evict_at: None,
                max_tokens: 0,
                reader: 0,
                text: String::new(),
                generator: None,
            },
        );
    }

    /// Queues a prefill unless the request is already held.
    pub(crate) fn queue_prefill(&mut self, id: &str, owner: Owner, prompt: Prompt, priority: i64) {
        if !self.held.contains_key(id) {
            self.insert(id, owner, prompt, priority, Stage::Queued);
        }
    }

    /// Starts the queued prefill with the lowest priority number, oldest first, and looks up its cached prefix.
    /// Returns the request id and the number of tokens to prefill.
    pub(crate) fn start_prefill(&mut self) -> Option<(String, u64)> {
        let queued = self.held.iter_mut().filter(|(_, held)| held.stage == Stage::Queued);
        let (id, held) = queued.min_by_key(|(_, held)| (held.priority, held.arrival))?;
        let hits = self.cache.count_hits(&prefix_blocks(&held.prompt.text()));
        held.stage = Stage::Prefilling;
        held.cached_tokens = ((hits * BLOCK_BYTES / TOKEN_BYTES) as u64).min(held.prompt_tokens);
        Some((id.clone(), held.prompt_tokens - held.cached_tokens))
    }

    pub(crate) fn finish_prefill(&mut self, id: &str, now: Instant, evict_after: Duration) {
        let Some(held) = self.held.get_mut(id) else {
            return;
        };
        let tokens = held.prompt_tokens - held.cached_tokens;
        held.stage = Stage::Prefilled;
        held.evict_at = Some(now + evict_after);
        self.counters.prefill_tokens += tokens;
        self.counters.cached_tokens += held.cached_tokens;
        self.cache.store(&prefix_blocks(&held.prompt.text()), now);
        let work = self.work.entry(id.to_owned()).or_default();
        if work.prefills > 0 {
            self.counters.redone_tokens += tokens;
        }
        work.prefills += 1;
        work.work_tokens += tokens;
    }

    /// Records the tokens prefilled before the request was cancelled.
    pub(crate) fn abort_prefill(&mut self, id: &str, tokens: u64) {
        self.work.entry(id.to_owned()).or_default().work_tokens += tokens;
        self.counters.prefill_tokens += tokens;
        self.counters.cancelled_tokens += tokens;
    }

    /// Evicts results that were not imported in time; returns the next eviction time.
    pub(crate) fn evict_due(&mut self, now: Instant) -> Option<Instant> {
        let due = self.held.iter().filter(|(_, held)| held.evict_at.is_some_and(|at| at <= now));
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            if let Some(held) = self.held.remove(&id) {
                self.counters.evicted_tokens += held.prompt_tokens;
            }
        }
        self.held.values().filter_map(|held| held.evict_at).min()
    }

    /// Marks a result as being copied to another engine; returns its prompt.
    pub(crate) fn start_export(&mut self, id: &str, now: Instant) -> Option<Prompt> {
        let held = self.held.get_mut(id)?;
        if !matches!(held.stage, Stage::Prefilled | Stage::Exporting) {
            return None;
        }
        held.stage = Stage::Exporting;
        held.evict_at = Some(now + EXPORT_TIMEOUT);
        Some(held.prompt.clone())
    }

    /// Drops a result after the other engine confirmed the import; false if it was no longer held.
    pub(crate) fn finish_export(&mut self, id: &str) -> bool {
        let exporting = self.held.get(id).filter(|held| held.stage == Stage::Exporting);
        let Some(held) = exporting else {
            return false;
        };
        let tokens = held.prompt_tokens - held.cached_tokens;
        self.work.entry(id.to_owned()).or_default().exported_tokens = tokens;
        self.held.remove(id);
        true
    }

    pub(crate) fn start_import(&mut self, id: &str, owner: Owner, priority: i64) -> ImportStart {
        match self.held.get(id).map(|held| held.stage) {
            Some(Stage::Importing) => return ImportStart::Wait,
            Some(stage) if stage.has_slot() => return ImportStart::Done,
            _ => {}
        }
        if self.slots_used() >= self.slots_total {
            self.counters.slot_refusals += 1;
            return ImportStart::NoSlot;
        }
        self.insert(id, owner, Prompt::default(), priority, Stage::Importing);
        self.counters.most_slots_used = self.counters.most_slots_used.max(self.slots_used() as u64);
        ImportStart::Begin
    }

    /// Completes an import with the prompt; false if the request was cancelled meanwhile.
    pub(crate) fn finish_import(&mut self, id: &str, prompt: Prompt) -> bool {
        let Some(held) = self.held.get_mut(id) else {
            return false;
        };
        held.stage = Stage::Imported;
        held.prompt_tokens = prompt.tokens();
        held.prompt = prompt;
        true
    }

    pub(crate) fn abort_import(&mut self, id: &str) {
        let importing = self.held.get(id).is_some_and(|held| held.stage == Stage::Importing);
        if importing {
            self.held.remove(id);
        }
        self.counters.gone_imports += 1;
    }

    /// Makes the caller the only reader of the request's tokens; returns its reader number.
    pub(crate) fn start_stream(&mut self, id: &str, owner: &Owner, max_tokens: u64) -> Option<u64> {
        if let Some(finished) = self.finished.get_mut(id).filter(|finished| finished.owner == *owner) {
            finished.reader += 1;
            self.counters.resumes += 1;
            return Some(finished.reader);
        }
        let held = self.held.get_mut(id).filter(|held| held.owner == *owner)?;
        if !matches!(held.stage, Stage::Imported | Stage::Decoding) {
            return None;
        }
        if held.stage == Stage::Imported {
            held.stage = Stage::Decoding;
            held.max_tokens = max_tokens;
            held.generator = Some(TokenGenerator::new(&held.prompt.text()));
            held.text.clone_from(&held.prompt.generated);
        } else {
            self.counters.resumes += 1;
        }
        held.reader += 1;
        Some(held.reader)
    }

    pub(crate) fn decoding(&self) -> usize {
        let decoding = self.held.values().filter(|held| held.stage == Stage::Decoding);
        decoding.count()
    }

    /// Generates one token per decoding request; completed requests release their slot.
    pub(crate) fn decode_step(&mut self) {
        let mut ended = Vec::new();
        for (id, held) in &mut self.held {
            if held.stage != Stage::Decoding {
                continue;
            }
            if let Some(generator) = &mut held.generator
                && token_count(&held.text) < held.max_tokens
            {
                held.text.push_str(&generator.next_token());
                self.counters.decoded_tokens += 1;
            }
            if token_count(&held.text) >= held.max_tokens {
                ended.push(id.clone());
            }
        }
        for id in ended {
            self.finish(id);
        }
    }

    fn finish(&mut self, id: String) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        self.finished.insert(
            id,
            Finished { owner: held.owner, text: held.text, reader: held.reader, arrival: held.arrival },
        );
        if self.finished.len() > MAX_FINISHED_ANSWERS {
            let oldest = self.finished.iter().min_by_key(|(_, finished)| finished.arrival);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.finished.remove(&id));
        }
    }

    pub(crate) fn next_tokens(&self, id: &str, reader: u64, index: u64) -> NextTokens {
        if let Some(finished) = self.finished.get(id) {
            if finished.reader != reader {
                return NextTokens::TakenOver;
            }
            return NextTokens::Tokens {
                texts: tokens_from(&finished.text, index),
                done: Some(token_count(&finished.text)),
            };
        }
        let Some(held) = self.held.get(id) else {
            return NextTokens::Gone;
        };
        if held.reader != reader {
            return NextTokens::TakenOver;
        }
        let texts = tokens_from(&held.text, index);
        if texts.is_empty() {
            return NextTokens::Wait;
        }
        NextTokens::Tokens { texts, done: None }
    }

    /// Releases a held request; false if it is not held or belongs to another owner.
    pub(crate) fn cancel(&mut self, id: &str, owner: &Owner) -> bool {
        if self.held.get(id).is_none_or(|held| held.owner != *owner) {
            return false;
        }
        let Some(held) = self.held.remove(id) else {
            return false;
        };
        match held.stage {
            Stage::Prefilled | Stage::Exporting => self.counters.cancelled_tokens += held.prompt_tokens,
            Stage::Imported => self.counters.unused_tokens += held.prompt_tokens,
            Stage::Decoding => self.counters.unread_tokens += token_count(&held.text),
            Stage::Queued | Stage::Prefilling | Stage::Importing => {}
        }
        true
    }
}

fn tokens_from(text: &str, index: u64) -> Vec<String> {
    let from = usize::try_from(index).unwrap_or(usize::MAX).saturating_mul(TOKEN_BYTES);
    let rest = text.get(from..).unwrap_or_default();
    (0..rest.len()).step_by(TOKEN_BYTES).map(|at| rest[at..at + TOKEN_BYTES].to_owned()).collect()
}
