//! Counters of the link.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters of a link since its start.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct LinkCounts {
            $($(#[$doc])* pub $name: u64,)*
        }

        #[derive(Debug, Default)]
        pub(super) struct Counters {
            $(pub(super) $name: AtomicU64,)*
        }

        impl Counters {
            pub(super) fn read(&self) -> LinkCounts {
                LinkCounts { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }

        impl LinkCounts {
            /// Counters by name, for metrics.
            pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }
    };
}

counts!(
    /// Bytes sent for control: membership, spreading and probes, including transport headers.
    control_bytes,
    /// Frames sent for control.
    control_frames,
    /// Bytes sent on behalf of requests: slots and claims, including transport headers.
    request_bytes,
    /// Frames sent on behalf of requests.
    request_frames,
    /// Bytes received, including transport headers.
    received_bytes,
    /// Frames received.
    received_frames,
    /// Messages dropped because the address of the receiver is unknown.
    dropped_no_address,
    /// Attempts to connect that failed.
    connect_failed,
    /// Connections closed because the peer did not greet as a pull socket.
    refused_greeting,
    /// Frames lost because the connection broke while they were written.
    dropped_broken,
    /// Messages dropped because the queue of the connection was full.
    dropped_busy,
    /// Messages dropped because they exceed the maximum frame size.
    dropped_too_long,
    /// Received frames that cannot be decoded, are too long, or have an unknown version.
    refused_malformed,
    /// Received frames with a wrong authentication code.
    refused_forged,
    /// Received frames that were already received before.
    refused_replayed,
    /// Received frames from an old incarnation of the sender.
    refused_old_life,
    /// Probes sent.
    probes,
    /// Connections redialled because they were silent.
    redialled,
);

pub(super) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
