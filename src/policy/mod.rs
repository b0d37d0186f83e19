//! Call-handling policy: priorities, timeouts, retries, capacities, link budgets and SLOs.
//!
//! A policy file has one rule per line; each rule ends with a comment that names its requester.

mod check;
pub mod describe;
pub mod diff;
mod display;
pub mod error;
mod fields;
mod line;
pub mod nearest;
mod parse;
pub mod value;

use std::collections::HashMap;
use std::time::Duration;

use crate::call::Priority;
use crate::instance::RegionName;
use crate::instance::ServiceName;

pub use error::PolicyError;
pub use error::PolicyErrorKind;
pub use error::PolicyErrors;
pub use value::Share;

/// Maximum size of a policy text, in bytes: the largest value that the platform can store.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// Maximum number of call rules per service; bounds the cost of looking up the rule for a call.
pub const MAX_RULES_PER_SERVICE: usize = 256;

/// Maximum number of services in the `[services]` section.
pub const MAX_SERVICES: usize = 10_000;

/// How calls that match a method, service and path pattern are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// Rule name, unique within the `[calls]` section.
    pub name: String,
    /// HTTP method, or `*` for any method.
    pub method: String,
    /// Called service.
    pub service: ServiceName,
    /// Request path without query; a trailing `*` matches any suffix.
    pub path: String,
    /// Priority of matching calls.
    pub priority: Priority,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
    /// Time after which the caller stops waiting for a response.
    pub timeout: Duration,
    /// Maximum retries for the whole call tree of a request; `None` uses the default.
    pub retries: Option<u32>,
    /// Whether a call may be sent to another region.
    pub cross_region: bool,
    /// Person or team that requested the rule.
    pub requester: String,
}

impl CallRule {
    /// Returns whether the rule matches a call to its service.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.matches_method(method) && self.matches_path(path)
    }

    /// Returns whether this rule matches every call that `other` matches.
    pub fn covers(&self, other: &CallRule) -> bool {
        self.service == other.service
            && self.matches_method(&other.method)
            && self.covers_path(&other.path)
    }

    fn matches_method(&self, method: &str) -> bool {
        self.method == "*" || self.method == method
    }

    fn matches_path(&self, path: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }

    fn covers_path(&self, pattern: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => pattern.trim_end_matches('*').starts_with(prefix),
            None => pattern == self.path,
        }
    }
}

/// Capacity of each endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Service that the rule applies to.
    pub service: ServiceName,
    /// Maximum concurrent calls per endpoint.
    pub slots: u32,
    /// Maximum connections per endpoint.
    pub connections: u32,
    /// Person or team that requested the rule.
    pub requester: String,
}

/// Byte budget of the link between two regions; applies to each direction separately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkRule {
    /// Rule name, unique within the `[links]` section.
    pub name: String,
    /// Region at one end of the link.
    pub from: RegionName,
    /// Region at the other end.
    pub to: RegionName,
    /// Bytes per second, per direction, shared by all calls of the fleet.
    pub bytes_per_second: u64,
    /// Share of the budget that is reserved for non-idempotent calls.
    pub reserved: Share,
    /// Person or team that requested the rule.
    pub requester: String,
}

/// Service level objective (SLO) for calls to one service at one priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SloRule {
    /// Rule name, unique within the `[slo]` section.
    pub name: String,
    /// Service that the rule applies to.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Share of calls that must complete within `latency`.
    pub objective: Share,
    /// Latency threshold; slower calls do not count as good.
    pub latency: Duration,
    /// Person or team that requested the rule.
    pub requester: String,
}

/// Validated set of rules with an index by service.
///
/// Built by [`Policy::parse`] or [`Policy::from_rules`]. The fields must not be modified, because
/// the index refers to positions in them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Call rules in file order; the first match applies.
    pub calls: Vec<CallRule>,
    /// Service capacities.
    pub services: Vec<ServiceRule>,
    /// Byte budgets of inter-region links.
    pub links: Vec<LinkRule>,
    /// Service level objectives.
    pub slos: Vec<SloRule>,
    index: HashMap<ServiceName, RulePositions>,
}

/// RulePositions of the rules of one service in the lists of a [`Policy`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RulePositions {
    calls: Vec<usize>,
    service: Option<usize>,
    slos: Vec<usize>,
}

impl Policy {
    /// Parses a policy text and returns either the policy or all errors found, up to
    /// [`error::MAX_ERRORS`].
    ///
    /// The result depends only on `text`, so that every node accepts or rejects the same revisions.
    pub fn parse(text: &str) -> Result<Policy, PolicyErrors> {
        parse::parse(text)
    }

    /// Builds a policy from rules that are already valid; performs no checks.
    pub fn from_rules(
        calls: Vec<CallRule>,
        services: Vec<ServiceRule>,
        links: Vec<LinkRule>,
        slos: Vec<SloRule>,
    ) -> Policy {
        let mut index: HashMap<ServiceName, RulePositions> = HashMap::new();
        for (position, rule) in calls.iter().enumerate() {
            let entry = index.entry(rule.service.clone()).or_default();
            entry.calls.push(position);
        }
        for (position, rule) in services.iter().enumerate() {
            let entry = index.entry(rule.service.clone()).or_default();
            entry.service = Some(position);
        }
        for (position, rule) in slos.iter().enumerate() {
            let entry = index.entry(rule.service.clone()).or_default();
            entry.slos.push(position);
        }
        Policy {
            calls,
            services,
            links,
            slos,
            index,
        }
    }

    /// Returns the first rule that matches a call. The query part of `path` is ignored.
    pub fn rule_for(&self, method: &str, service: &str, path: &str) -> Option<&CallRule> {
        let path = path.split('?').next().unwrap_or(path);
        self.call_rules(service)
            .find(|rule| rule.matches(method, path))
    }

    /// Returns the call rules of a service in file order.
    pub fn call_rules(&self, service: &str) -> impl Iterator<Item = &CallRule> {
        let positions = self.index.get(service).map(|p| p.calls.as_slice());
        let positions = positions.unwrap_or_default();
        positions.iter().map(|&position| &self.calls[position])
    }

    /// Returns the capacity rule of a service.
    pub fn service(&self, service: &str) -> Option<&ServiceRule> {
        let position = self.index.get(service)?.service?;
        self.services.get(position)
    }

    /// Returns the objective for calls to a service at a priority.
    pub fn slo(&self, service: &str, priority: Priority) -> Option<&SloRule> {
        let positions = &self.index.get(service)?.slos;
        let mut rules = positions.iter().map(|&position| &self.slos[position]);
        rules.find(|rule| rule.priority == priority)
    }

    /// Returns the link rule for two regions, in either order.
    pub fn link(&self, a: &str, b: &str) -> Option<&LinkRule> {
        self.links.iter().find(|rule| rule.connects(a, b))
    }
}

impl LinkRule {
    /// Returns whether the link connects the two regions, in either order.
    pub fn connects(&self, a: &str, b: &str) -> bool {
        let (from, to) = (self.from.as_str(), self.to.as_str());
        (from == a && to == b) || (from == b && to == a)
    }
}
