//! A stand-in for the platform: serves a configuration text and an instance list, and can be down,
//! stale, flapping or slow.

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

/// Longest time that a watch is held open.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How the stand-in misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It behaves.
    #[default]
    None,
    /// Every call fails.
    Down,
    /// It serves this older configuration in place of the current one.
    Stale(ConfigDocument),
    /// Every second call fails.
    Flapping,
    /// Every answer is late by this span.
    Slow(Duration),
}

#[derive(Default)]
struct Published {
    config: Option<ConfigDocument>,
    instances: InstanceDocument,
    fault: Fault,
    calls: u64,
}

impl Published {
    fn config_after(&self, after: u64) -> Option<String> {
        let config = match &self.fault {
            Fault::Stale(old) => Some(old),
            _ => self.config.as_ref(),
        };
        config
            .filter(|c| c.revision > after)
            .map(|c| serde_json::to_string(c).expect("a document is always representable"))
    }

    fn instances_after(&self, after: u64) -> Option<String> {
        Some(&self.instances)
            .filter(|i| i.version > after)
            .map(|i| serde_json::to_string(i).expect("a document is always representable"))
    }

    fn fails(&mut self) -> bool {
        self.calls += 1;
        match self.fault {
            Fault::Down => true,
            Fault::Flapping => self.calls.is_multiple_of(2),
            _ => false,
        }
    }
}

struct Shared {
    published: Mutex<Published>,
    changed: watch::Sender<u64>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Published> {
        self.published.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Published),
    {
        change(&mut self.lock());
        self.changed.send_modify(|n| *n += 1);
    }

    async fn watch<F>(&self, wait_ms: u64, newer: F) -> Result<RawJson<String>, Status>
    where
        F: Fn(&Published) -> Option<String>,
    {
        if self.lock().fails() {
            return Err(Status::ServiceUnavailable);
        }
        let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let (found, fault) = {
                let published = self.lock();
                (newer(&published), published.fault.clone())
            };
            match fault {
                Fault::Down => return Err(Status::ServiceUnavailable),
                Fault::Slow(span) => tokio::time::sleep(span).await,
                _ => (),
            }
            if let Some(json) = found {
                return Ok(RawJson(json));
            }
            let woken = tokio::time::timeout_at(deadline, changed.changed()).await;
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
        .watch(wait_ms.unwrap_or_default(), |p| p.config_after(after))
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
        .watch(wait_ms.unwrap_or_default(), |p| p.instances_after(after))
        .await
}

/// A running stand-in. It stops when it is dropped.
pub struct PlatformStandin {
    url: String,
    shared: Arc<Shared>,
    server: Server,
}

impl PlatformStandin {
    /// Starts a stand-in on a free port of the loopback address.
    pub async fn start() -> io::Result<PlatformStandin> {
        PlatformStandin::start_on(0).await
    }

    /// Starts a stand-in on the given port of the loopback address.
    pub async fn start_on(port: u16) -> io::Result<PlatformStandin> {
        let shared = Arc::new(Shared {
            published: Mutex::default(),
            changed: watch::Sender::new(0),
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

    /// Returns the base URL.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Publishes a configuration text.
    pub fn set_config(&self, revision: u64, text: &str) {
        let document = ConfigDocument {
            revision,
            text: text.to_owned(),
        };
        self.shared.update(|p| p.config = Some(document));
    }

    /// Publishes an instance list as the next version.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.shared.update(|p| {
            p.instances = InstanceDocument {
                version: p.instances.version + 1,
                instances,
            }
        });
    }

    /// Sets how the stand-in misbehaves from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.update(|p| p.fault = fault);
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.server.close();
    }
}
