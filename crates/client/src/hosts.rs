//! Asks the daemons.

use std::net::SocketAddr;

use hibiscusvale::operators::views::ConfigView;
use hibiscusvale::operators::{OperatorClient, OperatorClientError};
use hibiscusvale_core::ids::PartnerId;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::error::{ClientError, HostFailure};

/// What one host answered.
#[derive(Clone, Debug)]
pub struct HostAnswer<View> {
    /// Its operator address.
    pub host: SocketAddr,
    /// Its view, or why there is none.
    pub view: Result<View, OperatorClientError>,
}

/// Asks all hosts at once for the view at `path`; the answers come in the order of `hosts`.
pub async fn ask_all<View>(client: &OperatorClient, hosts: &[SocketAddr], path: &str) -> Vec<HostAnswer<View>>
where
    View: DeserializeOwned + Send + 'static,
{
    let mut asked = JoinSet::new();
    for (place, &host) in hosts.iter().enumerate() {
        let client = client.clone();
        let path = path.to_owned();
        asked.spawn(async move {
            let view = client.view(host, &path).await;
            Placed { place, answer: HostAnswer { host, view } }
        });
    }
    let mut answers = asked.join_all().await;
    answers.sort_by_key(|placed| placed.place);
    answers.into_iter().map(|placed| placed.answer).collect()
}

struct Placed<View> {
    place: usize,
    answer: HostAnswer<View>,
}

/// The views of those that answered.
///
/// # Errors
///
/// [`ClientError::NoHost`] when none did.
pub fn answered<View>(answers: Vec<HostAnswer<View>>) -> Result<Vec<View>, ClientError> {
    let mut views = Vec::new();
    let mut failures = Vec::new();
    for HostAnswer { host, view } in answers {
        match view {
            Ok(view) => views.push(view),
            Err(failure) => failures.push(HostFailure { host, failure }),
        }
    }
    if views.is_empty() { Err(ClientError::NoHost(failures)) } else { Ok(views) }
}

/// The newest configuration that any host has in force, of all partners or of one.
///
/// # Errors
///
/// [`ClientError::NoHost`] when none answered.
pub async fn newest_config(
    client: &OperatorClient,
    hosts: &[SocketAddr],
    partner: Option<&PartnerId>,
) -> Result<ConfigView, ClientError> {
    let views = answered(ask_all(client, hosts, &config_path(partner)).await)?;
    let newest = views.into_iter().max_by_key(|view: &ConfigView| view.next_offset);
    newest.ok_or_else(|| ClientError::NoHost(Vec::new()))
}

/// Path of the configuration view.
pub fn config_path(partner: Option<&PartnerId>) -> String {
    match partner {
        Some(partner) => format!("/control/config?partner={partner}"),
        None => "/control/config".to_owned(),
    }
}
