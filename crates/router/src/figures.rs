//! Once a second, what the services know in their own terms becomes gauges and counters.

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
use crate::dispatch::Hub;
use crate::metrics::{Gauge, Label, Metrics};
use crate::peer::{LinkCounts, NngLink};

/// Scrapers ask every few seconds; finer figures would be read by nobody.
const PERIOD: Duration = Duration::from_secs(1);

/// Where the figures come from and go to.
#[derive(Clone, Debug)]
pub struct Figures {
    /// What control costs.
    pub usage: Arc<ArcSwap<ControlUsage>>,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// What happened to membership.
    pub membership_counts: Arc<ArcSwap<MembershipCounts>>,
    /// What happened to spreading.
    pub spread_counts: Arc<ArcSwap<SpreadCounts>>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// The scheduler of language requests.
    pub hub: Arc<Hub>,
    /// Requests under way.
    pub tasks: TaskTracker,
    /// The link to other daemons.
    pub link: Arc<NngLink>,
    /// Where the figures go.
    pub metrics: Metrics,
}

/// A count by its name. The names are those of [`LinkCounts`], [`MembershipCounts`] and [`SpreadCounts`], closed
/// sets.
#[derive(Clone, Copy, Debug)]
struct Named(&'static str);

impl Label for Named {
    fn label(self) -> &'static str {
        self.0
    }
}

/// What happened in the ledgers of watched engines, or in the scheduler, as counters name it.
#[derive(Clone, Copy, Debug)]
enum Happened {
    GrantExpired,
    GrantTakenOver,
    EngineOverCommitted,
    EngineClosedAsMute,
    AskTimedOut,
    TurnReturned,
    RetryDenied,
    SlotUnconfirmed,
    ControlOverBudget,
}

impl Label for Happened {
    fn label(self) -> &'static str {
        match self {
            Self::GrantExpired => "grant-expired",
            Self::GrantTakenOver => "grant-taken-over",
            Self::EngineOverCommitted => "engine-over-committed",
            Self::EngineClosedAsMute => "engine-closed-as-mute",
            Self::AskTimedOut => "ask-timed-out",
            Self::TurnReturned => "turn-returned",
            Self::RetryDenied => "retry-denied",
            Self::SlotUnconfirmed => "slot-unconfirmed",
            Self::ControlOverBudget => "control-over-budget",
        }
    }
}

/// Counts what a ledger has counted since `before`.
pub fn count_ledger(metrics: &Metrics, before: LedgerCounters, after: LedgerCounters) {
    count(metrics, Happened::GrantExpired, before.expired, after.expired);
    count(metrics, Happened::GrantTakenOver, before.taken_over, after.taken_over);
    count(metrics, Happened::EngineOverCommitted, before.over_committed, after.over_committed);
    count(metrics, Happened::EngineClosedAsMute, before.closed, after.closed);
}

fn count_scheduler(metrics: &Metrics, before: &Counters, after: &Counters) {
    count(metrics, Happened::AskTimedOut, before.ask_timeouts, after.ask_timeouts);
    count(metrics, Happened::TurnReturned, before.turns_returned, after.turns_returned);
    count(metrics, Happened::RetryDenied, before.retries_denied, after.retries_denied);
    count(metrics, Happened::SlotUnconfirmed, before.unconfirmed_transfers, after.unconfirmed_transfers);
}

fn count(metrics: &Metrics, what: Happened, before: u64, after: u64) {
    if after > before {
        metrics.events(what, after - before);
    }
}

impl Figures {
    /// Runs for as long as the daemon does.
    pub async fn run(self) {
        let mut period = tokio::time::interval(PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut counted = LinkCounts::default();
        let mut decided = Counters::default();
        let mut membership = MembershipCounts::default();
        let mut spread = SpreadCounts::default();
        loop {
            period.tick().await;
            self.set_gauges();
            counted = self.count_link(counted);
            let now = self.hub.counters();
            count_scheduler(&self.metrics, &decided, &now);
            decided = now;
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
            // A second in which control took more than a host may spend on it.
            self.metrics.event(Happened::ControlOverBudget);
        }
        let now_us = clock::now();
        let listing = self.directory.listing();
        let live =
            listing.servers.values().filter(|server| self.directory.takes_work(now_us, server)).count();
        let set = |gauge, value: u64| self.metrics.set(gauge, value);
        set(Gauge::ControlCpuPpm, usage.core_share.0);
        set(Gauge::ControlMemoryBytes, usage.memory_bytes.0);
        set(Gauge::ControlSentBytesPerS, usage.sent_bytes_per_s.0);
        set(Gauge::RequestsInFlight, self.tasks.len() as u64);
        set(Gauge::RequestsQueued, self.hub.waiting_requests() as u64);
        set(Gauge::HostsLive, self.members.load().all().filter(|member| member.is_eligible()).count() as u64);
        set(Gauge::BackendServersLive, live as u64);
    }

    /// Counts what the link refused and dropped since `counted`.
    fn count_link(&self, counted: LinkCounts) -> LinkCounts {
        let now = self.link.counts();
        for ((name, before), (_, after)) in counted.by_name().zip(now.by_name()) {
            if name.starts_with("dropped") || name.starts_with("refused") {
                self.metrics.peer_dropped(Named(name), after - before);
            } else if matches!(name, "probes" | "redialled") {
                self.metrics.events(Named(name), after - before);
            }
        }
        now
    }

    fn count_events(&self, before: &[(&'static str, u64)], now: &[(&'static str, u64)]) {
        for ((name, before), (_, now)) in before.iter().zip(now) {
            self.metrics.events(Named(name), now - before);
        }
    }
}
