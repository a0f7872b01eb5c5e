//! Stream outcomes counted from log lines.

use hibiscusvale_cli::stream_outcomes::{StreamOutcome, StreamOutcomes, Targets, count};

const TARGETS: Targets = Targets { first_event_ms: 900, pause_ms: 300 };

fn request_line(at_ms: u64, outcome: &str, steps: &str, first_event_ms: u64, pause_ms: u64) -> String {
    format!(
        "  12.3 entry-1 {{\"timestamp\":{at_ms},\"payload\":\"request relayed\",\"kv\":{{\"outcome\":\"{outcome}\",\
         \"steps\":\"{steps}\",\"generation\":\"[5000, 1190, 400, 60]\",\"first_event_ms\":{first_event_ms},\
         \"longest_pause_ms\":{pause_ms},\"took_ms\":1000}}}}"
    )
}

/// After a burst the counts show where streams failed: while they waited, at one engine, or in the first second only.
/// Lines of other events, requests for plain services and a truncated line are not counted.
#[test]
fn streams_are_counted_by_outcome_second_and_server() {
    let log = [
        request_line(11_000, "answered", "read:r-1:@90 write:w-1:@100", 100, 50),
        request_line(11_500, "answered", "read:r-1:@940 write:w-1:@950", 950, 50),
        request_line(13_100, "answered", "write:w-2:@100", 100, 400),
        request_line(13_200, "would-wait-too-long", "", 0, 0),
        "{\"timestamp\":1,\"payload\":\"changed\",\"kv\":{}}".to_owned(),
        request_line(13_300, "answered", "answer:p-1:@3", 0, 0)
            .replace("[5000, 1190, 400, 60]", "[0, 0, 0, 0]"),
        "{\"timestamp\":13400,\"payload\":\"request rel".to_owned(),
    ];
    let outcomes = count(log.iter().map(String::as_str), TARGETS);
    let refused = StreamOutcome::Other("would-wait-too-long".to_owned());
    let all =
        [StreamOutcome::InTime, StreamOutcome::LateFirstEvent, StreamOutcome::LongPause, refused.clone()];
    assert_eq!(outcomes.all, all.into_iter().map(|outcome| (outcome, 1)).collect());
    assert_eq!(outcomes.seconds.keys().copied().collect::<Vec<_>>(), [0, 2]);
    assert_eq!(outcomes.servers["w-1"].len(), 2);
    assert_eq!(outcomes.servers[""][&refused], 1);
    let json = serde_json::to_value(&outcomes).expect("labels are strings");
    assert_eq!(json["all"]["late first event"], 1);
}

#[test]
fn logs_without_streams_give_empty_counts() {
    assert_eq!(count(std::iter::once("not a daemon's line"), TARGETS), StreamOutcomes::default());
}
