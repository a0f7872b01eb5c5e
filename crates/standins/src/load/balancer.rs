//! Mock of the platform's load balancer: routes callers to any daemon that reports ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use parking_lot::RwLock;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::time::{sleep, timeout};

use crate::client::call;
use crate::load::settings::Entry;

/// Interval between readiness probes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Probe timeout; a daemon that does not respond in time counts as not ready.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Daemons that were ready at the last probe.
#[derive(Clone, Debug)]
pub struct Balancer {
    all: Vec<SocketAddr>,
    ready: Arc<RwLock<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Starts probing `entries`. A daemon without an operator address counts as ready.
    pub fn start(entries: &[Entry]) -> Self {
        let all: Vec<_> = entries.iter().map(|entry| entry.callers).collect();
        let balancer = Self { ready: Arc::new(RwLock::new(all.clone())), all };
        for entry in entries {
            if let Some(operators) = entry.operators {
                tokio::spawn(balancer.clone().probe(entry.callers, operators));
            }
        }
        balancer
    }

    async fn probe(self, callers: SocketAddr, operators: SocketAddr) {
        loop {
            let probed = timeout(PROBE_TIMEOUT, call(operators, Method::GET, "/readyz", Bytes::new())).await;
            let is_ready = matches!(probed, Ok(Ok((StatusCode::OK, _))));
            self.set_ready(callers, is_ready);
            sleep(POLL_INTERVAL).await;
        }
    }

    fn set_ready(&self, callers: SocketAddr, is_ready: bool) {
        let mut ready = self.ready.write();
        ready.retain(|address| *address != callers);
        if is_ready {
            ready.push(callers);
        }
    }

    /// Picks a daemon for the next call, other than `last` if possible.
    ///
    /// # Panics
    /// The plan names no daemon.
    pub fn pick(&self, rng: &mut StdRng, last: Option<SocketAddr>) -> SocketAddr {
        let ready = self.ready.read();
        let others: Vec<_> = ready.iter().filter(|address| Some(**address) != last).collect();
        let picked =
            others.choose(rng).copied().or_else(|| ready.choose(rng)).or_else(|| self.all.choose(rng));
        *picked.expect("a plan names at least one daemon")
    }
}
