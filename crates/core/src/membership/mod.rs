//! Which daemons live.
//!
//! Inside a data centre each daemon raises a heartbeat counter at each tick and sends the counters it knows
//! to one other daemon. A counter that has not risen for a while makes its daemon suspect, then dead; each
//! daemon judges by its own clock, so there is no verdict that could be wrong and spread. Heartbeats travel
//! over any path, so one lost message, or one direction of one link, kills nobody.
//!
//! Across data centres a few daemons of each exchange digests: one statement per data centre with a version
//! and a hash, fetched only when it differs. `docs/MEMBERSHIP.md` has the arithmetic and the ways weighed.

mod data_centres;
mod message;
mod settings;
mod table;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use self::data_centres::{DataCentres, hash_tags};
use self::table::{Heard, Known, Learned, Table};
use crate::ids::{DataCentreId, HostId, Incarnation};
use crate::units::{Micros, Millis, MonoTime};
use crate::watch::{JobHash, hash_name, owners_in};

pub use self::message::{
    DataCentreDigest, DataCentreState, DataCentreTag, Heartbeat, MemberRecord, MemberTag, MembershipMessage,
};
pub use self::settings::MembershipSettings;
pub use self::view::{Member, MemberState, MembersView};

/// Time between two pulls.
const PULL_GAP: Millis = Millis(100);
/// Tags asked for in one pull at most.
const PULLED_TAGS: usize = 24;
/// Statements asked for in one pull at most.
const PULLED_CENTRES: usize = 4;
/// Tags remembered as wanted at most; the rest is heard of again.
const WANTED_TAGS: usize = 1_024;

/// A daemon that may be reached at an address, from the settings or the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Its host, where known.
    pub host: Option<HostId>,
    /// Where it takes messages of other daemons.
    pub peer_address: SocketAddr,
    /// Its data centre, where known.
    pub data_centre: Option<DataCentreId>,
}

/// What happens to the membership of a daemon.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// [`MembershipSettings::tick_ms`] have passed.
    Tick,
    /// A message of another daemon.
    Message {
        /// Its host.
        from: HostId,
        /// Its life.
        incarnation: Incarnation,
        /// What it says.
        message: MembershipMessage,
    },
    /// The entry hosts of the platform's list. The list lags, so it only says whom to try.
    Listed(Vec<Contact>),
    /// This daemon begins to stop: its work is to move.
    Leave,
}

/// What membership wants done.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message to a daemon.
    Send {
        /// Its host, where known.
        to: Option<HostId>,
        /// Where it takes messages of other daemons.
        address: SocketAddr,
        /// What to say.
        message: MembershipMessage,
    },
    /// The view changed.
    Publish(MembersView),
    /// A newer life of this very host is there: this process was replaced and has to stop.
    Superseded {
        /// The newer life.
        by: Incarnation,
    },
}

/// Counts of what happened, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Daemons that were suspected.
    pub suspected: u64,
    /// Daemons that were taken for dead.
    pub died: u64,
    /// Daemons that were taken for dead and then heard of again in the same life.
    pub revived: u64,
    /// Pauses of this daemon.
    pub paused: u64,
}

impl MembershipCounts {
    /// The counts by name, for metrics.
    pub fn by_name(&self) -> [(&'static str, u64); 4] {
        [
            ("member-suspected", self.suspected),
            ("member-died", self.died),
            ("member-revived", self.revived),
            ("paused", self.paused),
        ]
    }
}

#[derive(Debug, Default, PartialEq)]
struct Fingerprint {
    own_tag: MemberTag,
    is_heard: bool,
    here: Vec<(MemberTag, MemberState)>,
    remote_changes: u64,
    reachable: Vec<bool>,
}

/// The membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    own_tag: MemberTag,
    own_data_centre: DataCentreTag,
    counter: u64,
    /// Highest own counter that came back from another daemon.
    echoed: u64,
    table: Table,
    data_centres: DataCentres,
    seeds: Vec<Contact>,
    listed: Vec<Contact>,
    wanted_tags: BTreeMap<MemberTag, HostId>,
    wanted_data_centres: BTreeMap<DataCentreTag, HostId>,
    round: Vec<HostId>,
    ticked_us: Option<MonoTime>,
    bridged_us: Option<MonoTime>,
    contacted_us: Option<MonoTime>,
    pulled_us: Option<MonoTime>,
    stated_us: Option<MonoTime>,
    started_us: Option<MonoTime>,
    introduced_us: Option<MonoTime>,
    view: MembersView,
    fingerprint: Fingerprint,
    counts: MembershipCounts,
    rng: StdRng,
}

impl Membership {
    /// The membership of the daemon that `own` describes. `seeds` are tried while nobody else is known;
    /// `seed` makes its random choices repeatable.
    pub fn new(settings: MembershipSettings, own: MemberRecord, seeds: Vec<Contact>, seed: u64) -> Self {
        let own_tag = own.tag();
        let own_data_centre = DataCentreTag::of(&own.data_centre);
        let mut membership = Self {
            settings,
            own_tag,
            own_data_centre,
            own,
            counter: 0,
            echoed: 0,
            table: Table::default(),
            data_centres: DataCentres::default(),
            seeds,
            listed: Vec::new(),
            wanted_tags: BTreeMap::new(),
            wanted_data_centres: BTreeMap::new(),
            round: Vec::new(),
            ticked_us: None,
            bridged_us: None,
            contacted_us: None,
            pulled_us: None,
            stated_us: None,
            started_us: None,
            introduced_us: None,
            view: MembersView::default(),
            fingerprint: Fingerprint::default(),
            counts: MembershipCounts::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        membership.view = membership.look(MonoTime::default());
        membership
    }

    /// The view as last published.
    pub fn view(&self) -> &MembersView {
        &self.view
    }

    /// Counts so far.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// What this daemon says of itself.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Takes an event in and adds to `actions` what is to be done.
    pub fn handle(&mut self, now_us: MonoTime, event: MembershipEvent, actions: &mut Vec<MembershipAction>) {
        match event {
            MembershipEvent::Tick => self.tick(now_us, actions),
            MembershipEvent::Message { from, incarnation, message } => {
                self.receive(now_us, &from, incarnation, message, actions);
            }
            MembershipEvent::Listed(contacts) => self.listed = contacts,
            MembershipEvent::Leave => self.leave(),
        }
    }

    fn leave(&mut self) {
        self.own.leaving = true;
        self.own_tag = self.own.tag();
        // Everybody has to fetch the new record, so it is offered again as by a newcomer.
        self.introduced_us = None;
    }

    fn tick(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        self.notice_pause(now_us);
        self.counter += 1;
        self.started_us.get_or_insert(now_us);
        self.introduced_us.get_or_insert(now_us);
        self.judge(now_us, actions);
        self.gossip(now_us, actions);
        self.state_own_data_centre(now_us);
        self.bridge(now_us, actions);
        self.contact(now_us, actions);
        self.pull(now_us, actions);
        self.publish(now_us, actions);
    }

    /// After a pause everybody looks silent, because this daemon did not listen. Taking all of them for dead
    /// would make it claim all their work at once; so the pause is added to their times. Its own counter
    /// jumps by the pause, which makes the last echo old: until somebody echoes a new one it knows that the
    /// others may have given its work away.
    fn notice_pause(&mut self, now_us: MonoTime) {
        let gap_us = self.ticked_us.map_or(Micros::ZERO, |ticked_us| now_us.since(ticked_us));
        self.ticked_us = Some(now_us);
        if gap_us <= self.settings.pause_us() {
            return;
        }
        self.counts.paused += 1;
        self.counter += gap_us.0 / Micros::from(self.settings.tick_ms).0;
        self.table.excuse(gap_us);
        self.data_centres.excuse(gap_us);
    }

    fn judge(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let dead_before = self.table.all().filter(|known| known.is_dead).count();
        self.table.expire(now_us, &self.settings);
        let dead_after = self.table.all().filter(|known| known.is_dead).count();
        self.counts.died += dead_after.saturating_sub(dead_before) as u64;

        let tick_us = Micros::from(self.settings.tick_ms);
        let suspect_after_us = Micros::from(self.settings.suspect_after_ms);
        for known in self.table.living() {
            let age_us = now_us.since(known.heard_us);
            if age_us <= suspect_after_us {
                continue;
            }
            if age_us <= suspect_after_us + tick_us {
                self.counts.suspected += 1;
            }
            actions.push(MembershipAction::Send {
                to: Some(known.record.host.clone()),
                address: known.record.peer_address,
                message: MembershipMessage::Ping { counter: self.counter },
            });
        }
    }

    fn gossip(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let Some((host, address)) = self.next_in_round() else {
            return;
        };
        let message = self.make_gossip(now_us, true, false);
        actions.push(MembershipAction::Send { to: Some(host), address, message });
    }

    /// The next daemon of the own data centre in a shuffled round, so that each is spoken to once in each
    /// round and no run of bad luck leaves one out.
    fn next_in_round(&mut self) -> Option<(HostId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(host) = self.round.pop() {
                if let Some(known) = self.table.find(&host).filter(|known| !known.is_dead) {
                    return Some((host, known.record.peer_address));
                }
            }
            self.round = self.table.living().map(|known| known.record.host.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    fn make_gossip(&self, now_us: MonoTime, inside: bool, introduce: bool) -> MembershipMessage {
        let mut heartbeats = Vec::new();
        if inside {
            heartbeats = self.table.heartbeats(now_us, &self.settings);
            heartbeats.push(Heartbeat { tag: self.own_tag, counter: self.counter });
        }
        MembershipMessage::Gossip {
            sender: self.introduction(now_us, introduce),
            heartbeats,
            data_centres: self.data_centres.digests(),
        }
    }

    /// The own record, while others may lack it: soon after the start, and always across data centres, where
    /// few messages pass.
    fn introduction(&self, now_us: MonoTime, is_needed: bool) -> Option<MemberRecord> {
        let introduce_us = Micros::from(self.settings.dead_after_ms);
        let is_new = self.introduced_us.is_none_or(|since_us| now_us.since(since_us) <= introduce_us);
        (is_new || is_needed).then(|| self.own.clone())
    }

    /// Tags of the live daemons of the own data centre.
    fn own_tags(&self) -> Vec<MemberTag> {
        let mut tags: Vec<MemberTag> = self.table.living().map(|known| known.tag).collect();
        tags.push(self.own_tag);
        tags.sort_unstable();
        tags
    }

    fn rank(&self, job: &str) -> Option<usize> {
        let hosts = owners_in(JobHash::of(job), &self.own.data_centre, self.settings.bridges, &self.view);
        hosts.iter().position(|host| *host == self.own.host)
    }

    /// States who lives in the own data centre. One daemon does it; when two think that they are the one, for
    /// instance in a data centre split in itself, each waits before it speaks against the other, so that the
    /// rest sees the statements alternate slowly rather than race.
    fn state_own_data_centre(&mut self, now_us: MonoTime) {
        if self.rank("bridge") != Some(0) || !self.view.is_heard {
            return;
        }
        let tags = self.own_tags();
        let hash = hash_tags(&tags);
        let known = self.data_centres.find(self.own_data_centre);
        let stated_ago_us = self.stated_us.map(|stated_us| now_us.since(stated_us));
        let is_changed = known.is_none_or(|data_centre| data_centre.hash != hash);
        let wait_ms = if is_changed { self.settings.bridge_ms } else { self.settings.statement_ms };
        if stated_ago_us.is_some_and(|ago_us| ago_us < Micros::from(wait_ms)) {
            return;
        }
        let version = known.map_or(0, |data_centre| data_centre.state.version) + 1;
        self.stated_us = Some(now_us);
        let state = DataCentreState { data_centre: self.own.data_centre.clone(), version, tags };
        self.data_centres.adopt(now_us, state);
    }

    fn bridge(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        if self.rank("bridge").is_none() || !is_due(self.bridged_us, now_us, self.settings.bridge_ms) {
            return;
        }
        self.bridged_us = Some(now_us);
        let Some((to, address)) = self.pick_remote() else {
            return;
        };
        let message = self.make_gossip(now_us, false, true);
        actions.push(MembershipAction::Send { to, address, message });
    }

    /// A daemon of a random other data centre: one that is known, or listed while none is known. Unreachable
    /// data centres are tried as well: that is how the end of a cut is noticed.
    fn pick_remote(&mut self) -> Option<(Option<HostId>, SocketAddr)> {
        let mut names = self.data_centres.names();
        let listed = self.listed.iter().filter_map(|contact| contact.data_centre.clone());
        names.extend(listed);
        names.sort_unstable();
        names.dedup();
        names.retain(|name| *name != self.own.data_centre);
        let name = names.choose(&mut self.rng)?;
        if let Some(record) = self.data_centres.records_in(name).choose(&mut self.rng) {
            return Some((Some(record.host.clone()), record.peer_address));
        }
        let listed = self.listed.iter().filter(|contact| contact.data_centre.as_ref() == Some(name));
        let contact = listed.choose(&mut self.rng)?;
        Some((contact.host.clone(), contact.peer_address))
    }

    /// Tries a daemon that should be there and is not: a seed, a listed host, or one taken for dead. Without
    /// it two halves of a data centre that took each other for dead would never meet again.
    fn contact(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let is_alone = self.table.living().next().is_none();
        if !is_alone && !is_due(self.contacted_us, now_us, self.settings.contact_ms) {
            return;
        }
        self.contacted_us = Some(now_us);
        let Some((to, address)) = self.pick_missing() else {
            return;
        };
        let message = self.make_gossip(now_us, true, true);
        actions.push(MembershipAction::Send { to, address, message });
    }

    fn pick_missing(&mut self) -> Option<(Option<HostId>, SocketAddr)> {
        let dead = self.table.all().filter(|known| known.is_dead).map(|known| {
            let record = &known.record;
            (Some(record.host.clone()), record.peer_address)
        });
        let named = self
            .seeds
            .iter()
            .chain(&self.listed)
            .filter(|contact| self.may_be_here(contact))
            .map(|contact| (contact.host.clone(), contact.peer_address));
        let missing: Vec<(Option<HostId>, SocketAddr)> =
            dead.chain(named).filter(|(host, address)| !self.is_in_touch(host.as_ref(), *address)).collect();
        missing.choose(&mut self.rng).cloned()
    }

    /// Whether a contact may be of the own data centre. The others are for the bridges to reach.
    fn may_be_here(&self, contact: &Contact) -> bool {
        contact.data_centre.as_ref().is_none_or(|data_centre| *data_centre == self.own.data_centre)
    }

    fn is_in_touch(&self, host: Option<&HostId>, address: SocketAddr) -> bool {
        if address == self.own.peer_address || host == Some(&self.own.host) {
            return true;
        }
        let is_here = self
            .table
            .living()
            .any(|known| known.record.peer_address == address || Some(&known.record.host) == host);
        is_here || self.data_centres.is_known(address)
    }

    /// Fetches what is wanted from one daemon, not more often than [`PULL_GAP`]: a daemon that was just
    /// started has hundreds of records to fetch, and whoever answers has a budget.
    fn pull(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        if !is_due(self.pulled_us, now_us, PULL_GAP) {
            return;
        }
        let Some(source) = self.wanted_data_centres.values().chain(self.wanted_tags.values()).next().cloned()
        else {
            return;
        };
        self.pulled_us = Some(now_us);
        let tags = take_from(&mut self.wanted_tags, &source, PULLED_TAGS);
        let data_centres = take_from(&mut self.wanted_data_centres, &source, PULLED_CENTRES);
        let Some(address) = self.address(&source) else {
            return;
        };
        let message = MembershipMessage::Pull { tags, data_centres, sender: self.introduction(now_us, true) };
        actions.push(MembershipAction::Send { to: Some(source), address, message });
    }

    fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.table.address(host).or_else(|| self.data_centres.address(host))
    }

    fn receive(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        if *from == self.own.host {
            self.notice_successor(incarnation, actions);
            return;
        }
        if self.table.has_newer_life(from, incarnation) {
            return;
        }
        match message {
            MembershipMessage::Gossip { sender, heartbeats, data_centres } => {
                self.learn_sender(now_us, from, incarnation, sender, actions);
                self.hear(now_us, from, &heartbeats);
                self.hear_data_centres(now_us, from, &data_centres);
                self.meet(now_us, from, &heartbeats, actions);
                self.pull(now_us, actions);
            }
            MembershipMessage::Pull { tags, data_centres, sender } => {
                self.learn_sender(now_us, from, incarnation, sender, actions);
                self.answer(from, &tags, &data_centres, actions);
            }
            MembershipMessage::Push { records, data_centres } => {
                self.take(now_us, from, records, data_centres, actions);
            }
            MembershipMessage::Ping { .. } => self.pong(from, actions),
            MembershipMessage::Pong { heartbeat } => self.hear(now_us, from, &[heartbeat]),
        }
    }

    fn notice_successor(&self, incarnation: Incarnation, actions: &mut Vec<MembershipAction>) {
        if incarnation > self.own.incarnation {
            actions.push(MembershipAction::Superseded { by: incarnation });
        }
    }

    fn learn_sender(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        sender: Option<MemberRecord>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(record) =
            sender.filter(|record| record.host == *from && record.incarnation == incarnation)
        {
            self.learn(now_us, record, actions);
        }
    }

    fn learn(&mut self, now_us: MonoTime, record: MemberRecord, actions: &mut Vec<MembershipAction>) {
        if record.host == self.own.host {
            self.notice_successor(record.incarnation, actions);
            return;
        }
        if record.data_centre != self.own.data_centre {
            self.data_centres.learn(record);
            return;
        }
        if self.table.learn(now_us, record.clone(), &self.settings) == Learned::New {
            // The newcomer is spoken to next: the sooner it knows the rest, the sooner it shares the work.
            self.round.push(record.host);
        }
    }

    fn hear(&mut self, now_us: MonoTime, from: &HostId, heartbeats: &[Heartbeat]) {
        for heartbeat in heartbeats {
            if heartbeat.tag == self.own_tag {
                self.echoed = self.echoed.max(heartbeat.counter.min(self.counter));
                continue;
            }
            let was_dead = self
                .table
                .record(heartbeat.tag)
                .and_then(|record| self.table.find(&record.host))
                .is_some_and(|known| known.is_dead);
            match self.table.hear(now_us, *heartbeat) {
                Heard::New => self.counts.revived += u64::from(was_dead),
                Heard::Old => {}
                Heard::Unknown => {
                    if self.wanted_tags.len() < WANTED_TAGS {
                        self.wanted_tags.insert(heartbeat.tag, from.clone());
                    }
                }
            }
        }
    }

    fn hear_data_centres(&mut self, now_us: MonoTime, from: &HostId, digests: &[DataCentreDigest]) {
        for digest in digests {
            if self.data_centres.hear(now_us, *digest) {
                self.wanted_data_centres.insert(digest.data_centre, from.clone());
            }
        }
        self.want_missing(from);
    }

    fn want_missing(&mut self, from: &HostId) {
        let room = WANTED_TAGS.saturating_sub(self.wanted_tags.len());
        let missing: Vec<MemberTag> = self.data_centres.missing(self.own_data_centre).take(room).collect();
        for tag in missing {
            self.wanted_tags.insert(tag, from.clone());
        }
    }

    /// Answers a daemon of the own data centre that does not name this one: it is new, or has not heard of
    /// this one for long. Without the record it could not even ask.
    fn meet(
        &self,
        now_us: MonoTime,
        from: &HostId,
        heartbeats: &[Heartbeat],
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_whole = !heartbeats.is_empty() && heartbeats.len() < self.settings.heartbeats_per_message;
        let is_named = heartbeats.iter().any(|heartbeat| heartbeat.tag == self.own_tag);
        let Some(address) = self.table.address(from).filter(|_| is_whole && !is_named) else {
            return;
        };
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: self.make_gossip(now_us, true, true),
        });
    }

    fn answer(
        &self,
        from: &HostId,
        tags: &[MemberTag],
        data_centres: &[DataCentreTag],
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(address) = self.address(from) else { return };
        let records: Vec<MemberRecord> = tags
            .iter()
            .filter_map(|tag| self.record(*tag))
            .take(self.settings.records_per_message)
            .cloned()
            .collect();
        let data_centres: Vec<DataCentreState> = data_centres
            .iter()
            .filter_map(|tag| self.data_centres.find(*tag))
            .take(PULLED_CENTRES)
            .map(|data_centre| data_centre.state.clone())
            .collect();
        if records.is_empty() && data_centres.is_empty() {
            return;
        }
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: MembershipMessage::Push { records, data_centres },
        });
    }

    fn record(&self, tag: MemberTag) -> Option<&MemberRecord> {
        if tag == self.own_tag {
            return Some(&self.own);
        }
        self.table.record(tag).or_else(|| self.data_centres.record(tag))
    }

    fn take(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        records: Vec<MemberRecord>,
        data_centres: Vec<DataCentreState>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in records {
            self.wanted_tags.remove(&record.tag());
            self.learn(now_us, record, actions);
        }
        for state in data_centres {
            self.wanted_data_centres.remove(&DataCentreTag::of(&state.data_centre));
            self.data_centres.adopt(now_us, state);
        }
        self.want_missing(from);
        self.pull(now_us, actions);
    }

    fn pong(&self, from: &HostId, actions: &mut Vec<MembershipAction>) {
        let Some(address) = self.address(from) else { return };
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: MembershipMessage::Pong {
                heartbeat: Heartbeat { tag: self.own_tag, counter: self.counter },
            },
        });
    }

    fn publish(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let fingerprint = self.fingerprint(now_us);
        if fingerprint == self.fingerprint {
            return;
        }
        self.fingerprint = fingerprint;
        let mut view = self.look(now_us);
        if view == self.view {
            return;
        }
        view.version += 1;
        self.view = view.clone();
        actions.push(MembershipAction::Publish(view));
    }

    /// What the view depends on, without the view: hundreds of records need not be copied at each tick to
    /// find that nothing changed.
    fn fingerprint(&self, now_us: MonoTime) -> Fingerprint {
        let here = self.table.living().map(|known| (known.tag, self.local_state(now_us, known)));
        let reachable =
            self.data_centres.all().map(|(_, data_centre)| data_centre.is_reachable(now_us, &self.settings));
        Fingerprint {
            own_tag: self.own_tag,
            is_heard: self.is_heard(now_us),
            here: here.collect(),
            remote_changes: self.data_centres.changes(),
            reachable: reachable.collect(),
        }
    }

    fn look(&self, now_us: MonoTime) -> MembersView {
        let mut members: BTreeMap<DataCentreId, Vec<Member>> = BTreeMap::new();
        for (tag, data_centre) in self.data_centres.all() {
            if *tag == self.own_data_centre {
                continue;
            }
            let is_reachable = data_centre.is_reachable(now_us, &self.settings);
            let known = data_centre.state.tags.iter().filter_map(|tag| self.data_centres.record(*tag));
            let listed = known.map(|record| make_member(record, remote_state(record, is_reachable)));
            members.insert(data_centre.state.data_centre.clone(), sorted(listed.collect()));
        }
        let mut here: Vec<Member> = self
            .table
            .living()
            .map(|known| make_member(&known.record, self.local_state(now_us, known)))
            .collect();
        here.push(make_member(&self.own, remote_state(&self.own, true)));
        members.insert(self.own.data_centre.clone(), sorted(here));
        MembersView {
            version: self.view.version,
            own_host: Some(self.own.host.clone()),
            own_data_centre: Some(self.own.data_centre.clone()),
            is_heard: self.is_heard(now_us),
            members,
        }
    }

    fn local_state(&self, now_us: MonoTime, known: &Known) -> MemberState {
        if known.record.leaving {
            return MemberState::Leaving;
        }
        if now_us.since(known.heard_us) > Micros::from(self.settings.suspect_after_ms) {
            return MemberState::Suspect;
        }
        MemberState::Live
    }

    /// Whether the others still hear this daemon: one of them echoed a counter younger than what makes a
    /// daemon dead. A daemon that hears nobody is alone, or cut off with all its servers' other watchers,
    /// and has to serve what it can.
    fn is_heard(&self, now_us: MonoTime) -> bool {
        if self.table.living().next().is_none() {
            return self.may_be_alone(now_us);
        }
        let unheard_ms = Millis(self.counter.saturating_sub(self.echoed) * self.settings.tick_ms.0);
        self.echoed > 0 && unheard_ms <= self.settings.dead_after_ms
    }

    /// A newcomer knows nobody yet and would take all work of its data centre for itself. It waits until it
    /// has had time to meet the others, unless there is nobody to meet.
    fn may_be_alone(&self, now_us: MonoTime) -> bool {
        let has_others = self
            .seeds
            .iter()
            .chain(&self.listed)
            .any(|contact| contact.peer_address != self.own.peer_address);
        let since_start_us = self.started_us.map_or(Micros::ZERO, |started_us| now_us.since(started_us));
        !has_others || since_start_us >= Micros::from(self.settings.settle_ms)
    }
}

fn is_due(last_us: Option<MonoTime>, now_us: MonoTime, every_ms: Millis) -> bool {
    last_us.is_none_or(|last_us| now_us.since(last_us) >= Micros::from(every_ms))
}

fn remote_state(record: &MemberRecord, is_reachable: bool) -> MemberState {
    match (is_reachable, record.leaving) {
        (false, _) => MemberState::Unreachable,
        (true, true) => MemberState::Leaving,
        (true, false) => MemberState::Live,
    }
}

fn make_member(record: &MemberRecord, state: MemberState) -> Member {
    Member {
        host: record.host.clone(),
        incarnation: record.incarnation,
        peer_address: record.peer_address,
        data_centre: record.data_centre.clone(),
        region: record.region.clone(),
        state,
        host_hash: hash_name(record.host.as_str()),
    }
}

fn sorted(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_unstable_by(|a, b| a.host.cmp(&b.host));
    members.dedup_by(|a, b| a.host == b.host);
    members
}

/// Takes at most `limit` keys that are wanted of `source`.
fn take_from<Key>(wanted: &mut BTreeMap<Key, HostId>, source: &HostId, limit: usize) -> Vec<Key>
where
    Key: Copy + Ord,
{
    let keys: Vec<Key> =
        wanted.iter().filter(|(_, host)| *host == source).take(limit).map(|(key, _)| *key).collect();
    for key in &keys {
        wanted.remove(key);
    }
    keys
}
