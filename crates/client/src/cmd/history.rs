//! `hibiscusvale history`.

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{ChangeView, ConfigView, VerdictView};

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::newest_config;
use crate::report::{Report, age, or_dash, table};

/// Shows published changes with their authors and verdicts.
#[derive(Debug, Options)]
pub struct History {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "include all partners")]
    all: bool,
}

impl History {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let partner = context.partner.as_ref().filter(|_| !self.all);
        let client = OperatorClient::default();
        let view = newest_config(&client, context.hosts()?, partner).await?;
        Ok(Report::new(&view, human(&view, hibiscusvale::clock::unix_ms())))
    }
}

fn human(view: &ConfigView, now_unix_ms: u64) -> String {
    let mut rows = Vec::new();
    for partner in &view.partners {
        for change in &partner.history {
            rows.push([
                change.offset.to_string(),
                partner.partner.to_string(),
                or_dash(change.author.as_deref()),
                age(now_unix_ms.saturating_sub(change.made_at_unix_ms)),
                verdict(&change.verdict),
                describe_changes(change),
            ]);
        }
    }
    let mut lines = vec![table(["OFFSET", "PARTNER", "AUTHOR", "MADE", "VERDICT", "CHANGES"], &rows)];
    for record in &view.unattributed {
        let claimed = or_dash(record.claimed_publisher.as_ref());
        lines.push(format!(
            "offset {}: ignored, claims to be from {claimed}: {}",
            record.offset, record.reason
        ));
    }
    lines.join("\n")
}

fn verdict(verdict: &VerdictView) -> String {
    match verdict {
        VerdictView::Accepted => "accepted".to_owned(),
        VerdictView::Duplicate { first } => format!("same as {first}"),
        VerdictView::Rejected { detail, .. } => format!("rejected: {detail}"),
    }
}

fn describe_changes(change: &ChangeView) -> String {
    let shown = u32::try_from(change.changes.len()).unwrap_or(u32::MAX);
    let descriptions = change.changes.join("; ");
    match change.changes_total.saturating_sub(shown) {
        0 => descriptions,
        more => format!("{descriptions}; and {more} more"),
    }
}
