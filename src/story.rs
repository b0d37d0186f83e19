//! The story of one request, from the log lines of several nodes.

use serde_json::Map;
use serde_json::Value;

use crate::logs::REQUEST_KEY;

/// Fields that every line has, which are shown apart from the others.
const FIXED: [&str; 5] = ["time", "level", "module", "message", REQUEST_KEY];

/// Returns the lines about the request `id`, and about the calls made for it, in order of time.
/// `lines` may come from any number of nodes and hold anything else beside.
pub fn timeline<'a, I>(id: &str, lines: I) -> Vec<String>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut told: Vec<(f64, String)> = lines
        .into_iter()
        .filter_map(|line| about(id, line))
        .collect();
    told.sort_by(|a, b| a.0.total_cmp(&b.0));
    told.into_iter().map(|(_, text)| text).collect()
}

/// Returns time and text of a line, if it is about the request.
fn about(id: &str, line: &str) -> Option<(f64, String)> {
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
        .filter(|(name, _)| !FIXED.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    Some((
        time,
        format!(
            "{time:.3} {node} {message}: {} [{request}]",
            fields.join(" ")
        ),
    ))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
