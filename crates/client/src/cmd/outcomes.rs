//! `hibiscusvale outcomes`.

use std::collections::BTreeMap;

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{ClassOutcomes, CountView, OutcomesView};
use hibiscusvale_core::ids::{ClassName, PartnerId};
use serde::Serialize;

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::{answered, query_all};
use crate::report::{Report, table};

/// Shows goodput, wasted prefill, refusals and retries, summed over the hosts.
#[derive(Debug, Options)]
pub struct Outcomes {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "include all partners")]
    all: bool,
}

#[derive(Serialize)]
struct View {
    hosts: usize,
    classes: Vec<ClassOutcomes>,
}

impl Outcomes {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let client = OperatorClient::default();
        let answers = query_all::<OutcomesView>(&client, context.hosts()?, "/control/outcomes").await;
        let views = answered(answers)?;
        let only = context.partner.as_ref().filter(|_| !self.all);
        let view = View { hosts: views.len(), classes: sum(views, only) };
        let human = human(&view);
        Ok(Report::new(&view, human))
    }
}

fn sum(views: Vec<OutcomesView>, only: Option<&PartnerId>) -> Vec<ClassOutcomes> {
    let mut sums = BTreeMap::<(PartnerId, ClassName), ClassOutcomes>::new();
    let classes = views.into_iter().flat_map(|view| view.classes);
    for class in classes.filter(|class| only.is_none_or(|only| *only == class.partner)) {
        match sums.get_mut(&(class.partner.clone(), class.class.clone())) {
            Some(sum) => add(sum, class),
            None => {
                sums.insert((class.partner.clone(), class.class.clone()), class);
            }
        }
    }
    sums.into_values().collect()
}

fn add(sum: &mut ClassOutcomes, class: ClassOutcomes) {
    sum.goodput += class.goodput;
    sum.prefill_tokens += class.prefill_tokens;
    add_counts(&mut sum.outcomes, class.outcomes);
    add_counts(&mut sum.refusals, class.refusals);
    add_counts(&mut sum.retries, class.retries);
    add_counts(&mut sum.wasted_prefill_tokens, class.wasted_prefill_tokens);
}

fn add_counts(sums: &mut Vec<CountView>, counts: Vec<CountView>) {
    for count in counts {
        match sums.iter_mut().find(|sum| sum.label == count.label) {
            Some(sum) => sum.count += count.count,
            None => sums.push(count),
        }
    }
}

fn human(view: &View) -> String {
    let rows: Vec<_> = view.classes.iter().map(row).collect();
    let headers = [
        "PARTNER",
        "CLASS",
        "ANSWERED",
        "NOT RUN",
        "UNKNOWN",
        "GOODPUT",
        "WASTED PREFILL",
        "REFUSALS",
        "RETRIES",
    ];
    format!("{}\ncounted since the start of each of {} host(s)", table(headers, &rows), view.hosts)
}

fn row(class: &ClassOutcomes) -> [String; 9] {
    let outcome_count = |label: &str| {
        let found = class.outcomes.iter().find(|count| count.label == label);
        found.map_or(0, |count| count.count)
    };
    let total: u64 = class.outcomes.iter().map(|count| count.count).sum();
    let wasted: u64 = class.wasted_prefill_tokens.iter().map(|count| count.count).sum();
    [
        class.partner.to_string(),
        class.class.to_string(),
        outcome_count("answered").to_string(),
        outcome_count("not-run").to_string(),
        outcome_count("unknown").to_string(),
        percent(class.goodput, total),
        percent(wasted, class.prefill_tokens.0),
        counts(&class.refusals),
        counts(&class.retries),
    ]
}

fn percent(part: u64, whole: u64) -> String {
    if whole == 0 {
        return "-".to_owned();
    }
    format!("{:.1}%", 100.0 * part as f64 / whole as f64)
}

fn counts(counts: &[CountView]) -> String {
    if counts.is_empty() {
        return "-".to_owned();
    }
    let labelled = counts.iter().map(|count| format!("{} {}", count.label, count.count));
    labelled.collect::<Vec<_>>().join(", ")
}
