//! Client of the platform's HTTP interface: long polls for the configuration and the instance list.
//! No other module depends on this interface.

use std::sync::Arc;
use std::time::Duration;

use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::Instance;
use crate::transport::traffic::TrafficCounter;

/// Maximum size of a configuration document, in bytes.
pub const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of an instance list, in bytes.
pub const MAX_INSTANCES_BYTES: usize = 16 * 1024 * 1024;

/// Time beyond the requested wait after which a long poll times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Timeout for opening a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A configuration as published by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Revision, which increases with every publication.
    pub revision: u64,
    /// Text of the policy.
    pub text: String,
}

/// An instance list as published by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDocument {
    /// Version, which increases with every change of the list.
    pub version: u64,
    /// Live and draining instances of all services.
    pub instances: Vec<Instance>,
}

/// Why a request to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The call failed or timed out.
    #[error("platform call failed: {0}")]
    Call(#[from] reqwest::Error),
    /// The platform answered with the given unexpected status.
    #[error("platform answered with status {0}")]
    Status(u16),
    /// The response is larger than the given limit in bytes.
    #[error("platform response is larger than {0} bytes")]
    TooLarge(usize),
    /// The response is not the expected JSON document.
    #[error("platform response is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    url: String,
    http: reqwest::Client,
    traffic: Arc<TrafficCounter>,
}

impl PlatformClient {
    /// Builds a client for the platform at the base URL `url`.
    pub fn new(url: &str) -> PlatformClient {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        PlatformClient {
            url: url.trim_end_matches('/').to_owned(),
            http,
            traffic: Arc::default(),
        }
    }

    /// Returns the bytes of the request URLs sent to the platform, and of the responses received.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Waits up to `wait` for a configuration with a revision above `after`. Returns `None` if
    /// there is none in time.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or its response is invalid.
    pub async fn config(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<ConfigDocument>, PlatformError> {
        let body = self.get("config", after, wait, MAX_CONFIG_BYTES).await?;
        parse(body)
    }

    /// Waits up to `wait` for an instance list with a version above `after`. Returns `None` if
    /// there is none in time.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or its response is invalid.
    pub async fn instances(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<InstanceDocument>, PlatformError> {
        let body = self
            .get("instances", after, wait, MAX_INSTANCES_BYTES)
            .await?;
        parse(body)
    }

    /// Sends a long poll for a document. Returns its body, or `None` if nothing newer was published
    /// in time.
    async fn get(
        &self,
        document: &str,
        after: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Option<Vec<u8>>, PlatformError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/v1/{document}?after={after}&wait_ms={wait_ms}", self.url);
        self.traffic.add_sent(url.len());
        let mut resp = self
            .http
            .get(url)
            .timeout(wait + WATCH_TIMEOUT_MARGIN)
            .send()
            .await?;
        match resp.status() {
            StatusCode::NO_CONTENT => return Ok(None),
            StatusCode::OK => (),
            status => return Err(PlatformError::Status(status.as_u16())),
        }
        let mut body = Vec::new();
        while let Some(chunk) = resp.chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(PlatformError::TooLarge(max_bytes));
            }
            self.traffic.add_received(chunk.len());
            body.extend_from_slice(&chunk);
        }
        Ok(Some(body))
    }
}

/// Parses a JSON document.
fn parse<D>(body: Option<Vec<u8>>) -> Result<Option<D>, PlatformError>
where
    D: for<'de> Deserialize<'de>,
{
    let document = body.map(|b| serde_json::from_slice(&b)).transpose()?;
    Ok(document)
}
