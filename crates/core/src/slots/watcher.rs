//! Ledgers of the servers that one daemon watches.

use std::collections::BTreeMap;

use crate::ids::{BackendServerId, HostId, Incarnation};
use crate::units::{Millis, MonoTime};

use super::ledger::{HeldReport, Ledger, LedgerAction, LedgerSettings};
use super::{DenyReason, Role, ServerLoad, SlotMessage};
use crate::units::BytesPerSecond;

/// All ledgers of one daemon.
#[derive(Debug)]
pub struct Watcher {
    settings: LedgerSettings,
    ledgers: BTreeMap<BackendServerId, Ledger>,
}

impl Watcher {
    /// Creates a watcher without servers.
    pub fn new(settings: LedgerSettings) -> Self {
        Self { settings, ledgers: BTreeMap::new() }
    }

    /// Starts to watch `server`, or adopts its new size. `other_daemons` are the incarnations of the region's
    /// live daemons if another daemon may have watched the server before.
    pub fn watch(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        role: Role,
        slots_total: u32,
        link_bytes_per_s: BytesPerSecond,
        other_daemons: &[Incarnation],
    ) {
        if let Some(ledger) = self.ledgers.get_mut(server)
            && ledger.role() == role
        {
            ledger.resize(slots_total, link_bytes_per_s);
            return;
        }
        let settings = self.settings;
        let ledger =
            Ledger::new(now_us, settings, server.clone(), role, slots_total, link_bytes_per_s, other_daemons);
        self.ledgers.insert(server.clone(), ledger);
    }

    /// Stops watching `server`, which another daemon watches now. Waiting grant requests are denied, so that
    /// their daemons ask there.
    pub fn unwatch(&mut self, now_us: MonoTime, server: &BackendServerId, actions: &mut Vec<LedgerAction>) {
        if let Some(mut ledger) = self.ledgers.remove(server) {
            ledger.deny_all(now_us, DenyReason::NotWatching, actions);
        }
    }

    /// The ledger of `server`; `None` if it is not watched here.
    pub fn ledger(&self, server: &BackendServerId) -> Option<&Ledger> {
        self.ledgers.get(server)
    }

    /// Mutable access to the ledger of `server`, to pass on load reports and health changes.
    pub fn ledger_mut(&mut self, server: &BackendServerId) -> Option<&mut Ledger> {
        self.ledgers.get_mut(server)
    }

    /// The watched servers, ordered by id.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServerId> {
        self.ledgers.keys()
    }

    /// Handles a message from the daemon on `from`. A grant request for a server that is not watched here is
    /// denied at once, so that the daemon looks up the watcher again instead of waiting for a timeout.
    pub fn handle(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        message: SlotMessage,
        actions: &mut Vec<LedgerAction>,
    ) {
        if let Some(ledger) = self.ledgers.get_mut(message.server()) {
            ledger.handle(now_us, from, incarnation, message, actions);
            return;
        }
        let SlotMessage::Request(grant_request) = message else {
            return;
        };
        let message = SlotMessage::Deny {
            server: grant_request.server,
            request_id: grant_request.request_id,
            grant_id: grant_request.grant_id,
            load: ServerLoad::default(),
            reason: DenyReason::NotWatching,
            retry_after_ms: Millis::ZERO,
        };
        actions.push(LedgerAction::Send { to: from.clone(), message });
    }

    /// Handles a load report of `server`.
    pub fn report(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        report: &HeldReport,
        actions: &mut Vec<LedgerAction>,
    ) {
        if let Some(ledger) = self.ledgers.get_mut(server) {
            ledger.report(now_us, report, actions);
        }
    }

    /// Handles the end of a daemon's incarnation.
    pub fn forget_daemon(&mut self, now_us: MonoTime, incarnation: Incarnation) {
        for ledger in self.ledgers.values_mut() {
            ledger.forget_daemon(now_us, incarnation);
        }
    }

    /// Calls [`Ledger::tick`] for all ledgers.
    pub fn tick(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        for ledger in self.ledgers.values_mut() {
            ledger.tick(now_us, actions);
        }
    }
}
