//! Spill-over of requests between data centres in large fleets.
//!
//! In a fleet in which messages stay within a data centre, daemons know what the engines of their own one hold. If the
//! callers of one data centre move to another, its engines are full while those of the others have room. Without
//! knowledge of that room, all daemons of the full data centre would switch over at the same moment and overfill
//! engines whose daemons do not know of it. So data centres tell each other their room and their queues over the
//! links between them, each daemon spills over its part of what waits, and the daemons of the other data centre learn
//! what its engines hold for others.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::EnginePool;
use super::engine::Engine;
use super::events::{EngineAction, EngineUsage, ListedEngine, Role, VersionBinding};
use super::open_request::OpenRequest;
use super::peers::{NodeHash, PeerIndex};
use super::placement::LEAST_FULL_DIVISOR;
use crate::ids::{DataCentreId, HostId, RequestId};
use crate::units::{Millis, MonoTime, Tokens};

/// Room and queue of the engines of one service in one data centre.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreLoad {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Free memory of its decode engines for whole requests.
    pub room: Tokens,
    /// Memory that waits for them at its daemons.
    pub waiting: Tokens,
    /// Its decode engines that have room for a further request.
    pub open: OpenEngines,
    /// How long ago this was so.
    pub age_ms: Millis,
}

/// Decode engines of a data centre that have room for a request of another one. Bit n is for the engines that are at n,
/// n + 64 and so on among all its listed engines by name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct OpenEngines {
    /// Those with room for one and a half requests of typical size that its own daemons do not choose next.
    pub for_one: u64,
    /// Those with room for two, one of which is left to its own daemons.
    pub for_two: u64,
}

/// What a daemon of another data centre uses of the engines of the reporting daemon's one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Guest {
    /// Host of the daemon.
    pub host: HostId,
    /// Its usage.
    pub engines: Vec<EngineUsage>,
}

/// What a daemon tells of its own data centre and of others, for one service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreReport {
    /// Load of its own data centre, and loads that it has received over a link since its previous report.
    pub loads: Vec<DataCentreLoad>,
    /// Usage by daemons of other data centres that send it their messages.
    pub guests: Vec<Guest>,
}

/// Beginning or end of spill-over at a daemon, and its current extent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpillOver {
    /// Whether requests spill over.
    pub is_active: bool,
    /// Data centre that can spare most.
    pub target: Option<DataCentreId>,
    /// Memory that waits at the daemons of the own data centre.
    pub waiting: Tokens,
    /// Room of the engines of the own data centre.
    pub room: Tokens,
    /// Part of what waits that spills over, in thousandths.
    pub share_per_1000: u64,
}

/// Load of another data centre as last received.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    as_of_us: MonoTime,
    room: Tokens,
    waiting: Tokens,
    open: OpenEngines,
    /// Whether it came over a link and is to be passed on.
    is_unsent: bool,
}

/// Figures that take a pass over the engines, and are computed at intervals.
#[derive(Clone, Debug)]
struct Plan {
    as_of_us: MonoTime,
    room: Tokens,
    waiting: Tokens,
    open: OpenEngines,
    /// Part of what waits that spills over.
    share: f64,
    /// What the other data centres can spare.
    spare: Vec<(DataCentreId, Tokens)>,
}

impl Plan {
    fn total_spare(&self) -> Tokens {
        self.spare.iter().fold(Tokens::ZERO, |sum, (_, spare)| sum + *spare)
    }

    fn main_target(&self) -> Option<DataCentreId> {
        self.spare.iter().max_by_key(|(_, spare)| *spare).map(|(name, _)| name.clone())
    }
}

/// Part of `waiting` that spills over: what waits beyond the own room, but no more than others can spare.
fn spill_share(waiting: Tokens, room: Tokens, spare: Tokens) -> f64 {
    let spilling = waiting.saturating_sub(room).min(spare);
    if spilling == Tokens::ZERO { 0.0 } else { spilling.0 as f64 / waiting.0 as f64 }
}

/// What is known of the other data centres.
#[derive(Clone, Debug, Default)]
pub(super) struct DataCentreLoads {
    /// Own data centre; `None` where spill-over is not used.
    own: Option<DataCentreId>,
    known: BTreeMap<DataCentreId, KnownLoad>,
    /// Daemons of other data centres that send their messages to this one.
    linked: Vec<(PeerIndex, HostId)>,
    /// Daemons of other data centres known through daemons of this one: through which, and when last.
    relayed: HashMap<PeerIndex, (PeerIndex, MonoTime)>,
    /// Whether the daemons of the own data centre need to learn of new usage by daemons of others.
    is_guest_report_due: bool,
    /// Position of each listed engine in its data centre, by name.
    positions: HashMap<usize, usize>,
    plan: Option<Plan>,
    /// When requests last spilled over, and where to.
    last_active: Option<(MonoTime, Option<DataCentreId>)>,
    /// Whether the beginning of spill-over was reported.
    is_begun: bool,
}

impl DataCentreLoads {
    /// Whether a daemon of another data centre sends its messages to this one.
    pub(super) fn is_linked(&self, peer: PeerIndex) -> bool {
        self.linked.iter().any(|(linked, _)| *linked == peer)
    }

    /// Whether the own data centre goes before all others that are short of room, for an engine of `target`. Daemons of
    /// two data centres would otherwise choose the same engine before its own daemons know of either.
    fn goes_first(&self, now_us: MonoTime, target: &DataCentreId, engine: NodeHash) -> bool {
        let Some(own) = &self.own else {
            return false;
        };
        let is_short = |name: &&DataCentreId| {
            *name != target && self.fresh(now_us, name).is_some_and(|load| load.waiting > load.room)
        };
        let order = |name: &DataCentreId| engine.rendezvous_hash(NodeHash::of_data_centre(name));
        self.known.keys().filter(is_short).all(|other| order(own) < order(other))
    }

    fn fresh(&self, now_us: MonoTime, data_centre: &DataCentreId) -> Option<&KnownLoad> {
        self.known.get(data_centre).filter(|load| now_us < load.as_of_us + LOAD_TTL_MS)
    }
}

impl EnginePool {
    /// Sets the data centre of this daemon. Without it nothing spills over by load.
    pub fn set_data_centre(&mut self, data_centre: DataCentreId) {
        self.data_centres.own = Some(data_centre);
    }

    /// Own data centre, if daemons of other data centres send no messages to most daemons here.
    fn own_data_centre(&self) -> Option<&DataCentreId> {
        self.data_centres.own.as_ref().filter(|_| self.settings.prefer_local)
    }

    /// Records the positions of the listed engines, which are the same at all daemons with the same list.
    pub(super) fn set_positions(&mut self, list: &[ListedEngine]) {
        let mut names: Vec<_> = list.iter().map(|listed| (&listed.data_centre, &listed.server)).collect();
        names.sort_unstable();
        let (mut previous, mut position) = (None, 0);
        self.data_centres.positions.clear();
        for (data_centre, server) in names {
            position = if previous == Some(data_centre) { position + 1 } else { 0 };
            previous = Some(data_centre);
            if let Some(&index) = self.index_by_name.get(server) {
                self.data_centres.positions.insert(index, position);
            }
        }
    }

    /// Bit of an engine in [`OpenEngines`].
    fn open_bit(&self, index: usize) -> u64 {
        self.data_centres.positions.get(&index).map_or(0, |position| 1 << (position % OPEN_BITS))
    }

    /// Whether an engine got a request from the own data centre that a load of its data centre may not include.
    fn is_placed_since(&self, index: usize, load: &KnownLoad) -> bool {
        let placed_us = self.engines[index].last_placed_us;
        placed_us.is_some_and(|placed_us| load.as_of_us < placed_us + GUEST_DELAY_MS)
    }

    /// Memory that the own data centre took at engines of another since the load of that was stated.
    fn placed_since(&self, data_centre: &DataCentreId, load: &KnownLoad) -> Tokens {
        let is_placed = |(index, engine): &(usize, &Engine)| {
            engine.data_centre == *data_centre && self.is_placed_since(*index, load)
        };
        let placed = self.engines.iter().enumerate().filter(is_placed).count() as u64;
        Tokens(placed * self.typical_final_tokens())
    }

    /// What to tell the daemons of the own data centre and of others; `None` where spill-over is not used.
    pub fn data_centre_report(&mut self, now_us: MonoTime) -> Option<DataCentreReport> {
        let own = self.own_data_centre()?.clone();
        self.refresh_stats(now_us);
        let plan = self.data_centres.plan.as_ref()?;
        let age_ms = |as_of_us: MonoTime| now_us.since(as_of_us).to_millis_ceil();
        let mut loads = vec![DataCentreLoad {
            data_centre: own,
            room: plan.room,
            waiting: plan.waiting,
            open: plan.open,
            age_ms: age_ms(plan.as_of_us),
        }];
        for (data_centre, load) in &mut self.data_centres.known {
            if std::mem::take(&mut load.is_unsent) {
                loads.push(DataCentreLoad {
                    data_centre: data_centre.clone(),
                    room: load.room,
                    waiting: load.waiting,
                    open: load.open,
                    age_ms: age_ms(load.as_of_us),
                });
            }
        }
        Some(DataCentreReport { loads, guests: self.guests(now_us) })
    }

    fn guests(&self, now_us: MonoTime) -> Vec<Guest> {
        let tokens_per_ms = self.fleet_stats.decode_rate();
        let guest = |(peer, host): &(PeerIndex, HostId)| {
            let local = self.peers.engines(*peer).iter().filter(|index| self.engines[**index].is_local);
            let engines: Vec<EngineUsage> = local
                .filter_map(|index| self.engines[*index].peer_usage(now_us, *peer, tokens_per_ms))
                .collect();
            (!engines.is_empty()).then(|| Guest { host: host.clone(), engines })
        };
        self.data_centres.linked.iter().filter_map(guest).take(GUESTS_MAX).collect()
    }

    /// Applies the report of the daemon on `host`. The usage of the same message follows.
    ///
    /// From another data centre only its own load counts, and the own daemons are told of it once; from the own data
    /// centre, loads of the others and what their daemons use of the engines here.
    pub(super) fn receive_data_centre(
        &mut self,
        now_us: MonoTime,
        host: HostId,
        data_centre: &DataCentreId,
        report: DataCentreReport,
    ) {
        let Some(own) = self.own_data_centre().cloned() else {
            return;
        };
        let peer = self.peers.index_of(host.clone());
        let is_remote = *data_centre != own;
        if is_remote && !self.data_centres.is_linked(peer) {
            self.data_centres.linked.push((peer, host));
            self.data_centres.relayed.remove(&peer);
        }
        for load in report.loads {
            let is_expected = load.data_centre != own && (!is_remote || load.data_centre == *data_centre);
            if is_expected && self.is_plausible(&load) {
                self.receive_load(now_us, load, is_remote);
            }
        }
        if !is_remote {
            self.receive_guests(now_us, peer, report.guests);
        }
    }

    /// A data centre that states more room than its engines have would draw the requests of all others.
    fn is_plausible(&self, load: &DataCentreLoad) -> bool {
        let engines = self.engines.iter().enumerate().filter(|(index, engine)| {
            engine.data_centre == load.data_centre && self.data_centres.positions.contains_key(index)
        });
        let memory_max = (engines.count() as u64).saturating_mul(self.settings.memory_tokens.0);
        load.room.0 <= memory_max && load.age_ms < LOAD_TTL_MS
    }

    fn receive_load(&mut self, now_us: MonoTime, load: DataCentreLoad, is_unsent: bool) {
        let as_of_us = MonoTime(now_us.0.saturating_sub(load.age_ms.0 * MICROS_PER_MS));
        let known = self.data_centres.known.get(&load.data_centre);
        if known.is_some_and(|known| known.as_of_us >= as_of_us) {
            return;
        }
        let DataCentreLoad { data_centre, room, waiting, open, .. } = load;
        let known = KnownLoad { as_of_us, room, waiting, open, is_unsent };
        self.data_centres.known.insert(data_centre, known);
    }

    /// Applies what daemons of other data centres use of the engines here, as a daemon of this one reports.
    fn receive_guests(&mut self, now_us: MonoTime, by: PeerIndex, guests: Vec<Guest>) {
        let mut listed = Vec::with_capacity(guests.len());
        for Guest { host, engines } in guests.into_iter().take(GUESTS_MAX) {
            let peer = self.peers.index_of(host);
            if self.data_centres.is_linked(peer) {
                continue;
            }
            listed.push(peer);
            self.data_centres.relayed.insert(peer, (by, now_us));
            let is_local = |usage: &EngineUsage| {
                self.index_by_name.get(&usage.server).is_some_and(|index| self.engines[*index].is_local)
            };
            let engines = engines.into_iter().filter(is_local).collect();
            self.set_peer_engines(now_us, peer, engines);
        }
        let is_over = |peer: PeerIndex, via: PeerIndex, heard_us: MonoTime| {
            (via == by && !listed.contains(&peer)) || now_us >= heard_us + LOAD_TTL_MS
        };
        let relayed = self.data_centres.relayed.iter();
        let over: Vec<PeerIndex> =
            relayed.filter(|(peer, (via, us))| is_over(**peer, *via, *us)).map(|(peer, _)| *peer).collect();
        for peer in over {
            self.data_centres.relayed.remove(&peer);
            self.set_peer_engines(now_us, peer, Vec::new());
        }
    }

    /// Notes whether a daemon of another data centre uses other engines here, or for another number of requests.
    pub(super) fn note_guests(&mut self, peer: PeerIndex, usage: &[EngineUsage]) {
        if !self.data_centres.is_linked(peer) {
            return;
        }
        let index_of = |usage: &EngineUsage| self.index_by_name.get(&usage.server).copied();
        let local = usage.iter().filter_map(|usage| Some((index_of(usage)?, usage.running)));
        let mut local: Vec<(usize, u32)> = local.filter(|(index, _)| self.engines[*index].is_local).collect();
        let known = self.peers.engines(peer).iter().filter(|index| self.engines[**index].is_local);
        let mut known: Vec<(usize, u32)> =
            known.map(|index| (*index, self.engines[*index].peer_running(peer))).collect();
        local.sort_unstable();
        known.sort_unstable();
        self.data_centres.is_guest_report_due |= local != known;
    }

    /// Whether the daemons of the own data centre need to learn soon of what daemons of others use; asked once.
    pub fn take_guest_report_due(&mut self) -> bool {
        std::mem::take(&mut self.data_centres.is_guest_report_due)
    }

    /// Updates the figures of the own data centre and the share that spills over.
    pub(super) fn refresh_spill_plan(&mut self, now_us: MonoTime) {
        if self.own_data_centre().is_none() {
            self.data_centres.plan = None;
            return;
        }
        let plan = self.data_centres.plan.as_ref();
        if plan.is_some_and(|plan| now_us < plan.as_of_us + PLAN_TTL_MS) {
            return;
        }
        let plan = self.spill_plan(now_us);
        if plan.share > 0.0 {
            self.data_centres.last_active = Some((now_us, plan.main_target()));
        }
        self.data_centres.plan = Some(plan);
    }

    /// The share of the waiting requests that spills over.
    ///
    /// Load: the callers of one data centre move to another, whose engines are then short of memory while those of the
    /// others have room. All its daemons compute about the same share and each spills over that part of its own
    /// requests. If each of them sent all it has, the others would get a multiple of what they can take. What others can
    /// spare is half of their room, since a report is up to 1.4 s old, less what the own data centre has placed there
    /// since.
    fn spill_plan(&self, now_us: MonoTime) -> Plan {
        let limit = self.memory_limit();
        let local = (0..self.engines.len())
            .filter(|index| self.engines[*index].is_local && self.engines[*index].accepts_decodes(now_us));
        let free = local.map(|index| {
            let engine = &self.engines[index];
            let free = limit.saturating_sub(engine.peak(now_us, &self.fleet_stats, None));
            (if engine.has_slot(now_us) { free } else { Tokens::ZERO }, index)
        });
        let mut free: Vec<(Tokens, usize)> = free.collect();
        free.sort_unstable_by_key(|(free, index)| (Reverse(*free), *index));
        let room = free.iter().fold(Tokens::ZERO, |sum, (free, _)| sum + self.whole_requests(*free));
        let waiting = self.waiting_tokens(now_us) + self.peers.waiting();
        let offered = self.spare(now_us);
        let total = offered.iter().fold(Tokens::ZERO, |sum, (_, spare)| sum + *spare);
        let share = spill_share(waiting, room, total);
        Plan {
            as_of_us: now_us,
            room,
            waiting,
            open: self.open_engines(&free, waiting),
            share,
            spare: offered,
        }
    }

    /// Engines for requests of other data centres, given the free memory of each, the largest first. While requests wait
    /// here, any engine with room for one is about to be chosen by one of the own daemons.
    fn open_engines(&self, free: &[(Tokens, usize)], waiting: Tokens) -> OpenEngines {
        let typical = Tokens(self.typical_final_tokens().max(1));
        let (one, two) = (Tokens(typical.0 * 3 / 2), typical + typical);
        let with_room = free.iter().filter(|(free, _)| *free >= typical).count();
        let next = with_room.div_ceil(LEAST_FULL_DIVISOR);
        let (mut open, mut closed) = (OpenEngines::default(), OpenEngines::default());
        for (at, (free, index)) in free.iter().enumerate() {
            let bit = self.open_bit(*index);
            let for_two = *free >= two;
            let for_one = for_two || (waiting == Tokens::ZERO && *free >= one && at >= next);
            *(if for_one { &mut open.for_one } else { &mut closed.for_one }) |= bit;
            *(if for_two { &mut open.for_two } else { &mut closed.for_two }) |= bit;
        }
        OpenEngines { for_one: open.for_one & !closed.for_one, for_two: open.for_two & !closed.for_two }
    }

    fn spare(&self, now_us: MonoTime) -> Vec<(DataCentreId, Tokens)> {
        let loads = &self.data_centres;
        let fresh = loads.known.keys().filter_map(|name| Some((name, loads.fresh(now_us, name)?)));
        let spare = fresh.map(|(name, load)| {
            let left = load.room.saturating_sub(load.waiting).saturating_sub(self.placed_since(name, load));
            (name.clone(), Tokens(left.0 / SPARE_DIVISOR))
        });
        spare.filter(|(_, spare)| *spare > Tokens::ZERO).collect()
    }

    /// What the other data centres can spare for the requests that wait here.
    pub(super) fn spare_elsewhere(&self, binding: &VersionBinding) -> Tokens {
        match (&self.data_centres.plan, binding) {
            (Some(plan), VersionBinding::Any) => plan.total_spare(),
            (None, _) | (_, VersionBinding::Only(_)) => Tokens::ZERO,
        }
    }

    /// Whether requests with this binding get to an engine only by spilling over, since the load of its data centre is
    /// known. An answer that is bound to a version has too few engines to wait for its share.
    pub(super) fn is_left_to_spill_over(
        &self,
        now_us: MonoTime,
        index: usize,
        binding: &VersionBinding,
    ) -> bool {
        *binding == VersionBinding::Any
            && self.is_remote_fallback(index)
            && self.data_centres.fresh(now_us, &self.engines[index].data_centre).is_some()
    }

    /// Places the share of the waiting requests that spills over at engines of other data centres.
    ///
    /// A request spills over as long as its fixed draw is below the share. With a new draw at each event, all of them
    /// would within milliseconds.
    pub(super) fn spill_waiting(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let Some(plan) = self.data_centres.plan.take() else {
            return;
        };
        if plan.share > 0.0 {
            let backlog = self.least_backlog(now_us);
            let spills = |open: &&OpenRequest| {
                open.demand.binding == VersionBinding::Any
                    && !open.needs_payment()
                    && draw(open.demand.request_id) < plan.share
                    && !self.is_late(now_us, open, backlog)
            };
            let waiting = self.waiting.iter().map(|request_id| &self.open[request_id]);
            let mut spilling: Vec<_> = waiting
                .filter(spills)
                .map(|open| (self.rank(open), open.arrived_us, open.demand.request_id))
                .collect();
            spilling.sort_unstable();
            for (_, _, request_id) in spilling {
                self.rotation = self.rotation.wrapping_add(1);
                if let Some(decode_engine) = self.choose_remote_engine(now_us, request_id, &plan) {
                    self.waiting.retain(|&waiting| waiting != request_id);
                    self.reserve_at(now_us, request_id, decode_engine, actions);
                }
            }
        }
        self.data_centres.plan = Some(plan);
    }

    /// Chooses a data centre in proportion to what each can spare, and there one of the engines with room.
    ///
    /// Each engine gets one request per load of its data centre: its own daemons learn of that request some messages
    /// later, and all daemons here know the same few engines with room.
    fn choose_remote_engine(&self, now_us: MonoTime, request_id: RequestId, plan: &Plan) -> Option<usize> {
        let mut left = draw((request_id, self.rotation)) * plan.total_spare().0 as f64;
        let (target, _) = plan.spare.iter().find(|(_, spare)| {
            left -= spare.0 as f64;
            left < 0.0
        })?;
        let load = self.data_centres.fresh(now_us, target)?;
        let open = self.open.get(&request_id)?;
        let (growth, limit) = (open.growth(), self.memory_limit());
        let is_small = growth.end.0 <= self.typical_final_tokens();
        let with_room = if is_small { load.open.for_one } else { load.open.for_two };
        let has_room = |index: &usize| {
            let engine = &self.engines[*index];
            engine.data_centre == *target
                && engine.role == Role::Decode
                && Some(*index) != open.failed_at
                && with_room & self.open_bit(*index) != 0
                && !self.is_placed_since(*index, load)
                && self.data_centres.goes_first(now_us, target, engine.node_hash)
                && !engine.is_full(now_us)
                && engine.has_slot(now_us)
                && engine.peak(now_us, &self.fleet_stats, Some(growth)) <= limit
        };
        let eligible: Vec<usize> = (0..self.engines.len()).filter(has_room).collect();
        eligible.get(self.rotation % eligible.len().max(1)).copied()
    }

    /// Current extent of spill-over; `None` where it is not used.
    pub fn spill_over(&mut self, now_us: MonoTime) -> Option<SpillOver> {
        self.refresh_stats(now_us);
        let plan = self.data_centres.plan.as_ref()?;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 0 and 1,000")]
        let share_per_1000 = (plan.share * 1_000.0) as u64;
        let last = self.data_centres.last_active.as_ref();
        Some(SpillOver {
            is_active: last.is_some_and(|(last_us, _)| now_us < *last_us + END_DELAY_MS),
            target: last.and_then(|(_, target)| target.clone()),
            waiting: plan.waiting,
            room: plan.room,
            share_per_1000,
        })
    }

    /// Spill-over that has begun or ended since the previous call. It ends when none has been due for a second, so that
    /// there are at most two changes a second.
    pub fn take_spill_over_change(&mut self, now_us: MonoTime) -> Option<SpillOver> {
        let current = self.spill_over(now_us)?;
        if current.is_active == self.data_centres.is_begun {
            return None;
        }
        self.data_centres.is_begun = current.is_active;
        Some(current)
    }
}

/// A fraction from 0 to 1 that is fixed for a value.
#[expect(clippy::cast_precision_loss, reason = "a fraction")]
fn draw<Value>(value: Value) -> f64
where
    Value: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Age at which a load no longer counts: four messages at the longest interval were lost or their daemons died.
const LOAD_TTL_MS: Millis = Millis(3_000);

/// Divisor of the room of another data centre: the quotient can be spared. A report is up to 1.4 s old, and its own
/// callers need room in that time.
const SPARE_DIVISOR: u64 = 2;

/// Number of bits for engines with room.
const OPEN_BITS: usize = u64::BITS as usize;

/// Maximum number of daemons of other data centres in a report. A daemon is the link of about three.
const GUESTS_MAX: usize = 16;

/// Time until the daemons of another data centre know of a request placed there: a message to the link and one from it,
/// at the interval of 250 recipients.
const GUEST_DELAY_MS: Millis = Millis(150);

/// Time for which the plan is used: it takes a pass over the engines, and a message arrives every millisecond.
const PLAN_TTL_MS: Millis = Millis(20);

/// Time without spill-over after which it counts as ended.
const END_DELAY_MS: Millis = Millis(1_000);

const MICROS_PER_MS: u64 = 1_000;
