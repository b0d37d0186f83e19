//! A stand-in for the platform that serves a configuration and an instance list by long polling,
//! with faults that can be injected: down, stale, flapping or slow.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rocket::State;
use rocket::get;
use rocket::http::Status;
use rocket::response::content::RawJson;
use rocket::routes;
use tokio::sync::watch;

use crate::instance::Instance;
use crate::transport::platform::ConfigDocument;
use crate::transport::platform::InstanceDocument;
use crate::transport::server::Server;

/// Longest time that a long poll waits for a newer document.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Fault injected into the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call fails with 503, also one that already waits.
    Down,
    /// Serves this older configuration instead of the current one.
    Stale(ConfigDocument),
    /// Every second call fails with 503.
    Flapping,
    /// Every response is delayed by this duration.
    Slow(Duration),
}

/// Documents that the stand-in serves, the fault in force and the number of calls so far.
#[derive(Default)]
struct PublishedState {
    config: Option<ConfigDocument>,
    instances: InstanceDocument,
    fault: Fault,
    calls: u64,
}

impl PublishedState {
    /// Returns the configuration as JSON if its revision is higher than `after`.
    fn config_after(&self, after: u64) -> Option<String> {
        let config = match &self.fault {
            Fault::Stale(old) => Some(old),
            _ => self.config.as_ref(),
        };
        config
            .filter(|c| c.revision > after)
            .map(|c| serde_json::to_string(c).expect("a document serializes to JSON"))
    }

    /// Returns the instance list as JSON if its version is higher than `after`.
    fn instances_after(&self, after: u64) -> Option<String> {
        Some(&self.instances)
            .filter(|i| i.version > after)
            .map(|i| serde_json::to_string(i).expect("a document serializes to JSON"))
    }

    /// Counts a call and returns whether the fault makes it fail at once.
    fn next_call_fails(&mut self) -> bool {
        self.calls += 1;
        match self.fault {
            Fault::Down => true,
            Fault::Flapping => self.calls.is_multiple_of(2),
            _ => false,
        }
    }
}

/// State shared with the request handlers.
struct Shared {
    published: Mutex<PublishedState>,
    /// Incremented on each update, to wake the long polls.
    updates: watch::Sender<u64>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PublishedState> {
        self.published.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Applies `change` and wakes every long poll.
    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut PublishedState),
    {
        change(&mut self.lock());
        self.updates.send_modify(|n| *n += 1);
    }

    /// Waits for up to `wait_ms` milliseconds until `newer` returns a document.
    ///
    /// # Errors
    ///
    /// 503 if the fault fails the call, 204 if there was no newer document in time.
    async fn long_poll<F>(&self, wait_ms: u64, newer: F) -> Result<RawJson<String>, Status>
    where
        F: Fn(&PublishedState) -> Option<String>,
    {
        if self.lock().next_call_fails() {
            return Err(Status::ServiceUnavailable);
        }
        let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
        let mut updates = self.updates.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let (document, fault) = {
                let published = self.lock();
                (newer(&published), published.fault.clone())
            };
            match fault {
                Fault::Down => return Err(Status::ServiceUnavailable),
                Fault::Slow(delay) => tokio::time::sleep(delay).await,
                _ => (),
            }
            if let Some(json) = document {
                return Ok(RawJson(json));
            }
            let woken = tokio::time::timeout_at(deadline, updates.changed()).await;
            if woken.is_err() {
                return Err(Status::NoContent);
            }
        }
    }
}

#[get("/v1/config?<after>&<wait_ms>")]
async fn config(
    after: Option<u64>,
    wait_ms: Option<u64>,
    shared: &State<Arc<Shared>>,
) -> Result<RawJson<String>, Status> {
    let after = after.unwrap_or_default();
    shared
        .long_poll(wait_ms.unwrap_or_default(), |p| p.config_after(after))
        .await
}

#[get("/v1/instances?<after>&<wait_ms>")]
async fn instances(
    after: Option<u64>,
    wait_ms: Option<u64>,
    shared: &State<Arc<Shared>>,
) -> Result<RawJson<String>, Status> {
    let after = after.unwrap_or_default();
    shared
        .long_poll(wait_ms.unwrap_or_default(), |p| p.instances_after(after))
        .await
}

/// A running stand-in for the platform. Dropping it stops its server.
pub struct PlatformStandin {
    url: String,
    shared: Arc<Shared>,
    server: Server,
}

impl PlatformStandin {
    /// Starts a stand-in on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start() -> io::Result<PlatformStandin> {
        PlatformStandin::start_on(0).await
    }

    /// Starts a stand-in on the given port of the loopback address, 0 for any free one.
    ///
    /// # Errors
    ///
    /// If the port cannot be bound.
    pub async fn start_on(port: u16) -> io::Result<PlatformStandin> {
        let shared = Arc::new(Shared {
            published: Mutex::default(),
            updates: watch::Sender::new(0),
        });
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let managed = shared.clone();
        let server = Server::start_with(address, |rocket| {
            rocket
                .manage(managed)
                .mount("/", routes![config, instances])
        });
        let server = server.await?;
        Ok(PlatformStandin {
            url: format!("http://{}", server.address()),
            shared,
            server,
        })
    }

    /// Returns the base URL, `http://ADDRESS`.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Publishes `text` as the configuration of a revision.
    pub fn set_config(&self, revision: u64, text: &str) {
        let document = ConfigDocument {
            revision,
            text: text.to_owned(),
        };
        self.shared.update(|p| p.config = Some(document));
    }

    /// Publishes an instance list under the next version number.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.shared.update(|p| {
            p.instances = InstanceDocument {
                version: p.instances.version + 1,
                instances,
            }
        });
    }

    /// Injects a fault; [`Fault::None`] clears it.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.update(|p| p.fault = fault);
    }

    /// Returns the number of HTTP calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.server.close();
    }
}
