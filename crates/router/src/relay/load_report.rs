//! Load that a daemon reports to the others with each message.
//!
//! The report of rates and memory follows the message in the same datagram, and further parts follow it, each with its
//! kind and its length. Daemons of earlier versions ignore trailing bytes, a decoder skips the kinds that it does not know,
//! and a datagram without a report is valid, so that daemons of all versions work together.

use std::cmp::Reverse;

use hibiscusvale_core::relay::engines::{DataCentreReport, MemoryReport, SpeedSample};
use hibiscusvale_core::sched::ServerSample;
use hibiscusvale_core::shares::RateReport;
use hibiscusvale_core::units::Bytes;
use serde::{Deserialize, Serialize};

use super::message::{Datagram, MESSAGE_LIMIT_BYTES};

/// Numbers of entries per service to which a report is cut, in this order, until it fits.
const CUT_ENTRIES: [usize; 5] = [16, 8, 4, 2, 1];

/// Bytes for the lengths of the three lists, each of fewer than 2^14 entries.
const LIST_LENGTH_BYTES: usize = 6;

/// Bytes for the length of a list or name in a part, of fewer than 2^14 entries.
const LENGTH_BYTES: usize = 2;

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

/// Observations of plain servers since the previous message, by service.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerReport {
    /// Services with their servers.
    pub servers: Vec<(String, Vec<ServerSample>)>,
}

/// What follows a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// Rates, memory and engine speeds.
    pub load: LoadReport,
    /// Loads and speeds of plain servers.
    pub servers: ServerReport,
    /// Engine services in fleets whose messages stay within a data centre: loads of data centres.
    pub data_centres: Vec<(String, DataCentreReport)>,
}

/// A part that follows the load report.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Part {
    /// Kind of its content. Numbers are not reused.
    kind: u16,
    content: Vec<u8>,
}

/// Kind of the part with the loads of plain servers.
const SERVERS_KIND: u16 = 1;

/// Kind of the part with the loads of data centres.
const DATA_CENTRES_KIND: u16 = 2;

/// Bytes of a part beside its content: its kind, and a length below 2^14.
const PART_HEADER_BYTES: usize = 3;

impl LoadReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty() && self.memory.is_empty() && self.speeds.is_empty()
    }

    /// The same report with at most `count` organisations and engines per service: those with the highest rates and
    /// the most memory. The rates of the others are summed up.
    fn cut_entries(&self, count: usize) -> Self {
        let mut report = self.clone();
        for (_, rates) in &mut report.rates {
            rates.demand.sort_by(|(_, one), (_, other)| other.total_cmp(one));
            let beyond = rates.demand.split_off(rates.demand.len().min(count));
            rates.other_demand += beyond.iter().map(|(_, rate)| rate).sum::<f32>();
        }
        for (_, memory) in &mut report.memory {
            memory.organisations.sort_by_key(|it| Reverse(it.held.0.saturating_add(it.waiting.0)));
            memory.organisations.truncate(count);
        }
        for (_, samples) in &mut report.speeds {
            samples.truncate(count);
        }
        report
    }

    /// The services that fit into `room` bytes, of each kind in turn. `turn` selects the first one, so that successive
    /// messages report different services.
    fn cut_services(&self, room: usize, turn: usize) -> Result<Self, postcard::Error> {
        let mut report = Self::default();
        let mut left = room.saturating_sub(LIST_LENGTH_BYTES);
        let longest = self.rates.len().max(self.memory.len()).max(self.speeds.len());
        for at in 0..longest {
            move_if_fits(&self.rates, &mut report.rates, at, turn, &mut left)?;
            move_if_fits(&self.memory, &mut report.memory, at, turn, &mut left)?;
            move_if_fits(&self.speeds, &mut report.speeds, at, turn, &mut left)?;
        }
        Ok(report)
    }
}

/// Copies the entry that is at `at` after a rotation by `turn`, if it fits into the bytes `left`.
fn move_if_fits<Entry>(
    from: &[Entry],
    to: &mut Vec<Entry>,
    at: usize,
    turn: usize,
    left: &mut usize,
) -> Result<(), postcard::Error>
where
    Entry: Clone + Serialize,
{
    if at < from.len() {
        let entry = &from[at.wrapping_add(turn) % from.len()];
        let size = postcard::to_stdvec(entry)?.len();
        if size <= *left {
            *left -= size;
            to.push(entry.clone());
        }
    }
    Ok(())
}

/// Encodes a report in at most `room` bytes; `None` if nothing is left of it.
fn encode_report(report: &LoadReport, room: usize, turn: usize) -> Result<Option<Vec<u8>>, postcard::Error> {
    if report.is_empty() {
        return Ok(None);
    }
    let bytes = postcard::to_stdvec(report)?;
    if bytes.len() <= room {
        return Ok(Some(bytes));
    }
    for count in CUT_ENTRIES {
        let bytes = postcard::to_stdvec(&report.cut_entries(count))?;
        if bytes.len() <= room {
            return Ok(Some(bytes));
        }
    }
    let report = report.cut_entries(1).cut_services(room, turn)?;
    if report.is_empty() { Ok(None) } else { postcard::to_stdvec(&report).map(Some) }
}

/// The samples that fit into `room` bytes; `None` if there are none. `turn` selects the first one, so that successive
/// messages report different servers.
fn encode_servers(
    report: &ServerReport,
    room: usize,
    turn: usize,
) -> Result<Option<Vec<u8>>, postcard::Error> {
    let samples = report.servers.iter().flat_map(|(name, samples)| samples.iter().map(move |it| (name, it)));
    let samples: Vec<(&String, &ServerSample)> = samples.collect();
    let first = turn.checked_rem(samples.len()).unwrap_or_default();
    let mut cut = ServerReport::default();
    let mut left = room.saturating_sub(LENGTH_BYTES);
    for (name, sample) in samples[first..].iter().chain(&samples[..first]) {
        let known = cut.servers.iter().position(|(known, _)| known == *name);
        let name_size = if known.is_some() { 0 } else { name.len() + 2 * LENGTH_BYTES };
        let size = postcard::to_stdvec(sample)?.len() + name_size;
        if size > left {
            continue;
        }
        left -= size;
        match known {
            Some(at) => cut.servers[at].1.push((*sample).clone()),
            None => cut.servers.push(((*name).clone(), vec![(*sample).clone()])),
        }
    }
    if cut.servers.is_empty() { Ok(None) } else { postcard::to_stdvec(&cut).map(Some) }
}

/// Encodes the services that fit into `room` bytes, the one at `turn` first; `None` if none does. Of a service with too
/// many guests the loads go alone: nothing spills over without them.
fn encode_data_centres(
    services: &[(String, DataCentreReport)],
    room: usize,
    turn: usize,
) -> Result<Option<Vec<u8>>, postcard::Error> {
    let mut left = room.saturating_sub(LENGTH_BYTES);
    let mut fitting = Vec::with_capacity(services.len());
    for at in 0..services.len() {
        let (name, report) = &services[at.wrapping_add(turn) % services.len()];
        let loads_only = DataCentreReport { guests: Vec::new(), ..report.clone() };
        for candidate in [report.clone(), loads_only] {
            let entry = (name.clone(), candidate);
            let size = postcard::to_stdvec(&entry)?.len();
            if size <= left {
                left -= size;
                fitting.push(entry);
                break;
            }
        }
    }
    if fitting.is_empty() { Ok(None) } else { postcard::to_stdvec(&fitting).map(Some) }
}

/// Encodes a datagram, followed by the reports that are not empty.
///
/// The reports together take at most `report_limit`, and no more than a receiver's buffer has left: among hundreds of
/// daemons with many services or organisations the reports are cut, not the message. Loads of data centres and of plain
/// servers get what the report of rates and memory leaves. `turn` is to differ between successive messages; it selects what
/// is left out.
///
/// # Errors
///
/// The error of the encoder.
pub fn encode(
    datagram: &Datagram,
    reports: &Reports,
    report_limit: Bytes,
    turn: u64,
) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(datagram)?;
    let limit = usize::try_from(report_limit.0).unwrap_or(usize::MAX);
    let room = MESSAGE_LIMIT_BYTES.saturating_sub(bytes.len() + 1).min(limit);
    let turn = usize::try_from(turn).unwrap_or_default();
    let load = encode_report(&reports.load, room, turn)?;
    // Parts are found behind the report of the load, even if that is empty.
    let before_parts = load.clone().map_or_else(|| postcard::to_stdvec(&LoadReport::default()), Ok)?;
    let mut left = room.saturating_sub(before_parts.len());
    let mut parts = Vec::new();
    let content = encode_data_centres(&reports.data_centres, left.saturating_sub(PART_HEADER_BYTES), turn)?;
    if let Some(content) = content {
        parts.extend(postcard::to_stdvec(&Part { kind: DATA_CENTRES_KIND, content })?);
    }
    left = left.saturating_sub(parts.len());
    if let Some(content) = encode_servers(&reports.servers, left.saturating_sub(PART_HEADER_BYTES), turn)? {
        parts.extend(postcard::to_stdvec(&Part { kind: SERVERS_KIND, content })?);
    }
    if parts.is_empty() {
        bytes.extend(load.unwrap_or_default());
    } else {
        bytes.extend(before_parts);
        bytes.extend(parts);
    }
    Ok(bytes)
}

/// Decodes a datagram and the reports that follow a message; those that are missing are empty. What cannot be decoded is
/// dropped: the message before it is valid. Parts of a kind that is not known are skipped.
///
/// # Errors
///
/// The error of the decoder if the datagram itself is not valid.
pub fn decode(bytes: &[u8]) -> Result<(Datagram, Reports), postcard::Error> {
    let (datagram, rest) = postcard::take_from_bytes(bytes)?;
    let is_message = matches!(datagram, Datagram::Message(_));
    let Ok((load, mut rest)) = postcard::take_from_bytes(if is_message { rest } else { &[] }) else {
        return Ok((datagram, Reports::default()));
    };
    let mut reports = Reports { load, ..Reports::default() };
    while let Ok((part, next)) = postcard::take_from_bytes::<Part>(rest) {
        rest = next;
        match part.kind {
            SERVERS_KIND => reports.servers = postcard::from_bytes(&part.content).unwrap_or_default(),
            DATA_CENTRES_KIND => {
                reports.data_centres = postcard::from_bytes(&part.content).unwrap_or_default();
            }
            _ => {}
        }
    }
    Ok((datagram, reports))
}

#[cfg(test)]
#[path = "../../tests/unit/relay_load_report.rs"]
mod tests;
