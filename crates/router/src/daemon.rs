//! Puts a daemon together and takes it down again.
//!
//! Start order: edges, control services, listeners. Stop order: readiness fails first so that the balancer
//! looks elsewhere, then the listener closes and streams end in their own time, then control stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread::JoinHandle;
use std::time::Duration;

use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::units::Millis;
use rand::RngExt;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

use crate::backend::{BackendHttp, EngineEdge, HttpEngines, HttpPlain, Owner, PlainEdge};
use crate::callers::{CallerState, Listener, ListenerSettings, PartnerTokens};
use crate::clock;
use crate::directory::{self, Directory};
use crate::dispatch::{Dispatcher, Releases};
use crate::platform::{HostList, HttpHostList};
use crate::settings::Settings;

/// A daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system gave no thread.
    #[error("could not start a thread")]
    Thread(#[source] io::Error),
    /// The address for callers could not be bound.
    #[error("could not listen for callers on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: io::Error,
    },
}

/// The systems around a daemon.
#[derive(Clone, Debug)]
pub struct Edges {
    /// Model engines.
    pub engines: Arc<dyn EngineEdge>,
    /// Plain services.
    pub plain_services: Arc<dyn PlainEdge>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostList>,
}

impl Edges {
    /// The edges that the settings name, for the daemon life `incarnation`.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let http = BackendHttp::new();
        let owner = Owner {
            host: settings.host.id.clone(),
            incarnation,
        };
        Self {
            engines: Arc::new(HttpEngines::new(http.clone(), owner)),
            plain_services: Arc::new(HttpPlain::new(http)),
            hosts: Arc::new(HttpHostList::new(settings.platform.hosts)),
        }
    }
}

/// The incarnation of a daemon that starts now.
pub fn new_incarnation() -> Incarnation {
    Incarnation::new(clock::unix_ms(), rand::rng().random())
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    callers_address: SocketAddr,
    stop_listening: CancellationToken,
    stop_control: CancellationToken,
    traffic: Runtime,
    serving: tokio::task::JoinHandle<io::Result<()>>,
    control: JoinHandle<()>,
    directory: Arc<Directory>,
    releases: Arc<Releases>,
    grace_ms: Millis,
}

impl Daemon {
    /// Starts a daemon on `settings`, meeting the world through `edges`.
    ///
    /// # Errors
    ///
    /// [`StartError`].
    pub fn start(settings: &Settings, edges: Edges, incarnation: Incarnation) -> Result<Self, StartError> {
        let traffic = traffic_runtime(settings.traffic.threads).map_err(StartError::Thread)?;
        let directory = Arc::new(Directory::default());
        let stop_control = CancellationToken::new();
        let control = start_control(&edges, &directory, stop_control.clone()).map_err(StartError::Thread)?;
        let releases = Arc::new(Releases::default());
        let dispatcher = Arc::new(Dispatcher {
            engines: edges.engines,
            plain_services: edges.plain_services,
            directory: Arc::clone(&directory),
            releases: Arc::clone(&releases),
        });
        let state = Arc::new(CallerState {
            tokens: PartnerTokens::new(&settings.partners),
            routes: settings.routes.clone(),
            limits: settings.limits.clone(),
            dispatcher,
            incarnation,
            sequence: AtomicU64::new(0),
        });
        let listener = listen(settings)?;
        let address = settings.listen.callers;
        let callers_address = listener
            .address()
            .map_err(|source| StartError::Listen { address, source })?;
        let stop_listening = CancellationToken::new();
        let serving = traffic.spawn(listener.serve(state, stop_listening.clone()));
        Ok(Self {
            callers_address,
            stop_listening,
            stop_control,
            traffic,
            serving,
            control,
            directory,
            releases,
            grace_ms: settings.traffic.ready_grace_ms,
        })
    }

    /// Where callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Waits until the daemon can serve.
    pub async fn ready(&self) {
        self.directory.known().await;
    }

    /// Stops gracefully: no request in flight is cut off. Returns when the last answer has ended and engine
    /// memory is released.
    pub fn stop(self) {
        let Self {
            stop_listening,
            stop_control,
            traffic,
            serving,
            control,
            releases,
            grace_ms,
            ..
        } = self;
        traffic.block_on(async {
            // New work still arrives until the balancer has noticed that readiness fails.
            tokio::time::sleep(Duration::from(grace_ms)).await;
            stop_listening.cancel();
            let _ = serving.await;
            while releases.under_way() > 0 {
                tokio::time::sleep(RELEASE_POLL).await;
            }
        });
        stop_control.cancel();
        let _ = control.join();
        traffic.shutdown_background();
    }

    /// Ends at once, as a killed process would: connections break, nothing is released.
    pub fn kill(self) {
        self.stop_control.cancel();
        self.traffic.shutdown_background();
        let _ = self.control.join();
    }
}

/// Pause between looks at the releases under way while stopping.
const RELEASE_POLL: Duration = Duration::from_millis(20);

fn traffic_runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads.max(1))
        .thread_name("traffic")
        .enable_all()
        .build()
}

fn listen(settings: &Settings) -> Result<Listener, StartError> {
    let listener_settings = ListenerSettings {
        head_bytes: settings.limits.head_bytes,
        head_timeout_ms: settings.limits.head_timeout_ms,
        ..ListenerSettings::default()
    };
    let address = settings.listen.callers;
    Listener::bind(address, listener_settings).map_err(|source| StartError::Listen { address, source })
}

/// Control state lives on one thread of its own: a burst of traffic cannot delay a heartbeat, and control
/// needs no locks among its services.
fn start_control(
    edges: &Edges,
    directory: &Arc<Directory>,
    stop: CancellationToken,
) -> io::Result<JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let hosts = Arc::clone(&edges.hosts);
    let directory = Arc::clone(directory);
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::spawn(directory::follow(hosts, directory));
                stop.cancelled().await;
            });
        })
}
