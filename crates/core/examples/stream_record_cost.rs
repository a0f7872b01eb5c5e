//! Prints the cost of records of streams, by the number of daemons.
#![allow(clippy::pedantic, reason = "a table for a page")]

use std::time::Instant;

use hibiscusvale_core::ids::{DataCentreId, HostId};
use hibiscusvale_core::relay::stream_versions::{
    StreamKey, StreamOrigin, StreamRecord, StreamVersions, keepers,
};
use hibiscusvale_core::units::{Millis, MonoTime};

/// Streams that each daemon begins in a second at the target size.
const STREAMS_PER_S: usize = 25;

/// Headers of IPv4 and UDP.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

const DATA_CENTRES: usize = 4;

const SELECTIONS: u64 = 2_000;

fn main() {
    let origin = StreamOrigin { service: "brief-llm".parse().unwrap(), version: "v1.2".parse().unwrap() };
    let record = |key: u64| StreamRecord { key: StreamKey(key), origin: Some(origin.clone()) };
    let bytes = postcard::to_stdvec(&record(u64::MAX)).unwrap().len() + 1 + DATAGRAM_OVERHEAD_BYTES;
    println!("one record in a datagram: {bytes} bytes");
    println!("daemons, recipients of each record, bytes/s, bytes/s to all daemons, us to select");
    for count in [6, 9, 58, 300, 986] {
        let daemons: Vec<(HostId, DataCentreId)> = (0..count - 1)
            .map(|number| {
                let data_centre = format!("z-{}", number % DATA_CENTRES).parse().unwrap();
                (format!("front-hall-{number}").parse().unwrap(), data_centre)
            })
            .collect();
        let own: DataCentreId = "z-0".parse().unwrap();
        let others = || daemons.iter().map(|(host, data_centre)| (host, data_centre));
        let started = Instant::now();
        let recipients: usize =
            (0..SELECTIONS).map(|key| keepers(StreamKey(key), &own, others(), 2).len()).sum();
        let took = started.elapsed().as_micros() as f64 / SELECTIONS as f64;
        let recipients = recipients as f64 / SELECTIONS as f64;
        let per_s = |count: f64| count * (bytes * STREAMS_PER_S) as f64;
        let all = per_s((count - 1) as f64);
        println!("{count}, {recipients:.1}, {:.0}, {all:.0}, {took:.1}", per_s(recipients));
    }
    let mut streams = StreamVersions::new(1 << 16);
    let started = Instant::now();
    (0..1_u64 << 16).for_each(|key| streams.record(MonoTime::default() + Millis(key / 100), &record(key)));
    let took = started.elapsed().as_nanos() as f64 / f64::from(1 << 16);
    println!("{} streams recorded, {took:.0} ns each", streams.len());
}
