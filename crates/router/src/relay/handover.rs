//! What a daemon learns from the others while the store does not answer it.
//!
//! Hosts are replaced also in an outage, and a new one knows neither routes nor servers. Without this it would refuse
//! every caller until the store is back, and a long outage would take one host after the other out of use. The same
//! way is open to a daemon that the store turns away while it answers the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::edge::DaemonEntry;
use super::freshness::ListState;
use super::news::ServerChange;
use super::state::RelayState;
use super::{status, watch};
use crate::backend::{Trust, read_body, uri};
use crate::clock;
use crate::directory::{BackendServer, Listing};

/// Where a daemon asks another one for all that it knows.
const PATH: &str = "/v1/knowledge";

/// Where it asks for the routes alone.
const TABLE_PATH: &str = "/v1/knowledge/routes";

/// Where it asks for the other daemons.
const DAEMONS_PATH: &str = "/v1/knowledge/daemons";

/// Where it asks for the changes of the servers since a version, which follows.
const CHANGES_PATH: &str = "/v1/knowledge/changes/";

/// Time for the whole answer, inside a region.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that is read: some thousand routes and servers.
const LIMIT_BYTES: usize = 16 << 20;

/// Pause between two questions, to another daemon each time. Where the store is asked as well, it usually answers before
/// this has passed once.
const PAUSE: Duration = Duration::from_millis(700);

/// Bytes that a daemon hands on in a second; whoever asks for more is refused. When hundreds ask at once, each that was
/// answered answers others, and nobody's link is blocked by one who answers all.
const BYTES_PER_S: usize = 1 << 20;

/// What was handed on in the present second.
#[derive(Debug, Default)]
pub struct HandedOn {
    since_us: MonoTime,
    bytes: usize,
}

impl HandedOn {
    /// Whether one more answer may be given; one may exceed the limit, or the largest could never be given.
    fn may_answer(&mut self, now_us: MonoTime) -> bool {
        if now_us >= self.since_us + SECOND_MS {
            *self = Self { since_us: now_us, bytes: 0 };
        }
        self.bytes < BYTES_PER_S
    }
}

const SECOND_MS: Millis = Millis(1_000);

#[derive(Debug, Deserialize, Serialize)]
struct Knowledge {
    table: RouteTable,
    /// Version of the list of servers, in the store's count.
    version: u64,
    servers: Vec<BackendServer>,
    /// Age of the servers when this was written.
    servers_age_us: Option<Micros>,
}

/// Answers other daemons for as long as this one runs.
pub async fn serve(state: Arc<RelayState>, socket: TcpListener) {
    status::answer_all(socket, move |request| answer(&state, request)).await;
}

fn answer(state: &RelayState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_known = state.table.load().is_known() && state.directory.listing().version > 0;
    let is_busy = !state.handed_on.lock().may_answer(clock::now());
    let path = request.uri().path();
    let (status, body) = match (request.method(), path) {
        (&Method::GET, DAEMONS_PATH) if !is_busy && state.peers.is_register_read() => {
            encode(state, &state.peers.entries())
        }
        (&Method::GET, _) if is_busy || !is_known => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        (&Method::GET, PATH) => encode(state, &knowledge(state)),
        (&Method::GET, TABLE_PATH) => encode(state, &**state.table.load()),
        (&Method::GET, _) => match changes_since(state, path) {
            Some(changes) => encode(state, &changes),
            None => (StatusCode::NOT_FOUND, Vec::new()),
        },
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    state.handed_on.lock().bytes += body.len();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// The changes that a question names; `None` where they are not known that far back.
fn changes_since(state: &RelayState, path: &str) -> Option<Vec<ServerChange>> {
    let version = path.strip_prefix(CHANGES_PATH)?.parse().ok()?;
    state.news.since(version)
}

fn knowledge(state: &RelayState) -> Knowledge {
    let listing = state.directory.listing();
    Knowledge {
        table: state.table.load().as_ref().clone(),
        version: listing.version,
        servers: listing.servers.values().map(|server| server.as_ref().clone()).collect(),
        servers_age_us: state.freshness.servers_age_us(clock::now()),
    }
}

fn encode<Value>(state: &RelayState, value: &Value) -> (StatusCode, Vec<u8>)
where
    Value: Serialize,
{
    match postcard::to_stdvec(value) {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => {
            state.log.fault("knowledge not encoded", &error);
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Asks others until this daemon knows routes and servers, from the store or from them.
pub async fn learn(state: Arc<RelayState>) {
    let mut turn = 0_usize;
    while !state.is_ready() {
        tokio::time::sleep(PAUSE).await;
        if state.is_ready() {
            break;
        }
        if let Some(address) = state.peers.address_with_list(1) {
            learn_from(&state, address).await;
            continue;
        }
        let addresses = state.peers.addresses();
        if let Some(address) = addresses.get(turn % addresses.len().max(1)) {
            learn_from(&state, *address).await;
        }
        turn += 1;
    }
}

/// Asks a seed for the other daemons.
pub async fn entries_of_seed(state: &RelayState) -> Option<Vec<DaemonEntry>> {
    ask(state, state.peers.seed()?, DAEMONS_PATH).await
}

/// Asks a live daemon for the other daemons.
pub async fn entries_of_peer(state: &RelayState) -> Option<Vec<DaemonEntry>> {
    ask(state, state.peers.address_with_list(0)?, DAEMONS_PATH).await
}

/// Asks one daemon, and takes what is newer than what is known here; returns whether anything was.
pub async fn learn_from(state: &RelayState, address: SocketAddr) -> bool {
    let asked_us = clock::now();
    match ask(state, address, PATH).await {
        Some(knowledge) => adopt(state, asked_us, knowledge, address),
        None => false,
    }
}

/// Asks one daemon for its routes; says whether they are newer than those in force here.
///
/// Load: operators publish several versions in a row. Harm prevented: each daemon reads each of them from the store, whose
/// calls are limited and paid for.
pub async fn learn_table_from(state: &RelayState, address: SocketAddr) -> bool {
    match ask(state, address, TABLE_PATH).await {
        Some(table) => watch::adopt_table(state, table),
        None => false,
    }
}

/// Asks one daemon for the changes of the servers since those that are known here, or for its whole list where it does
/// not keep them any more; returns whether that brought anything.
///
/// Load: a change of hundreds of servers. Harm prevented: it does not fit the messages, and each daemon reads the store.
pub async fn learn_servers_from(state: &RelayState, address: SocketAddr) -> bool {
    let version = state.directory.listing().version;
    match ask(state, address, &format!("{CHANGES_PATH}{version}")).await {
        Some(changes) => watch::adopt_changes(state, changes),
        None => learn_from(state, address).await,
    }
}

async fn ask<Answer>(state: &RelayState, address: SocketAddr, path: &str) -> Option<Answer>
where
    Answer: DeserializeOwned,
{
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri(address, path).ok()?;
    let response = state.http.send(Trust::Fresh, request, TIMEOUT).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = read_body(response.into_body(), LIMIT_BYTES, TIMEOUT).await.ok()?;
    match postcard::from_bytes(&body) {
        Ok(answer) => Some(answer),
        Err(error) => {
            state.log.fault("knowledge of another daemon not understood", &error);
            None
        }
    }
}

/// Takes what is newer than what is known here. Ages are counted from before the question, so that nothing counts as
/// younger than it is.
fn adopt(state: &RelayState, asked_us: MonoTime, knowledge: Knowledge, from: SocketAddr) -> bool {
    let is_news = watch::adopt_table(state, knowledge.table);
    let before = state.directory.listing();
    let servers = knowledge.servers.into_iter().map(Arc::new).collect();
    let listing = Listing { version: knowledge.version, servers, ..Listing::default() };
    let age_us = knowledge.servers_age_us.unwrap_or(Micros(u64::MAX));
    let is_newer = listing.version >= before.version
        && state.freshness.handed_servers(asked_us, age_us, ListState::of(&listing));
    if is_newer {
        state.directory.adopt(listing);
        watch::servers_changed(state, &before);
    }
    if is_news || is_newer {
        state.log.changed("learned from another daemon", &from);
    }
    is_news || is_newer
}
