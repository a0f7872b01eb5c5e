//! Publishes changes to the platform's log and determines their outcome.
//!
//! Each change has a unique id, and the daemons apply a signed record that was appended more than once under its id only
//! once. An append whose answer was lost is therefore resolved by searching the log and appending again.

use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::external::{AppendError, HttpLog, HttpLogSettings, Log, LogFailure, Stream};
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{ChangeView, ConfigView, PartnerView, VerdictView};
use hibiscusvale_core::config::{ChangeBody, ClassChange, ClassTarget, MAX_RECORD_BYTES, Record};
use hibiscusvale_core::ids::{ChangeId, Offset};
use hibiscusvale_core::units::Millis;
use rand::RngExt;
use serde::Serialize;
use tokio::time::Instant;

use crate::context::Context;
use crate::error::{ClientError, UsageError};
use crate::hosts::{HostAnswer, config_path, newest_config, query_all};

/// Append attempts before giving up. With the delays between them they span a few seconds.
const APPEND_ATTEMPTS: u32 = 6;

/// Delay between append attempts when the log returns no retry time.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Upper limit of the retry time that the log returns, so that the operator gets an answer in time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Interval between polls of the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Records per read when searching the log for a change.
const PAGE_RECORDS: u32 = 500;

/// Options for publishing a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublishOptions {
    /// Whether to wait until the change is in force on every host.
    pub waits: bool,
    /// Time limit for the daemons' verdict and for all hosts together.
    pub timeout_ms: Millis,
}

impl Default for PublishOptions {
    fn default() -> Self {
        Self { waits: true, timeout_ms: Millis(10_000) }
    }
}

/// Result of publishing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Published {
    /// All requested targets are in force already, so nothing was published.
    Unchanged,
    /// The daemons accepted the change.
    Accepted {
        /// Id of the change.
        change_id: String,
        /// Offset in the log at which the change took effect.
        offset: Offset,
        /// Descriptions of the changes to classes.
        changes: Vec<String>,
        /// Number of hosts known to have the change in force.
        hosts_in_force: usize,
    },
}

/// Publishes changes for one partner.
#[derive(Debug)]
pub struct Publisher<'a> {
    context: &'a Context,
    client: OperatorClient,
    log: HttpLog,
}

/// A signed change to append to the log.
struct SignedChange {
    change_id: ChangeId,
    record: Bytes,
    /// Lowest offset at which the record can be in the log.
    from: Offset,
}

impl<'a> Publisher<'a> {
    /// Creates a publisher with the operator's settings.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`] if the log's address is not set.
    pub fn new(context: &'a Context) -> Result<Self, ClientError> {
        Ok(Self {
            context,
            client: OperatorClient::default(),
            log: HttpLog::new(context.log()?, HttpLogSettings::default()),
        })
    }

    /// Publishes `changes` based on the version in force and waits for the daemons' verdict.
    ///
    /// # Errors
    ///
    /// [`ClientError`], whose variant tells whether the change took effect, did not, or may have.
    pub async fn publish(
        &self,
        changes: Vec<ClassChange>,
        options: PublishOptions,
    ) -> Result<Published, ClientError> {
        let partner = self.context.partner()?;
        let view = newest_config(&self.client, self.context.hosts()?, Some(partner)).await?;
        let in_force = view.partners.first();
        let changes: Vec<_> = changes.into_iter().filter(|change| has_effect(in_force, change)).collect();
        if changes.is_empty() {
            return Ok(Published::Unchanged);
        }
        let descriptions = changes.iter().map(ToString::to_string).collect();
        let signed = self.sign(changes, &view)?;
        let offset = self.append(&signed).await?;
        let until = Instant::now() + Duration::from(options.timeout_ms);
        let offset = self.verdict(signed.change_id, offset, until).await?;
        let hosts_in_force = if options.waits { self.wait_on_all_hosts(offset, until).await? } else { 1 };
        Ok(Published::Accepted {
            change_id: signed.change_id.to_string(),
            offset,
            changes: descriptions,
            hosts_in_force,
        })
    }

    fn sign(&self, changes: Vec<ClassChange>, view: &ConfigView) -> Result<SignedChange, ClientError> {
        let body = ChangeBody {
            made_from: view.partners.first().and_then(|partner| partner.version),
            author: self.context.author()?,
            made_at_unix_ms: hibiscusvale::clock::unix_ms(),
            changes,
        };
        let change_id = ChangeId(rand::rng().random());
        let signed = body.sign(self.context.partner()?, change_id, &self.context.key()?);
        let record = Bytes::from(Record::Change(signed).encode());
        if record.len() > MAX_RECORD_BYTES {
            return Err(ClientError::Usage(UsageError::TooLarge {
                bytes: record.len(),
                limit_bytes: MAX_RECORD_BYTES,
            }));
        }
        Ok(SignedChange { change_id, record, from: view.next_offset })
    }

    /// Appends the change and returns its offset. After an append whose answer was lost the record may be in the log
    /// already, so the log is searched first and the record appended again only if it is not found.
    async fn append(&self, signed: &SignedChange) -> Result<Offset, ClientError> {
        let mut lost = None;
        let mut refused = LogFailure::Unreachable;
        for _ in 0..APPEND_ATTEMPTS {
            if lost.is_some()
                && let Some(offset) = self.find_in_log(signed).await
            {
                return Ok(offset);
            }
            let pause = match self.log.append(Stream::Config, vec![signed.record.clone()]).await {
                Ok(offset) => return Ok(offset),
                Err(AppendError::NotAppended { cause, retry_after_ms }) => {
                    refused = cause;
                    retry_after_ms.map_or(APPEND_RETRY_DELAY, Duration::from).min(MAX_RETRY_DELAY)
                }
                Err(AppendError::Unknown { cause }) => {
                    lost = Some(cause);
                    APPEND_RETRY_DELAY
                }
            };
            tokio::time::sleep(pause).await;
        }
        Err(match lost {
            Some(cause) => ClientError::Unknown {
                change_id: signed.change_id,
                cause: format!("the log's answer was lost ({cause})"),
            },
            None => ClientError::NotAppended { cause: refused },
        })
    }

    /// Searches the log for the change, from the version in force when it was signed.
    async fn find_in_log(&self, signed: &SignedChange) -> Option<Offset> {
        let mut from = signed.from;
        loop {
            let page = self.log.read(Stream::Config, from, PAGE_RECORDS, Millis::ZERO).await.ok()?;
            if let Some(found) = page.records.iter().find(|record| record.data == signed.record) {
                return Some(found.offset);
            }
            from = page.records.last()?.offset.next();
        }
    }

    /// Waits for the daemons' verdict on the change at `offset` and returns the offset at which it took effect.
    async fn verdict(
        &self,
        change_id: ChangeId,
        offset: Offset,
        until: Instant,
    ) -> Result<Offset, ClientError> {
        let partner = self.context.partner()?;
        let hosts = self.context.hosts()?;
        let id = change_id.to_string();
        loop {
            let answers = query_all::<ConfigView>(&self.client, hosts, &config_path(Some(partner))).await;
            let views = answers.into_iter().filter_map(|answer| answer.view.ok());
            if let Some(view) = views.into_iter().find(|view| view.next_offset > offset) {
                return verdict_in_view(&view, &id, change_id, offset);
            }
            if Instant::now() >= until {
                return Err(ClientError::Unknown {
                    change_id,
                    cause: format!("it was appended at offset {offset}, but no host has read that far"),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the record at `offset` is in force on every host; returns the number of hosts.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotInForce`] with the hosts that still lag at `until`.
    pub async fn wait_on_all_hosts(&self, offset: Offset, until: Instant) -> Result<usize, ClientError> {
        wait_in_force(&self.client, self.context, offset, until).await
    }
}

/// Waits until the record at `offset` is in force on every host; returns the number of hosts.
///
/// # Errors
///
/// [`ClientError::NotInForce`] with the hosts that still lag at `until`.
pub async fn wait_in_force(
    client: &OperatorClient,
    context: &Context,
    offset: Offset,
    until: Instant,
) -> Result<usize, ClientError> {
    use hibiscusvale::operators::views::StatusView;
    let hosts = context.hosts()?;
    loop {
        let answers = query_all::<StatusView>(client, hosts, "/control/status").await;
        let behind: Vec<String> = answers.iter().filter_map(|answer| describe_lag(answer, offset)).collect();
        if behind.is_empty() {
            return Ok(hosts.len());
        }
        if Instant::now() >= until {
            return Err(ClientError::NotInForce { offset, hosts: behind });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Describes a host on which `offset` is not in force; `None` if it is.
fn describe_lag(
    answer: &HostAnswer<hibiscusvale::operators::views::StatusView>,
    offset: Offset,
) -> Option<String> {
    match &answer.view {
        Ok(status) if status.next_offset > offset => None,
        Ok(status) => Some(format!("{} (at {})", status.host, status.next_offset)),
        Err(failure) => Some(format!("{} ({failure})", answer.host)),
    }
}

/// Whether the change differs from the version in force. A deletion always does: the daemons reject one of a class that
/// does not exist, which shows the mistake to the operator.
fn has_effect(in_force: Option<&PartnerView>, change: &ClassChange) -> bool {
    let ClassChange::Publish { class, target } = change else {
        return true;
    };
    let found = in_force.and_then(|partner| partner.classes.iter().find(|view| view.class == *class));
    found.is_none_or(|view| ClassTarget::from(view.target) != *target)
}

fn verdict_in_view(
    view: &ConfigView,
    id: &str,
    change_id: ChangeId,
    offset: Offset,
) -> Result<Offset, ClientError> {
    let partner = view.partners.first();
    let history = partner.map_or(&[][..], |partner| &partner.history);
    let entries = || history.iter().filter(|entry| entry.change_id == id);
    for entry in entries() {
        match entry.verdict {
            VerdictView::Accepted => return Ok(entry.offset),
            VerdictView::Duplicate { first } => return Ok(first),
            VerdictView::Rejected { .. } => {}
        }
    }
    if let Some(ChangeView { offset, verdict: VerdictView::Rejected { reason, detail }, .. }) =
        entries().next_back()
    {
        return Err(ClientError::Rejected {
            change_id,
            offset: *offset,
            detail: detail.clone(),
            next: next_step(reason, history),
        });
    }
    let claimed = view.unattributed.iter().find(|record| record.change_id.as_deref() == Some(id));
    Err(match claimed {
        Some(record) => ClientError::Rejected {
            change_id,
            offset: record.offset,
            detail: record.reason.clone(),
            next: "check that the daemons' settings have this partner with the public half of your key"
                .to_owned(),
        },
        None => ClientError::LogTruncated { change_id, offset },
    })
}

/// Next step for the operator after a rejected change.
fn next_step(reason: &str, history: &[ChangeView]) -> String {
    if reason != "conflict" {
        return "correct the change and publish it again".to_owned();
    }
    let winner = history.iter().rev().find(|entry| entry.verdict == VerdictView::Accepted);
    let author = winner.and_then(|entry| entry.author.as_deref()).unwrap_or("somebody");
    let changes = winner.map(|entry| entry.changes.join("; ")).unwrap_or_default();
    format!(
        "{author} published first ({changes}); check 'hibiscusvale list' and publish again if the change is still needed"
    )
}
