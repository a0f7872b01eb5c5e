//! Budget of one partner's retries.

/// Retries are paid for by arrivals.
///
/// Load: a server that fails what it is given, or a data centre that is cut off. Harm prevented: each failed
/// request comes back as new work, the servers that remain get more of it, time out in turn, and the storm
/// outlives its cause. With a budget, retries add a fixed part to the load and no more. One budget for each
/// partner, so that one partner's failures do not use up the other's retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Below zero after a charge that could not be refused.
    hundredths: i64,
    burst_hundredths: i64,
    percent: i64,
}

const WHOLE: i64 = 100;

impl RetryBudget {
    /// A full budget that each arrival fills by `percent` of a retry, up to `burst` retries.
    pub fn new(percent: u64, burst: u64) -> Self {
        let burst_hundredths = whole(burst);
        Self { hundredths: burst_hundredths, burst_hundredths, percent: signed(percent) }
    }

    /// An empty budget, filled in the same way. For budgets that several daemons share: a daemon that starts
    /// again and again would otherwise spend a full one each time.
    pub fn empty(percent: u64, burst: u64) -> Self {
        Self { hundredths: 0, ..Self::new(percent, burst) }
    }

    /// Changes what arrivals pay for and what is saved up at most.
    pub fn configure(&mut self, percent: u64, burst: u64) {
        self.percent = signed(percent);
        self.burst_hundredths = whole(burst);
        self.hundredths = self.hundredths.min(self.burst_hundredths);
    }

    /// A request arrived.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(self.burst_hundredths);
    }

    /// Whether so many retries could be taken.
    pub fn has(&self, retries: u64) -> bool {
        self.hundredths >= whole(retries)
    }

    /// Takes one retry that was made already: something that was free by itself came to count. What is owed is paid
    /// off by the next arrivals.
    pub fn charge(&mut self) {
        self.hundredths -= WHOLE;
    }

    /// Takes one retry; false when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.hundredths >= WHOLE;
        if enough {
            self.hundredths -= WHOLE;
        }
        enough
    }
}

fn whole(retries: u64) -> i64 {
    signed(retries).saturating_mul(WHOLE)
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
