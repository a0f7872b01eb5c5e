//! Logs as JSON lines, by spdlog-rs.
//!
//! What matters has a method with typed arguments, so that a line cannot carry a token, a key or a body by
//! accident, and the same event has the same fields everywhere. Each line is one JSON object: `level`,
//! `timestamp` (ms since 1970), `payload` (the event) and `kv` (its fields).

mod background;
mod budget;

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::{
    BackendServerId, ClassName, FencingNumber, HostId, Offset, PartnerId, RequestId,
};
use hibiscusvale_core::quarantine::{Fingerprint, Verdict};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, Tokens};
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};

use crate::clock;
use crate::logging::background::BackgroundWriter;
use crate::logging::budget::{Line, LineBudget};
use crate::metrics::Label;
use crate::servers::Servers;
use crate::settings::LogLevel;

/// Lines are kept for this long before they are written, so that a line per request costs no system call each.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// Bytes that wait at most before they are written.
const BUFFER_BYTES: usize = 64 << 10;

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The library refused.
    #[error("could not set up logging")]
    Library(#[from] spdlog::Error),
    /// The system gave no thread to write in.
    #[error("could not start the thread that writes the log")]
    Thread(#[from] io::Error),
}

/// The daemon's log.
#[derive(Clone)]
pub struct Log {
    logger: Arc<Logger>,
    lines: Arc<LineBudget>,
}

/// A finished request, as the log shows it.
#[derive(Clone, Copy, Debug)]
pub struct RequestLine<'a, Outcome> {
    /// Its id.
    pub request_id: RequestId,
    /// Whose it is; absent when no token matched.
    pub partner: Option<&'a PartnerId>,
    /// Its class; absent when none was understood.
    pub class: Option<&'a ClassName>,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its arrival to its end.
    pub took_ms: Millis,
    /// Tries at backend servers.
    pub attempts: u32,
}

/// A relayed request that has ended, as the log shows it.
#[derive(Clone, Copy, Debug)]
pub struct RelayLine<'a> {
    /// The relay's name for it.
    pub request_id: RequestId,
    /// Its caller's name for it.
    pub call: &'a str,
    /// Its route.
    pub route: &'a str,
    /// The organisation that sent it, where callers need a key.
    pub partner: Option<&'a PartnerId>,
    /// Version of the routes.
    pub version: u64,
    /// How it ended.
    pub outcome: &'a str,
    /// What was tried.
    pub steps: &'a str,
    /// By which it is recognised when it comes again.
    pub fingerprint: Fingerprint,
    /// Tokens of its prompt, of the longest answer, of the likely one, and events that its caller got.
    pub generation: Option<[Tokens; 4]>,
    /// How long its caller says that it will wait; zero where it does not say.
    pub stated_wait_ms: Millis,
    /// How long its caller is taken to have waited before, with earlier tries.
    pub waited_ms: Millis,
    /// Time from its arrival to the first event of a stream.
    pub first_event_ms: Option<u64>,
    /// Longest time between two events of a stream.
    pub longest_pause_ms: u64,
    /// Time from its arrival to its end.
    pub took_ms: Millis,
}

impl Log {
    /// A log that writes to standard output.
    ///
    /// # Errors
    ///
    /// [`LoggingError`] when the library refuses.
    pub fn stdout(level: LogLevel) -> Result<Self, LoggingError> {
        Self::to_writer(level, BackgroundWriter::start(io::stdout())?)
    }

    /// A log that writes to `target`.
    ///
    /// # Errors
    ///
    /// [`LoggingError`] when the library refuses.
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

    /// Writes what waits. Called before the process ends.
    pub fn flush(&self) {
        self.logger.flush();
    }

    /// A request ended with an answer or an unknown outcome.
    pub fn request_finished<Outcome>(&self, line: RequestLine<'_, Outcome>)
    where
        Outcome: Label,
    {
        spdlog::info!(logger: self.logger, "request finished", kv: {
            request_id: = line.request_id,
            partner = text(line.partner.map(PartnerId::as_str)),
            class = text(line.class.map(ClassName::as_str)),
            outcome = line.outcome.label(),
            took_ms = line.took_ms.0,
            attempts = line.attempts,
        });
    }

    /// A request was refused.
    pub fn request_refused<Outcome, Reason>(&self, line: RequestLine<'_, Outcome>, reason: Reason)
    where
        Outcome: Label,
        Reason: Label,
    {
        spdlog::info!(logger: self.logger, "request refused", kv: {
            request_id: = line.request_id,
            partner = text(line.partner.map(PartnerId::as_str)),
            class = text(line.class.map(ClassName::as_str)),
            outcome = line.outcome.label(),
            reason = reason.label(),
            took_ms = line.took_ms.0,
            attempts = line.attempts,
        });
    }

    /// A relayed request ended.
    pub fn relayed(&self, line: RelayLine<'_>) {
        if !self.takes_request_line() {
            return;
        }
        spdlog::info!(logger: self.logger, "request relayed", kv: {
            request_id: = line.request_id,
            call = line.call,
            route = line.route,
            partner = text(line.partner.map(PartnerId::as_str)),
            version = line.version,
            outcome = line.outcome,
            steps = line.steps,
            fingerprint: = line.fingerprint,
            generation:? = line.generation.map(|counts| counts.map(|count| count.0)).unwrap_or_default(),
            stated_wait_ms = line.stated_wait_ms.0,
            waited_ms = line.waited_ms.0,
            first_event_ms = line.first_event_ms.unwrap_or_default(),
            longest_pause_ms = line.longest_pause_ms,
            took_ms = line.took_ms.0,
        });
    }

    /// A request was refused for its organisation's quota.
    pub fn refused_by_quota<Reason>(
        &self,
        call: &dyn fmt::Display,
        partner: &PartnerId,
        reason: Reason,
        credit: Credit,
    ) where
        Reason: Label,
    {
        if self.takes_request_line() {
            spdlog::info!(logger: self.logger, "request refused by quota", kv: {
                call: = call,
                partner: = partner,
                reason = reason.label(),
                credit = credit.0,
            });
        }
    }

    /// A server crashed while it had a request.
    pub fn server_crashed(
        &self,
        server: &BackendServerId,
        request_id: RequestId,
        fingerprint: Fingerprint,
        in_flight_ms: Millis,
    ) {
        if self.takes_request_line() {
            spdlog::info!(logger: self.logger, "server crashed", kv: {
                server: = server,
                request_id: = request_id,
                fingerprint: = fingerprint,
                in_flight_ms = in_flight_ms.0,
            });
        }
    }

    /// A server stated another limit than before, or none any more; `source` is who said so.
    pub fn server_limited(
        &self,
        server: &BackendServerId,
        rate: Option<CreditPerSecond>,
        source: &'static str,
    ) {
        if self.takes_request_line() {
            spdlog::info!(logger: self.logger, "server limit", kv: {
                server: = server,
                is_limited = rate.is_some(),
                requests_per_1000_s = rate.unwrap_or_default().0,
                source = source,
            });
        }
    }

    /// A request was put in quarantine or let out of it.
    pub fn quarantine_changed(&self, verdict: &Verdict) {
        spdlog::info!(logger: self.logger, "quarantine", kv: {
            fingerprint: = verdict.fingerprint,
            is_quarantined = verdict.is_quarantined,
            crashes = verdict.crashes,
        });
    }

    /// A request was refused for it is in quarantine.
    pub fn refused_in_quarantine(&self, call: &dyn fmt::Display, fingerprint: Fingerprint, left: Millis) {
        if self.takes_request_line() {
            spdlog::info!(logger: self.logger, "request refused in quarantine", kv: {
                call: = call,
                fingerprint: = fingerprint,
                left_ms = left.0,
            });
        }
    }

    /// Whether one more line of a request may be written. Notes how many were left out before.
    fn takes_request_line(&self) -> bool {
        match self.lines.take(clock::now()) {
            Line::Write { left_out: 0 } => true,
            Line::Write { left_out } => {
                self.changed("request lines left out", &left_out);
                true
            }
            Line::LeaveOut => false,
        }
    }

    /// A table of routes came into force.
    pub fn table_in_force(&self, version: u64) {
        spdlog::info!(logger: self.logger, "routes in force", kv: { version = version });
    }

    /// Writes what changed of the servers: those that came, that changed (as leaving, or in their role), that are gone.
    pub fn servers_changed(&self, before: &Servers, after: &Servers) {
        let names = |mut ids: Vec<&str>| {
            ids.sort_unstable();
            ids.join(" ")
        };
        let came = after.keys().filter(|id| !before.contains_key(id)).map(BackendServerId::as_str);
        let gone = after.gone_since(before).map(BackendServerId::as_str);
        let changed = after.changed_since(before).filter(|now| before.contains_key(&now.id));
        let changed = changed.map(|now| format!("{}:{}", now.id, now.state_label()));
        let changed: Vec<String> = changed.collect();
        spdlog::info!(logger: self.logger, "servers changed", kv: {
            came = names(came.collect()),
            changed = names(changed.iter().map(String::as_str).collect()),
            gone = names(gone.collect()),
        });
    }

    /// Something around the daemon or in its life changed: start, stop, a dependency lost or regained.
    pub fn changed(&self, what: &'static str, detail: &dyn fmt::Display) {
        spdlog::info!(logger: self.logger, "changed", kv: { what = what, detail: = detail });
    }

    /// An engine was ordered to change its role.
    pub fn ordered(
        &self,
        server: &BackendServerId,
        role: &'static str,
        fencing: FencingNumber,
        answer: &str,
    ) {
        spdlog::info!(logger: self.logger, "engine ordered", kv: {
            server: = server,
            role = role,
            fencing = fencing.0,
            answer = answer,
        });
    }

    /// A further try of a request begins.
    pub fn request_retried<Reason>(&self, request_id: RequestId, reason: Reason)
    where
        Reason: Label,
    {
        spdlog::debug!(logger: self.logger, "request retried", kv: {
            request_id: = request_id,
            reason = reason.label(),
        });
    }

    /// Configuration up to `version` came into force here.
    pub fn config_in_force(&self, version: Offset) {
        spdlog::info!(logger: self.logger, "configuration in force", kv: { version = version.0 });
    }

    /// A configuration record changed nothing.
    pub fn config_rejected(&self, offset: Offset, partner: Option<&PartnerId>, reason: &dyn fmt::Display) {
        spdlog::warn!(logger: self.logger, "configuration record rejected", kv: {
            offset = offset.0,
            partner = text(partner.map(PartnerId::as_str)),
            reason: = reason,
        });
    }

    /// Another daemon was found, lost or replaced.
    pub fn member_changed<State>(&self, host: &HostId, state: State)
    where
        State: Label,
    {
        spdlog::info!(logger: self.logger, "member changed", kv: {
            host: = host,
            state = state.label(),
        });
    }

    /// Something went wrong that an operator may have to look into.
    pub fn fault(&self, what: &'static str, error: &dyn fmt::Display) {
        spdlog::warn!(logger: self.logger, "fault", kv: { what = what, error: = error });
    }
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

fn text(value: Option<&str>) -> &str {
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
