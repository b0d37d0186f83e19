//! The report as a table for a terminal.

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
            return writeln!(f, "No call was counted.");
        }
        write!(f, "{}", table(&self.rows))?;
        writeln!(f)?;
        let covers = span(Duration::from_secs(self.covers_s));
        writeln!(
            f,
            "Numbers are rates of burn: at 1 the error budget lasts just its 30 days. \
             {}; the oldest has counted for {covers}.",
            pluralize(self.nodes, "node")
        )?;
        for unread in &self.unread {
            writeln!(f, "not read: {}: {}", unread.url, unread.reason)?;
        }
        Ok(())
    }
}

/// Returns a span in its two largest units.
pub fn span(span: Duration) -> String {
    let s = span.as_secs();
    match s {
        0..60 => format!("{s} s"),
        60..3_600 => format!("{} min {} s", s / 60, s % 60),
        3_600..86_400 => format!("{} h {} min", s / 3_600, s % 3_600 / 60),
        _ => format!("{} d {} h", s / 86_400, s % 86_400 / 3_600),
    }
}

/// Returns an objective in words.
pub fn objective(row: &Row) -> String {
    match (row.objective, row.latency_ms) {
        (Some(share), Some(ms)) => format!("{}% in {ms} ms", percent(share)),
        _ => "none".to_owned(),
    }
}

fn percent(share: f64) -> f64 {
    (share * 1e8).round() / 1e6
}

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

fn cells(row: &Row) -> Vec<String> {
    let mut cells = vec![
        row.service.to_string(),
        row.priority.to_string(),
        objective(row),
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
