//! Transfer of the KV cache from a prefill engine to a decode engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::work::Refusal;
use super::{Engine, Role};
use crate::client::post_json;
use crate::engine_memory::{ImportStart, Owner, Prompt, Stage};
use crate::http::{Body, bad_request, json, read_json};

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Debug, Deserialize)]
struct ImportCall {
    request_id: String,
    owner: Owner,
    model: String,
    source: SocketAddr,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    rate_bytes_per_s: Option<u64>,
}

#[derive(Debug, Serialize)]
struct ImportAnswer {
    kv_bytes: u64,
    transfer_ms: u64,
}

/// Body of an export request, and of the confirmation that the import is complete.
#[derive(Debug, Deserialize, Serialize)]
struct ExportCall {
    request_id: String,
}

#[derive(Debug, Deserialize, Serialize)]
struct Released {
    released: bool,
}

/// The source engine dropped the result before the transfer completed.
#[derive(Clone, Copy, Debug)]
struct SourceGone;

impl Engine {
    pub(super) async fn import(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let call: ImportCall = match read_json(request).await {
            Ok(call) => call,
            Err(error) => return bad_request(&error),
        };
        let held = self.memory.lock().get(&call.request_id).is_some();
        if !held && let Err(refusal) = self.admit(&call.model, Role::Decode) {
            return refusal.response();
        }
        let started = Instant::now();
        let id = call.request_id.clone();
        let start = self.change(|memory| memory.start_import(&id, call.owner.clone(), call.priority));
        match start {
            ImportStart::NoSlot => return Refusal::NoSlot(true).response(),
            ImportStart::Done | ImportStart::Wait => {}
            // As in a real engine, the transfer continues if the caller disconnects.
            ImportStart::Begin => self.spawn(|engine| async move { engine.copy_or_abort(&call).await }),
        }
        self.wait_imported(&id).await;
        self.import_answer(&id, started)
    }

    async fn copy_or_abort(&self, call: &ImportCall) {
        if self.copy(call).await.is_err() {
            self.change(|memory| memory.abort_import(&call.request_id));
        }
    }

    async fn wait_imported(&self, id: &str) {
        let mut changes = self.changes.subscribe();
        let importing = |engine: &Self| {
            let memory = engine.memory.lock();
            memory.get(id).is_some_and(|held| held.stage == Stage::Importing)
        };
        while importing(self) && changes.changed().await.is_ok() {}
    }

    fn import_answer(&self, id: &str, started: Instant) -> Response<Body> {
        let memory = self.memory.lock();
        let Some(held) = memory.get(id).filter(|held| held.stage.has_slot()) else {
            return Refusal::Gone(true).response();
        };
        let answer = ImportAnswer {
            kv_bytes: held.prompt_tokens * self.settings.kv_bytes_per_token,
            transfer_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        json(StatusCode::OK, &answer)
    }

    async fn copy(&self, call: &ImportCall) -> Result<(), SourceGone> {
        let export = ExportCall { request_id: call.request_id.clone() };
        let prompt: Prompt =
            post_json(call.source, "/standin/export", &export).await.map_err(|_| SourceGone)?;
        let kv_bytes = prompt.tokens() * self.settings.kv_bytes_per_token;
        *self.transfers.lock() += 1;
        sleep(self.faults.scale_time(self.transfer_time(kv_bytes, call.rate_bytes_per_s))).await;
        *self.transfers.lock() -= 1;
        let released: Released =
            post_json(call.source, "/standin/exported", &export).await.map_err(|_| SourceGone)?;
        if !released.released {
            return Err(SourceGone);
        }
        self.change(|memory| memory.finish_import(&call.request_id, prompt));
        Ok(())
    }

    /// Concurrent transfers share the link bandwidth equally; a caller may request a lower rate.
    fn transfer_time(&self, kv_bytes: u64, requested: Option<u64>) -> Duration {
        let transfers = (*self.transfers.lock()).max(1) as u64;
        let share = (self.settings.link_bytes_per_s / transfers).max(1);
        let rate =
            requested.filter(|&requested| requested > 0).map_or(share, |requested| requested.min(share));
        Duration::from_micros(kv_bytes.saturating_mul(MICROS_PER_SECOND) / rate)
    }

    pub(super) async fn export(&self, request: Request<Incoming>) -> Response<Body> {
        let call: ExportCall = match read_json(request).await {
            Ok(call) => call,
            Err(error) => return bad_request(&error),
        };
        let prompt = self.change(|memory| memory.start_export(&call.request_id, Instant::now()));
        match prompt {
            Some(prompt) => json(StatusCode::OK, &prompt),
            None => Refusal::Gone(true).response(),
        }
    }

    pub(super) async fn exported(&self, request: Request<Incoming>) -> Response<Body> {
        match read_json::<ExportCall>(request).await {
            Ok(call) => {
                let released = self.change(|memory| memory.finish_export(&call.request_id));
                json(StatusCode::OK, &Released { released })
            }
            Err(error) => bad_request(&error),
        }
    }
}
