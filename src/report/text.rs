//! Renders the report as a text table for a terminal.

use std::fmt;
use std::time::Duration;

use crate::report::Report;
use crate::report::Row;
use crate::text_table::Align;
use crate::text_table::TextTable;
use crate::text_table::pluralize;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.sentence)?;
        writeln!(f)?;
        if self.rows.is_empty() {
            return writeln!(f, "No calls were counted.");
        }
        write!(f, "{}", table(&self.rows))?;
        writeln!(f)?;
        let uptime = format_duration(Duration::from_secs(self.covers_s));
        writeln!(
            f,
            "Values are burn rates: at 1, the error budget lasts exactly its 30 days. \
             {}; the oldest has counted calls for {uptime}.",
            pluralize(self.nodes, "node")
        )?;
        for unread in &self.unread {
            writeln!(f, "not read: {}: {}", unread.url, unread.reason)?;
        }
        Ok(())
    }
}

/// Formats a duration in its two largest units, such as `3 h 20 min`; under a minute in seconds.
pub fn format_duration(duration: Duration) -> String {
    let s = duration.as_secs();
    match s {
        0..60 => format!("{s} s"),
        60..3_600 => format!("{} min {} s", s / 60, s % 60),
        3_600..86_400 => format!("{} h {} min", s / 3_600, s % 3_600 / 60),
        _ => format!("{} d {} h", s / 86_400, s % 86_400 / 3_600),
    }
}

/// Formats the objective of a row, such as `99.9% in 800 ms`, or `none`.
pub fn format_objective(row: &Row) -> String {
    match (row.objective, row.latency_ms) {
        (Some(share), Some(ms)) => format!("{}% in {ms} ms", percent(share)),
        _ => "none".to_owned(),
    }
}

/// Converts a share to percent, rounded to six decimals.
fn percent(share: f64) -> f64 {
    (share * 1e8).round() / 1e6
}

/// Builds the table. All rows have the same windows.
fn table(rows: &[Row]) -> TextTable {
    let windows: Vec<String> = rows[0]
        .windows
        .iter()
        .map(|w| w.window.to_string())
        .collect();
    let mut columns = vec![
        ("service", Align::Left),
        ("priority", Align::Left),
        ("objective", Align::Left),
        ("act", Align::Left),
    ];
    columns.extend(windows.iter().map(|w| (w.as_str(), Align::Right)));
    columns.push(("calls", Align::Right));
    columns.push(("bad", Align::Right));
    let mut table = TextTable::new(&columns);
    for row in rows {
        table.row(cells(row));
    }
    table
}

/// Returns the cells of a row. Calls and bad calls are those of the longest window shown.
fn cells(row: &Row) -> Vec<String> {
    let mut cells = vec![
        row.service.to_string(),
        row.priority.to_string(),
        format_objective(row),
        row.urgency.to_string(),
    ];
    cells.extend(row.windows.iter().map(|w| match w.burn {
        Some(burn) => format!("{burn:.1}"),
        None => "-".to_owned(),
    }));
    let longest = row.windows.last().map(|w| w.counts).unwrap_or_default();
    cells.push(longest.calls.to_string());
    cells.push(longest.bad().to_string());
    cells
}
