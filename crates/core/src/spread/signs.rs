//! Signs of servers: what each daemon saw, until it is old.

use std::collections::{BTreeMap, HashMap};

use super::message::{ServerSign, SignRecord};
use super::settings::SpreadSettings;
use crate::ids::{BackendServerId, HostId};
use crate::units::{Micros, Millis, MonoTime};

#[derive(Clone, Debug)]
struct Held {
    record: SignRecord,
    expires_us: MonoTime,
}

/// Signs by server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signs {
    by_server: BTreeMap<BackendServerId, Held>,
}

impl Signs {
    /// Takes in what this daemon saw itself. Returns the record to spread, or none when it says nothing new:
    /// hundreds of daemons see the same refusal at the same time, and one telling is enough.
    pub(crate) fn see(
        &mut self,
        now_us: MonoTime,
        server: BackendServerId,
        sign: ServerSign,
        own: &HostId,
        settings: &SpreadSettings,
    ) -> Option<SignRecord> {
        let known = self.by_server.get(&server);
        if known.is_none() && sign == ServerSign::Taking {
            return None;
        }
        if let Some(held) = known.filter(|held| held.record.sign == sign) {
            let left_us = held.expires_us.since(now_us);
            if left_us.0 * 2 > Micros::from(settings.sign_ms).0 {
                return None;
            }
        }
        let record = SignRecord {
            version: known.map_or(0, |held| held.record.version) + 1,
            server,
            sign,
            seen_by: own.clone(),
            left_ms: settings.sign_ms,
        };
        self.adopt(now_us, record.clone(), settings).then_some(record)
    }

    /// Takes in what another daemon saw; true when it is news.
    pub(crate) fn adopt(&mut self, now_us: MonoTime, record: SignRecord, settings: &SpreadSettings) -> bool {
        let left_ms = record.left_ms.min(settings.sign_ms);
        if left_ms == Millis::ZERO {
            return false;
        }
        let known = self.by_server.get(&record.server);
        if known.is_some_and(|held| order(&held.record) >= order(&record)) {
            return false;
        }
        if known.is_none() && self.by_server.len() >= settings.signs {
            return false;
        }
        let expires_us = now_us + left_ms;
        self.by_server.insert(record.server.clone(), Held { record, expires_us });
        true
    }

    /// Forgets what is old; true when something went.
    pub(crate) fn expire(&mut self, now_us: MonoTime) -> bool {
        let before = self.by_server.len();
        self.by_server.retain(|_, held| held.expires_us > now_us);
        self.by_server.len() != before
    }

    /// Servers with the sign that holds for each.
    pub(crate) fn current(&self) -> HashMap<BackendServerId, ServerSign> {
        self.by_server.iter().map(|(server, held)| (server.clone(), held.record.sign)).collect()
    }

    /// Hash over all signs, independent of their order.
    pub(crate) fn hash(&self) -> [u8; 4] {
        let mut combined = [0; 4];
        for held in self.by_server.values() {
            let record = &held.record;
            let mut hasher = blake3::Hasher::new();
            hasher.update(record.server.as_str().as_bytes());
            hasher.update(&record.version.to_le_bytes());
            hasher.update(&[0, record.sign as u8]);
            hasher.update(record.seen_by.as_str().as_bytes());
            for (byte, part) in combined.iter_mut().zip(hasher.finalize().as_bytes()) {
                *byte ^= part;
            }
        }
        combined
    }

    /// All signs as they are to be told now.
    pub(crate) fn records(&self, now_us: MonoTime) -> impl Iterator<Item = SignRecord> {
        self.by_server.values().map(move |held| SignRecord {
            left_ms: Millis(held.expires_us.since(now_us).0 / 1_000),
            ..held.record.clone()
        })
    }
}

/// Two daemons that see different signs at once make the same version; all choose the same one of them.
fn order(record: &SignRecord) -> (u64, ServerSign, &HostId) {
    (record.version, record.sign, &record.seen_by)
}
