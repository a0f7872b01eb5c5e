//! Load of data centres: one daemon per data centre aggregates partial loads, and the summaries are
//! disseminated to all.

use std::collections::BTreeMap;

use super::message::{LoadSummary, ModelLoad, ModelTag};
use super::settings::SpreadSettings;
use crate::ids::{DataCentreId, HostId};
use crate::units::{Micros, MonoTime};

/// Partial loads and summaries known to this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    parts: BTreeMap<HostId, (MonoTime, Vec<ModelLoad>)>,
    summaries: BTreeMap<DataCentreId, (MonoTime, LoadSummary)>,
}

impl Loads {
    pub(crate) fn insert_partial(&mut self, now_us: MonoTime, from: HostId, models: Vec<ModelLoad>) {
        self.parts.insert(from, (now_us, models));
    }

    /// Aggregates the unexpired partial loads into the next summary of the local data centre.
    pub(crate) fn summarize(
        &mut self,
        now_us: MonoTime,
        data_centre: &DataCentreId,
        settings: &SpreadSettings,
    ) -> LoadSummary {
        let expires_us = Micros::from(settings.load_expires_ms);
        self.parts.retain(|_, (since_us, _)| now_us.since(*since_us) <= expires_us);
        let mut models: BTreeMap<ModelTag, ModelLoad> = BTreeMap::new();
        for load in self.parts.values().flat_map(|(_, models)| models) {
            let sum =
                models.entry(load.model).or_insert(ModelLoad { model: load.model, ..ModelLoad::default() });
            sum.slots_free = sum.slots_free.saturating_add(load.slots_free);
            sum.prefill_queue_tokens = sum.prefill_queue_tokens.saturating_add(load.prefill_queue_tokens);
        }
        let version = self.summaries.get(data_centre).map_or(0, |(_, summary)| summary.version);
        LoadSummary {
            data_centre: data_centre.clone(),
            version: version + 1,
            models: models.into_values().collect(),
        }
    }

    /// Adopts a summary. Returns whether it was newer than the known one.
    pub(crate) fn adopt(&mut self, now_us: MonoTime, summary: LoadSummary) -> bool {
        let known = self.summaries.get(&summary.data_centre);
        if known.is_some_and(|(_, known)| known.version >= summary.version) {
            return false;
        }
        self.summaries.insert(summary.data_centre.clone(), (now_us, summary));
        true
    }

    /// Removes expired summaries. Returns whether any was removed.
    pub(crate) fn expire(&mut self, now_us: MonoTime, settings: &SpreadSettings) -> bool {
        let before = self.summaries.len();
        let expires_us = Micros::from(settings.load_expires_ms);
        self.summaries.retain(|_, (since_us, _)| now_us.since(*since_us) <= expires_us);
        self.summaries.len() != before
    }

    pub(crate) fn current(&self) -> BTreeMap<DataCentreId, LoadSummary> {
        self.summaries.iter().map(|(name, (_, summary))| (name.clone(), summary.clone())).collect()
    }
}
