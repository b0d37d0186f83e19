//! Caller: the client library. It picks an entry node, holds idempotency tokens and returns one
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
use crate::transport::body::AnswerBody;
use crate::transport::call_result;
use crate::transport::http_client;
use crate::transport::http_client::Answer;

/// Times that a caller sends a request again, where its settings state nothing.
pub const DEFAULT_RESENDS: u32 = 1;

/// Largest answer that a caller takes, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Idempotency tokens held for each entry node.
const TOKENS_PER_ENTRY: usize = 16;

/// A request to the service behind the entry nodes.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers of the application.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time that the caller waits.
    pub timeout: Duration,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A token that a request was sent with, and the entry node that minted it.
struct SpentToken {
    entry: SocketAddr,
    token: String,
}

/// One sending of a request.
struct Sent {
    id: RequestId,
    attempt: u32,
    entry: SocketAddr,
    left: Duration,
}

/// Sends requests to the entry nodes of one service.
pub struct Caller {
    entries: Vec<SocketAddr>,
    resends: u32,
    client: reqwest::Client,
    next: AtomicUsize,
    tokens: Mutex<HashMap<SocketAddr, Vec<String>>>,
    rng: Mutex<ChaCha12Rng>,
}

impl Caller {
    /// Builds a caller of the service whose nodes serve `entries`.
    ///
    /// # Errors
    ///
    /// If there is no entry, or the HTTP client cannot be set up.
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

    /// Sends a request, again if its outcome allows it, and returns what became of it.
    ///
    /// A non-idempotent request whose answer was lost is sent again with its token to the same
    /// entry, which runs it once and gives that run's answer.
    pub async fn call(&self, req: &CallRequest<'_>) -> Outcome<CallAnswer> {
        let id = self.new_request_id();
        let started = tokio::time::Instant::now();
        let (mut outcome, mut spent) = self.attempt(req, id, 0, req.timeout, None).await;
        for attempt in 1..=self.resends {
            let left = req.timeout.saturating_sub(started.elapsed());
            if left.is_zero() || !may_resend(&outcome, spent.is_some(), req.idempotent) {
                break;
            }
            let again = spent.filter(|_| matches!(outcome, Outcome::Unknown(_)));
            let (later, token) = self.attempt(req, id, attempt, left, again).await;
            outcome = outcome.merge(later);
            spent = token;
        }
        outcome
    }

    /// Sends a request to an entry node, and returns the token that it spent there.
    async fn attempt(
        &self,
        req: &CallRequest<'_>,
        id: RequestId,
        attempt: u32,
        left: Duration,
        again: Option<SpentToken>,
    ) -> (Outcome<CallAnswer>, Option<SpentToken>) {
        let fresh = again.is_none();
        let entry = again
            .as_ref()
            .map_or_else(|| self.next_entry(), |a| a.entry);
        let token = match again {
            Some(spent) => Some(spent.token),
            None => self.take_token(entry, req.idempotent),
        };
        let sent = Sent {
            id,
            attempt,
            entry,
            left,
        };
        let (outcome, offered) = self.send(req, &sent, token.as_deref()).await;
        let (outcome, token) = match fresh && was_not_accepted(&outcome) {
            false => {
                self.keep_token(entry, offered);
                (outcome, token)
            }
            true => self.with_new_token(req, &sent, offered).await,
        };
        (outcome, token.map(|token| SpentToken { entry, token }))
    }

    /// Sends a request whose token the entry did not accept, or that had none, with a new one.
    async fn with_new_token(
        &self,
        req: &CallRequest<'_>,
        sent: &Sent,
        offered: Option<String>,
    ) -> (Outcome<CallAnswer>, Option<String>) {
        let token = match offered {
            Some(token) => token,
            None => match self.send(req, sent, None).await {
                (_, Some(token)) => token,
                (outcome, None) => return (outcome, None),
            },
        };
        let (outcome, offered) = self.send(req, sent, Some(&token)).await;
        self.keep_token(sent.entry, offered);
        (outcome, Some(token))
    }

    async fn send(
        &self,
        req: &CallRequest<'_>,
        sent: &Sent,
        token: Option<&str>,
    ) -> (Outcome<CallAnswer>, Option<String>) {
        let Sent { entry, left, .. } = *sent;
        let mut builder = self
            .client
            .request(req.method.clone(), format!("http://{entry}{}", req.path))
            .headers(req.headers.clone())
            .header(header::REQUEST_ID, sent.id.to_string())
            .header(header::ATTEMPT, sent.attempt)
            .header(header::TIMEOUT_MS, left.as_millis().to_string());
        if let Some(token) = token {
            builder = builder.header(header::TOKEN, token);
        }
        if !req.body.is_empty() {
            builder = builder.body(req.body.clone());
        }
        let sending = http_client::send(builder, MAX_ANSWER_BYTES);
        match tokio::time::timeout(left, sending).await {
            Ok(outcome) => {
                let told = call_result::read_result(outcome);
                (whole(told.outcome), told.token)
            }
            Err(_) => (Outcome::Unknown(UnknownKind::Deadline), None),
        }
    }

    fn next_entry(&self) -> SocketAddr {
        self.entries[self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len()]
    }

    fn new_request_id(&self) -> RequestId {
        let mut rng = lock(&self.rng);
        RequestId::random(&mut *rng)
    }

    fn take_token(&self, entry: SocketAddr, idempotent: bool) -> Option<String> {
        if idempotent {
            return None;
        }
        lock(&self.tokens).get_mut(&entry)?.pop()
    }

    fn keep_token(&self, entry: SocketAddr, token: Option<String>) {
        let Some(token) = token else {
            return;
        };
        let mut tokens = lock(&self.tokens);
        let held = tokens.entry(entry).or_default();
        if held.len() < TOKENS_PER_ENTRY {
            held.push(token);
        }
    }
}

/// Returns whether a request may be sent again; with a spent token, its copy gets the same run.
fn may_resend(outcome: &Outcome<CallAnswer>, with_token: bool, idempotent: bool) -> bool {
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

/// Returns whether the entry did not accept the token of a request that was sent once.
///
/// As no other copy was sent with the token, the request was not run, whatever the entry knows.
fn was_not_accepted(outcome: &Outcome<CallAnswer>) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(NotRunKind::TokenRequired | NotRunKind::TokenBurned)
            | Outcome::Unknown(UnknownKind::TokenForeign | UnknownKind::TokenExpired)
    )
}

fn whole(outcome: Outcome<Answer>) -> Outcome<CallAnswer> {
    match outcome {
        Outcome::Completed(answer) => match answer.body {
            AnswerBody::Buffered(body) => Outcome::Completed(CallAnswer {
                status: answer.status,
                headers: answer.headers,
                body,
            }),
            AnswerBody::Streamed(_) => Outcome::Unknown(UnknownKind::AnswerTruncated),
        },
        Outcome::NotRun(kind) => Outcome::NotRun(kind),
        Outcome::Unknown(kind) => Outcome::Unknown(kind),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}
