//! The membership service: carries out on the control thread what `hibiscusvale_core::membership` decides.

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

/// What the membership service takes in its inbox.
#[derive(Clone, Debug)]
pub enum MembershipRequest {
    /// A message of another daemon.
    Peer {
        /// Its host.
        from: HostId,
        /// Its life.
        incarnation: Incarnation,
        /// What it says.
        message: MembershipMessage,
    },
    /// The entry hosts of the platform's list, after a change of it.
    Listed(Vec<EntryHost>),
    /// This daemon begins to stop: its work is to move.
    Leave,
}

/// What the membership service publishes. All of it can be read from any thread without waiting.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    /// Who lives.
    pub view: Arc<ArcSwap<MembersView>>,
    /// Changes with the view, for services that act on a change.
    pub changes: watch::Receiver<u64>,
    /// Counts for metrics.
    pub counts: Arc<ArcSwap<MembershipCounts>>,
    /// Becomes the newer life when this process was replaced under its own name, and has to stop.
    pub superseded: watch::Receiver<Option<Incarnation>>,
}

/// The membership service.
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

/// Contacts from addresses in the settings, whose hosts are not known.
pub fn contacts_of_seeds(seeds: &[SocketAddr]) -> Vec<Contact> {
    seeds.iter().map(|seed| Contact { host: None, peer_address: *seed, data_centre: None }).collect()
}

/// Contacts from the entry hosts of the platform's list.
pub fn contacts_of_list(listed: &[EntryHost]) -> Vec<Contact> {
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
    /// The service of the daemon that `own` describes.
    pub fn new(
        settings: MembershipSettings,
        own: MemberRecord,
        seeds: &[SocketAddr],
        link: Arc<dyn PeerLink>,
    ) -> (Self, MembershipHandle) {
        let random_seed = own.incarnation.seed();
        let machine = Membership::new(settings, own, contacts_of_seeds(seeds), random_seed);
        let view = Arc::new(ArcSwap::from_pointee(machine.view().clone()));
        let counts = Arc::new(ArcSwap::from_pointee(MembershipCounts::default()));
        let (changes, changes_seen) = watch::channel(0);
        let (superseded, superseded_seen) = watch::channel(None);
        let handle = MembershipHandle {
            view: Arc::clone(&view),
            changes: changes_seen,
            counts: Arc::clone(&counts),
            superseded: superseded_seen,
        };
        let service =
            Self { machine, settings, link, view, counts, changes, superseded, actions: Vec::new() };
        (service, handle)
    }

    /// Runs until the inbox closes.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<MembershipRequest>) {
        let mut ticks = tokio::time::interval(self.settings.tick_ms.into());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(MembershipEvent::Tick),
                request = inbox.recv() => {
                    let Some(request) = request else { return };
                    self.handle(event_of(request));
                }
            }
        }
    }

    fn handle(&mut self, event: MembershipEvent) {
        let now_us = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(now_us, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        let counts = self.machine.counts();
        if **self.counts.load() != counts {
            self.counts.store(Arc::new(counts));
        }
    }

    fn carry_out(&self, action: MembershipAction) {
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

fn event_of(request: MembershipRequest) -> MembershipEvent {
    match request {
        MembershipRequest::Peer { from, incarnation, message } => {
            MembershipEvent::Message { from, incarnation, message }
        }
        MembershipRequest::Listed(listed) => MembershipEvent::Listed(contacts_of_list(&listed)),
        MembershipRequest::Leave => MembershipEvent::Leave,
    }
}
