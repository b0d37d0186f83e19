//! The lines of a trace.

use serde::Deserialize;

/// One line: an event at a node, and what must be decided.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Line {
    /// Time of the event, in milliseconds.
    pub(crate) at: u64,
    /// Instance whose node sees the event.
    pub(crate) node: String,
    /// The event.
    pub(crate) event: Event,
    /// The decisions, in order.
    #[serde(default)]
    pub(crate) want: Vec<String>,
}

/// What happens.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Event {
    /// A call arrives.
    Arrive(ArriveEvent),
    /// A call that started, or was dropped and moved elsewhere, ends.
    Finish {
        /// The call.
        call: String,
        /// Its outcome: `completed:TEXT`, `completed-large`, `not-run:KIND` or `unknown:KIND`.
        outcome: String,
    },
    /// The handler of a call stops waiting for a decision at its deadline.
    GiveUp {
        /// The call.
        call: String,
    },
    /// The caller of a request stops waiting.
    Cancel {
        /// The request.
        request: String,
    },
    /// A running call makes a sub-call.
    SubCall {
        /// The running call.
        parent: String,
        /// Name of the sub-call.
        call: String,
        /// Spare attempts wanted.
        want: u32,
    },
    /// The answer of a sub-call arrives.
    SubAnswer {
        /// The sub-call.
        call: String,
        /// Spare attempts that it did not use.
        unused: u32,
    },
    /// The timer ticks.
    Tick {
        /// Time by which the tick is late, in milliseconds.
        late: u64,
    },
    /// The instance starts to drain.
    Drain,
    /// A new incarnation starts, with nothing of the old one.
    Restart,
    /// The target crashes.
    Crash,
    /// The reports of the crashes at `of` arrive.
    Report {
        /// Instance whose target crashed.
        of: String,
    },
    /// Work was exchanged with a peer.
    Used {
        /// The peer.
        peer: String,
    },
    /// A message to a peer that was sent at `began` is answered.
    Exchanged {
        /// The peer.
        peer: String,
        /// Time at which it was sent, in milliseconds.
        began: u64,
    },
    /// The node wants to send new work to a peer.
    MaySend {
        /// The peer.
        peer: String,
    },
    /// The platform, or a peer, offers a configuration.
    Publish {
        /// Its revision.
        revision: u64,
        /// Its text.
        text: String,
    },
    /// The node asks a peer for its configuration.
    AskConfig {
        /// The peer.
        peer: String,
    },
    /// The published list names instances of a service.
    List {
        /// The instances.
        instances: Vec<String>,
    },
    /// The node sends a call to a service.
    Send(SendEvent),
    /// An attempt of a sent call ends, and the next step is decided.
    Ended(EndedEvent),
    /// Time passes for a sent call, and the next step is decided.
    Step {
        /// The call.
        call: String,
    },
    /// A whole answer was handed on; the attempts that are still open are withdrawn.
    Abandon {
        /// The call.
        call: String,
    },
}

/// A call that arrives.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ArriveEvent {
    /// Name of the call.
    pub(crate) call: String,
    /// `charge`, `owner`, `lookup` or `background`.
    pub(crate) kind: String,
    /// Request that it is part of, by default one of its own.
    pub(crate) request: Option<String>,
    /// Body, by default the name of the request.
    pub(crate) body: Option<String>,
    /// Name of the token that it spends.
    pub(crate) token: Option<String>,
    /// Name that a token in the refusal gets.
    pub(crate) offer: Option<String>,
    /// Time that its caller waits, in milliseconds.
    #[serde(default = "default_remaining")]
    pub(crate) remaining: u64,
    /// Spare attempts.
    #[serde(default = "default_spare")]
    pub(crate) spare: u32,
    /// Node and number of the attempt, if it comes from another node.
    pub(crate) attempt: Option<(String, u64)>,
}

/// A call that is sent.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SendEvent {
    /// Name of the call.
    pub(crate) call: String,
    /// `charge`, `owner`, `lookup` or `background`.
    pub(crate) kind: String,
    /// Spare attempts.
    #[serde(default = "default_spare")]
    pub(crate) spare: u32,
}

/// An attempt that ends.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EndedEvent {
    /// The call.
    pub(crate) call: String,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// `completed`, `not-run:KIND` or `unknown:KIND`.
    pub(crate) outcome: String,
    /// Spare attempts that the answer says were used below.
    pub(crate) spent: Option<u32>,
    /// Time since it was sent, in milliseconds.
    #[serde(default)]
    pub(crate) took: u64,
}

fn default_remaining() -> u64 {
    2_000
}

fn default_spare() -> u32 {
    3
}
