//! Structured logging as JSON lines through spdlog-rs.
//!
//! Each event has a method with typed arguments, so a line cannot contain a token, a key or a body by accident, and an
//! event has the same fields wherever it is logged. Each line is one JSON object: `level`,
//! `timestamp` (ms since 1970), `payload` (the event) and `kv` (its fields).

mod background;
mod budget;

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::{
    BackendServerId, ClassName, DataCentreId, FencingNumber, HostId, Offset, PartnerId, PromptPartId,
    RequestId,
};
use hibiscusvale_core::quarantine::{
    Fingerprint, FingerprintKind, Fingerprints, Refusal, Refutation, Verdict,
};
use hibiscusvale_core::relay::congestion::HostLoad;
use hibiscusvale_core::relay::engines::SpillOver;
use hibiscusvale_core::relay::reach::HelperCounts;
use hibiscusvale_core::relay::server_list::{OutdatedRecord, ServerChange, ServerEntry, ServerRecord};
use hibiscusvale_core::relay::stopping::{RunTimeSource, WouldNotEnd};
use hibiscusvale_core::sched::{ServerLoadUse, Stage};
use hibiscusvale_core::servers::Servers;
use hibiscusvale_core::shares::OverShare;
use hibiscusvale_core::units::{Bytes, Credit, CreditPerSecond, Micros, Millis, Tokens};
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};

use crate::backend::{CallScope, EndCheck, EndlessAnswer};
use crate::clock;
use crate::logging::background::BackgroundWriter;
use crate::logging::budget::{LineBudget, LineDecision};
use crate::metrics::Label;
use crate::settings::LogLevel;

/// Maximum number of servers of a change that a line names.
const LOGGED_RECORDS_MAX: usize = 24;

/// Interval between flushes of buffered lines. Buffering avoids a system call per request.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// Capacity of the line buffer, which is written out when full.
const BUFFER_BYTES: usize = 64 << 10;

/// Failure to set up logging.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The logging library returned an error.
    #[error("could not set up logging")]
    Library(#[from] spdlog::Error),
    /// The writer thread could not be started.
    #[error("could not start the log writer thread")]
    Thread(#[from] io::Error),
}

/// Logger of the daemon.
#[derive(Clone)]
pub struct Log {
    logger: Arc<Logger>,
    lines: Arc<LineBudget>,
}

/// Log fields of a finished request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLine<'a, Outcome> {
    /// Id of the request.
    pub request_id: RequestId,
    /// Partner that sent it; `None` when no token matched.
    pub partner: Option<&'a PartnerId>,
    /// Class of the request; `None` when it could not be determined.
    pub class: Option<&'a ClassName>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from arrival to completion.
    pub took_ms: Millis,
    /// Number of attempts at backend servers.
    pub attempts: u32,
    /// Stage in which the request ended; `None` for requests that are not scheduled in stages.
    pub last_stage: Option<LastStage>,
}

/// Stage in which a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastStage {
    /// What the request waited for.
    pub stage: Stage,
    /// Time from entering the stage to the end of the request.
    pub lasted_ms: Millis,
}

/// Log fields of the load of a host.
#[derive(Clone, Copy, Debug)]
pub struct HostLoadLine {
    /// The assessment.
    pub load: HostLoad,
    /// Delay of the host's queues that is tolerated.
    pub tolerated_us: Micros,
    /// Number of open requests of callers, and of connections that have not sent their first one.
    pub open: u32,
    /// Limit on these; `None` if there is none.
    pub limit: Option<u32>,
    /// How often the listener for callers was closed since the start.
    pub closings: u64,
    /// For how long it was closed in all.
    pub closed_ms: Millis,
}

/// Log fields of a finished relayed request.
#[derive(Clone, Copy, Debug)]
pub struct RelayLine<'a> {
    /// Id assigned by the relay.
    pub request_id: RequestId,
    /// Id assigned by the caller.
    pub call: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Organisation that sent it; `None` where callers need no key.
    pub partner: Option<&'a PartnerId>,
    /// Host of the daemon that forwarded it; `None` if its caller sent it here.
    pub forwarded_by: Option<&'a HostId>,
    /// Version of the routing table.
    pub version: u64,
    /// Outcome of the request.
    pub outcome: &'a str,
    /// Steps taken to serve it.
    pub steps: &'a str,
    /// Largest age of the server list by which it was sent to a server.
    pub list_age_ms: Millis,
    /// Version of the server list by which it was last sent to a server; zero if it was sent to none.
    pub list_version: u64,
    /// What was sent to servers and by which list, each as `KIND:SERVER:LIST_VERSION:LIST_AGE_MS@MS`.
    pub sent: &'a str,
    /// What the daemon knew about its way to the servers of the service when the request ended.
    pub reached: &'a str,
    /// What was known of the daemons to which it could be forwarded, when it was last to be forwarded.
    pub helpers: HelperCounts,
    /// Software versions of the engines that sent events, in order, separated by spaces.
    pub versions: &'a str,
    /// The last event that the caller had; zero if it did not resume a stream.
    pub after_event: u64,
    /// The attempt that brought the first event, as named by a caller that resumes a stream; empty if it named none.
    pub resumes: &'a str,
    /// Fingerprint by which repeated submissions are recognised.
    pub fingerprint: Fingerprint,
    /// Prompt tokens, maximum output tokens, expected output tokens, and events sent to the caller.
    pub generation: Option<[Tokens; 4]>,
    /// Wait time stated by the caller; zero when not stated.
    pub stated_wait_ms: Millis,
    /// Estimated time that the caller has already waited, earlier attempts included.
    pub waited_ms: Millis,
    /// Milliseconds from arrival to the first event of the stream; `None` when there was none.
    pub first_event_ms: Option<u64>,
    /// Longest time between two events of the stream, in milliseconds.
    pub longest_pause_ms: u64,
    /// Framing of the last answer of a server; empty if none answered.
    pub framing: &'a str,
    /// How the end of the last answer that is delimited by its connection was judged; `None` if there was none.
    pub end_check: Option<EndCheck>,
    /// Bytes that followed the last complete event when an answer ended.
    pub partial_event_bytes: Bytes,
    /// Time from arrival to completion.
    pub took_ms: Millis,
}

/// Log fields of servers that vanished from the list and stay in use for now.
#[derive(Clone, Copy, Debug)]
pub struct KeptLine<'a> {
    /// The servers.
    pub servers: &'a [BackendServerId],
    /// Who read the list without them: this daemon (`own`) or another one (`other`).
    pub read_by: &'static str,
    /// Age of the list that showed them, as of the change.
    pub list_age_ms: Millis,
    /// Time for which they are kept at most.
    pub for_ms: Millis,
}

/// Log fields of a request that is refused because its organisation exceeds its share.
#[derive(Clone, Copy, Debug)]
pub struct OverShareLine<'a> {
    /// Id assigned by the caller.
    pub call: &'a str,
    /// Organisation that sent it; `None` for an anonymous caller.
    pub partner: Option<&'a PartnerId>,
    /// Service of the request.
    pub service: &'a str,
    /// Figures of the decision.
    pub over: OverShare,
}

/// Log fields of a stream that its caller resumes.
#[derive(Clone, Copy, Debug)]
pub struct ResumeLine<'a> {
    /// Id assigned by the caller.
    pub call: &'a str,
    /// The attempt that brought the first event, as named by the caller; empty if it named none.
    pub resumes: &'a str,
    /// Service that began the stream; empty if it is not known.
    pub service: &'a str,
    /// Software version that began the stream; empty if it is not known.
    pub version: &'a str,
    /// How the version is known, or why it is not.
    pub source: &'a str,
    /// Age of the record at this daemon; zero if there is none.
    pub record_age_ms: Millis,
    /// Number of other daemons that were asked.
    pub asked: usize,
    /// Number of those that replied.
    pub replied: usize,
    /// Number of other daemons that are known.
    pub daemons: u64,
    /// Age of the server list; `None` if there is none.
    pub list_age_ms: Option<Millis>,
    /// Software versions of the service that this daemon has seen, separated by commas.
    pub seen: &'a str,
}

impl Log {
    /// Creates a log that writes to standard output from a background thread.
    ///
    /// # Errors
    ///
    /// [`LoggingError`] when the logger or its thread cannot be set up.
    pub fn stdout(level: LogLevel) -> Result<Self, LoggingError> {
        Self::to_writer(level, BackgroundWriter::start(io::stdout())?)
    }

    /// Creates a log that writes to `target`.
    ///
    /// # Errors
    ///
    /// [`LoggingError`] when the logger cannot be set up.
    pub fn to_writer<Target>(level: LogLevel, target: Target) -> Result<Self, LoggingError>
    where
        Target: Write + Send + 'static,
    {
        let lines = Arc::new(LineBudget::default());
        let buffered = io::BufWriter::with_capacity(BUFFER_BYTES, target);
        let sink = WriteSink::builder().formatter(JsonFormatter::new()).target(buffered).build_arc()?;
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(level)))
            .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Warn))
            .build_arc()?;
        logger.set_flush_period(Some(FLUSH_PERIOD));
        Ok(Self { logger, lines })
    }

    /// Flushes buffered lines. Call it before the process exits.
    pub fn flush(&self) {
        self.logger.flush();
    }

    /// Logs a request that ended with a response or an unknown outcome.
    pub fn request_finished<Outcome>(&self, line: RequestLine<'_, Outcome>)
    where
        Outcome: Label,
    {
        spdlog::info!(logger: self.logger, "request finished", kv: {
            request_id: = line.request_id,
            partner = or_empty(line.partner.map(PartnerId::as_str)),
            class = or_empty(line.class.map(ClassName::as_str)),
            outcome = line.outcome.label(),
            took_ms = line.took_ms.0,
            attempts = line.attempts,
            stage = or_empty(line.last_stage.map(|last| last.stage.as_str())),
            stage_ms = line.last_stage.map_or(0, |last| last.lasted_ms.0),
        });
    }

    /// Logs a refused request.
    pub fn request_refused<Outcome, Reason>(&self, line: RequestLine<'_, Outcome>, reason: Reason)
    where
        Outcome: Label,
        Reason: Label,
    {
        spdlog::info!(logger: self.logger, "request refused", kv: {
            request_id: = line.request_id,
            partner = or_empty(line.partner.map(PartnerId::as_str)),
            class = or_empty(line.class.map(ClassName::as_str)),
            outcome = line.outcome.label(),
            reason = reason.label(),
            took_ms = line.took_ms.0,
            attempts = line.attempts,
            stage = or_empty(line.last_stage.map(|last| last.stage.as_str())),
            stage_ms = line.last_stage.map_or(0, |last| last.lasted_ms.0),
        });
    }

    /// Logs a finished relayed request.
    pub fn request_relayed(&self, line: RelayLine<'_>) {
        if !self.admit_request_line() {
            return;
        }
        spdlog::info!(logger: self.logger, "request relayed", kv: {
            request_id: = line.request_id,
            call = line.call,
            route = line.route,
            partner = or_empty(line.partner.map(PartnerId::as_str)),
            forwarded_by = or_empty(line.forwarded_by.map(HostId::as_str)),
            version = line.version,
            outcome = line.outcome,
            steps = line.steps,
            list_age_ms = line.list_age_ms.0,
            list_version = line.list_version,
            sent = line.sent,
            reached = line.reached,
            helpers_asked = line.helpers.asked,
            helpers_replied = line.helpers.replied,
            helpers_reaching = line.helpers.reaching,
            versions = line.versions,
            after_event = line.after_event,
            resumes = line.resumes,
            fingerprint: = line.fingerprint,
            generation:? = line.generation.map(|counts| counts.map(|count| count.0)).unwrap_or_default(),
            stated_wait_ms = line.stated_wait_ms.0,
            waited_ms = line.waited_ms.0,
            first_event_ms = line.first_event_ms.unwrap_or_default(),
            longest_pause_ms = line.longest_pause_ms,
            framing = line.framing,
            end_asked = line.end_check.map_or("", |check| check.evidence.asked()),
            end_answered = line.end_check.map_or("", |check| check.evidence.answered()),
            end_judged = line.end_check.map_or("", EndCheck::judged),
            end_check_ms = line.end_check.map_or(0, |check| check.took_ms().0),
            partial_event_bytes = line.partial_event_bytes.0,
            took_ms = line.took_ms.0,
        });
    }

    /// Logs a request that was refused because its organisation exceeded its quota.
    pub fn request_refused_by_quota<Reason>(
        &self,
        call: &dyn fmt::Display,
        partner: &PartnerId,
        reason: Reason,
        credit: Credit,
    ) where
        Reason: Label,
    {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "request refused by quota", kv: {
                call: = call,
                partner: = partner,
                reason = reason.label(),
                credit = credit.0,
            });
        }
    }

    /// Logs a request that was refused because the daemon stops before it could end.
    pub fn request_refused_by_stop(&self, call: &dyn fmt::Display, route: &str, would_not_end: &WouldNotEnd) {
        if self.admit_request_line() {
            let WouldNotEnd { left_ms, run } = would_not_end;
            spdlog::info!(logger: self.logger, "request refused by stop", kv: {
                call: = call,
                route = route,
                left_ms = left_ms.0,
                run_ms = run.expected_us.to_millis_ceil().0,
                run_known = match run.source {
                    RunTimeSource::Ended => "ended",
                    RunTimeSource::Assumed => "assumed",
                },
            });
        }
    }

    /// Logs a request that was refused because its organisation exceeded its share of a congested service.
    pub fn request_refused_over_share(&self, line: &OverShareLine<'_>) {
        if self.admit_request_line() {
            let over = &line.over;
            spdlog::info!(logger: self.logger, "request refused over share", kv: {
                call = line.call,
                partner = or_empty(line.partner.map(PartnerId::as_str)),
                service = line.service,
                share_per_1000_s = per_1000_s(over.share_per_s),
                demand_per_1000_s = per_1000_s(over.demand_per_s),
                capacity_per_1000_s = per_1000_s(over.capacity_per_s),
                reports = over.reports,
                oldest_report_ms = over.oldest_report_ms.0,
                retry_after_ms = over.retry_after_ms.0,
            });
        }
    }

    /// Logs that servers of a plain service are chosen by their loads from now on, or no longer.
    pub fn server_loads_in_use(&self, service: &str, load_use: &ServerLoadUse) {
        spdlog::info!(logger: self.logger, "server loads in use", kv: {
            service = service,
            is_in_use = load_use.is_in_use,
            servers = load_use.servers,
            slowest_ms = load_use.slowest_ms.0,
            fastest_ms = load_use.fastest_ms.0,
        });
    }

    /// Logs that a caller resumes a stream.
    pub fn stream_resumed(&self, line: &ResumeLine<'_>) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "stream resumed", kv: {
                call = line.call,
                resumes = line.resumes,
                service = line.service,
                version = line.version,
                source = line.source,
                record_age_ms = line.record_age_ms.0,
                asked = line.asked,
                replied = line.replied,
                daemons = line.daemons,
                list_age_ms = line.list_age_ms.map_or(-1, |age_ms| i64::try_from(age_ms.0).unwrap_or(i64::MAX)),
                seen = line.seen,
            });
        }
    }

    /// Logs a server crash while a request was in flight.
    pub fn server_crashed(
        &self,
        server: &BackendServerId,
        request_id: RequestId,
        fingerprints: &Fingerprints,
        shared_parts: &[PromptPartId],
        in_flight_ms: Millis,
    ) {
        if self.admit_request_line() {
            let named = shared_parts.iter().zip(&fingerprints.prompt_parts);
            let shared_parts: Vec<String> = named.map(|(part, print)| format!("{part}={print}")).collect();
            spdlog::info!(logger: self.logger, "server crashed", kv: {
                server: = server,
                request_id: = request_id,
                fingerprint: = fingerprints.request,
                shared_parts = shared_parts.join(" "),
                in_flight_ms = in_flight_ms.0,
            });
        }
    }

    /// Logs a changed or removed limit that a server announced; `source` tells where it was learned from.
    pub fn server_limited(
        &self,
        server: &BackendServerId,
        rate: Option<CreditPerSecond>,
        source: &'static str,
    ) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "server limit", kv: {
                server: = server,
                is_limited = rate.is_some(),
                requests_per_1000_s = rate.unwrap_or_default().0,
                source = source,
            });
        }
    }

    /// Logs what a server stated in an answer with `status` to a request of the kind `path`.
    pub fn server_stated(
        &self,
        server: &BackendServerId,
        statement: &'static str,
        rest_ms: Option<Millis>,
        path: &'static str,
        status: u16,
    ) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "server stated", kv: {
                server: = server,
                statement = statement,
                rest_ms = rest_ms.unwrap_or_default().0,
                path = path,
                status = status,
            });
        }
    }

    /// Logs that no server of a service is reached. `last_answer_ms` is the time since the last answer of any of
    /// them, `None` if there was none.
    pub fn servers_out_of_reach(
        &self,
        service: &str,
        servers: &[BackendServerId],
        failures: u32,
        cause: &'static str,
        last_answer_ms: Option<Millis>,
    ) {
        let servers: Vec<&str> = servers.iter().map(BackendServerId::as_str).collect();
        spdlog::info!(logger: self.logger, "servers out of reach", kv: {
            service = service,
            servers = servers.join(" "),
            failures = failures,
            cause = cause,
            last_answer_ms = last_answer_ms.unwrap_or_default().0,
        });
    }

    /// Logs that the servers of a service are reached again after `lost_ms`.
    pub fn servers_in_reach(&self, service: &str, lost_ms: Millis) {
        spdlog::info!(logger: self.logger, "servers in reach", kv: {
            service = service,
            lost_ms = lost_ms.0,
        });
    }

    /// Logs the load of a host that is congested.
    pub fn host_congested(&self, line: &HostLoadLine) {
        let HostLoadLine { load, tolerated_us, open, limit, closings, closed_ms } = line;
        spdlog::info!(logger: self.logger, "host congested", kv: {
            bottleneck = load.bottleneck.label(),
            pressure_per_1000 = load.pressure_per_1000,
            connect_delay_ms = load.connect_delay_us.unwrap_or_default().to_millis_floor().0,
            tolerated_ms = tolerated_us.to_millis_floor().0,
            received_per_1000 = load.received_per_1000,
            sent_per_1000 = load.sent_per_1000,
            late_ms = load.late_us.to_millis_floor().0,
            open = *open,
            limit = limit.unwrap_or_default(),
            closings = *closings,
            closed_ms = closed_ms.0,
        });
    }

    /// Logs that an answer was given up because a part of it did not end. `server` is `None` if the address is not that of
    /// a listed server.
    pub fn answer_without_end(&self, server: Option<&BackendServerId>, answer: &EndlessAnswer) {
        spdlog::info!(logger: self.logger, "answer without end", kv: {
            server = or_empty(server.map(BackendServerId::as_str)),
            address: = answer.server,
            part = answer.part.label(),
            read_bytes = answer.read.0,
            after_ms = u64::try_from(answer.after.as_millis()).unwrap_or(u64::MAX),
            pause_ms = u64::try_from(answer.pause.as_millis()).unwrap_or(u64::MAX),
            holds_requests = answer.scope == CallScope::Requests,
        });
    }

    /// Logs that the host is no longer congested, after `lasted_ms`.
    pub fn host_relieved(&self, lasted_ms: Millis) {
        spdlog::info!(logger: self.logger, "host no longer congested", kv: { lasted_ms = lasted_ms.0 });
    }

    /// Logs that requests for a service begin to spill over to other data centres, or no longer do.
    pub fn spill_over_changed(&self, service: &str, spill_over: &SpillOver) {
        spdlog::info!(logger: self.logger, "spill-over", kv: {
            service = service,
            is_active = spill_over.is_active,
            target = or_empty(spill_over.target.as_ref().map(DataCentreId::as_str)),
            waiting_tokens = spill_over.waiting.0,
            room_tokens = spill_over.room.0,
            share_per_1000 = spill_over.share_per_1000,
        });
    }

    /// Logs that a fingerprint entered or left quarantine.
    pub fn quarantine_changed(&self, verdict: &Verdict) {
        spdlog::info!(logger: self.logger, "quarantine", kv: {
            fingerprint: = verdict.fingerprint,
            kind = match verdict.fingerprint.kind() {
                FingerprintKind::Request => "request",
                FingerprintKind::PromptPart => "prompt-part",
            },
            is_quarantined = verdict.is_quarantined,
            crashes = verdict.crashes,
            companions = verdict.companions,
        });
    }

    /// Logs that a crash reported by another daemon does not count because a server here ran the request.
    pub fn crash_refuted(&self, refutation: &Refutation) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "crash refuted", kv: {
                fingerprint: = refutation.fingerprint,
                survival_age_ms = refutation.survival_age_ms.0,
            });
        }
    }

    /// Logs a request that was refused because it, or a part of its prompt, is in quarantine.
    pub fn request_refused_in_quarantine(&self, call: &str, refused: &Refusal) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "request refused in quarantine", kv: {
                call = call,
                fingerprint: = refused.fingerprint,
                left_ms = refused.left_ms.0,
            });
        }
    }

    /// Whether another request line may be written. Logs how many were dropped since the last one.
    fn admit_request_line(&self) -> bool {
        match self.lines.take(clock::now()) {
            LineDecision::Write { left_out: 0 } => true,
            LineDecision::Write { left_out } => {
                self.state_changed("request lines left out", &left_out);
                true
            }
            LineDecision::Drop => false,
        }
    }

    /// Logs that a routing table came into force.
    pub fn routes_in_force(&self, version: u64) {
        spdlog::info!(logger: self.logger, "routes in force", kv: { version = version });
    }

    /// Logs servers that were added, changed (such as their role, or leaving) or removed as of `version` of the list, and which
    /// daemon that comes from.
    pub fn servers_changed(
        &self,
        version: u64,
        before: &Servers,
        after: &Servers,
        origin: &dyn fmt::Display,
    ) {
        let names = |mut ids: Vec<&str>| {
            ids.sort_unstable();
            ids.join(" ")
        };
        let added = after.values().filter(|now| !before.contains_key(&now.id));
        let added: Vec<String> = added.map(|now| format!("{}:{}", now.id, now.version)).collect();
        let removed = after.removed_since(before).map(BackendServerId::as_str);
        let changed = after.changed_since(before).filter(|now| before.contains_key(&now.id));
        let changed = changed.map(|now| format!("{}:{}:{}", now.id, now.version, now.state_label()));
        let changed: Vec<String> = changed.collect();
        spdlog::info!(logger: self.logger, "servers changed", kv: {
            version = version,
            from: = origin,
            came = names(added.iter().map(String::as_str).collect()),
            changed = names(changed.iter().map(String::as_str).collect()),
            gone = names(removed.collect()),
        });
    }

    /// Logs servers that vanished from the list and stay in use for now.
    pub fn vanished_servers_kept(&self, line: &KeptLine<'_>) {
        spdlog::info!(logger: self.logger, "vanished servers kept", kv: {
            servers = sorted_names(line.servers),
            read_by = line.read_by,
            list_age_ms = line.list_age_ms.0,
            for_ms = line.for_ms.0,
        });
    }

    /// Logs servers that vanished from the list earlier, were kept, and are out of use now.
    pub fn kept_servers_removed(&self, servers: &[BackendServerId]) {
        spdlog::info!(logger: self.logger, "kept servers removed", kv: { servers = sorted_names(servers) });
    }

    /// Logs a state change of the daemon or its environment, such as start, stop, or a dependency lost or regained.
    pub fn state_changed(&self, what: &'static str, detail: &dyn fmt::Display) {
        spdlog::info!(logger: self.logger, "changed", kv: { what = what, detail: = detail });
    }

    /// Logs that the server list of another daemon has differed for long from the own one at the same version.
    pub fn server_list_differs(&self, host: &HostId, version: u64) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "server list differs", kv: { host: = host, version = version });
        }
    }

    /// Logs a change of the server list that this daemon has read and sends to the others.
    pub fn server_list_read(&self, change: &ServerChange) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "server list read", kv: {
                after = change.from(),
                version = change.to(),
                whole = change.is_net(),
                servers = record_texts(change),
            });
        }
    }

    /// Logs a change from another daemon that does not go on from `version`, so that this list lacks an earlier one.
    pub fn server_change_missed(&self, version: u64, change: &ServerChange, from: &dyn fmt::Display) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "server change missed", kv: {
                version = version,
                from: = from,
                next_after = change.from(),
                next_version = change.to(),
                servers = record_texts(change),
            });
        }
    }

    /// Logs records of the server list that came later than a later statement of the same server, and count for nothing.
    pub fn server_records_outdated(&self, records: &[OutdatedRecord], from: &dyn fmt::Display) {
        if !records.is_empty() && self.admit_request_line() {
            let texts =
                records.iter().take(LOGGED_RECORDS_MAX).map(|OutdatedRecord { server, statement, known }| {
                    let statement = statement.map_or("none".to_owned(), |statement| statement.to_string());
                    format!("{server}:{statement}:{known}")
                });
            spdlog::info!(logger: self.logger, "server records outdated", kv: {
                from: = from,
                servers = texts.collect::<Vec<_>>().join(" "),
            });
        }
    }

    /// Logs a call of the router itself to a server that leaves or is not listed, by a list of this version and age.
    pub fn call_to_leaving_server(
        &self,
        server: &BackendServerId,
        kind: &'static str,
        list_version: u64,
        list_age_ms: Millis,
    ) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "call to leaving server", kv: {
                server = server.as_str(),
                kind = kind,
                list_version = list_version,
                list_age_ms = list_age_ms.0,
            });
        }
    }

    /// Logs that a read of the server list ended at an older version than the list had reached meanwhile.
    pub fn server_list_read_late(&self, read_version: u64, version: u64) {
        if self.admit_request_line() {
            spdlog::info!(logger: self.logger, "server list read late", kv: {
                read_version = read_version,
                version = version,
            });
        }
    }

    /// Logs an order to an engine to change its role, and the engine's response.
    pub fn engine_ordered(
        &self,
        server: &BackendServerId,
        role: &'static str,
        fencing: FencingNumber,
        list_version: u64,
        answer: &str,
    ) {
        spdlog::info!(logger: self.logger, "engine ordered", kv: {
            server: = server,
            role = role,
            fencing = fencing.0,
            list_version = list_version,
            answer = answer,
        });
    }

    /// Logs the start of a retry.
    pub fn request_retried<Reason>(&self, request_id: RequestId, reason: Reason)
    where
        Reason: Label,
    {
        spdlog::debug!(logger: self.logger, "request retried", kv: {
            request_id: = request_id,
            reason = reason.label(),
        });
    }

    /// Logs that the configuration up to `version` came into force on this daemon.
    pub fn config_in_force(&self, version: Offset) {
        spdlog::info!(logger: self.logger, "configuration in force", kv: { version = version.0 });
    }

    /// Logs a rejected configuration record.
    pub fn config_rejected(&self, offset: Offset, partner: Option<&PartnerId>, reason: &dyn fmt::Display) {
        spdlog::warn!(logger: self.logger, "configuration record rejected", kv: {
            offset = offset.0,
            partner = or_empty(partner.map(PartnerId::as_str)),
            reason: = reason,
        });
    }

    /// Logs that another daemon was discovered, lost or replaced.
    pub fn member_changed<State>(&self, host: &HostId, state: State)
    where
        State: Label,
    {
        spdlog::info!(logger: self.logger, "member changed", kv: {
            host: = host,
            state = state.label(),
        });
    }

    /// Logs a fault that may need an operator's attention.
    pub fn fault(&self, what: &'static str, error: &dyn fmt::Display) {
        spdlog::warn!(logger: self.logger, "fault", kv: { what = what, error: = error });
    }
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Thousandths of a request per second.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
pub fn per_1000_s(per_s: f64) -> u64 {
    (per_s * 1_000.0).round() as u64
}

/// The first servers that a change names, each with the state that it brings and the place of its statement.
fn record_texts(change: &ServerChange) -> String {
    let state = |entry: &ServerEntry| match entry {
        ServerEntry::Listed(server) => server.state_label(),
        ServerEntry::Removed { has_left: true, .. } => "left",
        ServerEntry::Removed { has_left: false, .. } => "gone",
    };
    let records = change.records().iter().take(LOGGED_RECORDS_MAX);
    let place = |record: &ServerRecord| record.statement.map_or(String::new(), |place| format!(":{place}"));
    let texts =
        records.map(|record| format!("{}:{}{}", record.entry.id(), state(&record.entry), place(record)));
    texts.collect::<Vec<_>>().join(" ")
}

fn or_empty(value: Option<&str>) -> &str {
    value.unwrap_or("")
}

fn spdlog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
        LogLevel::Error => Level::Error,
    }
}

fn sorted_names(servers: &[BackendServerId]) -> String {
    let mut names: Vec<&str> = servers.iter().map(BackendServerId::as_str).collect();
    names.sort_unstable();
    names.join(" ")
}
