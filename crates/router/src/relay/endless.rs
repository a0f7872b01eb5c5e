//! Keeps requests from servers whose answers do not end.

use std::sync::Arc;

use hibiscusvale_core::units::Millis;

use super::state::RelayState;
use crate::backend::CallScope;

/// Logs answers without end, and holds their servers for as long as these are suspended, while the daemon runs. A
/// scheduler that did not know would choose a suspended server again and again.
pub async fn run(state: Arc<RelayState>) {
    loop {
        for answer in state.meter.take_endless().await {
            let listing = state.directory.listing();
            let server = listing.servers.values().find(|listed| listed.address == answer.server);
            state.log.answer_without_end(server.map(|listed| &listed.id), &answer);
            let pause_ms = Millis(u64::try_from(answer.pause.as_millis()).unwrap_or(u64::MAX));
            match (server, answer.scope) {
                (Some(server), CallScope::Requests) => {
                    state.statements.hold_for(&state, &server.id, pause_ms);
                }
                (None, _) | (Some(_), CallScope::Router) => {}
            }
        }
    }
}
