//! The loads and faults that are looked at, by name.

use super::load::{Faults, Prompts, Scenario, Source, two};

/// Both partners together ask for this part of the capacity.
pub fn even(load: f64) -> Scenario {
    Scenario { sources: two(load / 2.0, load / 2.0), ..Scenario::default() }
}

/// Both partners at once send ten times as much for five seconds.
pub fn burst() -> Scenario {
    let surge = Some((20, 25, 10.0));
    let sources = two(0.25, 0.25).into_iter().map(|source| Source { surge, ..source });
    Scenario { sources: sources.collect(), ..Scenario::default() }
}

/// Prompts of one kind.
pub fn prompts(kind: Prompts, load: f64) -> Scenario {
    let sources = two(load / 2.0, load / 2.0).into_iter().map(|source| Source { prompts: kind, ..source });
    Scenario { sources: sources.collect(), ..Scenario::default() }
}

/// A fault at this load.
pub fn faulty(load: f64, faults: Faults) -> Scenario {
    Scenario { faults, ..even(load) }
}

/// Partner `a` stays inside its share; partner `b` does something.
pub fn beside(b: Source) -> Scenario {
    let a = Source { load: 0.35, ..Source::default() };
    Scenario { sources: vec![a, Source { name: "b".to_owned(), ..b }], ..Scenario::default() }
}

/// What `b` can do to `a`.
pub fn quiet() -> Source {
    Source { load: 0.35, ..Source::default() }
}

pub fn surging() -> Source {
    Source { surge: Some((15, 45, 10.0)), ..quiet() }
}

pub fn absurd() -> Source {
    Source { load: 1.5, tight_ms: 1, loose_ms: 1, ..Source::default() }
}

pub fn all_tight() -> Source {
    Source { load: 1.5, tight: 1.0, tight_ms: 700, ..Source::default() }
}

/// 280 partners: one of them asks for most of the capacity, the others for little each.
pub fn many(hog: f64, others: f64) -> Scenario {
    let small = (1..280).map(|index| Source {
        name: format!("org{index}"),
        load: others / 279.0,
        ..Source::default()
    });
    let hog = Source { name: "org0".to_owned(), load: hog, ..Source::default() };
    Scenario { sources: std::iter::once(hog).chain(small).collect(), ..Scenario::default() }
}

/// All of them, for the table.
pub fn all() -> Vec<(&'static str, Scenario)> {
    let fault = |faults| faulty(0.7, faults);
    vec![
        ("0.7", even(0.7)),
        ("0.9", even(0.9)),
        ("1.0", even(1.0)),
        ("1.2", even(1.2)),
        ("1.5", even(1.5)),
        ("3", even(3.0)),
        ("burst x10", burst()),
        ("hot prefix 0.9", prompts(Prompts::HotPrefix, 0.9)),
        ("long and short 0.9", prompts(Prompts::LongAndShort, 0.9)),
        ("b quiet", beside(quiet())),
        ("b surges x10", beside(surging())),
        ("b absurd target", beside(absurd())),
        ("b all tightest", beside(all_tight())),
        ("280, one hogs", many(2.0, 0.5)),
        ("slow prefill", fault(Faults { slow_prefill: true, ..Faults::default() })),
        ("slow decode", fault(Faults { slow_decode: true, ..Faults::default() })),
        ("mute prefill", fault(Faults { mute_prefill_at: Some(20), ..Faults::default() })),
        ("mute decode", fault(Faults { mute_decode_at: Some(20), ..Faults::default() })),
        ("half replaced", fault(Faults { replace_at: Some(20), ..Faults::default() })),
        ("report blackout", fault(Faults { blackout: Some((20, 30)), ..Faults::default() })),
        ("data centre cut", fault(Faults { cut: Some((20, 40)), ..Faults::default() })),
        ("callers leave 20 %", fault(Faults { leavers: 0.2, ..Faults::default() })),
    ]
}
