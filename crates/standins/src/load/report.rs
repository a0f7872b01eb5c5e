//! Report of a run, as a text table and as JSON.

use std::fmt;

use serde::Serialize;

use crate::load::audit::{Audit, EngineTotals};
use crate::load::caller::Record;
use crate::load::flow_stats::FlowStats;
use crate::load::settings::LoadPlan;

const PERCENT: f64 = 100.0;

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// All requests are counted, none is lost, executed twice or refused as wrong, and no engine holds a request.
    pub clean: bool,
    /// One row per flow.
    pub rows: Vec<FlowStats>,
    /// Totals over all engines.
    pub engines: EngineTotals,
}

impl Report {
    /// Evaluates the records of a run against the audit of the mock servers.
    pub fn new(plan: &LoadPlan, records: &[Record], audit: &Audit) -> Self {
        let flows = plan.flows.iter().enumerate();
        let rows: Vec<_> = flows
            .map(|(index, flow)| {
                let of_flow = records.iter().filter(|record| record.planned.flow == index);
                FlowStats::count(flow, of_flow, audit)
            })
            .collect();
        let planned: usize = plan.flows.iter().map(|flow| flow.count).sum();
        let counted: usize = rows.iter().map(|row| row.sent).sum();
        let no_faults =
            rows.iter().all(|row| row.lost == 0 && row.doubled == 0 && !row.is_refused_as_wrong());
        Self {
            seed: plan.seed,
            clean: no_faults && counted == planned && audit.engines.held == 0,
            rows,
            engines: audit.engines,
        }
    }
}

fn percent(part: f64, whole: f64) -> String {
    if whole > 0.0 { format!("{:.1}%", PERCENT * part / whole) } else { "-".to_owned() }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:<16} {:>6} {:>8} {:>7} {:>7} {:>5} {:>5} {:>7} {:>8} {:>7} {:>15} {:>15}",
            "partner",
            "class",
            "sent",
            "answered",
            "not run",
            "unknown",
            "left",
            "lost",
            "doubled",
            "goodput",
            "wasted",
            "first ms 50/95",
            "token ms 50/95",
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<10} {:<16} {:>6} {:>8} {:>7} {:>7} {:>5} {:>5} {:>7} {:>8} {:>7} {:>15} {:>15}",
                row.partner,
                row.class,
                row.sent,
                row.answered,
                row.not_run,
                row.unknown,
                row.left,
                row.lost,
                row.doubled,
                percent(row.goodput as f64, (row.sent - row.left) as f64),
                percent(row.wasted_prefill_tokens as f64, row.prefill_tokens as f64),
                format!("{:.1}/{:.1}", row.first_token.p50_ms, row.first_token.p95_ms),
                format!("{:.1}/{:.1}", row.per_token.p50_ms, row.per_token.p95_ms),
            )?;
        }
        let engines = &self.engines;
        writeln!(
            f,
            "engines: {} held, empty after {} ms; prefill tokens {} read, {} from cache, {} evicted, \
             {} cancelled, {} imported but unused; {} imports rejected without a slot, {} streams resumed",
            engines.held,
            engines.empty_after_ms,
            engines.prefill_tokens,
            engines.cached_tokens,
            engines.evicted_tokens,
            engines.cancelled_tokens,
            engines.unused_tokens,
            engines.slot_refusals,
            engines.resumes,
        )?;
        for row in self.rows.iter().filter(|row| !row.refusals.is_empty() || !row.flaws.is_empty()) {
            writeln!(f, "{} {}: refusals {:?}, flaws {:?}", row.partner, row.class, row.refusals, row.flaws)?;
        }
        Ok(())
    }
}
