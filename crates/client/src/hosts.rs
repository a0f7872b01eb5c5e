//! Queries the daemons' operator services.

use std::net::SocketAddr;

use hibiscusvale::operators::views::ConfigView;
use hibiscusvale::operators::{OperatorClient, OperatorClientError};
use hibiscusvale_core::ids::PartnerId;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::error::{ClientError, HostFailure};

/// Answer of one host.
#[derive(Clone, Debug)]
pub struct HostAnswer<View> {
    /// Operator address of the host.
    pub host: SocketAddr,
    /// View returned by the host, or the cause of the failure.
    pub view: Result<View, OperatorClientError>,
}

/// Queries all hosts concurrently for the view at `path`; the answers are in the order of `hosts`.
pub async fn query_all<View>(
    client: &OperatorClient,
    hosts: &[SocketAddr],
    path: &str,
) -> Vec<HostAnswer<View>>
where
    View: DeserializeOwned + Send + 'static,
{
    let mut requests = JoinSet::new();
    for (index, &host) in hosts.iter().enumerate() {
        let client = client.clone();
        let path = path.to_owned();
        requests.spawn(async move {
            let view = client.view(host, &path).await;
            IndexedAnswer { index, answer: HostAnswer { host, view } }
        });
    }
    let mut answers = requests.join_all().await;
    answers.sort_by_key(|indexed| indexed.index);
    answers.into_iter().map(|indexed| indexed.answer).collect()
}

struct IndexedAnswer<View> {
    index: usize,
    answer: HostAnswer<View>,
}

/// Views of the hosts that answered.
///
/// # Errors
///
/// [`ClientError::NoHostAnswered`] if none did.
pub fn answered<View>(answers: Vec<HostAnswer<View>>) -> Result<Vec<View>, ClientError> {
    let mut views = Vec::new();
    let mut failures = Vec::new();
    for HostAnswer { host, view } in answers {
        match view {
            Ok(view) => views.push(view),
            Err(failure) => failures.push(HostFailure { host, failure }),
        }
    }
    if views.is_empty() { Err(ClientError::NoHostAnswered(failures)) } else { Ok(views) }
}

/// Newest configuration in force on any host, for one partner or for all if `partner` is `None`.
///
/// # Errors
///
/// [`ClientError::NoHostAnswered`] if none answered.
pub async fn newest_config(
    client: &OperatorClient,
    hosts: &[SocketAddr],
    partner: Option<&PartnerId>,
) -> Result<ConfigView, ClientError> {
    let views = answered(query_all(client, hosts, &config_path(partner)).await)?;
    let newest = views.into_iter().max_by_key(|view: &ConfigView| view.next_offset);
    newest.ok_or_else(|| ClientError::NoHostAnswered(Vec::new()))
}

/// Path of the configuration view, for one partner or for all.
pub fn config_path(partner: Option<&PartnerId>) -> String {
    match partner {
        Some(partner) => format!("/control/config?partner={partner}"),
        None => "/control/config".to_owned(),
    }
}
