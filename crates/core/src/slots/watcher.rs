//! The ledgers of the servers that one daemon watches.

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
    /// Watches nothing yet.
    pub fn new(settings: LedgerSettings) -> Self {
        Self { settings, ledgers: BTreeMap::new() }
    }

    /// Watches `server` from now on, or adopts its new size. `others` are the lives of the living daemons of
    /// the region when another daemon may have watched it before.
    pub fn own(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        role: Role,
        slots_total: u32,
        link_bytes_per_s: BytesPerSecond,
        others: &[Incarnation],
    ) {
        if let Some(ledger) = self.ledgers.get_mut(server)
            && ledger.role() == role
        {
            ledger.resize(slots_total, link_bytes_per_s);
            return;
        }
        let settings = self.settings;
        let ledger =
            Ledger::new(now_us, settings, server.clone(), role, slots_total, link_bytes_per_s, others);
        self.ledgers.insert(server.clone(), ledger);
    }

    /// Another daemon watches `server` from now on. Those who wait are told to ask there.
    pub fn disown(&mut self, now_us: MonoTime, server: &BackendServerId, actions: &mut Vec<LedgerAction>) {
        if let Some(mut ledger) = self.ledgers.remove(server) {
            ledger.deny_all(now_us, DenyReason::NotWatching, actions);
        }
    }

    /// The ledger of `server`, if it is watched here.
    pub fn ledger(&self, server: &BackendServerId) -> Option<&Ledger> {
        self.ledgers.get(server)
    }

    /// The ledger of `server`, to tell it a load report or a sign.
    pub fn ledger_mut(&mut self, server: &BackendServerId) -> Option<&mut Ledger> {
        self.ledgers.get_mut(server)
    }

    /// The servers watched here.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServerId> {
        self.ledgers.keys()
    }

    /// Takes a message of the daemon on `from`. An ask for a server that is not watched here is denied at
    /// once, so that the daemon resolves the watcher again instead of waiting for a timeout.
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
        let SlotMessage::Ask(ask) = message else {
            return;
        };
        let message = SlotMessage::Deny {
            server: ask.server,
            request_id: ask.request_id,
            ask: ask.ask,
            load: ServerLoad::default(),
            reason: DenyReason::NotWatching,
            retry_after_ms: Millis::ZERO,
        };
        actions.push(LedgerAction::Send { to: from.clone(), message });
    }

    /// Takes a load report of `server`.
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

    /// A daemon's life ended.
    pub fn forget_home(&mut self, now_us: MonoTime, incarnation: Incarnation) {
        for ledger in self.ledgers.values_mut() {
            ledger.forget_home(now_us, incarnation);
        }
    }

    /// Lets time pass at all ledgers.
    pub fn tick(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        for ledger in self.ledgers.values_mut() {
            ledger.tick(now_us, actions);
        }
    }
}
