//! Whether a daemon reaches the servers of a service.
//!
//! A failed request says something about one server: it may have crashed, or its answer may be lost. An answer says
//! nothing about the links either, since it may come over a connection that is still open while no new one can be made.
//! Each failure is therefore followed by a check over new connections to several servers. Checks without any answer say that
//! the daemon has lost its links to all of them, or that all are down.

use std::collections::{BTreeSet, HashMap};

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, DataCentreId, HostId};
use crate::sched::FailureCause;
use crate::units::{Millis, MonoTime};

/// Limits for detecting that the servers of a service are out of reach.
#[derive(Clone, Copy, Debug)]
pub struct ReachSettings {
    /// Checks in a row without an answer after which servers are out of reach.
    pub failed_checks_min: u32,
    /// Checks in a row that servers have to answer to be in reach again.
    pub answered_checks_min: u32,
    /// Interval between two checks of servers that are out of reach, or that answered the last one.
    pub check_interval_ms: Millis,
    /// Interval between the first check without an answer and the next one.
    pub recheck_ms: Millis,
    /// Age up to which an answer shows that the servers are in reach.
    pub answer_ttl_ms: Millis,
    /// Time after a failure for which the other daemons are asked what they reach.
    pub doubt_ttl_ms: Millis,
}

impl ReachSettings {
    /// Default limits.
    pub const DEFAULT: Self = Self {
        failed_checks_min: 2,
        answered_checks_min: 2,
        check_interval_ms: Millis(500),
        recheck_ms: Millis(100),
        answer_ttl_ms: Millis(2_000),
        doubt_ttl_ms: Millis(2_000),
    };
}

impl Default for ReachSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// A change of what is known of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// Its servers are out of reach.
    Lost {
        /// Servers at which requests failed; none if another service was found to be lost, or another daemon asked.
        servers: Vec<BackendServerId>,
        /// Failures since the last answered check.
        failures: u32,
        /// Cause of the last failure; `None` if no request failed.
        cause: Option<FailureCause>,
        /// Time since the last answer of any server; `None` if there was none.
        last_answer_ms: Option<Millis>,
    },
    /// Its servers are in reach again.
    Regained {
        /// How long they were out of reach.
        lost_ms: Millis,
    },
}

/// What a daemon knows about its way to the servers of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Reached {
    /// A server answered recently, and no request has failed since the last answered check.
    Yes,
    /// A server answered recently, and requests have failed since the last answered check.
    Partly,
    /// Nothing recent is known.
    Unknown,
    /// Requests have failed, and the last answer is not recent.
    Doubtful,
    /// No server is reached.
    No,
}

impl Reached {
    /// Whether a request may be sent to a daemon that says this about itself.
    pub fn is_possible(self) -> bool {
        matches!(self, Self::Yes | Self::Partly | Self::Unknown)
    }
}

/// What another daemon says about itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HelperState {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it knows about its way to the servers of each service that it was asked about.
    pub reached: Vec<(String, Reached)>,
    /// Number of its open requests.
    pub open_requests: u64,
}

impl HelperState {
    /// What it knows about its way to the servers of `service`; `None` if it was not asked about it.
    pub fn reached_of(&self, service: &str) -> Option<Reached> {
        self.reached.iter().find(|(name, _)| name == service).map(|(_, reached)| *reached)
    }
}

/// What is known of the daemons to which a request could be forwarded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HelperCounts {
    /// Daemons asked since the service was in doubt.
    pub asked: usize,
    /// Daemons with a fresh reply about the service.
    pub replied: usize,
    /// Daemons among these that do not rule out that they reach it.
    pub reaching: usize,
}

/// Number of daemons among which the one with the fewest open requests is chosen: daemons that choose at the same
/// time, by states of the same age, must not all choose the same one.
const SAMPLED_HELPERS: usize = 3;

/// Open requests by which a daemon of the own data centre may exceed one of another.
const REMOTE_PENALTY: u64 = 4;

/// Chooses the daemon to which a request for `service` is forwarded from the data centre `own`; those on `tried` are
/// left out. A daemon whose last request failed, or without recent requests to the service, is chosen only if there is no
/// better one.
pub fn choose_helper<'a, States, Random>(
    states: States,
    service: &str,
    own: &DataCentreId,
    tried: &[HostId],
    rng: &mut Random,
) -> Option<&'a HelperState>
where
    States: Iterator<Item = &'a HelperState>,
    Random: Rng,
{
    let untried: Vec<&HelperState> = states.filter(|state| !tried.contains(&state.host)).collect();
    let with =
        |wanted| untried.iter().copied().filter(move |state| state.reached_of(service) == Some(wanted));
    // A daemon beside a server that is down has failures now and then.
    let preferred = [Reached::Yes, Reached::Partly, Reached::Unknown];
    let wanted = preferred.into_iter().find(|reached| with(*reached).next().is_some())?;
    let load = |state: &&HelperState| {
        state.open_requests + if state.data_centre == *own { 0 } else { REMOTE_PENALTY }
    };
    with(wanted).sample(rng, SAMPLED_HELPERS).into_iter().min_by_key(load)
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    last_answer_us: Option<MonoTime>,
    /// When a check was last answered.
    verified_us: Option<MonoTime>,
    last_failure_us: MonoTime,
    last_cause: Option<FailureCause>,
    failures: u32,
    failed_servers: BTreeSet<BackendServerId>,
    /// Whether a check has to show that its servers are in reach.
    is_suspected: bool,
    /// Checks in a row without an answer.
    failed_checks: u32,
    next_check_us: MonoTime,
    lost: Option<Lost>,
}

impl ServiceReach {
    /// Forgets failures.
    fn clear(&mut self) {
        let Self { last_answer_us, verified_us, .. } = *self;
        *self = Self { last_answer_us, verified_us, ..Self::default() };
    }
}

#[derive(Clone, Copy, Debug)]
struct Lost {
    since_us: MonoTime,
    answered_checks: u32,
}

/// A check that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueCheck {
    /// Service whose servers are to be checked.
    pub service: String,
    /// Whether it is the first one after a failure, which a few servers suffice for.
    pub is_first: bool,
}

/// What a daemon knows about its way to the servers of each service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    settings: ReachSettings,
    services: HashMap<String, ServiceReach>,
    verified_series: u64,
}

impl Reach {
    /// Creates a table with other limits.
    pub fn new(settings: ReachSettings) -> Self {
        Self { settings, services: HashMap::new(), verified_series: 0 }
    }

    /// Records that a server of `service` answered, whatever it answered. Failures before it still have to be checked.
    pub fn answered(&mut self, now_us: MonoTime, service: &str) {
        self.service(service).last_answer_us = Some(now_us);
    }

    /// Records that a server of `service` gave no answer, so that a check is due.
    pub fn failed(&mut self, now_us: MonoTime, service: &str, server: &BackendServerId, cause: FailureCause) {
        let reach = self.service(service);
        reach.last_failure_us = now_us;
        if reach.lost.is_none() {
            reach.failures += 1;
            reach.last_cause = Some(cause);
            reach.failed_servers.insert(server.clone());
            reach.is_suspected = true;
        }
    }

    /// Records that another daemon asks whether the servers of `service` are reached, so that a check is due unless one was
    /// answered recently. A daemon without requests of its own, or whose answers come over open connections, would not
    /// notice that it is cut off, and take requests that it can't serve.
    pub fn asked(&mut self, now_us: MonoTime, service: &str) {
        let is_verified = self.is_verified(now_us, service);
        let reach = self.service(service);
        if reach.lost.is_none() && !is_verified {
            reach.is_suspected = true;
        }
    }

    /// Includes services to which no request was sent yet in what is checked after a loss.
    pub fn include<'a, Services>(&mut self, services: Services)
    where
        Services: Iterator<Item = &'a str>,
    {
        services.for_each(|service| {
            self.service(service);
        });
    }

    /// Checks that are due. Each is due again after its result or, without one, after the interval of checks.
    pub fn due_checks(&mut self, now_us: MonoTime) -> Vec<DueCheck> {
        let interval_ms = self.settings.check_interval_ms;
        let is_due = |reach: &ServiceReach| {
            now_us >= reach.next_check_us && (reach.is_suspected || reach.lost.is_some())
        };
        let due = self.services.iter_mut().filter(|(_, reach)| is_due(reach));
        due.map(|(service, reach)| {
            reach.next_check_us = now_us + interval_ms;
            let is_first = reach.lost.is_none() && reach.failed_checks == 0;
            DueCheck { service: service.clone(), is_first }
        })
        .collect()
    }

    /// Whether any service is suspected or out of reach.
    pub fn has_checks(&self) -> bool {
        self.services.values().any(|reach| reach.is_suspected || reach.lost.is_some())
    }

    /// Records the result of a check whether servers of `service` answer over new connections.
    pub fn checked(&mut self, now_us: MonoTime, service: &str, answers: bool) -> Option<ReachChange> {
        let reach = self.services.get_mut(service)?;
        if answers {
            reach.failed_checks = 0;
            reach.last_answer_us = Some(now_us);
            reach.verified_us = Some(now_us);
        } else {
            reach.failed_checks += 1;
        }
        if reach.lost.is_some() {
            self.checked_while_lost(now_us, service, answers)
        } else {
            self.checked_while_suspected(now_us, service, answers)
        }
    }

    fn checked_while_suspected(
        &mut self,
        now_us: MonoTime,
        service: &str,
        answers: bool,
    ) -> Option<ReachChange> {
        let ReachSettings { failed_checks_min, check_interval_ms, recheck_ms, .. } = self.settings;
        let reach = self.services.get_mut(service)?;
        if answers {
            self.verified_series += u64::from(reach.failures > 0);
            reach.clear();
            reach.next_check_us = now_us + check_interval_ms;
            return None;
        }
        if reach.failed_checks < failed_checks_min {
            reach.next_check_us = now_us + recheck_ms;
            return None;
        }
        reach.lost = Some(Lost { since_us: now_us, answered_checks: 0 });
        reach.is_suspected = false;
        reach.next_check_us = now_us + check_interval_ms;
        let change = ReachChange::Lost {
            servers: reach.failed_servers.iter().cloned().collect(),
            failures: reach.failures,
            cause: reach.last_cause,
            last_answer_ms: reach.last_answer_us.map(|at_us| now_us.since(at_us).to_millis_ceil()),
        };
        self.suspect_others(now_us, service);
        Some(change)
    }

    /// A cut often takes the links to several services, and some of them get few requests that could fail.
    fn suspect_others(&mut self, now_us: MonoTime, service: &str) {
        let others = self.services.iter_mut().filter(|(other, _)| *other != service);
        for (_, reach) in others.filter(|(_, reach)| reach.lost.is_none()) {
            reach.is_suspected = true;
            reach.next_check_us = reach.next_check_us.min(now_us);
        }
    }

    fn checked_while_lost(&mut self, now_us: MonoTime, service: &str, answers: bool) -> Option<ReachChange> {
        let ReachSettings { answered_checks_min, check_interval_ms, .. } = self.settings;
        let reach = self.services.get_mut(service)?;
        reach.next_check_us = now_us + check_interval_ms;
        let lost = reach.lost.as_mut()?;
        lost.answered_checks = if answers { lost.answered_checks + 1 } else { 0 };
        if lost.answered_checks < answered_checks_min {
            return None;
        }
        let lost_ms = now_us.since(lost.since_us).to_millis_ceil();
        reach.clear();
        Some(ReachChange::Regained { lost_ms })
    }

    /// Whether the servers of `service` are reached.
    pub fn reached(&self, now_us: MonoTime, service: &str) -> Reached {
        let Some(reach) = self.services.get(service) else {
            return Reached::Unknown;
        };
        let is_recent =
            reach.last_answer_us.is_some_and(|at_us| now_us < at_us + self.settings.answer_ttl_ms);
        let has_failed = reach.failures > 0 || reach.failed_checks > 0;
        match (reach.lost, has_failed, is_recent) {
            (Some(_), ..) => Reached::No,
            (None, false, true) => Reached::Yes,
            (None, false, false) => Reached::Unknown,
            (None, true, true) => Reached::Partly,
            (None, true, false) => Reached::Doubtful,
        }
    }

    /// What another daemon is told that asks whether the servers of `service` are reached. Only an answered check shows that
    /// they are: other answers may come over connections that outlive the links.
    pub fn reached_for_others(&self, now_us: MonoTime, service: &str) -> Reached {
        match self.reached(now_us, service) {
            Reached::Yes if !self.is_verified(now_us, service) => Reached::Partly,
            reached => reached,
        }
    }

    /// Whether a check of the servers of `service` was answered recently.
    pub fn is_verified(&self, now_us: MonoTime, service: &str) -> bool {
        let verified_us = self.services.get(service).and_then(|reach| reach.verified_us);
        verified_us.is_some_and(|at_us| now_us < at_us + self.settings.answer_ttl_ms)
    }

    /// Number of series of failures after which a check was answered, over all services.
    pub fn verified_series(&self) -> u64 {
        self.verified_series
    }

    /// Services whose servers are out of reach.
    pub fn lost(&self) -> impl Iterator<Item = &str> {
        let lost = self.services.iter().filter(|(_, reach)| reach.lost.is_some());
        lost.map(|(service, _)| service.as_str())
    }

    /// Services with recent failures or checks without an answer and no answer since, and those out of reach.
    pub fn doubted(&self, now_us: MonoTime) -> impl Iterator<Item = &str> {
        let doubt_ttl_ms = self.settings.doubt_ttl_ms;
        let is_doubted = move |reach: &ServiceReach| {
            let is_recent = now_us < reach.last_failure_us + doubt_ttl_ms;
            reach.lost.is_some() || reach.failed_checks > 0 || (reach.failures > 0 && is_recent)
        };
        let doubted = self.services.iter().filter(move |(_, reach)| is_doubted(reach));
        doubted.map(|(service, _)| service.as_str())
    }

    fn service(&mut self, service: &str) -> &mut ServiceReach {
        // Services are few, and each is inserted once: most calls must not allocate.
        if self.services.contains_key(service) {
            return self.services.get_mut(service).expect("the service is in the table");
        }
        self.services.entry(service.to_owned()).or_default()
    }
}
