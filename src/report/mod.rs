//! Report on how fast services spend their error budgets, built from the status of the nodes.

pub mod burn;
pub mod html;
pub mod text;

use std::collections::BTreeMap;

use serde::Serialize;
use strum::IntoEnumIterator;

use crate::call::Priority;
use crate::instance::ServiceName;
use crate::state::history::Counts;
use crate::state::history::MINUTE_BUCKETS;
use crate::state::history::Window;
use crate::state::history::WindowCounts;
use crate::status::Objective;
use crate::status::Status;
use crate::status_client::FetchedStatuses;
use crate::status_client::UnreadNode;

pub use burn::BurnRateRule;
pub use burn::Urgency;

/// Maximum number of rows that the summary sentence lists.
const MAX_LISTED_ROWS: usize = 3;

/// Version of the JSON format of the report.
pub const REPORT_VERSION: u32 = 1;

/// Calls and burn rate in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Time window.
    pub window: Window,
    /// Calls that ended in the window.
    pub counts: Counts,
    /// Burn rate, where 1 spends exactly the budget that the objective allows; `None` without an
    /// objective.
    pub burn: Option<f64>,
}

/// Burn rates of the calls of one service at one priority.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Called service.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Share of calls that must be good, from 0 to 1; `None` without an objective.
    pub objective: Option<f64>,
    /// Maximum duration of a good call, in milliseconds; `None` without an objective.
    pub latency_ms: Option<u64>,
    /// Urgency of the rule that fires, if any.
    pub urgency: Urgency,
    /// Long and short window of the rule that fires.
    pub alarm_windows: Option<(Window, Window)>,
    /// Burn rate of each window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Calls that ended in each of the last 60 minutes, oldest first.
    pub minutes: Vec<Counts>,
}

/// Report on the error budgets of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Version of the JSON format, [`REPORT_VERSION`].
    pub version: u32,
    /// Summary in words: whether an operator has to act, and which services need it.
    pub sentence: String,
    /// Highest urgency of all rows.
    pub urgency: Urgency,
    /// Number of nodes whose status was read.
    pub nodes: usize,
    /// Nodes whose status could not be read.
    pub unread: Vec<UnreadNode>,
    /// Uptime of the longest running node, in seconds.
    pub covers_s: u64,
    /// Rows, sorted by service and priority.
    pub rows: Vec<Row>,
}

impl Report {
    /// Builds the report from the status of the nodes, and notes those that could not be read.
    pub fn new(fetched: &FetchedStatuses) -> Report {
        let objectives = objectives(&fetched.nodes);
        let rows: Vec<Row> = totals_by_row(&fetched.nodes)
            .into_iter()
            .map(|((service, priority), totals)| {
                let objective = objectives.get(&(service, priority)).copied();
                build_row(service, priority, objective, totals)
            })
            .collect();
        let urgency = rows.iter().map(|r| r.urgency).max();
        let urgency = urgency.unwrap_or(Urgency::None);
        Report {
            version: REPORT_VERSION,
            sentence: sentence(&rows, urgency, fetched),
            urgency,
            nodes: fetched.nodes.len(),
            unread: fetched.unread.clone(),
            covers_s: fetched.nodes.iter().map(|n| n.uptime_s).max().unwrap_or(0),
            rows,
        }
    }

    /// Removes all windows but `windows` from the rows. Urgencies and the sentence still follow
    /// from all windows.
    pub fn restricted_to(mut self, windows: &[Window]) -> Report {
        for row in &mut self.rows {
            row.windows.retain(|w| windows.contains(&w.window));
        }
        self
    }
}

/// Key of a row.
type RowKey<'a> = (&'a ServiceName, Priority);

/// Calls of one service and priority, summed over the nodes.
#[derive(Clone, Debug)]
struct Totals {
    windows: BTreeMap<Window, Counts>,
    minutes: Vec<Counts>,
}

impl Default for Totals {
    fn default() -> Totals {
        Totals {
            windows: Window::iter().map(|w| (w, Counts::default())).collect(),
            minutes: vec![Counts::default(); MINUTE_BUCKETS],
        }
    }
}

/// Sums the history of all nodes by service and priority. Minutes are aligned at the newest one.
fn totals_by_row(nodes: &[Status]) -> BTreeMap<RowKey<'_>, Totals> {
    let mut totals_by_row: BTreeMap<RowKey<'_>, Totals> = BTreeMap::new();
    for series in nodes.iter().flat_map(|n| &n.history) {
        let totals = totals_by_row
            .entry((&series.service, series.priority))
            .or_default();
        for w in &series.windows {
            totals.windows.entry(w.window).or_default().add(&w.counts);
        }
        let newest_first = totals.minutes.iter_mut().rev();
        for (minute, counts) in newest_first.zip(series.minutes.iter().rev()) {
            minute.add(counts);
        }
    }
    totals_by_row
}

/// Returns the objective of each row. Where nodes differ, the newest configuration revision wins.
fn objectives(nodes: &[Status]) -> BTreeMap<RowKey<'_>, &Objective> {
    let mut oldest_first: Vec<&Status> = nodes.iter().collect();
    oldest_first.sort_by_key(|n| n.config.revision);
    oldest_first
        .iter()
        .flat_map(|n| &n.objectives)
        .map(|o| ((&o.service, o.priority), o))
        .collect()
}

/// Builds the row of a service and priority. Without an objective it has no burn rates and no
/// urgency.
fn build_row(
    service: &ServiceName,
    priority: Priority,
    objective: Option<&Objective>,
    totals: Totals,
) -> Row {
    let windows: Vec<WindowCounts> = totals
        .windows
        .into_iter()
        .map(|(window, counts)| WindowCounts { window, counts })
        .collect();
    let share = objective.map(|o| o.share);
    let rule = share.and_then(|share| burn::firing_rule(&windows, share));
    let window_burns = windows.into_iter().map(|w| WindowBurn {
        window: w.window,
        counts: w.counts,
        burn: share.map(|share| burn::burn_rate(&w.counts, share)),
    });
    Row {
        service: service.clone(),
        priority,
        objective: share,
        latency_ms: objective.map(|o| o.latency_ms),
        urgency: rule.map_or(Urgency::None, |rule| rule.urgency),
        alarm_windows: rule.map(|rule| (rule.long, rule.short)),
        windows: window_burns.collect(),
        minutes: totals.minutes,
    }
}

/// Returns the summary sentence: what an operator has to do, and how many nodes did not answer.
fn sentence(rows: &[Row], urgency: Urgency, fetched: &FetchedStatuses) -> String {
    if fetched.nodes.is_empty() {
        return "No data: no node answered.".to_owned();
    }
    let mut text = match urgency {
        Urgency::Now => format!("Act now: {}.", list_urgent(rows, urgency)),
        Urgency::Soon => format!("Act today: {}.", list_urgent(rows, urgency)),
        Urgency::None if rows.iter().all(|r| r.objective.is_none()) => {
            "No burn rates: no service that was called has an objective.".to_owned()
        }
        Urgency::None => "No action needed: no error budget is spent too fast.".to_owned(),
    };
    let unread = fetched.unread.len();
    if unread > 0 {
        let all = unread + fetched.nodes.len();
        text.push_str(&format!(" {unread} of {all} nodes did not answer."));
    }
    text
}

/// Describes the first rows of an urgency and counts the others.
fn list_urgent(rows: &[Row], urgency: Urgency) -> String {
    let urgent: Vec<&Row> = rows.iter().filter(|r| r.urgency == urgency).collect();
    let more = urgent.len().saturating_sub(MAX_LISTED_ROWS);
    let mut parts: Vec<String> = urgent
        .iter()
        .take(MAX_LISTED_ROWS)
        .map(|r| describe_burn(r))
        .collect();
    if more > 0 {
        parts.push(format!("and {more} more"));
    }
    parts.join("; ")
}

/// Describes how fast a row spends its error budget in the windows of the rule that fires.
fn describe_burn(row: &Row) -> String {
    let Some((long, short)) = row.alarm_windows else {
        return format!("{} {}", row.service, row.priority);
    };
    let burn = row.windows.iter().find(|w| w.window == long);
    let burn = burn.and_then(|w| w.burn).unwrap_or(0.0);
    format!(
        "{} {} spends its error budget {burn:.1} times as fast as allowed ({long} and {short})",
        row.service, row.priority
    )
}
