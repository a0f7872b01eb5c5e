//! Lines of daemons' logs.

use serde_json::{Map, Value};

/// Lines with this event tell of requests.
const RELAYED: &str = "request relayed";

/// What `changed` lines say when lines of requests had to be left out.
pub(crate) const LEFT_OUT: &str = "request lines left out";

/// One line: an event with its fields.
pub(crate) struct Line {
    /// When it was written, by its host's clock.
    pub(crate) at_ms: u64,
    payload: String,
    fields: Map<String, Value>,
}

impl Line {
    /// The line's event, or nothing for lines that are none of ours or were cut off.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        // What collects logs may put a time and a host before each line.
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let at_ms = fields.get("timestamp")?.as_u64()?;
        let payload = fields.get("payload")?.as_str()?.to_owned();
        match fields.remove("kv") {
            Some(Value::Object(fields)) => Some(Self { at_ms, payload, fields }),
            _ => Some(Self { at_ms, payload, fields: Map::new() }),
        }
    }

    /// A field as text; empty where the line has none of this name.
    pub(crate) fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// A field as a number; zero where the line has none of this name.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    /// Whether it tells how a request ended.
    pub(crate) fn is_relayed(&self) -> bool {
        self.payload == RELAYED
    }

    /// Whether it tells of the request that goes by this name, its caller's or the relay's.
    pub(crate) fn is_of(&self, id: &str) -> bool {
        self.is_relayed() && (self.text("call") == id || self.text("request_id") == id)
    }

    /// What this line says that the host learned, if it does.
    pub(crate) fn news(&self) -> Option<String> {
        let fields = match self.payload.as_str() {
            RELAYED => return None,
            "changed" if self.text("what") == LEFT_OUT => return None,
            "changed" => return Some(format!("{} {}", self.text("what"), self.text("detail"))),
            _ => self.fields.iter().filter(|(_, value)| value.as_str() != Some("")),
        };
        let fields: Vec<String> = fields.map(|(name, _)| format!("{name} {}", self.text(name))).collect();
        Some(format!("{}: {}", self.payload, fields.join(", ")))
    }
}
