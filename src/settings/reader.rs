//! Reads typed values out of an INI file and collects what is wrong.

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
use crate::policy::value::split_unit;
use crate::policy::value::whole_number;

/// Longest value that an error repeats, in characters.
const MAX_FOUND_CHARS: usize = 64;

/// An INI file that is being read.
pub(super) struct SettingsReader<'a> {
    ini: Ini,
    directory: &'a Path,
    pub(super) errors: Vec<SettingsErrorKind>,
}

impl<'a> SettingsReader<'a> {
    /// Reads the text. Files that it names are looked for from `directory`.
    pub(super) fn new(text: &str, directory: &'a Path) -> SettingsReader<'a> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let (ini, errors) = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => (ini, Vec::new()),
            Err(e) => (Ini::new(), vec![syntax(&e)]),
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

    /// Returns whether the text was INI at all.
    pub(super) fn is_readable(&self) -> bool {
        !matches!(self.errors.first(), Some(SettingsErrorKind::Syntax { .. }))
    }

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
            let times = self.times(key);
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

    fn times(&self, key: &Key) -> usize {
        let sections = self.ini.section_all(Some(key.section));
        sections.map(|s| s.get_all(key.name).count()).sum()
    }

    /// Returns the value as text, or its default.
    fn text(&mut self, key: &Key) -> Option<String> {
        if let Some(value) = self.set(key) {
            return Some(value);
        }
        match key.fallback {
            Fallback::Value(value) => Some(value.to_owned()),
            Fallback::Optional => None,
            Fallback::Required => {
                self.missing(key);
                None
            }
        }
    }

    fn set(&self, key: &Key) -> Option<String> {
        let mut sections = self.ini.section_all(Some(key.section));
        sections.find_map(|s| s.get(key.name)).map(str::to_owned)
    }

    pub(super) fn missing(&mut self, key: &Key) {
        self.errors.push(SettingsErrorKind::Missing {
            section: key.section,
            key: key.name,
            allowed: key.value_type.allowed(),
        });
    }

    fn invalid(&mut self, key: &Key, found: String) {
        self.errors.push(SettingsErrorKind::Invalid {
            section: key.section,
            key: key.name,
            found,
            allowed: key.value_type.allowed(),
        });
    }

    fn checked<T, F>(&mut self, key: &Key, read: F) -> Option<T>
    where
        F: FnOnce(&str) -> Option<T>,
    {
        let text = self.text(key)?;
        let value = read(&text);
        if value.is_none() {
            self.invalid(key, excerpt(&text));
        }
        value
    }

    pub(super) fn name(&mut self, key: &Key) -> Option<String> {
        self.checked(key, |text| is_name(text).then(|| text.to_owned()))
    }

    pub(super) fn address(&mut self, key: &Key) -> Option<SocketAddr> {
        self.checked(key, |text| SocketAddr::from_str(text).ok())
    }

    pub(super) fn addresses(&mut self, key: &Key) -> Option<Vec<SocketAddr>> {
        self.checked(key, |text| {
            let parts = text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty());
            parts.map(|part| SocketAddr::from_str(part).ok()).collect()
        })
    }

    pub(super) fn url(&mut self, key: &Key) -> Option<String> {
        self.checked(key, |text| is_http_url(text).then(|| text.to_owned()))
    }

    pub(super) fn level(&mut self, key: &Key) -> Option<LevelFilter> {
        self.checked(key, |text| LevelFilter::from_str(text).ok())
    }

    pub(super) fn bytes(&mut self, key: &Key) -> Option<u64> {
        self.checked(key, |text| {
            let (number, unit) = split_unit(text);
            let (_, size) = BYTE_UNITS.iter().find(|(name, _)| *name == unit)?;
            let bytes = whole_number(number)?.checked_mul(*size)?;
            in_range(key.value_type, bytes)
        })
    }

    pub(super) fn duration(&mut self, key: &Key) -> Option<Duration> {
        self.checked(key, |text| {
            let millis = parse_duration(text)?.as_millis();
            let millis = in_range(key.value_type, u64::try_from(millis).ok()?)?;
            Some(Duration::from_millis(millis))
        })
    }

    pub(super) fn count(&mut self, key: &Key) -> Option<usize> {
        self.checked(key, |text| {
            let count = in_range(key.value_type, whole_number(text)?)?;
            usize::try_from(count).ok()
        })
    }

    /// Reads a secret that is either set or held in a file.
    pub(super) fn secret(&mut self, value: &Key, file: &Key) -> Option<String> {
        let secret = self.set(value);
        let Some(name) = self.set(file) else {
            return secret.and_then(|secret| self.long_enough(value, secret));
        };
        if secret.is_some() {
            let found = format!("{name}, although {} is set too", value.name);
            self.invalid(file, found);
            return None;
        }
        match std::fs::read_to_string(self.directory.join(&name)) {
            Ok(text) => self.long_enough(file, text.trim().to_owned()),
            Err(e) => {
                self.invalid(file, format!("{}: {e}", excerpt(&name)));
                None
            }
        }
    }

    fn long_enough(&mut self, key: &Key, secret: String) -> Option<String> {
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

fn excerpt(text: &str) -> String {
    let end = text.char_indices().nth(MAX_FOUND_CHARS).map(|(at, _)| at);
    match end {
        Some(end) => format!("{}...", text[..end].escape_debug()),
        None => text.escape_debug().to_string(),
    }
}

fn syntax(e: &ini::ParseError) -> SettingsErrorKind {
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
        found: redacted(section, found),
        allowed,
        nearest: nearest(name, names.iter().copied()).map(str::to_owned),
    }
}

/// Hides the value of a misspelt key that may have been meant to hold a secret.
fn redacted(section: &str, found: &str) -> String {
    let secret = KEYS
        .iter()
        .any(|key| key.section == section && key.value_type == ValueType::Secret);
    match secret || section.is_empty() {
        true => format!("{} characters", found.chars().count()),
        false => excerpt(found),
    }
}
