//! Tests of the wire format of messages between daemons.

use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::slots::{GrantId, GrantRequest, SlotMessage};
use hibiscusvale_core::units::{Bytes, Micros, Tokens};

use super::*;

fn grant_request(wait_max_us: Option<Micros>) -> Frame {
    let request = GrantRequest {
        request_id: RequestId { incarnation: Incarnation::new(1_000, 1), sequence: 1 },
        grant_id: GrantId(1),
        server: "p0".parse().unwrap(),
        partner: "nadifa".parse().unwrap(),
        work_tokens: Tokens(100),
        kv_bytes: Bytes(1_000),
        charge_us: Micros(1_000),
        slack_us: None,
        copies: 1,
        needed_in_us: None,
        wait_max_us,
    };
    Frame {
        from: "entry-2".parse().unwrap(),
        incarnation: Incarnation::new(1_000, 1),
        sequence: 1,
        payload: Payload::Body(PeerBody::Slots(SlotMessage::Request(request))),
    }
}

/// While daemons are updated one by one, those of the earlier version send messages without the fields added since. If
/// these were dropped, the servers that updated daemons watch would seem to have no watcher.
#[test]
fn decodes_message_of_an_earlier_version() {
    let key = "01".repeat(KEY_BYTES).parse::<PeerKey>().unwrap();
    let own = "entry-1".parse().unwrap();
    let current = encode(&grant_request(None), &key, Some(&own)).unwrap();
    let earlier_len = current.len() - MAC_BYTES - 1;
    let mut earlier = current[..earlier_len].to_vec();
    let code = auth_code(&key, &earlier, Some(&own));
    earlier.extend_from_slice(&code);
    assert_eq!(decode(&earlier, &key, &own), Ok(grant_request(None)));
    let stated = encode(&grant_request(Some(Micros(7))), &key, Some(&own)).unwrap();
    assert_eq!(decode(&stated, &key, &own), Ok(grant_request(Some(Micros(7)))));
}

/// More is missing than the fields added since: the message is not one of an earlier version.
#[test]
fn rejects_truncated_message() {
    let key = "01".repeat(KEY_BYTES).parse::<PeerKey>().unwrap();
    let own = "entry-1".parse().unwrap();
    let whole = encode(&grant_request(None), &key, Some(&own)).unwrap();
    let mut truncated = whole[..whole.len() - MAC_BYTES - 3].to_vec();
    let code = auth_code(&key, &truncated, Some(&own));
    truncated.extend_from_slice(&code);
    assert_eq!(decode(&truncated, &key, &own), Err(FrameError::Malformed));
}
