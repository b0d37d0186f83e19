//! The policy: how calls are treated, one rule a line, each naming who asked for it.

use std::time::Duration;

use crate::call::Priority;
use crate::instance::ServiceName;

/// Treatment of a class of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// Name of the rule, unique in the policy.
    pub name: String,
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Service that is called.
    pub service: ServiceName,
    /// Path, where a final `*` stands for any rest.
    pub path: String,
    /// Priority of the calls.
    pub priority: Priority,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Time after which nobody waits for an answer.
    pub timeout: Duration,
    /// Spare attempts for the whole call tree of a request.
    pub retries: Option<u32>,
    /// Whether a call may leave its region.
    pub cross_region: bool,
    /// Who asked for the rule.
    pub requester: String,
}

/// Published capacity of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceName,
    /// Calls that one endpoint runs at once.
    pub slots: u32,
    /// Connections that one endpoint accepts.
    pub connections: u32,
    /// Who asked for the rule.
    pub requester: String,
}

/// A set of rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Rules for calls, the first that matches governs.
    pub calls: Vec<CallRule>,
    /// Capacities of services.
    pub services: Vec<ServiceRule>,
}
