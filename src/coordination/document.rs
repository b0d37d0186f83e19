//! A published document as a set of lines, of which a node holds the sections it needs.
//!
//! Both the configuration and the instance list are documents. A revision of a document follows
//! from an earlier one by a [`Delta`]; a [`Repair`] replaces the sections that differ.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::instance::DomainName;
use crate::instance::ServiceName;

/// Most lines of a document that are held.
pub const MAX_LINES: usize = 65_536;

/// Number of a published document, growing with each publication.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Order-free digest of a set of lines.
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

/// A part of a document that a node may hold or not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Section {
    /// Lines that every node holds.
    Global,
    /// Lines about a service.
    Service(ServiceName),
    /// Instances of a failure domain.
    Domain(DomainName),
}

/// Identifies a line across revisions.
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
    /// Identity of the line.
    pub key: LineKey,
    /// Position among the lines of the same group and first section.
    pub index: u32,
    /// Sections that the line belongs to, at least one.
    pub sections: Vec<Section>,
    /// The line itself.
    pub text: String,
}

impl Line {
    /// Returns the digest of the line.
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

/// Change of one line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The line.
    pub key: LineKey,
    /// Digest of the line before, or nothing if it is new.
    pub old: Option<u64>,
    /// The line from now on, or nothing if it is removed.
    pub new: Option<Line>,
}

/// What leads from one revision of a document to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Digest of the document that the delta applies to.
    pub base: Digest,
    /// Revision that it leads to.
    pub revision: Revision,
    /// Digest of the document that it leads to.
    pub digest: Digest,
    /// Lines that change.
    pub changes: Vec<Change>,
}

impl Delta {
    /// Joins this delta with the one that follows it.
    pub fn then(self, later: Delta) -> Delta {
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

/// Identifies the content of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of all lines of that revision.
    pub digest: Digest,
}

/// Asks for the sections that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairRequest {
    /// What the asker has.
    pub stamp: Stamp,
    /// Sections that the asker needs, with the digest of what it holds of each.
    pub held: Vec<(Section, Digest)>,
    /// Whether the asker needs all other sections too.
    pub all: bool,
}

/// The sections that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repair {
    /// What the asker had.
    pub asked: Stamp,
    /// What it has with this repair.
    pub stamp: Stamp,
    /// Sections that are replaced.
    pub sections: Vec<Section>,
    /// All lines of these sections.
    pub lines: Vec<Line>,
}

/// What became of a delta or repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The document changed.
    Done,
    /// It is not newer than the document.
    Old,
    /// It does not apply to what is held.
    Gap,
}

/// Which sections a node needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Every section.
    All,
    /// These sections.
    Some(BTreeSet<Section>),
}

/// The lines of a document that a node holds.
#[derive(Clone, Debug)]
pub struct Document {
    stamp: Stamp,
    lines: BTreeMap<LineKey, Line>,
    wanted: BTreeSet<Section>,
    missing: BTreeSet<Section>,
    complete: bool,
}

impl Document {
    /// Builds an empty document of which `wanted` is needed.
    pub fn new(wanted: BTreeSet<Section>) -> Document {
        Document {
            stamp: Stamp::default(),
            lines: BTreeMap::new(),
            missing: BTreeSet::new(),
            wanted,
            complete: false,
        }
    }

    /// Returns revision and digest.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns whether every line is held.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether a needed section is not held yet.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns whether all lines of `section` are held.
    pub fn holds(&self, section: &Section) -> bool {
        let loaded = self.stamp != Stamp::default();
        let held = self.wanted.contains(section) && !self.missing.contains(section);
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

    /// Adds a needed section. Returns whether it has to be fetched.
    pub fn want(&mut self, section: Section) -> bool {
        let fetch = !self.holds(&section);
        if fetch && self.stamp != Stamp::default() {
            self.missing.insert(section.clone());
        }
        self.wanted.insert(section);
        fetch
    }

    /// Gives up the lines that are not needed.
    pub fn drop_unwanted(&mut self) {
        let wanted = &self.wanted;
        self.lines.retain(|_, line| line.in_any(wanted));
        self.complete = false;
    }

    /// Replaces all lines by those of a later revision.
    ///
    /// Returns the delta, or nothing if the earlier lines are not all held.
    pub fn replace(&mut self, revision: Revision, lines: Vec<Line>) -> Option<Delta> {
        let was_complete = self.complete;
        let base = self.stamp.digest;
        let new: BTreeMap<LineKey, Line> = lines
            .into_iter()
            .take(MAX_LINES)
            .map(|l| (l.key.clone(), l))
            .collect();
        let changes = changes(&self.lines, &new);
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

    /// Applies a delta.
    pub fn apply(&mut self, delta: &Delta) -> Applied {
        if delta.revision <= self.stamp.revision {
            return Applied::Old;
        }
        if delta.base != self.stamp.digest || self.stamp == Stamp::default() {
            return Applied::Gap;
        }
        let mut digest = self.stamp.digest;
        for change in &delta.changes {
            change.old.iter().for_each(|old| digest.remove(*old));
            change.new.iter().for_each(|l| digest.add(l.digest()));
        }
        if digest != delta.digest {
            return Applied::Gap;
        }
        for change in &delta.changes {
            self.lines.remove(&change.key);
            let kept = |l: &&Line| self.complete || l.in_any(&self.wanted);
            if let Some(line) = change.new.as_ref().filter(kept) {
                self.lines.insert(line.key.clone(), line.clone());
            }
        }
        self.stamp = Stamp {
            revision: delta.revision,
            digest,
        };
        Applied::Done
    }

    /// Builds the request that repairs this document.
    pub fn repair_request(&self, all: bool) -> RepairRequest {
        let held = if all {
            let digests = section_digests(self.lines.values());
            digests.into_iter().collect()
        } else {
            let digest = |s: &Section| digest_of(self.lines_of(s));
            self.wanted.iter().map(|s| (s.clone(), digest(s))).collect()
        };
        RepairRequest {
            stamp: self.stamp,
            held,
            all,
        }
    }

    /// Answers a request, if every line is held and the asker has nothing newer.
    pub fn repair(&self, request: &RepairRequest) -> Option<Repair> {
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
            asked: request.stamp,
            stamp: self.stamp,
            lines: lines.cloned().collect(),
            sections: sections.into_iter().collect(),
        })
    }

    /// Applies the answer to a repair request.
    ///
    /// Returns the delta too if every line was held before and is now.
    pub fn apply_repair(
        &mut self,
        repair: Repair,
        request: &RepairRequest,
    ) -> (Applied, Option<Delta>) {
        let all = request.all;
        if repair.stamp.revision < self.stamp.revision {
            return (Applied::Old, None);
        }
        if repair.asked != self.stamp {
            return (Applied::Gap, None);
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
            changes: changes(&old, &self.lines),
        });
        (Applied::Done, delta)
    }
}

fn digest_of<'a, I>(lines: I) -> Digest
where
    I: Iterator<Item = &'a Line>,
{
    let mut digest = Digest::default();
    lines.for_each(|l| digest.add(l.digest()));
    digest
}

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

fn changes(old: &BTreeMap<LineKey, Line>, new: &BTreeMap<LineKey, Line>) -> Vec<Change> {
    let gone = old.iter().filter(|(key, _)| !new.contains_key(*key));
    let gone = gone.map(|(key, line)| Change {
        key: key.clone(),
        old: Some(line.digest()),
        new: None,
    });
    let set = new
        .iter()
        .filter(|(key, line)| old.get(*key) != Some(*line));
    let set = set.map(|(key, line)| Change {
        key: key.clone(),
        old: old.get(key).map(Line::digest),
        new: Some(line.clone()),
    });
    gone.chain(set).collect()
}
