//! Membership and failure detection.
//!
//! Within a data centre each daemon increments a heartbeat counter at each tick and gossips the counters it
//! knows to one other daemon. A daemon whose counter stops increasing becomes suspect and then dead. Each
//! daemon decides by its own clock and does not share the decision, so a wrong one cannot propagate.
//! Heartbeats travel over any path, so one lost message, or one failed direction of a link, does not make a
//! daemon dead.
//!
//! Across data centres a few daemons exchange digests: each data centre has one membership summary with a
//! version and a hash, which is fetched only when it differs. `docs/MEMBERSHIP.md` has the arithmetic and the
//! alternatives.

mod data_centres;
mod event;
mod failure_detection;
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

/// Minimum time between two pulls.
const MIN_PULL_INTERVAL: Millis = Millis(100);
/// Maximum number of records requested in one pull.
const MAX_TAGS_PER_PULL: usize = 24;
/// Maximum number of data centres requested in one pull.
const MAX_DATA_CENTRES_PER_PULL: usize = 4;
/// Maximum number of tags queued for pulling. Further ones are queued when a later heartbeat names them
/// again.
const MAX_WANTED_TAGS: usize = 1_024;

#[derive(Debug, Default, PartialEq)]
struct Fingerprint {
    own_tag: MemberTag,
    is_heard: bool,
    local: Vec<(MemberTag, MemberState)>,
    remote_changes: u64,
    reachable: Vec<bool>,
}

/// Membership state machine of one daemon.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    own_tag: MemberTag,
    own_data_centre: DataCentreTag,
    counter: u64,
    /// Highest own heartbeat counter echoed by another daemon.
    echoed: u64,
    table: Table,
    data_centres: DataCentres,
    seeds: Vec<Contact>,
    listed: Vec<Contact>,
    wanted_tags: BTreeMap<MemberTag, HostId>,
    wanted_data_centres: BTreeMap<DataCentreTag, HostId>,
    gossip_order: Vec<HostId>,
    last_tick_us: Option<MonoTime>,
    last_bridge_us: Option<MonoTime>,
    last_contact_us: Option<MonoTime>,
    last_pull_us: Option<MonoTime>,
    last_summary_us: Option<MonoTime>,
    started_us: Option<MonoTime>,
    announced_us: Option<MonoTime>,
    view: MembersView,
    fingerprint: Fingerprint,
    counts: MembershipCounts,
    rng: StdRng,
}

impl Membership {
    /// Creates the state machine of the daemon described by `own`. `seeds` are contacted while no other
    /// daemon is known; `seed` makes random choices reproducible.
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
            gossip_order: Vec::new(),
            last_tick_us: None,
            last_bridge_us: None,
            last_contact_us: None,
            last_pull_us: None,
            last_summary_us: None,
            started_us: None,
            announced_us: None,
            view: MembersView::default(),
            fingerprint: Fingerprint::default(),
            counts: MembershipCounts::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        membership.view = membership.build_view(MonoTime::default());
        membership
    }

    /// The last published view.
    pub fn view(&self) -> &MembersView {
        &self.view
    }

    /// Current counter values.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Record of this daemon.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Processes an event and appends the resulting actions to `actions`.
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
        // Announce the changed record like that of a new daemon, because every peer has to fetch it.
        self.announced_us = None;
    }

    fn tick(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        self.detect_pause(now_us);
        self.counter += 1;
        self.started_us.get_or_insert(now_us);
        self.announced_us.get_or_insert(now_us);
        self.detect_failures(now_us, actions);
        self.gossip(now_us, actions);
        self.publish_summary(now_us);
        self.gossip_across(now_us, actions);
        self.contact(now_us, actions);
        self.pull(now_us, actions);
        self.publish(now_us, actions);
    }
}

fn is_due(last_us: Option<MonoTime>, now_us: MonoTime, every_ms: Millis) -> bool {
    last_us.is_none_or(|last_us| now_us.since(last_us) >= Micros::from(every_ms))
}
