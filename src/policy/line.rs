//! Lines of a policy text, split into their parts with the column of each.

use super::error::PolicyErrorKind;

/// A piece of a line and where it starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    /// Column in characters, counted from 1.
    pub(super) column: usize,
}

/// What a line says.
#[derive(Debug)]
pub(super) enum Line<'a> {
    /// Nothing, or only a comment.
    Blank,
    /// The header of a section.
    Section(Word<'a>),
    /// A rule.
    Rule(RuleLine<'a>),
    /// Something else.
    Malformed(PolicyErrorKind, Word<'a>),
}

/// A line of the form `name = field ... # requester`.
#[derive(Debug)]
pub(super) struct RuleLine<'a> {
    pub(super) name: Word<'a>,
    pub(super) fields: Vec<Word<'a>>,
    pub(super) requester: &'a str,
    /// Where the next field would stand.
    pub(super) end: usize,
}

/// Splits a line into its parts.
pub(super) fn read(line: &str) -> Line<'_> {
    if let Some(word) = control_character(line) {
        return Line::Malformed(PolicyErrorKind::ControlCharacter, word);
    }
    let (code, comment) = line.split_once('#').unwrap_or((line, ""));
    let whole = trimmed(code);
    if whole.text.is_empty() || whole.text.starts_with(';') {
        return Line::Blank;
    }
    if whole.text.starts_with('[') {
        return section(whole);
    }
    let Some((before, after)) = code.split_once('=') else {
        return Line::Malformed(PolicyErrorKind::NotARule, whole);
    };
    let offset = before.chars().count() + 1;
    Line::Rule(RuleLine {
        name: trimmed(before),
        fields: words(after, offset),
        requester: comment.trim(),
        end: code.trim_end().chars().count() + 1,
    })
}

fn section(whole: Word<'_>) -> Line<'_> {
    let name = whole
        .text
        .strip_prefix('[')
        .and_then(|t| t.strip_suffix(']'));
    match name {
        Some(text) => Line::Section(Word {
            text: text.trim(),
            column: whole.column + 1,
        }),
        None => Line::Malformed(PolicyErrorKind::MalformedSectionHeader, whole),
    }
}

fn control_character(line: &str) -> Option<Word<'_>> {
    let (at, c) = line
        .char_indices()
        .find(|(_, c)| c.is_control() && *c != '\t')?;
    Some(Word {
        text: &line[at..at + c.len_utf8()],
        column: line[..at].chars().count() + 1,
    })
}

fn trimmed(text: &str) -> Word<'_> {
    let start = text.trim_start();
    let skipped = &text[..text.len() - start.len()];
    Word {
        text: start.trim_end(),
        column: skipped.chars().count() + 1,
    }
}

fn words(text: &str, offset: usize) -> Vec<Word<'_>> {
    let mut found = Vec::new();
    let mut column = offset + 1;
    for piece in text.split(char::is_whitespace) {
        if !piece.is_empty() {
            found.push(Word {
                text: piece,
                column,
            });
        }
        column += piece.chars().count() + 1;
    }
    found
}
