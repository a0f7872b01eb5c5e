//! Status observations of backend servers, with expiry.

use std::collections::{BTreeMap, HashMap};

use super::message::{ServerStatus, StatusRecord};
use super::settings::SpreadSettings;
use crate::ids::{BackendServerId, HostId};
use crate::units::{Micros, Millis, MonoTime};

#[derive(Clone, Debug)]
struct StatusEntry {
    record: StatusRecord,
    expires_us: MonoTime,
}

/// Status observations by server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerStatuses {
    by_server: BTreeMap<BackendServerId, StatusEntry>,
}

impl ServerStatuses {
    /// Records an observation of this daemon. Returns the record to disseminate, or `None` if it adds nothing
    /// new: hundreds of daemons observe the same refusal at once, and one message suffices.
    pub(crate) fn observe(
        &mut self,
        now_us: MonoTime,
        server: BackendServerId,
        status: ServerStatus,
        own: &HostId,
        settings: &SpreadSettings,
    ) -> Option<StatusRecord> {
        let known = self.by_server.get(&server);
        if known.is_none() && status == ServerStatus::Accepting {
            return None;
        }
        if let Some(entry) = known.filter(|entry| entry.record.status == status) {
            let left_us = entry.expires_us.since(now_us);
            if left_us.0 * 2 > Micros::from(settings.status_ttl_ms).0 {
                return None;
            }
        }
        let record = StatusRecord {
            version: known.map_or(0, |entry| entry.record.version) + 1,
            server,
            status,
            observed_by: own.clone(),
            left_ms: settings.status_ttl_ms,
        };
        self.adopt(now_us, record.clone(), settings).then_some(record)
    }

    /// Adopts an observation of another daemon. Returns whether it was new.
    pub(crate) fn adopt(
        &mut self,
        now_us: MonoTime,
        record: StatusRecord,
        settings: &SpreadSettings,
    ) -> bool {
        let left_ms = record.left_ms.min(settings.status_ttl_ms);
        if left_ms == Millis::ZERO {
            return false;
        }
        let known = self.by_server.get(&record.server);
        if known.is_some_and(|entry| order(&entry.record) >= order(&record)) {
            return false;
        }
        if known.is_none() && self.by_server.len() >= settings.max_statuses {
            return false;
        }
        let expires_us = now_us + left_ms;
        self.by_server.insert(record.server.clone(), StatusEntry { record, expires_us });
        true
    }

    /// Removes expired observations. Returns whether any was removed.
    pub(crate) fn expire(&mut self, now_us: MonoTime) -> bool {
        let before = self.by_server.len();
        self.by_server.retain(|_, entry| entry.expires_us > now_us);
        self.by_server.len() != before
    }

    /// Current status by server.
    pub(crate) fn current(&self) -> HashMap<BackendServerId, ServerStatus> {
        self.by_server.iter().map(|(server, entry)| (server.clone(), entry.record.status)).collect()
    }

    /// Hash over all observations, independent of their order.
    pub(crate) fn hash(&self) -> [u8; 4] {
        let mut combined = [0; 4];
        for entry in self.by_server.values() {
            let record = &entry.record;
            let mut hasher = blake3::Hasher::new();
            hasher.update(record.server.as_str().as_bytes());
            hasher.update(&record.version.to_le_bytes());
            hasher.update(&[0, record.status as u8]);
            hasher.update(record.observed_by.as_str().as_bytes());
            for (byte, part) in combined.iter_mut().zip(hasher.finalize().as_bytes()) {
                *byte ^= part;
            }
        }
        combined
    }

    /// All observations, with the time left until they expire.
    pub(crate) fn records(&self, now_us: MonoTime) -> impl Iterator<Item = StatusRecord> {
        self.by_server.values().map(move |entry| StatusRecord {
            left_ms: Millis(entry.expires_us.since(now_us).0 / 1_000),
            ..entry.record.clone()
        })
    }
}

/// Total order of observations. Two daemons that make different observations at once use the same version;
/// all daemons select the same one.
fn order(record: &StatusRecord) -> (u64, ServerStatus, &HostId) {
    (record.version, record.status, &record.observed_by)
}
