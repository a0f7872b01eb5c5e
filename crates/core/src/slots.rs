//! Slots of backend servers, granted by the daemon that watches each.

use serde::{Deserialize, Serialize};

/// What daemons say to each other about it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SlotMessage {}
