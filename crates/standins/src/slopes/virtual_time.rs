//! Simulates daemons as state machines on a virtual clock and measures bytes, messages, CPU time and convergence
//! time.
//!
//! The load matches the target: 65,000 changes of 300 bytes per day, a load report of 28 models from each daemon, and
//! a server that starts or stops leaving every ten seconds.

use std::fmt::Write as _;
use std::fs;

use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::spread::{ModelLoad, ModelTag, ServerStatus, SpreadEvent};
use hibiscusvale_core::units::Millis;

use crate::fit::Line;
use crate::harness::Network;

const CHANGE_BYTES: usize = 300;
/// 65,000 changes per day: one every 1.33 s.
const CHANGE_INTERVAL_MS: u64 = 1_330;
const CHANGES: u64 = 45;
const MODELS: u8 = 28;
const LEAVING_EVERY_CHANGES: u64 = 7;
const CONVERGENCE_LIMIT: Millis = Millis(120_000);
const IN_FORCE_LIMIT: Millis = Millis(20_000);
const DEATH_LIMIT: Millis = Millis(60_000);
/// Number of data centres and hosts in each.
const SIZES: [(usize, usize); 13] = [
    (1, 3),
    (1, 6),
    (1, 12),
    (1, 24),
    (1, 35),
    (1, 48),
    (1, 96),
    (2, 35),
    (4, 35),
    (8, 35),
    (12, 3),
    (12, 12),
    (12, 35),
];
const SMALL_SIZES: [(usize, usize); 3] = [(1, 3), (1, 6), (2, 3)];

/// Measurements of one deployment size.
#[derive(Clone, Debug)]
pub struct Row {
    /// Number of data centres.
    pub data_centres: usize,
    /// Daemons per data centre.
    pub hosts: usize,
    /// Time from the simultaneous start of all daemons to convergence, or the limit.
    pub cold_start_ms: u64,
    /// Mean bytes sent per second and daemon.
    pub mean_bytes_per_s: f64,
    /// Bytes sent per second by the daemon that sends most.
    pub max_bytes_per_s: f64,
    /// Mean messages sent per second and daemon.
    pub messages_per_s: f64,
    /// CPU time per second and daemon, including the harness.
    pub cpu_us_per_s: f64,
    /// Memory per daemon, including the harness.
    pub memory_bytes: f64,
    /// Median time until a change was in force on all daemons.
    pub in_force_median_ms: u64,
    /// Maximum time until a change was in force on all daemons.
    pub in_force_max_ms: u64,
    /// Time until a dead daemon was removed from all member lists, or the limit.
    pub death_noticed_ms: u64,
    /// Live daemons declared dead.
    pub wrong_deaths: u64,
}

/// Measures all deployment sizes.
pub fn measure(is_small: bool) -> Vec<Row> {
    let sizes = if is_small { &SMALL_SIZES[..] } else { &SIZES[..] };
    sizes.iter().map(|(data_centres, hosts)| measure_one(*data_centres, *hosts)).collect()
}

fn cpu_time_us() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos: f64 = text.split_whitespace().next().and_then(|field| field.parse().ok()).unwrap_or_default();
    nanos / 1_000.0
}

fn measure_one(data_centres: usize, hosts: usize) -> Row {
    let memory_before = crate::procs::memory_bytes("self");
    let mut net = Network::new(data_centres, hosts, 1);
    net.start_all();
    let cold_start = net.run_until(CONVERGENCE_LIMIT, Network::has_converged).unwrap_or(CONVERGENCE_LIMIT);
    // Let the introductions of new daemons end before the steady state is measured.
    net.run(Millis(20_000));

    let daemons = data_centres * hosts;
    let start_us = net.now_us;
    let sent_before: Vec<u64> = net.daemons.iter().map(|daemon| daemon.sent_bytes).collect();
    let messages_before = net.total(|daemon| daemon.sent_messages);
    let cpu_before = cpu_time_us();
    let mut in_force_ms = publish(&mut net, daemons);
    let cpu_us = cpu_time_us() - cpu_before;
    let span_s = (net.now_us - start_us) as f64 / 1e6;
    let rates: Vec<f64> = net
        .daemons
        .iter()
        .zip(&sent_before)
        .map(|(daemon, before)| (daemon.sent_bytes - before) as f64 / span_s)
        .collect();
    let messages = net.total(|daemon| daemon.sent_messages) - messages_before;
    let memory = crate::procs::memory_bytes("self").saturating_sub(memory_before);
    let wrong_deaths = net.total(|daemon| daemon.membership.counts().died);
    net.kill(hosts - 1);
    let death_noticed = net.run_until(DEATH_LIMIT, Network::has_converged).unwrap_or(DEATH_LIMIT);
    in_force_ms.sort_unstable();
    Row {
        data_centres,
        hosts,
        cold_start_ms: cold_start.0,
        mean_bytes_per_s: rates.iter().sum::<f64>() / daemons as f64,
        max_bytes_per_s: rates.iter().copied().fold(0.0, f64::max),
        messages_per_s: messages as f64 / span_s / daemons as f64,
        cpu_us_per_s: cpu_us / span_s / daemons as f64,
        memory_bytes: memory as f64 / daemons as f64,
        in_force_median_ms: in_force_ms.get(in_force_ms.len() / 2).copied().unwrap_or_default(),
        in_force_max_ms: in_force_ms.last().copied().unwrap_or_default(),
        death_noticed_ms: death_noticed.0,
        wrong_deaths,
    }
}

/// Publishes changes at the target rate and returns the time until each was in force on all daemons, in milliseconds.
fn publish(net: &mut Network, daemons: usize) -> Vec<u64> {
    for number in 0..daemons {
        let models = (0..MODELS).map(|model| ModelLoad {
            model: ModelTag([model; 4]),
            slots_free: 200,
            prefill_queue_tokens: 20_000,
        });
        net.spread_event(number, SpreadEvent::Load(models.collect()));
    }
    let mut times = Vec::new();
    for change in 0..CHANGES {
        if change % LEAVING_EVERY_CHANGES == 0 {
            observe_leaving(net, change, daemons);
        }
        let offset = net.append(CHANGE_BYTES);
        times.push(time_in_force(net, offset));
    }
    times
}

fn observe_leaving(net: &mut Network, change: u64, daemons: usize) {
    let server = format!("replica-{change}").parse();
    let number = usize::try_from(change).unwrap_or_default() % daemons;
    if let Ok(server) = server {
        let status = ServerStatus::Leaving;
        net.spread_event(number, SpreadEvent::Observed { server, status });
    }
}

/// Waits until the change is in force on all daemons, then until the next change is due. Returns the milliseconds
/// until in force, or the limit.
fn time_in_force(net: &mut Network, offset: Offset) -> u64 {
    let start_us = net.now_us;
    let took = net.run_until(IN_FORCE_LIMIT, |net| net.has_in_force(offset));
    let passed_ms = (net.now_us - start_us) / 1_000;
    net.run(Millis(CHANGE_INTERVAL_MS.saturating_sub(passed_ms)));
    took.unwrap_or(IN_FORCE_LIMIT).0
}

/// Formats the rows as CSV.
pub fn csv(rows: &[Row]) -> String {
    let mut text = String::from(
        "data_centres,hosts,daemons,cold_start_ms,mean_bytes_per_s,max_bytes_per_s,messages_per_s,cpu_us_per_s,\
         memory_bytes,in_force_median_ms,in_force_max_ms,death_noticed_ms,wrong_deaths\n",
    );
    for row in rows {
        let line = format!(
            "{},{},{},{},{:.0},{:.0},{:.1},{:.0},{:.0},{},{},{},{}",
            row.data_centres,
            row.hosts,
            row.data_centres * row.hosts,
            row.cold_start_ms,
            row.mean_bytes_per_s,
            row.max_bytes_per_s,
            row.messages_per_s,
            row.cpu_us_per_s,
            row.memory_bytes,
            row.in_force_median_ms,
            row.in_force_max_ms,
            row.death_noticed_ms,
            row.wrong_deaths,
        );
        let _ = writeln!(text, "{line}");
    }
    text
}

/// Prints the rows and the fitted lines over hosts in one data centre and over data centres of 35 hosts.
pub fn print_slopes(rows: &[Row]) {
    print!("{}", csv(rows));
    let by_hosts: Vec<(f64, f64)> = rows
        .iter()
        .filter(|row| row.data_centres == 1)
        .map(|row| (row.hosts as f64, row.mean_bytes_per_s))
        .collect();
    let by_data_centres: Vec<(f64, f64)> = rows
        .iter()
        .filter(|row| row.hosts == 35)
        .map(|row| (row.data_centres as f64, row.mean_bytes_per_s))
        .collect();
    print_line(&by_hosts, 35, "hosts in one data centre");
    print_line(&by_data_centres, 12, "data centres of 35 hosts");
}

fn print_line(points: &[(f64, f64)], target: u32, of: &str) {
    if points.len() < 2 {
        return;
    }
    let line = Line::through(points);
    let at_target = line.at(f64::from(target));
    println!("bytes/s = {:.0} + {:.2} x {of}; {at_target:.0} at {target}", line.base, line.slope);
}
