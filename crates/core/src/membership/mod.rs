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
mod event;
mod judging;
mod message;
mod receiving;
mod sending;
mod settings;
mod table;
mod view;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::StdRng;

use self::data_centres::DataCentres;
use self::table::Table;
use crate::ids::HostId;
use crate::units::{Micros, Millis, MonoTime};

pub use self::event::{Contact, MembershipAction, MembershipCounts, MembershipEvent};
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
}

fn is_due(last_us: Option<MonoTime>, now_us: MonoTime, every_ms: Millis) -> bool {
    last_us.is_none_or(|last_us| now_us.since(last_us) >= Micros::from(every_ms))
}
