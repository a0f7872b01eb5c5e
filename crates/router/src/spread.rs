//! The spreading service: executes the actions of `hibiscusvale_core::spread` on the control thread.

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

/// Messages of the spreading service to the configuration service.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigFeed {
    /// Records in log order, with no gap after the previously delivered ones.
    Records(Vec<ConfigRecord>),
    /// A state newer than the delivered records.
    State {
        /// First offset that the state does not include.
        next_offset: Offset,
        /// Encoded state.
        data: Arc<[u8]>,
    },
    /// Another daemon needs the encoded state; answer with [`SpreadEvent::State`].
    ProvideState,
    /// Whether this daemon has to read the configuration stream from the log.
    ReadLog(bool),
}

/// State published by the spreading service.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    /// Server statuses and load summaries.
    pub view: Arc<ArcSwap<SpreadView>>,
    /// Counters for metrics.
    pub counts: Arc<ArcSwap<SpreadCounts>>,
    /// Whether this daemon reads the configuration stream from the log.
    pub is_reader: watch::Receiver<bool>,
}

/// Runs the spreading state machine.
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

/// Dependencies of the spreading service.
#[derive(Clone, Debug)]
pub struct SpreadParts {
    /// Host of this daemon.
    pub host: HostId,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Seed of its random choices, for reproducible runs.
    pub random_seed: u64,
    /// The link to other daemons.
    pub link: Arc<dyn PeerLink>,
    /// Membership view.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Inbox of the configuration service.
    pub feed: mpsc::Sender<ConfigFeed>,
}

impl SpreadService {
    /// Creates the service, and the handle to its published state.
    pub fn new(settings: SpreadSettings, parts: SpreadParts) -> (Self, SpreadHandle) {
        let machine = Spread::new(settings, parts.host, parts.data_centre, parts.random_seed);
        let view = Arc::new(ArcSwap::from_pointee(SpreadView::default()));
        let counts = Arc::new(ArcSwap::from_pointee(SpreadCounts::default()));
        let (is_reader, is_reader_receiver) = watch::channel(false);
        let handle = SpreadHandle {
            view: Arc::clone(&view),
            counts: Arc::clone(&counts),
            is_reader: is_reader_receiver,
        };
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

    /// Runs until the inbox is closed.
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
            self.execute(action).await;
        }
        self.actions = actions;
        let counts = self.machine.counts();
        if **self.counts.load() != counts {
            self.counts.store(Arc::new(counts));
        }
    }

    /// Executes one action. Sends to the configuration service wait for room in its inbox, since a dropped record
    /// would never be applied.
    async fn execute(&self, action: SpreadAction) {
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
        // The receiver is closed only at shutdown, when configuration is no longer applied.
        let _ = self.feed.send(feed).await;
    }
}
