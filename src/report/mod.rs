//! The report on service-level burn, from the status of the nodes.

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

pub use burn::BurnRule;
pub use burn::Urgency;

/// Most rows that the sentence on top names.
const MAX_NAMED: usize = 3;

/// Version of the report in JSON.
pub const REPORT_VERSION: u32 = 1;

/// Burn in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Calls of the window.
    pub counts: Counts,
    /// Rate of burn, 1 for just what the objective allows; none without an objective.
    pub burn: Option<f64>,
}

/// Burn of the calls of one service at one priority.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The service.
    pub service: ServiceName,
    /// Priority of the calls.
    pub priority: Priority,
    /// Share of calls that must be good, from 0 to 1.
    pub objective: Option<f64>,
    /// Longest time that a good call takes, in milliseconds.
    pub latency_ms: Option<u64>,
    /// How soon somebody has to act.
    pub urgency: Urgency,
    /// The windows in which it burns too fast, long and short.
    pub alarm_windows: Option<(Window, Window)>,
    /// Burn of each window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Calls of each of the last 60 minutes, oldest first.
    pub minutes: Vec<Counts>,
}

/// The report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Version of this message.
    pub version: u32,
    /// Whether somebody has to act, in words.
    pub sentence: String,
    /// How soon somebody has to act.
    pub urgency: Urgency,
    /// Nodes that were read.
    pub nodes: usize,
    /// Nodes that were not read.
    pub unread: Vec<UnreadNode>,
    /// Seconds for which the longest running node has counted.
    pub covers_s: u64,
    /// Burn by service and priority.
    pub rows: Vec<Row>,
}

impl Report {
    /// Builds the report of the nodes that were read.
    pub fn new(fetched: &FetchedStatuses) -> Report {
        let objectives = objectives(&fetched.nodes);
        let rows: Vec<Row> = sums(&fetched.nodes)
            .into_iter()
            .map(|((service, priority), sum)| {
                let objective = objectives.get(&(service, priority)).copied();
                row(service, priority, objective, sum)
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

    /// Leaves out the windows that are not in `windows`; the alarms stay as they are.
    pub fn restricted_to(mut self, windows: &[Window]) -> Report {
        for row in &mut self.rows {
            row.windows.retain(|w| windows.contains(&w.window));
        }
        self
    }
}

type Key<'a> = (&'a ServiceName, Priority);

#[derive(Clone, Debug)]
struct Sum {
    windows: BTreeMap<Window, Counts>,
    minutes: Vec<Counts>,
}

impl Default for Sum {
    fn default() -> Sum {
        Sum {
            windows: Window::iter().map(|w| (w, Counts::default())).collect(),
            minutes: vec![Counts::default(); MINUTE_BUCKETS],
        }
    }
}

fn sums(nodes: &[Status]) -> BTreeMap<Key<'_>, Sum> {
    let mut sums: BTreeMap<Key<'_>, Sum> = BTreeMap::new();
    for series in nodes.iter().flat_map(|n| &n.history) {
        let sum = sums.entry((&series.service, series.priority)).or_default();
        for w in &series.windows {
            sum.windows.entry(w.window).or_default().add(&w.counts);
        }
        let newest_first = sum.minutes.iter_mut().rev();
        for (minute, counts) in newest_first.zip(series.minutes.iter().rev()) {
            minute.add(counts);
        }
    }
    sums
}

/// Returns the objectives, those of the newest revision where nodes differ.
fn objectives(nodes: &[Status]) -> BTreeMap<Key<'_>, &Objective> {
    let mut oldest_first: Vec<&Status> = nodes.iter().collect();
    oldest_first.sort_by_key(|n| n.config.revision);
    oldest_first
        .iter()
        .flat_map(|n| &n.objectives)
        .map(|o| ((&o.service, o.priority), o))
        .collect()
}

fn row(service: &ServiceName, priority: Priority, objective: Option<&Objective>, sum: Sum) -> Row {
    let windows: Vec<WindowCounts> = sum
        .windows
        .into_iter()
        .map(|(window, counts)| WindowCounts { window, counts })
        .collect();
    let share = objective.map(|o| o.share);
    let alarm = share.and_then(|share| burn::alarm(&windows, share));
    let burns = windows.into_iter().map(|w| WindowBurn {
        window: w.window,
        counts: w.counts,
        burn: share.map(|share| burn::rate(&w.counts, share)),
    });
    Row {
        service: service.clone(),
        priority,
        objective: share,
        latency_ms: objective.map(|o| o.latency_ms),
        urgency: alarm.map_or(Urgency::None, |rule| rule.urgency),
        alarm_windows: alarm.map(|rule| (rule.long, rule.short)),
        windows: burns.collect(),
        minutes: sum.minutes,
    }
}

fn sentence(rows: &[Row], urgency: Urgency, fetched: &FetchedStatuses) -> String {
    if fetched.nodes.is_empty() {
        return "Nothing can be said: no node answered.".to_owned();
    }
    let mut text = match urgency {
        Urgency::Now => format!("Act now: {}.", named(rows, urgency)),
        Urgency::Soon => format!("Look into it today: {}.", named(rows, urgency)),
        Urgency::None if rows.iter().all(|r| r.objective.is_none()) => {
            "Nothing can be said about burn: no service that was called has an objective."
                .to_owned()
        }
        Urgency::None => "Nobody needs to act: no error budget is spent too fast.".to_owned(),
    };
    let unread = fetched.unread.len();
    if unread > 0 {
        let all = unread + fetched.nodes.len();
        text.push_str(&format!(" {unread} of {all} nodes did not answer."));
    }
    text
}

fn named(rows: &[Row], urgency: Urgency) -> String {
    let urgent: Vec<&Row> = rows.iter().filter(|r| r.urgency == urgency).collect();
    let more = urgent.len().saturating_sub(MAX_NAMED);
    let mut parts: Vec<String> = urgent.iter().take(MAX_NAMED).map(|r| spent(r)).collect();
    if more > 0 {
        parts.push(format!("and {more} more"));
    }
    parts.join("; ")
}

fn spent(row: &Row) -> String {
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
