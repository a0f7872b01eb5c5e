//! `hibiscusvale-load hash`: a token as the settings of a daemon name it.

use gumdrop::Options;

/// Options of the subcommand.
#[derive(Debug, Options)]
pub struct Hash {
    #[options(help = "show this text")]
    help: bool,
    #[options(free, required, help = "the text")]
    text: String,
}

impl Hash {
    pub(super) fn run(&self) {
        println!("{}", blake3::hash(self.text.as_bytes()));
    }
}
