//! State that this daemon retains of the requests that it alone may run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::answers::{AnswerCache, StoredAnswer};
use super::{BodyDigest, ClaimKey, ClaimSettings};
use crate::ids::RequestId;
use crate::units::{Millis, MonoTime};

/// How a request that held its key ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// The server answered; `None` if the response was too large to cache or was streamed.
    Answered(Option<Arc<StoredAnswer>>),
    /// The request is proven not to have run and will not be retried.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// State of the request that holds a key, as reported by its daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum HolderState {
    /// The request is running.
    Running,
    /// The request was answered with this response.
    Answered(Arc<StoredAnswer>),
    /// The request was answered, and its response was evicted from the cache.
    AnswerEvicted,
    /// The request did not run and never will; its key is being released.
    NotRun,
    /// The request may have run. Also reported by a daemon that did not receive the request.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunState {
    Running,
    Answered,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug)]
struct Run {
    key: ClaimKey,
    digest: BodyDigest,
    since_us: MonoTime,
    state: RunState,
}

/// This daemon's requests that won or abandoned their claim, retained for as long as their keys are held.
#[derive(Debug)]
pub(super) struct Runs {
    settings: ClaimSettings,
    by_request: HashMap<RequestId, Run>,
    by_key: HashMap<ClaimKey, RequestId>,
    by_age: VecDeque<RequestId>,
    answers: AnswerCache<RequestId>,
}

impl Runs {
    pub(super) fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            by_request: HashMap::new(),
            by_key: HashMap::new(),
            by_age: VecDeque::new(),
            answers: AnswerCache::new(settings.answer_bytes, settings.answers_bytes),
        }
    }

    /// Whether the limit of retained requests is reached. Dropping a running request would be safe, since it
    /// is then reported as unknown, but would tell the caller less than the daemon could know.
    pub(super) fn is_full(&self) -> bool {
        self.by_request.len() >= self.settings.runs
    }

    pub(super) fn insert(&mut self, now_us: MonoTime, request: RequestId, run: NewRun) {
        let NewRun { key, digest, state } = run;
        if state != RunState::NotRun {
            self.by_key.insert(key, request);
        }
        self.by_age.push_back(request);
        self.by_request.insert(request, Run { key, digest, since_us: now_us, state });
    }

    /// The state of one of this daemon's requests; a request that is not retained may have run.
    pub(super) fn state(&self, request: RequestId) -> HolderState {
        let Some(run) = self.by_request.get(&request) else {
            return HolderState::Unknown;
        };
        match run.state {
            RunState::Running => HolderState::Running,
            RunState::NotRun => HolderState::NotRun,
            RunState::Unknown => HolderState::Unknown,
            RunState::Answered => self
                .answers
                .get(&request)
                .map_or(HolderState::AnswerEvicted, |answer| HolderState::Answered(Arc::clone(answer))),
        }
    }

    /// The key to release if the request did not run. After half the retention it is left to expire instead:
    /// readers may disagree on whether the claim has expired, and a release could then free the key of a
    /// second claim.
    pub(super) fn releasable_key(&self, now_us: MonoTime, request: RequestId) -> Option<ClaimKey> {
        let run = self.by_request.get(&request)?;
        let hold_ms = self.settings.hold_ms();
        let fresh = run.since_us + Millis(hold_ms.0 / 2) > now_us;
        (run.state == RunState::NotRun && fresh).then_some(run.key)
    }

    /// This daemon's request that holds `key`, with the digest of its contents.
    pub(super) fn by_key(&self, key: &ClaimKey) -> Option<(RequestId, BodyDigest)> {
        let request = self.by_key.get(key)?;
        self.by_request.get(request).map(|run| (*request, run.digest))
    }

    /// Records how a running request ended. Only the first result counts: a late report of a task that lost a
    /// race must not replace an unknown outcome.
    pub(super) fn finish(&mut self, request: RequestId, finished: RunOutcome) {
        let Some(run) = self.by_request.get_mut(&request) else {
            return;
        };
        if run.state != RunState::Running {
            return;
        }
        match finished {
            RunOutcome::Answered(answer) => {
                run.state = RunState::Answered;
                if let Some(answer) = answer {
                    self.answers.insert(request, answer);
                }
            }
            RunOutcome::Unknown => run.state = RunState::Unknown,
            RunOutcome::NotRun => {
                run.state = RunState::NotRun;
                self.by_key.remove(&run.key);
            }
        }
    }

    /// Drops requests whose keys are no longer held. Running requests are retained regardless of age.
    pub(super) fn expire(&mut self, now_us: MonoTime) {
        let hold_ms = self.settings.hold_ms();
        for _ in 0..self.by_age.len() {
            let Some(&oldest) = self.by_age.front() else {
                return;
            };
            let Some(run) = self.by_request.get(&oldest) else {
                self.by_age.pop_front();
                continue;
            };
            if run.since_us + hold_ms > now_us {
                return;
            }
            self.by_age.pop_front();
            if run.state == RunState::Running {
                self.by_age.push_back(oldest);
            } else {
                self.remove(oldest);
            }
        }
    }

    fn remove(&mut self, request: RequestId) {
        self.answers.remove(&request);
        let Some(run) = self.by_request.remove(&request) else {
            return;
        };
        if self.by_key.get(&run.key) == Some(&request) {
            self.by_key.remove(&run.key);
        }
    }
}

/// A request to retain.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewRun {
    pub(super) key: ClaimKey,
    pub(super) digest: BodyDigest,
    pub(super) state: RunState,
}
