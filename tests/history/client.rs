//! Plain HTTP callers, patient and impatient, and what they record.

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

use crate::checker::Answer;
use crate::checker::CallId;
use crate::checker::What;
use crate::recorder::Recorder;
use crate::recorder::body_hash;

/// Header that names the call at every target.
pub(crate) const CALL: &str = "x-call";

/// Largest answer that is held.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time after which a recording client gives up: longer than every timeout of the policies.
const GIVE_UP: Duration = Duration::from_secs(20);

/// A user request.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    pub(crate) number: u32,
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    /// Time that the caller waits.
    pub(crate) timeout: Duration,
    /// Times that the caller sends the request again.
    pub(crate) resends: u32,
    /// Time after which an impatient caller sends again without an answer.
    pub(crate) impatience: Duration,
}

/// Sends a request with the id of its call and reads what the node tells.
pub(crate) async fn send(req: reqwest::RequestBuilder, call: CallId) -> CallResult {
    let req = req.header(CALL, call.to_string());
    match tokio::time::timeout(GIVE_UP, http_client::send(req, MAX_ANSWER_BYTES)).await {
        Ok(outcome) => call_result::read_result(outcome),
        Err(_) => panic!("call {call} was never answered"),
    }
}

/// Records what whoever issued a call was told, `by` an instance where that is known.
pub(crate) async fn record(
    recorder: &Recorder,
    call: CallId,
    outcome: Outcome<HttpResponse>,
    by: Option<String>,
) -> Answer {
    let answer = answer(outcome).await;
    recorder.add(What::Told { call, answer, by });
    answer
}

async fn answer(outcome: Outcome<HttpResponse>) -> Answer {
    match outcome {
        Outcome::Completed(answer) => match answer.body {
            ResponseBody::Buffered(bytes) => Answer::Completed(body_hash(&bytes)),
            ResponseBody::Streamed(_) => panic!("an answer larger than any target gives"),
        },
        Outcome::NotRun(kind) => Answer::NotRun(kind),
        Outcome::Unknown(kind) => Answer::Unknown(kind),
    }
}

/// A node where user requests enter.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
}

/// How one attempt ended, and at which instance.
struct Ended {
    outcome: Outcome<HttpResponse>,
    by: String,
}

/// Sends user requests to the entry nodes of a service.
pub(crate) struct Client {
    entries: Vec<Entry>,
    http: reqwest::Client,
    recorder: Arc<Recorder>,
}

impl Client {
    pub(crate) fn new(entries: Vec<Entry>, recorder: Arc<Recorder>) -> Client {
        let http = http_client::build().unwrap();
        Client {
            entries,
            http,
            recorder,
        }
    }

    /// Sends a request, again if its caller is impatient, and records every whole answer, or what
    /// all attempts together came to.
    ///
    /// A lookup goes to the next entry each time. Any other call stays with the entry that
    /// issued its token, and gets a new one only after a definite "not run" of every attempt.
    pub(crate) async fn request(&self, req: &UserRequest) -> Answer {
        let call = CallId {
            request: req.number,
            number: 0,
        };
        let mut open = FuturesUnordered::new();
        let mut merged: Option<Outcome<HttpResponse>> = None;
        let mut token = None;
        for attempt in 0..=req.resends {
            if !req.idempotent && token.is_none() {
                match self.token(req, call, attempt).await {
                    Ok(issued) => token = Some(issued),
                    Err(outcome) => {
                        let unsure = !matches!(outcome, Outcome::NotRun(_));
                        merged = Some(after(merged, outcome));
                        if unsure {
                            break;
                        }
                        continue;
                    }
                }
            }
            open.push(self.attempt(req, call, attempt, token.clone()));
            let Ok(Some(ended)) = tokio::time::timeout(req.impatience, open.next()).await else {
                continue;
            };
            if matches!(ended.outcome, Outcome::Completed(_)) {
                let by = Some(ended.by);
                return record(&self.recorder, call, ended.outcome, by).await;
            }
            merged = Some(after(merged, ended.outcome));
            let not_run = matches!(merged, Some(Outcome::NotRun(_)));
            if not_run && open.is_empty() {
                token = None;
            }
        }
        while let Some(ended) = open.next().await {
            merged = Some(after(merged, ended.outcome));
        }
        let by = Some(self.entry(req, req.resends).instance.clone());
        record(&self.recorder, call, merged.unwrap(), by).await
    }

    /// Asks the entry for a token, by sending the call without one.
    async fn token(
        &self,
        req: &UserRequest,
        call: CallId,
        attempt: u32,
    ) -> Result<String, Outcome<HttpResponse>> {
        self.note_sent(req, call);
        let told = send(self.builder(req, attempt), call).await;
        match (told.outcome, told.token) {
            (Outcome::NotRun(NotRunKind::TokenRequired), Some(token)) => Ok(token),
            (Outcome::Completed(_), _) => panic!("{call} ran without a token"),
            (outcome, _) => Err(outcome),
        }
    }

    async fn attempt(
        &self,
        req: &UserRequest,
        call: CallId,
        attempt: u32,
        token: Option<String>,
    ) -> Ended {
        self.note_sent(req, call);
        let mut builder = self.builder(req, attempt);
        if let Some(token) = token {
            builder = builder.header(header::TOKEN, token);
        }
        Ended {
            outcome: send(builder, call).await.outcome,
            by: self.entry(req, attempt).instance.clone(),
        }
    }

    fn note_sent(&self, req: &UserRequest, call: CallId) {
        self.recorder.add(What::Sent {
            call,
            priority: req.priority,
            idempotent: req.idempotent,
        });
    }

    fn entry(&self, req: &UserRequest, attempt: u32) -> &Entry {
        let turn = if req.idempotent { attempt } else { 0 };
        &self.entries[(req.number + turn) as usize % self.entries.len()]
    }

    fn builder(&self, req: &UserRequest, attempt: u32) -> reqwest::RequestBuilder {
        let address = self.entry(req, attempt).address;
        let waits = req.timeout.as_millis().to_string();
        self.http
            .request(req.method.clone(), format!("http://{address}{}", req.path))
            .header(header::REQUEST_ID, format!("request {}", req.number))
            .header(header::ATTEMPT, attempt)
            .header(header::TIMEOUT_MS, waits)
    }
}

fn after(
    earlier: Option<Outcome<HttpResponse>>,
    later: Outcome<HttpResponse>,
) -> Outcome<HttpResponse> {
    match earlier {
        None => later,
        Some(earlier) => earlier.merge(later),
    }
}
