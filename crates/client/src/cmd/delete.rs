//! `hibiscusvale delete CLASS...`.

use gumdrop::Options;
use hibiscusvale_core::config::ClassChange;
use hibiscusvale_core::ids::ClassName;

use crate::cmd::publish;
use crate::context::Context;
use crate::error::{ClientError, UsageError};
use crate::publisher::Publisher;
use crate::report::Report;

/// Deletes classes in one change: all of them or none.
#[derive(Debug, Options)]
pub struct Delete {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "classes to delete")]
    classes: Vec<ClassName>,
    #[options(no_short, help = "return once one host has the change in force")]
    no_wait: bool,
    #[options(no_short, meta = "MS", help = "how long to wait; default 10000")]
    timeout_ms: Option<u64>,
}

impl Delete {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        if self.classes.is_empty() {
            return Err(ClientError::Usage(UsageError::NothingToDelete));
        }
        let changes = self.classes.iter().map(|class| ClassChange::Delete { class: class.clone() });
        let options = publish::options(self.no_wait, self.timeout_ms);
        let published = Publisher::new(context)?.publish(changes.collect(), options).await?;
        Ok(publish::report(&published))
    }
}
