//! Rules in words, for operators.

use std::fmt;

use super::CallRule;
use super::LinkRule;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::nearest::nearest;
use super::value::format_duration;
use crate::call::DEFAULT_SPARE_ATTEMPTS;

/// A named part of a rule in words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the part.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

fn field<T>(name: &'static str, value: T) -> Field
where
    T: fmt::Display,
{
    Field {
        name,
        value: value.to_string(),
    }
}

impl CallRule {
    /// Returns the parts of the rule.
    pub fn describe(&self) -> Vec<Field> {
        let cross_region = match self.cross_region {
            true => "yes, within the byte budget of the link",
            false => "no",
        };
        vec![
            field("rule", &self.name),
            field("priority", self.priority),
            field("idempotent", self.idempotent_words()),
            field("timeout", format_duration(self.timeout)),
            field("retries", self.retries_words()),
            field("cross-region", cross_region),
            field("asked for by", &self.requester),
        ]
    }

    fn idempotent_words(&self) -> &'static str {
        match self.idempotent {
            true => "yes",
            false => "no, runs at most once and needs an idempotency token",
        }
    }

    fn retries_words(&self) -> String {
        if !self.idempotent {
            return "none".to_owned();
        }
        match self.retries {
            Some(0) => "none".to_owned(),
            Some(n) => format!("at most {n} for the whole request"),
            None => format!("at most {DEFAULT_SPARE_ATTEMPTS} for the whole request, by default"),
        }
    }
}

impl ServiceRule {
    /// Returns the parts of the rule.
    pub fn describe(&self) -> Vec<Field> {
        vec![
            field("slots", self.slots),
            field("connections", self.connections),
            field("asked for by", &self.requester),
        ]
    }
}

impl LinkRule {
    /// Returns the parts of the rule.
    pub fn describe(&self) -> Vec<Field> {
        vec![
            field("rate", format!("{}B/s each way", self.bytes_per_second)),
            field(
                "reserved",
                format!("{} for non-idempotent calls", self.reserved),
            ),
            field("asked for by", &self.requester),
        ]
    }
}

impl SloRule {
    /// Returns the parts of the rule.
    pub fn describe(&self) -> Vec<Field> {
        let latency = format_duration(self.latency);
        vec![
            field("objective", format!("{} within {latency}", self.objective)),
            field("asked for by", &self.requester),
        ]
    }
}

/// Which rule governs a call, in words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Whether a rule governs the call.
    pub found: bool,
    /// What there is to say, a line each.
    pub lines: Vec<String>,
}

/// Explains how a call is treated and who asked for that.
pub fn explain(policy: &Policy, method: &str, service: &str, path: &str) -> Explanation {
    let call = format!("{method} {service} {path}");
    match policy.rule_for(method, service, path) {
        Some(rule) => governed(policy, &call, rule),
        None => ungoverned(policy, &call, service),
    }
}

fn governed(policy: &Policy, call: &str, rule: &CallRule) -> Explanation {
    let mut lines = vec![format!("{call} is governed by `{}`:", rule.name)];
    lines.extend(rule.describe().iter().skip(1).map(indented));
    if let Some(capacity) = policy.service(rule.service.as_str()) {
        lines.push(format!("Capacity of an endpoint of {}:", rule.service));
        lines.extend(capacity.describe().iter().map(indented));
    }
    if let Some(slo) = policy.slo(rule.service.as_str(), rule.priority) {
        lines.push(format!("Service level of {} calls:", rule.priority));
        lines.extend(slo.describe().iter().map(indented));
    }
    Explanation { found: true, lines }
}

fn ungoverned(policy: &Policy, call: &str, service: &str) -> Explanation {
    let mut lines = vec![format!("No rule governs {call}.")];
    let rules: Vec<&CallRule> = policy.call_rules(service).collect();
    if rules.is_empty() {
        lines.push(unknown_service(policy, service));
    } else {
        lines.push(format!("Rules of {service}:"));
        let patterns = rules
            .iter()
            .map(|r| format!("    {} {}  ({})", r.method, r.path, r.name));
        lines.extend(patterns);
    }
    Explanation {
        found: false,
        lines,
    }
}

fn unknown_service(policy: &Policy, service: &str) -> String {
    let names = policy.calls.iter().map(|rule| rule.service.as_str());
    match nearest(service, names) {
        Some(name) => format!("No rule is about {service}; did you mean `{name}`?"),
        None => format!("No rule is about {service}."),
    }
}

fn indented(field: &Field) -> String {
    format!("    {:<12}  {}", field.name, field.value)
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}
