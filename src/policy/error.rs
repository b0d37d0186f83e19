//! Errors of a policy text, each with its position.

use std::fmt;

use strum::Display;
use strum::EnumIter;

/// Most errors that are kept of one text; further ones are counted.
pub const MAX_ERRORS: usize = 100;

/// Longest excerpt of the text that an error repeats, in characters.
pub const MAX_EXCERPT_CHARS: usize = 64;

/// Kinds of errors of a policy text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
pub enum PolicyErrorKind {
    /// The text is larger than the platform can hold.
    #[strum(to_string = "text is too large")]
    TextTooLarge,
    /// A character that a terminal would not print.
    #[strum(to_string = "control character")]
    ControlCharacter,
    /// A line in brackets that is not a section header.
    #[strum(to_string = "malformed section header")]
    MalformedSectionHeader,
    /// A section of another name.
    #[strum(to_string = "unknown section")]
    UnknownSection,
    /// A rule before the first section header.
    #[strum(to_string = "rule outside of a section")]
    RuleOutsideSection,
    /// A line that is not of the form `name = ...`.
    #[strum(to_string = "not a rule")]
    NotARule,
    /// A rule without a requester comment.
    #[strum(to_string = "missing requester")]
    MissingRequester,
    /// A name that is empty, too long or has other characters.
    #[strum(to_string = "malformed name")]
    MalformedName,
    /// A name that an earlier rule has.
    #[strum(to_string = "duplicate name")]
    DuplicateName,
    /// A field without a key is missing.
    #[strum(to_string = "missing field")]
    MissingField,
    /// A required key is missing.
    #[strum(to_string = "missing key")]
    MissingKey,
    /// A key that the section does not have.
    #[strum(to_string = "unknown key")]
    UnknownKey,
    /// A key that the rule has already.
    #[strum(to_string = "duplicate key")]
    DuplicateKey,
    /// A value that is not allowed.
    #[strum(to_string = "invalid value")]
    InvalidValue,
    /// A service that no other section mentions.
    #[strum(to_string = "unknown service")]
    UnknownService,
    /// A rule that an earlier one covers.
    #[strum(to_string = "unreachable rule")]
    Unreachable,
    /// Values that cannot hold together.
    #[strum(to_string = "impossible combination")]
    ImpossibleCombination,
    /// More rules for a service than are allowed.
    #[strum(to_string = "too many rules")]
    TooManyRules,
}

/// One error of a policy text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Kind of the error.
    pub kind: PolicyErrorKind,
    /// What stands there.
    pub found: String,
    /// What may stand there, or why this may not.
    pub allowed: String,
    /// The known name that is nearest to what stands there.
    pub nearest: Option<String>,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)?;
        write!(f, ": found {}, {}", quoted(&self.found), self.allowed)?;
        match &self.nearest {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for PolicyError {}

fn quoted(text: &str) -> String {
    if text.is_empty() {
        return "nothing".to_owned();
    }
    format!("`{text}`")
}

/// All errors of a policy text, in the order of the text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyErrors {
    /// The first errors, at most [`MAX_ERRORS`].
    pub errors: Vec<PolicyError>,
    /// Number of errors that are not listed.
    pub omitted: usize,
}

impl PolicyErrors {
    /// Returns the number of errors.
    pub fn count(&self) -> usize {
        self.errors.len() + self.omitted
    }

    pub(super) fn push(&mut self, error: PolicyError) {
        if self.is_full() {
            return self.skip();
        }
        self.errors.push(error);
    }

    /// Returns whether further errors are only counted.
    pub(super) fn is_full(&self) -> bool {
        self.errors.len() >= MAX_ERRORS
    }

    /// Counts an error that is not listed.
    pub(super) fn skip(&mut self) {
        self.omitted += 1;
    }

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

/// Shortens text for an error message and makes control characters visible.
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
