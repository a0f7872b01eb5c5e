//! Settings and resource usage of the daemon processes that `scripts/bench-slopes` starts and stops.

use std::fmt::Write as _;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use anyhow::{Context, ensure};
use gumdrop::Options;
use hibiscusvale_standins::plan::Addresses;
use serde::{Deserialize, Serialize};

const BYTES_PER_KIB: u64 = 1_024;
/// Listeners per daemon: callers, peers, operators.
const LISTENERS: usize = 3;
/// Ports below the default ephemeral port range of Linux.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const PEER_KEY: &str = "0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f";
/// Seed of the signing key of the published changes; used only by this benchmark.
pub const PUBLISH_SEED: [u8; 32] = [7; 32];
/// Partner that publishes the changes.
pub const PARTNER: &str = "bench";

/// A daemon to start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlannedDaemon {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Whether the daemon can connect to the log.
    pub reaches_log: bool,
}

/// Returns the anonymous resident memory of a process; 0 if it cannot be read.
pub fn memory_bytes(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let kib: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or_default();
    kib * BYTES_PER_KIB
}

/// Returns the CPU time of the control threads and of all threads of a process, in microseconds.
pub fn cpu_time_us(process: &str) -> (f64, f64) {
    let Ok(tasks) = fs::read_dir(format!("/proc/{process}/task")) else {
        return (0.0, 0.0);
    };
    let (mut control, mut all) = (0.0, 0.0);
    for task in tasks.flatten() {
        let read = |name: &str| fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let nanos: f64 = read("schedstat")
            .split_whitespace()
            .next()
            .and_then(|field| field.parse().ok())
            .unwrap_or_default();
        let thread = read("comm");
        let thread = thread.trim();
        all += nanos / 1_000.0;
        if ["control", "peer-recv", "peer-send"].contains(&thread) || thread.starts_with("nng:") {
            control += nanos / 1_000.0;
        }
    }
    (control, all)
}

/// Chooses addresses and writes the plan of the mock servers.
#[derive(Debug, Options)]
pub struct Plan {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "directory for all files", required)]
    dir: PathBuf,
    #[options(help = "number of daemons", required)]
    daemons: usize,
    #[options(help = "number of data centres", default = "1")]
    data_centres: usize,
    #[options(help = "engines in each data centre", default = "4")]
    replicas: usize,
    #[options(help = "make the log unreachable for every second daemon")]
    half_without_log: bool,
}

impl Plan {
    /// Writes `plan.toml` and `daemons.json`.
    pub fn run(self) -> anyhow::Result<()> {
        fs::create_dir_all(&self.dir).context("could not create the directory")?;
        let daemons = self.choose_addresses()?;
        fs::write(self.dir.join("plan.toml"), self.plan_toml(&daemons))
            .context("could not write the plan")?;
        fs::write(self.dir.join("daemons.json"), serde_json::to_vec_pretty(&daemons)?)
            .context("could not write the daemons")
    }

    /// Chooses free ports below the ephemeral range, where an outgoing connection of a daemon that starts earlier could
    /// take one. All ports stay bound until the selection is complete, so that none is chosen twice.
    fn choose_addresses(&self) -> anyhow::Result<Vec<PlannedDaemon>> {
        let wanted = self.daemons * LISTENERS;
        let start =
            u16::try_from(std::process::id() % u32::from(PORTS.end - PORTS.start)).unwrap_or_default();
        let ports = (PORTS.start + start..PORTS.end).chain(PORTS.start..PORTS.start + start);
        let held: Vec<TcpListener> = ports
            .filter_map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok())
            .take(wanted)
            .collect();
        ensure!(held.len() == wanted, "too few free ports");
        let addresses: Vec<SocketAddr> = held
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()
            .context("could not read a port")?;
        let planned = addresses.chunks(LISTENERS).enumerate().filter_map(|(number, chunk)| {
            let [callers, peers, operators] = *chunk else {
                return None;
            };
            Some(PlannedDaemon {
                host: format!("entry-{number:03}"),
                data_centre: format!("dc{:02}", number % self.data_centres),
                callers,
                peers,
                operators,
                reaches_log: !(self.half_without_log && number % 2 == 1),
            })
        });
        Ok(planned.collect())
    }

    fn plan_toml(&self, daemons: &[PlannedDaemon]) -> String {
        let mut text = String::new();
        for daemon in daemons {
            let _ = writeln!(
                text,
                "[[hosts.entries]]\nid = \"{}\"\nkind = \"entry\"\naddress = \"{}\"\npeer_address = \"{}\"\n\
                 data_centre = \"{}\"\nregion = \"region\"\n",
                daemon.host, daemon.callers, daemon.peers, daemon.data_centre
            );
        }
        for number in 0..self.data_centres {
            let _ = writeln!(
                text,
                "[[engines]]\nplace = {{ name = \"dc{number:02}-engine\", data_centre = \"dc{number:02}\", \
                 region = \"region\", partner = \"{PARTNER}\", count = {} }}\nsettings = {{ models = [\"m\"] }}\n",
                self.replicas
            );
        }
        text
    }
}

/// Writes the settings of the daemons; the mock servers must be running.
#[derive(Debug, Options)]
pub struct Settings {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "directory of the plan, with the addresses of the mock servers", required)]
    dir: PathBuf,
}

/// Reads the planned daemons from `dir`.
pub fn planned(dir: &Path) -> anyhow::Result<Vec<PlannedDaemon>> {
    let bytes = fs::read(dir.join("daemons.json")).context("could not read the daemons")?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Reads the addresses of the mock servers from `dir`.
pub fn mock_server_addresses(dir: &Path) -> anyhow::Result<Addresses> {
    let bytes =
        fs::read(dir.join("addresses.json")).context("could not read the addresses of the mock servers")?;
    Ok(serde_json::from_slice(&bytes)?)
}

impl Settings {
    /// Writes one settings file per daemon.
    pub fn run(self) -> anyhow::Result<()> {
        let daemons = planned(&self.dir)?;
        let addresses = mock_server_addresses(&self.dir)?;
        let key = ed25519_dalek::SigningKey::from_bytes(&PUBLISH_SEED).verifying_key();
        let publish_key = blake3::Hash::from_bytes(key.to_bytes()).to_hex();
        // Nothing listens on this port, so connections are refused as by an unreachable platform.
        let unreachable = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        ensure!(!daemons.is_empty(), "the plan contains no daemons");
        let seeds: Vec<String> =
            daemons.iter().take(2).map(|daemon| format!("\"{}\"", daemon.peers)).collect();
        for daemon in &daemons {
            let log = if daemon.reaches_log { addresses.log } else { unreachable };
            let text = format!(
                "[host]\nid = \"{}\"\ndata_centre = \"{}\"\nregion = \"region\"\n\n\
                 [listen]\ncallers = \"{}\"\npeers = \"{}\"\noperators = \"{}\"\n\n\
                 [platform]\nlog = \"{log}\"\nhosts = \"{}\"\nweights = \"{}\"\n\n\
                 [peers]\nseeds = [{}]\nkey = \"{PEER_KEY}\"\n\n\
                 [traffic]\nthreads = 1\n\n\
                 [partners.{PARTNER}]\ntoken_hashes = [\"{}\"]\npublish_key = \"{publish_key}\"\n",
                daemon.host,
                daemon.data_centre,
                daemon.callers,
                daemon.peers,
                daemon.operators,
                addresses.hosts,
                addresses.weights,
                seeds.join(", "),
                blake3::hash(b"bench").to_hex(),
            );
            fs::write(self.dir.join(format!("{}.toml", daemon.host)), text)
                .context("could not write settings")?;
        }
        Ok(())
    }
}
