//! Resource usage of the control plane: CPU time of its threads, memory, and bytes sent.
//!
//! Control threads are recognised by name: the control thread, the threads that exchange frames with other
//! daemons, and the threads of the transport library. The kernel accounts CPU time per thread.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use hibiscusvale_core::meter::{ControlMeter, ControlTotals, ControlUsage};
use hibiscusvale_core::units::{Bytes, Micros, Millis};

use crate::clock;
use crate::peer::{NngLink, RECEIVE_THREAD, SEND_THREAD};

/// Name of the thread that runs the control services.
pub const CONTROL_THREAD: &str = "control";
/// Name prefix of the transport library's threads.
const TRANSPORT_THREADS: &str = "nng:";
/// Interval of usage samples.
pub const SAMPLE_MS: Millis = Millis(5_000);
const NANOS_PER_MICRO: u64 = 1_000;
const BYTES_PER_KIB: u64 = 1_024;

fn is_control(name: &str) -> bool {
    [CONTROL_THREAD, RECEIVE_THREAD, SEND_THREAD].contains(&name) || name.starts_with(TRANSPORT_THREADS)
}

/// CPU time of one control thread: the first field of its `schedstat`, in nanoseconds. `None` for other threads.
fn thread_cpu_us(task: &Path) -> Option<Micros> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    if !is_control(name.trim()) {
        return None;
    }
    let text = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(Micros(nanos / NANOS_PER_MICRO))
}

/// CPU time used by the control threads of this process since they started. Zero if `/proc` is not readable.
pub fn control_cpu_us() -> Micros {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Micros::ZERO;
    };
    tasks
        .flatten()
        .filter_map(|task| thread_cpu_us(&task.path()))
        .fold(Micros::ZERO, |sum, cpu_us| sum + cpu_us)
}

/// Anonymous resident memory of this process. This includes the memory of traffic, so it is an upper bound for
/// control; file-backed pages, which the kernel can drop and share, are excluded.
pub fn process_memory_bytes() -> Bytes {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kib = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<u64>().ok())
        .unwrap_or_default();
    Bytes(kib * BYTES_PER_KIB)
}

/// Samples and publishes the resource usage of control; also runs the link's periodic maintenance.
#[derive(Debug)]
pub struct MeterService {
    link: Arc<NngLink>,
    meter: ControlMeter,
    usage: Arc<ArcSwap<ControlUsage>>,
}

/// Interval of the link's connection maintenance.
const MAINTAIN_INTERVAL_MS: Millis = Millis(1_000);

impl MeterService {
    /// Creates the service, and returns the value that it publishes the usage in.
    pub fn new(link: Arc<NngLink>) -> (Self, Arc<ArcSwap<ControlUsage>>) {
        let usage = Arc::new(ArcSwap::from_pointee(ControlUsage::default()));
        let service = Self { link, meter: ControlMeter::default(), usage: Arc::clone(&usage) };
        (service, usage)
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        let mut maintain = tokio::time::interval(MAINTAIN_INTERVAL_MS.into());
        let mut sample = tokio::time::interval(SAMPLE_MS.into());
        loop {
            tokio::select! {
                _ = maintain.tick() => self.link.maintain(Instant::now()),
                _ = sample.tick() => self.sample(),
            }
        }
    }

    fn sample(&mut self) {
        let totals = ControlTotals {
            cpu_us: control_cpu_us(),
            memory_bytes: process_memory_bytes(),
            sent_bytes: Bytes(self.link.counts().control_bytes),
        };
        let usage = self.meter.sample(clock::now(), totals);
        self.usage.store(Arc::new(usage));
    }
}
