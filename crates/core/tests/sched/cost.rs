//! Decisions in a loop, for measuring the cost of each.

use hibiscusvale_core::ids::{HostId, Incarnation, PartnerId, RequestId};
use hibiscusvale_core::sched::{
    Action, Arrival, Event, Scheduler, SchedulerSettings, ServerRecord, ServerState,
};
use hibiscusvale_core::slots::{
    GrantId, GrantOutcome, GrantRequest, Ledger, LedgerAction, LedgerSettings, Role, ServerLoad, SlotMessage,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

const LINK: BytesPerSecond = BytesPerSecond(2_500_000_000);

/// Scheduler of one daemon with the given number of replicas, half of them prefill servers.
pub struct PlacementBench {
    scheduler: Scheduler,
    partners: Vec<PartnerId>,
    next: u64,
    actions: Vec<Action>,
}

impl PlacementBench {
    pub fn new(replicas: u32, partners: usize) -> Self {
        let mut scheduler = Scheduler::new(SchedulerSettings::default(), 11);
        let record = |number: u32| ServerRecord {
            server: format!("s{number}").parse().unwrap(),
            data_centre: format!("dc{}", number % 4).parse().unwrap(),
            role: if number.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
            models: vec!["m".parse().unwrap()],
            slots_total: 20,
            link_bytes_per_s: LINK,
            state: ServerState::Live,
        };
        let mut actions = Vec::new();
        let records = (0..replicas).map(record).collect();
        scheduler.handle(MonoTime(0), Event::Servers(records), &mut actions);
        for number in 0..replicas {
            let load = ServerLoad {
                wait_us: Micros(u64::from(number % 7) * 1_000),
                free: 5,
                open: true,
                ..ServerLoad::default()
            };
            let server = format!("s{number}").parse().unwrap();
            scheduler.handle(MonoTime(0), Event::Load { server, load, age_us: Micros::ZERO }, &mut actions);
        }
        let partners = (0..partners).map(|number| format!("org{number}").parse().unwrap()).collect();
        Self { scheduler, partners, next: 0, actions }
    }

    /// Runs one request from its arrival through turn and slot to the start of its prefill; then its caller
    /// disconnects.
    pub fn step(&mut self) {
        self.next += 1;
        let now_us = MonoTime(self.next * 100);
        let request_id = RequestId { incarnation: Incarnation(1), sequence: self.next };
        let arrival = Arrival {
            request_id,
            partner: self.partners[self.next as usize % self.partners.len()].clone(),
            class: "c".parse().unwrap(),
            model: "m".parse().unwrap(),
            prompt_tokens: Tokens(1_600),
            max_tokens: Tokens(200),
            blocks: Vec::new(),
            first_token_target_ms: Millis(2_000),
            per_token_target_ms: Millis(60),
            time_left_ms: None,
        };
        self.feed(now_us, Event::Arrive(arrival));
        self.grant_first(now_us);
        self.grant_first(now_us);
        assert!(self.actions.iter().any(|action| matches!(action, Action::StartPrefill { .. })));
        self.feed(now_us, Event::CallerLeft { request_id });
    }

    fn feed(&mut self, now_us: MonoTime, event: Event) {
        self.actions.clear();
        self.scheduler.handle(now_us, event, &mut self.actions);
    }

    fn grant_first(&mut self, now_us: MonoTime) {
        let grant_request = self.actions.iter().find_map(|action| match action {
            Action::Send(SlotMessage::Request(grant_request)) => Some(grant_request.clone()),
            _ => None,
        });
        let GrantRequest { request_id, grant_id, server, .. } = grant_request.unwrap();
        let load = ServerLoad { free: 5, open: true, ..ServerLoad::default() };
        let grant = SlotMessage::Grant { server, request_id, grant_id, load, ttl_ms: Millis(3_000) };
        self.feed(now_us, Event::Slot(grant));
    }
}

/// Ledger of a prefill server at which each of the given partners has two grant requests waiting.
pub struct GrantBench {
    ledger: Ledger,
    host: HostId,
    partners: Vec<PartnerId>,
    held: Vec<(RequestId, GrantId)>,
    next: u64,
    actions: Vec<LedgerAction>,
}

impl GrantBench {
    pub fn new(partners: usize) -> Self {
        let server = "s0".parse().unwrap();
        let settings = LedgerSettings::default();
        let ledger = Ledger::new(MonoTime(0), settings, server, Role::Prefill, 0, LINK, &[]);
        let partners = (0..partners).map(|number| format!("org{number}").parse().unwrap());
        let mut bench = Self {
            ledger,
            host: "h".parse().unwrap(),
            partners: partners.collect(),
            held: Vec::new(),
            next: 0,
            actions: Vec::new(),
        };
        (0..bench.partners.len() * 2 + 1).for_each(|_| bench.add_grant_request());
        bench
    }

    /// Queues one grant request, releases one turn and grants the next.
    pub fn step(&mut self) {
        self.add_grant_request();
        let (request_id, grant_id) = self.held.pop().unwrap();
        let server = "s0".parse().unwrap();
        let release = SlotMessage::Release { server, request_id, grant_id, outcome: GrantOutcome::Done };
        self.send(release);
        assert_eq!(self.held.len(), 1);
    }

    fn add_grant_request(&mut self) {
        self.next += 1;
        let partner = self.partners[self.next as usize % self.partners.len()].clone();
        let grant_request = GrantRequest {
            request_id: RequestId { incarnation: Incarnation(1), sequence: self.next },
            grant_id: GrantId(self.next),
            server: "s0".parse().unwrap(),
            partner,
            work_tokens: Tokens(1_600),
            kv_bytes: Bytes(1 << 20),
            charge_us: Micros(200_000),
            slack_us: Some(Micros(1_000_000_000)),
            copies: 2,
            needed_in_us: None,
            wait_max_us: None,
        };
        self.send(SlotMessage::Request(grant_request));
    }

    fn send(&mut self, message: SlotMessage) {
        self.actions.clear();
        let now_us = MonoTime(self.next * 100);
        self.ledger.handle(now_us, &self.host, Incarnation(1), message, &mut self.actions);
        let mut started = None;
        for action in &self.actions {
            if let LedgerAction::Send { message: SlotMessage::Grant { request_id, grant_id, .. }, .. } =
                action
            {
                self.held.push((*request_id, *grant_id));
                started = Some(*request_id);
            }
        }
        if let Some(request_id) = started {
            let message = SlotMessage::Started { server: "s0".parse().unwrap(), request_id };
            self.ledger.handle(now_us, &self.host, Incarnation(1), message, &mut self.actions);
        }
    }
}
