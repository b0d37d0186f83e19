//! Errors in a settings file.

use std::fmt;

/// One error in a settings file; the message names section, key, value and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsErrorKind {
    /// The file cannot be read.
    #[error("cannot be read: {reason}")]
    Unreadable {
        /// Error of the operating system.
        reason: String,
    },
    /// The file is not valid INI.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Column, starting at 1.
        column: usize,
        /// Message of the INI parser.
        reason: String,
    },
    /// The section name is not known.
    #[error("[{section}]: unknown section; allowed: {allowed}{}", suggestion(.nearest))]
    UnknownSection {
        /// Name of the section.
        section: String,
        /// All section names.
        allowed: String,
        /// Closest known name, as a suggestion.
        nearest: Option<String>,
    },
    /// The section has no such key.
    #[error(
        "[{section}] {key}: unknown key, found value `{found}`; allowed: {allowed}{}",
        suggestion(.nearest)
    )]
    UnknownKey {
        /// Name of the section, or `no section` before the first header.
        section: String,
        /// Name of the key.
        key: String,
        /// Excerpt of the value, or only its length if it may be a secret.
        found: String,
        /// Keys of the section.
        allowed: String,
        /// Closest known name, as a suggestion.
        nearest: Option<String>,
    },
    /// A key is set more than once.
    #[error("[{section}] {key}: set {times} times; allowed: once")]
    Duplicate {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Number of times that the key is set.
        times: usize,
    },
    /// A required key is not set.
    #[error("[{section}] {key}: not set; allowed: {allowed}")]
    Missing {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The value of a key is not allowed.
    #[error("[{section}] {key}: found `{found}`; allowed: {allowed}")]
    Invalid {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Excerpt of the value, or a description if it is a secret.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

/// Formats the suffix that suggests the closest known name; empty if there is none.
fn suggestion(nearest: &Option<String>) -> String {
    match nearest {
        Some(name) => format!("; did you mean `{name}`?"),
        None => String::new(),
    }
}

/// All errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    /// Name of the file.
    pub file: String,
    /// Errors found, at least one.
    pub errors: Vec<SettingsErrorKind>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = self.errors.iter().map(|e| format!("{}: {e}", self.file));
        f.write_str(&lines.collect::<Vec<String>>().join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}
