//! Starts a node of the request path, reloads its settings and stops it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rocket::http::Status;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::relay::Phase;
use crate::relay::Relay;
use crate::relay::RelayConfig;
use crate::relay::caller;
use crate::relay::pages;
use crate::relay::peer;
use crate::relay::socket;
use crate::relay::store_sync;
use crate::transport::server::Server;

/// Time between two looks at the settings file.
const RELOAD_PERIOD: Duration = Duration::from_millis(1_000);

/// Time for which a stopping node still accepts callers, until they have been sent elsewhere.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(2_600);

/// Part of the grace in which no further request is read.
const CLOSING_TIME: Duration = Duration::from_millis(1_500);

/// Time for the last answers to leave the process.
const LAST_WRITES: Duration = Duration::from_millis(100);

/// Time between two looks whether a stopping node has finished.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Part of the grace that is left for the process to end.
const GRACE_LEFT: Duration = Duration::from_millis(500);

/// A node that serves its ports.
#[derive(Debug)]
pub struct RunningRelay {
    relay: Arc<Relay>,
    ready: Server,
    metrics: Server,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningRelay {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// If a port cannot be served.
    pub async fn start(relay: Arc<Relay>) -> io::Result<RunningRelay> {
        let cfg = relay.cfg();
        let outbound = socket::listen(cfg.outbound)?;
        let peers = socket::listen(cfg.peers)?;
        let shown = relay.clone();
        let ready = pages::serve(cfg.ready, &cfg.ready_path, move || match shown.is_ready() {
            true => (Status::Ok, "ready\n".to_owned()),
            false => (Status::ServiceUnavailable, "not ready\n".to_owned()),
        });
        let shown = relay.clone();
        let metrics = pages::serve(cfg.metrics, pages::METRICS_PATH, move || {
            (Status::Ok, shown.figures().text(&shown))
        });
        let ready = ready.await?;
        let metrics = metrics.await?;
        let tasks = vec![
            tokio::spawn(peer::accept(relay.clone(), peers)),
            tokio::spawn(store_sync::follow_routes(relay.clone())),
            tokio::spawn(store_sync::follow_targets(relay.clone())),
            tokio::spawn(store_sync::follow_own(relay.clone())),
            tokio::spawn(relay.intake().clone().tick()),
        ];
        Ok(RunningRelay {
            callers: tokio::spawn(caller::accept(relay.clone(), outbound)),
            relay,
            ready,
            metrics,
            tasks,
        })
    }

    /// Returns the node.
    pub fn relay(&self) -> &Arc<Relay> {
        &self.relay
    }

    /// Ends at once, as a process that is killed.
    pub fn kill(&self) {
        self.callers.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
        self.relay.links().close_all();
        self.ready.close();
        self.metrics.close();
    }

    /// Takes no new work, finishes what runs within the grace, then stops.
    ///
    /// The target goes on running what it has begun, and its sub-calls enter here, so that the
    /// node goes on accepting until the target is idle.
    pub async fn stop(self) {
        let began = Instant::now();
        let grace = self.relay.cfg().grace.saturating_sub(GRACE_LEFT);
        let last_accept = grace.saturating_sub(CLOSING_TIME);
        self.relay.enter(Phase::Leaving);
        while began.elapsed() < last_accept {
            let accepted_enough = began.elapsed() >= ACCEPT_WHILE_STOPPING;
            if accepted_enough && self.relay.intake().counts().0 == 0 {
                break;
            }
            sleep(STOP_LOOK).await;
        }
        self.callers.abort();
        self.relay.enter(Phase::Closing);
        sleep(LAST_WRITES).await;
        while began.elapsed() < grace && self.relay.is_busy() {
            sleep(STOP_LOOK).await;
        }
        log::info!(took_ms = began.elapsed().as_millis() as u64, busy = self.relay.is_busy(); "stopped");
        self.ready.close();
        self.metrics.close();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Runs a node until the process is told to terminate. `load` reads the settings; they are read
/// again on a hang-up signal and whenever they change.
///
/// # Errors
///
/// If the node cannot start.
pub async fn run<F>(relay: Arc<Relay>, load: F) -> io::Result<()>
where
    F: Fn() -> io::Result<RelayConfig>,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let running = RunningRelay::start(relay.clone()).await?;
    let cfg = relay.cfg();
    log::info!(
        node:% = cfg.name, service:% = cfg.service, domain:% = cfg.domain,
        outbound:% = cfg.outbound, peers:% = cfg.peers, target:% = cfg.target,
        incarnation = relay.incarnation();
        "started"
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&relay, &load, true),
            () = sleep(RELOAD_PERIOD) => reload(&relay, &load, false),
        }
    }
    log::info!(busy = relay.is_busy(); "stopping");
    running.stop().await;
    Ok(())
}

fn reload<F>(relay: &Relay, load: &F, told: bool)
where
    F: Fn() -> io::Result<RelayConfig>,
{
    match load() {
        Ok(cfg) if told || cfg != *relay.cfg() => relay.set_cfg(cfg),
        Ok(_) => (),
        Err(e) => log::warn!("settings not read again: {e}"),
    }
}
