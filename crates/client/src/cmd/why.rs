//! `hibiscusvale why REQUEST_ID`.

use gumdrop::Options;
use hibiscusvale::operators::views::RequestView;
use hibiscusvale::operators::{OperatorClient, OperatorClientError};
use hibiscusvale_core::ids::RequestId;

use crate::context::Context;
use crate::error::ClientError;
use crate::hosts::{HostAnswer, answered, query_all};
use crate::report::{Report, or_dash};

/// Explains the outcome of a request.
#[derive(Debug, Options)]
pub struct Why {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "x-request-id of the answer")]
    request_id: Option<RequestId>,
}

impl Why {
    pub(super) async fn run(&self, context: &Context) -> Result<Report, ClientError> {
        let request_id = or_dash(self.request_id);
        let client = OperatorClient::default();
        let path = format!("/control/why/{request_id}");
        let answers = query_all::<RequestView>(&client, context.hosts()?, &path).await;
        let was_not_found = answers.iter().any(is_not_found);
        match answered(answers) {
            Ok(views) => views
                .first()
                .map(|view| Report::new(view, human(view)))
                .ok_or(ClientError::NotFound { request_id }),
            Err(_) if was_not_found => Err(ClientError::NotFound { request_id }),
            Err(error) => Err(error),
        }
    }
}

fn is_not_found(answer: &HostAnswer<RequestView>) -> bool {
    matches!(answer.view, Err(OperatorClientError::NotFound))
}

fn human(view: &RequestView) -> String {
    let mut lines = vec![format!(
        "request {} of {} in class {}, received by {}\noutcome: {}{} after {}",
        view.request_id,
        or_dash(view.partner.as_ref()),
        or_dash(view.class.as_ref()),
        view.host,
        view.outcome,
        view.refusal.as_ref().map(|reason| format!(" ({reason})")).unwrap_or_default(),
        view.took_ms
    )];
    for step in &view.steps {
        let server = step.server.as_ref().map(|server| format!(" at {server}")).unwrap_or_default();
        lines.push(format!("{:>8} {}{server}", step.after_ms.to_string(), step.what));
    }
    lines.join("\n")
}
