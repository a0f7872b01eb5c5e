//! Retry budget of one partner.

/// Retry budget that is filled by arrivals.
///
/// When a server fails its requests or a data centre is cut off, unlimited retries add load to the remaining
/// servers until those time out too, and the retry storm outlasts its cause. With a budget, retries add a
/// fixed fraction to the load. Each partner has its own budget, so that its failures do not use up the
/// retries of others.
#[derive(Clone, Copy, Debug)]
pub struct PartnerRetryBudget {
    /// Negative after a charge that could not be refused.
    hundredths: i64,
    burst_hundredths: i64,
    percent: i64,
}

const HUNDREDTHS_PER_RETRY: i64 = 100;

impl PartnerRetryBudget {
    /// Creates a full budget that each arrival fills by `percent` of a retry, up to `burst` retries.
    pub fn new(percent: u64, burst: u64) -> Self {
        let burst_hundredths = to_hundredths(burst);
        Self { hundredths: burst_hundredths, burst_hundredths, percent: saturating_i64(percent) }
    }

    /// Creates an empty budget. For budgets shared by several daemons: a daemon that restarts repeatedly
    /// would otherwise spend a full budget each time.
    pub fn empty(percent: u64, burst: u64) -> Self {
        Self { hundredths: 0, ..Self::new(percent, burst) }
    }

    /// Changes the retries earned per arrival and the maximum saved.
    pub fn configure(&mut self, percent: u64, burst: u64) {
        self.percent = saturating_i64(percent);
        self.burst_hundredths = to_hundredths(burst);
        self.hundredths = self.hundredths.min(self.burst_hundredths);
    }

    /// Credits one arrival.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(self.burst_hundredths);
    }

    /// Whether the budget covers `retries` retries.
    pub fn has(&self, retries: u64) -> bool {
        self.hundredths >= to_hundredths(retries)
    }

    /// Charges a retry that was already made and turned out not to be free. The debt is repaid by the next
    /// arrivals.
    pub fn charge(&mut self) {
        self.hundredths -= HUNDREDTHS_PER_RETRY;
    }

    /// Takes one retry; returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.hundredths >= HUNDREDTHS_PER_RETRY;
        if enough {
            self.hundredths -= HUNDREDTHS_PER_RETRY;
        }
        enough
    }
}

fn to_hundredths(retries: u64) -> i64 {
    saturating_i64(retries).saturating_mul(HUNDREDTHS_PER_RETRY)
}

fn saturating_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
