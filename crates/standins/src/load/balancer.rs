//! The platform's balancer as callers meet it: it sends them to any daemon that says that it is ready.

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

/// Pause between two looks at a daemon.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// A daemon that does not say so within this is taken for not ready.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// The daemons that were ready at the last look.
#[derive(Clone, Debug)]
pub struct Balancer {
    all: Vec<SocketAddr>,
    ready: Arc<RwLock<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Starts to look at `entries`. Those that name no operator address count as ready.
    pub fn start(entries: &[Entry]) -> Self {
        let all: Vec<_> = entries.iter().map(|entry| entry.callers).collect();
        let balancer = Self { ready: Arc::new(RwLock::new(all.clone())), all };
        for entry in entries {
            if let Some(operators) = entry.operators {
                tokio::spawn(balancer.clone().look(entry.callers, operators));
            }
        }
        balancer
    }

    async fn look(self, callers: SocketAddr, operators: SocketAddr) {
        loop {
            let looked = timeout(LOOK_TIMEOUT, call(operators, Method::GET, "/readyz", Bytes::new())).await;
            let is_ready = matches!(looked, Ok(Ok((StatusCode::OK, _))));
            self.note(callers, is_ready);
            sleep(LOOK_EVERY).await;
        }
    }

    fn note(&self, callers: SocketAddr, is_ready: bool) {
        let mut ready = self.ready.write();
        ready.retain(|address| *address != callers);
        if is_ready {
            ready.push(callers);
        }
    }

    /// A daemon for the next call, another than `last` where there is one.
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
