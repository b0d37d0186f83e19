//! Checks a recorded history of calls for violations of the promises of the node.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::UnknownKind;

/// Identifies a call that a user or an application issues. Every attempt of it carries the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CallId {
    /// Number of the user request whose call tree contains the call.
    pub(crate) request: u32,
    /// Number of the call: 0 for the user request itself, a unique number for each sub-call.
    pub(crate) number: u32,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl FromStr for CallId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<CallId, Self::Err> {
        let (request, number) = text.split_once('.').unwrap_or((text, ""));
        Ok(CallId {
            request: request.parse()?,
            number: number.parse()?,
        })
    }
}

/// One incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InstanceIncarnation {
    /// Name of the instance.
    pub(crate) instance: String,
    /// Number of the incarnation; a restart increases it.
    pub(crate) incarnation: u64,
}

/// Outcome of a call as reported to its issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A complete response arrived; holds the hash of its body.
    Completed(u64),
    /// The call was not executed.
    NotRun(NotRunKind),
    /// It is unknown whether the call was executed.
    Unknown(UnknownKind),
}

/// Kind of an event, with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// The issuer sent a call, for the first time or again.
    Sent {
        call: CallId,
        priority: Priority,
        idempotent: bool,
    },
    /// The outcome of a call was reported to its issuer.
    OutcomeReported {
        call: CallId,
        outcome: CallOutcome,
        /// Name of the instance that reported the outcome, if it is known.
        reported_by: Option<String>,
    },
    /// A target started a run of a call.
    Started {
        run: u64,
        call: CallId,
        at: InstanceIncarnation,
    },
    /// A target refused a call before running it.
    Refused { call: CallId },
    /// A run ended with a response.
    Finished { run: u64, body_hash: u64 },
    /// The test process did not run between `since` and the time of the event.
    Stalled { since: Duration },
    /// An instance started to drain.
    Draining { at: InstanceIncarnation },
}

/// An event and its time since the start of the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) time: Duration,
    pub(crate) kind: EventKind,
}

/// Bounds that the promises state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Maximum number of extra attempts for a user request, over its whole call tree.
    pub(crate) spare_attempts: u32,
    /// Maximum time after the start of draining at which an instance still starts a run.
    pub(crate) max_start_after_drain: Duration,
    /// Time before its deadline within which a queued call preempts a running one.
    pub(crate) preemption_window: Duration,
}

/// A violation of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The call tree of a request used more extra attempts than its budget.
    TooManyAttempts { request: u32, extra: u32 },
    /// A non-idempotent call ran more than once.
    RanTwice { call: CallId, runs: usize },
    /// A call ran although its last reported outcome is "not run".
    RanAlthoughNotRun { call: CallId },
    /// No run of the call had produced the reported response before it was reported.
    ResponseNotProduced { call: CallId },
    /// An instance started a run too long after it had started to drain.
    StartedWhileDraining { run: u64, at: InstanceIncarnation },
    /// An overloaded instance dropped a non-idempotent call and let `lookup`, an idempotent call of
    /// lower priority, run to its end.
    DroppedBeforeLookup { call: CallId, lookup: CallId },
    /// The history itself is inconsistent.
    Malformed { reason: &'static str },
}

/// One execution of a call by a target.
struct Run {
    call: CallId,
    at: InstanceIncarnation,
    started: Duration,
    /// Time of the end and hash of the response.
    finished: Option<(Duration, u64)>,
}

/// Everything that the history contains about one call.
#[derive(Default)]
struct CallRecord {
    /// Number of times that the issuer sent the call.
    sent: u32,
    /// Number of attempts that reached a target.
    attempts: u32,
    first_sent: Duration,
    /// Priority, and whether the call is idempotent.
    properties: Option<(Priority, bool)>,
    runs: Vec<u64>,
    /// Time and value of each reported outcome, and the instance that reported it.
    outcomes: Vec<(Duration, CallOutcome, Option<String>)>,
}

/// Interval in which the test process did not run.
struct Stall {
    since: Duration,
    until: Duration,
}

/// A history indexed by call and by run.
#[derive(Default)]
struct Index {
    calls: BTreeMap<CallId, CallRecord>,
    runs: BTreeMap<u64, Run>,
    /// Time at which each incarnation started to drain.
    draining_since: BTreeMap<InstanceIncarnation, Duration>,
    stalls: Vec<Stall>,
    malformed: Vec<Violation>,
}

impl Index {
    fn new(events: &[Event]) -> Index {
        let mut index = Index::default();
        for event in events {
            index.add(event);
        }
        index
    }

    fn add(&mut self, event: &Event) {
        let time = event.time;
        match &event.kind {
            EventKind::Sent {
                call,
                priority,
                idempotent,
            } => {
                let record = self.calls.entry(*call).or_default();
                record.sent += 1;
                if record.properties.is_none() {
                    record.properties = Some((*priority, *idempotent));
                    record.first_sent = time;
                }
            }
            EventKind::OutcomeReported {
                call,
                outcome,
                reported_by,
            } => {
                self.sent_call(*call)
                    .outcomes
                    .push((time, *outcome, reported_by.clone()));
            }
            EventKind::Started { run, call, at } => {
                let record = self.sent_call(*call);
                record.attempts += 1;
                record.runs.push(*run);
                let new_run = Run {
                    call: *call,
                    at: at.clone(),
                    started: time,
                    finished: None,
                };
                if self.runs.insert(*run, new_run).is_some() {
                    self.record_malformed("a run started twice");
                }
            }
            EventKind::Refused { call } => self.sent_call(*call).attempts += 1,
            EventKind::Finished { run, body_hash } => match self.runs.get_mut(run) {
                Some(run) if run.finished.is_none() => run.finished = Some((time, *body_hash)),
                _ => self.record_malformed("a run finished that was not running"),
            },
            EventKind::Stalled { since } => self.stalls.push(Stall {
                since: *since,
                until: time,
            }),
            EventKind::Draining { at } => {
                self.draining_since.entry(at.clone()).or_insert(time);
            }
        }
    }

    /// Returns the record of a call; if it was never sent, records that the history is malformed.
    fn sent_call(&mut self, call: CallId) -> &mut CallRecord {
        if !self.calls.contains_key(&call) {
            self.record_malformed("an event refers to a call that was not sent");
        }
        self.calls.entry(call).or_default()
    }

    fn record_malformed(&mut self, reason: &'static str) {
        self.malformed.push(Violation::Malformed { reason });
    }
}

/// Returns all violations of promises in a history whose events are ordered by time.
pub(crate) fn check(events: &[Event], bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(events);
    let mut violations = index.malformed.clone();
    violations.extend(find_excess_attempts(&index, bounds));
    violations.extend(
        index
            .calls
            .iter()
            .filter_map(|(call, record)| find_repeated_runs(*call, record)),
    );
    violations.extend(
        index
            .calls
            .iter()
            .filter_map(|(call, record)| find_run_despite_not_run(*call, record)),
    );
    violations.extend(
        index
            .calls
            .iter()
            .flat_map(|(call, record)| find_unproduced_responses(&index, *call, record)),
    );
    violations.extend(find_late_starts(&index, bounds));
    violations.extend(
        index
            .calls
            .iter()
            .filter_map(|(call, record)| find_drop_before_lookup(&index, bounds, *call, record)),
    );
    violations
}

/// Returns the requests whose extra attempts, over the whole call tree, exceed the budget.
fn find_excess_attempts(index: &Index, bounds: &Bounds) -> Vec<Violation> {
    let mut extra: BTreeMap<u32, u32> = BTreeMap::new();
    for (call, record) in &index.calls {
        *extra.entry(call.request).or_default() += record.attempts.saturating_sub(record.sent);
    }
    extra
        .into_iter()
        .filter(|(_, extra)| *extra > bounds.spare_attempts)
        .map(|(request, extra)| Violation::TooManyAttempts { request, extra })
        .collect()
}

/// Returns a violation if a non-idempotent call ran more than once. It may run only once no matter
/// how often it is sent.
fn find_repeated_runs(call: CallId, record: &CallRecord) -> Option<Violation> {
    let (_, idempotent) = record.properties?;
    let runs = record.runs.len();
    (!idempotent && runs > 1).then_some(Violation::RanTwice { call, runs })
}

/// Returns a violation if the last outcome reported for a call is "not run" but the call ran before
/// or after that report.
fn find_run_despite_not_run(call: CallId, record: &CallRecord) -> Option<Violation> {
    let last = record.outcomes.last()?;
    let reported_not_run = matches!(last.1, CallOutcome::NotRun(_));
    (reported_not_run && !record.runs.is_empty()).then_some(Violation::RanAlthoughNotRun { call })
}

/// Returns a violation for each reported response that no run of the same call had produced before
/// the report.
fn find_unproduced_responses(index: &Index, call: CallId, record: &CallRecord) -> Vec<Violation> {
    let produced = |reported: Duration, response_hash: u64| {
        let mut finished_runs = record
            .runs
            .iter()
            .filter_map(|run| index.runs[run].finished);
        finished_runs.any(|(finished, hash)| finished <= reported && hash == response_hash)
    };
    record
        .outcomes
        .iter()
        .filter(|(time, outcome, _)| match outcome {
            CallOutcome::Completed(hash) => !produced(*time, *hash),
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => false,
        })
        .map(|_| Violation::ResponseNotProduced { call })
        .collect()
}

/// Returns the runs that an instance started after the maximum time since it started to drain.
fn find_late_starts(index: &Index, bounds: &Bounds) -> Vec<Violation> {
    let late = |run: &Run| {
        let since = index.draining_since.get(&run.at);
        since.is_some_and(|since| run.started > *since + bounds.max_start_after_drain)
    };
    index
        .runs
        .iter()
        .filter(|(_, run)| late(run))
        .map(|(number, run)| Violation::StartedWhileDraining {
            run: *number,
            at: run.at.clone(),
        })
        .collect()
}

/// Returns a violation if an overloaded instance dropped a non-idempotent call while it ran a
/// lookup of lower priority to its end.
///
/// Only a lookup counts that ran during the whole time from the first sending of the call to its
/// drop, and whose response was reported: such a lookup was neither preempted nor started in a race
/// with the dropped call. A call is skipped if the process stalled at the time when the lookup
/// should have been preempted.
fn find_drop_before_lookup(
    index: &Index,
    bounds: &Bounds,
    call: CallId,
    record: &CallRecord,
) -> Option<Violation> {
    let (priority, idempotent) = record.properties?;
    let (time, outcome, reported_by) = record.outcomes.last()?;
    let reported_by = reported_by.as_ref()?;
    let preemption_start = time.saturating_sub(bounds.preemption_window);
    let stalled = |stall: &Stall| stall.since <= *time && stall.until >= preemption_start;
    if idempotent || !is_overload_drop(outcome) || index.stalls.iter().any(stalled) {
        return None;
    }
    let reported: BTreeSet<(CallId, u64)> = reported_responses(index);
    let kept_running = |run: &&Run| {
        let properties = index.calls[&run.call].properties;
        let preemptible = properties.is_some_and(|(p, idempotent)| idempotent && p > priority);
        let started_before = run.started <= record.first_sent;
        let completed = run.finished.is_some_and(|(finished, hash)| {
            finished >= *time && reported.contains(&(run.call, hash))
        });
        run.at.instance == *reported_by && preemptible && started_before && completed
    };
    let lookup = index.runs.values().find(kept_running)?.call;
    Some(Violation::DroppedBeforeLookup { call, lookup })
}

/// Returns whether the outcome means that the call was dropped because of overload.
fn is_overload_drop(outcome: &CallOutcome) -> bool {
    use NotRunKind::DeadlineInQueue;
    use NotRunKind::Overloaded;
    use NotRunKind::Shed;
    matches!(
        outcome,
        CallOutcome::NotRun(Overloaded | Shed | DeadlineInQueue)
    )
}

/// Returns the call and the hash of every response that was reported.
fn reported_responses(index: &Index) -> BTreeSet<(CallId, u64)> {
    let outcomes = index.calls.iter().flat_map(|(call, record)| {
        let outcomes = record.outcomes.iter().map(|(_, outcome, _)| *outcome);
        outcomes.map(|outcome| (*call, outcome))
    });
    outcomes
        .filter_map(|(call, outcome)| match outcome {
            CallOutcome::Completed(hash) => Some((call, hash)),
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => None,
        })
        .collect()
}
