//! What a control plane is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::ServiceName;
use crate::timer::PAUSE_GAP;

/// Decides by the text alone whether a configuration is accepted.
pub type ConfigValidator = Box<dyn Fn(&str) -> Result<(), String> + Send>;

/// Spans between the regular actions of a control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlTiming {
    /// Between two ticks.
    pub tick: Duration,
    /// Between two exchanges with a member of the same domain, on average.
    pub exchange: Duration,
    /// Between two exchanges of a reader with a reader of another domain, on average.
    pub cross_domain_exchange: Duration,
    /// Time for which a reader gathers changes before it sends them.
    pub coalesce: Duration,
    /// Time that each reader gives the one before it to send a change.
    pub stagger: Duration,
    /// Silence after which a repair is asked for again.
    pub repair_timeout: Duration,
    /// Gap between two ticks, beyond the expected one, that counts as a process pause.
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

/// What a control plane is told at its start.
pub struct ControlSettings {
    /// The instance beside which the node stands.
    pub instance: Instance,
    /// This life of the node, above those before it.
    pub incarnation: Incarnation,
    /// Services that the target calls.
    pub called_services: Vec<ServiceName>,
    /// Peer ports that are asked before the list is known.
    pub seeds: Vec<SocketAddr>,
    /// Number of instances in the fleet, over which first calls to the platform are spread.
    pub fleet_size: u64,
    /// Spans between regular actions.
    pub timing: ControlTiming,
    /// Decides whether a configuration is accepted.
    pub validate: ConfigValidator,
}
