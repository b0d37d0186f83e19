//! An HTTP server on one port.

use std::io;
use std::net::SocketAddr;

use rocket::Build;
use rocket::Rocket;
use rocket::Route;
use rocket::Shutdown;
use rocket::config::LogLevel;
use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use rocket::http::Method;
use rocket::route::Handler;
use rocket::shield::Shield;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time for which an idle connection is kept open, in seconds.
const KEEP_ALIVE_S: u32 = 75;

/// Time that responses in progress have to finish after a shutdown, in seconds. Rocket applies it
/// once as grace period and once more as mercy period.
const STOP_GRACE_S: u32 = 1;

/// HTTP methods that [`catch_all`] routes.
const METHODS: [Method; 8] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Trace,
    Method::Patch,
];

/// Returns routes that pass every request to `handler`, whatever its method and path.
pub fn catch_all<H>(handler: H) -> Vec<Route>
where
    H: Handler + Clone,
{
    METHODS
        .iter()
        .map(|method| Route::new(*method, "/<path..>", handler.clone()))
        .collect()
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server for `routes` at `address`. With port 0 the system picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the routes are invalid.
    pub async fn start(address: SocketAddr, routes: Vec<Route>) -> io::Result<Server> {
        Server::start_with(address, |rocket| rocket.mount("/", routes)).await
    }

    /// Starts a server at `address` for the routes that `mount` adds. With port 0 the system picks
    /// a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the routes are invalid.
    pub async fn start_with<F>(address: SocketAddr, mount: F) -> io::Result<Server>
    where
        F: FnOnce(Rocket<Build>) -> Rocket<Build>,
    {
        let (tx, rx) = oneshot::channel();
        let tx = std::sync::Mutex::new(Some(tx));
        let report_port = AdHoc::on_liftoff("port", move |rocket| {
            let port = rocket.config().port;
            if let Some(tx) = tx.lock().ok().and_then(|mut tx| tx.take()) {
                let _ = tx.send(port);
            }
            Box::pin(async {})
        });
        let rocket = rocket::custom(figment(address))
            .attach(Shield::new())
            .attach(report_port);
        let rocket = mount(rocket)
            .ignite()
            .await
            .map_err(|e| io::Error::other(format!("port {address}: {}", e.kind())))?;
        let shutdown = rocket.shutdown();
        let mut task = tokio::spawn(async move { rocket.launch().await.map(|_| ()) });
        tokio::select! {
            port = rx => {
                let port = port.map_err(|_| io::Error::other(format!("port {address}: server ended before it was ready")))?;
                let address = SocketAddr::new(address.ip(), port);
                let task = tokio::spawn(async move {
                    if let Ok(Err(e)) = task.await {
                        // Reading the kind marks the error as handled; dropping an unhandled
                        // `rocket::Error` panics.
                        let kind = e.kind().to_string();
                        log::error!("server on port {address} failed: {kind}");
                    }
                });
                Ok(Server { address, shutdown, task })
            }
            ended = &mut task => Err(launch_error(address, ended)),
        }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a shutdown: no new connections are accepted. Does not wait for the server to end.
    pub fn close(&self) {
        self.shutdown.clone().notify();
    }

    /// Stops accepting connections and waits until the server has ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Converts the early end of the server task to an I/O error.
fn launch_error(
    address: SocketAddr,
    ended: Result<Result<(), rocket::Error>, tokio::task::JoinError>,
) -> io::Error {
    let reason = match ended {
        Ok(Err(e)) => e.kind().to_string(),
        Ok(Ok(())) => "server ended before it was ready".to_owned(),
        Err(e) => e.to_string(),
    };
    io::Error::other(format!("port {address}: {reason}"))
}

/// Returns the Rocket configuration of a server at `address`. Signals are left to the process, and
/// Rocket's own log is off.
fn figment(address: SocketAddr) -> Figment {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: STOP_GRACE_S,
        mercy: STOP_GRACE_S,
        force: false,
        ..Default::default()
    };
    let cfg = rocket::Config {
        address: address.ip(),
        port: address.port(),
        ident: rocket::config::Ident::none(),
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        shutdown,
        ..rocket::Config::release_default()
    };
    Figment::from(cfg)
}
