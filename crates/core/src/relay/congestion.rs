//! Detects that the host of a daemon is the bottleneck of its requests: its link or its processor.
//!
//! A host that takes in more than it can pass on finishes nothing in time, since everything that it has accepted waits
//! in the same queues. What shows it early is the delay that these queues add to work that takes next to no time
//! elsewhere: opening a connection to a server, and running a task that is due. As in `CoDel` (RFC 8289) the smallest
//! delay of an interval counts, which a burst or a single slow server does not raise. Where the rate of the link is
//! known, the bytes that pass it show the same.

use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime};

/// Interval between two assessments.
pub const ASSESSMENT_INTERVAL_MS: Millis = Millis(100);

/// Connections that a long delay needs to count; the fastest of fewer may be a slow one. A short one counts alone.
const CONNECTS_MIN: u32 = 4;

/// Age after which measured connections no longer count.
const CONNECTS_AGE_MAX_MS: Millis = Millis(300);

/// Length of a span over which the shortest time of a connection is kept. The current span and the one before count, so
/// that it is forgotten after one to two spans.
const BASE_SPAN_MS: Millis = Millis(10_000);

/// Assessments whose smallest lateness counts.
const LATENESS_SAMPLES: usize = 3;

/// Fill of a link above which it counts as full. Headers of packets are not counted.
const LINK_FULL_PER_1000: u64 = 900;

/// Delays of the host's queues that a request meets, if each is a round trip: the connection of its caller, its body,
/// the connection to a server, and the answer.
const ROUND_TRIPS: u64 = 4;

/// Bounds of the tolerated delay: timers are accurate to a few milliseconds, and callers notice more than a tenth of a
/// second.
const DELAY_MAX_US: std::ops::RangeInclusive<Micros> = Micros(5_000)..=Micros(100_000);

/// Delay of the host's queues that is tolerated where the strictest route has `target_ms`: a request may spend half
/// of its target in them.
pub fn tolerated_delay(target_ms: Option<Millis>) -> Micros {
    let Some(target_ms) = target_ms else { return *DELAY_MAX_US.end() };
    let half_us = Micros::from(target_ms).0 / 2;
    Micros(half_us / ROUND_TRIPS).clamp(*DELAY_MAX_US.start(), *DELAY_MAX_US.end())
}

/// What limits the requests of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bottleneck {
    /// Connections to servers take long to open at all servers.
    Connecting,
    /// Bytes received.
    Received,
    /// Bytes sent.
    Sent,
    /// Tasks run late.
    Tasks,
}

/// Measurements of one interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostSample {
    /// Bytes received from callers and servers.
    pub received: Bytes,
    /// Bytes sent to callers and servers.
    pub sent: Bytes,
    /// Connections to servers that were opened.
    pub connects: u32,
    /// Shortest time in which one of them was opened.
    pub fastest_connect_us: Option<Micros>,
    /// How late a task ran that was due.
    pub late_us: Micros,
}

/// Assessment of one interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLoad {
    /// Delay of new connections beyond that without queues; `None` if too few were opened.
    pub connect_delay_us: Option<Micros>,
    /// Fill of the link with bytes received, in thousandths; zero if its rate is not known.
    pub received_per_1000: u64,
    /// Fill of the link with bytes sent, in thousandths; zero if its rate is not known.
    pub sent_per_1000: u64,
    /// Smallest lateness of tasks.
    pub late_us: Micros,
    /// The measurement that is highest against what is tolerated.
    pub bottleneck: Bottleneck,
    /// That measurement in thousandths of what is tolerated.
    pub pressure_per_1000: u64,
    /// Whether the delay of connections is of this interval, or none were opened lately.
    pub is_fresh: bool,
}

impl HostLoad {
    /// Whether the host is a bottleneck.
    pub fn is_congested(&self) -> bool {
        self.pressure_per_1000 > PRESSURE_MAX_PER_1000
    }
}

/// Pressure that is tolerated.
pub const PRESSURE_MAX_PER_1000: u64 = 1_000;

/// Measured connections that were not assessed yet.
#[derive(Clone, Copy, Debug)]
struct Connects {
    since_us: MonoTime,
    count: u32,
    fastest_us: Micros,
}

/// Shortest times of connections in the current span and in the one before.
#[derive(Clone, Copy, Debug)]
struct ConnectBase {
    since_us: MonoTime,
    fastest_us: [Micros; 2],
}

impl ConnectBase {
    fn update(&mut self, now_us: MonoTime, fastest_us: Micros) {
        if now_us >= self.since_us + BASE_SPAN_MS {
            *self = Self { since_us: now_us, fastest_us: [fastest_us, self.fastest_us[0]] };
        }
        self.fastest_us[0] = self.fastest_us[0].min(fastest_us);
    }

    fn delay(&self, fastest_us: Micros) -> Micros {
        fastest_us.saturating_sub(self.fastest_us[0].min(self.fastest_us[1]))
    }
}

/// Assesses the load of a host in intervals.
#[derive(Clone, Debug)]
pub struct CongestionDetector {
    link: Option<BytesPerSecond>,
    assessed_us: Option<MonoTime>,
    /// Bytes received and sent, and the length, of the interval before.
    previous: (Bytes, Bytes, Micros),
    connects: Option<Connects>,
    base: Option<ConnectBase>,
    delay: Option<(MonoTime, Micros)>,
    late_us: [Micros; LATENESS_SAMPLES],
}

impl CongestionDetector {
    /// Creates a detector for a host with a link of this rate in each direction; `None` if it is not known.
    pub fn new(link: Option<BytesPerSecond>) -> Self {
        Self {
            link,
            assessed_us: None,
            previous: (Bytes::ZERO, Bytes::ZERO, Micros::ZERO),
            connects: None,
            base: None,
            delay: None,
            late_us: [Micros::ZERO; LATENESS_SAMPLES],
        }
    }

    /// Takes the present delay of new connections for that without queues.
    pub fn forget_base(&mut self) {
        self.base = None;
        self.delay = None;
    }

    /// Assesses the interval since the call before, where queues may delay a round trip by `tolerated_us`.
    pub fn assess(&mut self, now_us: MonoTime, sample: HostSample, tolerated_us: Micros) -> HostLoad {
        let interval_us = self.assessed_us.map_or(Micros::ZERO, |assessed_us| now_us.since(assessed_us));
        self.assessed_us = Some(now_us);
        let (received_before, sent_before, before_us) = self.previous;
        self.previous = (sample.received, sample.sent, interval_us);
        let span_us = interval_us + before_us;
        let received_per_1000 = self.fill(received_before + sample.received, span_us);
        let sent_per_1000 = self.fill(sent_before + sample.sent, span_us);
        self.late_us.rotate_left(1);
        self.late_us[LATENESS_SAMPLES - 1] = sample.late_us;
        let late_us = self.late_us.into_iter().min().unwrap_or_default();
        let is_fresh = self.assess_connects(now_us, sample, tolerated_us);
        let connect_delay_us = self.delay.map(|(_, delay_us)| delay_us);
        let against = |value: u64, tolerated: u64| value * PRESSURE_MAX_PER_1000 / tolerated.max(1);
        let connecting = connect_delay_us.unwrap_or_default().0;
        let (pressure_per_1000, bottleneck) = [
            (against(connecting, tolerated_us.0), Bottleneck::Connecting),
            (against(received_per_1000, LINK_FULL_PER_1000), Bottleneck::Received),
            (against(sent_per_1000, LINK_FULL_PER_1000), Bottleneck::Sent),
            (against(late_us.0, tolerated_us.0), Bottleneck::Tasks),
        ]
        .into_iter()
        .max_by_key(|(pressure, _)| *pressure)
        .unwrap_or((0, Bottleneck::Connecting));
        HostLoad {
            connect_delay_us,
            received_per_1000,
            sent_per_1000,
            late_us,
            bottleneck,
            pressure_per_1000,
            is_fresh,
        }
    }

    fn fill(&self, bytes: Bytes, span_us: Micros) -> u64 {
        let Some(link) = self.link else { return 0 };
        let capacity = u128::from(link.0) * u128::from(span_us.0) / MICROS_PER_S;
        let fill = u128::from(bytes.0) * 1_000 / capacity.max(1);
        if span_us == Micros::ZERO { 0 } else { u64::try_from(fill).unwrap_or(u64::MAX) }
    }

    /// Updates the delay of connections; returns whether it is of now, or none were opened lately.
    fn assess_connects(&mut self, now_us: MonoTime, sample: HostSample, tolerated_us: Micros) -> bool {
        if let Some(fastest_us) = sample.fastest_connect_us {
            let unknown = Connects { since_us: now_us, count: 0, fastest_us };
            let connects = self.connects.get_or_insert(unknown);
            connects.count += sample.connects;
            connects.fastest_us = connects.fastest_us.min(fastest_us);
        }
        let Some(connects) = self.connects else {
            let is_old = self.delay.is_none_or(|(judged_us, _)| now_us >= judged_us + CONNECTS_AGE_MAX_MS);
            if is_old {
                self.delay = None;
            }
            return is_old;
        };
        let is_old = now_us >= connects.since_us + CONNECTS_AGE_MAX_MS;
        let is_short = self.base.is_some_and(|base| base.delay(connects.fastest_us) <= tolerated_us);
        if connects.count < CONNECTS_MIN && !is_short {
            if is_old {
                self.connects = None;
                self.delay = None;
            }
            return is_old;
        }
        self.connects = None;
        let fastest_us = connects.fastest_us;
        let base = self.base.get_or_insert(ConnectBase { since_us: now_us, fastest_us: [fastest_us; 2] });
        base.update(now_us, fastest_us);
        self.delay = Some((now_us, base.delay(fastest_us)));
        true
    }
}

const MICROS_PER_S: u128 = 1_000_000;
