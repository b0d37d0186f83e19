//! Starts a node, reloads its settings and stops it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rocket::http::Status;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::coordination::shutdown::FINAL_WRITE_TIME;
use crate::coordination::shutdown::MIN_ACCEPT_TIME;
use crate::coordination::shutdown::ShutdownPlan;
use crate::relay::Phase;
use crate::relay::Relay;
use crate::relay::RelayConfig;
use crate::relay::background;
use crate::relay::caller_server;
use crate::relay::caller_table;
use crate::relay::pages;
use crate::relay::pages::DynamicPage;
use crate::relay::peer_server;
use crate::relay::peer_versions;
use crate::relay::preview;
use crate::relay::reader_sync;
use crate::relay::socket;
use crate::relay::store_sync;
use crate::transport::server::Server;

/// Time between two reads of the settings file.
const RELOAD_PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two checks whether a stopping node has finished.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// A running node with its listeners and tasks.
#[derive(Debug)]
pub struct RunningRelay {
    relay: Arc<Relay>,
    ready: Server,
    metrics: Server,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningRelay {
    /// Binds the ports of a node and starts its tasks.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub async fn start(relay: Arc<Relay>) -> io::Result<RunningRelay> {
        let cfg = relay.cfg();
        let outbound = socket::listen(cfg.outbound)?;
        let peers = socket::listen(cfg.peers)?;
        let page_relay = relay.clone();
        let readiness = DynamicPage::new(move |_| match page_relay.is_ready() {
            true => (Status::Ok, "ready\n".to_owned()),
            false => (Status::ServiceUnavailable, "not ready\n".to_owned()),
        });
        let ready = pages::serve(cfg.ready, vec![(&cfg.ready_path, readiness)]);
        let page_relay = relay.clone();
        let metrics =
            DynamicPage::new(move |_| (Status::Ok, page_relay.metrics().text(&page_relay)));
        let page_relay = relay.clone();
        let preview = DynamicPage::new(move |query| preview::page(&page_relay, query));
        let operator_pages = vec![
            (pages::METRICS_PATH, metrics),
            (pages::PREVIEW_PATH, preview),
        ];
        let metrics = pages::serve(cfg.metrics, operator_pages);
        let ready = ready.await?;
        let metrics = metrics.await?;
        let peers = Arc::new(peers);
        let outbound = Arc::new(outbound);
        let mut tasks = vec![
            background::spawn(&relay, "peer-server", move |relay| {
                peer_server::accept(relay, peers.clone())
            }),
            background::spawn(&relay, "routes", store_sync::follow_routes),
            background::spawn(&relay, "versions", peer_versions::follow_peer_versions),
            background::spawn(&relay, "targets", store_sync::follow_targets),
            background::spawn(&relay, "local-target", store_sync::follow_local_target),
            background::spawn(&relay, "memory", caller_table::relieve_memory),
            background::spawn(&relay, "queue", |relay| {
                relay.admission_queue().clone().drop_late_requests()
            }),
        ];
        for rank in 0..reader_sync::READERS {
            let follow = move |relay| reader_sync::follow_reader(relay, rank);
            tasks.push(background::spawn(&relay, "reader", follow));
        }
        let callers = background::spawn(&relay, "caller-server", move |relay| {
            caller_server::accept(relay, outbound.clone())
        });
        Ok(RunningRelay {
            callers,
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

    /// Stops at once without finishing requests, as a killed process does.
    pub fn kill(&self) {
        self.callers.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
        self.relay.peer_client().close_all();
        self.ready.close();
        self.metrics.close();
    }

    /// Finishes the requests in progress and stops within the grace period.
    ///
    /// The local target finishes its running requests and sends their sub-calls to this node, so
    /// the node accepts connections until the target is idle.
    pub async fn stop(self) {
        let started_at = Instant::now();
        let plan = ShutdownPlan::new(self.relay.cfg().grace);
        self.relay.set_phase(Phase::Stopping);
        while started_at.elapsed() < plan.last_read {
            let min_accept_time_over = started_at.elapsed() >= MIN_ACCEPT_TIME;
            if min_accept_time_over && self.relay.admission_queue().counts().0 == 0 {
                break;
            }
            sleep(STOP_POLL_PERIOD).await;
        }
        self.callers.abort();
        self.relay.set_phase(Phase::Closing);
        sleep(FINAL_WRITE_TIME).await;
        while started_at.elapsed() < plan.last_wait && self.relay.is_busy() {
            sleep(STOP_POLL_PERIOD).await;
        }
        if self.relay.is_busy() {
            self.relay.set_phase(Phase::Exiting);
            sleep(plan.exit.saturating_sub(started_at.elapsed())).await;
        }
        log::info!(took_ms = started_at.elapsed().as_millis() as u64, busy = self.relay.is_busy(); "node stopped");
        self.ready.close();
        self.metrics.close();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Runs a node until `SIGTERM` or `SIGINT`. `load` reads the settings; they are reloaded on
/// `SIGHUP` and whenever they have changed.
///
/// # Errors
///
/// If a signal handler cannot be installed or a port cannot be bound.
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
        "node started"
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&relay, &load, true),
            () = sleep(RELOAD_PERIOD) => reload(&relay, &load, false),
        }
    }
    log::info!(busy = relay.is_busy(); "node is stopping");
    running.stop().await;
    Ok(())
}

fn reload<F>(relay: &Relay, load: &F, forced: bool)
where
    F: Fn() -> io::Result<RelayConfig>,
{
    match load() {
        Ok(cfg) if forced || cfg != *relay.cfg() => relay.set_cfg(cfg),
        Ok(_) => (),
        Err(e) => log::warn!("cannot reload the settings: {e}"),
    }
}
