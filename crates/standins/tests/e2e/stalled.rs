//! Callers whose connection stays open but does not accept data.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use futures_util::stream;
use hibiscusvale::backend::{
    CachePage, ConnectionReuse, DecodeCall, EngineClient, EngineFailure, EngineLoad, HeldMemory, ImportCall,
    Imported, Owner, PrefillCall, Prefilled, StreamPart, TokenStream,
};
use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale_core::order::{Order, OrderOutcome};
use hibiscusvale_core::units::Millis;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::sync::watch;

use crate::cluster::{SMALL_PLAN, TOKEN, TestCluster, stop};

/// Engine client whose decode streams are always ready, and which reports cancellations.
#[derive(Debug)]
struct UnthrottledEngines {
    engines: Arc<dyn EngineClient>,
    cancelled: watch::Sender<bool>,
}

impl EngineClient for UnthrottledEngines {
    fn prefill(
        &self,
        to: SocketAddr,
        call: PrefillCall,
        reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<Prefilled, EngineFailure>> {
        self.engines.prefill(to, call, reuse)
    }

    fn import(
        &self,
        to: SocketAddr,
        call: ImportCall,
        reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<Imported, EngineFailure>> {
        self.engines.import(to, call, reuse)
    }

    fn decode(
        &self,
        _to: SocketAddr,
        call: DecodeCall,
        _reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<TokenStream, EngineFailure>> {
        let token = |index| Ok(StreamPart::Token { index, text: "word ".repeat(200) });
        Box::pin(async move { Ok(TokenStream::new(stream::iter((call.from_index..).map(token)))) })
    }

    fn cancel(&self, to: SocketAddr, held: HeldMemory) -> BoxFuture<'_, Result<(), EngineFailure>> {
        self.cancelled.send_replace(true);
        self.engines.cancel(to, held)
    }

    fn cancel_owner(&self, to: SocketAddr, owner: Owner) -> BoxFuture<'_, Result<(), EngineFailure>> {
        self.engines.cancel_owner(to, owner)
    }

    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>> {
        self.engines.load(to)
    }

    fn cache_events(&self, to: SocketAddr, after: u64) -> BoxFuture<'_, Result<CachePage, EngineFailure>> {
        self.engines.cache_events(to, after)
    }

    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderOutcome, EngineFailure>> {
        self.engines.order(to, order)
    }
}

/// A middlebox has dropped the state of a caller's connection: it is never closed, and sent data does not arrive. If it
/// were treated as a slow caller, it would keep a decode slot until the host is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_caller_is_disconnected_and_its_slot_released() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let mut settings = cluster.settings("entry-1", &[]);
    settings.limits.stall_timeout_ms = Millis(200);
    let incarnation = new_incarnation();
    let edges = ExternalSystems::new(&settings, incarnation);
    let (cancelled, mut is_cancelled) = watch::channel(false);
    let engines = Arc::new(UnthrottledEngines { engines: Arc::clone(&edges.engines), cancelled });
    let daemon = Daemon::start(&settings, ExternalSystems { engines, ..edges }, incarnation).expect("daemon");
    daemon.ready().await;

    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(4_096).expect("small buffer");
    let mut caller = socket.connect(daemon.callers_address()).await.expect("connection");
    let body = r#"{"model": "small", "prompt": "a", "max_tokens": 32000, "stream": true}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {TOKEN}\r\nx-class: default\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).await.expect("sent");

    is_cancelled.wait_for(|cancelled| *cancelled).await.expect("told to stop");
    cluster.wait_engines_empty().await;
    drop(caller);
    stop(daemon).await;
}
