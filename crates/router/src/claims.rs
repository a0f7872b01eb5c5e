//! The claims service: executes the actions of the claims protocol on the log and the peer link.
//!
//! Runs on the control thread. Request tasks call it through a [`ClaimsHandle`] and hold a [`ClaimGuard`] while
//! they run the request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::claim::{
    AppendOutcome, BodyDigest, ClaimAction, ClaimGroup, ClaimKey, ClaimMessage, ClaimPage, ClaimRecord,
    ClaimSettings, Claims, Decision, RunOutcome, StoredAnswer, UnixMillis,
};
use hibiscusvale_core::ids::{HostId, IdempotencyKey, Incarnation, Offset, PartnerId, RequestId};
use hibiscusvale_core::units::{Millis, MonoTime};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::external::{AppendError, Log, LogFailure, LogPage, Stream};
use crate::peer::{PeerBody, PeerLink};
use crate::service_registry::{RegistryError, ServiceName, ServiceRegistry};

/// Interval of deadline checks while requests or appends are pending.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of expiry checks while nothing is pending.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bound on a log call, in case the log client does not report a timeout itself.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a rate-limited append whose response carries no retry time.
const DEFAULT_RATE_LIMIT_WAIT_MS: Millis = Millis(200);

/// Messages accepted by the claims service.
#[derive(Debug)]
pub enum ClaimsCommand {
    /// Asks for permission to run a request under an idempotency key.
    Begin {
        /// Id of the request.
        request: RequestId,
        /// Partner and idempotency key of the request.
        key: ClaimKey,
        /// Digest of the request, to detect reuse of a key with a different request.
        digest: BodyDigest,
        /// Receives the decision.
        reply: oneshot::Sender<Decision>,
    },
    /// A message from another daemon.
    Peer {
        /// Host of the sender.
        from: HostId,
        /// The message.
        message: ClaimMessage,
    },
    /// Hosts of the daemons that are considered live, across all data centres, including this one.
    Members(Vec<HostId>),
    /// This daemon starts to shut down.
    Leave,
}

#[derive(Debug)]
struct Finished {
    request: RequestId,
    outcome: RunOutcome,
}

/// Decision on a request with an idempotency key.
#[derive(Debug)]
pub enum ClaimDecision {
    /// Run the request and report the outcome on the guard.
    Run(ClaimGuard),
    /// An earlier request with the key was answered; this is its stored answer.
    Answered(Arc<StoredAnswer>),
    /// An earlier request with the key is still running.
    InProgress,
    /// An earlier request with the key was answered, but the answer is no longer stored.
    AnswerEvicted,
    /// An earlier request with the key may have run.
    Unknown,
    /// The key was used for a different request.
    BodyMismatch,
    /// The key cannot be claimed now. This request has not run and never will.
    Unavailable {
        /// Delay before a retry.
        retry_after_ms: Millis,
    },
}

/// Permission to run one request. Dropping it without a report records that the request may have run.
#[derive(Debug)]
pub struct ClaimGuard {
    request: RequestId,
    start_by_us: MonoTime,
    finished: Option<mpsc::UnboundedSender<Finished>>,
}

impl ClaimGuard {
    /// Whether the first byte may still be sent to a server. Must be checked immediately before sending: after a
    /// pause of the process, the claim may have expired and another request may hold the key. If this returns
    /// `false`, report [`ClaimGuard::not_run`].
    pub fn may_start(&self, now_us: MonoTime) -> bool {
        now_us < self.start_by_us
    }

    /// Reports that the server answered; `None` if the answer is not to be stored.
    pub fn answered(self, answer: Option<StoredAnswer>) {
        self.finish(RunOutcome::Answered(answer.map(Arc::new)));
    }

    /// Reports that the request certainly did not run and will not be retried. Its key becomes free.
    pub fn not_run(self) {
        self.finish(RunOutcome::NotRun);
    }

    /// Reports that the request may have run.
    pub fn unknown(self) {
        self.finish(RunOutcome::Unknown);
    }

    fn finish(mut self, outcome: RunOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: RunOutcome) {
        if let Some(sender) = self.finished.take() {
            // The receiver is closed only when the daemon shuts down.
            let _ = sender.send(Finished { request: self.request, outcome });
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.report(RunOutcome::Unknown);
    }
}

/// Client handle to the claims service.
#[derive(Clone, Debug)]
pub struct ClaimsHandle {
    inbox: mpsc::Sender<ClaimsCommand>,
    finished: mpsc::UnboundedSender<Finished>,
    retry_after_ms: Millis,
    retention_ms: Millis,
}

impl ClaimsHandle {
    /// Retention period of idempotency keys, as reported to callers.
    pub fn retention_ms(&self) -> Millis {
        self.retention_ms
    }

    /// Asks whether `request` may run under the partner's `key`. Returns [`ClaimDecision::Unavailable`] without a
    /// claim if the inbox of the service is full.
    pub async fn begin(
        &self,
        request: RequestId,
        partner: &PartnerId,
        key: &IdempotencyKey,
        digest: BodyDigest,
    ) -> ClaimDecision {
        let unavailable = ClaimDecision::Unavailable { retry_after_ms: self.retry_after_ms };
        let (reply, decision) = oneshot::channel();
        let key = ClaimKey::new(partner, key);
        if self.inbox.try_send(ClaimsCommand::Begin { request, key, digest, reply }).is_err() {
            return unavailable;
        }
        // The service has stopped. No guard was issued, so the request cannot run.
        let Ok(decision) = decision.await else {
            return unavailable;
        };
        self.with_guard(request, decision)
    }

    fn with_guard(&self, request: RequestId, decision: Decision) -> ClaimDecision {
        match decision {
            Decision::Run { start_by_us } => {
                ClaimDecision::Run(ClaimGuard { request, start_by_us, finished: Some(self.finished.clone()) })
            }
            Decision::Answered(answer) => ClaimDecision::Answered(answer),
            Decision::InProgress => ClaimDecision::InProgress,
            Decision::AnswerEvicted => ClaimDecision::AnswerEvicted,
            Decision::Unknown => ClaimDecision::Unknown,
            Decision::BodyMismatch => ClaimDecision::BodyMismatch,
            Decision::Unavailable { retry_after_ms } => ClaimDecision::Unavailable { retry_after_ms },
        }
    }
}

#[derive(Debug)]
enum LogCompletion {
    Append { partition: u16, outcome: AppendOutcome },
    Read { partition: u16, page: Option<ClaimPage> },
}

#[derive(Debug)]
struct Service {
    machine: Claims,
    log: Arc<dyn Log>,
    link: Arc<dyn PeerLink>,
    replies: HashMap<RequestId, oneshot::Sender<Decision>>,
    members: Vec<HostId>,
    log_completions: mpsc::UnboundedSender<LogCompletion>,
}

/// Starts the service on the current runtime, which must be that of the control thread, and registers it.
///
/// # Errors
///
/// [`RegistryError::AlreadyRegistered`] if the service is already running.
pub fn start(
    registry: &ServiceRegistry,
    host: HostId,
    incarnation: Incarnation,
    settings: ClaimSettings,
    log: Arc<dyn Log>,
    link: Arc<dyn PeerLink>,
    stop: CancellationToken,
) -> Result<ClaimsHandle, RegistryError> {
    let inbox = registry.register(ServiceName::Claims)?;
    let (finished, finished_inbox) = mpsc::unbounded_channel();
    let (log_completions, log_completion_inbox) = mpsc::unbounded_channel();
    let handle = ClaimsHandle {
        inbox: registry.find(ServiceName::Claims)?,
        finished,
        retry_after_ms: settings.retry_after_ms,
        retention_ms: settings.retention_ms,
    };
    let service = Service {
        machine: Claims::new(host, incarnation, settings),
        log,
        link,
        replies: HashMap::new(),
        members: Vec::new(),
        log_completions,
    };
    tokio::spawn(service.run(inbox, finished_inbox, log_completion_inbox, stop));
    Ok(handle)
}

impl Service {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ClaimsCommand>,
        mut finished: mpsc::UnboundedReceiver<Finished>,
        mut log_completions: mpsc::UnboundedReceiver<LogCompletion>,
        stop: CancellationToken,
    ) {
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut idle_tick = time::interval(IDLE_TICK_INTERVAL);
        idle_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Outcomes are handled first, so that a caller who has its answer and retries receives that answer.
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                Some(Finished { request, outcome }) = finished.recv() => {
                    self.machine.finish(clock::now(), unix_now(), request, outcome);
                }
                Some(completion) = log_completions.recv() => self.handle_log_completion(completion),
                _ = tick.tick(), if self.machine.is_busy() => self.tick(),
                _ = idle_tick.tick() => self.tick(),
                Some(command) = inbox.recv() => self.handle_command(command),
            }
            self.execute_actions();
        }
    }

    fn tick(&mut self) {
        self.machine.tick(clock::now(), unix_now());
    }

    fn handle_command(&mut self, command: ClaimsCommand) {
        match command {
            ClaimsCommand::Begin { request, key, digest, reply } => {
                self.replies.insert(request, reply);
                self.machine.begin(clock::now(), unix_now(), request, key, digest);
            }
            ClaimsCommand::Peer { from, message } => {
                self.machine.handle_message(clock::now(), unix_now(), &from, message);
            }
            ClaimsCommand::Members(members) => {
                self.machine.set_members(&members);
                self.members = members;
            }
            // About 40 KB per shutdown at the design size, where one of 410 daemons stops every 90 seconds.
            ClaimsCommand::Leave => {
                for member in &self.members {
                    self.link.send(member, PeerBody::Claims(ClaimMessage::Leaving));
                }
            }
        }
    }

    fn handle_log_completion(&mut self, completion: LogCompletion) {
        match completion {
            LogCompletion::Append { partition, outcome } => {
                self.machine.append_ended(clock::now(), unix_now(), partition, outcome);
            }
            LogCompletion::Read { partition, page } => {
                self.machine.read_ended(clock::now(), unix_now(), partition, page);
            }
        }
    }

    fn execute_actions(&mut self) {
        for action in self.machine.take_actions() {
            match action {
                ClaimAction::Append { partition, group } => self.append(partition, &group),
                ClaimAction::Read { partition, from, limit } => self.read(partition, from, limit),
                ClaimAction::Send { to, message } => self.link.send(&to, PeerBody::Claims(message)),
                ClaimAction::Decide { request, decision } => self.decide(request, decision),
            }
        }
    }

    fn decide(&mut self, request: RequestId, decision: Decision) {
        let Some(reply) = self.replies.remove(&request) else {
            return;
        };
        let Err(undelivered) = reply.send(decision) else {
            return;
        };
        if matches!(undelivered, Decision::Run { .. }) {
            // The caller disconnected before the decision: the request never runs, and its key is freed.
            self.machine.finish(clock::now(), unix_now(), request, RunOutcome::NotRun);
        }
    }

    fn append(&self, partition: u16, group: &ClaimGroup) {
        let Ok(record) = postcard::to_stdvec(group) else {
            // Encoding these types to memory cannot fail; if it did, nothing would have been sent.
            let _ = self
                .log_completions
                .send(LogCompletion::Append { partition, outcome: AppendOutcome::Unavailable });
            return;
        };
        let log = Arc::clone(&self.log);
        let completions = self.log_completions.clone();
        tokio::spawn(async move {
            let append = log.append(Stream::Claims(partition), vec![Bytes::from(record)]);
            let outcome = time::timeout(LOG_TIMEOUT, append)
                .await
                .map_or(AppendOutcome::Unknown, |result| append_outcome(&result));
            let _ = completions.send(LogCompletion::Append { partition, outcome });
        });
    }

    fn read(&self, partition: u16, from: Offset, limit: u32) {
        let log = Arc::clone(&self.log);
        let completions = self.log_completions.clone();
        tokio::spawn(async move {
            let read = log.read(Stream::Claims(partition), from, limit, Millis::ZERO);
            let page = time::timeout(LOG_TIMEOUT, read)
                .await
                .ok()
                .and_then(Result::ok)
                .map(|page| claim_page(&page));
            let _ = completions.send(LogCompletion::Read { partition, page });
        });
    }
}

fn unix_now() -> UnixMillis {
    UnixMillis(clock::unix_ms())
}

fn append_outcome(result: &Result<Offset, AppendError>) -> AppendOutcome {
    match result {
        Ok(offset) => AppendOutcome::Appended(*offset),
        Err(AppendError::NotAppended { cause: LogFailure::OverRate, retry_after_ms }) => {
            AppendOutcome::RateLimited(retry_after_ms.unwrap_or(DEFAULT_RATE_LIMIT_WAIT_MS))
        }
        Err(AppendError::NotAppended { .. }) => AppendOutcome::Unavailable,
        Err(AppendError::Unknown { .. }) => AppendOutcome::Unknown,
    }
}

/// A record that cannot be decoded claims nothing, for every reader alike: the stream format is part of the
/// protocol, so a daemon that does not know a newer format must not run alongside daemons that write it.
fn claim_page(page: &LogPage) -> ClaimPage {
    ClaimPage {
        start: page.start_offset,
        next: page.next_offset,
        records: page
            .records
            .iter()
            .map(|record| ClaimRecord {
                offset: record.offset,
                group: postcard::from_bytes(&record.data).ok(),
            })
            .collect(),
    }
}
