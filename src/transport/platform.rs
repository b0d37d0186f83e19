//! The platform's interface, a plain HTTP watch. No other module knows it.

use std::sync::Arc;
use std::time::Duration;

use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::Instance;
use crate::transport::traffic::TrafficCounter;

/// Largest configuration document that is read, in bytes.
pub const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;

/// Largest instance list that is read, in bytes.
pub const MAX_INSTANCES_BYTES: usize = 16 * 1024 * 1024;

/// Time beyond the requested wait after which a watch is given up.
const ANSWER_SLACK: Duration = Duration::from_secs(5);

/// Time to connect to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Number that grows with every publication.
    pub revision: u64,
    /// The policy text.
    pub text: String,
}

/// A published instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDocument {
    /// Number that grows with every change of the list.
    pub version: u64,
    /// Live and draining instances.
    pub instances: Vec<Instance>,
}

/// Why the platform gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The call failed or timed out.
    #[error("platform call failed: {0}")]
    Call(#[from] reqwest::Error),
    /// The platform answered with an error status.
    #[error("platform answered with status {0}")]
    Status(u16),
    /// The answer is larger than allowed.
    #[error("platform answer is larger than {0} bytes")]
    TooLarge(usize),
    /// The answer is not the expected document.
    #[error("platform answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Reads and watches the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    url: String,
    http: reqwest::Client,
    traffic: Arc<TrafficCounter>,
}

impl PlatformClient {
    /// Builds a client of the platform at the base URL `url`.
    pub fn new(url: &str) -> PlatformClient {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("the client has no TLS backend to fail");
        PlatformClient {
            url: url.trim_end_matches('/').to_owned(),
            http,
            traffic: Arc::default(),
        }
    }

    /// Returns the counts of the questions to the platform, and of its answers.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Returns the configuration if its revision is above `after`, waiting up to `wait` for it.
    pub async fn config(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<ConfigDocument>, PlatformError> {
        let body = self.get("config", after, wait, MAX_CONFIG_BYTES).await?;
        parse(body)
    }

    /// Returns the instance list if its version is above `after`, waiting up to `wait` for it.
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

    async fn get(
        &self,
        what: &str,
        after: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Option<Vec<u8>>, PlatformError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/v1/{what}?after={after}&wait_ms={wait_ms}", self.url);
        self.traffic.add_sent(url.len());
        let mut resp = self
            .http
            .get(url)
            .timeout(wait + ANSWER_SLACK)
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

fn parse<D>(body: Option<Vec<u8>>) -> Result<Option<D>, PlatformError>
where
    D: for<'de> Deserialize<'de>,
{
    let document = body.map(|b| serde_json::from_slice(&b)).transpose()?;
    Ok(document)
}
