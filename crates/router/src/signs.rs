//! Acts on what daemons saw of servers: that they are leaving, or take work again.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::{Event, StateSignal};
use hibiscusvale_core::spread::{ServerStatus, SpreadView};

use crate::clock;
use crate::control::Hubs;
use crate::directory::Directory;
use crate::kernel::{Kernel, ServiceName};
use crate::watcher::WatcherCommand;

/// Time between looks at the signs that other daemons spread. A leaving server gets no new work from any
/// daemon within the time that spreading takes and this.
const SIGN_PERIOD: Duration = Duration::from_millis(200);

/// Acts on what daemons, this one among them, saw of servers: a leaving server gets no new work here either,
/// until its sign runs out or it is seen taking work again.
pub async fn follow(
    kernel: Kernel,
    view: Arc<ArcSwap<SpreadView>>,
    directory: Arc<Directory>,
    hubs: Arc<OnceLock<Hubs>>,
) {
    let mut seen = Arc::new(SpreadView::default());
    let mut period = tokio::time::interval(SIGN_PERIOD);
    loop {
        period.tick().await;
        let now = view.load_full();
        if Arc::ptr_eq(&seen, &now) {
            continue;
        }
        let changed = now.statuses.iter().filter(|(server, sign)| seen.statuses.get(*server) != Some(*sign));
        for (server, sign) in changed {
            act_on(&kernel, &directory, &hubs, server, *sign);
        }
        for server in seen.statuses.keys().filter(|server| !now.statuses.contains_key(*server)) {
            act_on(&kernel, &directory, &hubs, server, ServerStatus::Accepting);
        }
        seen = now;
    }
}

fn act_on(
    kernel: &Kernel,
    directory: &Directory,
    hubs: &OnceLock<Hubs>,
    server: &BackendServerId,
    sign: ServerStatus,
) {
    let signal = match sign {
        ServerStatus::Leaving => {
            directory.note_leaving(clock::now(), server);
            StateSignal::Leaving
        }
        ServerStatus::Accepting => {
            directory.note_taking(server);
            StateSignal::Live
        }
        // No room for the moment is the ledger's business.
        ServerStatus::Refusing => return,
    };
    if let Ok(inbox) = kernel.find(ServiceName::Watcher) {
        let _ = inbox.try_send(WatcherCommand::Sign(server.clone()));
    }
    if let Some(hubs) = hubs.get() {
        hubs.language.feed(Event::StateSignal { server: server.clone(), signal });
        hubs.plain.sign(server, signal);
    }
}
