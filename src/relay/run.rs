//! Runs requests at the local target.
//!
//! All requests for the target pass through this module, whether they come from this node or from
//! others. So this node knows exactly what runs, and only it can decide that a request was not run.

use std::io;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::admission::RunResult;
use crate::coordination::route;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint::Fingerprint;
use crate::http1::Header;
use crate::http1::head;
use crate::instance::InstanceName;
use crate::protocol::frame;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::relay::Relay;
use crate::relay::admission_queue::AdmissionRequest;
use crate::relay::admission_queue::Permit;
use crate::relay::incoming_body::IncomingBody;
use crate::relay::suspicion::Trial;
use crate::relay::target_client::TargetOutcome;
use crate::relay::target_client::TargetRequest;
use crate::relay::target_client::TargetResponse;

/// Delay of an accept loop after a failed accept.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// HTTP status of a target that is another instance than the addressed one.
const MISDIRECTED: u16 = 421;

/// Statuses that only a target sends that ran the request unharmed. A target may fail with a higher one
/// before it begins to run.
const UNHARMED_STATUSES: Range<u16> = 200..400;

/// Time that must be left to the deadline for a request to be sent to the target.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// Runs a request at the local target. Dropping the future aborts an idempotent run. Any other run
/// continues to its end, because its outcome would be unknown if it were aborted. `streamed` is the
/// body of a request whose body is not part of it.
pub async fn run_locally(
    relay: &Arc<Relay>,
    mut req: RunRequest,
    streamed: Option<IncomingBody>,
    arrived: Time,
) -> RunOutcome {
    if let Some(name) = relay.replacement_of(&req.target, &req.service) {
        req.target = name;
    }
    let deadline = arrived.plus(Duration::from_millis(u64::from(req.remaining_ms)));
    let admitted = match admit(relay, &req, deadline).await {
        Ok(admitted) => admitted,
        Err(kind) => {
            log::info!(
                request:% = req.id, kind:% = kind, target:% = req.target,
                percent = relay.admission_queue().load_percent();
                "request not run at local target"
            );
            return RunOutcome::NotRun {
                kind,
                refused_by_target: false,
            };
        }
    };
    if req.idempotent {
        return run_admitted(relay.clone(), req, streamed, admitted, deadline).await;
    }
    let run = tokio::spawn(run_admitted(
        relay.clone(),
        req,
        streamed,
        admitted,
        deadline,
    ));
    run.await.unwrap_or_else(|e| {
        log::error!("task of a run failed: {e}");
        RunOutcome::Unknown(UnknownKind::ConnectionLost)
    })
}

/// An admitted request that is about to run.
struct AdmittedRun {
    permit: Permit,
    fingerprint: Fingerprint,
    queued: Duration,
    /// Set if the run is the trial of a quarantined request.
    trial: Option<Trial>,
    _run_guard: RunGuard,
}

/// Counts a run of a route as in progress until it is dropped.
struct RunGuard {
    relay: Arc<Relay>,
    route: String,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.relay.now();
        self.relay
            .coordination()
            .fanout
            .record_run_end(&self.route, now);
    }
}

async fn admit(
    relay: &Arc<Relay>,
    req: &RunRequest,
    deadline: Time,
) -> Result<AdmittedRun, NotRunKind> {
    relay.check_target(&req.target)?;
    relay.record_origin(req);
    let fingerprint = match req.streamed {
        Some(streamed) => streamed.fingerprint,
        None => req.fingerprint_with(&req.body),
    };
    let queued_at = relay.now();
    let trial = relay.check_suspicion(fingerprint)?;
    let priority = match req.is_root {
        true => route::queue_priority(req.priority),
        false => Priority::Critical,
    };
    let request = AdmissionRequest {
        priority,
        idempotent: req.idempotent,
        deadline,
        exclusive: trial.is_some(),
    };
    let permit = relay.admission_queue().admit(request).await?;
    // The target may have started to drain while the request was queued.
    relay.check_target(&req.target)?;
    let now = relay.now();
    if deadline.since(now) < MIN_REMAINING {
        return Err(NotRunKind::DeadlineInQueue);
    }
    relay.start_repeated_run(req, now)?;
    let route: Arc<str> = Arc::from(req.route.as_str());
    relay.coordination().fanout.record_run_start(&route, now);
    Ok(AdmittedRun {
        permit,
        fingerprint,
        queued: now.since(queued_at),
        trial,
        _run_guard: RunGuard {
            relay: relay.clone(),
            route: req.route.clone(),
        },
    })
}

async fn run_admitted(
    relay: Arc<Relay>,
    req: RunRequest,
    streamed: Option<IncomingBody>,
    mut admitted: AdmittedRun,
    deadline: Time,
) -> RunOutcome {
    let started_at = relay.now();
    let remaining = deadline.since(started_at);
    let target_request = TargetRequest {
        headers: target_headers(&relay, &req, remaining),
        id: req.id,
        method: req.method,
        path: req.path,
        host: req.host,
        body: req.body,
        idempotent: req.idempotent,
    };
    let run = relay
        .target_client()
        .run_streamed(relay.target_address(), &target_request, streamed);
    // The target stops at the deadline and reports it; the margin lets that response arrive.
    let result = tokio::time::timeout(remaining + MIN_REMAINING * 10, run).await;
    if let Some(trial) = &mut admitted.trial {
        trial.record_run(result.as_ref().ok());
    }
    let took = relay.now().since(started_at);
    let outcome = match result {
        Ok(target_outcome) => record_outcome(&relay, &mut admitted, &req.target, target_outcome),
        Err(_) => RunOutcome::Unknown(UnknownKind::Deadline),
    };
    relay
        .metrics()
        .record_run(&req.route, &outcome, admitted.queued, took);
    log::info!(
        request:% = target_request.id, route:% = req.route, target:% = req.target,
        outcome:% = outcome_text(&outcome), queued_ms = admitted.queued.as_millis() as u64,
        took_ms = took.as_millis() as u64, remaining_ms = remaining.as_millis() as u64;
        "run at target"
    );
    outcome
}

fn record_outcome(
    relay: &Arc<Relay>,
    admitted: &mut AdmittedRun,
    target: &InstanceName,
    target_outcome: TargetOutcome,
) -> RunOutcome {
    match target_outcome {
        TargetOutcome::Answered(response) => {
            relay.record_target_load(&response);
            admitted.permit.set_result(RunResult::Ok);
            if UNHARMED_STATUSES.contains(&response.status) {
                relay.record_unharmed_run(admitted.fingerprint);
            }
            relay.record_target_response(response.closes);
            convert_response(relay, response)
        }
        TargetOutcome::Refused(response) => {
            relay.record_target_load(&response);
            admitted.permit.set_result(RunResult::Failed);
            relay.record_target_response(response.closes);
            if response.status == MISDIRECTED {
                relay.record_target_misdirected(target);
            }
            RunOutcome::NotRun {
                kind: NotRunKind::TargetRefused,
                refused_by_target: true,
            }
        }
        TargetOutcome::Unsent(e) => {
            admitted.permit.set_result(RunResult::Failed);
            relay.record_target_unreachable(target, e.kind() == io::ErrorKind::ConnectionRefused);
            RunOutcome::NotRun {
                kind: NotRunKind::TargetUnreachable,
                refused_by_target: false,
            }
        }
        TargetOutcome::Lost {
            kind,
            before_response,
        } => {
            admitted.permit.set_result(RunResult::Failed);
            if before_response {
                relay.record_broken_connection(target, admitted.fingerprint);
            }
            RunOutcome::Unknown(kind)
        }
    }
}

/// Converts a response of the target. Statuses 408, 421, 429 and 503 tell a caller that the request
/// was not run. Without the header that confirms this the target may have run it, so they become an
/// unknown outcome.
fn convert_response(relay: &Relay, response: TargetResponse) -> RunOutcome {
    if matches!(response.status, 408 | 421 | 429 | 503) {
        return RunOutcome::Unknown(UnknownKind::AnswerTruncated);
    }
    let header_names = relay.header_names();
    let signature = head::find_header(&response.headers, header_names.signature).map(str::to_owned);
    let kept: Vec<Header> = response
        .headers
        .into_iter()
        .filter(|(name, _)| {
            !header_names.is_for_node(name) && !header_names.is_added_by_caller_node(name)
        })
        .collect();
    RunOutcome::Completed {
        status: response.status,
        signature,
        headers: frame::to_wire(&kept),
        body: response.body,
    }
}

fn target_headers(relay: &Relay, req: &RunRequest, remaining: Duration) -> Vec<Header> {
    let header_names = relay.header_names();
    let mut headers = frame::from_wire(req.headers.clone());
    let node_headers = [
        (header_names.request_id, req.id.clone()),
        (header_names.deadline_ms, remaining.as_millis().to_string()),
        (header_names.target_instance, req.target.to_string()),
        (header_names.caller_service, req.caller_service.clone()),
    ];
    let organisation = req.organisation.iter();
    let organisation = organisation.map(|name| (header_names.organisation, name.to_string()));
    let node_headers = node_headers.into_iter().chain(organisation);
    headers.extend(node_headers.map(|(name, value)| (name.to_owned(), value.into_bytes())));
    headers
}

fn outcome_text(outcome: &RunOutcome) -> String {
    match outcome {
        RunOutcome::Completed { status, .. } => format!("answered-{status}"),
        RunOutcome::NotRun { kind, .. } => format!("not-run-{kind}"),
        RunOutcome::Unknown(kind) => format!("unknown-{kind}"),
    }
}
