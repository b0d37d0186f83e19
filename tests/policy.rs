//! The policy file: what is accepted, what is rejected and where, which rule governs a call.

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

const GOOD: &str = "\
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
    let policy = Policy::parse(GOOD).unwrap();
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
fn the_first_rule_that_matches_governs() {
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
    let policy = Policy::parse(GOOD).unwrap();
    for Case { call, rule } in cases {
        let [method, service, path] = call;
        let found = policy.rule_for(method, service, path);
        assert_eq!(found.map(|r| r.name.as_str()), rule, "{call:?}");
    }
}

/// One wrong text and the error that it must give.
struct Wrong {
    text: &'static str,
    kind: Kind,
    at: (usize, usize),
    nearest: Option<&'static str>,
}

const fn wrong(text: &'static str, kind: Kind, at: (usize, usize)) -> Wrong {
    Wrong {
        text,
        kind,
        at,
        nearest: None,
    }
}

const fn near(text: &'static str, kind: Kind, at: (usize, usize), name: &'static str) -> Wrong {
    Wrong {
        text,
        kind,
        at,
        nearest: Some(name),
    }
}

#[rustfmt::skip]
const WRONG: [Wrong; 36] = [
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=1s", Kind::MissingRequester, (2, 51)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=1s #  ", Kind::MissingRequester, (2, 51)),
    near("[calls]\na = GET s / prioritty=low priority=low idempotent=yes timeout=1s # x", Kind::UnknownKey, (2, 13), "priority"),
    wrong("[calls]\na = GET s / colour=red priority=low idempotent=yes timeout=1s # x", Kind::UnknownKey, (2, 13)),
    near("[calls]\na = GET s / priority=crtical idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 22), "critical"),
    near("[calls]\na = GTE s / priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 5), "GET"),
    wrong("[calls]\na = GET s slots priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 11)),
    wrong("[calls]\na = GET s /a*b priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 11)),
    wrong("[calls]\na = GET s /a?b priority=low idempotent=yes timeout=1s # x", Kind::InvalidValue, (2, 11)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=0s # x", Kind::InvalidValue, (2, 49)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=1 # x", Kind::InvalidValue, (2, 49)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=11m # x", Kind::InvalidValue, (2, 49)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=99999999999999999999s # x", Kind::InvalidValue, (2, 49)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=1s retries=11 # x", Kind::InvalidValue, (2, 60)),
    wrong("[calls]\na = GET s / priority=low idempotent=no timeout=1s retries=1 # x", Kind::ImpossibleCombination, (2, 51)),
    wrong("[calls]\na = GET s / priority=low priority=low idempotent=yes timeout=1s # x", Kind::DuplicateKey, (2, 26)),
    wrong("[calls]\na = GET s / idempotent=yes timeout=1s # x", Kind::MissingKey, (2, 38)),
    wrong("[calls]\na = GET s priority=low idempotent=yes timeout=1s # x", Kind::MissingField, (2, 11)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=1s loose # x", Kind::UnknownKey, (2, 52)),
    wrong("[calls]\nà b = GET s / priority=low idempotent=yes timeout=1s # x", Kind::MalformedName, (2, 1)),
    wrong("[calls]\na = GET s / priority=low idempotent=yes timeout=1s # x\na = GET s /b priority=low idempotent=yes timeout=1s # x", Kind::DuplicateName, (3, 1)),
    wrong("[calls]\na = * s /* priority=low idempotent=yes timeout=1s # x\nb = GET s /b priority=low idempotent=yes timeout=1s # x", Kind::Unreachable, (3, 1)),
    wrong("[calls]\na = GET s /b* priority=low idempotent=yes timeout=1s # x\nb = GET s /b/c* priority=low idempotent=yes timeout=1s # x", Kind::Unreachable, (3, 1)),
    near("[calls]\na = GET bokking / priority=low idempotent=yes timeout=1s # x\n[services]\nbooking = slots=1 connections=1 # x", Kind::UnknownService, (2, 9), "booking"),
    near("[services]\nbooking = slots=1 connections=1 # x\n[slo]\na = boking low objective=99% latency=1s # x", Kind::UnknownService, (4, 5), "booking"),
    wrong("[services]\na = slots=2 connections=1 # x", Kind::ImpossibleCombination, (2, 5)),
    wrong("[services]\na = slots=0 connections=1 # x", Kind::InvalidValue, (2, 11)),
    wrong("[links]\na = sindh sindh rate=1KB/s # x", Kind::ImpossibleCombination, (2, 1)),
    wrong("[links]\na = x y rate=1KB/s # x\nb = y x rate=1KB/s # x", Kind::Unreachable, (3, 1)),
    wrong("[links]\na = x y rate=1bit/s # x", Kind::InvalidValue, (2, 14)),
    wrong("[links]\na = x y rate=1KB/s reserved=101% # x", Kind::InvalidValue, (2, 29)),
    wrong("[services]\ns = slots=1 connections=1 # x\n[slo]\na = s low objective=100% latency=1s # x", Kind::InvalidValue, (4, 21)),
    near("[call]", Kind::UnknownSection, (1, 2), "calls"),
    wrong("[calls", Kind::MalformedSectionHeader, (1, 1)),
    wrong("a = GET s / # x", Kind::RuleOutsideSection, (1, 1)),
    wrong("[calls]\n  charge", Kind::NotARule, (2, 3)),
];

#[test]
fn rejects_with_the_position_and_the_nearest_name() {
    for Wrong {
        text,
        kind,
        at,
        nearest,
    } in &WRONG
    {
        let errors = rejected(text);
        let first = &errors.errors[0];
        assert_eq!(
            (first.kind, first.line, first.column),
            (*kind, at.0, at.1),
            "{text}\n{errors}"
        );
        assert_eq!(first.nearest.as_deref(), *nearest, "{text}\n{errors}");
        assert_eq!(errors.count(), 1, "{text}\n{errors}");
    }
}

#[test]
fn rejects_control_characters_and_large_texts() {
    let escape = rejected("[calls]\na = GET s / # \u{1b}[2J");
    assert_eq!(escape.errors[0].kind, Kind::ControlCharacter);
    assert_eq!((escape.errors[0].line, escape.errors[0].column), (2, 15));
    assert!(!escape.to_string().contains('\u{1b}'));
    let most = format!("#{}", " ".repeat(MAX_TEXT_BYTES - 1));
    assert_eq!(Policy::parse(&most), Ok(Policy::default()));
    let large = rejected(&format!("{most} "));
    assert_eq!(large.errors[0].kind, Kind::TextTooLarge);
}

#[test]
fn bounds_the_rules_of_a_service_and_the_errors_listed() {
    let rules = |n: usize| {
        let lines = (0..n)
            .map(|i| format!("r{i} = GET s /{i} priority=low idempotent=yes timeout=1s # x\n"));
        format!("[calls]\n{}", lines.collect::<String>())
    };
    assert!(Policy::parse(&rules(MAX_RULES_PER_SERVICE)).is_ok());
    let errors = rejected(&rules(MAX_RULES_PER_SERVICE + 1));
    assert_eq!(errors.errors[0].kind, Kind::TooManyRules);
    let errors = rejected(&"x\n".repeat(MAX_ERRORS + 5));
    assert_eq!((errors.errors.len(), errors.omitted), (MAX_ERRORS, 5));
}

#[test]
fn lists_all_errors_in_the_order_of_the_text() {
    let text =
        "[slo]\na = s low # x\n[calls]\nb = FETCH s / priority=none # y\nc = # z\n[nowhere]\n";
    insta::assert_snapshot!(rejected(text));
}

#[test]
fn every_error_kind_is_produced_by_a_case() {
    let apart = [
        Kind::ControlCharacter,
        Kind::TextTooLarge,
        Kind::TooManyRules,
    ];
    for kind in PolicyErrorKind::iter().filter(|kind| !apart.contains(kind)) {
        assert!(WRONG.iter().any(|case| case.kind == kind), "{kind}");
    }
}

#[test]
fn nearest_name_needs_to_be_near() {
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

fn rejected(text: &str) -> PolicyErrors {
    match Policy::parse(text) {
        Ok(_) => panic!("accepted:\n{text}"),
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

/// Texts near to a valid policy: a valid line with one piece replaced.
fn broken_policy() -> impl Strategy<Value = String> {
    (0..GOOD.len(), 0..40_usize, "\\PC{0,12}").prop_map(|(at, len, piece)| {
        let end = (at + len).min(GOOD.len());
        format!("{}{piece}{}", &GOOD[..at], &GOOD[end..])
    })
}

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
    fn no_text_panics_and_the_verdict_is_stable(text in "(?s).{0,400}") {
        prop_assert_eq!(Policy::parse(&text), Policy::parse(&text.clone()));
    }

    #[test]
    fn a_broken_policy_is_rejected_inside_its_text(text in broken_policy()) {
        let verdict = Policy::parse(&text);
        prop_assert_eq!(&verdict, &Policy::parse(&text));
        if let Err(errors) = verdict {
            prop_assert!(!errors.errors.is_empty());
            for e in &errors.errors {
                let line = text.lines().nth(e.line - 1).unwrap();
                prop_assert!(e.column >= 1 && e.column <= line.chars().count() + 1, "{}", e);
            }
        }
    }

    #[test]
    fn a_policy_is_read_back_from_what_it_writes(lines in prop::collection::vec(rule_line(), 0..8)) {
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
    fn an_accepted_rule_governs_some_call(lines in prop::collection::vec(rule_line(), 1..8)) {
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
fn the_whole_text_is_read_back() {
    let policy = Policy::parse(GOOD).unwrap();
    assert_eq!(Policy::parse(&policy.to_string()), Ok(policy));
}

#[test]
fn the_published_policies_are_accepted() {
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
