//! Metrics of relay mode, by service and by a closed set of labels; routes are not a label, since they come
//! and go by the hundred.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::sched::HoldReason;
use hibiscusvale_core::units::Bytes;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use super::organisations::OrganisationView;
use super::state::RelayState;
use super::store_traffic::{StoreTotals, StoreTraffic};
use crate::backend::{AnswerPart, EndCheck};
use crate::clock;
use crate::link_meter::{LinkPeer, LinkTotals};
use crate::metrics::{Label as _, Metrics, MetricsError};

/// Histogram bounds in ms around targets of 0.15 to 0.9 s and timeouts of several seconds.
const WAIT_BOUNDS_MS: [f64; 12] =
    [10.0, 25.0, 50.0, 100.0, 150.0, 300.0, 600.0, 900.0, 1_500.0, 3_000.0, 6_000.0, 14_000.0];

/// Counters and histograms of relay mode.
#[derive(Clone, Debug)]
pub struct RelayMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    taken_over: Counter<u64>,
    answers: Counter<u64>,
    end_checks: Counter<u64>,
    rejected: Counter<u64>,
    caller_connections: Counter<u64>,
    steps: Counter<u64>,
    statements: Counter<u64>,
    resumed: Counter<u64>,
    organisations: Counter<u64>,
    messages: Counter<u64>,
    message_bytes: Counter<u64>,
    answer_ms: Histogram<f64>,
    first_event_ms: Histogram<f64>,
    pause_ms: Histogram<f64>,
}

/// Measurements of a completed request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSummary<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Outcome of the request.
    pub outcome: &'static str,
    /// Time from arrival to end.
    pub took: Duration,
    /// Time from arrival to the first event of a stream; `None` if there was no event.
    pub first_event_ms: Option<u64>,
    /// Longest time between two events of a stream.
    pub longest_pause_ms: u64,
    /// Framing of the last answer of a server; empty if none answered.
    pub framing: &'static str,
    /// Bytes that followed the last complete event when an answer ended.
    pub partial_event_bytes: Bytes,
}

impl RelayMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] when the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let metrics = Metrics::new()?;
        let meter = metrics.meter();
        let histogram =
            |name: &'static str| meter.f64_histogram(name).with_boundaries(WAIT_BOUNDS_MS.to_vec()).build();
        Ok(Self {
            requests: meter.u64_counter("hibiscusvale_relay_requests").build(),
            taken_over: meter.u64_counter("hibiscusvale_relay_taken_over").build(),
            answers: meter.u64_counter("hibiscusvale_relay_answers").build(),
            end_checks: meter.u64_counter("hibiscusvale_relay_connection_ends").build(),
            rejected: meter.u64_counter("hibiscusvale_relay_turned_away").build(),
            caller_connections: meter.u64_counter("hibiscusvale_relay_caller_connections").build(),
            steps: meter.u64_counter("hibiscusvale_relay_steps").build(),
            statements: meter.u64_counter("hibiscusvale_relay_server_statements").build(),
            resumed: meter.u64_counter("hibiscusvale_relay_resumed_streams").build(),
            organisations: meter.u64_counter("hibiscusvale_relay_organisation_requests").build(),
            messages: meter.u64_counter("hibiscusvale_relay_messages").build(),
            message_bytes: meter.u64_counter("hibiscusvale_relay_message_bytes").build(),
            answer_ms: histogram("hibiscusvale_relay_answer_ms"),
            first_event_ms: histogram("hibiscusvale_relay_first_event_ms"),
            pause_ms: histogram("hibiscusvale_relay_longest_pause_ms"),
            metrics,
        })
    }

    /// Counts a completed request.
    pub fn record_request(&self, summary: RequestSummary<'_>) {
        let service = KeyValue::new("service", summary.service.to_owned());
        self.requests.add(1, &[service.clone(), KeyValue::new("outcome", summary.outcome)]);
        if !summary.framing.is_empty() {
            let is_partial = summary.partial_event_bytes > Bytes::ZERO;
            let end = if is_partial { "inside-event" } else { "" };
            self.answers.add(1, &[KeyValue::new("framing", summary.framing), KeyValue::new("end", end)]);
        }
        self.answer_ms.record(millis(summary.took), std::slice::from_ref(&service));
        if let Some(first_ms) = summary.first_event_ms {
            self.first_event_ms.record(first_ms as f64, std::slice::from_ref(&service));
            self.pause_ms.record(summary.longest_pause_ms as f64, &[service]);
        }
    }

    /// Counts an answer that ended with its connection.
    pub fn record_end_check(&self, check: EndCheck) {
        let asked = KeyValue::new("asked", check.evidence.asked());
        let answered = KeyValue::new("answered", check.evidence.answered());
        self.end_checks.add(1, &[asked, answered, KeyValue::new("judged", check.judged())]);
    }

    /// Counts a completed request that another daemon forwarded.
    pub fn record_taken_over(&self, service: &str, outcome: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.taken_over.add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that was rejected before it was admitted.
    pub fn record_rejected(&self, reason: &'static str) {
        self.rejected.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a connection of a caller that was accepted.
    pub fn record_caller_connection(&self) {
        self.caller_connections.add(1, &[]);
    }

    /// Counts a step of a request at a backend server.
    pub fn record_step(&self, what: &'static str, cause: &'static str) {
        self.steps.add(1, &[KeyValue::new("step", what), KeyValue::new("cause", cause)]);
    }

    /// Counts a statement of a backend server in an answer.
    pub fn record_statement(&self, statement: &'static str) {
        self.statements.add(1, &[KeyValue::new("statement", statement)]);
    }

    /// Counts a stream that its caller resumes, by how its version is known or why it is not.
    pub fn record_resumed(&self, version: &'static str) {
        self.resumed.add(1, &[KeyValue::new("version", version)]);
    }

    /// Counts a request of an organisation. `organisation` is from a bounded set of names.
    pub fn record_organisation(&self, service: &str, organisation: String, outcome: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        let organisation = KeyValue::new("organisation", organisation);
        self.organisations.add(1, &[service, organisation, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a message of `size` that was sent to this many daemons.
    pub fn record_message(&self, size: Bytes, daemons: u64) {
        self.messages.add(daemons, &[]);
        self.message_bytes.add(size.0 * daemons, &[]);
    }

    /// Registers gauges that read the daemon's state at every scrape.
    pub fn observe(&self, state: &Arc<RelayState>) {
        let meter = self.metrics.meter();
        observe_gauge(&meter, "hibiscusvale_relay_routes_version", state, |state| {
            state.table.load().version().0
        });
        observe_gauge(&meter, "hibiscusvale_relay_open_requests", state, |state| {
            state.open.load(std::sync::atomic::Ordering::Relaxed)
        });
        observe_gauge(&meter, "hibiscusvale_relay_held_bytes", state, |state| state.memory.held().0);
        observe_gauge(&meter, "hibiscusvale_relay_held_bytes_max", state, |state| {
            state.memory.max().unwrap_or_default().0
        });
        observe_gauge(&meter, "hibiscusvale_relay_servers", state, |state| {
            state.directory.listing().servers.len() as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_kept_servers", state, |state| {
            state.server_list.lock().expired().pending_count() as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_server_list_age_ms", state, |state| {
            let age_us = state.freshness.servers_age_us(clock::now());
            age_us.unwrap_or_default().to_millis_ceil().0
        });
        observe_gauge(&meter, "hibiscusvale_relay_daemons_live", state, |state| state.peers.live().into());
        observe_gauge(&meter, "hibiscusvale_relay_limited_servers", state, |state| {
            state.limits.limited() as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_leaving_servers", state, |state| {
            state.statements.count(HoldReason::Leaving) as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_resting_servers", state, |state| {
            state.statements.count(HoldReason::Resting) as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_services_out_of_reach", state, |state| {
            state.reach.lost() as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_verified_failure_series", state, |state| {
            state.reach.verified_series()
        });
        observe_gauge(&meter, "hibiscusvale_relay_known_streams", state, |state| {
            state.stream_versions.known() as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_congested_services", state, |state| {
            state.shares.congested(clock::now()) as u64
        });
        observe_host_load(&meter, state);
        observe_admission(&meter, state);
        observe_link(&meter, "hibiscusvale_relay_received_bytes", state, |totals| totals.received);
        observe_link(&meter, "hibiscusvale_relay_sent_bytes", state, |totals| totals.sent);
        observe_endless(&meter, state);
        observe_spill_over(&meter, state);
        let demand = |view: &OrganisationView| Some(view.demand_per_1000_s);
        observe_organisations(&meter, "hibiscusvale_relay_demand_requests_per_1000_s", state, demand);
        observe_organisations(&meter, "hibiscusvale_relay_share_requests_per_1000_s", state, |view| {
            view.share_per_1000_s
        });
        observe_expected(&meter, "hibiscusvale_relay_server_expected_ms", state);
        observe_gauge(&meter, "hibiscusvale_relay_suspects", state, |state| {
            state.quarantine.counts().0 as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_quarantined", state, |state| {
            state.quarantine.counts().1 as u64
        });
        observe_gauge(&meter, "hibiscusvale_relay_engine_retries", state, |state| {
            state.engine_pools.counters().iter().map(|counters| counters.retries).sum()
        });
        observe_gauge(&meter, "hibiscusvale_relay_engine_retries_denied", state, |state| {
            state.engine_pools.counters().iter().map(|counters| counters.retries_denied).sum()
        });
        observe_gauge(&meter, "hibiscusvale_relay_plain_retries", state, |state| {
            state.plain_schedulers.counters().iter().map(|counters| counters.retries).sum()
        });
        observe_gauge(&meter, "hibiscusvale_relay_plain_retries_denied", state, |state| {
            state.plain_schedulers.counters().iter().map(|counters| counters.retries_denied).sum()
        });
    }

    /// Registers counters of the calls to the store, by kind of call and topic.
    pub fn observe_store(&self, traffic: &Arc<StoreTraffic>) {
        let meter = self.metrics.meter();
        observe_store_counter(&meter, "hibiscusvale_relay_store_calls", traffic, |totals| totals.calls);
        observe_store_counter(&meter, "hibiscusvale_relay_store_failed_calls", traffic, |totals| {
            totals.failed_calls
        });
        observe_store_counter(&meter, "hibiscusvale_relay_store_sent_bytes", traffic, |totals| {
            totals.sent_bytes.0
        });
        observe_store_counter(&meter, "hibiscusvale_relay_store_received_bytes", traffic, |totals| {
            totals.received_bytes.0
        });
    }

    /// All metrics in the text format for scraping.
    pub fn render(&self) -> String {
        self.metrics.render()
    }
}

fn observe_gauge(meter: &Meter, name: &'static str, state: &Arc<RelayState>, read: fn(&RelayState) -> u64) {
    let state = Arc::downgrade(state);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            if let Some(state) = state.upgrade() {
                observer.observe(read(&state), &[]);
            }
        })
        .build();
}

/// Registers gauges of the host's load as last assessed.
fn observe_host_load(meter: &Meter, state: &Arc<RelayState>) {
    observe_gauge(meter, "hibiscusvale_relay_connect_delay_us", state, |state| {
        state.host_load.get().and_then(|load| load.connect_delay_us).unwrap_or_default().0
    });
    observe_gauge(meter, "hibiscusvale_relay_task_lateness_us", state, |state| {
        state.host_load.get().map(|load| load.late_us).unwrap_or_default().0
    });
    observe_gauge(meter, "hibiscusvale_relay_link_received_per_1000", state, |state| {
        state.host_load.get().map(|load| load.received_per_1000).unwrap_or_default()
    });
    observe_gauge(meter, "hibiscusvale_relay_link_sent_per_1000", state, |state| {
        state.host_load.get().map(|load| load.sent_per_1000).unwrap_or_default()
    });
    observe_gauge(meter, "hibiscusvale_relay_host_congested", state, |state| {
        state.host_load.get().is_some_and(|load| load.is_congested()).into()
    });
}

/// Registers what callers have open, its limit, and how long the listener was closed.
fn observe_admission(meter: &Meter, state: &Arc<RelayState>) {
    observe_gauge(meter, "hibiscusvale_relay_admitted", state, |state| state.admission.open().into());
    observe_gauge(meter, "hibiscusvale_relay_admission_limit", state, |state| {
        state.admission.limit().unwrap_or_default().into()
    });
    observe_gauge(meter, "hibiscusvale_relay_listener_closings", state, |state| state.admission.closed().0);
    observe_gauge(meter, "hibiscusvale_relay_listener_closed_ms", state, |state| {
        state.admission.closed().1.0
    });
}

/// Registers a counter of bytes by the kind of peer.
fn observe_link(meter: &Meter, name: &'static str, state: &Arc<RelayState>, read: fn(&LinkTotals) -> Bytes) {
    let state = Arc::downgrade(state);
    meter
        .u64_observable_counter(name)
        .with_callback(move |observer| {
            let Some(state) = state.upgrade() else { return };
            for peer in LinkPeer::ALL {
                let totals = state.meter.totals(peer);
                observer.observe(read(&totals).0, &[KeyValue::new("peer", peer.label())]);
            }
        })
        .build();
}

/// Registers the counter of answers that were given up because a part of them did not end.
fn observe_endless(meter: &Meter, state: &Arc<RelayState>) {
    let state = Arc::downgrade(state);
    meter
        .u64_observable_counter("hibiscusvale_relay_answers_without_end")
        .with_callback(move |observer| {
            let Some(state) = state.upgrade() else { return };
            for part in AnswerPart::ALL {
                observer.observe(state.meter.endless(part), &[KeyValue::new("part", part.label())]);
            }
        })
        .build();
}

/// Registers the gauge of the part of what waits that spills over, in thousandths, by service.
fn observe_spill_over(meter: &Meter, state: &Arc<RelayState>) {
    let state = Arc::downgrade(state);
    meter
        .u64_observable_gauge("hibiscusvale_relay_spill_over_per_1000")
        .with_callback(move |observer| {
            let Some(state) = state.upgrade() else { return };
            for (service, spill_over) in state.engine_pools.spill_over() {
                observer.observe(spill_over.share_per_1000, &[KeyValue::new("service", service)]);
            }
        })
        .build();
}

/// Registers a gauge with a value for each organisation that uses a plain service.
fn observe_organisations(
    meter: &Meter,
    name: &'static str,
    state: &Arc<RelayState>,
    read: fn(&OrganisationView) -> Option<u64>,
) {
    let state = Arc::downgrade(state);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            let Some(state) = state.upgrade() else { return };
            for (service, view) in state.organisations_view(clock::now()).services {
                for (organisation, view) in view.organisations {
                    let Some(value) = read(&view) else { continue };
                    let service = KeyValue::new("service", service.clone());
                    observer.observe(value, &[service, KeyValue::new("organisation", organisation)]);
                }
            }
        })
        .build();
}

/// Registers a gauge with the expected response time of each server that is chosen by its load.
fn observe_expected(meter: &Meter, name: &'static str, state: &Arc<RelayState>) {
    let state = Arc::downgrade(state);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            let Some(state) = state.upgrade() else { return };
            for (service, servers) in state.plain_schedulers.expected_response_times() {
                for (server, expected_ms) in servers {
                    let service = KeyValue::new("service", service.clone());
                    observer.observe(expected_ms.0, &[service, KeyValue::new("server", server.to_string())]);
                }
            }
        })
        .build();
}

fn observe_store_counter(
    meter: &Meter,
    name: &'static str,
    traffic: &Arc<StoreTraffic>,
    read: fn(&StoreTotals) -> u64,
) {
    let traffic = Arc::clone(traffic);
    meter
        .u64_observable_counter(name)
        .with_callback(move |observer| {
            for (call, topic, totals) in traffic.totals() {
                let labels = [KeyValue::new("call", call.name()), KeyValue::new("topic", topic)];
                observer.observe(read(&totals), &labels);
            }
        })
        .build();
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
