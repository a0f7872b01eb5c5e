//! `hibiscusvale members`.

use gumdrop::Options;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{MemberView, MembersListView};

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::{answered, query_all};
use crate::report::{Report, table};

/// Lists the members of the system as seen by each host.
#[derive(Debug, Options)]
pub struct Members {
    #[options(help = "print this help")]
    help: bool,
}

impl Members {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let client = OperatorClient::default();
        let views = answered(query_all(&client, context.hosts()?, "/control/members").await)?;
        let human = human(&views);
        Ok(Report::new(&views, human))
    }
}

/// Formats one table per distinct member list. Hosts have the same list unless the network is partitioned.
fn human(views: &[MembersListView]) -> String {
    let mut parts: Vec<String> = Vec::new();
    let mut distinct: Vec<(&MembersListView, Vec<&MembersListView>)> = Vec::new();
    for view in views {
        match distinct.iter_mut().find(|(first, _)| first.members == view.members) {
            Some((_, same)) => same.push(view),
            None => distinct.push((view, vec![view])),
        }
    }
    for (view, same) in distinct {
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
