//! HTTP ingress of a node: calls from callers and from other nodes.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::route::Handler;
use tokio::sync::oneshot;

use crate::call::CallContext;
use crate::call::RequestId;
use crate::clock::Time;
use crate::coordination::admission::Ticket;
use crate::coordination::gate::Arrival;
use crate::coordination::gate::Arrived;
use crate::coordination::gate::Refusal;
use crate::coordination::treatment::Treatment;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::node::Node;
use crate::protocol::header;
use crate::protocol::hop::HopError;
use crate::transport::body;
use crate::transport::body::AnswerBody;
use crate::transport::body::AnswerStream;
use crate::transport::body::RequestBody;
use crate::transport::body::StreamEnd;
use crate::transport::egress;
use crate::transport::forward;
use crate::transport::forward::Answer;
use crate::transport::head::Head;
use crate::transport::kept::KeptAnswer;
use crate::transport::outgoing;
use crate::transport::reply;
use crate::transport::reply::Connection;
use crate::waiters::Expected;

/// Serves calls that arrive for the instance.
#[derive(Clone)]
pub struct Ingress(pub Arc<Node>);

#[rocket::async_trait]
impl Handler for Ingress {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> rocket::route::Outcome<'r> {
        let response = match serve(&self.0, req, data).await {
            Ok(response) => response,
            Err(refusal) => reply::refused(&refusal, &self.0.notes(None)),
        };
        rocket::route::Outcome::Success(response)
    }
}

/// A call with its head read and its context known.
struct Incoming {
    head: Head,
    context: CallContext,
    resent: bool,
    entered: bool,
    cross_region: bool,
}

async fn serve<'r>(
    node: &Arc<Node>,
    req: &'r Request<'_>,
    data: Data<'r>,
) -> Result<Response<'r>, Refusal> {
    let call = read_call(node, req)?;
    let body = outgoing::read_body(node, &call.head, data)
        .await
        .map_err(refusal)?;
    let connection = Connection {
        local_port: node.ingress_port(),
        remote: req.remote(),
    };
    let ticket = node.next_ticket();
    let Expected { start, stop } = node.waiters.expect(ticket);
    match arrive(node, ticket, &call) {
        Arrived::Refused(refusal) => {
            node.waiters.forget(ticket);
            move_sideways(node, &call, body, refusal, connection).await
        }
        Arrived::Replayed(kept) => {
            node.waiters.forget(ticket);
            Ok(reply::completed(
                kept.to_answer(),
                &node.notes(None),
                None,
                connection,
            ))
        }
        Arrived::Joined(_) | Arrived::Offered => {
            let deadline = node.clock.now().plus(call.context.remaining);
            match wait_for_slot(node, ticket, start, deadline).await {
                Ok(()) => run(node, ticket, &call, body, stop, deadline, connection).await,
                Err(kind) => {
                    let refusal = Refusal {
                        kind: kind.into(),
                        token: None,
                    };
                    move_sideways(node, &call, body, refusal, connection).await
                }
            }
        }
    }
}

fn read_call(node: &Node, req: &Request<'_>) -> Result<Incoming, Refusal> {
    let head = Head::read(req, node.settings.limits.max_header_bytes as usize).map_err(refusal)?;
    match head.text(header::HOP).map(|text| node.accept_hop(text)) {
        Some(Ok(context)) => Ok(Incoming {
            head,
            context,
            resent: false,
            entered: false,
            cross_region: false,
        }),
        Some(Err(HopError::Version(_))) => Err(refusal(NotRunKind::Version)),
        Some(Err(_)) => Err(refusal(NotRunKind::HopRejected)),
        None => enter(node, head).map_err(refusal),
    }
}

fn enter(node: &Node, head: Head) -> Result<Incoming, NotRunKind> {
    let policy = node.policy();
    let service = node.service.as_str();
    let rule = policy.rule_for(head.method.as_str(), service, head.path());
    let treatment = Treatment::new(rule, head.method.as_str());
    let resent = head.number(header::ATTEMPT)?.unwrap_or(0) > 0;
    let waits = head.number(header::TIMEOUT_MS)?.map(Duration::from_millis);
    let request = match head.text(header::REQUEST_ID) {
        Some(text) => RequestId::from_text(text),
        None => node.new_request_id(),
    };
    let context = treatment.root(request, waits, resent);
    let cross_region = treatment.cross_region;
    Ok(Incoming {
        head,
        context,
        resent,
        entered: true,
        cross_region,
    })
}

fn arrive(node: &Arc<Node>, ticket: Ticket, call: &Incoming) -> Arrived<KeptAnswer> {
    let arrival = Arrival {
        ticket,
        context: &call.context,
        token: call.head.text(header::TOKEN),
        resent: call.resent,
    };
    let mut effects = Vec::new();
    let arrived = node.gate.arrive(&arrival, node.clock.now(), &mut effects);
    node.waiters.apply(&effects);
    arrived
}

async fn wait_for_slot(
    node: &Node,
    ticket: Ticket,
    start: oneshot::Receiver<Result<(), NotRunKind>>,
    deadline: Time,
) -> Result<(), NotRunKind> {
    let left = deadline.since(node.clock.now());
    let told = tokio::time::timeout(left, start).await;
    let kind = match told {
        Ok(Ok(Ok(()))) => return Ok(()),
        Ok(Ok(Err(kind))) => kind,
        Ok(Err(_)) | Err(_) => NotRunKind::DeadlineInQueue,
    };
    node.give_up(ticket);
    Err(kind)
}

async fn run<'r>(
    node: &Arc<Node>,
    ticket: Ticket,
    call: &Incoming,
    body: RequestBody<'r>,
    stop: oneshot::Receiver<UnknownKind>,
    deadline: Time,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let guard = RunGuard {
        node: node.clone(),
        ticket,
        armed: true,
    };
    let req = target_request(node, ticket, call, deadline);
    let (req, mut pump) = outgoing::with_body(node, req, body);
    let left = deadline.since(node.clock.now());
    let sending = forward::send(req, node.settings.limits.answer_buffer_bytes as usize);
    let outcome = tokio::select! {
        outcome = outgoing::drive(sending, &mut pump) => outcome,
        kind = stop => Outcome::Unknown(kind.unwrap_or(UnknownKind::Cancelled)),
        () = tokio::time::sleep(left) => Outcome::Unknown(UnknownKind::Deadline),
    };
    match outcome {
        Outcome::Completed(answer) => Ok(pass_on(guard, answer, pump, deadline, connection)),
        Outcome::NotRun(kind) => {
            guard.end(Outcome::NotRun(kind));
            Err(refusal(kind))
        }
        Outcome::Unknown(kind) => {
            guard.end(Outcome::Unknown(kind));
            Err(Refusal {
                kind: kind.into(),
                token: None,
            })
        }
    }
}

/// Hands an answer on; a streamed one ends its call when it ends.
fn pass_on<'r>(
    guard: RunGuard,
    mut answer: Answer,
    pump: Option<outgoing::Pump<'r>>,
    deadline: Time,
    connection: Connection,
) -> Response<'r> {
    let node = guard.node.clone();
    let spent = match answer.body {
        AnswerBody::Held(ref bytes) => {
            let kept = KeptAnswer::new(answer.status, &answer.headers, bytes);
            Some(guard.end(Outcome::Completed(Some(kept))))
        }
        AnswerBody::Streamed(stream) => {
            let stream = until(stream, deadline.since(node.clock.now()));
            let done = move |end| {
                guard.end(streamed_outcome(end));
            };
            answer.body = AnswerBody::Streamed(body::watched(stream, done));
            None
        }
    };
    let pump = pump.map(|pump| pump.boxed());
    reply::completed(answer, &node.notes(spent), pump, connection)
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
    ticket: Ticket,
    call: &Incoming,
    deadline: Time,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{}", node.settings.target, call.head.target);
    let left = deadline.since(node.clock.now()).as_millis();
    node.client
        .request(call.head.method.clone(), url)
        .headers(call.head.forwarded())
        .header(header::CONTEXT, node.begin(ticket))
        .header(header::TIMEOUT_MS, left.to_string())
}

/// Tries the other instances of the service once for a call that was refused here.
async fn move_sideways<'r>(
    node: &Arc<Node>,
    call: &Incoming,
    body: RequestBody<'r>,
    refused: Refusal,
    connection: Connection,
) -> Result<Response<'r>, Refusal> {
    let RequestBody::Held(bytes) = body else {
        return Err(refused);
    };
    if !call.entered || call.context.spare == 0 || !refused.kind.try_other() {
        return Err(refused);
    }
    let moved = CallContext {
        moved: true,
        spare: call.context.spare - 1,
        depth: call.context.depth + 1,
        ..call.context.clone()
    };
    let service = &node.service;
    let out = egress::Outgoing {
        service,
        method: &call.head.method,
        target: &call.head.target,
        headers: call.head.forwarded(),
        body: &bytes,
        context: &moved,
        cross_region: call.cross_region,
        not_to: Some(&node.name),
    };
    match egress::send_call(node, &out).await {
        (Outcome::Completed(answer), _) => Ok(reply::completed(
            answer,
            &node.notes(None),
            None,
            connection,
        )),
        (Outcome::NotRun(_), _) => Err(refused),
        (Outcome::Unknown(kind), _) => Err(Refusal {
            kind: kind.into(),
            token: None,
        }),
    }
}

fn refusal(kind: NotRunKind) -> Refusal {
    Refusal {
        kind: ErrorKind::NotRun(kind),
        token: None,
    }
}

/// Ends a run exactly once, also when its handler is dropped.
struct RunGuard {
    node: Arc<Node>,
    ticket: Ticket,
    armed: bool,
}

impl RunGuard {
    fn end(mut self, outcome: Outcome<Option<KeptAnswer>>) -> u32 {
        self.armed = false;
        self.node.finish(self.ticket, &outcome)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.armed {
            self.node
                .finish(self.ticket, &Outcome::Unknown(UnknownKind::Cancelled));
        }
    }
}
