//! Clients for backend servers: model engines and plain services.

mod answer_reading;
mod body;
mod engine;
mod engine_http;
mod http;
mod plain;
mod probe;
mod suspension;

pub use answer_reading::{AnswerPart, EndlessAnswer};
pub use body::{BodyFailure, EndCheck, EndEvidence, Framing, ServerBody, ServerRun};
pub use engine::{
    CacheChange, CacheChangeKind, CachePage, DecodeCall, EngineClient, EngineFailure, EngineLoad, HeldMemory,
    HeldRequest, HeldStage, ImportCall, Imported, Owner, PrefillCall, Prefilled, StreamPart, TokenStream,
};
pub use engine_http::HttpEngineClient;
pub use http::{BackendHttp, CallFailure, ConnectionReuse, HttpSettings, TrackedReply, read_body, uri};
pub use plain::{
    HttpPlainClient, PlainCall, PlainClient, PlainFailure, PlainReply, strip_hop_by_hop_headers,
};
pub use probe::{Probe, probe};
pub use suspension::CallScope;
