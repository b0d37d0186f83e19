//! A guard that ends a call at the gate, counts it and logs its outcome.

use std::sync::Arc;

use log::Level;

use crate::call::CallContext;
use crate::call::Priority;
use crate::call::RequestId;
use crate::clock::Time;
use crate::coordination::admission::Ticket;
use crate::coordination::gate::Refusal;
use crate::coordination::gate::Source;
use crate::error::ErrorKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::metrics::FinishedCall;
use crate::metrics::Side;
use crate::node::Node;
use crate::transport::kept_response::KeptResponse;

/// Ends a call exactly once. If the guard is dropped before, as when the caller disconnects, the
/// call ends as cancelled.
pub struct CallGuard {
    /// Node that serves the call.
    pub node: Arc<Node>,
    /// Ticket of the call at the gate.
    pub ticket: Ticket,
    side: Side,
    priority: Priority,
    request: RequestId,
    began: Time,
    armed: bool,
}

impl CallGuard {
    /// Builds the guard of a call that arrives now.
    pub fn new(
        node: &Arc<Node>,
        ticket: Ticket,
        source: &Source,
        context: &CallContext,
    ) -> CallGuard {
        let side = match source {
            Source::Caller { .. } => Side::Entry,
            Source::Node(_) => Side::Ingress,
        };
        CallGuard {
            node: node.clone(),
            ticket,
            side,
            priority: context.priority,
            request: context.request,
            began: node.clock.now(),
            armed: true,
        }
    }

    /// Ends the call. Returns the number of spare attempts that it and its sub-calls used.
    pub fn end(mut self, outcome: &Outcome<Option<KeptResponse>>) -> u32 {
        self.armed = false;
        self.finish(outcome)
    }

    /// Counts and logs the call and ends it at the gate. Returns the spare attempts used.
    fn finish(&self, outcome: &Outcome<Option<KeptResponse>>) -> u32 {
        let took = self.node.clock.now().since(self.began);
        let end = FinishedCall {
            side: self.side,
            service: &self.node.service,
            priority: self.priority,
            error: outcome.error(),
            took,
        };
        self.node.record_call(&end);
        log_end(self.request, &end);
        self.node.finish(self.ticket, outcome)
    }

    /// Ends the call with an error kind. Returns the refusal for its caller.
    pub fn refuse(self, kind: ErrorKind) -> Refusal {
        self.refuse_with(kind.into())
    }

    /// Ends the call with a refusal, which is returned for its caller.
    pub fn refuse_with(self, refusal: Refusal) -> Refusal {
        self.end(&Outcome::from_kind(refusal.kind));
        refusal
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.armed {
            self.finish(&Outcome::Unknown(UnknownKind::Cancelled));
        }
    }
}

/// Logs the outcome of a call: an unknown outcome at info level, others at debug level.
pub fn log_end(request: RequestId, end: &FinishedCall<'_>) {
    let level = match end.error {
        Some(ErrorKind::Unknown(_)) => Level::Info,
        Some(ErrorKind::NotRun(_)) | None => Level::Debug,
    };
    if !log::log_enabled!(level) {
        return;
    }
    let outcome = match end.error {
        Some(ErrorKind::Unknown(kind)) => format!("unknown: {kind}"),
        Some(ErrorKind::NotRun(kind)) => format!("not-run: {kind}"),
        None => "completed".to_owned(),
    };
    log::log!(
        level,
        request:% = request,
        side:% = end.side,
        service:% = end.service,
        priority:% = end.priority,
        took_us = end.took.as_micros() as u64;
        "{outcome}"
    );
}
