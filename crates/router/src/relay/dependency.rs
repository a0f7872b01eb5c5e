//! Logging of lost and recovered dependencies.

use std::fmt::Display;

use super::state::RelayState;

/// Logs once when a dependency is lost and once when it recovers.
#[derive(Debug)]
pub struct Dependency {
    is_lost: bool,
    lost_text: &'static str,
    recovered_text: &'static str,
}

impl Dependency {
    /// A dependency assumed to be available, with the log texts for its loss and recovery.
    pub fn new(lost_text: &'static str, recovered_text: &'static str) -> Self {
        Self { is_lost: false, lost_text, recovered_text }
    }

    /// Records a failed or unanswered call.
    pub fn report_failure(&mut self, state: &RelayState, failure: &dyn Display) {
        if !std::mem::replace(&mut self.is_lost, true) {
            state.log.state_changed(self.lost_text, failure);
        }
    }

    /// Records a successful call.
    pub fn report_success(&mut self, state: &RelayState) {
        if std::mem::take(&mut self.is_lost) {
            state.log.state_changed(self.recovered_text, &"");
        }
    }
}
