//! Generation of request loads.

use hibiscusvale_core::sched::{Arrival, PrefillStart};
use hibiscusvale_core::slots::QueueOrder;
use hibiscusvale_core::units::{Millis, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Placement method.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Placement {
    /// Least loaded of all servers by load reports that are half a second old.
    StaleReports,
    /// Better of two random servers, which are probed for their load.
    RandomTwo,
    /// Ledger with one watcher per server.
    #[default]
    Ledger,
}

/// Request stream of one partner.
#[derive(Clone, Debug)]
pub struct Source {
    pub name: String,
    /// Share of the capacity.
    pub load: f64,
    /// Surge: start and end in seconds, and the factor on the load.
    pub surge: Option<(u64, u64, f64)>,
    pub tight: f64,
    pub tight_ms: u64,
    pub loose_ms: u64,
    pub answer: u64,
    pub prompts: Prompts,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prompts {
    /// Log-uniform between 300 and 5,000 tokens.
    Mixed,
    /// A tenth very long, the others short.
    LongAndShort,
    /// Half of the prompts share the first 2,048 tokens.
    HotPrefix,
}

impl Default for Source {
    fn default() -> Self {
        Self {
            name: "a".to_owned(),
            load: 0.45,
            surge: None,
            tight: 0.5,
            tight_ms: 2_000,
            loose_ms: 5_000,
            answer: 170,
            prompts: Prompts::Mixed,
        }
    }
}

/// Faults of one run; times in seconds.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Prefill engine 0 is ten times slower.
    pub slow_prefill: bool,
    /// Decode engine 0 is ten times slower.
    pub slow_decode: bool,
    /// All engines are this many times slower; zero for none.
    pub slow_all: u64,
    /// Prefill engine 0 accepts requests and never answers, from this time on.
    pub unresponsive_prefill_at: Option<u64>,
    /// Decode engine 0 accepts requests and never answers, from this time on.
    pub unresponsive_decode_at: Option<u64>,
    /// Half of the daemons are replaced, one each second from this time on.
    pub replace_at: Option<u64>,
    /// Period without load reports.
    pub report_outage: Option<(u64, u64)>,
    /// Fraction of callers that disconnect within a second.
    pub leave_fraction: f64,
    /// Period in which the engines of one data centre (a quarter of each role) are unreachable.
    pub partition: Option<(u64, u64)>,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub placement: Placement,
    pub order: QueueOrder,
    pub start: PrefillStart,
    pub sources: Vec<Source>,
    pub faults: Faults,
    /// Time after which callers leave, if they do.
    pub caller_limit_ms: Option<u64>,
    /// Whether callers state that time.
    pub states_limit: bool,
    pub daemons: usize,
    pub prefills: usize,
    pub decodes: usize,
    pub seconds: u64,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            placement: Placement::Ledger,
            order: QueueOrder::FairDeadline,
            start: PrefillStart::AfterReservation,
            sources: two_partners(0.45, 0.45),
            faults: Faults::default(),
            caller_limit_ms: None,
            states_limit: false,
            daemons: 9,
            prefills: 4,
            decodes: 6,
            seconds: 60,
            seed: 7,
        }
    }
}

/// Two partners with these shares of the capacity.
pub fn two_partners(a: f64, b: f64) -> Vec<Source> {
    let first = Source { load: a, ..Source::default() };
    let second = Source { name: "b".to_owned(), load: b, ..Source::default() };
    vec![first, second]
}

/// Prefill time for one token.
pub const PREFILL_TOKEN_US: u64 = 125;
pub const PER_TOKEN_TARGET_MS: u64 = 60;
const MIXED: (f64, f64) = (300.0, 5_000.0);
const MICROS: f64 = 1_000_000.0;

/// Requests per second that the prefill engines can process, for mixed prompts.
pub fn capacity(scenario: &Scenario) -> f64 {
    let (low, high) = MIXED;
    let mean = (high - low) / (high / low).ln();
    scenario.prefills as f64 * MICROS / (mean * PREFILL_TOKEN_US as f64)
}

/// Planned arrival, with data unknown to the scheduler.
#[derive(Clone, Debug)]
pub struct PlannedArrival {
    pub at_us: u64,
    pub source: usize,
    pub daemon: usize,
    pub prompt: u64,
    pub blocks: Vec<u64>,
    pub tight: bool,
    pub answer: u64,
    pub disconnects_after_us: Option<u64>,
}

/// All arrivals of a run in order of time.
pub fn plan(scenario: &Scenario) -> Vec<PlannedArrival> {
    let mut planned = Vec::new();
    let capacity = capacity(scenario);
    for (index, source) in scenario.sources.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(scenario.seed ^ (index as u64 + 1) << 8);
        let mut at_us = 0.0;
        let end_us = scenario.seconds as f64 * MICROS;
        loop {
            let now_s = (at_us / MICROS) as u64;
            let surge = source.surge.filter(|&(from, until, _)| (from..until).contains(&now_s));
            let rate = source.load * capacity * surge.map_or(1.0, |(_, _, factor)| factor);
            at_us += -(1.0 - rng.random::<f64>()).ln() / rate * MICROS;
            if at_us >= end_us {
                break;
            }
            planned.push(planned_arrival(scenario, index, source, at_us as u64, &mut rng));
        }
    }
    planned.sort_by_key(|planned| planned.at_us);
    planned
}

fn planned_arrival(
    scenario: &Scenario,
    index: usize,
    source: &Source,
    at_us: u64,
    rng: &mut StdRng,
) -> PlannedArrival {
    let (low, high) = MIXED;
    let prompt = match source.prompts {
        Prompts::Mixed => low * (high / low).powf(rng.random::<f64>()),
        Prompts::LongAndShort if rng.random::<f64>() < 0.1 => 9_000.0,
        Prompts::LongAndShort => 800.0,
        Prompts::HotPrefix => 2_048.0 + 100.0 + 600.0 * rng.random::<f64>(),
    } as u64;
    let hot = source.prompts == Prompts::HotPrefix && rng.random::<f64>() < 0.5;
    let unique = rng.random::<u64>() | 1;
    let block = |number: u64| {
        let shared = hot && number < 32;
        if shared { 0xabcd_0000 + number } else { unique.wrapping_add(number.wrapping_mul(0x9e37_79b9)) }
    };
    let blocks = (0..prompt / super::engines::BLOCK_TOKENS).map(block).collect();
    let disconnects = rng.random::<f64>() < scenario.faults.leave_fraction;
    PlannedArrival {
        at_us,
        source: index,
        daemon: rng.random_range(0..scenario.daemons),
        prompt,
        blocks,
        // A very long prompt cannot be prefilled within the tight target, so it uses the loose class.
        tight: prompt < 6_000 && rng.random::<f64>() < source.tight,
        answer: rng.random_range(source.answer / 2..=source.answer * 3 / 2),
        disconnects_after_us: disconnects.then(|| rng.random_range(1_000..1_000_000)),
    }
}

/// Arrival event of a planned arrival.
pub fn arrival(
    source: &Source,
    planned: &PlannedArrival,
    request_id: hibiscusvale_core::ids::RequestId,
) -> Arrival {
    let (class, target_ms) =
        if planned.tight { ("tight", source.tight_ms) } else { ("loose", source.loose_ms) };
    Arrival {
        request_id,
        partner: source.name.parse().unwrap(),
        class: class.parse().unwrap(),
        model: "m".parse().unwrap(),
        prompt_tokens: Tokens(planned.prompt),
        max_tokens: Tokens(source.answer * 2),
        blocks: planned.blocks.clone(),
        first_token_target_ms: Millis(target_ms),
        per_token_target_ms: Millis(PER_TOKEN_TARGET_MS),
        time_left_ms: None,
    }
}
