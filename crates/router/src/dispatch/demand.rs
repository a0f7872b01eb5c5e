//! Which models are asked for, for the planner that loads them.

use std::collections::HashMap;

use hibiscusvale_core::ids::ModelId;
use hibiscusvale_core::sched::ModelDemand;
use parking_lot::Mutex;

use crate::external::StoredModel;

/// Names counted between two looks. Callers choose the names, and a flood of them must not take memory; the
/// models in use are some tens.
const NAMES_MAX: usize = 256;

/// Counts arrivals by model.
#[derive(Debug, Default)]
pub struct Demand {
    arrivals: Mutex<HashMap<ModelId, u64>>,
}

impl Demand {
    /// A request asks for `model`, whether any engine serves it or not.
    pub fn note(&self, model: &ModelId) {
        let mut arrivals = self.arrivals.lock();
        if let Some(count) = arrivals.get_mut(model) {
            *count += 1;
        } else if arrivals.len() < NAMES_MAX {
            arrivals.insert(model.clone(), 1);
        }
    }

    /// The demand for the models that the store holds, counted since the last time this was asked.
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
