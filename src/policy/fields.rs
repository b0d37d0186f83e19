//! Reads the fields of one rule line and reports what is wrong with them.

use super::error::PolicyError;
use super::error::PolicyErrorKind;
use super::error::PolicyErrors;
use super::error::excerpt;
use super::line::RuleLine;
use super::line::Word;
use super::nearest::nearest;
use super::value::Allowed;
use super::value::name;

/// A `key=value` field.
struct Setting<'a> {
    key: Word<'a>,
    value: Word<'a>,
}

/// The fields of one rule.
pub(super) struct Fields<'a, 'e> {
    number: usize,
    rule: &'a RuleLine<'a>,
    errors: &'e mut PolicyErrors,
    settings: Vec<Setting<'a>>,
    taken: usize,
}

impl<'a, 'e> Fields<'a, 'e> {
    /// Starts to read the rule on line `number`.
    pub(super) fn new(
        number: usize,
        rule: &'a RuleLine<'a>,
        errors: &'e mut PolicyErrors,
    ) -> Fields<'a, 'e> {
        Fields {
            number,
            rule,
            errors,
            settings: Vec::new(),
            taken: 0,
        }
    }

    /// Returns the name of the rule.
    pub(super) fn name(&mut self) -> Option<&'a str> {
        match name(self.rule.name.text) {
            Ok(text) => Some(text),
            Err(allowed) => {
                let kind = PolicyErrorKind::MalformedName;
                self.report(self.rule.name, kind, &allowed.text, None);
                None
            }
        }
    }

    /// Returns who asked for the rule.
    pub(super) fn requester(&mut self) -> Option<String> {
        if self.rule.requester.is_empty() {
            let allowed = "allowed: a comment such as `# Farida K.` that names who asked for it";
            self.report(self.end(), PolicyErrorKind::MissingRequester, allowed, None);
            return None;
        }
        Some(self.rule.requester.to_owned())
    }

    /// Reads the next field without a key.
    pub(super) fn positional<T, F>(&mut self, what: &str, read: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, Allowed>,
    {
        let word = self.rule.fields.get(self.taken).copied();
        let Some(word) = word.filter(|word| !is_setting(word.text)) else {
            let allowed = format!("allowed: the {what}");
            let at = word.unwrap_or(self.end());
            self.report(at, PolicyErrorKind::MissingField, &allowed, None);
            return None;
        };
        self.taken += 1;
        self.checked(word, read)
    }

    /// Reads the remaining fields, which must be settings of the given keys.
    pub(super) fn settings(&mut self, known: &[&str]) {
        let words: Vec<Word<'a>> = self.rule.fields[self.taken..].to_vec();
        for word in words {
            self.setting(word, known);
        }
    }

    fn setting(&mut self, word: Word<'a>, known: &[&str]) {
        let (key, value) = word.text.split_once('=').unwrap_or((word.text, ""));
        let key = Word { text: key, ..word };
        if !known.contains(&key.text) {
            let allowed = format!("allowed: {}", known.join(", "));
            let near = self.nearest(key.text, known);
            self.report(key, PolicyErrorKind::UnknownKey, &allowed, near);
            return;
        }
        if self.settings.iter().any(|s| s.key.text == key.text) {
            let allowed = "allowed: each key once";
            self.report(key, PolicyErrorKind::DuplicateKey, allowed, None);
            return;
        }
        let sign = usize::from(word.text.contains('='));
        let value = Word {
            text: value,
            column: word.column + key.text.chars().count() + sign,
        };
        self.settings.push(Setting { key, value });
    }

    /// Returns the value of a key that must be there.
    pub(super) fn required<T, F>(&mut self, key: &str, read: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, Allowed>,
    {
        if self.key(key).is_none() {
            let allowed = format!("allowed: {key}=...");
            self.report(self.end(), PolicyErrorKind::MissingKey, &allowed, None);
            return None;
        }
        self.optional(key, read)
    }

    /// Returns the value of a key, if it is there and valid.
    pub(super) fn optional<T, F>(&mut self, key: &str, read: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, Allowed>,
    {
        let value = self.settings.iter().find(|s| s.key.text == key)?.value;
        self.checked(value, read)
    }

    /// Reports that the value of `key` cannot hold together with the others.
    pub(super) fn impossible(&mut self, key: &str, reason: &str) {
        let word = self.key(key).unwrap_or(self.rule.name);
        self.report(word, PolicyErrorKind::ImpossibleCombination, reason, None);
    }

    /// Returns the nearest name, as long as errors are listed.
    fn nearest<'n>(&self, word: &str, names: &[&'n str]) -> Option<&'n str> {
        if self.errors.is_full() {
            return None;
        }
        nearest(word, names.iter().copied())
    }

    fn key(&self, key: &str) -> Option<Word<'a>> {
        let found = self.settings.iter().find(|s| s.key.text == key)?;
        Some(found.key)
    }

    fn end(&self) -> Word<'a> {
        Word {
            text: "",
            column: self.rule.end,
        }
    }

    fn checked<T, F>(&mut self, word: Word<'a>, read: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, Allowed>,
    {
        match read(word.text) {
            Ok(value) => Some(value),
            Err(allowed) => {
                let near = self.nearest(word.text, allowed.names);
                self.report(word, PolicyErrorKind::InvalidValue, &allowed.text, near);
                None
            }
        }
    }

    fn report(&mut self, word: Word<'_>, kind: PolicyErrorKind, allowed: &str, near: Option<&str>) {
        self.errors.push(PolicyError {
            line: self.number,
            column: word.column,
            kind,
            found: excerpt(word.text),
            allowed: allowed.to_owned(),
            nearest: near.map(str::to_owned),
        });
    }
}

fn is_setting(word: &str) -> bool {
    word.contains('=') && !word.starts_with('/')
}
