//! `hibiscusvale wait`.

use std::time::Duration;

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::StatusView;
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;
use serde::Serialize;
use tokio::time::Instant;

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::{answered, query_all};
use crate::publisher::{PublishOptions, wait_in_force};
use crate::report::Report;

/// Waits until a version is in force on all hosts.
#[derive(Debug, Options)]
pub struct Wait {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "OFFSET",
        help = "record to wait for; default is the newest in force on any host"
    )]
    offset: Option<Offset>,
    #[options(no_short, meta = "MS", help = "how long to wait; default 10000")]
    timeout_ms: Option<u64>,
}

#[derive(Serialize)]
struct View {
    offset: Offset,
    hosts: usize,
}

impl Wait {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let client = OperatorClient::default();
        let offset = match self.offset {
            Some(offset) => offset,
            None => newest_in_force(&client, context).await?,
        };
        let timeout_ms = self.timeout_ms.map_or(PublishOptions::default().timeout_ms, Millis);
        let until = Instant::now() + Duration::from(timeout_ms);
        let hosts = wait_in_force(&client, context, offset, until).await?;
        let human = format!("offset {offset} is in force on {hosts} host(s)");
        Ok(Report::new(&View { offset, hosts }, human))
    }
}

/// Offset of the newest record in force on any host.
async fn newest_in_force(client: &OperatorClient, context: &Context) -> Result<Offset, ClientError> {
    let answers = query_all::<StatusView>(client, context.hosts()?, "/control/status").await;
    let newest = answered(answers)?.into_iter().map(|status| status.next_offset).max();
    Ok(Offset(newest.unwrap_or_default().0.saturating_sub(1)))
}
