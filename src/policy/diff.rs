//! What a new policy changes, and for which calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use super::CallRule;
use super::LinkRule;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::describe::Field;

/// Stands for every path that no longer pattern matches.
const PROBE_SUFFIX: &str = "~~";

/// Stands for every method that no rule names.
const PROBE_METHOD: &str = "~";

/// Changes of one call pattern or of one other rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleChange {
    /// What changes, such as `POST payments /charge`.
    pub subject: String,
    /// Fields that differ.
    pub fields: Vec<FieldChange>,
}

/// A field that differs. A missing side means that there was, or will be, no such rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Name of the field.
    pub name: &'static str,
    /// Value in the old policy.
    pub old: Option<String>,
    /// Value in the new policy.
    pub new: Option<String>,
}

/// All changes from one policy to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyDiff {
    /// Calls that are treated differently, or for which somebody else asked.
    pub calls: Vec<RuleChange>,
    /// Capacities, links and objectives that differ.
    pub others: Vec<RuleChange>,
}

/// Returns what `new` changes with respect to `old`.
pub fn diff(old: &Policy, new: &Policy) -> PolicyDiff {
    PolicyDiff {
        calls: calls(old, new),
        others: others(old, new),
    }
}

fn calls(old: &Policy, new: &Policy) -> Vec<RuleChange> {
    let both = || old.calls.iter().chain(&new.calls);
    let mut services: BTreeMap<&str, Vec<&CallRule>> = BTreeMap::new();
    for rule in both() {
        let list = services.entry(rule.service.as_str()).or_default();
        list.push(rule);
    }
    services
        .iter()
        .flat_map(|(service, rules)| calls_of(old, new, service, rules))
        .collect()
}

/// Compares the rules of every combination of a named method and a named path.
fn calls_of(old: &Policy, new: &Policy, service: &str, rules: &[&CallRule]) -> Vec<RuleChange> {
    let methods: BTreeSet<&str> = rules.iter().map(|rule| rule.method.as_str()).collect();
    let paths: BTreeSet<&str> = rules.iter().map(|rule| rule.path.as_str()).collect();
    let mut changes = Vec::new();
    for path in paths {
        let any = change(old, new, PROBE_METHOD, service, path);
        for method in methods.iter().filter(|method| **method != "*") {
            let fields = change(old, new, method, service, path);
            if fields != any {
                changes.extend(call_change(method, service, path, fields));
            }
        }
        changes.extend(call_change("*", service, path, any));
    }
    changes
}

fn call_change(
    method: &str,
    service: &str,
    path: &str,
    fields: Vec<FieldChange>,
) -> Option<RuleChange> {
    let subject = format!("{method} {service} {path}");
    (!fields.is_empty()).then_some(RuleChange { subject, fields })
}

fn change(old: &Policy, new: &Policy, method: &str, service: &str, path: &str) -> Vec<FieldChange> {
    let probe = path.replace('*', PROBE_SUFFIX);
    let side = |policy: &Policy| {
        let rule = policy.rule_for(method, service, &probe);
        rule.map(CallRule::describe)
    };
    compare(side(old), side(new))
}

fn others(old: &Policy, new: &Policy) -> Vec<RuleChange> {
    let services = |policy: &Policy| named(&policy.services, service_name, ServiceRule::describe);
    let links = |policy: &Policy| named(&policy.links, link_name, LinkRule::describe);
    let slos = |policy: &Policy| named(&policy.slos, slo_name, SloRule::describe);
    let mut changes = matched(&services(old), &services(new));
    changes.extend(matched(&links(old), &links(new)));
    changes.extend(matched(&slos(old), &slos(new)));
    changes
}

fn service_name(rule: &ServiceRule) -> String {
    format!("service {}", rule.service)
}

fn link_name(rule: &LinkRule) -> String {
    let mut ends = [rule.from.as_str(), rule.to.as_str()];
    ends.sort_unstable();
    format!("link {}", ends.join(" - "))
}

fn slo_name(rule: &SloRule) -> String {
    format!("objective {} {}", rule.service, rule.priority)
}

fn named<T, N, D>(rules: &[T], name: N, describe: D) -> BTreeMap<String, Vec<Field>>
where
    N: Fn(&T) -> String,
    D: Fn(&T) -> Vec<Field>,
{
    let pairs = rules.iter().map(|rule| (name(rule), describe(rule)));
    pairs.collect()
}

fn matched(
    old: &BTreeMap<String, Vec<Field>>,
    new: &BTreeMap<String, Vec<Field>>,
) -> Vec<RuleChange> {
    let subjects: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    subjects
        .into_iter()
        .filter_map(|subject| {
            let fields = compare(old.get(subject).cloned(), new.get(subject).cloned());
            let subject = subject.clone();
            (!fields.is_empty()).then_some(RuleChange { subject, fields })
        })
        .collect()
}

fn compare(old: Option<Vec<Field>>, new: Option<Vec<Field>>) -> Vec<FieldChange> {
    let names = old.as_ref().or(new.as_ref()).cloned().unwrap_or_default();
    let value = |side: &Option<Vec<Field>>, name: &str| {
        let field = side.as_ref()?.iter().find(|field| field.name == name)?;
        Some(field.value.clone())
    };
    names
        .iter()
        .map(|field| FieldChange {
            name: field.name,
            old: value(&old, field.name),
            new: value(&new, field.name),
        })
        .filter(|change| change.old != change.new)
        .collect()
}

impl fmt::Display for PolicyDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.calls.is_empty() {
            writeln!(f, "No call is treated differently.")?;
        }
        let changes = self.calls.iter().chain(&self.others);
        changes.into_iter().try_for_each(|change| change.fmt(f))
    }
}

impl fmt::Display for RuleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let added = self.fields.iter().all(|field| field.old.is_none());
        let removed = self.fields.iter().all(|field| field.new.is_none());
        let note = match (added, removed) {
            (true, _) => ": had no rule",
            (_, true) => ": has no rule any more",
            _ => "",
        };
        writeln!(f, "{}{note}", self.subject)?;
        self.fields.iter().try_for_each(|field| field.fmt(f))
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "    {:<12}  ", self.name)?;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => writeln!(f, "{old} -> {new}"),
            (Some(old), None) => writeln!(f, "was {old}"),
            (None, Some(new)) => writeln!(f, "{new}"),
            (None, None) => Ok(()),
        }
    }
}
