//! `hibiscusvale members`.

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{MemberView, MembersListView};

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::{answered, ask_all};
use crate::report::{Report, table};

/// Lists the daemons that each host knows.
#[derive(Debug, Options)]
pub struct Members {
    #[options(help = "print this help")]
    help: bool,
}

impl Members {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let client = OperatorClient::default();
        let views = answered(ask_all(&client, context.hosts()?, "/control/members").await)?;
        let human = human(&views);
        Ok(Report::new(&views, human))
    }
}

/// One table where the hosts agree, which they do unless something is cut off.
fn human(views: &[MembersListView]) -> String {
    let mut parts: Vec<String> = Vec::new();
    let mut shown: Vec<(&MembersListView, Vec<&MembersListView>)> = Vec::new();
    for view in views {
        match shown.iter_mut().find(|(first, _)| first.members == view.members) {
            Some((_, same)) => same.push(view),
            None => shown.push((view, vec![view])),
        }
    }
    for (view, same) in shown {
        let hosts: Vec<_> = same.iter().map(|view| view.host.to_string()).collect();
        let rows: Vec<_> = view.members.iter().map(row).collect();
        let headers = ["HOST", "DATA CENTRE", "REGION", "INCARNATION", "STATE"];
        parts.push(format!("as seen by {}\n{}", hosts.join(", "), table(headers, &rows)));
    }
    parts.join("\n\n")
}

fn row(member: &MemberView) -> [String; 5] {
    [
        member.host.to_string(),
        member.data_centre.to_string(),
        member.region.to_string(),
        member.incarnation.clone(),
        member.state.clone(),
    ]
}
