//! Callers that send requests at random times, and again when they fail.

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
use crate::measure::world::Scenario;
use crate::measure::world::World;
use crate::measure::world::capacity;

/// Time before the cause.
pub const BEFORE: Duration = Duration::from_secs(4);

/// Time that the cause lasts.
pub const CAUSE: Duration = Duration::from_secs(10);

/// Time after the cause.
pub const AFTER: Duration = Duration::from_secs(8);

/// Usual demand as a share of what the bottleneck can do.
const LOAD: f64 = 0.8;

/// Share of charges among the requests.
const CHARGES: f64 = 0.1;

/// Share of lookups among the other requests.
const LOOKUPS: f64 = 0.33;

/// Times that a caller sends a request, at most.
const SENDS: u32 = 3;

/// Time between two sends of a request, in milliseconds.
const RESEND_MS: std::ops::Range<u64> = 20..60;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Kind {
    /// Critical and non-idempotent.
    Charge,
    /// Idempotent, of normal priority.
    Lookup,
    /// Idempotent, of low priority.
    Page,
}

/// What became of a user request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Kind of the request.
    pub kind: Kind,
    /// When it was first sent, since the start.
    pub sent: Duration,
    /// When it ended, since the start.
    pub ended: Duration,
    /// Times that it was sent.
    pub sends: u32,
    /// Whether the caller got a whole, good answer.
    pub completed: bool,
}

/// Name of the operation of the `send`-th copy of a request.
pub fn operation(request: usize, send: u32) -> String {
    format!("{request}.{send}")
}

/// Sends requests through a scenario and returns what became of each, in the order of arrival.
///
/// # Errors
///
/// If the callers cannot be set up, or the scenario cannot be brought about.
pub async fn drive(world: &mut World, scenario: Scenario, seed: u64) -> io::Result<Vec<Sample>> {
    let caller = Arc::new(Caller::new(&world.entries(), 0, seed)?);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut tasks = JoinSet::new();
    let mut changes = 0;
    while at < BEFORE + CAUSE + AFTER {
        if changes == 0 && at >= BEFORE {
            world.begin().await?;
            changes = 1;
        }
        if changes == 1 && at >= BEFORE + CAUSE {
            world.end().await?;
            changes = 2;
        }
        tokio::time::sleep_until(start + at).await;
        let kind = draw_kind(&mut rng);
        let seed = rng.next_u64();
        tasks.spawn(request(caller.clone(), kind, tasks.len(), start, seed));
        let demand = if changes == 1 { scenario.demand() } else { 1.0 };
        at += gap(&mut rng, capacity() * LOAD * demand);
    }
    let mut samples = tasks.join_all().await;
    samples.sort_by_key(|(index, _)| *index);
    Ok(samples.into_iter().map(|(_, sample)| sample).collect())
}

async fn request(
    caller: Arc<Caller>,
    kind: Kind,
    index: usize,
    start: Instant,
    seed: u64,
) -> (usize, Sample) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sent = start.elapsed();
    let mut sends = 0;
    let mut completed = false;
    while sends < SENDS {
        sends += 1;
        let outcome = send(&caller, kind, &operation(index, sends)).await;
        completed = outcome == Some(true);
        if completed || (outcome.is_none() && kind == Kind::Charge) {
            break;
        }
        let pause = rng.random_range(RESEND_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
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

/// Returns whether the answer was good, or nothing if it is not known whether the request ran.
async fn send(caller: &Caller, kind: Kind, operation: &str) -> Option<bool> {
    let (method, path, timeout_ms) = match kind {
        Kind::Charge => (Method::POST, "/charge", 2_000),
        Kind::Lookup => (Method::GET, "/lookup", 800),
        Kind::Page => (Method::GET, "/page", 800),
    };
    let mut headers = HeaderMap::new();
    headers.insert("x-op", HeaderValue::from_str(operation).ok()?);
    let req = CallRequest {
        method,
        path,
        headers,
        body: Bytes::new(),
        idempotent: kind != Kind::Charge,
        timeout: Duration::from_millis(timeout_ms),
    };
    match caller.call(&req).await {
        Outcome::Completed(answer) if answer.status.is_success() => Some(true),
        Outcome::NotRun(_) => Some(false),
        Outcome::Completed(_) | Outcome::Unknown(_) => None,
    }
}

fn draw_kind<R>(rng: &mut R) -> Kind
where
    R: Rng,
{
    if rng.random_bool(CHARGES) {
        return Kind::Charge;
    }
    match rng.random_bool(LOOKUPS) {
        true => Kind::Lookup,
        false => Kind::Page,
    }
}

fn gap<R>(rng: &mut R, rate: f64) -> Duration
where
    R: Rng,
{
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-u.ln() / rate)
}
