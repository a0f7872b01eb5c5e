//! `hibiscusvale list`.

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{ConfigView, TargetView};
use hibiscusvale_core::config::ClassTarget;

use crate::classes;
use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::newest_config;
use crate::report::{Report, table};

/// Lists the classes in force with their targets.
#[derive(Debug, Options)]
pub struct List {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "include all partners")]
    all: bool,
    #[options(no_short, help = "print a class file that can be published again")]
    toml: bool,
}

impl List {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let partner = context.partner.as_ref().filter(|_| !self.all);
        let client = OperatorClient::default();
        let view = newest_config(&client, context.hosts()?, partner).await?;
        if self.toml {
            return Ok(Report::raw(class_file(&view)));
        }
        Ok(Report::new(&view, human(&view)))
    }
}

fn class_file(view: &ConfigView) -> String {
    let classes = view.partners.iter().flat_map(|partner| &partner.classes);
    classes::write(classes.map(|class| (&class.class, class.target)))
}

fn human(view: &ConfigView) -> String {
    if !view.is_known {
        return "no configuration is known yet".to_owned();
    }
    let rows = view.partners.iter().flat_map(|partner| {
        let row = |class: &hibiscusvale::operators::views::ClassView| {
            [
                partner.partner.to_string(),
                class.class.to_string(),
                kind(class.target).to_owned(),
                ClassTarget::from(class.target).to_string(),
                class.changed_at.to_string(),
            ]
        };
        partner.classes.iter().map(row).collect::<Vec<_>>()
    });
    let headers = ["PARTNER", "CLASS", "KIND", "TARGET", "CHANGED AT"];
    table(headers, &rows.collect::<Vec<_>>())
}

fn kind(target: TargetView) -> &'static str {
    match target {
        TargetView::Language { .. } => "language",
        TargetView::Plain { .. } => "plain",
    }
}
