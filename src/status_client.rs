//! Reads the status of many nodes.

use std::time::Duration;

use futures_util::StreamExt;
use serde::Serialize;

use crate::status::STATUS_VERSION;
use crate::status::Status;

/// Nodes that are read at the same time.
const AT_ONCE: usize = 64;

/// Time that a node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Why the status of a node could not be read.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// It could not be reached, or its answer is not a status.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// It answered with an error.
    #[error("answered with status {0}")]
    Status(u16),
    /// It speaks another version.
    #[error("speaks status version {0}, this program understands {STATUS_VERSION}")]
    Version(u32),
}

/// A node that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreadNode {
    /// Where it was looked for.
    pub url: String,
    /// Why it could not be read.
    pub reason: String,
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchedStatuses {
    /// Status of each node that answered, sorted by instance.
    pub nodes: Vec<Status>,
    /// The other nodes, in the order given.
    pub unread: Vec<UnreadNode>,
}

/// Reads the status of the nodes whose operator ports are at `urls`.
///
/// # Errors
///
/// If the HTTP client cannot be set up.
pub async fn fetch_statuses(urls: &[String]) -> Result<FetchedStatuses, StatusError> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build()?;
    let client = &client;
    let answers: Vec<(&String, Result<Status, StatusError>)> = futures_util::stream::iter(urls)
        .map(|url| async move { (url, status(client, url).await) })
        .buffered(AT_ONCE)
        .collect()
        .await;
    let mut fetched = FetchedStatuses::default();
    for (url, answer) in answers {
        match answer {
            Ok(status) => fetched.nodes.push(status),
            Err(e) => fetched.unread.push(UnreadNode {
                url: url.clone(),
                reason: reason(&e),
            }),
        }
    }
    fetched.nodes.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(fetched)
}

async fn status(client: &reqwest::Client, url: &str) -> Result<Status, StatusError> {
    let base = match url.contains("://") {
        true => url.to_owned(),
        false => format!("http://{url}"),
    };
    let answer = client
        .get(format!("{}/status", base.trim_end_matches('/')))
        .send()
        .await?;
    if !answer.status().is_success() {
        return Err(StatusError::Status(answer.status().as_u16()));
    }
    let status: Status = answer.json().await?;
    if status.version != STATUS_VERSION {
        return Err(StatusError::Version(status.version));
    }
    Ok(status)
}

fn reason(e: &StatusError) -> String {
    let StatusError::Http(e) = e else {
        return e.to_string();
    };
    if e.is_timeout() {
        return "no answer in time".to_owned();
    }
    if e.is_connect() {
        return "cannot be reached".to_owned();
    }
    e.to_string()
}
