//! The queue before one server or service: max-min between partners, deadline order inside a partner.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{PartnerId, RequestId};
use crate::units::{Micros, Millis, MonoTime};

/// In which order asks are granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Max-min between partners by charged time; inside a partner by deadline, late ones behind.
    #[default]
    FairDeadline,
    /// By arrival, whoever sent it. Kept as the baseline that the outcome table compares with.
    Fifo,
}

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Order of grants.
    pub order: QueueOrder,
    /// Asks of one partner that may wait. Memory bound against a surge: the estimate of the wait refuses far
    /// earlier whenever targets are sane, so this only catches absurdly loose ones.
    pub per_partner_max: usize,
    /// Asks past their target of one partner that may wait. Smaller, because they earn nothing any more.
    pub late_max: usize,
    /// Longest wait that an ask past its target is taken in for; a caller has gone by then.
    pub late_patience_ms: Millis,
    /// Age from which a late ask goes before those in time, so that it does not starve.
    pub ageing_ms: Millis,
    /// Of so many grants to a partner, one may go to an aged late ask: answers owed are given, while at
    /// least the other grants still earn goodput.
    pub ageing_every: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            order: QueueOrder::FairDeadline,
            per_partner_max: 256,
            late_max: 64,
            late_patience_ms: Millis(15_000),
            ageing_ms: Millis(8_000),
            ageing_every: 8,
        }
    }
}

/// A request that waits, with what its owner needs to know of it.
#[derive(Clone, Debug)]
pub struct Waiting<Item> {
    /// Which request.
    pub request_id: RequestId,
    /// On whose account.
    pub partner: PartnerId,
    /// Since when.
    pub since_us: MonoTime,
    /// Latest useful grant; `None` once the target is missed.
    pub latest_us: Option<MonoTime>,
    /// Time that the work takes at this server.
    pub work_us: Micros,
    /// What the partner is charged.
    pub charge_us: Micros,
    /// Whatever belongs to it.
    pub item: Item,
}

type Key = (MonoTime, u64);

#[derive(Clone, Copy, Debug)]
struct Place {
    partner: usize,
    key: Key,
    late: bool,
}

#[derive(Debug)]
struct PartnerQueue<Item> {
    in_time: BTreeMap<Key, Waiting<Item>>,
    late: BTreeMap<Key, Waiting<Item>>,
    work_us: u64,
    /// Time charged so far, on a clock on which idle partners are moved up to the busy ones.
    charged_us: u64,
    /// Sequence number of its last change of rank.
    since: u64,
    grants: u32,
}

impl<Item> PartnerQueue<Item> {
    fn new() -> Self {
        Self {
            in_time: BTreeMap::new(),
            late: BTreeMap::new(),
            work_us: 0,
            charged_us: 0,
            since: 0,
            grants: 0,
        }
    }

    fn rank(&self, index: usize) -> Rank {
        Rank { charged_us: self.charged_us, since: self.since, index }
    }

    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}

/// Order of partners: time charged, then how long ago its turn came, so that ties go in order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    charged_us: u64,
    since: u64,
    index: usize,
}

/// Expected fate of an ask, if it were taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Expected wait.
    pub wait_us: Micros,
    /// Whether an ask taken in earlier would miss its target for this one.
    pub harms_earlier: bool,
}

/// Requests waiting for one server or service.
///
/// Load: one partner surging tenfold, marking everything as its tightest class, or publishing a target of
/// one millisecond. Harm prevented: with one deadline order over all, that partner would always come first
/// and the other's requests would miss their targets although it asks for less than its share. So the
/// partner that was charged least comes first, and deadlines only order the work inside a partner.
/// A partner without waiting asks collects no credit (its clock is moved up when it comes back): otherwise
/// a quiet hour would buy a burst that shuts the other out.
#[derive(Debug)]
pub struct FairQueue<Item> {
    settings: QueueSettings,
    partners: Vec<PartnerQueue<Item>>,
    names: HashMap<PartnerId, usize>,
    places: HashMap<RequestId, Place>,
    active: BTreeSet<Rank>,
    clock_us: u64,
    sequence: u64,
    work_us: u64,
}

impl<Item> FairQueue<Item> {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            partners: Vec::new(),
            names: HashMap::new(),
            places: HashMap::new(),
            active: BTreeSet::new(),
            clock_us: 0,
            sequence: 0,
            work_us: 0,
        }
    }

    /// Number of asks waiting.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Work waiting, of all partners.
    pub fn work_us(&self) -> Micros {
        Micros(self.work_us)
    }

    /// The request, if it waits.
    pub fn get(&self, request_id: RequestId) -> Option<&Waiting<Item>> {
        let place = self.places.get(&request_id)?;
        let queue = &self.partners[place.partner];
        let side = if place.late { &queue.late } else { &queue.in_time };
        side.get(&place.key)
    }

    /// Whether the partner has no room for one more ask.
    pub fn is_full(&self, partner: &PartnerId, late: bool) -> bool {
        let Some(queue) = self.names.get(partner).map(|&index| &self.partners[index]) else {
            return false;
        };
        queue.len() >= self.settings.per_partner_max || (late && queue.late.len() >= self.settings.late_max)
    }

    /// Foretells the wait of a request.
    ///
    /// What goes before it is the work of its own partner that is due earlier, and of each other partner as
    /// much as that one is behind: partners are served until their clocks have reached this one's. A partner
    /// inside its share so waits for hardly anybody, however much the others have queued. `pace` stretches
    /// the sum by what the server really takes for a unit of expected work.
    pub fn forecast(&self, now_us: MonoTime, entry: &Waiting<Item>, pace: f64) -> Forecast {
        if self.settings.order == QueueOrder::Fifo {
            let wait_us = stretch(self.work_us().0, pace);
            return Forecast { wait_us: Micros(wait_us), harms_earlier: false };
        }
        let own_index = self.names.get(&entry.partner).copied();
        let own = own_index.map(|index| &self.partners[index]);
        let ahead_us = own.map_or(0, |queue| work_ahead(queue, entry));
        let wait_us = stretch(self.wait_for(own_index, ahead_us, entry.work_us.0), pace);
        let harms_earlier = entry.latest_us.is_some()
            && own.is_some_and(|queue| self.harms(now_us, own_index, queue, entry, ahead_us, pace));
        Forecast { wait_us: Micros(wait_us), harms_earlier }
    }

    fn wait_for(&self, own_index: Option<usize>, own_us: u64, work_us: u64) -> u64 {
        let own = own_index.map(|index| &self.partners[index]);
        let own_clock_us = own.map_or(self.clock_us, |queue| queue.charged_us.max(self.clock_us));
        let reach_us = own_clock_us + own_us;
        let others = self.active.iter().filter(|rank| Some(rank.index) != own_index);
        let before = others.take_while(|rank| rank.charged_us <= reach_us).map(|rank| {
            // One that is level may have one more request served first.
            let behind_us = reach_us - rank.charged_us + work_us;
            self.partners[rank.index].work_us.min(behind_us)
        });
        own_us + before.sum::<u64>()
    }

    /// An ask that goes in front of others of its partner may make them late although they were taken in
    /// with a promise. The newcomer is denied then: it has lost nothing yet.
    fn harms(
        &self,
        now_us: MonoTime,
        own_index: Option<usize>,
        queue: &PartnerQueue<Item>,
        entry: &Waiting<Item>,
        ahead_us: u64,
        pace: f64,
    ) -> bool {
        let Some(latest_us) = entry.latest_us else {
            return false;
        };
        let mut before_us = ahead_us;
        // Who has time until the whole queue is done cannot be harmed.
        let all_done_us = now_us + Micros(stretch(self.work_us + entry.work_us.0, pace));
        if all_done_us <= latest_us {
            return false;
        }
        let span = (latest_us, u64::MAX)..(all_done_us, 0);
        for (key, later) in queue.in_time.range(span).take(HARM_LOOKAHEAD) {
            let without =
                now_us + Micros(stretch(self.wait_for(own_index, before_us, later.work_us.0), pace));
            let with_us = before_us + entry.work_us.0;
            let with = now_us + Micros(stretch(self.wait_for(own_index, with_us, later.work_us.0), pace));
            if without <= key.0 && with > key.0 {
                return true;
            }
            before_us += later.work_us.0;
        }
        false
    }

    /// Takes an ask in. The caller has checked the bounds.
    pub fn push(&mut self, entry: Waiting<Item>) {
        let index = self.partner_index(&entry.partner);
        self.sequence += 1;
        let late = entry.latest_us.is_none();
        let order_us = match self.settings.order {
            QueueOrder::FairDeadline => entry.latest_us.unwrap_or(entry.since_us),
            QueueOrder::Fifo => entry.since_us,
        };
        let key = (order_us, self.sequence);
        self.places.insert(entry.request_id, Place { partner: index, key, late });
        let clock_us = self.clock_us;
        let queue = &mut self.partners[index];
        if queue.is_empty() {
            queue.charged_us = queue.charged_us.max(clock_us);
            queue.since = self.sequence;
            self.active.insert(queue.rank(index));
        }
        queue.work_us += entry.work_us.0;
        self.work_us += entry.work_us.0;
        let side = if late { &mut queue.late } else { &mut queue.in_time };
        side.insert(key, entry);
    }

    fn partner_index(&mut self, partner: &PartnerId) -> usize {
        if let Some(&index) = self.names.get(partner) {
            return index;
        }
        // All asks share one queue in arrival order: the baseline knows no partners.
        if self.settings.order == QueueOrder::Fifo && !self.partners.is_empty() {
            self.names.insert(partner.clone(), 0);
            return 0;
        }
        self.partners.push(PartnerQueue::new());
        let index = self.partners.len() - 1;
        self.names.insert(partner.clone(), index);
        index
    }

    /// Takes the ask of `request_id` out, if it waits.
    pub fn remove(&mut self, request_id: RequestId) -> Option<Waiting<Item>> {
        let place = self.places.remove(&request_id)?;
        let queue = &mut self.partners[place.partner];
        let side = if place.late { &mut queue.late } else { &mut queue.in_time };
        let entry = side.remove(&place.key)?;
        queue.work_us = queue.work_us.saturating_sub(entry.work_us.0);
        self.work_us = self.work_us.saturating_sub(entry.work_us.0);
        if queue.is_empty() {
            self.active.remove(&queue.rank(place.partner));
        }
        Some(entry)
    }

    /// The request to grant next.
    pub fn peek(&mut self, now_us: MonoTime) -> Option<&Waiting<Item>> {
        let index = self.active.first()?.index;
        self.demote(now_us, index);
        let request_id = self.choose(now_us, index)?;
        self.get(request_id)
    }

    /// The request to grant next, taken out and charged to its partner.
    pub fn pop(&mut self, now_us: MonoTime) -> Option<Waiting<Item>> {
        let index = self.active.first()?.index;
        self.demote(now_us, index);
        let request_id = self.choose(now_us, index)?;
        let before = self.partners[index].rank(index);
        self.clock_us = before.charged_us;
        let entry = self.remove(request_id)?;
        self.active.remove(&before);
        self.sequence += 1;
        let queue = &mut self.partners[index];
        queue.charged_us = before.charged_us + entry.charge_us.0.max(1);
        queue.since = self.sequence;
        queue.grants += 1;
        if !queue.is_empty() {
            self.active.insert(queue.rank(index));
        }
        Some(entry)
    }

    /// Gives back the charge of a grant that was not used.
    pub fn refund(&mut self, partner: &PartnerId, charge_us: Micros) {
        let Some(&index) = self.names.get(partner) else {
            return;
        };
        let queue = &mut self.partners[index];
        let was_active = self.active.remove(&queue.rank(index));
        queue.charged_us = queue.charged_us.saturating_sub(charge_us.0);
        if was_active {
            self.active.insert(queue.rank(index));
        }
    }

    /// Puts asks whose target can no longer be met behind the others of their partner: they earn nothing,
    /// and each grant to them would make another one late.
    fn demote(&mut self, now_us: MonoTime, index: usize) {
        if self.settings.order == QueueOrder::Fifo {
            return;
        }
        let queue = &mut self.partners[index];
        while let Some(first) = queue.in_time.first_entry() {
            if first.key().0 >= now_us {
                break;
            }
            let mut entry = first.remove();
            entry.latest_us = None;
            self.sequence += 1;
            let key = (entry.since_us, self.sequence);
            let place = Place { partner: index, key, late: true };
            self.places.insert(entry.request_id, place);
            queue.late.insert(key, entry);
        }
    }

    fn choose(&self, now_us: MonoTime, index: usize) -> Option<RequestId> {
        let queue = &self.partners[index];
        let in_time = queue.in_time.first_key_value().map(|(_, entry)| entry);
        let late = queue.late.first_key_value().map(|(_, entry)| entry);
        let aged = late.is_some_and(|entry| now_us >= entry.since_us + self.settings.ageing_ms);
        let turn_of_aged = aged && queue.grants.is_multiple_of(self.settings.ageing_every.max(1));
        let chosen = match (in_time, late) {
            (Some(_), Some(late)) if turn_of_aged => late,
            (Some(entry), _) | (None, Some(entry)) => entry,
            (None, None) => return None,
        };
        Some(chosen.request_id)
    }

    /// Takes out a request whose latest useful time has passed, for a queue that does not serve late ones.
    pub fn take_expired(&mut self, now_us: MonoTime) -> Option<Waiting<Item>> {
        let expired = self.first_in_queues().filter(|(at_us, _)| *at_us < now_us);
        expired.and_then(|(_, request_id)| self.remove(request_id))
    }

    /// When the first waiting request passes its latest useful time.
    pub fn first_expiry(&self) -> Option<MonoTime> {
        self.first_in_queues().map(|(at_us, _)| at_us)
    }

    fn first_in_queues(&self) -> Option<(MonoTime, RequestId)> {
        let queues = self.active.iter().map(|rank| rank.index).map(|index| &self.partners[index]);
        let firsts = queues.filter_map(|queue| queue.in_time.first_key_value());
        firsts.map(|(key, entry)| (key.0 + Micros(1), entry.request_id)).min()
    }

    /// Empties the queue, for a server that cannot serve.
    pub fn drain(&mut self) -> Vec<Waiting<Item>> {
        let mut ids = self.places.keys().copied().collect::<Vec<_>>();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }
}

/// Requests looked at for harm done by a newcomer; bounds the cost of one decision. Who stands further back
/// is hurt by many newcomers, and each of them sees those in front.
const HARM_LOOKAHEAD: usize = 32;

fn work_ahead<Item>(queue: &PartnerQueue<Item>, entry: &Waiting<Item>) -> u64 {
    match entry.latest_us {
        Some(latest_us) => {
            queue.in_time.range(..=(latest_us, u64::MAX)).map(|(_, ahead)| ahead.work_us.0).sum()
        }
        None => queue.work_us,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a span of microseconds times a clamped positive factor"
)]
fn stretch(span_us: u64, pace: f64) -> u64 {
    (span_us as f64 * pace) as u64
}
