//! Open-loop load on the entry nodes of a fleet, for the demonstration and for measurements.

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

/// Header that names the operation of a request to a target.
pub const OPERATION: &str = "x-op";

/// Gap between two sends of an impatient caller.
const RESEND_GAP: Duration = Duration::from_millis(10);

/// Requests of one kind, sent at a steady average rate whatever becomes of them.
#[derive(Clone, Debug)]
pub struct Stream {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Priority that the policy gives to the requests.
    pub priority: Priority,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// Requests a second.
    pub rate: f64,
    /// Time that a caller waits for each send.
    pub timeout: Duration,
    /// Times that an impatient caller sends an unanswered request again, as a new request.
    ///
    /// A non-idempotent one is sent again only after it was certainly not run.
    pub resends: u32,
    /// Entry nodes.
    pub entries: Vec<SocketAddr>,
}

/// What became of one user request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Priority of the request.
    pub priority: Priority,
    /// Whether it was idempotent.
    pub idempotent: bool,
    /// Operation that its sends named, unique in a run.
    pub operation: String,
    /// Time from the start of the run to its first send.
    pub offered: Duration,
    /// Time from the first send to the end.
    pub took: Duration,
    /// Sends, the first included.
    pub sends: u32,
    /// The whole answer, or why there is none.
    pub result: Result<Bytes, ErrorKind>,
    /// HTTP status of the whole answer.
    pub status: Option<u16>,
}

impl Sample {
    /// Returns whether the request got a whole answer that is not an error of a server.
    pub fn is_good(&self) -> bool {
        self.status.is_some_and(|status| status < 500)
    }
}

/// A span of the run with its own rates.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Length of the span.
    pub span: Duration,
    /// Streams that run for that span.
    pub streams: Vec<Stream>,
}

/// Sends the phases one after the other and waits for the last request to end.
///
/// # Errors
///
/// If a caller cannot be set up.
pub async fn run(phases: &[Phase], seed: u64) -> io::Result<Vec<Sample>> {
    let origin = Instant::now();
    let mut tasks = JoinSet::new();
    let mut start = Duration::ZERO;
    for (number, phase) in phases.iter().enumerate() {
        let end = start + phase.span;
        let sending = phase.streams.iter().enumerate().map(|(index, stream)| {
            let seed = seed
                .wrapping_mul(31)
                .wrapping_add((number * 100 + index) as u64);
            let name = format!("{number}-{index}");
            send_stream(stream.clone(), name, seed, origin, start, end)
        });
        let sent = futures_util::future::try_join_all(sending).await?;
        for mut requests in sent {
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

/// Sends one stream from `start` to `end`; the requests may end later.
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
    let mut next = start + gap(stream.rate, &mut rng);
    let mut number = 0_u64;
    while next < end {
        tokio::time::sleep_until(origin + next).await;
        let operation = format!("{name}-{number}");
        requests.spawn(request(
            stream.clone(),
            caller.clone(),
            operation,
            next,
            origin,
        ));
        number += 1;
        next += gap(stream.rate, &mut rng);
    }
    Ok(requests)
}

/// Draws the time to the next request of a Poisson process.
fn gap(rate: f64, rng: &mut ChaCha12Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

async fn request(
    stream: Arc<Stream>,
    caller: Arc<Caller>,
    operation: String,
    offered: Duration,
    origin: Instant,
) -> Sample {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&operation) {
        headers.insert(OPERATION, value);
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
    while sends <= stream.resends && may_send_again(outcome.error(), stream.idempotent) {
        tokio::time::sleep(RESEND_GAP).await;
        sends += 1;
        outcome = outcome.merge(caller.call(&req).await);
    }
    let (result, status) = match outcome {
        Outcome::Completed(answer) => (Ok(answer.body), Some(answer.status.as_u16())),
        Outcome::NotRun(kind) => (Err(kind.into()), None),
        Outcome::Unknown(kind) => (Err(kind.into()), None),
    };
    Sample {
        priority: stream.priority,
        idempotent: stream.idempotent,
        operation,
        offered,
        took: origin.elapsed().saturating_sub(offered),
        sends,
        result,
        status,
    }
}

fn may_send_again(error: Option<ErrorKind>, idempotent: bool) -> bool {
    match error {
        None => false,
        Some(ErrorKind::NotRun(_)) => true,
        Some(ErrorKind::Unknown(_)) => idempotent,
    }
}
