//! State of the configuration. The revision in force never decreases, and when a revision is
//! rejected the last accepted one stays in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::document::ApplyOutcome;
use crate::coordination::document::Delta;
use crate::coordination::document::Document;
use crate::coordination::document::Line;
use crate::coordination::document::LineKey;
use crate::coordination::document::Repair;
use crate::coordination::document::RepairRequest;
use crate::coordination::document::Revision;
use crate::coordination::document::Section;
use crate::instance::ServiceName;

/// Maximum length of a rejection reason, in characters; the rest is cut off.
pub const MAX_REASON_CHARS: usize = 256;

/// A configuration revision that failed validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The rejected revision.
    pub revision: Revision,
    /// Error message of the validation.
    pub reason: String,
}

/// Outcome of offering a published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is in force. The delta is known if all lines of the previous revision were
    /// held.
    Accepted(Option<Delta>),
    /// The revision was rejected; the last accepted one stays in force.
    Rejected(Rejection),
    /// The same or a later revision was seen before.
    Outdated,
}

/// The configuration that a node holds.
#[derive(Clone, Debug)]
pub struct ConfigState {
    document: Document,
    highest_seen: Revision,
    rejection: Option<Rejection>,
}

impl ConfigState {
    /// Builds the state before the first revision. It will hold the sections in `needed`.
    pub fn new(needed: BTreeSet<Section>) -> ConfigState {
        ConfigState {
            document: Document::new(needed),
            highest_seen: Revision::default(),
            rejection: None,
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.document.stamp().revision
    }

    /// Returns the highest revision seen, whether it is in force or was rejected.
    pub fn highest_seen(&self) -> Revision {
        self.highest_seen.max(self.revision())
    }

    /// Returns the rejection of the highest revision seen, `None` if that revision is in force.
    pub fn rejection(&self) -> Option<&Rejection> {
        self.rejection
            .as_ref()
            .filter(|r| r.revision > self.revision())
    }

    /// Adds a section to those that are needed. Returns whether it has to be fetched.
    pub fn add_section(&mut self, section: Section) -> bool {
        self.document.add_section(section)
    }

    /// Drops all lines outside of the needed sections.
    pub fn drop_unneeded(&mut self) {
        self.document.drop_unneeded();
    }

    /// Puts a configuration text of the platform in force if it is newer and valid.
    ///
    /// `validate` must depend on the text only, so that all nodes reach the same result. A text of
    /// the revision in force is accepted if only a part of the document is held: it completes it.
    pub fn offer<F>(&mut self, revision: Revision, text: &str, validate: F) -> OfferOutcome
    where
        F: FnOnce(&str) -> Result<(), String>,
    {
        let completes = revision == self.revision() && !self.document.is_complete();
        if revision <= self.highest_seen() && !completes {
            return OfferOutcome::Outdated;
        }
        self.highest_seen = self.highest_seen().max(revision);
        if let Err(reason) = validate(text) {
            let rejection = Rejection {
                revision,
                reason: reason.chars().take(MAX_REASON_CHARS).collect(),
            };
            self.rejection = Some(rejection.clone());
            return OfferOutcome::Rejected(rejection);
        }
        OfferOutcome::Accepted(self.document.replace(revision, split_lines(text)))
    }

    /// Records that a peer rejected a revision, unless the same or a later one was seen.
    pub fn record_rejection(&mut self, rejection: &Rejection) {
        if rejection.revision > self.highest_seen() {
            self.highest_seen = rejection.revision;
            self.rejection = Some(rejection.clone());
        }
    }

    /// Applies a delta from a peer.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        self.document.apply(delta)
    }

    /// Applies the reply to a repair request. See [`Document::apply_repair`].
    pub fn apply_repair(
        &mut self,
        repair: Repair,
        request: &RepairRequest,
    ) -> (ApplyOutcome, Option<Delta>) {
        self.document.apply_repair(repair, request)
    }

    /// Returns the policy text of the lines that are held, `None` before the first revision.
    pub fn text(&self) -> Option<String> {
        if self.revision() == Revision::default() {
            return None;
        }
        let mut lines: Vec<&Line> = self.document.lines().collect();
        lines.sort_by_key(|l| (&l.key.group, l.sections.first(), l.index));
        let mut text = String::new();
        let mut group = "";
        for line in lines {
            if line.key.group != group {
                group = &line.key.group;
                text.push_str(&format!("[{group}]\n"));
            }
            text.push_str(&line.text);
            text.push('\n');
        }
        Some(text)
    }
}

/// Splits a policy text into document lines, without checking its syntax.
pub fn split_lines(text: &str) -> Vec<Line> {
    let mut group = String::new();
    let mut counts: BTreeMap<(String, Section), u32> = BTreeMap::new();
    let mut lines = Vec::new();
    for raw in text.lines() {
        let code = raw.split('#').next().unwrap_or_default().trim();
        if let Some(name) = code.strip_prefix('[') {
            group = name.trim_end_matches(']').trim().to_owned();
            continue;
        }
        let Some((name, value)) = code.split_once('=').filter(|_| !code.starts_with(';')) else {
            continue;
        };
        let section = section_of(&group, name.trim(), value);
        let count = counts.entry((group.clone(), section.clone())).or_default();
        lines.push(Line {
            key: LineKey {
                group: group.clone(),
                name: name.trim().to_owned(),
            },
            index: *count,
            sections: vec![section],
            text: raw.trim_end().to_owned(),
        });
        *count += 1;
    }
    lines
}

/// Returns the section of a policy line by its group: the service that it concerns, if any.
fn section_of(group: &str, name: &str, value: &str) -> Section {
    let mut fields = value.split_whitespace();
    let service = match group {
        "calls" => fields.nth(1),
        "services" => Some(name),
        "slo" => fields.next(),
        _ => None,
    };
    match service {
        Some(service) => Section::Service(ServiceName::new(service)),
        None => Section::Global,
    }
}
