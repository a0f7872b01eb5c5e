//! State shared by all requests of a daemon in relay mode.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hibiscusvale_core::ids::{
    BackendServerId, HostId, Incarnation, PartnerId, RequestId, ServiceId, SoftwareVersion,
};
use hibiscusvale_core::quarantine::Fingerprints;
use hibiscusvale_core::relay::engines::VersionBinding;
use hibiscusvale_core::relay::prior_wait::PriorWaits;
use hibiscusvale_core::relay::reach::{HelperCounts, Reached};
use hibiscusvale_core::relay::routes::{Route, RouteTable};
use hibiscusvale_core::relay::server_list::ServerList;
use hibiscusvale_core::relay::stream_versions::{StreamKey, StreamOrigin};
use hibiscusvale_core::units::{Credit, Millis, Tokens};
use http::{HeaderMap, Method};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::admission::Admission;
use super::engine_pools::EnginePools;
use super::freshness::Freshness;
use super::host_load::SharedHostLoad;
use super::interfaces::{Call, CallId, Hop, Task, Wire};
use super::leaving_checks::SharedLeavingChecks;
use super::limits::StatedLimits;
use super::memory_limit::MemoryLimit;
use super::metrics::{RelayMetrics, RequestSummary};
use super::organisations::OrganisationOutcomes;
use super::peers::Peers;
use super::quarantine::SharedQuarantine;
use super::quotas::QuotaAccounts;
use super::reach::SharedReach;
use super::settings::{BoundSettings, SchedulingSettings};
use super::shares::SharedShares;
use super::state_transfer::TransferBudget;
use super::statements::SharedStatements;
use super::stop::{RunClass, Stop};
use super::stream_versions::SharedStreamVersions;
use super::trace::{RequestTrace, Sent, Step};
use super::uneven_servers::UnevenServices;
use crate::backend::{BackendHttp, CallScope, EndCheck, Framing};
use crate::clock;
use crate::directory::Directory;
use crate::dispatch::PlainSchedulers;
use crate::link_meter::LinkMeter;
use crate::logging::{Log, RelayLine};
use crate::metrics::Label as _;

/// A request that was read completely.
#[derive(Debug)]
pub struct Incoming {
    /// Id given by this daemon.
    pub request_id: RequestId,
    /// What the caller states about it.
    pub call: Call,
    /// Organisation of the caller; `None` where callers need no key.
    pub partner: Option<PartnerId>,
    /// Amount charged to the organisation's quota.
    pub charged: Credit,
    /// Identify repetitions of the same request, and the parts of its prompt in others.
    pub fingerprints: Fingerprints,
    /// Its route, with the organisation's priority applied.
    pub route: Route,
    /// Destination service.
    pub service: ServiceId,
    /// The stream that it begins or resumes; `None` if it may not be resumed.
    pub stream: Option<StreamKey>,
    /// Software versions at which it may run.
    pub binding: VersionBinding,
    /// Method as received.
    pub method: Method,
    /// Path and query as received.
    pub path: String,
    /// Headers as received, without a key that is meant for the router alone.
    pub headers: HeaderMap,
    /// Body as received; its copies hold the memory counted for it.
    pub body: Bytes,
    /// Host of the daemon that forwarded it; `None` if its caller sent it here.
    pub forwarded_by: Option<HostId>,
    /// How long the caller has waited in earlier attempts.
    pub waited_ms: Millis,
    /// When its head was parsed.
    pub arrived: Instant,
    /// Deadline of the final answer.
    pub deadline: Instant,
    /// Trace of its processing.
    pub trace: Mutex<RequestTrace>,
    /// State of the daemon.
    pub state: Arc<RelayState>,
}

/// Writes the log line of the request when its last reference is dropped: at the end of its answer, or of a
/// detached call that must not be aborted.
impl Drop for Incoming {
    fn drop(&mut self) {
        self.state.open.fetch_sub(1, Ordering::Relaxed);
        let trace = self.trace.get_mut();
        if self.state.stop.has_ended() {
            trace.set_outcome("cut-by-stop");
        }
        let took = self.arrived.elapsed();
        // Each request is counted by the daemon that its caller sent it to.
        if self.forwarded_by.is_some() {
            self.state.metrics.record_taken_over(self.service.as_str(), trace.outcome());
        } else {
            self.state.metrics.record_request(RequestSummary {
                service: self.service.as_str(),
                outcome: trace.outcome(),
                took,
                first_event_ms: trace.first_event_ms(),
                longest_pause_ms: trace.longest_pause_ms(),
                framing: trace.framing(),
                partial_event_bytes: trace.partial_event_bytes(),
            });
        }
        if self.forwarded_by.is_none() {
            let (service, partner) = (self.service.as_str(), self.partner.as_ref());
            self.state.record_organisation_outcome(service, partner, trace.outcome());
        }
        self.state.log.request_relayed(RelayLine {
            request_id: self.request_id,
            call: self.call.id.as_str(),
            route: &self.route.name,
            partner: self.partner.as_ref(),
            forwarded_by: self.forwarded_by.as_ref(),
            version: self.state.table.load().version().0,
            outcome: trace.outcome(),
            steps: trace.steps(),
            list_age_ms: trace.oldest_list().to_millis_ceil(),
            list_version: trace.list_version(),
            sent: trace.sent(),
            reached: self.state.reach.reached(self.service.as_str()).label(),
            helpers: trace.helpers(),
            versions: trace.versions(),
            after_event: self.call.after_event.unwrap_or_default().0,
            resumes: self.call.resumes.as_ref().map_or("", CallId::as_str),
            fingerprint: self.fingerprints.request,
            generation: self.call.generation.as_ref().map(|generation| {
                let hint = generation.answer_tokens_hint.unwrap_or_default();
                [generation.prompt_tokens, generation.answer_tokens_max, hint, Tokens(trace.last_event())]
            }),
            stated_wait_ms: self.call.wait_ms.unwrap_or_default(),
            waited_ms: self.waited_ms,
            longest_pause_ms: trace.longest_pause_ms(),
            first_event_ms: trace.first_event_ms(),
            framing: trace.framing(),
            end_check: trace.end_check(),
            partial_event_bytes: trace.partial_event_bytes(),
            took_ms: Millis(u64::try_from(took.as_millis()).unwrap_or(u64::MAX)),
        });
    }
}

impl Incoming {
    /// Records a step at a server or daemon that has just ended.
    pub fn record_step(&self, step: Step, peer: &dyn Display) {
        self.state.metrics.record_step(step.label(), step.cause());
        self.trace.lock().record_step(self.arrived.elapsed(), step, peer);
    }

    /// Records what is known of the daemons to which it could be forwarded.
    pub fn record_helpers(&self, helpers: HelperCounts) {
        self.trace.lock().record_helpers(helpers);
    }

    /// Records that the first event was sent to the caller.
    pub fn record_first_event(&self) {
        self.trace.lock().record_first_event(self.arrived.elapsed());
    }

    /// Records the software version of an engine that begins to send events.
    pub fn record_version(&self, version: &str) {
        self.trace.lock().record_version(version);
    }

    /// Records at other daemons where its stream began; `None` if that is not known.
    pub fn record_origin(&self, version: Option<&SoftwareVersion>) {
        if let Some(key) = self.stream {
            let origin = version
                .map(|version| StreamOrigin { service: self.service.clone(), version: version.clone() });
            self.state.stream_versions.record(&self.state, key, origin);
        }
    }

    /// Records the id of the last event sent to the caller.
    pub fn record_last_event(&self, last: u64) {
        self.trace.lock().record_event(self.arrived.elapsed(), last);
    }

    /// Records that it, or a step towards it, is sent to a server by the list in force.
    pub fn record_sent(&self, kind: &'static str, server: &BackendServerId) {
        let list_version = self.state.directory.listing().version;
        let list_age_us = self.state.freshness.servers_age_us(clock::now());
        let sent = Sent { kind, server, list_version, list_age_us };
        self.trace.lock().record_sent(self.arrived.elapsed(), sent);
    }

    /// Records how the last answer of a server is delimited.
    pub fn record_framing(&self, framing: Framing) {
        self.trace.lock().record_framing(framing);
    }

    /// Records how the end of an answer that is delimited by its connection was judged.
    pub fn record_end_check(&self, check: EndCheck) {
        self.state.metrics.record_end_check(check);
        self.trace.lock().record_end_check(check);
    }

    /// Records the bytes that followed the last complete event when the answer ended.
    pub fn record_partial_event(&self, size: usize) {
        self.trace.lock().record_partial_event(size);
    }

    /// Records the outcome.
    pub fn set_outcome(&self, outcome: &'static str) {
        self.trace.lock().set_outcome(outcome);
    }

    /// Whether attempts at servers were made.
    pub fn is_attempted(&self) -> bool {
        !self.trace.lock().steps().is_empty()
    }

    /// Whether no server of the service is in reach, and the request may be forwarded.
    pub fn is_server_lost(&self) -> bool {
        self.forwarded_by.is_none() && self.state.reach.reached(self.service.as_str()) == Reached::No
    }

    /// Whether no server may be in reach, and the request may be forwarded: its own attempts failed, and no server has
    /// answered any of them. After an answer, another attempt is a retry and needs retry budget.
    pub fn is_server_doubtful(&self) -> bool {
        self.forwarded_by.is_none()
            && match self.state.reach.reached(self.service.as_str()) {
                Reached::No => true,
                Reached::Doubtful | Reached::Partly => {
                    self.is_attempted() && !self.trace.lock().has_reached_server()
                }
                Reached::Yes | Reached::Unknown => false,
            }
    }

    /// An attempt to send it to `server`.
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

    /// What determines the time of its run.
    pub fn run_class(&self) -> RunClass<'_> {
        RunClass { call: &self.call.id, service: self.service.as_str(), route: &self.route }
    }

    /// Time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the deadline in whole milliseconds, rounded down, for forwarding.
    pub fn left_ms(&self) -> Millis {
        Millis(u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX))
    }
}

/// State shared by all requests of a daemon.
#[derive(Debug)]
pub struct RelayState {
    /// Protocol of callers and backend servers.
    pub wire: Arc<dyn Wire>,
    /// The route table in force.
    pub table: ArcSwap<RouteTable>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// HTTP client for backend servers.
    pub http: BackendHttp,
    /// Schedulers of plain services.
    pub plain_schedulers: PlainSchedulers,
    /// Engine pools.
    pub engine_pools: EnginePools,
    /// Age of routes and server list.
    pub freshness: Freshness,
    /// Waiting times of callers by route.
    pub caller_waits: Mutex<PriorWaits>,
    /// Memory that bodies and answers hold.
    pub memory: MemoryLimit,
    /// The list of backend servers.
    pub server_list: Mutex<ServerList>,
    /// Budget of state transfer to other daemons.
    pub transfer_budget: Mutex<TransferBudget>,
    /// The other daemons.
    pub peers: Peers,
    /// Quotas of organisations and credit of server limits.
    pub quotas: QuotaAccounts,
    /// Shares of organisations in plain services.
    pub shares: SharedShares,
    /// Services with servers that share their hosts.
    pub uneven_services: UnevenServices,
    /// Outcomes of requests by organisation.
    pub organisations: OrganisationOutcomes,
    /// Limits that servers state.
    pub limits: StatedLimits,
    /// What servers state about their availability.
    pub statements: SharedStatements,
    /// Servers that may be leaving while the list cannot tell.
    pub leaving_checks: SharedLeavingChecks,
    /// Software versions at which streams began.
    pub stream_versions: SharedStreamVersions,
    /// Which services' servers this daemon reaches.
    pub reach: SharedReach,
    /// Requests that crash servers.
    pub quarantine: SharedQuarantine,
    /// Limits of the installation.
    pub bounds: Mutex<BoundSettings>,
    /// Optional behaviour of the scheduler.
    pub scheduling: Mutex<SchedulingSettings>,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Number of requests admitted in this incarnation.
    pub sequence: AtomicU64,
    /// Number of open requests and streams.
    pub open: AtomicU64,
    /// Whether the schedulers have a server list; without one they would refuse every request.
    pub servers_adopted: AtomicBool,
    /// Whether the daemon is stopping.
    pub stopping: AtomicBool,
    /// The stop and its deadline.
    pub stop: Stop,
    /// Log output.
    pub log: Log,
    /// Measures connections.
    pub meter: Arc<LinkMeter>,
    /// What callers have open, and its limit.
    pub admission: Arc<Admission>,
    /// Load of the host, as last assessed.
    pub host_load: SharedHostLoad,
    /// Metrics.
    pub metrics: RelayMetrics,
}

impl RelayState {
    /// The HTTP client for calls of the router itself.
    pub fn router_http(&self) -> BackendHttp {
        self.http.scoped(CallScope::Router)
    }

    /// A unique request id.
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
