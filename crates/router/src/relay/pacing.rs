//! When this daemon sends messages to the others, and how often it reads theirs.
//!
//! Each request to a model changes what a daemon holds at the engines five times, and each change goes to all
//! other daemons. With hundreds of daemons, every host would spend its share of a core on sending and
//! receiving, most of all in a burst, and callers would wait. So changes that happen close together are
//! batched, changes that nobody waits for go with the next message, and the interval between messages grows
//! with the number of recipients. It also grows where messages would fill the host's link for long: a daemon that
//! serves the callers of many others changes its state all the time.

use std::time::Duration;

use hibiscusvale_core::units::{Bytes, BytesPerSecond};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How soon the other daemons need to learn of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// A slot was taken or released: other daemons choose engines by it.
    Soon,
    /// A further step of a request that keeps its slot.
    Later,
}

impl Urgency {
    fn window(self) -> Duration {
        match self {
            Self::Soon => BATCH_WINDOW,
            Self::Later => BATCH_WINDOW_LATER,
        }
    }
}

/// Batching window of changes. It is short compared with the duration of a prefill, within which a wrong
/// choice of engine could still be corrected.
const BATCH_WINDOW: Duration = Duration::from_millis(3);

/// Batching window of changes that do not affect the choices of others. A completed prefill is followed by
/// the first event of the answer within this time.
const BATCH_WINDOW_LATER: Duration = Duration::from_millis(30);

/// Maximum interval between two messages; losing three in a row is rare.
const MESSAGE_INTERVAL_MAX: Duration = Duration::from_millis(700);

/// Minimum interval between two messages, per recipient: a hundred daemons each get at most forty messages a
/// second.
const SEND_INTERVAL_PER_DAEMON: Duration = Duration::from_micros(250);

/// Batching time of received messages, per sender. It is shorter than the interval between the messages of
/// one sender.
const RECEIVE_PAUSE_PER_DAEMON: Duration = Duration::from_micros(50);

/// Shortest pause that is made; timers are not finer.
const RECEIVE_PAUSE_MIN: Duration = Duration::from_millis(1);

/// Bytes of the headers of a datagram (IPv4 and UDP).
const DATAGRAM_HEADER: Bytes = Bytes(28);

/// A message that was sent to a number of daemons.
#[derive(Clone, Copy, Debug)]
pub struct SentMessage {
    /// When.
    pub at: Instant,
    /// Number of recipients.
    pub daemons: u32,
    /// Size of the message.
    pub size: Bytes,
}

/// Time for which messages may fill the rate in advance: a few changes in a row go out at once, as long as they are rare.
const BURST: Duration = Duration::from_secs(1);

/// What the messages to the other daemons have taken of the host's link.
#[derive(Clone, Copy, Debug)]
pub struct LinkUse {
    rate: BytesPerSecond,
    /// When the messages sent so far will have passed at the rate.
    passed_at: Instant,
}

impl LinkUse {
    /// Nothing was sent yet; messages may take `rate`.
    pub fn new(now: Instant, rate: BytesPerSecond) -> Self {
        Self { rate, passed_at: now }
    }

    /// Records a message.
    pub fn record(&mut self, sent: SentMessage) {
        let bytes = (sent.size + DATAGRAM_HEADER).0 * u64::from(sent.daemons);
        let passing = Duration::from_secs_f64(bytes as f64 / self.rate.0.max(1) as f64);
        // Periodic messages go out whatever the rate.
        self.passed_at = (self.passed_at.max(sent.at) + passing).min(sent.at + BURST + MESSAGE_INTERVAL_MAX);
    }

    /// Whether the next message has to wait, and until when.
    fn busy_until(&self) -> Option<Instant> {
        self.passed_at.checked_sub(BURST)
    }
}

/// Schedules the messages to the other daemons.
#[derive(Debug)]
pub struct MessagePacer {
    rate: BytesPerSecond,
    link_use: Mutex<LinkUse>,
    wanted: Mutex<Option<Instant>>,
    rescheduled: Notify,
}

impl MessagePacer {
    /// Creates a pacer for messages that may take `rate` of the link.
    pub fn new(rate: BytesPerSecond) -> Self {
        let link_use = Mutex::new(LinkUse::new(Instant::now(), rate));
        Self { rate, link_use, wanted: Mutex::default(), rescheduled: Notify::new() }
    }

    /// Maximum size of the report of load in a message to this many daemons.
    pub fn report_limit(&self, daemons: u32) -> Bytes {
        report_limit(self.rate, daemons)
    }

    /// Schedules a message for a change that the others need to learn of.
    pub fn schedule(&self, now: Instant, urgency: Urgency) {
        let at = now + urgency.window();
        let mut wanted = self.wanted.lock();
        if wanted.is_none_or(|known| at < known) {
            *wanted = Some(at);
            self.rescheduled.notify_one();
        }
    }

    /// Waits until a message is due after the `last` one.
    pub async fn due(&self, last: SentMessage) {
        let link_use = {
            let mut link_use = self.link_use.lock();
            link_use.record(last);
            *link_use
        };
        loop {
            let wanted = *self.wanted.lock();
            let at = next_send_at(wanted, last, &link_use);
            tokio::select! {
                () = tokio::time::sleep_until(at) => break,
                () = self.rescheduled.notified() => {}
            }
        }
        *self.wanted.lock() = None;
    }
}

/// Time of the next message after the `last` one, if one is `wanted` at some time.
pub fn next_send_at(wanted: Option<Instant>, last: SentMessage, link_use: &LinkUse) -> Instant {
    let latest = last.at + MESSAGE_INTERVAL_MAX;
    let earliest = last.at + SEND_INTERVAL_PER_DAEMON * last.daemons;
    // Others take a daemon without messages for dead, however slow its link.
    let earliest = link_use.busy_until().map_or(earliest, |busy_until| earliest.max(busy_until.min(latest)));
    wanted.map_or(latest, |wanted| wanted.min(latest)).max(earliest)
}

/// Maximum size of the report of load in a message to `daemons` recipients. Periodic messages go out whatever the rate,
/// so that a full report to each of 985 daemons would fill a link of 10 Mbit/s; reports get at most half of what
/// messages may take of the link, and the rest of a message the other half.
pub fn report_limit(rate: BytesPerSecond, daemons: u32) -> Bytes {
    let interval_ms = u64::try_from(MESSAGE_INTERVAL_MAX.as_millis()).unwrap_or(u64::MAX);
    let bytes = rate.0.saturating_mul(interval_ms) / 1_000 / REPORT_DIVISOR;
    Bytes(bytes / u64::from(daemons.max(1)))
}

/// Divisor of the bytes that periodic messages may take: the quotient is left to the reports of load.
const REPORT_DIVISOR: u64 = 2;

/// Pause after reading messages of `daemons` senders, so that one read takes several; `None` where a pause
/// would be too short.
pub fn receive_pause(daemons: u32) -> Option<Duration> {
    Some(RECEIVE_PAUSE_PER_DAEMON * daemons).filter(|pause| *pause >= RECEIVE_PAUSE_MIN)
}
