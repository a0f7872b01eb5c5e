//! Random schedules: publishing, forging, expiry, outages, replaced hosts, relays, in any order.

use std::collections::HashMap;

use hibiscusvale_core::config::{ConfigFold, PartnerConfig, Record};
use hibiscusvale_core::ids::Offset;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::support::{FakeLog, Publisher, checkpoint_key, daemon, keys, nadifa, registry};

const HOSTS: usize = 4;
const STEPS: usize = 60;

/// Schedules run in CI. `HIBISCUSVALE_SEEDS=100000 cargo test --release -p hibiscusvale-core --test config` runs more.
const DEFAULT_SEEDS: u64 = 400;

fn seeds() -> u64 {
    std::env::var("HIBISCUSVALE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

/// A log, the hosts, and a host outside that read every record as it was appended.
struct World {
    rng: StdRng,
    log: FakeLog,
    log_is_up: bool,
    hosts: Vec<ConfigFold>,
    reference: ConfigFold,
    digests: HashMap<Offset, blake3::Hash>,
    change_ids: u128,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            log: FakeLog::default(),
            log_is_up: true,
            hosts: (0..HOSTS).map(|_| daemon()).collect(),
            reference: daemon(),
            digests: HashMap::new(),
            change_ids: 0,
        }
    }

    fn append(&mut self, record: &[u8]) {
        let offset = Offset(self.log.append(record.to_owned()));
        self.reference.take(offset, record);
        assert_eq!(self.reference.state().next_offset(), offset.next());
        self.digests.insert(offset.next(), self.reference.state().digest());
    }

    fn publish(&mut self) {
        let publisher = [nadifa(), registry()].choose(&mut self.rng).expect("two").clone();
        let in_force = self.reference.state().partner(&publisher.id).and_then(PartnerConfig::version);
        let is_stale = self.rng.random_bool(0.3);
        let made_from =
            if is_stale { Some(self.rng.random_range(0..5)) } else { in_force.map(|offset| offset.0) };
        self.change_ids += 1;
        let name = ["a", "b", "c"].choose(&mut self.rng).expect("three");
        let signer = if self.rng.random_bool(0.2) {
            Publisher { id: publisher.id, key: Publisher::new("x", 9).key }
        } else {
            publisher
        };
        let target_ms = self.rng.random_range(0..50);
        let record = signer.publish(self.change_ids, made_from, name, target_ms);
        self.append(&record);
        if self.rng.random_bool(0.15) {
            self.append(&record);
        }
    }

    fn checkpoint(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        if self.hosts[host].state().is_known() {
            let record = Record::Checkpoint(self.hosts[host].seal()).encode();
            self.append(&record);
        }
    }

    /// Records expire. The duty to write checkpoints keeps one in the log that stands for what expires.
    fn expire(&mut self) {
        let record = Record::Checkpoint(self.reference.seal()).encode();
        self.append(&record);
        let to = self.rng.random_range(self.log.start..self.log.next());
        self.log.expire_to(to);
    }

    /// A host is replaced and knows nothing; it asks a peer, or has only the log.
    fn replace(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let peer = self.rng.random_range(0..HOSTS);
        let mut replacement = ConfigFold::new(keys(), checkpoint_key());
        if host != peer && self.hosts[peer].state().is_known() {
            replacement.adopt(&self.hosts[peer].seal()).expect("a sealed state");
        }
        replacement.allow_genesis();
        self.hosts[host] = replacement;
    }

    fn read(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let limit = self.rng.random_range(1..8);
        if self.log_is_up {
            self.log.read_into(&mut self.hosts[host], limit);
        }
    }

    /// A relayed record arrives, any of those that the log still holds.
    fn relay(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        if self.log.start < self.log.next() {
            let offset = Offset(self.rng.random_range(self.log.start..self.log.next()));
            let bytes = self.log.get(offset).expect("kept").to_vec();
            let is_checkpoint = matches!(Record::decode(&bytes), Ok(Record::Checkpoint(_)));
            if is_checkpoint && self.rng.random_bool(0.5) {
                self.hosts[host].take_elided(offset);
            } else {
                self.hosts[host].take(offset, &bytes);
            }
        }
    }

    fn adopt(&mut self) {
        let (to, from) = (self.rng.random_range(0..HOSTS), self.rng.random_range(0..HOSTS));
        let offered = self.hosts[from].seal();
        self.hosts[to].adopt(&offered).expect("a sealed state");
    }

    fn step(&mut self) {
        let before: Vec<Offset> = self.hosts.iter().map(|host| host.state().next_offset()).collect();
        let mut replaced = false;
        match self.rng.random_range(0..20) {
            0..6 => self.publish(),
            6 => self.checkpoint(),
            7 => self.expire(),
            8 => {
                self.replace();
                replaced = true;
            }
            9 => self.log_is_up = !self.log_is_up,
            10..15 => self.read(),
            15..18 => self.relay(),
            _ => self.adopt(),
        }
        for (host, before) in self.hosts.iter().zip(before) {
            let state = host.state();
            assert!(replaced || state.next_offset() >= before, "a host went back");
            if state.next_offset() == before {
                continue;
            }
            if let Some(expected) = self.digests.get(&state.next_offset()) {
                assert_eq!(state.digest(), *expected, "hosts differ at {}", state.next_offset());
            }
        }
    }

    /// The log is back: everybody must arrive at the same end.
    fn settle(&mut self) {
        let record = Record::Checkpoint(self.reference.seal()).encode();
        self.append(&record);
        for host in &mut self.hosts {
            self.log.read_all(host);
            assert_eq!(host.state().digest(), self.reference.state().digest());
        }
    }
}

/// Hosts read the log in pieces, get records from relays twice and out of order, adopt each other's states, are
/// replaced, and lose the log for a while, as partners publish, conflict, forge and repeat. If two hosts ever
/// held different classes at one offset, or one went back, a caller would be served by targets that depend on
/// the host that the balancer picked.
#[test]
fn hosts_agree_at_every_offset_and_never_go_back() {
    for seed in 0..seeds() {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
    }
}
