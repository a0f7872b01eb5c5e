//! Orders that load or unload models or change the role.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{AppliedOrder, Engine, Role};
use crate::client::get_json;
use crate::http::{Body, bad_request, json, read_json};
use crate::weights::WeightAnswer;

#[derive(Debug, Deserialize)]
struct OrderCall {
    order_id: String,
    fencing: u64,
    #[serde(default)]
    expires_in_ms: Option<u64>,
    kind: OrderKind,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    Load(String),
    Unload(String),
    Role(Role),
}

#[derive(Debug, Serialize)]
struct Applied {
    applied: bool,
}

#[derive(Debug, Serialize)]
struct StaleFencing {
    last_fencing: u64,
}

impl Engine {
    pub(super) async fn order(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let call: OrderCall = match read_json(request).await {
            Ok(call) => call,
            Err(error) => return bad_request(&error),
        };
        if call.expires_in_ms == Some(0) {
            return json(StatusCode::GONE, &Applied { applied: false });
        }
        let mut orders = self.orders.lock();
        if orders.applied.iter().any(|order| order.order_id == call.order_id) {
            return json(StatusCode::OK, &Applied { applied: true });
        }
        if self.settings.checks_fencing && call.fencing < orders.last_fencing {
            let last_fencing = orders.last_fencing;
            return json(StatusCode::CONFLICT, &StaleFencing { last_fencing });
        }
        orders.last_fencing = call.fencing;
        orders.applied.push(AppliedOrder { order_id: call.order_id, fencing: call.fencing });
        match call.kind {
            OrderKind::Load(model) => self.spawn(|engine| async move { engine.load_model(model).await }),
            OrderKind::Unload(model) => {
                orders.models.remove(&model);
            }
            OrderKind::Role(role) => orders.role = role,
        }
        json(StatusCode::OK, &Applied { applied: true })
    }

    async fn load_model(&self, model: String) {
        if let Some(store) = self.settings.weights {
            let path = format!("/weights/{model}");
            let Ok(weights) = get_json::<WeightAnswer>(store, &path).await else {
                return;
            };
            let millis = weights.bytes.saturating_mul(1_000) / weights.rate_bytes_per_s.max(1);
            sleep(self.faults.scale_time(Duration::from_millis(millis))).await;
        }
        self.orders.lock().models.insert(model);
        self.changes.send_modify(|count| *count += 1);
    }
}
