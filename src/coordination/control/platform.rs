//! Reading the platform.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::clock::Time;
use crate::coordination::config::OfferOutcome;
use crate::coordination::control::Action;
use crate::coordination::control::Control;
use crate::coordination::control::DocumentKind;
use crate::coordination::control::PeerStatus;
use crate::coordination::control::Watch;
use crate::coordination::control::instance_line;
use crate::coordination::document::Revision;
use crate::coordination::reader;
use crate::instance::Instance;

/// State of the watch of one document.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WatchState {
    running: bool,
    started: bool,
    polls: bool,
    next_poll: Time,
    failures: u32,
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAnswer<D> {
    /// A document.
    Newer(Revision, D),
    /// Nothing newer came up in time.
    Unchanged,
    /// The call failed.
    Failed,
}

impl Control {
    /// Takes the platform's answer to a watch of the configuration.
    pub fn handle_config_answer(&mut self, now: Time, answer: WatchAnswer<&str>) -> Vec<Action> {
        if !matches!(answer, WatchAnswer::Failed) {
            self.confirmed = Some(now);
        }
        let Some((revision, text)) = self.newer(DocumentKind::Config, answer) else {
            return Vec::new();
        };
        let offered = self.config.offer(revision, text, &self.validate);
        self.watched(DocumentKind::Config, offered != OfferOutcome::Outdated);
        let mut actions = Vec::new();
        match offered {
            OfferOutcome::Accepted(delta) => {
                self.document_changed(now, DocumentKind::Config);
                delta
                    .into_iter()
                    .for_each(|d| self.spread_everywhere(now, DocumentKind::Config, d));
            }
            OfferOutcome::Rejected(rejection) => actions.push(Action::Rejected(rejection)),
            OfferOutcome::Outdated => (),
        }
        actions
    }

    /// Takes the platform's answer to a watch of the instance list.
    pub fn handle_list_answer(&mut self, now: Time, answer: WatchAnswer<&[Instance]>) {
        let Some((revision, instances)) = self.newer(DocumentKind::List, answer) else {
            return;
        };
        let have = self.list.stamp().revision;
        let completes = revision == have && !self.list.is_complete();
        let newer = revision > have || completes;
        self.watched(DocumentKind::List, newer);
        if newer {
            let lines = instances.iter().map(instance_line).collect();
            let delta = self.list.replace(revision, lines);
            self.document_changed(now, DocumentKind::List);
            delta
                .into_iter()
                .for_each(|d| self.spread_everywhere(now, DocumentKind::List, d));
        }
    }

    fn newer<D>(&mut self, kind: DocumentKind, answer: WatchAnswer<D>) -> Option<(Revision, D)> {
        if !matches!(answer, WatchAnswer::Failed) {
            self.phase.platform_answered(kind);
        }
        match answer {
            WatchAnswer::Newer(revision, document) => return Some((revision, document)),
            WatchAnswer::Unchanged => self.watched(kind, self.document(kind).is_complete()),
            WatchAnswer::Failed => self.watched(kind, false),
        }
        None
    }

    fn watched(&mut self, kind: DocumentKind, good: bool) {
        let state = &mut self.watches[kind as usize];
        state.running = false;
        state.failures = if good { 0 } else { state.failures + 1 };
    }

    /// Starts the watches that are needed and not running.
    ///
    /// The first reader of a few domains always watches. The others watch only while they hear of
    /// no reader that does, and otherwise look at long intervals.
    pub(super) fn watch<R>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<Action>)
    where
        R: Rng,
    {
        let reader = self.is_reader();
        for kind in DocumentKind::BOTH {
            let listless = kind == DocumentKind::List && self.needs_list_from_platform(now);
            if self.watches[kind as usize].running || !(reader || listless) {
                continue;
            }
            let complete = self.document(kind).is_complete();
            let polls = complete && !self.should_watch(now);
            if polls && now < self.watches[kind as usize].next_poll {
                continue;
            }
            let delay = self.watch_delay(kind, rng);
            let next_poll = now.plus(reader::POLL_PERIOD.mul_f64(rng.random_range(0.5..1.5)));
            let state = &mut self.watches[kind as usize];
            state.running = true;
            state.started = true;
            state.polls = polls;
            state.next_poll = next_poll;
            let after = match kind {
                _ if !complete => 0,
                DocumentKind::Config => self.config.highest_seen().0,
                DocumentKind::List => self.list.stamp().revision.0,
            };
            let wait = if complete && !polls {
                reader::WATCH_WAIT
            } else {
                Duration::ZERO
            };
            actions.push(Action::Watch(Watch {
                kind,
                after,
                wait,
                delay,
            }));
        }
    }

    fn should_watch(&self, now: Time) -> bool {
        let first = self.reader_rank() == Some(0) && self.watch_rank.is_some();
        let heard = self.watcher_heard;
        first || heard.is_none_or(|at| now.since(at) > reader::WATCHER_SILENCE)
    }

    /// Returns whether both documents are watched and the platform answers.
    pub(super) fn is_watching(&self) -> bool {
        let answers = |w: &WatchState| w.running && w.failures == 0 && !w.polls;
        self.is_complete() && self.watches.iter().all(answers)
    }

    /// Notes that another reader watches the platform.
    pub(super) fn hear_of(&mut self, now: Time, theirs: &PeerStatus) {
        if theirs.watching && theirs.ready {
            self.watcher_heard = Some(now);
        }
    }

    fn watch_delay<R>(&self, kind: DocumentKind, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let state = &self.watches[kind as usize];
        let listless = self.list.stamp().revision == Revision::default();
        let spread = reader::start_spread(self.fleet_size);
        match (listless, state.started) {
            (true, false) => spread.mul_f64(rng.random_range(0.0..1.0)),
            (true, true) => {
                let again = spread.mul_f64(rng.random_range(0.5..1.5));
                again + reader::backoff(state.failures, rng)
            }
            (false, false) => Duration::ZERO,
            (false, true) => reader::backoff(state.failures, rng).max(reader::CALL_GAP),
        }
    }
}
