//! Counters, histograms and gauges, exported through OpenTelemetry in the Prometheus text format.
//!
//! Traffic threads increment atomics through a [`ClassMetrics`] handle; OpenTelemetry reads them on each scrape. A
//! request therefore costs a few atomic additions and no attribute lookup, and `hibiscusvale outcomes` reports the
//! same values as the scrape.

mod class;
mod gauge;
mod labeled_counters;

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
pub use crate::metrics::labeled_counters::{Label, LabelCount, LabeledCounters};

/// Maximum number of partner and class pairs with their own series: 280 organisations with 14 classes each. Further
/// pairs share one series, which bounds memory when a partner creates many names.
pub const MAX_CLASS_SERIES: usize = 4_096;

/// Partner and class name of the series shared by pairs beyond [`MAX_CLASS_SERIES`].
const OVERFLOW_NAME: &str = "other";

/// Maximum number of attribute sets per instrument: sixteen labels for every pair, more than any class uses. The
/// library allocates for the limit up front for each instrument: 2^20 took 39 MB, above the daemon's budget of 32 MB.
const CARDINALITY_LIMIT: usize = 1 << 16;

/// Failure to set up metrics.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter could not be built.
    #[error("could not set up the metrics exporter")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// Metrics of a daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    histograms: Histograms,
    counts: Arc<Counts>,
}

/// Counter and gauge values, readable without OpenTelemetry.
#[derive(Debug, Default)]
struct Counts {
    classes: RwLock<HashMap<(PartnerId, ClassName), Arc<ClassMetrics>>>,
    gauges: Gauges,
    peer_drops: LabeledCounters,
    events: LabeledCounters,
}

impl Metrics {
    /// Creates the instruments of a daemon.
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

    /// Meter for instruments of other parts of the daemon.
    pub fn meter(&self) -> Meter {
        self.provider.meter("hibiscusvale")
    }

    /// Returns the metrics of one class. Keep the handle: each lookup takes a lock.
    pub fn class(&self, partner: &PartnerId, class: &ClassName) -> Arc<ClassMetrics> {
        let key = (partner.clone(), class.clone());
        if let Some(existing) = self.counts.classes.read().get(&key) {
            return Arc::clone(existing);
        }
        let mut classes = self.counts.classes.write();
        let key = if classes.len() < MAX_CLASS_SERIES { key } else { overflow_key(key) };
        let entry = classes.entry(key).or_insert_with_key(|(partner, class)| {
            Arc::new(ClassMetrics::new(partner, class, &self.histograms))
        });
        Arc::clone(entry)
    }

    /// Counts dropped peer messages.
    pub fn count_peer_drops<Cause>(&self, cause: Cause, messages: u64)
    where
        Cause: Label,
    {
        self.counts.peer_drops.add(cause, messages);
    }

    /// Counts one event of the daemon that is not tied to a class of requests.
    pub fn count_event<Event>(&self, event: Event)
    where
        Event: Label,
    {
        self.count_events(event, 1);
    }

    /// Counts `times` events of the daemon that are not tied to a class of requests.
    pub fn count_events<Event>(&self, event: Event, times: u64)
    where
        Event: Label,
    {
        self.counts.events.add(event, times);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        self.counts.gauges.set(gauge, value);
    }

    /// Returns the current value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.counts.gauges.get(gauge)
    }

    /// Totals per class, sorted by partner and class.
    pub fn totals(&self) -> Vec<ClassTotals> {
        let mut totals: Vec<_> = self.counts.classes.read().values().map(|class| class.totals()).collect();
        totals.sort_by(|a, b| (&a.partner, &a.class).cmp(&(&b.partner, &b.class)));
        totals
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            // The scraper sees an empty response as a failed scrape.
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

/// Selects one total of a class.
type TotalSelector = fn(&ClassTotals) -> u64;

/// Selects one set of daemon counters.
type CountersSelector = fn(&Counts) -> &LabeledCounters;

/// Registers an observable counter per class that is split by `label`.
fn observe_labels(
    meter: &Meter,
    counts: &Arc<Counts>,
    name: &'static str,
    label: &'static str,
    select: fn(&ClassMetrics) -> &LabeledCounters,
) {
    let counts = Arc::clone(counts);
    meter
        .u64_observable_counter(name)
        .with_callback(move |observer| {
            for class in counts.classes.read().values() {
                for LabelCount { label: value, count } in select(class).counts() {
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
    observe_labels(meter, counts, "hibiscusvale_wasted_prefill_tokens", "cause", |class| {
        &class.wasted_prefill_tokens
    });
    let totals: [(&'static str, TotalSelector); 2] = [
        ("hibiscusvale_goodput_requests", |totals| totals.goodput),
        ("hibiscusvale_prefill_tokens", |totals| totals.prefill_tokens.0),
    ];
    for (name, total) in totals {
        let counts = Arc::clone(counts);
        meter
            .u64_observable_counter(name)
            .with_callback(move |observer| {
                for class in counts.classes.read().values() {
                    observer.observe(total(&class.totals()), class.attributes());
                }
            })
            .build();
    }
}

fn observe_daemon(meter: &Meter, counts: &Arc<Counts>) {
    let counters: [(&'static str, &'static str, CountersSelector); 2] = [
        ("hibiscusvale_peer_messages_dropped", "cause", |counts| &counts.peer_drops),
        ("hibiscusvale_events", "event", |counts| &counts.events),
    ];
    for (name, label, select) in counters {
        let counts = Arc::clone(counts);
        meter
            .u64_observable_counter(name)
            .with_callback(move |observer| {
                for LabelCount { label: value, count } in select(&counts).counts() {
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
