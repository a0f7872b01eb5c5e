//! What this daemon remembers of the requests that it alone may run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::answers::{AnswerMemory, StoredAnswer};
use super::{BodyDigest, ClaimKey, ClaimSettings};
use crate::ids::RequestId;
use crate::units::{Millis, MonoTime};

/// How a request that held its key ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FinishedAs {
    /// The server answered it; `None` when the answer was too large to keep or was streamed.
    Answered(Option<Arc<StoredAnswer>>),
    /// It is proven that it did not run, and it will not be tried again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a holder says of its request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum HeldState {
    /// It is being run.
    Running,
    /// It was answered.
    Answered(Arc<StoredAnswer>),
    /// It was answered, and the answer is no longer kept.
    AnswerGone,
    /// It did not run and never will; its key is being freed.
    NotRun,
    /// It may have run. Also said by a daemon that is not the one which took the request in.
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

/// The requests of this daemon that won their claim, or gave it up, for as long as their keys are held.
#[derive(Debug)]
pub(super) struct Runs {
    settings: ClaimSettings,
    by_request: HashMap<RequestId, Run>,
    by_key: HashMap<ClaimKey, RequestId>,
    by_age: VecDeque<RequestId>,
    answers: AnswerMemory<RequestId>,
}

impl Runs {
    pub(super) fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            by_request: HashMap::new(),
            by_key: HashMap::new(),
            by_age: VecDeque::new(),
            answers: AnswerMemory::new(settings.answer_bytes, settings.answers_bytes),
        }
    }

    /// Whether one more request fits. A daemon that forgot a running request would call it unknown, which is
    /// safe but tells the caller less than it could know.
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

    /// The state of one of this daemon's requests; what is not remembered may have run.
    pub(super) fn state(&self, request: RequestId) -> HeldState {
        let Some(run) = self.by_request.get(&request) else {
            return HeldState::Unknown;
        };
        match run.state {
            RunState::Running => HeldState::Running,
            RunState::NotRun => HeldState::NotRun,
            RunState::Unknown => HeldState::Unknown,
            RunState::Answered => self
                .answers
                .get(&request)
                .map_or(HeldState::AnswerGone, |answer| HeldState::Answered(Arc::clone(answer))),
        }
    }

    /// The key of a request that did not run, if it is to be freed. An old one is left to expire: readers may
    /// differ on whether its claim has expired, and a release could then free the key for a second one.
    pub(super) fn freeable(&self, now_us: MonoTime, request: RequestId) -> Option<ClaimKey> {
        let run = self.by_request.get(&request)?;
        let hold_ms = self.settings.hold_ms();
        let fresh = run.since_us + Millis(hold_ms.0 / 2) > now_us;
        (run.state == RunState::NotRun && fresh).then_some(run.key)
    }

    /// The request of this daemon that holds `key`, with the digest of what it asked for.
    pub(super) fn by_key(&self, key: &ClaimKey) -> Option<(RequestId, BodyDigest)> {
        let request = self.by_key.get(key)?;
        self.by_request.get(request).map(|run| (*request, run.digest))
    }

    /// Writes down how a running request ended. Only the first end counts: a late one of a task that lost a
    /// race must not turn an unknown outcome into another.
    pub(super) fn finish(&mut self, request: RequestId, finished: FinishedAs) {
        let Some(run) = self.by_request.get_mut(&request) else {
            return;
        };
        if run.state != RunState::Running {
            return;
        }
        match finished {
            FinishedAs::Answered(answer) => {
                run.state = RunState::Answered;
                if let Some(answer) = answer {
                    self.answers.keep(request, answer);
                }
            }
            FinishedAs::Unknown => run.state = RunState::Unknown,
            FinishedAs::NotRun => {
                run.state = RunState::NotRun;
                self.by_key.remove(&run.key);
            }
        }
    }

    /// Forgets requests whose keys are no longer held. One that still runs is kept, however old.
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
                self.forget(oldest);
            }
        }
    }

    fn forget(&mut self, request: RequestId) {
        self.answers.forget(&request);
        let Some(run) = self.by_request.remove(&request) else {
            return;
        };
        if self.by_key.get(&run.key) == Some(&request) {
            self.by_key.remove(&run.key);
        }
    }
}

/// A request that is to be remembered.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewRun {
    pub(super) key: ClaimKey,
    pub(super) digest: BodyDigest,
    pub(super) state: RunState,
}
