//! State transfer between daemons, for those that the store does not answer.
//!
//! Hosts are also replaced during a store outage, and a new one has neither routes nor servers. Without state
//! transfer it would refuse every caller until the store is back, and a long outage would take one host after
//! another out of service. State transfer also covers a daemon that the store rejects while it answers the
//! others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::relay::server_list::{ListSnapshot, ServerChange};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::interfaces::DaemonEntry;
use super::state::RelayState;
use super::{server_list, watch};
use crate::backend::{ConnectionReuse, read_body, uri};
use crate::clock;

/// Path of the full snapshot.
const SNAPSHOT_PATH: &str = "/v1/knowledge";

/// Path of the route table.
const TABLE_PATH: &str = "/v1/knowledge/routes";

/// Path of the list of daemons.
const DAEMONS_PATH: &str = "/v1/knowledge/daemons";

/// Path prefix of the server changes; followed by the version since which changes are requested.
const CHANGES_PATH: &str = "/v1/knowledge/changes/";

/// Timeout of a whole reply, inside a region.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which another daemon is asked for newer routes or servers where the store can be read instead. With the
/// interval between reads and a read it stays below the two seconds within which changes have to be known.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest reply that is read: several thousand routes and servers.
const REPLY_BYTES_MAX: usize = 16 << 20;

/// Pause between two requests, each to another daemon. Where the store is asked as well, it usually answers
/// before this has passed once.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Number of tries to find another daemon to ask for its list beside own reads, and the pause between two of them. Daemons
/// announce their lists each half second, and read as far as another one within two.
const STATEMENTS_ATTEMPTS: usize = 20;
const STATEMENTS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of replies per second; further requests are refused. When hundreds of daemons ask at once, each one
/// that was answered can answer others, and no single daemon saturates its link by answering all.
const BYTES_PER_S: usize = 1 << 20;

/// Reply bytes sent in the current second.
#[derive(Debug, Default)]
pub struct TransferBudget {
    since_us: MonoTime,
    bytes: usize,
}

impl TransferBudget {
    /// Whether another reply may be sent. One reply may exceed the limit, or the largest could never be sent.
    fn may_reply(&mut self, now_us: MonoTime) -> bool {
        if now_us >= self.since_us + SECOND_MS {
            *self = Self { since_us: now_us, bytes: 0 };
        }
        self.bytes < BYTES_PER_S
    }
}

const SECOND_MS: Millis = Millis(1_000);

#[derive(Debug, Deserialize, Serialize)]
struct Snapshot {
    table: RouteTable,
    servers: ListSnapshot,
    /// Age of the server list when the snapshot was made; `None` if unknown.
    servers_age_us: Option<Micros>,
}

/// Answers another daemon's request for a part of the state.
pub fn respond(state: &RelayState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_known = state.table.load().is_known() && state.server_list.lock().version() > 0;
    let is_busy = !state.transfer_budget.lock().may_reply(clock::now());
    let path = request.uri().path();
    let (status, body) = match (request.method(), path) {
        (&Method::GET, DAEMONS_PATH) if !is_busy && state.peers.is_register_read() => {
            encode(state, &state.peers.entries())
        }
        (&Method::GET, _) if is_busy || !is_known => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        (&Method::GET, SNAPSHOT_PATH) => match snapshot(state) {
            Some(snapshot) => encode(state, &snapshot),
            None => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        },
        (&Method::GET, TABLE_PATH) => encode(state, &**state.table.load()),
        (&Method::GET, _) => match changes_since(state, path) {
            Some(changes) => encode(state, &changes),
            None => (StatusCode::NOT_FOUND, Vec::new()),
        },
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    state.transfer_budget.lock().bytes += body.len();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// The server changes since the version in `path`; `None` when the history does not reach back that far.
fn changes_since(state: &RelayState, path: &str) -> Option<Vec<ServerChange>> {
    let version = path.strip_prefix(CHANGES_PATH)?.parse().ok()?;
    state.server_list.lock().changes_since(version)
}

fn snapshot(state: &RelayState) -> Option<Snapshot> {
    let now_us = clock::now();
    // The age first: the list is as new as that, or newer.
    let servers_age_us = state.freshness.servers_age_us(now_us);
    let servers = state.server_list.lock().snapshot(now_us)?;
    Some(Snapshot { table: state.table.load().as_ref().clone(), servers, servers_age_us })
}

fn encode<Value>(state: &RelayState, value: &Value) -> (StatusCode, Vec<u8>)
where
    Value: Serialize,
{
    match postcard::to_stdvec(value) {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => {
            state.log.fault("reply to another daemon could not be encoded", &error);
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Requests snapshots from other daemons until this daemon has routes and servers, from the store or from
/// them.
pub async fn bootstrap(state: Arc<RelayState>) {
    for attempt in 0.. {
        tokio::time::sleep(RETRY_INTERVAL).await;
        if state.is_ready() {
            break;
        }
        let addresses = state.peers.addresses();
        let any = || addresses.get(attempt % addresses.len().max(1)).copied();
        if let Some(address) = state.peers.address_with_list(1, attempt).or_else(any) {
            fetch_snapshot(&state, address).await;
        }
    }
}

/// Requests the lists of other daemons, for one that has read its first list itself. What it read shows neither which servers
/// have left nor which records the store has written late. Another daemon may know that now, or once it has read as far.
pub async fn learn_statements(state: Arc<RelayState>) {
    let version = state.server_list.lock().version();
    for least_version in [1, version] {
        for attempt in 0..STATEMENTS_ATTEMPTS {
            if let Some(address) = state.peers.address_with_list(least_version, attempt)
                && fetch_snapshot(&state, address).await.is_some()
            {
                break;
            }
            tokio::time::sleep(STATEMENTS_RETRY_INTERVAL).await;
        }
    }
}

/// Fetches the list of daemons from a seed.
pub async fn fetch_entries_from_seed(state: &RelayState) -> Option<Vec<DaemonEntry>> {
    fetch(state, state.peers.seed()?, DAEMONS_PATH).await
}

/// Fetches the list of daemons from a live daemon, at the given attempt.
pub async fn fetch_entries_from_peer(state: &RelayState, attempt: usize) -> Option<Vec<DaemonEntry>> {
    fetch(state, state.peers.address_with_list(0, attempt)?, DAEMONS_PATH).await
}

/// Fetches a snapshot from one daemon and adopts what is newer; returns whether anything was, `None` if there was no answer.
pub async fn fetch_snapshot(state: &RelayState, address: SocketAddr) -> Option<bool> {
    let requested_us = clock::now();
    let snapshot = fetch(state, address, SNAPSHOT_PATH).await?;
    Some(adopt(state, requested_us, snapshot, address))
}

/// Fetches the route table of one daemon; returns whether it was newer than the one in force.
///
/// When operators publish several versions in a row, this keeps each daemon from reading each of them from
/// the store, whose calls are rate-limited and billed.
pub async fn fetch_table(state: &RelayState, address: SocketAddr) -> bool {
    let Some(table) = limited(state, fetch(state, address, TABLE_PATH)).await else {
        state.log.state_changed("no reply about newer routes, from", &address);
        return false;
    };
    watch::adopt_table(state, table)
}

/// Fetches the server changes since the version known here from one daemon, or its full snapshot when its history does not
/// reach back that far and this daemon does not read the store instead; returns whether that brought anything new.
///
/// A change of hundreds of servers does not fit into messages; this keeps each daemon from reading it from
/// the store.
pub async fn fetch_server_changes(state: &RelayState, address: SocketAddr) -> bool {
    let version = state.server_list.lock().version();
    let update = async {
        if let Some(changes) = fetch(state, address, &format!("{CHANGES_PATH}{version}")).await {
            return Some(server_list::adopt_changes(state, changes, &address));
        }
        // A list without its history would hide records that can still be read.
        let reads_store =
            state.peers.reach() == BroadcastScope::AllDaemons && state.freshness.reads_servers();
        if version > 0 && reads_store {
            return None;
        }
        let requested_us = clock::now();
        let snapshot = fetch(state, address, SNAPSHOT_PATH).await?;
        Some(adopt(state, requested_us, snapshot, address))
    };
    let Some(is_new) = limited(state, update).await else {
        state.log.state_changed("no reply about newer servers, from", &address);
        return false;
    };
    is_new
}

/// Awaits what another daemon is asked for, but no longer than [`UPDATE_TIMEOUT`] where the store is read instead.
///
/// A daemon announces newer servers and stands still. The daemons that ask it would know the change only when they have
/// waited for all replies, and send requests to servers that have left meanwhile.
async fn limited<Update, Reply>(state: &RelayState, update: Update) -> Option<Reply>
where
    Update: Future<Output = Option<Reply>>,
{
    match state.peers.reach() {
        BroadcastScope::AllDaemons => tokio::time::timeout(UPDATE_TIMEOUT, update).await.ok().flatten(),
        // Hundreds of daemons ask one, so that replies take longer, and none of them reads the store instead.
        BroadcastScope::DataCentre => update.await,
    }
}

async fn fetch<Reply>(state: &RelayState, address: SocketAddr, path: &str) -> Option<Reply>
where
    Reply: DeserializeOwned,
{
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri(address, path).ok()?;
    let response = state.http.send(ConnectionReuse::Fresh, request, TIMEOUT).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = read_body(response.into_body(), REPLY_BYTES_MAX, TIMEOUT).await.ok()?;
    match postcard::from_bytes(&body) {
        Ok(reply) => Some(reply),
        Err(error) => {
            state.log.fault("reply of another daemon could not be decoded", &error);
            None
        }
    }
}

/// Adopts what is newer than the local state. Ages are counted from before the request, so that nothing is
/// taken to be younger than it is.
fn adopt(state: &RelayState, requested_us: MonoTime, snapshot: Snapshot, from: SocketAddr) -> bool {
    let Snapshot { table, servers, servers_age_us } = snapshot;
    let is_table_newer = watch::adopt_table(state, table);
    let is_list_newer = server_list::adopt_snapshot(state, requested_us, servers_age_us, servers, from);
    if is_table_newer || is_list_newer {
        state.log.state_changed("learned from another daemon", &from);
    }
    is_table_newer || is_list_newer
}
