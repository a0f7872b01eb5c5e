//! Simulation of daemons with a log and a network that fail on command. The schedule controls time and order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hibiscusvale_core::claim::{
    AppendOutcome, BodyDigest, ClaimAction, ClaimGroup, ClaimKey, ClaimMessage, ClaimPage, ClaimRecord,
    ClaimSettings, Claims, Decision, RunOutcome, StoredAnswer, UnixMillis,
};
use hibiscusvale_core::ids::{HostId, Incarnation, Offset, RequestId};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};

pub const HOSTS: usize = 3;
const KEYS: u8 = 3;
const SKEW_MS: [u64; HOSTS] = [0, 100, 200];

pub fn settings() -> ClaimSettings {
    ClaimSettings {
        partitions: 2,
        retention_ms: Millis(8_000),
        clock_skew_ms: Millis(200),
        begin_timeout_ms: Millis(500),
        start_within_ms: Millis(400),
        accepted_timeout_ms: Millis(200),
        peer_timeout_ms: Millis(60),
        append_interval_ms: Millis(10),
        idle_ms: Millis(1_500),
        read_limit: 3,
        ..ClaimSettings::default()
    }
}

/// One step of the schedule. Numbers select among the available items, modulo their count.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Begin { host: u8, key: u8, body: u8 },
    Deliver { pick: u8 },
    Log { pick: u8 },
    Run { pick: u8, how: u8 },
    Tick { host: u8, millis: u8 },
    Members { host: u8, mask: u8 },
    Fault(Fault, u8),
}

/// A failure of the environment.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// A daemon dies and is replaced.
    Crash,
    /// A daemon is paused, or resumes.
    Pause,
    /// A message between daemons is lost.
    Loss,
    /// A message is duplicated.
    Duplicate,
    /// A message is reordered.
    Reorder,
    /// Two daemons are disconnected from each other, or connected again.
    NetworkCut,
    /// The log goes down, or recovers.
    Outage,
    /// The log executes an append and its reply is lost.
    LostReply,
    /// The reply to an append is lost and the record arrives in the log later.
    LateAppend,
}

pub const FAULTS: [Fault; 9] = [
    Fault::Crash,
    Fault::Pause,
    Fault::Loss,
    Fault::Duplicate,
    Fault::Reorder,
    Fault::NetworkCut,
    Fault::Outage,
    Fault::LostReply,
    Fault::LateAppend,
];

#[derive(Debug)]
struct Message {
    from: usize,
    to: usize,
    content: ClaimMessage,
}

#[derive(Debug)]
struct LogCall {
    host: usize,
    incarnation: Incarnation,
    action: ClaimAction,
}

#[derive(Clone, Debug)]
struct Job {
    host: usize,
    request: RequestId,
    start_by_us: MonoTime,
    started: bool,
}

#[derive(Clone, Debug)]
struct Call {
    key: u8,
    body: u8,
    host: usize,
    decision: Option<Decision>,
}

#[derive(Debug)]
struct Daemon {
    claims: Claims,
    incarnation: Incarnation,
    sequence: u64,
    paused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: RequestId,
    body: u8,
    at_us: MonoTime,
}

#[derive(Debug)]
pub struct Simulation {
    now_us: MonoTime,
    daemons: Vec<Daemon>,
    incarnations: u64,
    streams: HashMap<u16, Vec<ClaimGroup>>,
    late: Vec<(u16, ClaimGroup)>,
    log_down: bool,
    messages: Vec<Message>,
    log_calls: Vec<LogCall>,
    network_cuts: HashSet<(usize, usize)>,
    jobs: Vec<Job>,
    calls: BTreeMap<RequestId, Call>,
    runs: HashMap<u8, Vec<Run>>,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().expect("name")
}

fn host_index(id: &HostId) -> usize {
    (0..HOSTS).find(|&index| host(index) == *id).expect("known host")
}

fn key(number: u8) -> ClaimKey {
    ClaimKey([number; 16])
}

fn body(number: u8) -> BodyDigest {
    BodyDigest([number; 16])
}

impl Simulation {
    pub fn new() -> Self {
        let mut simulation = Self {
            now_us: MonoTime(1_000_000),
            daemons: Vec::new(),
            incarnations: 0,
            streams: HashMap::new(),
            late: Vec::new(),
            log_down: false,
            messages: Vec::new(),
            log_calls: Vec::new(),
            network_cuts: HashSet::new(),
            jobs: Vec::new(),
            calls: BTreeMap::new(),
            runs: HashMap::new(),
        };
        for index in 0..HOSTS {
            let daemon = simulation.new_incarnation(index);
            simulation.daemons.push(daemon);
        }
        simulation
    }

    fn new_incarnation(&mut self, index: usize) -> Daemon {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations.into());
        let mut claims = Claims::new(host(index), incarnation, settings());
        let everyone: Vec<HostId> = (0..HOSTS).map(host).collect();
        claims.set_members(&everyone);
        Daemon { claims, incarnation, sequence: 0, paused: false }
    }

    fn unix(&self, index: usize) -> UnixMillis {
        UnixMillis(1_000_000 + self.now_us.0 / 1_000 + SKEW_MS[index])
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Begin { host, key, body } => self.begin(host as usize % HOSTS, key % KEYS, body % 8 / 7),
            Step::Deliver { pick } => self.deliver(pick as usize),
            Step::Log { pick } => self.log(pick as usize, None),
            Step::Run { pick, how } => self.run(pick as usize, how),
            Step::Tick { host, millis } => {
                // Occasionally enough time passes for keys to expire.
                let millis = if millis == u8::MAX { 9_000 } else { u64::from(millis) };
                self.now_us = self.now_us + Micros(millis * 1_000);
                self.tick(host as usize % HOSTS);
            }
            Step::Members { host: at, mask } => {
                let members: Vec<HostId> = (0..HOSTS).filter(|bit| mask >> bit & 1 == 1).map(host).collect();
                self.daemons[at as usize % HOSTS].claims.set_members(&members);
            }
            Step::Fault(fault, pick) => self.fault(fault, pick as usize),
        }
        self.check();
    }

    fn fault(&mut self, fault: Fault, pick: usize) {
        let index = pick % HOSTS;
        match fault {
            Fault::Crash => self.crash(index),
            Fault::Pause => self.daemons[index].paused ^= true,
            Fault::Loss if !self.messages.is_empty() => {
                self.messages.remove(pick % self.messages.len());
            }
            Fault::Duplicate if !self.messages.is_empty() => {
                let Message { from, to, ref content } = self.messages[pick % self.messages.len()];
                let content = content.clone();
                self.messages.push(Message { from, to, content });
            }
            Fault::Reorder if !self.messages.is_empty() => {
                let overtaken = self.messages.remove(pick % self.messages.len());
                self.messages.push(overtaken);
            }
            Fault::NetworkCut => {
                let pair = (index, (index + 1) % HOSTS);
                if !self.network_cuts.remove(&pair) {
                    self.network_cuts.insert(pair);
                }
            }
            Fault::Outage => self.log_down ^= true,
            Fault::LostReply | Fault::LateAppend => self.log(pick, Some(fault)),
            Fault::Loss | Fault::Duplicate | Fault::Reorder => {}
        }
    }

    fn crash(&mut self, index: usize) {
        self.daemons[index] = self.new_incarnation(index);
        self.jobs.retain(|job| job.host != index);
        self.log_calls.retain(|call| call.host != index);
    }

    fn begin(&mut self, index: usize, key_number: u8, body_number: u8) {
        if self.daemons[index].paused {
            return;
        }
        let (now_us, unix_ms) = (self.now_us, self.unix(index));
        let daemon = &mut self.daemons[index];
        daemon.sequence += 1;
        let request = RequestId { incarnation: daemon.incarnation, sequence: daemon.sequence };
        let call = Call { key: key_number, body: body_number, host: index, decision: None };
        self.calls.insert(request, call);
        daemon.claims.begin(now_us, unix_ms, request, key(key_number), body(body_number));
        self.carry_out(index);
    }

    fn tick(&mut self, index: usize) {
        if self.daemons[index].paused {
            return;
        }
        let (now_us, unix_ms) = (self.now_us, self.unix(index));
        self.daemons[index].claims.tick(now_us, unix_ms);
        self.carry_out(index);
    }

    fn deliver(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let Message { from, to, content } = self.messages.remove(pick % self.messages.len().min(3));
        if self.daemons[to].paused {
            self.messages.push(Message { from, to, content });
            return;
        }
        if self.network_cuts.contains(&(from, to)) || self.network_cuts.contains(&(to, from)) {
            return;
        }
        let (now_us, unix_ms) = (self.now_us, self.unix(to));
        self.daemons[to].claims.handle_message(now_us, unix_ms, &host(from), content);
        self.carry_out(to);
    }

    fn log(&mut self, pick: usize, fault: Option<Fault>) {
        if pick.is_multiple_of(7) && !self.late.is_empty() {
            let (partition, group) = self.late.remove(0);
            self.streams.entry(partition).or_default().push(group);
            return;
        }
        if self.log_calls.is_empty() {
            return;
        }
        let call = self.log_calls.remove(pick % self.log_calls.len());
        match call.action {
            ClaimAction::Append { partition, group } => {
                let outcome = self.append(partition, group, fault);
                self.complete_log_call(call.host, call.incarnation, |claims, now_us, unix_ms| {
                    claims.append_ended(now_us, unix_ms, partition, outcome);
                });
            }
            ClaimAction::Read { partition, from, limit } => {
                let page = self.page(partition, from, limit);
                self.complete_log_call(call.host, call.incarnation, |claims, now_us, unix_ms| {
                    claims.read_ended(now_us, unix_ms, partition, page);
                });
            }
            ClaimAction::Send { .. } | ClaimAction::Decide { .. } => unreachable!("not a call to the log"),
        }
    }

    fn append(&mut self, partition: u16, group: ClaimGroup, fault: Option<Fault>) -> AppendOutcome {
        match fault {
            Some(Fault::LateAppend) => {
                self.late.push((partition, group));
                return AppendOutcome::Unknown;
            }
            _ if self.log_down => return AppendOutcome::Unavailable,
            _ => {}
        }
        let stream = self.streams.entry(partition).or_default();
        stream.push(group);
        if fault == Some(Fault::LostReply) {
            return AppendOutcome::Unknown;
        }
        AppendOutcome::Appended(Offset(stream.len() as u64 - 1))
    }

    fn page(&self, partition: u16, from: Offset, limit: u32) -> Option<ClaimPage> {
        if self.log_down {
            return None;
        }
        let stream = self.streams.get(&partition).cloned().unwrap_or_default();
        let next = Offset(stream.len() as u64);
        let records = (0..).zip(stream).skip_while(|(offset, _)| *offset < from.0).take(limit as usize);
        let records =
            records.map(|(offset, group)| ClaimRecord { offset: Offset(offset), group: Some(group) });
        Some(ClaimPage { start: Offset(0), next, records: records.collect() })
    }

    /// Completes a log call of a daemon. A paused daemon still gets the result; an earlier incarnation never
    /// does.
    fn complete_log_call<Act>(&mut self, index: usize, incarnation: Incarnation, act: Act)
    where
        Act: FnOnce(&mut Claims, MonoTime, UnixMillis),
    {
        if self.daemons[index].incarnation != incarnation {
            return;
        }
        let (now_us, unix_ms) = (self.now_us, self.unix(index));
        act(&mut self.daemons[index].claims, now_us, unix_ms);
        self.carry_out(index);
    }

    fn carry_out(&mut self, index: usize) {
        let incarnation = self.daemons[index].incarnation;
        for action in self.daemons[index].claims.take_actions() {
            match action {
                ClaimAction::Send { to, message } => {
                    self.messages.push(Message { from: index, to: host_index(&to), content: message });
                }
                ClaimAction::Decide { request, decision } => self.decide(index, request, decision),
                action => self.log_calls.push(LogCall { host: index, incarnation, action }),
            }
        }
    }

    fn decide(&mut self, index: usize, request: RequestId, decision: Decision) {
        if let Decision::Run { start_by_us } = decision {
            self.jobs.push(Job { host: index, request, start_by_us, started: false });
        }
        let call = self.calls.get_mut(&request).expect("a call that was started");
        assert_eq!(call.decision, None, "{request} was decided twice");
        call.decision = Some(decision);
    }

    /// Acts as the dispatcher: starts a request that may run, later reports its outcome.
    fn run(&mut self, pick: usize, how: u8) {
        if self.jobs.is_empty() {
            return;
        }
        let at = pick % self.jobs.len();
        let Job { host: index, request, start_by_us, started } = self.jobs[at].clone();
        if self.daemons[index].paused {
            return;
        }
        if !started && self.now_us < start_by_us && !how.is_multiple_of(8) {
            self.jobs[at].started = true;
            let Call { key, body, .. } = self.calls[&request];
            self.runs.entry(key).or_default().push(Run { request, body, at_us: self.now_us });
            return;
        }
        self.jobs.remove(at);
        let finished = match (started, how % 4) {
            (false, _) => RunOutcome::NotRun,
            (true, 0) => RunOutcome::Unknown,
            (true, 1) => RunOutcome::Answered(None),
            (true, _) => RunOutcome::Answered(Some(Arc::new(answer_of(request)))),
        };
        let (now_us, unix_ms) = (self.now_us, self.unix(index));
        self.daemons[index].claims.finish(now_us, unix_ms, request, finished);
        self.carry_out(index);
    }

    /// Checks the invariants that hold after every step.
    fn check(&self) {
        let started_late = settings().begin_timeout_ms + settings().start_within_ms;
        let apart = Micros::from(settings().retention_ms) - Micros::from(started_late);
        for runs in self.runs.values() {
            for pair in runs.windows(2) {
                assert!(pair[1].at_us.since(pair[0].at_us) >= apart, "a key ran twice: {pair:?}");
            }
        }
        for (request, call) in &self.calls {
            let Some(decision) = &call.decision else { continue };
            let runs = self.runs.get(&call.key).map_or(&[][..], Vec::as_slice);
            if !matches!(decision, Decision::Run { .. }) {
                assert!(runs.iter().all(|run| run.request != *request), "{request} ran after {decision:?}");
            }
            if let Decision::Answered(answer) = decision {
                let first = runs.iter().find(|run| **answer == answer_of(run.request));
                let first = first.expect("an answer belongs to a run with the same key");
                assert_eq!(first.body, call.body, "an answer belongs to the same body");
            }
        }
    }

    /// Ends all faults and runs until idle: every caller whose daemon is alive gets a decision.
    pub fn heal_and_settle(&mut self) {
        self.log_down = false;
        self.network_cuts.clear();
        let everyone: Vec<HostId> = (0..HOSTS).map(host).collect();
        for daemon in &mut self.daemons {
            daemon.paused = false;
            daemon.claims.set_members(&everyone);
        }
        self.settle(4_000);
        let undecided = self.calls.iter().find(|(request, call)| {
            call.decision.is_none() && self.daemons[call.host].incarnation == request.incarnation
        });
        assert!(undecided.is_none(), "{undecided:?} was never decided");
    }

    fn settle(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now_us = self.now_us + Micros(10_000);
            for index in 0..HOSTS {
                self.tick(index);
            }
            while !(self.messages.is_empty() && self.log_calls.is_empty()) {
                self.deliver(0);
                self.log(1, None);
            }
            self.check();
        }
    }

    /// Checks that keys under which nothing ran, of daemons that are alive, can be used again.
    pub fn assert_unused_keys_released(&mut self) {
        while !self.jobs.is_empty() {
            self.run(0, 2);
        }
        self.settle(2_000);
        for key_number in 0..KEYS {
            let ran = self.runs.contains_key(&key_number);
            let orphaned = self.calls.iter().any(|(request, call)| {
                call.key == key_number && self.daemons[call.host].incarnation != request.incarnation
            });
            if ran || orphaned {
                continue;
            }
            self.retry_until_it_runs(key_number);
        }
    }

    fn retry_until_it_runs(&mut self, key_number: u8) {
        let mut last = None;
        for _ in 0..14 {
            self.begin(0, key_number, 0);
            self.settle(1_500);
            let mut here = self.calls.iter().filter(|(_, call)| call.key == key_number && call.host == 0);
            last = here.next_back().and_then(|(_, call)| call.decision.clone());
            if matches!(last, Some(Decision::Run { .. })) {
                return;
            }
        }
        panic!("key {key_number} ran nowhere and was not released: {last:?}");
    }
}

fn answer_of(request: RequestId) -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: request.to_string().into_bytes() }
}
