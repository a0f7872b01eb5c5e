//! What control costs this daemon: processor time of its control threads, memory, bytes sent.
//!
//! Threads count as control by their names: the control thread, the thread that takes frames of other daemons
//! in, and the threads of the transport library. The kernel keeps the processor time of each thread.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use hibiscusvale_core::meter::{ControlMeter, ControlTotals, ControlUsage};
use hibiscusvale_core::units::{Bytes, Micros, Millis};

use crate::clock;
use crate::peer::{NngLink, RECEIVE_THREAD};

/// Name of the thread that runs the control services.
pub const CONTROL_THREAD: &str = "control";
/// Start of the names of the transport library's threads.
const TRANSPORT_THREADS: &str = "nng:";
/// Time between two samples.
pub const SAMPLE_MS: Millis = Millis(5_000);
const NANOS_PER_MICRO: u64 = 1_000;
const BYTES_PER_KIB: u64 = 1_024;

fn is_control(name: &str) -> bool {
    name == CONTROL_THREAD || name == RECEIVE_THREAD || name.starts_with(TRANSPORT_THREADS)
}

/// Processor time of one thread: the first number of its `schedstat`, in nanoseconds.
fn thread_cpu_us(task: &Path) -> Option<Micros> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    if !is_control(name.trim()) {
        return None;
    }
    let text = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(Micros(nanos / NANOS_PER_MICRO))
}

/// Processor time of the control threads of this process since their start.
pub fn control_cpu_us() -> Micros {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Micros::ZERO;
    };
    tasks
        .flatten()
        .filter_map(|task| thread_cpu_us(&task.path()))
        .fold(Micros::ZERO, |sum, cpu_us| sum + cpu_us)
}

/// Anonymous resident memory of this process. It includes what traffic holds, so it is an upper bound for
/// control; pages of the program file, which the kernel can drop and share, are left out.
pub fn process_memory_bytes() -> Bytes {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kib = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<u64>().ok())
        .unwrap_or_default();
    Bytes(kib * BYTES_PER_KIB)
}

/// Samples what control costs and publishes it; also keeps the link's connections in order.
#[derive(Debug)]
pub struct MeterService {
    link: Arc<NngLink>,
    meter: ControlMeter,
    usage: Arc<ArcSwap<ControlUsage>>,
}

/// Time between two looks at the link's connections.
const MAINTAIN_MS: Millis = Millis(1_000);

impl MeterService {
    /// The service, and where it publishes the usage.
    pub fn new(link: Arc<NngLink>) -> (Self, Arc<ArcSwap<ControlUsage>>) {
        let usage = Arc::new(ArcSwap::from_pointee(ControlUsage::default()));
        let service = Self { link, meter: ControlMeter::default(), usage: Arc::clone(&usage) };
        (service, usage)
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let mut maintain = tokio::time::interval(MAINTAIN_MS.into());
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
