//! HTTP clients that send user requests to entry nodes and record the outcomes that are reported.
//! Some of them send a request again before it is answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dragonflylead::NotRunKind;
use dragonflylead::Outcome;
use dragonflylead::Priority;
use dragonflylead::protocol::header;
use dragonflylead::transport::body::ResponseBody;
use dragonflylead::transport::call_result;
use dragonflylead::transport::call_result::CallResult;
use dragonflylead::transport::http_client;
use dragonflylead::transport::http_client::HttpResponse;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::checker::CallId;
use crate::checker::CallOutcome;
use crate::checker::EventKind;
use crate::recorder::Recorder;
use crate::recorder::body_hash;

/// Header that carries the [`CallId`] to every target.
pub(crate) const CALL_HEADER: &str = "x-call";

/// Maximum size of a response body that is buffered.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Time after which an unanswered call fails the test. Longer than every timeout in the policies.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A user request and the retry behaviour of its caller.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    /// Unique number of the request within a test.
    pub(crate) number: u32,
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    /// Timeout that the caller sends with each attempt.
    pub(crate) timeout: Duration,
    /// Maximum number of times that the caller sends the request again.
    pub(crate) resends: u32,
    /// Time without a response after which the caller sends the request again.
    pub(crate) resend_after: Duration,
}

/// Sends a request with the id of its call and reads the result from the response of the node.
///
/// Panics if no response arrives within [`CLIENT_TIMEOUT`].
pub(crate) async fn send_call(req: reqwest::RequestBuilder, call: CallId) -> CallResult {
    let req = req.header(CALL_HEADER, call.to_string());
    match tokio::time::timeout(CLIENT_TIMEOUT, http_client::send(req, MAX_RESPONSE_BYTES)).await {
        Ok(outcome) => call_result::read_result(outcome),
        Err(_) => panic!("call {call} was not answered within {CLIENT_TIMEOUT:?}"),
    }
}

/// Records the outcome that was reported for a call, and the instance that reported it if it is
/// known.
pub(crate) async fn record_outcome(
    recorder: &Recorder,
    call: CallId,
    outcome: Outcome<HttpResponse>,
    reported_by: Option<String>,
) -> CallOutcome {
    let outcome = hash_response(outcome).await;
    recorder.record(EventKind::OutcomeReported {
        call,
        outcome,
        reported_by,
    });
    outcome
}

/// Replaces the response in an outcome by the hash of its body.
async fn hash_response(outcome: Outcome<HttpResponse>) -> CallOutcome {
    match outcome {
        Outcome::Completed(response) => match response.body {
            ResponseBody::Buffered(bytes) => CallOutcome::Completed(body_hash(&bytes)),
            ResponseBody::Streamed(_) => {
                panic!("a response is larger than {MAX_RESPONSE_BYTES} bytes")
            }
        },
        Outcome::NotRun(kind) => CallOutcome::NotRun(kind),
        Outcome::Unknown(kind) => CallOutcome::Unknown(kind),
    }
}

/// A node to which clients send user requests.
#[derive(Clone, Debug)]
pub(crate) struct EntryNode {
    pub(crate) instance: String,
    /// Address of its ingress port.
    pub(crate) address: SocketAddr,
}

/// Outcome of one attempt and the instance that reported it.
struct AttemptResult {
    outcome: Outcome<HttpResponse>,
    reported_by: String,
}

/// Sends user requests to the entry nodes of a service.
pub(crate) struct Client {
    entries: Vec<EntryNode>,
    http: reqwest::Client,
    recorder: Arc<Recorder>,
}

impl Client {
    /// Creates a client that distributes requests over `entries`.
    pub(crate) fn new(entries: Vec<EntryNode>, recorder: Arc<Recorder>) -> Client {
        let http = http_client::build().unwrap();
        Client {
            entries,
            http,
            recorder,
        }
    }

    /// Sends a request, and sends it again as its caller would. Records the first complete
    /// response, or else the merged outcome of all attempts.
    ///
    /// Each attempt of an idempotent request goes to the next entry node. A non-idempotent request
    /// stays with the entry node that issued its token, and fetches a new token only after every
    /// attempt was reported as not run.
    pub(crate) async fn send_request(&self, req: &UserRequest) -> CallOutcome {
        let call = CallId {
            request: req.number,
            number: 0,
        };
        let mut in_progress = FuturesUnordered::new();
        let mut merged: Option<Outcome<HttpResponse>> = None;
        let mut token = None;
        for attempt in 0..=req.resends {
            if !req.idempotent && token.is_none() {
                match self.fetch_token(req, call, attempt).await {
                    Ok(issued) => token = Some(issued),
                    Err(outcome) => {
                        let may_have_run = !matches!(outcome, Outcome::NotRun(_));
                        merged = Some(merge_outcomes(merged, outcome));
                        if may_have_run {
                            break;
                        }
                        continue;
                    }
                }
            }
            in_progress.push(self.send_attempt(req, call, attempt, token.clone()));
            let Ok(Some(result)) = tokio::time::timeout(req.resend_after, in_progress.next()).await
            else {
                continue;
            };
            if matches!(result.outcome, Outcome::Completed(_)) {
                let reported_by = Some(result.reported_by);
                return record_outcome(&self.recorder, call, result.outcome, reported_by).await;
            }
            merged = Some(merge_outcomes(merged, result.outcome));
            let not_run = matches!(merged, Some(Outcome::NotRun(_)));
            if not_run && in_progress.is_empty() {
                token = None;
            }
        }
        while let Some(result) = in_progress.next().await {
            merged = Some(merge_outcomes(merged, result.outcome));
        }
        let reported_by = Some(self.entry(req, req.resends).instance.clone());
        record_outcome(&self.recorder, call, merged.unwrap(), reported_by).await
    }

    /// Fetches a token from the entry node by sending the call without one.
    ///
    /// Returns the outcome if the call was refused for another reason.
    async fn fetch_token(
        &self,
        req: &UserRequest,
        call: CallId,
        attempt: u32,
    ) -> Result<String, Outcome<HttpResponse>> {
        self.record_sent(req, call);
        let result = send_call(self.builder(req, attempt), call).await;
        match (result.outcome, result.token) {
            (Outcome::NotRun(NotRunKind::TokenRequired), Some(token)) => Ok(token),
            (Outcome::Completed(_), _) => panic!("call {call} ran without a token"),
            (outcome, _) => Err(outcome),
        }
    }

    /// Sends one attempt to its entry node.
    async fn send_attempt(
        &self,
        req: &UserRequest,
        call: CallId,
        attempt: u32,
        token: Option<String>,
    ) -> AttemptResult {
        self.record_sent(req, call);
        let mut builder = self.builder(req, attempt);
        if let Some(token) = token {
            builder = builder.header(header::TOKEN, token);
        }
        AttemptResult {
            outcome: send_call(builder, call).await.outcome,
            reported_by: self.entry(req, attempt).instance.clone(),
        }
    }

    fn record_sent(&self, req: &UserRequest, call: CallId) {
        self.recorder.record(EventKind::Sent {
            call,
            priority: req.priority,
            idempotent: req.idempotent,
        });
    }

    /// Chooses the entry node of an attempt.
    fn entry(&self, req: &UserRequest, attempt: u32) -> &EntryNode {
        let offset = if req.idempotent { attempt } else { 0 };
        &self.entries[(req.number + offset) as usize % self.entries.len()]
    }

    /// Builds the HTTP request of an attempt.
    fn builder(&self, req: &UserRequest, attempt: u32) -> reqwest::RequestBuilder {
        let address = self.entry(req, attempt).address;
        let timeout_ms = req.timeout.as_millis().to_string();
        self.http
            .request(req.method.clone(), format!("http://{address}{}", req.path))
            .header(header::REQUEST_ID, format!("request {}", req.number))
            .header(header::ATTEMPT, attempt)
            .header(header::TIMEOUT_MS, timeout_ms)
    }
}

/// Merges the outcome of a later attempt into that of the earlier ones.
fn merge_outcomes(
    earlier: Option<Outcome<HttpResponse>>,
    later: Outcome<HttpResponse>,
) -> Outcome<HttpResponse> {
    match earlier {
        None => later,
        Some(earlier) => earlier.merge(later),
    }
}
