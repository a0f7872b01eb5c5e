//! A request's story from log lines.

use hibiscusvale_cli::story::{HostLog, News, Step, find};

/// Lines as a daemon writes them; its clock is an hour ahead of the other's.
const TOOK_IT_IN: &str = r#"
{"level":"info","timestamp":3600000,"payload":"changed","kv":{"what":"started","detail":"19c3"},"tid":1}
{"level":"info","timestamp":3650100,"payload":"servers changed","kv":{"came":"","changed":"i-2:leaving","gone":"i-1"},"tid":1}
{"level":"info","timestamp":3650300,"payload":"changed","kv":{"what":"request lines left out","detail":"17"},"tid":1}
{"level":"info","timestamp":3650400,"payload":"request relayed","kv":{"request_id":"19c3-a","call":"c-other","route":"r-1","version":7,"outcome":"answered","steps":"","took_ms":3},"tid":1}
 12.5 front-1 {"level":"info","timestamp":3651000,"payload":"request relayed","kv":{"request_id":"19c3-b","call":"c-1","route":"r-1","version":7,"outcome":"would-wait-too-long","steps":"reserve:i-3:no-room@20 read:i-4:@130 write:i-5:broken@450","took_ms":900},"tid":1}
{"level":"info","timestamp":3652000,"payload":"changed","kv":{"what":"daemon silent","detail":"front-2"},"tid":1}
{"level":"info","timestamp":36520"#;

const OTHER: &str = r#"{"level":"info","timestamp":50000,"payload":"changed","kv":{"what":"servers lost","detail":"x"},"tid":1}
{"level":"info","timestamp":51000,"payload":"request relayed","kv":{"request_id":"77-1","call":"c-2","route":"r-1","version":7,"outcome":"answered","steps":"answer:i-9:@40","took_ms":40},"tid":1}"#;

fn logs() -> [HostLog<'static>; 2] {
    [HostLog { host: "front-1", text: TOOK_IT_IN }, HostLog { host: "front-2", text: OTHER }]
}

/// A caller complains about a refusal. The engineer has its id and the logs of two hosts whose clocks are an hour apart;
/// lines were left out, and the last one was cut off in the middle.
#[test]
fn a_refused_request_is_told_step_by_step() {
    let [told] = &*find("c-1", &logs()) else {
        panic!("one try");
    };
    assert_eq!((told.host.as_str(), told.request_id.as_str()), ("front-1", "19c3-b"));
    assert_eq!((told.outcome.as_str(), told.took_ms), ("would-wait-too-long", 900));
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
    assert_eq!(told.steps, expected);
    assert_eq!(told.left_out, 17);
    // What the host learned just before counts; its start long ago, what came later and the other host's news do not.
    let learned = News { after_ms: 0, what: "servers changed: changed i-2:leaving, gone i-1".to_owned() };
    assert_eq!(told.news, [learned]);
}

#[test]
fn the_relays_own_name_will_do_as_well() {
    assert_eq!(find("19c3-b", &logs()), find("c-1", &logs()));
    assert_eq!(find("77-1", &logs())[0].host, "front-2");
}

/// Part of a name is another request's, and a name that no log has is no story.
#[test]
fn other_requests_are_not_told() {
    assert_eq!(find("c-", &logs()), []);
    assert_eq!(find("c-3", &logs()), []);
}
