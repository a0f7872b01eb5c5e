//! Reads request bodies within a bound on the memory of all of them.
//!
//! Each body is bounded, but a few thousand of them would still fill the memory of a small host. The process
//! would be killed, and with it every request in flight, including those of other partners. Memory is
//! therefore reserved before a body is read, and no partner may reserve more than half of it.

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

/// Unit in which memory is reserved, because the semaphore's permits are 32 bits wide.
const PERMIT_BYTES: u64 = 1 << 10;

/// A partner may reserve at most the total divided by this.
const PARTNER_DIVISOR: u64 = 2;

/// Retry delay for a caller whose body found no free memory; bodies are held for seconds.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Reads bodies and accounts for their memory.
#[derive(Debug)]
pub struct BodyReader {
    limits: LimitSettings,
    memory: Arc<Semaphore>,
    partners: HashMap<PartnerId, Arc<Semaphore>>,
}

/// A body and its reserved memory. The reservation ends when the last copy of the bytes is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _permits: [OwnedSemaphorePermit; 2],
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBody {
    /// The body as received.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    /// Replaces the body by `bytes` derived from it, which must not be longer, and keeps the reservation.
    pub fn replace_bytes(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Self { bytes, ..self })
    }
}

impl BodyReader {
    /// Creates a reader with the memory bounds of the settings, for these partners.
    pub fn new<'a, Partners>(limits: LimitSettings, partners: Partners) -> Self
    where
        Partners: Iterator<Item = &'a PartnerId>,
    {
        let largest = limits.body_bytes;
        let all = limits.held_body_bytes.max(largest);
        let part_bytes = ByteCount(all.0 / PARTNER_DIVISOR).max(largest);
        let semaphore = |bytes: ByteCount| Arc::new(Semaphore::new(permit_count(bytes.0) as usize));
        Self {
            memory: semaphore(all),
            partners: partners.map(|partner| (partner.clone(), semaphore(part_bytes))).collect(),
            limits,
        }
    }

    /// Reads a complete body from `partner`.
    ///
    /// # Errors
    ///
    /// A refusal when the body is too large, too slow or truncated, or when no memory is free for it.
    pub async fn read(&self, partner: &PartnerId, body: Incoming) -> Result<HeldBody, Refusal> {
        let expected = body.size_hint().exact().unwrap_or(self.limits.body_bytes.0);
        // A body whose announced length is too large is refused before any of it is read.
        if expected > self.limits.body_bytes.0 {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
        }
        let permits = self.reserve(partner, permit_count(expected))?;
        let bytes = self.collect(body).await?;
        Ok(HeldBody { bytes, _permits: permits })
    }

    fn reserve(&self, partner: &PartnerId, count: u32) -> Result<[OwnedSemaphorePermit; 2], Refusal> {
        let none = Refusal::not_run(RefusalReason::Overloaded).retry_after(RETRY_AFTER_MS);
        let own = self.partners.get(partner).unwrap_or(&self.memory);
        let own = Arc::clone(own).try_acquire_many_owned(count).map_err(|_| none)?;
        let all = Arc::clone(&self.memory).try_acquire_many_owned(count).map_err(|_| none)?;
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

fn permit_count(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX)
}
