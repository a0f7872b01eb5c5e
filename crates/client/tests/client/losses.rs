//! What streams came to, from log lines.

use hibiscusvale_cli::losses::{Ending, Losses, Targets, count};

const TARGETS: Targets = Targets { first_event_ms: 900, pause_ms: 300 };

fn relayed(at_ms: u64, outcome: &str, steps: &str, first_event_ms: u64, pause_ms: u64) -> String {
    format!(
        "  12.3 entry-1 {{\"timestamp\":{at_ms},\"payload\":\"request relayed\",\"kv\":{{\"outcome\":\"{outcome}\",\
         \"steps\":\"{steps}\",\"generation\":\"[5000, 1190, 400, 60]\",\"first_event_ms\":{first_event_ms},\
         \"longest_pause_ms\":{pause_ms},\"took_ms\":1000}}}}"
    )
}

/// After a burst somebody asks where answers were lost: in wait, at an engine, or in the first second only.
#[test]
fn streams_are_counted_by_what_they_came_to() {
    let log = [
        relayed(11_000, "answered", "read:r-1:@90 write:w-1:@100", 100, 50),
        relayed(11_500, "answered", "read:r-1:@940 write:w-1:@950", 950, 50),
        relayed(13_100, "answered", "write:w-2:@100", 100, 400),
        relayed(13_200, "would-wait-too-long", "", 0, 0),
        "{\"timestamp\":1,\"payload\":\"changed\",\"kv\":{}}".to_owned(),
        relayed(13_300, "answered", "answer:p-1:@3", 0, 0).replace("[5000, 1190, 400, 60]", "[0, 0, 0, 0]"),
        "{\"timestamp\":13400,\"payload\":\"request rel".to_owned(),
    ];
    let losses = count(log.iter().map(String::as_str), TARGETS);
    let refused = Ending::Other("would-wait-too-long".to_owned());
    let all = [Ending::InTime, Ending::LateFirstEvent, Ending::LongPause, refused.clone()];
    assert_eq!(losses.all, all.into_iter().map(|ending| (ending, 1)).collect());
    assert_eq!(losses.seconds.keys().copied().collect::<Vec<_>>(), [0, 2]);
    assert_eq!(losses.servers["w-1"].len(), 2);
    assert_eq!(losses.servers[""][&refused], 1);
    let json = serde_json::to_value(&losses).expect("names of fields are text");
    assert_eq!(json["all"]["late first event"], 1);
}

#[test]
fn logs_without_streams_have_nothing_to_count() {
    assert_eq!(count(std::iter::once("no line of ours"), TARGETS), Losses::default());
}
