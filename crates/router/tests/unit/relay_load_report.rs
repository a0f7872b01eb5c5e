//! Tests of the load report that follows a message.

use hibiscusvale_core::ids::{Incarnation, PartnerId};
use hibiscusvale_core::quarantine::Gossip;
use hibiscusvale_core::relay::engines::{
    DataCentreLoad, EngineUsage, Growth, Guest, OpenEngines, OrganisationMemory, PoolUsage,
};
use hibiscusvale_core::relay::routes::TableVersion;
use hibiscusvale_core::relay::server_list::ListState;
use hibiscusvale_core::shares::OrganisationKey;
use hibiscusvale_core::units::{Millis, MonoTime, Tokens};
use rstest::rstest;

use super::*;
use crate::relay::freshness::Freshness;
use crate::relay::message::Message;
use crate::relay::pacing;

/// More than any message needs.
const NO_LIMIT: Bytes = Bytes(1 << 20);

/// Encodes a message with a report of the load only.
fn encode(
    datagram: &Datagram,
    load: &LoadReport,
    report_limit: Bytes,
    turn: u64,
) -> Result<Vec<u8>, postcard::Error> {
    let reports = Reports { load: load.clone(), ..Reports::default() };
    super::encode(datagram, &reports, report_limit, turn)
}

/// Decodes a message and the report of the load, if there is one.
fn decode(bytes: &[u8]) -> Result<(Datagram, Option<LoadReport>), postcard::Error> {
    let (datagram, reports) = super::decode(bytes)?;
    Ok((datagram, Some(reports.load).filter(|load| !load.is_empty())))
}

fn key(number: usize) -> OrganisationKey {
    let partner: PartnerId = format!("organisation-{number}").parse().unwrap();
    OrganisationKey::of(&partner)
}

fn message(holdings: usize) -> Datagram {
    let holdings = (0..holdings).map(|number| (format!("service-{number}"), PoolUsage::default()));
    Datagram::Message(Box::new(Message {
        host: "entry-1".parse().unwrap(),
        data_centre: "z-1".parse().unwrap(),
        incarnation: Incarnation::new(1_000, 1),
        sequence: 7,
        list_current_us: None,
        saved_versions: Vec::new(),
        stamp: Freshness::default().stamp(MonoTime(0), TableVersion(1), ListState::default()),
        reaches_store: true,
        changes: Vec::new(),
        holdings: holdings.collect(),
        lendable: None,
        crashes: Gossip::default(),
        leaving: Vec::new(),
        limits: Vec::new(),
    }))
}

fn rates(organisations: usize) -> RateReport {
    let demand = (0..organisations).map(|number| (key(number), (organisations - number) as f32));
    RateReport { demand: demand.collect(), answered: 100.0, ..RateReport::default() }
}

fn report(services: usize, organisations: usize) -> LoadReport {
    let memory = (0..organisations).map(|number| OrganisationMemory {
        organisation: key(number),
        held: Tokens(16_000),
        waiting: Tokens(5_200),
    });
    let memory = MemoryReport { organisations: memory.collect(), waiting: Vec::new() };
    let sample = |number| SpeedSample {
        server: format!("engine-{number}").parse().unwrap(),
        prefill_tokens: 5_200.0,
        prefill_ms: 900.0,
        decode_tokens: 0.0,
        decode_ms: 0.0,
    };
    let services = || (0..services).map(|number| format!("service-{number}"));
    LoadReport {
        rates: services().map(|name| (name, rates(organisations))).collect(),
        memory: services().map(|name| (name, memory.clone())).collect(),
        speeds: services().map(|name| (name, (0..organisations).map(sample).collect())).collect(),
    }
}

fn host(datagram: &Datagram) -> &str {
    let Datagram::Message(message) = datagram else { panic!("{datagram:?}") };
    message.host.as_str()
}

#[rstest]
#[case::empty(LoadReport::default(), None)]
#[case::with_load(report(2, 3), Some(report(2, 3)))]
fn report_is_received_as_sent(#[case] sent: LoadReport, #[case] received: Option<LoadReport>) {
    let bytes = encode(&message(1), &sent, NO_LIMIT, 0).unwrap();
    let (datagram, report) = decode(&bytes).unwrap();
    assert_eq!((host(&datagram), report), ("entry-1", received));
}

/// Daemons of the previous version decode the datagram alone. If they failed on the bytes after it, daemons would take
/// each other for dead during an update.
#[test]
fn previous_version_ignores_the_report() {
    let bytes = encode(&message(1), &report(2, 3), NO_LIMIT, 0).unwrap();
    assert_eq!(host(&postcard::from_bytes::<Datagram>(&bytes).unwrap()), "entry-1");
}

/// A later version may append to the report. The report before it still counts.
#[test]
fn bytes_after_the_report_are_ignored() {
    let mut bytes = encode(&message(1), &report(2, 3), NO_LIMIT, 0).unwrap();
    bytes.extend([3, 1, 4, 1, 5]);
    assert_eq!(decode(&bytes).unwrap().1, Some(report(2, 3)));
}

/// A report that cannot be decoded must not take the message with it: the sender would count as dead.
#[rstest]
#[case::foreign(vec![0xff; 40])]
#[case::cut(postcard::to_stdvec(&report(2, 3)).unwrap()[..30].to_vec())]
fn malformed_report_is_dropped_and_the_message_kept(#[case] rest: Vec<u8>) {
    let mut bytes = encode(&message(1), &LoadReport::default(), NO_LIMIT, 0).unwrap();
    bytes.extend(rest);
    let (datagram, report) = decode(&bytes).unwrap();
    assert_eq!((host(&datagram), report), ("entry-1", None));
}

/// Receivers read into a buffer of the limit: a longer datagram would be lost whole, with the heartbeat in it.
#[rstest]
#[case::organisations(message(1), report(4, 32))]
#[case::services(message(1), report(2_000, 32))]
#[case::long_message(message(350), report(40, 32))]
fn report_is_cut_and_not_the_message(#[case] datagram: Datagram, #[case] report: LoadReport) {
    let alone = postcard::to_stdvec(&datagram).unwrap();
    assert!(alone.len() < MESSAGE_LIMIT_BYTES, "{}", alone.len());
    let bytes = encode(&datagram, &report, NO_LIMIT, 0).unwrap();
    assert!(bytes.len() < MESSAGE_LIMIT_BYTES, "{}", bytes.len());
    assert_eq!(bytes[..alone.len()], alone);
    let received = decode(&bytes).unwrap().1.expect("a report");
    assert!(!received.rates.is_empty() && !received.memory.is_empty(), "{received:?}");
}

/// The demand of organisations that are cut must still be in the sum, or the others would get too large a share.
#[test]
fn cut_organisations_stay_in_the_sum() {
    let sent = LoadReport { rates: vec![("app".to_owned(), rates(32))], ..LoadReport::default() };
    let bytes = encode(&message(1), &sent, Bytes(120), 0).unwrap();
    let received = decode(&bytes).unwrap().1.expect("a report");
    let [(_, received)] = &*received.rates else { panic!("{received:?}") };
    let total = received.demand.iter().map(|(_, rate)| rate).sum::<f32>() + received.other_demand;
    assert!((1..32).contains(&received.demand.len()), "{received:?}");
    assert!((total - 528.0).abs() < 0.01, "{total}");
    assert_eq!(received.demand[0], (key(0), 32.0));
}

/// Services that do not fit into one message must be in a later one, or their shares would rest on this daemon's
/// requests being unknown.
#[test]
fn successive_messages_report_different_services() {
    let sent = LoadReport { memory: Vec::new(), speeds: Vec::new(), ..report(8, 32) };
    let mut reported: Vec<String> = (0..8)
        .filter_map(|turn| decode(&encode(&message(1), &sent, Bytes(150), turn).unwrap()).unwrap().1)
        .flat_map(|report| report.rates.into_iter().map(|(name, _)| name))
        .collect();
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 8, "{reported:?}");
}

/// Periodic messages go out whatever the rate, so reports must not fill a slow link by themselves: 2.5 of its 10 Mbit/s
/// are for messages, of which reports may take half.
#[rstest]
#[case(90)]
#[case(412)]
#[case(985)]
fn reports_to_all_daemons_fit_into_the_link(#[case] daemons: u32) {
    let rate = hibiscusvale_core::units::BytesPerSecond(312_500);
    let limit = pacing::report_limit(rate, daemons);
    let alone = postcard::to_stdvec(&message(1)).unwrap().len();
    let bytes = encode(&message(1), &report(3, 32), limit, 0).unwrap();
    let bytes_per_s = (bytes.len() - alone) as f64 * f64::from(daemons) / 0.7;
    assert!(bytes_per_s <= 156_250.0, "{bytes_per_s}");
    assert!(decode(&bytes).unwrap().1.is_some_and(|report| !report.rates.is_empty()));
}

fn server_report(services: usize, servers: usize) -> ServerReport {
    let sample = |number| ServerSample {
        server: format!("server-{number}").parse().unwrap(),
        answers: 3,
        busy_ms: 180.0,
        in_flight: 7,
        slots: 6,
        age_ms: 40,
    };
    let service = |number| (format!("app-{number}"), (0..servers).map(sample).collect());
    ServerReport { servers: (0..services).map(service).collect() }
}

/// Samples of servers reach the others whether or not there is other load to report, and daemons of the previous
/// version still decode what comes before them.
#[rstest]
#[case::alone(LoadReport::default())]
#[case::behind_load(report(2, 3))]
fn server_report_is_received_as_sent(#[case] load: LoadReport) {
    let sent = Reports { load, servers: server_report(2, 3), ..Reports::default() };
    let bytes = super::encode(&message(1), &sent, NO_LIMIT, 0).unwrap();
    let (datagram, received) = super::decode(&bytes).unwrap();
    assert_eq!((host(&datagram), &received), ("entry-1", &sent));
    let (_, rest) = postcard::take_from_bytes::<Datagram>(&bytes).unwrap();
    assert_eq!(postcard::from_bytes::<LoadReport>(rest).unwrap(), sent.load);
}

/// Without samples the bytes are those of the previous version.
#[rstest]
#[case::without_load(LoadReport::default())]
#[case::with_load(report(2, 3))]
fn message_without_server_samples_is_unchanged(#[case] load: LoadReport) {
    let datagram = message(1);
    let mut previous = postcard::to_stdvec(&datagram).unwrap();
    if !load.is_empty() {
        previous.extend(postcard::to_stdvec(&load).unwrap());
    }
    assert_eq!(encode(&datagram, &load, NO_LIMIT, 0).unwrap(), previous);
}

/// Bytes that cannot be decoded after the load must not take the load with them.
#[test]
fn malformed_server_report_is_dropped_and_the_load_kept() {
    let mut bytes = encode(&message(1), &report(2, 3), NO_LIMIT, 0).unwrap();
    bytes.extend([0xff; 20]);
    let (_, received) = super::decode(&bytes).unwrap();
    assert_eq!(received, Reports { load: report(2, 3), ..Reports::default() });
}

/// Both reports together stay below the limit, or a message could fill a slow link or exceed the buffers of receivers.
#[rstest]
#[case::with_load(report(2, 8), 400)]
#[case::alone(LoadReport::default(), 120)]
#[case::buffer(report(4, 32), 1 << 20)]
fn both_reports_stay_within_the_limit(#[case] load: LoadReport, #[case] limit: u64) {
    let sent = Reports { load, servers: server_report(4_000, 32), ..Reports::default() };
    let alone = postcard::to_stdvec(&message(1)).unwrap().len();
    let bytes = super::encode(&message(1), &sent, Bytes(limit), 0).unwrap();
    assert!(bytes.len() < MESSAGE_LIMIT_BYTES, "{}", bytes.len());
    assert!((bytes.len() - alone) as u64 <= limit, "{}", bytes.len() - alone);
}

/// Servers that do not fit into one message must be in a later one, or nobody would know their loads.
#[test]
fn successive_messages_report_different_servers() {
    let sent = Reports { servers: server_report(2, 8), ..Reports::default() };
    let mut reported = std::collections::BTreeSet::new();
    for turn in 0..16 {
        let bytes = super::encode(&message(1), &sent, Bytes(100), turn).unwrap();
        let received = super::decode(&bytes).unwrap().1.servers;
        assert!(!received.servers.is_empty());
        let servers = received.servers.iter();
        reported.extend(servers.flat_map(|(name, samples)| {
            samples.iter().map(move |sample| (name.clone(), sample.server.clone()))
        }));
    }
    assert_eq!(reported.len(), 16);
}

fn data_centres(services: usize, guests: usize) -> Reports {
    let load = |number| DataCentreLoad {
        data_centre: format!("z-{number}").parse().unwrap(),
        room: Tokens(400_000),
        waiting: Tokens(120_000),
        open: OpenEngines { for_one: 0x3ff, for_two: 0x30 },
        age_ms: Millis(900),
    };
    let growth = Growth { now: Tokens(5_000), end: Tokens(9_000), answer: Tokens(4_000), is_growing: true };
    let guest = |number| Guest {
        host: format!("entry-{number}").parse().unwrap(),
        engines: vec![EngineUsage {
            server: "engine-1".parse().unwrap(),
            growths: vec![growth],
            prefill_tokens: Tokens::ZERO,
            running: 1,
        }],
    };
    let report =
        || DataCentreReport { loads: (0..4).map(load).collect(), guests: (0..guests).map(guest).collect() };
    let data_centres = (0..services).map(|number| (format!("service-{number}"), report())).collect();
    Reports { data_centres, ..Reports::default() }
}

/// Loads of data centres must arrive whether or not there is a report before them, and daemons of earlier versions must
/// still decode the report.
#[rstest]
#[case::without_report(LoadReport::default())]
#[case::with_report(report(2, 3))]
fn loads_of_data_centres_are_received_as_sent(#[case] load: LoadReport) {
    let sent = Reports { load, servers: server_report(1, 2), ..data_centres(2, 3) };
    let bytes = super::encode(&message(1), &sent, NO_LIMIT, 0).unwrap();
    let (datagram, received) = super::decode(&bytes).unwrap();
    assert_eq!((host(&datagram), &received), ("entry-1", &sent));
    let (_, rest) = postcard::take_from_bytes::<Datagram>(&bytes).unwrap();
    assert_eq!(postcard::from_bytes::<LoadReport>(rest).unwrap(), sent.load);
}

/// A daemon of another version sends parts that this one does not know, before or after the loads of data centres. If
/// these were lost, nothing would spill over during an update.
#[test]
fn unknown_and_malformed_parts_are_skipped() {
    let mut bytes = encode(&message(1), &report(2, 3), NO_LIMIT, 0).unwrap();
    let known = postcard::to_stdvec(&data_centres(1, 1).data_centres).unwrap();
    for (kind, content) in
        [(SERVERS_KIND, vec![0xff; 20]), (DATA_CENTRES_KIND, known), (900, vec![0xff; 300])]
    {
        bytes.extend(postcard::to_stdvec(&Part { kind, content }).unwrap());
    }
    let expected = Reports { load: report(2, 3), ..data_centres(1, 1) };
    assert_eq!(super::decode(&bytes).unwrap().1, expected);
    bytes.extend([2, 0xff, 0xff]);
    assert_eq!(super::decode(&bytes).unwrap().1, expected, "cut part");
}

/// Loads of data centres take what the report leaves of its limit: beyond it, periodic messages would fill a slow link. Loads go
/// before guests, and services that do not fit are in later messages.
#[test]
fn loads_of_data_centres_stay_within_the_limit() {
    let alone = postcard::to_stdvec(&message(1)).unwrap().len();
    let (sent, limit) = (data_centres(8, 16), Bytes(300));
    let mut reported = Vec::new();
    for turn in 0..8 {
        let bytes = super::encode(&message(1), &sent, limit, turn).unwrap();
        assert!(bytes.len() <= alone + 300, "{} bytes", bytes.len() - alone);
        let received = super::decode(&bytes).unwrap().1;
        assert!(received.data_centres.iter().all(|(_, report)| report.loads.len() == 4), "{received:?}");
        reported.extend(received.data_centres.into_iter().map(|(name, _)| name));
    }
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 8, "{reported:?}");
    let sent = Reports { load: report(40, 32), ..sent };
    let long = super::encode(&message(350), &sent, NO_LIMIT, 0).unwrap();
    assert!(long.len() < MESSAGE_LIMIT_BYTES, "{}", long.len());
}
