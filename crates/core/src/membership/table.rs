//! Daemons of the local data centre, tracked by heartbeat.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::message::{Heartbeat, MemberRecord, MemberTag};
use super::settings::MembershipSettings;
use crate::ids::{HostId, Incarnation};
use crate::units::{Micros, MonoTime};

/// State of one daemon of the local data centre.
#[derive(Clone, Debug)]
pub(crate) struct KnownMember {
    pub(crate) record: MemberRecord,
    pub(crate) tag: MemberTag,
    pub(crate) counter: u64,
    /// Local time at which the counter last increased.
    pub(crate) last_heartbeat_us: MonoTime,
    pub(crate) is_dead: bool,
}

/// Result of applying a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeartbeatOutcome {
    /// The counter did not increase, or the record was replaced.
    Stale,
    /// The counter increased.
    Advanced,
    /// No record with this tag is known.
    Unknown,
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordOutcome {
    /// The record is already known or belongs to an older incarnation.
    Outdated,
    /// The record was added or replaced an older one.
    Applied,
}

/// All daemons of the local data centre except this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    by_host: BTreeMap<HostId, KnownMember>,
    by_tag: HashMap<MemberTag, HostId>,
    /// Tags of replaced records, with the time of replacement. Their heartbeats still circulate for a few
    /// seconds and must not cause a request for the record.
    replaced_tags: HashMap<MemberTag, MonoTime>,
}

impl Table {
    pub(crate) fn apply_heartbeat(&mut self, now_us: MonoTime, heartbeat: Heartbeat) -> HeartbeatOutcome {
        if self.replaced_tags.contains_key(&heartbeat.tag) {
            return HeartbeatOutcome::Stale;
        }
        let Some(host) = self.by_tag.get(&heartbeat.tag) else {
            return HeartbeatOutcome::Unknown;
        };
        let Some(known) = self.by_host.get_mut(host) else {
            return HeartbeatOutcome::Unknown;
        };
        if heartbeat.counter <= known.counter {
            return HeartbeatOutcome::Stale;
        }
        known.counter = heartbeat.counter;
        known.last_heartbeat_us = now_us;
        known.is_dead = false;
        HeartbeatOutcome::Advanced
    }

    pub(crate) fn update_record(
        &mut self,
        now_us: MonoTime,
        record: MemberRecord,
        settings: &MembershipSettings,
    ) -> RecordOutcome {
        if let Some(known) = self.by_host.get(&record.host) {
            if !replaces(&record, known, now_us, settings) {
                return RecordOutcome::Outdated;
            }
            self.by_tag.remove(&known.tag);
            self.replaced_tags.insert(known.tag, now_us);
        }
        let tag = record.tag();
        self.replaced_tags.remove(&tag);
        self.by_tag.insert(tag, record.host.clone());
        let known = KnownMember { tag, counter: 0, last_heartbeat_us: now_us, is_dead: false, record };
        self.by_host.insert(known.record.host.clone(), known);
        RecordOutcome::Applied
    }

    /// Marks silent daemons as dead and removes those dead for longer than the retention time.
    pub(crate) fn expire(&mut self, now_us: MonoTime, settings: &MembershipSettings) {
        let dead_after_us = Micros::from(settings.dead_after_ms);
        let forget_after_us = Micros::from(settings.forget_after_ms);
        let drop_replaced_after_us = Micros::from(settings.old_incarnation_after_ms);
        for known in self.by_host.values_mut() {
            known.is_dead = known.is_dead || now_us.since(known.last_heartbeat_us) > dead_after_us;
        }
        self.by_host.retain(|_, known| now_us.since(known.last_heartbeat_us) <= forget_after_us);
        let by_host = &self.by_host;
        self.by_tag.retain(|_, host| by_host.contains_key(host));
        self.replaced_tags.retain(|_, since_us| now_us.since(*since_us) <= drop_replaced_after_us);
    }

    /// Moves all heartbeat times forward by the time for which this process was suspended.
    pub(crate) fn shift_times(&mut self, pause_us: Micros) {
        for known in self.by_host.values_mut() {
            known.last_heartbeat_us = known.last_heartbeat_us + pause_us;
        }
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &KnownMember> {
        self.by_host.values()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &KnownMember> {
        self.by_host.values().filter(|known| !known.is_dead)
    }

    pub(crate) fn find(&self, host: &HostId) -> Option<&KnownMember> {
        self.by_host.get(host)
    }

    pub(crate) fn record(&self, tag: MemberTag) -> Option<&MemberRecord> {
        let host = self.by_tag.get(&tag)?;
        self.by_host.get(host).map(|known| &known.record)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.by_host.get(host).map(|known| known.record.peer_address)
    }

    pub(crate) fn has_newer_incarnation(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.by_host.get(host).is_some_and(|known| known.record.incarnation > incarnation && !known.is_dead)
    }

    /// Heartbeats to gossip: the freshest ones, excluding daemons that this daemon suspects.
    pub(crate) fn heartbeats(&self, now_us: MonoTime, settings: &MembershipSettings) -> Vec<Heartbeat> {
        let suspect_after_us = Micros::from(settings.suspect_after_ms);
        let mut fresh: Vec<(Micros, Heartbeat)> = self
            .live()
            .map(|known| {
                let heartbeat = Heartbeat { tag: known.tag, counter: known.counter };
                (now_us.since(known.last_heartbeat_us), heartbeat)
            })
            .filter(|(age_us, _)| *age_us <= suspect_after_us)
            .collect();
        fresh.sort_unstable_by_key(|(age_us, _)| *age_us);
        fresh.truncate(settings.heartbeats_per_message.saturating_sub(1));
        fresh.into_iter().map(|(_, heartbeat)| heartbeat).collect()
    }
}

/// Whether `record` replaces the known record of the same host.
///
/// A host can be replaced by another with the same name and address while the old daemon still sends
/// messages. The greater incarnation wins. If the clock of the host was ahead and has been corrected, its
/// later incarnations compare smaller and would be rejected forever. So a smaller incarnation is accepted
/// once no heartbeat of the greater one has arrived for [`MembershipSettings::old_incarnation_after_ms`].
fn replaces(
    record: &MemberRecord,
    known: &KnownMember,
    now_us: MonoTime,
    settings: &MembershipSettings,
) -> bool {
    let version = (record.incarnation, record.leaving);
    let known_version = (known.record.incarnation, known.record.leaving);
    if version >= known_version {
        return version > known_version;
    }
    let silence_us = Micros::from(settings.old_incarnation_after_ms);
    record.incarnation < known.record.incarnation
        && known.is_dead
        && now_us.since(known.last_heartbeat_us) > silence_us
}
