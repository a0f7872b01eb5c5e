//! One daemon's view of an instance of a plain service.

use crate::ids::BackendServerId;
use crate::units::{CreditPerSecond, Micros, Millis, MonoTime};

use super::directory::StatusUpdate;
use super::events::FailureCause;
use super::hold::{Hold, HoldReason};

/// Report that a server's published rate limit is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitReached {
    /// Published limit, in thousandths of a request per second.
    pub rate: CreditPerSecond,
    /// Time until the server accepts one more request.
    pub wait_ms: Millis,
}

/// Limits for detecting slow and unresponsive instances.
#[derive(Clone, Copy, Debug)]
pub struct InstanceSettings {
    /// Latency assumed before one was measured.
    pub initial_latency_us: Micros,
    /// Factor over the median latency of all instances above which an instance counts as slow. Smaller
    /// differences are normal variation.
    pub slow_factor: u64,
    /// Consecutive slow answers before an instance counts as slow. A single one may be a long call or a
    /// pause.
    pub slow_answers: u32,
    /// Consecutive failures to get an answer before an instance counts as unresponsive. A single one may be a
    /// lost packet.
    pub failure_streak_max: u32,
    /// First ejection time; doubled with each failed probe.
    pub ejection_ms: Millis,
    /// Maximum ejection time.
    pub ejection_max_ms: Millis,
    /// Call timeout as a multiple of the median latency.
    pub timeout_factor: u64,
    /// Lower bound of the call timeout.
    pub timeout_floor_ms: Millis,
    /// Upper bound of the call timeout.
    pub timeout_ceiling_ms: Millis,
    /// Time for which a leaving status holds; see [`super::SchedulerSettings::status_ttl_ms`].
    pub status_ttl_ms: Millis,
}

impl InstanceSettings {
    /// Default limits.
    pub const DEFAULT: Self = Self {
        initial_latency_us: Micros(20_000),
        slow_factor: 4,
        slow_answers: 5,
        failure_streak_max: 2,
        ejection_ms: Millis(1_000),
        ejection_max_ms: Millis(30_000),
        timeout_factor: 20,
        timeout_floor_ms: Millis(500),
        timeout_ceiling_ms: Millis(10_000),
        status_ttl_ms: Millis(30_000),
    };
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Weight of a new sample in the latency average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Longest time for which a limit counts as used up: other daemons return the share that they did not use.
const LIMITED_MAX_MS: Millis = Millis(1_000);

/// Age at which a load report no longer indicates the other daemons' calls.
const LOAD_REPORT_TTL_MS: Millis = Millis(2_000);

#[derive(Clone, Debug)]
pub(crate) struct Instance {
    settings: InstanceSettings,
    server: BackendServerId,
    capacity: u32,
    listed: bool,
    leaving: bool,
    /// Whether it has stated that it is leaving.
    states_leaving: bool,
    leaving_until_us: MonoTime,
    in_flight: u32,
    other_in_flight: Option<(MonoTime, u32)>,
    latency_us: Option<f64>,
    slow_answers: u32,
    failure_streak: u32,
    health: Health,
    ejection_ms: Millis,
    /// End of the last rest that it asked for.
    resting_until_us: MonoTime,
    /// Time until which the published limit is used up, and the limit.
    limited: Option<(MonoTime, CreditPerSecond)>,
}

/// Health of an instance, which decides whether it gets calls.
#[derive(Clone, Copy, Debug)]
enum Health {
    /// Gets calls up to its capacity.
    Healthy,
    /// Gets no calls until the given time.
    Ejected { until_us: MonoTime, cause: EjectionCause },
    /// A single probe call is in flight.
    Probing { cause: EjectionCause },
}

/// Why an instance was ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EjectionCause {
    Resting,
    Slow,
    Unresponsive,
}

impl Instance {
    pub(crate) fn new(
        settings: InstanceSettings,
        server: BackendServerId,
        capacity: u32,
        leaving: bool,
    ) -> Self {
        Self {
            settings,
            server,
            capacity,
            listed: true,
            leaving,
            states_leaving: false,
            leaving_until_us: MonoTime(0),
            in_flight: 0,
            other_in_flight: None,
            latency_us: None,
            slow_answers: 0,
            failure_streak: 0,
            health: Health::Healthy,
            ejection_ms: settings.ejection_ms,
            resting_until_us: MonoTime(0),
            limited: None,
        }
    }

    pub(crate) fn server(&self) -> &BackendServerId {
        &self.server
    }

    pub(crate) fn unlist(&mut self) {
        self.listed = false;
    }

    /// Applies the listed state. A leaving status is kept separately, because the list lags.
    pub(crate) fn relist(&mut self, capacity: u32, leaving: bool) {
        self.listed = true;
        self.capacity = capacity;
        self.leaving = leaving;
    }

    /// Drops the measured latency: another process answers now.
    pub(crate) fn forget_latency(&mut self) {
        self.latency_us = None;
        self.slow_answers = 0;
    }

    pub(crate) fn apply_status(&mut self, now_us: MonoTime, update: StatusUpdate) {
        match update {
            StatusUpdate::Leaving => self.leaving_until_us = now_us + self.settings.status_ttl_ms,
            StatusUpdate::Live => self.leaving_until_us = MonoTime(0),
            StatusUpdate::Unresponsive => self.eject(now_us, EjectionCause::Unresponsive),
        }
    }

    /// Applies a statement of the server.
    pub(crate) fn hold(&mut self, hold: Hold) {
        match (hold.reason, hold.until_us) {
            (HoldReason::Leaving, _) => self.states_leaving = true,
            (HoldReason::Resting, Some(until_us)) => self.rest(until_us),
            (HoldReason::Resting, None) | (HoldReason::RateLimited, _) => {}
        }
    }

    /// Ends the holds that follow from statements of the server.
    pub(crate) fn release_holds(&mut self) {
        self.states_leaving = false;
        self.leaving_until_us = MonoTime(0);
        self.resting_until_us = MonoTime(0);
        if matches!(self.health, Health::Ejected { cause: EjectionCause::Resting, .. }) {
            self.health = Health::Healthy;
        }
    }

    /// Ejects the instance until the end of a rest. Afterwards a single call probes it, so that the calls that
    /// wait at all daemons do not reach it at once.
    fn rest(&mut self, until_us: MonoTime) {
        self.resting_until_us = self.resting_until_us.max(until_us);
        let is_ejected_longer = matches!(
            self.health,
            Health::Ejected { until_us, .. } if until_us >= self.resting_until_us
        );
        if !is_ejected_longer {
            self.health = Health::Ejected { until_us: self.resting_until_us, cause: EjectionCause::Resting };
        }
    }

    /// End of the rest that it asked for.
    pub(crate) fn resting_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        Some(self.resting_until_us).filter(|&until_us| now_us < until_us)
    }

    /// Records that the published limit is used up for the given time.
    pub(crate) fn limited(&mut self, now_us: MonoTime, limited: LimitReached) {
        let wait_ms = limited.wait_ms.min(LIMITED_MAX_MS);
        self.limited = Some((now_us + wait_ms, limited.rate));
    }

    /// Time until which the published limit is used up.
    pub(crate) fn limited_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        self.limited.map(|(until_us, _)| until_us).filter(|&until_us| now_us < until_us)
    }

    /// The published limit, if it was used up recently.
    pub(crate) fn limit_rate(&self, now_us: MonoTime) -> Option<CreditPerSecond> {
        self.limited.filter(|(until_us, _)| now_us < *until_us + LIMITED_MAX_MS).map(|(_, rate)| rate)
    }

    pub(crate) fn update_load(&mut self, now_us: MonoTime, in_flight: u32, capacity: u32, age_us: Micros) {
        let as_of_us = MonoTime(now_us.0.saturating_sub(age_us.0));
        self.capacity = capacity;
        self.other_in_flight = Some((as_of_us, in_flight.saturating_sub(self.in_flight)));
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.listed
    }

    pub(crate) fn is_listed_live(&self, now_us: MonoTime) -> bool {
        self.listed && !self.leaving && !self.states_leaving && now_us >= self.leaving_until_us
    }

    /// Number of calls that this daemon may have in flight.
    pub(crate) fn limit(&self, now_us: MonoTime) -> u32 {
        if self.is_listed_live(now_us) { self.capacity.max(1) } else { 0 }
    }

    /// Whether one more call fits. Other daemons' calls are known from the load report, which lags; the
    /// instance refuses the excess, and such a refusal proves that the call did not run.
    pub(crate) fn has_room(&self, now_us: MonoTime) -> bool {
        if !self.accepts_calls(now_us) {
            return false;
        }
        let other_in_flight =
            self.other_in_flight.filter(|&(as_of_us, _)| now_us < as_of_us + LOAD_REPORT_TTL_MS);
        let other_in_flight = other_in_flight.map_or(0, |(_, other_in_flight)| other_in_flight);
        self.in_flight + other_in_flight.min(self.capacity.saturating_sub(1)) < self.limit(now_us)
    }

    /// Whether one more call of this daemon may be sent, whatever the other daemons have sent: it waits in the queue of
    /// the instance if it has to.
    pub(crate) fn has_own_room(&self, now_us: MonoTime) -> bool {
        self.accepts_calls(now_us) && self.in_flight < self.limit(now_us)
    }

    /// Whether neither a limit nor an ejection keeps calls from it.
    fn accepts_calls(&self, now_us: MonoTime) -> bool {
        self.limited_until(now_us).is_none() && (!self.is_ejected() || self.is_probe_due(now_us, true))
    }

    /// Number of calls of this daemon in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn latency_us(&self) -> Option<u64> {
        self.latency_us.map(truncate_us)
    }

    /// Expected time of one more call, in an arbitrary unit; lower is better.
    pub(crate) fn score(&self, median_us: u64) -> u64 {
        let latency_us = self.latency_us().unwrap_or(median_us).max(1);
        latency_us * u64::from(self.in_flight + 1)
    }

    /// Timeout of a call.
    pub(crate) fn timeout_us(&self, median_us: u64) -> Micros {
        let floor_us = Micros::from(self.settings.timeout_floor_ms).0;
        let ceiling_us = Micros::from(self.settings.timeout_ceiling_ms).0;
        Micros((median_us * self.settings.timeout_factor).clamp(floor_us, ceiling_us))
    }

    pub(crate) fn is_ejected(&self) -> bool {
        !matches!(self.health, Health::Healthy)
    }

    /// Whether a call probes it after a rest: it is likely to be available within the time of an answer.
    pub(crate) fn is_probed_after_rest(&self) -> bool {
        matches!(self.health, Health::Probing { cause: EjectionCause::Resting })
    }

    /// Whether the ejection time is over and one call may probe the instance.
    pub(crate) fn is_probe_due(&self, now_us: MonoTime, repeatable: bool) -> bool {
        let Health::Ejected { until_us, cause } = self.health else {
            return false;
        };
        let wait_ms = if repeatable { Millis::ZERO } else { self.unrepeatable_probe_wait(cause) };
        now_us >= until_us + wait_ms
    }

    /// Additional wait of a probe by a call that must not be repeated: at an unresponsive instance its outcome may
    /// stay unknown, and another refusal by a rested one may use up its attempts. Without such probes, an
    /// instance that gets only such calls would never be seen to have recovered.
    fn unrepeatable_probe_wait(&self, cause: EjectionCause) -> Millis {
        match cause {
            EjectionCause::Resting => self.settings.ejection_ms,
            EjectionCause::Slow => Millis::ZERO,
            EjectionCause::Unresponsive => self.settings.ejection_max_ms,
        }
    }

    /// Next time at which a call may probe the instance: first a repeatable one, then any.
    pub(crate) fn next_probe(&self, now_us: MonoTime) -> Option<MonoTime> {
        let Health::Ejected { until_us, cause } = self.health else {
            return None;
        };
        [until_us, until_us + self.unrepeatable_probe_wait(cause)].into_iter().find(|&at_us| now_us < at_us)
    }

    pub(crate) fn ejected_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        let Health::Ejected { until_us, .. } = self.health else {
            return None;
        };
        Some(until_us).filter(|&until_us| until_us > now_us)
    }

    pub(crate) fn start(&mut self, now_us: MonoTime) {
        if let Health::Ejected { cause, .. } = self.health
            && self.is_probe_due(now_us, true)
        {
            self.health = Health::Probing { cause };
        }
        self.in_flight += 1;
    }

    pub(crate) fn cancel(&mut self, now_us: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.end_probe() {
            // The probe gave no result; the next call may probe again.
            self.health = Health::Ejected { until_us: now_us, cause: EjectionCause::Unresponsive };
        }
    }

    /// Ends a probe when its answer begins; the answer itself may take seconds.
    pub(crate) fn answer_started(&mut self) {
        self.end_probe();
    }

    fn end_probe(&mut self) -> bool {
        let was_probe = matches!(self.health, Health::Probing { .. });
        if was_probe {
            self.health = Health::Healthy;
        }
        was_probe
    }

    pub(crate) fn finish(&mut self, latency_us: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failure_streak = 0;
        let sample = latency_us.0 as f64;
        let was_probe = self.end_probe();
        // A probe restarts the average: the old one is the reason for the ejection.
        let average = self.latency_us.filter(|_| !was_probe).unwrap_or(sample);
        self.latency_us = Some(average + LATENCY_WEIGHT * (sample - average));
    }

    /// Compares the average latency with the median of all instances; returns true if the instance was
    /// ejected as slow.
    pub(crate) fn check_latency(&mut self, now_us: MonoTime, median_us: u64) -> bool {
        let limit_us = median_us.saturating_mul(self.settings.slow_factor);
        let slow = self.latency_us().is_some_and(|latency_us| latency_us > limit_us);
        if !slow {
            self.slow_answers = 0;
            if self.resting_until(now_us).is_none() {
                self.health = Health::Healthy;
            }
            self.ejection_ms = self.settings.ejection_ms;
            return false;
        }
        self.slow_answers += 1;
        if self.slow_answers < self.settings.slow_answers {
            return false;
        }
        self.eject(now_us, EjectionCause::Slow);
        true
    }

    /// Records a failed call; returns true if the instance was ejected for it.
    pub(crate) fn fail(&mut self, now_us: MonoTime, cause: FailureCause, may_eject: bool) -> bool {
        if cause.is_held() {
            self.cancel(now_us);
            return false;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        let was_probe = self.end_probe();
        match cause {
            FailureCause::Leaving => self.leaving_until_us = now_us + self.settings.status_ttl_ms,
            FailureCause::Timeout | FailureCause::Broken | FailureCause::NotSent => self.failure_streak += 1,
            FailureCause::NoRoom | FailureCause::Held(_) | FailureCause::Gone | FailureCause::Refused => {}
        }
        let streak_too_long = self.failure_streak >= self.settings.failure_streak_max;
        let ejected = was_probe || (streak_too_long && may_eject && !self.is_ejected());
        if ejected {
            self.eject(now_us, EjectionCause::Unresponsive);
        }
        ejected
    }

    fn eject(&mut self, now_us: MonoTime, cause: EjectionCause) {
        let until_us = (now_us + self.ejection_ms).max(self.resting_until_us);
        self.health = Health::Ejected { until_us, cause };
        self.ejection_ms = Millis((self.ejection_ms.0 * 2).min(self.settings.ejection_max_ms.0));
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
fn truncate_us(span_us: f64) -> u64 {
    span_us.max(0.0) as u64
}
