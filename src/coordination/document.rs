//! A published document as a set of lines. Each node holds only the sections that it needs.
//!
//! The configuration and the instance list are both documents. A [`Delta`] turns one revision of a
//! document into a later one; a [`Repair`] replaces the sections that differ.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::instance::DomainName;
use crate::instance::ServiceName;

/// Maximum number of lines of a document that a node holds.
pub const MAX_LINES: usize = 65_536;

/// Revision number of a published document. It increases with each publication; 0 means none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Order-independent digest of a set of lines: the wrapping sum of the digests of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Digest {
    fn add(&mut self, line: u64) {
        self.0 = self.0.wrapping_add(line);
    }

    fn remove(&mut self, line: u64) {
        self.0 = self.0.wrapping_sub(line);
    }
}

/// A part of a document that a node can hold independently of the others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Section {
    /// Lines that every node holds.
    Global,
    /// Lines that concern a service.
    Service(ServiceName),
    /// Instances of a failure domain.
    Domain(DomainName),
}

/// Key that identifies a line across revisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LineKey {
    /// Group of lines, such as a section of the policy file.
    pub group: String,
    /// Name of the line, unique in its group.
    pub name: String,
}

/// One line of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Key of the line.
    pub key: LineKey,
    /// Position among the lines of the same group and first section.
    pub index: u32,
    /// Sections that the line belongs to; never empty.
    pub sections: Vec<Section>,
    /// Text of the line.
    pub text: String,
}

impl Line {
    /// Returns the digest of the key, text and position of the line.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [&self.key.group, &self.key.name, &self.text] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(&self.index.to_le_bytes());
        hash.digest()
    }

    fn in_any(&self, sections: &BTreeSet<Section>) -> bool {
        self.sections.iter().any(|s| sections.contains(s))
    }
}

/// Addition, replacement or removal of one line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the line.
    pub key: LineKey,
    /// Digest of the replaced line, `None` if the line is added.
    pub old: Option<u64>,
    /// The new line, `None` if the line is removed.
    pub new: Option<Line>,
}

/// The changes between one revision of a document and a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Digest of the whole document before the changes.
    pub base: Digest,
    /// Revision after the changes.
    pub revision: Revision,
    /// Digest of the whole document after the changes.
    pub digest: Digest,
    /// Changed lines.
    pub changes: Vec<Change>,
}

impl Delta {
    /// Composes this delta with the one that follows it into a single delta.
    pub fn compose(self, later: Delta) -> Delta {
        let mut changes: BTreeMap<LineKey, Change> = self
            .changes
            .into_iter()
            .map(|c| (c.key.clone(), c))
            .collect();
        for change in later.changes {
            match changes.get_mut(&change.key) {
                Some(earlier) => earlier.new = change.new,
                None => {
                    changes.insert(change.key.clone(), change);
                }
            }
        }
        Delta {
            base: self.base,
            revision: later.revision,
            digest: later.digest,
            changes: changes.into_values().collect(),
        }
    }
}

/// Revision and digest that identify the content of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of all lines of that revision.
    pub digest: Digest,
}

/// Request for the sections that differ from those of the requester.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairRequest {
    /// Stamp of the requester's document.
    pub stamp: Stamp,
    /// Sections that the requester needs, each with the digest of the lines that it holds.
    pub held: Vec<(Section, Digest)>,
    /// Whether the requester needs all other sections too.
    pub all: bool,
}

/// Reply to a [`RepairRequest`] with the sections that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repair {
    /// Stamp of the requester's document when it sent the request.
    #[serde(rename = "asked")] // serialized name
    pub requester_stamp: Stamp,
    /// Stamp of the document after the repair.
    pub stamp: Stamp,
    /// Sections that the repair replaces.
    pub sections: Vec<Section>,
    /// All lines of these sections.
    pub lines: Vec<Line>,
}

/// Outcome of applying a delta or a repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The document changed.
    Applied,
    /// The delta or repair is not newer than the document.
    Outdated,
    /// The delta or repair starts from another content than the one that is held.
    BaseMismatch,
}

/// Sections that a node needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Every section.
    All,
    /// Only these sections.
    Some(BTreeSet<Section>),
}

/// The lines of a document that a node holds.
#[derive(Clone, Debug)]
pub struct Document {
    stamp: Stamp,
    lines: BTreeMap<LineKey, Line>,
    needed: BTreeSet<Section>,
    /// Needed sections that are not fetched yet.
    missing: BTreeSet<Section>,
    /// Whether all lines are held, not just those of the needed sections.
    complete: bool,
}

impl Document {
    /// Builds an empty document that will hold the sections in `needed`.
    pub fn new(needed: BTreeSet<Section>) -> Document {
        Document {
            stamp: Stamp::default(),
            lines: BTreeMap::new(),
            missing: BTreeSet::new(),
            needed,
            complete: false,
        }
    }

    /// Returns the revision and digest of the document, both 0 before the first revision.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns whether all lines of the document are held.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether a needed section still has to be fetched.
    pub fn has_missing_sections(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns whether all lines of `section` are held.
    pub fn holds(&self, section: &Section) -> bool {
        let loaded = self.stamp != Stamp::default();
        let held = self.needed.contains(section) && !self.missing.contains(section);
        loaded && (self.complete || held)
    }

    /// Returns the lines that are held.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    /// Returns the lines of `section` that are held.
    pub fn lines_of(&self, section: &Section) -> impl Iterator<Item = &Line> {
        self.lines.values().filter(|l| l.sections.contains(section))
    }

    /// Adds a section to those that are needed. Returns whether it has to be fetched.
    pub fn add_section(&mut self, section: Section) -> bool {
        let fetch = !self.holds(&section);
        if fetch && self.stamp != Stamp::default() {
            self.missing.insert(section.clone());
        }
        self.needed.insert(section);
        fetch
    }

    /// Drops all lines outside of the needed sections.
    pub fn drop_unneeded(&mut self) {
        let needed = &self.needed;
        self.lines.retain(|_, line| line.in_any(needed));
        self.complete = false;
    }

    /// Replaces the whole document by a later revision. Lines beyond [`MAX_LINES`] are dropped.
    ///
    /// Returns the delta from the previous revision, or `None` if not all of its lines were held.
    pub fn replace(&mut self, revision: Revision, lines: Vec<Line>) -> Option<Delta> {
        let was_complete = self.complete;
        let base = self.stamp.digest;
        let new: BTreeMap<LineKey, Line> = lines
            .into_iter()
            .take(MAX_LINES)
            .map(|l| (l.key.clone(), l))
            .collect();
        let changes = diff_lines(&self.lines, &new);
        self.lines = new;
        self.complete = true;
        self.missing.clear();
        self.stamp = Stamp {
            revision,
            digest: digest_of(self.lines.values()),
        };
        was_complete.then_some(Delta {
            base,
            revision,
            digest: self.stamp.digest,
            changes,
        })
    }

    /// Applies a delta, keeping only the lines of held sections.
    ///
    /// The digest is checked before any line changes, so that a delta that does not match leaves
    /// the document as it was.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        if delta.revision <= self.stamp.revision {
            return ApplyOutcome::Outdated;
        }
        if delta.base != self.stamp.digest || self.stamp == Stamp::default() {
            return ApplyOutcome::BaseMismatch;
        }
        let mut digest = self.stamp.digest;
        for change in &delta.changes {
            change.old.iter().for_each(|old| digest.remove(*old));
            change.new.iter().for_each(|l| digest.add(l.digest()));
        }
        if digest != delta.digest {
            return ApplyOutcome::BaseMismatch;
        }
        for change in &delta.changes {
            self.lines.remove(&change.key);
            let kept = |l: &&Line| self.complete || l.in_any(&self.needed);
            if let Some(line) = change.new.as_ref().filter(kept) {
                self.lines.insert(line.key.clone(), line.clone());
            }
        }
        self.stamp = Stamp {
            revision: delta.revision,
            digest,
        };
        ApplyOutcome::Applied
    }

    /// Builds the request for the sections that this document lacks or holds in another version.
    ///
    /// With `all`, every section is requested instead of the needed ones.
    pub fn repair_request(&self, all: bool) -> RepairRequest {
        let held = if all {
            let digests = section_digests(self.lines.values());
            digests.into_iter().collect()
        } else {
            let digest = |s: &Section| digest_of(self.lines_of(s));
            self.needed.iter().map(|s| (s.clone(), digest(s))).collect()
        };
        RepairRequest {
            stamp: self.stamp,
            held,
            all,
        }
    }

    /// Builds the reply to a repair request.
    ///
    /// Returns `None` if not all lines are held or the requester has a newer revision.
    pub fn build_repair(&self, request: &RepairRequest) -> Option<Repair> {
        if !self.complete || request.stamp.revision > self.stamp.revision {
            return None;
        }
        let have = section_digests(self.lines.values());
        let held: BTreeMap<&Section, Digest> = request.held.iter().map(|(s, d)| (s, *d)).collect();
        let differs = |s: &Section| held.get(s) != Some(&have.get(s).copied().unwrap_or_default());
        let more = have.keys().filter(|_| request.all);
        let sections: BTreeSet<Section> = held
            .keys()
            .copied()
            .chain(more)
            .filter(|s| differs(s))
            .cloned()
            .collect();
        let lines = self.lines.values().filter(|l| l.in_any(&sections));
        Some(Repair {
            requester_stamp: request.stamp,
            stamp: self.stamp,
            lines: lines.cloned().collect(),
            sections: sections.into_iter().collect(),
        })
    }

    /// Applies the reply to a repair request.
    ///
    /// Also returns the delta if all lines were held before and are held now.
    pub fn apply_repair(
        &mut self,
        repair: Repair,
        request: &RepairRequest,
    ) -> (ApplyOutcome, Option<Delta>) {
        let all = request.all;
        if repair.stamp.revision < self.stamp.revision {
            return (ApplyOutcome::Outdated, None);
        }
        if repair.requester_stamp != self.stamp {
            return (ApplyOutcome::BaseMismatch, None);
        }
        let before = (self.complete && all).then(|| self.lines.clone());
        let base = self.stamp.digest;
        let replaced: BTreeSet<Section> = repair.sections.into_iter().collect();
        self.lines.retain(|_, line| !line.in_any(&replaced));
        for line in repair.lines {
            self.lines.insert(line.key.clone(), line);
        }
        self.stamp = repair.stamp;
        for (section, _) in &request.held {
            self.missing.remove(section);
        }
        self.complete = all && digest_of(self.lines.values()) == self.stamp.digest;
        let before = before.filter(|_| self.complete);
        let delta = before.map(|old| Delta {
            base,
            revision: self.stamp.revision,
            digest: self.stamp.digest,
            changes: diff_lines(&old, &self.lines),
        });
        (ApplyOutcome::Applied, delta)
    }
}

/// Returns the digest of a set of lines.
fn digest_of<'a, I>(lines: I) -> Digest
where
    I: Iterator<Item = &'a Line>,
{
    let mut digest = Digest::default();
    lines.for_each(|l| digest.add(l.digest()));
    digest
}

/// Returns the digest of the lines of each section.
fn section_digests<'a, I>(lines: I) -> BTreeMap<Section, Digest>
where
    I: Iterator<Item = &'a Line>,
{
    let mut digests: BTreeMap<Section, Digest> = BTreeMap::new();
    for line in lines {
        let digest = line.digest();
        for section in &line.sections {
            digests.entry(section.clone()).or_default().add(digest);
        }
    }
    digests
}

/// Returns the changes that turn the lines `old` into `new`.
fn diff_lines(old: &BTreeMap<LineKey, Line>, new: &BTreeMap<LineKey, Line>) -> Vec<Change> {
    let removed = old.iter().filter(|(key, _)| !new.contains_key(*key));
    let removed = removed.map(|(key, line)| Change {
        key: key.clone(),
        old: Some(line.digest()),
        new: None,
    });
    let updated = new
        .iter()
        .filter(|(key, line)| old.get(*key) != Some(*line));
    let updated = updated.map(|(key, line)| Change {
        key: key.clone(),
        old: old.get(key).map(Line::digest),
        new: Some(line.clone()),
    });
    removed.chain(updated).collect()
}
