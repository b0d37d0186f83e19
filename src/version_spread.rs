//! The `versions` command: how long the nodes of a fleet went without each configuration, from their
//! log lines.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::text_table::Align;
use crate::text_table::TextTable;

/// Message of the line that a node logs when it puts a configuration into force.
const MESSAGE: &str = "configuration in force";

/// A configuration that a running node put into force.
#[derive(Clone, Debug, PartialEq)]
struct Applied {
    /// Time in seconds, by one clock if the lines have one before their records.
    time: f64,
    node: String,
    source: String,
}

/// When the nodes put one version of the configuration into force.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSpread {
    /// The version.
    pub version: u64,
    /// Number of nodes that put it into force while they ran.
    pub nodes: usize,
    /// Time between the first and the last of them, in milliseconds.
    pub spread_ms: u64,
    /// The last node.
    pub last: String,
    /// Where the last node got the configuration from.
    pub source: String,
}

/// Returns the spread of each version in the log lines of several nodes, by version.
///
/// The time and the node are those before the JSON record, if there are any, such as in
/// `12.5 node-b-1 {..}`; otherwise the record's own time is taken, which depends on the clock of its
/// node. Lines that are not about a configuration, and those of nodes that had none before, which
/// have just started, are ignored.
pub fn spreads<'a, I>(lines: I) -> Vec<VersionSpread>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut versions: BTreeMap<u64, Vec<Applied>> = BTreeMap::new();
    for (version, applied) in lines.into_iter().filter_map(parse_line) {
        versions.entry(version).or_default().push(applied);
    }
    let spreads = versions.into_iter().filter_map(|(version, mut applied)| {
        applied.sort_by(|a, b| a.time.total_cmp(&b.time));
        let (first, last) = (applied.first()?, applied.last()?);
        Some(VersionSpread {
            version,
            nodes: applied.len(),
            spread_ms: ((last.time - first.time) * 1_000.0).round() as u64,
            last: last.node.clone(),
            source: last.source.clone(),
        })
    });
    spreads.collect()
}

/// Returns the spreads as a table.
pub fn table(spreads: &[VersionSpread]) -> TextTable {
    let mut table = TextTable::new(&[
        ("version", Align::Right),
        ("nodes", Align::Right),
        ("first to last, ms", Align::Right),
        ("last node", Align::Left),
        ("source", Align::Left),
    ]);
    for spread in spreads {
        table.row(vec![
            spread.version.to_string(),
            spread.nodes.to_string(),
            spread.spread_ms.to_string(),
            spread.last.clone(),
            spread.source.clone(),
        ]);
    }
    table
}

fn parse_line(line: &str) -> Option<(u64, Applied)> {
    let begin = line.find('{')?;
    if !line.contains(MESSAGE) {
        return None;
    }
    let record: Value = serde_json::from_str(&line[begin..]).ok()?;
    let has_message = record.get("message")?.as_str()? == MESSAGE;
    let was_running = record.get("before")?.as_u64()? > 0;
    if !has_message || !was_running {
        return None;
    }
    let words: Vec<&str> = line[..begin].split_whitespace().collect();
    let time = words.first().and_then(|word| word.parse().ok());
    let applied = Applied {
        time: time.or_else(|| record.get("time")?.as_f64())?,
        node: words.last().copied().unwrap_or_default().to_owned(),
        source: record
            .get("source")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
    };
    Some((record.get("version")?.as_u64()?, applied))
}
