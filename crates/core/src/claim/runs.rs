//! What this daemon remembers of the requests that it alone may run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{BodyDigest, ClaimKey, ClaimSettings};
use crate::ids::RequestId;
use crate::units::{Bytes, Millis, MonoTime};

/// One header of a kept answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// An answer kept for second callers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Headers that the caller was given.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Memory that the answer takes.
    pub fn size(&self) -> Bytes {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        Bytes((headers + self.body.len()) as u64)
    }
}

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

#[derive(Clone, Debug)]
struct Run {
    key: ClaimKey,
    digest: BodyDigest,
    since_us: MonoTime,
    state: HeldState,
}

/// The requests of this daemon that won their claim, or gave it up, for as long as their keys are held.
#[derive(Debug)]
pub(super) struct Runs {
    settings: ClaimSettings,
    by_request: HashMap<RequestId, Run>,
    by_key: HashMap<ClaimKey, RequestId>,
    by_age: VecDeque<RequestId>,
    answers: VecDeque<RequestId>,
    answers_bytes: Bytes,
}

impl Runs {
    pub(super) fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            by_request: HashMap::new(),
            by_key: HashMap::new(),
            by_age: VecDeque::new(),
            answers: VecDeque::new(),
            answers_bytes: Bytes::ZERO,
        }
    }

    /// Whether one more request fits. A daemon that forgot a running request would call it unknown, which is
    /// safe but tells the caller less than it could know.
    pub(super) fn is_full(&self) -> bool {
        self.by_request.len() >= self.settings.runs
    }

    pub(super) fn insert(
        &mut self,
        now_us: MonoTime,
        request: RequestId,
        key: ClaimKey,
        digest: BodyDigest,
        state: HeldState,
    ) {
        if !matches!(state, HeldState::NotRun) {
            self.by_key.insert(key, request);
        }
        self.by_age.push_back(request);
        self.by_request.insert(
            request,
            Run {
                key,
                digest,
                since_us: now_us,
                state,
            },
        );
    }

    /// The state of one of this daemon's requests; what is not remembered may have run.
    pub(super) fn state(&self, request: RequestId) -> HeldState {
        self.by_request
            .get(&request)
            .map_or(HeldState::Unknown, |run| run.state.clone())
    }

    /// The key of a request that did not run, if it is to be freed. An old one is left to expire: readers may
    /// differ on whether its claim has expired, and a release could then free the key for a second one.
    pub(super) fn freeable(&self, now_us: MonoTime, request: RequestId) -> Option<ClaimKey> {
        let run = self.by_request.get(&request)?;
        let hold_ms = self.settings.hold_ms();
        let fresh = run.since_us + Millis(hold_ms.0 / 2) > now_us;
        (run.state == HeldState::NotRun && fresh).then_some(run.key)
    }

    /// The request of this daemon that holds `key`, with the digest of what it asked for.
    pub(super) fn by_key(&self, key: &ClaimKey) -> Option<(RequestId, BodyDigest)> {
        let request = self.by_key.get(key)?;
        self.by_request.get(request).map(|run| (*request, run.digest))
    }

    /// Writes down how a running request ended. Only the first end
    /// counts: a late one of a task that lost a race must not turn an unknown outcome into another.
    pub(super) fn finish(&mut self, request: RequestId, finished: FinishedAs) {
        let Some(run) = self.by_request.get_mut(&request) else {
            return;
        };
        if run.state != HeldState::Running {
            return;
        }
        let key = run.key;
        match finished {
            FinishedAs::Answered(Some(answer)) if answer.size() <= self.settings.answer_bytes => {
                self.answers_bytes += answer.size();
                run.state = HeldState::Answered(answer);
                self.answers.push_back(request);
            }
            FinishedAs::Answered(_) => run.state = HeldState::AnswerGone,
            FinishedAs::Unknown => run.state = HeldState::Unknown,
            FinishedAs::NotRun => {
                run.state = HeldState::NotRun;
                self.by_key.remove(&key);
            }
        }
        self.drop_answers();
    }

    fn drop_answers(&mut self) {
        while self.answers_bytes > self.settings.answers_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    fn drop_answer(&mut self, request: RequestId) {
        let Some(run) = self.by_request.get_mut(&request) else {
            return;
        };
        if let HeldState::Answered(answer) = &run.state {
            self.answers_bytes -= answer.size();
            run.state = HeldState::AnswerGone;
        }
    }

    /// Forgets requests whose keys are no longer held. One that still runs is kept, however old.
    pub(super) fn expire(&mut self, now_us: MonoTime) {
        let hold = self.settings.hold_ms();
        for _ in 0..self.by_age.len() {
            let Some(&oldest) = self.by_age.front() else {
                return;
            };
            let Some(run) = self.by_request.get(&oldest) else {
                self.by_age.pop_front();
                continue;
            };
            if run.since_us + hold > now_us {
                return;
            }
            self.by_age.pop_front();
            if run.state == HeldState::Running {
                self.by_age.push_back(oldest);
                continue;
            }
            self.forget(oldest);
        }
    }

    fn forget(&mut self, request: RequestId) {
        self.drop_answer(request);
        let Some(run) = self.by_request.remove(&request) else {
            return;
        };
        if self.by_key.get(&run.key) == Some(&request) {
            self.by_key.remove(&run.key);
        }
    }
}
