//! Order of the requests that wait for engines at all daemons.
//!
//! A burst takes more than the memory of the decode engines, and requests of several priorities and organisations
//! wait at hundreds of daemons, few at each. If each daemon ordered only its own, a request of low priority would
//! be placed at one daemon while an urgent one waits at another, and an organisation that surges would take the
//! memory that the others need. So daemons report what waits by rank, and each leaves to better-ranked requests of
//! the others as much room as they need.
//!
//! Where all known requests have one rank, nothing here applies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::EnginePool;
use super::events::{Role, VersionBinding};
use super::open_request::{OpenRequest, Stage};
use super::peers::{NodeHash, PeerIndex};
use super::prefill::{PrefillBacklog, START_MARGIN_MS};
use crate::ids::RequestId;
use crate::outcome::Outcome;
use crate::shares::{Claim, OrganisationKey, REPORTED_ORGANISATIONS_MAX, max_min_level};
use crate::units::{Micros, Millis, MonoTime, Tokens};

/// Memory of one organisation's requests at the decode engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrganisationMemory {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// Memory that its placed requests take when they end.
    pub held: Tokens,
    /// Memory that its queued requests will take.
    pub waiting: Tokens,
}

/// Queued requests of one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WaitingClass {
    /// Whether their organisations hold more than their share already.
    pub is_over_share: bool,
    /// Their priority; smaller values go first.
    pub priority: u8,
    /// How long the oldest has waited.
    pub oldest_ms: Millis,
    /// Memory that they will take.
    pub tokens: Tokens,
}

/// Memory that one daemon's requests for a service of engines hold and wait for.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemoryReport {
    /// The largest organisations; what the others hold counts as held by requests without an organisation.
    pub organisations: Vec<OrganisationMemory>,
    /// Queued requests by rank, without those that are already late.
    pub waiting: Vec<WaitingClass>,
}

impl MemoryReport {
    /// Whether all figures are possible. A single daemon that states absurd ones would give all memory to one
    /// organisation, or make all other daemons wait for it.
    fn is_plausible(&self, held_max: Tokens, waiting_max: Tokens) -> bool {
        let sum =
            |tokens: &mut dyn Iterator<Item = Tokens>| tokens.fold(Tokens::ZERO, |sum, each| sum + each);
        let held = sum(&mut self.organisations.iter().map(|organisation| organisation.held));
        let waiting = sum(&mut self.organisations.iter().map(|organisation| organisation.waiting));
        let classes = sum(&mut self.waiting.iter().map(|class| class.tokens));
        self.organisations.len() <= REPORTED_ORGANISATIONS_MAX
            && self.waiting.len() <= CLASSES_MAX
            && held <= held_max
            && waiting <= waiting_max
            && classes <= waiting_max
            && self.waiting.iter().all(|class| class.oldest_ms <= AGE_MAX_MS)
    }
}

/// Rank of a queued request; smaller values go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    is_over_share: bool,
    priority: u8,
}

impl Rank {
    /// Rank of answers that were interrupted.
    const STARTED: Self = Self { is_over_share: false, priority: 0 };

    /// Rank assumed for what daemons do not report.
    const UNREPORTED: Self = Self { is_over_share: false, priority: UNREPORTED_PRIORITY };
}

/// What the other daemons were told of a queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedRank {
    rank: Rank,
    /// When it was first reported.
    first_us: MonoTime,
}

/// Place of a queued request among those of all daemons; smaller values go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Precedence {
    rank: Rank,
    /// When it arrived, by the clock of this daemon.
    arrived_us: MonoTime,
}

/// Memory of one organisation's requests.
#[derive(Clone, Copy, Debug, Default)]
struct OrganisationSum {
    held: Tokens,
    waiting: Tokens,
}

impl OrganisationSum {
    fn need(self) -> Tokens {
        self.held + self.waiting
    }
}

/// What one other daemon reports.
#[derive(Clone, Debug, Default)]
struct PeerMemory {
    report: MemoryReport,
    /// Whether it belongs to the usage that comes next. A message without a report makes the previous one invalid.
    is_new: bool,
    received_us: MonoTime,
    /// What of it is part of the sums: no more than the daemon's queued memory.
    counted: Vec<(Precedence, Tokens)>,
}

/// Room at a decode engine.
#[derive(Clone, Copy, Debug)]
struct Room {
    index: usize,
    left: Tokens,
    /// Whether a request that goes before is expected to take of it.
    is_wanted: bool,
}

/// Figures that take a pass over all engines or organisations, and are computed at intervals.
#[derive(Clone, Copy, Debug)]
struct Figures {
    as_of_us: MonoTime,
    /// Room for whole requests.
    free: Tokens,
    /// Rate at which requests that end free memory.
    freed_per_us: f64,
    /// Share of an organisation of weight 1, in tokens; infinite if the memory suffices for all.
    level: f64,
    /// Requests without an organisation.
    other: OrganisationSum,
}

/// What is known of the queued requests of all daemons.
///
/// Sums over the other daemons are updated with each message, since hundreds of them report every request that
/// begins or ends.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingOrder {
    /// Weights relative to their mean.
    weights: HashMap<OrganisationKey, f64>,
    peers: HashMap<PeerIndex, PeerMemory>,
    /// Sums over the other daemons.
    waiting: BTreeMap<Rank, Tokens>,
    organisations: HashMap<OrganisationKey, OrganisationSum>,
    /// Sums of this daemon.
    own: HashMap<OrganisationKey, OrganisationSum>,
    /// Whether the known requests differ in rank.
    differ: bool,
    /// Whether they do or did a short time ago.
    pub(super) is_ranked: bool,
    ranked_until_us: MonoTime,
    /// When the last message was sent.
    reported_us: Option<MonoTime>,
    figures: Option<Figures>,
    /// Whether queued requests are to be checked against new figures.
    is_check_due: bool,
}

impl WaitingOrder {
    pub(super) fn set_weights(&mut self, weights: &HashMap<OrganisationKey, f64>) {
        let valid = || weights.iter().filter(|(_, weight)| weight.is_finite() && **weight > 0.0);
        let mean = valid().map(|(_, weight)| weight).sum::<f64>() / valid().count().max(1) as f64;
        self.weights = valid().map(|(organisation, weight)| (*organisation, weight / mean)).collect();
        self.figures = None;
    }

    fn weight(&self, organisation: OrganisationKey) -> f64 {
        self.weights.get(&organisation).copied().unwrap_or(1.0)
    }

    /// Stores what a daemon reports; its usage, which belongs to the same message, follows.
    pub(super) fn receive(
        &mut self,
        now_us: MonoTime,
        peer: PeerIndex,
        report: MemoryReport,
        waiting: Tokens,
    ) {
        self.discount(peer);
        let memory = PeerMemory { report, is_new: true, received_us: now_us, counted: Vec::new() };
        self.peers.insert(peer, memory);
        self.count(peer, waiting);
    }

    /// Drops the report of a daemon.
    pub(super) fn remove(&mut self, peer: PeerIndex) {
        self.discount(peer);
        self.peers.remove(&peer);
    }

    /// Adjusts the sums to new usage of a daemon. The report of an earlier message is dropped: the daemon is gone,
    /// or its requests no longer differ from others.
    pub(super) fn update_usage(&mut self, peer: PeerIndex, waiting: Tokens, is_cleared: bool) {
        let Some(memory) = self.peers.get_mut(&peer) else {
            return;
        };
        if is_cleared || !std::mem::take(&mut memory.is_new) {
            self.remove(peer);
        } else {
            self.discount(peer);
            self.count(peer, waiting);
        }
    }

    fn count(&mut self, peer: PeerIndex, waiting: Tokens) {
        let Some(memory) = self.peers.get_mut(&peer) else {
            return;
        };
        let mut left = waiting;
        let mut classes = memory.report.waiting.clone();
        classes.sort_by_key(|class| (class.is_over_share, class.priority, Reverse(class.oldest_ms)));
        for class in classes {
            let tokens = class.tokens.min(left);
            if tokens == Tokens::ZERO {
                continue;
            }
            left -= tokens;
            let rank = Rank { is_over_share: class.is_over_share, priority: class.priority };
            let age_us = Micros::from(class.oldest_ms).0;
            let arrived_us = MonoTime(memory.received_us.0.saturating_sub(age_us));
            memory.counted.push((Precedence { rank, arrived_us }, tokens));
            *self.waiting.entry(rank).or_default() += tokens;
        }
        for reported in &memory.report.organisations {
            let sum = self.organisations.entry(reported.organisation).or_default();
            sum.held += reported.held;
            sum.waiting += reported.waiting;
        }
    }

    fn discount(&mut self, peer: PeerIndex) {
        let Some(memory) = self.peers.get_mut(&peer) else {
            return;
        };
        for (precedence, counted) in memory.counted.drain(..) {
            let rank = precedence.rank;
            if let Some(sum) = self.waiting.get_mut(&rank) {
                *sum -= counted;
                if *sum == Tokens::ZERO {
                    self.waiting.remove(&rank);
                }
            }
        }
        for reported in &memory.report.organisations {
            if let Some(sum) = self.organisations.get_mut(&reported.organisation) {
                sum.held -= reported.held;
                sum.waiting -= reported.waiting;
                if sum.need() == Tokens::ZERO {
                    self.organisations.remove(&reported.organisation);
                }
            }
        }
    }

    /// Memory that requests at the other daemons wait for, of ranks that `goes_before` selects. `total` is the sum of
    /// their usage; what of it was not reported counts as one class.
    fn waiting_where(&self, total: Tokens, goes_before: impl Fn(Rank) -> bool) -> Tokens {
        let reported = self.waiting.values().fold(Tokens::ZERO, |sum, tokens| sum + *tokens);
        let unreported = total.saturating_sub(reported);
        let ranks = self.waiting.iter().filter(|(rank, _)| goes_before(**rank));
        let selected = ranks.fold(Tokens::ZERO, |sum, (_, tokens)| sum + *tokens);
        if goes_before(Rank::UNREPORTED) { selected + unreported } else { selected }
    }

    /// Memory that requests at the other daemons wait for and that goes before `precedence`.
    fn waiting_ahead(&self, total: Tokens, precedence: Precedence) -> Tokens {
        let reported = self.waiting.values().fold(Tokens::ZERO, |sum, tokens| sum + *tokens);
        let unreported = total.saturating_sub(reported);
        let queued = self.peers.values().flat_map(|memory| &memory.counted);
        let ahead = queued.filter(|(other, _)| *other < precedence);
        let ahead = ahead.fold(Tokens::ZERO, |sum, (_, tokens)| sum + *tokens);
        if Rank::UNREPORTED <= precedence.rank { ahead + unreported } else { ahead }
    }

    /// Queued requests of a daemon that it reported, and the rest of its `waiting` memory.
    fn queued_at(&self, peer: PeerIndex, waiting: Tokens) -> (&[(Precedence, Tokens)], Tokens) {
        let counted: &[(Precedence, Tokens)] = self.peers.get(&peer).map_or(&[], |memory| &memory.counted);
        let reported = counted.iter().fold(Tokens::ZERO, |sum, (_, tokens)| sum + *tokens);
        (counted, waiting.saturating_sub(reported))
    }

    fn sum(&self, organisation: OrganisationKey) -> OrganisationSum {
        let own = self.own.get(&organisation).copied().unwrap_or_default();
        let peers = self.organisations.get(&organisation).copied().unwrap_or_default();
        OrganisationSum { held: own.held + peers.held, waiting: own.waiting + peers.waiting }
    }

    /// Memory of an organisation's requests at all daemons, and its share in tokens; `None` while the memory suffices
    /// for all.
    fn share(&self, organisation: Option<OrganisationKey>) -> Option<(OrganisationSum, f64)> {
        let figures = self.figures.filter(|figures| figures.level.is_finite())?;
        Some(match organisation {
            Some(organisation) => (self.sum(organisation), figures.level * self.weight(organisation)),
            None => (figures.other, figures.level),
        })
    }

    fn is_over_share(&self, organisation: Option<OrganisationKey>) -> bool {
        self.share(organisation)
            .is_some_and(|(sum, share)| sum.held.0 as f64 >= share && sum.need().0 as f64 > share)
    }

    /// Level of the max-min fair division of `capacity`, which is what all requests hold and the room left.
    fn level(&self, capacity: Tokens, other: OrganisationSum) -> f64 {
        let own_only = self.own.keys().filter(|organisation| !self.organisations.contains_key(organisation));
        let organisations = self.organisations.keys().chain(own_only);
        let claim = |organisation: &OrganisationKey| Claim {
            need: self.sum(*organisation).need().0 as f64,
            weight: self.weight(*organisation),
        };
        let mut claims: Vec<Claim> = organisations.map(claim).collect();
        if claims.is_empty() {
            return f64::INFINITY;
        }
        claims.push(Claim { need: other.need().0 as f64, weight: 1.0 });
        max_min_level(capacity.0 as f64, &claims)
    }
}

impl EnginePool {
    /// Rank of a request among those that are in time: the one that the other daemons know.
    ///
    /// An organisation that surges is beyond its share at one moment and within it at the next. If a daemon acted on
    /// the better rank before it reported it, requests of that organisation at several daemons would each go before
    /// all others, and fill the same engine.
    pub(super) fn rank(&self, open: &OpenRequest) -> Rank {
        match open.reported {
            Some(reported) if !open.has_started => reported.rank,
            Some(_) | None => self.current_rank(open),
        }
    }

    fn current_rank(&self, open: &OpenRequest) -> Rank {
        if open.has_started {
            return Rank::STARTED;
        }
        let is_over_share = self.order.is_over_share(open.demand.organisation);
        Rank { is_over_share, priority: open.demand.priority }
    }

    /// Whether the other daemons take a request into account. Until then they place theirs without regard to it.
    fn is_known(now_us: MonoTime, open: &OpenRequest) -> bool {
        open.has_started || open.reported.is_some_and(|reported| now_us >= reported.first_us + DELIVERY_MS)
    }

    /// Stores the report of another daemon, unless its figures are not possible.
    pub(super) fn receive_memory(&mut self, now_us: MonoTime, peer: PeerIndex, report: MemoryReport) {
        let memory = self.settings.memory_tokens.0;
        let held_max = Tokens(self.engines.len() as u64 * memory * HELD_FACTOR_MAX);
        let waiting_max = Tokens(self.settings.waiting_max as u64 * memory);
        if report.is_plausible(held_max, waiting_max) {
            self.order.receive(now_us, peer, report, self.peers.waiting_at(peer));
        } else {
            self.order.remove(peer);
        }
    }

    /// Updates the sums of this daemon and, at intervals, the shares.
    pub(super) fn refresh_order(&mut self, now_us: MonoTime) {
        self.order.own.clear();
        for open in self.open.values() {
            let Some(organisation) = open.demand.organisation else {
                continue;
            };
            let sum = self.order.own.entry(organisation).or_default();
            match open.stage {
                Stage::Waiting => sum.waiting += open.final_tokens,
                Stage::Reserving { .. } | Stage::Prefilling { .. } | Stage::Decoding { .. } => {
                    sum.held += open.final_tokens;
                }
            }
        }
        self.order.differ = self.are_ranks_different();
        if self.order.differ {
            self.order.ranked_until_us = now_us + RANKED_TTL_MS;
        }
        self.order.is_ranked = now_us < self.order.ranked_until_us;
        if !self.order.is_ranked {
            self.order.figures = None;
        } else if self.order.figures.is_none_or(|figures| now_us >= figures.as_of_us + FIGURES_TTL_MS) {
            self.order.figures = Some(self.order_figures(now_us));
            self.order.is_check_due = true;
        }
    }

    /// Whether the known requests differ in rank: an organisation is known, or several priorities wait.
    fn are_ranks_different(&self) -> bool {
        if !self.order.own.is_empty() || !self.order.organisations.is_empty() {
            return true;
        }
        let waiting = self.open.values().filter(|open| open.stage == Stage::Waiting && !open.has_started);
        let own = waiting.map(|open| open.demand.priority);
        let mut priorities = own.chain(self.order.waiting.keys().map(|rank| rank.priority));
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    fn order_figures(&self, now_us: MonoTime) -> Figures {
        let limit = self.memory_limit();
        let (mut free, mut usable, mut held, mut count) = (Tokens::ZERO, Tokens::ZERO, Tokens::ZERO, 0_u64);
        let decode_engines = self.engines.iter().filter(|engine| engine.accepts_decodes(now_us));
        for decode_engine in decode_engines {
            let peak = decode_engine.peak(now_us, &self.fleet_stats, None);
            let room = self.whole_requests(limit.saturating_sub(peak));
            free += room;
            held += decode_engine.final_tokens();
            count += 1;
            // Memory of an engine without a free slot is no room, and does not count as capacity.
            if decode_engine.has_slot(now_us) {
                usable += room;
            }
        }
        let all = self.order.own.values().chain(self.order.organisations.values());
        let known = all.fold(OrganisationSum::default(), |sum, each| OrganisationSum {
            held: sum.held + each.held,
            waiting: sum.waiting + each.waiting,
        });
        let waiting = self.waiting_tokens(now_us) + self.peers.waiting();
        let other = OrganisationSum {
            held: held.saturating_sub(known.held),
            waiting: waiting.saturating_sub(known.waiting),
        };
        Figures {
            as_of_us: now_us,
            free,
            freed_per_us: (count * limit.0) as f64 / self.typical_hold_us(),
            level: self.order.level(held + usable, other),
            other,
        }
    }

    /// Memory that goes before a request that arrives now: what waits in the same or a better class, at this daemon
    /// and all others. A request of high priority is not refused because of what waits with a lower one.
    pub(super) fn waiting_before(&self, now_us: MonoTime, open: &OpenRequest) -> Tokens {
        if !self.order.is_ranked {
            return self.waiting_tokens(now_us) + self.peers.waiting();
        }
        let backlog = self.least_backlog(now_us);
        if !open.has_started && self.is_late(now_us, open, backlog) {
            return self.waiting_tokens(now_us) + self.peers.waiting();
        }
        let rank = self.rank(open);
        let own = self.waiting.iter().map(|request_id| &self.open[request_id]);
        let ahead = own.filter(|other| self.rank(other) <= rank && !self.is_late(now_us, other, backlog));
        let ahead = ahead.fold(Tokens::ZERO, |sum, other| sum + other.final_tokens);
        ahead + self.order.waiting_where(self.peers.waiting(), |other| other <= rank)
    }

    /// Chooses one of the `eligible` decode engines for a request while others wait at other daemons.
    ///
    /// A burst takes all memory, and what becomes free is wanted by requests of several ranks at hundreds of daemons,
    /// each of which learns of the others' choices one message interval late. If each daemon took what suits its own
    /// request, urgent and old requests would wait behind others, and an engine would be filled by several daemons at
    /// once. So each daemon gives the known room to the known requests in the order of their precedence, and takes for its
    /// own what is left. All daemons compute nearly the same. What the others do not need is used.
    pub(super) fn choose_in_order(
        &self,
        now_us: MonoTime,
        open: &OpenRequest,
        is_late: bool,
        eligible: &[usize],
    ) -> Option<usize> {
        if !open.has_started && now_us < self.reportable_us() {
            return None;
        }
        let own = Precedence { rank: self.rank(open), arrived_us: open.arrived_us };
        let is_known = Self::is_known(now_us, open);
        let goes_before = |other: Precedence| is_late || !is_known || other < own;
        let (mut ahead, mut unreported) = (Vec::new(), Vec::new());
        for (peer, node_hash) in self.peers.contenders() {
            let (queued, rest) = self.order.queued_at(peer, self.peers.waiting_at(peer));
            let queued = queued.iter().filter(|(precedence, _)| goes_before(*precedence));
            ahead.extend(queued.map(|(precedence, tokens)| (*precedence, node_hash, *tokens)));
            if rest > Tokens::ZERO && (is_late || Rank::UNREPORTED <= own.rank) {
                unreported.push(node_hash);
            }
        }
        ahead.sort_unstable();
        let left = self.room_left(now_us, &ahead);
        let is_own = |index: usize| {
            let engine = self.engines[index].node_hash;
            let own = self.node_hash.rendezvous_hash(engine);
            unreported.iter().all(|contender| own < contender.rendezvous_hash(engine))
        };
        let is_free = |index: &usize| {
            let room = left.iter().find(|room| room.index == *index);
            room.is_some_and(|room| !room.is_wanted || room.left >= open.final_tokens) && is_own(*index)
        };
        let free = eligible.iter().copied().filter(is_free);
        free.min_by_key(|index| self.node_hash.rendezvous_hash(self.engines[*index].node_hash))
    }

    /// When a placement can be reported at once: one message interval after the previous report.
    pub(super) fn reportable_us(&self) -> MonoTime {
        let interval_us =
            (self.peers.count() as u64 * MESSAGE_INTERVAL_PER_DAEMON_US).min(MESSAGE_INTERVAL_MAX_US);
        self.order.reported_us.map_or(MonoTime::default(), |reported_us| reported_us + Micros(interval_us))
    }

    /// Room at the decode engines that the requests `ahead` leave, each at the engine that its daemon prefers.
    fn room_left(&self, now_us: MonoTime, ahead: &[(Precedence, NodeHash, Tokens)]) -> Vec<Room> {
        let limit = self.memory_limit();
        let usable = self.engines.iter().enumerate().filter(|(_, engine)| {
            engine.role == Role::Decode && !engine.is_full(now_us) && engine.has_slot(now_us)
        });
        let mut rooms: Vec<Room> = usable
            .map(|(index, engine)| Room {
                index,
                left: limit.saturating_sub(engine.peak(now_us, &self.fleet_stats, None)),
                is_wanted: false,
            })
            .collect();
        // Requests differ in size by about two; a gap of less than half of the typical size is of use to few.
        let unit = Tokens((self.typical_final_tokens() / 2).max(1));
        for (precedence, node_hash, tokens) in ahead {
            let is_strict = now_us >= precedence.arrived_us + PASSED_OVER_MS;
            let usable = rooms.iter_mut().filter(|room| room.left >= unit);
            let preferred = usable.min_by_key(|room| {
                let preference = node_hash.rendezvous_hash(self.engines[room.index].node_hash);
                let missing = tokens.saturating_sub(room.left);
                (missing, preference)
            });
            let Some(room) = preferred.filter(|room| !is_strict || room.left >= *tokens) else {
                for room in &mut rooms {
                    room.is_wanted = true;
                    room.left = Tokens::ZERO;
                }
                break;
            };
            room.left = room.left.saturating_sub(*tokens);
            room.is_wanted = true;
        }
        rooms
    }

    /// Queued requests that will not be placed in time: the memory that becomes free in the time left to them is less
    /// than what goes before them. Refused at once, their callers can retry elsewhere or later; waiting only delays
    /// the refusal.
    pub(super) fn take_unplaceable(
        &mut self,
        now_us: MonoTime,
        backlog: Option<PrefillBacklog>,
    ) -> Vec<RequestId> {
        let Some(figures) = self.order.figures.filter(|_| std::mem::take(&mut self.order.is_check_due))
        else {
            return Vec::new();
        };
        let in_time = self.waiting.iter().map(|request_id| (request_id, &self.open[request_id]));
        let in_time = in_time.filter(|(_, open)| open.has_started || !self.is_late(now_us, open, backlog));
        let mut in_order: Vec<(Rank, MonoTime, RequestId)> =
            in_time.map(|(request_id, open)| (self.rank(open), open.arrived_us, *request_id)).collect();
        in_order.sort_unstable();
        let mut unplaceable = Vec::new();
        let mut own_ahead = Tokens::ZERO;
        for (rank, _, request_id) in in_order {
            let open = &self.open[&request_id];
            let precedence = Precedence { rank, arrived_us: open.arrived_us };
            let others = self.order.waiting_ahead(self.peers.waiting(), precedence);
            let missing = (own_ahead + others + open.final_tokens).saturating_sub(figures.free);
            let wait_us = missing.0 as f64 / figures.freed_per_us.max(f64::MIN_POSITIVE);
            let needed_ms =
                open.age_ms(now_us) + self.expected_prefill_ms(&open.demand, backlog) + START_MARGIN_MS;
            let left_us = Micros::from(open.demand.target_ms.saturating_sub(needed_ms)).0 as f64;
            // Engines of one version free their memory at another rate.
            let is_checked = !open.has_started
                && open.demand.binding == VersionBinding::Any
                && open.attempts.outcome() == Outcome::NotRun;
            if is_checked && wait_us > left_us {
                unplaceable.push(request_id);
            } else {
                own_ahead += open.final_tokens;
            }
        }
        unplaceable
    }

    /// Time until the share of an organisation that holds more is free: what it holds beyond the share, at the rate at
    /// which its own requests end.
    pub(super) fn share_wait_us(&self, organisation: Option<OrganisationKey>) -> Micros {
        let Some((sum, share)) = self.order.share(organisation).filter(|(sum, _)| sum.held > Tokens::ZERO)
        else {
            return Micros::ZERO;
        };
        let beyond = (1.0 - share / sum.held.0 as f64).max(0.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        Micros((self.typical_hold_us() * beyond) as u64)
    }

    /// Memory that this daemon's requests hold and wait for; `None` where nothing distinguishes them.
    pub fn memory_report(&mut self, now_us: MonoTime) -> Option<MemoryReport> {
        let mut organisations: HashMap<OrganisationKey, OrganisationSum> = HashMap::new();
        for open in self.open.values() {
            let Some(organisation) = open.demand.organisation else {
                continue;
            };
            let sum = organisations.entry(organisation).or_default();
            if open.stage == Stage::Waiting {
                sum.waiting += open.final_tokens;
            } else {
                sum.held += open.final_tokens;
            }
        }
        self.order.reported_us = Some(now_us);
        self.record_reported_ranks(now_us);
        let waiting = self.waiting_classes(now_us);
        let is_default = |class: &WaitingClass| class.priority == UNREPORTED_PRIORITY;
        if organisations.is_empty() && !self.order.differ && waiting.iter().all(is_default) {
            return None;
        }
        let mut organisations: Vec<OrganisationMemory> = organisations
            .into_iter()
            .map(|(organisation, OrganisationSum { held, waiting })| OrganisationMemory {
                organisation,
                held,
                waiting,
            })
            .collect();
        let largest_first = |memory: &OrganisationMemory| {
            (std::cmp::Reverse(memory.held + memory.waiting), memory.organisation)
        };
        organisations.sort_unstable_by_key(largest_first);
        organisations.truncate(REPORTED_ORGANISATIONS_MAX);
        Some(MemoryReport { organisations, waiting })
    }

    fn record_reported_ranks(&mut self, now_us: MonoTime) {
        for index in 0..self.waiting.len() {
            let request_id = self.waiting[index];
            let rank = self.current_rank(&self.open[&request_id]);
            if let Some(open) = self.open.get_mut(&request_id) {
                let first_us = open.reported.map_or(now_us, |reported| reported.first_us);
                open.reported = Some(ReportedRank { rank, first_us });
            }
        }
    }

    /// Queued requests by rank, best first. If there are too many ranks, the last ones are reported as the worst of
    /// them: nobody keeps room for a request that would yield.
    fn waiting_classes(&self, now_us: MonoTime) -> Vec<WaitingClass> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let backlog = self.least_backlog(now_us);
        let waiting = self.waiting.iter().map(|request_id| &self.open[request_id]);
        let in_time = waiting.filter(|open| !self.is_late(now_us, open, backlog));
        let mut in_order: Vec<(Precedence, Tokens)> = in_time
            .map(|open| {
                let rank = self.rank(open);
                (Precedence { rank, arrived_us: open.arrived_us }, open.final_tokens)
            })
            .collect();
        in_order.sort_unstable();
        let mut classes: Vec<WaitingClass> = in_order
            .into_iter()
            .map(|(Precedence { rank, arrived_us }, tokens)| WaitingClass {
                is_over_share: rank.is_over_share,
                priority: rank.priority,
                oldest_ms: now_us.since(arrived_us).to_millis_ceil(),
                tokens,
            })
            .collect();
        while classes.len() > CLASSES_MAX {
            let has_rank_of_previous = |index: &usize| {
                let (previous, class) = (&classes[index - 1], &classes[*index]);
                (previous.is_over_share, previous.priority) == (class.is_over_share, class.priority)
            };
            let index = (1..classes.len()).rev().find(has_rank_of_previous).unwrap_or(classes.len() - 1);
            let merged = classes.remove(index);
            let previous = &mut classes[index - 1];
            *previous = WaitingClass {
                oldest_ms: previous.oldest_ms.max(merged.oldest_ms),
                tokens: previous.tokens + merged.tokens,
                ..merged
            };
        }
        classes
    }
}

/// Maximum number of classes in a report.
const CLASSES_MAX: usize = 8;

/// Priority of requests that daemons of earlier versions do not report by rank: that of routes that set none.
const UNREPORTED_PRIORITY: u8 = 1;

/// A daemon that reports more held memory than this multiple of the memory of all engines is not believed. Requests
/// count with their final sizes, which together exceed the memory.
const HELD_FACTOR_MAX: u64 = 4;

/// A daemon that reports an older request is not believed: callers have left by then.
const AGE_MAX_MS: Millis = Millis(3_600_000);

/// Time for which shares and rates are used: they take a pass over all engines and organisations, and a message of
/// another daemon arrives every millisecond.
const FIGURES_TTL_MS: Millis = Millis(20);

/// Time after which a message has reached the other daemons; they read messages in batches.
const DELIVERY_MS: Millis = Millis(5);

/// Time for which requests are placed in order after the last that differ. In a burst of several priorities, there are
/// moments at which those of one wait alone; if they were placed by hash then, old ones would be passed over.
const RANKED_TTL_MS: Millis = Millis(5_000);

/// Least interval between two messages of a daemon, per recipient.
const MESSAGE_INTERVAL_PER_DAEMON_US: u64 = 250;

/// Longest interval between two messages of a daemon.
const MESSAGE_INTERVAL_MAX_US: u64 = 700_000;

/// Age from which a request that finds no engine with enough room is not passed over by smaller ones; large requests would
/// wait for all of their target otherwise.
const PASSED_OVER_MS: Millis = Millis(50);
