//! The `story` command: timeline of one request, from the log lines of several nodes.

use serde_json::Map;
use serde_json::Value;

use crate::logs::REQUEST_KEY;

/// Fields of every line, which are not shown as `name=value`.
const STANDARD_FIELDS: [&str; 5] = ["time", "level", "module", "message", REQUEST_KEY];

/// Returns the log lines about the request `id` and the calls made for it, formatted and sorted by
/// time.
///
/// `lines` may come from several nodes. Lines that are not log records, or are about other requests,
/// are ignored. Text before the JSON record is expected to end with the name of the node.
pub fn timeline<'a, I>(id: &str, lines: I) -> Vec<String>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut entries: Vec<(f64, String)> = lines
        .into_iter()
        .filter_map(|line| parse_entry(id, line))
        .collect();
    entries.sort_by(|a, b| a.0.total_cmp(&b.0));
    entries.into_iter().map(|(_, text)| text).collect()
}

/// Returns the time and the formatted text of a log line, if its request id starts with `id`.
fn parse_entry(id: &str, line: &str) -> Option<(f64, String)> {
    let begin = line.find('{')?;
    let record: Map<String, Value> = serde_json::from_str(&line[begin..]).ok()?;
    let request = record.get(REQUEST_KEY)?.as_str()?;
    if !request.starts_with(id) {
        return None;
    }
    let time = record.get("time")?.as_f64()?;
    let message = record.get("message")?.as_str()?;
    let node = line[..begin].split_whitespace().last().unwrap_or_default();
    let fields: Vec<String> = record
        .iter()
        .filter(|(name, _)| !STANDARD_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", value_text(value)))
        .collect();
    Some((
        time,
        format!(
            "{time:.3} {node} {message}: {} [{request}]",
            fields.join(" ")
        ),
    ))
}

/// Returns a string without quotes, and other values as JSON.
fn value_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
