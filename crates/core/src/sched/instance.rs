//! What one daemon knows of one instance of a plain service.

use crate::ids::BackendServerId;
use crate::units::{CreditPerSecond, Micros, Millis, MonoTime};

use super::directory::Sign;
use super::events::FailureCause;

/// The limit that a server states is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitReached {
    /// The limit, in thousandths of a request.
    pub rate: CreditPerSecond,
    /// Time until it takes one more request.
    pub wait_ms: Millis,
}

/// How instances are judged.
#[derive(Clone, Copy, Debug)]
pub struct InstanceSettings {
    /// Latency reckoned with before one was seen.
    pub first_latency_us: Micros,
    /// An instance so many times slower than the median of all is slow. Below, it is the usual spread.
    pub slow_factor: u64,
    /// Answers needed for that judgement: one slow answer is a long call or a pause, not a slow instance.
    pub slow_answers: u32,
    /// Timeouts in a row after which an instance counts as mute; one can be a lost packet.
    pub strikes_max: u32,
    /// First time for which an instance is set aside; doubled with each failed trial.
    pub aside_ms: Millis,
    /// Longest such time.
    pub aside_max_ms: Millis,
    /// A call is given up after so many times the usual latency.
    pub timeout_factor: u64,
    /// But not before.
    pub timeout_floor_ms: Millis,
    /// And not after.
    pub timeout_ceiling_ms: Millis,
    /// Life of a drain sign; see [`super::SchedulerSettings::sign_life_ms`].
    pub sign_life_ms: Millis,
}

impl InstanceSettings {
    /// The usual limits.
    pub const DEFAULT: Self = Self {
        first_latency_us: Micros(20_000),
        slow_factor: 4,
        slow_answers: 5,
        strikes_max: 2,
        aside_ms: Millis(1_000),
        aside_max_ms: Millis(30_000),
        timeout_factor: 20,
        timeout_floor_ms: Millis(500),
        timeout_ceiling_ms: Millis(10_000),
        sign_life_ms: Millis(30_000),
    };
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Weight of a new latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Longest time for which a limit counts as used up: other daemons give back what they did not use.
const LIMITED_MS_MAX: Millis = Millis(1_000);

/// A load report older than this says nothing about the others' calls any more.
const REPORT_LIFE_MS: Millis = Millis(2_000);

#[derive(Clone, Debug)]
pub(crate) struct Instance {
    settings: InstanceSettings,
    server: BackendServerId,
    capacity: u32,
    listed: bool,
    leaving: bool,
    leaving_until_us: MonoTime,
    in_flight: u32,
    others: Option<(MonoTime, u32)>,
    latency_us: Option<f64>,
    slow_answers: u32,
    strikes: u32,
    standing: Standing,
    aside_ms: Millis,
    /// Until when the limit that it states is used up, and that limit.
    limited: Option<(MonoTime, CreditPerSecond)>,
}

/// Whether an instance gets calls.
#[derive(Clone, Copy, Debug)]
enum Standing {
    /// As many as it has room for.
    Good,
    /// None until then.
    Aside { until_us: MonoTime, mute: bool },
    /// One is on its way to show how it does.
    Trial,
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
            leaving_until_us: MonoTime(0),
            in_flight: 0,
            others: None,
            latency_us: None,
            slow_answers: 0,
            strikes: 0,
            standing: Standing::Good,
            aside_ms: settings.aside_ms,
            limited: None,
        }
    }

    pub(crate) fn server(&self) -> &BackendServerId {
        &self.server
    }

    pub(crate) fn unlist(&mut self) {
        self.listed = false;
    }

    /// Adopts the list's view. A drain sign stands beside it, because the list lags.
    pub(crate) fn relist(&mut self, capacity: u32, leaving: bool) {
        self.listed = true;
        self.capacity = capacity;
        self.leaving = leaving;
    }

    pub(crate) fn sign(&mut self, now_us: MonoTime, sign: Sign) {
        match sign {
            Sign::Leaving => self.leaving_until_us = now_us + self.settings.sign_life_ms,
            Sign::Live => self.leaving_until_us = MonoTime(0),
            Sign::Silent => self.set_aside(now_us, true),
        }
    }

    /// The limit that it states is used up for so long.
    pub(crate) fn limited(&mut self, now_us: MonoTime, limited: LimitReached) {
        let wait_ms = limited.wait_ms.min(LIMITED_MS_MAX);
        self.limited = Some((now_us + wait_ms, limited.rate));
    }

    /// Until when the limit that it states is used up.
    pub(crate) fn limited_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        self.limited.map(|(until_us, _)| until_us).filter(|&until_us| now_us < until_us)
    }

    /// The limit that it states, where that was used up just now.
    pub(crate) fn limit_rate(&self, now_us: MonoTime) -> Option<CreditPerSecond> {
        self.limited.filter(|(until_us, _)| now_us < *until_us + LIMITED_MS_MAX).map(|(_, rate)| rate)
    }

    pub(crate) fn report(&mut self, now_us: MonoTime, in_flight: u32, capacity: u32, age_us: Micros) {
        let as_of_us = MonoTime(now_us.0.saturating_sub(age_us.0));
        self.capacity = capacity;
        self.others = Some((as_of_us, in_flight.saturating_sub(self.in_flight)));
    }

    pub(crate) fn is_listed_live(&self, now_us: MonoTime) -> bool {
        self.listed && !self.leaving && now_us >= self.leaving_until_us
    }

    /// Calls that this daemon may have in flight.
    pub(crate) fn limit(&self, now_us: MonoTime) -> u32 {
        if self.is_listed_live(now_us) { self.capacity.max(1) } else { 0 }
    }

    /// Room for one more call. The other daemons' calls are known from the report, which lags; the
    /// instance refuses what is too much, and such a refusal proves that nothing ran.
    pub(crate) fn has_room(&self, now_us: MonoTime) -> bool {
        if self.limited_until(now_us).is_some() {
            return false;
        }
        if self.is_set_aside() && !self.wants_trial(now_us, true) {
            return false;
        }
        let others = self.others.filter(|&(as_of_us, _)| now_us < as_of_us + REPORT_LIFE_MS);
        let others = others.map_or(0, |(_, others)| others);
        self.in_flight + others.min(self.capacity.saturating_sub(1)) < self.limit(now_us)
    }

    /// Requests of this daemon.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn latency_us(&self) -> Option<u64> {
        self.latency_us.map(whole)
    }

    /// Expected time of one more call, in an arbitrary unit; smaller is better.
    pub(crate) fn score(&self, usual_us: u64) -> u64 {
        let latency_us = self.latency_us().unwrap_or(usual_us).max(1);
        latency_us * u64::from(self.in_flight + 1)
    }

    /// Time after which a call is given up.
    pub(crate) fn timeout_us(&self, usual_us: u64) -> Micros {
        let floor_us = Micros::from(self.settings.timeout_floor_ms).0;
        let ceiling_us = Micros::from(self.settings.timeout_ceiling_ms).0;
        Micros((usual_us * self.settings.timeout_factor).clamp(floor_us, ceiling_us))
    }

    pub(crate) fn is_set_aside(&self) -> bool {
        !matches!(self.standing, Standing::Good)
    }

    /// Whether its time aside is over and one call may show how it does. Where only calls come that may not
    /// be repeated, a mute instance is tried with one after the longest time aside, or it would never be
    /// seen to have recovered.
    pub(crate) fn wants_trial(&self, now_us: MonoTime, repeatable: bool) -> bool {
        let Standing::Aside { until_us, mute } = self.standing else {
            return false;
        };
        let wait_ms = if mute && !repeatable { self.settings.aside_max_ms } else { Millis::ZERO };
        now_us >= until_us + wait_ms
    }

    pub(crate) fn opens_at(&self, now_us: MonoTime) -> Option<MonoTime> {
        let Standing::Aside { until_us, .. } = self.standing else {
            return None;
        };
        Some(until_us).filter(|&until_us| until_us > now_us)
    }

    pub(crate) fn start(&mut self, now_us: MonoTime) {
        if self.wants_trial(now_us, true) {
            self.standing = Standing::Trial;
        }
        self.in_flight += 1;
    }

    pub(crate) fn abandon(&mut self, now_us: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.end_trial() {
            // Nothing was learned: the next call may try again.
            self.standing = Standing::Aside { until_us: now_us, mute: true };
        }
    }

    fn end_trial(&mut self) -> bool {
        let was_trial = matches!(self.standing, Standing::Trial);
        if was_trial {
            self.standing = Standing::Good;
        }
        was_trial
    }

    pub(crate) fn finish(&mut self, latency_us: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.strikes = 0;
        let seen = latency_us.0 as f64;
        let was_trial = self.end_trial();
        // A trial starts the figure afresh: the old one is why the instance was set aside.
        let usual = self.latency_us.filter(|_| !was_trial).unwrap_or(seen);
        self.latency_us = Some(usual + LATENCY_WEIGHT * (seen - usual));
    }

    /// Judges the latest answer against the usual latency; true when the instance was set aside for it.
    pub(crate) fn judge_speed(&mut self, now_us: MonoTime, usual_us: u64) -> bool {
        let limit_us = usual_us.saturating_mul(self.settings.slow_factor);
        let slow = self.latency_us().is_some_and(|latency_us| latency_us > limit_us);
        if !slow {
            self.slow_answers = 0;
            self.standing = Standing::Good;
            self.aside_ms = self.settings.aside_ms;
            return false;
        }
        self.slow_answers += 1;
        if self.slow_answers < self.settings.slow_answers {
            return false;
        }
        self.set_aside(now_us, false);
        true
    }

    /// A call failed; true when the instance was set aside for it.
    pub(crate) fn fail(&mut self, now_us: MonoTime, cause: FailureCause, may_set_aside: bool) -> bool {
        if cause == FailureCause::Limited {
            self.abandon(now_us);
            return false;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        let was_trial = self.end_trial();
        match cause {
            FailureCause::Leaving => self.leaving_until_us = now_us + self.settings.sign_life_ms,
            FailureCause::Timeout | FailureCause::Broken | FailureCause::NotSent => self.strikes += 1,
            FailureCause::NoRoom | FailureCause::Limited | FailureCause::Gone | FailureCause::Refused => {}
        }
        let struck = self.strikes >= self.settings.strikes_max;
        let aside = was_trial || (struck && may_set_aside && !self.is_set_aside());
        if aside {
            self.set_aside(now_us, true);
        }
        aside
    }

    fn set_aside(&mut self, now_us: MonoTime, mute: bool) {
        self.standing = Standing::Aside { until_us: now_us + self.aside_ms, mute };
        self.aside_ms = Millis((self.aside_ms.0 * 2).min(self.settings.aside_max_ms.0));
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
fn whole(span_us: f64) -> u64 {
    span_us.max(0.0) as u64
}
