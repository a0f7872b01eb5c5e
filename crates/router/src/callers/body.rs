//! Reads request bodies within a bound on all that are held together.
//!
//! Each body is bounded by itself, and yet a few thousand of them would fill the memory of a small host: it would
//! be killed, and with it every request in flight, of the other partner too. So a body gets its room before it is
//! read, and no partner may hold more than half of all room.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::PartnerId;
use hibiscusvale_core::units::{Bytes as ByteCount, Millis};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::refusal::{Refusal, RefusalReason};
use crate::settings::LimitSettings;

/// Room is counted in units of this size, for the semaphore's permits are 32 bits wide.
const UNIT_BYTES: u64 = 1 << 10;

/// No partner holds more than this part of all room.
const PARTNER_DIVISOR: u64 = 2;

/// Told to a caller whose body found no room; bodies are held for seconds.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Reads bodies and accounts for their memory.
#[derive(Debug)]
pub struct Bodies {
    limits: LimitSettings,
    room: Arc<Semaphore>,
    partners: HashMap<PartnerId, Arc<Semaphore>>,
}

/// A body with the room that it takes. The room is free again when the last copy of the bytes is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _room: [OwnedSemaphorePermit; 2],
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBody {
    /// The body as it came.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    /// What was made of the body, in its room: not longer than the body.
    pub fn become_bytes(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Self { bytes, ..self })
    }
}

impl Bodies {
    /// Room as the settings bound it, for these partners.
    pub fn new<'a, Partners>(limits: LimitSettings, partners: Partners) -> Self
    where
        Partners: Iterator<Item = &'a PartnerId>,
    {
        let largest = limits.body_bytes;
        let all = limits.held_body_bytes.max(largest);
        let part = ByteCount(all.0 / PARTNER_DIVISOR).max(largest);
        let room = |bytes: ByteCount| Arc::new(Semaphore::new(units(bytes.0) as usize));
        Self {
            room: room(all),
            partners: partners.map(|partner| (partner.clone(), room(part))).collect(),
            limits,
        }
    }

    /// Reads a whole body of `partner`.
    ///
    /// # Errors
    ///
    /// A refusal when it is too large, too slow or cut off, or when there is no room for it now.
    pub async fn read(&self, partner: &PartnerId, body: Incoming) -> Result<HeldBody, Refusal> {
        let expected = body.size_hint().exact().unwrap_or(self.limits.body_bytes.0);
        // A length announced as too large is refused before a byte of it is read.
        if expected > self.limits.body_bytes.0 {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
        }
        let room = self.take_room(partner, units(expected))?;
        let bytes = self.collect(body).await?;
        Ok(HeldBody { bytes, _room: room })
    }

    fn take_room(&self, partner: &PartnerId, units: u32) -> Result<[OwnedSemaphorePermit; 2], Refusal> {
        let none = Refusal::not_run(RefusalReason::Overloaded).retry_after(RETRY_AFTER_MS);
        let own = self.partners.get(partner).unwrap_or(&self.room);
        let own = Arc::clone(own).try_acquire_many_owned(units).map_err(|_| none)?;
        let all = Arc::clone(&self.room).try_acquire_many_owned(units).map_err(|_| none)?;
        Ok([own, all])
    }

    async fn collect(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit_bytes = usize::try_from(self.limits.body_bytes.0).unwrap_or(usize::MAX);
        let timeout = Duration::from(self.limits.body_timeout_ms);
        match tokio::time::timeout(timeout, Limited::new(body, limit_bytes).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(Refusal::not_run(RefusalReason::BodyTooLarge))
            }
            Ok(Err(_)) => Err(Refusal::not_run(RefusalReason::BodyTruncated)),
            Err(_) => Err(Refusal::not_run(RefusalReason::BodyTooSlow)),
        }
    }
}

fn units(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}
