//! Reads typed values from an INI file and collects all errors.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use http::Uri;
use ini::Ini;
use ini::ParseOption;
use log::LevelFilter;

use super::error::SettingsErrorKind;
use super::table::BYTE_UNITS;
use super::table::Fallback;
use super::table::KEYS;
use super::table::Key;
use super::table::MIN_SECRET_CHARS;
use super::table::ValueType;
use crate::policy::nearest::nearest;
use crate::policy::value::is_name;
use crate::policy::value::parse_duration;
use crate::policy::value::parse_unsigned;
use crate::policy::value::split_unit;

/// Maximum length of a value quoted in an error, in characters.
const MAX_EXCERPT_CHARS: usize = 64;

/// Parsed INI file and the errors found so far.
///
/// The typed methods return the configured or default value of a key. They return `None` if an
/// optional key is not set, or after reporting an error.
pub(super) struct SettingsReader<'a> {
    ini: Ini,
    directory: &'a Path,
    pub(super) errors: Vec<SettingsErrorKind>,
}

impl<'a> SettingsReader<'a> {
    /// Parses the text and checks its section and key names. Files named in it are relative to
    /// `directory`.
    pub(super) fn new(text: &str, directory: &'a Path) -> SettingsReader<'a> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let (ini, errors) = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => (ini, Vec::new()),
            Err(e) => (Ini::new(), vec![syntax_error(&e)]),
        };
        let mut reader = SettingsReader {
            ini,
            directory,
            errors,
        };
        if reader.errors.is_empty() {
            reader.check_names();
        }
        reader
    }

    /// Returns whether the text has valid INI syntax.
    pub(super) fn is_valid_ini(&self) -> bool {
        !matches!(self.errors.first(), Some(SettingsErrorKind::Syntax { .. }))
    }

    /// Reports unknown sections, unknown keys and keys that are set more than once.
    fn check_names(&mut self) {
        let sections: BTreeSet<&str> = KEYS.iter().map(|key| key.section).collect();
        let mut errors = Vec::new();
        for (section, values) in self.ini.iter() {
            let section = section.unwrap_or("");
            if !sections.contains(section) && !section.is_empty() {
                errors.push(unknown_section(section, &sections));
                continue;
            }
            for (name, found) in values.iter() {
                if !KEYS.iter().any(|k| k.section == section && k.name == name) {
                    errors.push(unknown_key(section, name, found));
                }
            }
        }
        for key in KEYS {
            let times = self.occurrences(key);
            if times > 1 {
                errors.push(SettingsErrorKind::Duplicate {
                    section: key.section,
                    key: key.name,
                    times,
                });
            }
        }
        self.errors.extend(errors);
    }

    /// Returns how often a key is set, across all sections of the same name.
    fn occurrences(&self, key: &Key) -> usize {
        let sections = self.ini.section_all(Some(key.section));
        sections.map(|s| s.get_all(key.name).count()).sum()
    }

    /// Returns the value as text, or the default. Reports a required key that is not set.
    fn text(&mut self, key: &Key) -> Option<String> {
        if let Some(value) = self.configured(key) {
            return Some(value);
        }
        match key.fallback {
            Fallback::Value(value) => Some(value.to_owned()),
            Fallback::Optional => None,
            Fallback::Required => {
                self.report_missing(key);
                None
            }
        }
    }

    /// Returns the value that is set for a key.
    fn configured(&self, key: &Key) -> Option<String> {
        let mut sections = self.ini.section_all(Some(key.section));
        sections.find_map(|s| s.get(key.name)).map(str::to_owned)
    }

    pub(super) fn report_missing(&mut self, key: &Key) {
        self.errors.push(SettingsErrorKind::Missing {
            section: key.section,
            key: key.name,
            allowed: key.value_type.allowed(),
        });
    }

    fn report_invalid(&mut self, key: &Key, found: String) {
        self.errors.push(SettingsErrorKind::Invalid {
            section: key.section,
            key: key.name,
            found,
            allowed: key.value_type.allowed(),
        });
    }

    /// Parses the value of a key, or reports that it is invalid.
    fn parsed<T, F>(&mut self, key: &Key, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Option<T>,
    {
        let text = self.text(key)?;
        let value = parse(&text);
        if value.is_none() {
            self.report_invalid(key, excerpt(&text));
        }
        value
    }

    /// Reads a name of an instance, service, failure domain or region.
    pub(super) fn name(&mut self, key: &Key) -> Option<String> {
        self.parsed(key, |text| is_name(text).then(|| text.to_owned()))
    }

    /// Reads an IP address and port.
    pub(super) fn address(&mut self, key: &Key) -> Option<SocketAddr> {
        self.parsed(key, |text| SocketAddr::from_str(text).ok())
    }

    /// Reads a comma-separated list of addresses, which may be empty.
    pub(super) fn addresses(&mut self, key: &Key) -> Option<Vec<SocketAddr>> {
        self.parsed(key, |text| {
            let parts = text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty());
            parts.map(|part| SocketAddr::from_str(part).ok()).collect()
        })
    }

    /// Reads an `http://` URL.
    pub(super) fn url(&mut self, key: &Key) -> Option<String> {
        self.parsed(key, |text| is_http_url(text).then(|| text.to_owned()))
    }

    /// Reads a log level.
    pub(super) fn log_level(&mut self, key: &Key) -> Option<LevelFilter> {
        self.parsed(key, |text| LevelFilter::from_str(text).ok())
    }

    /// Reads a size with a unit, in bytes, within the bounds of the key.
    pub(super) fn bytes(&mut self, key: &Key) -> Option<u64> {
        self.parsed(key, |text| {
            let (number, unit) = split_unit(text);
            let (_, size) = BYTE_UNITS.iter().find(|(name, _)| *name == unit)?;
            let bytes = parse_unsigned(number)?.checked_mul(*size)?;
            in_range(key.value_type, bytes)
        })
    }

    /// Reads a duration within the bounds of the key.
    pub(super) fn duration(&mut self, key: &Key) -> Option<Duration> {
        self.parsed(key, |text| {
            let millis = parse_duration(text)?.as_millis();
            let millis = in_range(key.value_type, u64::try_from(millis).ok()?)?;
            Some(Duration::from_millis(millis))
        })
    }

    /// Reads a whole number within the bounds of the key.
    pub(super) fn count(&mut self, key: &Key) -> Option<usize> {
        self.parsed(key, |text| {
            let count = in_range(key.value_type, parse_unsigned(text)?)?;
            usize::try_from(count).ok()
        })
    }

    /// Reads a secret that is set either directly in `value` or as a file name in `file`, not both.
    pub(super) fn secret(&mut self, value: &Key, file: &Key) -> Option<String> {
        let secret = self.configured(value);
        let Some(name) = self.configured(file) else {
            return secret.and_then(|secret| self.check_secret_length(value, secret));
        };
        if secret.is_some() {
            let found = format!("{name}, although {} is set too", value.name);
            self.report_invalid(file, found);
            return None;
        }
        match std::fs::read_to_string(self.directory.join(&name)) {
            Ok(text) => self.check_secret_length(file, text.trim().to_owned()),
            Err(e) => {
                self.report_invalid(file, format!("{}: {e}", excerpt(&name)));
                None
            }
        }
    }

    /// Returns the secret, or reports that it is too short. The message does not contain it.
    fn check_secret_length(&mut self, key: &Key, secret: String) -> Option<String> {
        let chars = secret.chars().count();
        if chars >= MIN_SECRET_CHARS {
            return Some(secret);
        }
        self.errors.push(SettingsErrorKind::Invalid {
            section: key.section,
            key: key.name,
            found: format!("a secret of {chars} characters"),
            allowed: ValueType::Secret.allowed(),
        });
        None
    }
}

/// Returns the value if it is within the bounds of its type.
fn in_range(value_type: ValueType, value: u64) -> Option<u64> {
    match value_type {
        ValueType::Bytes(min, max) | ValueType::Millis(min, max) | ValueType::Count(min, max) => {
            (min..=max).contains(&value).then_some(value)
        }
        _ => Some(value),
    }
}

fn is_http_url(text: &str) -> bool {
    Uri::from_str(text).is_ok_and(|uri| uri.scheme_str() == Some("http") && uri.host().is_some())
}

/// Truncates text for an error message and escapes control characters.
fn excerpt(text: &str) -> String {
    let end = text.char_indices().nth(MAX_EXCERPT_CHARS).map(|(at, _)| at);
    match end {
        Some(end) => format!("{}...", text[..end].escape_debug()),
        None => text.escape_debug().to_string(),
    }
}

fn syntax_error(e: &ini::ParseError) -> SettingsErrorKind {
    SettingsErrorKind::Syntax {
        line: e.line,
        column: e.col,
        reason: e.msg.to_string(),
    }
}

fn unknown_section(section: &str, known: &BTreeSet<&str>) -> SettingsErrorKind {
    SettingsErrorKind::UnknownSection {
        section: excerpt(section),
        allowed: known.iter().copied().collect::<Vec<&str>>().join(", "),
        nearest: nearest(section, known.iter().copied()).map(str::to_owned),
    }
}

fn unknown_key(section: &str, name: &str, found: &str) -> SettingsErrorKind {
    let keys = || KEYS.iter().filter(|key| key.section == section);
    let names: Vec<&str> = keys().map(|key| key.name).collect();
    let allowed = match names.is_empty() {
        true => "a section such as [instance] before it".to_owned(),
        false => names.join(", "),
    };
    let section_name = match section.is_empty() {
        true => "no section",
        false => section,
    };
    SettingsErrorKind::UnknownKey {
        section: section_name.to_owned(),
        key: excerpt(name),
        found: redact(section, found),
        allowed,
        nearest: nearest(name, names.iter().copied()).map(str::to_owned),
    }
}

/// Returns the value of an unknown key for an error message, or only its length if the misspelt key
/// may have been meant to hold a secret.
fn redact(section: &str, found: &str) -> String {
    let secret = KEYS
        .iter()
        .any(|key| key.section == section && key.value_type == ValueType::Secret);
    match secret || section.is_empty() {
        true => format!("{} characters", found.chars().count()),
        false => excerpt(found),
    }
}
