//! Counts requests per model, for the planner that loads models.

use std::collections::HashMap;

use hibiscusvale_core::ids::ModelId;
use hibiscusvale_core::sched::ModelDemand;
use parking_lot::Mutex;

use crate::external::StoredModel;

/// Models counted between two calls of [`Demand::take`]. Callers choose the names, so a flood of them must
/// not use up memory; some tens of models are in use.
const MAX_MODELS: usize = 256;

/// Counts arrivals by model.
#[derive(Debug, Default)]
pub struct Demand {
    arrivals: Mutex<HashMap<ModelId, u64>>,
}

impl Demand {
    /// Counts a request for `model`, whether or not any engine serves it.
    pub fn record(&self, model: &ModelId) {
        let mut arrivals = self.arrivals.lock();
        if let Some(count) = arrivals.get_mut(model) {
            *count += 1;
        } else if arrivals.len() < MAX_MODELS {
            arrivals.insert(model.clone(), 1);
        }
    }

    /// Returns the demand for the `stored` models since the last call, and resets the counts.
    pub fn take(&self, stored: &[StoredModel]) -> Vec<ModelDemand> {
        let arrivals = std::mem::take(&mut *self.arrivals.lock());
        let demand = stored.iter().map(|stored| ModelDemand {
            model: stored.model.clone(),
            bytes: stored.bytes,
            arrivals: arrivals.get(&stored.model).copied().unwrap_or_default(),
        });
        demand.collect()
    }
}
