//! The egress port: sub-calls of the instance's own target, and the sending of calls to other
//! nodes.

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
use crate::transport::body::RequestBody;
use crate::transport::body::ResponseBody;
use crate::transport::call_guard::log_end;
use crate::transport::head::Head;
use crate::transport::http_client::HttpResponse;
use crate::transport::request_body;
use crate::transport::response;
use crate::transport::response::Connection;

/// Handler of the egress port, which serves the sub-calls of the instance's own target.
///
/// The first segment of the path names the service; the rest is the path at that service.
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

/// A call that this node sends to other nodes.
pub struct OutgoingCall<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// HTTP method.
    pub method: &'a http::Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: &'a Bytes,
    /// Context, with the spare attempts that the call may use.
    pub context: &'a CallContext,
    /// Whether the call may be sent to another region.
    pub cross_region: bool,
    /// Instance to which the call must not be sent.
    pub excluded: Option<&'a InstanceName>,
}

/// Serves one sub-call: leases its spare attempts, sends it and returns the unused ones.
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
    let child = lease_child(node, &head, &options).map_err(refusal)?;
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
        Outcome::Completed(received) => Ok(response::completed(
            received,
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

/// Splits a target into the service and the path and query at that service.
fn split_service(target: &str) -> Option<(ServiceName, &str)> {
    let rest = target.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    (!service.is_empty()).then(|| (ServiceName::new(service), path))
}

/// Leases spare attempts from the running call that the context header names.
///
/// Without that header the sub-call gets the lowest priority and no spare attempts.
fn lease_child(node: &Node, head: &Head, options: &CallOptions) -> Result<ChildCall, NotRunKind> {
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

/// Sends a sub-call and cancels it when its parent call ends. Returns the outcome and the number
/// of spare attempts used; of a cancelled sub-call all count as used.
async fn send_child(
    node: &Arc<Node>,
    child: &ChildCall,
    out: &OutgoingCall<'_>,
) -> (Outcome<HttpResponse>, u32) {
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

/// The plan of a call. Attempts that are still open when it is dropped are cancelled, so that they
/// no longer count as in flight.
struct PlanGuard<'a> {
    node: &'a Node,
    plan: Plan,
}

impl Drop for PlanGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        self.node.dispatcher.cancel_attempts(&mut self.plan, now);
    }
}

/// Sends a call, with as many attempts as its context allows.
///
/// Returns the outcome and the number of spare attempts used.
pub async fn send_call(node: &Arc<Node>, out: &OutgoingCall<'_>) -> (Outcome<HttpResponse>, u32) {
    let call = Call {
        service: out.service,
        context: out.context,
        request_bytes: out.body.len() as u64,
        cross_region: out.cross_region,
        excluded: out.excluded,
    };
    let plan = node.dispatcher.begin(&call, node.clock.now());
    let mut guard = PlanGuard { node, plan };
    let plan = &mut guard.plan;
    let mut open = FuturesUnordered::new();
    let mut merged: Option<Outcome<HttpResponse>> = None;
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
                record_attempt(node, plan, &ended);
                let outcome = match merged.take() {
                    None => ended.outcome,
                    Some(earlier) => earlier.merge(ended.outcome),
                };
                if matches!(outcome, Outcome::Completed(_)) {
                    return (outcome, plan.used_attempts());
                }
                merged = Some(outcome);
            }
            Step::Fail(kind) => {
                if let Some(reason) = plan.denied() {
                    node.telemetry
                        .metrics
                        .record_denied_retry(out.service, reason);
                }
                let failed = Outcome::from_kind(kind);
                let outcome = match merged {
                    None => failed,
                    Some(earlier) => earlier.merge(failed),
                };
                return (outcome, plan.used_attempts());
            }
        }
    }
}

/// Returns the next attempt that ends, or `None` if none does within `wait` or none is open.
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

/// Reports the result of an attempt to the dispatcher, and the bytes that it received over a link
/// between regions to the metrics.
fn record_attempt(node: &Node, plan: &mut Plan, ended: &FinishedAttempt) {
    let (result, bytes) = match &ended.outcome {
        Outcome::Completed(received) => {
            (Ok(received.status.as_u16()), buffered_len(&received.body))
        }
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
        used_attempts: ended.used_attempts,
        level: ended.level.as_deref(),
        took: now.since(ended.sent),
        bytes,
    };
    node.dispatcher
        .record_attempt_end(plan, &ended.attempt, &report, now);
}

/// Returns the size of a buffered body in bytes, and 0 for a streamed one, whose size is unknown.
fn buffered_len(body: &ResponseBody) -> u64 {
    match body {
        ResponseBody::Buffered(bytes) => bytes.len() as u64,
        ResponseBody::Streamed(_) => 0,
    }
}
