//! Errors found in a policy text, each with its line and column.

use std::fmt;

use strum::Display;
use strum::EnumIter;

/// Maximum number of errors listed for one text; further errors are only counted.
pub const MAX_ERRORS: usize = 100;

/// Maximum length of the excerpt that an error message quotes, in characters.
pub const MAX_EXCERPT_CHARS: usize = 64;

/// Kind of a [`PolicyError`]; its `Display` text is part of the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
pub enum PolicyErrorKind {
    /// The text exceeds [`MAX_TEXT_BYTES`](super::MAX_TEXT_BYTES).
    #[strum(to_string = "text is too large")]
    TextTooLarge,
    /// A control character other than a tab; it could alter the terminal that prints the error.
    #[strum(to_string = "control character")]
    ControlCharacter,
    /// A line that starts with `[` but has no closing `]`.
    #[strum(to_string = "malformed section header")]
    MalformedSectionHeader,
    /// A section whose name is not one of the known sections.
    #[strum(to_string = "unknown section")]
    UnknownSection,
    /// A rule before the first section header.
    #[strum(to_string = "rule outside of a section")]
    RuleOutsideSection,
    /// A line that does not have the form `name = ...`.
    #[strum(to_string = "not a rule")]
    NotARule,
    /// A rule without a trailing comment that names its requester.
    #[strum(to_string = "missing requester")]
    MissingRequester,
    /// A name that is empty, too long or contains invalid characters.
    #[strum(to_string = "malformed name")]
    MalformedName,
    /// A name that an earlier rule of the same section uses.
    #[strum(to_string = "duplicate name")]
    DuplicateName,
    /// A positional field is missing.
    #[strum(to_string = "missing field")]
    MissingField,
    /// A required key is missing.
    #[strum(to_string = "missing key")]
    MissingKey,
    /// A key that rules of the section do not have.
    #[strum(to_string = "unknown key")]
    UnknownKey,
    /// A key that is set twice in one rule.
    #[strum(to_string = "duplicate key")]
    DuplicateKey,
    /// A value that its parser rejects.
    #[strum(to_string = "invalid value")]
    InvalidValue,
    /// A service that `[services]` does not list and, for an objective, that no call rule names.
    #[strum(to_string = "unknown service")]
    UnknownService,
    /// A rule that never applies because an earlier one matches everything that it matches.
    #[strum(to_string = "unreachable rule")]
    Unreachable,
    /// Values that are valid on their own but contradict each other.
    #[strum(to_string = "impossible combination")]
    ImpossibleCombination,
    /// More rules for one service, or more services, than allowed.
    #[strum(to_string = "too many rules")]
    TooManyRules,
}

/// One error in a policy text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// What is wrong.
    pub kind: PolicyErrorKind,
    /// Excerpt of the offending text; empty if something is missing.
    pub found: String,
    /// Description of the allowed values, or the reason why the text is rejected.
    pub allowed: String,
    /// Known name that is closest to the offending text, as a suggestion.
    pub nearest: Option<String>,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)?;
        write!(f, ": found {}, {}", quote(&self.found), self.allowed)?;
        match &self.nearest {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for PolicyError {}

/// Quotes an excerpt for an error message.
fn quote(text: &str) -> String {
    if text.is_empty() {
        return "nothing".to_owned();
    }
    format!("`{text}`")
}

/// All errors in a policy text, sorted by position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyErrors {
    /// Listed errors, at most [`MAX_ERRORS`].
    pub errors: Vec<PolicyError>,
    /// Number of further errors that are not listed.
    pub omitted: usize,
}

impl PolicyErrors {
    /// Returns the number of errors, including those that are not listed.
    pub fn count(&self) -> usize {
        self.errors.len() + self.omitted
    }

    /// Adds an error, or only counts it if the list is full.
    pub(super) fn push(&mut self, error: PolicyError) {
        if self.is_full() {
            return self.count_omitted();
        }
        self.errors.push(error);
    }

    /// Returns whether the list is full, so that further errors are only counted.
    pub(super) fn is_full(&self) -> bool {
        self.errors.len() >= MAX_ERRORS
    }

    /// Counts an error without listing it.
    pub(super) fn count_omitted(&mut self) {
        self.omitted += 1;
    }

    /// Sorts the errors by position, then kind.
    pub(super) fn sort(&mut self) {
        self.errors.sort_by_key(|e| (e.line, e.column, e.kind));
    }
}

impl fmt::Display for PolicyErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(PolicyError::to_string).collect();
        f.write_str(&lines.join("\n"))?;
        match self.omitted {
            0 => Ok(()),
            n => write!(f, "\nand {n} more errors"),
        }
    }
}

impl std::error::Error for PolicyErrors {}

/// Truncates text to [`MAX_EXCERPT_CHARS`] for an error message and escapes control characters.
pub(super) fn excerpt(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars().take(MAX_EXCERPT_CHARS) {
        if c.is_control() {
            out.extend(c.escape_debug());
        } else {
            out.push(c);
        }
    }
    if text.chars().nth(MAX_EXCERPT_CHARS).is_some() {
        out.push_str("...");
    }
    out
}
