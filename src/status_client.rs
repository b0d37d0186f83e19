//! HTTP client that fetches the status of many nodes.

use std::time::Duration;

use futures_util::StreamExt;
use serde::Serialize;

use crate::status::STATUS_VERSION;
use crate::status::Status;

/// Maximum number of nodes that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Time that a node has to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why the status of a node could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The node could not be reached, or its response is not a valid status.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// The node answered with an HTTP error status.
    #[error("answered with HTTP status {0}")]
    Status(u16),
    /// The node reports its status in another version of the format.
    #[error("uses status version {0}, this program supports {STATUS_VERSION}")]
    Version(u32),
}

/// A node whose status could not be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreadNode {
    /// URL of the operator port, as given.
    pub url: String,
    /// Why its status could not be fetched.
    pub reason: String,
}

/// Result of [`fetch_statuses`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchedStatuses {
    /// Status of each node that answered, sorted by instance name.
    pub nodes: Vec<Status>,
    /// The other nodes, in the order of their URLs.
    pub unread: Vec<UnreadNode>,
}

/// Fetches the status of the nodes whose operator ports are at `urls`.
///
/// A URL without a scheme is taken as HTTP. Nodes that cannot be read do not fail the call.
///
/// # Errors
///
/// If the HTTP client cannot be built.
pub async fn fetch_statuses(urls: &[String]) -> Result<FetchedStatuses, StatusError> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()?;
    let client = &client;
    let responses: Vec<(&String, Result<Status, StatusError>)> = futures_util::stream::iter(urls)
        .map(|url| async move { (url, fetch_status(client, url).await) })
        .buffered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await;
    let mut fetched = FetchedStatuses::default();
    for (url, response) in responses {
        match response {
            Ok(status) => fetched.nodes.push(status),
            Err(e) => fetched.unread.push(UnreadNode {
                url: url.clone(),
                reason: failure_reason(&e),
            }),
        }
    }
    fetched.nodes.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(fetched)
}

async fn fetch_status(client: &reqwest::Client, url: &str) -> Result<Status, StatusError> {
    let base = match url.contains("://") {
        true => url.to_owned(),
        false => format!("http://{url}"),
    };
    let response = client
        .get(format!("{}/status", base.trim_end_matches('/')))
        .send()
        .await?;
    if !response.status().is_success() {
        return Err(StatusError::Status(response.status().as_u16()));
    }
    let status: Status = response.json().await?;
    if status.version != STATUS_VERSION {
        return Err(StatusError::Version(status.version));
    }
    Ok(status)
}

/// Describes an error for the operator.
fn failure_reason(e: &StatusError) -> String {
    let StatusError::Http(e) = e else {
        return e.to_string();
    };
    if e.is_timeout() {
        return "request timed out".to_owned();
    }
    if e.is_connect() {
        return "cannot be reached".to_owned();
    }
    e.to_string()
}
