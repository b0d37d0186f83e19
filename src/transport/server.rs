//! Starts and stops one HTTP port.

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

/// Seconds for which an idle connection is kept open.
const KEEP_ALIVE_S: u32 = 75;

/// Seconds that answers in progress get once the server is told to stop.
const STOP_GRACE_S: u32 = 1;

/// Methods that are served.
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

/// Returns the routes that hand every request to `handler`.
pub fn catch_all<H>(handler: H) -> Vec<Route>
where
    H: Handler + Clone,
{
    METHODS
        .iter()
        .map(|method| Route::new(*method, "/<path..>", handler.clone()))
        .collect()
}

/// An HTTP port that is being served.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `routes` at `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, routes: Vec<Route>) -> io::Result<Server> {
        Server::start_with(address, |rocket| rocket.mount("/", routes)).await
    }

    /// Serves at `address` what `build` mounts; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start_with<F>(address: SocketAddr, build: F) -> io::Result<Server>
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
        let rocket = build(rocket)
            .ignite()
            .await
            .map_err(|e| io::Error::other(format!("port {address}: {}", e.kind())))?;
        let shutdown = rocket.shutdown();
        let mut task = tokio::spawn(async move { rocket.launch().await.map(|_| ()) });
        tokio::select! {
            port = rx => {
                let port = port.map_err(|_| io::Error::other(format!("port {address}: closed")))?;
                let address = SocketAddr::new(address.ip(), port);
                let task = tokio::spawn(async move {
                    if let Ok(Err(e)) = task.await {
                        let kind = e.kind().to_string(); // an error not looked at panics
                        log::error!("port {address}: {kind}");
                    }
                });
                Ok(Server { address, shutdown, task })
            }
            ended = &mut task => Err(launch_error(address, ended)),
        }
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, without waiting for the server to end.
    pub fn close(&self) {
        self.shutdown.clone().notify();
    }

    /// Stops accepting connections and waits until the server has ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

fn launch_error(
    address: SocketAddr,
    ended: Result<Result<(), rocket::Error>, tokio::task::JoinError>,
) -> io::Error {
    let reason = match ended {
        Ok(Err(e)) => e.kind().to_string(),
        Ok(Ok(())) => "closed before it was ready".to_owned(),
        Err(e) => e.to_string(),
    };
    io::Error::other(format!("port {address}: {reason}"))
}

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
