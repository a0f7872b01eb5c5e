//! Range checks of the settings.
//!
//! Values outside these ranges are most likely typing errors (seconds given for milliseconds, an extra zero) whose
//! effect would show only under load.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use toml::de::{DeTable, DeValue};

use crate::settings::error::{SettingsFault, SettingsProblem, line_at};
use crate::settings::{PartnerSettings, Settings, TokenHash};

const BODY_BYTES: RangeInclusive<u64> = 1_024..=256 << 20;
const CONNECTIONS: RangeInclusive<u64> = 16..=1_000_000;
const HELD_BODY_BYTES: RangeInclusive<u64> = 4_096..=64 << 30;
const HEAD_BYTES: RangeInclusive<u64> = 1_024..=1 << 20;
const CALLER_TIMEOUT_MS: RangeInclusive<u64> = 100..=600_000;
const LATE_WAIT_MS: RangeInclusive<u64> = 0..=600_000;
const SETTLE_MS: RangeInclusive<u64> = 0..=60_000;
const READY_GRACE_MS: RangeInclusive<u64> = 0..=120_000;
const SHIFT_MS: RangeInclusive<u64> = 100..=3_600_000;
const THREADS: RangeInclusive<u64> = 1..=64;
const READERS: RangeInclusive<u64> = 1..=64;
const GENESIS_WAIT_MS: RangeInclusive<u64> = 0..=60_000;
const POLL_WAIT_MS: RangeInclusive<u64> = 100..=60_000;
const CHECKPOINT_INTERVAL_MS: RangeInclusive<u64> = 1_000..=86_400_000;
const CHECKPOINT_STEP_MS: RangeInclusive<u64> = 100..=60_000;
const RECENT_REQUESTS: RangeInclusive<u64> = 16..=65_536;

/// Returns all problems in `settings`. `text` is their TOML source, used to find line numbers.
pub(super) fn find_problems(settings: &Settings, text: &str) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    check_numbers(settings, text, &mut problems);
    check_routes(settings, text, &mut problems);
    check_partners(settings, text, &mut problems);
    problems
}

fn check_numbers(settings: &Settings, text: &str, problems: &mut Vec<SettingsProblem>) {
    let Settings { limits, traffic, config, observe, peers, shift, .. } = settings;
    let numbers = [
        ("limits.connections", limits.connections as u64, CONNECTIONS),
        ("limits.body_bytes", limits.body_bytes.0, BODY_BYTES),
        ("limits.held_body_bytes", limits.held_body_bytes.0, HELD_BODY_BYTES),
        ("limits.head_bytes", limits.head_bytes.0, HEAD_BYTES),
        ("limits.head_timeout_ms", limits.head_timeout_ms.0, CALLER_TIMEOUT_MS),
        ("limits.body_timeout_ms", limits.body_timeout_ms.0, CALLER_TIMEOUT_MS),
        ("limits.stall_timeout_ms", limits.stall_timeout_ms.0, CALLER_TIMEOUT_MS),
        ("limits.late_wait_ms", limits.late_wait_ms.0, LATE_WAIT_MS),
        ("traffic.threads", traffic.threads as u64, THREADS),
        ("config.readers", config.readers as u64, READERS),
        ("config.poll_wait_ms", config.poll_wait_ms.0, POLL_WAIT_MS),
        ("config.genesis_wait_ms", config.genesis_wait_ms.0, GENESIS_WAIT_MS),
        ("config.checkpoint_interval_ms", config.checkpoint_interval_ms.0, CHECKPOINT_INTERVAL_MS),
        ("config.checkpoint_step_ms", config.checkpoint_step_ms.0, CHECKPOINT_STEP_MS),
        ("peers.settle_ms", peers.settle_ms.0, SETTLE_MS),
        ("traffic.ready_grace_ms", traffic.ready_grace_ms.0, READY_GRACE_MS),
        ("shift.hold_ms", shift.hold_ms.0, SHIFT_MS),
        ("shift.cooldown_ms", shift.cooldown_ms.0, SHIFT_MS),
        ("observe.recent_requests", observe.recent_requests as u64, RECENT_REQUESTS),
    ];
    for (key, value, range) in numbers {
        let (min, max) = range.into_inner();
        check_number(text, key, value as f64, min as f64..=max as f64, problems);
    }
}

/// Reports a number that is outside its range or NaN.
pub(crate) fn check_number(
    text: &str,
    key: &str,
    value: f64,
    range: RangeInclusive<f64>,
    problems: &mut Vec<SettingsProblem>,
) {
    if !range.contains(&value) {
        let (min, max) = range.into_inner();
        problems.push(SettingsProblem {
            line: line_of(text, key),
            key: key.to_owned(),
            fault: SettingsFault::OutOfRange { value, min, max },
        });
    }
}

fn check_routes(settings: &Settings, text: &str, problems: &mut Vec<SettingsProblem>) {
    for (index, route) in settings.routes.iter().enumerate() {
        if !route.prefix.starts_with('/') {
            problems.push(form_problem(
                text,
                format!("routes.{index}.prefix"),
                &route.prefix,
                "a path that starts with /",
            ));
        }
        if route.service.is_empty() {
            problems.push(form_problem(text, format!("routes.{index}.service"), "", "the name of a service"));
        }
    }
}

fn check_partners(settings: &Settings, text: &str, problems: &mut Vec<SettingsProblem>) {
    let mut partner_by_hash = BTreeMap::<TokenHash, &str>::new();
    for (partner, PartnerSettings { token_hashes, .. }) in &settings.partners {
        let key = format!("partners.{partner}.token_hashes");
        if token_hashes.is_empty() {
            problems.push(form_problem(text, key.clone(), "[]", "at least one hash"));
        }
        for hash in token_hashes {
            let Some(other) = partner_by_hash.insert(*hash, partner.as_str()) else {
                continue;
            };
            if other != partner.as_str() {
                problems.push(SettingsProblem {
                    line: line_of(text, &key),
                    key: key.clone(),
                    fault: SettingsFault::SharedToken { other: other.to_owned() },
                });
            }
        }
    }
}

fn form_problem(text: &str, key: String, value: &str, allowed: &'static str) -> SettingsProblem {
    SettingsProblem {
        line: line_of(text, &key),
        fault: SettingsFault::Form { value: value.to_owned(), allowed },
        key,
    }
}

/// Line of the value of the dotted `key`, or 0 when the file does not set it.
fn line_of(text: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 0;
    };
    let mut position = 0;
    let mut value = &DeValue::Table(root.into_inner());
    for part in key.split('.') {
        let next = match value {
            DeValue::Table(table) => table.get(part),
            DeValue::Array(array) => part.parse::<usize>().ok().and_then(|index| array.get(index)),
            _ => None,
        };
        let Some(next) = next else {
            return 0;
        };
        position = next.span().start;
        value = next.get_ref();
    }
    line_at(text, position)
}
