//! Status of a node, served to operators as JSON.

pub mod collect;
pub mod egress;
pub mod summary;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::call::COHORTS;
use crate::call::Cohort;
use crate::call::Priority;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::state::history::Series;

/// Version of the status format.
pub const STATUS_VERSION: u32 = 1;

/// Status of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Version of the format, [`STATUS_VERSION`].
    pub version: u32,
    /// Release version of the program.
    pub release: String,
    /// Instance that the node serves.
    pub instance: InstanceName,
    /// Service of the instance.
    pub service: ServiceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Region of the instance.
    pub region: RegionName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Seconds since the node started.
    pub uptime_s: u64,
    /// Whether the node has a confirmed view of the fleet and serves calls.
    pub ready: bool,
    /// Whether the node is draining: it accepts no new calls.
    pub draining: bool,
    /// Configuration in force.
    pub config: ConfigStatus,
    /// Bytes of control messages since the start.
    pub control: TrafficStatus,
    /// Admission of calls to the target.
    pub admission: AdmissionStatus,
    /// Services that the target calls.
    pub services: Vec<ServiceStatus>,
    /// Links to other regions.
    pub links: Vec<LinkStatus>,
    /// Number of suspected and quarantined requests.
    pub poison: PoisonStatus,
    /// Number of idempotency tokens held.
    pub tokens: u64,
    /// Number of ejections of instances since the start.
    pub ejections: u64,
    /// Number of process pauses detected since the start.
    pub pauses: u64,
    /// Objectives of the services that were called through this node.
    pub objectives: Vec<Objective>,
    /// Outcomes of the calls through this node.
    pub history: Vec<Series>,
}

/// State of a node's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Revision in force, 0 before the first.
    pub revision: u64,
    /// Highest revision seen, if it was rejected; it is newer than the one in force.
    pub rejected: Option<u64>,
    /// Seconds since the platform or a peer last answered about the configuration.
    pub age_s: u64,
}

/// Bytes of control messages, without HTTP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Bytes sent to other nodes and the platform.
    pub sent_bytes: u64,
    /// Bytes received from other nodes and the platform.
    pub received_bytes: u64,
}

impl TrafficStatus {
    /// Returns the sums of both directions.
    pub fn plus(self, other: TrafficStatus) -> TrafficStatus {
        TrafficStatus {
            sent_bytes: self.sent_bytes + other.sent_bytes,
            received_bytes: self.received_bytes + other.received_bytes,
        }
    }
}

/// State of the admission of calls to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Concurrency limit: number of calls that may run at the same time.
    pub limit: u32,
    /// Number of running calls.
    pub in_flight: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Admission level.
    pub level: LevelStatus,
}

/// Admission level: calls of a higher priority are admitted, and calls of this priority up to
/// `cohort`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelStatus {
    /// Lowest admitted priority.
    pub priority: Priority,
    /// Highest admitted cohort of that priority.
    pub cohort: Cohort,
}

impl LevelStatus {
    /// The level that admits all calls.
    pub const OPEN: LevelStatus = LevelStatus {
        priority: Priority::Background,
        cohort: Cohort(COHORTS - 1),
    };

    /// Returns the rank of the level; a higher rank admits more calls.
    pub fn rank(&self) -> u16 {
        self.priority as u16 * COHORTS + self.cohort.0
    }

    /// Returns whether the level sheds any calls.
    pub fn sheds(&self) -> bool {
        self.rank() < LevelStatus::OPEN.rank()
    }
}

impl fmt::Display for LevelStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.cohort.0)
    }
}

/// State of a service that the target calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of instances to which this node may send calls.
    pub targets: u32,
    /// Number of those instances that are ejected.
    pub ejected: u32,
    /// Number of those instances that are leaving.
    pub draining: u32,
    /// Number of calls that are not answered yet.
    pub in_flight: u32,
    /// Last known admission level of the service.
    pub level: LevelStatus,
}

/// State of the link to another region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Region at the other end.
    pub region: RegionName,
    /// Bytes left in the budget of the link, negative after overspending.
    pub left_bytes: i64,
    /// Bytes left in the reserve for critical calls, negative after overspending.
    pub reserved_left_bytes: i64,
}

/// Number of requests that crash targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonStatus {
    /// Requests implicated in a crash at one target.
    pub suspected: u64,
    /// Requests that are quarantined.
    pub quarantined: u64,
}

/// Service level objective of the calls of one service at one priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Name of the called service.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Share of calls that must complete within `latency_ms`, from 0 to 1.
    pub share: f64,
    /// Maximum duration of a good call, in milliseconds.
    pub latency_ms: u64,
}
