//! Limits what a daemon takes in while its host is the bottleneck.
//!
//! Load: a balancer sends a daemon more new connections than its link or processor can serve. Harm: every request
//! that it reads waits behind all others, and none is answered in time, while other daemons have room. A caller whose
//! connection is refused tries another daemon at once, so the daemon takes in only as many requests as keep its
//! queues short, and refuses further connections before it reads from them.
//!
//! The limit is on requests whose answer has not begun, since a stream that has begun takes little for long. It is
//! learned from [`HostLoad`], so that it fits any link, processor and mix of requests. There is none while the host
//! is not a bottleneck: slow servers alone do not set one.

use super::congestion::{Bottleneck, HostLoad, PRESSURE_MAX_PER_1000};
use crate::units::{Millis, MonoTime};

/// Limit below which none is set. With so few open requests, the queues of the host are not the daemon's doing.
pub const LIMIT_MIN: u32 = 8;

/// Bounds of a decrease, in thousandths of the open requests that are kept.
const KEPT_PER_1000: std::ops::RangeInclusive<u64> = 800..=950;

/// Divisor of the limit for an increase.
const INCREASE_DIVISOR: u32 = 16;

/// Divisor of the limit for the connections beyond it that the operating system has accepted.
const PENDING_DIVISOR: u32 = 4;

/// Divisor of the limit for the room that is awaited before the listener opens again, so that it does not open for
/// each single connection.
const REOPEN_DIVISOR: u32 = 4;

/// Time after which a limit that was not reached is lifted.
const UNREACHED_MAX_MS: Millis = Millis(2_000);

/// Time for which few requests are open on a congested host until its delay counts as that without queues.
const NOT_OWN_MS: Millis = Millis(1_000);

/// Longest time without a new connection. Callers that get none at any daemon have no other way in.
pub const CLOSED_MAX_MS: Millis = Millis(500);

/// Learned limit on open requests.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLimit {
    limit: Option<u32>,
    /// Whether the limit kept a connection out since the last update.
    is_reached: bool,
    unreached_since_us: Option<MonoTime>,
    /// Since when the host has been congested with few open requests.
    few_since_us: Option<MonoTime>,
}

/// Requests of callers at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpenRequests {
    /// Those whose answer has not begun, and new connections.
    pub not_begun: u32,
    /// All, with the streams that have begun.
    pub all: u64,
}

/// Whose doing the delay of new connections is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attribution {
    /// That of the daemon, as far as is known.
    Own,
    /// Not that of the daemon: it counts as the delay without queues from now on.
    NotOwn,
}

impl AdmissionLimit {
    /// The limit; `None` if there is none.
    pub fn get(&self) -> Option<u32> {
        self.limit
    }

    /// Whether a connection may be taken in beside `open` requests.
    pub fn admits(&mut self, open: u32) -> bool {
        let admits = self.limit.is_none_or(|limit| open < limit);
        self.is_reached |= !admits;
        admits
    }

    /// Whether a connection that the operating system has accepted may be taken in beside `open` requests. That may be
    /// beyond the limit.
    pub fn admits_pending(&self, open: u32) -> bool {
        self.limit.is_none_or(|limit| open < limit + limit / PENDING_DIVISOR)
    }

    /// Whether connections may be taken in again after some were refused.
    pub fn admits_again(&mut self, open: u32) -> bool {
        self.admits(open) && self.limit.is_none_or(|limit| open + limit / REOPEN_DIVISOR < limit)
    }

    /// Adapts the limit to an assessment of the host, with the requests that are `open` now.
    pub fn update(&mut self, now_us: MonoTime, load: &HostLoad, open: OpenRequests) -> Attribution {
        if !load.is_fresh {
            return Attribution::Own;
        }
        let is_reached = std::mem::take(&mut self.is_reached);
        if load.is_congested() {
            self.unreached_since_us = None;
            self.decrease(load, open.not_begun);
            return self.attribute(now_us, load, open.all);
        }
        self.few_since_us = None;
        let Some(limit) = self.limit else { return Attribution::Own };
        if is_reached {
            self.unreached_since_us = None;
            // Kept connections may open more requests than the limit while the queues are short.
            let reached = limit.max(open.not_begun);
            self.limit = Some(reached + (reached / INCREASE_DIVISOR).max(1));
        } else if now_us >= *self.unreached_since_us.get_or_insert(now_us) + UNREACHED_MAX_MS {
            *self = Self::default();
        }
        Attribution::Own
    }

    /// Keeps a part of the open requests. Until they have fallen to the limit, the host shows no effect of the decrease
    /// before.
    fn decrease(&mut self, load: &HostLoad, open: u32) {
        if self.limit.is_some_and(|limit| open > limit) {
            return;
        }
        let kept_per_1000 = PRESSURE_MAX_PER_1000 * 1_000 / load.pressure_per_1000;
        let kept_per_1000 = kept_per_1000.clamp(*KEPT_PER_1000.start(), *KEPT_PER_1000.end());
        let kept = u64::from(open) * kept_per_1000 / 1_000;
        let kept = u32::try_from(kept).unwrap_or(u32::MAX).max(LIMIT_MIN);
        self.limit = Some(self.limit.map_or(kept, |limit| limit.min(kept)));
    }

    fn attribute(&mut self, now_us: MonoTime, load: &HostLoad, all: u64) -> Attribution {
        if all > LIMIT_MIN.into() || load.bottleneck != Bottleneck::Connecting {
            self.few_since_us = None;
            return Attribution::Own;
        }
        if now_us < *self.few_since_us.get_or_insert(now_us) + NOT_OWN_MS {
            return Attribution::Own;
        }
        *self = Self::default();
        Attribution::NotOwn
    }
}
