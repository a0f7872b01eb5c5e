//! Claims and answers of idempotent requests.

use serde::{Deserialize, Serialize};

/// What daemons say to each other about it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimMessage {}
