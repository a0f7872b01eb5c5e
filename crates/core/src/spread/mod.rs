//! Spreading between daemons: configuration records, signs of servers, load summaries.
//!
//! News is passed on at once: each daemon hands what it sees for the first time to a fixed few neighbours of
//! its data centre, so that it reaches all in a logarithm of hops although each sends only that few copies.
//! What gets lost on the way, because a relay died or a link was cut, is mended by digests: daemons tell each
//! other how far they are, and whoever is behind is given what it lacks. Only higher offsets are adopted.
//!
//! A few daemons of each data centre read the log; a data centre that cannot reach it lives on the digests
//! that other data centres send. `docs/MEMBERSHIP.md` has the arithmetic and the ways weighed.

mod loads;
mod message;
mod records;
mod settings;
mod signs;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use self::loads::Loads;
use self::records::Records;
use self::signs::Signs;
use crate::ids::{BackendServerId, DataCentreId, HostId, Offset};
use crate::membership::{Member, MembersView};
use crate::units::{Micros, Millis, MonoTime};
use crate::watch::{JobHash, owners_in};

pub use self::message::{
    ConfigRecord, LoadSummary, ModelLoad, ModelTag, RecordData, ServerSign, SignRecord, SpreadMessage,
    StateHash,
};
pub use self::settings::SpreadSettings;

/// The job, in each data centre, of reading the configuration stream from the log.
pub const LOG_READER_JOB: &str = "log-reader";

/// What is spread and not configuration, as one daemon knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadView {
    /// Servers that some daemon saw refusing or leaving, or taking again.
    pub signs: HashMap<BackendServerId, ServerSign>,
    /// Load of the data centres.
    pub loads: BTreeMap<DataCentreId, LoadSummary>,
}

impl SpreadView {
    /// Whether new work may go to `server` as far as signs tell.
    pub fn may_take(&self, server: &BackendServerId) -> bool {
        !matches!(self.signs.get(server), Some(ServerSign::Leaving | ServerSign::Refusing))
    }
}

/// What happens to the spreading of a daemon.
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// [`SpreadSettings::tick_ms`] have passed.
    Tick,
    /// A message of another daemon.
    Message {
        /// Its host.
        from: HostId,
        /// What it says.
        message: SpreadMessage,
    },
    /// Records read from the log.
    LogRecords(Vec<ConfigRecord>),
    /// The configuration in force.
    Applied {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its hash.
        state: StateHash,
    },
    /// The encoded state, after [`SpreadAction::ProvideState`].
    State {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its encoding.
        data: Arc<[u8]>,
    },
    /// This daemon saw a server refusing, leaving, or taking work again.
    Saw {
        /// The server.
        server: BackendServerId,
        /// What it did.
        sign: ServerSign,
    },
    /// Load of the servers that this daemon watches.
    Load(Vec<ModelLoad>),
}

/// What spreading wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadAction {
    /// Send a message to a daemon.
    Send {
        /// Its host.
        to: HostId,
        /// What to say.
        message: SpreadMessage,
    },
    /// Records in the order of the log, without a gap behind those delivered before.
    Deliver(Vec<ConfigRecord>),
    /// A state further on than what was delivered.
    AdoptState {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its encoding.
        data: Arc<[u8]>,
    },
    /// Another daemon needs the encoded state: answer with [`SpreadEvent::State`].
    ProvideState,
    /// Whether this daemon is to read the configuration stream from the log.
    ReadLog(bool),
    /// Signs or loads changed.
    Publish(SpreadView),
}

/// Counts of what happened, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpreadCounts {
    /// Records that came first from the log.
    pub records_read: u64,
    /// Records that came first from another daemon.
    pub records_relayed: u64,
    /// Records that came again.
    pub records_again: u64,
    /// Pulls sent because something was missing.
    pub pulls: u64,
    /// States adopted from other daemons.
    pub states_adopted: u64,
    /// Digests with the same offset and another hash: two daemons folded the same records differently.
    pub diverged: u64,
    /// Signs passed on.
    pub signs: u64,
}

impl SpreadCounts {
    /// The counts by name, for metrics.
    pub fn by_name(&self) -> [(&'static str, u64); 7] {
        [
            ("spread-read", self.records_read),
            ("spread-relayed", self.records_relayed),
            ("spread-again", self.records_again),
            ("spread-pulled", self.pulls),
            ("spread-state-adopted", self.states_adopted),
            ("spread-diverged", self.diverged),
            ("spread-sign", self.signs),
        ]
    }
}

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

    /// Compares what another daemon has with what is here. Whoever is ahead gives; whoever is behind asks. Over a
    /// link that works in one direction only the request is lost, and a third daemon has to mend.
    fn compare(
        &mut self,
        now_us: MonoTime,
        from: HostId,
        next_offset: Offset,
        state: StateHash,
        signs: [u8; 4],
        actions: &mut Vec<SpreadAction>,
    ) {
        let next = self.records.next();
        if next_offset > next {
            self.pull(now_us, from.clone(), actions);
        } else if next_offset < next {
            self.give(from.clone(), next_offset, actions);
        } else if self.is_other_state(state) {
            self.counts.diverged += 1;
        }
        if signs != self.signs.hash() {
            self.give_signs(now_us, from, actions);
        }
    }

    fn is_other_state(&self, state: StateHash) -> bool {
        self.state_offset == self.records.next()
            && state != StateHash::default()
            && self.state != StateHash::default()
            && state != self.state
    }

    fn pull(&mut self, now_us: MonoTime, from: HostId, actions: &mut Vec<SpreadAction>) {
        if self.fetch.is_some() || !is_due(self.pulled_us, now_us, self.settings.retry_ms) {
            return;
        }
        self.pulled_us = Some(now_us);
        self.counts.pulls += 1;
        actions.push(SpreadAction::Send {
            to: from,
            message: SpreadMessage::Pull { from: self.records.next() },
        });
    }

    /// Gives records to a daemon that is behind, or tells it to fetch the state when they are gone.
    fn give(&self, to: HostId, from: Offset, actions: &mut Vec<SpreadAction>) {
        let message = match self.records.from(from, self.settings.part_bytes) {
            Some(records) => SpreadMessage::Records(records),
            None => self.digest(),
        };
        actions.push(SpreadAction::Send { to, message });
    }

    fn answer_pull(&mut self, to: HostId, from: Offset, actions: &mut Vec<SpreadAction>) {
        if from >= self.records.next() {
            return;
        }
        if let Some(records) = self.records.from(from, self.settings.part_bytes) {
            let message = SpreadMessage::Records(records);
            actions.push(SpreadAction::Send { to, message });
            return;
        }
        self.answer_state(to, None, 0, actions);
    }

    fn answer_state(
        &mut self,
        to: HostId,
        next_offset: Option<Offset>,
        part: u32,
        actions: &mut Vec<SpreadAction>,
    ) {
        let present = self.records.next();
        let usable = self.provided.as_ref().filter(|(provided, _)| match next_offset {
            Some(wanted) => *provided == wanted,
            None => *provided == present,
        });
        if let Some((provided, data)) = usable {
            if let Some(message) = state_part(*provided, data, part, self.settings.part_bytes) {
                actions.push(SpreadAction::Send { to, message });
            }
            return;
        }
        if self.state_asked.is_empty() {
            actions.push(SpreadAction::ProvideState);
        }
        if !self.state_asked.contains(&to) {
            self.state_asked.push(to);
        }
    }

    fn provide(&mut self, next_offset: Offset, data: Arc<[u8]>, actions: &mut Vec<SpreadAction>) {
        for to in std::mem::take(&mut self.state_asked) {
            if let Some(message) = state_part(next_offset, &data, 0, self.settings.part_bytes) {
                actions.push(SpreadAction::Send { to, message });
            }
        }
        self.provided = Some((next_offset, data));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn take_part(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        next_offset: Offset,
        part: u32,
        parts: u32,
        data: Arc<[u8]>,
        actions: &mut Vec<SpreadAction>,
    ) {
        if next_offset <= self.records.next() {
            self.fetch = None;
            return;
        }
        if part == 0 && self.fetch.is_none() {
            self.fetch = Some(Fetch {
                from: from.clone(),
                next_offset: Some(next_offset),
                parts: Vec::new(),
                asked_us: now_us,
            });
        }
        let Some(fetch) = &mut self.fetch else { return };
        let is_next = fetch.from == *from
            && fetch.next_offset == Some(next_offset)
            && fetch.parts.len() == part as usize;
        if !is_next {
            return;
        }
        fetch.parts.push(data);
        fetch.asked_us = now_us;
        if fetch.parts.len() < parts as usize {
            actions.push(SpreadAction::Send {
                to: from.clone(),
                message: SpreadMessage::PullState { next_offset: Some(next_offset), part: part + 1 },
            });
            return;
        }
        let data: Arc<[u8]> = fetch.parts.concat().into();
        self.fetch = None;
        self.counts.states_adopted += 1;
        self.records.advance(next_offset);
        actions.push(SpreadAction::AdoptState { next_offset, data });
        self.deliver(actions);
    }

    fn expire_fetch(&mut self, now_us: MonoTime) {
        let wait_us = Micros::from(Millis(self.settings.retry_ms.0 * 2));
        if self.fetch.as_ref().is_some_and(|fetch| now_us.since(fetch.asked_us) > wait_us) {
            self.fetch = None;
        }
    }

    fn applied(&mut self, next_offset: Offset, state: StateHash) {
        if next_offset < self.state_offset {
            return;
        }
        self.state = state;
        self.state_offset = next_offset;
        self.records.advance(next_offset);
    }

    fn take_relayed(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        from: HostId,
        records: Vec<ConfigRecord>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let new = self.take_records(records, view, actions);
        self.counts.records_relayed += new;
        if new > 0 {
            // The pull was answered, the next one need not wait.
            self.pulled_us = None;
        }
        if self.records.has_gap() {
            self.pull(now_us, from, actions);
        }
    }

    /// Takes records in, passes the new ones on, and delivers what has no gap. Returns how many were new.
    fn take_records(
        &mut self,
        records: Vec<ConfigRecord>,
        view: &MembersView,
        actions: &mut Vec<SpreadAction>,
    ) -> u64 {
        let total = records.len();
        let new: Vec<ConfigRecord> =
            records.into_iter().filter(|record| self.records.is_new(record.offset)).collect();
        self.counts.records_again += (total - new.len()) as u64;
        if new.is_empty() {
            return 0;
        }
        let count = new.len() as u64;
        let passed: Vec<ConfigRecord> = new.iter().map(|record| self.elide(record)).collect();
        for batch in batches(passed, self.settings.part_bytes) {
            self.pass_on(view, &SpreadMessage::Records(batch), actions);
        }
        for record in new {
            self.records.insert(record);
        }
        self.deliver(actions);
        count
    }

    fn deliver(&mut self, actions: &mut Vec<SpreadAction>) {
        let delivered = self.records.deliver(self.settings.kept_bytes);
        if !delivered.is_empty() {
            actions.push(SpreadAction::Deliver(delivered));
        }
    }

    fn elide(&self, record: &ConfigRecord) -> ConfigRecord {
        match &record.data {
            RecordData::Whole(data) if data.len() > self.settings.elided_above_bytes => {
                ConfigRecord { offset: record.offset, data: RecordData::Elided }
            }
            _ => record.clone(),
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

    fn saw(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        server: BackendServerId,
        sign: ServerSign,
        actions: &mut Vec<SpreadAction>,
    ) {
        let Some(record) = self.signs.see(now_us, server, sign, &self.host, &self.settings) else {
            return;
        };
        self.publish_now(actions);
        self.spread_sign(view, record, actions);
    }

    fn take_signs(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        signs: Vec<SignRecord>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let mut has_news = false;
        for record in signs {
            if self.signs.adopt(now_us, record.clone(), &self.settings) {
                has_news = true;
                self.spread_sign(view, record, actions);
            }
        }
        if has_news {
            self.publish_now(actions);
        }
    }

    /// Signs are acted on at once: until the traffic threads see them, work goes to a server that refuses it.
    fn publish_now(&mut self, actions: &mut Vec<SpreadAction>) {
        self.is_changed = false;
        actions.push(SpreadAction::Publish(self.view()));
    }

    /// Passes a sign on inside the data centre, and to the others if it was seen here.
    fn spread_sign(&mut self, view: &MembersView, record: SignRecord, actions: &mut Vec<SpreadAction>) {
        self.counts.signs += 1;
        let seen_here =
            view.in_data_centre(&self.data_centre).iter().any(|member| member.host == record.seen_by);
        let message = SpreadMessage::Signs(vec![record]);
        self.pass_on(view, &message, actions);
        if seen_here {
            self.send_across(view, &message, actions);
        }
    }

    /// Sends to one daemon of each other data centre; the bridges share the data centres between them.
    fn send_across(&mut self, view: &MembersView, message: &SpreadMessage, actions: &mut Vec<SpreadAction>) {
        let bridges = self.ranks("bridge", self.settings.bridges, view);
        let Some(rank) = bridges.iter().position(|host| *host == self.host) else {
            return;
        };
        let targets: Vec<&DataCentreId> = self
            .other_data_centres(view)
            .enumerate()
            .filter(|(index, _)| index % bridges.len() == rank)
            .map(|(_, data_centre)| data_centre)
            .collect();
        for data_centre in targets {
            if let Some(to) = pick(view, data_centre, &mut self.rng) {
                actions.push(SpreadAction::Send { to, message: message.clone() });
            }
        }
    }

    /// Signs for a daemon that has others: a random few, so that repeated digests bring all across.
    fn give_signs(&mut self, now_us: MonoTime, to: HostId, actions: &mut Vec<SpreadAction>) {
        let limit = self.settings.signs_per_message;
        let signs = self.signs.records(now_us).sample(&mut self.rng, limit);
        if !signs.is_empty() {
            let message = SpreadMessage::Signs(signs);
            actions.push(SpreadAction::Send { to, message });
        }
    }

    fn tell_load(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        if self.own_load.is_empty() || !is_due(self.partial_us, now_us, self.settings.partial_load_ms) {
            return;
        }
        self.partial_us = Some(now_us);
        let Some(to) = self.ranks("load-summary", 1, view).pop() else {
            return;
        };
        if to == self.host {
            self.loads.take_part(now_us, self.host.clone(), self.own_load.clone());
            return;
        }
        let message = SpreadMessage::PartialLoad(self.own_load.clone());
        actions.push(SpreadAction::Send { to, message });
    }

    fn sum_up(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        if self.rank("load-summary", 1, view) != Some(0)
            || !is_due(self.summed_us, now_us, self.settings.load_ms)
        {
            return;
        }
        self.summed_us = Some(now_us);
        let summary = self.loads.sum_up(now_us, &self.data_centre, &self.settings);
        if summary.models.is_empty() {
            return;
        }
        let message = SpreadMessage::Load(summary.clone());
        let targets: Vec<&DataCentreId> = self.other_data_centres(view).collect();
        for data_centre in targets {
            if let Some(to) = pick(view, data_centre, &mut self.rng) {
                actions.push(SpreadAction::Send { to, message: message.clone() });
            }
        }
        self.take_load(now_us, view, summary, actions);
    }

    fn take_load(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        summary: LoadSummary,
        actions: &mut Vec<SpreadAction>,
    ) {
        if self.loads.adopt(now_us, summary.clone()) {
            self.is_changed = true;
            self.pass_on(view, &SpreadMessage::Load(summary), actions);
        }
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

fn state_part(next_offset: Offset, data: &[u8], part: u32, part_bytes: usize) -> Option<SpreadMessage> {
    let parts = u32::try_from(data.len().div_ceil(part_bytes).max(1)).ok()?;
    if part >= parts {
        return None;
    }
    let start = part as usize * part_bytes;
    let end = data.len().min(start + part_bytes);
    Some(SpreadMessage::StatePart { next_offset, part, parts, data: data.get(start..end)?.into() })
}

/// Splits records into messages of about `limit_bytes`.
fn batches(records: Vec<ConfigRecord>, limit_bytes: usize) -> Vec<Vec<ConfigRecord>> {
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = match &record.data {
            RecordData::Whole(data) => data.len(),
            RecordData::Elided => 0,
        };
        if bytes > 0 && bytes + size > limit_bytes {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}
