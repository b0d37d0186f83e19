//! Reads a policy text line by line.

use std::str::FromStr;

use strum::EnumString;
use strum::VariantNames;

use super::CallRule;
use super::LinkRule;
use super::MAX_TEXT_BYTES;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::check;
use super::check::Placed;
use super::check::Rules;
use super::error::PolicyError;
use super::error::PolicyErrorKind;
use super::error::PolicyErrors;
use super::error::excerpt;
use super::fields::Fields;
use super::line;
use super::line::Line;
use super::line::RuleLine;
use super::line::Word;
use super::nearest::nearest;
use super::value;
use super::value::Share;
use crate::instance::RegionName;
use crate::instance::ServiceName;

const CALL_KEYS: [&str; 5] = [
    "priority",
    "idempotent",
    "timeout",
    "retries",
    "cross-region",
];
const SERVICE_KEYS: [&str; 2] = ["slots", "connections"];
const LINK_KEYS: [&str; 2] = ["rate", "reserved"];
const SLO_KEYS: [&str; 2] = ["objective", "latency"];

/// A section of the policy file.
#[derive(Clone, Copy, Debug, EnumString, VariantNames)]
#[strum(serialize_all = "lowercase")]
enum Section {
    Calls,
    Services,
    Links,
    Slo,
}

/// Which section the lines belong to.
#[derive(Clone, Copy, Debug)]
enum Place {
    Before,
    In(Section),
    Unknown,
}

pub(super) fn parse(text: &str) -> Result<Policy, PolicyErrors> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(too_large(text));
    }
    let mut reader = Parser::new();
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (at, line) in text.lines().enumerate() {
        reader.line(at + 1, line);
    }
    reader.finish()
}

fn too_large(text: &str) -> PolicyErrors {
    let mut errors = PolicyErrors::default();
    errors.push(PolicyError {
        line: 1,
        column: 1,
        kind: PolicyErrorKind::TextTooLarge,
        found: format!("{} bytes", text.len()),
        allowed: format!("allowed: at most {MAX_TEXT_BYTES} bytes"),
        nearest: None,
    });
    errors
}

struct Parser {
    place: Place,
    rules: Rules,
    errors: PolicyErrors,
}

impl Parser {
    fn new() -> Parser {
        Parser {
            place: Place::Before,
            rules: Rules::default(),
            errors: PolicyErrors::default(),
        }
    }

    fn finish(mut self) -> Result<Policy, PolicyErrors> {
        check::check(&self.rules, &mut self.errors);
        if self.errors.count() > 0 {
            self.errors.sort();
            return Err(self.errors);
        }
        Ok(self.rules.into_policy())
    }

    fn line(&mut self, number: usize, text: &str) {
        match line::read(text) {
            Line::Blank => {}
            Line::Section(name) => self.section(number, name),
            Line::Rule(rule) => self.rule(number, &rule),
            Line::Malformed(kind, word) => {
                let allowed = "allowed: `[section]`, `name = ... # requester` or a comment";
                self.report(number, word, kind, allowed, None);
            }
        }
    }

    fn section(&mut self, number: usize, name: Word<'_>) {
        if let Ok(section) = Section::from_str(name.text) {
            self.place = Place::In(section);
            return;
        }
        self.place = Place::Unknown;
        let allowed = format!("allowed: {}", Section::VARIANTS.join(", "));
        let known = Section::VARIANTS.iter().copied();
        let near = match self.errors.is_full() {
            true => None,
            false => nearest(name.text, known),
        };
        let kind = PolicyErrorKind::UnknownSection;
        self.report(number, name, kind, &allowed, near);
    }

    fn rule(&mut self, number: usize, rule: &RuleLine<'_>) {
        let section = match self.place {
            Place::In(section) => section,
            Place::Unknown => return,
            Place::Before => {
                let allowed = "allowed: a section header such as `[calls]` before it";
                let kind = PolicyErrorKind::RuleOutsideSection;
                return self.report(number, rule.name, kind, allowed, None);
            }
        };
        let mut fields = Fields::new(number, rule, &mut self.errors);
        let rules = &mut self.rules;
        match section {
            Section::Calls => place(&mut rules.calls, number, rule, 1, call(&mut fields)),
            Section::Services => {
                rules.listed.insert(rule.name.text.to_owned());
                place(&mut rules.services, number, rule, 0, service(&mut fields));
            }
            Section::Links => place(&mut rules.links, number, rule, 0, link(&mut fields)),
            Section::Slo => place(&mut rules.slos, number, rule, 0, slo(&mut fields)),
        }
    }

    fn report(
        &mut self,
        line: usize,
        word: Word<'_>,
        kind: PolicyErrorKind,
        allowed: &str,
        near: Option<&str>,
    ) {
        self.errors.push(PolicyError {
            line,
            column: word.column,
            kind,
            found: excerpt(word.text),
            allowed: allowed.to_owned(),
            nearest: near.map(str::to_owned),
        });
    }
}

/// Adds a valid rule to its list. `service` is the position of the field that names a service.
fn place<T>(
    list: &mut Vec<Placed<T>>,
    line: usize,
    at: &RuleLine<'_>,
    service: usize,
    rule: Option<T>,
) {
    let Some(rule) = rule else {
        return;
    };
    let column = at.name.column;
    list.push(Placed {
        rule,
        line,
        column,
        service_column: at.fields.get(service).map_or(column, |word| word.column),
    });
}

fn call(f: &mut Fields<'_, '_>) -> Option<CallRule> {
    let name = f.name();
    let method = f.positional("method", value::method);
    let service = f.positional("service", value::name);
    let path = f.positional("path", value::path);
    f.settings(&CALL_KEYS);
    let priority = f.required("priority", value::priority);
    let idempotent = f.required("idempotent", value::yes_no);
    let timeout = f.required("timeout", value::duration);
    let retries = f.optional("retries", value::retries);
    let cross_region = f.optional("cross-region", value::yes_no);
    if idempotent == Some(false) && retries > Some(0) {
        let reason = "but a call that is not idempotent may not be retried: allowed: no retries, \
                      or idempotent=yes";
        f.impossible("retries", reason);
    }
    let requester = f.requester();
    Some(CallRule {
        name: name?.to_owned(),
        method: method?,
        service: ServiceName::new(service?),
        path: path?,
        priority: priority?,
        idempotent: idempotent?,
        timeout: timeout?,
        retries,
        cross_region: cross_region.unwrap_or(false),
        requester: requester?,
    })
}

fn service(f: &mut Fields<'_, '_>) -> Option<ServiceRule> {
    let name = f.name();
    f.settings(&SERVICE_KEYS);
    let slots = f.required("slots", value::capacity);
    let connections = f.required("connections", value::capacity);
    if slots
        .zip(connections)
        .is_some_and(|(slots, conns)| slots > conns)
    {
        let reason = "but each running call holds a connection: allowed: at most as many slots as \
                      connections";
        f.impossible("slots", reason);
    }
    let requester = f.requester();
    Some(ServiceRule {
        service: ServiceName::new(name?),
        slots: slots?,
        connections: connections?,
        requester: requester?,
    })
}

fn link(f: &mut Fields<'_, '_>) -> Option<LinkRule> {
    let name = f.name();
    let from = f.positional("region at one end", value::name);
    let to = f.positional("region at the other end", value::name);
    f.settings(&LINK_KEYS);
    let rate = f.required("rate", value::rate);
    let reserved = f.optional("reserved", value::share);
    if from.is_some() && from == to {
        let reason = "but a link joins two regions: allowed: two different regions";
        f.impossible("", reason);
    }
    let requester = f.requester();
    Some(LinkRule {
        name: name?.to_owned(),
        from: RegionName::new(from?),
        to: RegionName::new(to?),
        bytes_per_second: rate?,
        reserved: reserved.unwrap_or(Share::ZERO),
        requester: requester?,
    })
}

fn slo(f: &mut Fields<'_, '_>) -> Option<SloRule> {
    let name = f.name();
    let service = f.positional("service", value::name);
    let priority = f.positional("priority", value::priority);
    f.settings(&SLO_KEYS);
    let objective = f.required("objective", value::objective);
    let latency = f.required("latency", value::duration);
    let requester = f.requester();
    Some(SloRule {
        name: name?.to_owned(),
        service: ServiceName::new(service?),
        priority: priority?,
        objective: objective?,
        latency: latency?,
        requester: requester?,
    })
}
