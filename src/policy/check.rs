//! Checks across rules: unique names, reachability, known services and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CallRule;
use super::LinkRule;
use super::MAX_RULES_PER_SERVICE;
use super::MAX_SERVICES;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::error::PolicyError;
use super::error::PolicyErrorKind;
use super::error::PolicyErrors;
use super::nearest::nearest;

/// A rule and the position of its name.
#[derive(Debug)]
pub(super) struct Positioned<T> {
    pub(super) rule: T,
    pub(super) line: usize,
    pub(super) column: usize,
    /// Column of the service that the rule names.
    pub(super) service_column: usize,
}

/// Rules of a text that have no errors of their own.
#[derive(Debug, Default)]
pub(super) struct Rules {
    pub(super) calls: Vec<Positioned<CallRule>>,
    pub(super) services: Vec<Positioned<ServiceRule>>,
    pub(super) links: Vec<Positioned<LinkRule>>,
    pub(super) slos: Vec<Positioned<SloRule>>,
    /// Names in `[services]`, including those of rules with errors, so that one error there does not
    /// make the service unknown elsewhere.
    pub(super) listed_services: BTreeSet<String>,
}

impl Rules {
    /// Builds the policy, dropping the positions.
    pub(super) fn into_policy(self) -> Policy {
        Policy::from_rules(
            into_rules(self.calls),
            into_rules(self.services),
            into_rules(self.links),
            into_rules(self.slos),
        )
    }
}

fn into_rules<T>(list: Vec<Positioned<T>>) -> Vec<T> {
    list.into_iter().map(|positioned| positioned.rule).collect()
}

/// Reports every rule that conflicts with another one, and rules beyond the limits.
pub(super) fn check(rules: &Rules, errors: &mut PolicyErrors) {
    check_unique_names(&rules.calls, |rule| &rule.name, errors);
    check_unique_names(&rules.services, |rule| rule.service.as_str(), errors);
    check_unique_names(&rules.links, |rule| &rule.name, errors);
    check_unique_names(&rules.slos, |rule| &rule.name, errors);
    check_reachable_calls(&rules.calls, errors);
    check_distinct_links(&rules.links, errors);
    check_distinct_slos(&rules.slos, errors);
    check_known_services(rules, errors);
    if let Some(extra) = rules.services.get(MAX_SERVICES) {
        let allowed = format!("allowed: at most {MAX_SERVICES} services");
        let kind = PolicyErrorKind::TooManyRules;
        report(errors, extra, kind, extra.rule.service.as_str(), &allowed);
    }
}

/// Reports rules whose name an earlier rule of the same section uses.
fn check_unique_names<T, F>(list: &[Positioned<T>], name: F, errors: &mut PolicyErrors)
where
    F: Fn(&T) -> &str,
{
    let mut lines: BTreeMap<&str, usize> = BTreeMap::new();
    for positioned in list {
        let name = name(&positioned.rule);
        let first = *lines.entry(name).or_insert(positioned.line);
        if first != positioned.line {
            let allowed =
                format!("already used on line {first}; allowed: each name once per section");
            report(
                errors,
                positioned,
                PolicyErrorKind::DuplicateName,
                name,
                &allowed,
            );
        }
    }
}

/// Reports call rules that an earlier rule covers, and rules beyond [`MAX_RULES_PER_SERVICE`].
fn check_reachable_calls(calls: &[Positioned<CallRule>], errors: &mut PolicyErrors) {
    let mut earlier: BTreeMap<&str, Vec<&Positioned<CallRule>>> = BTreeMap::new();
    for positioned in calls {
        let rule = &positioned.rule;
        let list = earlier.entry(rule.service.as_str()).or_default();
        if list.len() >= MAX_RULES_PER_SERVICE {
            let allowed = format!("allowed: at most {MAX_RULES_PER_SERVICE} rules for a service");
            report(
                errors,
                positioned,
                PolicyErrorKind::TooManyRules,
                &rule.name,
                &allowed,
            );
            continue;
        }
        if let Some(first) = list.iter().find(|first| first.rule.covers(rule)) {
            let allowed = format!(
                "but line {} (`{}`) precedes it and matches every call that it matches",
                first.line, first.rule.name
            );
            report(
                errors,
                positioned,
                PolicyErrorKind::Unreachable,
                &rule.name,
                &allowed,
            );
        }
        list.push(positioned);
    }
}

/// Reports links between regions that an earlier rule already connects, in either order.
fn check_distinct_links(links: &[Positioned<LinkRule>], errors: &mut PolicyErrors) {
    let mut seen = BTreeSet::new();
    for positioned in links {
        let rule = &positioned.rule;
        let mut ends = [rule.from.as_str(), rule.to.as_str()];
        ends.sort_unstable();
        if !seen.insert(ends) {
            let allowed = "but an earlier line connects the same regions; one line covers both \
                           directions";
            report(
                errors,
                positioned,
                PolicyErrorKind::Unreachable,
                &rule.name,
                allowed,
            );
        }
    }
}

/// Reports objectives with the service and priority of an earlier one.
fn check_distinct_slos(slos: &[Positioned<SloRule>], errors: &mut PolicyErrors) {
    let mut seen = BTreeSet::new();
    for positioned in slos {
        let rule = &positioned.rule;
        if !seen.insert((rule.service.as_str(), rule.priority)) {
            let allowed = "but an earlier line has the same service and priority";
            report(
                errors,
                positioned,
                PolicyErrorKind::Unreachable,
                &rule.name,
                allowed,
            );
        }
    }
}

/// Reports services that are not listed.
///
/// Call rules are checked only if `[services]` lists any service. Objectives may also refer to
/// services that have a call rule.
fn check_known_services(rules: &Rules, errors: &mut PolicyErrors) {
    let listed: BTreeSet<&str> = rules.listed_services.iter().map(String::as_str).collect();
    let called: BTreeSet<&str> = rules
        .calls
        .iter()
        .map(|p| p.rule.service.as_str())
        .collect();
    if !listed.is_empty() {
        for positioned in &rules.calls {
            check_known_service(
                &listed,
                positioned,
                positioned.rule.service.as_str(),
                errors,
            );
        }
    }
    let known: BTreeSet<&str> = listed.union(&called).copied().collect();
    for positioned in &rules.slos {
        check_known_service(&known, positioned, positioned.rule.service.as_str(), errors);
    }
}

fn check_known_service<T>(
    known: &BTreeSet<&str>,
    positioned: &Positioned<T>,
    service: &str,
    errors: &mut PolicyErrors,
) {
    if known.contains(service) {
        return;
    }
    if errors.is_full() {
        return errors.count_omitted();
    }
    errors.push(PolicyError {
        line: positioned.line,
        column: positioned.service_column,
        kind: PolicyErrorKind::UnknownService,
        found: service.to_owned(),
        allowed: "allowed: a service that [services] lists".to_owned(),
        nearest: nearest(service, known.iter().copied()).map(str::to_owned),
    });
}

/// Adds an error at the position of the rule's name.
fn report<T>(
    errors: &mut PolicyErrors,
    positioned: &Positioned<T>,
    kind: PolicyErrorKind,
    found: &str,
    allowed: &str,
) {
    errors.push(PolicyError {
        line: positioned.line,
        column: positioned.column,
        kind,
        found: found.to_owned(),
        allowed: allowed.to_owned(),
        nearest: None,
    });
}
