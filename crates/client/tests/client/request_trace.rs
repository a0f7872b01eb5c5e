//! Traces of requests from log lines.

use hibiscusvale_cli::request_trace::{HostEvent, HostLog, Step, find};

/// Log of the host that received the request; its clock is an hour ahead of the other's.
const RECEIVING_HOST_LOG: &str = r#"
{"level":"info","timestamp":3600000,"payload":"changed","kv":{"what":"started","detail":"19c3"},"tid":1}
{"level":"info","timestamp":3650100,"payload":"servers changed","kv":{"came":"","changed":"i-2:leaving","gone":"i-1"},"tid":1}
{"level":"info","timestamp":3650300,"payload":"changed","kv":{"what":"request lines left out","detail":"17"},"tid":1}
{"level":"info","timestamp":3650400,"payload":"request relayed","kv":{"request_id":"19c3-a","call":"c-other","route":"r-1","version":7,"outcome":"answered","steps":"","took_ms":3},"tid":1}
 12.5 front-1 {"level":"info","timestamp":3651000,"payload":"request relayed","kv":{"request_id":"19c3-b","call":"c-1","route":"r-1","version":7,"outcome":"would-wait-too-long","steps":"reserve:i-3:no-room@20 read:i-4:@130 write:i-5:broken@450","took_ms":900},"tid":1}
{"level":"info","timestamp":3652000,"payload":"changed","kv":{"what":"daemon silent","detail":"front-2"},"tid":1}
{"level":"info","timestamp":36520"#;

const OTHER_HOST_LOG: &str = r#"{"level":"info","timestamp":50000,"payload":"changed","kv":{"what":"servers lost","detail":"x"},"tid":1}
{"level":"info","timestamp":51000,"payload":"request relayed","kv":{"request_id":"77-1","call":"c-2","route":"r-1","version":7,"outcome":"answered","steps":"answer:i-9:@40","took_ms":40},"tid":1}"#;

fn logs() -> [HostLog<'static>; 2] {
    [HostLog { host: "front-1", text: RECEIVING_HOST_LOG }, HostLog { host: "front-2", text: OTHER_HOST_LOG }]
}

/// Traces a refused request by its call id through the logs of two hosts whose clocks are an hour apart. Some lines were
/// left out under load, and the last one is truncated.
#[test]
fn a_refused_request_is_traced_step_by_step() {
    let [trace] = &*find("c-1", &logs()) else {
        panic!("one attempt");
    };
    assert_eq!((trace.host.as_str(), trace.request_id.as_str()), ("front-1", "19c3-b"));
    assert_eq!((trace.outcome.as_str(), trace.took_ms), ("would-wait-too-long", 900));
    let step = |after_ms, what: &str, server: &str, cause: &str| Step {
        after_ms,
        what: what.to_owned(),
        server: server.to_owned(),
        cause: cause.to_owned(),
    };
    let expected = [
        step(20, "reserve", "i-3", "no-room"),
        step(130, "read", "i-4", ""),
        step(450, "write", "i-5", "broken"),
    ];
    assert_eq!(trace.steps, expected);
    assert_eq!(trace.left_out, 17);
    // Includes the host's events shortly before the request; leaves out its start, later events and the other host's events.
    let event = HostEvent { after_ms: 0, what: "servers changed: changed i-2:leaving, gone i-1".to_owned() };
    assert_eq!(trace.news, [event]);
}

#[test]
fn a_request_is_found_by_its_request_id() {
    assert_eq!(find("19c3-b", &logs()), find("c-1", &logs()));
    assert_eq!(find("77-1", &logs())[0].host, "front-2");
}

/// A prefix of an id does not match, and an unknown id gives no trace.
#[test]
fn other_requests_are_not_traced() {
    assert_eq!(find("c-", &logs()), []);
    assert_eq!(find("c-3", &logs()), []);
}
