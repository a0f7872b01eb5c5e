//! Named loads and faults.

use super::load::{Faults, Prompts, Scenario, Source, two_partners};

/// Both partners together ask for this share of the capacity.
pub fn balanced(load: f64) -> Scenario {
    Scenario { sources: two_partners(load / 2.0, load / 2.0), ..Scenario::default() }
}

/// Both partners send ten times their load for five seconds.
pub fn burst() -> Scenario {
    let surge = Some((20, 25, 10.0));
    let sources = two_partners(0.25, 0.25).into_iter().map(|source| Source { surge, ..source });
    Scenario { sources: sources.collect(), ..Scenario::default() }
}

/// Prompts of one kind.
pub fn prompts(kind: Prompts, load: f64) -> Scenario {
    let sources =
        two_partners(load / 2.0, load / 2.0).into_iter().map(|source| Source { prompts: kind, ..source });
    Scenario { sources: sources.collect(), ..Scenario::default() }
}

/// Faults at this load.
pub fn with_faults(load: f64, faults: Faults) -> Scenario {
    Scenario { faults, ..balanced(load) }
}

/// Partner `a` stays within its share; partner `b` is given.
pub fn with_partner(b: Source) -> Scenario {
    let a = Source { load: 0.35, ..Source::default() };
    Scenario { sources: vec![a, Source { name: "b".to_owned(), ..b }], ..Scenario::default() }
}

/// Partner that stays within its share.
pub fn within_share() -> Source {
    Source { load: 0.35, ..Source::default() }
}

pub fn surging() -> Source {
    Source { surge: Some((15, 45, 10.0)), ..within_share() }
}

pub fn absurd_targets() -> Source {
    Source { load: 1.5, tight_ms: 1, loose_ms: 1, ..Source::default() }
}

pub fn all_tight() -> Source {
    Source { load: 1.5, tight: 1.0, tight_ms: 700, ..Source::default() }
}

/// 280 partners: one asks for most of the capacity, the others for little each.
pub fn many_partners(heavy: f64, others: f64) -> Scenario {
    let small = (1..280).map(|index| Source {
        name: format!("org{index}"),
        load: others / 279.0,
        ..Source::default()
    });
    let heavy = Source { name: "org0".to_owned(), load: heavy, ..Source::default() };
    Scenario { sources: std::iter::once(heavy).chain(small).collect(), ..Scenario::default() }
}

/// All scenarios, with their labels in the outcome table.
pub fn all() -> Vec<(&'static str, Scenario)> {
    let fault = |faults| with_faults(0.7, faults);
    vec![
        ("0.7", balanced(0.7)),
        ("0.9", balanced(0.9)),
        ("1.0", balanced(1.0)),
        ("1.2", balanced(1.2)),
        ("1.5", balanced(1.5)),
        ("3", balanced(3.0)),
        ("burst x10", burst()),
        ("hot prefix 0.9", prompts(Prompts::HotPrefix, 0.9)),
        ("long and short 0.9", prompts(Prompts::LongAndShort, 0.9)),
        ("b quiet", with_partner(within_share())),
        ("b surges x10", with_partner(surging())),
        ("b absurd target", with_partner(absurd_targets())),
        ("b all tightest", with_partner(all_tight())),
        ("280, one hogs", many_partners(2.0, 0.5)),
        ("slow prefill", fault(Faults { slow_prefill: true, ..Faults::default() })),
        ("slow decode", fault(Faults { slow_decode: true, ..Faults::default() })),
        ("mute prefill", fault(Faults { unresponsive_prefill_at: Some(20), ..Faults::default() })),
        ("mute decode", fault(Faults { unresponsive_decode_at: Some(20), ..Faults::default() })),
        ("half replaced", fault(Faults { replace_at: Some(20), ..Faults::default() })),
        ("report blackout", fault(Faults { report_outage: Some((20, 30)), ..Faults::default() })),
        ("data centre cut", fault(Faults { partition: Some((20, 40)), ..Faults::default() })),
        ("callers leave 20 %", fault(Faults { leave_fraction: 0.2, ..Faults::default() })),
    ]
}
