//! Quantities with units. Functions take and return these types instead of plain numbers.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The text is not a whole number of the unit.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{text:?} is not a whole number of {unit}")]
pub struct ParseQuantityError {
    text: String,
    unit: &'static str,
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Difference, or zero if `other` is larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.trim().trim_end_matches($unit).trim_end();
                digits
                    .parse()
                    .map(Self)
                    .map_err(|_| ParseQuantityError { text: text.to_owned(), unit: $unit })
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, rhs: Self) -> Self {
                Self(self.0.saturating_add(rhs.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, rhs: Self) {
                *self = *self + rhs;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, rhs: Self) -> Self {
                self.saturating_sub(rhs)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, rhs: Self) {
                *self = *self - rhs;
            }
        }
    };
}

quantity!(
    /// A number of tokens.
    Tokens, "tokens"
);
quantity!(
    /// A number of bytes.
    Bytes, "B"
);
quantity!(
    /// A rate of bytes.
    BytesPerSecond, "B/s"
);
quantity!(
    /// A rate of tokens.
    TokensPerSecond, "tokens/s"
);
quantity!(
    /// Currency of rate limits and budgets: thousandths of a retry, a request or a token.
    Credit, "thousandths"
);
quantity!(
    /// Refill rate of credit.
    CreditPerSecond, "thousandths/s"
);
quantity!(
    /// A duration in milliseconds, the unit of settings and targets.
    Millis, "ms"
);
quantity!(
    /// A duration in microseconds, the unit of internal calculations.
    Micros, "us"
);

/// Time in microseconds on this process's monotonic clock. It is not comparable between processes and is
/// therefore never sent in a message.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonoTime(pub u64);

const MICROS_PER_MILLI: u64 = 1_000;

impl From<Millis> for Micros {
    fn from(span: Millis) -> Self {
        Self(span.0.saturating_mul(MICROS_PER_MILLI))
    }
}

impl From<Millis> for Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Micros> for Duration {
    fn from(span: Micros) -> Self {
        Self::from_micros(span.0)
    }
}

impl Micros {
    /// Duration in whole milliseconds, rounded up, so that a wait reported to a caller is never too short.
    pub fn to_millis_ceil(self) -> Millis {
        Millis(self.0.div_ceil(MICROS_PER_MILLI))
    }

    /// Duration in whole milliseconds, rounded down, so that time left is never overestimated.
    pub fn to_millis_floor(self) -> Millis {
        Millis(self.0 / MICROS_PER_MILLI)
    }
}

impl MonoTime {
    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.0)
    }
}

impl Add<Micros> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Micros) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Add<Millis> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Millis) -> Self {
        self + Micros::from(rhs)
    }
}
