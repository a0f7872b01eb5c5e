//! Exports the state and counts of the services as gauges and counters once a second.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::membership::{MembersView, MembershipCounts};
use hibiscusvale_core::meter::{ControlBudget, ControlUsage};
use hibiscusvale_core::sched::Counters;
use hibiscusvale_core::slots::LedgerCounters;
use hibiscusvale_core::spread::SpreadCounts;
use tokio::time::MissedTickBehavior;
use tokio_util::task::TaskTracker;

use crate::clock;
use crate::directory::Directory;
use crate::dispatch::LanguageScheduler;
use crate::metrics::{Gauge, Label, Metrics};
use crate::peer::{LinkCounts, NngLink};

/// Update interval. Scrapers read every few seconds, so a shorter one gains nothing.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Sources of the exported values and the metrics that they are written to.
#[derive(Clone, Debug)]
pub struct MetricsReporter {
    /// Resource usage of control.
    pub usage: Arc<ArcSwap<ControlUsage>>,
    /// Current cluster members.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Event counts of membership.
    pub membership_counts: Arc<ArcSwap<MembershipCounts>>,
    /// Event counts of configuration dissemination.
    pub spread_counts: Arc<ArcSwap<SpreadCounts>>,
    /// Known backend servers.
    pub directory: Arc<Directory>,
    /// Scheduler of language requests.
    pub language_scheduler: Arc<LanguageScheduler>,
    /// Requests in flight.
    pub tasks: TaskTracker,
    /// Transport to the other daemons.
    pub link: Arc<NngLink>,
    /// Metrics that are written.
    pub metrics: Metrics,
}

/// Name of a counter in [`LinkCounts`], [`MembershipCounts`] or [`SpreadCounts`], which are closed sets.
#[derive(Clone, Copy, Debug)]
struct CounterName(&'static str);

impl Label for CounterName {
    fn label(self) -> &'static str {
        self.0
    }
}

/// Event in the slot ledger of a watched engine, in the scheduler or in resource accounting.
#[derive(Clone, Copy, Debug)]
enum DaemonEvent {
    GrantExpired,
    GrantTakenOver,
    EngineOverCommitted,
    EngineUnresponsive,
    GrantRequestTimedOut,
    TurnReturned,
    RetryDenied,
    SlotUnconfirmed,
    ControlOverBudget,
}

impl Label for DaemonEvent {
    fn label(self) -> &'static str {
        match self {
            Self::GrantExpired => "grant-expired",
            Self::GrantTakenOver => "grant-taken-over",
            Self::EngineOverCommitted => "engine-over-committed",
            Self::EngineUnresponsive => "engine-closed-as-mute",
            Self::GrantRequestTimedOut => "ask-timed-out",
            Self::TurnReturned => "turn-returned",
            Self::RetryDenied => "retry-denied",
            Self::SlotUnconfirmed => "slot-unconfirmed",
            Self::ControlOverBudget => "control-over-budget",
        }
    }
}

/// Counts the events of a ledger between the snapshots `before` and `after`.
pub fn count_ledger(metrics: &Metrics, before: LedgerCounters, after: LedgerCounters) {
    count(metrics, DaemonEvent::GrantExpired, before.expired, after.expired);
    count(metrics, DaemonEvent::GrantTakenOver, before.taken_over, after.taken_over);
    count(metrics, DaemonEvent::EngineOverCommitted, before.over_committed, after.over_committed);
    count(metrics, DaemonEvent::EngineUnresponsive, before.closed, after.closed);
}

fn count_scheduler(metrics: &Metrics, before: &Counters, after: &Counters) {
    count(
        metrics,
        DaemonEvent::GrantRequestTimedOut,
        before.grant_request_timeouts,
        after.grant_request_timeouts,
    );
    count(metrics, DaemonEvent::TurnReturned, before.turns_returned, after.turns_returned);
    count(metrics, DaemonEvent::RetryDenied, before.retries_denied, after.retries_denied);
    count(metrics, DaemonEvent::SlotUnconfirmed, before.unconfirmed_transfers, after.unconfirmed_transfers);
}

fn count(metrics: &Metrics, event: DaemonEvent, before: u64, after: u64) {
    if after > before {
        metrics.count_events(event, after - before);
    }
}

impl MetricsReporter {
    /// Updates the metrics until the task is cancelled.
    pub async fn run(self) {
        let mut interval = tokio::time::interval(UPDATE_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut link_counts = LinkCounts::default();
        let mut scheduler_counts = Counters::default();
        let mut membership = MembershipCounts::default();
        let mut spread = SpreadCounts::default();
        loop {
            interval.tick().await;
            self.set_gauges();
            link_counts = self.count_link(link_counts);
            let now = self.language_scheduler.counters();
            count_scheduler(&self.metrics, &scheduler_counts, &now);
            scheduler_counts = now;
            let now = **self.membership_counts.load();
            self.count_events(&membership.by_name(), &now.by_name());
            membership = now;
            let now = **self.spread_counts.load();
            self.count_events(&spread.by_name(), &now.by_name());
            spread = now;
        }
    }

    fn set_gauges(&self) {
        let usage = self.usage.load();
        if usage.is_over(&ControlBudget::default()) {
            // Counts each second in which control exceeded its budget per host.
            self.metrics.count_event(DaemonEvent::ControlOverBudget);
        }
        let now_us = clock::now();
        let listing = self.directory.listing();
        let live =
            listing.servers.values().filter(|server| self.directory.accepts_work(now_us, server)).count();
        let set = |gauge, value: u64| self.metrics.set(gauge, value);
        set(Gauge::ControlCpuPpm, usage.core_share.0);
        set(Gauge::ControlMemoryBytes, usage.memory_bytes.0);
        set(Gauge::ControlSentBytesPerS, usage.sent_bytes_per_s.0);
        set(Gauge::RequestsInFlight, self.tasks.len() as u64);
        set(Gauge::RequestsQueued, self.language_scheduler.waiting_requests() as u64);
        set(Gauge::HostsLive, self.members.load().all().filter(|member| member.is_eligible()).count() as u64);
        set(Gauge::BackendServersLive, live as u64);
    }

    /// Counts messages that the link refused or dropped since `previous`.
    fn count_link(&self, previous: LinkCounts) -> LinkCounts {
        let now = self.link.counts();
        for ((name, before), (_, after)) in previous.by_name().zip(now.by_name()) {
            if name.starts_with("dropped") || name.starts_with("refused") {
                self.metrics.count_peer_drops(CounterName(name), after - before);
            } else if matches!(name, "probes" | "redialled") {
                self.metrics.count_events(CounterName(name), after - before);
            }
        }
        now
    }

    fn count_events(&self, before: &[(&'static str, u64)], now: &[(&'static str, u64)]) {
        for ((name, before), (_, now)) in before.iter().zip(now) {
            self.metrics.count_events(CounterName(name), now - before);
        }
    }
}
