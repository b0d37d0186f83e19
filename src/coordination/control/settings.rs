//! Settings of a control plane.

use std::net::SocketAddr;
use std::time::Duration;

use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::ServiceName;
use crate::timer::PAUSE_GAP;

/// Validates the text of a configuration. The error is the reason of the rejection.
///
/// The result must depend on the text only, so that all nodes reach the same one.
pub type ConfigValidator = Box<dyn Fn(&str) -> Result<(), String> + Send>;

/// Intervals and timeouts of a control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlTiming {
    /// Interval between two ticks.
    pub tick: Duration,
    /// Mean interval between two exchanges with a member of the same domain.
    pub exchange: Duration,
    /// Mean interval between two exchanges of a reader with a reader of another domain.
    pub cross_domain_exchange: Duration,
    /// Time for which a reader collects deltas before it pushes them.
    pub coalesce: Duration,
    /// Additional delay of a push per rank, which leaves the readers of lower rank time to push
    /// first.
    pub stagger: Duration,
    /// Time after which an unanswered repair request is sent again.
    pub repair_timeout: Duration,
    /// Delay of a tick beyond its interval that counts as a process pause.
    pub pause_gap: Duration,
}

impl Default for ControlTiming {
    fn default() -> ControlTiming {
        ControlTiming {
            tick: Duration::from_millis(200),
            exchange: Duration::from_secs(3),
            cross_domain_exchange: Duration::from_secs(2),
            coalesce: Duration::from_millis(500),
            stagger: Duration::from_millis(500),
            repair_timeout: Duration::from_secs(2),
            pause_gap: PAUSE_GAP,
        }
    }
}

/// Settings with which a control plane starts.
pub struct ControlSettings {
    /// Instance that the node serves.
    pub instance: Instance,
    /// Incarnation of the node, greater than that of any previous run.
    pub incarnation: Incarnation,
    /// Services that the target calls.
    pub called_services: Vec<ServiceName>,
    /// Peer ports of other nodes to query before the instance list is known.
    pub seeds: Vec<SocketAddr>,
    /// Number of instances in the fleet, which determines how far the first calls to the platform
    /// are spread.
    pub fleet_size: u64,
    /// Intervals and timeouts.
    pub timing: ControlTiming,
    /// Validation of a configuration text before it is put in force.
    pub validate: ConfigValidator,
}
