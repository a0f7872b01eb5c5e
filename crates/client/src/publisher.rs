//! Publishes changes to the platform's log and finds out what came of them.
//!
//! A change is named by an id of its own. The same signed record may be appended again under that id: the
//! daemons count it once. So an append whose answer was lost is resolved by looking and by appending again,
//! never by a guess.

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
use crate::hosts::{HostAnswer, ask_all, config_path, newest_config};

/// Tries at the log before giving up. With the pauses between them they span a few seconds.
const APPEND_TRIES: u32 = 6;

/// Pause between two tries when the log does not say when to come back.
const APPEND_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause that the log may ask for before the operator is told instead.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Pause between two looks at the hosts.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Records read at once when a change is looked up.
const PAGE_RECORDS: u32 = 500;

/// How a change is published.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublishOptions {
    /// Whether to wait until the change is in force on every host.
    pub waits: bool,
    /// How long to wait.
    pub timeout_ms: Millis,
}

impl Default for PublishOptions {
    fn default() -> Self {
        Self { waits: true, timeout_ms: Millis(10_000) }
    }
}

/// What came of publishing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Published {
    /// Everything was in force already.
    Unchanged,
    /// The change counts.
    Accepted {
        /// Its id.
        change_id: String,
        /// Where it stands.
        offset: Offset,
        /// What it changes, in words.
        changes: Vec<String>,
        /// Hosts on which it is in force.
        hosts_in_force: usize,
    },
}

/// Publishes for one partner.
#[derive(Debug)]
pub struct Publisher<'a> {
    context: &'a Context,
    client: OperatorClient,
    log: HttpLog,
}

/// A signed change that is to be appended.
struct Signed {
    change_id: ChangeId,
    record: Bytes,
    /// No record of the change stands before it.
    from: Offset,
}

impl<'a> Publisher<'a> {
    /// A publisher with the operator's settings.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`] when the log is not given.
    pub fn new(context: &'a Context) -> Result<Self, ClientError> {
        Ok(Self {
            context,
            client: OperatorClient::default(),
            log: HttpLog::new(context.log()?, HttpLogSettings::default()),
        })
    }

    /// Publishes `changes` from the version that is in force, and says whether they count.
    ///
    /// # Errors
    ///
    /// [`ClientError`], by which it is known what holds.
    pub async fn publish(
        &self,
        changes: Vec<ClassChange>,
        options: PublishOptions,
    ) -> Result<Published, ClientError> {
        let partner = self.context.partner()?;
        let view = newest_config(&self.client, self.context.hosts()?, Some(partner)).await?;
        let in_force = view.partners.first();
        let changes: Vec<_> = changes.into_iter().filter(|change| is_news(in_force, change)).collect();
        if changes.is_empty() {
            return Ok(Published::Unchanged);
        }
        let words = changes.iter().map(ToString::to_string).collect();
        let signed = self.sign(changes, &view)?;
        let offset = self.append(&signed).await?;
        let until = Instant::now() + Duration::from(options.timeout_ms);
        let offset = self.verdict(signed.change_id, offset, until).await?;
        let hosts_in_force = if options.waits { self.in_force(offset, until).await? } else { 1 };
        Ok(Published::Accepted {
            change_id: signed.change_id.to_string(),
            offset,
            changes: words,
            hosts_in_force,
        })
    }

    fn sign(&self, changes: Vec<ClassChange>, view: &ConfigView) -> Result<Signed, ClientError> {
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
        Ok(Signed { change_id, record, from: view.next_offset })
    }

    /// Appends the change and returns where it stands. After an append whose answer was lost the change may
    /// stand already: it is looked for, and only if it is not found appended again.
    async fn append(&self, signed: &Signed) -> Result<Offset, ClientError> {
        let mut lost = None;
        let mut refused = LogFailure::Unreachable;
        for _ in 0..APPEND_TRIES {
            if lost.is_some()
                && let Some(offset) = self.look_up(signed).await
            {
                return Ok(offset);
            }
            let pause = match self.log.append(Stream::Config, vec![signed.record.clone()]).await {
                Ok(offset) => return Ok(offset),
                Err(AppendError::NotAppended { cause, retry_after_ms }) => {
                    refused = cause;
                    retry_after_ms.map_or(APPEND_PAUSE, Duration::from).min(LONGEST_PAUSE)
                }
                Err(AppendError::Unknown { cause }) => {
                    lost = Some(cause);
                    APPEND_PAUSE
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

    /// Looks for the change in the log, behind what was in force when it was made.
    async fn look_up(&self, signed: &Signed) -> Option<Offset> {
        let mut from = signed.from;
        loop {
            let page = self.log.read(Stream::Config, from, PAGE_RECORDS, Millis::ZERO).await.ok()?;
            if let Some(found) = page.records.iter().find(|record| record.data == signed.record) {
                return Some(found.offset);
            }
            from = page.records.last()?.offset.next();
        }
    }

    /// What the daemons made of the change at `offset`. Returns where it counts from.
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
            let answers = ask_all::<ConfigView>(&self.client, hosts, &config_path(Some(partner))).await;
            let views = answers.into_iter().filter_map(|answer| answer.view.ok());
            if let Some(view) = views.into_iter().find(|view| view.next_offset > offset) {
                return verdict_in(&view, &id, change_id, offset);
            }
            if Instant::now() >= until {
                return Err(ClientError::Unknown {
                    change_id,
                    cause: format!("it stands at offset {offset}, but no host has read that far"),
                });
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Waits until the record at `offset` is in force on every host; returns how many there are.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotInForce`] with the hosts that lag.
    pub async fn in_force(&self, offset: Offset, until: Instant) -> Result<usize, ClientError> {
        wait_in_force(&self.client, self.context, offset, until).await
    }
}

/// Waits until the record at `offset` is in force on every host; returns how many there are.
///
/// # Errors
///
/// [`ClientError::NotInForce`] with the hosts that lag.
pub async fn wait_in_force(
    client: &OperatorClient,
    context: &Context,
    offset: Offset,
    until: Instant,
) -> Result<usize, ClientError> {
    use hibiscusvale::operators::views::StatusView;
    let hosts = context.hosts()?;
    loop {
        let answers = ask_all::<StatusView>(client, hosts, "/control/status").await;
        let behind: Vec<String> = answers.iter().filter_map(|answer| lag(answer, offset)).collect();
        if behind.is_empty() {
            return Ok(hosts.len());
        }
        if Instant::now() >= until {
            return Err(ClientError::NotInForce { offset, hosts: behind });
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

fn lag(answer: &HostAnswer<hibiscusvale::operators::views::StatusView>, offset: Offset) -> Option<String> {
    match &answer.view {
        Ok(status) if status.next_offset > offset => None,
        Ok(status) => Some(format!("{} (at {})", status.host, status.next_offset)),
        Err(failure) => Some(format!("{} ({failure})", answer.host)),
    }
}

/// Whether the change would change anything. A class to delete that is not there is left to the daemons to
/// reject, so that the operator hears of the slip.
fn is_news(in_force: Option<&PartnerView>, change: &ClassChange) -> bool {
    let ClassChange::Publish { class, target } = change else {
        return true;
    };
    let found = in_force.and_then(|partner| partner.classes.iter().find(|view| view.class == *class));
    found.is_none_or(|view| ClassTarget::from(view.target) != *target)
}

fn verdict_in(
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
            next: advice(reason, history),
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
        None => ClientError::LogShorter { change_id, offset },
    })
}

/// What an operator does about a rejected change.
fn advice(reason: &str, history: &[ChangeView]) -> String {
    if reason != "conflict" {
        return "correct the change and publish it again".to_owned();
    }
    let winner = history.iter().rev().find(|entry| entry.verdict == VerdictView::Accepted);
    let author = winner.and_then(|entry| entry.author.as_deref()).unwrap_or("somebody");
    let changes = winner.map(|entry| entry.changes.join("; ")).unwrap_or_default();
    format!(
        "{author} came first with ({changes}); look at 'hibiscusvale list' and publish again if it is still wanted"
    )
}
