//! Runs without a crash, and the crash reports that they refute.

use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::quarantine::{
    CallerIdentity, Fingerprint, Quarantine, QuarantineSettings, RequestIdentity,
};
use hibiscusvale_core::units::{Millis, MonoTime};

fn daemon(number: u64) -> Quarantine {
    Quarantine::new(QuarantineSettings::default(), Incarnation::new(number, 0))
}

fn request() -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        caller: CallerIdentity::Anonymous,
        method: "GET",
        host: "h",
        path: "/slots",
        body: b"",
    })
}

fn at(at_ms: u64) -> MonoTime {
    MonoTime::default() + Millis(at_ms)
}

fn record_crashes(daemon: &mut Quarantine, times_ms: &[u64]) {
    for at_ms in times_ms {
        let server = format!("i-{at_ms}").parse().unwrap();
        daemon.record_crash(at(*at_ms), request(), server, Millis(20));
    }
}

/// A frequent request was refused everywhere because the daemon that saw it at three crashing servers had never run
/// it before.
#[test]
fn run_on_another_daemon_refutes_crashes_that_coincide() {
    let (mut runs_it, mut first_time) = (daemon(1), daemon(2));
    runs_it.record_survival(at(1_000), request());

    record_crashes(&mut first_time, &[1_200, 1_260]);
    let outcome = runs_it.receive(at(1_270), first_time.gossip(at(1_265)));
    assert_eq!(outcome.refutations.len(), 1);
    assert_eq!(outcome.refutations[0].survival_age_ms, Millis(270));

    first_time.receive(at(1_280), runs_it.gossip(at(1_275)));
    record_crashes(&mut first_time, &[1_320]);
    assert!(!first_time.is_quarantined(request()));
    assert!(!runs_it.is_quarantined(request()));
}

/// Three crashes were counted before the refutation arrived, so the request is refused until it does.
#[test]
fn refutation_that_arrives_late_ends_the_quarantine() {
    let (mut runs_it, mut first_time) = (daemon(1), daemon(2));
    runs_it.record_survival(at(1_000), request());
    record_crashes(&mut first_time, &[1_200, 1_210, 1_220]);
    assert!(first_time.is_quarantined(request()));

    runs_it.receive(at(1_270), first_time.gossip(at(1_265)));
    assert!(!runs_it.is_quarantined(request()));
    let outcome = first_time.receive(at(1_280), runs_it.gossip(at(1_275)));
    assert_eq!(outcome.verdicts.len(), 1);
    assert!(!first_time.is_quarantined(request()));
}

/// A request that servers used to run begins to crash them, for example after a release; no daemon may go on
/// sending it because of the old runs.
#[test]
fn crashes_long_after_a_run_count() {
    let (mut runs_it, mut other) = (daemon(1), daemon(2));
    runs_it.record_survival(at(1_000), request());
    record_crashes(&mut runs_it, &[60_000, 61_000, 62_000]);
    assert!(runs_it.is_quarantined(request()));

    let outcome = other.receive(at(62_010), runs_it.gossip(at(62_005)));
    assert!(outcome.refutations.is_empty());
    assert!(other.is_quarantined(request()));
}
