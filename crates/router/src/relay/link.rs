//! Dependencies that are lost and regained.

use std::fmt::Display;

use super::state::RelayState;

/// Logs once that a dependency was lost, and once that it is back.
#[derive(Debug)]
pub struct Link {
    is_lost: bool,
    lost: &'static str,
    regained: &'static str,
}

impl Link {
    /// One that is there, with what is logged when it is lost and regained.
    pub fn new(lost: &'static str, regained: &'static str) -> Self {
        Self { is_lost: false, lost, regained }
    }

    /// It does not answer, or fails.
    pub fn lost(&mut self, state: &RelayState, failure: &dyn Display) {
        if !std::mem::replace(&mut self.is_lost, true) {
            state.log.changed(self.lost, failure);
        }
    }

    /// It answers.
    pub fn regained(&mut self, state: &RelayState) {
        if std::mem::take(&mut self.is_lost) {
            state.log.changed(self.regained, &"");
        }
    }
}
