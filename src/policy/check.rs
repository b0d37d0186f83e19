//! Checks that need more than one rule: names, reachability, services.

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

/// A rule and where its name stands.
#[derive(Debug)]
pub(super) struct Placed<T> {
    pub(super) rule: T,
    pub(super) line: usize,
    pub(super) column: usize,
    /// Column of the service that the rule is about.
    pub(super) service_column: usize,
}

/// The valid rules of a text.
#[derive(Debug, Default)]
pub(super) struct Rules {
    pub(super) calls: Vec<Placed<CallRule>>,
    pub(super) services: Vec<Placed<ServiceRule>>,
    pub(super) links: Vec<Placed<LinkRule>>,
    pub(super) slos: Vec<Placed<SloRule>>,
    /// Names that [services] lists, also those of lines with errors.
    pub(super) listed: BTreeSet<String>,
}

impl Rules {
    pub(super) fn into_policy(self) -> Policy {
        Policy::from_rules(
            unplaced(self.calls),
            unplaced(self.services),
            unplaced(self.links),
            unplaced(self.slos),
        )
    }
}

fn unplaced<T>(list: Vec<Placed<T>>) -> Vec<T> {
    list.into_iter().map(|placed| placed.rule).collect()
}

/// Reports every rule that cannot stand beside the others.
pub(super) fn check(rules: &Rules, errors: &mut PolicyErrors) {
    names(&rules.calls, |rule| &rule.name, errors);
    names(&rules.services, |rule| rule.service.as_str(), errors);
    names(&rules.links, |rule| &rule.name, errors);
    names(&rules.slos, |rule| &rule.name, errors);
    reachable_calls(&rules.calls, errors);
    distinct_links(&rules.links, errors);
    distinct_slos(&rules.slos, errors);
    known_services(rules, errors);
    if let Some(extra) = rules.services.get(MAX_SERVICES) {
        let allowed = format!("allowed: at most {MAX_SERVICES} services");
        let kind = PolicyErrorKind::TooManyRules;
        report(errors, extra, kind, extra.rule.service.as_str(), &allowed);
    }
}

fn names<T, F>(list: &[Placed<T>], name: F, errors: &mut PolicyErrors)
where
    F: Fn(&T) -> &str,
{
    let mut lines: BTreeMap<&str, usize> = BTreeMap::new();
    for placed in list {
        let name = name(&placed.rule);
        let first = *lines.entry(name).or_insert(placed.line);
        if first != placed.line {
            let allowed = format!("the name of line {first}; allowed: each name once in a section");
            report(
                errors,
                placed,
                PolicyErrorKind::DuplicateName,
                name,
                &allowed,
            );
        }
    }
}

fn reachable_calls(calls: &[Placed<CallRule>], errors: &mut PolicyErrors) {
    let mut earlier: BTreeMap<&str, Vec<&Placed<CallRule>>> = BTreeMap::new();
    for placed in calls {
        let rule = &placed.rule;
        let list = earlier.entry(rule.service.as_str()).or_default();
        if list.len() >= MAX_RULES_PER_SERVICE {
            let allowed = format!("allowed: at most {MAX_RULES_PER_SERVICE} rules for a service");
            report(
                errors,
                placed,
                PolicyErrorKind::TooManyRules,
                &rule.name,
                &allowed,
            );
            continue;
        }
        if let Some(first) = list.iter().find(|first| first.rule.covers(rule)) {
            let allowed = format!(
                "but line {} (`{}`) comes first and matches every call that it matches",
                first.line, first.rule.name
            );
            report(
                errors,
                placed,
                PolicyErrorKind::Unreachable,
                &rule.name,
                &allowed,
            );
        }
        list.push(placed);
    }
}

fn distinct_links(links: &[Placed<LinkRule>], errors: &mut PolicyErrors) {
    let mut seen = BTreeSet::new();
    for placed in links {
        let rule = &placed.rule;
        let mut ends = [rule.from.as_str(), rule.to.as_str()];
        ends.sort_unstable();
        if !seen.insert(ends) {
            let allowed = "but an earlier line joins the same regions; a link has one line for \
                           both directions";
            report(
                errors,
                placed,
                PolicyErrorKind::Unreachable,
                &rule.name,
                allowed,
            );
        }
    }
}

fn distinct_slos(slos: &[Placed<SloRule>], errors: &mut PolicyErrors) {
    let mut seen = BTreeSet::new();
    for placed in slos {
        let rule = &placed.rule;
        if !seen.insert((rule.service.as_str(), rule.priority)) {
            let allowed = "but an earlier line has the same service and priority";
            report(
                errors,
                placed,
                PolicyErrorKind::Unreachable,
                &rule.name,
                allowed,
            );
        }
    }
}

fn known_services(rules: &Rules, errors: &mut PolicyErrors) {
    let listed: BTreeSet<&str> = rules.listed.iter().map(String::as_str).collect();
    let called: BTreeSet<&str> = rules
        .calls
        .iter()
        .map(|p| p.rule.service.as_str())
        .collect();
    if !listed.is_empty() {
        for placed in &rules.calls {
            known_service(&listed, placed, placed.rule.service.as_str(), errors);
        }
    }
    let known: BTreeSet<&str> = listed.union(&called).copied().collect();
    for placed in &rules.slos {
        known_service(&known, placed, placed.rule.service.as_str(), errors);
    }
}

fn known_service<T>(
    known: &BTreeSet<&str>,
    placed: &Placed<T>,
    service: &str,
    errors: &mut PolicyErrors,
) {
    if known.contains(service) {
        return;
    }
    if errors.is_full() {
        return errors.skip();
    }
    errors.push(PolicyError {
        line: placed.line,
        column: placed.service_column,
        kind: PolicyErrorKind::UnknownService,
        found: service.to_owned(),
        allowed: "allowed: a service that [services] lists".to_owned(),
        nearest: nearest(service, known.iter().copied()).map(str::to_owned),
    });
}

fn report<T>(
    errors: &mut PolicyErrors,
    placed: &Placed<T>,
    kind: PolicyErrorKind,
    found: &str,
    allowed: &str,
) {
    errors.push(PolicyError {
        line: placed.line,
        column: placed.column,
        kind,
        found: found.to_owned(),
        allowed: allowed.to_owned(),
        nearest: None,
    });
}
