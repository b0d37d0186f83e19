//! A target that records its runs and injects the faults that its behaviour configures.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use dragonflylead::Outcome;
use dragonflylead::Priority;
use dragonflylead::protocol::header;
use dragonflylead::transport::abort::abort_connection;
use dragonflylead::transport::http_client;
use dragonflylead::transport::server::Server;
use dragonflylead::transport::server::catch_all;
use futures_util::future::join_all;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use tokio_util::io::StreamReader;

use crate::checker::CallId;
use crate::checker::EventKind;
use crate::checker::InstanceIncarnation;
use crate::client;
use crate::recorder::Recorder;
use crate::recorder::body_hash;
use crate::recorder::hash_per_mille;

/// A call that the application behind a target sends in each run.
#[derive(Clone, Debug)]
pub(crate) struct SubCall {
    pub(crate) method: http::Method,
    pub(crate) service: String,
    pub(crate) path: String,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
}

/// Share of attempts with each fault, per mille.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Attempts refused before they run.
    pub(crate) refuse: u64,
    /// Runs whose connection is aborted without a response.
    pub(crate) crash: u64,
    /// Runs whose response is truncated half way through the body.
    pub(crate) truncate: u64,
    /// Runs that take the slow time.
    pub(crate) slow: u64,
}

/// Configured behaviour of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    /// Service time of a call with any method but POST.
    pub(crate) service_time: Duration,
    /// Service time of a POST call.
    pub(crate) charge_time: Duration,
    /// Service time of a run with the fault `slow`.
    pub(crate) slow_time: Duration,
    pub(crate) faults: Faults,
    /// Sub-calls of each run, sent concurrently.
    pub(crate) sub_calls: Vec<SubCall>,
    /// Minimum size to which response bodies are padded, in bytes.
    pub(crate) response_bytes: usize,
}

/// Fault of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Refuse,
    Crash,
    Truncate,
    Slow,
}

/// State that concurrent runs share.
struct TargetState {
    at: InstanceIncarnation,
    service: String,
    seed: u64,
    behaviour: Behaviour,
    recorder: Arc<Recorder>,
    /// Egress address of the node; set once the node has started.
    egress: OnceLock<SocketAddr>,
    port: OnceLock<u16>,
    http: reqwest::Client,
}

/// A running target.
pub(crate) struct Target {
    state: Arc<TargetState>,
    server: Server,
}

impl Target {
    /// Starts a target of instance `at` on a free port.
    ///
    /// # Errors
    ///
    /// If the HTTP client or the server cannot be started.
    pub(crate) async fn start(
        at: InstanceIncarnation,
        service: &str,
        seed: u64,
        behaviour: Behaviour,
        recorder: Arc<Recorder>,
    ) -> io::Result<Target> {
        let state = Arc::new(TargetState {
            at,
            service: service.to_owned(),
            seed,
            behaviour,
            recorder,
            egress: OnceLock::new(),
            port: OnceLock::new(),
            http: http_client::build()?,
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, catch_all(TargetHandler(state.clone()))).await?;
        state.port.set(server.address().port()).unwrap();
        Ok(Target { state, server })
    }

    /// Returns the address on which the target listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the incarnation of the instance to which the target belongs.
    pub(crate) fn incarnation(&self) -> InstanceIncarnation {
        self.state.at.clone()
    }

    /// Sets the egress address of the node through which sub-calls are sent.
    pub(crate) fn set_egress(&self, address: SocketAddr) {
        self.state.egress.set(address).unwrap();
    }

    /// Stops the server.
    pub(crate) async fn stop(self) {
        self.server.stop().await;
    }
}

/// Route handler that answers every request.
#[derive(Clone)]
struct TargetHandler(Arc<TargetState>);

#[rocket::async_trait]
impl Handler for TargetHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, _: Data<'r>) -> rocket::route::Outcome<'r> {
        rocket::route::Outcome::Success(self.0.handle(req).await)
    }
}

impl TargetState {
    /// Runs a call: injects its fault, sends the sub-calls and records the events of the run.
    async fn handle<'r>(&self, req: &'r Request<'_>) -> Response<'r> {
        let text = req
            .headers()
            .get_one(client::CALL_HEADER)
            .unwrap_or_default();
        let Ok(call) = text.parse::<CallId>() else {
            return Response::build().status(Status::BadRequest).finalize();
        };
        let fault = self.choose_fault(call);
        if fault == Some(Fault::Refuse) {
            self.recorder.record(EventKind::Refused { call });
            return refusal();
        }
        let run = self.recorder.next_run();
        let at = self.at.clone();
        self.recorder.record(EventKind::Started { run, call, at });
        let service_time = match fault {
            Some(Fault::Slow) => self.behaviour.slow_time,
            _ if req.method() == Method::Post => self.behaviour.charge_time,
            _ => self.behaviour.service_time,
        };
        tokio::time::sleep(service_time).await;
        if fault == Some(Fault::Crash) {
            abort_connection(*self.port.get().unwrap(), req.remote().unwrap());
            return Response::build().status(Status::BadGateway).finalize();
        }
        let context = req.headers().get_one(header::CONTEXT);
        let sub_calls = self.behaviour.sub_calls.iter();
        let results = sub_calls.map(|sub| self.send_sub_call(sub, call, context));
        let succeeded = join_all(results).await.into_iter().all(|ok| ok);
        let body = self.body(call, run, succeeded);
        let body_hash = body_hash(body.as_bytes());
        self.recorder.record(EventKind::Finished { run, body_hash });
        respond(body, succeeded, fault == Some(Fault::Truncate))
    }

    /// Chooses the fault of an attempt. It depends on the seed, the request, the service and the
    /// number of the attempt.
    fn choose_fault(&self, call: CallId) -> Option<Fault> {
        let attempt = self.recorder.count_attempt(call.request, &self.service);
        let mut draw = hash_per_mille(self.seed, (call.request, &self.service, attempt));
        let faults = &self.behaviour.faults;
        let shares = [
            (faults.refuse, Fault::Refuse),
            (faults.crash, Fault::Crash),
            (faults.truncate, Fault::Truncate),
            (faults.slow, Fault::Slow),
        ];
        for (share, fault) in shares {
            if draw < share {
                return Some(fault);
            }
            draw -= share;
        }
        None
    }

    /// Sends a sub-call through the node of this instance. Returns whether it completed with a
    /// success status.
    async fn send_sub_call(&self, sub: &SubCall, parent: CallId, context: Option<&str>) -> bool {
        let call = self.recorder.next_sub_call(parent);
        let egress = self.egress.get().unwrap();
        let url = format!("http://{egress}/{}{}", sub.service, sub.path);
        let mut req = self.http.request(sub.method.clone(), url);
        if let Some(context) = context {
            req = req.header(header::CONTEXT, context);
        }
        self.recorder.record(EventKind::Sent {
            call,
            priority: sub.priority,
            idempotent: sub.idempotent,
        });
        let result = client::send_call(req, call).await;
        let succeeded = matches!(&result.outcome, Outcome::Completed(a) if a.status.is_success());
        client::record_outcome(&self.recorder, call, result.outcome, None).await;
        succeeded
    }

    /// Builds a response body that is unique to the run, padded to the configured size.
    fn body(&self, call: CallId, run: u64, succeeded: bool) -> String {
        let mut text = format!("{} {call} run {run} {succeeded} ", self.service);
        let padding = format!("{run} ");
        while text.len() < self.behaviour.response_bytes {
            text.push_str(&padding);
        }
        text
    }
}

/// Builds a response that refuses a call before it runs.
fn refusal<'r>() -> Response<'r> {
    Response::build()
        .status(Status::ServiceUnavailable)
        .raw_header(header::REFUSED, "overloaded")
        .finalize()
}

/// Builds the response of a run. A truncated one announces the full length but ends half way.
fn respond<'r>(body: String, succeeded: bool, truncate: bool) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(if succeeded {
        Status::Ok
    } else {
        Status::BadGateway
    });
    if !truncate {
        response.set_sized_body(body.len(), io::Cursor::new(body));
        return response;
    }
    let half = bytes::Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let parts = [Ok(half), Err(io::Error::other("truncated"))];
    response.set_raw_header("content-length", body.len().to_string());
    response.set_streamed_body(StreamReader::new(futures_util::stream::iter(parts)));
    response
}
