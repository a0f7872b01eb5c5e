//! An engine pool in virtual time, with one or several daemons in front.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hibiscusvale_core::ids::{
    BackendServerId, DataCentreId, HostId, Incarnation, RequestId, SoftwareVersion,
};
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::relay::engines::{
    DataCentreReport, Demand, EngineAction, EngineEvent, EnginePool, EnginePoolSettings, ListedEngine,
    MemoryReport, PoolUsage, Role, SpeedSample, VersionBinding,
};
use hibiscusvale_core::relay::recipients::Recipients;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::shares::{Claim, OrganisationKey, max_min_level};
use hibiscusvale_core::units::{Millis, MonoTime, Tokens};

/// Tokens that a prefill engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 55;

/// Hundredths of a token that a decode engine decodes per millisecond for one request.
const DECODE_TOKENS_PER_MS_HUNDREDTHS: u64 = 172;

/// Time between two events of an answer.
const EVENT_MS: Millis = Millis(50);

/// Transit time of a message between a daemon and an engine.
const MESSAGE_MS: u64 = 1;

pub fn server(name: &str) -> BackendServerId {
    name.parse().unwrap()
}

pub fn request_id(sequence: u64) -> RequestId {
    RequestId { incarnation: Incarnation::new(1, 1), sequence }
}

pub fn listed(name: &str, role: Role) -> ListedEngine {
    ListedEngine {
        server: server(name),
        version: SoftwareVersion::default(),
        role,
        slots: 12,
        leaving: false,
        data_centre: "dc-0".parse().unwrap(),
        is_local: true,
    }
}

pub fn settings() -> EnginePoolSettings {
    EnginePoolSettings {
        memory_tokens: Tokens(81_432),
        event_tokens: 86,
        reserve_ms_max: Millis(2_000),
        ..EnginePoolSettings::default()
    }
}

pub fn demand(sequence: u64, prompt_tokens: u64, answer_tokens: u64) -> Demand {
    Demand {
        request_id: request_id(sequence),
        prompt_tokens: Tokens(prompt_tokens),
        answer_tokens_max: Tokens(11_180),
        answer_tokens_hint: Some(Tokens(answer_tokens)),
        repeatability: Repeatability::Repeatable,
        attempts_max: 2,
        target_ms: Millis(900),
        waited_ms: Millis::ZERO,
        gap_target_ms: Some(Millis(300)),
        max_wait_ms: Millis(2_700),
        priority: 1,
        binding: VersionBinding::Any,
        organisation: None,
    }
}

/// A pool with its clock and the actions that it has requested so far.
pub struct Harness {
    pub pool: EnginePool,
    pub now_us: MonoTime,
    pub actions: Vec<EngineAction>,
}

impl Harness {
    pub fn new(settings: EnginePoolSettings, engines: &[(&str, Role)]) -> Self {
        let mut harness = Self {
            pool: EnginePool::new(settings, &"entry-0".parse().unwrap(), 0),
            now_us: MonoTime::default(),
            actions: Vec::new(),
        };
        harness.feed(EngineEvent::Engines(engines.iter().map(|&(name, role)| listed(name, role)).collect()));
        harness
    }

    pub fn after(&mut self, wait_ms: u64) -> &mut Self {
        self.now_us = self.now_us + Millis(wait_ms);
        self
    }

    /// Feeds an event and returns the resulting actions without `Wake`.
    pub fn feed(&mut self, event: EngineEvent) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        self.pool.handle(self.now_us, event, &mut actions);
        actions.retain(|action| !matches!(action, EngineAction::Wake { .. }));
        self.actions.extend(actions.clone());
        actions
    }

    pub fn arrive(&mut self, demand: Demand) -> Vec<EngineAction> {
        self.feed(EngineEvent::Arrived(demand))
    }

    pub fn reserved(&mut self, sequence: u64) -> Vec<EngineAction> {
        self.feed(EngineEvent::Reserved { request_id: request_id(sequence) })
    }

    pub fn prefilled(&mut self, sequence: u64) -> Vec<EngineAction> {
        self.feed(EngineEvent::Prefilled { request_id: request_id(sequence) })
    }

    pub fn progress(&mut self, sequence: u64, events: u64) {
        let longest_pause_ms = EVENT_MS;
        self.feed(EngineEvent::Progress { request_id: request_id(sequence), events, longest_pause_ms });
    }

    pub fn decode_failed(&mut self, sequence: u64, cause: FailureCause) -> Vec<EngineAction> {
        self.feed(EngineEvent::DecodeFailed { request_id: request_id(sequence), cause })
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InTime,
    Late,
    Refused { at_ms: u64 },
}

/// A request at a decode engine: its memory is what was reserved until the answer begins, then its prompt and
/// the decoded tokens.
struct Run {
    reserved: u64,
    prompt: u64,
    answer: u64,
    started_ms: Option<u64>,
    speed_percent: u64,
}

impl Run {
    fn tokens(&self, at_ms: u64) -> u64 {
        let Some(started_ms) = self.started_ms else {
            return self.reserved;
        };
        let decoded =
            at_ms.saturating_sub(started_ms) * DECODE_TOKENS_PER_MS_HUNDREDTHS * self.speed_percent / 10_000;
        self.prompt + decoded.min(self.answer)
    }
}

/// Actual state of an engine.
struct Engine {
    speed_percent: u64,
    prefill_until_ms: u64,
    held: HashMap<RequestId, Run>,
}

impl Engine {
    fn tokens(&self, at_ms: u64) -> u64 {
        self.held.values().map(|run| run.tokens(at_ms)).sum()
    }
}

fn role_of(server: &BackendServerId) -> Role {
    if server.as_str().starts_with('w') { Role::Decode } else { Role::Prefill }
}

/// A request as sent by its caller, and the length that its answer will have.
struct Expected {
    daemon: usize,
    arrived_ms: u64,
    prompt: u64,
    answer: u64,
    priority: u8,
    organisation: Option<OrganisationKey>,
}

/// A request that waits for an engine.
struct Waiting {
    daemon: usize,
    arrived_ms: u64,
    prompt: u64,
    /// Memory that it takes when it ends, with the margin of the pool.
    size: u64,
    priority: u8,
    organisation: Option<OrganisationKey>,
}

impl Waiting {
    fn of(expected: &Expected) -> Self {
        Self {
            daemon: expected.daemon,
            arrived_ms: expected.arrived_ms,
            prompt: expected.prompt,
            size: expected.prompt + expected.answer * 5 / 4,
            priority: expected.priority,
            organisation: expected.organisation,
        }
    }
}

enum Event {
    Arrived { daemon: usize, demand: Demand, answer_tokens: u64 },
    Feed { daemon: usize, event: EngineEvent },
    Deliver { daemon: usize, message: Box<Message> },
    Finish { daemon: usize, decode_engine: BackendServerId, request_id: RequestId, events: u64 },
    Message { daemon: usize },
    Heartbeat { daemon: usize },
    Sample,
}

/// What daemons tell each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sharing {
    /// Whether they send their usage.
    pub usage: bool,
    /// Whether they send memory reports with it.
    pub memory: bool,
    /// Least time between two messages of a daemon.
    pub interval_ms: u64,
    /// One report in this many is lost; none if 0.
    pub lost_one_in: u64,
    /// Whether the speeds that every second daemon reports are lost.
    pub loses_speeds: bool,
}

/// Fleet in several data centres, in which messages stay within a data centre except for links.
pub struct DataCentres {
    count: usize,
    /// Recipients of the messages of each daemon.
    recipients: Vec<Vec<usize>>,
    /// Whether daemons tell each other the loads of data centres.
    pub reports: bool,
    /// Data centre that is cut off from the others, and from when to when.
    pub cut_ms: Option<(usize, u64, u64)>,
}

impl DataCentres {
    /// Daemons and engines are in the data centres in turn, by number.
    fn new(daemons: usize, count: usize) -> Self {
        let places: Vec<(HostId, DataCentreId)> =
            (0..daemons).map(|number| (host(number), data_centre(number % count))).collect();
        let numbers: HashMap<&HostId, usize> =
            places.iter().enumerate().map(|(number, (host, _))| (host, number)).collect();
        let mut recipients = vec![Vec::new(); daemons];
        for (number, (own, at)) in places.iter().enumerate() {
            let others = places.iter().filter(|(host, _)| host != own).map(|(host, at)| (host, at));
            let selected = Recipients::select(own, at, others);
            recipients[number].extend(selected.members.iter().map(|host| numbers[host]));
            for link in selected.links.values().filter_map(|hosts| hosts.first()) {
                // A daemon sends to those that use it as their link as well.
                recipients[number].push(numbers[link]);
                recipients[numbers[link]].push(number);
            }
        }
        for recipients in &mut recipients {
            recipients.sort_unstable();
            recipients.dedup();
        }
        Self { count, recipients, reports: true, cut_ms: None }
    }

    fn is_cut(&self, at_ms: u64, one: usize, other: usize) -> bool {
        let (one, other) = (one % self.count, other % self.count);
        one != other
            && self.cut_ms.is_some_and(|(cut, from_ms, to_ms)| {
                (one == cut || other == cut) && (from_ms..to_ms).contains(&at_ms)
            })
    }
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

pub fn data_centre(number: usize) -> DataCentreId {
    format!("dc-{number}").parse().unwrap()
}

/// Data centre of an engine, by the number in its name.
pub fn engine_place(server: &BackendServerId, count: usize) -> usize {
    server.as_str().rsplit('-').next().unwrap().parse::<usize>().unwrap() % count
}

/// Longest time between two messages of a daemon.
const HEARTBEAT_MS: u64 = 700;

/// A message between daemons.
struct Message {
    usage: PoolUsage,
    data_centres: Option<DataCentreReport>,
    report: Option<MemoryReport>,
    samples: Vec<SpeedSample>,
}

/// Time, beyond one message interval, after which the order of requests is to hold over all daemons, and after which no
/// room is to be idle.
pub const ORDER_SETTLING_MS: u64 = 200;

/// Interval at which idle room is looked for.
const SAMPLE_MS: u64 = 10;

/// Memory that the pools keep free for answers that grow longer than expected, at most.
const HEADROOM_TOKENS: u64 = 25_000;

/// Several daemons in front of the same engines.
pub struct Simulation {
    daemons: Vec<EnginePool>,
    engines: HashMap<BackendServerId, Engine>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    answers: HashMap<RequestId, Expected>,
    pub sharing: Sharing,
    pub data_centres: Option<DataCentres>,
    /// When each daemon last sent a message.
    last_sent_ms: Vec<u64>,
    /// Whether each daemon has a message scheduled, and when it may send the next.
    messages: Vec<(bool, u64)>,
    reports_sent: u64,
    /// Requests that wait for an engine.
    waiting: HashMap<RequestId, Waiting>,
    /// Memory that the requests with a decode engine take when they end, by organisation.
    held_by_organisation: HashMap<Option<OrganisationKey>, u64>,
    weights: HashMap<OrganisationKey, f64>,
    /// Whether each organisation is beyond its share, and since when it has been so or not.
    share_states: HashMap<Option<OrganisationKey>, (bool, u64)>,
    /// Number of requests that got a decode engine.
    pub placements: u64,
    /// Number of those that got it while one of higher precedence had waited at another daemon for longer than
    /// `order_within_ms`.
    pub placements_out_of_order: u64,
    /// Time after which the order is to hold over all daemons.
    order_within_ms: u64,
    /// Since when each decode engine has had room for a request that waits.
    idle_since_ms: HashMap<BackendServerId, u64>,
    memory_tokens: u64,
    /// Longest time for which a decode engine had room while a request that fits waited.
    pub longest_idle_ms: u64,
    /// Outcome of each request.
    pub outcomes: HashMap<RequestId, Outcome>,
    /// Largest memory used on any decode engine, in tokens.
    pub peak_tokens: u64,
    /// Number of reservations that engines refused.
    pub refused_reservations: u64,
    /// What the daemons decided: time, daemon, action.
    pub log: Vec<(u64, usize, EngineAction)>,
}

impl Simulation {
    pub fn new(daemons: usize, engines: &[(&str, Role)], shares_usage: bool) -> Self {
        Self::with_sharing(daemons, engines, Sharing { usage: shares_usage, ..Sharing::default() })
    }

    pub fn with_sharing(daemons: usize, engines: &[(&str, Role)], sharing: Sharing) -> Self {
        let engines: Vec<(String, Role, u64)> =
            engines.iter().map(|&(name, role)| (name.to_owned(), role, 100)).collect();
        Self::with_speeds(settings(), daemons, &engines, sharing)
    }

    /// Daemons in front of engines with a speed in percent each.
    pub fn with_speeds(
        settings: EnginePoolSettings,
        daemons: usize,
        engines: &[(String, Role, u64)],
        sharing: Sharing,
    ) -> Self {
        let list: Vec<ListedEngine> = engines.iter().map(|(name, role, _)| listed(name, *role)).collect();
        let pool = |index| {
            let mut pool = EnginePool::new(settings, &format!("entry-{index}").parse().unwrap(), index);
            pool.handle(MonoTime::default(), EngineEvent::Engines(list.clone()), &mut Vec::new());
            pool
        };
        Self {
            daemons: (0..daemons).map(pool).collect(),
            engines: engines
                .iter()
                .map(|&(ref name, _, speed_percent)| {
                    (server(name), Engine { speed_percent, prefill_until_ms: 0, held: HashMap::new() })
                })
                .collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            answers: HashMap::new(),
            sharing,
            data_centres: None,
            last_sent_ms: vec![0; daemons],
            messages: vec![(false, 0); daemons],
            reports_sent: 0,
            waiting: HashMap::new(),
            held_by_organisation: HashMap::new(),
            weights: HashMap::new(),
            share_states: HashMap::new(),
            placements: 0,
            placements_out_of_order: 0,
            order_within_ms: sharing.interval_ms + ORDER_SETTLING_MS,
            idle_since_ms: HashMap::new(),
            longest_idle_ms: 0,
            memory_tokens: settings.memory_tokens.0,
            outcomes: HashMap::new(),
            peak_tokens: 0,
            refused_reservations: 0,
            log: Vec::new(),
        }
    }

    /// Puts daemons and engines into data centres in turn, by number. Daemons send messages until `to_ms` at least.
    pub fn split_into_data_centres(&mut self, settings: EnginePoolSettings, count: usize, to_ms: u64) {
        let settings = EnginePoolSettings { prefer_local: true, ..settings };
        for number in 0..self.daemons.len() {
            let place = number % count;
            let list = self.engines.keys().map(|name| {
                let engine_place = engine_place(name, count);
                ListedEngine {
                    data_centre: data_centre(engine_place),
                    is_local: engine_place == place,
                    ..listed(name.as_str(), role_of(name))
                }
            });
            let mut list: Vec<ListedEngine> = list.collect();
            list.sort_by(|one, other| one.server.cmp(&other.server));
            let mut pool = EnginePool::new(settings, &host(number), number);
            pool.set_data_centre(data_centre(place));
            pool.handle(MonoTime::default(), EngineEvent::Engines(list), &mut Vec::new());
            self.daemons[number] = pool;
            for at_ms in (number as u64 * 7 % HEARTBEAT_MS..to_ms).step_by(HEARTBEAT_MS as usize) {
                self.schedule(at_ms, Event::Heartbeat { daemon: number });
            }
        }
        self.data_centres = Some(DataCentres::new(self.daemons.len(), count));
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at_ms, self.next_event)));
    }

    pub fn arrive_at(&mut self, at_ms: u64, daemon: usize, demand: Demand, answer_tokens: u64) {
        self.schedule(at_ms, Event::Arrived { daemon, demand, answer_tokens });
    }

    pub fn set_weights(&mut self, weights: &HashMap<OrganisationKey, f64>) {
        self.weights.clone_from(weights);
        self.daemons.iter_mut().for_each(|pool| pool.set_weights(weights));
    }

    /// Looks for idle room from `from_ms` to `to_ms`.
    pub fn sample_idle_room(&mut self, from_ms: u64, to_ms: u64) {
        for at_ms in (from_ms..to_ms).step_by(SAMPLE_MS as usize) {
            self.schedule(at_ms, Event::Sample);
        }
    }

    fn sample(&mut self, at_ms: u64) {
        self.update_share_states(at_ms);
        let Some(smallest) = self.waiting.values().map(|waiting| waiting.size).min() else {
            self.idle_since_ms.clear();
            return;
        };
        for (name, engine) in &self.engines {
            let size = |run: &Run| run.prompt + run.answer * 5 / 4;
            let taken: u64 = engine.held.values().map(size).sum();
            let has_room = name.as_str().starts_with('w')
                && engine.held.len() < 12
                && taken + smallest + HEADROOM_TOKENS <= self.memory_tokens;
            if has_room {
                let since_ms = *self.idle_since_ms.entry(name.clone()).or_insert(at_ms);
                self.longest_idle_ms = self.longest_idle_ms.max(at_ms - since_ms);
            } else {
                self.idle_since_ms.remove(name);
            }
        }
    }

    fn hold(&mut self, organisation: Option<OrganisationKey>, change: i64) {
        let held = self.held_by_organisation.entry(organisation).or_default();
        *held = held.saturating_add_signed(change);
    }

    /// Organisations that hold their share of the memory and want more, with complete and instant knowledge.
    fn over_share(&self) -> Vec<Option<OrganisationKey>> {
        let mut needs = self.held_by_organisation.clone();
        for waiting in self.waiting.values() {
            *needs.entry(waiting.organisation).or_default() += waiting.size;
        }
        if needs.keys().all(Option::is_none) {
            return Vec::new();
        }
        let mean = self.weights.values().sum::<f64>() / self.weights.len().max(1) as f64;
        let weight = |organisation: &Option<OrganisationKey>| {
            organisation
                .and_then(|organisation| self.weights.get(&organisation))
                .map_or(1.0, |own| own / mean)
        };
        let claim = |(organisation, need): (&Option<OrganisationKey>, &u64)| Claim {
            need: *need as f64,
            weight: weight(organisation),
        };
        let claims: Vec<Claim> = needs.iter().map(claim).collect();
        let decode_engines = self.engines.keys().filter(|name| name.as_str().starts_with('w')).count() as u64;
        let level = max_min_level((decode_engines * self.memory_tokens) as f64, &claims);
        let is_over = |(organisation, need): &(&Option<OrganisationKey>, &u64)| {
            let share = level * weight(organisation);
            let held = self.held_by_organisation.get(*organisation).copied().unwrap_or_default();
            held as f64 >= share && **need as f64 > share
        };
        needs.iter().filter(is_over).map(|(organisation, _)| *organisation).collect()
    }

    fn update_share_states(&mut self, at_ms: u64) {
        let over_share = self.over_share();
        let known = self.held_by_organisation.keys().copied();
        let organisations: Vec<_> =
            known.chain(self.waiting.values().map(|waiting| waiting.organisation)).collect();
        for organisation in organisations {
            let is_over_share = over_share.contains(&organisation);
            let state = self.share_states.entry(organisation).or_insert((is_over_share, at_ms));
            if state.0 != is_over_share {
                *state = (is_over_share, at_ms);
            }
        }
    }

    /// Counts a placement, and whether a request of higher precedence waits at another daemon for too long. Organisations
    /// that went beyond their share or back within that time are compared with themselves only.
    fn check_order(&mut self, at_ms: u64, request_id: RequestId) {
        self.update_share_states(at_ms);
        let prefill_engines = self.engines.iter().filter(|(name, _)| name.as_str().starts_with('r'));
        let backlog_ms =
            prefill_engines.map(|(_, engine)| engine.prefill_until_ms.saturating_sub(at_ms)).min();
        let backlog_ms = backlog_ms.unwrap_or_default();
        let precedence = |waiting: &Waiting| {
            let prefill_ms = backlog_ms + waiting.prompt / PREFILL_TOKENS_PER_MS;
            let is_late = at_ms + prefill_ms + 100 >= waiting.arrived_ms + 900;
            let (is_over_share, _) =
                self.share_states.get(&waiting.organisation).copied().unwrap_or_default();
            (is_late, is_over_share, waiting.priority, waiting.arrived_ms)
        };
        let is_settled = |organisation: &Option<OrganisationKey>| {
            let (_, since_ms) = self.share_states.get(organisation).copied().unwrap_or_default();
            at_ms - since_ms > self.order_within_ms
        };
        let placed = &self.waiting[&request_id];
        let placed_precedence = precedence(placed);
        let is_passed_over = |other: &Waiting| {
            let is_comparable = other.organisation == placed.organisation
                || (is_settled(&other.organisation) && is_settled(&placed.organisation));
            other.daemon != placed.daemon
                && is_comparable
                && at_ms - other.arrived_ms > self.order_within_ms
                && precedence(other) < placed_precedence
        };
        let is_out_of_order = self.waiting.values().any(is_passed_over);
        let (organisation, size) = (placed.organisation, placed.size);
        self.placements += 1;
        self.placements_out_of_order += u64::from(is_out_of_order);
        self.hold(organisation, size.cast_signed());
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            match self.events.remove(&number) {
                Some(Event::Arrived { daemon, demand, answer_tokens }) => {
                    let expected = Expected {
                        daemon,
                        arrived_ms: at_ms,
                        prompt: demand.prompt_tokens.0,
                        answer: answer_tokens,
                        priority: demand.priority,
                        organisation: demand.organisation,
                    };
                    self.waiting.insert(demand.request_id, Waiting::of(&expected));
                    self.answers.insert(demand.request_id, expected);
                    self.feed(at_ms, daemon, EngineEvent::Arrived(demand));
                }
                Some(Event::Feed { daemon, event }) => self.feed(at_ms, daemon, event),
                Some(Event::Deliver { daemon, message }) => self.deliver(at_ms, daemon, &message),
                Some(Event::Finish { daemon, decode_engine, request_id, events }) => {
                    let engine = self.engines.get_mut(&decode_engine).unwrap();
                    // Memory is largest just before a request ends.
                    self.peak_tokens = self.peak_tokens.max(engine.tokens(at_ms));
                    engine.held.remove(&request_id);
                    let ended = Waiting::of(&self.answers[&request_id]);
                    self.hold(ended.organisation, -ended.size.cast_signed());
                    self.feed(at_ms, daemon, EngineEvent::Finished { request_id, events });
                }
                Some(Event::Message { daemon }) => self.send_message(at_ms, daemon),
                Some(Event::Heartbeat { daemon })
                    if at_ms >= self.last_sent_ms[daemon] + HEARTBEAT_MS / 2 =>
                {
                    self.send_message(at_ms, daemon);
                }
                Some(Event::Sample) => self.sample(at_ms),
                Some(Event::Heartbeat { .. }) | None => {}
            }
        }
    }

    fn feed(&mut self, at_ms: u64, daemon: usize, event: EngineEvent) {
        let now_us = MonoTime::default() + Millis(at_ms);
        let is_update = !matches!(
            event,
            EngineEvent::Peer { .. }
                | EngineEvent::PeerMemory { .. }
                | EngineEvent::PeerSpeeds(_)
                | EngineEvent::PeerDataCentre { .. }
                | EngineEvent::Tick
        );
        let mut actions = Vec::new();
        self.daemons[daemon].handle(now_us, event, &mut actions);
        // A refused request is dropped, and a daemon tells the others when one is.
        let is_refusal = actions.iter().any(|action| matches!(action, EngineAction::Refuse { .. }));
        for action in actions {
            self.execute(at_ms, daemon, action);
        }
        let is_guest_report_due = self.daemons[daemon].take_guest_report_due();
        if is_update || is_refusal || is_guest_report_due {
            self.want_message(at_ms, daemon);
        }
    }

    /// Sends a message as soon as the interval since the previous one allows.
    fn want_message(&mut self, at_ms: u64, daemon: usize) {
        if !self.sharing.usage {
            return;
        }
        let (is_due, next_ms) = self.messages[daemon];
        if self.sharing.interval_ms == 0 {
            self.send_message(at_ms, daemon);
        } else if !is_due {
            self.messages[daemon].0 = true;
            self.schedule(at_ms.max(next_ms), Event::Message { daemon });
        }
    }

    fn send_message(&mut self, at_ms: u64, daemon: usize) {
        self.messages[daemon] = (false, at_ms + self.sharing.interval_ms);
        let now_us = MonoTime::default() + Millis(at_ms);
        self.last_sent_ms[daemon] = at_ms;
        let reports_loads = self.data_centres.as_ref().is_some_and(|it| it.reports);
        let pool = &mut self.daemons[daemon];
        let message = Message {
            usage: pool.usage(now_us),
            report: self.sharing.memory.then(|| pool.memory_report(now_us)).flatten(),
            samples: pool.take_speed_samples(),
            data_centres: reports_loads.then(|| pool.data_centre_report(now_us)).flatten(),
        };
        self.schedule(at_ms + MESSAGE_MS, Event::Deliver { daemon, message: Box::new(message) });
    }

    fn deliver(&mut self, at_ms: u64, from: usize, message: &Message) {
        let host = host(from);
        let recipients = match &self.data_centres {
            Some(data_centres) => data_centres.recipients[from].clone(),
            None => (0..self.daemons.len()).filter(|&other| other != from).collect(),
        };
        for other in recipients {
            if self.data_centres.as_ref().is_some_and(|it| it.is_cut(at_ms, from, other)) {
                continue;
            }
            if let (Some(data_centres), Some(report)) = (&self.data_centres, &message.data_centres) {
                let event = EngineEvent::PeerDataCentre {
                    host: host.clone(),
                    data_centre: data_centre(from % data_centres.count),
                    report: report.clone(),
                };
                self.feed(at_ms, other, event);
            }
            if let Some(report) = message.report.clone() {
                self.reports_sent += 1;
                let lost_one_in = self.sharing.lost_one_in;
                if lost_one_in == 0 || !self.reports_sent.is_multiple_of(lost_one_in) {
                    self.feed(at_ms, other, EngineEvent::PeerMemory { host: host.clone(), report });
                }
            }
            let is_lost = self.sharing.loses_speeds && from % 2 == 1;
            if !message.samples.is_empty() && !is_lost {
                self.feed(at_ms, other, EngineEvent::PeerSpeeds(message.samples.clone()));
            }
            let usage = message.usage.clone();
            self.feed(at_ms, other, EngineEvent::Peer { host: host.clone(), usage });
        }
    }

    fn execute(&mut self, at_ms: u64, daemon: usize, action: EngineAction) {
        self.log.push((at_ms, daemon, action.clone()));
        match action {
            EngineAction::Wake { at_us } => {
                self.schedule(at_us.0.div_ceil(1_000), Event::Feed { daemon, event: EngineEvent::Tick });
            }
            EngineAction::Reserve { request_id, decode_engine, tokens, timeout_ms, .. } => {
                self.check_order(at_ms, request_id);
                self.waiting.remove(&request_id);
                if let Some(data_centres) = &self.data_centres {
                    let place = engine_place(&decode_engine, data_centres.count);
                    if data_centres.is_cut(at_ms, daemon, place) {
                        let waiting = Waiting::of(&self.answers[&request_id]);
                        self.waiting.insert(request_id, waiting);
                        let event = EngineEvent::ReserveFailed { request_id, cause: FailureCause::Timeout };
                        self.schedule(at_ms + timeout_ms.0, Event::Feed { daemon, event });
                        return;
                    }
                }
                let engine = self.engines.get_mut(&decode_engine).unwrap();
                let taken = engine.tokens(at_ms);
                let event = if taken + tokens.0 <= self.memory_tokens && engine.held.len() < 12 {
                    let Expected { prompt, answer, .. } = self.answers[&request_id];
                    let run = Run {
                        reserved: tokens.0,
                        prompt,
                        answer,
                        started_ms: None,
                        speed_percent: engine.speed_percent,
                    };
                    engine.held.insert(request_id, run);
                    self.peak_tokens = self.peak_tokens.max(taken + tokens.0);
                    EngineEvent::Reserved { request_id }
                } else {
                    self.refused_reservations += 1;
                    let waiting = Waiting::of(&self.answers[&request_id]);
                    self.hold(waiting.organisation, -waiting.size.cast_signed());
                    self.waiting.insert(request_id, waiting);
                    EngineEvent::ReserveFailed { request_id, cause: FailureCause::NoRoom }
                };
                self.schedule(at_ms + 2 * MESSAGE_MS, Event::Feed { daemon, event });
            }
            EngineAction::Prefill { request_id, prefill_engine, .. } => {
                let engine = self.engines.get_mut(&prefill_engine).unwrap();
                let starts_ms = engine.prefill_until_ms.max(at_ms + MESSAGE_MS);
                let prompt = self.answers[&request_id].prompt;
                engine.prefill_until_ms =
                    starts_ms + prompt * 100 / (PREFILL_TOKENS_PER_MS * engine.speed_percent);
                let at_ms = engine.prefill_until_ms + MESSAGE_MS;
                self.schedule(at_ms, Event::Feed { daemon, event: EngineEvent::Prefilled { request_id } });
            }
            EngineAction::Decode { request_id, decode_engine, .. } => {
                let Expected { arrived_ms, answer, .. } = self.answers[&request_id];
                let first_ms = at_ms + 2 * MESSAGE_MS;
                let engine = self.engines.get_mut(&decode_engine).unwrap();
                let rate = DECODE_TOKENS_PER_MS_HUNDREDTHS * engine.speed_percent;
                if let Some(run) = engine.held.get_mut(&request_id) {
                    run.started_ms = Some(first_ms);
                }
                let outcome = if first_ms <= arrived_ms + 900 { Outcome::InTime } else { Outcome::Late };
                self.outcomes.insert(request_id, outcome);
                self.schedule(first_ms, Event::Feed { daemon, event: EngineEvent::Started { request_id } });
                let ends_ms = first_ms + answer * 10_000 / rate;
                let mut events = 1;
                while events < answer / 86 {
                    let at_ms = first_ms + events * 86 * 10_000 / rate;
                    let event = EngineEvent::Progress { request_id, events, longest_pause_ms: EVENT_MS };
                    self.schedule(at_ms, Event::Feed { daemon, event });
                    events *= 2;
                }
                let finish = Event::Finish { daemon, decode_engine, request_id, events: answer / 86 };
                self.schedule(ends_ms, finish);
            }
            // No daemon here reports credit that it could lend.
            EngineAction::Borrow(_) => {}
            EngineAction::Refuse { request_id, .. } | EngineAction::Unknown { request_id } => {
                self.waiting.remove(&request_id);
                let arrived_ms = self.answers[&request_id].arrived_ms;
                self.outcomes.insert(request_id, Outcome::Refused { at_ms: at_ms - arrived_ms });
            }
        }
    }
}
