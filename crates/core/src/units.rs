//! Sizes, rates and times. A number without its unit in the type does not cross a function boundary.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A quantity that could not be read.
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
            /// Nothing of it.
            pub const ZERO: Self = Self(0);

            /// Difference, or zero where `other` is larger.
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
    /// What limits are paid in: thousandths of a further try, of a request or of a token.
    Credit, "thousandths"
);
quantity!(
    /// A rate of credit.
    CreditPerSecond, "thousandths/s"
);
quantity!(
    /// A span of time in milliseconds, as settings and targets state it.
    Millis, "ms"
);
quantity!(
    /// A span of time in microseconds, as decisions reckon it.
    Micros, "us"
);

/// A point in time: microseconds on a clock that never goes back, of one process. It must not be compared
/// with a point of another process, so it never travels in a message.
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
    /// Whole milliseconds in the span, rounded up: a wait told to a caller is never too short.
    pub fn to_millis_ceil(self) -> Millis {
        Millis(self.0.div_ceil(MICROS_PER_MILLI))
    }
}

impl MonoTime {
    /// Time from `earlier` to this point, or zero where `earlier` is later.
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
