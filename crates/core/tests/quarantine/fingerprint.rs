//! Identity of requests by fingerprint, and the size of reports.

use hibiscusvale_core::ids::{Incarnation, PartnerId};
use hibiscusvale_core::quarantine::{
    CallerIdentity, Finding, Fingerprint, Gossip, Report, ReportId, RequestIdentity,
};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    caller: CallerIdentity::Anonymous,
    method: "POST",
    host: "shop.example",
    path: "/page/a?b=c",
    body: b"body",
};

/// Host names compare without regard to case.
#[test]
fn the_same_request_has_the_same_fingerprint() {
    let again = RequestIdentity { host: "Shop.Example", ..REQUEST };
    assert_eq!(Fingerprint::of(&REQUEST), Fingerprint::of(&again));
}

/// An innocent request must not be mistaken for one that crashes servers.
#[rstest]
#[case(RequestIdentity { method: "GET", ..REQUEST })]
#[case(RequestIdentity { host: "other.example", ..REQUEST })]
#[case(RequestIdentity { path: "/page/a", ..REQUEST })]
#[case(RequestIdentity { body: b"bod", ..REQUEST })]
#[case(RequestIdentity { path: "/page/a?b=cb", body: b"ody", ..REQUEST })]
#[case(RequestIdentity { caller: CallerIdentity::Credentials(b"x"), ..REQUEST })]
#[case(RequestIdentity { caller: CallerIdentity::Credentials(b""), ..REQUEST })]
fn another_request_has_another_fingerprint(#[case] other: RequestIdentity<'_>) {
    assert_ne!(Fingerprint::of(&REQUEST), Fingerprint::of(&other));
}

/// Two organisations may send identical bodies.
#[test]
fn each_organisation_has_its_own_fingerprint() {
    let [one, other]: [PartnerId; 2] = ["one", "other"].map(|name| name.parse().unwrap());
    let of =
        |partner| Fingerprint::of(&RequestIdentity { caller: CallerIdentity::Partner(partner), ..REQUEST });
    assert_ne!(of(&one), of(&other));
}

#[test]
fn display_and_parse_round_trip() {
    let fingerprint = Fingerprint::of(&REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for text in ["0123".to_owned(), "zz".repeat(16)] {
        assert!(text.parse::<Fingerprint>().err().is_some(), "{text}");
    }
}

/// Reports are sent to hundreds of daemons.
#[test]
fn encoded_report_is_small() {
    let report = Report {
        id: ReportId { incarnation: Incarnation::new(1_800_000_000_000, 7), sequence: 300 },
        fingerprint: Fingerprint::of(&REQUEST),
        finding: Finding::Crashed { server: "i-0123456789".parse().unwrap(), in_flight_ms: Millis(900) },
        age_ms: Millis(900_000),
    };
    assert!(postcard::to_stdvec(&report).unwrap().len() < 64);
    assert_eq!(postcard::to_stdvec(&Gossip::default()).unwrap().len(), 2);
}
