//! One request for a plain service. Sent again only on proof that it did not run.

use std::sync::Arc;

use bytes::Bytes;
use hibiscusvale_core::units::{Millis, Tokens};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::seq::IndexedRandom;

use super::{Dispatcher, Observed};
use crate::backend::{PlainCall, PlainFailure, PlainReply};
use crate::callers::{AnswerBody, BodyBroken, Outcome, PlainRequest, Refusal, RefusalReason};
use crate::clock;
use crate::directory::{BackendKind, BackendServer};

/// Instances tried, each but the last with proof that it did not run the request.
const MAX_ATTEMPTS: u32 = 3;

/// Wait for an answer.
const ANSWER_PATIENCE_MS: Millis = Millis(5_000);

const RESPONSE_TARGET_MS: Millis = Millis(1_000);

impl Dispatcher {
    /// Runs a request for a plain service.
    ///
    /// # Errors
    ///
    /// A refusal that says whether the request may have run.
    pub async fn plain(&self, request: PlainRequest) -> Result<Response<AnswerBody>, Refusal> {
        let mut observed = self.observer.plain(&request, RESPONSE_TARGET_MS, clock::now());
        let result = self.call_plain(&request, &mut observed).await;
        match &result {
            Ok(_) => observed.answered(clock::now(), Tokens::ZERO),
            Err(refusal) => observed.refused(clock::now(), *refusal),
        }
        result
    }

    async fn call_plain(
        &self,
        request: &PlainRequest,
        observed: &mut Observed,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let none = Refusal::not_run(RefusalReason::NoBackendServer).retry_after(Millis(1_000));
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(server) = self.pick_instance(&request.service, &tried) else {
                return Err(none);
            };
            observed.tried();
            match self.plain_services.call(server.address, call_of(request)).await {
                Ok(reply) => return Ok(response_of(request, reply)),
                Err(PlainFailure::Unknown(_)) if request.runs_at_most_once() => {
                    return Err(Refusal::unknown(RefusalReason::NoAnswer));
                }
                Err(PlainFailure::Leaving) => {
                    self.note_leaving(&server.id);
                }
                Err(PlainFailure::NotSent | PlainFailure::Unknown(_)) => {}
            }
            tried.push(server);
        }
        Err(Refusal::not_run(RefusalReason::RetriesExhausted).retry_after(Millis(1_000)))
    }

    fn pick_instance(&self, wanted: &str, tried: &[Arc<BackendServer>]) -> Option<Arc<BackendServer>> {
        let now_us = clock::now();
        let listing = self.directory.listing();
        let fit: Vec<_> = listing
            .servers
            .values()
            .filter(|server| self.directory.takes_work(now_us, server))
            .filter(|server| !tried.iter().any(|other| other.id == server.id))
            .filter(|server| matches!(&server.kind, BackendKind::Plain { service, .. } if service == wanted))
            .collect();
        fit.choose(&mut rand::rng()).map(|server| Arc::clone(server))
    }
}

fn call_of(request: &PlainRequest) -> PlainCall {
    PlainCall {
        request_id: request.request_id,
        key: request.head.key.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        timeout_ms: ANSWER_PATIENCE_MS,
    }
}

fn response_of(request: &PlainRequest, reply: PlainReply) -> Response<AnswerBody> {
    match reply {
        PlainReply::Whole {
            status,
            headers,
            body,
        } => whole(request, status, headers, body),
        PlainReply::Streamed {
            status,
            headers,
            body,
        } => finish(
            request,
            status,
            headers,
            body.map_err(|_| BodyBroken).boxed_unsync(),
        ),
    }
}

fn whole(
    request: &PlainRequest,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    finish(
        request,
        status,
        headers,
        Full::new(body).map_err(|never| match never {}).boxed_unsync(),
    )
}

fn finish(
    request: &PlainRequest,
    status: StatusCode,
    mut headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    headers.insert("x-outcome", HeaderValue::from_static(Outcome::Answered.as_str()));
    if let Ok(id) = HeaderValue::from_str(&request.request_id.to_string()) {
        headers.insert("x-request-id", id);
    }
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
