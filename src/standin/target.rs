//! A stand-in for a target: an HTTP server with a bounded number of slots, a fixed service time,
//! sub-calls and injected faults.

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

/// Largest padded size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Path prefix of requests that are echoed back. They take no slot and are not recorded as runs.
pub const ECHO_PATH: &str = "/echo";

/// A sub-call that a target makes for each request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubCall {
    /// HTTP method.
    pub method: http::Method,
    /// Called service.
    pub service: String,
    /// Path at that service, such as `/animals/1`.
    pub path: String,
}

/// Capacity, latency, sub-calls and faults of a target.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Requests that run concurrently; further ones queue inside the target.
    pub slots: usize,
    /// Time for which a request occupies a slot.
    pub service_time: Duration,
    /// Sub-calls, each made by every request whose path starts with the given prefix.
    pub sub_calls: Vec<(String, SubCall)>,
    /// Size to which a shorter response body is padded, in bytes.
    pub response_bytes: usize,
    /// Delay before each half of a streamed response; zero sends the response unstreamed.
    pub stream_gap: Duration,
    /// Whether the second half of every response is held back until
    /// [`TargetStandin::release_withheld`].
    pub withhold: bool,
    /// Whether the connection is cut after the first half of every response.
    pub truncate: bool,
    /// Whether every request is refused with 503 before it runs.
    pub refuse: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            slots: 16,
            service_time: Duration::from_millis(2),
            sub_calls: Vec::new(),
            response_bytes: 0,
            stream_gap: Duration::ZERO,
            withhold: false,
            truncate: false,
            refuse: false,
        }
    }
}

/// One run of a request, recorded when the target starts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Method and path, separated by a space.
    pub call: String,
    /// Value of the request's `x-op` header, which names the operation in tests and the demo.
    pub operation: String,
    /// Body of the response without padding, once the run has completed.
    pub response: Option<String>,
}

/// State shared with the request handler.
struct Shared {
    behaviour: Mutex<Behaviour>,
    slots: Semaphore,
    runs: Mutex<Vec<Run>>,
    egress: Mutex<Option<SocketAddr>>,
    released: watch::Sender<bool>,
    client: reqwest::Client,
    name: String,
}

/// A running stand-in for a target.
pub struct TargetStandin {
    shared: Arc<Shared>,
    server: Server,
}

impl TargetStandin {
    /// Starts a stand-in on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port can be bound or the HTTP client cannot be built.
    pub async fn start(name: &str, behaviour: Behaviour) -> io::Result<TargetStandin> {
        TargetStandin::start_on(name, behaviour, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a stand-in that listens on `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the HTTP client cannot be built.
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
        let server =
            Server::start(address, server::catch_all(RequestHandler(shared.clone()))).await?;
        Ok(TargetStandin { shared, server })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the egress address of the target's own node, through which sub-calls go. Without it
    /// they fail with 502.
    pub fn set_egress(&self, address: SocketAddr) {
        *lock(&self.shared.egress) = Some(address);
    }

    /// Changes the behaviour of later requests. A change of the number of slots has no effect.
    pub fn update_behaviour<F>(&self, change: F)
    where
        F: FnOnce(&mut Behaviour),
    {
        change(&mut lock(&self.shared.behaviour));
    }

    /// Returns all recorded runs, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the number of runs of each operation.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in lock(&self.shared.runs).iter() {
            *counts.entry(run.operation.clone()).or_default() += 1;
        }
        counts
    }

    /// Sends the withheld halves of responses, and withholds none from now on.
    pub fn release_withheld(&self) {
        self.shared.released.send_replace(true);
    }

    /// Stops the stand-in gracefully.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

#[derive(Clone)]
struct RequestHandler(Arc<Shared>);

#[rocket::async_trait]
impl Handler for RequestHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> rocket::route::Outcome<'r> {
        rocket::route::Outcome::Success(self.0.respond_to(req, data).await)
    }
}

impl Shared {
    /// Runs a request: takes a slot for the service time, then makes the sub-calls in order. The
    /// first sub-call that fails ends the request with that sub-call's status.
    async fn respond_to<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Response<'r> {
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
        let index = self.record_start(&format!("{} {path}", req.method()), &operation);
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
            run.response = Some(text.clone());
        }
        respond(&behaviour, text, self.released.subscribe())
    }

    /// Records the start of a run and returns its index among the runs.
    fn record_start(&self, call: &str, operation: &str) -> usize {
        let mut runs = lock(&self.runs);
        let run = Run {
            call: call.to_owned(),
            operation: operation.to_owned(),
            response: None,
        };
        runs.push(run);
        runs.len() - 1
    }

    /// Makes a sub-call through the egress port of the target's own node.
    ///
    /// # Errors
    ///
    /// The status of an unsuccessful response, or 502 if there was no complete response.
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

/// Returns the request as received: request line, one line for each header, and the XXH3-128 hash
/// of the body.
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

/// Returns a 503 that marks the request as refused before it ran.
fn refused<'r>() -> Response<'r> {
    Response::build()
        .status(Status::ServiceUnavailable)
        .raw_header(header::REFUSED, "overloaded")
        .finalize()
}

/// Returns a response with the padded `text`. It is streamed in two halves if the behaviour
/// truncates, delays or withholds parts of it.
fn respond<'r>(
    behaviour: &Behaviour,
    mut text: String,
    released: watch::Receiver<bool>,
) -> Response<'r> {
    let padding = behaviour
        .response_bytes
        .min(MAX_RESPONSE_BYTES)
        .saturating_sub(text.len());
    text.extend(std::iter::repeat_n('.', padding));
    let mut response = Response::new();
    response.set_status(Status::Ok);
    response.set_raw_header("content-type", "text/plain");
    let streamed = behaviour.truncate || behaviour.withhold || !behaviour.stream_gap.is_zero();
    if !streamed {
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
