//! Logs and metrics.

use std::io::{self, Write};
use std::sync::Arc;

use hibiscusvale::logging::{LastStage, Log, RequestLine};
use hibiscusvale::member_log::{MemberChange, MemberEvent, changes};
use hibiscusvale::metrics::{Gauge, Label, MAX_CLASS_SERIES, Metrics};
use hibiscusvale::settings::LogLevel;
use hibiscusvale_core::ids::{ClassName, Incarnation, PartnerId, RequestId};
use hibiscusvale_core::membership::{MemberState, MembersView};
use hibiscusvale_core::sched::Stage;
use hibiscusvale_core::units::{Micros, Millis, Tokens};
use parking_lot::Mutex;

use crate::config::{host_id, only_member};

#[derive(Clone, Copy)]
enum TestLabel {
    Answered,
    Evicted,
    QueueFull,
}

impl Label for TestLabel {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Evicted => "evicted",
            Self::QueueFull => "queue-full",
        }
    }
}

#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn partner(name: &str) -> PartnerId {
    name.parse().expect("a partner")
}

fn class(name: &str) -> ClassName {
    name.parse().expect("a class")
}

#[test]
fn finished_request_is_logged_as_one_json_line() {
    let memory = MemoryWriter::default();
    let log = Log::to_writer(LogLevel::Info, memory.clone()).expect("a log");
    let request_id = RequestId { incarnation: Incarnation(7), sequence: 9 };
    let line = RequestLine {
        request_id,
        partner: Some(&partner("nadifa")),
        class: Some(&class("summary")),
        outcome: TestLabel::Answered,
        took_ms: Millis(12),
        attempts: 1,
        last_stage: Some(LastStage { stage: Stage::AwaitTurn, lasted_ms: Millis(11) }),
    };
    log.request_finished(line);
    log.request_refused(line, TestLabel::QueueFull);
    log.request_retried(request_id, TestLabel::Evicted);
    log.flush();
    let text = String::from_utf8(memory.0.lock().clone()).expect("text");
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("one JSON object a line")).collect();
    assert_eq!(lines.len(), 2, "the debug line is below the level: {text}");
    assert_eq!(lines[0]["payload"], "request finished");
    assert_eq!(lines[0]["kv"]["request_id"], request_id.to_string());
    assert_eq!(lines[0]["kv"]["partner"], "nadifa");
    assert_eq!(lines[0]["kv"]["class"], "summary");
    assert_eq!(lines[0]["kv"]["outcome"], "answered");
    assert_eq!(lines[0]["kv"]["stage"], "await-turn");
    assert_eq!(lines[0]["kv"]["stage_ms"], 11);
    assert_eq!(lines[1]["kv"]["reason"], "queue-full");
}

#[test]
fn scrape_contains_every_counter_with_its_labels() {
    let metrics = Metrics::new().expect("metrics");
    let summary = metrics.class(&partner("nadifa"), &class("summary"));
    summary.record_outcome(TestLabel::Answered);
    summary.record_outcome(TestLabel::Answered);
    summary.record_refusal(TestLabel::QueueFull);
    summary.record_retry(TestLabel::Evicted);
    summary.record_goodput();
    summary.record_prefill(Tokens(500));
    summary.record_wasted_prefill(TestLabel::Evicted, Tokens(40));
    summary.record_first_token(Micros(30_000));
    summary.record_per_token(Micros(12_000));
    metrics.count_peer_drops(TestLabel::Evicted, 1);
    metrics.set(Gauge::ControlSentBytesPerS, 77);
    let text = metrics.render();
    for expected in [
        r#"hibiscusvale_requests_total{class="summary",outcome="answered",partner="nadifa"} 2"#,
        r#"hibiscusvale_refusals_total{class="summary",partner="nadifa",reason="queue-full"} 1"#,
        r#"hibiscusvale_retries_total{class="summary",partner="nadifa",reason="evicted"} 1"#,
        r#"hibiscusvale_goodput_requests_total{class="summary",partner="nadifa"} 1"#,
        r#"hibiscusvale_prefill_tokens_total{class="summary",partner="nadifa"} 500"#,
        r#"hibiscusvale_wasted_prefill_tokens_total{cause="evicted",class="summary",partner="nadifa"} 40"#,
        r#"hibiscusvale_first_token_ms_bucket{partner="nadifa",le="50"} 1"#,
        r#"hibiscusvale_per_token_ms_count{partner="nadifa"} 1"#,
        r#"hibiscusvale_peer_messages_dropped_total{cause="evicted"} 1"#,
        "hibiscusvale_control_sent_bytes_per_s 77",
    ] {
        assert!(text.contains(expected), "{expected} is missing in\n{text}");
    }
    assert_eq!(metrics.totals()[0].goodput, 1);
}

/// A partner that publishes ever more classes must not create a metric series for each: the scrape would
/// outgrow the daemon's memory. Beyond the bound all classes are counted together, and the sum stays
/// complete.
#[test]
fn class_series_are_bounded() {
    let metrics = Metrics::new().expect("metrics");
    for index in 0..MAX_CLASS_SERIES + 50 {
        metrics.class(&partner("nadifa"), &class(&format!("c{index}"))).record_outcome(TestLabel::Answered);
    }
    let totals = metrics.totals();
    assert_eq!(totals.len(), MAX_CLASS_SERIES + 1);
    let sum: u64 = totals.iter().flat_map(|class| &class.outcomes).map(|count| count.count).sum();
    assert_eq!(sum, MAX_CLASS_SERIES as u64 + 50);
}

/// Each state change of a member is reported exactly once. Without the times at which a host was suspected,
/// declared dead and replaced, the log cannot explain the requests of that minute.
#[test]
fn each_member_change_is_reported_once() {
    let (none, live) = (MembersView::default(), only_member());
    let altered = |alter: fn(&mut hibiscusvale_core::membership::Member)| {
        let mut view = only_member();
        view.members.values_mut().flatten().for_each(alter);
        view
    };
    let suspect = altered(|member| member.state = MemberState::Suspect);
    let replaced = altered(|member| member.incarnation = Incarnation(9));
    let reported = |before, after| changes(before, after);
    let one = |event| vec![MemberChange { host: host_id(), event }];
    assert_eq!(reported(&none, &live), one(MemberEvent::Joined));
    assert_eq!(reported(&live, &suspect), one(MemberEvent::Became(MemberState::Suspect)));
    assert_eq!(reported(&live, &replaced), one(MemberEvent::Replaced));
    assert_eq!(reported(&suspect, &none), one(MemberEvent::Gone));
    assert_eq!(reported(&live, &live), vec![]);
}
