//! What a node counts about its requests.

use std::time::Duration;

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::metrics;
use crate::protocol::frame::RunOutcome;
use crate::relay::Relay;

/// Upper bounds of the buckets of times, in seconds.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0,
];

/// The counters and histograms of a node.
#[derive(Debug)]
pub struct Figures {
    registry: Registry,
    requests: IntCounterVec,
    request_time: HistogramVec,
    refused: IntCounterVec,
    failed: IntCounterVec,
    runs: IntCounterVec,
    run_time: HistogramVec,
    queue_time: HistogramVec,
    store: IntCounterVec,
    callers: IntCounter,
    in_progress: IntGauge,
    state: IntGaugeVec,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures::new()
    }
}

impl Figures {
    /// Builds the figures, all zero.
    pub fn new() -> Figures {
        let registry = Registry::new();
        let r = &registry;
        Figures {
            requests: counter(
                r,
                "requests",
                "Requests of callers answered",
                &["route", "status"],
            ),
            request_time: times(r, "request_seconds", "Time to the answer", &["route"]),
            refused: counter(r, "refused", "Requests not run", &["route", "kind"]),
            failed: counter(
                r,
                "failed",
                "Requests of unknown outcome",
                &["route", "kind"],
            ),
            runs: counter(r, "runs", "Runs at the own target", &["route", "outcome"]),
            run_time: times(
                r,
                "run_seconds",
                "Time of a run at the own target",
                &["route"],
            ),
            queue_time: times(r, "queue_seconds", "Wait for a slot", &["route"]),
            store: counter(
                r,
                "store_calls",
                "Calls of the platform's store",
                &["result"],
            ),
            callers: single(r, "callers", "Connections of callers accepted"),
            in_progress: level(r, "in_progress", "Requests of callers in progress"),
            state: gauge(r, "state", "State of the node", &["what"]),
            registry,
        }
    }

    /// Counts a request that was answered.
    pub fn request(&self, route: &str, status: u16, took: Duration) {
        let status = status.to_string();
        self.requests.with_label_values(&[route, &status]).inc();
        let time = self.request_time.with_label_values(&[route]);
        time.observe(took.as_secs_f64());
    }

    /// Counts a request that was not run.
    pub fn refused(&self, route: &str, kind: NotRunKind) {
        self.refused
            .with_label_values(&[route, &kind.to_string()])
            .inc();
    }

    /// Counts a request of unknown outcome.
    pub fn failed(&self, route: &str, kind: UnknownKind) {
        self.failed
            .with_label_values(&[route, &kind.to_string()])
            .inc();
    }

    /// Counts a run at the own target.
    pub fn run(&self, route: &str, ended: &RunOutcome, queued: Duration, took: Duration) {
        let outcome = match ended {
            RunOutcome::Answered { .. } => "answered",
            RunOutcome::NotRun { .. } => "not-run",
            RunOutcome::Unknown(_) => "unknown",
        };
        self.runs.with_label_values(&[route, outcome]).inc();
        let time = self.run_time.with_label_values(&[route]);
        time.observe(took.as_secs_f64());
        let wait = self.queue_time.with_label_values(&[route]);
        wait.observe(queued.as_secs_f64());
    }

    /// Counts a call of the platform's store.
    pub fn store_call(&self, worked: bool) {
        let result = match worked {
            true => "ok",
            false => "failed",
        };
        self.store.with_label_values(&[result]).inc();
    }

    /// Counts a connection of a caller.
    pub fn caller_connected(&self) {
        self.callers.inc();
    }

    /// Returns the requests of callers that are in progress.
    pub fn in_progress(&self) -> i64 {
        self.in_progress.get()
    }

    /// Counts a request of a caller as in progress for as long as the result is held.
    pub fn begin(&self) -> InProgress {
        self.in_progress.inc();
        InProgress(self.in_progress.clone())
    }

    /// Returns the Prometheus text.
    pub fn text(&self, relay: &Relay) -> String {
        let (running, queued, limit) = relay.intake().counts();
        let view = relay.view();
        let version = view.routes.as_ref().map_or(0, |t| t.version);
        let state = [
            ("running", i64::from(running)),
            ("queued", i64::from(queued)),
            ("limit", i64::from(limit)),
            ("gate", i64::from(relay.intake().gate().to_byte())),
            ("targets", view.targets.len() as i64),
            ("configuration", version as i64),
            ("ready", i64::from(relay.is_ready())),
        ];
        for (what, value) in state {
            self.state.with_label_values(&[what]).set(value);
        }
        metrics::text_of(&self.registry)
    }
}

/// A request of a caller in progress.
#[derive(Debug)]
pub struct InProgress(IntGauge);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("dragonflylead_relay_{name}"), help)
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    metrics::registered(registry, IntCounterVec::new(opts(name, help), labels))
}

fn single(registry: &Registry, name: &str, help: &str) -> IntCounter {
    metrics::registered(registry, IntCounter::with_opts(opts(name, help)))
}

fn level(registry: &Registry, name: &str, help: &str) -> IntGauge {
    metrics::registered(registry, IntGauge::with_opts(opts(name, help)))
}

fn times(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::from(opts(name, help)).buckets(BUCKETS_S.to_vec());
    metrics::registered(registry, HistogramVec::new(opts, labels))
}

fn gauge(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    metrics::registered(registry, IntGaugeVec::new(opts(name, help), labels))
}
