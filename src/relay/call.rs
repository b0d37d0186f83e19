//! Handles one request at the node that received it from a caller: route, choice of an instance,
//! retries and the response.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use crate::call::Priority;
use crate::call::Repetition;
use crate::clock::Time;
use crate::coordination::hold;
use crate::coordination::hold::HOLD_PAUSE;
use crate::coordination::organisations::Organisation;
use crate::coordination::retry_after;
use crate::coordination::route;
use crate::coordination::route::Route;
use crate::coordination::routing::Choice;
use crate::coordination::routing::Distance;
use crate::coordination::routing::Pick;
use crate::coordination::routing::PickArgs;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint;
use crate::http1::Header;
use crate::http1::reader::Request;
use crate::instance::InstanceName;
use crate::instance::OrganisationName;
use crate::instance::ServiceName;
use crate::memory::Body;
use crate::protocol::frame;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::relay::CoordinationState;
use crate::relay::Relay;
use crate::relay::attempt::AttemptGuard;
use crate::relay::identity;
use crate::relay::identity::IdentityError;
use crate::relay::peer_client::Reply;
use crate::relay::quota::QuotaRefusal;
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

/// Share of the requests of an organisation over its quota that is taken to be admitted, on which the
/// spread of their delays depends.
const OVER_QUOTA_SHARE: f64 = 0.3;

/// Load of the local target, in percent, at and above which it is no longer preferred to others.
const LOCAL_BUSY_PERCENT: u16 = 80;

/// A request with its route, service and deadline.
struct Call<'a> {
    relay: &'a Arc<Relay>,
    route: &'a Arc<Route>,
    request: &'a Request,
    id: &'a str,
    service: ServiceName,
    is_root: bool,
    /// Organisation that sent the request, if it came with a key.
    organisation: Option<Arc<Organisation>>,
    /// Priority by organisation and route; 0 is the highest.
    priority: u8,
    /// Whether the request is attributed to a repeated run of the local target.
    inherits_repetition: bool,
    arrived: Time,
    deadline: Time,
    /// Whether the configuration has organisations, so that keys are not passed on.
    has_keys: bool,
    /// Whether the request may be running. While it may, it must not be reported as not run.
    possibly_running: AtomicBool,
}

/// Handles one request that arrived at `arrived`, and returns the response to its caller. Dropping
/// the future cancels the request.
pub async fn handle(relay: &Arc<Relay>, request: &Request, arrived: Time) -> CallerResponse {
    let header_names = *relay.header_names();
    let Some(id) = request.head.header(header_names.request_id) else {
        return CallerResponse::from_node(400, "request id is missing");
    };
    let caller_timeout = request.head.header(header_names.deadline_ms);
    let caller_timeout = caller_timeout
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    if !relay.has_routes() {
        let max_time = hold::max_wait_for_routes(caller_timeout.unwrap_or_default());
        relay.wait_for_routes(max_time).await;
    }
    let Some(table) = relay.view().routes.clone() else {
        let wait = retry_after::not_ready(caller_timeout.unwrap_or_default());
        log::info!(request:% = id, kind:% = NotRunKind::NotReady; "refused");
        return CallerResponse::from_node(503, "no configuration yet").with_retry_after(wait);
    };
    let Some(route) = table.find(&request.head.host, request.head.path()) else {
        log::info!(
            request:% = id, host:% = request.head.host, path:% = request.head.path(),
            version = table.version;
            "no route matches the request"
        );
        return CallerResponse::from_node(404, "no route");
    };
    let organisation = match identity::identify(relay, &table, route, &request.head) {
        Ok(organisation) => organisation,
        Err(e) => {
            log::info!(
                request:% = id, route:% = route.name, version = table.version,
                age_ms = relay.config_age().map_or(-1, |age| age.as_millis() as i64), error:% = e;
                "request is not accepted"
            );
            return reject(relay, route, e, caller_timeout.unwrap_or(route.timeout));
        }
    };
    let call = build_call(
        relay,
        route,
        request,
        id,
        organisation,
        caller_timeout,
        arrived,
    );
    let Some(call) = call else {
        return CallerResponse::from_node(503, "route without service");
    };
    let response = call.respond().await;
    relay
        .metrics()
        .record_request(&route.name, response.status, relay.now().since(arrived));
    response
}

/// Answers a request whose key is not accepted.
fn reject(relay: &Relay, route: &Route, e: IdentityError, remaining: Duration) -> CallerResponse {
    match e {
        IdentityError::Unauthorized => {
            relay.metrics().record_unauthorized();
            CallerResponse::from_node(401, &e.to_string())
        }
        IdentityError::Stale => {
            let kind = NotRunKind::StaleConfiguration;
            relay.metrics().record_refusal(&route.name, kind);
            let wait = retry_after::not_ready(remaining);
            CallerResponse::from_node(503, &kind.to_string()).with_retry_after(wait)
        }
    }
}

fn build_call<'a>(
    relay: &'a Arc<Relay>,
    route: &'a Arc<Route>,
    request: &'a Request,
    id: &'a str,
    organisation: Option<Arc<Organisation>>,
    caller_timeout: Option<Duration>,
    arrived: Time,
) -> Option<Call<'a>> {
    let service = relay.coordination().split.next(route)?;
    // Targets have no keys.
    let is_root =
        organisation.is_some() || relay.coordination().downstream_ratios.is_root(&route.name);
    let priority = organisation.as_ref().and_then(|o| o.priority);
    let repeated_calls = &mut relay.coordination().repeated_calls;
    let inherits_repetition = !is_root && repeated_calls.take(&route.name, arrived);
    let remaining = caller_timeout.map_or(route.timeout, |caller_timeout| {
        caller_timeout.min(route.timeout)
    });
    Some(Call {
        relay,
        route,
        request,
        id,
        service,
        is_root,
        organisation,
        priority: route::request_priority(priority, route.priority),
        inherits_repetition,
        arrived,
        deadline: arrived.plus(remaining),
        has_keys: relay
            .view()
            .routes
            .as_ref()
            .is_some_and(|t| t.directory.is_some()),
        possibly_running: AtomicBool::new(false),
    })
}

impl Call<'_> {
    async fn respond(&self) -> CallerResponse {
        let left = self.deadline.since(self.relay.now());
        if !self.relay.may_take_request(left) {
            return self.refuse(NotRunKind::NotReady, 0.5);
        }
        if let Some(admitted_share) = self.share_if_rejected() {
            return self.refuse(NotRunKind::Shed, admitted_share);
        }
        if !self
            .relay
            .coordination()
            .split
            .may_run(self.route, &self.service)
        {
            return self.refuse(NotRunKind::Overloaded, 0.5);
        }
        if !self.is_root {
            let now = self.relay.now();
            self.relay
                .coordination()
                .fanout
                .record_call(&self.route.name, now);
        }
        let left = self.deadline.since(self.relay.now());
        tokio::select! {
            biased;
            result = self.run_within_quota() => match result {
                Ok(response) => response,
                Err(ErrorKind::NotRun(kind)) => {
                    self.record_rejection();
                    self.refuse(kind, 0.5)
                }
                Err(ErrorKind::Unknown(kind)) => self.fail(kind),
            },
            () = tokio::time::sleep(left) => {
                self.give_up(NotRunKind::DeadlineInQueue, UnknownKind::Deadline)
            }
            () = self.relay.wait_for_exit() => {
                self.give_up(NotRunKind::NotReady, UnknownKind::ConnectionLost)
            }
        }
    }

    /// Answers a request whose run is no longer awaited: `unknown` if it may be running, `not_run`
    /// otherwise.
    fn give_up(&self, not_run: NotRunKind, unknown: UnknownKind) -> CallerResponse {
        match self.possibly_running.load(Ordering::Relaxed) {
            true => self.fail(unknown),
            false => self.refuse(not_run, 0.5),
        }
    }

    /// Decides whether the request is admitted. Returns `None` if it is, otherwise the share of its
    /// route's requests that is admitted. A request that is not known to be a root is always
    /// admitted, because it may be the sub-call of a run that was admitted.
    fn share_if_rejected(&self) -> Option<f64> {
        if !self.is_root {
            return None;
        }
        let now = self.relay.now();
        let mut coordination = self.relay.coordination();
        let CoordinationState {
            root_admission,
            downstream_ratios,
            rng,
            ..
        } = &mut *coordination;
        let share =
            root_admission.record_arrival(&self.route.name, self.priority, downstream_ratios, now);
        if share >= 1.0 {
            return None;
        }
        let Request { head, body } = self.request;
        let fingerprint = fingerprint::of_content(&head.method, &head.target, body);
        let random = rng.random_range(0.0..1.0);
        let admitted = root_admission.admit(fingerprint, share, random, now);
        (!admitted).then_some(share)
    }

    fn record_rejection(&self) {
        let now = self.relay.now();
        let mut coordination = self.relay.coordination();
        coordination
            .downstream_ratios
            .record_rejection(&self.route.name, now);
    }

    /// Runs the request if the quota of its organisation has room for it.
    ///
    /// # Errors
    ///
    /// As [`Call::dispatch`].
    async fn run_within_quota(&self) -> Result<CallerResponse, ErrorKind> {
        let organisation = self.organisation.as_ref();
        if let Some((name, quota)) = organisation.and_then(|o| Some((&o.name, o.quota.as_ref()?)))
            && let Err(refusal) = self.relay.take_quota(name, quota).await
        {
            return Ok(self.refuse_for_quota(name, refusal));
        }
        self.dispatch().await
    }

    /// Answers that the request was not run, because of the quota of its organisation.
    fn refuse_for_quota(&self, name: &OrganisationName, refusal: QuotaRefusal) -> CallerResponse {
        let remaining = self.deadline.since(self.relay.now());
        let wait = {
            let mut coordination = self.relay.coordination();
            retry_after::after_refusal(remaining, OVER_QUOTA_SHARE, &mut coordination.rng)
        };
        let wait = wait.max(refusal.retry_in);
        log::info!(
            request:% = self.id, route:% = self.route.name, organisation:% = name,
            kind:% = refusal.kind, took_ms = self.took_ms(),
            retry_after_ms = wait.as_millis() as u64;
            "refused"
        );
        self.relay
            .metrics()
            .record_refusal(&self.route.name, refusal.kind);
        let status = match refusal.kind {
            NotRunKind::OverQuota => 429,
            _ => 503,
        };
        CallerResponse::from_node(status, &refusal.kind.to_string()).with_retry_after(wait)
    }

    /// Sends the request to one instance after another until one answers. An attempt counts towards
    /// `max_attempts` of the route unless the request was refused before it reached the target. If
    /// no instance was available, the request is held for a moment and starts over.
    ///
    /// # Errors
    ///
    /// The error of the last attempt, or an unknown outcome if any attempt had one. It is returned
    /// once the instances, the retries or the time are used up, or the request must not run again.
    async fn dispatch(&self) -> Result<CallerResponse, ErrorKind> {
        if !self.inherits_repetition {
            let now = self.relay.now();
            let retry_budget = &mut self.relay.coordination().retry_budget;
            retry_budget.record_request(&self.service, now);
        }
        loop {
            match self.try_instances().await {
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

    /// Sends the request once to each instance that may be tried, until one answers.
    ///
    /// # Errors
    ///
    /// As [`Call::dispatch`].
    async fn try_instances(&self) -> Result<CallerResponse, ErrorKind> {
        let mut tried: Vec<InstanceName> = Vec::new();
        let mut counted_attempts = 0;
        let mut last_error = ErrorKind::NotRun(NotRunKind::NoInstance);
        while tried.len() < MAX_INSTANCES_TRIED {
            if self.deadline.since(self.relay.now()) < MIN_REMAINING {
                return Err(last_error);
            }
            if counted_attempts > 0 && !self.take_retry(counted_attempts) {
                return Err(last_error);
            }
            let pick = match self.choose(&tried) {
                Choice::Send(pick) => pick,
                Choice::Unavailable(kind) if tried.is_empty() => return Err(kind.into()),
                Choice::Unavailable(_) => return Err(last_error),
            };
            tried.push(pick.instance.name.clone());
            let reply = self.attempt(&pick, self.repetition(counted_attempts)).await;
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
                    counted_attempts += u32::from(refused_by_target);
                    if !matches!(last_error, ErrorKind::Unknown(_)) {
                        last_error = kind.into();
                    }
                }
                RunOutcome::Unknown(kind) => {
                    counted_attempts += 1;
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

    /// Chooses the instance of the next attempt: the local target if it can be used, otherwise an
    /// instance of the local region, or of any region if there is none or it is overloaded.
    fn choose(&self, tried: &[InstanceName]) -> Choice {
        if let Some(pick) = self.pick_local_target(tried) {
            return Choice::Send(pick);
        }
        let now = self.relay.now();
        let mut coordination = self.relay.coordination();
        let CoordinationState { router, rng, .. } = &mut *coordination;
        let same_region = PickArgs {
            service: &self.service,
            priority: self.queue_priority(),
            idempotent: self.route.idempotent,
            cross_region: false,
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
            (_, Choice::Send(pick)) if !router.is_overloaded(pick, OVERLOADED_LOAD, now) => {
                far_choice
            }
            _ => near_choice,
        }
    }

    /// Returns the priority in admission queues. A sub-call is critical, because its root was
    /// admitted and has already used capacity.
    fn queue_priority(&self) -> Priority {
        match self.is_root {
            true => route::queue_priority(self.priority),
            false => Priority::Critical,
        }
    }

    /// Returns the local target if it serves the request, was not tried and is not busy.
    fn pick_local_target(&self, tried: &[InstanceName]) -> Option<Pick> {
        let local = self.relay.local_target()?;
        let serves_request =
            local.instance.service == self.service && !tried.contains(&local.instance.name);
        let has_room = self.relay.admission_queue().load_percent() < LOCAL_BUSY_PERCENT;
        let available = self.relay.check_target(&local.instance.name).is_ok();
        (serves_request && has_room && available).then_some(Pick {
            instance: local.instance,
            distance: Distance::Domain,
            link_charge: None,
        })
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
            .filter(|(n, _)| !header_names.is_set_by_node(n) && !(has_keys && identity::is_key(n)));
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

    /// Adds the request id and the signature, whose header names are not sent between nodes.
    fn response_headers(&self, signature: Option<String>, rest: Vec<Header>) -> Vec<Header> {
        let header_names = self.relay.header_names();
        let id = (header_names.request_id, Some(self.id.to_owned()));
        let added = [id, (header_names.signature, signature)];
        let added = added
            .into_iter()
            .filter_map(|(name, value)| Some((name.to_owned(), value?.into_bytes())));
        added.chain(rest).collect()
    }

    fn forward_response(&self, status: u16, headers: Vec<Header>, body: Body) -> CallerResponse {
        log::info!(
            request:% = self.id, route:% = self.route.name, status = status,
            took_ms = self.took_ms();
            "answered"
        );
        CallerResponse {
            status,
            headers,
            body,
        }
    }

    /// Answers that the request was not run, with the time after which to retry. `admitted_share`
    /// is the share of such requests that is admitted now.
    fn refuse(&self, kind: NotRunKind, admitted_share: f64) -> CallerResponse {
        let remaining = self.deadline.since(self.relay.now());
        let wait = {
            let mut coordination = self.relay.coordination();
            retry_after::after_refusal(remaining, admitted_share, &mut coordination.rng)
        };
        log::info!(
            request:% = self.id, route:% = self.route.name, path:% = self.request.head.target,
            kind:% = kind, root = self.is_root, entering = admitted_share, took_ms = self.took_ms(), retry_after_ms = wait.as_millis() as u64;
            "refused"
        );
        self.relay.metrics().record_refusal(&self.route.name, kind);
        CallerResponse::from_node(503, &kind.to_string()).with_retry_after(wait)
    }

    /// Answers that the outcome of the request is unknown.
    fn fail(&self, kind: UnknownKind) -> CallerResponse {
        log::info!(
            request:% = self.id, route:% = self.route.name, kind:% = kind, root = self.is_root,
            took_ms = self.took_ms();
            "failed"
        );
        self.relay.metrics().record_failure(&self.route.name, kind);
        let status = match kind {
            UnknownKind::Deadline => 504,
            _ => 502,
        };
        CallerResponse::from_node(status, &kind.to_string())
    }

    fn took_ms(&self) -> u64 {
        self.relay.now().since(self.arrived).as_millis() as u64
    }
}
