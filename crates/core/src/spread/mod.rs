//! Spreading between daemons: configuration records, signs of servers, load summaries.
//!
//! News is passed on at once: each daemon hands what it sees for the first time to a fixed few neighbours of
//! its data centre, so that it reaches all in a logarithm of hops although each sends only that few copies.
//! What gets lost on the way, because a relay died or a link was cut, is mended by digests: daemons tell each
//! other how far they are, and whoever is behind is given what it lacks. Only higher offsets are adopted.
//!
//! A few daemons of each data centre read the log; a data centre that cannot reach it lives on the digests
//! that other data centres send. `docs/MEMBERSHIP.md` has the arithmetic and the ways weighed.

mod changes;
mod event;
mod loads;
mod message;
mod news;
mod records;
mod settings;
mod signs;

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use self::loads::Loads;
use self::records::Records;
use self::signs::Signs;
use crate::ids::{DataCentreId, HostId, Offset};
use crate::membership::{Member, MembersView};
use crate::units::{Micros, Millis, MonoTime};
use crate::watch::{JobHash, owners_in};

pub use self::event::{SpreadAction, SpreadCounts, SpreadEvent, SpreadView};
pub use self::message::{
    ConfigRecord, LoadSummary, ModelLoad, ModelTag, RecordData, ServerSign, SignRecord, SpreadMessage,
    StateHash,
};
pub use self::settings::SpreadSettings;

/// The job, in each data centre, of reading the configuration stream from the log.
pub const LOG_READER_JOB: &str = "log-reader";

/// A state on its way to this daemon, part by part.
#[derive(Clone, Debug)]
struct Fetch {
    from: HostId,
    next_offset: Option<Offset>,
    parts: Vec<Arc<[u8]>>,
    asked_us: MonoTime,
}

/// The spreading of one daemon.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    host: HostId,
    data_centre: DataCentreId,
    records: Records,
    state: StateHash,
    state_offset: Offset,
    provided: Option<(Offset, Arc<[u8]>)>,
    state_asked: Vec<HostId>,
    fetch: Option<Fetch>,
    pulled_us: Option<MonoTime>,
    signs: Signs,
    loads: Loads,
    own_load: Vec<ModelLoad>,
    round: Vec<HostId>,
    bridged_us: Option<MonoTime>,
    partial_us: Option<MonoTime>,
    summed_us: Option<MonoTime>,
    is_reader: bool,
    is_changed: bool,
    counts: SpreadCounts,
    rng: StdRng,
}

impl Spread {
    /// The spreading of the daemon on `host`; `seed` makes its random choices repeatable.
    pub fn new(settings: SpreadSettings, host: HostId, data_centre: DataCentreId, seed: u64) -> Self {
        Self {
            settings,
            host,
            data_centre,
            records: Records::default(),
            state: StateHash::default(),
            state_offset: Offset::default(),
            provided: None,
            state_asked: Vec::new(),
            fetch: None,
            pulled_us: None,
            signs: Signs::default(),
            loads: Loads::default(),
            own_load: Vec::new(),
            round: Vec::new(),
            bridged_us: None,
            partial_us: None,
            summed_us: None,
            is_reader: false,
            is_changed: false,
            counts: SpreadCounts::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Counts so far.
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

    /// What is spread and not configuration.
    pub fn view(&self) -> SpreadView {
        SpreadView { signs: self.signs.current(), loads: self.loads.current() }
    }

    /// Takes an event in and adds to `actions` what is to be done.
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
                let new = self.take_records(records, view, actions);
                self.counts.records_read += new;
            }
            SpreadEvent::Applied { next_offset, state } => self.applied(next_offset, state),
            SpreadEvent::State { next_offset, data } => self.provide(next_offset, data, actions),
            SpreadEvent::Saw { server, sign } => self.saw(now_us, view, server, sign, actions),
            SpreadEvent::Load(models) => self.own_load = models,
        }
    }

    fn tick(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        self.choose_reader(view, actions);
        self.tell_neighbour(view, actions);
        self.bridge(now_us, view, actions);
        self.tell_load(now_us, view, actions);
        self.sum_up(now_us, view, actions);
        self.expire_fetch(now_us);
        let signs_went = self.signs.expire(now_us);
        let loads_went = self.loads.expire(now_us, &self.settings);
        if self.is_changed || signs_went || loads_went {
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

    fn choose_reader(&mut self, view: &MembersView, actions: &mut Vec<SpreadAction>) {
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
            signs: self.signs.hash(),
        }
    }

    fn neighbours_here<'view>(&self, view: &'view MembersView) -> impl Iterator<Item = &'view Member> {
        let own = self.host.clone();
        view.in_data_centre(&self.data_centre).iter().filter(move |member| member.host != own)
    }

    fn tell_neighbour(&mut self, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        if self.round.is_empty() {
            self.round = self.neighbours_here(view).map(|member| member.host.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        if let Some(to) = self.round.pop() {
            let message = self.digest();
            actions.push(SpreadAction::Send { to, message });
        }
    }

    fn bridge(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        let is_bridge = self.rank("bridge", self.settings.bridges, view).is_some();
        if !is_bridge || !is_due(self.bridged_us, now_us, self.settings.bridge_ms) {
            return;
        }
        self.bridged_us = Some(now_us);
        let others: Vec<&DataCentreId> = self.other_data_centres(view).collect();
        let Some(data_centre) = others.choose(&mut self.rng) else {
            return;
        };
        if let Some(to) = pick(view, data_centre, &mut self.rng) {
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
            SpreadMessage::Digest { next_offset, state, signs } => {
                self.compare(now_us, from, next_offset, state, signs, actions);
            }
            SpreadMessage::Records(records) => self.take_relayed(now_us, view, from, records, actions),
            SpreadMessage::Pull { from: offset } => self.answer_pull(from, offset, actions),
            SpreadMessage::PullState { next_offset, part } => {
                self.answer_state(from, next_offset, part, actions);
            }
            SpreadMessage::StatePart { next_offset, part, parts, data } => {
                self.take_part(now_us, &from, next_offset, part, parts, data, actions);
            }
            SpreadMessage::Signs(signs) => self.take_signs(now_us, view, signs, actions),
            SpreadMessage::PartialLoad(models) => self.loads.take_part(now_us, from, models),
            SpreadMessage::Load(summary) => self.take_load(now_us, view, summary, actions),
        }
    }

    /// Hands news to the neighbours of this daemon in its data centre.
    fn pass_on(&self, view: &MembersView, message: &SpreadMessage, actions: &mut Vec<SpreadAction>) {
        for to in self.successors(view) {
            actions.push(SpreadAction::Send { to, message: message.clone() });
        }
    }

    /// Neighbours in the graph of Imase and Itoh over the sorted hosts: daemon `i` of `n` hands on to
    /// `-(d*i) - j mod n` for `j` in `1..=d`. Any daemon is reached in at most `ceil(log_d n)` hops, each is
    /// handed each news `d` times, and one dead relay cuts nobody off.
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

/// A random daemon of a data centre, one that lives if there is one.
fn pick(view: &MembersView, data_centre: &DataCentreId, rng: &mut StdRng) -> Option<HostId> {
    let members = view.in_data_centre(data_centre);
    let live = members.iter().filter(|member| member.is_eligible()).choose(rng);
    live.or_else(|| members.choose(rng)).map(|member| member.host.clone())
}
