//! Human-readable descriptions of rules, for `explain` and `diff`.

use std::fmt;

use super::CallRule;
use super::LinkRule;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::nearest::nearest;
use super::value::format_duration;
use crate::call::DEFAULT_SPARE_ATTEMPTS;

/// Name and value of one part of a rule, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Label of the part.
    pub name: &'static str,
    /// Formatted value.
    pub value: String,
}

/// Formats one part of a rule.
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
    /// Returns the parts of the rule in display order.
    pub fn describe(&self) -> Vec<Field> {
        let cross_region = match self.cross_region {
            true => "yes, within the byte budget of the link",
            false => "no",
        };
        vec![
            field("rule", &self.name),
            field("priority", self.priority),
            field("idempotent", self.idempotent_text()),
            field("timeout", format_duration(self.timeout)),
            field("retries", self.retries_text()),
            field("cross-region", cross_region),
            field("requested by", &self.requester),
        ]
    }

    fn idempotent_text(&self) -> &'static str {
        match self.idempotent {
            true => "yes",
            false => "no, runs at most once and needs an idempotency token",
        }
    }

    fn retries_text(&self) -> String {
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
    /// Returns the parts of the rule in display order.
    pub fn describe(&self) -> Vec<Field> {
        vec![
            field("slots", self.slots),
            field("connections", self.connections),
            field("requested by", &self.requester),
        ]
    }
}

impl LinkRule {
    /// Returns the parts of the rule in display order.
    pub fn describe(&self) -> Vec<Field> {
        vec![
            field("rate", format!("{}B/s each way", self.bytes_per_second)),
            field(
                "reserved",
                format!("{} for non-idempotent calls", self.reserved),
            ),
            field("requested by", &self.requester),
        ]
    }
}

impl SloRule {
    /// Returns the parts of the rule in display order.
    pub fn describe(&self) -> Vec<Field> {
        let latency = format_duration(self.latency);
        vec![
            field("objective", format!("{} within {latency}", self.objective)),
            field("requested by", &self.requester),
        ]
    }
}

/// Explanation of which rule governs a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Whether a rule governs the call.
    pub found: bool,
    /// Lines of the explanation.
    pub lines: Vec<String>,
}

/// Explains which rule governs a call, how the call is handled and who requested the rule.
pub fn explain(policy: &Policy, method: &str, service: &str, path: &str) -> Explanation {
    let call = format!("{method} {service} {path}");
    match policy.rule_for(method, service, path) {
        Some(rule) => explain_rule(policy, &call, rule),
        None => explain_no_rule(policy, &call, service),
    }
}

/// Explains a matching rule, with the capacity and objective that apply to the call.
fn explain_rule(policy: &Policy, call: &str, rule: &CallRule) -> Explanation {
    let mut lines = vec![format!("{call} is governed by `{}`:", rule.name)];
    lines.extend(rule.describe().iter().skip(1).map(indent));
    if let Some(capacity) = policy.service(rule.service.as_str()) {
        lines.push(format!("Capacity of an endpoint of {}:", rule.service));
        lines.extend(capacity.describe().iter().map(indent));
    }
    if let Some(slo) = policy.slo(rule.service.as_str(), rule.priority) {
        lines.push(format!("Service level of {} calls:", rule.priority));
        lines.extend(slo.describe().iter().map(indent));
    }
    Explanation { found: true, lines }
}

/// Explains that no rule matches, with the rules of the service for comparison.
fn explain_no_rule(policy: &Policy, call: &str, service: &str) -> Explanation {
    let mut lines = vec![format!("No rule governs {call}.")];
    let rules: Vec<&CallRule> = policy.call_rules(service).collect();
    if rules.is_empty() {
        lines.push(no_rules_for(policy, service));
    } else {
        lines.push(format!("Rules for {service}:"));
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

/// Says that a service has no call rule, with the closest known service as a suggestion.
fn no_rules_for(policy: &Policy, service: &str) -> String {
    let names = policy.calls.iter().map(|rule| rule.service.as_str());
    match nearest(service, names) {
        Some(name) => format!("No rule exists for service {service}; did you mean `{name}`?"),
        None => format!("No rule exists for service {service}."),
    }
}

/// Formats a field as an indented line with aligned values.
fn indent(field: &Field) -> String {
    format!("    {:<12}  {}", field.name, field.value)
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}
