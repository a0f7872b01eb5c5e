use super::*;

const SERVER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// A server that goes on must cost less and less, and one that recovers must be used again within seconds.
#[test]
fn suspensions_grow_to_a_limit_and_are_forgotten() {
    let suspensions = Suspensions::default();
    let mut now = Instant::now();
    for expected_s in [2, 4, 8, 16, 16] {
        assert!(!suspensions.is_suspended(now, SERVER, CallScope::Requests));
        let pause = suspensions.suspend(now, SERVER, CallScope::Requests);
        assert_eq!(pause, Duration::from_secs(expected_s));
        assert!(suspensions.is_suspended(now + pause / 2, SERVER, CallScope::Requests));
        now += pause;
    }
    now += Duration::from_secs(30);
    assert_eq!(suspensions.suspend(now, SERVER, CallScope::Requests), Duration::from_secs(2));
}

/// Calls that were under way together must not count as one fault after the other.
#[test]
fn answers_of_earlier_calls_do_not_prolong_a_suspension() {
    let suspensions = Suspensions::default();
    let now = Instant::now();
    suspensions.suspend(now, SERVER, CallScope::Requests);
    let later = now + Duration::from_millis(1_600);
    assert_eq!(suspensions.suspend(later, SERVER, CallScope::Requests), Duration::from_millis(400));
    assert!(!suspensions.is_suspended(now + Duration::from_secs(2), SERVER, CallScope::Requests));
}

/// A server whose reports do not end may serve requests.
#[test]
fn scopes_are_suspended_apart() {
    let suspensions = Suspensions::default();
    let now = Instant::now();
    suspensions.suspend(now, SERVER, CallScope::Router);
    assert!(suspensions.is_suspended(now, SERVER, CallScope::Router));
    assert!(!suspensions.is_suspended(now, SERVER, CallScope::Requests));
}

/// A server that starts at the address of one that was suspended must get requests.
#[test]
fn the_next_server_at_an_address_is_not_suspended() {
    let suspensions = Suspensions::default();
    let now = Instant::now();
    suspensions.suspend(now, SERVER, CallScope::Requests);
    suspensions.forget(SERVER);
    assert!(!suspensions.is_suspended(now, SERVER, CallScope::Requests));
}
