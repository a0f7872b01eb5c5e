//! Mock servers, daemons and a caller for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use ed25519_dalek::SigningKey;
use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale::external::{HttpLog, HttpLogSettings, Log, Stream};
use hibiscusvale::settings::{Settings, TokenHash};
use hibiscusvale_core::config::{ChangeBody, ClassChange, ClassTarget, Record};
use hibiscusvale_core::ids::{ChangeId, Offset};
use hibiscusvale_core::units::Millis;
use hibiscusvale_standins::hosts::{HostChange, HostEntry, HostState, Kind};
use hibiscusvale_standins::plan::{Plan, RunningPlan};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Bearer token of the partner `nadifa`.
pub const TOKEN: &str = "nadifa-token";

/// One data centre with two engines of each role and two instances of a plain service.
pub const SMALL_PLAN: &str = r#"
    [[engines]]
    place = {name = "prefill", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 2}
    settings = {role = "prefill"}
    [[engines]]
    place = {name = "decode", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 2}
    settings = {role = "decode"}
    [[plain]]
    place = {name = "booking", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 2}
    settings = {service = "booking"}
"#;

/// Seed of the key that the partner signs its configuration with.
const PUBLISH_SEED: [u8; 32] = [7; 32];

/// Running mock servers, and settings for daemons that use them.
pub struct TestCluster {
    pub standins: RunningPlan,
}

impl TestCluster {
    /// Starts the mock servers and publishes the classes `default` (language) and `booking` (plain).
    pub async fn start(plan: &str) -> Self {
        let plan: Plan = toml::from_str(plan).expect("plan");
        let cluster = Self { standins: plan.start().await.expect("stand-ins") };
        cluster.publish("default", ClassTarget::language(Millis(5_000), Millis(200))).await;
        cluster.publish("booking", ClassTarget::plain(Millis(2_000))).await;
        cluster
    }

    /// Publishes a class with the partner's key.
    pub async fn publish(&self, class: &str, target: ClassTarget) {
        let log = HttpLog::new(self.standins.addresses.log, HttpLogSettings::default());
        let made_from = self.last_change(&log).await;
        let body = ChangeBody {
            made_from,
            author: "test".parse().expect("author"),
            made_at_unix_ms: 0,
            changes: vec![ClassChange::Publish { class: class.parse().expect("class"), target }],
        };
        let id = made_from.map_or(1, |offset| u128::from(offset.0) + 2);
        let partner = "nadifa".parse().expect("partner");
        let change = body.sign(&partner, ChangeId(id), &SigningKey::from_bytes(&PUBLISH_SEED));
        let record = Record::Change(change).encode();
        log.append(Stream::Config, vec![Bytes::from(record)]).await.expect("append");
    }

    async fn last_change(&self, log: &HttpLog) -> Option<Offset> {
        let page = log.read(Stream::Config, Offset(0), 1_000, Millis(0)).await.expect("page");
        page.records.last().map(|record| record.offset)
    }

    pub fn settings(&self, host: &str, seeds: &[SocketAddr]) -> Settings {
        let addresses = &self.standins.addresses;
        let seeds = serde_json::to_string(seeds).expect("seeds");
        let text = format!(
            r#"
            host = {{id = "{host}", data_centre = "casa-1", region = "ma-north"}}
            listen = {{callers = "127.0.0.1:0", peers = "127.0.0.1:0", operators = "127.0.0.1:0"}}
            platform = {{log = "{}", hosts = "{}", weights = "{}"}}
            peers = {{key = "{}", settle_ms = 100, seeds = {seeds}}}
            traffic = {{threads = 2, ready_grace_ms = 0}}
            config = {{genesis_wait_ms = 100}}
            shift = {{hold_ms = 500, cooldown_ms = 1000}}
            observe = {{log_level = "error"}}
            [partners.nadifa]
            token_hashes = ["{}"]
            publish_key = "{}"
            [[routes]]
            prefix = "/booking"
            service = "booking"
            "#,
            addresses.log,
            addresses.hosts,
            addresses.weights,
            "ab".repeat(32),
            blake3::Hash::from_bytes(*TokenHash::of(TOKEN).bytes()).to_hex(),
            blake3::Hash::from_bytes(SigningKey::from_bytes(&PUBLISH_SEED).verifying_key().to_bytes())
                .to_hex(),
        );
        Settings::parse(&text).expect("settings")
    }

    /// Starts a daemon and waits until it is ready.
    pub async fn daemon(&self, host: &str) -> Daemon {
        self.daemon_with_peers(host, &[]).await
    }

    /// Starts a daemon with `others` as seeds, waits until it is ready, and adds it to the host list.
    pub async fn daemon_with_peers(&self, host: &str, others: &[&Daemon]) -> Daemon {
        let seeds: Vec<_> = others.iter().map(|daemon| daemon.peer_address()).collect();
        let settings = self.settings(host, &seeds);
        let incarnation = new_incarnation();
        let daemon = Daemon::start(&settings, ExternalSystems::new(&settings, incarnation), incarnation)
            .expect("daemon");
        self.standins.hosts.change(HostChange { set: vec![entry(host, &daemon)], remove: Vec::new() });
        daemon.ready().await;
        daemon
    }

    /// Waits until an engine decodes a request.
    pub async fn wait_decoding(&self) {
        let decoders = self.standins.engines.iter().filter(|(name, _)| name.starts_with("decode"));
        let waits = decoders.map(|(_, engine)| Box::pin(engine.wait_until(|state| !state.held.is_empty())));
        futures_util::future::select_all(waits).await;
    }

    /// Waits until no engine holds a request.
    pub async fn wait_engines_empty(&self) {
        for (_, engine) in &self.standins.engines {
            engine.wait_empty().await;
        }
    }
}

fn entry(host: &str, daemon: &Daemon) -> HostEntry {
    HostEntry {
        id: host.to_owned(),
        kind: Kind::Entry,
        address: daemon.callers_address(),
        peer_address: Some(daemon.peer_address()),
        data_centre: "casa-1".to_owned(),
        region: "ma-north".to_owned(),
        partner: None,
        state: HostState::Live,
        service: None,
        models: Vec::new(),
        role: None,
        slots_total: 0,
        checks_fencing: false,
        link_bytes_per_s: 0,
    }
}

/// Stops a daemon gracefully from within an async runtime.
pub async fn stop(daemon: Daemon) {
    tokio::task::spawn_blocking(move || daemon.stop()).await.expect("stopped");
}

/// A caller of one partner.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    to: SocketAddr,
}

/// A daemon in front of `SMALL_PLAN`, and a caller.
pub struct SingleDaemon {
    pub cluster: TestCluster,
    pub daemon: Daemon,
    pub caller: Caller,
}

impl SingleDaemon {
    pub async fn start() -> Self {
        let cluster = TestCluster::start(SMALL_PLAN).await;
        let daemon = cluster.daemon("entry-1").await;
        let caller = Caller::new(daemon.callers_address());
        Self { cluster, daemon, caller }
    }
}

/// A response, read until its end or until the connection failed.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    pub whole: bool,
}

impl Answer {
    pub fn outcome(&self) -> &str {
        self.headers.get("x-outcome").map_or("", |value| value.to_str().expect("text"))
    }
}

impl Caller {
    pub fn new(to: SocketAddr) -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), to }
    }

    pub fn request(&self, method: &str, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.to))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("x-class", if path.starts_with("/booking") { "booking" } else { "default" })
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        self.client.request(request).await.expect("answer")
    }

    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Answer {
        let (parts, mut body) = self.send(request).await.into_parts();
        let mut text = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => text.extend_from_slice(&data),
                Ok(Err(_trailers)) => {}
                Err(_) => whole = false,
            }
        }
        let body = String::from_utf8(text).expect("text");
        Answer { status: parts.status, headers: parts.headers, body, whole }
    }

    /// Books a flat with the header `named`: an idempotency key or a ticket.
    pub async fn book(&self, flat: &str, named: (&str, &str)) -> Answer {
        let request = self.request("POST", &format!("/booking/new?flat={flat}")).header(named.0, named.1);
        self.fetch(request.body(Full::new(Bytes::from_static(b"{}"))).expect("request")).await
    }

    pub async fn complete(&self, prompt: &str, max_tokens: u64, stream: bool) -> Answer {
        let body = serde_json::json!({"model": "small", "prompt": prompt, "max_tokens": max_tokens, "stream": stream});
        self.fetch(self.completion(&body)).await
    }

    pub fn completion(&self, body: &serde_json::Value) -> Request<Full<Bytes>> {
        self.request("POST", "/v1/completions")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("request")
    }
}

/// Returns the text of a streamed answer; `None` if it is incomplete.
pub fn streamed_text(body: &str) -> Option<String> {
    let mut text = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return Some(text);
        }
        let chunk: serde_json::Value = serde_json::from_str(line).expect("chunk");
        text.push_str(chunk["choices"][0]["text"].as_str()?);
    }
    None
}
