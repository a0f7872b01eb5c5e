//! What one daemon knows of the region's engines.

use std::collections::HashMap;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::ids::{BackendServerId, DataCentreId, ModelId};
use crate::slots::{Role, ServerLoad};
use crate::units::{BytesPerSecond, Micros, Millis, MonoTime, Tokens};

/// Whether the list gives a server new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// A sign of a server's state that is quicker than the list.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Sign {
    /// It answered that it is leaving.
    Leaving,
    /// It takes work again.
    Live,
    /// It gave no answer.
    Silent,
}

/// An engine as the platform lists it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Its name.
    pub server: BackendServerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its role.
    pub role: Role,
    /// Models that it has loaded.
    pub models: Vec<ModelId>,
    /// Decode slots.
    pub slots_total: u32,
    /// Rate of its transfer link.
    pub link_bytes_per_s: BytesPerSecond,
    /// Whether it takes work.
    pub state: ServerState,
}

/// Index of a server in the directory. Stays the same as long as the process lives.
pub(super) type ServerIndex = u32;

#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) record: ServerRecord,
    listed: bool,
    leaving_until_us: MonoTime,
    silent_until_us: MonoTime,
    load: ServerLoad,
    as_of_us: MonoTime,
    seen: bool,
    asked_us: u64,
    asked: u32,
    trial_us: MonoTime,
}

impl Known {
    /// Expected wait now: what was told, less the time since, plus what this daemon has asked since.
    pub(super) fn wait_us(&self, now_us: MonoTime) -> u64 {
        self.load.wait_us.0.saturating_sub(now_us.since(self.as_of_us).0) + self.asked_us
    }

    /// Slots that are probably free.
    pub(super) fn free(&self) -> u32 {
        let told = if self.seen { self.load.free } else { self.record.slots_total };
        told.saturating_sub(self.asked)
    }

    pub(super) fn token_us(&self, default_us: Micros) -> u64 {
        if self.load.token_us == Micros::ZERO { default_us.0 } else { self.load.token_us.0 }
    }

    /// Whether the server may get work. The list lags, so a drain sign counts before the list shows it.
    fn usable(&self, now_us: MonoTime) -> bool {
        self.listed
            && self.record.state == ServerState::Live
            && now_us >= self.leaving_until_us
            && now_us >= self.silent_until_us
            && (self.load.open || !self.seen || now_us >= self.as_of_us + CLOSED_MEMORY_MS)
    }
}

/// A watcher's word that its server is closed is believed for so long; then it is asked again.
const CLOSED_MEMORY_MS: Millis = Millis(250);

/// Servers of one model and role.
#[derive(Clone, Debug, Default)]
struct Pool {
    servers: Vec<ServerIndex>,
}

/// Knowledge of all engines of the region, with the pools to draw from.
#[derive(Debug, Default)]
pub struct Directory {
    servers: Vec<Known>,
    names: HashMap<BackendServerId, ServerIndex>,
    pools: HashMap<(ModelId, Role), Pool>,
    slots_total: u64,
    prefill_total: u64,
}

/// Candidates drawn for one placement.
pub(super) const CANDIDATES_MAX: usize = 8;

/// What to draw for one placement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw<'a> {
    pub(super) model: &'a ModelId,
    pub(super) role: Role,
    pub(super) count: usize,
    pub(super) without: &'a [ServerIndex],
}

/// A list of candidates without allocation.
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
    /// Adopts the list. Knowledge of servers that stay is kept.
    pub fn replace(&mut self, records: Vec<ServerRecord>) {
        for known in &mut self.servers {
            known.listed = false;
        }
        self.pools.clear();
        self.slots_total = 0;
        self.prefill_total = 0;
        for record in records {
            self.adopt(record);
        }
    }

    fn adopt(&mut self, record: ServerRecord) {
        match record.role {
            Role::Decode => self.slots_total += u64::from(record.slots_total),
            Role::Prefill => self.prefill_total += 1,
        }
        let index = self.index_for(&record);
        for model in &record.models {
            let pool = self.pools.entry((model.clone(), record.role)).or_default();
            pool.servers.push(index);
        }
        let Some(known) = self.servers.get_mut(index as usize) else {
            return;
        };
        if known.record.role != record.role {
            known.load = ServerLoad::default();
            known.seen = false;
        }
        known.record = record;
        known.listed = true;
    }

    fn index_for(&mut self, record: &ServerRecord) -> ServerIndex {
        if let Some(&index) = self.names.get(&record.server) {
            return index;
        }
        let index = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        self.names.insert(record.server.clone(), index);
        self.servers.push(Known {
            record: record.clone(),
            listed: true,
            leaving_until_us: MonoTime(0),
            silent_until_us: MonoTime(0),
            load: ServerLoad::default(),
            as_of_us: MonoTime(0),
            seen: false,
            asked_us: 0,
            asked: 0,
            trial_us: MonoTime(0),
        });
        index
    }

    pub(super) fn index(&self, server: &BackendServerId) -> Option<ServerIndex> {
        self.names.get(server).copied()
    }

    pub(super) fn get(&self, index: ServerIndex) -> Option<&Known> {
        self.servers.get(index as usize)
    }

    pub(super) fn name(&self, index: ServerIndex) -> &BackendServerId {
        &self.servers[index as usize].record.server
    }

    /// Whether any server of the model and role is listed.
    pub fn serves(&self, model: &ModelId, role: Role) -> bool {
        self.pools.contains_key(&(model.clone(), role))
    }

    /// Prefill servers for each decode slot: turns slot time into the prefill time of the same share.
    pub(super) fn slot_weight(&self) -> f64 {
        self.prefill_total as f64 / self.slots_total.max(1) as f64
    }

    /// Draws servers at random that may get work, leaving out `without`. A fixed number of draws: the cost
    /// does not grow with the pool. When the draws find none although some may be there, the pool is
    /// walked once: with most of a pool cut off, the rest must still be found.
    pub(super) fn sample(&self, now_us: MonoTime, draw: Draw<'_>, rng: &mut StdRng, found: &mut Candidates) {
        let Draw { model, role, count, without } = draw;
        let Some(pool) = self.pools.get(&(model.clone(), role)) else {
            return;
        };
        let usable = |index: ServerIndex| !without.contains(&index) && self.is_usable(now_us, index);
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
        self.get(index).is_some_and(|known| known.usable(now_us))
    }

    pub(super) fn learn(&mut self, now_us: MonoTime, index: ServerIndex, load: ServerLoad, age_us: Micros) {
        let Some(known) = self.servers.get_mut(index as usize) else {
            return;
        };
        let as_of_us = MonoTime(now_us.0.saturating_sub(age_us.0));
        if known.seen && as_of_us < known.as_of_us {
            return;
        }
        known.load = load;
        known.as_of_us = as_of_us;
        known.seen = true;
        known.asked_us = 0;
        known.asked = 0;
    }

    pub(super) fn note_ask(&mut self, index: ServerIndex, work_us: Micros, copies: u8) {
        if let Some(known) = self.servers.get_mut(index as usize) {
            known.asked_us += work_us.0 / u64::from(copies.max(1));
            known.asked += 1;
        }
    }

    pub(super) fn silence(&mut self, index: ServerIndex, until_us: MonoTime) {
        if let Some(known) = self.servers.get_mut(index as usize) {
            known.silent_until_us = until_us;
        }
    }

    /// Takes a sign that holds until `until_us`, unless another comes.
    pub(super) fn sign(&mut self, index: ServerIndex, sign: Sign, until_us: MonoTime) {
        let Some(known) = self.servers.get_mut(index as usize) else {
            return;
        };
        match sign {
            Sign::Leaving => known.leaving_until_us = until_us,
            Sign::Live => {
                known.leaving_until_us = MonoTime(0);
                known.silent_until_us = MonoTime(0);
            }
            Sign::Silent => known.silent_until_us = until_us,
        }
    }

    /// Whether the server's speed was ever seen.
    pub(super) fn speed_is_known(&self, index: ServerIndex) -> bool {
        self.get(index).is_some_and(|known| known.load.token_us > Micros::ZERO)
    }

    /// Whether a decode server keeps the class's pace. One that does not still gets a request now and then,
    /// or nobody would see that it recovered.
    pub(super) fn keeps_pace(
        &mut self,
        now_us: MonoTime,
        index: ServerIndex,
        target_ms: Millis,
        trial_ms: Millis,
    ) -> bool {
        let Some(known) = self.servers.get_mut(index as usize) else {
            return false;
        };
        let slow = target_ms.0 > 0 && known.load.token_us > Micros::from(target_ms);
        if !slow {
            return true;
        }
        if now_us < known.trial_us + trial_ms {
            return false;
        }
        known.trial_us = now_us;
        true
    }

    /// Time that `tokens` take at the server.
    pub(super) fn work_us(&self, index: ServerIndex, tokens: Tokens, default_us: Micros) -> Micros {
        let token_us = self.get(index).map_or(default_us.0, |known| known.token_us(default_us));
        Micros(token_us * tokens.0)
    }
}
