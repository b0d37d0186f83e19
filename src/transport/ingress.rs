//! HTTP ingress of a node: calls from callers and from other nodes.

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
use crate::transport::body::AnswerBody;
use crate::transport::body::AnswerStream;
use crate::transport::body::RequestBody;
use crate::transport::body::StreamEnd;
use crate::transport::call_guard::CallGuard;
use crate::transport::egress;
use crate::transport::http_client;
use crate::transport::http_client::Answer;
use crate::transport::incoming_call::IncomingCall;
use crate::transport::incoming_call::fingerprint;
use crate::transport::incoming_call::read_call;
use crate::transport::kept_answer::KeptAnswer;
use crate::transport::request_body;
use crate::transport::response;
use crate::transport::response::Connection;
use crate::waiters::AdmissionDecision;
use crate::waiters::CallSignals;

/// Serves calls that arrive for the instance.
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
    match arrive(node, ticket, &mut call, &body, ready) {
        ArrivalDecision::Refused(refusal) => {
            move_sideways(guard, &call, body.resendable(), refusal, connection).await
        }
        ArrivalDecision::Replayed(kept) => {
            let headers = node.response_headers(None);
            Ok(response::completed(
                kept.to_answer(),
                &headers,
                None,
                connection,
            ))
        }
        ArrivalDecision::Joined(_) | ArrivalDecision::Offered => {
            wait(guard, &call, body, expected, connection).await
        }
    }
}

fn arrive(
    node: &Node,
    ticket: Ticket,
    call: &mut IncomingCall,
    body: &RequestBody<'_>,
    ready: bool,
) -> ArrivalDecision<KeptAnswer> {
    let held = match body {
        RequestBody::Buffered(bytes) => Some(bytes),
        RequestBody::Streamed { .. } => None,
    };
    let fingerprint = fingerprint(node, &call.head, held);
    let mut arrival = Arrival {
        ticket,
        context: &mut call.context,
        source: call.source.clone(),
        token: call.head.header_text(header::TOKEN),
        fingerprint,
        whole_body: held.is_some(),
        ready,
    };
    node.arrive(&mut arrival)
}

/// Waits until a call starts here, is dropped, or gets the outcome of the run that it shares.
async fn wait<'r>(
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
        told = expected.start => match told {
            Ok(AdmissionDecision::Start) => {
                return run(guard, call, body, expected.stop, deadline, connection).await;
            }
            Ok(AdmissionDecision::Shared(outcome)) => return share(guard, outcome, connection),
            Ok(AdmissionDecision::Drop(kind)) => node.gate.drop_error(guard.ticket, kind),
            Err(_) => node.gate.drop_error(guard.ticket, NotRunKind::DeadlineInQueue),
        },
        kind = &mut expected.stop => kind.unwrap_or(UnknownKind::Cancelled).into(),
        () = tokio::time::sleep(deadline.since(node.clock.now())) => {
            node.gate.drop_error(guard.ticket, NotRunKind::DeadlineInQueue)
        }
    };
    move_sideways(guard, call, body.resendable(), dropped.into(), connection).await
}

/// Answers with the outcome of the run that a call shares.
fn share<'r>(
    guard: CallGuard,
    outcome: Outcome<KeptAnswer>,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let node = guard.node.clone();
    match outcome {
        Outcome::Completed(kept) => {
            let spent = guard.end(&Outcome::Completed(Some(kept.clone())));
            let headers = node.response_headers(Some(spent));
            Ok(response::completed(
                kept.to_answer(),
                &headers,
                None,
                connection,
            ))
        }
        Outcome::NotRun(kind) => Err(guard.refuse(kind.into())),
        Outcome::Unknown(kind) => Err(guard.refuse(kind.into())),
    }
}

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
    let left = deadline.since(node.clock.now());
    let sending = http_client::send(req, node.settings.limits.response_buffer_bytes as usize);
    let outcome = tokio::select! {
        outcome = request_body::drive(sending, &mut upload) => outcome,
        kind = stop => Outcome::Unknown(kind.unwrap_or(UnknownKind::Cancelled)),
        () = tokio::time::sleep(left) => Outcome::Unknown(UnknownKind::Deadline),
    };
    match outcome {
        Outcome::Completed(answer) => {
            Ok(pass_on(guard, call, answer, upload, deadline, connection))
        }
        Outcome::NotRun(kind) => {
            let refused = refused_by_target(kind).into();
            move_sideways(guard, call, resendable, refused, connection).await
        }
        Outcome::Unknown(kind) => {
            let kind = check_crash(&node, kind).await;
            Err(guard.refuse(kind.into()))
        }
    }
}

/// A target that can't be reached refuses its calls, and another one may take them.
fn refused_by_target(kind: NotRunKind) -> NotRunKind {
    match kind {
        NotRunKind::NoInstance => NotRunKind::TargetUnreachable,
        kind => kind,
    }
}

/// Tells a crash of the target from a connection that was lost: after a crash nothing listens.
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

/// Hands an answer on; a streamed one ends its call when it ends.
fn pass_on<'r>(
    guard: CallGuard,
    call: &IncomingCall,
    mut answer: Answer,
    upload: Option<request_body::BodyUpload<'r>>,
    deadline: Time,
    connection: Connection,
) -> Response<'r> {
    let node = guard.node.clone();
    let spent = match answer.body {
        AnswerBody::Buffered(ref bytes) => {
            let kept = KeptAnswer::new(answer.status, &answer.headers, bytes);
            Some(guard.end(&Outcome::Completed(Some(kept))))
        }
        AnswerBody::Streamed(stream) => {
            let stream = until(stream, deadline.since(node.clock.now()));
            let done = move |end| {
                guard.end(&streamed_outcome(end));
            };
            answer.body = AnswerBody::Streamed(body::notify_on_end(stream, done));
            None
        }
    };
    let upload = upload.map(|upload| upload.boxed());
    let mut headers = node.response_headers(spent);
    if call.spends_tokens() {
        headers.token = node.mint();
    }
    response::completed(answer, &headers, upload, connection)
}

fn streamed_outcome(end: StreamEnd) -> Outcome<Option<KeptAnswer>> {
    match end {
        StreamEnd::Complete => Outcome::Completed(None),
        StreamEnd::Truncated => Outcome::Unknown(UnknownKind::AnswerTruncated),
        StreamEnd::Abandoned => Outcome::Unknown(UnknownKind::Cancelled),
    }
}

/// Fails a stream that is not complete in time.
fn until(stream: AnswerStream, left: Duration) -> AnswerStream {
    let late = tokio::time::sleep(left).map(|()| Err(std::io::Error::other("deadline")));
    let late = futures_util::stream::once(late);
    let ended = futures_util::stream::once(async { None });
    let stream = stream.map(Some).chain(ended);
    futures_util::stream::select(stream, late.map(Some))
        .take_while(|chunk| std::future::ready(chunk.is_some()))
        .filter_map(std::future::ready)
        .boxed()
}

fn target_request(
    node: &Node,
    id: ContextId,
    call: &IncomingCall,
    deadline: Time,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{}", node.settings.target, call.head.target);
    let left = deadline.since(node.clock.now()).as_millis();
    node.client
        .request(call.head.method.clone(), url)
        .headers(call.head.forwarded())
        .header(header::CONTEXT, id.to_string())
        .header(header::TIMEOUT_MS, left.to_string())
}

/// Tries the other instances of the service once for a call that was refused here.
///
/// Its token stays in progress until the moved call has ended.
async fn move_sideways<'r>(
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
        Outcome::Completed(answer) => Ok(pass_on(guard, call, answer, None, deadline, connection)),
        Outcome::NotRun(_) => Err(guard.refuse_with(refused)),
        Outcome::Unknown(kind) => Err(guard.refuse(kind.into())),
    }
}

/// Returns whether a call refused here may be tried at another instance.
///
/// A non-idempotent call that spends no token is not: its caller could not ask what became of it.
fn may_move(call: &IncomingCall, refused: &Refusal) -> bool {
    let entered = matches!(call.source, Source::Caller { .. });
    let safe = call.context.idempotent || call.head.header_text(header::TOKEN).is_some();
    let not_run = matches!(refused.kind, ErrorKind::NotRun(kind) if kind != NotRunKind::NotReady);
    entered && safe && not_run && call.context.spare > 0 && refused.kind.try_other()
}
