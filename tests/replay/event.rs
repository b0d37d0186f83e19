//! Format of the traces: one JSON object per line.

use serde::Deserialize;

/// One line of a trace: an event at a node and the decisions expected from it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceLine {
    /// Time of the event since the start of the trace, in milliseconds.
    pub(crate) at: u64,
    /// Name of the instance at whose node the event happens.
    pub(crate) node: String,
    /// The event.
    pub(crate) event: Event,
    /// The expected decisions, in order.
    #[serde(default)]
    pub(crate) want: Vec<String>,
}

/// An event at a node.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Event {
    /// A call arrives.
    Arrive(ArriveEvent),
    /// A call that was started, or was dropped and moved to another instance, ends.
    Finish {
        /// Name of the call.
        call: String,
        /// Its outcome: `completed:TEXT`, `completed-large`, `not-run:KIND` or `unknown:KIND`.
        outcome: String,
    },
    /// The deadline of a call passes while its handler waits for a decision.
    GiveUp {
        /// Name of the call.
        call: String,
    },
    /// The caller of a request no longer waits for it.
    Cancel {
        /// Name of the request.
        request: String,
    },
    /// A running call sends a sub-call and leases spare attempts for it.
    SubCall {
        /// Name of the running call.
        parent: String,
        /// Name of the sub-call.
        call: String,
        /// Number of spare attempts requested.
        want: u32,
    },
    /// The response of a sub-call arrives.
    SubAnswer {
        /// Name of the sub-call.
        call: String,
        /// Number of leased spare attempts that it did not use.
        unused: u32,
    },
    /// The timer of the node fires.
    Tick {
        /// Delay of the tick, in milliseconds.
        late: u64,
    },
    /// The instance starts to drain.
    Drain,
    /// The node restarts: a new incarnation starts and the old state is lost.
    Restart,
    /// The target of the instance crashes.
    Crash,
    /// The crash reports that the node of `of` has sent so far arrive.
    Report {
        /// Name of the instance whose target crashed.
        of: String,
    },
    /// The node sends work to a peer or requests work from it.
    Used {
        /// Name of the peer instance.
        peer: String,
    },
    /// A peer answers a message that the node sent at `began`.
    Exchanged {
        /// Name of the peer instance.
        peer: String,
        /// Time at which the message was sent, in milliseconds.
        began: u64,
    },
    /// The node asks its pause guard whether it may send new work to a peer.
    MaySend {
        /// Name of the peer instance.
        peer: String,
    },
    /// The platform or a peer offers a configuration.
    Publish {
        /// Revision of the configuration.
        revision: u64,
        /// Text of the configuration.
        text: String,
    },
    /// The node fetches the configuration of a peer.
    AskConfig {
        /// Name of the peer instance.
        peer: String,
    },
    /// The node receives the list of the instances of a service.
    List {
        /// Names of the instances.
        instances: Vec<String>,
    },
    /// The node starts to send a call to a service.
    Send(SendEvent),
    /// An attempt of a sent call ends, and the next step is decided.
    Ended(EndedEvent),
    /// Time has passed since the last step of a sent call, and the next step is decided.
    Step {
        /// Name of the call.
        call: String,
    },
    /// A complete response was forwarded to the caller; the attempts still in progress are
    /// cancelled.
    Abandon {
        /// Name of the call.
        call: String,
    },
}

/// Arrival of a call.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ArriveEvent {
    /// Name of the call.
    pub(crate) call: String,
    /// Kind of the call: `charge`, `owner`, `lookup` or `background`.
    pub(crate) kind: String,
    /// Name of the request to which the call belongs. Defaults to the name of the call.
    pub(crate) request: Option<String>,
    /// Request body. Defaults to the name of the request.
    pub(crate) body: Option<String>,
    /// Name of the token that the call presents.
    pub(crate) token: Option<String>,
    /// Name under which a token in the refusal is stored.
    pub(crate) offer: Option<String>,
    /// Time until the deadline of the call, in milliseconds.
    #[serde(default = "default_remaining")]
    pub(crate) remaining: u64,
    /// Number of spare attempts.
    #[serde(default = "default_spare")]
    pub(crate) spare: u32,
    /// Instance and number of the attempt, if the call comes from another node.
    pub(crate) attempt: Option<(String, u64)>,
}

/// Start of a call that the node sends.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SendEvent {
    /// Name of the call.
    pub(crate) call: String,
    /// Kind of the call: `charge`, `owner`, `lookup` or `background`.
    pub(crate) kind: String,
    /// Number of spare attempts.
    #[serde(default = "default_spare")]
    pub(crate) spare: u32,
}

/// End of an attempt.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EndedEvent {
    /// Name of the call.
    pub(crate) call: String,
    /// Number of the attempt, from 0.
    pub(crate) attempt: u32,
    /// Outcome of the attempt: `completed:TEXT`, `not-run:KIND` or `unknown:KIND`.
    pub(crate) outcome: String,
    /// Number of spare attempts used in the subtree of the call, if the response states it.
    pub(crate) spent: Option<u32>,
    /// Duration of the attempt, in milliseconds.
    #[serde(default)]
    pub(crate) took: u64,
}

fn default_remaining() -> u64 {
    2_000
}

fn default_spare() -> u32 {
    3
}
