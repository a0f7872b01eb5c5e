//! `hibiscusvale validate FILE`.

use std::path::PathBuf;

use gumdrop::Options;
use serde::Serialize;

use crate::classes;
use crate::error::ClientError;
use crate::report::Report;

/// Validates a class file.
#[derive(Debug, Options)]
pub struct Validate {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "class file")]
    file: PathBuf,
}

#[derive(Serialize)]
struct View {
    classes: usize,
}

impl Validate {
    pub(super) fn run(&self) -> Result<Report, ClientError> {
        let classes = classes::load(&self.file)?.len();
        let human = format!("{} is valid: {classes} classes", self.file.display());
        Ok(Report::new(&View { classes }, human))
    }
}
