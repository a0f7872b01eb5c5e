//! The order in which a server makes its statements about itself.

use std::cmp::Ordering;
use std::fmt::{self, Display};

use serde::{Deserialize, Serialize};

use crate::ids::Lifetime;

/// Place of a statement among all that servers make under one name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatementOrder {
    /// The run that makes the statement; `None` where an id is never used again.
    pub lifetime: Option<Lifetime>,
    /// Its number, which begins anew with each run.
    pub seq: u64,
}

impl PartialOrd for StatementOrder {
    /// `None` if only one of the two names its run.
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        match (self.lifetime, other.lifetime) {
            (Some(own), Some(other_run)) => Some(own.cmp(&other_run).then(self.seq.cmp(&other.seq))),
            (None, None) => Some(self.seq.cmp(&other.seq)),
            (Some(_), None) | (None, Some(_)) => None,
        }
    }
}

impl Display for StatementOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.lifetime {
            Some(lifetime) => write!(f, "{lifetime}.{}", self.seq),
            None => self.seq.fmt(f),
        }
    }
}
