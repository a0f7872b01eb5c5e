//! Counters, histograms and gauges, by opentelemetry, as text for scraping.
//!
//! Traffic threads count into atomics that they hold through a [`ClassMetrics`] handle; opentelemetry reads
//! them when somebody scrapes. So a request costs a few atomic additions and no look-up by attributes, and
//! `hibiscusvale outcomes` and the scrape show the same numbers.

mod class;
mod gauge;
mod tally;

use std::collections::HashMap;
use std::sync::Arc;

use hibiscusvale_core::ids::{ClassName, PartnerId};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use parking_lot::RwLock;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::metrics::class::Histograms;
pub use crate::metrics::class::{ClassMetrics, ClassTotals};
pub use crate::metrics::gauge::Gauge;
use crate::metrics::gauge::Gauges;
pub use crate::metrics::tally::{Label, LabelCount, Tally};

/// Pairs of partner and class that get series of their own: 280 organisations with 14 classes each. Later ones
/// are counted together, so that no flood of names can take the daemon's memory.
pub const MAX_CLASS_SERIES: usize = 4_096;

/// Name under which pairs beyond [`MAX_CLASS_SERIES`] are counted.
const OVERFLOW_NAME: &str = "other";

/// Attribute sets per instrument: every pair with sixteen labels of a closed set, more than any class meets. The
/// library takes memory for the bound at once, for each instrument; 2^20 took 39 MB of a daemon's 32.
const CARDINALITY_LIMIT: usize = 1 << 16;

/// Metrics could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter refused its registry.
    #[error("could not set up the metrics exporter")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// All metrics of a daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    histograms: Histograms,
    counts: Arc<Counts>,
}

/// What is counted, readable without opentelemetry.
#[derive(Debug, Default)]
struct Counts {
    classes: RwLock<HashMap<(PartnerId, ClassName), Arc<ClassMetrics>>>,
    gauges: Gauges,
    peer_drops: Tally,
    events: Tally,
}

impl Metrics {
    /// Sets up the instruments of one daemon.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] when the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_units()
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(|_: &Instrument| {
                Stream::builder().with_cardinality_limit(CARDINALITY_LIMIT).build().ok()
            })
            .build();
        let meter = provider.meter("hibiscusvale");
        let counts = Arc::new(Counts::default());
        observe_classes(&meter, &counts);
        observe_daemon(&meter, &counts);
        Ok(Self { registry, histograms: Histograms::new(&meter), provider, counts })
    }

    /// Where instruments of other parts of the daemon are made.
    pub fn meter(&self) -> Meter {
        self.provider.meter("hibiscusvale")
    }

    /// The counters of one class. Callers keep the handle; finding it takes a lock.
    pub fn class(&self, partner: &PartnerId, class: &ClassName) -> Arc<ClassMetrics> {
        let key = (partner.clone(), class.clone());
        if let Some(found) = self.counts.classes.read().get(&key) {
            return Arc::clone(found);
        }
        let mut classes = self.counts.classes.write();
        let key = if classes.len() < MAX_CLASS_SERIES { key } else { overflow_key(key) };
        let entry = classes.entry(key).or_insert_with_key(|(partner, class)| {
            Arc::new(ClassMetrics::new(partner, class, &self.histograms))
        });
        Arc::clone(entry)
    }

    /// Counts peer messages that were dropped.
    pub fn peer_dropped<Cause>(&self, cause: Cause, messages: u64)
    where
        Cause: Label,
    {
        self.counts.peer_drops.add(cause, messages);
    }

    /// Counts something that happened to the daemon rather than to a class of requests.
    pub fn event<Event>(&self, event: Event)
    where
        Event: Label,
    {
        self.events(event, 1);
    }

    /// Counts what happened `times` times to the daemon.
    pub fn events<Event>(&self, event: Event, times: u64)
    where
        Event: Label,
    {
        self.counts.events.add(event, times);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        self.counts.gauges.set(gauge, value);
    }

    /// The present value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.counts.gauges.get(gauge)
    }

    /// Totals per partner and class, in their order.
    pub fn totals(&self) -> Vec<ClassTotals> {
        let mut totals: Vec<_> = self.counts.classes.read().values().map(|class| class.totals()).collect();
        totals.sort_by(|a, b| (&a.partner, &a.class).cmp(&(&b.partner, &b.class)));
        totals
    }

    /// All metrics as text for scraping.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            // An empty answer to a scrape is noticed by whoever scrapes; there is nothing else to say here.
            Err(_) => String::new(),
        }
    }
}

fn overflow_key(key: (PartnerId, ClassName)) -> (PartnerId, ClassName) {
    match (OVERFLOW_NAME.parse(), OVERFLOW_NAME.parse()) {
        (Ok(partner), Ok(class)) => (partner, class),
        _ => key,
    }
}

/// Reads one sum of a class.
type Sum = fn(&ClassTotals) -> u64;

/// Finds one tally of the daemon.
type Source = fn(&Counts) -> &Tally;

/// Registers one counter that is split by a label of a closed set.
fn observe_labels(
    meter: &Meter,
    counts: &Arc<Counts>,
    name: &'static str,
    label: &'static str,
    tally: fn(&ClassMetrics) -> &Tally,
) {
    let counts = Arc::clone(counts);
    meter
        .u64_observable_counter(name)
        .with_callback(move |observer| {
            for class in counts.classes.read().values() {
                for LabelCount { label: value, count } in tally(class).counts() {
                    let [partner, class] = class.attributes().clone();
                    observer.observe(count, &[partner, class, KeyValue::new(label, value)]);
                }
            }
        })
        .build();
}

fn observe_classes(meter: &Meter, counts: &Arc<Counts>) {
    observe_labels(meter, counts, "hibiscusvale_requests", "outcome", |class| &class.outcomes);
    observe_labels(meter, counts, "hibiscusvale_refusals", "reason", |class| &class.refusals);
    observe_labels(meter, counts, "hibiscusvale_retries", "reason", |class| &class.retries);
    observe_labels(meter, counts, "hibiscusvale_wasted_prefill_tokens", "cause", |class| &class.wasted);
    let sums: [(&'static str, Sum); 2] = [
        ("hibiscusvale_goodput_requests", |totals| totals.goodput),
        ("hibiscusvale_prefill_tokens", |totals| totals.prefill_tokens.0),
    ];
    for (name, sum) in sums {
        let counts = Arc::clone(counts);
        meter
            .u64_observable_counter(name)
            .with_callback(move |observer| {
                for class in counts.classes.read().values() {
                    observer.observe(sum(&class.totals()), class.attributes());
                }
            })
            .build();
    }
}

fn observe_daemon(meter: &Meter, counts: &Arc<Counts>) {
    let tallies: [(&'static str, &'static str, Source); 2] = [
        ("hibiscusvale_peer_messages_dropped", "cause", |counts| &counts.peer_drops),
        ("hibiscusvale_events", "event", |counts| &counts.events),
    ];
    for (name, label, tally) in tallies {
        let counts = Arc::clone(counts);
        meter
            .u64_observable_counter(name)
            .with_callback(move |observer| {
                for LabelCount { label: value, count } in tally(&counts).counts() {
                    observer.observe(count, &[KeyValue::new(label, value)]);
                }
            })
            .build();
    }
    for gauge in Gauge::ALL {
        let counts = Arc::clone(counts);
        meter
            .u64_observable_gauge(gauge.name())
            .with_callback(move |observer| observer.observe(counts.gauges.get(gauge), &[]))
            .build();
    }
}
