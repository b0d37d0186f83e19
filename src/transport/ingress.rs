//! The ingress port: calls from callers and from other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::route::Handler;
use tokio::sync::oneshot;

use crate::call::CallContext;
use crate::clock::Time;
use crate::coordination::admission::Ticket;
use crate::coordination::gate::Arrival;
use crate::coordination::gate::ArrivalDecision;
use crate::coordination::gate::Refusal;
use crate::coordination::gate::Source;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::node::Node;
use crate::protocol::header;
use crate::state::calls::ContextId;
use crate::transport::body;
use crate::transport::body::RequestBody;
use crate::transport::body::ResponseBody;
use crate::transport::body::ResponseStream;
use crate::transport::body::StreamEnd;
use crate::transport::call_guard::CallGuard;
use crate::transport::egress;
use crate::transport::http_client;
use crate::transport::http_client::HttpResponse;
use crate::transport::incoming_call::IncomingCall;
use crate::transport::incoming_call::fingerprint;
use crate::transport::incoming_call::read_call;
use crate::transport::kept_response::KeptResponse;
use crate::transport::request_body;
use crate::transport::response;
use crate::transport::response::Connection;
use crate::waiters::AdmissionDecision;
use crate::waiters::CallSignals;

/// Handler of the ingress port, which serves the calls that arrive for the instance.
#[derive(Clone)]
pub struct Ingress(pub Arc<Node>);

#[rocket::async_trait]
impl Handler for Ingress {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> rocket::route::Outcome<'r> {
        let response = match serve(&self.0, req, data).await {
            Ok(response) => response,
            Err(refusal) => response::error(&refusal, &self.0.response_headers(None)),
        };
        rocket::route::Outcome::Success(response)
    }
}

/// Serves one call: reads it, has it decided, and runs, joins, replays, moves or refuses it.
async fn serve<'r>(
    node: &Arc<Node>,
    req: &'r Request<'_>,
    data: Data<'r>,
) -> Result<Response<'r>, Refusal> {
    let ready = node.is_ready();
    if !ready && req.headers().get_one(header::TOKEN).is_none() {
        return Err(NotRunKind::NotReady.into());
    }
    let mut call = read_call(node, req)?;
    let body = request_body::read_body(node, &call.head, data).await?;
    let connection = Connection {
        local_port: node.ingress_port(),
        remote: req.remote(),
    };
    let ticket = node.next_ticket();
    let expected = node.waiters.register(ticket);
    let guard = CallGuard::new(node, ticket, &call.source, &call.context);
    match decide(node, ticket, &mut call, &body, ready) {
        ArrivalDecision::Refused(refusal) => {
            move_call(guard, &call, body.resendable(), refusal, connection).await
        }
        ArrivalDecision::Replayed(kept) => {
            let headers = node.response_headers(None);
            Ok(response::completed(
                kept.to_response(),
                &headers,
                None,
                connection,
            ))
        }
        ArrivalDecision::Joined(_) | ArrivalDecision::Offered => {
            wait_for_start(guard, &call, body, expected, connection).await
        }
    }
}

/// Asks the gate for a decision on a call.
fn decide(
    node: &Node,
    ticket: Ticket,
    call: &mut IncomingCall,
    body: &RequestBody<'_>,
    ready: bool,
) -> ArrivalDecision<KeptResponse> {
    let buffered = match body {
        RequestBody::Buffered(bytes) => Some(bytes),
        RequestBody::Streamed { .. } => None,
    };
    let fingerprint = fingerprint(node, &call.head, buffered);
    let mut arrival = Arrival {
        ticket,
        context: &mut call.context,
        source: call.source.clone(),
        token: call.head.header_text(header::TOKEN),
        fingerprint,
        whole_body: buffered.is_some(),
        ready,
    };
    node.arrive(&mut arrival)
}

/// Waits until a call is started, dropped or cancelled, its deadline passes, or the run that it
/// joined ends; then runs it, moves it or answers it.
async fn wait_for_start<'r>(
    guard: CallGuard,
    call: &IncomingCall,
    body: RequestBody<'r>,
    mut expected: CallSignals,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let node = guard.node.clone();
    let deadline = node.clock.now().plus(call.context.remaining);
    let dropped = tokio::select! {
        biased;
        decision = expected.start => match decision {
            Ok(AdmissionDecision::Start) => {
                return run(guard, call, body, expected.stop, deadline, connection).await;
            }
            Ok(AdmissionDecision::Shared(outcome)) => return respond_to_joined(guard, outcome, connection),
            Ok(AdmissionDecision::Drop(kind)) => node.gate.drop_error(guard.ticket, kind),
            Err(_) => node.gate.drop_error(guard.ticket, NotRunKind::DeadlineInQueue),
        },
        kind = &mut expected.stop => kind.unwrap_or(UnknownKind::Cancelled).into(),
        () = tokio::time::sleep(deadline.since(node.clock.now())) => {
            node.gate.drop_error(guard.ticket, NotRunKind::DeadlineInQueue)
        }
    };
    move_call(guard, call, body.resendable(), dropped.into(), connection).await
}

/// Answers a joined call with the outcome of the run that it shares.
fn respond_to_joined<'r>(
    guard: CallGuard,
    outcome: Outcome<KeptResponse>,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let node = guard.node.clone();
    match outcome {
        Outcome::Completed(kept) => {
            let used_attempts = guard.end(&Outcome::Completed(Some(kept.clone())));
            let headers = node.response_headers(Some(used_attempts));
            Ok(response::completed(
                kept.to_response(),
                &headers,
                None,
                connection,
            ))
        }
        Outcome::NotRun(kind) => Err(guard.refuse(kind.into())),
        Outcome::Unknown(kind) => Err(guard.refuse(kind.into())),
    }
}

/// Runs a call at the target. Its outcome is unknown if it is stopped or its deadline passes first.
async fn run<'r>(
    guard: CallGuard,
    call: &IncomingCall,
    body: RequestBody<'r>,
    stop: oneshot::Receiver<UnknownKind>,
    deadline: Time,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let node = guard.node.clone();
    let Some(id) = node.begin(guard.ticket) else {
        return Err(guard.refuse(NotRunKind::Overloaded.into()));
    };
    let resendable = body.resendable();
    let req = target_request(&node, id, call, deadline);
    let (req, mut upload) = request_body::with_body(&node, req, body);
    let remaining = deadline.since(node.clock.now());
    let sending = http_client::send(req, node.settings.limits.response_buffer_bytes as usize);
    let outcome = tokio::select! {
        outcome = request_body::drive(sending, &mut upload) => outcome,
        kind = stop => Outcome::Unknown(kind.unwrap_or(UnknownKind::Cancelled)),
        () = tokio::time::sleep(remaining) => Outcome::Unknown(UnknownKind::Deadline),
    };
    match outcome {
        Outcome::Completed(received) => Ok(forward_response(
            guard, call, received, upload, deadline, connection,
        )),
        Outcome::NotRun(kind) => {
            let refused = refused_by_target(kind).into();
            move_call(guard, call, resendable, refused, connection).await
        }
        Outcome::Unknown(kind) => {
            let kind = check_crash(&node, kind).await;
            Err(guard.refuse(kind.into()))
        }
    }
}

/// Converts the error kind of a failed connection: `NoInstance` here means that the instance's own
/// target cannot be reached, and that the call may be run at another one.
fn refused_by_target(kind: NotRunKind) -> NotRunKind {
    match kind {
        NotRunKind::NoInstance => NotRunKind::TargetUnreachable,
        kind => kind,
    }
}

/// Distinguishes a crash of the target from a lost connection by connecting again: after a crash
/// the connection is refused. Reports a crash to the gate.
async fn check_crash(node: &Node, kind: UnknownKind) -> UnknownKind {
    let broken = [UnknownKind::ConnectionLost, UnknownKind::AnswerTruncated];
    if !broken.contains(&kind) {
        return kind;
    }
    match tokio::net::TcpStream::connect(node.settings.target).await {
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            node.record_target_crash();
            UnknownKind::TargetCrashed
        }
        _ => kind,
    }
}

/// Forwards a response and ends its call: at once if the response is buffered, and at the end of
/// the stream if it is streamed.
fn forward_response<'r>(
    guard: CallGuard,
    call: &IncomingCall,
    mut received: HttpResponse,
    upload: Option<request_body::BodyUpload<'r>>,
    deadline: Time,
    connection: Connection,
) -> Response<'r> {
    let node = guard.node.clone();
    let used_attempts = match received.body {
        ResponseBody::Buffered(ref bytes) => {
            let kept = KeptResponse::new(received.status, &received.headers, bytes);
            Some(guard.end(&Outcome::Completed(Some(kept))))
        }
        ResponseBody::Streamed(stream) => {
            let stream = with_timeout(stream, deadline.since(node.clock.now()));
            let on_end = move |end| {
                guard.end(&streamed_outcome(end));
            };
            received.body = ResponseBody::Streamed(body::notify_on_end(stream, on_end));
            None
        }
    };
    let upload = upload.map(|upload| upload.boxed());
    let mut headers = node.response_headers(used_attempts);
    if call.needs_token() {
        headers.token = node.mint();
    }
    response::completed(received, &headers, upload, connection)
}

/// Returns the outcome of a call whose response was streamed. Such a response is not kept.
fn streamed_outcome(end: StreamEnd) -> Outcome<Option<KeptResponse>> {
    match end {
        StreamEnd::Complete => Outcome::Completed(None),
        StreamEnd::Truncated => Outcome::Unknown(UnknownKind::AnswerTruncated),
        StreamEnd::Abandoned => Outcome::Unknown(UnknownKind::Cancelled),
    }
}

/// Returns a stream that fails if `stream` has not ended within `remaining`.
fn with_timeout(stream: ResponseStream, remaining: Duration) -> ResponseStream {
    let timeout = tokio::time::sleep(remaining).map(|()| Err(std::io::Error::other("deadline")));
    let timeout = futures_util::stream::once(timeout);
    let ended = futures_util::stream::once(async { None });
    let stream = stream.map(Some).chain(ended);
    futures_util::stream::select(stream, timeout.map(Some))
        .take_while(|chunk| std::future::ready(chunk.is_some()))
        .filter_map(std::future::ready)
        .boxed()
}

/// Builds the request to the target, with the context header for its sub-calls and the remaining
/// time in milliseconds.
fn target_request(
    node: &Node,
    id: ContextId,
    call: &IncomingCall,
    deadline: Time,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{}", node.settings.target, call.head.target);
    let remaining_ms = deadline.since(node.clock.now()).as_millis();
    node.client
        .request(call.head.method.clone(), url)
        .headers(call.head.forwarded())
        .header(header::CONTEXT, id.to_string())
        .header(header::TIMEOUT_MS, remaining_ms.to_string())
}

/// Sends a call that was refused here to another instance of the service, if that is allowed, and
/// answers with the refusal otherwise. A call is moved only once.
///
/// The call's token stays in progress until the moved call has ended.
async fn move_call<'r>(
    guard: CallGuard,
    call: &IncomingCall,
    body: Option<Bytes>,
    refused: Refusal,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let Some(bytes) = body else {
        return Err(guard.refuse_with(refused));
    };
    if !may_move(call, &refused) {
        return Err(guard.refuse_with(refused));
    }
    let moved = CallContext {
        moved: true,
        spare: call.context.spare - 1,
        depth: call.context.depth + 1,
        ..call.context.clone()
    };
    let node = guard.node.clone();
    let out = egress::OutgoingCall {
        service: &node.service,
        method: &call.head.method,
        target: &call.head.target,
        headers: call.head.forwarded(),
        body: &bytes,
        context: &moved,
        cross_region: call.cross_region,
        excluded: Some(&node.name),
    };
    let deadline = node.clock.now().plus(moved.remaining);
    match egress::send_call(&node, &out).await.0 {
        Outcome::Completed(received) => Ok(forward_response(
            guard, call, received, None, deadline, connection,
        )),
        Outcome::NotRun(_) => Err(guard.refuse_with(refused)),
        Outcome::Unknown(kind) => Err(guard.refuse(kind.into())),
    }
}

/// Returns whether a call that was refused here may be sent to another instance.
///
/// A non-idempotent call without a token may not: its caller could not find out afterwards whether
/// it was run.
fn may_move(call: &IncomingCall, refused: &Refusal) -> bool {
    let from_caller = matches!(call.source, Source::Caller { .. });
    let safe = call.context.idempotent || call.head.header_text(header::TOKEN).is_some();
    let not_run = matches!(refused.kind, ErrorKind::NotRun(kind) if kind != NotRunKind::NotReady);
    from_caller && safe && not_run && call.context.spare > 0 && refused.kind.try_other()
}
