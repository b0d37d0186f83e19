//! Policy parsing: accepted texts, errors with their positions, and rule lookup for a call.

use std::fs;
use std::path::Path;
use std::time::Duration;

use dragonflylead::Policy;
use dragonflylead::Priority;
use dragonflylead::policy::MAX_RULES_PER_SERVICE;
use dragonflylead::policy::MAX_TEXT_BYTES;
use dragonflylead::policy::PolicyErrorKind;
use dragonflylead::policy::PolicyErrorKind as Kind;
use dragonflylead::policy::PolicyErrors;
use dragonflylead::policy::Share;
use dragonflylead::policy::error::MAX_ERRORS;
use dragonflylead::policy::nearest::nearest;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator;

const VALID_POLICY: &str = "\
; Bin washing.
[calls]
charge = POST payments /charge  priority=critical idempotent=no  timeout=2s   # Farida K.
slots  = GET  booking  /slots/* priority=low      idempotent=yes timeout=800ms retries=2 cross-region=yes # housing desk
rest   = *    booking  /*       priority=normal   idempotent=yes timeout=1m retries=0 # Imran

[services]
payments = slots=80 connections=560 # finance
booking  = slots=80 connections=80  # finance

[links]
indus = punjab sindh rate=30Mbit/s reserved=12.5% # network desk

[slo]
charges = payments critical objective=99.9% latency=300ms # finance
";

#[test]
fn reads_every_section() {
    let policy = Policy::parse(VALID_POLICY).unwrap();
    let charge = &policy.calls[0];
    assert_eq!(charge.name, "charge");
    assert_eq!(charge.priority, Priority::Critical);
    assert!(!charge.idempotent && !charge.cross_region);
    assert_eq!(charge.timeout, Duration::from_secs(2));
    assert_eq!(charge.retries, None);
    assert_eq!(charge.requester, "Farida K.");
    assert_eq!(policy.calls[1].retries, Some(2));
    assert!(policy.calls[1].cross_region);
    assert_eq!(policy.calls[2].timeout, Duration::from_secs(60));
    let payments = policy.service("payments").unwrap();
    assert_eq!((payments.slots, payments.connections), (80, 560));
    let link = policy.link("sindh", "punjab").unwrap();
    assert_eq!(link.bytes_per_second, 3_750_000);
    assert_eq!(link.reserved, Share::from_ppm(125_000));
    let slo = policy.slo("payments", Priority::Critical).unwrap();
    assert_eq!(slo.objective.to_string(), "99.9%");
    assert_eq!(slo.latency, Duration::from_millis(300));
    assert!(policy.slo("payments", Priority::Low).is_none());
}

#[test]
fn first_matching_rule_governs() {
    struct Case {
        call: [&'static str; 3],
        rule: Option<&'static str>,
    }
    let cases = [
        Case {
            call: ["POST", "payments", "/charge"],
            rule: Some("charge"),
        },
        Case {
            call: ["POST", "payments", "/charge?id=1"],
            rule: Some("charge"),
        },
        Case {
            call: ["GET", "payments", "/charge"],
            rule: None,
        },
        Case {
            call: ["POST", "payments", "/charge/1"],
            rule: None,
        },
        Case {
            call: ["GET", "booking", "/slots/7"],
            rule: Some("slots"),
        },
        Case {
            call: ["GET", "booking", "/slots/"],
            rule: Some("slots"),
        },
        Case {
            call: ["GET", "booking", "/slots"],
            rule: Some("rest"),
        },
        Case {
            call: ["PURGE", "booking", "/slots/7"],
            rule: Some("rest"),
        },
        Case {
            call: ["GET", "unheard-of", "/"],
            rule: None,
        },
    ];
    let policy = Policy::parse(VALID_POLICY).unwrap();
    for Case { call, rule } in cases {
        let [method, service, path] = call;
        let found = policy.rule_for(method, service, path);
        assert_eq!(found.map(|r| r.name.as_str()), rule, "{call:?}");
    }
}

/// An invalid text and the single error that it must produce, as kind, line and column, with the
/// suggested name if any.
struct InvalidCase {
    text: &'static str,
    kind: Kind,
    position: (usize, usize),
    nearest: Option<&'static str>,
}

const fn invalid(text: &'static str, kind: Kind, position: (usize, usize)) -> InvalidCase {
    InvalidCase {
        text,
        kind,
        position,
        nearest: None,
    }
}

const fn invalid_with_suggestion(
    text: &'static str,
    kind: Kind,
    position: (usize, usize),
    name: &'static str,
) -> InvalidCase {
    InvalidCase {
        text,
        kind,
        position,
        nearest: Some(name),
    }
}

#[rustfmt::skip]
const INVALID: [InvalidCase; 36] = [
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=1s", Kind::MissingRequester, (2, 51)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=1s #  ", Kind::MissingRequester, (2, 51)),
    invalid_with_suggestion("[calls]\na = GET s / prioritty=low priority=low idempotent=yes timeout=1s # x", Kind::UnknownKey, (2, 13), "priority"),
    invalid("[calls]\na = GET s / colour=red priority=low idempotent=yes timeout=1s # x", Kind::UnknownKey, (2, 13)),
    invalid_with_suggestion("[calls]\na = GET s / priority=crtical idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 22), "critical"),
    invalid_with_suggestion("[calls]\na = GTE s / priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 5), "GET"),
    invalid("[calls]\na = GET s slots priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 11)),
    invalid("[calls]\na = GET s /a*b priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 11)),
    invalid("[calls]\na = GET s /a?b priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 11)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=0s # x", Kind::InvalidValue, (2, 49)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=1 # x", Kind::InvalidValue, (2, 49)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=11m # x", Kind::InvalidValue, (2, 49)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=99999999999999999999s # x", Kind::InvalidValue, (2, 49)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=1s retries=11 # x", Kind::InvalidValue, (2, 60)),
    invalid("[calls]\na = GET s / priority=low idempotent=no timeout=1s retries=1 # x", Kind::ImpossibleCombination, (2, 51)),
    invalid("[calls]\na = GET s / priority=low priority=low idempotent=yes timeout=1s # x", Kind::DuplicateKey, (2, 26)),
    invalid("[calls]\na = GET s / idempotent=yes timeout=1s # x", Kind::MissingKey, (2, 38)),
    invalid("[calls]\na = GET s priority=low idempotent=yes timeout=1s # x", Kind::MissingField, (2, 11)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=1s loose # x", Kind::UnknownKey, (2, 52)),
    invalid("[calls]\nà b = GET s / priority=low idempotent=yes timeout=1s # x", Kind::MalformedName, (2, 1)),
    invalid("[calls]\na = GET s / priority=low idempotent=yes timeout=1s # x\na = GET s /b priority=low idempotent=yes timeout=1s # x", Kind::DuplicateName, (3, 1)),
    invalid("[calls]\na = * s /* priority=low idempotent=yes timeout=1s # x\nb = GET s /b priority=low idempotent=yes timeout=1s # x", Kind::Unreachable, (3, 1)),
    invalid("[calls]\na = GET s /b* priority=low idempotent=yes timeout=1s # x\nb = GET s /b/c* priority=low idempotent=yes timeout=1s # x", Kind::Unreachable, (3, 1)),
    invalid_with_suggestion("[calls]\na = GET bokking / priority=low idempotent=yes timeout=1s # x\n[services]\nbooking = slots=1 connections=1 # x", Kind::UnknownService, (2, 9), "booking"),
    invalid_with_suggestion("[services]\nbooking = slots=1 connections=1 # x\n[slo]\na = boking low objective=99% latency=1s # x", Kind::UnknownService, (4, 5), "booking"),
    invalid("[services]\na = slots=2 connections=1 # x", Kind::ImpossibleCombination, (2, 5)),
    invalid("[services]\na = slots=0 connections=1 # x", Kind::InvalidValue, (2, 11)),
    invalid("[links]\na = sindh sindh rate=1KB/s # x", Kind::ImpossibleCombination, (2, 1)),
    invalid("[links]\na = x y rate=1KB/s # x\nb = y x rate=1KB/s # x", Kind::Unreachable, (3, 1)),
    invalid("[links]\na = x y rate=1bit/s # x", Kind::InvalidValue, (2, 14)),
    invalid("[links]\na = x y rate=1KB/s reserved=101% # x", Kind::InvalidValue, (2, 29)),
    invalid("[services]\ns = slots=1 connections=1 # x\n[slo]\na = s low objective=100% latency=1s # x", Kind::InvalidValue, (4, 21)),
    invalid_with_suggestion("[call]", Kind::UnknownSection, (1, 2), "calls"),
    invalid("[calls", Kind::MalformedSectionHeader, (1, 1)),
    invalid("a = GET s / # x", Kind::RuleOutsideSection, (1, 1)),
    invalid("[calls]\n  charge", Kind::NotARule, (2, 3)),
];

#[test]
fn errors_have_a_position_and_a_suggestion() {
    for InvalidCase {
        text,
        kind,
        position,
        nearest,
    } in &INVALID
    {
        let errors = parse_errors(text);
        let first = &errors.errors[0];
        assert_eq!(
            (first.kind, first.line, first.column),
            (*kind, position.0, position.1),
            "{text}\n{errors}"
        );
        assert_eq!(first.nearest.as_deref(), *nearest, "{text}\n{errors}");
        assert_eq!(errors.count(), 1, "{text}\n{errors}");
    }
}

#[test]
fn rejects_control_characters_and_large_texts() {
    let control_character = parse_errors("[calls]\na = GET s / # \u{1b}[2J");
    assert_eq!(control_character.errors[0].kind, Kind::ControlCharacter);
    assert_eq!(
        (
            control_character.errors[0].line,
            control_character.errors[0].column
        ),
        (2, 15)
    );
    assert!(!control_character.to_string().contains('\u{1b}'));
    let largest = format!("#{}", " ".repeat(MAX_TEXT_BYTES - 1));
    assert_eq!(Policy::parse(&largest), Ok(Policy::default()));
    let too_large = parse_errors(&format!("{largest} "));
    assert_eq!(too_large.errors[0].kind, Kind::TextTooLarge);
}

#[test]
fn bounds_the_rules_per_service_and_the_listed_errors() {
    let rules = |n: usize| {
        let lines = (0..n)
            .map(|i| format!("r{i} = GET s /{i} priority=low idempotent=yes timeout=1s # x\n"));
        format!("[calls]\n{}", lines.collect::<String>())
    };
    assert!(Policy::parse(&rules(MAX_RULES_PER_SERVICE)).is_ok());
    let errors = parse_errors(&rules(MAX_RULES_PER_SERVICE + 1));
    assert_eq!(errors.errors[0].kind, Kind::TooManyRules);
    let errors = parse_errors(&"x\n".repeat(MAX_ERRORS + 5));
    assert_eq!((errors.errors.len(), errors.omitted), (MAX_ERRORS, 5));
}

#[test]
fn lists_all_errors_in_the_order_of_the_text() {
    let text =
        "[slo]\na = s low # x\n[calls]\nb = FETCH s / priority=none # y\nc = # z\n[nowhere]\n";
    insta::assert_snapshot!(parse_errors(text));
}

#[test]
fn every_error_kind_is_produced_by_a_case() {
    let tested_separately = [
        Kind::ControlCharacter,
        Kind::TextTooLarge,
        Kind::TooManyRules,
    ];
    for kind in PolicyErrorKind::iter().filter(|kind| !tested_separately.contains(kind)) {
        assert!(INVALID.iter().any(|case| case.kind == kind), "{kind}");
    }
}

#[test]
fn suggests_only_close_names() {
    struct Case {
        word: &'static str,
        name: Option<&'static str>,
    }
    let cases = [
        Case {
            word: "timeuot",
            name: Some("timeout"),
        },
        Case {
            word: "retry",
            name: None,
        },
        Case {
            word: "retires",
            name: Some("retries"),
        },
        Case {
            word: "",
            name: None,
        },
        Case {
            word: "retriesretriesretries",
            name: None,
        },
    ];
    for Case { word, name } in cases {
        assert_eq!(nearest(word, ["timeout", "retries"]), name, "{word}");
    }
}

fn parse_errors(text: &str) -> PolicyErrors {
    match Policy::parse(text) {
        Ok(_) => panic!("invalid policy accepted:\n{text}"),
        Err(errors) => errors,
    }
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0dab_ba00),
        ..ProptestConfig::default()
    }
}

/// Generates a valid policy with one span replaced by arbitrary text.
fn mutated_policy() -> impl Strategy<Value = String> {
    (0..VALID_POLICY.len(), 0..40_usize, "\\PC{0,12}").prop_map(|(start, len, replacement)| {
        let end = (start + len).min(VALID_POLICY.len());
        format!(
            "{}{replacement}{}",
            &VALID_POLICY[..start],
            &VALID_POLICY[end..]
        )
    })
}

/// Generates a valid call rule without its name.
fn rule_line() -> impl Strategy<Value = String> {
    let method = prop::sample::select(vec!["GET", "POST", "*"]);
    let path = prop::sample::select(vec!["/", "/*", "/a", "/a*", "/a/b", "/b/*"]);
    let priority = prop::sample::select(vec!["critical", "normal", "background"]);
    let service = prop::sample::select(vec!["s", "t"]);
    (
        method,
        service,
        path,
        priority,
        any::<bool>(),
        1..600_000_u32,
    )
        .prop_map(|(method, service, path, priority, idempotent, millis)| {
            let idempotent = if idempotent { "yes retries=2" } else { "no" };
            format!(
                "{method} {service} {path} priority={priority} idempotent={idempotent} \
                 timeout={millis}ms # desk {millis}"
            )
        })
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn parsing_never_panics_and_is_deterministic(text in "(?s).{0,400}") {
        prop_assert_eq!(Policy::parse(&text), Policy::parse(&text.clone()));
    }

    #[test]
    fn error_positions_are_inside_the_text(text in mutated_policy()) {
        let result = Policy::parse(&text);
        prop_assert_eq!(&result, &Policy::parse(&text));
        if let Err(errors) = result {
            prop_assert!(!errors.errors.is_empty());
            for e in &errors.errors {
                let line = text.lines().nth(e.line - 1).unwrap();
                prop_assert!(e.column >= 1 && e.column <= line.chars().count() + 1, "{}", e);
            }
        }
    }

    #[test]
    fn printed_call_rules_parse_to_the_same_policy(lines in prop::collection::vec(rule_line(), 0..8)) {
        let numbered = lines.iter().enumerate().map(|(i, line)| format!("r{i} = {line}\n"));
        let text = format!("[calls]\n{}", numbered.collect::<String>());
        match Policy::parse(&text) {
            Ok(policy) => prop_assert_eq!(Policy::parse(&policy.to_string()), Ok(policy)),
            Err(errors) => {
                prop_assert!(errors.errors.iter().all(|e| e.kind == Kind::Unreachable), "{}", errors);
            }
        }
    }

    #[test]
    fn every_accepted_rule_is_reachable(lines in prop::collection::vec(rule_line(), 1..8)) {
        let numbered = lines.iter().enumerate().map(|(i, line)| format!("r{i} = {line}\n"));
        let text = format!("[calls]\n{}", numbered.collect::<String>());
        if let Ok(policy) = Policy::parse(&text) {
            for rule in &policy.calls {
                let method = rule.method.replace('*', "TRACE");
                let path = rule.path.replace('*', "~");
                let governing = policy.rule_for(&method, rule.service.as_str(), &path);
                prop_assert_eq!(governing, Some(rule));
            }
        }
    }
}

#[test]
fn all_printed_sections_parse_to_the_same_policy() {
    let policy = Policy::parse(VALID_POLICY).unwrap();
    assert_eq!(Policy::parse(&policy.to_string()), Ok(policy));
}

#[test]
fn documented_policies_are_valid() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let page = fs::read_to_string(docs.join("POLICY.md")).unwrap();
    let block = page
        .split("```ini\n")
        .nth(1)
        .and_then(|rest| rest.split("```").next());
    let texts = [
        block.unwrap().to_owned(),
        fs::read_to_string(docs.join("examples/saafdabba.ini")).unwrap(),
        fs::read_to_string(docs.join("examples/pastoreo.ini")).unwrap(),
    ];
    for text in texts {
        let policy = Policy::parse(&text).unwrap();
        assert!(
            policy
                .calls
                .iter()
                .any(|rule| !rule.idempotent && rule.priority == Priority::Critical)
        );
        assert!(!policy.services.is_empty() && !policy.links.is_empty() && !policy.slos.is_empty());
    }
}
