//! Signs of servers and summaries of load on their way.

use rand::seq::IteratorRandom;

use super::{LoadSummary, ServerSign, SignRecord, Spread, SpreadAction, SpreadMessage, is_due, pick};
use crate::ids::{BackendServerId, DataCentreId, HostId};
use crate::membership::MembersView;
use crate::units::MonoTime;

impl Spread {
    pub(super) fn saw(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        server: BackendServerId,
        sign: ServerSign,
        actions: &mut Vec<SpreadAction>,
    ) {
        let Some(record) = self.signs.see(now_us, server, sign, &self.host, &self.settings) else {
            return;
        };
        self.publish_now(actions);
        self.spread_sign(view, record, actions);
    }

    pub(super) fn take_signs(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        signs: Vec<SignRecord>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let mut has_news = false;
        for record in signs {
            if self.signs.adopt(now_us, record.clone(), &self.settings) {
                has_news = true;
                self.spread_sign(view, record, actions);
            }
        }
        if has_news {
            self.publish_now(actions);
        }
    }

    /// Signs are acted on at once: until the traffic threads see them, work goes to a server that refuses it.
    pub(super) fn publish_now(&mut self, actions: &mut Vec<SpreadAction>) {
        self.is_changed = false;
        actions.push(SpreadAction::Publish(self.view()));
    }

    /// Passes a sign on inside the data centre, and to the others if it was seen here.
    pub(super) fn spread_sign(
        &mut self,
        view: &MembersView,
        record: SignRecord,
        actions: &mut Vec<SpreadAction>,
    ) {
        self.counts.signs += 1;
        let seen_here =
            view.in_data_centre(&self.data_centre).iter().any(|member| member.host == record.seen_by);
        let message = SpreadMessage::Signs(vec![record]);
        self.pass_on(view, &message, actions);
        if seen_here {
            self.send_across(view, &message, actions);
        }
    }

    /// Sends to one daemon of each other data centre; the bridges share the data centres between them.
    pub(super) fn send_across(
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
            if let Some(to) = pick(view, data_centre, &mut self.rng) {
                actions.push(SpreadAction::Send { to, message: message.clone() });
            }
        }
    }

    /// Signs for a daemon that has others: a random few, so that repeated digests bring all across.
    pub(super) fn give_signs(&mut self, now_us: MonoTime, to: HostId, actions: &mut Vec<SpreadAction>) {
        let limit = self.settings.signs_per_message;
        let signs = self.signs.records(now_us).sample(&mut self.rng, limit);
        if !signs.is_empty() {
            let message = SpreadMessage::Signs(signs);
            actions.push(SpreadAction::Send { to, message });
        }
    }

    pub(super) fn tell_load(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        actions: &mut Vec<SpreadAction>,
    ) {
        if self.own_load.is_empty() || !is_due(self.partial_us, now_us, self.settings.partial_load_ms) {
            return;
        }
        self.partial_us = Some(now_us);
        let Some(to) = self.ranks("load-summary", 1, view).pop() else {
            return;
        };
        if to == self.host {
            self.loads.take_part(now_us, self.host.clone(), self.own_load.clone());
            return;
        }
        let message = SpreadMessage::PartialLoad(self.own_load.clone());
        actions.push(SpreadAction::Send { to, message });
    }

    pub(super) fn sum_up(&mut self, now_us: MonoTime, view: &MembersView, actions: &mut Vec<SpreadAction>) {
        if self.rank("load-summary", 1, view) != Some(0)
            || !is_due(self.summed_us, now_us, self.settings.load_ms)
        {
            return;
        }
        self.summed_us = Some(now_us);
        let summary = self.loads.sum_up(now_us, &self.data_centre, &self.settings);
        if summary.models.is_empty() {
            return;
        }
        let message = SpreadMessage::Load(summary.clone());
        let targets: Vec<&DataCentreId> = self.other_data_centres(view).collect();
        for data_centre in targets {
            if let Some(to) = pick(view, data_centre, &mut self.rng) {
                actions.push(SpreadAction::Send { to, message: message.clone() });
            }
        }
        self.take_load(now_us, view, summary, actions);
    }

    pub(super) fn take_load(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        summary: LoadSummary,
        actions: &mut Vec<SpreadAction>,
    ) {
        if self.loads.adopt(now_us, summary.clone()) {
            self.is_changed = true;
            self.pass_on(view, &SpreadMessage::Load(summary), actions);
        }
    }
}
