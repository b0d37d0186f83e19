//! Input and output types of the ingress decisions of [`Gate`](crate::coordination::gate::Gate).

use crate::call::CallContext;
use crate::coordination::attempts::AttemptId;
use crate::coordination::queue::Ticket;
use crate::error::ErrorKind;
use crate::fingerprint::Fingerprint;
use crate::state::calls::LeaseId;

/// Where a call came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller outside the fleet.
    Caller {
        /// Identity of the caller. Requests of different callers are never treated as the same
        /// request.
        caller: u64,
        /// Whether the caller supplied the request id.
        supplied_id: bool,
    },
    /// Another node, which sent it as this attempt.
    Node(AttemptId),
}

/// A call that arrives at an instance.
#[derive(Debug)]
pub struct Arrival<'a> {
    /// Id of the call at this node.
    pub ticket: Ticket,
    /// Context of the call. Its spare attempts are set to zero if the caller repeats a request.
    pub context: &'a mut CallContext,
    /// Where the call came from.
    pub source: Source,
    /// Idempotency token sent with the call.
    pub token: Option<&'a str>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the fingerprint covers the whole body.
    pub whole_body: bool,
    /// Whether the node may act on its view of the fleet.
    pub ready: bool,
}

/// Decision on a call that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalDecision<A> {
    /// The call was offered to admission control; an effect that starts or drops it follows.
    Offered,
    /// The call receives the outcome of this other call when that one finishes.
    Joined(Ticket),
    /// The call is answered with this kept response.
    Replayed(A),
    /// The call is refused.
    Refused(Refusal),
}

/// Refusal of a call, with a new idempotency token if the caller can use one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: ErrorKind,
    /// Token with which to send the call again.
    pub token: Option<String>,
}

impl<K> From<K> for Refusal
where
    K: Into<ErrorKind>,
{
    fn from(kind: K) -> Refusal {
        Refusal {
            kind: kind.into(),
            token: None,
        }
    }
}

/// Context of a sub-call that a running call makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildCall {
    /// Lease on the parent's spare attempts, if the sub-call has a parent.
    pub lease: Option<LeaseId>,
    /// Context of the sub-call.
    pub context: CallContext,
}

/// Result of ending a call: the attempts that it used, and the work that remains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedCall {
    /// Spare attempts that the call and its sub-calls used.
    pub used_attempts: u32,
    /// Leases of sub-calls still in progress, which must be cancelled.
    pub open_leases: Vec<LeaseId>,
    /// Calls that receive the same outcome and must then be finished themselves.
    pub followers: Vec<Ticket>,
}
