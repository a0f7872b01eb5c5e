//! `hibiscusvale status`.

use std::collections::BTreeMap;

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{LogStateView, StatusView};
use hibiscusvale_core::ids::Offset;
use serde::Serialize;

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::{HostAnswer, query_all};
use crate::report::{Report, table};

/// Shows the version in force and the state of each host.
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Serialize)]
struct View {
    hosts: Vec<StatusView>,
    silent: Vec<SilentHost>,
    warnings: Vec<String>,
}

#[derive(Serialize)]
struct SilentHost {
    address: String,
    failure: String,
}

impl Status {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let client = OperatorClient::default();
        let answers = query_all::<StatusView>(&client, context.hosts()?, "/control/status").await;
        let view = view(answers)?;
        let human = human(&view);
        Ok(Report::new(&view, human))
    }
}

fn view(answers: Vec<HostAnswer<StatusView>>) -> Result<View, ClientError> {
    let mut silent = Vec::new();
    for answer in &answers {
        if let Err(failure) = &answer.view {
            silent.push(SilentHost { address: answer.host.to_string(), failure: failure.to_string() });
        }
    }
    let hosts = crate::hosts::answered(answers)?;
    let warnings = warnings(&hosts);
    Ok(View { hosts, silent, warnings })
}

/// Conditions that need the operator's attention.
fn warnings(hosts: &[StatusView]) -> Vec<String> {
    let mut warnings = Vec::new();
    let mut states = BTreeMap::<Offset, &StatusView>::new();
    for host in hosts {
        let first = states.entry(host.next_offset).or_insert(host);
        if first.state != host.state {
            warnings.push(format!(
                "{} and {} hold different classes at offset {}: compare the partners' keys in their settings",
                first.host, host.host, host.next_offset
            ));
        }
        match host.log {
            LogStateView::Gap => warnings.push(format!(
                "{} lacks records that expired from the log; it needs a peer or a checkpoint",
                host.host
            )),
            LogStateView::Shorter => warnings.push(format!(
                "{} has a newer version in force than the log holds: the log was shortened or emptied",
                host.host
            )),
            LogStateView::Unread | LogStateView::CaughtUp | LogStateView::Behind => {}
        }
        if let Some(failure) = &host.log_failure {
            warnings.push(format!("{} cannot read the log: {failure}", host.host));
        }
    }
    warnings
}

fn human(view: &View) -> String {
    let row = |host: &StatusView| {
        [
            host.host.to_string(),
            host.data_centre.to_string(),
            host.next_offset.to_string(),
            host.state.chars().take(8).collect(),
            log_label(host.log).to_owned(),
            if host.is_reader { "yes" } else { "no" }.to_owned(),
            host.hosts_live.to_string(),
            format!("{}/{}", host.requests_in_flight, host.requests_queued),
            format!("{:.2}%", host.control.cpu_ppm as f64 / 10_000.0),
            format!("{:.1} MB", host.control.memory_bytes.0 as f64 / 1e6),
            format!("{} B/s", host.control.sent_bytes_per_s),
            host.ready.clone(),
        ]
    };
    let headers = [
        "HOST",
        "DATA CENTRE",
        "VERSION",
        "STATE",
        "LOG",
        "READS",
        "LIVE",
        "RUN/WAIT",
        "CPU",
        "MEMORY",
        "SENT",
        "READY",
    ];
    let rows: Vec<_> = view.hosts.iter().map(row).collect();
    let mut lines = vec![table(headers, &rows)];
    for host in &view.silent {
        lines.push(format!("{}: {}", host.address, host.failure));
    }
    for warning in &view.warnings {
        lines.push(format!("warning: {warning}"));
    }
    lines.join("\n")
}

fn log_label(log: LogStateView) -> &'static str {
    match log {
        LogStateView::Unread => "-",
        LogStateView::CaughtUp => "caught up",
        LogStateView::Behind => "behind",
        LogStateView::Gap => "gap",
        LogStateView::Shorter => "shorter",
    }
}
