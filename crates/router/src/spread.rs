//! The spreading service: carries out on the control thread what `hibiscusvale_core::spread` decides.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{DataCentreId, HostId, Offset};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::spread::{
    ConfigRecord, Spread, SpreadAction, SpreadCounts, SpreadEvent, SpreadSettings, SpreadView,
};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::clock;
use crate::peer::{PeerBody, PeerLink};

/// What the spreading service tells the service that folds the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigFeed {
    /// Records in the order of the log, without a gap behind those before.
    Records(Vec<ConfigRecord>),
    /// A state further on than what was delivered.
    State {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its encoding.
        data: Arc<[u8]>,
    },
    /// Another daemon needs the encoded state: answer with [`SpreadEvent::State`].
    ProvideState,
    /// Whether this daemon is to read the configuration stream from the log.
    ReadLog(bool),
}

/// What the spreading service publishes.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    /// Signs and loads.
    pub view: Arc<ArcSwap<SpreadView>>,
    /// Counts for metrics.
    pub counts: Arc<ArcSwap<SpreadCounts>>,
    /// Whether this daemon reads the configuration stream from the log.
    pub is_reader: watch::Receiver<bool>,
}

/// The spreading service.
#[derive(Debug)]
pub struct SpreadService {
    machine: Spread,
    settings: SpreadSettings,
    link: Arc<dyn PeerLink>,
    members: Arc<ArcSwap<MembersView>>,
    feed: mpsc::Sender<ConfigFeed>,
    view: Arc<ArcSwap<SpreadView>>,
    counts: Arc<ArcSwap<SpreadCounts>>,
    is_reader: watch::Sender<bool>,
    actions: Vec<SpreadAction>,
}

/// The daemon that a spreading service belongs to, and where it finds the other services.
#[derive(Clone, Debug)]
pub struct SpreadParts {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Makes its random choices repeatable.
    pub random_seed: u64,
    /// The link to other daemons.
    pub link: Arc<dyn PeerLink>,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// The service that folds the configuration.
    pub feed: mpsc::Sender<ConfigFeed>,
}

impl SpreadService {
    /// The service of one daemon.
    pub fn new(settings: SpreadSettings, parts: SpreadParts) -> (Self, SpreadHandle) {
        let machine = Spread::new(settings, parts.host, parts.data_centre, parts.random_seed);
        let view = Arc::new(ArcSwap::from_pointee(SpreadView::default()));
        let counts = Arc::new(ArcSwap::from_pointee(SpreadCounts::default()));
        let (is_reader, is_reader_seen) = watch::channel(false);
        let handle =
            SpreadHandle { view: Arc::clone(&view), counts: Arc::clone(&counts), is_reader: is_reader_seen };
        let service = Self {
            machine,
            settings,
            link: parts.link,
            members: parts.members,
            feed: parts.feed,
            view,
            counts,
            is_reader,
            actions: Vec::new(),
        };
        (service, handle)
    }

    /// Runs until the inbox closes.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<SpreadEvent>) {
        let mut ticks = tokio::time::interval(self.settings.tick_ms.into());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(SpreadEvent::Tick).await,
                request = inbox.recv() => {
                    let Some(request) = request else { return };
                    self.handle(request).await;
                }
            }
        }
    }

    async fn handle(&mut self, event: SpreadEvent) {
        let now_us = clock::now();
        let members = self.members.load_full();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(now_us, &members, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action).await;
        }
        self.actions = actions;
        let counts = self.machine.counts();
        if **self.counts.load() != counts {
            self.counts.store(Arc::new(counts));
        }
    }

    /// What goes to the configuration service waits for room: a record dropped here would never be folded.
    async fn carry_out(&self, action: SpreadAction) {
        let feed = match action {
            SpreadAction::Send { to, message } => {
                self.link.send(&to, PeerBody::Spread(message));
                return;
            }
            SpreadAction::Publish(view) => {
                self.view.store(Arc::new(view));
                return;
            }
            SpreadAction::Deliver(records) => ConfigFeed::Records(records),
            SpreadAction::AdoptState { next_offset, data } => ConfigFeed::State { next_offset, data },
            SpreadAction::ProvideState => ConfigFeed::ProvideState,
            SpreadAction::ReadLog(is_reader) => {
                self.is_reader.send_replace(is_reader);
                ConfigFeed::ReadLog(is_reader)
            }
        };
        // The receiver goes only when the daemon stops, and then nobody folds any more.
        let _ = self.feed.send(feed).await;
    }
}
