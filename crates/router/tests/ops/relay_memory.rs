//! Memory that requests of a daemon in relay mode hold, without a network.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::relay::CapacitySettings;
use hibiscusvale::relay::memory_limit::{HeldBuffer, HeldMemory, MemoryLimit, NoMemory};
use hibiscusvale_core::units::Bytes as ByteCount;
use proptest::prelude::*;
use tokio::time::timeout;

/// Part of the limit that bodies have; answers have as much.
const HALF: ByteCount = ByteCount(1_000);

fn limit() -> MemoryLimit {
    MemoryLimit::new(Some(ByteCount(2 * HALF.0)))
}

fn held(limit: &MemoryLimit, size: u64) -> HeldMemory {
    let mut memory = limit.body();
    memory.try_grow(ByteCount(size)).unwrap();
    memory
}

/// The smallest hosts of the shared booking have 88 MB; their daemons must have room for bodies and answers of many
/// callers, and keep three quarters for everything else.
#[test]
fn a_quarter_of_the_memory_may_be_held() {
    let settings = CapacitySettings { memory_mb: Some(88.0), ..CapacitySettings::default() };
    let limit = MemoryLimit::new(settings.held_bytes_max());
    assert_eq!(limit.max(), Some(ByteCount(22_000_000)));
    assert_eq!(MemoryLimit::new(CapacitySettings::default().held_bytes_max()).max(), None);
}

/// With one more large body than fits, a daemon would have no room for any other caller.
#[test]
fn large_holders_leave_room_for_small_ones() {
    let limit = limit();
    let large: Vec<HeldMemory> = (0..100)
        .filter_map(|_| {
            let mut memory = limit.body();
            memory.try_grow(ByteCount(100)).ok().map(|()| memory)
        })
        .collect();
    assert_eq!(large.len(), 9);
    let mut small = limit.body();
    assert_eq!(small.try_grow(ByteCount(50)), Ok(()));
}

/// The table of routes allows bodies that are larger than the limit of a small host.
#[test]
fn one_holder_of_any_size_is_admitted_alone() {
    let limit = limit();
    let mut alone = limit.body();
    assert_eq!(alone.try_grow(ByteCount(5_000)), Ok(()));
    assert_eq!(alone.try_grow(ByteCount(5_000)), Ok(()));
    assert_eq!(limit.body().try_grow(ByteCount(1)), Err(NoMemory));
    drop(alone);
    let _small = held(&limit, 1);
    assert_eq!(limit.body().try_grow(ByteCount(5_000)), Err(NoMemory));
}

/// Bodies are held until their answers are complete: if they could fill everything, no answer would find room.
#[test]
fn bodies_leave_room_for_answers() {
    let limit = limit();
    let _bodies = held(&limit, 5_000);
    assert_eq!(limit.answer().try_grow(HALF), Ok(()));
}

/// Memory that a request leaks is missing until the daemon restarts, so every way to end must release it: a drop, a panic,
/// a dropped future and the last copy of the bytes.
#[tokio::test]
async fn memory_is_released_however_a_request_ends() {
    let limit = limit();
    drop(held(&limit, 100));
    assert_eq!(limit.held(), ByteCount::ZERO);

    let panicked = catch_unwind(AssertUnwindSafe(|| {
        let _memory = held(&limit, 100);
        panic!("a request panics");
    }));
    assert!(panicked.is_err());
    assert_eq!(limit.held(), ByteCount::ZERO);

    let mut memory = held(&limit, 100);
    let pending = async {
        let _own = held(&limit, 50);
        memory.grow(HALF).await;
    };
    assert!(timeout(Duration::from_millis(10), pending).await.is_err());
    assert_eq!(limit.held(), ByteCount(100));

    let bytes = memory.attach(Bytes::from_static(b"an answer"));
    let copy = bytes.slice(3..);
    drop(bytes);
    assert_eq!(limit.held(), ByteCount(100));
    drop(copy);
    assert_eq!(limit.held(), ByteCount::ZERO);
}

/// An answer that does not fit must go on as soon as another one is delivered, and not at its deadline.
#[tokio::test]
async fn answer_waits_until_others_are_delivered() {
    let limit = std::sync::Arc::new(limit());
    let mut first = limit.answer();
    first.grow(HALF).await;
    let waiting = tokio::spawn({
        let limit = std::sync::Arc::clone(&limit);
        async move {
            let mut second = limit.answer();
            second.grow(ByteCount(400)).await;
            limit.held()
        }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(!waiting.is_finished());
    first.shrink_to(ByteCount(200));
    let after = timeout(Duration::from_secs(5), waiting).await.expect("the release was missed").unwrap();
    assert_eq!(after, ByteCount(600));
    let part = first.split(ByteCount(150));
    drop(first);
    assert_eq!(limit.held(), ByteCount(150));
    drop(part);
    assert_eq!(limit.held(), ByteCount::ZERO);
}

/// A buffer that holds more than is counted would let the daemon exceed its memory unseen.
#[test]
fn buffer_counts_what_it_holds() {
    let limit = MemoryLimit::new(Some(ByteCount(100_000)));
    let _other = held(&limit, 10_000);
    let mut buffer = HeldBuffer::new(limit.body());
    let mut size = 0;
    while size < 50_000 && buffer.try_extend(&[7; 100]).is_ok() {
        size += 100;
        assert!(limit.held() >= ByteCount(10_000 + size));
    }
    assert!((19_900..=20_000).contains(&size), "{size}");
    let body = buffer.into_bytes();
    assert_eq!(body.len() as u64, size);
    assert_eq!(limit.held(), ByteCount(10_000 + size));
    drop(body);
    assert_eq!(limit.held(), ByteCount(10_000));
}

proptest! {
    /// Whatever requests ask for and release in whatever order: the limit is only exceeded by one that holds alone, and
    /// nothing is left when all have ended.
    #[test]
    fn limit_holds(steps in prop::collection::vec((0_usize..8, 0_u64..1_200, any::<bool>()), 1..200)) {
        let limit = limit();
        let mut holders: Vec<Option<(HeldMemory, u64)>> = (0..8).map(|_| None).collect();
        for (slot, size, is_release) in steps {
            let (mut memory, own) = holders[slot].take().unwrap_or_else(|| (limit.body(), 0));
            if is_release {
                drop(memory);
            } else {
                let grown = memory.try_grow(ByteCount(size));
                holders[slot] = Some((memory, own + grown.map_or(0, |()| size)));
            }
            let sizes: Vec<u64> = holders.iter().flatten().map(|(_, own)| *own).collect();
            let sum: u64 = sizes.iter().sum();
            prop_assert_eq!(limit.held(), ByteCount(sum));
            let holding = sizes.iter().filter(|own| **own > 0).count();
            prop_assert!(sum <= HALF.0 || holding == 1);
        }
        drop(holders);
        prop_assert_eq!(limit.held(), ByteCount::ZERO);
    }
}
