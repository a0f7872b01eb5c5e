//! The configuration service between log, peers and traffic, in paused time.

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

/// A daemon's configuration service with the ends that others hold.
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
    pub async fn reached(&mut self, next_offset: u64) {
        let reached = self.handle.version.wait_for(|version| version.0 >= next_offset).await;
        reached.expect("the service runs");
    }

    pub async fn ready(&mut self) {
        self.handle.is_ready.wait_for(|is_ready| *is_ready).await.expect("the service runs");
    }

    fn first_token_ms(&self) -> Option<u64> {
        use hibiscusvale_core::config::TargetKind;
        match self.handle.state.load().class(&nadifa(), &summary())?.kind {
            TargetKind::Language { first_token_ms, .. } => Some(first_token_ms.0),
            TargetKind::Plain { .. } => None,
        }
    }

    /// The next state that the service hands to its peers.
    async fn provided_state(&mut self) -> ConfigFeed {
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

fn relayed(offset: u64, bytes: &[u8]) -> ConfigFeed {
    ConfigFeed::Records(vec![ConfigRecord {
        offset: Offset(offset),
        data: RecordData::Full(Arc::from(bytes)),
    }])
}

#[tokio::test(start_paused = true)]
async fn a_change_in_the_log_comes_into_force() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    host.reached(1).await;
    assert_eq!(host.first_token_ms(), Some(9_000));
    host.ready().await;
    log.push(change(2, Some(0), 5_000));
    host.reached(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
}

/// The log is down. What is in force stays in force, and what was published before the outage is there when it
/// ends, without anybody doing anything.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_log_changes_nothing() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    host.reached(1).await;
    log.set_down(true);
    tokio::time::advance(std::time::Duration::from_hours(4)).await;
    assert_eq!(host.first_token_ms(), Some(9_000));
    log.push(change(2, Some(0), 5_000));
    log.set_down(false);
    host.reached(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
}

/// The log is down for hours and the host is replaced. The new one starts from a peer and serves by what the
/// peer serves by; without it every caller would hear that its class is unknown.
#[tokio::test(start_paused = true)]
async fn a_host_that_starts_without_the_log_takes_a_peers_state() {
    let log = MemoryLog::new();
    let mut old = start(&log, true);
    old.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    log.push(change(1, None, 9_000));
    old.reached(1).await;
    log.set_down(true);
    let state = old.provided_state().await;

    let mut new = start(&log, true);
    new.feed.send(state).await.expect("the service runs");
    new.ready().await;
    assert_eq!(new.first_token_ms(), Some(9_000));
}

/// Most daemons do not read the log. Records reach them through relays, and they ask the log for nothing.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_does_not_read_the_log_lives_on_relays() {
    let log = MemoryLog::new();
    log.set_down(true);
    let mut host = start(&log, true);
    let second = change(2, Some(0), 5_000);
    host.feed.send(relayed(1, &second)).await.expect("the service runs");
    host.feed.send(relayed(0, &change(1, None, 9_000))).await.expect("the service runs");
    host.reached(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
    host.ready().await;
    let status = **host.handle.status.load();
    assert_eq!((status.is_reader, status.log_view), (false, LogView::Unread));
}

/// A reader passes on what it reads, or the daemons that do not read would never see it.
#[tokio::test(start_paused = true)]
async fn a_reader_hands_records_to_its_peers() {
    let log = MemoryLog::new();
    let mut host = start(&log, true);
    host.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    let record = change(1, None, 9_000);
    log.push(record.clone());
    host.reached(1).await;
    let first = host.spread.as_mut().expect("peers").recv().await.expect("a request");
    let SpreadEvent::LogRecords(records) = first else {
        panic!("expected the record, got {first:?}");
    };
    assert_eq!(records, [ConfigRecord { offset: Offset(0), data: RecordData::Full(Arc::from(record)) }]);
}

/// Records expire after a while. If nobody wrote the state again, a new host would find an empty log.
#[tokio::test(start_paused = true)]
async fn a_checkpoint_is_written_before_records_expire() {
    let log = MemoryLog::new();
    let mut host = start(&log, true);
    host.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    log.push(change(1, None, 9_000));
    host.reached(1).await;
    log.reached(2).await;
    log.expire_all_but(1);
    assert!(matches!(Record::decode(&log.all()[0]), Ok(Record::Checkpoint(_))));
    let mut new = start(&log, false);
    new.ready().await;
    assert_eq!(new.first_token_ms(), Some(9_000));
}

/// All records expired in an outage and the log comes back empty. The hosts that know the state write it down
/// at once, not only at the next turn.
#[tokio::test(start_paused = true)]
async fn an_emptied_log_gets_a_checkpoint_at_once() {
    let log = MemoryLog::new();
    let mut host = start(&log, true);
    host.feed.send(ConfigFeed::ReadLog(true)).await.expect("the service runs");
    log.push(change(1, None, 9_000));
    host.reached(1).await;
    log.expire_all_but(0);
    let before = tokio::time::Instant::now();
    log.reached(2).await;
    assert!(before.elapsed() < std::time::Duration::from_secs(10), "took {:?}", before.elapsed());
}

/// The platform restores its log from an older copy, and the last change is no longer in it. The daemon keeps it in
/// force and shows what it sees of the log; going back would take a class from callers that use it.
#[tokio::test(start_paused = true)]
async fn a_shortened_log_is_shown_and_takes_nothing_back() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    log.push(change(2, Some(0), 5_000));
    host.reached(2).await;
    log.shorten(1);
    let shown = async {
        while host.handle.status.load().log_view != LogView::Shorter {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
    };
    let shown = tokio::time::timeout(std::time::Duration::from_mins(1), shown).await;
    assert_eq!(shown, Ok(()));
    assert_eq!(host.first_token_ms(), Some(5_000));
}

/// A peer, or somebody who pretends to be one, offers a state that no daemon sealed.
#[tokio::test(start_paused = true)]
async fn a_state_of_nobody_is_not_adopted() {
    let log = MemoryLog::new();
    let mut host = start(&log, false);
    log.push(change(1, None, 9_000));
    host.reached(1).await;
    let forged = ConfigFeed::State { next_offset: Offset(99), data: Arc::from(vec![7_u8; 200]) };
    host.feed.send(forged).await.expect("the service runs");
    log.push(change(2, Some(0), 5_000));
    host.reached(2).await;
    assert_eq!(host.first_token_ms(), Some(5_000));
}
