//! Which daemons are asked whether they reach the servers of a service, while this one has doubts.
//!
//! A cut often takes all daemons of a data centre, so that a fixed sample may hold none that could help. The search goes
//! through all daemons, evenly over the data centres, and asks those that can help again before their replies expire.
//! Daemons that search name to each other the ones that they have found.

use std::collections::{BTreeMap, HashMap, HashSet};

use rand::Rng;
use rand::seq::SliceRandom;

use super::reach::{HelperState, Reached};
use crate::ids::{DataCentreId, HostId};
use crate::units::{Millis, MonoTime};

/// Limits of the search for daemons that can help.
#[derive(Clone, Copy, Debug)]
pub struct HelperSearchSettings {
    /// Number of daemons that are asked at a time.
    pub asked_max: usize,
    /// Number of them that may be asked again because of their last reply.
    pub asked_again_max: usize,
    /// Age from which the reply of a daemon that reaches the servers is renewed.
    pub renew_after_ms: Millis,
}

impl HelperSearchSettings {
    /// Default limits.
    pub const DEFAULT: Self = Self { asked_max: 16, asked_again_max: 6, renew_after_ms: Millis(500) };
}

impl Default for HelperSearchSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// What is known of a daemon that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its host.
    pub host: &'a HostId,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
}

/// How promising it is to ask a daemon, the most promising first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    /// Its reply, that it reaches the servers, has to be renewed.
    Renewed,
    /// Another daemon names it, and it was not asked since.
    Named,
    /// Neither.
    Other,
}

/// The search of one daemon.
#[derive(Clone, Debug, Default)]
pub struct HelperSearch {
    settings: HelperSearchSettings,
    /// When each daemon was last asked.
    asked_us: HashMap<HostId, MonoTime>,
    /// The services in doubt.
    services: HashMap<String, Progress>,
    /// Daemons that others name as reaching a service, and when.
    named_us: HashMap<HostId, MonoTime>,
}

/// How far the search for one service has come.
#[derive(Clone, Copy, Debug)]
struct Progress {
    since_us: MonoTime,
    /// When all daemons had been asked since then.
    covered_us: Option<MonoTime>,
}

impl HelperSearch {
    /// Creates a search with other limits.
    pub fn new(settings: HelperSearchSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The daemons to ask now about `services`, which are in doubt. `replies` are the fresh ones, and when they came.
    pub fn next<'a, Random>(
        &mut self,
        now_us: MonoTime,
        services: &[String],
        candidates: &[Candidate<'a>],
        replies: &BTreeMap<HostId, (MonoTime, HelperState)>,
        rng: &mut Random,
    ) -> Vec<&'a HostId>
    where
        Random: Rng,
    {
        self.services.retain(|service, _| services.contains(service));
        for service in services {
            let begun = Progress { since_us: now_us, covered_us: None };
            self.services.entry(service.clone()).or_insert(begun);
        }
        let hosts: HashSet<&HostId> = candidates.iter().map(|candidate| candidate.host).collect();
        self.asked_us.retain(|host, _| hosts.contains(host));
        self.named_us.retain(|host, _| hosts.contains(host));
        let asked = self.choose(now_us, services, candidates, replies, rng);
        for host in &asked {
            self.asked_us.insert((*host).clone(), now_us);
        }
        for progress in self.services.values_mut().filter(|progress| progress.covered_us.is_none()) {
            let asked_since = self.asked_us.values().filter(|at_us| **at_us >= progress.since_us).count();
            progress.covered_us = (asked_since == hosts.len()).then_some(now_us);
        }
        asked
    }

    fn choose<'a, Random>(
        &self,
        now_us: MonoTime,
        services: &[String],
        candidates: &[Candidate<'a>],
        replies: &BTreeMap<HostId, (MonoTime, HelperState)>,
        rng: &mut Random,
    ) -> Vec<&'a HostId>
    where
        Random: Rng,
    {
        let HelperSearchSettings { asked_max, asked_again_max, .. } = self.settings;
        let mut shuffled = candidates.to_vec();
        shuffled.shuffle(rng);
        let mut ranked: Vec<(Rank, usize, Option<MonoTime>, &HostId)> = Vec::with_capacity(shuffled.len());
        // Those that were not asked for longest come first; of those asked at the same time, the data centres in turn.
        let mut turns: BTreeMap<(Option<MonoTime>, &DataCentreId), usize> = BTreeMap::new();
        for candidate in shuffled {
            let rank = self.rank(now_us, services, replies.get(candidate.host), candidate.host);
            let asked_us = self.asked_us.get(candidate.host).copied();
            let turn = turns.entry((asked_us, candidate.data_centre)).or_default();
            *turn += usize::from(rank == Rank::Other);
            ranked.push((rank, *turn, asked_us, candidate.host));
        }
        let (mut again, mut others): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(rank, ..)| *rank != Rank::Other);
        again.sort_by_key(|(rank, _, asked_us, _)| (*rank, *asked_us));
        again.truncate(asked_again_max);
        others.sort_by_key(|(_, turn, asked_us, _)| (*asked_us, *turn));
        let chosen = again.into_iter().chain(others).take(asked_max);
        chosen.map(|(.., host)| host).collect()
    }

    fn rank(
        &self,
        now_us: MonoTime,
        services: &[String],
        reply: Option<&(MonoTime, HelperState)>,
        host: &HostId,
    ) -> Rank {
        let is_named = self
            .named_us
            .get(host)
            .is_some_and(|named_us| self.asked_us.get(host).is_none_or(|asked_us| asked_us < named_us));
        let Some((at_us, state)) = reply else {
            return if is_named { Rank::Named } else { Rank::Other };
        };
        let is_old = now_us >= *at_us + self.settings.renew_after_ms;
        // The others reply once more when they have found out.
        let helps = services.iter().any(|service| state.reached_of(service) == Some(Reached::Yes));
        if helps && is_old { Rank::Renewed } else { Rank::Other }
    }

    /// Ends the search, since no service is in doubt.
    pub fn end(&mut self) {
        self.services.clear();
    }

    /// Number of daemons asked since `service` was in doubt.
    pub fn asked_count(&self, service: &str) -> usize {
        let Some(progress) = self.services.get(service) else {
            return 0;
        };
        self.asked_us.values().filter(|at_us| **at_us >= progress.since_us).count()
    }

    /// Records daemons that another daemon names as reaching a service.
    pub fn named<Hosts>(&mut self, now_us: MonoTime, hosts: Hosts)
    where
        Hosts: IntoIterator<Item = HostId>,
    {
        self.named_us.extend(hosts.into_iter().map(|host| (host, now_us)));
    }

    /// When all daemons had been asked since `service` was in doubt; `None` while some were not.
    pub fn covered_us(&self, service: &str) -> Option<MonoTime> {
        self.services.get(service)?.covered_us
    }
}
