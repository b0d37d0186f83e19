//! The life of one request at the node that read it: treatment, placing, and the final answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use crate::call::Priority;
use crate::clock::Time;
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
use crate::instance::ServiceName;
use crate::protocol::frame;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::relay::Decisions;
use crate::relay::Relay;
use crate::relay::answer::Answer;
use crate::relay::link::Reply;
use crate::relay::offer::OfferWatch;
use crate::relay::run;

/// Instances that one request is offered to, at most. Each offer that is refused costs a hop.
const MAX_OFFERS: usize = 4;

/// Least time left with which a request is sent on.
const LEAST_REMAINING: Duration = Duration::from_millis(10);

/// Calls for each slot of the near instances from which on another region is asked. Its bytes are
/// dear, but a call that waits too long wastes the run that made it.
const CROWDED: f64 = 1.25;

/// Load in percent of the own target from which on it is not preferred to others.
const OWN_BUSY_PERCENT: u16 = 80;

/// A request with what was decided about it.
struct Call<'a> {
    relay: &'a Arc<Relay>,
    route: &'a Arc<Route>,
    request: &'a Request,
    id: &'a str,
    service: ServiceName,
    root: bool,
    arrived: Time,
    deadline: Time,
    /// Whether it may be running, so that only a whole answer or an unknown outcome is true.
    may_run: AtomicBool,
}

/// Answers one request. Dropping the future withdraws it.
pub async fn handle(relay: &Arc<Relay>, request: &Request, arrived: Time) -> Answer {
    let header_names = *relay.header_names();
    let Some(id) = request.head.header(header_names.request_id) else {
        return Answer::own(400, "request id is missing");
    };
    let stated = request.head.header(header_names.deadline_ms);
    let stated = stated
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let Some(table) = relay.view().routes.clone() else {
        let wait = retry_after::not_ready(stated.unwrap_or_default());
        log::info!(request:% = id, kind:% = NotRunKind::NotReady; "refused");
        return Answer::own(503, "no configuration yet").with_retry_after(wait);
    };
    let Some(route) = table.find(&request.head.host, request.head.path()) else {
        log::info!(
            request:% = id, host:% = request.head.host, path:% = request.head.path(),
            version = table.version;
            "no route"
        );
        return Answer::own(404, "no route");
    };
    let Some(call) = decide(relay, route, request, id, stated, arrived) else {
        return Answer::own(503, "route without service");
    };
    let answer = call.answer().await;
    relay
        .figures()
        .request(&route.name, answer.status, relay.now().since(arrived));
    answer
}

fn decide<'a>(
    relay: &'a Arc<Relay>,
    route: &'a Arc<Route>,
    request: &'a Request,
    id: &'a str,
    stated: Option<Duration>,
    arrived: Time,
) -> Option<Call<'a>> {
    let service = relay.decisions().split.next(route)?;
    let remaining = stated.map_or(route.timeout, |stated| stated.min(route.timeout));
    Some(Call {
        relay,
        route,
        request,
        id,
        service,
        root: relay.decisions().gates.is_root(&route.name),
        arrived,
        deadline: arrived.plus(remaining),
        may_run: AtomicBool::new(false),
    })
}

impl Call<'_> {
    async fn answer(&self) -> Answer {
        if let Some(entering) = self.refused_at_root() {
            return self.refuse(NotRunKind::Shed, entering);
        }
        if !self
            .relay
            .decisions()
            .split
            .may_run(self.route, &self.service)
        {
            return self.refuse(NotRunKind::Overloaded, 0.5);
        }
        if !self.root {
            let now = self.relay.now();
            self.relay
                .decisions()
                .fanout
                .call_sent(&self.route.name, now);
        }
        let left = self.deadline.since(self.relay.now());
        match tokio::time::timeout(left, self.place()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ErrorKind::NotRun(kind))) => {
                self.note_turned_away();
                self.refuse(kind, 0.5)
            }
            Ok(Err(ErrorKind::Unknown(kind))) => self.fail(kind),
            Err(_) if self.may_run.load(Ordering::Relaxed) => self.fail(UnknownKind::Deadline),
            Err(_) => self.refuse(NotRunKind::DeadlineInQueue, 0.5),
        }
    }

    /// Returns the share of its route that enters, if this request does not. What is not known to
    /// be a root always enters, because a run above it may have paid already.
    fn refused_at_root(&self) -> Option<f64> {
        if !self.root {
            return None;
        }
        let now = self.relay.now();
        let mut decisions = self.relay.decisions();
        let Decisions {
            entry, gates, rng, ..
        } = &mut *decisions;
        let share = entry.record_arrival(&self.route.name, self.route.rank, gates, now);
        if share >= 1.0 {
            return None;
        }
        let Request { head, body } = self.request;
        let asked = fingerprint::of_content(&head.method, &head.target, body);
        let luck = rng.random_range(0.0..1.0);
        let admitted = entry.admit(asked, share, luck, now);
        (!admitted).then_some(share)
    }

    fn note_turned_away(&self) {
        let now = self.relay.now();
        let mut decisions = self.relay.decisions();
        decisions.gates.record_rejection(&self.route.name, now);
    }

    /// Offers the request to one instance after the other, until one answers.
    async fn place(&self) -> Result<Answer, ErrorKind> {
        let mut tried: Vec<InstanceName> = Vec::new();
        let mut sends = 0;
        let mut last = ErrorKind::NotRun(NotRunKind::NoInstance);
        let now = self.relay.now();
        self.relay
            .decisions()
            .spend
            .record_request(&self.service, now);
        while tried.len() < MAX_OFFERS {
            if self.deadline.since(self.relay.now()) < LEAST_REMAINING {
                return Err(last);
            }
            if sends > 0 && !self.may_send_again(sends) {
                return Err(last);
            }
            let pick = match self.choose(&tried) {
                Choice::Send(pick) => pick,
                Choice::Unavailable(kind) if tried.is_empty() => return Err(kind.into()),
                Choice::Unavailable(_) => return Err(last),
            };
            tried.push(pick.instance.name.clone());
            let reply = self.offer(&pick).await;
            match reply.outcome {
                RunOutcome::Answered {
                    status,
                    signature,
                    headers,
                    body,
                } => {
                    let headers = self.answer_headers(signature, frame::from_wire(headers));
                    return Ok(self.pass_on(status, headers, body));
                }
                RunOutcome::NotRun {
                    kind,
                    refused_by_target,
                } => {
                    sends += u32::from(refused_by_target);
                    if !matches!(last, ErrorKind::Unknown(_)) {
                        last = kind.into();
                    }
                }
                RunOutcome::Unknown(kind) => {
                    sends += 1;
                    last = kind.into();
                    if !self.route.idempotent || kind == UnknownKind::Deadline {
                        return Err(last);
                    }
                }
            }
            let may_run = matches!(last, ErrorKind::Unknown(_));
            self.may_run.store(may_run, Ordering::Relaxed);
        }
        Err(last)
    }

    fn may_send_again(&self, sends: u32) -> bool {
        let now = self.relay.now();
        sends < self.route.max_attempts && self.relay.decisions().spend.take(&self.service, now)
    }

    fn choose(&self, tried: &[InstanceName]) -> Choice {
        if let Some(pick) = self.own_target(tried) {
            return Choice::Send(pick);
        }
        let now = self.relay.now();
        let mut decisions = self.relay.decisions();
        let Decisions { router, rng, .. } = &mut *decisions;
        let near = PickArgs {
            service: &self.service,
            priority: self.priority(),
            idempotent: self.route.idempotent,
            cross_region: false,
            tried,
            untried_only: true,
        };
        let nearest = router.choose(&near, now, rng);
        let crowded = |pick: &Pick| router.is_overloaded(pick, CROWDED, now);
        if matches!(&nearest, Choice::Send(pick) if !crowded(pick)) {
            return nearest;
        }
        let far = PickArgs {
            cross_region: true,
            ..near
        };
        let farther = router.choose(&far, now, rng);
        match (&nearest, &farther) {
            (Choice::Unavailable(_), _) => farther,
            (_, Choice::Send(pick)) if !router.is_overloaded(pick, CROWDED, now) => farther,
            _ => nearest,
        }
    }

    /// Returns the priority; a call whose root has been paid for goes first.
    fn priority(&self) -> Priority {
        match self.root {
            true => route::queue_priority(self.route.rank),
            false => Priority::Critical,
        }
    }

    /// Returns the target beside this node, if it serves the request and has room.
    fn own_target(&self, tried: &[InstanceName]) -> Option<Pick> {
        let own = self.relay.own_target()?;
        let fits = own.instance.service == self.service && !tried.contains(&own.instance.name);
        let free = self.relay.intake().percent() < OWN_BUSY_PERCENT;
        let open = self.relay.check_target(&own.instance.name).is_ok();
        (fits && free && open).then_some(Pick {
            instance: own.instance,
            distance: Distance::Domain,
            link_charge: None,
        })
    }

    async fn offer(&self, pick: &Pick) -> Reply {
        let now = self.relay.now();
        self.relay.decisions().router.attempt_sent(pick, now);
        let mut watch = OfferWatch::new(self.relay, self.route, &self.service, pick, now);
        self.may_run.store(true, Ordering::Relaxed);
        let req = self.run_request(pick, now);
        let reply = match self.is_here(pick) {
            true => Reply {
                outcome: run::run_here(self.relay, req, now).await,
                load: Some(self.relay.load_report(&self.route.name)),
            },
            false => self.relay.links().run(pick.instance.peer, req).await,
        };
        watch.ended(&reply);
        reply
    }

    fn is_here(&self, pick: &Pick) -> bool {
        pick.instance.peer.ip() == self.relay.cfg().peers.ip()
    }

    fn run_request(&self, pick: &Pick, now: Time) -> RunRequest {
        let header_names = self.relay.header_names();
        let head = &self.request.head;
        let forwarded = head
            .headers
            .iter()
            .filter(|(n, _)| !header_names.is_set_by_node(n));
        let forwarded: Vec<Header> = forwarded.cloned().collect();
        RunRequest {
            number: 0,
            target: pick.instance.name.clone(),
            route: self.route.name.to_string(),
            version: self.relay.version(),
            remaining_ms: self.deadline.since(now).as_millis() as u32,
            rank: self.route.rank,
            idempotent: self.route.idempotent,
            is_root: self.root,
            id: self.id.to_owned(),
            caller_service: self.relay.cfg().service.to_string(),
            method: head.method.clone(),
            path: head.target.clone(),
            host: head.host.clone(),
            headers: frame::to_wire(&forwarded),
            body: self.request.body.clone(),
        }
    }

    /// Adds the headers of an answer that do not travel between nodes by name.
    fn answer_headers(&self, signature: Option<String>, rest: Vec<Header>) -> Vec<Header> {
        let header_names = self.relay.header_names();
        let id = (header_names.request_id, Some(self.id.to_owned()));
        let own = [id, (header_names.signature, signature)];
        let own = own
            .into_iter()
            .filter_map(|(name, value)| Some((name.to_owned(), value?.into_bytes())));
        own.chain(rest).collect()
    }

    fn pass_on(&self, status: u16, headers: Vec<Header>, body: Vec<u8>) -> Answer {
        log::info!(
            request:% = self.id, route:% = self.route.name, status = status,
            took_ms = self.took_ms();
            "answered"
        );
        Answer {
            status,
            headers,
            body,
        }
    }

    /// The request was not run: the caller is told when to come back.
    fn refuse(&self, kind: NotRunKind, entering: f64) -> Answer {
        let remaining = self.deadline.since(self.relay.now());
        let wait = {
            let mut decisions = self.relay.decisions();
            retry_after::after_refusal(remaining, entering, &mut decisions.rng)
        };
        log::info!(
            request:% = self.id, route:% = self.route.name, path:% = self.request.head.target,
            kind:% = kind, root = self.root, entering = entering, took_ms = self.took_ms(), retry_after_ms = wait.as_millis() as u64;
            "refused"
        );
        self.relay.figures().refused(&self.route.name, kind);
        Answer::own(503, &kind.to_string()).with_retry_after(wait)
    }

    /// The request may have run: nothing is promised.
    fn fail(&self, kind: UnknownKind) -> Answer {
        log::info!(
            request:% = self.id, route:% = self.route.name, kind:% = kind, root = self.root,
            took_ms = self.took_ms();
            "failed"
        );
        self.relay.figures().failed(&self.route.name, kind);
        let status = match kind {
            UnknownKind::Deadline => 504,
            _ => 502,
        };
        Answer::own(status, &kind.to_string())
    }

    fn took_ms(&self) -> u64 {
        self.relay.now().since(self.arrived).as_millis() as u64
    }
}
