//! Real daemon processes, started and ended by `scripts/bench-slopes`: their settings, what they cost, and how
//! fast they act together.

use std::fmt::Write as _;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use anyhow::{Context, ensure};
use gumdrop::Options;
use hibiscusvale_standins::plan::Addresses;
use serde::{Deserialize, Serialize};

const BYTES_PER_KIB: u64 = 1_024;
/// Listeners of one daemon: callers, peers, operators.
const LISTENERS: usize = 3;
/// Ports that the kernel does not give to outgoing connections on an ordinary Linux host.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const PEER_KEY: &str = "0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f";
/// Seed of the key that the published changes are signed with; worth nothing outside this bench.
pub const PUBLISH_SEED: [u8; 32] = [7; 32];
/// The partner whose changes are published.
pub const PARTNER: &str = "bench";

/// One daemon to be started.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Planned {
    /// Its host.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it takes messages of other daemons.
    pub peers: SocketAddr,
    /// Where it serves operators.
    pub operators: SocketAddr,
    /// Whether the log is within its reach.
    pub reaches_log: bool,
}

/// Anonymous resident memory of a process.
pub fn memory_bytes(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let kib: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or_default();
    kib * BYTES_PER_KIB
}

/// Processor time of the control threads of a process, and of all its threads, in microseconds.
pub fn processor_us(process: &str) -> (f64, f64) {
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
        if thread == "control" || thread == "peer-recv" || thread.starts_with("nng:") {
            control += nanos / 1_000.0;
        }
    }
    (control, all)
}

/// Chooses addresses and writes the plan of the stand-ins.
#[derive(Debug, Options)]
pub struct Plan {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "directory for all files", required)]
    dir: PathBuf,
    #[options(help = "number of daemons", required)]
    daemons: usize,
    #[options(help = "number of data centres", default = "1")]
    data_centres: usize,
    #[options(help = "engines in each data centre", default = "4")]
    replicas: usize,
    #[options(help = "keep the log out of reach of every second daemon")]
    half_without_log: bool,
}

impl Plan {
    /// Writes `plan.toml` and `daemons.json`.
    pub fn run(self) -> anyhow::Result<()> {
        fs::create_dir_all(&self.dir).context("could not make the directory")?;
        let daemons = self.choose_addresses()?;
        fs::write(self.dir.join("plan.toml"), self.stand_ins(&daemons))
            .context("could not write the plan")?;
        fs::write(self.dir.join("daemons.json"), serde_json::to_vec_pretty(&daemons)?)
            .context("could not write the daemons")
    }

    /// Chooses free ports below those that the kernel gives to outgoing connections: one of those could be taken
    /// by a daemon that starts earlier. All are held until all are chosen, so that none is given twice.
    fn choose_addresses(&self) -> anyhow::Result<Vec<Planned>> {
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
            Some(Planned {
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

    fn stand_ins(&self, daemons: &[Planned]) -> String {
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

/// Writes the settings of the daemons, once the stand-ins run.
#[derive(Debug, Options)]
pub struct Settings {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "directory of the plan, with the addresses of the stand-ins", required)]
    dir: PathBuf,
}

/// The daemons that were planned in `dir`.
pub fn planned(dir: &Path) -> anyhow::Result<Vec<Planned>> {
    let bytes = fs::read(dir.join("daemons.json")).context("could not read the daemons")?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// The addresses of the stand-ins that serve `dir`.
pub fn stand_ins(dir: &Path) -> anyhow::Result<Addresses> {
    let bytes = fs::read(dir.join("addresses.json")).context("could not read the stand-ins' addresses")?;
    Ok(serde_json::from_slice(&bytes)?)
}

impl Settings {
    /// Writes one file for each daemon.
    pub fn run(self) -> anyhow::Result<()> {
        let daemons = planned(&self.dir)?;
        let addresses = stand_ins(&self.dir)?;
        let key = ed25519_dalek::SigningKey::from_bytes(&PUBLISH_SEED).verifying_key();
        let publish_key = blake3::Hash::from_bytes(key.to_bytes()).to_hex();
        // Nothing listens there: a connection is refused as by a platform that is out of reach.
        let nowhere = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        ensure!(!daemons.is_empty(), "no daemon is planned");
        let seeds: Vec<String> =
            daemons.iter().take(2).map(|daemon| format!("\"{}\"", daemon.peers)).collect();
        for daemon in &daemons {
            let log = if daemon.reaches_log { addresses.log } else { nowhere };
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
