//! Loads and speeds of the servers of a plain service.
//!
//! Servers of one service differ in speed, and each is slowed down at times. One of a hundred daemons gets an answer
//! from a given server every two seconds, so its own mean is ten seconds old and its choice is close to random: slow
//! servers fill up while fast ones are idle. Daemons therefore report what they observed, and each adds up the
//! observations of all.

use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Half-life of response times and mean loads. A slowdown of 600 ms is mostly over before it is known; one of 5 s is
/// followed.
const HALF_LIFE_US: f64 = 2_000_000.0;

/// Half-life of the weight of a load header. A queue builds up within a few calls, so that a header tells little of the
/// load a second later; the mean load of the server takes its place.
const HEADER_HALF_LIFE_US: f64 = 300_000.0;

/// Interval at which observations decay and the condition for the use of loads is checked.
const REFRESH_US: Micros = Micros(250_000);

/// Weight of the mean of the service in that of a server, and number of observations from which on a server counts in
/// the comparison of servers. With fewer, chance alone makes equal servers differ by a quarter.
const POOL_WEIGHT: f64 = 16.0;

/// Ratio of speeds from which on the servers of a service count as uneven.
const UNEVEN_SPEEDS: f64 = 1.25;

/// Ratio of the loads per slot from which on the servers of a service count as uneven.
const UNEVEN_LOADS: f64 = 1.5;

/// Requests per slot of the most loaded server below which the loads are not compared: nothing waits then, and the few
/// requests differ by chance.
const COMPARED_LOAD_MIN: f64 = 1.0;

/// Time for which servers have to be even before their loads are no longer used. Observations around a threshold would
/// otherwise change the choice back and forth.
const EVEN_US: Micros = Micros(10_000_000);

/// Additional round trip of a call to another data centre.
const REMOTE_ROUND_TRIP_MS: f64 = 2.8;

/// Load per slot of the servers of the own data centre above which a part of its calls goes to all servers; at one
/// request per slot, all do. If all calls changed at one load, those of all daemons of a data centre would change
/// together and fill its servers, or leave them idle, until the next reports.
const LOCAL_LOAD_MAX: f64 = 0.5;

/// Number of own calls remembered per server since its newest header; a daemon sends fewer within the half-life of a
/// header.
const OWN_STARTS_MAX: usize = 64;

/// Largest number of servers in one report; the others follow in the next ones.
const REPORTED_SERVERS_MAX: usize = 32;

/// Largest number of answers in one sample: far above what one server gives to one daemon between two messages.
const SAMPLE_ANSWERS_MAX: u32 = 10_000;

/// Longest mean response time that a sample may state.
const SAMPLE_MEAN_MS_MAX: f32 = 600_000.0;

/// Largest number of requests or slots that a sample may state.
const SAMPLE_REQUESTS_MAX: u32 = 1_000_000;

/// Time for which a server is remembered to have refused a request or held as many as then.
const FULL_MEMORY_MS: Millis = Millis(1_000);

/// Divisor of the slots: a queue with no more free places than the quotient counts as full while the server refuses
/// requests.
const FULL_SLOTS_DIVISOR: u32 = 2;

/// Age above which a load header is neither reported nor used: its weight is below a hundredth.
const HEADER_AGE_MAX_MS: Millis = Millis(2_000);

/// What one daemon observed of a server since its previous report.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServerSample {
    /// The server.
    pub server: BackendServerId,
    /// Number of answers.
    pub answers: u32,
    /// Their response times without waiting for a slot and without the way to another data centre, summed up, in ms.
    pub busy_ms: f32,
    /// Requests that the server holds, running or waiting, by its newest load header.
    pub in_flight: u32,
    /// Number of requests that it runs at once; zero if there is no load header.
    pub slots: u32,
    /// Age of the header.
    pub age_ms: u32,
}

impl ServerSample {
    /// Whether a server can have done this. A single implausible sample would outweigh all others.
    fn is_plausible(&self) -> bool {
        let longest_ms = f64::from(self.answers) * f64::from(SAMPLE_MEAN_MS_MAX);
        self.answers <= SAMPLE_ANSWERS_MAX
            && self.busy_ms >= 0.0
            && f64::from(self.busy_ms) <= longest_ms
            && self.in_flight <= SAMPLE_REQUESTS_MAX
            && self.slots <= SAMPLE_REQUESTS_MAX
    }
}

/// Whether the choice by loads is in use, and what it expects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoadUse {
    /// Whether servers are chosen by their loads from now on.
    pub is_in_use: bool,
    /// Number of servers with enough observations.
    pub servers: u32,
    /// Expected response time of the slowest of them.
    pub slowest_ms: Millis,
    /// Expected response time of the fastest of them.
    pub fastest_ms: Millis,
}

/// Server that may take a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: usize,
    /// Whether it is in the daemon's own data centre.
    pub(super) is_local: bool,
    /// The daemon's own calls at it.
    pub(super) in_flight: u32,
}

/// A mean stored as two sums.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn record(&mut self, sum: f64, weight: f64) {
        self.sum += sum;
        self.weight += weight;
    }

    fn decayed(self, by: f64) -> Self {
        Self { sum: self.sum * by, weight: self.weight * by }
    }

    fn value(self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    /// The mean combined with that of the service.
    fn value_with(self, pool: f64) -> f64 {
        (self.sum + pool * POOL_WEIGHT) / (self.weight + POOL_WEIGHT)
    }
}

/// Load that a server stated.
#[derive(Clone, Copy, Debug)]
struct Header {
    as_of_us: MonoTime,
    held: u32,
    slots: u32,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Known {
    /// Response time without waiting for a slot, in ms.
    service_ms: Mean,
    /// Requests held per slot.
    load: Mean,
    /// The newest load header of all daemons.
    header: Option<Header>,
    /// The newest header that this daemon got itself and has not reported yet.
    unsent_header: Option<Header>,
    /// Answers and response times that this daemon observed since its previous report.
    unsent: Mean,
    /// Whether it is in the list of unsent servers.
    is_unsent: bool,
    /// Start times of own calls since the newest header.
    own_starts: VecDeque<MonoTime>,
    /// Number of requests held at which it refused one of this daemon, or more if it has held more since.
    refused_at: Option<u32>,
    /// When it last held as many, or refused a request of this daemon.
    refused_us: Option<MonoTime>,
}

impl Known {
    /// Takes a header unless there is a newer one.
    fn apply(&mut self, header: Header) {
        self.load.record(f64::from(header.held) / f64::from(header.slots), 1.0);
        if self.refused_at.is_some_and(|refused_at| refused_at <= header.held) {
            self.refused_at = Some(header.held);
            self.refused_us = self.refused_us.max(Some(header.as_of_us));
        }
        if self.header.is_none_or(|known| known.as_of_us <= header.as_of_us) {
            self.header = Some(header);
            while self.own_starts.front().is_some_and(|&start_us| start_us <= header.as_of_us) {
                self.own_starts.pop_front();
            }
        }
    }
}

/// Means of all servers of the service.
#[derive(Clone, Copy, Debug)]
struct Pool {
    service_ms: f64,
    load: f64,
}

/// Loads and speeds of the servers of one plain service, by index.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLoads {
    known: Vec<Known>,
    /// Servers with unsent observations, in the order in which they are reported.
    unsent: VecDeque<usize>,
    refreshed_us: MonoTime,
    pool: Option<Pool>,
    /// Whether all servers with enough observations state their load.
    is_load_stated: bool,
    /// When the servers were last seen to be uneven, if they are treated so.
    uneven_us: Option<MonoTime>,
    /// Whether the use was last reported to be in effect.
    is_use_reported: bool,
}

impl ServerLoads {
    fn known(&mut self, index: usize) -> &mut Known {
        if self.known.len() <= index {
            self.known.resize_with(index + 1, Known::default);
        }
        &mut self.known[index]
    }

    fn mark_unsent(&mut self, index: usize) {
        let known = self.known(index);
        if !std::mem::replace(&mut known.is_unsent, true) {
            self.unsent.push_back(index);
        }
    }

    /// Records the start of an own call.
    pub(super) fn started(&mut self, now_us: MonoTime, index: usize) {
        let known = self.known(index);
        if known.own_starts.len() == OWN_STARTS_MAX {
            known.own_starts.pop_front();
        }
        known.own_starts.push_back(now_us);
    }

    /// Records an answer to an own call.
    ///
    /// The time spent waiting for a slot is removed by the load that the server states with the answer: a fast server
    /// with a queue would otherwise be taken for a slow one, and would be avoided after its queue is empty.
    pub(super) fn answered(&mut self, now_us: MonoTime, index: usize, is_local: bool, elapsed_us: Micros) {
        let known = self.known(index);
        let way_ms = if is_local { 0.0 } else { REMOTE_ROUND_TRIP_MS };
        let response_ms = (elapsed_us.0 as f64 / 1_000.0 - way_ms).max(0.0);
        let header = known.header.filter(|header| now_us < header.as_of_us + HEADER_AGE_MAX_MS);
        let waiting = header.map_or(1.0, |it| waiting_factor(f64::from(it.held), it.slots));
        let busy_ms = response_ms / waiting;
        known.service_ms.record(busy_ms, 1.0);
        known.unsent.record(busy_ms, 1.0);
        self.mark_unsent(index);
    }

    /// Records the load that a server stated in an answer or refusal to this daemon.
    pub(super) fn stated(&mut self, now_us: MonoTime, index: usize, held: u32, slots: u32) {
        let header = Header { as_of_us: now_us, held, slots: slots.max(1) };
        let known = self.known(index);
        known.apply(header);
        known.unsent_header = Some(header);
        self.mark_unsent(index);
    }

    /// Records that a server refused a call for lack of room.
    pub(super) fn refused_full(&mut self, now_us: MonoTime, index: usize) {
        let known = self.known(index);
        known.refused_us = Some(now_us);
        known.refused_at = known.header.map(|header| header.held.max(header.slots));
    }

    /// Adds what another daemon observed.
    pub(super) fn receive(&mut self, now_us: MonoTime, index: usize, sample: &ServerSample) {
        if !sample.is_plausible() {
            return;
        }
        let known = self.known(index);
        known.service_ms.record(sample.busy_ms.into(), sample.answers.into());
        let age_ms = Millis(sample.age_ms.into());
        if sample.slots > 0 && age_ms <= HEADER_AGE_MAX_MS {
            let as_of_us = MonoTime(now_us.0.saturating_sub(Micros::from(age_ms).0));
            known.apply(Header { as_of_us, held: sample.in_flight, slots: sample.slots });
        }
    }

    /// Forgets a server that has left or is another one under the same name.
    pub(super) fn forget(&mut self, index: usize) {
        *self.known(index) = Known::default();
        self.unsent.retain(|&unsent| unsent != index);
    }

    /// Removes and returns the observations for the next report.
    pub(super) fn take_unsent<'a, Server>(&mut self, now_us: MonoTime, server: Server) -> Vec<ServerSample>
    where
        Server: Fn(usize) -> &'a BackendServerId,
    {
        let count = self.unsent.len().min(REPORTED_SERVERS_MAX);
        let indices: Vec<usize> = self.unsent.drain(..count).collect();
        let samples = indices.into_iter().map(|index| {
            let known = &mut self.known[index];
            known.is_unsent = false;
            let observed = std::mem::take(&mut known.unsent);
            let header = known.unsent_header.take().map(|header| (header, now_us.since(header.as_of_us)));
            let header = header.filter(|(_, age_us)| *age_us <= Micros::from(HEADER_AGE_MAX_MS));
            let (in_flight, slots, age_ms) = header.map_or((0, 0, Millis::ZERO), |(header, age_us)| {
                (header.held, header.slots, age_us.to_millis_ceil())
            });
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded, positive")]
            let (answers, busy_ms) = (observed.weight.round() as u32, observed.sum as f32);
            let age_ms = u32::try_from(age_ms.0).unwrap_or(u32::MAX);
            ServerSample { server: server(index).clone(), answers, busy_ms, in_flight, slots, age_ms }
        });
        samples.collect()
    }

    /// Lets observations decay and checks whether the servers are uneven, at intervals.
    pub(super) fn refresh(&mut self, now_us: MonoTime) {
        if now_us < self.refreshed_us + REFRESH_US {
            return;
        }
        let by = (-(now_us.since(self.refreshed_us).0 as f64) / HALF_LIFE_US).exp2();
        self.refreshed_us = now_us;
        for known in &mut self.known {
            known.service_ms = known.service_ms.decayed(by);
            known.load = known.load.decayed(by);
        }
        self.pool = self.pool_means();
        let mut observed = self.known.iter().filter(|known| known.service_ms.weight >= POOL_WEIGHT);
        self.is_load_stated = observed.all(|known| known.header.is_some());
        if self.is_uneven() {
            self.uneven_us = Some(now_us);
        } else if self.uneven_us.is_some_and(|uneven_us| now_us >= uneven_us + EVEN_US) {
            self.uneven_us = None;
        }
    }

    fn pool_means(&self) -> Option<Pool> {
        let sum = |of: fn(&Known) -> Mean| {
            self.known.iter().map(of).fold(Mean::default(), |sum, mean| Mean {
                sum: sum.sum + mean.sum,
                weight: sum.weight + mean.weight,
            })
        };
        let service_ms = sum(|known| known.service_ms).value().filter(|service_ms| *service_ms > 0.0)?;
        Some(Pool { service_ms, load: sum(|known| known.load).value().unwrap_or_default() })
    }

    /// Whether the servers with enough observations differ in speed or load.
    fn is_uneven(&self) -> bool {
        let range = |of: fn(&Known) -> Mean| {
            let known = self.known.iter().map(of).filter(|mean| mean.weight >= POOL_WEIGHT);
            range(known.filter_map(Mean::value))
        };
        let by_speed = range(|known| known.service_ms);
        let by_load = range(|known| known.load).filter(|(_, most)| *most >= COMPARED_LOAD_MIN);
        by_speed.is_some_and(|(fastest, slowest)| slowest >= fastest * UNEVEN_SPEEDS)
            || by_load.is_some_and(|(least, most)| most >= least * UNEVEN_LOADS)
    }

    /// Whether servers are chosen by their loads. Where a server states none, its response times include the wait for a
    /// slot and are seconds old: they would send calls back and forth between servers with full and empty queues.
    pub(super) fn is_in_use(&self) -> bool {
        self.uneven_us.is_some() && self.is_load_stated && self.pool.is_some()
    }

    /// The use, if it has changed since the previous call.
    pub(super) fn take_use_change(&mut self) -> Option<ServerLoadUse> {
        let is_in_use = self.is_in_use();
        if std::mem::replace(&mut self.is_use_reported, is_in_use) == is_in_use {
            return None;
        }
        let times: Vec<f64> = self.known.iter().filter_map(|known| self.expected_of(known)).collect();
        let (fastest, slowest) = range(times.iter().copied()).unwrap_or_default();
        let servers = u32::try_from(times.len()).unwrap_or(u32::MAX);
        Some(ServerLoadUse {
            is_in_use,
            servers,
            slowest_ms: millis_ceil(slowest),
            fastest_ms: millis_ceil(fastest),
        })
    }

    /// Expected response time of a server at its mean load; `None` without enough observations.
    fn expected_of(&self, known: &Known) -> Option<f64> {
        let pool = self.pool.filter(|_| known.service_ms.weight >= POOL_WEIGHT)?;
        let load = known.load.value_with(pool.load);
        Some(known.service_ms.value_with(pool.service_ms) * load.max(1.0))
    }

    /// Expected response time of a server in the own data centre now; `None` if nothing is known of it.
    pub(super) fn expected_ms(&self, now_us: MonoTime, index: usize, in_flight: u32) -> Option<Millis> {
        let pool = self.pool?;
        let known = self.known.get(index).filter(|known| known.service_ms.weight > 0.0)?;
        Some(millis_ceil(Estimate::new(now_us, known, pool, in_flight).response_ms()))
    }

    /// Time until which a server is known to have a full queue; `None` if it may have room.
    ///
    /// Without this, a call in a burst is refused by all servers one after the other. A queue counts as full while the
    /// server has lately held as many requests as it refused at, and its newest header states nearly as many: what it
    /// frees with an answer is taken before the next call arrives. This counts for the time that the queue takes to
    /// run empty, within which no slot becomes idle even if no daemon sends a call.
    pub(super) fn full_until(&self, now_us: MonoTime, index: usize) -> Option<MonoTime> {
        let (known, pool) = (self.known.get(index)?, self.pool?);
        let (header, refused_at) = (known.header?, known.refused_at?);
        let is_lately = known.refused_us.is_some_and(|refused_us| now_us < refused_us + FULL_MEMORY_MS);
        if !is_lately || header.held + header.slots / FULL_SLOTS_DIVISOR < refused_at {
            return None;
        }
        let waiting = f64::from(refused_at.saturating_sub(header.slots));
        let drain_ms = known.service_ms.value_with(pool.service_ms) * waiting / f64::from(header.slots);
        let until_us = header.as_of_us + millis_floor(drain_ms);
        (now_us < until_us).then_some(until_us)
    }

    /// Chooses a server at random, in proportion to what each can still take within the target, and of two such
    /// draws the one with the lower expected response time.
    ///
    /// Reports are 0.1 to 0.7 s old at all daemons. If each daemon took the best server, the calls of all would go
    /// to the same one until the next reports.
    pub(super) fn choose(
        &self,
        now_us: MonoTime,
        candidates: &[Candidate],
        target_ms: Option<Millis>,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let pool = self.pool?;
        let unknown = Known::default();
        let options = candidates.iter().map(|candidate| {
            let known = self.known.get(candidate.index).unwrap_or(&unknown);
            let estimate = Estimate::new(now_us, known, pool, candidate.in_flight);
            let way_ms = if candidate.is_local { 0.0 } else { REMOTE_ROUND_TRIP_MS };
            let room = target_ms.map_or(0.0, |target_ms| estimate.room_within(target_ms.0 as f64 - way_ms));
            let response_ms = estimate.response_ms() + way_ms;
            ServerOption { candidate: *candidate, estimate, way_ms, room, response_ms }
        });
        let mut options: Vec<ServerOption> = options.collect();
        if self.stays_local(pool, &options, rng) {
            options.retain(|option| option.candidate.is_local);
        }
        // Late answers have some value, so a call is sent although no server answers it in time.
        if !options.iter().any(|option| option.room > 0.0) {
            for option in &mut options {
                option.room = 1.0 / option.response_ms.max(f64::MIN_POSITIVE);
            }
        }
        let (one, other) = (draw(&options, rng)?, draw(&options, rng)?);
        let best = if one.response_ms <= other.response_ms { one } else { other };
        Some(best.candidate.index)
    }

    /// Whether a call stays in the own data centre: its best server is at most the round trip slower than that of the
    /// others, and its servers have slots to spare. Bytes between data centres are priced. Speeds are compared in whole
    /// steps: those of equal servers differ by more than a round trip by chance.
    fn stays_local(&self, pool: Pool, options: &[ServerOption], rng: &mut StdRng) -> bool {
        let fastest_ms = options.iter().map(|option| option.estimate.service_ms).min_by(f64::total_cmp);
        let fastest_ms = fastest_ms.unwrap_or_default();
        let best_of = |is_local: bool| {
            let of_centre = options.iter().filter(|option| option.candidate.is_local == is_local);
            let times = of_centre.map(|it| it.estimate.in_steps_of(fastest_ms).response_ms() + it.way_ms);
            times.min_by(f64::total_cmp)
        };
        let (Some(local), Some(remote)) = (best_of(true), best_of(false)) else {
            return false;
        };
        if local > remote {
            return false;
        }
        let loads = options.iter().filter(|option| option.candidate.is_local).map(|option| {
            let known = self.known.get(option.candidate.index);
            known.map_or(pool.load, |known| known.load.value_with(pool.load))
        });
        let mut mean = Mean::default();
        loads.for_each(|load| mean.record(load, 1.0));
        let spare = (1.0 - mean.value().unwrap_or_default()) / (1.0 - LOCAL_LOAD_MAX);
        rng.random::<f64>() < spare
    }
}

/// Server among which a choice is made.
#[derive(Clone, Copy, Debug)]
struct ServerOption {
    candidate: Candidate,
    estimate: Estimate,
    /// Additional round trip to it.
    way_ms: f64,
    /// Number of requests that it can still take within the target.
    room: f64,
    /// Expected response time with the way to it.
    response_ms: f64,
}

/// Draws a server in proportion to its room.
fn draw(options: &[ServerOption], rng: &mut StdRng) -> Option<ServerOption> {
    let sum: f64 = options.iter().map(|option| option.room).sum();
    let mut left = rng.random::<f64>() * sum;
    let drawn = options.iter().find(|option| {
        left -= option.room;
        left < 0.0
    });
    drawn.or(options.last()).copied()
}

/// What is expected of one server.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    service_ms: f64,
    held: f64,
    slots: u32,
}

impl Estimate {
    /// The newest header counts less the older it is; the mean load of the server has the rest of the weight. Of a
    /// server that has not stated its load yet, only own calls are known.
    fn new(now_us: MonoTime, known: &Known, pool: Pool, in_flight: u32) -> Self {
        let service_ms = known.service_ms.value_with(pool.service_ms);
        let Some(header) = known.header else {
            return Self { service_ms, held: f64::from(in_flight), slots: 1 };
        };
        let weight = (-(now_us.since(header.as_of_us).0 as f64) / HEADER_HALF_LIFE_US).exp2();
        let mean = known.load.value_with(pool.load) * f64::from(header.slots);
        let since = known.own_starts.len() as f64;
        let held = weight * f64::from(header.held) + (1.0 - weight) * mean + since;
        Self { service_ms, held, slots: header.slots }
    }

    /// The same with the service time rounded down to whole steps from that of the fastest server.
    fn in_steps_of(self, fastest_ms: f64) -> Self {
        let fastest_ms = fastest_ms.max(f64::MIN_POSITIVE);
        let steps = (self.service_ms / fastest_ms).log(UNEVEN_SPEEDS).floor();
        Self { service_ms: fastest_ms * UNEVEN_SPEEDS.powf(steps), ..self }
    }

    fn response_ms(&self) -> f64 {
        self.service_ms * waiting_factor(self.held, self.slots)
    }

    /// Number of requests that it can still take so that each is answered within `target_ms`.
    fn room_within(&self, target_ms: f64) -> f64 {
        let most = f64::from(self.slots) * target_ms / self.service_ms.max(f64::MIN_POSITIVE);
        if target_ms < self.service_ms { 0.0 } else { (most - self.held).max(0.0) }
    }
}

/// Ratio of the response time of one more request to that without waiting for a slot.
fn waiting_factor(held: f64, slots: u32) -> f64 {
    ((held + 1.0) / f64::from(slots.max(1))).max(1.0)
}

/// Smallest and largest of some values.
fn range(values: impl Iterator<Item = f64>) -> Option<(f64, f64)> {
    values.fold(None, |range, value| {
        let (least, most) = range.unwrap_or((value, value));
        Some((least.min(value), most.max(value)))
    })
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn millis_floor(span_ms: f64) -> Millis {
    Millis(span_ms as u64)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn millis_ceil(span_ms: f64) -> Millis {
    Millis(span_ms.ceil() as u64)
}
