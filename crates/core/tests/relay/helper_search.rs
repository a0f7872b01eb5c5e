//! The search for daemons that reach the servers of a service.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusvale_core::ids::{DataCentreId, HostId};
use hibiscusvale_core::relay::helper_search::{Candidate, HelperSearch, HelperSearchSettings};
use hibiscusvale_core::relay::reach::{HelperState, Reached};
use hibiscusvale_core::units::{Millis, MonoTime};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rstest::rstest;

const SERVICE: &str = "llm";
const INTERVAL_MS: u64 = 250;
const REPLY_TTL_MS: u64 = 1_000;
const NAMED_DAEMONS: usize = 3;
/// Time from a cut until callers have to be served.
const CONTACT_MS: u64 = 3_000;

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

/// Daemons, numbered, in data centres of one size; some of them reach the servers.
struct Fleet {
    daemons: Vec<(HostId, DataCentreId)>,
    helping: BTreeSet<usize>,
}

impl Fleet {
    fn new(daemons: usize, data_centres: usize, helping: BTreeSet<usize>) -> Self {
        let host = |number: usize| format!("entry-{number}").parse().unwrap();
        let data_centre = |number: usize| format!("z-{}", number % data_centres).parse().unwrap();
        let daemons = (0..daemons).map(|number| (host(number), data_centre(number))).collect();
        Self { daemons, helping }
    }

    fn candidates(&self, own: usize) -> Vec<Candidate<'_>> {
        let others = self.daemons.iter().enumerate().filter(|(number, _)| *number != own);
        others.map(|(_, (host, data_centre))| Candidate { host, data_centre }).collect()
    }

    fn number(&self, host: &HostId) -> usize {
        host.as_str().trim_start_matches("entry-").parse().unwrap()
    }

    fn reply(&self, number: usize) -> HelperState {
        let (host, data_centre) = self.daemons[number].clone();
        let reached = if self.helping.contains(&number) { Reached::Yes } else { Reached::No };
        HelperState { host, data_centre, reached: vec![(SERVICE.to_owned(), reached)], open_requests: 0 }
    }
}

/// All daemons but those of one data centre are cut off, and some of the rest: whoever searches has to find one that helps
/// within the contact time, without asking more than its share.
#[rstest]
#[case::own_data_centre_cut_off(67, 4, 17, 17, 3)]
#[case::nine_of_ten(87, 4, 21, 8, 3)]
#[case::three_are_left(87, 4, 21, 3, 3)]
#[case::many_data_centres(300, 8, 37, 3, 1)]
#[case::whole_fleet(986, 8, 123, 3, 1)]
fn every_daemon_finds_one_that_helps(
    #[case] daemons: usize,
    #[case] data_centres: usize,
    #[case] of_last_data_centre: usize,
    #[case] helping: usize,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let last = (0..daemons).filter(|number| number % data_centres == data_centres - 1);
        let helping: BTreeSet<usize> =
            last.take(of_last_data_centre).sample(&mut rng, helping).into_iter().collect();
        let fleet = Fleet::new(daemons, data_centres, helping);
        let mut searches = vec![HelperSearch::default(); daemons];
        let mut replies: Vec<BTreeMap<HostId, (MonoTime, HelperState)>> = vec![BTreeMap::new(); daemons];
        let mut questions = vec![0; daemons];
        let services = [SERVICE.to_owned()];
        let unaided = |replies: &[BTreeMap<HostId, (MonoTime, HelperState)>]| {
            let has_helper = |known: &BTreeMap<HostId, _>| {
                known.keys().any(|host| fleet.helping.contains(&fleet.number(host)))
            };
            let searching = (0..daemons).filter(|daemon| !fleet.helping.contains(daemon));
            searching.filter(|daemon| !has_helper(&replies[*daemon])).collect::<Vec<usize>>()
        };
        let mut rounds = 0;
        for now_ms in (0..CONTACT_MS).step_by(INTERVAL_MS as usize) {
            if unaided(&replies).is_empty() {
                break;
            }
            rounds += 1;
            for daemon in (0..daemons).filter(|daemon| !fleet.helping.contains(daemon)) {
                replies[daemon].retain(|_, (came_us, _)| at(now_ms) < *came_us + Millis(REPLY_TTL_MS));
                let candidates = fleet.candidates(daemon);
                let known = &replies[daemon];
                let asked = searches[daemon].next(at(now_ms), &services, &candidates, known, &mut rng);
                assert!(asked.len() <= HelperSearchSettings::DEFAULT.asked_max);
                for other in asked.into_iter().map(|host| fleet.number(host)).collect::<Vec<_>>() {
                    questions[other] += 1;
                    let found = replies[other]
                        .values()
                        .filter(|(_, reply)| fleet.helping.contains(&fleet.number(&reply.host)));
                    let named = found.map(|(_, reply)| reply.host.clone()).sample(&mut rng, NAMED_DAEMONS);
                    searches[daemon].named(at(now_ms), named);
                    let reply = fleet.reply(other);
                    replies[daemon].insert(reply.host.clone(), (at(now_ms), reply));
                }
            }
        }
        assert!(unaided(&replies).is_empty(), "seed {seed}: {:?} know none", unaided(&replies));
        let most = questions.iter().max().unwrap();
        println!(
            "{daemons} daemons, {} help: {rounds} rounds, at most {most} questions at one",
            fleet.helping.len()
        );
    }
}

/// A search counts as over once all daemons were asked, so that requests which nobody can serve are refused at once.
#[test]
fn search_ends_when_all_were_asked() {
    let fleet = Fleet::new(40, 4, BTreeSet::new());
    let (mut search, replies, services) = (HelperSearch::default(), BTreeMap::new(), [SERVICE.to_owned()]);
    let mut rng = StdRng::seed_from_u64(1);
    for now_ms in [0, 250, 500] {
        assert_eq!(search.covered_us(SERVICE), None);
        search.next(at(now_ms), &services, &fleet.candidates(0), &replies, &mut rng);
    }
    assert_eq!((search.covered_us(SERVICE), search.asked_count(SERVICE)), (Some(at(500)), 39));
    search.end();
    assert_eq!(search.covered_us(SERVICE), None);
}

/// A new doubt about another service must not rest on daemons that were asked before it.
#[test]
fn each_service_is_searched_for() {
    let fleet = Fleet::new(16, 1, BTreeSet::new());
    let (mut search, replies) = (HelperSearch::default(), BTreeMap::new());
    let mut rng = StdRng::seed_from_u64(1);
    search.next(at(0), &["app".to_owned()], &fleet.candidates(0), &replies, &mut rng);
    assert_eq!(search.covered_us("app"), Some(at(0)));
    let both = ["app".to_owned(), SERVICE.to_owned()];
    search.next(at(250), &both, &fleet.candidates(0), &replies, &mut rng);
    assert_eq!((search.covered_us("app"), search.covered_us(SERVICE)), (Some(at(0)), Some(at(250))));
}

/// The replies of daemons that help must not expire while the search goes on through all others; those of daemons that do not
/// know yet whether they could help must not hold it up.
#[rstest]
#[case::helps(Reached::Yes, true)]
#[case::does_not_know(Reached::Unknown, false)]
#[case::has_failures(Reached::Partly, false)]
fn daemons_that_help_are_asked_again(#[case] reached: Reached, #[case] is_asked_again: bool) {
    let fleet = Fleet::new(60, 1, BTreeSet::new());
    let mut search = HelperSearch::default();
    let mut rng = StdRng::seed_from_u64(1);
    let services = [SERVICE.to_owned()];
    let asked = search.next(at(0), &services, &fleet.candidates(0), &BTreeMap::new(), &mut rng);
    let mut reply = fleet.reply(fleet.number(asked[0]));
    reply.reached[0].1 = reached;
    let replies = BTreeMap::from([(reply.host.clone(), (at(0), reply.clone()))]);
    let is_asked = |search: &mut HelperSearch, now_ms: u64, rng: &mut StdRng| {
        let candidates = fleet.candidates(0);
        search.next(at(now_ms), &services, &candidates, &replies, rng).contains(&&reply.host)
    };
    assert!(!is_asked(&mut search, 250, &mut rng));
    assert_eq!(is_asked(&mut search, 500, &mut rng), is_asked_again);
}
