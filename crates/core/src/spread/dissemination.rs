//! Dissemination of server status and load summaries.

use rand::seq::IteratorRandom;

use super::{
    LoadSummary, ServerStatus, Spread, SpreadAction, SpreadMessage, StatusRecord, is_due, pick_member,
};
use crate::ids::{BackendServerId, DataCentreId, HostId};
use crate::membership::MembersView;
use crate::units::MonoTime;

impl Spread {
    pub(super) fn observe(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        server: BackendServerId,
        status: ServerStatus,
        actions: &mut Vec<SpreadAction>,
    ) {
        let Some(record) = self.statuses.observe(now_us, server, status, &self.host, &self.settings) else {
            return;
        };
        self.publish_now(actions);
        self.forward_status(view, record, actions);
    }

    pub(super) fn receive_statuses(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        statuses: Vec<StatusRecord>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let mut has_new = false;
        for record in statuses {
            if self.statuses.adopt(now_us, record.clone(), &self.settings) {
                has_new = true;
                self.forward_status(view, record, actions);
            }
        }
        if has_new {
            self.publish_now(actions);
        }
    }

    /// Publishes statuses without waiting for the next tick: until the traffic threads see them, they send
    /// work to a server that refuses it.
    pub(super) fn publish_now(&mut self, actions: &mut Vec<SpreadAction>) {
        self.is_changed = false;
        actions.push(SpreadAction::Publish(self.view()));
    }

    /// Forwards an observation within the data centre, and to the other data centres if it was made in the
    /// local one.
    pub(super) fn forward_status(
        &mut self,
        view: &MembersView,
        record: StatusRecord,
        actions: &mut Vec<SpreadAction>,
    ) {
        self.counts.statuses_forwarded += 1;
        let observed_locally =
            view.in_data_centre(&self.data_centre).iter().any(|member| member.host == record.observed_by);
        let message = SpreadMessage::Statuses(vec![record]);
        self.forward(view, &message, actions);
        if observed_locally {
            self.send_to_other_data_centres(view, &message, actions);
        }
    }

    /// Sends to one daemon of each other data centre. The data centres are divided among the bridges.
    pub(super) fn send_to_other_data_centres(
        &mut self,
        view: &MembersView,
        message: &SpreadMessage,
        actions: &mut Vec<SpreadAction>,
    ) {
        let bridges = self.ranks("bridge", self.settings.bridges, view);
        let Some(rank) = bridges.iter().position(|host| *host == self.host) else {
            return;
        };
        let targets: Vec<&DataCentreId> = self
            .other_data_centres(view)
            .enumerate()
            .filter(|(index, _)| index % bridges.len() == rank)
            .map(|(_, data_centre)| data_centre)
            .collect();
        for data_centre in targets {
            if let Some(to) = pick_member(view, data_centre, &mut self.rng) {
                actions.push(SpreadAction::Send { to, message: message.clone() });
            }
        }
    }

    /// Sends a random sample of observations to a daemon whose digest differs; repeated digests eventually
    /// transfer all of them.
    pub(super) fn send_statuses(&mut self, now_us: MonoTime, to: HostId, actions: &mut Vec<SpreadAction>) {
        let limit = self.settings.statuses_per_message;
        let statuses = self.statuses.records(now_us).sample(&mut self.rng, limit);
        if !statuses.is_empty() {
            let message = SpreadMessage::Statuses(statuses);
            actions.push(SpreadAction::Send { to, message });
        }
    }

    pub(super) fn send_partial_load(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        actions: &mut Vec<SpreadAction>,
    ) {
        if self.own_load.is_empty() || !is_due(self.last_partial_us, now_us, self.settings.partial_load_ms) {
            return;
        }
        self.last_partial_us = Some(now_us);
        let Some(to) = self.ranks("load-summary", 1, view).pop() else {
            return;
        };
        if to == self.host {
            self.loads.insert_partial(now_us, self.host.clone(), self.own_load.clone());
            return;
        }
        let message = SpreadMessage::PartialLoad(self.own_load.clone());
        actions.push(SpreadAction::Send { to, message });
    }

    pub(super) fn publish_load_summary(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        actions: &mut Vec<SpreadAction>,
    ) {
        if self.rank("load-summary", 1, view) != Some(0)
            || !is_due(self.last_summary_us, now_us, self.settings.load_ms)
        {
            return;
        }
        self.last_summary_us = Some(now_us);
        let summary = self.loads.summarize(now_us, &self.data_centre, &self.settings);
        if summary.models.is_empty() {
            return;
        }
        let message = SpreadMessage::Load(summary.clone());
        let targets: Vec<&DataCentreId> = self.other_data_centres(view).collect();
        for data_centre in targets {
            if let Some(to) = pick_member(view, data_centre, &mut self.rng) {
                actions.push(SpreadAction::Send { to, message: message.clone() });
            }
        }
        self.receive_load(now_us, view, summary, actions);
    }

    pub(super) fn receive_load(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        summary: LoadSummary,
        actions: &mut Vec<SpreadAction>,
    ) {
        if self.loads.adopt(now_us, summary.clone()) {
            self.is_changed = true;
            self.forward(view, &SpreadMessage::Load(summary), actions);
        }
    }
}
