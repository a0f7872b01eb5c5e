//! Dissemination of configuration records, server status and load summaries between daemons.
//!
//! Each daemon forwards new data at once to a fixed small number of neighbours in its data centre, so that it
//! reaches all of them in a logarithmic number of hops. Data that is lost because a relay died or a link
//! failed is recovered by digests: daemons tell each other their offset, and the one that is behind gets what
//! it lacks. Only higher offsets are adopted.
//!
//! A few daemons of each data centre read the log. A data centre that cannot reach the log relies on the
//! digests of other data centres. `docs/MEMBERSHIP.md` has the arithmetic and the alternatives.

mod dissemination;
mod event;
mod loads;
mod message;
mod records;
mod replication;
mod server_status;
mod settings;

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use self::loads::Loads;
use self::records::Records;
use self::server_status::ServerStatuses;
use crate::ids::{DataCentreId, HostId, Offset};
use crate::membership::{Member, MembersView};
use crate::units::{Micros, Millis, MonoTime};
use crate::watch::{JobHash, owners_in};

pub use self::event::{SpreadAction, SpreadCounts, SpreadEvent, SpreadView};
pub use self::message::{
    ConfigRecord, LoadSummary, ModelLoad, ModelTag, RecordData, ServerStatus, SpreadMessage, StateHash,
    StatusRecord,
};
pub use self::settings::SpreadSettings;

/// Name of the job, in each data centre, of reading the configuration stream from the log.
pub const LOG_READER_JOB: &str = "log-reader";

/// An encoded state that is being fetched from a peer, part by part.
#[derive(Clone, Debug)]
struct Fetch {
    from: HostId,
    next_offset: Option<Offset>,
    parts: Vec<Arc<[u8]>>,
    requested_us: MonoTime,
}

/// Dissemination state machine of one daemon.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    host: HostId,
    data_centre: DataCentreId,
    records: Records,
    state: StateHash,
    state_offset: Offset,
    provided_state: Option<(Offset, Arc<[u8]>)>,
    state_requesters: Vec<HostId>,
    fetch: Option<Fetch>,
    last_pull_us: Option<MonoTime>,
    statuses: ServerStatuses,
    loads: Loads,
    own_load: Vec<ModelLoad>,
    digest_order: Vec<HostId>,
    last_bridge_us: Option<MonoTime>,
    last_partial_us: Option<MonoTime>,
    last_summary_us: Option<MonoTime>,
    is_reader: bool,
    is_changed: bool,
    counts: SpreadCounts,
    rng: StdRng,
}

impl Spread {
    /// Creates the state machine of the daemon on `host`; `seed` makes random choices reproducible.
    pub fn new(settings: SpreadSettings, host: HostId, data_centre: DataCentreId, seed: u64) -> Self {
        Self {
            settings,
            host,
            data_centre,
            records: Records::default(),
            state: StateHash::default(),
            state_offset: Offset::default(),
            provided_state: None,
            state_requesters: Vec::new(),
            fetch: None,
            last_pull_us: None,
            statuses: ServerStatuses::default(),
            loads: Loads::default(),
            own_load: Vec::new(),
            digest_order: Vec::new(),
            last_bridge_us: None,
            last_partial_us: None,
            last_summary_us: None,
            is_reader: false,
            is_changed: false,
            counts: SpreadCounts::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Current counter values.
    pub fn counts(&self) -> SpreadCounts {
        self.counts
    }

    /// The first offset that was not delivered.
    pub fn next_offset(&self) -> Offset {
        self.records.next()
    }

    /// Whether this daemon reads the configuration stream from the log.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Disseminated data other than configuration.
    pub fn view(&self) -> SpreadView {
        SpreadView { statuses: self.statuses.current(), loads: self.loads.current() }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        event: SpreadEvent,
        actions: &mut Vec<SpreadAction>,
    ) {
        match event {
            SpreadEvent::Tick => self.tick(now_us, view, actions),
            SpreadEvent::Message { from, message } => self.receive(now_us, view, from, message, actions),
            SpreadEvent::LogRecords(records) => {
                let new = self.ingest_records(records, view, actions);
                self.counts.records_read += new;
            }
            SpreadEvent::Applied { next_offset, state } => self.applied(next_offset, state),
            SpreadEvent::State { next_offset, data } => self.provide_state(next_offset, data, actions),
            SpreadEvent::Observed { server, status } => self.observe(now_us, view, server, status, actions),
            SpreadEvent::Load(models) => self.own_load = models,
        }
    }

    fn tick(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        self.update_reader_role(view, actions);
        self.send_digest(view, actions);
        self.send_digest_across(now_us, view, actions);
        self.send_partial_load(now_us, view, actions);
        self.publish_load_summary(now_us, view, actions);
        self.expire_fetch(now_us);
        let statuses_expired = self.statuses.expire(now_us);
        let loads_expired = self.loads.expire(now_us, &self.settings);
        if self.is_changed || statuses_expired || loads_expired {
            self.is_changed = false;
            actions.push(SpreadAction::Publish(self.view()));
        }
    }

    fn ranks(&self, job: &str, count: usize, view: &MembersView) -> Vec<HostId> {
        owners_in(JobHash::of(job), &self.data_centre, count, view)
    }

    fn rank(&self, job: &str, count: usize, view: &MembersView) -> Option<usize> {
        self.ranks(job, count, view).iter().position(|host| *host == self.host)
    }

    fn update_reader_role(&mut self, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        let is_reader = self.rank(LOG_READER_JOB, self.settings.readers, view).is_some();
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            actions.push(SpreadAction::ReadLog(is_reader));
        }
    }

    fn digest(&self) -> SpreadMessage {
        let is_settled = self.state_offset == self.records.next();
        SpreadMessage::Digest {
            next_offset: self.records.next(),
            state: if is_settled { self.state } else { StateHash::default() },
            statuses: self.statuses.hash(),
        }
    }

    fn local_neighbours<'view>(&self, view: &'view MembersView) -> impl Iterator<Item = &'view Member> {
        let own = self.host.clone();
        view.in_data_centre(&self.data_centre).iter().filter(move |member| member.host != own)
    }

    fn send_digest(&mut self, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        if self.digest_order.is_empty() {
            self.digest_order = self.local_neighbours(view).map(|member| member.host.clone()).collect();
            self.digest_order.shuffle(&mut self.rng);
        }
        if let Some(to) = self.digest_order.pop() {
            let message = self.digest();
            actions.push(SpreadAction::Send { to, message });
        }
    }

    fn send_digest_across(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        let is_bridge = self.rank("bridge", self.settings.bridges, view).is_some();
        if !is_bridge || !is_due(self.last_bridge_us, now_us, self.settings.bridge_interval_ms) {
            return;
        }
        self.last_bridge_us = Some(now_us);
        let others: Vec<&DataCentreId> = self.other_data_centres(view).collect();
        let Some(data_centre) = others.choose(&mut self.rng) else {
            return;
        };
        if let Some(to) = pick_member(view, data_centre, &mut self.rng) {
            let message = self.digest();
            actions.push(SpreadAction::Send { to, message });
        }
    }

    fn other_data_centres<'view>(
        &self,
        view: &'view MembersView,
    ) -> impl Iterator<Item = &'view DataCentreId> {
        let own = self.data_centre.clone();
        view.members.keys().filter(move |data_centre| **data_centre != own)
    }

    fn receive(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        from: HostId,
        message: SpreadMessage,
        actions: &mut Vec<SpreadAction>,
    ) {
        match message {
            SpreadMessage::Digest { next_offset, state, statuses } => {
                self.compare_digest(now_us, from, next_offset, state, statuses, actions);
            }
            SpreadMessage::Records(records) => self.receive_records(now_us, view, from, records, actions),
            SpreadMessage::Pull { from: offset } => self.answer_pull(from, offset, actions),
            SpreadMessage::PullState { next_offset, part } => {
                self.answer_state(from, next_offset, part, actions);
            }
            SpreadMessage::StatePart { next_offset, part, parts, data } => {
                self.receive_state_part(now_us, &from, next_offset, part, parts, data, actions);
            }
            SpreadMessage::Statuses(statuses) => self.receive_statuses(now_us, view, statuses, actions),
            SpreadMessage::PartialLoad(models) => self.loads.insert_partial(now_us, from, models),
            SpreadMessage::Load(summary) => self.receive_load(now_us, view, summary, actions),
        }
    }

    /// Forwards new data to this daemon's neighbours in its data centre.
    fn forward(&self, view: &MembersView, message: &SpreadMessage, actions: &mut Vec<SpreadAction>) {
        for to in self.successors(view) {
            actions.push(SpreadAction::Send { to, message: message.clone() });
        }
    }

    /// Neighbours in the Imase-Itoh graph over the sorted hosts: daemon `i` of `n` forwards to `-(d*i) - j
    /// mod n` for `j` in `1..=d`. Every daemon is reached in at most `ceil(log_d n)` hops and receives each
    /// message `d` times, so that one dead relay isolates nobody.
    fn successors(&self, view: &MembersView) -> Vec<HostId> {
        let members = view.in_data_centre(&self.data_centre);
        let count = members.len();
        let Ok(index) = members.binary_search_by(|member| member.host.cmp(&self.host)) else {
            return Vec::new();
        };
        let fanout = self.settings.fanout;
        let mut successors = Vec::with_capacity(fanout);
        for step in 1..=fanout {
            let target = (count - 1) - ((fanout * index + step - 1) % count);
            if let Some(member) = members.get(target)
                && target != index
                && !successors.contains(&member.host)
            {
                successors.push(member.host.clone());
            }
        }
        successors
    }
}

fn is_due(last_us: Option<MonoTime>, now_us: MonoTime, every_ms: Millis) -> bool {
    last_us.is_none_or(|last_us| now_us.since(last_us) >= Micros::from(every_ms))
}

/// Picks a random daemon of a data centre, preferring eligible ones.
fn pick_member(view: &MembersView, data_centre: &DataCentreId, rng: &mut StdRng) -> Option<HostId> {
    let members = view.in_data_centre(data_centre);
    let live = members.iter().filter(|member| member.is_eligible()).choose(rng);
    live.or_else(|| members.choose(rng)).map(|member| member.host.clone())
}
