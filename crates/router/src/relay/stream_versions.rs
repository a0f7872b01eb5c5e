//! Software versions at which streams began: records here and at other daemons, and questions about them.
//!
//! Decisions are made in [`hibiscusvale_core::relay::stream_versions`].

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{Offset, ServiceId, SoftwareVersion};
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::relay::routes::Route;
use hibiscusvale_core::relay::store_refresh::reader_rank;
use hibiscusvale_core::relay::stream_versions::{
    Confirmation, SeenVersions, StreamKey, StreamLookup, StreamOrigin, StreamRecord, StreamVersions,
    VersionHistory, only_version,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

use super::interfaces::{Call, CallId, SavedVersion, StoreError, VersionStore};
use super::message::Datagram;
use super::pacing::Urgency;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use crate::clock;
use crate::directory::{BackendKind, Listing};
use crate::external::{Log as RecordLog, LogFailure, Stream};
use crate::logging::ResumeLine;

/// Maximum number of streams whose records are kept: some megabytes.
const STREAMS_MAX: usize = 1 << 16;

/// Daemons of the own data centre, and of all, that get the record of a stream.
const KEEPERS: usize = 2;

/// Daemons of the own data centre, and of all, that are asked about a stream. More than get the record, since the
/// daemon that asks may know other daemons than the one that sent it.
const ASKED_KEEPERS: usize = 3;

/// Time for replies of other daemons, several round trips inside a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which daemons that have not replied are asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// Timeout of reading the saved versions, for which a caller waits.
const LOAD_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum interval between two reads of the log, and of the saved versions to save those that are missing.
const READ_INTERVAL_MS: Millis = Millis(2_000);

/// Minimum interval between two reads of the saved versions for callers that resume streams which nobody knows.
const SHARED_READ_INTERVAL_MS: Millis = Millis(100);

/// That interval for each daemon of a large fleet, which all may read at once, and its maximum.
const READ_INTERVAL_PER_DAEMON_MS: Millis = Millis(3);
const SHARED_READ_INTERVAL_MAX_MS: Millis = Millis(1_000);

/// Timeout of saving versions.
const SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the first stream of a version waits until that is saved.
const FIRST_SAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed save for which streams of that version begin without one.
const FIRST_SAVE_PAUSE_MS: Millis = Millis(1_000);

/// Time for which a record is kept for the log. The daemon that appends for all is replaced within it when it ends.
const UNSAVED_TTL_MS: Millis = Millis(4_000);

/// Maximum number of records that are kept for the log.
const UNSAVED_MAX: usize = 4_096;

/// Maximum number of log records in a page.
const READ_PAGE_RECORDS: u32 = 256;

/// Interval at which records and changed versions are saved.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the age of the server list is observed.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the server list up to which it shows every version that has begun streams.
const CURRENT_LIST_MS: Millis = Millis(3_000);

/// Retry-After where a daemon that is silent may know the stream. One that still runs sends messages again by then.
const SILENT_RETRY_MS: Millis = Millis(1_000);

/// Question to another daemon about a stream and the versions of its service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamQuestion {
    number: u64,
    key: Option<StreamKey>,
    /// Service whose versions are asked for.
    service: Option<ServiceId>,
}

/// Reply to a [`StreamQuestion`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamReply {
    number: u64,
    /// Record of the stream; `None` if there is none.
    record: Option<StreamRecord>,
    seen: SeenVersions,
}

/// How the version of a stream became known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A record at this daemon.
    Record,
    /// A record at another daemon.
    Peer,
    /// A record in the log, from before this daemon started.
    Log,
    /// Only one version has served since before the stream can have begun.
    OnlyVersion,
}

impl Source {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Peer => "peer",
            Self::Log => "log",
            Self::OnlyVersion => "only-version",
        }
    }
}

/// Why the version of a stream is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gap {
    /// Records contradict each other, or the server may have run other software than listed.
    Ambiguous,
    /// No daemon that can be reached has a record, and others may have one.
    DaemonsSilent,
    /// The log of streams could not be read.
    LogUnread,
    /// The server list is too old to show which versions have served.
    ListOld,
    /// The saved versions could not be read, and there are daemons that were not asked.
    VersionsUnread,
    /// No daemon has a record, and several versions have served or may have.
    NoRecord,
}

impl Gap {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ambiguous => "ambiguous",
            Self::DaemonsSilent => "daemons-silent",
            Self::LogUnread => "log-unread",
            Self::ListOld => "list-old",
            Self::VersionsUnread => "versions-unread",
            Self::NoRecord => "no-record",
        }
    }

    fn refusal(self) -> Refusal {
        match self {
            Self::DaemonsSilent | Self::LogUnread | Self::ListOld | Self::VersionsUnread => {
                Refusal::retry_after(Reason::VersionUnknown, SILENT_RETRY_MS)
            }
            Self::Ambiguous | Self::NoRecord => Refusal::new(Reason::VersionUnknown),
        }
    }
}

/// How a question about a stream ended, for the log.
#[derive(Clone, Debug, Default)]
pub struct Inquiry {
    /// Age of the record at this daemon.
    pub age_us: Option<Micros>,
    /// Number of daemons asked.
    pub asked: usize,
    /// Number of daemons that replied.
    pub replied: usize,
}

/// A read of the saved versions for callers that resume streams.
#[derive(Debug)]
struct SharedRead {
    begun_us: MonoTime,
    /// `None` if the platform did not answer.
    saved: Option<Vec<SavedVersion>>,
}

/// The last reads of what is kept on the platform.
#[derive(Debug, Default)]
struct LastReads {
    shared: Option<SharedRead>,
    versions_us: Option<MonoTime>,
    log_us: Option<MonoTime>,
}

/// The saved versions, as far as a daemon knows.
#[derive(Debug, Default)]
struct KnownSaved {
    versions: BTreeSet<SavedVersion>,
    /// Whether this daemon saves for all and has read what was saved before.
    is_complete: bool,
    /// When a version could last not be saved for a stream that began.
    failed_us: Option<MonoTime>,
}

/// Software versions of streams as far as this daemon knows them.
#[derive(Debug)]
pub struct SharedStreamVersions {
    streams: Mutex<StreamVersions>,
    history: Mutex<VersionHistory>,
    /// Store for the versions that the list has shown, for when all daemons end at once.
    store: Arc<dyn VersionStore>,
    /// When the saved versions, and the log, were last read. Held while they are read.
    last_reads: tokio::sync::Mutex<LastReads>,
    /// The versions saved there, as far as this daemon knows.
    saved: Mutex<KnownSaved>,
    /// Held while a stream waits until its version is saved.
    first_save: tokio::sync::Mutex<()>,
    /// Wakes the daemon that saves for all when versions are to be saved.
    save_due: Notify,
    /// Log for the records of streams of services that run several versions, for when all daemons end at once.
    log: Arc<dyn RecordLog>,
    /// Records for that log that this daemon knows of, each with the time from which it is left to others.
    unsaved: Mutex<VecDeque<(MonoTime, StreamRecord)>>,
    /// How often a service came to have several versions.
    releases: AtomicU64,
    /// Whether the log was read.
    is_log_read: AtomicBool,
    questions: Mutex<HashMap<u64, mpsc::UnboundedSender<(SocketAddr, StreamReply)>>>,
    next_number: AtomicU64,
    /// Socket for messages to other daemons. Records are sent by the thread that passes on the first event, so that
    /// they are under way before it.
    socket: OnceLock<UdpSocket>,
}

impl SharedStreamVersions {
    /// Creates an empty table; with `is_first`, no stream can have begun before.
    pub fn new(is_first: bool, store: Arc<dyn VersionStore>, log: &Arc<dyn RecordLog>) -> Self {
        Self {
            streams: Mutex::new(StreamVersions::new(STREAMS_MAX)),
            history: Mutex::new(VersionHistory::new(is_first)),
            store,
            last_reads: tokio::sync::Mutex::default(),
            saved: Mutex::default(),
            first_save: tokio::sync::Mutex::default(),
            save_due: Notify::new(),
            log: Arc::clone(log),
            unsaved: Mutex::default(),
            releases: AtomicU64::new(0),
            is_log_read: AtomicBool::new(is_first),
            questions: Mutex::default(),
            next_number: AtomicU64::new(0),
            socket: OnceLock::new(),
        }
    }

    /// Sets the socket for messages to other daemons; without one, records stay here.
    pub fn set_socket(&self, socket: UdpSocket) {
        // A daemon binds its address once.
        let _ = self.socket.set(socket);
    }

    /// Number of streams whose versions are recorded here.
    pub fn known(&self) -> usize {
        self.streams.lock().len()
    }

    /// Applies a newer server list.
    pub fn adopt(&self, listing: &Listing) {
        let engines = listing.servers.values().filter_map(|server| match &server.kind {
            BackendKind::Engine { service, .. } => Some((service.as_deref()?, &server.version)),
            BackendKind::Plain { .. } => None,
        });
        // A fleet lists thousands of engines of few services and versions.
        let distinct: HashSet<(&str, &SoftwareVersion)> = engines.collect();
        let is_saved = {
            let saved = self.saved.lock();
            let is_saved = |(service, version): &(&str, &SoftwareVersion)| {
                let same =
                    |saved: &SavedVersion| saved.service.as_str() == *service && saved.version == **version;
                saved.versions.iter().any(same)
            };
            distinct.iter().all(is_saved)
        };
        let now_us = clock::now();
        let mut history = self.history.lock();
        let before = history.services_with_several(now_us);
        history.adopt(now_us, distinct.into_iter());
        let released = history.services_with_several(now_us);
        drop(history);
        for service in released.difference(&before) {
            self.released(service);
        }
        if !is_saved {
            self.save_due.notify_one();
        }
    }

    /// Keeps the records of the streams that began while `service` had one version for the log: from now on the version of a
    /// stream is not known without its record.
    fn released(&self, service: &ServiceId) {
        self.releases.fetch_add(1, Ordering::Relaxed);
        let records: Vec<StreamRecord> = self.streams.lock().records_of(clock::now(), service).collect();
        self.enqueue(&records);
    }

    /// How often a service came to have several versions. Streams that are open then are recorded again, since the daemon
    /// that keeps records for the log may not have theirs.
    pub fn releases(&self) -> u64 {
        self.releases.load(Ordering::Relaxed)
    }

    /// What this daemon knows to be saved, for the other daemons; empty unless it saves for all.
    pub fn saved_for_all(&self) -> Vec<SavedVersion> {
        let saved = self.saved.lock();
        if saved.is_complete { saved.versions.iter().cloned().collect() } else { Vec::new() }
    }

    /// Applies what the daemon that saves for all knows to be saved.
    pub fn receive_saved(&self, versions: Vec<SavedVersion>) {
        let mut saved = self.saved.lock();
        if !versions.is_empty() && !saved.is_complete {
            saved.versions = versions.into_iter().collect();
        }
    }

    /// Saves that a stream begins at a version, unless that is saved already. Daemons that start after all have ended must
    /// know that there were such streams. A store that does not answer delays a stream only briefly.
    pub async fn save_first(&self, state: &RelayState, service: &ServiceId, version: &SoftwareVersion) {
        let begun = SavedVersion { service: service.clone(), version: version.clone() };
        if !self.is_first_save_due(&begun) {
            return;
        }
        let saving = async {
            let _one_at_a_time = self.first_save.lock().await;
            if self.is_first_save_due(&begun) { self.add_saved(&begun).await } else { Ok(()) }
        };
        if !matches!(tokio::time::timeout(FIRST_SAVE_TIMEOUT, saving).await, Ok(Ok(()))) {
            self.saved.lock().failed_us = Some(clock::now());
            state.log.state_changed("stream begins at a version that could not be saved", version);
        }
    }

    fn is_first_save_due(&self, begun: &SavedVersion) -> bool {
        let saved = self.saved.lock();
        let may_try = saved.failed_us.is_none_or(|failed_us| clock::now() >= failed_us + FIRST_SAVE_PAUSE_MS);
        may_try && !saved.versions.contains(begun)
    }

    /// Adds a version to the saved ones of its service. Where none is saved, earlier ones may be missing, so that one alone
    /// would be taken for the only one; without any, no daemon concludes anything.
    async fn add_saved(&self, begun: &SavedVersion) -> Result<(), StoreError> {
        let has_saved =
            |known: &KnownSaved| known.versions.iter().any(|saved| saved.service == begun.service);
        if !has_saved(&self.saved.lock()) {
            let saved = self.store.load().await?;
            self.saved.lock().versions.extend(saved);
        }
        if has_saved(&self.saved.lock()) || self.history.lock().is_complete(clock::now(), &begun.service) {
            self.store.save(begun.clone()).await?;
            self.saved.lock().versions.insert(begun.clone());
        } else {
            self.saved.lock().failed_us = Some(clock::now());
        }
        Ok(())
    }

    /// Records where a stream began, here and at other daemons; `None` if that is not known.
    pub fn record(&self, state: &RelayState, key: StreamKey, origin: Option<StreamOrigin>) {
        let record = StreamRecord { key, origin };
        self.streams.lock().record(clock::now(), &record);
        self.enqueue(std::slice::from_ref(&record));
        self.send(state, record);
    }

    /// Keeps records for the log if their service runs several versions. While it runs one, the version of a stream is
    /// known without its record.
    fn enqueue(&self, records: &[StreamRecord]) {
        let now_us = clock::now();
        let mut unsaved = self.unsaved.lock();
        while unsaved.front().is_some_and(|(until_us, _)| *until_us <= now_us) {
            unsaved.pop_front();
        }
        let history = self.history.lock();
        for record in records {
            let Some(origin) = &record.origin else { continue };
            if history.seen(now_us, &origin.service).versions.len() > 1 && unsaved.len() < UNSAVED_MAX {
                unsaved.push_back((now_us + UNSAVED_TTL_MS, record.clone()));
            }
        }
    }

    /// Applies records of other daemons.
    pub fn receive_records(&self, records: &[StreamRecord]) {
        let now_us = clock::now();
        let mut streams = self.streams.lock();
        for record in records {
            streams.record(now_us, record);
        }
        drop(streams);
        self.enqueue(records);
    }

    fn send(&self, state: &RelayState, record: StreamRecord) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let key = record.key;
        let is_logged = record.origin.as_ref().is_some_and(|origin| self.has_several(&origin.service));
        let Ok(bytes) = postcard::to_stdvec(&Datagram::StreamRecord(record)) else {
            return;
        };
        let mut keepers = state.peers.keepers(key, KEEPERS);
        if is_logged
            && let Some(saver) = state.peers.first_reader()
            && !keepers.contains(&saver)
        {
            keepers.push(saver);
        }
        for keeper in keepers {
            // A lost record is at other daemons too.
            let _ = socket.send_to(&bytes, keeper);
        }
    }

    fn has_several(&self, service: &ServiceId) -> bool {
        self.seen(clock::now(), service).versions.len() > 1
    }

    /// The versions of a service that this daemon has seen.
    fn seen(&self, now_us: MonoTime, service: &ServiceId) -> SeenVersions {
        self.history.lock().seen(now_us, service)
    }

    /// The reply to another daemon's question.
    pub fn reply(&self, question: &StreamQuestion) -> StreamReply {
        let now_us = clock::now();
        let record = question.key.and_then(|key| match self.streams.lock().find(now_us, key).0 {
            StreamLookup::Known(origin) => Some(StreamRecord { key, origin: Some(origin) }),
            StreamLookup::Ambiguous => Some(StreamRecord { key, origin: None }),
            StreamLookup::Unknown => None,
        });
        let service = question.service.as_ref();
        let seen = service.map(|service| self.history.lock().seen(now_us, service));
        StreamReply { number: question.number, record, seen: seen.unwrap_or_default() }
    }

    /// Passes on the reply of another daemon.
    pub fn receive_reply(&self, from: SocketAddr, reply: StreamReply) {
        if let Some(question) = self.questions.lock().get(&reply.number) {
            // The request may have ended.
            let _ = question.send((from, reply));
        }
    }

    /// Finds out where a stream of `route` began. `key` is `None` if its caller named no attempt.
    async fn origin_of(
        &self,
        state: &RelayState,
        key: Option<StreamKey>,
        route: &Route,
        inquiry: &mut Inquiry,
    ) -> Result<(StreamOrigin, Source), Gap> {
        if let Some(key) = key
            && let Some(found) = self.find(key, inquiry)
        {
            return found.map(|origin| (origin, Source::Record));
        }
        let resumed_us = clock::now();
        // Of a route with several destinations it is not known which service began the stream.
        let service = route.only_destination();
        let questioned = state.peers.questioned(key, ASKED_KEEPERS);
        let replies = self.ask(&questioned.addresses, key, service, inquiry).await;
        let mut is_log_read = true;
        if let Some(key) = key {
            self.receive_records(
                &replies.iter().filter_map(|reply| reply.record.clone()).collect::<Vec<_>>(),
            );
            if let Some(found) = self.find(key, &mut Inquiry::default()) {
                return found.map(|origin| (origin, Source::Peer));
            }
            is_log_read = self.load_records().await;
            if let Some(found) = self.find(key, &mut Inquiry::default()) {
                return found.map(|origin| (origin, Source::Log));
            }
        }
        let is_answered = inquiry.replied == inquiry.asked;
        // A daemon that has started since may have begun the stream, and does not know.
        let are_complete = replies.iter().all(|reply| reply.seen.is_complete);
        let is_confirmed = questioned.is_everyone
            && is_answered
            && are_complete
            && (inquiry.asked > 0 || is_list_current(state));
        let mut confirmation = is_confirmed.then_some(Confirmation::AllDaemons);
        let mut seen: Vec<SeenVersions> = replies.into_iter().map(|reply| reply.seen).collect();
        if let Some(service) = service {
            seen.push(self.seen(clock::now(), service));
            let is_complete = seen.iter().any(|seen| seen.is_complete);
            if !has_several(&seen)
                && (confirmation.is_none() || !is_complete)
                && is_list_current(state)
                && let Some(saved) = self.saved_since(state, resumed_us).await
            {
                confirmation = Some(Confirmation::Saved);
                // What was saved may also complete what this daemon has seen.
                seen.extend([versions_saved(&saved, service), self.seen(clock::now(), service)]);
            }
        }
        match (service, only_version(confirmation, seen.iter())) {
            (Some(service), Some(version)) => {
                Ok((StreamOrigin { service: service.clone(), version }, Source::OnlyVersion))
            }
            _ if !is_log_read => Err(Gap::LogUnread),
            _ if !is_list_current(state) && !is_answered => Err(Gap::ListOld),
            _ if !is_answered || state.peers.is_any_newly_silent() => Err(Gap::DaemonsSilent),
            _ if confirmation.is_none() => Err(Gap::VersionsUnread),
            _ => Err(Gap::NoRecord),
        }
    }

    /// The origin of a stream by the records at this daemon; `None` if there is none.
    fn find(&self, key: StreamKey, inquiry: &mut Inquiry) -> Option<Result<StreamOrigin, Gap>> {
        let now_us = clock::now();
        let (lookup, recorded_us) = self.streams.lock().find(now_us, key);
        inquiry.age_us = recorded_us.map(|recorded_us| now_us.since(recorded_us));
        match lookup {
            StreamLookup::Known(origin) => Some(Ok(origin)),
            StreamLookup::Ambiguous => Some(Err(Gap::Ambiguous)),
            StreamLookup::Unknown => None,
        }
    }

    /// Asks daemons about a stream, until one has a record of it or all have replied.
    async fn ask(
        &self,
        daemons: &[SocketAddr],
        key: Option<StreamKey>,
        service: Option<&ServiceId>,
        inquiry: &mut Inquiry,
    ) -> Vec<StreamReply> {
        let mut unanswered = daemons.to_vec();
        inquiry.asked = unanswered.len();
        let Some(socket) = self.socket.get() else {
            return Vec::new();
        };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let question = Datagram::StreamQuestion(StreamQuestion { number, key, service: service.cloned() });
        let Ok(bytes) = postcard::to_stdvec(&question) else {
            return Vec::new();
        };
        let (sender, mut incoming) = mpsc::unbounded_channel();
        self.questions.lock().insert(number, sender);
        let mut replies: Vec<StreamReply> = Vec::new();
        let asking = async {
            while !unanswered.is_empty() {
                for address in &unanswered {
                    // A lost question is followed by another one.
                    let _ = socket.send_to(&bytes, address);
                }
                let asked = tokio::time::Instant::now();
                while !unanswered.is_empty() {
                    let reply = tokio::time::timeout_at(asked + ASK_AGAIN_AFTER, incoming.recv()).await;
                    let Ok(Some((from, reply))) = reply else { break };
                    if !unanswered.contains(&from) {
                        continue;
                    }
                    unanswered.retain(|address| *address != from);
                    let is_found = reply.record.is_some();
                    replies.push(reply);
                    if is_found {
                        return;
                    }
                }
            }
        };
        // Without a reply the stream counts as unknown to that daemon.
        let _ = tokio::time::timeout(REPLY_TIMEOUT, asking).await;
        self.questions.lock().remove(&number);
        inquiry.replied = replies.len();
        replies
    }

    /// Reads which versions of a service other daemons have saved.
    async fn load(&self, state: &RelayState, service: &ServiceId) {
        let mut last_reads = self.last_reads.lock().await;
        self.observe_list(state);
        let now_us = clock::now();
        if self.history.lock().is_complete(now_us, service)
            || !is_read_due(now_us, &mut last_reads.versions_us)
        {
            return;
        }
        // The versions stay unknown if the platform does not answer.
        let Ok(Ok(saved)) = tokio::time::timeout(LOAD_TIMEOUT, self.store.load()).await else {
            return;
        };
        self.adopt_saved(&saved);
    }

    /// The versions that are saved, as read from the platform after `since_us`; `None` if they could not be read. One read
    /// serves all callers that wait for it.
    async fn saved_since(&self, state: &RelayState, since_us: MonoTime) -> Option<Vec<SavedVersion>> {
        let mut last_reads = self.last_reads.lock().await;
        if let Some(read) = last_reads.shared.as_ref().filter(|read| read.begun_us >= since_us) {
            return read.saved.clone();
        }
        let interval_ms =
            SHARED_READ_INTERVAL_MS.0.max(READ_INTERVAL_PER_DAEMON_MS.0 * state.peers.registered());
        if let Some(read) = &last_reads.shared {
            let next_us = read.begun_us + Millis(interval_ms.min(SHARED_READ_INTERVAL_MAX_MS.0));
            tokio::time::sleep(Duration::from(next_us.since(clock::now()))).await;
        }
        let begun_us = clock::now();
        let loaded = tokio::time::timeout(LOAD_TIMEOUT, self.store.load()).await;
        let saved = loaded.ok().and_then(Result::ok);
        if let Some(saved) = &saved {
            self.observe_list(state);
            self.adopt_saved(saved);
        }
        last_reads.shared = Some(SharedRead { begun_us, saved: saved.clone() });
        saved
    }

    fn adopt_saved(&self, saved: &[SavedVersion]) {
        let mut history = self.history.lock();
        let services: BTreeSet<&ServiceId> = saved.iter().map(|saved| &saved.service).collect();
        for service in services {
            let versions = saved.iter().filter(|saved| saved.service == *service);
            let versions: Vec<SoftwareVersion> = versions.map(|saved| saved.version.clone()).collect();
            history.adopt_earlier(clock::now(), service, &versions);
        }
    }

    /// Appends the records that this daemon knows of to the log. In a fleet of many data centres no daemon knows all
    /// records, and not all daemons end at once.
    async fn save_records(&self, state: &RelayState) {
        if state.peers.reach() != BroadcastScope::AllDaemons {
            return;
        }
        let records: Vec<StreamRecord> = self.unsaved.lock().drain(..).map(|(_, record)| record).collect();
        let Ok(bytes) = postcard::to_stdvec(&records) else {
            return;
        };
        if !records.is_empty() {
            // Records that are lost are known to the daemons as long as one of them lives.
            let append = self.log.append(Stream::StreamOrigins, vec![Bytes::from(bytes)]);
            let _ = tokio::time::timeout(SAVE_TIMEOUT, append).await;
        }
    }

    /// Reads once the records that were saved before this daemon started; returns whether they are read.
    async fn load_records(&self) -> bool {
        let mut last_reads = self.last_reads.lock().await;
        if self.is_log_read.load(Ordering::Relaxed) {
            return true;
        }
        if !is_read_due(clock::now(), &mut last_reads.log_us) {
            return false;
        }
        let is_read =
            tokio::time::timeout(LOAD_TIMEOUT, self.read_log()).await.is_ok_and(|read| read.is_ok());
        self.is_log_read.store(is_read, Ordering::Relaxed);
        is_read
    }

    async fn read_log(&self) -> Result<(), LogFailure> {
        let mut from = Offset::default();
        loop {
            let page = self.log.read(Stream::StreamOrigins, from, READ_PAGE_RECORDS, Millis::ZERO).await?;
            let Some(last) = page.records.last() else {
                return Ok(());
            };
            from = last.offset.next();
            let mut streams = self.streams.lock();
            for saved in &page.records {
                // Skips records that do not decode: they are of another build.
                let records: Vec<StreamRecord> = postcard::from_bytes(&saved.data).unwrap_or_default();
                for record in &records {
                    streams.record(clock::now(), record);
                }
            }
            if from >= page.next_offset {
                return Ok(());
            }
        }
    }

    /// Saves the versions that have changed, if this daemon does so for all.
    async fn save(&self, state: &RelayState) {
        let live = state.peers.hosts_reaching_store();
        if !state.freshness.reaches_store(clock::now()) || reader_rank(state.peers.host(), live.iter()) > 0 {
            self.saved.lock().is_complete = false;
            return;
        }
        self.save_records(state).await;
        if !self.saved.lock().is_complete {
            // What cannot be read now is read at the next interval.
            let Ok(Ok(saved)) = tokio::time::timeout(LOAD_TIMEOUT, self.store.load()).await else {
                return;
            };
            self.adopt_saved(&saved);
            let mut known = self.saved.lock();
            known.versions = saved.into_iter().collect();
            known.is_complete = true;
        }
        let seen: Vec<(ServiceId, SeenVersions)> = {
            let history = self.history.lock();
            let all = history.all_seen(clock::now());
            all.map(|(service, seen)| (service.clone(), seen)).collect()
        };
        for (service, seen) in seen {
            if !seen.is_complete {
                self.load(state, &service).await;
            }
            self.save_versions(state, &service, &seen).await;
        }
    }

    /// Saves the versions of a service that are not saved yet, and removes those at which no stream can have begun any more.
    async fn save_versions(&self, state: &RelayState, service: &ServiceId, seen: &SeenVersions) {
        let of =
            |version: &SoftwareVersion| SavedVersion { service: service.clone(), version: version.clone() };
        let listed: BTreeSet<SavedVersion> = seen.versions.iter().map(of).collect();
        let saved: BTreeSet<SavedVersion> = {
            let known = self.saved.lock();
            known.versions.iter().filter(|saved| saved.service == *service).cloned().collect()
        };
        // Where none is saved, earlier ones may be missing: see `add_saved`.
        for version in listed.difference(&saved).filter(|_| seen.is_complete || !saved.is_empty()) {
            // A failed call is made again at the next interval.
            let save = self.store.save(version.clone());
            if let Ok(Ok(())) = tokio::time::timeout(SAVE_TIMEOUT, save).await {
                self.saved.lock().versions.insert(version.clone());
                state.peers.schedule_message(Urgency::Soon);
            }
        }
        for version in saved.difference(&listed).filter(|_| seen.is_complete) {
            let remove = self.store.remove(version.clone());
            if let Ok(Ok(())) = tokio::time::timeout(SAVE_TIMEOUT, remove).await {
                self.saved.lock().versions.remove(version);
            }
        }
    }

    /// Observes the age of the server list for as long as the daemon runs.
    pub async fn run(&self, state: &RelayState) {
        loop {
            tokio::time::sleep(OBSERVE_INTERVAL).await;
            self.observe_list(state);
        }
    }

    fn observe_list(&self, state: &RelayState) {
        let now_us = clock::now();
        self.history.lock().observe(now_us, state.freshness.servers_age_us(now_us));
    }
}

/// Saves versions and records for as long as the daemon runs.
pub async fn run_saves(state: Arc<RelayState>) {
    loop {
        // A new version is saved at once, and records at intervals.
        let _ = tokio::time::timeout(SAVE_INTERVAL, state.stream_versions.save_due.notified()).await;
        state.stream_versions.save(&state).await;
    }
}

/// The saved versions of a service, which alone prove nothing: a version is not saved while the platform does not answer.
fn versions_saved(saved: &[SavedVersion], service: &ServiceId) -> SeenVersions {
    let versions = saved.iter().filter(|saved| saved.service == *service);
    let versions: Vec<SoftwareVersion> = versions.map(|saved| saved.version.clone()).collect();
    SeenVersions { versions, is_complete: false }
}

fn has_several(seen: &[SeenVersions]) -> bool {
    let mut versions = seen.iter().flat_map(|seen| &seen.versions);
    let first = versions.next();
    versions.any(|version| Some(version) != first)
}

/// Whether the platform may be read again, since the last time `last_us`. Callers that resume streams which nobody knows
/// must not cause a call each.
fn is_read_due(now_us: MonoTime, last_us: &mut Option<MonoTime>) -> bool {
    let is_due = last_us.is_none_or(|last_us| now_us >= last_us + READ_INTERVAL_MS);
    if is_due {
        *last_us = Some(now_us);
    }
    is_due
}

fn is_list_current(state: &RelayState) -> bool {
    let age_us = state.freshness.servers_age_us(clock::now());
    age_us.is_some_and(|age_us| age_us < Micros::from(CURRENT_LIST_MS))
}

/// Finds out where a stream of `route` began that a caller resumes, and logs how that is known. `key` is `None` if the
/// caller named no attempt.
///
/// # Errors
///
/// The refusal if it is not known.
pub async fn resolve(
    state: &RelayState,
    call: &Call,
    route: &Route,
    key: Option<StreamKey>,
) -> Result<StreamOrigin, Refusal> {
    let mut inquiry = Inquiry::default();
    let found = state.stream_versions.origin_of(state, key, route, &mut inquiry).await;
    let now_us = clock::now();
    let seen = route.only_destination().map(|service| state.stream_versions.seen(now_us, service));
    let seen: Vec<String> =
        seen.unwrap_or_default().versions.iter().map(SoftwareVersion::to_string).collect();
    let label = match &found {
        Ok((_, source)) => source.label(),
        Err(gap) => gap.label(),
    };
    state.metrics.record_resumed(label);
    let origin = found.as_ref().ok().map(|(origin, _)| origin);
    state.log.stream_resumed(&ResumeLine {
        call: call.id.as_str(),
        resumes: call.resumes.as_ref().map_or("", CallId::as_str),
        service: origin.map_or("", |origin| origin.service.as_str()),
        version: origin.map_or("", |origin| origin.version.as_str()),
        source: label,
        record_age_ms: inquiry.age_us.unwrap_or_default().to_millis_ceil(),
        asked: inquiry.asked,
        replied: inquiry.replied,
        daemons: state.peers.registered().saturating_sub(1),
        list_age_ms: state.freshness.servers_age_us(now_us).map(Micros::to_millis_ceil),
        seen: &seen.join(","),
    });
    found.map(|(origin, _)| origin).map_err(Gap::refusal)
}
