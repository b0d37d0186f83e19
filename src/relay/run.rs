//! Runs requests at the target beside this node.
//!
//! Every request for the target passes here, from this node and from others. So this node knows
//! exactly what runs, and alone says whether something was not run.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::admission::RunResult;
use crate::coordination::poison::Isolation;
use crate::coordination::route;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint;
use crate::fingerprint::Fingerprint;
use crate::http1::Header;
use crate::http1::head;
use crate::instance::InstanceName;
use crate::protocol::frame;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::relay::Relay;
use crate::relay::intake::Ask;
use crate::relay::intake::Permit;
use crate::relay::target::Exchange;
use crate::relay::target::ExchangeEnd;
use crate::relay::target::TargetAnswer;

/// Pause after a connection could not be accepted.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Least time left with which a request is still handed to the target.
const LEAST_REMAINING: Duration = Duration::from_millis(5);

/// Runs a request at the own target. Dropping the future ends an idempotent run; any other goes on
/// to its end, because stopping it would leave its outcome unknown.
pub async fn run_here(relay: &Arc<Relay>, req: RunRequest, arrived: Time) -> RunOutcome {
    relay.hear_version(req.version);
    let deadline = arrived.plus(Duration::from_millis(u64::from(req.remaining_ms)));
    let started = match start(relay, &req, deadline).await {
        Ok(started) => started,
        Err(kind) => {
            log::info!(
                request:% = req.id, kind:% = kind, target:% = req.target,
                percent = relay.intake().percent();
                "not run here"
            );
            return RunOutcome::NotRun {
                kind,
                refused_by_target: false,
            };
        }
    };
    if req.idempotent {
        return exchange(relay.clone(), req, started, deadline).await;
    }
    let run = tokio::spawn(exchange(relay.clone(), req, started, deadline));
    run.await.unwrap_or_else(|e| {
        log::error!("a run ended without an outcome: {e}");
        RunOutcome::Unknown(UnknownKind::ConnectionLost)
    })
}

struct Started {
    permit: Permit,
    fingerprint: Fingerprint,
    queued: Duration,
    _running: Running,
}

/// Counts a run of a route for as long as it lasts.
struct Running {
    relay: Arc<Relay>,
    route: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.relay.now();
        self.relay.decisions().fanout.run_ended(&self.route, now);
    }
}

async fn start(
    relay: &Arc<Relay>,
    req: &RunRequest,
    deadline: Time,
) -> Result<Started, NotRunKind> {
    relay.check_target(&req.target)?;
    relay.note_origin(req);
    let fingerprint = fingerprint::of_content(&req.method, &req.path, &req.body);
    let asked = relay.now();
    if relay.decisions().suspects.isolation(asked, fingerprint) == Isolation::Quarantined {
        return Err(NotRunKind::Quarantined);
    }
    let priority = match req.is_root {
        true => route::queue_priority(req.rank),
        false => Priority::Critical,
    };
    let ask = Ask {
        priority,
        idempotent: req.idempotent,
        deadline,
    };
    let permit = relay.intake().admit(ask).await?;
    // The target may have begun to leave while the request waited.
    relay.check_target(&req.target)?;
    let now = relay.now();
    if deadline.since(now) < LEAST_REMAINING {
        return Err(NotRunKind::DeadlineInQueue);
    }
    let route: Arc<str> = Arc::from(req.route.as_str());
    relay.decisions().fanout.run_started(&route, now);
    Ok(Started {
        permit,
        fingerprint,
        queued: now.since(asked),
        _running: Running {
            relay: relay.clone(),
            route: req.route.clone(),
        },
    })
}

async fn exchange(
    relay: Arc<Relay>,
    req: RunRequest,
    mut started: Started,
    deadline: Time,
) -> RunOutcome {
    let began = relay.now();
    let remaining = deadline.since(began);
    let exchange = Exchange {
        headers: headers(&relay, &req, remaining),
        id: req.id,
        method: req.method,
        path: req.path,
        host: req.host,
        body: req.body,
        idempotent: req.idempotent,
    };
    let run = relay.target().run(relay.target_address(), &exchange);
    // The target ends its work at the deadline and says so; its word takes a moment to arrive.
    let end = tokio::time::timeout(remaining + LEAST_REMAINING * 10, run).await;
    let took = relay.now().since(began);
    let ended = match end {
        Ok(end) => conclude(&relay, &mut started, &req.target, end),
        Err(_) => RunOutcome::Unknown(UnknownKind::Deadline),
    };
    relay
        .figures()
        .run(&req.route, &ended, started.queued, took);
    log::info!(
        request:% = exchange.id, route:% = req.route, target:% = req.target,
        outcome:% = outcome(&ended), queued_ms = started.queued.as_millis() as u64,
        took_ms = took.as_millis() as u64, remaining_ms = remaining.as_millis() as u64;
        "run at target"
    );
    ended
}

fn conclude(
    relay: &Arc<Relay>,
    started: &mut Started,
    target: &InstanceName,
    end: ExchangeEnd,
) -> RunOutcome {
    match end {
        ExchangeEnd::Answered(answer) => {
            started.permit.ended(RunResult::Ok);
            relay
                .decisions()
                .suspects
                .clear_suspicion(started.fingerprint);
            relay.note_answer(answer.closes);
            answered(relay, answer)
        }
        ExchangeEnd::Refused(answer) => {
            started.permit.ended(RunResult::Failed);
            relay.note_answer(answer.closes);
            RunOutcome::NotRun {
                kind: NotRunKind::TargetRefused,
                refused_by_target: true,
            }
        }
        ExchangeEnd::Unsent(e) => {
            started.permit.ended(RunResult::Failed);
            relay.target_down(target, e.kind() == io::ErrorKind::ConnectionRefused);
            RunOutcome::NotRun {
                kind: NotRunKind::TargetUnreachable,
                refused_by_target: false,
            }
        }
        ExchangeEnd::Lost { kind, silent } => {
            started.permit.ended(RunResult::Failed);
            if silent {
                let now = relay.now();
                relay
                    .decisions()
                    .crashes
                    .connection_broken(started.fingerprint, now);
            }
            RunOutcome::Unknown(kind)
        }
    }
}

/// A status that promises "not run" is only passed on if the target states it in its own way.
fn answered(relay: &Relay, answer: TargetAnswer) -> RunOutcome {
    if matches!(answer.status, 408 | 421 | 429 | 503) {
        return RunOutcome::Unknown(UnknownKind::AnswerTruncated);
    }
    let header_names = relay.header_names();
    let signature = head::find_header(&answer.headers, header_names.signature).map(str::to_owned);
    let kept: Vec<Header> = answer
        .headers
        .into_iter()
        .filter(|(name, _)| {
            !header_names.is_for_node(name) && !header_names.is_named_by_caller_node(name)
        })
        .collect();
    RunOutcome::Answered {
        status: answer.status,
        signature,
        headers: frame::to_wire(&kept),
        body: answer.body,
    }
}

fn headers(relay: &Relay, req: &RunRequest, remaining: Duration) -> Vec<Header> {
    let header_names = relay.header_names();
    let mut headers = frame::from_wire(req.headers.clone());
    let own = [
        (header_names.request_id, req.id.clone()),
        (header_names.deadline_ms, remaining.as_millis().to_string()),
        (header_names.target_instance, req.target.to_string()),
        (header_names.caller_service, req.caller_service.clone()),
    ];
    headers.extend(own.map(|(name, value)| (name.to_owned(), value.into_bytes())));
    headers
}

fn outcome(ended: &RunOutcome) -> String {
    match ended {
        RunOutcome::Answered { status, .. } => format!("answered-{status}"),
        RunOutcome::NotRun { kind, .. } => format!("not-run-{kind}"),
        RunOutcome::Unknown(kind) => format!("unknown-{kind}"),
    }
}
