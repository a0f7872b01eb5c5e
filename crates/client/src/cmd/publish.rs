//! `hibiscusvale publish`.

use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale_core::config::{ClassChange, ClassTarget};
use hibiscusvale_core::ids::ClassName;
use hibiscusvale_core::units::Millis;

use crate::classes;
use crate::context::Context;
use crate::error::{ClientError, UsageError};
use crate::publisher::{PublishOptions, Published, Publisher};
use crate::report::Report;

/// Publishes the classes of a file, or one class.
#[derive(Debug, Options)]
pub struct Publish {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "class file")]
    file: Option<PathBuf>,
    #[options(no_short, meta = "NAME", help = "publish this class instead of a file")]
    class: Option<ClassName>,
    #[options(no_short, meta = "MS", help = "target for the first token")]
    first_token_ms: Option<u64>,
    #[options(no_short, meta = "MS", help = "target for the mean time between tokens of a request")]
    per_token_ms: Option<u64>,
    #[options(no_short, meta = "MS", help = "target for the complete response of a plain service")]
    response_ms: Option<u64>,
    #[options(no_short, help = "return once one host has the change in force")]
    no_wait: bool,
    #[options(no_short, meta = "MS", help = "how long to wait; default 10000")]
    timeout_ms: Option<u64>,
}

impl Publish {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let changes = self.changes()?;
        let options = options(self.no_wait, self.timeout_ms);
        let published = Publisher::new(context)?.publish(changes, options).await?;
        Ok(report(&published))
    }

    fn changes(&self) -> Result<Vec<ClassChange>, ClientError> {
        match (&self.file, &self.class) {
            (Some(file), None) => {
                let classes = classes::load(file)?.into_iter();
                Ok(classes.map(|(class, target)| ClassChange::Publish { class, target }).collect())
            }
            (None, Some(class)) => {
                Ok(vec![ClassChange::Publish { class: class.clone(), target: self.target(class)? }])
            }
            _ => Err(ClientError::Usage(UsageError::NothingToPublish)),
        }
    }

    fn target(&self, class: &ClassName) -> Result<ClassTarget, ClientError> {
        match (self.first_token_ms, self.per_token_ms, self.response_ms) {
            (Some(first), Some(per), None) => Ok(ClassTarget::language(Millis(first), Millis(per))),
            (None, None, Some(response)) => Ok(ClassTarget::plain(Millis(response))),
            _ => Err(ClientError::Usage(UsageError::NoTarget { class: class.to_string() })),
        }
    }
}

/// Publish options from the flags that the publishing commands share.
pub(super) fn options(no_wait: bool, timeout_ms: Option<u64>) -> PublishOptions {
    let defaults = PublishOptions::default();
    PublishOptions { waits: !no_wait, timeout_ms: timeout_ms.map_or(defaults.timeout_ms, Millis) }
}

/// Report for the result of publishing.
pub(super) fn report(published: &Published) -> Report {
    let human = match published {
        Published::Unchanged => "nothing to publish: all targets are in force already".to_owned(),
        Published::Accepted { change_id, offset, changes, hosts_in_force } => format!(
            "{}\nchange {change_id} accepted at offset {offset}, in force on {hosts_in_force} host(s)",
            changes.join("\n")
        ),
    };
    Report::new(published, human)
}
