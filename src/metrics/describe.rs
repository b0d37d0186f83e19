//! Names, kinds and labels of the metrics.

use std::fmt::Write as _;

use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// Kind of a metric, as in Prometheus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum MetricKind {
    /// Only grows.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts by size.
    Histogram,
}

/// Name and meaning of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Description {
    /// Name, ending in its unit.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Labels, in order.
    pub labels: &'static [&'static str],
    /// What is measured.
    pub help: &'static str,
}

/// The metrics of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
pub enum Metric {
    /// Calls by outcome.
    Calls,
    /// Calls that were not completed, by error kind.
    Errors,
    /// Time of calls.
    Duration,
    /// Extra attempts.
    Retries,
    /// Extra attempts that were not made.
    RetriesDenied,
    /// Bytes of control messages.
    ControlBytes,
    /// Bytes of calls between regions.
    LinkBytes,
    /// Ejections of instances.
    Ejections,
    /// Running calls.
    InFlight,
    /// Concurrency limit.
    Limit,
    /// Waiting calls.
    Queued,
    /// Own admission level.
    Level,
    /// Admission level of a service.
    ServiceLevel,
    /// Targets by state.
    Targets,
    /// Idempotency tokens.
    Tokens,
    /// Suspected requests.
    Suspected,
    /// Quarantined requests.
    Quarantined,
    /// Revision in force.
    Revision,
    /// Age of the configuration.
    ConfigAge,
    /// Rejected revision.
    Rejected,
    /// Link budget.
    LinkBudget,
    /// Whether the node drains.
    Draining,
    /// Whether the node serves.
    Ready,
    /// Process pauses.
    Pauses,
    /// Time since the start.
    Uptime,
}

const fn row(
    name: &'static str,
    kind: MetricKind,
    labels: &'static [&'static str],
    help: &'static str,
) -> Description {
    Description {
        name,
        kind,
        labels,
        help,
    }
}

impl Metric {
    /// Returns the name and meaning of the metric.
    pub const fn description(self) -> Description {
        match self {
            Metric::Calls
            | Metric::Errors
            | Metric::Duration
            | Metric::Retries
            | Metric::RetriesDenied
            | Metric::ControlBytes
            | Metric::LinkBytes
            | Metric::Ejections => self.event(),
            _ => self.state(),
        }
    }

    const fn event(self) -> Description {
        use MetricKind::Counter;
        use MetricKind::Histogram;
        match self {
            Metric::Calls => row(
                "dragonflylead_calls_total",
                Counter,
                &["side", "service", "priority", "outcome"],
                "Calls that ended: arriving at the target, entering from outside or made by it.",
            ),
            Metric::Errors => row(
                "dragonflylead_call_errors_total",
                Counter,
                &["side", "outcome", "kind"],
                "Calls that were not completed, by error kind.",
            ),
            Metric::Duration => row(
                "dragonflylead_call_duration_seconds",
                Histogram,
                &["side", "service", "priority"],
                "Time of completed calls from first to last byte.",
            ),
            Metric::Retries => row(
                "dragonflylead_extra_attempts_total",
                Counter,
                &["service", "reason"],
                "Attempts beyond the first of a call.",
            ),
            Metric::RetriesDenied => row(
                "dragonflylead_extra_attempts_denied_total",
                Counter,
                &["service", "reason"],
                "Attempts that were not made, by what forbade them.",
            ),
            Metric::ControlBytes => row(
                "dragonflylead_control_bytes_total",
                Counter,
                &["direction"],
                "Bytes of messages to and from the platform and other nodes, without calls and HTTP heads.",
            ),
            Metric::LinkBytes => row(
                "dragonflylead_link_bytes_total",
                Counter,
                &["region"],
                "Bytes of calls to another region, in both directions.",
            ),
            _ => row(
                "dragonflylead_ejections_total",
                Counter,
                &[],
                "Ejections of instances that failed.",
            ),
        }
    }

    const fn state(self) -> Description {
        use MetricKind::Gauge;
        let (name, labels, help): (_, &[&str], _) = match self {
            Metric::InFlight => (
                "dragonflylead_calls_in_flight",
                &[],
                "Calls that run at the target.",
            ),
            Metric::Limit => (
                "dragonflylead_concurrency_limit",
                &[],
                "Calls that may run at the target at once.",
            ),
            Metric::Queued => (
                "dragonflylead_calls_queued",
                &[],
                "Calls that wait for the target.",
            ),
            Metric::Level => (
                "dragonflylead_admission_level",
                &[],
                "What is let in, 0 for the highest cohort alone to 639 for everything.",
            ),
            Metric::ServiceLevel => (
                "dragonflylead_service_admission_level",
                &["service"],
                "What a called service lets in, as far as known, on the same scale.",
            ),
            Metric::Targets => (
                "dragonflylead_targets",
                &["service", "state"],
                "Instances that calls may be sent to: all, ejected, draining.",
            ),
            Metric::Tokens => (
                "dragonflylead_idempotency_tokens",
                &[],
                "Idempotency tokens that are held.",
            ),
            Metric::Suspected => (
                "dragonflylead_suspected_requests",
                &[],
                "Requests implicated in a crash at one target.",
            ),
            Metric::Quarantined => (
                "dragonflylead_quarantined_requests",
                &[],
                "Requests that are not run, since they crashed targets.",
            ),
            Metric::Revision => (
                "dragonflylead_config_revision",
                &[],
                "Revision of the configuration in force.",
            ),
            Metric::ConfigAge => (
                "dragonflylead_config_age_seconds",
                &[],
                "Time since the platform or a peer confirmed the revision in force.",
            ),
            Metric::Rejected => (
                "dragonflylead_config_rejected_revision",
                &[],
                "Newest revision that was rejected, 0 if none is newer than the one in force.",
            ),
            Metric::LinkBudget => (
                "dragonflylead_link_budget_bytes",
                &["region", "part"],
                "Bytes that may be spent on calls to another region, negative in debt.",
            ),
            Metric::Draining => (
                "dragonflylead_draining",
                &[],
                "1 if the node takes no new work.",
            ),
            Metric::Ready => ("dragonflylead_ready", &[], "1 if the node serves."),
            Metric::Pauses => (
                "dragonflylead_process_pauses",
                &[],
                "Process pauses since the start.",
            ),
            _ => (
                "dragonflylead_uptime_seconds",
                &[],
                "Time since the node started.",
            ),
        };
        row(name, Gauge, labels, help)
    }
}

/// Writes the page that lists all metrics.
pub fn page() -> String {
    let mut page = String::from(
        "# Metrics\n\nServed by each node in Prometheus text at `/metrics` of its operator port. \
         Generated from the code by `cargo test --test metrics`.\n\n\
         | name | kind | labels | meaning |\n|---|---|---|---|\n",
    );
    for metric in Metric::iter() {
        let d = metric.description();
        let labels = d.labels.join(", ");
        let _ = writeln!(
            page,
            "| `{}` | {} | {labels} | {} |",
            d.name, d.kind, d.help
        );
    }
    page
}
