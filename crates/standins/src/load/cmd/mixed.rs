//! `hibiscusvale-load mixed`: sends a mixed load and audits the outcomes.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;

use crate::load::audit::Audit;
use crate::load::caller::send_all;
use crate::load::report::Report;
use crate::load::settings::LoadPlan;
use crate::plan::Addresses;

/// Options of the subcommand.
#[derive(Debug, Options)]
pub struct Mixed {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file with the load to send", required)]
    plan: PathBuf,
    #[options(help = "JSON file with the addresses of the mock servers", required)]
    addresses: PathBuf,
    #[options(help = "JSON file to write the report to")]
    json: Option<PathBuf>,
}

impl Mixed {
    pub(super) async fn run(self) -> anyhow::Result<bool> {
        let plan = std::fs::read_to_string(&self.plan)
            .with_context(|| format!("could not read {}", self.plan.display()))?;
        let plan: LoadPlan = toml::from_str(&plan).context("could not parse the plan")?;
        let addresses = std::fs::read(&self.addresses)
            .with_context(|| format!("could not read {}", self.addresses.display()))?;
        let addresses: Addresses =
            serde_json::from_slice(&addresses).context("could not parse the addresses")?;
        let records = send_all(&plan).await;
        let audit = Audit::collect(&addresses).await?;
        let report = Report::new(&plan, &records, &audit);
        print!("{report}");
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_vec_pretty(&report)?)
                .with_context(|| format!("could not write {}", path.display()))?;
        }
        Ok(report.clean)
    }
}
