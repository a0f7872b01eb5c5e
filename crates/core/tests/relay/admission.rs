//! Simulation of a host that gets more new connections than it can serve, in virtual time.
//!
//! The host is a queue in each direction of its link and one for its processor. A connection costs a packet and its
//! acknowledgement, a request its bytes, and a stream sends its answer over seconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hibiscusvale_core::relay::admission::{AdmissionLimit, Attribution, CLOSED_MAX_MS, OpenRequests};
use hibiscusvale_core::relay::congestion::{
    ASSESSMENT_INTERVAL_MS, CongestionDetector, HostSample, tolerated_delay,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const PAGE_BYTES: u64 = 1_200;
const STREAM_BYTES: u64 = 28_000;
const PROMPT_BYTES: u64 = 5_000;
const EVENTS: u64 = 20;
const PACKET_BYTES: u64 = 60;
const PAGE_TARGET: Millis = Millis(150);
const PAGE_TIMEOUT_US: u64 = 1_500_000;
const STREAM_TIMEOUT_US: u64 = 3_000_000;

/// When the flood has to be borne after its begin.
const CONTACT_US: u64 = 4_000_000;

#[derive(Clone, Copy)]
struct Host {
    link_bytes_per_s: u64,
    /// What the daemon knows of its link.
    known_link: Option<BytesPerSecond>,
    /// Processor time of a request.
    request_us: u64,
}

const SMALL: Host =
    Host { link_bytes_per_s: 1_250_000, known_link: Some(BytesPerSecond(1_250_000)), request_us: 200 };
const SMALL_UNKNOWN: Host = Host { known_link: None, ..SMALL };
const LARGE: Host =
    Host { link_bytes_per_s: 25_000_000, known_link: Some(BytesPerSecond(25_000_000)), ..SMALL };
const SLOW_PROCESSOR: Host = Host { request_us: 8_000, ..LARGE };

/// Callers of a period.
#[derive(Clone, Copy)]
struct Period {
    until_s: u64,
    per_s: u64,
    /// Streams of a hundred requests.
    streams: u64,
    /// Time of a page at its server.
    page_us: u64,
}

const CALM: Period = Period { until_s: 5, per_s: 10, streams: 13, page_us: 30_000 };
const FLOOD: Period = Period { until_s: 20, per_s: 290, ..CALM };

/// Faults of the door that the checks have to find.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Mutant {
    None,
    NeverCloses,
    NeverOpens,
    ClosesForLong,
}

/// A queue with a rate.
struct Queue {
    bytes_per_s: u64,
    free_us: u64,
    passed: u64,
}

impl Queue {
    fn pass(&mut self, now_us: u64, bytes: u64) -> u64 {
        self.free_us = self.free_us.max(now_us) + bytes * 1_000_000 / self.bytes_per_s;
        self.passed += bytes;
        self.free_us
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller connects.
    Connect,
    /// The daemon has read a request; when it was sent.
    Read {
        sent_us: u64,
        is_stream: bool,
    },
    /// A connection to a server is open.
    Connected {
        sent_us: u64,
        asked_us: u64,
        is_stream: bool,
    },
    /// A server sends a part of its answer.
    Part {
        sent_us: u64,
        left: u64,
        is_stream: bool,
        first_us: u64,
    },
    /// The caller has the whole answer.
    Answered {
        sent_us: u64,
        is_stream: bool,
        first_us: u64,
    },
    Assess,
}

#[derive(Debug, Default)]
struct Outcome {
    /// When requests that were read were sent, and whether they were served in time.
    read: Vec<(u64, bool)>,
    unread: Vec<u64>,
    pages_in_target: u64,
    limit_at_end: Option<u32>,
}

impl Outcome {
    fn served_share(&self, from_us: u64, until_us: u64) -> f64 {
        let read = self.read.iter().filter(|(at, _)| (from_us..until_us).contains(at));
        let (served, all) =
            read.fold((0, 0), |(served, all), (_, is_served)| (served + usize::from(*is_served), all + 1));
        served as f64 / f64::from(all.max(1))
    }

    fn served(&self, from_us: u64, until_us: u64) -> usize {
        self.read.iter().filter(|(at, served)| *served && (from_us..until_us).contains(at)).count()
    }

    fn unread(&self, from_us: u64, until_us: u64) -> usize {
        self.unread.iter().filter(|at| (from_us..until_us).contains(*at)).count()
    }

    fn longest_closed_us(&self) -> u64 {
        let mut at: Vec<u64> = self.read.iter().map(|(at, _)| *at).collect();
        at.sort_unstable();
        at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(u64::MAX)
    }
}

fn simulate(host: Host, periods: &[Period], mutant: Mutant, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let queue = |bytes_per_s| Queue { bytes_per_s, free_us: 0, passed: 0 };
    let (mut inward, mut outward) = (queue(host.link_bytes_per_s), queue(host.link_bytes_per_s));
    let mut processor_free_us = 0_u64;
    let (mut detector, mut limit) = (CongestionDetector::new(host.known_link), AdmissionLimit::default());
    let mut events = BinaryHeap::from([Reverse((0, Event::Connect)), Reverse((0, Event::Assess))]);
    let mut outcome = Outcome::default();
    let (mut open, mut all, mut is_closed, mut taken_us) = (0_u32, 0_u64, false, 0);
    let (mut connects, mut fastest_us, mut before) = (0, None::<Micros>, (0, 0));
    let end_us = periods.last().unwrap().until_s * 1_000_000;
    while let Some(Reverse((now_us, event))) = events.pop() {
        let period = periods.iter().find(|period| now_us < period.until_s * 1_000_000);
        match event {
            Event::Connect => {
                let Some(period) = period else { continue };
                let pause_us = rng.random_range(0..2_000_000 / period.per_s);
                events.push(Reverse((now_us + pause_us.max(1), Event::Connect)));
                inward.pass(now_us, PACKET_BYTES);
                outward.pass(now_us, PACKET_BYTES);
                let is_open = if is_closed { limit.admits_again(open) } else { limit.admits(open) };
                let closed_max_ms =
                    if mutant == Mutant::ClosesForLong { Millis(4_000) } else { CLOSED_MAX_MS };
                let is_due = now_us >= taken_us + Micros::from(closed_max_ms).0;
                let is_taken = match mutant {
                    Mutant::NeverCloses => true,
                    Mutant::NeverOpens => is_open && !is_closed,
                    Mutant::ClosesForLong => (is_open && !is_closed) || is_due,
                    Mutant::None => is_open || is_due,
                };
                is_closed = !is_taken || (is_closed && mutant == Mutant::NeverOpens);
                if !is_taken {
                    outcome.unread.push(now_us);
                    continue;
                }
                taken_us = now_us;
                open += 1;
                all += 1;
                let is_stream = rng.random_range(0..100) < period.streams;
                let read_us = inward.pass(now_us, if is_stream { PROMPT_BYTES } else { PAGE_BYTES });
                processor_free_us = processor_free_us.max(read_us) + host.request_us;
                events.push(Reverse((processor_free_us, Event::Read { sent_us: now_us, is_stream })));
            }
            Event::Read { sent_us, is_stream } => {
                let to_server_us = outward.pass(now_us, PACKET_BYTES);
                let back_us = inward.pass(to_server_us + 1_000, PACKET_BYTES).max(processor_free_us);
                events.push(Reverse((back_us, Event::Connected { sent_us, asked_us: now_us, is_stream })));
            }
            Event::Connected { sent_us, asked_us, is_stream } => {
                connects += 1;
                let took_us = Micros(now_us - asked_us);
                fastest_us = Some(fastest_us.map_or(took_us, |fastest| fastest.min(took_us)));
                let asked_us = outward.pass(now_us, if is_stream { PROMPT_BYTES } else { PAGE_BYTES });
                let (left, work_us) =
                    if is_stream { (EVENTS, 300_000) } else { (1, period.map_or(30_000, |it| it.page_us)) };
                events.push(Reverse((
                    asked_us + work_us,
                    Event::Part { sent_us, left, is_stream, first_us: 0 },
                )));
            }
            Event::Part { sent_us, left, is_stream, first_us } => {
                // A stream that has begun no longer counts.
                open -= u32::from(first_us == 0);
                let bytes = if is_stream { STREAM_BYTES / EVENTS } else { PAGE_BYTES };
                let at_host_us = inward.pass(now_us, bytes);
                let at_caller_us = outward.pass(at_host_us, bytes);
                let first_us = if first_us == 0 { at_caller_us } else { first_us };
                if left == 1 {
                    events.push(Reverse((at_caller_us, Event::Answered { sent_us, is_stream, first_us })));
                } else {
                    events.push(Reverse((
                        now_us + 150_000,
                        Event::Part { sent_us, left: left - 1, is_stream, first_us },
                    )));
                }
            }
            Event::Answered { sent_us, is_stream, first_us } => {
                all -= 1;
                let took_us = first_us - sent_us;
                let timeout_us = if is_stream { STREAM_TIMEOUT_US } else { PAGE_TIMEOUT_US };
                outcome.read.push((sent_us, took_us < timeout_us));
                outcome.pages_in_target += u64::from(!is_stream && took_us < Micros::from(PAGE_TARGET).0);
            }
            Event::Assess => {
                if now_us < end_us {
                    events.push(Reverse((now_us + Micros::from(ASSESSMENT_INTERVAL_MS).0, Event::Assess)));
                }
                let passed = (
                    inward.passed.min(before.0 + host.link_bytes_per_s / 10),
                    outward.passed.min(before.1 + host.link_bytes_per_s / 10),
                );
                let sample = HostSample {
                    received: Bytes(passed.0 - before.0),
                    sent: Bytes(passed.1 - before.1),
                    connects: std::mem::take(&mut connects),
                    fastest_connect_us: fastest_us.take(),
                    late_us: Micros(processor_free_us.saturating_sub(now_us)),
                };
                before = passed;
                let load = detector.assess(MonoTime(now_us + 1), sample, tolerated_delay(Some(PAGE_TARGET)));
                let requests = OpenRequests { not_begun: open, all };
                if limit.update(MonoTime(now_us + 1), &load, requests) == Attribution::NotOwn {
                    detector.forget_base();
                }
            }
        }
    }
    outcome.limit_at_end = limit.get();
    outcome.read.sort_unstable();
    outcome
}

/// What callers must be able to rely on while a daemon is flooded from 5 s to 20 s.
fn violations(outcome: &Outcome) -> Vec<String> {
    let (from_us, until_us) = (5_000_000 + CONTACT_US, 19_000_000);
    let before = outcome.served_share(0, 5_000_000);
    let share = outcome.served_share(from_us, until_us);
    let mut violations = Vec::new();
    if share < before * 0.75 {
        violations.push(format!("{share:.3} of the requests read are served, {before:.3} before"));
    }
    if outcome.longest_closed_us() >= 2_000_000 {
        violations.push(format!("no connection is taken for {} us", outcome.longest_closed_us()));
    }
    violations
}

/// Requests that a host can serve in a second, if its queues are always full.
fn carried_per_s(host: Host, period: Period) -> u64 {
    let page_bytes = 2 * PAGE_BYTES + 3 * PACKET_BYTES;
    let stream_bytes = PROMPT_BYTES + STREAM_BYTES + 3 * PACKET_BYTES;
    let bytes = (page_bytes * (100 - period.streams) + stream_bytes * period.streams) / 100;
    (host.link_bytes_per_s / bytes).min(1_000_000 / host.request_us).min(period.per_s)
}

const NO_STREAMS: Period = Period { streams: 0, ..FLOOD };
const MANY_STREAMS: Period = Period { streams: 60, ..FLOOD };

/// A daemon that gets most new connections must serve what it reads, and half of what its host carries.
#[rstest]
#[case::small_host(SMALL, vec![CALM, FLOOD])]
#[case::unknown_link(SMALL_UNKNOWN, vec![CALM, FLOOD])]
#[case::slow_processor(SLOW_PROCESSOR, vec![CALM, FLOOD])]
#[case::pages_become_streams(SMALL, vec![CALM, Period { until_s: 9, ..NO_STREAMS }, MANY_STREAMS])]
#[case::streams_become_pages(SMALL, vec![CALM, Period { until_s: 9, ..MANY_STREAMS }, NO_STREAMS])]
#[case::slow_server_beside(SMALL, vec![CALM, Period { page_us: 300_000, ..FLOOD }])]
fn a_flooded_daemon_serves_what_it_reads(
    #[case] host: Host,
    #[case] periods: Vec<Period>,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let outcome = simulate(host, &periods, Mutant::None, seed);
    let violations = violations(&outcome);
    assert!(violations.is_empty(), "{violations:?}");
    let served = outcome.served(10_000_000, 19_000_000);
    let carried = carried_per_s(host, *periods.last().unwrap()) * 9;
    assert!(
        served as u64 * 2 >= carried,
        "{served} of {carried} served in 9 s, limit {:?}",
        outcome.limit_at_end
    );
}

/// A daemon whose host is not a bottleneck must not refuse any connection.
#[rstest]
#[case::large_host(LARGE, vec![CALM, FLOOD])]
#[case::small_host_in_time(SMALL, vec![CALM, Period { per_s: 80, ..FLOOD }])]
#[case::slow_server(SMALL, vec![CALM, Period { per_s: 80, page_us: 900_000, ..FLOOD }])]
fn no_connection_is_refused_without_a_bottleneck(
    #[case] host: Host,
    #[case] periods: Vec<Period>,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let outcome = simulate(host, &periods, Mutant::None, seed);
    assert_eq!(outcome.unread.len(), 0, "limit {:?}", outcome.limit_at_end);
}

/// A daemon must take in every connection again as soon as the flood is over.
#[rstest]
fn the_door_opens_when_the_flood_is_over(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let periods = [CALM, Period { until_s: 12, ..FLOOD }, Period { until_s: 20, ..CALM }];
    let outcome = simulate(SMALL, &periods, Mutant::None, seed);
    assert!(outcome.unread(8_000_000, 12_000_000) > 100);
    assert_eq!(outcome.unread(13_000_000, 20_000_000), 0);
    assert_eq!(outcome.limit_at_end, None);
}

/// The checks must find a door with a fault.
#[rstest]
#[case::never_closes(Mutant::NeverCloses)]
#[case::never_opens(Mutant::NeverOpens)]
#[case::closes_for_long(Mutant::ClosesForLong)]
fn mutants_are_found(#[case] mutant: Mutant, #[values(1, 2, 3)] seed: u64) {
    let outcome = simulate(SMALL, &[CALM, FLOOD], mutant, seed);
    assert!(!violations(&outcome).is_empty(), "limit {:?}", outcome.limit_at_end);
}

/// Connections refused in 8 s in which new connections to servers are slow while this is open.
fn refused_while_slow(open: OpenRequests) -> usize {
    let mut limit = AdmissionLimit::default();
    let mut detector = CongestionDetector::new(SMALL.known_link);
    let mut now_us = MonoTime(1);
    let mut refused = 0;
    for interval in 0..100 {
        now_us = now_us + ASSESSMENT_INTERVAL_MS;
        let connect_us = if interval < 20 { 2_000 } else { 80_000 };
        let sample =
            HostSample { connects: 5, fastest_connect_us: Some(Micros(connect_us)), ..HostSample::default() };
        let load = detector.assess(now_us, sample, tolerated_delay(Some(PAGE_TARGET)));
        if limit.update(now_us, &load, open) == Attribution::NotOwn {
            detector.forget_base();
        }
        refused += usize::from(!limit.admits(open.not_begun));
    }
    refused
}

/// A delay that stays while next to nothing is open must not keep callers out, and one under many streams must.
#[rstest]
#[case::few_requests(OpenRequests { not_begun: 6, all: 6 }, 0)]
#[case::many_requests(OpenRequests { not_begun: 60, all: 60 }, 80)]
#[case::many_streams(OpenRequests { not_begun: 8, all: 60 }, 80)]
fn only_an_own_delay_keeps_callers_out(#[case] open: OpenRequests, #[case] refused: usize) {
    assert_eq!(refused_while_slow(open), refused);
}
