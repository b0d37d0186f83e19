//! Sends a request to one instance after another: choice of the instances, retries and holding.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::call::Priority;
use crate::call::Repetition;
use crate::clock::Time;
use crate::coordination::hold;
use crate::coordination::hold::HOLD_PAUSE;
use crate::coordination::route;
use crate::coordination::routing::Choice;
use crate::coordination::routing::Distance;
use crate::coordination::routing::Pick;
use crate::coordination::routing::PickArgs;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::http1::Header;
use crate::instance::InstanceName;
use crate::instance::ServiceName;
use crate::protocol::frame;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::relay::CoordinationState;
use crate::relay::Relay;
use crate::relay::attempt::AttemptGuard;
use crate::relay::call::Call;
use crate::relay::identity;
use crate::relay::peer_client::Reply;
use crate::relay::response::CallerResponse;
use crate::relay::run;
/// Limit on the instances that one request is sent to. Each refused attempt costs a hop.
const MAX_INSTANCES_TRIED: usize = 4;

/// Time that must be left to the deadline for a request to be sent to an instance.
const MIN_REMAINING: Duration = Duration::from_millis(10);

/// Load, in requests per slot, from which an instance counts as overloaded. An instance of another
/// region that is not overloaded is preferred to one of the local region that is. Cross-region
/// traffic is expensive, but a sub-call that waits too long wastes the run that made it.
const OVERLOADED_LOAD: f64 = 1.25;

/// Load of the local target, in percent, at and above which it is no longer preferred to others.
const LOCAL_BUSY_PERCENT: u16 = 80;

impl Call<'_> {
    /// Sends the request to one instance after another until one answers. An attempt counts towards
    /// `max_attempts` of the route unless the request was refused before it reached the target. If
    /// no instance was available, the request is held for a moment and starts over.
    ///
    /// # Errors
    ///
    /// The error of the last attempt, or an unknown outcome if any attempt had one. It is returned
    /// once the instances, the retries or the time are used up, or the request must not run again.
    pub(super) async fn dispatch(&self) -> Result<CallerResponse, ErrorKind> {
        if !self.inherits_repetition {
            let now = self.relay.now();
            let retry_budget = &mut self.relay.coordination().retry_budget;
            retry_budget.record_request(&self.service, now);
        }
        let mut counted_attempts = 0;
        loop {
            match self.try_instances(&mut counted_attempts).await {
                Err(ErrorKind::NotRun(kind)) if self.may_hold(kind) => {
                    tokio::time::sleep(HOLD_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    /// Returns whether a request for which no instance was available is held and tried again.
    fn may_hold(&self, kind: NotRunKind) -> bool {
        let held_for = self.relay.now().since(self.arrived);
        hold::may_hold(kind, held_for, self.route.objective)
    }

    /// Sends the request once to each instance that may be tried, until one answers. The attempts that
    /// count are added to `counted_attempts`, also those before the request was held.
    ///
    /// # Errors
    ///
    /// As [`Call::dispatch`].
    async fn try_instances(&self, counted_attempts: &mut u32) -> Result<CallerResponse, ErrorKind> {
        let mut tried: Vec<InstanceName> = Vec::new();
        let mut last_error = ErrorKind::NotRun(NotRunKind::NoInstance);
        while tried.len() < MAX_INSTANCES_TRIED {
            if self.deadline.since(self.relay.now()) < MIN_REMAINING {
                return Err(last_error);
            }
            if *counted_attempts > 0 && !self.take_retry(*counted_attempts) {
                return Err(last_error);
            }
            let pick = match self.choose(&tried) {
                Choice::Send(pick) => pick,
                Choice::Unavailable(kind) if tried.is_empty() => return Err(kind.into()),
                Choice::Unavailable(_) => return Err(last_error),
            };
            tried.push(pick.instance.name.clone());
            let reply = self
                .attempt(&pick, self.repetition(*counted_attempts))
                .await;
            match reply.outcome {
                RunOutcome::Completed {
                    status,
                    signature,
                    headers,
                    body,
                } => {
                    let headers = self.response_headers(signature, frame::from_wire(headers));
                    return Ok(self.forward_response(status, headers, body));
                }
                RunOutcome::NotRun {
                    kind,
                    refused_by_target,
                } => {
                    *counted_attempts += u32::from(refused_by_target);
                    if !matches!(last_error, ErrorKind::Unknown(_)) {
                        last_error = kind.into();
                    }
                }
                RunOutcome::Unknown(kind) => {
                    *counted_attempts += 1;
                    last_error = kind.into();
                    if !self.route.idempotent || kind == UnknownKind::Deadline {
                        return Err(last_error);
                    }
                }
            }
            let possibly_running = matches!(last_error, ErrorKind::Unknown(_));
            self.possibly_running
                .store(possibly_running, Ordering::Relaxed);
        }
        Err(last_error)
    }

    /// Returns whether the next attempt is a repeated run, after `counted_attempts`.
    fn repetition(&self, counted_attempts: u32) -> Repetition {
        match (counted_attempts, self.inherits_repetition) {
            (0, false) => Repetition::None,
            (0, true) => Repetition::Inherited,
            _ => Repetition::Retry,
        }
    }

    /// Takes a retry from the budget of the service, if the route allows a further attempt. Returns
    /// whether the request may be retried.
    fn take_retry(&self, counted_attempts: u32) -> bool {
        let now = self.relay.now();
        counted_attempts < self.route.max_attempts
            && self
                .relay
                .coordination()
                .retry_budget
                .take(&self.service, now)
    }

    fn choose(&self, tried: &[InstanceName]) -> Choice {
        let wanted = Wanted {
            service: &self.service,
            priority: self.queue_priority(),
            idempotent: self.route.idempotent,
            request_bytes: self.request.body.len() as u64,
        };
        choose(self.relay, &wanted, tried)
    }

    /// Returns the priority in admission queues. A sub-call is critical, because its root was
    /// admitted and has already used capacity.
    fn queue_priority(&self) -> Priority {
        match self.is_root {
            true => route::queue_priority(self.priority),
            false => Priority::Critical,
        }
    }

    async fn attempt(&self, pick: &Pick, repetition: Repetition) -> Reply {
        let now = self.relay.now();
        self.relay
            .coordination()
            .router
            .record_attempt_start(pick, now);
        let mut guard = AttemptGuard::new(self.relay, self.route, &self.service, pick, now);
        self.possibly_running.store(true, Ordering::Relaxed);
        let req = self.run_request(pick, repetition, now);
        let reply = match self.is_local(pick) {
            true => Reply {
                outcome: run::run_locally(self.relay, req, None, now).await,
                load: Some(self.relay.load_report(&self.route.name)),
            },
            false => self.relay.peer_client().run(pick.instance.peer, req).await,
        };
        guard.report(&reply);
        reply
    }

    fn is_local(&self, pick: &Pick) -> bool {
        pick.instance.peer.ip() == self.relay.cfg().peers.ip()
    }

    fn run_request(&self, pick: &Pick, repetition: Repetition, now: Time) -> RunRequest {
        let header_names = self.relay.header_names();
        let head = &self.request.head;
        let has_keys = self.has_keys;
        let forwarded = head
            .headers
            .iter()
            .filter(|(n, _)| !(header_names.is_set_by_node(n) || has_keys && identity::is_key(n)));
        let forwarded: Vec<Header> = forwarded.cloned().collect();
        RunRequest {
            number: 0,
            target: pick.instance.name.clone(),
            service: self.service.to_string(),
            route: self.route.name.to_string(),
            config_version: self.relay.config_version(),
            remaining_ms: self.deadline.since(now).as_millis() as u32,
            priority: self.priority,
            idempotent: self.route.idempotent,
            is_root: self.is_root,
            repetition,
            id: self.id.to_owned(),
            caller_service: self.relay.cfg().service.to_string(),
            organisation: self.organisation.as_ref().map(|o| o.name.clone()),
            method: head.method.clone(),
            path: head.target.clone(),
            host: head.host.clone(),
            headers: frame::to_wire(&forwarded),
            body: self.request.body.clone(),
            streamed: None,
        }
    }
}

/// What the choice of an instance depends on.
#[derive(Clone, Copy, Debug)]
pub(in crate::relay) struct Wanted<'a> {
    /// Service that is to run the request.
    pub(in crate::relay) service: &'a ServiceName,
    /// Priority in admission queues.
    pub(in crate::relay) priority: Priority,
    /// Whether the request may run more than once.
    pub(in crate::relay) idempotent: bool,
    /// Length of the request body in bytes.
    pub(in crate::relay) request_bytes: u64,
}

/// Chooses the instance of an attempt: the local target if it can be used, otherwise an instance of
/// the local region, or of any region if there is none or it is overloaded.
pub(in crate::relay) fn choose(
    relay: &Relay,
    wanted: &Wanted<'_>,
    tried: &[InstanceName],
) -> Choice {
    if let Some(pick) = pick_local_target(relay, wanted.service, tried) {
        return Choice::Send(pick);
    }
    let now = relay.now();
    let mut coordination = relay.coordination();
    let CoordinationState { router, rng, .. } = &mut *coordination;
    let same_region = PickArgs {
        service: wanted.service,
        priority: wanted.priority,
        idempotent: wanted.idempotent,
        cross_region: false,
        request_bytes: wanted.request_bytes,
        tried,
        untried_only: true,
    };
    let near_choice = router.choose(&same_region, now, rng);
    let overloaded = |pick: &Pick| router.is_overloaded(pick, OVERLOADED_LOAD, now);
    if matches!(&near_choice, Choice::Send(pick) if !overloaded(pick)) {
        return near_choice;
    }
    let all_regions = PickArgs {
        cross_region: true,
        ..same_region
    };
    let far_choice = router.choose(&all_regions, now, rng);
    match (&near_choice, &far_choice) {
        (Choice::Unavailable(_), _) => far_choice,
        (_, Choice::Send(pick)) if !router.is_overloaded(pick, OVERLOADED_LOAD, now) => far_choice,
        _ => near_choice,
    }
}

/// Returns the local target if it serves the request, was not tried and is not busy.
fn pick_local_target(relay: &Relay, service: &ServiceName, tried: &[InstanceName]) -> Option<Pick> {
    let local = relay.local_target()?;
    let serves_request =
        local.instance.service == *service && !tried.contains(&local.instance.name);
    let has_room = relay.admission_queue().load_percent() < LOCAL_BUSY_PERCENT;
    let available = relay.check_target(&local.instance.name).is_ok();
    (serves_request && has_room && available).then_some(Pick {
        instance: local.instance,
        distance: Distance::Domain,
        link_charge: None,
    })
}
