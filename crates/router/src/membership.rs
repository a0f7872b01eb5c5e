//! The membership service: executes the actions of `hibiscusvale_core::membership` on the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::membership::{
    Contact, MemberRecord, MembersView, Membership, MembershipAction, MembershipCounts, MembershipEvent,
    MembershipMessage, MembershipSettings,
};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::clock;
use crate::directory::EntryHost;
use crate::peer::{PeerBody, PeerLink};

/// Messages accepted by the membership service.
#[derive(Clone, Debug)]
pub enum MembershipRequest {
    /// A message from another daemon.
    Peer {
        /// Host of the sender.
        from: HostId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: MembershipMessage,
    },
    /// Entry hosts of the platform's list, sent when the list has changed.
    Listed(Vec<EntryHost>),
    /// This daemon starts to shut down, and other daemons are to take over its duties.
    Leave,
}

/// State published by the membership service. All of it can be read from any thread without blocking.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    /// Current membership view.
    pub view: Arc<ArcSwap<MembersView>>,
    /// Version of the view; notifies services on each change.
    pub changes: watch::Receiver<u64>,
    /// Counters for metrics.
    pub counts: Arc<ArcSwap<MembershipCounts>>,
    /// Set to the newer incarnation when another process has started under the same host name; this process then
    /// has to stop.
    pub superseded: watch::Receiver<Option<Incarnation>>,
}

/// Runs the membership state machine.
#[derive(Debug)]
pub struct MembershipService {
    machine: Membership,
    settings: MembershipSettings,
    link: Arc<dyn PeerLink>,
    view: Arc<ArcSwap<MembersView>>,
    counts: Arc<ArcSwap<MembershipCounts>>,
    changes: watch::Sender<u64>,
    superseded: watch::Sender<Option<Incarnation>>,
    actions: Vec<MembershipAction>,
}

/// Contacts at the addresses in the settings. Their hosts are unknown.
pub fn seed_contacts(seeds: &[SocketAddr]) -> Vec<Contact> {
    seeds.iter().map(|seed| Contact { host: None, peer_address: *seed, data_centre: None }).collect()
}

/// Contacts at the entry hosts of the platform's list.
pub fn listed_contacts(listed: &[EntryHost]) -> Vec<Contact> {
    listed
        .iter()
        .map(|entry| Contact {
            host: Some(entry.id.clone()),
            peer_address: entry.peer_address,
            data_centre: Some(entry.data_centre.clone()),
        })
        .collect()
}

impl MembershipService {
    /// Creates the service of the daemon described by `own`.
    pub fn new(
        settings: MembershipSettings,
        own: MemberRecord,
        seeds: &[SocketAddr],
        link: Arc<dyn PeerLink>,
    ) -> (Self, MembershipHandle) {
        let random_seed = own.incarnation.seed();
        let machine = Membership::new(settings, own, seed_contacts(seeds), random_seed);
        let view = Arc::new(ArcSwap::from_pointee(machine.view().clone()));
        let counts = Arc::new(ArcSwap::from_pointee(MembershipCounts::default()));
        let (changes, changes_receiver) = watch::channel(0);
        let (superseded, superseded_receiver) = watch::channel(None);
        let handle = MembershipHandle {
            view: Arc::clone(&view),
            changes: changes_receiver,
            counts: Arc::clone(&counts),
            superseded: superseded_receiver,
        };
        let service =
            Self { machine, settings, link, view, counts, changes, superseded, actions: Vec::new() };
        (service, handle)
    }

    /// Runs until the inbox is closed.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<MembershipRequest>) {
        let mut ticks = tokio::time::interval(self.settings.tick_ms.into());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(MembershipEvent::Tick),
                request = inbox.recv() => {
                    let Some(request) = request else { return };
                    self.handle(into_event(request));
                }
            }
        }
    }

    fn handle(&mut self, event: MembershipEvent) {
        let now_us = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(now_us, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        let counts = self.machine.counts();
        if **self.counts.load() != counts {
            self.counts.store(Arc::new(counts));
        }
    }

    fn execute(&self, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, address, message } => {
                self.link.send_at(to.as_ref(), address, PeerBody::Membership(message));
            }
            MembershipAction::Publish(view) => {
                self.link.set_members(&view);
                let version = view.version;
                self.view.store(Arc::new(view));
                self.changes.send_replace(version);
            }
            MembershipAction::Superseded { by } => {
                self.superseded.send_replace(Some(by));
            }
        }
    }
}

fn into_event(request: MembershipRequest) -> MembershipEvent {
    match request {
        MembershipRequest::Peer { from, incarnation, message } => {
            MembershipEvent::Message { from, incarnation, message }
        }
        MembershipRequest::Listed(listed) => MembershipEvent::Listed(listed_contacts(&listed)),
        MembershipRequest::Leave => MembershipEvent::Leave,
    }
}
