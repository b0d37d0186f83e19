//! Open-loop load: requests arrive as a Poisson process, and callers send failed
//! ones again.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::Display;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::CallRequest;
use crate::caller::Caller;
use crate::error::Outcome;
use crate::measure::fleet::MeasuredFleet;
use crate::measure::fleet::Scenario;
use crate::measure::fleet::normal_capacity;

/// Duration of the steady state before the fault.
pub const STEADY_TIME: Duration = Duration::from_secs(4);

/// Duration of the fault.
pub const FAULT_TIME: Duration = Duration::from_secs(10);

/// Duration of the load after the fault.
pub const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Arrival rate without a surge, as a share of the normal capacity of the bottleneck.
const UTILIZATION: f64 = 0.8;

/// Share of charges among all requests.
const CHARGE_SHARE: f64 = 0.1;

/// Share of lookups among the requests that are not charges.
const LOOKUP_SHARE: f64 = 0.33;

/// Maximum number of times that a caller sends a request.
const MAX_SENDS: u32 = 3;

/// Delay before a request is sent again, in milliseconds.
const RESEND_MS: std::ops::Range<u64> = 20..60;

/// Kind of a user request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum RequestKind {
    /// Non-idempotent, of critical priority.
    Charge,
    /// Idempotent, of normal priority.
    Lookup,
    /// Idempotent, of low priority.
    Page,
}

/// Outcome of a user request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Time from the start of the load to the first send.
    pub sent: Duration,
    /// Time from the start of the load to the end of the last send.
    pub ended: Duration,
    /// Number of sends, the first included.
    pub sends: u32,
    /// Whether the caller received a complete response with a success status.
    pub completed: bool,
}

/// Returns the operation name of the `send`-th send of a request, counted from 1.
pub fn operation(request: usize, send: u32) -> String {
    format!("{request}.{send}")
}

/// Sends requests through the three periods of a scenario, injecting and clearing its fault between
/// them. Returns the outcome of each request, in the order of arrival.
///
/// # Errors
///
/// If the caller cannot be set up, or the fault cannot be injected or cleared.
pub async fn run(
    fleet: &mut MeasuredFleet,
    scenario: Scenario,
    seed: u64,
) -> io::Result<Vec<Sample>> {
    let caller = Arc::new(Caller::new(&fleet.ingress_addresses(), 0, seed)?);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut tasks = JoinSet::new();
    let mut period = 0;
    while at < STEADY_TIME + FAULT_TIME + RECOVERY_TIME {
        if period == 0 && at >= STEADY_TIME {
            fleet.inject_fault().await?;
            period = 1;
        }
        if period == 1 && at >= STEADY_TIME + FAULT_TIME {
            fleet.clear_fault().await?;
            period = 2;
        }
        tokio::time::sleep_until(start + at).await;
        let kind = draw_kind(&mut rng);
        let seed = rng.next_u64();
        tasks.spawn(request(caller.clone(), kind, tasks.len(), start, seed));
        let demand = if period == 1 {
            scenario.demand_factor()
        } else {
            1.0
        };
        at += interarrival_time(&mut rng, normal_capacity() * UTILIZATION * demand);
    }
    let mut samples = tasks.join_all().await;
    samples.sort_by_key(|(index, _)| *index);
    Ok(samples.into_iter().map(|(_, sample)| sample).collect())
}

/// Sends a request until it succeeds or was sent [`MAX_SENDS`] times. A charge is not sent again
/// once it may have run. Returns the index and the outcome of the request.
async fn request(
    caller: Arc<Caller>,
    kind: RequestKind,
    index: usize,
    start: Instant,
    seed: u64,
) -> (usize, Sample) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sent = start.elapsed();
    let mut sends = 0;
    let mut completed = false;
    while sends < MAX_SENDS {
        sends += 1;
        let outcome = send(&caller, kind, &operation(index, sends)).await;
        completed = outcome == Some(true);
        if completed || (outcome.is_none() && kind == RequestKind::Charge) {
            break;
        }
        let delay = rng.random_range(RESEND_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let sample = Sample {
        kind,
        sent,
        ended: start.elapsed(),
        sends,
        completed,
    };
    (index, sample)
}

/// Sends a request once. Returns `Some(true)` for a success status, `Some(false)` if the request
/// was not run, and `None` if it may have run: its outcome is unknown or its status is an error.
async fn send(caller: &Caller, kind: RequestKind, operation: &str) -> Option<bool> {
    let (method, path, timeout_ms) = match kind {
        RequestKind::Charge => (Method::POST, "/charge", 2_000),
        RequestKind::Lookup => (Method::GET, "/lookup", 800),
        RequestKind::Page => (Method::GET, "/page", 800),
    };
    let mut headers = HeaderMap::new();
    headers.insert("x-op", HeaderValue::from_str(operation).ok()?);
    let req = CallRequest {
        method,
        path,
        headers,
        body: Bytes::new(),
        idempotent: kind != RequestKind::Charge,
        timeout: Duration::from_millis(timeout_ms),
    };
    match caller.call(&req).await {
        Outcome::Completed(response) if response.status.is_success() => Some(true),
        Outcome::NotRun(_) => Some(false),
        Outcome::Completed(_) | Outcome::Unknown(_) => None,
    }
}

/// Draws the kind of a request by the shares of the mix.
fn draw_kind<R>(rng: &mut R) -> RequestKind
where
    R: Rng,
{
    if rng.random_bool(CHARGE_SHARE) {
        return RequestKind::Charge;
    }
    match rng.random_bool(LOOKUP_SHARE) {
        true => RequestKind::Lookup,
        false => RequestKind::Page,
    }
}

/// Draws the time to the next arrival of a Poisson process of `rate` requests per second.
fn interarrival_time<R>(rng: &mut R, rate: f64) -> Duration
where
    R: Rng,
{
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-u.ln() / rate)
}
