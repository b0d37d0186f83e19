//! Renders the report as a self-contained HTML page: no scripts and no external resources.

use std::fmt::Write as _;
use std::time::Duration;

use crate::report::Report;
use crate::report::Row;
use crate::report::Urgency;
use crate::report::burn;
use crate::report::text;
use crate::state::history::Counts;
use crate::text_table::pluralize;

/// Width of the plotted area, in pixels.
const PLOT_WIDTH: f64 = 360.0;

/// Height of the plotted area, in pixels.
const PLOT_HEIGHT: f64 = 80.0;

/// Space below and to the left of the plotted area for labels, in pixels.
const MARGIN: f64 = 34.0;

/// Maximum burn rate that a plot shows; higher values are clipped to it.
const MAX_PLOTTED_RATE: f64 = 100.0;

/// Burn rates marked by a dashed line: exactly what the objective allows, and the highest one that
/// calls for action now.
const MARKED_RATES: [f64; 2] = [1.0, 14.4];

/// Factor between a marked burn rate and the top of the plot that leaves room for the label.
const LABEL_HEADROOM: f64 = 1.5;

/// Style sheet of the page.
const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:72em;\
    padding:0 1em;color:#1c2430}h1{font-size:1.3em}table{border-collapse:collapse;width:100%}\
    th,td{padding:.35em .6em;text-align:right;border-bottom:1px solid #dde2e8;\
    font-variant-numeric:tabular-nums}th:nth-child(-n+4),td:nth-child(-n+4){text-align:left}\
    .sentence{font-size:1.15em;padding:.7em 1em;border-left:.4em solid;background:#f5f7f9}\
    .now{border-color:#b3261e}.soon{border-color:#b26a00}.none{border-color:#2e7d32}\
    td.now{color:#b3261e;font-weight:600}td.soon{color:#b26a00;font-weight:600}\
    .plots{display:flex;flex-wrap:wrap;gap:1em 2em}figure{margin:0}\
    figcaption{font-size:.9em;margin-bottom:.2em}svg text{font-size:10px;fill:#5a6573}\
    .note{color:#5a6573;font-size:.9em}";

/// Returns the report as an HTML page.
pub fn render(report: &Report) -> String {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Error budget burn</title><style>{STYLE}</style></head>\n<body>\n\
         <h1>Error budget burn</h1>\n<p class=\"sentence {}\">{}</p>\n",
        report.urgency,
        escape(&report.sentence)
    );
    write_table(&mut page, &report.rows);
    page.push_str("<h2>Last hour</h2>\n<div class=\"plots\">\n");
    for row in &report.rows {
        write_plot(&mut page, row);
    }
    page.push_str("</div>\n");
    write_notes(&mut page, report);
    page.push_str("</body></html>\n");
    page
}

/// Writes the table of burn rates, one row for each service and priority.
fn write_table(page: &mut String, rows: &[Row]) {
    let Some(first) = rows.first() else {
        page.push_str("<p>No calls were counted.</p>\n");
        return;
    };
    page.push_str(
        "<table><thead><tr><th>service</th><th>priority</th><th>objective</th><th>act</th>",
    );
    for w in &first.windows {
        let _ = write!(page, "<th>{}</th>", w.window);
    }
    page.push_str("<th>calls</th><th>bad</th></tr></thead>\n<tbody>\n");
    for row in rows {
        write_table_row(page, row);
    }
    page.push_str("</tbody></table>\n");
}

fn write_table_row(page: &mut String, row: &Row) {
    let urgency = row.urgency;
    let _ = write!(
        page,
        "<tr><td>{}</td><td>{}</td><td>{}</td><td class=\"{urgency}\">{urgency}</td>",
        escape(row.service.as_str()),
        row.priority,
        text::format_objective(row),
    );
    for w in &row.windows {
        let _ = match w.burn {
            Some(burn) => write!(page, "<td class=\"{}\">{burn:.1}</td>", urgency_of(burn)),
            None => write!(page, "<td>-</td>"),
        };
    }
    let longest = row.windows.last().map(|w| w.counts).unwrap_or_default();
    let _ = writeln!(
        page,
        "<td>{}</td><td>{}</td></tr>",
        longest.calls,
        longest.bad()
    );
}

/// Returns the urgency of the first rule whose rate is reached, which selects the colour of a cell.
fn urgency_of(burn: f64) -> Urgency {
    let rule = burn::BURN_RATE_RULES.iter().find(|rule| burn >= rule.rate);
    rule.map_or(Urgency::None, |rule| rule.urgency)
}

/// Draws the calls of each minute as bars and their burn rate as a line. Without an objective the
/// line shows the share of bad calls.
fn write_plot(page: &mut String, row: &Row) {
    let allowed = row.objective.map_or(1.0, |objective| 1.0 - objective);
    let line_label = match row.objective {
        Some(_) => "burn rate",
        None => "share of bad calls",
    };
    let _ = write!(
        page,
        "<figure><figcaption>{} {}: {line_label} (line), calls per minute (bars)</figcaption>\
         <svg width=\"{}\" height=\"{}\" role=\"img\">",
        escape(row.service.as_str()),
        row.priority,
        PLOT_WIDTH + MARGIN,
        PLOT_HEIGHT + MARGIN,
    );
    write_bars(page, &row.minutes);
    let rates = row.minutes.iter().map(|c| bad_share(c) / allowed.max(1e-6));
    let rates: Vec<f64> = rates.map(|rate| rate.min(MAX_PLOTTED_RATE)).collect();
    let top = scale_maximum(&rates);
    let marked = MARKED_RATES.iter().filter(|rate| **rate <= top);
    for rate in marked.filter(|_| row.objective.is_some()) {
        write_marked_rate(page, *rate, top);
    }
    write_line(page, &rates, top);
    write_axis(page, top);
    page.push_str("</svg></figure>\n");
}

/// Draws the calls of each minute, scaled to the busiest one.
fn write_bars(page: &mut String, minutes: &[Counts]) {
    let max_calls = minutes.iter().map(|c| c.calls).max().unwrap_or(0).max(1) as f64;
    let width = PLOT_WIDTH / minutes.len().max(1) as f64;
    for (i, counts) in minutes.iter().enumerate() {
        let height = counts.calls as f64 / max_calls * PLOT_HEIGHT;
        let _ = write!(
            page,
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"#d6e2ee\"/>",
            MARGIN + i as f64 * width,
            PLOT_HEIGHT - height,
            width * 0.8,
        );
    }
}

/// Draws values as a line, each at the middle of its bar.
fn write_line(page: &mut String, values: &[f64], top: f64) {
    let step = PLOT_WIDTH / values.len().max(1) as f64;
    let points: Vec<String> = values
        .iter()
        .enumerate()
        .map(|(i, value)| {
            let x = MARGIN + (i as f64 + 0.4) * step;
            format!("{x:.1},{:.1}", y_position(*value, top))
        })
        .collect();
    let _ = write!(
        page,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"#b3261e\" stroke-width=\"1.5\"/>",
        points.join(" ")
    );
}

/// Returns the value at the upper edge of a plot: 10% above the maximum, and high enough that the
/// label of a marked burn rate does not touch the label of the edge.
fn scale_maximum(rates: &[f64]) -> f64 {
    let top = rates.iter().copied().fold(0.0, f64::max) * 1.1;
    let near = MARKED_RATES
        .iter()
        .find(|rate| top < **rate * LABEL_HEADROOM && top > **rate / 2.0);
    near.map_or(top, |rate| rate * LABEL_HEADROOM)
        .max(MARKED_RATES[0] * LABEL_HEADROOM)
}

/// Draws a dashed horizontal line with its burn rate as the label.
fn write_marked_rate(page: &mut String, value: f64, top: f64) {
    let y = y_position(value, top);
    let _ = write!(
        page,
        "<line x1=\"{MARGIN}\" x2=\"{}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#5a6573\" \
         stroke-dasharray=\"3 3\"/><text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{value}</text>",
        MARGIN + PLOT_WIDTH,
        MARGIN - 4.0,
        y + 3.0,
    );
}

/// Draws the time axis, its labels and the value at the upper edge.
fn write_axis(page: &mut String, top: f64) {
    let right = MARGIN + PLOT_WIDTH;
    let below = PLOT_HEIGHT + 14.0;
    let _ = write!(
        page,
        "<line x1=\"{MARGIN}\" x2=\"{right}\" y1=\"{PLOT_HEIGHT}\" y2=\"{PLOT_HEIGHT}\" \
         stroke=\"#5a6573\"/><text x=\"{MARGIN}\" y=\"{below}\">60 min ago</text>\
         <text x=\"{right}\" y=\"{below}\" text-anchor=\"end\">now</text>\
         <text x=\"{}\" y=\"9\" text-anchor=\"end\">{top:.1}</text>",
        MARGIN - 4.0,
    );
}

/// Returns the y coordinate of a value, in pixels from the upper edge.
fn y_position(value: f64, top: f64) -> f64 {
    PLOT_HEIGHT * (1.0 - value / top)
}

/// Returns the share of bad calls, 0 without calls.
fn bad_share(counts: &Counts) -> f64 {
    counts.bad() as f64 / counts.calls.max(1) as f64
}

/// Explains the values, the number of nodes and the time covered, and lists the nodes not read.
fn write_notes(page: &mut String, report: &Report) {
    let uptime = text::format_duration(Duration::from_secs(report.covers_s));
    let _ = writeln!(
        page,
        "<p class=\"note\">Values are burn rates: at 1, the error budget lasts exactly its 30 \
         days. {}; the oldest has counted calls for {uptime}.</p>",
        pluralize(report.nodes, "node")
    );
    for unread in &report.unread {
        let _ = writeln!(
            page,
            "<p class=\"note\">not read: {}: {}</p>",
            escape(&unread.url),
            escape(&unread.reason)
        );
    }
}

/// Escapes text for HTML elements and attributes.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
