//! Parses a policy text line by line.

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
use super::check::Positioned;
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

/// Section of the policy file.
#[derive(Clone, Copy, Debug, EnumString, VariantNames)]
#[strum(serialize_all = "lowercase")]
enum Section {
    Calls,
    Services,
    Links,
    Slo,
}

/// Section that the current line belongs to.
#[derive(Clone, Copy, Debug)]
enum CurrentSection {
    /// No section header so far.
    None,
    /// Below the header of this section.
    Known(Section),
    /// The header was reported as an error; the rules below it are skipped.
    Unknown,
}

/// Parses and checks a policy text; implements [`Policy::parse`].
pub(super) fn parse(text: &str) -> Result<Policy, PolicyErrors> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(text_too_large(text));
    }
    let mut parser = Parser::new();
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (index, line) in text.lines().enumerate() {
        parser.line(index + 1, line);
    }
    parser.finish()
}

fn text_too_large(text: &str) -> PolicyErrors {
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

/// State of parsing: the current section, and the rules and errors so far.
struct Parser {
    section: CurrentSection,
    rules: Rules,
    errors: PolicyErrors,
}

impl Parser {
    fn new() -> Parser {
        Parser {
            section: CurrentSection::None,
            rules: Rules::default(),
            errors: PolicyErrors::default(),
        }
    }

    /// Runs the checks across rules and returns the policy, or all errors.
    fn finish(mut self) -> Result<Policy, PolicyErrors> {
        check::check(&self.rules, &mut self.errors);
        if self.errors.count() > 0 {
            self.errors.sort();
            return Err(self.errors);
        }
        Ok(self.rules.into_policy())
    }

    /// Parses one line; `line_number` starts at 1.
    fn line(&mut self, line_number: usize, text: &str) {
        match line::split(text) {
            Line::Blank => {}
            Line::Section(name) => self.section(line_number, name),
            Line::Rule(rule) => self.rule(line_number, &rule),
            Line::Malformed(kind, word) => {
                let allowed = "allowed: `[section]`, `name = ... # requester` or a comment";
                self.report(line_number, word, kind, allowed, None);
            }
        }
    }

    /// Enters a section, or reports that its name is unknown.
    fn section(&mut self, line_number: usize, name: Word<'_>) {
        if let Ok(section) = Section::from_str(name.text) {
            self.section = CurrentSection::Known(section);
            return;
        }
        self.section = CurrentSection::Unknown;
        let allowed = format!("allowed: {}", Section::VARIANTS.join(", "));
        let known = Section::VARIANTS.iter().copied();
        let suggestion = match self.errors.is_full() {
            true => None,
            false => nearest(name.text, known),
        };
        let kind = PolicyErrorKind::UnknownSection;
        self.report(line_number, name, kind, &allowed, suggestion);
    }

    /// Parses a rule of the current section.
    fn rule(&mut self, line_number: usize, rule: &RuleLine<'_>) {
        let section = match self.section {
            CurrentSection::Known(section) => section,
            CurrentSection::Unknown => return,
            CurrentSection::None => {
                let allowed = "allowed: a section header such as `[calls]` before it";
                let kind = PolicyErrorKind::RuleOutsideSection;
                return self.report(line_number, rule.name, kind, allowed, None);
            }
        };
        let mut fields = Fields::new(line_number, rule, &mut self.errors);
        let rules = &mut self.rules;
        match section {
            Section::Calls => push_rule(
                &mut rules.calls,
                line_number,
                rule,
                1,
                parse_call(&mut fields),
            ),
            Section::Services => {
                rules.listed_services.insert(rule.name.text.to_owned());
                push_rule(
                    &mut rules.services,
                    line_number,
                    rule,
                    0,
                    parse_service(&mut fields),
                );
            }
            Section::Links => push_rule(
                &mut rules.links,
                line_number,
                rule,
                0,
                parse_link(&mut fields),
            ),
            Section::Slo => push_rule(
                &mut rules.slos,
                line_number,
                rule,
                0,
                parse_slo(&mut fields),
            ),
        }
    }

    fn report(
        &mut self,
        line: usize,
        word: Word<'_>,
        kind: PolicyErrorKind,
        allowed: &str,
        suggestion: Option<&str>,
    ) {
        self.errors.push(PolicyError {
            line,
            column: word.column,
            kind,
            found: excerpt(word.text),
            allowed: allowed.to_owned(),
            nearest: suggestion.map(str::to_owned),
        });
    }
}

/// Adds a rule to its list with its position; does nothing if the rule had errors (`None`).
///
/// `service_field` is the index of the positional field that names the service.
fn push_rule<T>(
    list: &mut Vec<Positioned<T>>,
    line: usize,
    rule_line: &RuleLine<'_>,
    service_field: usize,
    rule: Option<T>,
) {
    let Some(rule) = rule else {
        return;
    };
    let column = rule_line.name.column;
    list.push(Positioned {
        rule,
        line,
        column,
        service_column: rule_line
            .fields
            .get(service_field)
            .map_or(column, |word| word.column),
    });
}

fn parse_call(f: &mut Fields<'_, '_>) -> Option<CallRule> {
    let name = f.name();
    let method = f.positional("method", value::method);
    let service = f.positional("service", value::name);
    let path = f.positional("path", value::path);
    f.parse_key_values(&CALL_KEYS);
    let priority = f.required("priority", value::priority);
    let idempotent = f.required("idempotent", value::yes_no);
    let timeout = f.required("timeout", value::duration);
    let retries = f.optional("retries", value::retries);
    let cross_region = f.optional("cross-region", value::yes_no);
    if idempotent == Some(false) && retries > Some(0) {
        let reason = "but a non-idempotent call is never retried; allowed: no retries, or \
                      idempotent=yes";
        f.report_impossible("retries", reason);
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

fn parse_service(f: &mut Fields<'_, '_>) -> Option<ServiceRule> {
    let name = f.name();
    f.parse_key_values(&SERVICE_KEYS);
    let slots = f.required("slots", value::capacity);
    let connections = f.required("connections", value::capacity);
    if slots
        .zip(connections)
        .is_some_and(|(slots, conns)| slots > conns)
    {
        let reason = "but each running call uses a connection; allowed: at most as many slots as \
                      connections";
        f.report_impossible("slots", reason);
    }
    let requester = f.requester();
    Some(ServiceRule {
        service: ServiceName::new(name?),
        slots: slots?,
        connections: connections?,
        requester: requester?,
    })
}

fn parse_link(f: &mut Fields<'_, '_>) -> Option<LinkRule> {
    let name = f.name();
    let from = f.positional("region at one end", value::name);
    let to = f.positional("region at the other end", value::name);
    f.parse_key_values(&LINK_KEYS);
    let rate = f.required("rate", value::rate);
    let reserved = f.optional("reserved", value::share);
    if from.is_some() && from == to {
        let reason = "but a link connects two regions; allowed: two different regions";
        f.report_impossible("", reason);
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

fn parse_slo(f: &mut Fields<'_, '_>) -> Option<SloRule> {
    let name = f.name();
    let service = f.positional("service", value::name);
    let priority = f.positional("priority", value::priority);
    f.parse_key_values(&SLO_KEYS);
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
