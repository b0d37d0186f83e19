//! The policy: how calls are treated, one rule a line, each naming who asked for it.

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

/// Largest policy text, in bytes: the largest value that the platform holds.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// Most call rules of one service, so that finding the rule of a call has a bounded cost.
pub const MAX_RULES_PER_SERVICE: usize = 256;

/// Most services that have a capacity.
pub const MAX_SERVICES: usize = 10_000;

/// CallOptions of a class of calls.
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

impl CallRule {
    /// Returns whether the rule applies to a call of its service.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.matches_method(method) && self.matches_path(path)
    }

    /// Returns whether every call that `other` applies to is one that this rule applies to.
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

/// Byte budget of the link between two regions, the same in each direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkRule {
    /// Name of the rule, unique among the links.
    pub name: String,
    /// One end of the link.
    pub from: RegionName,
    /// The other end.
    pub to: RegionName,
    /// Bytes per second that all calls of the fleet may use in one direction.
    pub bytes_per_second: u64,
    /// Share of the budget that only non-idempotent calls may use.
    pub reserved: Share,
    /// Who asked for the rule.
    pub requester: String,
}

/// Service level objective of the calls of one service at one priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SloRule {
    /// Name of the rule, unique among the objectives.
    pub name: String,
    /// The service.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Share of calls that must complete within `latency`.
    pub objective: Share,
    /// Longest time that a good call takes.
    pub latency: Duration,
    /// Who asked for the rule.
    pub requester: String,
}

/// A set of rules.
///
/// Built by [`Policy::parse`] or [`Policy::from_rules`]; the fields are for reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Rules for calls, the first that matches governs.
    pub calls: Vec<CallRule>,
    /// Capacities of services.
    pub services: Vec<ServiceRule>,
    /// Byte budgets of the links between regions.
    pub links: Vec<LinkRule>,
    /// Service level objectives.
    pub slos: Vec<SloRule>,
    index: HashMap<ServiceName, Positions>,
}

/// Where the rules of a service stand in the lists of a policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Positions {
    calls: Vec<usize>,
    service: Option<usize>,
    slos: Vec<usize>,
}

impl Policy {
    /// Reads a policy. The verdict depends on `text` alone, and every error is returned at once.
    pub fn parse(text: &str) -> Result<Policy, PolicyErrors> {
        parse::parse(text)
    }

    /// Builds a policy from rules that are known to be valid.
    pub fn from_rules(
        calls: Vec<CallRule>,
        services: Vec<ServiceRule>,
        links: Vec<LinkRule>,
        slos: Vec<SloRule>,
    ) -> Policy {
        let mut index: HashMap<ServiceName, Positions> = HashMap::new();
        for (at, rule) in calls.iter().enumerate() {
            let entry = index.entry(rule.service.clone()).or_default();
            entry.calls.push(at);
        }
        for (at, rule) in services.iter().enumerate() {
            let entry = index.entry(rule.service.clone()).or_default();
            entry.service = Some(at);
        }
        for (at, rule) in slos.iter().enumerate() {
            let entry = index.entry(rule.service.clone()).or_default();
            entry.slos.push(at);
        }
        Policy {
            calls,
            services,
            links,
            slos,
            index,
        }
    }

    /// Returns the rule that governs a call: the first that matches. A query is not looked at.
    pub fn rule_for(&self, method: &str, service: &str, path: &str) -> Option<&CallRule> {
        let path = path.split('?').next().unwrap_or(path);
        self.call_rules(service)
            .find(|rule| rule.matches(method, path))
    }

    /// Returns the call rules of a service in the order of the file.
    pub fn call_rules(&self, service: &str) -> impl Iterator<Item = &CallRule> {
        let positions = self.index.get(service).map(|p| p.calls.as_slice());
        let positions = positions.unwrap_or_default();
        positions.iter().map(|&at| &self.calls[at])
    }

    /// Returns the capacity of a service.
    pub fn service(&self, service: &str) -> Option<&ServiceRule> {
        let at = self.index.get(service)?.service?;
        self.services.get(at)
    }

    /// Returns the objective of the calls of a service at a priority.
    pub fn slo(&self, service: &str, priority: Priority) -> Option<&SloRule> {
        let positions = &self.index.get(service)?.slos;
        let mut rules = positions.iter().map(|&at| &self.slos[at]);
        rules.find(|rule| rule.priority == priority)
    }

    /// Returns the budget of the link between two regions, whichever is named first.
    pub fn link(&self, one: &str, other: &str) -> Option<&LinkRule> {
        self.links.iter().find(|rule| rule.connects(one, other))
    }
}

impl LinkRule {
    /// Returns whether the link joins two regions, whichever is named first.
    pub fn connects(&self, one: &str, other: &str) -> bool {
        let (from, to) = (self.from.as_str(), self.to.as_str());
        (from == one && to == other) || (from == other && to == one)
    }
}
