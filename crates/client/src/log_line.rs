//! Parses lines of the daemons' logs.

use serde_json::{Map, Value};

/// Event name of the line that a daemon logs when a request ends.
const REQUEST_EVENT: &str = "request relayed";

/// Value of `what` in the `changed` line that counts request lines left out under load.
pub(crate) const LINES_LEFT_OUT: &str = "request lines left out";

/// A log line: an event with its fields.
pub(crate) struct LogLine {
    /// Time of writing in Unix ms, by the host's clock.
    pub(crate) at_ms: u64,
    payload: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` for a truncated line or one that no daemon wrote.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        // Log collectors may prefix each line with a time and a host.
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let at_ms = fields.get("timestamp")?.as_u64()?;
        let payload = fields.get("payload")?.as_str()?.to_owned();
        match fields.remove("kv") {
            Some(Value::Object(fields)) => Some(Self { at_ms, payload, fields }),
            _ => Some(Self { at_ms, payload, fields: Map::new() }),
        }
    }

    /// A field as text; empty if the line has no such field.
    pub(crate) fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// A field as a number; zero if the line has no such field or it is not a number.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    /// Whether the line records the end of a request.
    pub(crate) fn is_request(&self) -> bool {
        self.payload == REQUEST_EVENT
    }

    /// Whether the line records the end of the request with this id, either the caller's call id or the relay's
    /// request id.
    pub(crate) fn is_of_request(&self, id: &str) -> bool {
        self.is_request() && (self.text("call") == id || self.text("request_id") == id)
    }

    /// Describes the event that the host observed; `None` for lines about requests.
    pub(crate) fn host_event(&self) -> Option<String> {
        let fields = match self.payload.as_str() {
            REQUEST_EVENT => return None,
            "changed" if self.text("what") == LINES_LEFT_OUT => return None,
            "changed" => return Some(format!("{} {}", self.text("what"), self.text("detail"))),
            _ => self.fields.iter().filter(|(_, value)| value.as_str() != Some("")),
        };
        let fields: Vec<String> = fields.map(|(name, _)| format!("{name} {}", self.text(name))).collect();
        Some(format!("{}: {}", self.payload, fields.join(", ")))
    }
}
