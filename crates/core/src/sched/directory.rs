//! One daemon's view of the engines in its region.

use std::collections::HashMap;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::ids::{BackendServerId, DataCentreId, ModelId};
use crate::slots::{Role, ServerLoad};
use crate::units::{BytesPerSecond, Micros, Millis, MonoTime, Tokens};

/// Listed state of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// Accepts new work.
    Live,
    /// Completes its requests and accepts no new work.
    Leaving,
}

/// Observed change of a server's state, available before the list shows it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StatusUpdate {
    /// The server answered that it is leaving.
    Leaving,
    /// The server accepts work again.
    Live,
    /// The server did not answer.
    Unresponsive,
}

/// Engine as listed by the platform.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Server name.
    pub server: BackendServerId,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Role of the server.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<ModelId>,
    /// Number of decode slots.
    pub slots_total: u32,
    /// Bandwidth of its transfer link.
    pub link_bytes_per_s: BytesPerSecond,
    /// Listed state.
    pub state: ServerState,
}

/// Index of a server in the directory; stable for the life of the process.
pub(super) type ServerIndex = u32;

#[derive(Clone, Debug)]
pub(super) struct ServerEntry {
    pub(super) record: ServerRecord,
    listed: bool,
    leaving_until_us: MonoTime,
    unresponsive_until_us: MonoTime,
    load: ServerLoad,
    as_of_us: MonoTime,
    has_report: bool,
    asked_work_us: u64,
    asks_since_report: u32,
    last_probe_us: MonoTime,
}

impl ServerEntry {
    /// Expected wait at `now_us`: the reported wait, less the time since the report, plus the work this
    /// daemon has asked for since.
    pub(super) fn wait_us(&self, now_us: MonoTime) -> u64 {
        self.load.wait_us.0.saturating_sub(now_us.since(self.as_of_us).0) + self.asked_work_us
    }

    /// Slots that are probably free.
    pub(super) fn free_slots(&self) -> u32 {
        let reported = if self.has_report { self.load.free } else { self.record.slots_total };
        reported.saturating_sub(self.asks_since_report)
    }

    pub(super) fn token_us(&self, default_us: Micros) -> u64 {
        if self.load.token_us == Micros::ZERO { default_us.0 } else { self.load.token_us.0 }
    }

    /// Whether the server may be given work. The list lags, so a leaving status takes effect before the list
    /// shows it.
    fn is_usable(&self, now_us: MonoTime) -> bool {
        self.listed
            && self.record.state == ServerState::Live
            && now_us >= self.leaving_until_us
            && now_us >= self.unresponsive_until_us
            && (self.load.open || !self.has_report || now_us >= self.as_of_us + CLOSED_REPORT_TTL_MS)
    }
}

/// Time for which a report that the server is closed is trusted before its watcher is asked again.
const CLOSED_REPORT_TTL_MS: Millis = Millis(250);

/// Servers of one model and role.
#[derive(Clone, Debug, Default)]
struct Pool {
    servers: Vec<ServerIndex>,
}

/// Known engines of the region, with a pool for each model and role to sample from.
#[derive(Debug, Default)]
pub struct Directory {
    servers: Vec<ServerEntry>,
    names: HashMap<BackendServerId, ServerIndex>,
    pools: HashMap<(ModelId, Role), Pool>,
    slots_total: u64,
    prefill_servers: u64,
}

/// Maximum number of candidates for one placement.
pub(super) const CANDIDATES_MAX: usize = 8;

/// Parameters of one random sample of servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw<'a> {
    pub(super) model: &'a ModelId,
    pub(super) role: Role,
    pub(super) count: usize,
    pub(super) exclude: &'a [ServerIndex],
}

/// Fixed-capacity list of candidates that needs no allocation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Candidates {
    list: [ServerIndex; CANDIDATES_MAX],
    len: usize,
}

impl Candidates {
    pub(super) fn push(&mut self, server: ServerIndex) {
        if self.len < CANDIDATES_MAX && !self.as_slice().contains(&server) {
            self.list[self.len] = server;
            self.len += 1;
        }
    }

    pub(super) fn as_slice(&self) -> &[ServerIndex] {
        &self.list[..self.len]
    }
}

impl Directory {
    /// Replaces the list of servers. Load data of servers that remain is kept.
    pub fn replace(&mut self, records: Vec<ServerRecord>) {
        for entry in &mut self.servers {
            entry.listed = false;
        }
        self.pools.clear();
        self.slots_total = 0;
        self.prefill_servers = 0;
        for record in records {
            self.upsert(record);
        }
    }

    fn upsert(&mut self, record: ServerRecord) {
        match record.role {
            Role::Decode => self.slots_total += u64::from(record.slots_total),
            Role::Prefill => self.prefill_servers += 1,
        }
        let index = self.index_or_insert(&record);
        for model in &record.models {
            let pool = self.pools.entry((model.clone(), record.role)).or_default();
            pool.servers.push(index);
        }
        let Some(entry) = self.servers.get_mut(index as usize) else {
            return;
        };
        if entry.record.role != record.role {
            entry.load = ServerLoad::default();
            entry.has_report = false;
        }
        entry.record = record;
        entry.listed = true;
    }

    fn index_or_insert(&mut self, record: &ServerRecord) -> ServerIndex {
        if let Some(&index) = self.names.get(&record.server) {
            return index;
        }
        let index = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        self.names.insert(record.server.clone(), index);
        self.servers.push(ServerEntry {
            record: record.clone(),
            listed: true,
            leaving_until_us: MonoTime(0),
            unresponsive_until_us: MonoTime(0),
            load: ServerLoad::default(),
            as_of_us: MonoTime(0),
            has_report: false,
            asked_work_us: 0,
            asks_since_report: 0,
            last_probe_us: MonoTime(0),
        });
        index
    }

    pub(super) fn index(&self, server: &BackendServerId) -> Option<ServerIndex> {
        self.names.get(server).copied()
    }

    pub(super) fn get(&self, index: ServerIndex) -> Option<&ServerEntry> {
        self.servers.get(index as usize)
    }

    pub(super) fn name(&self, index: ServerIndex) -> &BackendServerId {
        &self.servers[index as usize].record.server
    }

    /// Whether the list has a server for the model and role.
    pub fn serves(&self, model: &ModelId, role: Role) -> bool {
        self.pools.contains_key(&(model.clone(), role))
    }

    /// Ratio of prefill servers to decode slots: converts slot time into the prefill time of an equal share
    /// of capacity.
    pub(super) fn prefill_servers_per_slot(&self) -> f64 {
        self.prefill_servers as f64 / self.slots_total.max(1) as f64
    }

    /// Samples usable servers at random, skipping `draw.exclude`. The number of draws is fixed, so the cost
    /// does not grow with the pool. If no draw finds a usable server, the pool is scanned once: when most of
    /// it is unreachable, the rest must still be found.
    pub(super) fn sample(&self, now_us: MonoTime, draw: Draw<'_>, rng: &mut StdRng, found: &mut Candidates) {
        let Draw { model, role, count, exclude } = draw;
        let Some(pool) = self.pools.get(&(model.clone(), role)) else {
            return;
        };
        let usable = |index: ServerIndex| !exclude.contains(&index) && self.is_usable(now_us, index);
        if pool.servers.len() <= count {
            pool.servers.iter().copied().filter(|&index| usable(index)).for_each(|index| found.push(index));
            return;
        }
        for _ in 0..count * 2 {
            let index = pool.servers[rng.random_range(0..pool.servers.len())];
            if found.len >= count {
                return;
            }
            if usable(index) {
                found.push(index);
            }
        }
        if found.len == 0 {
            let start = rng.random_range(0..pool.servers.len());
            let rotated = pool.servers[start..].iter().chain(&pool.servers[..start]);
            rotated.copied().filter(|&index| usable(index)).take(count).for_each(|index| found.push(index));
        }
    }

    pub(super) fn is_usable(&self, now_us: MonoTime, index: ServerIndex) -> bool {
        self.get(index).is_some_and(|entry| entry.is_usable(now_us))
    }

    pub(super) fn update_load(
        &mut self,
        now_us: MonoTime,
        index: ServerIndex,
        load: ServerLoad,
        age_us: Micros,
    ) {
        let Some(entry) = self.servers.get_mut(index as usize) else {
            return;
        };
        let as_of_us = MonoTime(now_us.0.saturating_sub(age_us.0));
        if entry.has_report && as_of_us < entry.as_of_us {
            return;
        }
        entry.load = load;
        entry.as_of_us = as_of_us;
        entry.has_report = true;
        entry.asked_work_us = 0;
        entry.asks_since_report = 0;
    }

    pub(super) fn record_grant_request(&mut self, index: ServerIndex, work_us: Micros, copies: u8) {
        if let Some(entry) = self.servers.get_mut(index as usize) {
            entry.asked_work_us += work_us.0 / u64::from(copies.max(1));
            entry.asks_since_report += 1;
        }
    }

    pub(super) fn mark_unresponsive(&mut self, index: ServerIndex, until_us: MonoTime) {
        if let Some(entry) = self.servers.get_mut(index as usize) {
            entry.unresponsive_until_us = until_us;
        }
    }

    /// Applies a status update that holds until `until_us` or the next update.
    pub(super) fn apply_status(&mut self, index: ServerIndex, update: StatusUpdate, until_us: MonoTime) {
        let Some(entry) = self.servers.get_mut(index as usize) else {
            return;
        };
        match update {
            StatusUpdate::Leaving => entry.leaving_until_us = until_us,
            StatusUpdate::Live => {
                entry.leaving_until_us = MonoTime(0);
                entry.unresponsive_until_us = MonoTime(0);
            }
            StatusUpdate::Unresponsive => entry.unresponsive_until_us = until_us,
        }
    }

    /// Whether the server's speed has been measured.
    pub(super) fn has_measured_speed(&self, index: ServerIndex) -> bool {
        self.get(index).is_some_and(|entry| entry.load.token_us > Micros::ZERO)
    }

    /// Whether a decode server may be given a request with this per-token target. A server that is too slow
    /// still gets one request per `probe_interval_ms`, so that its recovery is noticed.
    pub(super) fn accepts_decode(
        &mut self,
        now_us: MonoTime,
        index: ServerIndex,
        target_ms: Millis,
        probe_interval_ms: Millis,
    ) -> bool {
        let Some(entry) = self.servers.get_mut(index as usize) else {
            return false;
        };
        let slow = target_ms.0 > 0 && entry.load.token_us > Micros::from(target_ms);
        if !slow {
            return true;
        }
        if now_us < entry.last_probe_us + probe_interval_ms {
            return false;
        }
        entry.last_probe_us = now_us;
        true
    }

    /// Time that the server needs for `tokens`.
    pub(super) fn work_us(&self, index: ServerIndex, tokens: Tokens, default_us: Micros) -> Micros {
        let token_us = self.get(index).map_or(default_us.0, |entry| entry.token_us(default_us));
        Micros(token_us * tokens.0)
    }
}
