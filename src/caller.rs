//! Client library for callers: picks an entry node, manages idempotency tokens and returns one
//! typed outcome.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use crate::call::RequestId;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::protocol::header;
use crate::transport::body::ResponseBody;
use crate::transport::call_result;
use crate::transport::http_client;
use crate::transport::http_client::HttpResponse;

/// Number of times that a caller resends a request by default.
pub const DEFAULT_RESENDS: u32 = 1;

/// Maximum size of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of unused idempotency tokens kept for each entry node.
const MAX_TOKENS_PER_ENTRY: usize = 16;

/// A request to the service behind the entry nodes.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Application headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time that the caller waits for the outcome; resends get what is left of it.
    pub timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// An idempotency token that a request was sent with, and the entry node that minted it.
struct SpentToken {
    entry: SocketAddr,
    token: String,
}

/// Parameters of one attempt to run a request.
struct Attempt {
    id: RequestId,
    /// Number of the attempt, from 0.
    number: u32,
    entry: SocketAddr,
    /// Time left until the deadline of the request.
    remaining: Duration,
}

/// Sends requests to the entry nodes of one service, in turn.
pub struct Caller {
    entries: Vec<SocketAddr>,
    resends: u32,
    client: reqwest::Client,
    next: AtomicUsize,
    tokens: Mutex<HashMap<SocketAddr, Vec<String>>>,
    rng: Mutex<ChaCha12Rng>,
}

impl Caller {
    /// Creates a caller for the service whose entry nodes listen on `entries`.
    ///
    /// A request is resent at most `resends` times. `seed` determines the request ids.
    ///
    /// # Errors
    ///
    /// If `entries` is empty, or the HTTP client cannot be built.
    pub fn new(entries: &[SocketAddr], resends: u32, seed: u64) -> io::Result<Caller> {
        if entries.is_empty() {
            return Err(io::Error::other("a caller needs at least one entry node"));
        }
        Ok(Caller {
            entries: entries.to_vec(),
            resends,
            client: http_client::build()?,
            next: AtomicUsize::new(0),
            tokens: Mutex::default(),
            rng: Mutex::new(ChaCha12Rng::seed_from_u64(seed)),
        })
    }

    /// Sends a request, resends it if its outcome allows that, and returns the merged outcome.
    ///
    /// A non-idempotent request whose response was lost is resent with the same token to the same
    /// entry node, which runs it once and returns the response of that run.
    pub async fn call(&self, req: &CallRequest<'_>) -> Outcome<CallResponse> {
        let id = self.new_request_id();
        let started = tokio::time::Instant::now();
        let (mut outcome, mut spent) = self.attempt(req, id, 0, req.timeout, None).await;
        for number in 1..=self.resends {
            let remaining = req.timeout.saturating_sub(started.elapsed());
            if remaining.is_zero() || !may_resend(&outcome, spent.is_some(), req.idempotent) {
                break;
            }
            let reused = spent.filter(|_| matches!(outcome, Outcome::Unknown(_)));
            let (later, token) = self.attempt(req, id, number, remaining, reused).await;
            outcome = outcome.merge(later);
            spent = token;
        }
        outcome
    }

    /// Attempts to run a request at an entry node. Returns the outcome and the token that was
    /// spent.
    ///
    /// With `reused`, the request goes to the entry node that minted that token; without it, to
    /// the next entry node in turn.
    async fn attempt(
        &self,
        req: &CallRequest<'_>,
        id: RequestId,
        number: u32,
        remaining: Duration,
        reused: Option<SpentToken>,
    ) -> (Outcome<CallResponse>, Option<SpentToken>) {
        let first_use = reused.is_none();
        let entry = reused
            .as_ref()
            .map_or_else(|| self.next_entry(), |spent| spent.entry);
        let token = match reused {
            Some(spent) => Some(spent.token),
            None => self.take_token(entry, req.idempotent),
        };
        let attempt = Attempt {
            id,
            number,
            entry,
            remaining,
        };
        let (outcome, new_token) = self.send(req, &attempt, token.as_deref()).await;
        let (outcome, token) = match first_use && is_token_rejected(&outcome) {
            false => {
                self.keep_token(entry, new_token);
                (outcome, token)
            }
            true => self.send_with_new_token(req, &attempt, new_token).await,
        };
        (outcome, token.map(|token| SpentToken { entry, token }))
    }

    /// Resends a request that was rejected for its missing or invalid token.
    ///
    /// Uses `new_token`, the token from the rejection, or else asks the entry node for one. Returns
    /// the outcome and the token that was spent.
    async fn send_with_new_token(
        &self,
        req: &CallRequest<'_>,
        attempt: &Attempt,
        new_token: Option<String>,
    ) -> (Outcome<CallResponse>, Option<String>) {
        let token = match new_token {
            Some(token) => token,
            None => match self.send(req, attempt, None).await {
                (_, Some(token)) => token,
                (outcome, None) => return (outcome, None),
            },
        };
        let (outcome, new_token) = self.send(req, attempt, Some(&token)).await;
        self.keep_token(attempt.entry, new_token);
        (outcome, Some(token))
    }

    /// Sends a request once. Returns the outcome and the new token in the response, if any.
    async fn send(
        &self,
        req: &CallRequest<'_>,
        attempt: &Attempt,
        token: Option<&str>,
    ) -> (Outcome<CallResponse>, Option<String>) {
        let Attempt {
            entry, remaining, ..
        } = *attempt;
        let mut builder = self
            .client
            .request(req.method.clone(), format!("http://{entry}{}", req.path))
            .headers(req.headers.clone())
            .header(header::REQUEST_ID, attempt.id.to_string())
            .header(header::ATTEMPT, attempt.number)
            .header(header::TIMEOUT_MS, remaining.as_millis().to_string());
        if let Some(token) = token {
            builder = builder.header(header::TOKEN, token);
        }
        if !req.body.is_empty() {
            builder = builder.body(req.body.clone());
        }
        let sending = http_client::send(builder, MAX_RESPONSE_BYTES);
        match tokio::time::timeout(remaining, sending).await {
            Ok(outcome) => {
                let result = call_result::read_result(outcome);
                (with_held_body(result.outcome), result.token)
            }
            Err(_) => (Outcome::Unknown(UnknownKind::Deadline), None),
        }
    }

    /// Returns the next entry node in turn.
    fn next_entry(&self) -> SocketAddr {
        self.entries[self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len()]
    }

    fn new_request_id(&self) -> RequestId {
        let mut rng = lock(&self.rng);
        RequestId::random(&mut *rng)
    }

    /// Takes an unused token of an entry node; idempotent requests need none.
    fn take_token(&self, entry: SocketAddr, idempotent: bool) -> Option<String> {
        if idempotent {
            return None;
        }
        lock(&self.tokens).get_mut(&entry)?.pop()
    }

    /// Keeps an unused token of an entry node, unless there are [`MAX_TOKENS_PER_ENTRY`] already.
    fn keep_token(&self, entry: SocketAddr, token: Option<String>) {
        let Some(token) = token else {
            return;
        };
        let mut tokens = lock(&self.tokens);
        let kept = tokens.entry(entry).or_default();
        if kept.len() < MAX_TOKENS_PER_ENTRY {
            kept.push(token);
        }
    }
}

/// Returns whether a request may be resent.
///
/// A resend with the token that was spent (`with_token`) joins the run of the first send, so it is
/// safe even if the request is not idempotent.
fn may_resend(outcome: &Outcome<CallResponse>, with_token: bool, idempotent: bool) -> bool {
    match outcome {
        Outcome::Completed(_) => false,
        Outcome::NotRun(NotRunKind::NoInstance) => true,
        Outcome::NotRun(kind) => ErrorKind::NotRun(*kind).try_other(),
        Outcome::Unknown(UnknownKind::InProgress) => with_token,
        Outcome::Unknown(kind) => {
            (idempotent || with_token) && ErrorKind::Unknown(*kind).try_other()
        }
    }
}

/// Returns whether the entry node rejected the token of a request that was sent once.
///
/// No other copy was sent with that token, so the request was not run, even if the entry node
/// reports the outcome as unknown.
fn is_token_rejected(outcome: &Outcome<CallResponse>) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(NotRunKind::TokenRequired | NotRunKind::TokenBurned)
            | Outcome::Unknown(UnknownKind::TokenForeign | UnknownKind::TokenExpired)
    )
}

/// Converts a response whose body was read completely; a streamed body counts as truncated.
fn with_held_body(outcome: Outcome<HttpResponse>) -> Outcome<CallResponse> {
    match outcome {
        Outcome::Completed(response) => match response.body {
            ResponseBody::Buffered(body) => Outcome::Completed(CallResponse {
                status: response.status,
                headers: response.headers,
                body,
            }),
            ResponseBody::Streamed(_) => Outcome::Unknown(UnknownKind::AnswerTruncated),
        },
        Outcome::NotRun(kind) => Outcome::NotRun(kind),
        Outcome::Unknown(kind) => Outcome::Unknown(kind),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}
