//! Compares two policies and lists the calls that are affected.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use super::CallRule;
use super::LinkRule;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::describe::Field;

/// Replaces the `*` of a path pattern, to represent the paths that match it but no longer pattern.
const PROBE_SUFFIX: &str = "~~";

/// Represents all methods that no rule names; matches only rules with method `*`.
const PROBE_METHOD: &str = "~";

/// Changes to one call pattern, service capacity, link or objective.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleChange {
    /// What the change is about, such as `POST payments /charge`.
    pub subject: String,
    /// Fields whose values differ.
    pub fields: Vec<FieldChange>,
}

/// A field whose value differs. `None` means that the policy on that side has no such rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Label of the field.
    pub name: &'static str,
    /// Value in the old policy.
    pub old: Option<String>,
    /// Value in the new policy.
    pub new: Option<String>,
}

/// All differences between two policies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyDiff {
    /// Call patterns that are handled differently or whose rule has another name or requester.
    pub calls: Vec<RuleChange>,
    /// Service capacities, links and objectives that differ.
    pub others: Vec<RuleChange>,
}

/// Compares `new` with `old`.
pub fn diff(old: &Policy, new: &Policy) -> PolicyDiff {
    PolicyDiff {
        calls: diff_calls(old, new),
        others: diff_other_rules(old, new),
    }
}

/// Compares the call rules, service by service.
fn diff_calls(old: &Policy, new: &Policy) -> Vec<RuleChange> {
    let all_rules = || old.calls.iter().chain(&new.calls);
    let mut services: BTreeMap<&str, Vec<&CallRule>> = BTreeMap::new();
    for rule in all_rules() {
        let list = services.entry(rule.service.as_str()).or_default();
        list.push(rule);
    }
    services
        .iter()
        .flat_map(|(service, rules)| diff_service_calls(old, new, service, rules))
        .collect()
}

/// Compares the rules that apply to each combination of a method and a path named in the rules.
///
/// A method is listed only where its changes differ from those of the unnamed methods, `*`.
fn diff_service_calls(
    old: &Policy,
    new: &Policy,
    service: &str,
    rules: &[&CallRule],
) -> Vec<RuleChange> {
    let methods: BTreeSet<&str> = rules.iter().map(|rule| rule.method.as_str()).collect();
    let paths: BTreeSet<&str> = rules.iter().map(|rule| rule.path.as_str()).collect();
    let mut changes = Vec::new();
    for path in paths {
        let any_method = diff_pattern(old, new, PROBE_METHOD, service, path);
        for method in methods.iter().filter(|method| **method != "*") {
            let fields = diff_pattern(old, new, method, service, path);
            if fields != any_method {
                changes.extend(rule_change(method, service, path, fields));
            }
        }
        changes.extend(rule_change("*", service, path, any_method));
    }
    changes
}

/// Builds the change for a call pattern, or `None` if no field differs.
fn rule_change(
    method: &str,
    service: &str,
    path: &str,
    fields: Vec<FieldChange>,
) -> Option<RuleChange> {
    let subject = format!("{method} {service} {path}");
    (!fields.is_empty()).then_some(RuleChange { subject, fields })
}

/// Compares the rules that apply to one method and path pattern.
fn diff_pattern(
    old: &Policy,
    new: &Policy,
    method: &str,
    service: &str,
    path: &str,
) -> Vec<FieldChange> {
    let probe = path.replace('*', PROBE_SUFFIX);
    let describe = |policy: &Policy| {
        let rule = policy.rule_for(method, service, &probe);
        rule.map(CallRule::describe)
    };
    diff_fields(describe(old), describe(new))
}

/// Compares service capacities, links and objectives.
fn diff_other_rules(old: &Policy, new: &Policy) -> Vec<RuleChange> {
    let services =
        |policy: &Policy| describe_all(&policy.services, service_subject, ServiceRule::describe);
    let links = |policy: &Policy| describe_all(&policy.links, link_subject, LinkRule::describe);
    let slos = |policy: &Policy| describe_all(&policy.slos, slo_subject, SloRule::describe);
    let mut changes = diff_by_subject(&services(old), &services(new));
    changes.extend(diff_by_subject(&links(old), &links(new)));
    changes.extend(diff_by_subject(&slos(old), &slos(new)));
    changes
}

fn service_subject(rule: &ServiceRule) -> String {
    format!("service {}", rule.service)
}

fn link_subject(rule: &LinkRule) -> String {
    let mut ends = [rule.from.as_str(), rule.to.as_str()];
    ends.sort_unstable();
    format!("link {}", ends.join(" - "))
}

fn slo_subject(rule: &SloRule) -> String {
    format!("objective {} {}", rule.service, rule.priority)
}

/// Describes each rule, keyed by its subject.
fn describe_all<T, N, D>(rules: &[T], subject: N, describe: D) -> BTreeMap<String, Vec<Field>>
where
    N: Fn(&T) -> String,
    D: Fn(&T) -> Vec<Field>,
{
    let pairs = rules.iter().map(|rule| (subject(rule), describe(rule)));
    pairs.collect()
}

/// Compares descriptions with the same subject.
fn diff_by_subject(
    old: &BTreeMap<String, Vec<Field>>,
    new: &BTreeMap<String, Vec<Field>>,
) -> Vec<RuleChange> {
    let subjects: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    subjects
        .into_iter()
        .filter_map(|subject| {
            let fields = diff_fields(old.get(subject).cloned(), new.get(subject).cloned());
            let subject = subject.clone();
            (!fields.is_empty()).then_some(RuleChange { subject, fields })
        })
        .collect()
}

/// Compares the fields of two descriptions of the same kind of rule.
fn diff_fields(old: Option<Vec<Field>>, new: Option<Vec<Field>>) -> Vec<FieldChange> {
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
            writeln!(f, "No call is handled differently.")?;
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
            (true, _) => ": had no rule before",
            (_, true) => ": no longer has a rule",
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
