//! The edges towards backend servers: model engines and plain services.

mod engine;
mod engine_http;
mod http;
mod plain;

pub use engine::{
    CacheChange, CacheChangeKind, CachePage, DecodeCall, EngineEdge, EngineFailure, EngineLoad, Held,
    HeldRequest, HeldStage, ImportCall, Imported, Owner, PrefillCall, Prefilled, StreamPart, TokenStream,
};
pub use engine_http::HttpEngines;
pub use http::{BackendHttp, CallFailure, KnownReply, Trust, read_body, uri};
pub use plain::{HttpPlain, PlainCall, PlainEdge, PlainFailure, PlainReply, strip_connection_headers};
