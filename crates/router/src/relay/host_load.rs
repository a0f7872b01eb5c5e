//! Measures the load of the host in intervals, adapts the limit on what callers have open, and logs when the host is a
//! bottleneck.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hibiscusvale_core::relay::admission::Attribution;
use hibiscusvale_core::relay::congestion::{
    ASSESSMENT_INTERVAL_MS, Bottleneck, CongestionDetector, HostLoad, HostSample, tolerated_delay,
};
use hibiscusvale_core::relay::routes::TableVersion;
use hibiscusvale_core::units::{BytesPerSecond, Micros, Millis, MonoTime};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::state::RelayState;
use crate::clock;
use crate::link_meter::LinkTotals;
use crate::logging::HostLoadLine;
use crate::metrics::Label;

/// Interval of lines while the host is congested.
const LINE_INTERVAL_MS: Millis = Millis(1_000);

/// The last assessment of the host's load.
#[derive(Debug, Default)]
pub struct SharedHostLoad(Mutex<Option<HostLoad>>);

impl SharedHostLoad {
    /// The last assessment; `None` before the first one.
    pub fn get(&self) -> Option<HostLoad> {
        *self.0.lock()
    }
}

impl Label for Bottleneck {
    fn label(self) -> &'static str {
        match self {
            Self::Connecting => "connecting",
            Self::Received => "received",
            Self::Sent => "sent",
            Self::Tasks => "tasks",
        }
    }
}

/// Assesses the host's load for as long as the daemon runs. Belongs on the runtime whose lateness counts.
pub async fn run(state: Arc<RelayState>, link: Option<BytesPerSecond>) {
    let mut assessor = Assessor::new(link);
    loop {
        let due = Instant::now() + Duration::from(ASSESSMENT_INTERVAL_MS);
        tokio::time::sleep_until(due).await;
        let late_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        assessor.assess(&state, clock::now(), Micros(late_us));
    }
}

struct Assessor {
    detector: CongestionDetector,
    totals: LinkTotals,
    /// Tolerated delay by the route table of this version.
    tolerated: (TableVersion, Micros),
    /// Begin and last moment of a congestion.
    congested_us: Option<(MonoTime, MonoTime)>,
    logged_us: Option<MonoTime>,
}

impl Assessor {
    fn new(link: Option<BytesPerSecond>) -> Self {
        Self {
            detector: CongestionDetector::new(link),
            totals: LinkTotals::default(),
            tolerated: (TableVersion::default(), tolerated_delay(None)),
            congested_us: None,
            logged_us: None,
        }
    }

    fn assess(&mut self, state: &RelayState, now_us: MonoTime, late_us: Micros) {
        let connects = state.meter.take_connects();
        let totals = state.meter.sum();
        let sample = HostSample {
            received: totals.received.saturating_sub(self.totals.received),
            sent: totals.sent.saturating_sub(self.totals.sent),
            connects: connects.count,
            fastest_connect_us: connects.fastest_us,
            late_us,
        };
        self.totals = totals;
        let tolerated_us = self.tolerated_us(state);
        let load = self.detector.assess(now_us, sample, tolerated_us);
        *state.host_load.0.lock() = Some(load);
        let all = state.open.load(Ordering::Relaxed);
        if state.admission.update(now_us, &load, all) == Attribution::NotOwn {
            self.detector.forget_base();
        }
        self.log(state, now_us, load);
    }

    fn tolerated_us(&mut self, state: &RelayState) -> Micros {
        let table = state.table.load();
        if self.tolerated.0 != table.version() {
            self.tolerated = (table.version(), tolerated_delay(table.strictest_target()));
        }
        self.tolerated.1
    }

    fn log(&mut self, state: &RelayState, now_us: MonoTime, load: HostLoad) {
        if load.is_congested() {
            self.congested_us.get_or_insert((now_us, now_us)).1 = now_us;
            if self.logged_us.is_none_or(|logged_us| now_us >= logged_us + LINE_INTERVAL_MS) {
                self.logged_us = Some(now_us);
                let (closings, closed_ms) = state.admission.closed();
                state.log.host_congested(&HostLoadLine {
                    load,
                    tolerated_us: self.tolerated.1,
                    open: state.admission.open(),
                    limit: state.admission.limit(),
                    closings,
                    closed_ms,
                });
            }
        } else if let Some((since_us, last_us)) = self.congested_us
            && now_us >= last_us + LINE_INTERVAL_MS
        {
            self.congested_us = None;
            state.log.host_relieved(last_us.since(since_us).to_millis_floor());
        }
    }
}
