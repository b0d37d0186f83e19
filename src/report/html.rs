//! The report as one HTML page that needs nothing else.

use std::fmt::Write as _;
use std::time::Duration;

use crate::report::Report;
use crate::report::Row;
use crate::report::Urgency;
use crate::report::burn;
use crate::report::text;
use crate::state::history::Counts;
use crate::text_table::pluralize;

const PLOT_WIDTH: f64 = 360.0;
const PLOT_HEIGHT: f64 = 80.0;

/// Space below and left of a plot, for its labels.
const MARGIN: f64 = 34.0;

/// Highest rate of burn that a plot shows.
const TOP_RATE: f64 = 100.0;

/// Rates of burn that a plot marks: what the objective allows, and the one to act on now.
const BURN_LINES: [f64; 2] = [1.0, 14.4];

/// Factor above a marked rate that leaves room for its label.
const LABEL_ROOM: f64 = 1.5;

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

/// Writes the report as a page.
pub fn render(report: &Report) -> String {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n<body>\n\
         <h1>Service-level burn</h1>\n<p class=\"sentence {}\">{}</p>\n",
        report.urgency,
        escape(&report.sentence)
    );
    table(&mut page, &report.rows);
    page.push_str("<h2>Last hour</h2>\n<div class=\"plots\">\n");
    for row in &report.rows {
        plot(&mut page, row);
    }
    page.push_str("</div>\n");
    notes(&mut page, report);
    page.push_str("</body></html>\n");
    page
}

fn table(page: &mut String, rows: &[Row]) {
    let Some(first) = rows.first() else {
        page.push_str("<p>No call was counted.</p>\n");
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
        table_row(page, row);
    }
    page.push_str("</tbody></table>\n");
}

fn table_row(page: &mut String, row: &Row) {
    let urgency = row.urgency;
    let _ = write!(
        page,
        "<tr><td>{}</td><td>{}</td><td>{}</td><td class=\"{urgency}\">{urgency}</td>",
        escape(row.service.as_str()),
        row.priority,
        text::objective(row),
    );
    for w in &row.windows {
        let _ = match w.burn {
            Some(burn) => write!(page, "<td class=\"{}\">{burn:.1}</td>", colour(burn)),
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

fn colour(burn: f64) -> Urgency {
    let met = burn::BURN_RULES.iter().find(|rule| burn >= rule.rate);
    met.map_or(Urgency::None, |rule| rule.urgency)
}

/// Draws calls by minute as bars and the rate of burn, or the share of bad calls, as a line.
fn plot(page: &mut String, row: &Row) {
    let allowed = row.objective.map_or(1.0, |objective| 1.0 - objective);
    let what = match row.objective {
        Some(_) => "rate of burn",
        None => "share of bad calls",
    };
    let _ = write!(
        page,
        "<figure><figcaption>{} {}: {what} (line), calls a minute (bars)</figcaption>\
         <svg width=\"{}\" height=\"{}\" role=\"img\">",
        escape(row.service.as_str()),
        row.priority,
        PLOT_WIDTH + MARGIN,
        PLOT_HEIGHT + MARGIN,
    );
    bars(page, &row.minutes);
    let rates = row.minutes.iter().map(|c| share_bad(c) / allowed.max(1e-6));
    let rates: Vec<f64> = rates.map(|rate| rate.min(TOP_RATE)).collect();
    let top = top_of(&rates);
    let lines = BURN_LINES.iter().filter(|line| **line <= top);
    for rate in lines.filter(|_| row.objective.is_some()) {
        level_line(page, *rate, top);
    }
    line(page, &rates, top);
    axis(page, top);
    page.push_str("</svg></figure>\n");
}

fn bars(page: &mut String, minutes: &[Counts]) {
    let most = minutes.iter().map(|c| c.calls).max().unwrap_or(0).max(1) as f64;
    let width = PLOT_WIDTH / minutes.len().max(1) as f64;
    for (i, counts) in minutes.iter().enumerate() {
        let height = counts.calls as f64 / most * PLOT_HEIGHT;
        let _ = write!(
            page,
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"#d6e2ee\"/>",
            MARGIN + i as f64 * width,
            PLOT_HEIGHT - height,
            width * 0.8,
        );
    }
}

fn line(page: &mut String, values: &[f64], top: f64) {
    let step = PLOT_WIDTH / values.len().max(1) as f64;
    let points: Vec<String> = values
        .iter()
        .enumerate()
        .map(|(i, value)| {
            let x = MARGIN + (i as f64 + 0.4) * step;
            format!("{x:.1},{:.1}", height(*value, top))
        })
        .collect();
    let _ = write!(
        page,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"#b3261e\" stroke-width=\"1.5\"/>",
        points.join(" ")
    );
}

/// Returns the value at the upper edge, with room for the labels of the lines below it.
fn top_of(rates: &[f64]) -> f64 {
    let top = rates.iter().copied().fold(0.0, f64::max) * 1.1;
    let crowded = BURN_LINES
        .iter()
        .find(|line| top < **line * LABEL_ROOM && top > **line / 2.0);
    crowded
        .map_or(top, |line| line * LABEL_ROOM)
        .max(BURN_LINES[0] * LABEL_ROOM)
}

fn level_line(page: &mut String, value: f64, top: f64) {
    let y = height(value, top);
    let _ = write!(
        page,
        "<line x1=\"{MARGIN}\" x2=\"{}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#5a6573\" \
         stroke-dasharray=\"3 3\"/><text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{value}</text>",
        MARGIN + PLOT_WIDTH,
        MARGIN - 4.0,
        y + 3.0,
    );
}

fn axis(page: &mut String, top: f64) {
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

fn height(value: f64, top: f64) -> f64 {
    PLOT_HEIGHT * (1.0 - value / top)
}

fn share_bad(counts: &Counts) -> f64 {
    counts.bad() as f64 / counts.calls.max(1) as f64
}

fn notes(page: &mut String, report: &Report) {
    let covers = text::span(Duration::from_secs(report.covers_s));
    let _ = writeln!(
        page,
        "<p class=\"note\">Numbers are rates of burn: at 1 the error budget lasts just its 30 \
         days. {}; the oldest has counted for {covers}.</p>",
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

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
