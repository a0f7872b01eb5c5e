//! Order of the requests that wait for engines at all daemons.
//!
//! A burst takes more than the memory of the decode engines, and requests of several priorities and organisations
//! wait at hundreds of daemons, few at each. If each daemon ordered only its own, a request of low priority would
//! be placed at one daemon while an urgent one waits at another, and an organisation that surges would take the
//! memory that the others need. So daemons report what waits by rank, and each leaves to better-ranked requests of
//! the others as much room as they need.
//!
//! Where all known requests have one rank, nothing here applies.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::EnginePool;
use super::events::{Role, VersionBinding};
use super::open_request::{OpenRequest, Stage};
use super::peers::PeerIndex;
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
    /// What of it is part of the sums: no more than the daemon's queued memory.
    counted: Vec<(Rank, Tokens)>,
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
    pub(super) is_ranked: bool,
    figures: Option<Figures>,
    /// Organisations of this daemon that were beyond their share, and when last. Requests without one are `None`.
    over_share: HashMap<Option<OrganisationKey>, MonoTime>,
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
    pub(super) fn receive(&mut self, peer: PeerIndex, report: MemoryReport, waiting: Tokens) {
        self.discount(peer);
        let memory = PeerMemory { report, is_new: true, counted: Vec::new() };
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
        classes.sort_by_key(|class| (class.is_over_share, class.priority));
        for class in classes {
            let tokens = class.tokens.min(left);
            if tokens == Tokens::ZERO {
                continue;
            }
            left -= tokens;
            let rank = Rank { is_over_share: class.is_over_share, priority: class.priority };
            memory.counted.push((rank, tokens));
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
        for (rank, counted) in memory.counted.drain(..) {
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

    /// Whether a daemon with `waiting` queued memory has requests of `rank` or a better one.
    fn contends(&self, peer: PeerIndex, waiting: Tokens, rank: Rank) -> bool {
        let counted: &[(Rank, Tokens)] = self.peers.get(&peer).map_or(&[], |memory| &memory.counted);
        let reported = counted.iter().fold(Tokens::ZERO, |sum, (_, tokens)| sum + *tokens);
        counted.iter().any(|(counted_rank, _)| *counted_rank <= rank)
            || (waiting > reported && Rank::UNREPORTED <= rank)
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

    fn refresh_over_share(&mut self, now_us: MonoTime) {
        self.over_share.retain(|_, since_us| now_us < *since_us + SETTLING_MS);
        let organisations: Vec<Option<OrganisationKey>> =
            self.own.keys().copied().map(Some).chain([None]).collect();
        for organisation in organisations {
            if self.is_over_share(organisation) {
                self.over_share.insert(organisation, now_us);
            }
        }
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
    /// Rank of a request among those that are in time.
    ///
    /// A request whose organisation was beyond its share a moment ago ranks as if it still were: until the other
    /// daemons know that it no longer is, they do not count with it, and would place requests at the same engine.
    pub(super) fn rank(&self, open: &OpenRequest) -> Rank {
        let rank = self.reported_rank(open);
        let was_over_share = self.order.over_share.contains_key(&open.demand.organisation);
        Rank { is_over_share: rank.is_over_share || (!open.has_started && was_over_share), ..rank }
    }

    /// Rank of a request without regard to what other daemons know of it.
    fn reported_rank(&self, open: &OpenRequest) -> Rank {
        if open.has_started {
            return Rank::STARTED;
        }
        let is_over_share = self.order.is_over_share(open.demand.organisation);
        Rank { is_over_share, priority: open.demand.priority }
    }

    /// Stores the report of another daemon, unless its figures are not possible.
    pub(super) fn receive_memory(&mut self, peer: PeerIndex, report: MemoryReport) {
        let memory = self.settings.memory_tokens.0;
        let held_max = Tokens(self.engines.len() as u64 * memory * HELD_FACTOR_MAX);
        let waiting_max = Tokens(self.settings.waiting_max as u64 * memory);
        if report.is_plausible(held_max, waiting_max) {
            self.order.receive(peer, report, self.peers.waiting_at(peer));
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
        self.order.is_ranked = self.are_ranks_different();
        if !self.order.is_ranked {
            self.order.figures = None;
        } else if self.order.figures.is_none_or(|figures| now_us >= figures.as_of_us + FIGURES_TTL_MS) {
            self.order.figures = Some(self.order_figures(now_us));
            self.order.is_check_due = true;
        }
        self.order.refresh_over_share(now_us);
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

    /// Decode engines among `eligible` that a request may take while better-ranked requests wait at other daemons: as
    /// much room as those need is left to them, and what they cannot use is not kept from anyone.
    pub(super) fn leaving_room(
        &self,
        now_us: MonoTime,
        open: &OpenRequest,
        is_late: bool,
        mut eligible: Vec<usize>,
    ) -> Vec<usize> {
        if !self.order.is_ranked || open.has_started || eligible.is_empty() {
            return eligible;
        }
        let rank = self.rank(open);
        let waiting = self.peers.waiting();
        let better = if is_late { waiting } else { self.order.waiting_where(waiting, |other| other < rank) };
        if better > Tokens::ZERO {
            let kept = self.first_with_room(now_us, better);
            eligible.retain(|index| !kept.contains(index));
        }
        eligible
    }

    /// The decode engines that have room for `tokens`, in an order that is the same at all daemons.
    ///
    /// Better-ranked requests that do not get an engine by the rendezvous hash of all daemons take one of these, and
    /// worse-ranked ones leave them alone. If the two could choose the same engine, it would outgrow its memory: in
    /// simulations without this, engines took up to a third more than they have.
    pub(super) fn first_with_room(&self, now_us: MonoTime, tokens: Tokens) -> Vec<usize> {
        // Requests differ in size by about two; a gap of less than half of the typical size is of use to few.
        let unit = (self.typical_final_tokens() / 2).max(1);
        let limit = self.memory_limit();
        let is_usable = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Decode && !engine.is_full(now_us) && engine.has_slot(now_us)
        };
        let mut usable: Vec<usize> = (0..self.engines.len()).filter(is_usable).collect();
        usable.sort_unstable_by_key(|&index| self.engines[index].node_hash);
        let mut first = Vec::new();
        let mut found = Tokens::ZERO;
        for index in usable {
            if found >= tokens {
                break;
            }
            let room = limit.saturating_sub(self.engines[index].peak(now_us, &self.fleet_stats, None));
            if room.0 >= unit {
                found += Tokens(room.0 / unit * unit);
                first.push(index);
            }
        }
        first
    }

    /// Whether the other daemon has queued requests of `rank` or a better one.
    pub(super) fn contends(&self, peer: PeerIndex, rank: Rank) -> bool {
        self.order.contends(peer, self.peers.waiting_at(peer), rank)
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
            let others = self.order.waiting_where(self.peers.waiting(), |other| other <= rank);
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
    pub fn memory_report(&self, now_us: MonoTime) -> Option<MemoryReport> {
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
        let waiting = self.waiting_classes(now_us);
        let is_default = |class: &WaitingClass| class.priority == UNREPORTED_PRIORITY;
        if organisations.is_empty() && !self.order.is_ranked && waiting.iter().all(is_default) {
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

    /// Queued requests by rank, best first. If there are too many ranks, the last ones are reported as the worst of
    /// them: nobody keeps room for a request that would yield.
    fn waiting_classes(&self, now_us: MonoTime) -> Vec<WaitingClass> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let backlog = self.least_backlog(now_us);
        let mut by_rank: BTreeMap<Rank, (Millis, Tokens)> = BTreeMap::new();
        for open in self.waiting.iter().map(|request_id| &self.open[request_id]) {
            if self.is_late(now_us, open, backlog) {
                continue;
            }
            let (oldest_ms, tokens) = by_rank.entry(self.reported_rank(open)).or_default();
            *oldest_ms = (*oldest_ms).max(now_us.since(open.arrived_us).to_millis_ceil());
            *tokens += open.final_tokens;
        }
        let mut classes: Vec<WaitingClass> = by_rank
            .into_iter()
            .map(|(rank, (oldest_ms, tokens))| WaitingClass {
                is_over_share: rank.is_over_share,
                priority: rank.priority,
                oldest_ms,
                tokens,
            })
            .collect();
        while classes.len() > CLASSES_MAX {
            if let (Some(worst), Some(next)) = (classes.pop(), classes.last_mut()) {
                *next = WaitingClass {
                    oldest_ms: next.oldest_ms.max(worst.oldest_ms),
                    tokens: next.tokens + worst.tokens,
                    ..worst
                };
            }
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

/// Time after which the other daemons know the rank of a request: the interval of messages in a fleet of 400.
const SETTLING_MS: Millis = Millis(100);
