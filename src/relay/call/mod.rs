//! Handles one request at the node that received it from a caller: its route, its sender, and whether
//! it is admitted.

mod answer;
pub(super) mod dispatch;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use crate::clock::Time;
use crate::coordination::hold;
use crate::coordination::organisations::Organisation;
use crate::coordination::retry_after;
use crate::coordination::route;
use crate::coordination::route::Route;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint;
use crate::http1::reader::Request;
use crate::instance::ServiceName;
use crate::relay::CoordinationState;
use crate::relay::Relay;
use crate::relay::identity;
use crate::relay::identity::Sender;
use crate::relay::response::CallerResponse;

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
    let sender = match identity::identify(relay, &table, route, &request.head) {
        Ok(sender) => sender,
        Err(e) => {
            log::info!(
                request:% = id, route:% = route.name, version = table.version,
                age_ms = relay.config_age().map_or(-1, |age| age.as_millis() as i64), error:% = e;
                "request is not accepted"
            );
            return answer::reject(relay, route, e, caller_timeout.unwrap_or(route.timeout));
        }
    };
    let call = build_call(relay, route, request, id, sender, caller_timeout, arrived);
    let Some(call) = call else {
        return CallerResponse::from_node(503, "route without service");
    };
    let response = call.respond().await;
    relay
        .metrics()
        .record_request(&route.name, response.status, relay.now().since(arrived));
    response
}

fn build_call<'a>(
    relay: &'a Arc<Relay>,
    route: &'a Arc<Route>,
    request: &'a Request,
    id: &'a str,
    sender: Sender,
    caller_timeout: Option<Duration>,
    arrived: Time,
) -> Option<Call<'a>> {
    let Sender {
        organisation,
        has_keys,
    } = sender;
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
        has_keys,
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
        let caller = self.organisation.as_ref().map(|o| &o.name);
        let fingerprint = fingerprint::of_content(caller, &head.method, &head.target, body);
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

    fn took_ms(&self) -> u64 {
        self.relay.now().since(self.arrived).as_millis() as u64
    }
}
