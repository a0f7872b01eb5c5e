//! Randomized schedules of publishing, forging, expiry, outages, host replacement and relaying.

use std::collections::HashMap;

use hibiscusvale_core::config::{ConfigFold, PartnerConfig, Record};
use hibiscusvale_core::ids::Offset;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::support::{InMemoryLog, Publisher, checkpoint_key, daemon, keys, nadifa, registry};

const HOSTS: usize = 4;
const STEPS: usize = 60;

/// Number of schedules run in CI. `HIBISCUSVALE_SEEDS=100000 cargo test --release -p hibiscusvale-core --test
/// config` runs more.
const DEFAULT_SEEDS: u64 = 400;

fn seeds() -> u64 {
    std::env::var("HIBISCUSVALE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

/// A log, the hosts, and a reference fold that reads every record when it is appended.
struct Simulation {
    rng: StdRng,
    log: InMemoryLog,
    log_is_up: bool,
    hosts: Vec<ConfigFold>,
    reference: ConfigFold,
    digests: HashMap<Offset, blake3::Hash>,
    change_ids: u128,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            log: InMemoryLog::default(),
            log_is_up: true,
            hosts: (0..HOSTS).map(|_| daemon()).collect(),
            reference: daemon(),
            digests: HashMap::new(),
            change_ids: 0,
        }
    }

    fn append(&mut self, record: &[u8]) {
        let offset = Offset(self.log.append(record.to_owned()));
        self.reference.ingest(offset, record);
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

    /// Expires records. As daemons do, it first appends a checkpoint that covers what expires.
    fn expire(&mut self) {
        let record = Record::Checkpoint(self.reference.seal()).encode();
        self.append(&record);
        let to = self.rng.random_range(self.log.start..self.log.next());
        self.log.expire_to(to);
    }

    /// Replaces a host by an empty one that asks a peer or has only the log.
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

    /// Relays any record that the log still holds.
    fn relay(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        if self.log.start < self.log.next() {
            let offset = Offset(self.rng.random_range(self.log.start..self.log.next()));
            let bytes = self.log.get(offset).expect("kept").to_vec();
            let is_checkpoint = matches!(Record::decode(&bytes), Ok(Record::Checkpoint(_)));
            if is_checkpoint && self.rng.random_bool(0.5) {
                self.hosts[host].ingest_elided(offset);
            } else {
                self.hosts[host].ingest(offset, &bytes);
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
            assert!(replaced || state.next_offset() >= before, "a host reverted to a lower offset");
            if state.next_offset() == before {
                continue;
            }
            if let Some(expected) = self.digests.get(&state.next_offset()) {
                assert_eq!(state.digest(), *expected, "hosts differ at {}", state.next_offset());
            }
        }
    }

    /// With the log available again, all hosts must reach the same state.
    fn converge(&mut self) {
        let record = Record::Checkpoint(self.reference.seal()).encode();
        self.append(&record);
        for host in &mut self.hosts {
            self.log.read_all(host);
            assert_eq!(host.state().digest(), self.reference.state().digest());
        }
    }
}

/// Hosts read the log in pieces, receive relayed records twice and out of order, adopt each other's states,
/// are replaced and lose the log, while partners publish, conflict, forge and repeat. If two hosts held
/// different classes at one offset, or one moved backwards, the target of a request would depend on the host
/// that the load balancer picked.
#[test]
fn hosts_agree_at_every_offset_and_never_revert() {
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.converge();
    }
}
