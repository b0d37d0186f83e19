//! Open-loop load generator for the entry nodes of a fleet, used by the demonstration.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::call::Priority;
use crate::caller::CallRequest;
use crate::caller::Caller;
use crate::error::ErrorKind;
use crate::error::Outcome;

/// Request header that names the operation, by which targets count their runs.
pub const OPERATION_HEADER: &str = "x-op";

/// Delay between the end of a call and its resend by an impatient caller.
const RESEND_DELAY: Duration = Duration::from_millis(10);

/// Requests of one kind, sent as a Poisson process whose rate does not depend on the responses.
#[derive(Clone, Debug)]
pub struct Stream {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Priority that the policy assigns to the requests.
    pub priority: Priority,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// Average number of requests per second.
    pub rate: f64,
    /// Time that a caller waits for the response to each send.
    pub timeout: Duration,
    /// Number of times that an impatient caller resends an unanswered request as a new request.
    ///
    /// A non-idempotent request is resent only if it was certainly not run.
    pub resends: u32,
    /// Addresses of the entry nodes.
    pub entries: Vec<SocketAddr>,
}

/// Result of one user request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the request was idempotent.
    pub idempotent: bool,
    /// Operation named by all sends of the request, unique in a run.
    pub operation: String,
    /// Time of the first send, from the start of the run.
    pub sent_at: Duration,
    /// Time from the first send to the final outcome.
    pub latency: Duration,
    /// Number of sends, including the first.
    pub sends: u32,
    /// Body of the complete response, or the reason why there is none.
    pub result: Result<Bytes, ErrorKind>,
    /// HTTP status of the complete response.
    pub status: Option<u16>,
}

impl Sample {
    /// Returns whether the request got a complete response with a status below 500.
    pub fn is_success(&self) -> bool {
        self.status.is_some_and(|status| status < 500)
    }
}

/// A phase of the run with its own streams.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Duration of the phase.
    pub duration: Duration,
    /// Streams that are active during the phase.
    pub streams: Vec<Stream>,
}

/// Runs the phases one after the other and waits until the last request has ended.
///
/// # Errors
///
/// If a caller cannot be created.
pub async fn run(phases: &[Phase], seed: u64) -> io::Result<Vec<Sample>> {
    let origin = Instant::now();
    let mut tasks = JoinSet::new();
    let mut start = Duration::ZERO;
    for (number, phase) in phases.iter().enumerate() {
        let end = start + phase.duration;
        let streams = phase.streams.iter().enumerate().map(|(index, stream)| {
            let seed = seed
                .wrapping_mul(31)
                .wrapping_add((number * 100 + index) as u64);
            let name = format!("{number}-{index}");
            send_stream(stream.clone(), name, seed, origin, start, end)
        });
        let started = futures_util::future::try_join_all(streams).await?;
        for mut requests in started {
            tasks.spawn(async move {
                let mut samples = Vec::new();
                while let Some(sample) = requests.join_next().await {
                    samples.extend(sample.ok());
                }
                samples
            });
        }
        start = end;
    }
    let samples: Vec<Sample> = tasks.join_all().await.into_iter().flatten().collect();
    Ok(samples)
}

/// Starts the requests of one stream from `start` to `end`; they may end later.
async fn send_stream(
    stream: Stream,
    name: String,
    seed: u64,
    origin: Instant,
    start: Duration,
    end: Duration,
) -> io::Result<JoinSet<Sample>> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let caller = Arc::new(Caller::new(&stream.entries, 0, seed)?);
    let stream = Arc::new(stream);
    let mut requests = JoinSet::new();
    let mut next = start + next_interval(stream.rate, &mut rng);
    let mut number = 0_u64;
    while next < end {
        tokio::time::sleep_until(origin + next).await;
        let operation = format!("{name}-{number}");
        requests.spawn(send_request(
            stream.clone(),
            caller.clone(),
            operation,
            next,
            origin,
        ));
        number += 1;
        next += next_interval(stream.rate, &mut rng);
    }
    Ok(requests)
}

/// Draws the time to the next request of a Poisson process with `rate` requests per second.
fn next_interval(rate: f64, rng: &mut ChaCha12Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Sends one user request with its resends, and waits for the final outcome.
async fn send_request(
    stream: Arc<Stream>,
    caller: Arc<Caller>,
    operation: String,
    sent_at: Duration,
    origin: Instant,
) -> Sample {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&operation) {
        headers.insert(OPERATION_HEADER, value);
    }
    let req = CallRequest {
        method: stream.method.clone(),
        path: &stream.path,
        headers,
        body: Bytes::new(),
        idempotent: stream.idempotent,
        timeout: stream.timeout,
    };
    let mut sends = 1;
    let mut outcome = caller.call(&req).await;
    while sends <= stream.resends && may_resend(outcome.error(), stream.idempotent) {
        tokio::time::sleep(RESEND_DELAY).await;
        sends += 1;
        outcome = outcome.merge(caller.call(&req).await);
    }
    let (result, status) = match outcome {
        Outcome::Completed(response) => (Ok(response.body), Some(response.status.as_u16())),
        Outcome::NotRun(kind) => (Err(kind.into()), None),
        Outcome::Unknown(kind) => (Err(kind.into()), None),
    };
    Sample {
        priority: stream.priority,
        idempotent: stream.idempotent,
        operation,
        sent_at,
        latency: origin.elapsed().saturating_sub(sent_at),
        sends,
        result,
        status,
    }
}

/// Returns whether an impatient caller resends a request that ended with `error`.
fn may_resend(error: Option<ErrorKind>, idempotent: bool) -> bool {
    match error {
        None => false,
        Some(ErrorKind::NotRun(_)) => true,
        Some(ErrorKind::Unknown(_)) => idempotent,
    }
}
