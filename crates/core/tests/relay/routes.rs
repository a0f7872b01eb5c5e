//! The routing table.

use std::collections::{BTreeMap, HashMap};

use hibiscusvale_core::relay::routes::{
    CallerLimits, Destination, Route, RouteKind, RouteTable, TableVersion,
};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, destinations: &[(&str, u32)]) -> Route {
    let to = |&(service, weight): &(&str, u32)| Destination { service: service.parse().unwrap(), weight };
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        destinations: destinations.iter().map(to).collect(),
        attempts_max: 2,
        timeout_ms: Millis(2_000),
        target_ms: Millis(300),
        gap_target_ms: None,
        priority: 1,
        allows_anonymous: false,
    }
}

fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    RouteTable::new(TableVersion(version), routes, BTreeMap::new(), CallerLimits::default())
}

#[rstest]
#[case("shop.example", "/a/x", Some("short"))]
#[case("shop.example", "/a/b/x", Some("long"))]
#[case("shop.example", "/a/bx", Some("short"))]
#[case("SHOP.example:8080", "/a/x", Some("short"))]
#[case("shop.example", "/a", None)]
#[case("shop.example", "/c/", None)]
#[case("other.example", "/a/x", Some("other"))]
#[case("", "/a/x", None)]
fn the_longest_matching_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] found: Option<&str>,
) {
    let routes = vec![
        route("short", "shop.example", "/a/", &[("s", 1)]),
        route("long", "shop.example", "/a/b/", &[("s", 1)]),
        route("other", "other.example", "/a/", &[("s", 1)]),
    ];
    assert_eq!(table(1, routes).find(host, path).map(|route| route.name.as_str()), found);
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("r", "h", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let mut counts = HashMap::<String, u32>::new();
    for draw in 0..1_000 {
        *counts.entry(route.destination(draw).unwrap().to_string()).or_default() += 1;
    }
    assert_eq!(counts, HashMap::from([("a".to_owned(), 900), ("b".to_owned(), 100)]));
}

#[test]
fn a_route_without_weights_has_no_destination() {
    assert_eq!(route("r", "h", "/", &[("a", 0)]).destination(7), None);
    assert_eq!(route("r", "h", "/", &[]).destination(7), None);
}

/// A store that lost its newest contents, or a reader of an old copy, returns an earlier version. Callers
/// would be sent to a service that the operator has taken out of use.
#[test]
fn an_older_table_replaces_no_newer_one() {
    let (old, new) = (table(4, Vec::new()), table(7, Vec::new()));
    assert!(old.is_replaced_by(&new));
    assert!(!new.is_replaced_by(&old));
    assert!(!new.is_replaced_by(&new.clone()));
}

/// A daemon that has just started knows no table. An empty one would tell callers that their routes do not
/// exist, and they would not retry.
#[test]
fn an_unknown_table_differs_from_an_empty_one() {
    assert!(!RouteTable::default().is_known());
    assert!(table(1, Vec::new()).is_known());
}
