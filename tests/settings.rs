//! Settings of a node: defaults, errors, the page that lists them.

#[path = "support/page.rs"]
mod page;

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use dragonflylead::instance::DomainName;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::RegionName;
use dragonflylead::instance::ServiceName;
use dragonflylead::settings::FleetKeys;
use dragonflylead::settings::Identity;
use dragonflylead::settings::Settings;
use dragonflylead::settings::table::Fallback;
use dragonflylead::settings::table::KEYS;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MINIMAL: &str = "\
[instance]
name = payments-3
service = payments
domain = punjab-a
region = punjab
[platform]
url = http://10.1.0.10:8500
[fleet]
key = 0123456789abcdef
";

fn in_code() -> Settings {
    let instance = Identity {
        name: InstanceName::new("payments-3"),
        service: ServiceName::new("payments"),
        domain: DomainName::new("punjab-a"),
        region: RegionName::new("punjab"),
    };
    let keys = FleetKeys {
        current: "0123456789abcdef".to_owned(),
        previous: None,
    };
    Settings::with_defaults(instance, "http://10.1.0.10:8500", keys)
}

#[test]
fn what_is_not_set_has_its_default() {
    let settings = Settings::parse(MINIMAL, "node.ini").unwrap();
    assert_eq!(settings, in_code());
    assert!(settings.ports.egress.ip().is_loopback());
    assert!(settings.ports.operator.ip().is_loopback());
    assert_eq!(settings.limits.request_buffer_bytes, 64 * 1024);
    assert_eq!(settings.limits.response_buffer_bytes, 256 * 1024);
}

#[test]
fn what_is_set_is_read() {
    let text = format!(
        "{MINIMAL}previous-key = fedcba9876543210\n[ports]\ningress = [::1]:0\n[limits]\n\
         max-header-bytes = 8KiB\ntoken-validity = 90s\n[runtime]\nworkers = 4\n[log]\n\
         level = debug\n[drain]\ngrace = 0s\n"
    );
    let settings = Settings::parse(&text, "node.ini").unwrap();
    assert_eq!(settings.ports.ingress, "[::1]:0".parse().unwrap());
    assert_eq!(settings.limits.max_header_bytes, 8192);
    assert_eq!(settings.limits.token_validity, Duration::from_secs(90));
    assert_eq!(settings.workers, 4);
    assert_eq!(settings.log_level, log::LevelFilter::Debug);
    assert_eq!(settings.drain_grace, Duration::ZERO);
    assert_eq!(settings.keys.previous.as_deref(), Some("fedcba9876543210"));
}

#[test]
fn a_key_can_be_held_in_a_file_beside_the_settings() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("node.ini");
    let text = MINIMAL.replace("key = 0123456789abcdef", "key-file = fleet.key");
    std::fs::write(&file, text).unwrap();
    let errors = Settings::load(&file).unwrap_err().to_string();
    assert!(
        errors.contains("[fleet] key-file: found `fleet.key: No such file"),
        "{errors}"
    );
    std::fs::write(dir.path().join("fleet.key"), "0123456789abcdef\n").unwrap();
    assert_eq!(Settings::load(&file), Ok(in_code()));
}

#[test]
fn errors_name_file_section_key_value_and_what_is_allowed() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "not set", from: "region = punjab\n", to: "" },
        Case { name: "name", from: "payments-3", to: "payments 3" },
        Case { name: "key not set", from: "key = 0123456789abcdef", to: "" },
        Case { name: "short key", from: "0123456789abcdef", to: "short" },
        Case { name: "key and file", from: "[fleet]", to: "[fleet]\nkey-file = x" },
        Case { name: "address", from: "[fleet]", to: "[ports]\ningress = localhost:7100\n[fleet]" },
        Case { name: "url", from: "http://", to: "https://" },
        Case { name: "bytes without unit", from: "[fleet]", to: "[limits]\nmax-body-bytes = 65536\n[fleet]" },
        Case { name: "bytes too large", from: "[fleet]", to: "[limits]\nrequest-buffer-bytes = 17MiB\n[fleet]" },
        Case { name: "duration", from: "[fleet]", to: "[limits]\ntoken-validity = 1h\n[fleet]" },
        Case { name: "count", from: "[fleet]", to: "[runtime]\nworkers = 0\n[fleet]" },
        Case { name: "level", from: "[fleet]", to: "[log]\nlevel = loud\n[fleet]" },
        Case { name: "unknown key", from: "[fleet]", to: "[ports]\ningres = 127.0.0.1:1\n[fleet]" },
        Case { name: "unknown secret key", from: "[fleet]", to: "[fleet]\nkye = topsecret" },
        Case { name: "unknown section", from: "[fleet]", to: "[port]\ningress = 127.0.0.1:1\n[fleet]" },
        Case { name: "before the first section", from: "[instance]", to: "name = x\n[instance]" },
        Case { name: "set twice", from: "[platform]", to: "name = other\n[platform]" },
        Case { name: "not INI", from: "[fleet]", to: "[fleet" },
        Case { name: "several", from: "service = payments\ndomain = punjab-a\n", to: "[log]\nlevel = 3\n" },
    ];
    let mut text = String::new();
    for Case { name, from, to } in cases {
        let wrong = MINIMAL.replace(from, to);
        let errors = Settings::parse(&wrong, "node.ini").expect_err(name);
        text.push_str(&format!("# {name}\n{errors}\n"));
    }
    text.push_str(&format!(
        "# no file\n{}\n",
        Settings::load(Path::new("none.ini")).unwrap_err()
    ));
    assert!(
        !text.contains("topsecret") && !text.contains("0123456789"),
        "{text}"
    );
    insta::assert_snapshot!(text);
}

#[test]
fn secrets_are_not_printed() {
    assert!(!format!("{:?}", in_code()).contains("0123456789"));
}

#[test]
fn the_example_is_accepted() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/examples/node.ini");
    assert_eq!(Settings::load(&path).unwrap().instance, in_code().instance);
}

#[test]
fn the_page_lists_every_setting() {
    let mut text = String::from(
        "# Settings of a node\n\n\
         `dragonflylead-node --settings FILE` reads an INI file. Comments stand on lines of their \
         own and begin with `;` or `#`.\nEvery setting is checked at start; an error names file, \
         section, key, the value found and what is allowed.\n[examples/node.ini](examples/node.ini) \
         is a complete file. This page is written out from the code by `tests/settings.rs`.\n",
    );
    let mut sections = BTreeSet::new();
    for key in KEYS {
        if sections.insert(key.section) {
            text.push_str(&format!(
                "\n## [{}]\n\n| key | default | allowed | what it does |\n|---|---|---|---|\n",
                key.section
            ));
        }
        let fallback = match key.fallback {
            Fallback::Value(value) => format!("`{value}`"),
            Fallback::Required => "required".to_owned(),
            Fallback::Optional => "none".to_owned(),
        };
        let allowed = key.value_type.allowed();
        text.push_str(&format!(
            "| `{}` | {fallback} | {allowed} | {} |\n",
            key.name, key.description
        ));
    }
    page::assert_page("SETTINGS.md", &text);
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5e77),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn no_text_panics(text in "(?s).{0,200}") {
        prop_assert!(Settings::parse(&text, "node.ini").is_err());
    }

    #[test]
    fn no_value_panics(at in 0..KEYS.len(), value in "\\PC{0,40}|[0-9]{1,24}(ms|s|m|KiB|GiB)?") {
        let key = &KEYS[at];
        let text = format!("{MINIMAL}[{}]\n{} = {value}\n", key.section, key.name);
        if let Err(errors) = Settings::parse(&text, "node.ini") {
            prop_assert!(errors.to_string().contains(&format!("[{}] {}", key.section, key.name)), "{}", errors);
        }
    }
}
