//! Names, kinds, labels and help texts of the metrics.

use std::fmt::Write as _;

use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// Kind of a metric, as in Prometheus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum MetricKind {
    /// Value that only increases.
    Counter,
    /// Value that can increase and decrease.
    Gauge,
    /// Observations counted in buckets.
    Histogram,
}

/// Static description of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Description {
    /// Prometheus name, including the unit.
    pub name: &'static str,
    /// Prometheus metric type.
    pub kind: MetricKind,
    /// Label names, in the order in which values are passed.
    pub labels: &'static [&'static str],
    /// Help text.
    pub help: &'static str,
}

/// Metrics of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
pub enum Metric {
    /// Finished calls by outcome.
    Calls,
    /// Failed calls by error kind.
    Errors,
    /// Duration of completed calls.
    Duration,
    /// Retries and hedged attempts.
    Retries,
    /// Retries and hedged attempts that were denied.
    RetriesDenied,
    /// Bytes of control messages by direction.
    ControlBytes,
    /// Bytes of calls to other regions.
    LinkBytes,
    /// Ejections of failing instances.
    Ejections,
    /// Calls running at the target.
    InFlight,
    /// Concurrency limit of the target.
    Limit,
    /// Calls queued for the target.
    Queued,
    /// Admission level of this node.
    Level,
    /// Admission level of each called service.
    ServiceLevel,
    /// Instances of each called service by state.
    Targets,
    /// Stored idempotency tokens.
    Tokens,
    /// Requests suspected of crashing a target.
    Suspected,
    /// Quarantined (poison) requests.
    Quarantined,
    /// Active configuration revision.
    Revision,
    /// Time since the active revision was last confirmed.
    ConfigAge,
    /// Newest rejected configuration revision.
    Rejected,
    /// Remaining byte budget of each inter-region link.
    LinkBudget,
    /// Whether the node is draining.
    Draining,
    /// Whether the node is ready.
    Ready,
    /// Detected process pauses.
    Pauses,
    /// Time since the node started.
    Uptime,
}

/// Builds a [`Description`].
const fn describe(
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
    /// Returns the static description of the metric.
    pub const fn description(self) -> Description {
        match self {
            Metric::Calls
            | Metric::Errors
            | Metric::Duration
            | Metric::Retries
            | Metric::RetriesDenied
            | Metric::ControlBytes
            | Metric::LinkBytes
            | Metric::Ejections => self.describe_event(),
            _ => self.describe_state(),
        }
    }

    /// Describes a metric that is updated as events happen.
    const fn describe_event(self) -> Description {
        use MetricKind::Counter;
        use MetricKind::Histogram;
        match self {
            Metric::Calls => describe(
                "dragonflylead_calls_total",
                Counter,
                &["side", "service", "priority", "outcome"],
                "Finished calls by side: ingress (to the target), entry (from outside the fleet) or egress (made by the target).",
            ),
            Metric::Errors => describe(
                "dragonflylead_call_errors_total",
                Counter,
                &["side", "outcome", "kind"],
                "Calls that did not complete, by error kind.",
            ),
            Metric::Duration => describe(
                "dragonflylead_call_duration_seconds",
                Histogram,
                &["side", "service", "priority"],
                "Duration of completed calls, from first to last byte.",
            ),
            Metric::Retries => describe(
                "dragonflylead_extra_attempts_total",
                Counter,
                &["service", "reason"],
                "Attempts of calls beyond the first one, by reason.",
            ),
            Metric::RetriesDenied => describe(
                "dragonflylead_extra_attempts_denied_total",
                Counter,
                &["service", "reason"],
                "Attempts beyond the first one that were denied, by reason.",
            ),
            Metric::ControlBytes => describe(
                "dragonflylead_control_bytes_total",
                Counter,
                &["direction"],
                "Bytes of control messages exchanged with the platform and other nodes, excluding calls and HTTP message heads.",
            ),
            Metric::LinkBytes => describe(
                "dragonflylead_link_bytes_total",
                Counter,
                &["region"],
                "Bytes of calls to other regions, in both directions.",
            ),
            _ => describe(
                "dragonflylead_ejections_total",
                Counter,
                &[],
                "Ejections of failing instances.",
            ),
        }
    }

    /// Describes a gauge that is set from the node's status.
    const fn describe_state(self) -> Description {
        use MetricKind::Gauge;
        let (name, labels, help): (_, &[&str], _) = match self {
            Metric::InFlight => (
                "dragonflylead_calls_in_flight",
                &[],
                "Calls running at the target.",
            ),
            Metric::Limit => (
                "dragonflylead_concurrency_limit",
                &[],
                "Maximum number of calls that may run at the target concurrently.",
            ),
            Metric::Queued => (
                "dragonflylead_calls_queued",
                &[],
                "Calls queued for the target.",
            ),
            Metric::Level => (
                "dragonflylead_admission_level",
                &[],
                "Admission level of the node, from 0 (only the highest cohort is admitted) to 639 (everything is admitted).",
            ),
            Metric::ServiceLevel => (
                "dragonflylead_service_admission_level",
                &["service"],
                "Last known admission level of a called service, on the same scale.",
            ),
            Metric::Targets => (
                "dragonflylead_targets",
                &["service", "state"],
                "Known instances of a called service by state: all, ejected or draining.",
            ),
            Metric::Tokens => (
                "dragonflylead_idempotency_tokens",
                &[],
                "Idempotency tokens stored at the node.",
            ),
            Metric::Suspected => (
                "dragonflylead_suspected_requests",
                &[],
                "Requests implicated in a crash of one target.",
            ),
            Metric::Quarantined => (
                "dragonflylead_quarantined_requests",
                &[],
                "Requests that are not run because they crashed targets.",
            ),
            Metric::Revision => (
                "dragonflylead_config_revision",
                &[],
                "Active configuration revision.",
            ),
            Metric::ConfigAge => (
                "dragonflylead_config_age_seconds",
                &[],
                "Time since the platform or a peer last confirmed the active revision.",
            ),
            Metric::Rejected => (
                "dragonflylead_config_rejected_revision",
                &[],
                "Newest rejected configuration revision, 0 if none is newer than the active one.",
            ),
            Metric::LinkBudget => (
                "dragonflylead_link_budget_bytes",
                &["region", "part"],
                "Remaining bytes for calls to another region, negative if overspent.",
            ),
            Metric::Draining => (
                "dragonflylead_draining",
                &[],
                "1 if the node is draining and accepts no new calls, else 0.",
            ),
            Metric::Ready => (
                "dragonflylead_ready",
                &[],
                "1 if the node is ready to serve calls, else 0.",
            ),
            Metric::Pauses => (
                "dragonflylead_process_pauses",
                &[],
                "Process pauses detected since the node started.",
            ),
            _ => (
                "dragonflylead_uptime_seconds",
                &[],
                "Time since the node started.",
            ),
        };
        describe(name, Gauge, labels, help)
    }
}

/// Generates the documentation page that lists all metrics.
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Metrics\n\nEach node serves these metrics in the Prometheus text format at `/metrics` of its \
         operator port. Generated from the code by `cargo test --test metrics`.\n\n\
         | name | kind | labels | meaning |\n|---|---|---|---|\n",
    );
    for metric in Metric::iter() {
        let description = metric.description();
        let labels = description.labels.join(", ");
        let _ = writeln!(
            page,
            "| `{}` | {} | {labels} | {} |",
            description.name, description.kind, description.help
        );
    }
    page
}
