//! Prometheus metrics of one node.
//!
//! Each node has its own registry. Call, retry and link byte counters are updated as events happen;
//! all other metrics are set from the node's status when the metrics are read.

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
pub use describe::reference_page;
pub use labels::MAX_SERVICE_LABELS;
pub use labels::OTHER_SERVICES;

use labels::ServiceLabels;

/// Upper bounds of the call duration buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Point at which a call is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Side {
    /// The call entered the fleet at this node; counted once, including all its attempts.
    Entry,
    /// The call arrived for the local target; each attempt is counted.
    Ingress,
    /// The local target made the call; counted once, including all its attempts.
    Egress,
}

/// Direction of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Direction {
    /// Sent by this node.
    Sent,
    /// Received by this node.
    Received,
}

/// Result of a call that has finished.
#[derive(Clone, Copy, Debug)]
pub struct FinishedCall<'a> {
    /// Point at which the call is counted.
    pub side: Side,
    /// Called service.
    pub service: &'a ServiceName,
    /// Priority of the call.
    pub priority: Priority,
    /// Error, or `None` if the call completed.
    pub error: Option<ErrorKind>,
    /// Duration of the call.
    pub took: Duration,
}

/// Registry and metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Serializes reads, each of which resets and refills the metrics taken from the status.
    read_lock: Mutex<()>,
    service_labels: ServiceLabels,
    calls: IntCounterVec,
    errors: IntCounterVec,
    duration: HistogramVec,
    retries: IntCounterVec,
    retries_denied: IntCounterVec,
    control_bytes: IntCounterVec,
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
    /// Creates and registers the metrics, all zero.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        Metrics {
            read_lock: Mutex::new(()),
            service_labels: ServiceLabels::default(),
            calls: register_counter(&registry, Metric::Calls),
            errors: register_counter(&registry, Metric::Errors),
            duration: register_histogram(&registry, Metric::Duration),
            retries: register_counter(&registry, Metric::Retries),
            retries_denied: register_counter(&registry, Metric::RetriesDenied),
            control_bytes: register_counter(&registry, Metric::ControlBytes),
            link_bytes: register_counter(&registry, Metric::LinkBytes),
            ejections: register_counter(&registry, Metric::Ejections),
            gauges: register_gauges(&registry),
            registry,
        }
    }

    /// Counts a finished call and records its duration or error kind.
    pub fn record_call(&self, call: &FinishedCall<'_>) {
        let side = call.side.to_string();
        let service = self.service_labels.label(call.service);
        let priority = call.priority.to_string();
        let outcome = outcome_label(call.error);
        self.calls
            .with_label_values(&[side.as_str(), &service, &priority, outcome])
            .inc();
        let Some(error) = call.error else {
            self.duration
                .with_label_values(&[side.as_str(), &service, &priority])
                .observe(call.took.as_secs_f64());
            return;
        };
        self.errors
            .with_label_values(&[side.as_str(), outcome, &kind_label(error)])
            .inc();
    }

    /// Counts an attempt beyond the first one of a call.
    pub fn record_retry(&self, service: &ServiceName, reason: RetryReason) {
        let service = self.service_labels.label(service);
        self.retries
            .with_label_values(&[service.as_ref(), &reason.to_string()])
            .inc();
    }

    /// Counts an attempt beyond the first one that was denied.
    pub fn record_denied_retry(&self, service: &ServiceName, reason: DeniedReason) {
        let service = self.service_labels.label(service);
        self.retries_denied
            .with_label_values(&[service.as_ref(), &reason.to_string()])
            .inc();
    }

    /// Adds the bytes of a call to another region.
    pub fn record_link_bytes(&self, region: &RegionName, bytes: u64) {
        self.link_bytes
            .with_label_values(&[region.as_str()])
            .inc_by(bytes);
    }

    /// Returns all metrics in the Prometheus text format, after updating those taken from `status`.
    pub fn text(&self, status: &Status) -> String {
        let _guard = self.read_lock.lock().unwrap_or_else(|e| e.into_inner());
        self.update_from_status(status);
        encode_text(&self.registry)
    }

    /// Sets every metric that reflects the current status.
    fn update_from_status(&self, status: &Status) {
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
        self.control_bytes.reset();
        let directions = [
            (Direction::Sent, status.control.sent_bytes),
            (Direction::Received, status.control.received_bytes),
        ];
        for (direction, bytes) in directions {
            let counter = self
                .control_bytes
                .with_label_values(&[direction.to_string()]);
            counter.inc_by(bytes);
        }
        self.update_services(&status.services);
        for link in &status.links {
            let region = link.region.as_str();
            let reserved = link.reserved_left_bytes;
            self.set(Metric::LinkBudget, &[region, "common"], link.left_bytes);
            self.set(Metric::LinkBudget, &[region, "reserved"], reserved);
        }
    }

    /// Sets the gauges of called services; services that are gone lose their series.
    fn update_services(&self, services: &[ServiceStatus]) {
        for metric in [Metric::ServiceLevel, Metric::Targets] {
            self.gauge(metric).inspect(|gauge| gauge.reset());
        }
        for status in services {
            let service = self.service_labels.label(&status.service);
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

/// Registers a newly built metric and returns it.
///
/// # Panics
///
/// Panics if the metric's name is invalid or already registered; both are programming errors.
pub(crate) fn register<C>(registry: &Registry, built: prometheus::Result<C>) -> C
where
    C: Collector + Clone + 'static,
{
    let metric = built.expect("metric name is valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric name is registered once");
    metric
}

/// Returns all metrics of a registry in the Prometheus text format, or an empty text on an encoding
/// error, which is logged.
pub(crate) fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    match TextEncoder::new().encode_utf8(&registry.gather(), &mut text) {
        Ok(()) => text,
        Err(e) => {
            log::error!("failed to encode metrics: {e}");
            String::new()
        }
    }
}

fn register_counter(registry: &Registry, metric: Metric) -> IntCounterVec {
    let description = metric.description();
    register(
        registry,
        IntCounterVec::new(
            Opts::new(description.name, description.help),
            description.labels,
        ),
    )
}

fn register_histogram(registry: &Registry, metric: Metric) -> HistogramVec {
    let description = metric.description();
    let opts =
        HistogramOpts::new(description.name, description.help).buckets(DURATION_BUCKETS_S.to_vec());
    register(registry, HistogramVec::new(opts, description.labels))
}

/// Registers a gauge for each metric of that kind.
fn register_gauges(registry: &Registry) -> Vec<(Metric, IntGaugeVec)> {
    Metric::iter()
        .filter(|metric| metric.description().kind == MetricKind::Gauge)
        .map(|metric| {
            let description = metric.description();
            let gauge = IntGaugeVec::new(
                Opts::new(description.name, description.help),
                description.labels,
            );
            (metric, register(registry, gauge))
        })
        .collect()
}

/// Returns the value of the `outcome` label.
fn outcome_label(error: Option<ErrorKind>) -> &'static str {
    match error {
        None => "completed",
        Some(ErrorKind::NotRun(_)) => "not-run",
        Some(ErrorKind::Unknown(_)) => "unknown",
    }
}

/// Returns the value of the `kind` label.
fn kind_label(error: ErrorKind) -> String {
    match error {
        ErrorKind::NotRun(kind) => kind.to_string(),
        ErrorKind::Unknown(kind) => kind.to_string(),
    }
}
