//! Prometheus metrics of a node.

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

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0,
];

/// Counters, gauges and histograms of a node.
#[derive(Debug)]
pub struct RelayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_time: HistogramVec,
    refused: IntCounterVec,
    failed: IntCounterVec,
    unauthorized: IntCounter,
    runs: IntCounterVec,
    run_time: HistogramVec,
    queue_time: HistogramVec,
    store_calls: IntCounterVec,
    caller_connections: IntCounter,
    caller_ends: IntCounterVec,
    task_restarts: IntCounterVec,
    in_progress: IntGauge,
    state: IntGaugeVec,
}

impl Default for RelayMetrics {
    fn default() -> RelayMetrics {
        RelayMetrics::new()
    }
}

impl RelayMetrics {
    /// Builds the metrics with a registry of their own, all zero.
    pub fn new() -> RelayMetrics {
        let registry = Registry::new();
        let r = &registry;
        RelayMetrics {
            requests: counter_vec(
                r,
                "requests",
                "Requests of callers that were answered",
                &["route", "status"],
            ),
            request_time: histogram_vec(
                r,
                "request_seconds",
                "Time from reading a request to its response",
                &["route"],
            ),
            refused: counter_vec(
                r,
                "refused",
                "Requests that were not run",
                &["route", "kind"],
            ),
            failed: counter_vec(
                r,
                "failed",
                "Requests whose outcome is unknown",
                &["route", "kind"],
            ),
            unauthorized: counter(
                r,
                "unauthorized",
                "Requests that were rejected because their key is missing or unknown",
            ),
            runs: counter_vec(r, "runs", "Runs at the local target", &["route", "outcome"]),
            run_time: histogram_vec(
                r,
                "run_seconds",
                "Time of a run at the local target",
                &["route"],
            ),
            queue_time: histogram_vec(
                r,
                "queue_seconds",
                "Time that a request waits for a slot of the local target",
                &["route"],
            ),
            store_calls: counter_vec(
                r,
                "store_calls",
                "Calls to the platform's store",
                &["result"],
            ),
            caller_connections: counter(r, "callers", "Accepted connections of callers"),
            caller_ends: counter_vec(
                r,
                "caller_ends",
                "Connections of callers that were refused or ended, or requests that were refused, for want of memory or descriptors",
                &["reason"],
            ),
            task_restarts: counter_vec(
                r,
                "task_restarts",
                "Background tasks that ended unexpectedly and were started again",
                &["task"],
            ),
            in_progress: gauge(r, "in_progress", "Requests of callers in progress"),
            state: gauge_vec(r, "state", "State of the node", &["what"]),
            registry,
        }
    }

    /// Counts a request of a caller that was answered after `took`.
    pub fn record_request(&self, route: &str, status: u16, took: Duration) {
        let status = status.to_string();
        self.requests.with_label_values(&[route, &status]).inc();
        let time = self.request_time.with_label_values(&[route]);
        time.observe(took.as_secs_f64());
    }

    /// Counts a request that was not run.
    pub fn record_refusal(&self, route: &str, kind: NotRunKind) {
        self.refused
            .with_label_values(&[route, &kind.to_string()])
            .inc();
    }

    /// Counts a request with a missing or unknown key.
    pub fn record_unauthorized(&self) {
        self.unauthorized.inc();
    }

    /// Counts a request whose outcome is unknown.
    pub fn record_failure(&self, route: &str, kind: UnknownKind) {
        self.failed
            .with_label_values(&[route, &kind.to_string()])
            .inc();
    }

    /// Counts a run at the local target that waited for a slot for `queued` and ran for `took`.
    pub fn record_run(&self, route: &str, outcome: &RunOutcome, queued: Duration, took: Duration) {
        let result = match outcome {
            RunOutcome::Completed { .. } => "answered",
            RunOutcome::NotRun { .. } => "not-run",
            RunOutcome::Unknown(_) => "unknown",
        };
        self.runs.with_label_values(&[route, result]).inc();
        let time = self.run_time.with_label_values(&[route]);
        time.observe(took.as_secs_f64());
        let wait = self.queue_time.with_label_values(&[route]);
        wait.observe(queued.as_secs_f64());
    }

    /// Counts a call to the platform's store.
    pub fn record_store_call(&self, worked: bool) {
        let result = match worked {
            true => "ok",
            false => "failed",
        };
        self.store_calls.with_label_values(&[result]).inc();
    }

    /// Counts a background task that was started again.
    pub fn record_task_restart(&self, task: &str) {
        self.task_restarts.with_label_values(&[task]).inc();
    }

    /// Returns how often background tasks were started again.
    pub fn task_restarts(&self, task: &str) -> u64 {
        self.task_restarts.with_label_values(&[task]).get()
    }

    /// Counts an accepted connection of a caller.
    pub fn record_caller_connection(&self) {
        self.caller_connections.inc();
    }

    /// Counts a connection of a caller that was refused or ended, or a request that was refused, for
    /// want of memory or descriptors.
    pub fn record_caller_end(&self, reason: &str) {
        self.caller_ends.with_label_values(&[reason]).inc();
    }

    /// Returns the number of requests of callers in progress.
    pub fn in_progress(&self) -> i64 {
        self.in_progress.get()
    }

    /// Counts a request of a caller as in progress until the returned guard is dropped.
    pub fn start_request(&self) -> InProgress {
        self.in_progress.inc();
        InProgress(self.in_progress.clone())
    }

    /// Updates the gauges from the state of `relay` and returns all metrics in the Prometheus text
    /// format.
    pub fn text(&self, relay: &Relay) -> String {
        let (running, queued, limit) = relay.admission_queue().counts();
        let view = relay.view();
        let version = view.routes.as_ref().map_or(0, |t| t.version);
        let state = [
            ("running", i64::from(running)),
            ("queued", i64::from(queued)),
            ("limit", i64::from(limit)),
            // Admission ratio of the local target, in 255ths.
            (
                "gate",
                i64::from(relay.admission_queue().admission_ratio().to_byte()),
            ),
            ("callers", relay.open_callers() as i64),
            ("memory_bytes", relay.memory().used() as i64),
            ("memory_limit_bytes", relay.memory().limit() as i64),
            ("memory_waits", relay.memory().waits() as i64),
            ("targets", view.targets.len() as i64),
            ("configuration", version as i64),
            (
                "newest_configuration",
                relay.missing_version().map_or(version, |seen| seen.version) as i64,
            ),
            ("ready", i64::from(relay.is_ready())),
            ("held_quotas", relay.held_quotas() as i64),
            (
                "list_proof_age_ms",
                relay
                    .list_proof_age()
                    .map_or(-1, |age| age.as_millis() as i64),
            ),
            ("nodes", view.nodes.len() as i64),
            (
                "configuration_age_ms",
                relay.config_age().map_or(-1, |age| age.as_millis() as i64),
            ),
        ];
        for (what, value) in state {
            self.state.with_label_values(&[what]).set(value);
        }
        metrics::encode_text(&self.registry)
    }
}

/// Guard of a request of a caller in progress. Dropping it ends the count.
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

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    metrics::register(registry, IntCounterVec::new(opts(name, help), labels))
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    metrics::register(registry, IntCounter::with_opts(opts(name, help)))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    metrics::register(registry, IntGauge::with_opts(opts(name, help)))
}

fn histogram_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::from(opts(name, help)).buckets(BUCKETS_S.to_vec());
    metrics::register(registry, HistogramVec::new(opts, labels))
}

fn gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    metrics::register(registry, IntGaugeVec::new(opts(name, help), labels))
}
