//! A simulated log with the parts of daemons that the client uses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use ed25519_dalek::SigningKey;
use gumdrop::Options;
use hibiscusvale::config::{ConfigHandle, ConfigParts, ConfigService};
use hibiscusvale::external::{HttpLog, HttpLogSettings};
use hibiscusvale::logging::Log;
use hibiscusvale::metrics::Metrics;
use hibiscusvale::operators::{OperatorListener, OperatorSources, Readiness, RecentRequests};
use hibiscusvale::settings::{ConfigSettings, HostSettings, LogLevel};
use hibiscusvale::spread::ConfigFeed;
use hibiscusvale_cli::cmd::Args;
use hibiscusvale_cli::error::exit_code;
use hibiscusvale_cli::report::Report;
use hibiscusvale_core::config::CheckpointKey;
use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_standins::log::{LogHandle, LogService, LogSettings};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Secret key of the partner `nadifa`.
pub const KEY: [u8; 32] = [7; 32];

/// The parts of a daemon that the client uses.
pub struct Daemon {
    pub address: SocketAddr,
    pub config: ConfigHandle,
    pub metrics: Metrics,
    pub recent: Arc<RecentRequests>,
    pub stop: CancellationToken,
    _feed: mpsc::Sender<ConfigFeed>,
}

/// A log with daemons that read it.
pub struct TestCluster {
    pub log: LogHandle,
    /// The same log at the address that the daemons use, so that their reads can fail on their own.
    pub daemon_log: LogHandle,
    pub daemons: Vec<Daemon>,
    directory: PathBuf,
}

/// Result of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: u8,
    pub text: String,
    pub json: serde_json::Value,
}

impl TestCluster {
    /// Starts a log and `daemons` daemons; `name` is the directory of the test's files.
    pub async fn new(name: &str, daemons: usize) -> Self {
        let log = LogService::start(LogSettings::default()).await.expect("a log");
        let daemon_log = log.serve_at("127.0.0.1:0".parse().expect("an address")).await.expect("a log");
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        let mut cluster = Self { log, daemon_log, daemons: Vec::new(), directory };
        cluster.write("nadifa.key", blake3::Hash::from_bytes(KEY).to_hex().as_str());
        for index in 0..daemons {
            cluster.daemons.push(daemon(index, cluster.daemon_log.address));
        }
        cluster
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("a file");
        path.to_str().expect("a UTF-8 path").to_owned()
    }

    pub fn path(&self, name: &str) -> String {
        self.directory.join(name).to_str().expect("a UTF-8 path").to_owned()
    }

    /// Runs the client as the operator `author` of the partner `nadifa`, with all daemons as its hosts.
    pub async fn run_as(&self, author: &str, command: &[&str]) -> CommandOutput {
        let log = self.log.address.to_string();
        let key_file = self.path("nadifa.key");
        let hosts: Vec<String> = self.daemons.iter().map(|daemon| daemon.address.to_string()).collect();
        let mut arguments =
            vec!["--author", author, "--partner", "nadifa", "--log", &log, "--key-file", &key_file];
        for host in &hosts {
            arguments.extend(["--host", host.as_str()]);
        }
        arguments.extend(command);
        run(&arguments).await
    }

    pub async fn run(&self, command: &[&str]) -> CommandOutput {
        self.run_as("salma", command).await
    }
}

/// Runs the client with the given arguments.
pub async fn run(arguments: &[&str]) -> CommandOutput {
    let args = Args::parse_args_default(arguments).expect("a valid command line");
    match args.execute().await {
        Ok(Report { human, json }) => {
            CommandOutput { code: 0, text: human, json: serde_json::from_str(&json).unwrap_or_default() }
        }
        Err(error) => CommandOutput {
            code: exit_code(&error),
            text: format!("{error:#}"),
            json: serde_json::Value::Null,
        },
    }
}

fn daemon(index: usize, log: SocketAddr) -> Daemon {
    let host = HostSettings {
        id: format!("entry-{index}").parse().expect("a host"),
        data_centre: "casablanca-1".parse().expect("a data centre"),
        region: "ma-north".parse().expect("a region"),
    };
    let metrics = Metrics::new().expect("metrics");
    let members = Arc::new(ArcSwap::from_pointee(MembersView::default()));
    let (service, config) = ConfigService::new(ConfigParts {
        settings: ConfigSettings::default(),
        host: host.id.clone(),
        keys: [("nadifa".parse().expect("a partner"), SigningKey::from_bytes(&KEY).verifying_key())].into(),
        checkpoint_key: CheckpointKey::derive(b"shared"),
        log: Arc::new(HttpLog::new(log, HttpLogSettings::default())),
        members: Arc::clone(&members),
        spread: None,
        logging: Log::to_writer(LogLevel::Error, std::io::sink()).expect("a log"),
        metrics: metrics.clone(),
    });
    let (feed, inbox) = mpsc::channel(8);
    tokio::spawn(service.run(inbox));
    let recent = Arc::new(RecentRequests::new(16));
    let listener = OperatorListener::bind("127.0.0.1:0".parse().expect("an address")).expect("a socket");
    let address = listener.address().expect("an address");
    let stop = CancellationToken::new();
    let parts = OperatorSources {
        host,
        incarnation: Incarnation(index as u128 + 1),
        config: config.clone(),
        metrics: metrics.clone(),
        members,
        recent: Arc::clone(&recent),
        readiness: Arc::new(Readiness::new(config.is_ready.clone())),
    };
    tokio::spawn(listener.serve(parts, stop.clone()));
    Daemon { address, config, metrics, recent, stop, _feed: feed }
}
