//! Results of a run as observed by the callers.

/// Results of one partner's requests. An answer is good if it met both targets.
#[derive(Clone, Debug, Default)]
pub struct PartnerOutcome {
    pub name: String,
    pub arrivals: u64,
    pub answered: u64,
    pub good: u64,
    pub refused: u64,
    pub failed: u64,
    /// Good answers by second of arrival.
    pub good_by_second: Vec<u64>,
}

impl PartnerOutcome {
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), ..Self::default() }
    }

    pub fn record_second(&mut self, second: usize, good: bool) {
        if self.good_by_second.len() <= second {
            self.good_by_second.resize(second + 1, 0);
        }
        self.good_by_second[second] += u64::from(good);
    }

    /// Share of the partner's requests that met both targets, in percent.
    pub fn goodput(&self) -> f64 {
        100.0 * self.good as f64 / self.arrivals.max(1) as f64
    }
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub partners: Vec<PartnerOutcome>,
    pub prefill_tokens: u64,
    pub wasted_tokens: u64,
    /// Prompt tokens processed per second, including cached ones.
    pub read_by_second: Vec<u64>,
    pub refused_after_prefill: u64,
    pub engine_refusals: u64,
    pub over_committed: u64,
    pub peak_link: u64,
    pub link: u64,
    pub unanswered: u64,
    /// Requests without an outcome within their callers' limit.
    pub without_outcome: u64,
    pub held_at_end: u64,
    pub lost_with_daemon: u64,
    pub retries: u64,
    pub turns_returned: u64,
    pub closed: u64,
    pub messages: u64,
    /// Time at which a ledger first closed its server.
    pub closed_at_us: Option<u64>,
    /// Wasted prefill tokens by cause, named as in the counters.
    pub wasted_by: Vec<(&'static str, u64)>,
    /// Answers that missed the first-token target, in the tight and the loose class.
    pub missed_first_token: [u64; 2],
    pub missed_per_token: u64,
}

impl Outcome {
    pub fn arrivals(&self) -> u64 {
        self.partners.iter().map(|partner| partner.arrivals).sum()
    }

    pub fn good(&self) -> u64 {
        self.partners.iter().map(|partner| partner.good).sum()
    }

    pub fn refused(&self) -> u64 {
        self.partners.iter().map(|partner| partner.refused).sum()
    }

    pub fn failed(&self) -> u64 {
        self.partners.iter().map(|partner| partner.failed).sum()
    }

    /// Share of all requests that met both targets, in percent.
    pub fn goodput(&self) -> f64 {
        100.0 * self.good() as f64 / self.arrivals().max(1) as f64
    }

    /// Share of the prefill work that was discarded or repeated, in percent.
    pub fn wasted(&self) -> f64 {
        100.0 * self.wasted_tokens as f64 / self.prefill_tokens.max(1) as f64
    }
}
