//! HTTP egress of a node: sub-calls of its own target.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::HeaderMap;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::route::Handler;

use crate::call::CallContext;
use crate::call::Priority;
use crate::coordination::call_options::CallOptions;
use crate::coordination::dispatch::AttemptReport;
use crate::coordination::dispatch::Call;
use crate::coordination::dispatch::Plan;
use crate::coordination::dispatch::Step;
use crate::coordination::gate::ChildCall;
use crate::coordination::gate::Refusal;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::instance::InstanceName;
use crate::instance::ServiceName;
use crate::metrics::FinishedCall;
use crate::metrics::Side;
use crate::node::Node;
use crate::protocol::header;
use crate::state::calls::SubCall;
use crate::transport::attempt::FinishedAttempt;
use crate::transport::attempt::send_attempt;
use crate::transport::body::AnswerBody;
use crate::transport::body::RequestBody;
use crate::transport::call_guard::log_end;
use crate::transport::head::Head;
use crate::transport::http_client::Answer;
use crate::transport::request_body;
use crate::transport::response;
use crate::transport::response::Connection;

/// Serves the sub-calls of the instance's own target.
///
/// The first segment of the path names the service, the rest is the path at that service.
#[derive(Clone)]
pub struct Egress(pub Arc<Node>);

#[rocket::async_trait]
impl Handler for Egress {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> rocket::route::Outcome<'r> {
        let response = match serve(&self.0, req, data).await {
            Ok(response) => response,
            Err(refusal) => response::error(&refusal, &self.0.response_headers(None)),
        };
        rocket::route::Outcome::Success(response)
    }
}

/// A call that this node sends.
pub struct OutgoingCall<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// HTTP method.
    pub method: &'a http::Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: &'a Bytes,
    /// Context, with the spare attempts that the call may use.
    pub context: &'a CallContext,
    /// Whether the call may leave its region.
    pub cross_region: bool,
    /// Instance that must not be used.
    pub excluded: Option<&'a InstanceName>,
}

async fn serve<'r>(
    node: &Arc<Node>,
    req: &'r Request<'_>,
    data: Data<'r>,
) -> Result<Response<'r>, Refusal> {
    let refusal = |kind: NotRunKind| Refusal {
        kind: kind.into(),
        token: None,
    };
    let head = Head::read(req, node.settings.limits.max_header_bytes as usize).map_err(refusal)?;
    let (service, target) =
        split_service(&head.target).ok_or(refusal(NotRunKind::NoSuchService))?;
    node.discover_service(&service).await;
    let policy = node.policy();
    let path = target.split('?').next().unwrap_or_default();
    let rule = policy.rule_for(head.method.as_str(), service.as_str(), path);
    let options = CallOptions::new(rule, head.method.as_str());
    let child = child_of(node, &head, &options).map_err(refusal)?;
    let RequestBody::Buffered(body) = request_body::read_body(node, &head, data)
        .await
        .map_err(refusal)?
    else {
        node.gate.return_unused(&child, child.context.spare);
        return Err(refusal(NotRunKind::BodyTooLarge));
    };
    let out = OutgoingCall {
        service: &service,
        method: &head.method,
        target,
        headers: head.forwarded(),
        body: &body,
        context: &child.context,
        cross_region: options.cross_region,
        excluded: None,
    };
    let began = node.clock.now();
    let (outcome, used) = send_child(node, &child, &out).await;
    let end = FinishedCall {
        side: Side::Egress,
        service: &service,
        priority: child.context.priority,
        error: outcome.error(),
        took: node.clock.now().since(began),
    };
    node.record_call(&end);
    log_end(child.context.request, &end);
    node.gate
        .return_unused(&child, child.context.spare.saturating_sub(used));
    let connection = Connection {
        local_port: node.egress_port(),
        remote: req.remote(),
    };
    match outcome {
        Outcome::Completed(answer) => Ok(response::completed(
            answer,
            &node.response_headers(Some(used)),
            None,
            connection,
        )),
        Outcome::NotRun(kind) => Err(refusal(kind)),
        Outcome::Unknown(kind) => Err(Refusal {
            kind: kind.into(),
            token: None,
        }),
    }
}

fn split_service(target: &str) -> Option<(ServiceName, &str)> {
    let rest = target.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    (!service.is_empty()).then(|| (ServiceName::new(service), path))
}

/// Leases spare attempts from the call that the context header names.
///
/// Without that header the sub-call has the lowest priority and no spare attempts.
fn child_of(node: &Node, head: &Head, options: &CallOptions) -> Result<ChildCall, NotRunKind> {
    let Some(text) = head.header_text(header::CONTEXT) else {
        let mut context = options.root_context(node.new_request_id(), None, true);
        context.priority = Priority::Background;
        return Ok(ChildCall {
            lease: None,
            context,
        });
    };
    let sub_call = SubCall {
        idempotent: options.idempotent,
        timeout: options.timeout,
        want: options.spare,
    };
    node.gate.lease(text.parse()?, &sub_call, node.clock.now())
}

/// Sends a sub-call, and stops when the call that made it has ended.
async fn send_child(
    node: &Arc<Node>,
    child: &ChildCall,
    out: &OutgoingCall<'_>,
) -> (Outcome<Answer>, u32) {
    let Some(lease) = child.lease else {
        return send_call(node, out).await;
    };
    let stopped = node.leases.register(lease);
    let ended = tokio::select! {
        ended = send_call(node, out) => ended,
        Ok(()) = stopped => (Outcome::Unknown(UnknownKind::Cancelled), out.context.spare),
    };
    node.leases.remove(lease);
    ended
}

/// The attempts of a call; those that are open when it is dropped are withdrawn.
struct Attempts<'a> {
    node: &'a Node,
    plan: Plan,
}

impl Drop for Attempts<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        self.node.dispatcher.cancel_attempts(&mut self.plan, now);
    }
}

/// Sends a call, with as many attempts as its context allows.
///
/// Returns the outcome and the spare attempts used.
pub async fn send_call(node: &Arc<Node>, out: &OutgoingCall<'_>) -> (Outcome<Answer>, u32) {
    let call = Call {
        service: out.service,
        context: out.context,
        cross_region: out.cross_region,
        excluded: out.excluded,
    };
    let plan = node.dispatcher.begin(&call, node.clock.now());
    let mut attempts = Attempts { node, plan };
    let plan = &mut attempts.plan;
    let mut open = FuturesUnordered::new();
    let mut so_far: Option<Outcome<Answer>> = None;
    loop {
        match node.next_step(plan) {
            Step::Send(attempt) => {
                if let Some(reason) = attempt.reason {
                    node.telemetry.metrics.record_retry(out.service, reason);
                }
                open.push(send_attempt(node, out, *attempt));
            }
            Step::Wait(until) => {
                let wait = until.map(|until| until.since(node.clock.now()));
                let Some(ended) = next_within(&mut open, wait).await else {
                    continue;
                };
                note(node, plan, &ended);
                let outcome = match so_far.take() {
                    None => ended.outcome,
                    Some(earlier) => earlier.merge(ended.outcome),
                };
                if matches!(outcome, Outcome::Completed(_)) {
                    return (outcome, plan.used_attempts());
                }
                so_far = Some(outcome);
            }
            Step::Fail(kind) => {
                if let Some(reason) = plan.denied() {
                    node.telemetry
                        .metrics
                        .record_denied_retry(out.service, reason);
                }
                let failed = Outcome::from_kind(kind);
                let outcome = match so_far {
                    None => failed,
                    Some(earlier) => earlier.merge(failed),
                };
                return (outcome, plan.used_attempts());
            }
        }
    }
}

async fn next_within<F>(
    open: &mut FuturesUnordered<F>,
    wait: Option<std::time::Duration>,
) -> Option<FinishedAttempt>
where
    F: Future<Output = FinishedAttempt>,
{
    match wait {
        None => open.next().await,
        Some(wait) => tokio::time::timeout(wait, open.next()).await.ok().flatten(),
    }
}

fn note(node: &Node, plan: &mut Plan, ended: &FinishedAttempt) {
    let (result, bytes) = match &ended.outcome {
        Outcome::Completed(answer) => (Ok(answer.status.as_u16()), held_bytes(&answer.body)),
        Outcome::NotRun(kind) => (Err(ErrorKind::NotRun(*kind)), 0),
        Outcome::Unknown(kind) => (Err(ErrorKind::Unknown(*kind)), 0),
    };
    if ended.attempt.pick.link_charge.is_some() {
        let region = &ended.attempt.instance().region;
        node.telemetry.metrics.record_link_bytes(region, bytes);
    }
    let now = node.clock.now();
    let report = AttemptReport {
        result,
        used_attempts: ended.spent,
        level: ended.level.as_deref(),
        took: now.since(ended.sent),
        bytes,
    };
    node.dispatcher
        .record_attempt_end(plan, &ended.attempt, &report, now);
}

fn held_bytes(body: &AnswerBody) -> u64 {
    match body {
        AnswerBody::Buffered(bytes) => bytes.len() as u64,
        AnswerBody::Streamed(_) => 0,
    }
}
