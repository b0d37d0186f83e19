//! Text summary of the state of a fleet, as printed by `dragonflylead status`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::instance::ServiceName;
use crate::status::LevelStatus;
use crate::status::Status;
use crate::status_client::FetchedStatuses;
use crate::text_table::Align;
use crate::text_table::TextTable;
use crate::text_table::pluralize;

/// Maximum number of node names in one line.
const MAX_NAMES: usize = 8;

/// Seconds without confirmation after which a configuration is reported as stale.
const STALE_CONFIG_S: u64 = 60;

/// Displays a summary of the nodes whose status was fetched, and of those that did not answer.
#[derive(Clone, Copy, Debug)]
pub struct FleetSummary<'a>(pub &'a FetchedStatuses);

impl fmt::Display for FleetSummary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nodes = &self.0.nodes;
        let domains: BTreeSet<_> = nodes.iter().map(|n| &n.domain).collect();
        let counted = pluralize(nodes.len(), "node");
        write!(
            f,
            "{counted} in {}",
            pluralize(domains.len(), "failure domain")
        )?;
        match self.0.unread.len() {
            0 => writeln!(f, "; all answered")?,
            n => writeln!(f, "; {n} did not answer")?,
        }
        self.write_revisions(f)?;
        for condition in CONDITIONS {
            let matching = nodes.iter().filter(|n| (condition.applies)(n));
            write_condition(f, condition.title, matching)?;
        }
        for unread in &self.0.unread {
            writeln!(f, "not read: {}: {}", unread.url, unread.reason)?;
        }
        writeln!(f)?;
        write!(f, "{}", services_table(nodes))
    }
}

/// A condition that is reported with the names of the nodes to which it applies.
struct NodeCondition {
    title: &'static str,
    applies: fn(&Status) -> bool,
}

const CONDITIONS: [NodeCondition; 7] = [
    NodeCondition {
        title: "draining",
        applies: |n| n.draining,
    },
    NodeCondition {
        title: "not ready",
        applies: |n| !n.ready,
    },
    NodeCondition {
        title: "newer revision rejected",
        applies: |n| n.config.rejected.is_some(),
    },
    NodeCondition {
        title: "configuration not confirmed for a minute",
        applies: |n| n.config.age_s >= STALE_CONFIG_S,
    },
    NodeCondition {
        title: "shedding",
        applies: |n| n.admission.level.sheds(),
    },
    NodeCondition {
        title: "quarantined requests",
        applies: |n| n.poison.quarantined > 0,
    },
    NodeCondition {
        title: "ejecting instances",
        applies: |n| n.services.iter().any(|s| s.ejected > 0),
    },
];

impl FleetSummary<'_> {
    /// Writes the configuration revisions in force, and which nodes are not on the newest.
    fn write_revisions(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut by_revision: BTreeMap<u64, Vec<&Status>> = BTreeMap::new();
        for node in &self.0.nodes {
            by_revision
                .entry(node.config.revision)
                .or_default()
                .push(node);
        }
        let newest = by_revision.keys().next_back().copied();
        for (revision, nodes) in by_revision.iter().rev() {
            write!(f, "revision {revision}: {}", pluralize(nodes.len(), "node"))?;
            match Some(*revision) == newest {
                true => writeln!(f)?,
                false => writeln!(f, ": {}", node_names(nodes.iter().copied()))?,
            }
        }
        Ok(())
    }
}

/// Writes a line with the nodes that match a condition, nothing if there are none.
fn write_condition<'a, I>(f: &mut fmt::Formatter<'_>, title: &str, nodes: I) -> fmt::Result
where
    I: Iterator<Item = &'a Status>,
{
    let nodes: Vec<&Status> = nodes.collect();
    if nodes.is_empty() {
        return Ok(());
    }
    let list = node_names(nodes.iter().copied());
    writeln!(f, "{title}: {}: {list}", pluralize(nodes.len(), "node"))
}

/// Returns the names of the first [`MAX_NAMES`] nodes and the number of the others.
fn node_names<'a, I>(nodes: I) -> String
where
    I: ExactSizeIterator<Item = &'a Status>,
{
    let more = nodes.len().saturating_sub(MAX_NAMES);
    let mut names: Vec<String> = nodes
        .take(MAX_NAMES)
        .map(|node| node.instance.to_string())
        .collect();
    if more > 0 {
        names.push(format!("and {more} more"));
    }
    names.join(", ")
}

/// Builds a table with the sums of all nodes of each service.
fn services_table(nodes: &[Status]) -> TextTable {
    let mut table = TextTable::new(&[
        ("service", Align::Left),
        ("nodes", Align::Right),
        ("draining", Align::Right),
        ("limit", Align::Right),
        ("running", Align::Right),
        ("queued", Align::Right),
        ("strictest level", Align::Left),
        ("quarantined", Align::Right),
        ("tokens", Align::Right),
    ]);
    let mut by_service: BTreeMap<&ServiceName, Vec<&Status>> = BTreeMap::new();
    for node in nodes {
        by_service.entry(&node.service).or_default().push(node);
    }
    for (service, nodes) in by_service {
        let sum = |pick: fn(&Status) -> u64| -> String {
            nodes.iter().map(|n| pick(n)).sum::<u64>().to_string()
        };
        let levels = nodes.iter().map(|n| n.admission.level);
        let strictest = levels.min_by_key(LevelStatus::rank);
        table.row(vec![
            service.to_string(),
            nodes.len().to_string(),
            sum(|n| n.draining.into()),
            sum(|n| n.admission.limit.into()),
            sum(|n| n.admission.in_flight.into()),
            sum(|n| n.admission.queued.into()),
            strictest.map_or_else(String::new, level_text),
            sum(|n| n.poison.quarantined),
            sum(|n| n.tokens),
        ]);
    }
    table
}

/// Returns a level as text, `open` if nothing is shed.
fn level_text(level: LevelStatus) -> String {
    match level.sheds() {
        true => level.to_string(),
        false => "open".to_owned(),
    }
}
