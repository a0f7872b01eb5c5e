//! The other daemons: which there are, which of them are live, and who gets messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{DataCentreId, HostId, Incarnation};
use hibiscusvale_core::quota::Coverage;
use hibiscusvale_core::relay::audience::{Audience, Reach};
use parking_lot::Mutex;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::sync::watch;
use tokio::time::Instant;

use super::edge::DaemonEntry;
use super::message::Message;
use super::pace::{Pace, Urgency};
use crate::settings::HostSettings;

/// A daemon that was not heard of for so long has no requests any more, or cannot tell: engines say themselves when
/// they are full.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Pause between messages to a daemon that was not heard of: hosts that are gone for good stay registered.
const CALL_AGAIN: Duration = Duration::from_secs(3);

/// A daemon that was not heard of for so long is taken to be gone for good, not cut off.
const FORGET: Duration = Duration::from_mins(10);

/// Longest time for which a daemon that starts waits for the register.
const REGISTER_WAIT: Duration = Duration::from_secs(3);

/// Time after the start within which messages of all live daemons arrive.
const SETTLE: Duration = Duration::from_secs(2);

/// Daemons that may be at work while the register could not be read.
const UNREAD_REGISTER_DAEMONS: u64 = 64;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentreId,
    /// When it was last seen in the register for the first time, or heard of.
    seen: Instant,
    heard: Option<Heard>,
    called: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    incarnation: Incarnation,
    sequence: u64,
    reaches_store: bool,
    /// Version of its list of servers; zero before it knows any.
    list_version: u64,
}

impl Peer {
    fn new(address: SocketAddr, data_centre: DataCentreId, now: Instant) -> Self {
        Self { address, data_centre, seen: now, heard: None, called: None }
    }

    fn is_heard(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now < heard.at + SILENCE)
    }

    /// Whether a message may go to it: one that is silent is called only now and then.
    fn is_due(&self, now: Instant) -> bool {
        self.is_heard(now) || self.called.is_none_or(|called| now >= called + CALL_AGAIN)
    }
}

/// What a message is among those of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hearing {
    /// It is older than one that was heard.
    Old,
    /// The first of a daemon that was not heard of, or not for a while.
    First,
    /// A further one.
    Next,
}

/// What is known of another data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Remote {
    heard: Option<Instant>,
    /// When one of its daemons was last heard of that could do for all what needs the store.
    heard_at_store: Option<Instant>,
}

#[derive(Debug, Default)]
struct Table {
    known: HashMap<HostId, Peer>,
    remotes: HashMap<DataCentreId, Remote>,
    audience: Audience,
    /// Whether daemons were added since the audience was made.
    is_audience_old: bool,
}

impl Table {
    /// Whether a daemon was heard of lately. From another data centre only some of its daemons are heard; the others count
    /// with them.
    fn is_live(&self, host: &Host, peer: &Peer, now: Instant) -> bool {
        if self.audience.reach == Reach::Everyone || peer.data_centre == host.data_centre {
            return peer.is_heard(now);
        }
        let heard = self.remotes.get(&peer.data_centre).and_then(|remote| remote.heard);
        peer.is_heard(now) || heard.is_some_and(|heard| now < heard + SILENCE)
    }

    fn live<'a>(&'a self, host: &'a Host, now: Instant) -> impl Iterator<Item = (&'a HostId, &'a Peer)> {
        self.known.iter().filter(move |(_, peer)| self.is_live(host, peer, now))
    }
}

/// Who this daemon is among the others.
#[derive(Clone, Debug)]
struct Host {
    id: HostId,
    data_centre: DataCentreId,
}

/// The other daemons.
#[derive(Debug)]
pub struct Peers {
    host: Host,
    table: Mutex<Table>,
    /// Where to ask when nobody else is known.
    seeds: Vec<SocketAddr>,
    started: Instant,
    /// Whether the register was read: before that there may be any number of daemons.
    register_read: watch::Sender<bool>,
    /// Daemons that got the last message.
    partners: AtomicU32,
    pace: Pace,
}

impl Peers {
    /// No daemon is known yet; this one is `host` and listens on `own`.
    pub fn new(host: &HostSettings, own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
        Self {
            host: Host { id: host.id.clone(), data_centre: host.data_centre.clone() },
            table: Mutex::default(),
            seeds: seeds.filter(|seed| *seed != own).collect(),
            started: Instant::now(),
            register_read: watch::Sender::new(false),
            partners: AtomicU32::new(0),
            pace: Pace::default(),
        }
    }

    /// The data centre of this daemon.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.host.data_centre
    }

    /// Something that the others should know has changed.
    pub fn touch(&self, urgency: Urgency) {
        self.pace.touch(Instant::now(), urgency);
    }

    /// Waits until a message is due after the one that went at `last`.
    pub async fn next_message(&self, last: Instant) {
        self.pace.due(last, self.partners()).await;
    }

    /// Daemons that get this daemon's messages, and send it theirs.
    pub fn partners(&self) -> u32 {
        self.partners.load(Ordering::Relaxed)
    }

    /// How far messages go.
    pub fn reach(&self) -> Reach {
        self.table.lock().audience.reach
    }

    /// Daemons that were heard of lately.
    pub fn live(&self) -> u32 {
        let table = self.table.lock();
        u32::try_from(table.live(&self.host, Instant::now()).count()).unwrap_or(u32::MAX)
    }

    /// Hosts of the daemons that share with this one what is done once for all that exchange messages: those that were heard
    /// of lately and reach the store. Just after the start nobody was heard yet, and whoever is registered counts.
    pub fn hosts_at_store(&self) -> Vec<HostId> {
        let now = Instant::now();
        let table = self.table.lock();
        let shares = |peer: &Peer| {
            let is_near =
                table.audience.reach == Reach::Everyone || peer.data_centre == self.host.data_centre;
            let may_be_there = table.audience.reach == Reach::DataCentre && now < self.started + SETTLE;
            is_near
                && match peer.heard {
                    Some(heard) => peer.is_heard(now) && heard.reaches_store,
                    None => may_be_there,
                }
        };
        table.known.iter().filter(|(_, peer)| shares(peer)).map(|(host, _)| host.clone()).collect()
    }

    /// Whether this daemon's data centre does what one daemon of the region does for all. Where messages reach everyone there
    /// is no need to choose among data centres.
    pub fn is_first_data_centre(&self) -> bool {
        let now = Instant::now();
        let table = self.table.lock();
        let at_store = |remote: &Remote| remote.heard_at_store.is_some_and(|heard| now < heard + SILENCE);
        table.audience.reach == Reach::Everyone
            || !table.remotes.iter().any(|(name, remote)| at_store(remote) && *name < self.host.data_centre)
    }

    /// Addresses of the daemons that were heard of lately, those of the own data centre first, and of all others behind them;
    /// otherwise in no order, so that not all daemons ask the same one.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let table = self.table.lock();
        let mut peers: Vec<&Peer> = table.known.values().collect();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| (!peer.is_heard(now), peer.data_centre != self.host.data_centre));
        peers.iter().map(|peer| peer.address).chain(self.seeds.iter().copied()).collect()
    }

    /// Where a daemon listens whose list of servers is at least of this version, one of the own data centre if there is any.
    pub fn address_with_list(&self, version: u64) -> Option<SocketAddr> {
        let now = Instant::now();
        let table = self.table.lock();
        let knows = |peer: &&Peer| {
            peer.is_heard(now) && peer.heard.is_some_and(|heard| heard.list_version >= version)
        };
        let mut peers: Vec<&Peer> = table.known.values().filter(knows).collect();
        peers.shuffle(&mut rand::rng());
        let nearest = peers.iter().min_by_key(|peer| peer.data_centre != self.host.data_centre)?;
        Some(nearest.address)
    }

    /// Where the daemon on `host` listens.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        Some(self.table.lock().known.get(host)?.address)
    }

    /// Daemons that are registered or were heard of, this one among them.
    pub fn registered(&self) -> u64 {
        self.table.lock().known.len() as u64 + 1
    }

    /// Hosts of the daemons that were heard of lately.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let table = self.table.lock();
        table.live(&self.host, Instant::now()).map(|(host, _)| host.clone()).collect()
    }

    /// The daemons that this one can reach, of those that may be at work.
    pub fn coverage(&self) -> Coverage {
        let now = Instant::now();
        let table = self.table.lock();
        let live = table.live(&self.host, now).count() as u64 + 1;
        let all = table.known.values().filter(|peer| now < peer.seen + FORGET).count() as u64 + 1;
        let least = if *self.register_read.borrow() { 0 } else { UNREAD_REGISTER_DAEMONS };
        Coverage { live, all: all.max(least) }
    }

    /// Waits until the register was read, or until that is not worth waiting for.
    pub async fn register_known(&self) {
        let mut read = self.register_read.subscribe();
        // Without the register the first reads are left to others for longer.
        let _ = tokio::time::timeout_at(self.started + REGISTER_WAIT, read.wait_for(|read| *read)).await;
    }

    /// Whether this daemon knows of all others that are registered.
    pub fn is_register_read(&self) -> bool {
        *self.register_read.borrow()
    }

    /// Whether any daemon was heard of lately.
    pub fn is_any_heard(&self) -> bool {
        let now = Instant::now();
        self.table.lock().known.values().any(|peer| peer.is_heard(now))
    }

    /// Some host that had a daemon when the settings were written.
    pub fn seed(&self) -> Option<SocketAddr> {
        self.seeds.choose(&mut rand::rng()).copied()
    }

    /// The daemons that are known here, as entries of the register.
    pub fn entries(&self) -> Vec<DaemonEntry> {
        let table = self.table.lock();
        let entry = |(host, peer): (&HostId, &Peer)| DaemonEntry {
            host: host.clone(),
            data_centre: peer.data_centre.clone(),
            peer_address: peer.address,
        };
        table.known.iter().map(entry).collect()
    }

    /// Takes entries of the register.
    pub fn learn(&self, entries: Vec<DaemonEntry>) {
        let now = Instant::now();
        let mut table = self.table.lock();
        let others = entries.into_iter().filter(|entry| entry.host != self.host.id);
        for DaemonEntry { host, data_centre, peer_address } in others {
            let peer = table.known.entry(host).or_insert(Peer::new(peer_address, data_centre, now));
            if peer.address != peer_address && peer.heard.is_none() {
                peer.address = peer_address;
                peer.called = None;
            }
        }
        Self::renew(&self.host, &mut table);
        drop(table);
        self.register_read.send_replace(true);
    }

    fn renew(host: &Host, table: &mut Table) {
        let others = table.known.iter().map(|(host, peer)| (host, &peer.data_centre));
        table.audience = Audience::of(&host.id, &host.data_centre, others);
        table.is_audience_old = false;
    }

    /// Whom to send a message now: all members of the audience, one link to each other data centre, and whoever uses this
    /// daemon as its link. Each message goes to a part of the daemons anyway, so one look at all of them adds little to it.
    pub fn targets(&self, now: Instant) -> Vec<SocketAddr> {
        let mut table = self.table.lock();
        let table = &mut *table;
        if table.is_audience_old {
            Self::renew(&self.host, table);
        }
        let Audience { reach, ref links, .. } = table.audience;
        let mut linked = Vec::new();
        for hosts in links.values() {
            let known = || hosts.iter().filter_map(|host| table.known.get(host).map(|peer| (host, peer)));
            if !known().any(|(_, peer)| peer.is_heard(now)) {
                linked.extend(known().find(|(_, peer)| peer.is_due(now)).map(|(host, _)| host.clone()));
            }
        }
        let is_target = |host: &HostId, peer: &Peer| {
            let is_member = reach == Reach::Everyone || peer.data_centre == self.host.data_centre;
            if is_member { peer.is_due(now) } else { peer.is_heard(now) || linked.contains(host) }
        };
        let targets = table.known.iter_mut().filter(|(host, peer)| is_target(host, peer));
        let mut addresses: Vec<SocketAddr> = targets
            .map(|(_, peer)| {
                peer.called = Some(now);
                peer.address
            })
            .collect();
        self.partners.store(u32::try_from(addresses.len()).unwrap_or(u32::MAX), Ordering::Relaxed);
        if !table.known.values().any(|peer| peer.is_heard(now)) {
            addresses.extend(&self.seeds);
        }
        addresses
    }

    /// Takes note of a message.
    pub fn hear(&self, now: Instant, from: SocketAddr, message: &Message) -> Hearing {
        let mut table = self.table.lock();
        let table = &mut *table;
        let data_centre = &message.data_centre;
        let peer = table.known.entry(message.host.clone()).or_insert_with(|| {
            table.is_audience_old = true;
            Peer::new(from, data_centre.clone(), now)
        });
        let next = (message.incarnation, message.sequence);
        if peer.heard.is_some_and(|heard| next <= (heard.incarnation, heard.sequence)) {
            return Hearing::Old;
        }
        let hearing = if peer.heard.is_some() { Hearing::Next } else { Hearing::First };
        let Message { incarnation, sequence, reaches_store, .. } = *message;
        let list_version = message.stamp.list_version();
        peer.address = from;
        peer.seen = now;
        peer.heard = Some(Heard { at: now, incarnation, sequence, reaches_store, list_version });
        if *data_centre != self.host.data_centre {
            let remote = table.remotes.entry(data_centre.clone()).or_default();
            remote.heard = Some(now);
            if reaches_store {
                remote.heard_at_store = Some(now);
            }
        }
        hearing
    }

    /// Hosts that fell silent since the last look.
    pub fn fallen_silent(&self, now: Instant) -> Vec<HostId> {
        let mut table = self.table.lock();
        let silent = table.known.iter_mut().filter(|(_, peer)| peer.heard.is_some() && !peer.is_heard(now));
        silent
            .map(|(host, peer)| {
                peer.heard = None;
                host.clone()
            })
            .collect()
    }
}
