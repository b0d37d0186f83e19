//! What a node tells an operator about itself.

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

/// Version of the status message.
pub const STATUS_VERSION: u32 = 1;

/// State of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Version of this message.
    pub version: u32,
    /// Release of the node's program.
    pub release: String,
    /// Own instance.
    pub instance: InstanceName,
    /// Service of that instance.
    pub service: ServiceName,
    /// Own failure domain.
    pub domain: DomainName,
    /// Own region.
    pub region: RegionName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Seconds since the node started.
    pub uptime_s: u64,
    /// Whether the node serves.
    pub ready: bool,
    /// Whether the node takes no new work.
    pub draining: bool,
    /// Configuration that is in force.
    pub config: ConfigStatus,
    /// Control messages since the start.
    pub control: TrafficStatus,
    /// Admission at the own target.
    pub admission: AdmissionStatus,
    /// Services that the target calls.
    pub services: Vec<ServiceStatus>,
    /// Links to other regions.
    pub links: Vec<LinkStatus>,
    /// Requests that are suspected and quarantined.
    pub poison: PoisonStatus,
    /// Idempotency tokens that are held.
    pub tokens: u64,
    /// Ejections of instances since the start.
    pub ejections: u64,
    /// Process pauses since the start.
    pub pauses: u64,
    /// Objectives of the services that were called through this node.
    pub objectives: Vec<Objective>,
    /// How calls through this node ended.
    pub history: Vec<Series>,
}

/// Configuration of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Latest revision that was rejected and is newer than the one in force.
    pub rejected: Option<u64>,
    /// Seconds since the platform or a peer confirmed the revision.
    pub age_s: u64,
}

/// Bytes of control messages, without the heads that HTTP adds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Bytes sent to other nodes and the platform.
    pub sent_bytes: u64,
    /// Bytes received from them.
    pub received_bytes: u64,
}

impl TrafficStatus {
    /// Returns the sum of two counts.
    pub fn plus(self, other: TrafficStatus) -> TrafficStatus {
        TrafficStatus {
            sent_bytes: self.sent_bytes + other.sent_bytes,
            received_bytes: self.received_bytes + other.received_bytes,
        }
    }
}

/// Admission at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Calls that may run at once.
    pub limit: u32,
    /// Calls that run.
    pub in_flight: u32,
    /// Calls that wait.
    pub queued: u32,
    /// What is let in.
    pub level: LevelStatus,
}

/// Threshold of what is let in: calls of a higher priority, and up to `cohort` of this priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelStatus {
    /// Lowest priority that is let in.
    pub priority: Priority,
    /// Highest cohort of that priority that is let in.
    pub cohort: Cohort,
}

impl LevelStatus {
    /// Lets everything in.
    pub const OPEN: LevelStatus = LevelStatus {
        priority: Priority::Background,
        cohort: Cohort(COHORTS - 1),
    };

    /// Returns the position of the level among all, where more is let in at a higher one.
    pub fn rank(&self) -> u16 {
        self.priority as u16 * COHORTS + self.cohort.0
    }

    /// Returns whether something is shed.
    pub fn sheds(&self) -> bool {
        self.rank() < LevelStatus::OPEN.rank()
    }
}

impl fmt::Display for LevelStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.cohort.0)
    }
}

/// A service that the target calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Instances that this node may send calls to.
    pub targets: u32,
    /// Those of them that are ejected.
    pub ejected: u32,
    /// Those of them that are leaving.
    pub draining: u32,
    /// Calls that are not answered yet.
    pub in_flight: u32,
    /// What the service lets in, as far as known.
    pub level: LevelStatus,
}

/// A link to another region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Region at the other end.
    pub region: RegionName,
    /// Bytes that may be spent now, negative in debt.
    pub left_bytes: i64,
    /// Bytes that only critical calls may spend now, negative in debt.
    pub reserved_left_bytes: i64,
}

/// Requests that crash targets.
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
    /// The service.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Share of calls that must complete in time, from 0 to 1.
    pub share: f64,
    /// Longest time that a good call takes, in milliseconds.
    pub latency_ms: u64,
}
