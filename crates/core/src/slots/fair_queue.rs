//! Queue in front of one server or service: max-min fair between partners, deadline order within a partner.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{PartnerId, RequestId};
use crate::units::{Micros, Millis, MonoTime};

/// Order in which grant requests are granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Max-min fair between partners by charged time; by deadline within a partner, with late grant requests
    /// last.
    #[default]
    FairDeadline,
    /// First in, first out over all partners. The baseline in comparisons of scheduling policies.
    Fifo,
}

/// Limits of the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Order of grants.
    pub order: QueueOrder,
    /// Maximum number of waiting grant requests of one partner. A memory limit: with realistic targets the wait
    /// estimate denies grant requests far earlier, so this is reached only with extremely loose targets.
    pub per_partner_max: usize,
    /// Maximum number of waiting grant requests of one partner that missed their target. Smaller, because they
    /// no longer count towards goodput.
    pub late_max: usize,
    /// Maximum wait of a grant request that missed its target and does not state how long it waits.
    pub late_wait_max_ms: Millis,
    /// Age from which a late grant request takes precedence over those in time, so that it does not starve.
    pub ageing_ms: Millis,
    /// One in this many grants to a partner may go to an aged late grant request: late requests are still
    /// answered, while the other grants earn goodput.
    pub ageing_every: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            order: QueueOrder::FairDeadline,
            per_partner_max: 256,
            late_max: 64,
            late_wait_max_ms: Millis(5_000),
            ageing_ms: Millis(8_000),
            ageing_every: 8,
        }
    }
}

/// A waiting request, with the data that the queue's owner attached.
#[derive(Clone, Debug)]
pub struct Waiting<Item> {
    /// Id of the request.
    pub request_id: RequestId,
    /// Partner that is charged.
    pub partner: PartnerId,
    /// Time at which it entered the queue.
    pub since_us: MonoTime,
    /// Latest time at which a grant is useful; `None` once the target is missed.
    pub latest_us: Option<MonoTime>,
    /// Expected service time at this server.
    pub work_us: Micros,
    /// Time charged to the partner.
    pub charge_us: Micros,
    /// Data of the queue's owner.
    pub item: Item,
}

type Key = (MonoTime, u64);

#[derive(Clone, Copy, Debug)]
struct Position {
    partner: usize,
    key: Key,
    late: bool,
}

#[derive(Debug)]
struct PartnerQueue<Item> {
    in_time: BTreeMap<Key, Waiting<Item>>,
    late: BTreeMap<Key, Waiting<Item>>,
    work_us: u64,
    /// Virtual time: time charged so far. An idle partner's is advanced to that of the busy ones when it
    /// returns.
    charged_us: u64,
    /// Sequence number of the last change of rank.
    rank_sequence: u64,
    grants: u32,
}

impl<Item> PartnerQueue<Item> {
    fn new() -> Self {
        Self {
            in_time: BTreeMap::new(),
            late: BTreeMap::new(),
            work_us: 0,
            charged_us: 0,
            rank_sequence: 0,
            grants: 0,
        }
    }

    fn rank(&self, index: usize) -> Rank {
        Rank { charged_us: self.charged_us, sequence: self.rank_sequence, index }
    }

    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}

/// Order of partners: least charged time first; ties go to the partner whose rank changed longest ago.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    charged_us: u64,
    sequence: u64,
    index: usize,
}

/// Expected effect of accepting a grant request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Expected wait of the grant request.
    pub wait_us: Micros,
    /// Whether a grant request accepted earlier would miss its target because of this one.
    pub delays_earlier: bool,
}

/// Requests waiting for one server or service.
///
/// Guards against one partner that increases its load tenfold, assigns all requests to its tightest class, or
/// publishes a target of one millisecond: under a single deadline order for all, that partner would always come
/// first, and another partner's requests would miss their targets although it uses less than its share.
/// Therefore the partner charged least comes first, and deadlines only order the work within a partner. A
/// partner without waiting grant requests accumulates no credit, because its virtual time is advanced when it
/// returns: otherwise an idle hour would allow a burst that excludes the others.
#[derive(Debug)]
pub struct FairQueue<Item> {
    settings: QueueSettings,
    partners: Vec<PartnerQueue<Item>>,
    partner_indices: HashMap<PartnerId, usize>,
    positions: HashMap<RequestId, Position>,
    active: BTreeSet<Rank>,
    virtual_time_us: u64,
    sequence: u64,
    work_us: u64,
}

impl<Item> FairQueue<Item> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            partners: Vec::new(),
            partner_indices: HashMap::new(),
            positions: HashMap::new(),
            active: BTreeSet::new(),
            virtual_time_us: 0,
            sequence: 0,
            work_us: 0,
        }
    }

    /// Number of waiting grant requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no grant request is waiting.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Total expected service time of the waiting grant requests.
    pub fn work_us(&self) -> Micros {
        Micros(self.work_us)
    }

    /// The entry of a waiting request.
    pub fn get(&self, request_id: RequestId) -> Option<&Waiting<Item>> {
        let position = self.positions.get(&request_id)?;
        let queue = &self.partners[position.partner];
        let entries = if position.late { &queue.late } else { &queue.in_time };
        entries.get(&position.key)
    }

    /// Whether the partner's limit of waiting grant requests, or of late ones if `late`, is reached.
    pub fn is_full(&self, partner: &PartnerId, late: bool) -> bool {
        let Some(queue) = self.partner_indices.get(partner).map(|&index| &self.partners[index]) else {
            return false;
        };
        queue.len() >= self.settings.per_partner_max || (late && queue.late.len() >= self.settings.late_max)
    }

    /// Estimates the wait of a request.
    ///
    /// Ahead of it are the work of its own partner with earlier deadlines, and of each other partner as much
    /// work as that partner's virtual time is behind: a partner is served until its virtual time reaches this
    /// one's. A partner within its share therefore waits for little work of others, however much they have
    /// queued. `drain_ratio` scales the sum by the measured time per unit of expected work.
    pub fn forecast(&self, now_us: MonoTime, entry: &Waiting<Item>, drain_ratio: f64) -> Forecast {
        if self.settings.order == QueueOrder::Fifo {
            let wait_us = scale(self.work_us().0, drain_ratio);
            return Forecast { wait_us: Micros(wait_us), delays_earlier: false };
        }
        let own_index = self.partner_indices.get(&entry.partner).copied();
        let own = own_index.map(|index| &self.partners[index]);
        let ahead_us = own.map_or(0, |queue| work_ahead(queue, entry));
        let wait_us = scale(self.wait_for(own_index, ahead_us, entry.work_us.0), drain_ratio);
        let delays_earlier = entry.latest_us.is_some()
            && own.is_some_and(|queue| {
                self.would_delay(now_us, own_index, queue, entry, ahead_us, drain_ratio)
            });
        Forecast { wait_us: Micros(wait_us), delays_earlier }
    }

    fn wait_for(&self, own_index: Option<usize>, own_us: u64, work_us: u64) -> u64 {
        let own = own_index.map(|index| &self.partners[index]);
        let own_virtual_us =
            own.map_or(self.virtual_time_us, |queue| queue.charged_us.max(self.virtual_time_us));
        let target_virtual_us = own_virtual_us + own_us;
        let others = self.active.iter().filter(|rank| Some(rank.index) != own_index);
        let before = others.take_while(|rank| rank.charged_us <= target_virtual_us).map(|rank| {
            // A partner with equal virtual time may have one more request served first.
            let behind_us = target_virtual_us - rank.charged_us + work_us;
            self.partners[rank.index].work_us.min(behind_us)
        });
        own_us + before.sum::<u64>()
    }

    /// Whether the entry would make grant requests of its partner late that were accepted with a promise to
    /// meet their target. The new grant request is denied in that case, because nothing was promised to it yet.
    fn would_delay(
        &self,
        now_us: MonoTime,
        own_index: Option<usize>,
        queue: &PartnerQueue<Item>,
        entry: &Waiting<Item>,
        ahead_us: u64,
        drain_ratio: f64,
    ) -> bool {
        let Some(latest_us) = entry.latest_us else {
            return false;
        };
        let mut before_us = ahead_us;
        // A grant request whose deadline lies beyond the completion of the whole queue cannot be delayed past
        // it.
        let all_done_us = now_us + Micros(scale(self.work_us + entry.work_us.0, drain_ratio));
        if all_done_us <= latest_us {
            return false;
        }
        let span = (latest_us, u64::MAX)..(all_done_us, 0);
        for (key, later) in queue.in_time.range(span).take(DELAY_CHECK_MAX) {
            let without =
                now_us + Micros(scale(self.wait_for(own_index, before_us, later.work_us.0), drain_ratio));
            let with_us = before_us + entry.work_us.0;
            let with =
                now_us + Micros(scale(self.wait_for(own_index, with_us, later.work_us.0), drain_ratio));
            if without <= key.0 && with > key.0 {
                return true;
            }
            before_us += later.work_us.0;
        }
        false
    }

    /// Adds a grant request. The caller has checked the limits.
    pub fn push(&mut self, entry: Waiting<Item>) {
        let index = self.partner_index(&entry.partner);
        self.sequence += 1;
        let late = entry.latest_us.is_none();
        let order_us = match self.settings.order {
            QueueOrder::FairDeadline => entry.latest_us.unwrap_or(entry.since_us),
            QueueOrder::Fifo => entry.since_us,
        };
        let key = (order_us, self.sequence);
        self.positions.insert(entry.request_id, Position { partner: index, key, late });
        let virtual_time_us = self.virtual_time_us;
        let queue = &mut self.partners[index];
        if queue.is_empty() {
            queue.charged_us = queue.charged_us.max(virtual_time_us);
            queue.rank_sequence = self.sequence;
            self.active.insert(queue.rank(index));
        }
        queue.work_us += entry.work_us.0;
        self.work_us += entry.work_us.0;
        let entries = if late { &mut queue.late } else { &mut queue.in_time };
        entries.insert(key, entry);
    }

    fn partner_index(&mut self, partner: &PartnerId) -> usize {
        if let Some(&index) = self.partner_indices.get(partner) {
            return index;
        }
        // The FIFO baseline puts all partners into one queue.
        if self.settings.order == QueueOrder::Fifo && !self.partners.is_empty() {
            self.partner_indices.insert(partner.clone(), 0);
            return 0;
        }
        self.partners.push(PartnerQueue::new());
        let index = self.partners.len() - 1;
        self.partner_indices.insert(partner.clone(), index);
        index
    }

    /// Removes the grant request of `request_id`, if it is waiting.
    pub fn remove(&mut self, request_id: RequestId) -> Option<Waiting<Item>> {
        let position = self.positions.remove(&request_id)?;
        let queue = &mut self.partners[position.partner];
        let entries = if position.late { &mut queue.late } else { &mut queue.in_time };
        let entry = entries.remove(&position.key)?;
        queue.work_us = queue.work_us.saturating_sub(entry.work_us.0);
        self.work_us = self.work_us.saturating_sub(entry.work_us.0);
        if queue.is_empty() {
            self.active.remove(&queue.rank(position.partner));
        }
        Some(entry)
    }

    /// The request to grant next; late grant requests are demoted first.
    pub fn peek(&mut self, now_us: MonoTime) -> Option<&Waiting<Item>> {
        let index = self.active.first()?.index;
        self.demote(now_us, index);
        let request_id = self.select_next(now_us, index)?;
        self.get(request_id)
    }

    /// Removes the request to grant next and charges its partner.
    pub fn pop(&mut self, now_us: MonoTime) -> Option<Waiting<Item>> {
        let index = self.active.first()?.index;
        self.demote(now_us, index);
        let request_id = self.select_next(now_us, index)?;
        let before = self.partners[index].rank(index);
        self.virtual_time_us = before.charged_us;
        let entry = self.remove(request_id)?;
        self.active.remove(&before);
        self.sequence += 1;
        let queue = &mut self.partners[index];
        queue.charged_us = before.charged_us + entry.charge_us.0.max(1);
        queue.rank_sequence = self.sequence;
        queue.grants += 1;
        if !queue.is_empty() {
            self.active.insert(queue.rank(index));
        }
        Some(entry)
    }

    /// Refunds the charge of a grant that was not used.
    pub fn refund(&mut self, partner: &PartnerId, charge_us: Micros) {
        let Some(&index) = self.partner_indices.get(partner) else {
            return;
        };
        let queue = &mut self.partners[index];
        let was_active = self.active.remove(&queue.rank(index));
        queue.charged_us = queue.charged_us.saturating_sub(charge_us.0);
        if was_active {
            self.active.insert(queue.rank(index));
        }
    }

    /// Moves grant requests that can no longer meet their target behind the others of their partner: they earn
    /// no goodput, and granting them first would make others late.
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
            let position = Position { partner: index, key, late: true };
            self.positions.insert(entry.request_id, position);
            queue.late.insert(key, entry);
        }
    }

    fn select_next(&self, now_us: MonoTime, index: usize) -> Option<RequestId> {
        let queue = &self.partners[index];
        let in_time = queue.in_time.first_key_value().map(|(_, entry)| entry);
        let late = queue.late.first_key_value().map(|(_, entry)| entry);
        let aged = late.is_some_and(|entry| now_us >= entry.since_us + self.settings.ageing_ms);
        let serve_aged = aged && queue.grants.is_multiple_of(self.settings.ageing_every.max(1));
        let chosen = match (in_time, late) {
            (Some(_), Some(late)) if serve_aged => late,
            (Some(entry), _) | (None, Some(entry)) => entry,
            (None, None) => return None,
        };
        Some(chosen.request_id)
    }

    /// Removes a request whose latest useful time has passed, for a queue that does not serve late requests.
    pub fn take_expired(&mut self, now_us: MonoTime) -> Option<Waiting<Item>> {
        let expired = self.first_in_queues().filter(|(at_us, _)| *at_us < now_us);
        expired.and_then(|(_, request_id)| self.remove(request_id))
    }

    /// Time at which the first waiting request passes its latest useful time.
    pub fn first_expiry(&self) -> Option<MonoTime> {
        self.first_in_queues().map(|(at_us, _)| at_us)
    }

    fn first_in_queues(&self) -> Option<(MonoTime, RequestId)> {
        let queues = self.active.iter().map(|rank| rank.index).map(|index| &self.partners[index]);
        let firsts = queues.filter_map(|queue| queue.in_time.first_key_value());
        firsts.map(|(key, entry)| (key.0 + Micros(1), entry.request_id)).min()
    }

    /// Removes all entries in order of request id, for a server that cannot serve.
    pub fn drain(&mut self) -> Vec<Waiting<Item>> {
        let mut ids = self.positions.keys().copied().collect::<Vec<_>>();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }
}

/// Maximum number of requests checked for a delay by a new one; limits the cost of one decision. A request
/// further back is delayed by many new ones, and each of those is checked against the requests in front.
const DELAY_CHECK_MAX: usize = 32;

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
fn scale(span_us: u64, drain_ratio: f64) -> u64 {
    (span_us as f64 * drain_ratio) as u64
}
