//! A stand-in for a target: bounded slots, a service time, sub-calls, and faults.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures_util::StreamExt;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::http::Status;
use rocket::route::Handler;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::io::StreamReader;

use crate::protocol::header;
use crate::transport::http_client;
use crate::transport::server;
use crate::transport::server::Server;

/// Longest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Path prefix that is answered with the request itself.
pub const ECHO_PATH: &str = "/echo";

/// A sub-call that a target makes for each request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubCall {
    /// Method, service and path, such as `GET registry /animals/1`.
    pub method: http::Method,
    /// Service that is called.
    pub service: String,
    /// Path at that service.
    pub path: String,
}

/// How a target behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Requests that run at once; more wait inside the target.
    pub slots: usize,
    /// Time that a request occupies a slot.
    pub service_time: Duration,
    /// Sub-calls for a path prefix.
    pub sub_calls: Vec<(String, SubCall)>,
    /// Size of an answer, in bytes; the answer names the request and is padded.
    pub answer_bytes: usize,
    /// Time between the parts of a streamed answer, zero for one that is sent at once.
    pub stream_gap: Duration,
    /// Whether the second half of every answer waits for [`TargetStandin::release_withheld`].
    pub withhold: bool,
    /// Whether every answer breaks off half-way.
    pub truncate: bool,
    /// Whether every request is refused before it runs.
    pub refuse: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            slots: 16,
            service_time: Duration::from_millis(2),
            sub_calls: Vec::new(),
            answer_bytes: 0,
            stream_gap: Duration::ZERO,
            withhold: false,
            truncate: false,
            refuse: false,
        }
    }
}

/// One run of a request, as the target saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Method and path.
    pub call: String,
    /// Value of the request's `x-op` header, which names the operation in tests and the demo.
    pub operation: String,
    /// Body of the answer, once there was one.
    pub answer: Option<String>,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    slots: Semaphore,
    runs: Mutex<Vec<Run>>,
    egress: Mutex<Option<SocketAddr>>,
    released: watch::Sender<bool>,
    client: reqwest::Client,
    name: String,
}

/// A running stand-in.
pub struct TargetStandin {
    shared: Arc<Shared>,
    server: Server,
}

impl TargetStandin {
    /// Starts a stand-in on a free port of the loopback address.
    pub async fn start(name: &str, behaviour: Behaviour) -> io::Result<TargetStandin> {
        TargetStandin::start_on(name, behaviour, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a stand-in at an address.
    pub async fn start_on(
        name: &str,
        behaviour: Behaviour,
        address: SocketAddr,
    ) -> io::Result<TargetStandin> {
        let shared = Arc::new(Shared {
            slots: Semaphore::new(behaviour.slots),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::default(),
            egress: Mutex::default(),
            released: watch::Sender::new(false),
            client: http_client::build()?,
            name: name.to_owned(),
        });
        let server = Server::start(address, server::catch_all(Answering(shared.clone()))).await?;
        Ok(TargetStandin { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the egress port of the target's own node.
    pub fn set_egress(&self, address: SocketAddr) {
        *lock(&self.shared.egress) = Some(address);
    }

    /// Changes the behaviour; slots stay as they are.
    pub fn update_behaviour<F>(&self, change: F)
    where
        F: FnOnce(&mut Behaviour),
    {
        change(&mut lock(&self.shared.behaviour));
    }

    /// Returns every run so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns how often each operation ran.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in lock(&self.shared.runs).iter() {
            *counts.entry(run.operation.clone()).or_default() += 1;
        }
        counts
    }

    /// Lets the withheld halves of answers go.
    pub fn release_withheld(&self) {
        self.shared.released.send_replace(true);
    }

    /// Stops the stand-in.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

#[derive(Clone)]
struct Answering(Arc<Shared>);

#[rocket::async_trait]
impl Handler for Answering {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> rocket::route::Outcome<'r> {
        rocket::route::Outcome::Success(self.0.answer(req, data).await)
    }
}

impl Shared {
    async fn answer<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Response<'r> {
        let behaviour = lock(&self.behaviour).clone();
        if behaviour.refuse {
            return refused();
        }
        let path = req.uri().to_string();
        let operation = req.headers().get_one("x-op").unwrap_or_default().to_owned();
        let body = data
            .open(rocket::data::ByteUnit::max_value())
            .into_bytes()
            .await;
        let Ok(body) = body else {
            return Response::build().status(Status::BadRequest).finalize();
        };
        if path.starts_with(ECHO_PATH) {
            return echo(req, &body.value);
        }
        let index = self.note_start(&format!("{} {path}", req.method()), &operation);
        {
            let Ok(_slot) = self.slots.acquire().await else {
                return refused();
            };
            tokio::time::sleep(behaviour.service_time).await;
        }
        let context = req.headers().get_one(header::CONTEXT);
        for (_, call) in behaviour
            .sub_calls
            .iter()
            .filter(|(prefix, _)| path.starts_with(prefix))
        {
            if let Err(status) = self.sub_call(call, context, &operation).await {
                return Response::build().status(status).finalize();
            }
        }
        let text = format!("{} {operation} {} bytes", self.name, body.len());
        if let Some(run) = lock(&self.runs).get_mut(index) {
            run.answer = Some(text.clone());
        }
        respond(&behaviour, text, self.released.subscribe())
    }

    fn note_start(&self, call: &str, operation: &str) -> usize {
        let mut runs = lock(&self.runs);
        let run = Run {
            call: call.to_owned(),
            operation: operation.to_owned(),
            answer: None,
        };
        runs.push(run);
        runs.len() - 1
    }

    async fn sub_call(
        &self,
        call: &SubCall,
        context: Option<&str>,
        operation: &str,
    ) -> Result<(), Status> {
        let Some(egress) = *lock(&self.egress) else {
            return Err(Status::BadGateway);
        };
        let url = format!("http://{egress}/{}{}", call.service, call.path);
        let mut req = self
            .client
            .request(call.method.clone(), url)
            .header("x-op", operation);
        if let Some(context) = context {
            req = req.header(header::CONTEXT, context);
        }
        let response = req.send().await.map_err(|_| Status::BadGateway)?;
        let status = response.status();
        response.bytes().await.map_err(|_| Status::BadGateway)?;
        if status.is_success() {
            Ok(())
        } else {
            Err(Status::new(status.as_u16()))
        }
    }
}

/// Answers with the request as it was received, one header a line.
fn echo<'r>(req: &Request<'_>, body: &[u8]) -> Response<'r> {
    let mut lines = vec![format!("{} {}", req.method(), req.uri())];
    lines.extend(
        req.headers()
            .iter()
            .map(|h| format!("{}: {}", h.name, h.value)),
    );
    lines.push(format!("{:032x}", xxhash_rust::xxh3::xxh3_128(body)));
    let text = lines.join("\n");
    Response::build()
        .sized_body(text.len(), io::Cursor::new(text))
        .finalize()
}

fn refused<'r>() -> Response<'r> {
    Response::build()
        .status(Status::ServiceUnavailable)
        .raw_header(header::REFUSED, "overloaded")
        .finalize()
}

fn respond<'r>(
    behaviour: &Behaviour,
    mut text: String,
    released: watch::Receiver<bool>,
) -> Response<'r> {
    let padding = behaviour
        .answer_bytes
        .min(MAX_ANSWER_BYTES)
        .saturating_sub(text.len());
    text.extend(std::iter::repeat_n('.', padding));
    let mut response = Response::new();
    response.set_status(Status::Ok);
    response.set_raw_header("content-type", "text/plain");
    let in_parts = behaviour.truncate || behaviour.withhold || !behaviour.stream_gap.is_zero();
    if !in_parts {
        response.set_sized_body(text.len(), io::Cursor::new(text));
        return response;
    }
    let gap = behaviour.stream_gap;
    let (first, second) = text.split_at(text.len() / 2);
    let second = match behaviour.truncate {
        true => Err(io::Error::other("truncated")),
        false => Ok(bytes::Bytes::copy_from_slice(second.as_bytes())),
    };
    let first = Ok(bytes::Bytes::copy_from_slice(first.as_bytes()));
    if behaviour.truncate {
        response.set_raw_header("content-length", text.len().to_string());
    }
    let withheld = [false, behaviour.withhold];
    let parts = futures_util::stream::iter([first, second].into_iter().zip(withheld));
    let parts = parts.then(move |(part, withheld)| {
        let mut released = released.clone();
        async move {
            tokio::time::sleep(gap).await;
            if withheld {
                let _ = released.wait_for(|released| *released).await;
            }
            part
        }
    });
    response.set_streamed_body(StreamReader::new(Box::pin(parts)));
    response
}
