//! The daemons of the own data centre, by their heartbeats.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::message::{Heartbeat, MemberRecord, MemberTag};
use super::settings::MembershipSettings;
use crate::ids::{HostId, Incarnation};
use crate::units::{Micros, MonoTime};

/// What is known of one daemon of the own data centre.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) record: MemberRecord,
    pub(crate) tag: MemberTag,
    pub(crate) counter: u64,
    /// When the counter last rose here.
    pub(crate) heard_us: MonoTime,
    pub(crate) is_dead: bool,
}

/// What a heartbeat meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Heard {
    /// It is no news.
    Old,
    /// It is news.
    New,
    /// Nobody here has that record.
    Unknown,
}

/// What a record meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Learned {
    /// It is known, or of a life that is over.
    Old,
    /// It is news.
    New,
}

/// The daemons of the own data centre but this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    by_host: BTreeMap<HostId, Known>,
    by_tag: HashMap<MemberTag, HostId>,
    /// Tags of replaced records. Heartbeats under them still travel for a few seconds and ask for nothing.
    retired: HashMap<MemberTag, MonoTime>,
}

impl Table {
    pub(crate) fn hear(&mut self, now_us: MonoTime, heartbeat: Heartbeat) -> Heard {
        if self.retired.contains_key(&heartbeat.tag) {
            return Heard::Old;
        }
        let Some(host) = self.by_tag.get(&heartbeat.tag) else {
            return Heard::Unknown;
        };
        let Some(known) = self.by_host.get_mut(host) else {
            return Heard::Unknown;
        };
        if heartbeat.counter <= known.counter {
            return Heard::Old;
        }
        known.counter = heartbeat.counter;
        known.heard_us = now_us;
        known.is_dead = false;
        Heard::New
    }

    pub(crate) fn learn(
        &mut self,
        now_us: MonoTime,
        record: MemberRecord,
        settings: &MembershipSettings,
    ) -> Learned {
        if let Some(known) = self.by_host.get(&record.host) {
            if !replaces(&record, known, now_us, settings) {
                return Learned::Old;
            }
            self.by_tag.remove(&known.tag);
            self.retired.insert(known.tag, now_us);
        }
        let tag = record.tag();
        self.retired.remove(&tag);
        self.by_tag.insert(tag, record.host.clone());
        let known = Known { tag, counter: 0, heard_us: now_us, is_dead: false, record };
        self.by_host.insert(known.record.host.clone(), known);
        Learned::New
    }

    /// Takes the silent for dead and forgets the long dead.
    pub(crate) fn expire(&mut self, now_us: MonoTime, settings: &MembershipSettings) {
        let dead_after_us = Micros::from(settings.dead_after_ms);
        let forget_after_us = Micros::from(settings.forget_after_ms);
        let retire_after_us = Micros::from(settings.old_life_after_ms);
        for known in self.by_host.values_mut() {
            known.is_dead = known.is_dead || now_us.since(known.heard_us) > dead_after_us;
        }
        self.by_host.retain(|_, known| now_us.since(known.heard_us) <= forget_after_us);
        let by_host = &self.by_host;
        self.by_tag.retain(|_, host| by_host.contains_key(host));
        self.retired.retain(|_, since_us| now_us.since(*since_us) <= retire_after_us);
    }

    /// Moves all times forward by a pause of this daemon, in which it could not hear.
    pub(crate) fn excuse(&mut self, pause_us: Micros) {
        for known in self.by_host.values_mut() {
            known.heard_us = known.heard_us + pause_us;
        }
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Known> {
        self.by_host.values()
    }

    pub(crate) fn living(&self) -> impl Iterator<Item = &Known> {
        self.by_host.values().filter(|known| !known.is_dead)
    }

    pub(crate) fn find(&self, host: &HostId) -> Option<&Known> {
        self.by_host.get(host)
    }

    pub(crate) fn record(&self, tag: MemberTag) -> Option<&MemberRecord> {
        let host = self.by_tag.get(&tag)?;
        self.by_host.get(host).map(|known| &known.record)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.by_host.get(host).map(|known| known.record.peer_address)
    }

    pub(crate) fn has_newer_life(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.by_host.get(host).is_some_and(|known| known.record.incarnation > incarnation && !known.is_dead)
    }

    /// Heartbeats worth passing on: the freshest, and none so old that they say nothing.
    pub(crate) fn heartbeats(&self, now_us: MonoTime, settings: &MembershipSettings) -> Vec<Heartbeat> {
        let suspect_after_us = Micros::from(settings.suspect_after_ms);
        let mut fresh: Vec<(Micros, Heartbeat)> = self
            .living()
            .map(|known| {
                let heartbeat = Heartbeat { tag: known.tag, counter: known.counter };
                (now_us.since(known.heard_us), heartbeat)
            })
            .filter(|(age_us, _)| *age_us <= suspect_after_us)
            .collect();
        fresh.sort_unstable_by_key(|(age_us, _)| *age_us);
        fresh.truncate(settings.heartbeats_per_message.saturating_sub(1));
        fresh.into_iter().map(|(_, heartbeat)| heartbeat).collect()
    }
}

/// Whether `record` takes the place of what is known of the same host.
///
/// A host is replaced under its own name and address, and the old process may still be sending. The greater
/// incarnation wins. A host whose clock was far ahead would then never be believed again after the clock
/// is mended, so a smaller one is believed once the greater has been silent for long.
fn replaces(record: &MemberRecord, known: &Known, now_us: MonoTime, settings: &MembershipSettings) -> bool {
    let life = (record.incarnation, record.leaving);
    let known_life = (known.record.incarnation, known.record.leaving);
    if life >= known_life {
        return life > known_life;
    }
    let quiet_us = Micros::from(settings.old_life_after_ms);
    record.incarnation < known.record.incarnation && known.is_dead && now_us.since(known.heard_us) > quiet_us
}
