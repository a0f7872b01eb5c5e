//! An in-memory log, and a link between claims services in one process.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hibiscusvale::claims::ClaimsCommand;
use hibiscusvale::external::{AppendError, Log, LogFailure, LogPage, LogRecord, Stream};
use hibiscusvale::peer::{PeerBody, PeerLink};
use hibiscusvale::service_registry::{ServiceName, ServiceRegistry};
use hibiscusvale_core::ids::{HostId, Offset};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;

/// Fault that the log injects into calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Refuses all calls.
    Down,
    /// Appends records but loses the response.
    LosesResponses,
    /// Loses both the records and the response.
    LosesAppends,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    latency: Duration,
    appends: u64,
    streams: HashMap<Stream, Vec<Bytes>>,
}

#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    inner: Arc<Mutex<Inner>>,
}

impl FakeLog {
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().fault = fault;
    }

    pub fn set_latency(&self, latency: Duration) {
        self.inner.lock().latency = latency;
    }

    /// Clears all streams, like a log that was reset.
    pub fn reset(&self) {
        self.inner.lock().streams.clear();
    }

    pub fn appends(&self) -> u64 {
        self.inner.lock().appends
    }

    fn latency(&self) -> Duration {
        self.inner.lock().latency
    }

    fn append_now(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, AppendError> {
        let mut inner = self.inner.lock();
        let cause = LogFailure::Timeout;
        match inner.fault {
            Fault::Down => {
                let cause = LogFailure::Down;
                return Err(AppendError::NotAppended { cause, retry_after_ms: None });
            }
            Fault::LosesAppends => return Err(AppendError::Unknown { cause }),
            Fault::None | Fault::LosesResponses => {}
        }
        inner.appends += 1;
        let stream = inner.streams.entry(stream).or_default();
        let first = Offset(stream.len() as u64);
        stream.extend(records);
        if inner.fault == Fault::LosesResponses {
            return Err(AppendError::Unknown { cause });
        }
        Ok(first)
    }

    fn read_now(&self, stream: Stream, from: Offset, limit: u32) -> Result<LogPage, LogFailure> {
        let inner = self.inner.lock();
        if inner.fault == Fault::Down {
            return Err(LogFailure::Down);
        }
        let records = inner.streams.get(&stream).cloned().unwrap_or_default();
        Ok(LogPage {
            start_offset: Offset(0),
            next_offset: Offset(records.len() as u64),
            records: (0..)
                .zip(records)
                .skip(usize::try_from(from.0).expect("small"))
                .take(limit as usize)
                .map(|(offset, data)| LogRecord { offset: Offset(offset), data })
                .collect(),
        })
    }
}

impl Log for FakeLog {
    fn append(&self, stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>> {
        async move {
            tokio::time::sleep(self.latency()).await;
            self.append_now(stream, records)
        }
        .boxed()
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: u32,
        _wait_ms: Millis,
    ) -> BoxFuture<'_, Result<LogPage, LogFailure>> {
        async move {
            tokio::time::sleep(self.latency()).await;
            self.read_now(stream, from, limit)
        }
        .boxed()
    }
}

/// Connects the claims services of several daemons, except for hosts that are cut off.
#[derive(Clone, Debug, Default)]
pub struct Network {
    registries: Arc<Mutex<HashMap<HostId, ServiceRegistry>>>,
    cut: Arc<Mutex<HashSet<HostId>>>,
}

impl Network {
    pub fn join(&self, host: &HostId, registry: ServiceRegistry) -> Arc<dyn PeerLink> {
        self.registries.lock().insert(host.clone(), registry);
        Arc::new(FakeLink { network: self.clone(), from: host.clone() })
    }

    pub fn cut(&self, host: &HostId) {
        self.cut.lock().insert(host.clone());
    }
}

#[derive(Debug)]
struct FakeLink {
    network: Network,
    from: HostId,
}

impl PeerLink for FakeLink {
    fn send(&self, to: &HostId, body: PeerBody) {
        let cut = self.network.cut.lock();
        if cut.contains(to) || cut.contains(&self.from) {
            return;
        }
        let PeerBody::Claims(message) = body else { return };
        let registries = self.network.registries.lock();
        let Some(registry) = registries.get(to) else { return };
        let inbox = registry.find::<ClaimsCommand>(ServiceName::Claims).expect("service runs");
        inbox.try_send(ClaimsCommand::Peer { from: self.from.clone(), message }).expect("room");
    }
}
