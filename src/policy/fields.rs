//! Parses the fields of one rule line and reports their errors.

use super::error::PolicyError;
use super::error::PolicyErrorKind;
use super::error::PolicyErrors;
use super::error::excerpt;
use super::line::RuleLine;
use super::line::Word;
use super::nearest::nearest;
use super::value::AllowedValues;
use super::value::name;

/// A `key=value` field.
struct KeyValue<'a> {
    key: Word<'a>,
    value: Word<'a>,
}

/// Parser for the fields of one rule: positional fields first, then `key=value` fields.
///
/// Methods return `None` after they have reported an error, so that all errors of a rule are found.
pub(super) struct Fields<'a, 'e> {
    line: usize,
    rule: &'a RuleLine<'a>,
    errors: &'e mut PolicyErrors,
    key_values: Vec<KeyValue<'a>>,
    next_field: usize,
}

impl<'a, 'e> Fields<'a, 'e> {
    /// Creates a parser for the rule on the given line; errors are added to `errors`.
    pub(super) fn new(
        line: usize,
        rule: &'a RuleLine<'a>,
        errors: &'e mut PolicyErrors,
    ) -> Fields<'a, 'e> {
        Fields {
            line,
            rule,
            errors,
            key_values: Vec::new(),
            next_field: 0,
        }
    }

    /// Returns the name of the rule, or reports that it is malformed.
    pub(super) fn name(&mut self) -> Option<&'a str> {
        match name(self.rule.name.text) {
            Ok(text) => Some(text),
            Err(allowed) => {
                let kind = PolicyErrorKind::MalformedName;
                self.report(self.rule.name, kind, &allowed.description, None);
                None
            }
        }
    }

    /// Returns the requester of the rule, or reports that it is missing.
    pub(super) fn requester(&mut self) -> Option<String> {
        if self.rule.requester.is_empty() {
            let allowed = "allowed: a comment such as `# Farida K.` that names the requester";
            self.report(self.end(), PolicyErrorKind::MissingRequester, allowed, None);
            return None;
        }
        Some(self.rule.requester.to_owned())
    }

    /// Parses the next positional field. `what` names it in the error if it is missing.
    pub(super) fn positional<T, F>(&mut self, what: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, AllowedValues>,
    {
        let word = self.rule.fields.get(self.next_field).copied();
        let Some(word) = word.filter(|word| !is_key_value(word.text)) else {
            let allowed = format!("allowed: the {what}");
            let position = word.unwrap_or(self.end());
            self.report(position, PolicyErrorKind::MissingField, &allowed, None);
            return None;
        };
        self.next_field += 1;
        self.parse(word, parse)
    }

    /// Splits the remaining fields into keys and values; each key must be one of `known` and appear
    /// once.
    pub(super) fn parse_key_values(&mut self, known: &[&str]) {
        let words: Vec<Word<'a>> = self.rule.fields[self.next_field..].to_vec();
        for word in words {
            self.parse_key_value(word, known);
        }
    }

    /// Splits one field into key and value, or reports an unknown or duplicate key.
    fn parse_key_value(&mut self, word: Word<'a>, known: &[&str]) {
        let (key, value) = word.text.split_once('=').unwrap_or((word.text, ""));
        let key = Word { text: key, ..word };
        if !known.contains(&key.text) {
            let allowed = format!("allowed: {}", known.join(", "));
            let suggestion = self.nearest(key.text, known);
            self.report(key, PolicyErrorKind::UnknownKey, &allowed, suggestion);
            return;
        }
        if self
            .key_values
            .iter()
            .any(|field| field.key.text == key.text)
        {
            let allowed = "allowed: each key once";
            self.report(key, PolicyErrorKind::DuplicateKey, allowed, None);
            return;
        }
        let separator = usize::from(word.text.contains('='));
        let value = Word {
            text: value,
            column: word.column + key.text.chars().count() + separator,
        };
        self.key_values.push(KeyValue { key, value });
    }

    /// Returns the parsed value of a required key.
    pub(super) fn required<T, F>(&mut self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, AllowedValues>,
    {
        if self.key(key).is_none() {
            let allowed = format!("allowed: {key}=...");
            self.report(self.end(), PolicyErrorKind::MissingKey, &allowed, None);
            return None;
        }
        self.optional(key, parse)
    }

    /// Returns the parsed value of a key, or `None` if it is not set or invalid.
    pub(super) fn optional<T, F>(&mut self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, AllowedValues>,
    {
        let value = self
            .key_values
            .iter()
            .find(|field| field.key.text == key)?
            .value;
        self.parse(value, parse)
    }

    /// Reports that the value of `key` contradicts other values. The error points to the rule's name
    /// if the key is not set.
    pub(super) fn report_impossible(&mut self, key: &str, reason: &str) {
        let word = self.key(key).unwrap_or(self.rule.name);
        self.report(word, PolicyErrorKind::ImpossibleCombination, reason, None);
    }

    /// Returns the closest known name; skips the search once errors are only counted.
    fn nearest<'n>(&self, word: &str, names: &[&'n str]) -> Option<&'n str> {
        if self.errors.is_full() {
            return None;
        }
        nearest(word, names.iter().copied())
    }

    /// Returns the position of a key that is set.
    fn key(&self, key: &str) -> Option<Word<'a>> {
        let found = self.key_values.iter().find(|field| field.key.text == key)?;
        Some(found.key)
    }

    /// Returns an empty word at the end of the rule, as the position of something missing.
    fn end(&self) -> Word<'a> {
        Word {
            text: "",
            column: self.rule.end,
        }
    }

    /// Parses a word, or reports an invalid value.
    fn parse<T, F>(&mut self, word: Word<'a>, parse: F) -> Option<T>
    where
        F: FnOnce(&'a str) -> Result<T, AllowedValues>,
    {
        match parse(word.text) {
            Ok(value) => Some(value),
            Err(allowed) => {
                let suggestion = self.nearest(word.text, allowed.names);
                self.report(
                    word,
                    PolicyErrorKind::InvalidValue,
                    &allowed.description,
                    suggestion,
                );
                None
            }
        }
    }

    /// Adds an error at the position of a word.
    fn report(
        &mut self,
        word: Word<'_>,
        kind: PolicyErrorKind,
        allowed: &str,
        suggestion: Option<&str>,
    ) {
        self.errors.push(PolicyError {
            line: self.line,
            column: word.column,
            kind,
            found: excerpt(word.text),
            allowed: allowed.to_owned(),
            nearest: suggestion.map(str::to_owned),
        });
    }
}

/// Returns whether a field is `key=value`. A path may contain `=` too.
fn is_key_value(word: &str) -> bool {
    word.contains('=') && !word.starts_with('/')
}
