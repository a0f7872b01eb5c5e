//! Why a server gets no requests, and until when.

use crate::units::MonoTime;

/// Reason for which a server gets no requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HoldReason {
    /// It is leaving.
    Leaving,
    /// Its published rate limit is used up.
    RateLimited,
    /// It asked for a rest.
    Resting,
}

impl HoldReason {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::RateLimited => "limited",
            Self::Resting => "resting",
        }
    }
}

/// A period without requests to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
    /// Why it gets no requests.
    pub reason: HoldReason,
    /// End of the period; `None` if it ends only with the server.
    pub until_us: Option<MonoTime>,
}
