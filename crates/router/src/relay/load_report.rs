//! Load that a daemon reports to the others with each message.
//!
//! The report follows the message in the same datagram. Daemons of earlier versions ignore trailing bytes, and
//! a datagram without a report is valid, so that daemons of both versions work together.

use hibiscusvale_core::relay::engines::{MemoryReport, SpeedSample};
use hibiscusvale_core::shares::RateReport;
use serde::{Deserialize, Serialize};

use super::message::Datagram;

/// Load of the services as one daemon sees it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Plain services: rates by organisation.
    pub rates: Vec<(String, RateReport)>,
    /// Engine services: memory held and waiting, by organisation and class.
    pub memory: Vec<(String, MemoryReport)>,
    /// Engine services: speeds observed since the previous message.
    pub speeds: Vec<(String, Vec<SpeedSample>)>,
}

impl LoadReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty() && self.memory.is_empty() && self.speeds.is_empty()
    }
}

/// Encodes a datagram, followed by the report unless it is empty.
///
/// # Errors
///
/// The error of the encoder.
pub fn encode(datagram: &Datagram, report: &LoadReport) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(datagram)?;
    if !report.is_empty() {
        bytes.extend(postcard::to_stdvec(report)?);
    }
    Ok(bytes)
}

/// Decodes a datagram and the report that follows it. A report that cannot be decoded is dropped: the message
/// before it is valid.
///
/// # Errors
///
/// The error of the decoder if the datagram itself is not valid.
pub fn decode(bytes: &[u8]) -> Result<(Datagram, Option<LoadReport>), postcard::Error> {
    let (datagram, rest) = postcard::take_from_bytes(bytes)?;
    let report = if rest.is_empty() { None } else { postcard::from_bytes(rest).ok() };
    Ok((datagram, report))
}
