//! The configuration: its revision only grows, and a rejected revision leaves the last accepted one
//! in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::document::Applied;
use crate::coordination::document::Delta;
use crate::coordination::document::Document;
use crate::coordination::document::Line;
use crate::coordination::document::LineKey;
use crate::coordination::document::Repair;
use crate::coordination::document::RepairRequest;
use crate::coordination::document::Revision;
use crate::coordination::document::Section;
use crate::instance::ServiceName;

/// Longest reason of a rejection that is kept, in characters.
pub const MAX_REASON_CHARS: usize = 256;

/// A revision that was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The revision.
    pub revision: Revision,
    /// Why it was rejected.
    pub reason: String,
}

/// What became of a published text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force. The delta is known if the earlier revision was wholly held.
    Accepted(Option<Delta>),
    /// It was rejected; the last accepted revision stays in force.
    Rejected(Rejection),
    /// A revision as high was seen before.
    Outdated,
}

/// The configuration that a node holds.
#[derive(Clone, Debug)]
pub struct ConfigState {
    document: Document,
    seen: Revision,
    rejection: Option<Rejection>,
}

impl ConfigState {
    /// Builds a state without a configuration, of which `wanted` will be held.
    pub fn new(wanted: BTreeSet<Section>) -> ConfigState {
        ConfigState {
            document: Document::new(wanted),
            seen: Revision::default(),
            rejection: None,
        }
    }

    /// Returns the lines in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.document.stamp().revision
    }

    /// Returns the highest revision seen, in force or rejected.
    pub fn highest_seen(&self) -> Revision {
        self.seen.max(self.revision())
    }

    /// Returns the rejection of the highest revision seen, if it was rejected.
    pub fn rejection(&self) -> Option<&Rejection> {
        self.rejection
            .as_ref()
            .filter(|r| r.revision > self.revision())
    }

    /// Adds a needed section. Returns whether it has to be fetched.
    pub fn want(&mut self, section: Section) -> bool {
        self.document.want(section)
    }

    /// Gives up the lines that are not needed.
    pub fn drop_unwanted(&mut self) {
        self.document.drop_unwanted();
    }

    /// Takes a whole text that the platform published.
    ///
    /// `accept` decides by the text alone, so that every node decides alike. The text of the
    /// revision in force completes a document of which only a part is held.
    pub fn offer<F>(&mut self, revision: Revision, text: &str, accept: F) -> OfferOutcome
    where
        F: FnOnce(&str) -> Result<(), String>,
    {
        let completes = revision == self.revision() && !self.document.is_complete();
        if revision <= self.highest_seen() && !completes {
            return OfferOutcome::Outdated;
        }
        self.seen = self.highest_seen().max(revision);
        if let Err(reason) = accept(text) {
            let rejection = Rejection {
                revision,
                reason: reason.chars().take(MAX_REASON_CHARS).collect(),
            };
            self.rejection = Some(rejection.clone());
            return OfferOutcome::Rejected(rejection);
        }
        OfferOutcome::Accepted(self.document.replace(revision, split(text)))
    }

    /// Takes over what a peer reports of a rejected revision.
    pub fn note_rejection(&mut self, rejection: &Rejection) {
        if rejection.revision > self.highest_seen() {
            self.seen = rejection.revision;
            self.rejection = Some(rejection.clone());
        }
    }

    /// Applies a delta from a peer.
    pub fn apply(&mut self, delta: &Delta) -> Applied {
        self.document.apply(delta)
    }

    /// Applies the answer to a repair request.
    pub fn apply_repair(
        &mut self,
        repair: Repair,
        request: &RepairRequest,
    ) -> (Applied, Option<Delta>) {
        self.document.apply_repair(repair, request)
    }

    /// Returns the text of the lines that are held, or nothing before the first revision.
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

/// Splits a policy text into its lines.
pub fn split(text: &str) -> Vec<Line> {
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
