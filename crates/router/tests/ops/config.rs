//! Tests of the configuration service with an in-memory log and simulated peers, in paused time.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ed25519_dalek::SigningKey;
use hibiscusvale::config::{ConfigHandle, ConfigParts, ConfigService};
use hibiscusvale::logging::Log;
use hibiscusvale::metrics::Metrics;
use hibiscusvale::settings::{ConfigSettings, LogLevel};
use hibiscusvale::spread::ConfigFeed;
use hibiscusvale_core::config::{ChangeBody, CheckpointKey, ClassChange, ClassTarget, LogView, Record};
use hibiscusvale_core::ids::{ChangeId, ClassName, DataCentreId, HostId, Incarnation, Offset, PartnerId};
use hibiscusvale_core::membership::{Member, MemberState, MembersView};
use hibiscusvale_core::spread::{ConfigRecord, RecordData, SpreadEvent};
use hibiscusvale_core::units::Millis;
use tokio::sync::mpsc;

use crate::memory_log::MemoryLog;

pub fn nadifa() -> PartnerId {
    "nadifa".parse().expect("a partner")
}

pub fn summary() -> ClassName {
    "summary".parse().expect("a class")
}

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

pub fn change(change_id: u128, made_from: Option<u64>, first_token_ms: u64) -> Vec<u8> {
    let body = ChangeBody {
        made_from: made_from.map(Offset),
        author: "salma".parse().expect("an author"),
        made_at_unix_ms: 0,
        changes: vec![ClassChange::Publish {
            class: summary(),
            target: ClassTarget::language(Millis(first_token_ms), Millis(31)),
        }],
    };
    Record::Change(body.sign(&nadifa(), ChangeId(change_id), &key())).encode()
}

/// Configuration service of a daemon with the channel ends that its peers and traffic hold.
pub struct Host {
    pub handle: ConfigHandle,
    pub feed: mpsc::Sender<ConfigFeed>,
    pub spread: Option<mpsc::Receiver<SpreadEvent>>,
}

pub fn only_member() -> MembersView {
    let data_centre: DataCentreId = "casablanca-1".parse().expect("a data centre");
    let member = Member {
        host: host_id(),
        incarnation: Incarnation(1),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: data_centre.clone(),
        region: "ma-north".parse().expect("a region"),
        state: MemberState::Live,
        host_hash: 1,
    };
    MembersView { members: [(data_centre, vec![member])].into(), ..MembersView::default() }
}

pub fn host_id() -> HostId {
    "entry-1".parse().expect("a host")
}

pub fn start(log: &MemoryLog, has_peers: bool) -> Host {
    let settings = ConfigSettings { checkpoint_interval_ms: Millis(60_000), ..ConfigSettings::default() };
    let (spread, requests) = mpsc::channel(64);
    let (service, handle) = ConfigService::new(ConfigParts {
        settings,
        host: host_id(),
        keys: [(nadifa(), key().verifying_key())].into(),
        checkpoint_key: CheckpointKey::derive(b"shared"),
        log: Arc::new(log.clone()),
        members: Arc::new(ArcSwap::from_pointee(only_member())),
        spread: has_peers.then_some(spread),
        logging: Log::to_writer(LogLevel::Error, std::io::sink()).expect("a log"),
        metrics: Metrics::new().expect("metrics"),
    });
    let (feed, inbox) = mpsc::channel(64);
    tokio::spawn(service.run(inbox));
    Host { handle, feed, spread: has_peers.then_some(requests) }
}

impl Host {
    pub async fn wait_for_offset(&mut self, next_offset: u64) {
        let result = self.handle.version.wait_for(|version| version.0 >= next_offset).await;
        result.expect("the service runs");
    }

    pub async fn wait_until_ready(&mut self) {
        self.handle.is_ready.wait_for(|is_ready| *is_ready).await.expect("the service runs");
    }

    fn first_token_ms(&self) -> Option<u64> {
        use hibiscusvale_core::config::TargetKind;
        match self.handle.state.load().class(&nadifa(), &summary())?.kind {
            TargetKind::Language { first_token_ms, .. } => Some(first_token_ms.0),
            TargetKind::Plain { .. } => None,
        }
    }

    /// Requests the state and returns the next one that the service sends to its peers.
    async fn provide_state(&mut self) -> ConfigFeed {
        self.feed.send(ConfigFeed::ProvideState).await.expect("the service runs");
        let requests = self.spread.as_mut().expect("a host with peers");
        loop {
            if let SpreadEvent::State { next_offset, data } = requests.recv().await.expect("the service runs")
            {
                return ConfigFeed::State { next_offset, data };
            }
        }
    }
}

fn records_feed(offset: u64, bytes: &[u8]) -> ConfigFeed {
    ConfigFeed::Records(vec![ConfigRecord {
        offset: Offset(offset),
        data: RecordData::Full(Arc::from(bytes)),
    }])
}

#[tokio::test(start_paused = true)]
async fn applies_changes_from_the_log() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    host.wait_for_offset(1).await;
    assert_eq!(host.first_token_ms(), Some(9_000));
    host.wait_until_ready().await;
    log.push(change(2, Some(0), 5_000));
    host.wait_for_offset(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
}

/// During a log outage the configuration in force must stay in force, and changes published meanwhile must be applied
/// when the outage ends, without intervention.
#[tokio::test(start_paused = true)]
async fn log_outage_keeps_configuration_in_force() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    host.wait_for_offset(1).await;
    log.set_down(true);
    tokio::time::advance(std::time::Duration::from_hours(4)).await;
    assert_eq!(host.first_token_ms(), Some(9_000));
    log.push(change(2, Some(0), 5_000));
    log.set_down(false);
    host.wait_for_offset(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
}

/// A host is replaced during a log outage. The new daemon must take its state from a peer; without it every request
/// would be refused for an unknown class.
#[tokio::test(start_paused = true)]
async fn start_without_log_takes_state_from_peer() {
    let log = MemoryLog::new();
    let mut old = start(&log, true);
    old.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    log.push(change(1, None, 9_000));
    old.wait_for_offset(1).await;
    log.set_down(true);
    let state = old.provide_state().await;

    let mut new = start(&log, true);
    new.feed.send(state).await.expect("the service runs");
    new.wait_until_ready().await;
    assert_eq!(new.first_token_ms(), Some(9_000));
}

/// Most daemons do not read the log. They receive records from peers, possibly out of order, and send no reads.
#[tokio::test(start_paused = true)]
async fn non_reader_applies_records_from_peers() {
    let log = MemoryLog::new();
    log.set_down(true);
    let mut host = start(&log, true);
    let second = change(2, Some(0), 5_000);
    host.feed.send(records_feed(1, &second)).await.expect("the service runs");
    host.feed.send(records_feed(0, &change(1, None, 9_000))).await.expect("the service runs");
    host.wait_for_offset(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
    host.wait_until_ready().await;
    let status = **host.handle.status.load();
    assert_eq!((status.is_reader, status.log_view), (false, LogView::Unread));
}

/// A reader must forward records to its peers; daemons that do not read the log have no other source.
#[tokio::test(start_paused = true)]
async fn reader_forwards_records_to_peers() {
    let log = MemoryLog::new();
    let mut host = start(&log, true);
    host.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    let record = change(1, None, 9_000);
    log.push(record.clone());
    host.wait_for_offset(1).await;
    let first = host.spread.as_mut().expect("peers").recv().await.expect("a request");
    let SpreadEvent::LogRecords(records) = first else {
        panic!("expected the record, got {first:?}");
    };
    assert_eq!(records, [ConfigRecord { offset: Offset(0), data: RecordData::Full(Arc::from(record)) }]);
}

/// Records expire after the retention period. Without checkpoints a new host would find an empty log.
#[tokio::test(start_paused = true)]
async fn writes_checkpoint_before_records_expire() {
    let log = MemoryLog::new();
    let mut host = start(&log, true);
    host.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    log.push(change(1, None, 9_000));
    host.wait_for_offset(1).await;
    log.wait_for_appends(2).await;
    log.expire_all_but(1);
    assert!(matches!(Record::decode(&log.records()[0]), Ok(Record::Checkpoint(_))));
    let mut new = start(&log, false);
    new.wait_until_ready().await;
    assert_eq!(new.first_token_ms(), Some(9_000));
}

/// All records expired during an outage and the log comes back empty. Hosts that know the state must write a checkpoint
/// at once instead of waiting for the next interval.
#[tokio::test(start_paused = true)]
async fn writes_checkpoint_at_once_to_emptied_log() {
    let log = MemoryLog::new();
    let mut host = start(&log, true);
    host.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    log.push(change(1, None, 9_000));
    host.wait_for_offset(1).await;
    log.expire_all_but(0);
    let before = tokio::time::Instant::now();
    log.wait_for_appends(2).await;
    assert!(before.elapsed() < std::time::Duration::from_secs(10), "took {:?}", before.elapsed());
}

/// The platform restores its log from an older backup that lacks the last change. The daemon must keep the change in
/// force and report the log as shortened; reverting would remove a class that callers use.
#[tokio::test(start_paused = true)]
async fn truncated_log_is_reported_and_reverts_nothing() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    log.push(change(2, Some(0), 5_000));
    host.wait_for_offset(2).await;
    log.truncate(1);
    let reported = async {
        while host.handle.status.load().log_view != LogView::Shorter {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
    };
    let reported = tokio::time::timeout(std::time::Duration::from_mins(1), reported).await;
    assert_eq!(reported, Ok(()));
    assert_eq!(host.first_token_ms(), Some(5_000));
}

/// A peer, or an attacker posing as one, offers a state without a valid seal.
#[tokio::test(start_paused = true)]
async fn rejects_state_without_valid_seal() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    host.wait_for_offset(1).await;
    let forged = ConfigFeed::State { next_offset: Offset(99), data: Arc::from(vec![7_u8; 200]) };
    host.feed.send(forged).await.expect("the service runs");
    log.push(change(2, Some(0), 5_000));
    host.wait_for_offset(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
}
