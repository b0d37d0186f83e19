//! A target that records its runs and fails in the ways that its behaviour states.

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
use crate::checker::Life;
use crate::checker::What;
use crate::client;
use crate::recorder::Recorder;
use crate::recorder::body_hash;
use crate::recorder::draw;

/// A call that an application issues for each run.
#[derive(Clone, Debug)]
pub(crate) struct SubCall {
    pub(crate) method: http::Method,
    pub(crate) service: String,
    pub(crate) path: String,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
}

/// How many of a thousand attempts fail in which way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) refuse: u64,
    pub(crate) crash: u64,
    pub(crate) truncate: u64,
    pub(crate) slow: u64,
}

/// How a target behaves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    pub(crate) service_time: Duration,
    /// Service time of a call by POST.
    pub(crate) charge_time: Duration,
    /// Service time of a slow run.
    pub(crate) slow_time: Duration,
    pub(crate) faults: Faults,
    /// Sub-calls, all issued at once.
    pub(crate) sub_calls: Vec<SubCall>,
    /// Size to which answers are padded, in bytes.
    pub(crate) answer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Refuse,
    Crash,
    Truncate,
    Slow,
}

struct Shared {
    at: Life,
    service: String,
    seed: u64,
    behaviour: Behaviour,
    recorder: Arc<Recorder>,
    egress: OnceLock<SocketAddr>,
    port: OnceLock<u16>,
    http: reqwest::Client,
}

/// A running target.
pub(crate) struct Target {
    shared: Arc<Shared>,
    server: Server,
}

impl Target {
    pub(crate) async fn start(
        at: Life,
        service: &str,
        seed: u64,
        behaviour: Behaviour,
        recorder: Arc<Recorder>,
    ) -> io::Result<Target> {
        let shared = Arc::new(Shared {
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
        let server = Server::start(any, catch_all(Answering(shared.clone()))).await?;
        shared.port.set(server.address().port()).unwrap();
        Ok(Target { shared, server })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(crate) fn life(&self) -> Life {
        self.shared.at.clone()
    }

    pub(crate) fn set_egress(&self, address: SocketAddr) {
        self.shared.egress.set(address).unwrap();
    }

    pub(crate) async fn stop(self) {
        self.server.stop().await;
    }
}

#[derive(Clone)]
struct Answering(Arc<Shared>);

#[rocket::async_trait]
impl Handler for Answering {
    async fn handle<'r>(&self, req: &'r Request<'_>, _: Data<'r>) -> rocket::route::Outcome<'r> {
        rocket::route::Outcome::Success(self.0.answer(req).await)
    }
}

impl Shared {
    async fn answer<'r>(&self, req: &'r Request<'_>) -> Response<'r> {
        let text = req.headers().get_one(client::CALL).unwrap_or_default();
        let Ok(call) = text.parse::<CallId>() else {
            return Response::build().status(Status::BadRequest).finalize();
        };
        let fault = self.fault(call);
        if fault == Some(Fault::Refuse) {
            self.recorder.add(What::Refused { call });
            return refused();
        }
        let run = self.recorder.run();
        let at = self.at.clone();
        self.recorder.add(What::Started { run, call, at });
        let time = match fault {
            Some(Fault::Slow) => self.behaviour.slow_time,
            _ if req.method() == Method::Post => self.behaviour.charge_time,
            _ => self.behaviour.service_time,
        };
        tokio::time::sleep(time).await;
        if fault == Some(Fault::Crash) {
            abort_connection(*self.port.get().unwrap(), req.remote().unwrap());
            return Response::build().status(Status::BadGateway).finalize();
        }
        let context = req.headers().get_one(header::CONTEXT);
        let sub_calls = self.behaviour.sub_calls.iter();
        let issued = sub_calls.map(|sub| self.issue(sub, call, context));
        let whole = join_all(issued).await.into_iter().all(|whole| whole);
        let body = self.body(call, run, whole);
        let hash = body_hash(body.as_bytes());
        self.recorder.add(What::Finished { run, body: hash });
        respond(body, whole, fault == Some(Fault::Truncate))
    }

    /// Chooses the fault of an attempt by the request, the service and the number of the attempt.
    fn fault(&self, call: CallId) -> Option<Fault> {
        let attempt = self.recorder.attempt(call.request, &self.service);
        let mut left = draw(self.seed, (call.request, &self.service, attempt));
        let faults = &self.behaviour.faults;
        let shares = [
            (faults.refuse, Fault::Refuse),
            (faults.crash, Fault::Crash),
            (faults.truncate, Fault::Truncate),
            (faults.slow, Fault::Slow),
        ];
        for (share, fault) in shares {
            if left < share {
                return Some(fault);
            }
            left -= share;
        }
        None
    }

    /// Issues a sub-call through the own node. Returns whether it was completed well.
    async fn issue(&self, sub: &SubCall, parent: CallId, context: Option<&str>) -> bool {
        let call = self.recorder.sub_call(parent);
        let egress = self.egress.get().unwrap();
        let url = format!("http://{egress}/{}{}", sub.service, sub.path);
        let mut req = self.http.request(sub.method.clone(), url);
        if let Some(context) = context {
            req = req.header(header::CONTEXT, context);
        }
        self.recorder.add(What::Sent {
            call,
            priority: sub.priority,
            idempotent: sub.idempotent,
        });
        let told = client::send(req, call).await;
        let good = matches!(&told.outcome, Outcome::Completed(a) if a.status.is_success());
        client::record(&self.recorder, call, told.outcome, None).await;
        good
    }

    fn body(&self, call: CallId, run: u64, whole: bool) -> String {
        let mut text = format!("{} {call} run {run} {whole} ", self.service);
        let mark = format!("{run} ");
        while text.len() < self.behaviour.answer_bytes {
            text.push_str(&mark);
        }
        text
    }
}

fn refused<'r>() -> Response<'r> {
    Response::build()
        .status(Status::ServiceUnavailable)
        .raw_header(header::REFUSED, "overloaded")
        .finalize()
}

fn respond<'r>(body: String, whole: bool, truncate: bool) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(if whole {
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
