//! The other daemons: which exist, which are live, and which receive messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{DataCentreId, HostId, Incarnation};
use hibiscusvale_core::quota::Coverage;
use hibiscusvale_core::relay::recipients::{self, BroadcastScope, Recipients};
use hibiscusvale_core::relay::store_refresh;
use hibiscusvale_core::relay::stream_versions::{self, StreamKey};
use hibiscusvale_core::units::Bytes;
use parking_lot::Mutex;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::sync::watch;
use tokio::time::Instant;

use super::interfaces::DaemonEntry;
use super::message::Message;
use super::pacing::{MessagePacer, SentMessage, Urgency};
use super::settings::RelaySettings;

/// Silence after which a daemon is not counted as live. Either it has no requests any more or it cannot
/// announce them; engines themselves refuse when they are full.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval between messages to a silent daemon: decommissioned hosts stay registered.
const SILENT_PEER_INTERVAL: Duration = Duration::from_secs(3);

/// Silence after which a daemon is taken to be decommissioned rather than partitioned.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Time after which a silent daemon is not expected back soon.
const NEWLY_SILENT: Duration = Duration::from_secs(5);

/// Maximum time that a starting daemon waits for the register.
const REGISTER_WAIT: Duration = Duration::from_secs(3);

/// Time after the start within which messages of all live daemons arrive.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of daemons assumed while the register could not be read.
const UNREAD_REGISTER_DAEMONS: u64 = 64;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentreId,
    /// When it was first seen in the register, or last heard from.
    last_seen: Instant,
    heard: Option<LastMessage>,
    last_sent: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct LastMessage {
    at: Instant,
    incarnation: Incarnation,
    sequence: u64,
    reaches_store: bool,
    /// Version of its server list; zero while it has none.
    list_version: u64,
}

impl Peer {
    fn new(address: SocketAddr, data_centre: DataCentreId, now: Instant) -> Self {
        Self { address, data_centre, last_seen: now, heard: None, last_sent: None }
    }

    fn is_heard(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now < heard.at + PEER_TIMEOUT)
    }

    fn entry((host, peer): (&HostId, &Self)) -> DaemonEntry {
        DaemonEntry { host: host.clone(), data_centre: peer.data_centre.clone(), peer_address: peer.address }
    }

    /// Whether a message may be sent to it: a silent daemon gets one only now and then.
    fn is_due(&self, now: Instant) -> bool {
        self.is_heard(now) || self.last_sent.is_none_or(|last_sent| now >= last_sent + SILENT_PEER_INTERVAL)
    }
}

/// How a message relates to earlier messages of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reception {
    /// Older than one already received.
    Stale,
    /// The first from this daemon, or the first after it was silent.
    First,
    /// A further message of a live daemon.
    Next,
}

/// Daemons to ask about a stream.
#[derive(Clone, Debug)]
pub struct Questioned {
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// Whether these are all other daemons.
    pub is_everyone: bool,
}

/// State of another data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Remote {
    heard: Option<Instant>,
    /// When a daemon there that can perform shared duties needing the store was last heard from.
    store_reached: Option<Instant>,
}

#[derive(Debug, Default)]
struct PeerTable {
    known: HashMap<HostId, Peer>,
    remotes: HashMap<DataCentreId, Remote>,
    audience: Recipients,
    /// Whether daemons were added since the audience was computed.
    is_audience_stale: bool,
}

impl PeerTable {
    /// Whether a daemon was heard from recently. Of another data centre only some daemons send messages to
    /// this one; the rest count as live along with them.
    fn is_live(&self, host: &Host, peer: &Peer, now: Instant) -> bool {
        if self.audience.scope == BroadcastScope::AllDaemons || peer.data_centre == host.data_centre {
            return peer.is_heard(now);
        }
        let heard = self.remotes.get(&peer.data_centre).and_then(|remote| remote.heard);
        peer.is_heard(now) || heard.is_some_and(|heard| now < heard + PEER_TIMEOUT)
    }

    fn live<'a>(&'a self, host: &'a Host, now: Instant) -> impl Iterator<Item = (&'a HostId, &'a Peer)> {
        self.known.iter().filter(move |(_, peer)| self.is_live(host, peer, now))
    }
}

/// Identity of this daemon.
#[derive(Clone, Debug)]
struct Host {
    id: HostId,
    data_centre: DataCentreId,
}

/// The other daemons.
#[derive(Debug)]
pub struct Peers {
    host: Host,
    table: Mutex<PeerTable>,
    /// Addresses to contact while no other daemon is known.
    seeds: Vec<SocketAddr>,
    started: Instant,
    /// Whether the register was read; before that the number of daemons is unknown.
    register_read: watch::Sender<bool>,
    /// Number of recipients of the last message.
    recipients: AtomicU32,
    pacer: MessagePacer,
}

impl Peers {
    /// Creates a table without daemons.
    pub fn new(settings: &RelaySettings) -> Self {
        let RelaySettings { host, listen, peers, capacity, .. } = settings;
        let own = listen.peers;
        let seeds = peers.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
        Self {
            host: Host { id: host.id.clone(), data_centre: host.data_centre.clone() },
            table: Mutex::default(),
            seeds: seeds.filter(|seed| *seed != own).collect(),
            started: Instant::now(),
            register_read: watch::Sender::new(false),
            recipients: AtomicU32::new(0),
            pacer: MessagePacer::new(capacity.message_rate()),
        }
    }

    /// Host of this daemon.
    pub fn host(&self) -> &HostId {
        &self.host.id
    }

    /// Data centre of this daemon.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.host.data_centre
    }

    /// Schedules a message for a change that the others need to learn of.
    pub fn schedule_message(&self, urgency: Urgency) {
        self.pacer.schedule(Instant::now(), urgency);
    }

    /// Waits until a message is due after the one of `size` sent at `at`.
    pub async fn next_message(&self, at: Instant, size: Bytes) {
        self.pacer.due(SentMessage { at, daemons: self.recipients(), size }).await;
    }

    /// Maximum size of the report of load in a message.
    pub fn report_limit(&self) -> Bytes {
        self.pacer.report_limit(self.recipients())
    }

    /// Number of daemons that exchange messages with this one.
    pub fn recipients(&self) -> u32 {
        self.recipients.load(Ordering::Relaxed)
    }

    /// Reach of this daemon's messages.
    pub fn reach(&self) -> BroadcastScope {
        self.table.lock().audience.scope
    }

    /// Number of daemons heard from recently.
    pub fn live(&self) -> u32 {
        let table = self.table.lock();
        u32::try_from(table.live(&self.host, Instant::now()).count()).unwrap_or(u32::MAX)
    }

    /// Hosts of the daemons among which shared duties are assigned: those that exchange messages with this
    /// one, were heard from recently and reach the store. Just after the start no daemon has been heard from
    /// yet, and every registered one counts.
    pub fn hosts_reaching_store(&self) -> Vec<HostId> {
        let now = Instant::now();
        let table = self.table.lock();
        let is_candidate = |peer: &Peer| {
            let exchanges_messages = table.audience.scope == BroadcastScope::AllDaemons
                || peer.data_centre == self.host.data_centre;
            let is_settling =
                table.audience.scope == BroadcastScope::DataCentre && now < self.started + SETTLE_TIME;
            exchanges_messages
                && match peer.heard {
                    Some(heard) => peer.is_heard(now) && heard.reaches_store,
                    None => is_settling,
                }
        };
        table.known.iter().filter(|(_, peer)| is_candidate(peer)).map(|(host, _)| host.clone()).collect()
    }

    /// Whether this daemon's data centre performs the duties that one daemon of the region performs for all.
    /// Where messages reach everyone there is no need to choose a data centre.
    pub fn is_first_data_centre(&self) -> bool {
        let now = Instant::now();
        let table = self.table.lock();
        let reaches_store =
            |remote: &Remote| remote.store_reached.is_some_and(|heard| now < heard + PEER_TIMEOUT);
        table.audience.scope == BroadcastScope::AllDaemons
            || !table
                .remotes
                .iter()
                .any(|(name, remote)| reaches_store(remote) && *name < self.host.data_centre)
    }

    /// Addresses of all daemons: those heard from recently first, and among these the own data centre first.
    /// Otherwise in random order, so that not all daemons ask the same one.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let table = self.table.lock();
        let mut peers: Vec<&Peer> = table.known.values().collect();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| (!peer.is_heard(now), peer.data_centre != self.host.data_centre));
        peers.iter().map(|peer| peer.address).chain(self.seeds.iter().copied()).collect()
    }

    /// Address of a live daemon whose server list has at least this version, for the given attempt: in the own data centre if
    /// possible at the first one, then in any.
    pub fn address_with_list(&self, version: u64, attempt: usize) -> Option<SocketAddr> {
        let now = Instant::now();
        let table = self.table.lock();
        let has_list = |peer: &&Peer| {
            peer.is_heard(now) && peer.heard.is_some_and(|heard| heard.list_version >= version)
        };
        let mut peers: Vec<&Peer> = table.known.values().filter(has_list).collect();
        peers.shuffle(&mut rand::rng());
        let spread = recipients::spread(&self.host.data_centre, peers, |peer| peer.data_centre.clone());
        spread.get(attempt % spread.len().max(1)).map(|peer| peer.address)
    }

    /// The live daemons.
    pub fn live_daemons(&self) -> Vec<DaemonEntry> {
        let table = self.table.lock();
        table.live(&self.host, Instant::now()).map(Peer::entry).collect()
    }

    /// Up to `count` daemons that were heard from recently, at random, spread over the data centres.
    pub fn heard(&self, count: usize) -> Vec<SocketAddr> {
        let now = Instant::now();
        let table = self.table.lock();
        let mut peers: Vec<&Peer> = table.known.values().filter(|peer| peer.is_heard(now)).collect();
        peers.shuffle(&mut rand::rng());
        let spread = recipients::spread(&self.host.data_centre, peers, |peer| peer.data_centre.clone());
        spread.into_iter().take(count).map(|peer| peer.address).collect()
    }

    /// Addresses of the daemons that keep the record of a stream, or are asked for it. Of those that exchange messages
    /// with this one, only live ones.
    pub fn keepers(&self, key: StreamKey, count: usize) -> Vec<SocketAddr> {
        let now = Instant::now();
        let table = self.table.lock();
        let is_candidate = |peer: &Peer| {
            let is_remote = table.audience.scope == BroadcastScope::DataCentre
                && peer.data_centre != self.host.data_centre;
            is_remote || peer.is_heard(now)
        };
        let candidates = table.known.iter().filter(|(_, peer)| is_candidate(peer));
        let candidates = candidates.map(|(host, peer)| (host, &peer.data_centre));
        let keepers = stream_versions::keepers(key, &self.host.data_centre, candidates, count);
        keepers.into_iter().filter_map(|host| table.known.get(host).map(|peer| peer.address)).collect()
    }

    /// The daemons to ask about a stream, or about what has served where its caller named none.
    ///
    /// In a small fleet these are all, also those from which no message has come lately: after a pause or a cut of this
    /// daemon they reply at once.
    pub fn questioned(&self, key: Option<StreamKey>, count: usize) -> Questioned {
        {
            let table = self.table.lock();
            let now = Instant::now();
            let known = || table.known.values().filter(|peer| now < peer.last_seen + FORGET_AFTER);
            if known().count() <= stream_versions::ALL_KEEPERS_MAX {
                let addresses = known().map(|peer| peer.address).collect();
                return Questioned { addresses, is_everyone: *self.register_read.borrow() };
            }
        }
        let addresses = match key {
            Some(key) => self.keepers(key, count),
            None => self.heard(count),
        };
        Questioned { addresses, is_everyone: false }
    }

    /// Address of the daemon that performs duties at the store for all; `None` if it is this one.
    pub fn first_reader(&self) -> Option<SocketAddr> {
        let candidates = self.hosts_reaching_store();
        let first = store_refresh::first_reader(candidates.iter().chain([&self.host.id]))?;
        self.address_of(first)
    }

    /// Whether a daemon has fallen silent so recently that it may only be cut off, or starting.
    pub fn is_any_newly_silent(&self) -> bool {
        let now = Instant::now();
        let table = self.table.lock();
        let mut silent = table.known.values().filter(|peer| !peer.is_heard(now));
        silent.any(|peer| now < peer.last_seen + NEWLY_SILENT)
    }

    /// Address of the daemon on `host`.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        Some(self.table.lock().known.get(host)?.address)
    }

    /// Number of daemons registered or heard from, including this one.
    pub fn registered(&self) -> u64 {
        self.table.lock().known.len() as u64 + 1
    }

    /// Hosts of the daemons heard from recently.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let table = self.table.lock();
        table.live(&self.host, Instant::now()).map(|(host, _)| host.clone()).collect()
    }

    /// How many of the daemons that may be running this one can reach.
    pub fn coverage(&self) -> Coverage {
        let now = Instant::now();
        let table = self.table.lock();
        let live = table.live(&self.host, now).count() as u64 + 1;
        let all = table.known.values().filter(|peer| now < peer.last_seen + FORGET_AFTER).count() as u64 + 1;
        let least = if *self.register_read.borrow() { 0 } else { UNREAD_REGISTER_DAEMONS };
        Coverage { live, all: all.max(least) }
    }

    /// Waits until the register was read or the wait has timed out.
    pub async fn wait_for_register(&self) {
        let mut read = self.register_read.subscribe();
        // Without the register the first reads are delayed further.
        let _ = tokio::time::timeout_at(self.started + REGISTER_WAIT, read.wait_for(|read| *read)).await;
    }

    /// Whether this daemon has read the register.
    pub fn is_register_read(&self) -> bool {
        *self.register_read.borrow()
    }

    /// Whether any daemon was heard from recently.
    pub fn is_any_heard(&self) -> bool {
        let now = Instant::now();
        self.table.lock().known.values().any(|peer| peer.is_heard(now))
    }

    /// A random seed: a host that had a daemon when the settings were written.
    pub fn seed(&self) -> Option<SocketAddr> {
        self.seeds.choose(&mut rand::rng()).copied()
    }

    /// The known daemons, as register entries.
    pub fn entries(&self) -> Vec<DaemonEntry> {
        let table = self.table.lock();
        table.known.iter().map(Peer::entry).collect()
    }

    /// Adds daemons from register entries.
    pub fn add_entries(&self, entries: Vec<DaemonEntry>) {
        let now = Instant::now();
        let mut table = self.table.lock();
        let others = entries.into_iter().filter(|entry| entry.host != self.host.id);
        for DaemonEntry { host, data_centre, peer_address } in others {
            let peer = table.known.entry(host).or_insert(Peer::new(peer_address, data_centre, now));
            if peer.address != peer_address && peer.heard.is_none() {
                peer.address = peer_address;
                peer.last_sent = None;
            }
        }
        Self::update_audience(&self.host, &mut table);
        drop(table);
        self.register_read.send_replace(true);
    }

    fn update_audience(host: &Host, table: &mut PeerTable) {
        let others = table.known.iter().map(|(host, peer)| (host, &peer.data_centre));
        table.audience = Recipients::select(&host.id, &host.data_centre, others);
        table.is_audience_stale = false;
    }

    /// Addresses to send a message to now: all members of the audience, one link to each other data centre,
    /// and every daemon that uses this one as its link. This scans all daemons; each message goes to a share
    /// of them anyway, so the scan adds little.
    pub fn targets(&self, now: Instant) -> Vec<SocketAddr> {
        let mut table = self.table.lock();
        let table = &mut *table;
        if table.is_audience_stale {
            Self::update_audience(&self.host, table);
        }
        let Recipients { scope, ref links, .. } = table.audience;
        let mut linked = Vec::new();
        for hosts in links.values() {
            let known = || hosts.iter().filter_map(|host| table.known.get(host).map(|peer| (host, peer)));
            if !known().any(|(_, peer)| peer.is_heard(now)) {
                linked.extend(known().find(|(_, peer)| peer.is_due(now)).map(|(host, _)| host.clone()));
            }
        }
        let is_target = |host: &HostId, peer: &Peer| {
            let is_member = scope == BroadcastScope::AllDaemons || peer.data_centre == self.host.data_centre;
            if is_member { peer.is_due(now) } else { peer.is_heard(now) || linked.contains(host) }
        };
        let targets = table.known.iter_mut().filter(|(host, peer)| is_target(host, peer));
        let mut addresses: Vec<SocketAddr> = targets
            .map(|(_, peer)| {
                peer.last_sent = Some(now);
                peer.address
            })
            .collect();
        self.recipients.store(u32::try_from(addresses.len()).unwrap_or(u32::MAX), Ordering::Relaxed);
        if !table.known.values().any(|peer| peer.is_heard(now)) {
            addresses.extend(&self.seeds);
        }
        addresses
    }

    /// Records a message from another daemon.
    pub fn receive(&self, now: Instant, from: SocketAddr, message: &Message) -> Reception {
        let mut table = self.table.lock();
        let table = &mut *table;
        let data_centre = &message.data_centre;
        let peer = table.known.entry(message.host.clone()).or_insert_with(|| {
            table.is_audience_stale = true;
            Peer::new(from, data_centre.clone(), now)
        });
        let next = (message.incarnation, message.sequence);
        if peer.heard.is_some_and(|heard| next <= (heard.incarnation, heard.sequence)) {
            return Reception::Stale;
        }
        let reception = if peer.heard.is_some() { Reception::Next } else { Reception::First };
        let Message { incarnation, sequence, reaches_store, .. } = *message;
        let list_version = message.stamp.servers.version;
        peer.address = from;
        peer.last_seen = now;
        peer.heard = Some(LastMessage { at: now, incarnation, sequence, reaches_store, list_version });
        if *data_centre != self.host.data_centre {
            let remote = table.remotes.entry(data_centre.clone()).or_default();
            remote.heard = Some(now);
            if reaches_store {
                remote.store_reached = Some(now);
            }
        }
        reception
    }

    /// Hosts that timed out since the last call.
    pub fn take_timed_out(&self, now: Instant) -> Vec<HostId> {
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
