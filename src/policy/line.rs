//! Splits lines of a policy text into words with their columns.

use super::error::PolicyErrorKind;

/// Part of a line and the column where it starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    /// Column in characters, starting at 1.
    pub(super) column: usize,
}

/// A line by its syntactic form.
#[derive(Debug)]
pub(super) enum Line<'a> {
    /// Empty or only a comment, after `#` or `;`.
    Blank,
    /// Section header; the word is the name between the brackets.
    Section(Word<'a>),
    /// Rule with its fields and requester.
    Rule(RuleLine<'a>),
    /// Any other line, with the kind of error and its position.
    Malformed(PolicyErrorKind, Word<'a>),
}

/// A line of the form `name = field ... # requester`.
#[derive(Debug)]
pub(super) struct RuleLine<'a> {
    pub(super) name: Word<'a>,
    pub(super) fields: Vec<Word<'a>>,
    pub(super) requester: &'a str,
    /// Column after the last field, where a missing field is reported.
    pub(super) end: usize,
}

/// Classifies a line and splits it into its parts. Only a rule's comment is kept, as its requester.
pub(super) fn split(line: &str) -> Line<'_> {
    if let Some(word) = find_control_character(line) {
        return Line::Malformed(PolicyErrorKind::ControlCharacter, word);
    }
    let (code, comment) = line.split_once('#').unwrap_or((line, ""));
    let content = trim(code);
    if content.text.is_empty() || content.text.starts_with(';') {
        return Line::Blank;
    }
    if content.text.starts_with('[') {
        return split_section_header(content);
    }
    let Some((name, fields)) = code.split_once('=') else {
        return Line::Malformed(PolicyErrorKind::NotARule, content);
    };
    let offset = name.chars().count() + 1;
    Line::Rule(RuleLine {
        name: trim(name),
        fields: split_words(fields, offset),
        requester: comment.trim(),
        end: code.trim_end().chars().count() + 1,
    })
}

fn split_section_header(line: Word<'_>) -> Line<'_> {
    let name = line
        .text
        .strip_prefix('[')
        .and_then(|t| t.strip_suffix(']'));
    match name {
        Some(text) => Line::Section(Word {
            text: text.trim(),
            column: line.column + 1,
        }),
        None => Line::Malformed(PolicyErrorKind::MalformedSectionHeader, line),
    }
}

/// Returns the first control character other than a tab.
fn find_control_character(line: &str) -> Option<Word<'_>> {
    let (at, c) = line
        .char_indices()
        .find(|(_, c)| c.is_control() && *c != '\t')?;
    Some(Word {
        text: &line[at..at + c.len_utf8()],
        column: line[..at].chars().count() + 1,
    })
}

/// Removes surrounding whitespace and keeps the column of the remaining text.
fn trim(text: &str) -> Word<'_> {
    let start = text.trim_start();
    let skipped = &text[..text.len() - start.len()];
    Word {
        text: start.trim_end(),
        column: skipped.chars().count() + 1,
    }
}

/// Splits text at whitespace into words; `offset` is the number of characters before it in the line.
fn split_words(text: &str, offset: usize) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    let mut column = offset + 1;
    for piece in text.split(char::is_whitespace) {
        if !piece.is_empty() {
            words.push(Word {
                text: piece,
                column,
            });
        }
        column += piece.chars().count() + 1;
    }
    words
}
