//! Prometheus metrics of one node.
//!
//! Each node has a registry of its own. Counters of calls are added to as calls end; all others are
//! set from the node's status when they are read.

mod describe;
mod labels;

use std::sync::Mutex;
use std::time::Duration;

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use strum::Display;
use strum::IntoEnumIterator;

use crate::call::Priority;
use crate::coordination::dispatch::DeniedReason;
use crate::coordination::dispatch::RetryReason;
use crate::error::ErrorKind;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::status::ServiceStatus;
use crate::status::Status;

pub use describe::Description;
pub use describe::Metric;
pub use describe::MetricKind;
pub use describe::page;
pub use labels::MAX_SERVICE_LABELS;
pub use labels::OTHER;

use labels::ServiceLabels;

/// Upper bounds of the buckets of call times, in seconds.
const DURATION_BUCKETS_S: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Where a call is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Side {
    /// It entered the fleet at this node, counted once with all its attempts.
    Entry,
    /// It arrived for the own target, counted for each attempt.
    Ingress,
    /// The own target made it, counted once with all its attempts.
    Egress,
}

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Direction {
    /// Sent by this node.
    Sent,
    /// Received by this node.
    Received,
}

/// A call that ended.
#[derive(Clone, Copy, Debug)]
pub struct FinishedCall<'a> {
    /// Where it is counted.
    pub side: Side,
    /// Service that was called.
    pub service: &'a ServiceName,
    /// Priority.
    pub priority: Priority,
    /// Error, `None` if it completed.
    pub error: Option<ErrorKind>,
    /// Time it took.
    pub took: Duration,
}

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    reading: Mutex<()>,
    services: ServiceLabels,
    calls: IntCounterVec,
    errors: IntCounterVec,
    duration: HistogramVec,
    retries: IntCounterVec,
    denied: IntCounterVec,
    control: IntCounterVec,
    link_bytes: IntCounterVec,
    ejections: IntCounterVec,
    gauges: Vec<(Metric, IntGaugeVec)>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Builds the metrics, all zero.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        Metrics {
            reading: Mutex::new(()),
            services: ServiceLabels::default(),
            calls: counter(&registry, Metric::Calls),
            errors: counter(&registry, Metric::Errors),
            duration: histogram(&registry, Metric::Duration),
            retries: counter(&registry, Metric::Retries),
            denied: counter(&registry, Metric::RetriesDenied),
            control: counter(&registry, Metric::ControlBytes),
            link_bytes: counter(&registry, Metric::LinkBytes),
            ejections: counter(&registry, Metric::Ejections),
            gauges: gauges(&registry),
            registry,
        }
    }

    /// Counts a call that ended.
    pub fn record_call(&self, end: &FinishedCall<'_>) {
        let side = end.side.to_string();
        let service = self.services.label(end.service);
        let priority = end.priority.to_string();
        let outcome = outcome(end.error);
        self.calls
            .with_label_values(&[side.as_str(), &service, &priority, outcome])
            .inc();
        let Some(error) = end.error else {
            self.duration
                .with_label_values(&[side.as_str(), &service, &priority])
                .observe(end.took.as_secs_f64());
            return;
        };
        self.errors
            .with_label_values(&[side.as_str(), outcome, &kind(error)])
            .inc();
    }

    /// Counts an attempt beyond the first.
    pub fn record_retry(&self, service: &ServiceName, reason: RetryReason) {
        let service = self.services.label(service);
        self.retries
            .with_label_values(&[service.as_ref(), &reason.to_string()])
            .inc();
    }

    /// Counts an attempt that was not made.
    pub fn record_denied_retry(&self, service: &ServiceName, reason: DeniedReason) {
        let service = self.services.label(service);
        self.denied
            .with_label_values(&[service.as_ref(), &reason.to_string()])
            .inc();
    }

    /// Counts the bytes of a call to another region.
    pub fn record_link_bytes(&self, region: &RegionName, bytes: u64) {
        self.link_bytes
            .with_label_values(&[region.as_str()])
            .inc_by(bytes);
    }

    /// Returns the Prometheus text, with gauges as in `status`.
    pub fn text(&self, status: &Status) -> String {
        let _reading = self.reading.lock().unwrap_or_else(|e| e.into_inner());
        self.show(status);
        encode_text(&self.registry)
    }

    fn show(&self, status: &Status) {
        let admission = &status.admission;
        let config = &status.config;
        self.set(Metric::InFlight, &[], admission.in_flight.into());
        self.set(Metric::Limit, &[], admission.limit.into());
        self.set(Metric::Queued, &[], admission.queued.into());
        self.set(Metric::Level, &[], admission.level.rank().into());
        self.set(Metric::Tokens, &[], status.tokens as i64);
        self.set(Metric::Suspected, &[], status.poison.suspected as i64);
        self.set(Metric::Quarantined, &[], status.poison.quarantined as i64);
        self.set(Metric::Revision, &[], config.revision as i64);
        self.set(Metric::ConfigAge, &[], config.age_s as i64);
        self.set(Metric::Rejected, &[], config.rejected.unwrap_or(0) as i64);
        self.set(Metric::Draining, &[], status.draining.into());
        self.set(Metric::Ready, &[], status.ready.into());
        self.set(Metric::Pauses, &[], status.pauses as i64);
        self.set(Metric::Uptime, &[], status.uptime_s as i64);
        self.ejections.reset();
        let ejections = self.ejections.with_label_values::<&str>(&[]);
        ejections.inc_by(status.ejections);
        self.control.reset();
        let directions = [
            (Direction::Sent, status.control.sent_bytes),
            (Direction::Received, status.control.received_bytes),
        ];
        for (direction, bytes) in directions {
            let counter = self.control.with_label_values(&[direction.to_string()]);
            counter.inc_by(bytes);
        }
        self.show_services(&status.services);
        for link in &status.links {
            let region = link.region.as_str();
            let reserved = link.reserved_left_bytes;
            self.set(Metric::LinkBudget, &[region, "common"], link.left_bytes);
            self.set(Metric::LinkBudget, &[region, "reserved"], reserved);
        }
    }

    fn show_services(&self, services: &[ServiceStatus]) {
        for metric in [Metric::ServiceLevel, Metric::Targets] {
            self.gauge(metric).inspect(|gauge| gauge.reset());
        }
        for status in services {
            let service = self.services.label(&status.service);
            self.set(
                Metric::ServiceLevel,
                &[&service],
                status.level.rank().into(),
            );
            let states = [
                ("all", status.targets),
                ("ejected", status.ejected),
                ("draining", status.draining),
            ];
            for (state, targets) in states {
                self.set(Metric::Targets, &[&service, state], targets.into());
            }
        }
    }

    fn set(&self, metric: Metric, labels: &[&str], value: i64) {
        if let Some(gauge) = self.gauge(metric) {
            gauge.with_label_values(labels).set(value);
        }
    }

    fn gauge(&self, metric: Metric) -> Option<&IntGaugeVec> {
        let found = self.gauges.iter().find(|(m, _)| *m == metric);
        found.map(|(_, gauge)| gauge)
    }
}

/// Registers a metric that was just built, and returns it.
///
/// # Panics
///
/// If its name is no valid one, or is registered already; both are mistakes in this program.
pub(crate) fn register<C>(registry: &Registry, built: prometheus::Result<C>) -> C
where
    C: Collector + Clone + 'static,
{
    let metric = built.expect("a valid name");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

/// Returns the Prometheus text of everything that is registered.
pub(crate) fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    match TextEncoder::new().encode_utf8(&registry.gather(), &mut text) {
        Ok(()) => text,
        Err(e) => {
            log::error!("metrics: {e}");
            String::new()
        }
    }
}

fn counter(registry: &Registry, metric: Metric) -> IntCounterVec {
    let d = metric.description();
    register(
        registry,
        IntCounterVec::new(Opts::new(d.name, d.help), d.labels),
    )
}

fn histogram(registry: &Registry, metric: Metric) -> HistogramVec {
    let d = metric.description();
    let opts = HistogramOpts::new(d.name, d.help).buckets(DURATION_BUCKETS_S.to_vec());
    register(registry, HistogramVec::new(opts, d.labels))
}

fn gauges(registry: &Registry) -> Vec<(Metric, IntGaugeVec)> {
    Metric::iter()
        .filter(|metric| metric.description().kind == MetricKind::Gauge)
        .map(|metric| {
            let d = metric.description();
            let gauge = IntGaugeVec::new(Opts::new(d.name, d.help), d.labels);
            (metric, register(registry, gauge))
        })
        .collect()
}

fn outcome(error: Option<ErrorKind>) -> &'static str {
    match error {
        None => "completed",
        Some(ErrorKind::NotRun(_)) => "not-run",
        Some(ErrorKind::Unknown(_)) => "unknown",
    }
}

fn kind(error: ErrorKind) -> String {
    match error {
        ErrorKind::NotRun(kind) => kind.to_string(),
        ErrorKind::Unknown(kind) => kind.to_string(),
    }
}
