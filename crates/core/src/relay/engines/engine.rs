//! What one daemon knows of one engine.

use std::collections::HashMap;

use super::events::{Holding, ListedEngine, Role};
use super::memory::{Growth, headroom, peak};
use super::peers::{PeerIndex, Rank};
use super::stats::Seen;
use crate::ids::RequestId;
use crate::sched::InstanceSettings;
use crate::sched::instance::Instance;
use crate::units::{Millis, MonoTime, Tokens};

/// For how long an engine that refused for want of room gets nothing more. An answer takes longer than this to
/// be written, and each refusal is paid for out of the retry budget.
const FULL_MS: Millis = Millis(150);

#[derive(Clone, Debug)]
pub(super) struct Engine {
    /// Whether it lives, takes work and does well.
    pub(super) instance: Instance,
    pub(super) role: Role,
    /// Whether it is in the daemon's data centre.
    pub(super) near: bool,
    /// Prompt tokens that it reads for this daemon.
    pub(super) reading: Tokens,
    /// Memory that requests of this daemon take, and as of when.
    held: HashMap<RequestId, (MonoTime, Growth)>,
    /// What the other daemons have there.
    others: Others,
    /// For telling whose it is when several daemons want it.
    pub(super) rank: Rank,
    full_until_us: MonoTime,
    /// When a writer last read a prompt itself for this daemon: from and to.
    pub(super) own_reading_us: Option<(MonoTime, MonoTime)>,
    /// Until when it changes its role and takes nothing.
    pub(super) changing_until_us: MonoTime,
    /// When this daemon ordered it last.
    pub(super) ordered_us: Option<MonoTime>,
}

impl Engine {
    pub(super) fn new(settings: InstanceSettings, listed: ListedEngine) -> Self {
        Self {
            role: listed.role,
            near: listed.near,
            rank: Rank::of_engine(&listed.server),
            instance: Instance::new(settings, listed.server, listed.slots, listed.leaving),
            reading: Tokens::ZERO,
            held: HashMap::new(),
            others: Others::default(),
            full_until_us: MonoTime::default(),
            own_reading_us: None,
            changing_until_us: MonoTime::default(),
            ordered_us: None,
        }
    }

    /// Adopts the list's view; of an engine that changes its role the list lags.
    pub(super) fn relist(&mut self, now_us: MonoTime, listed: &ListedEngine) {
        if !self.is_changing(now_us) {
            self.role = listed.role;
        }
        self.instance.relist(listed.slots, listed.leaving);
    }

    /// Takes what another daemon has here, in place of what it had; nothing when `holding` is absent.
    pub(super) fn peer(&mut self, now_us: MonoTime, peer: PeerIndex, holding: Option<Holding>) {
        self.others.replace(peer, holding.map(|holding| (now_us, holding)));
    }

    /// Memory of the requests of all daemons, one by one.
    pub(super) fn growths(&self, now_us: MonoTime, tokens_per_ms: f64) -> impl Iterator<Item = Growth> {
        let own = self.held.values().copied();
        own.chain(self.others.growths())
            .map(move |(as_of_us, growth)| growth.after(now_us.since(as_of_us), tokens_per_ms))
    }

    /// Most memory that the requests of all daemons may take, with one more if there is one: what is expected, and what is
    /// kept free for answers that grow longer.
    pub(super) fn peak(&self, now_us: MonoTime, usual: &Seen, more: Option<Growth>) -> Tokens {
        let growths: Vec<Growth> = self.growths(now_us, usual.pace()).chain(more).collect();
        peak(growths.iter().copied()) + headroom(growths.into_iter(), usual.spread())
    }

    /// Memory that the requests of all daemons will have taken when they end.
    pub(super) fn room(&self) -> Tokens {
        self.held.values().fold(self.others.load.room, |sum, (_, growth)| sum + growth.end)
    }

    /// Prompt tokens that it reads for all daemons.
    pub(super) fn reading_all(&self) -> Tokens {
        self.reading + self.others.load.reading
    }

    /// Requests of all daemons.
    pub(super) fn running(&self) -> u32 {
        self.instance.in_flight() + self.others.load.running
    }

    /// Whether it can be given answers to write. One that was set aside can as soon as it may be tried again: with all
    /// of them set aside nobody would be let in who could show that they are back.
    pub(super) fn is_writer(&self, now_us: MonoTime) -> bool {
        self.role == Role::Decode
            && self.instance.is_listed_live(now_us)
            && !self.is_changing(now_us)
            && (!self.instance.is_ejected() || self.instance.is_probe_due(now_us, true))
    }

    /// Whether it takes work and has a slot free.
    pub(super) fn has_slot(&self, now_us: MonoTime) -> bool {
        !self.is_changing(now_us)
            && self.instance.has_room(now_us)
            && self.running() < self.instance.limit(now_us)
    }

    /// What this daemon has here, if anything.
    pub(super) fn holding(&self, now_us: MonoTime, tokens_per_ms: f64) -> Option<Holding> {
        let running = self.instance.in_flight();
        let grown =
            |(as_of_us, growth): &(MonoTime, Growth)| growth.after(now_us.since(*as_of_us), tokens_per_ms);
        (running > 0 || !self.held.is_empty() || self.reading > Tokens::ZERO).then(|| Holding {
            server: self.instance.server().clone(),
            growths: self.held.values().map(grown).collect(),
            reading: self.reading,
            running,
        })
    }

    pub(super) fn hold(&mut self, now_us: MonoTime, request_id: RequestId, growth: Growth) {
        self.held.insert(request_id, (now_us, growth));
    }

    pub(super) fn release(&mut self, request_id: RequestId) {
        self.held.remove(&request_id);
    }

    /// An answer begins: its memory grows from now on.
    pub(super) fn grows(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some((as_of_us, growth)) = self.held.get_mut(&request_id).filter(|(_, growth)| !growth.grows) {
            *as_of_us = now_us;
            growth.grows = true;
        }
    }

    /// An answer has grown to this.
    pub(super) fn written(&mut self, now_us: MonoTime, request_id: RequestId, now: Tokens) {
        if let Some((as_of_us, growth)) = self.held.get_mut(&request_id) {
            *as_of_us = now_us;
            *growth = Growth { now, grows: true, ..*growth };
        }
    }

    pub(super) fn begin_reading(&mut self, tokens: Tokens) {
        self.reading += tokens;
    }

    pub(super) fn end_reading(&mut self, tokens: Tokens) {
        self.reading = self.reading.saturating_sub(tokens);
    }

    pub(super) fn refused(&mut self, now_us: MonoTime) {
        self.full_until_us = now_us + FULL_MS;
    }

    /// It changes its role.
    pub(super) fn changes(&mut self, until_us: MonoTime, role: Role) {
        self.changing_until_us = until_us;
        self.role = role;
    }

    /// Whether it changes its role.
    pub(super) fn is_changing(&self, now_us: MonoTime) -> bool {
        now_us < self.changing_until_us
    }

    /// Whether it has refused for want of room just now.
    pub(super) fn is_full(&self, now_us: MonoTime) -> bool {
        now_us < self.full_until_us
    }
}

/// Sums over what the other daemons have at an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Memory when their requests end.
    room: Tokens,
    /// Prompt tokens that are read.
    reading: Tokens,
    running: u32,
}

impl Load {
    fn add(&mut self, holding: &Holding) {
        self.room += holding.room();
        self.reading += holding.reading;
        self.running += holding.running;
    }

    fn remove(&mut self, holding: &Holding) {
        self.room -= holding.room();
        self.reading -= holding.reading;
        self.running = self.running.saturating_sub(holding.running);
    }
}

/// What the other daemons have at one engine, and when they told.
#[derive(Clone, Debug, Default)]
struct Others {
    list: Vec<(PeerIndex, MonoTime, Holding)>,
    load: Load,
}

impl Others {
    fn replace(&mut self, peer: PeerIndex, told: Option<(MonoTime, Holding)>) {
        if let Some(position) = self.list.iter().position(|(known, ..)| *known == peer) {
            let (_, _, before) = self.list.swap_remove(position);
            self.load.remove(&before);
        }
        if let Some((told_us, holding)) = told {
            self.load.add(&holding);
            self.list.push((peer, told_us, holding));
        }
    }

    fn growths(&self) -> impl Iterator<Item = (MonoTime, Growth)> {
        self.list
            .iter()
            .flat_map(|(_, told_us, holding)| holding.growths.iter().map(|growth| (*told_us, *growth)))
    }
}
