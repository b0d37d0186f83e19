//! Watches of the documents that the platform publishes.

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
    /// Whether any watch was started before.
    started: bool,
    /// Whether the latest call is a poll, which the platform answers at once.
    is_poll: bool,
    next_poll: Time,
    /// Number of consecutive failures.
    failures: u32,
}

/// Response of the platform to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformResponse<D> {
    /// A document and its revision.
    Newer(Revision, D),
    /// No later revision was published while the platform held the watch open.
    Unchanged,
    /// The call failed.
    Failed,
}

impl Control {
    /// Handles the response to a watch of the configuration.
    pub fn handle_config_response(
        &mut self,
        now: Time,
        response: PlatformResponse<&str>,
    ) -> Vec<Action> {
        if !matches!(response, PlatformResponse::Failed) {
            self.last_confirmed = Some(now);
        }
        let Some((revision, text)) = self.newer_document(DocumentKind::Config, response) else {
            return Vec::new();
        };
        let offered = self.config.offer(revision, text, &self.validate);
        self.record_watch_result(DocumentKind::Config, offered != OfferOutcome::Outdated);
        let mut actions = Vec::new();
        match offered {
            OfferOutcome::Accepted(delta) => {
                self.document_changed(now, DocumentKind::Config);
                delta
                    .into_iter()
                    .for_each(|d| self.queue_push_to_all_domains(now, DocumentKind::Config, d));
            }
            OfferOutcome::Rejected(rejection) => actions.push(Action::Rejected(rejection)),
            OfferOutcome::Outdated => (),
        }
        actions
    }

    /// Handles the response to a watch of the instance list.
    pub fn handle_list_response(&mut self, now: Time, response: PlatformResponse<&[Instance]>) {
        let Some((revision, instances)) = self.newer_document(DocumentKind::List, response) else {
            return;
        };
        let current = self.list.stamp().revision;
        let completes = revision == current && !self.list.is_complete();
        let newer = revision > current || completes;
        self.record_watch_result(DocumentKind::List, newer);
        if newer {
            let lines = instances.iter().map(instance_line).collect();
            let delta = self.list.replace(revision, lines);
            self.document_changed(now, DocumentKind::List);
            delta
                .into_iter()
                .for_each(|d| self.queue_push_to_all_domains(now, DocumentKind::List, d));
        }
    }

    /// Returns the document in a response, or records the end of the watch if there is none.
    fn newer_document<D>(
        &mut self,
        kind: DocumentKind,
        response: PlatformResponse<D>,
    ) -> Option<(Revision, D)> {
        if !matches!(response, PlatformResponse::Failed) {
            self.startup.record_platform_response(kind);
        }
        match response {
            PlatformResponse::Newer(revision, document) => return Some((revision, document)),
            PlatformResponse::Unchanged => {
                self.record_watch_result(kind, self.document(kind).is_complete())
            }
            PlatformResponse::Failed => self.record_watch_result(kind, false),
        }
        None
    }

    /// Marks the watch as ended and counts consecutive failures.
    fn record_watch_result(&mut self, kind: DocumentKind, success: bool) {
        let state = &mut self.watches[kind as usize];
        state.running = false;
        state.failures = if success { 0 } else { state.failures + 1 };
    }

    /// Starts the watches that are needed and not running.
    ///
    /// The first readers of [`reader::WATCH_DOMAINS`] domains always watch. Other readers watch
    /// only while no watching reader was reported recently, and otherwise poll at long intervals.
    pub(super) fn start_watches<R>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<Action>)
    where
        R: Rng,
    {
        let reader = self.is_reader();
        for kind in DocumentKind::BOTH {
            let needs_list = kind == DocumentKind::List && self.needs_list_from_platform(now);
            if self.watches[kind as usize].running || !(reader || needs_list) {
                continue;
            }
            let complete = self.document(kind).is_complete();
            let is_poll = complete && !self.should_watch(now);
            if is_poll && now < self.watches[kind as usize].next_poll {
                continue;
            }
            let delay = self.watch_delay(kind, rng);
            let next_poll = now.plus(reader::POLL_PERIOD.mul_f64(rng.random_range(0.5..1.5)));
            let state = &mut self.watches[kind as usize];
            state.running = true;
            state.started = true;
            state.is_poll = is_poll;
            state.next_poll = next_poll;
            let after = match kind {
                _ if !complete => 0,
                DocumentKind::Config => self.config.highest_seen().0,
                DocumentKind::List => self.list.stamp().revision.0,
            };
            let wait = if complete && !is_poll {
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

    /// Returns whether this reader watches the platform instead of polling it.
    fn should_watch(&self, now: Time) -> bool {
        let first = self.reader_rank() == Some(0) && self.watch_domain_rank.is_some();
        let last_seen = self.watcher_last_seen;
        first || last_seen.is_none_or(|at| now.since(at) > reader::WATCHER_TIMEOUT)
    }

    /// Returns whether both documents are complete, are watched, and the last watch of each
    /// succeeded.
    pub(super) fn is_watching(&self) -> bool {
        let succeeds = |w: &WatchState| w.running && w.failures == 0 && !w.is_poll;
        self.is_complete() && self.watches.iter().all(succeeds)
    }

    /// Records that a peer watches the platform, if its status reports this.
    pub(super) fn record_watcher(&mut self, now: Time, theirs: &PeerStatus) {
        if theirs.watching && theirs.ready {
            self.watcher_last_seen = Some(now);
        }
    }

    /// Returns the delay before the next watch: a random part of the fleet's start time before the
    /// first instance list, and backoff after failures.
    fn watch_delay<R>(&self, kind: DocumentKind, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let state = &self.watches[kind as usize];
        let without_list = self.list.stamp().revision == Revision::default();
        let spread = reader::start_spread(self.fleet_size);
        match (without_list, state.started) {
            (true, false) => spread.mul_f64(rng.random_range(0.0..1.0)),
            (true, true) => {
                let again = spread.mul_f64(rng.random_range(0.5..1.5));
                again + reader::backoff(state.failures, rng)
            }
            (false, false) => Duration::ZERO,
            (false, true) => reader::backoff(state.failures, rng).max(reader::MIN_CALL_INTERVAL),
        }
    }
}
