//! The claims service: carries out on the log and the peer link what the claims protocol decides.
//!
//! It lives on the control thread. A caller's task asks through a [`ClaimsHandle`], and holds a
//! [`ClaimGuard`] while it runs the request.

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
use crate::kernel::{Kernel, KernelError, ServiceName};
use crate::peer::{PeerBody, PeerLink};

/// Time between looks at deadlines while something waits.
const TICK: Duration = Duration::from_millis(10);

/// Time between looks at ages while nothing waits.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Time after which a call to the log counts as lost, should its client not have said so.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after the log said that its rate is used up, unless it named a time.
const OVER_RATE_MS: Millis = Millis(200);

/// What the service takes in its inbox.
#[derive(Debug)]
pub enum ClaimsCommand {
    /// A caller wants a request run under a key.
    Begin {
        /// The request.
        request: RequestId,
        /// Its partner and idempotency key.
        key: ClaimKey,
        /// What it asks for.
        digest: BodyDigest,
        /// Gets the decision.
        reply: oneshot::Sender<Decision>,
    },
    /// Another daemon says something.
    Peer {
        /// The host it runs on.
        from: HostId,
        /// What it says.
        message: ClaimMessage,
    },
    /// The daemons that are believed to live, over all data centres, this one among them.
    Members(Vec<HostId>),
    /// This daemon begins to stop.
    Leave,
}

#[derive(Debug)]
struct Finished {
    request: RequestId,
    finished: RunOutcome,
}

/// What a caller's task is to do.
#[derive(Debug)]
pub enum ClaimDecision {
    /// Run the request and report on the guard how it ended.
    Run(ClaimGuard),
    /// An earlier request with the key was answered so.
    Answered(Arc<StoredAnswer>),
    /// An earlier request with the key still runs.
    InProgress,
    /// An earlier request with the key was answered; the answer is no longer kept.
    AnswerGone,
    /// An earlier request with the key may have run.
    Unknown,
    /// The key was used for another request.
    OtherBody,
    /// The key cannot be claimed now. This request did not run and never will.
    Unavailable {
        /// When another try may help.
        retry_after_ms: Millis,
    },
}

/// The right to run one request. Dropping it without a word says that the request may have run.
#[derive(Debug)]
pub struct ClaimGuard {
    request: RequestId,
    start_by_us: MonoTime,
    finished: Option<mpsc::UnboundedSender<Finished>>,
}

impl ClaimGuard {
    /// Whether the first byte may still be sent to a server. Asked just before it is sent: after a pause of
    /// the process the key may have expired and be another's. On `false` report [`ClaimGuard::not_run`].
    pub fn may_start(&self, now_us: MonoTime) -> bool {
        now_us < self.start_by_us
    }

    /// The server answered; `None` when the answer is not to be kept.
    pub fn answered(self, answer: Option<StoredAnswer>) {
        self.finish(RunOutcome::Answered(answer.map(Arc::new)));
    }

    /// It is proven that the request did not run, and it will not be tried again. Its key becomes free.
    pub fn not_run(self) {
        self.finish(RunOutcome::NotRun);
    }

    /// The request may have run.
    pub fn unknown(self) {
        self.finish(RunOutcome::Unknown);
    }

    fn finish(mut self, finished: RunOutcome) {
        self.report(finished);
    }

    fn report(&mut self, finished: RunOutcome) {
        if let Some(sender) = self.finished.take() {
            // The service ends with its daemon; then nobody asks any more.
            let _ = sender.send(Finished { request: self.request, finished });
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.report(RunOutcome::Unknown);
    }
}

/// Access to the claims service for callers' tasks.
#[derive(Clone, Debug)]
pub struct ClaimsHandle {
    inbox: mpsc::Sender<ClaimsCommand>,
    finished: mpsc::UnboundedSender<Finished>,
    retry_after_ms: Millis,
    retention_ms: Millis,
}

impl ClaimsHandle {
    /// How long a key is remembered, for callers to see.
    pub fn retention_ms(&self) -> Millis {
        self.retention_ms
    }

    /// Asks whether `request` may run under the partner's `key`. A service that is behind refuses; nothing was
    /// claimed then.
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
        // Without a service there is no guard, so the request cannot run.
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
            Decision::AnswerEvicted => ClaimDecision::AnswerGone,
            Decision::Unknown => ClaimDecision::Unknown,
            Decision::BodyMismatch => ClaimDecision::OtherBody,
            Decision::Unavailable { retry_after_ms } => ClaimDecision::Unavailable { retry_after_ms },
        }
    }
}

#[derive(Debug)]
enum LogEnd {
    Append { partition: u16, end: AppendOutcome },
    Read { partition: u16, page: Option<ClaimPage> },
}

#[derive(Debug)]
struct Service {
    machine: Claims,
    log: Arc<dyn Log>,
    link: Arc<dyn PeerLink>,
    replies: HashMap<RequestId, oneshot::Sender<Decision>>,
    members: Vec<HostId>,
    log_ends: mpsc::UnboundedSender<LogEnd>,
}

/// Starts the service on the present runtime, which is the control thread's, and registers it.
///
/// # Errors
///
/// [`KernelError::Twice`] when it runs already.
pub fn start(
    kernel: &Kernel,
    host: HostId,
    incarnation: Incarnation,
    settings: ClaimSettings,
    log: Arc<dyn Log>,
    link: Arc<dyn PeerLink>,
    stop: CancellationToken,
) -> Result<ClaimsHandle, KernelError> {
    let inbox = kernel.register(ServiceName::Claims)?;
    let (finished, finished_inbox) = mpsc::unbounded_channel();
    let (log_ends, log_end_inbox) = mpsc::unbounded_channel();
    let handle = ClaimsHandle {
        inbox: kernel.find(ServiceName::Claims)?,
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
        log_ends,
    };
    tokio::spawn(service.run(inbox, finished_inbox, log_end_inbox, stop));
    Ok(handle)
}

impl Service {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ClaimsCommand>,
        mut finishes: mpsc::UnboundedReceiver<Finished>,
        mut log_ends: mpsc::UnboundedReceiver<LogEnd>,
        stop: CancellationToken,
    ) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut idle_tick = time::interval(IDLE_TICK);
        idle_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // In this order a caller who has its answer and asks again is told of that answer.
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                Some(Finished { request, finished }) = finishes.recv() => {
                    self.machine.finish(clock::now(), unix_now(), request, finished);
                }
                Some(end) = log_ends.recv() => self.log_end(end),
                _ = tick.tick(), if self.machine.is_busy() => self.tick(),
                _ = idle_tick.tick() => self.tick(),
                Some(command) = inbox.recv() => self.command(command),
            }
            self.carry_out();
        }
    }

    fn tick(&mut self) {
        self.machine.tick(clock::now(), unix_now());
    }

    fn command(&mut self, command: ClaimsCommand) {
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
            // Some forty KB once at the target, where one daemon in 410 stops every minute and a half.
            ClaimsCommand::Leave => {
                for member in &self.members {
                    self.link.send(member, PeerBody::Claims(ClaimMessage::Leaving));
                }
            }
        }
    }

    fn log_end(&mut self, end: LogEnd) {
        match end {
            LogEnd::Append { partition, end } => {
                self.machine.append_ended(clock::now(), unix_now(), partition, end);
            }
            LogEnd::Read { partition, page } => {
                self.machine.read_ended(clock::now(), unix_now(), partition, page);
            }
        }
    }

    fn carry_out(&mut self) {
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
            // The caller left before the decision, so the request never runs and its key is freed.
            self.machine.finish(clock::now(), unix_now(), request, RunOutcome::NotRun);
        }
    }

    fn append(&self, partition: u16, group: &ClaimGroup) {
        let Ok(record) = postcard::to_stdvec(group) else {
            // Encoding to memory cannot fail for these types; were it to, nothing was sent.
            let _ = self.log_ends.send(LogEnd::Append { partition, end: AppendOutcome::Unavailable });
            return;
        };
        let log = Arc::clone(&self.log);
        let ends = self.log_ends.clone();
        tokio::spawn(async move {
            let append = log.append(Stream::Claims(partition), vec![Bytes::from(record)]);
            let end = time::timeout(LOG_TIMEOUT, append)
                .await
                .map_or(AppendOutcome::Unknown, |result| append_end(&result));
            let _ = ends.send(LogEnd::Append { partition, end });
        });
    }

    fn read(&self, partition: u16, from: Offset, limit: u32) {
        let log = Arc::clone(&self.log);
        let ends = self.log_ends.clone();
        tokio::spawn(async move {
            let read = log.read(Stream::Claims(partition), from, limit, Millis::ZERO);
            let page = time::timeout(LOG_TIMEOUT, read)
                .await
                .ok()
                .and_then(Result::ok)
                .map(|page| claim_page(&page));
            let _ = ends.send(LogEnd::Read { partition, page });
        });
    }
}

fn unix_now() -> UnixMillis {
    UnixMillis(clock::unix_ms())
}

fn append_end(result: &Result<Offset, AppendError>) -> AppendOutcome {
    match result {
        Ok(offset) => AppendOutcome::Appended(*offset),
        Err(AppendError::NotAppended { cause: LogFailure::OverRate, retry_after_ms }) => {
            AppendOutcome::RateLimited(retry_after_ms.unwrap_or(OVER_RATE_MS))
        }
        Err(AppendError::NotAppended { .. }) => AppendOutcome::Unavailable,
        Err(AppendError::Unknown { .. }) => AppendOutcome::Unknown,
    }
}

/// A record that cannot be decoded claims nothing, for every reader alike: the stream's format is part of the
/// protocol, and a daemon that does not know a newer one must not be mixed with those that write it.
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
