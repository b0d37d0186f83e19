//! Errors of a settings file.

use std::fmt;

/// What is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsErrorKind {
    /// The file cannot be read.
    #[error("cannot be read: {reason}")]
    Unreadable {
        /// Why.
        reason: String,
    },
    /// The file is not INI.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// What the reader says.
        reason: String,
    },
    /// A section that does not exist.
    #[error("[{section}]: unknown section; allowed: {allowed}{}", meant(.nearest))]
    UnknownSection {
        /// Name of the section.
        section: String,
        /// The sections.
        allowed: String,
        /// The known name that is nearest.
        nearest: Option<String>,
    },
    /// A key that does not exist.
    #[error(
        "[{section}] {key}: unknown key, found value `{found}`; allowed: {allowed}{}",
        meant(.nearest)
    )]
    UnknownKey {
        /// Name of the section, `no section` before the first.
        section: String,
        /// Name of the key.
        key: String,
        /// The value.
        found: String,
        /// The keys of the section.
        allowed: String,
        /// The known name that is nearest.
        nearest: Option<String>,
    },
    /// A key that is set twice.
    #[error("[{section}] {key}: set {times} times; allowed: once")]
    Duplicate {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// How often the key is set.
        times: usize,
    },
    /// A key that has to be set.
    #[error("[{section}] {key}: not set; allowed: {allowed}")]
    Missing {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// The allowed values.
        allowed: String,
    },
    /// A value that is not allowed.
    #[error("[{section}] {key}: found `{found}`; allowed: {allowed}")]
    Invalid {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// The value, or a description of a secret one.
        found: String,
        /// The allowed values.
        allowed: String,
    },
}

fn meant(nearest: &Option<String>) -> String {
    match nearest {
        Some(name) => format!("; did you mean `{name}`?"),
        None => String::new(),
    }
}

/// All errors of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    /// Name of the file.
    pub file: String,
    /// What is wrong, at least one.
    pub errors: Vec<SettingsErrorKind>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = self.errors.iter().map(|e| format!("{}: {e}", self.file));
        f.write_str(&lines.collect::<Vec<String>>().join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}
