//! What all requests of a relaying daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hibiscusvale_core::ids::{BackendServerId, Incarnation, PartnerId, RequestId, ServiceId};
use hibiscusvale_core::quarantine::Fingerprint;
use hibiscusvale_core::relay::patience::Patience;
use hibiscusvale_core::relay::routes::{Route, RouteTable};
use hibiscusvale_core::units::{Credit, Millis, Tokens};
use http::{HeaderMap, Method};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::edge::{Call, Hop, Task, Wire};
use super::engine_hub::EngineHub;
use super::freshness::Freshness;
use super::handover::HandedOn;
use super::limits::LimitHub;
use super::metrics::{Ended, RelayMetrics};
use super::news::News;
use super::peers::Peers;
use super::quarantine::QuarantineHub;
use super::quotas::QuotaHub;
use super::settings::BoundSettings;
use super::story::{Step, Story};
use crate::backend::BackendHttp;
use crate::directory::Directory;
use crate::dispatch::PlainHub;
use crate::logging::{Log, RelayLine};

/// A request that was read whole.
#[derive(Debug)]
pub struct Incoming {
    /// The relay's own name for it.
    pub request_id: RequestId,
    /// What its caller says.
    pub call: Call,
    /// The organisation whose caller sent it; `None` where callers need no key.
    pub partner: Option<PartnerId>,
    /// What it took out of the organisation's quota.
    pub charged: Credit,
    /// By which it is recognised when it comes again.
    pub fingerprint: Fingerprint,
    /// Its route, with the organisation's rank.
    pub route: Route,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Method as sent.
    pub method: Method,
    /// Path and query as sent.
    pub path: String,
    /// Headers as sent, without a key that is meant for the router alone.
    pub headers: HeaderMap,
    /// Body as sent.
    pub body: Bytes,
    /// How long its caller has waited with earlier tries.
    pub waited_ms: Millis,
    /// When its first byte was understood.
    pub arrived: Instant,
    /// When its caller gets its final answer at the latest.
    pub deadline: Instant,
    /// What happened to it.
    pub story: Mutex<Story>,
    /// The daemon.
    pub state: Arc<RelayState>,
}

/// One line for each request, when nothing is left of it: with its answer, or with the detached end of a call that
/// may not be broken off.
impl Drop for Incoming {
    fn drop(&mut self) {
        self.state.open.fetch_sub(1, Ordering::Relaxed);
        let story = self.story.get_mut();
        let took = self.arrived.elapsed();
        self.state.metrics.ended(Ended {
            service: self.service.as_str(),
            outcome: story.how(),
            took,
            first_event_ms: story.first_event_ms(),
            longest_pause_ms: story.longest_pause_ms(),
        });
        self.state.log.relayed(RelayLine {
            request_id: self.request_id,
            call: self.call.id.as_str(),
            route: &self.route.name,
            partner: self.partner.as_ref(),
            version: self.state.table.load().version().0,
            outcome: story.how(),
            steps: story.steps(),
            fingerprint: self.fingerprint,
            generation: self.call.generation.as_ref().map(|generation| {
                let hint = generation.answer_tokens_hint.unwrap_or_default();
                [generation.prompt_tokens, generation.answer_tokens_max, hint, Tokens(story.last_event())]
            }),
            stated_wait_ms: self.call.wait_ms.unwrap_or_default(),
            waited_ms: self.waited_ms,
            longest_pause_ms: story.longest_pause_ms(),
            first_event_ms: story.first_event_ms(),
            took_ms: Millis(u64::try_from(took.as_millis()).unwrap_or(u64::MAX)),
        });
    }
}

impl Incoming {
    /// Notes a step that has just ended.
    pub fn note(&self, step: Step, server: &BackendServerId) {
        self.state.metrics.step(step.label(), step.cause());
        self.story.lock().note(self.arrived.elapsed(), step, server);
    }

    /// Notes that the first event went to the caller.
    pub fn note_first_event(&self) {
        self.story.lock().first_event(self.arrived.elapsed());
    }

    /// Notes the number of the last event that its caller got.
    pub fn note_last_event(&self, last: u64) {
        self.story.lock().events(self.arrived.elapsed(), last);
    }

    /// Notes how it ended.
    pub fn note_end(&self, how: &'static str) {
        self.story.lock().end(how);
    }

    /// One sending of it to `server`.
    pub fn hop<'a>(&'a self, server: &'a BackendServerId, task: Task) -> Hop<'a> {
        Hop {
            server,
            left_ms: self.left_ms(),
            task,
            reservation: None,
            partner: self.partner.as_ref(),
            after_event: None,
        }
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time that is left, as it is handed on: never more than there is.
    pub fn left_ms(&self) -> Millis {
        Millis(u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX))
    }
}

/// What all requests of a daemon share.
#[derive(Debug)]
pub struct RelayState {
    /// How callers and servers speak.
    pub wire: Arc<dyn Wire>,
    /// The routes in force.
    pub table: ArcSwap<RouteTable>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// Calls to backend servers.
    pub http: BackendHttp,
    /// Schedulers of plain services.
    pub plain_hub: PlainHub,
    /// Pools of engines.
    pub engine_hub: EngineHub,
    /// How old its knowledge of routes and servers is.
    pub freshness: Freshness,
    /// How long callers wait.
    pub patience: Mutex<Patience>,
    /// Changes of the servers, for the other daemons.
    pub news: News,
    /// What was handed on to other daemons lately.
    pub handed_on: Mutex<HandedOn>,
    /// The other daemons.
    pub peers: Peers,
    /// What organisations may send.
    pub quotas: QuotaHub,
    /// Limits that servers state.
    pub limits: LimitHub,
    /// Requests that crash servers.
    pub quarantine: QuarantineHub,
    /// What the installation allows.
    pub bounds: Mutex<BoundSettings>,
    /// This daemon's life.
    pub incarnation: Incarnation,
    /// Requests taken in by this life.
    pub sequence: AtomicU64,
    /// Requests and streams under way.
    pub open: AtomicU64,
    /// Whether the schedulers know any list of servers: before that they would refuse whoever comes.
    pub servers_adopted: AtomicBool,
    /// Whether the daemon is about to stop.
    pub stopping: AtomicBool,
    /// Where it tells.
    pub log: Log,
    /// Where it counts.
    pub metrics: RelayMetrics,
}

impl RelayState {
    /// An id that no request had before.
    pub fn next_id(&self) -> RequestId {
        RequestId { incarnation: self.incarnation, sequence: self.sequence.fetch_add(1, Ordering::Relaxed) }
    }

    /// Whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed)
            && self.table.load().is_known()
            && self.servers_adopted.load(Ordering::Relaxed)
    }
}
