//! Takeover of a quota by a node that is first: whom it asks, and what the answers allow.
//!
//! The release of the node that was the holder up to now is enough. Otherwise every node that may hold
//! the quota has to answer that it does not.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limit on the nodes that are asked for one takeover.
const MAX_ASKED: usize = 12;

/// Number of nodes without a long history that stand for a fleet that has restarted.
const MIN_NEW_NODES: usize = 2;

/// What a node was that releases a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Former {
    /// It did not hold the quota lately.
    #[default]
    NoHolder,
    /// It held the quota, and its lease has ended.
    Expired,
    /// It held the quota until now.
    Holder {
        /// Tokens that were left.
        tokens: u32,
    },
}

/// Answer of a node that does not hold a quota, and will not without a release of the asking node or
/// waiting anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// What it was before.
    pub former: Former,
    /// Time for which the asking node has been the first by the lists of this one, in milliseconds.
    pub first_for_ms: Option<u32>,
    /// Whether its lists do not go back far enough to know who may hold the quota, as after a restart.
    pub is_new: bool,
    /// All other nodes that were first lately, if its lists go back far enough.
    pub firsts: Option<Vec<SocketAddr>>,
    /// The other nodes for which it released the quota a short while ago.
    pub released_to: Vec<SocketAddr>,
}

/// The nodes that a candidate has to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Nodes that may hold the quota, the most recent holder last. With none, the quota may be taken
    /// over at once.
    pub ask: Vec<SocketAddr>,
    /// Whether no other node can hold the quota.
    pub is_complete: bool,
}

/// A takeover in progress.
#[derive(Debug)]
pub struct Takeover {
    own: SocketAddr,
    left: Vec<SocketAddr>,
    asked: HashSet<SocketAddr>,
    /// Nodes that may hold the quota.
    required: HashSet<SocketAddr>,
    /// Whether these are all that may.
    is_complete: bool,
    unreachable: HashSet<SocketAddr>,
    last_asked: SocketAddr,
    /// Whether any node has held the quota before.
    was_held: bool,
    /// Tokens of the node that held the quota until now.
    released: Option<u32>,
    first_for: Option<Duration>,
    answered: usize,
    /// Whether all nodes that were asked have answered that they have no long history.
    all_new: bool,
}

/// What the answers of the other nodes allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverResult {
    /// The quota may be taken over, with the tokens of its holder if that one released it.
    Allowed {
        /// Tokens that were left, or nothing if nobody held the quota before.
        tokens: Option<u32>,
    },
    /// It may be taken over if it is enough that this node has been first for so long.
    IfFirstFor(Duration),
    /// It may not be taken over yet.
    Denied,
}

impl Takeover {
    /// Begins the takeover by the node at `own`.
    pub fn new(own: SocketAddr, candidate: Candidate) -> Takeover {
        let required = match candidate.is_complete {
            true => candidate.ask.iter().copied().collect(),
            false => HashSet::new(),
        };
        Takeover {
            own,
            left: candidate.ask,
            asked: HashSet::from([own]),
            required,
            is_complete: candidate.is_complete,
            unreachable: HashSet::new(),
            last_asked: own,
            was_held: false,
            released: None,
            first_for: None,
            answered: 0,
            all_new: true,
        }
    }

    /// Returns the next node to ask, if any.
    pub fn next_to_ask(&mut self) -> Option<SocketAddr> {
        if self.released.is_some() {
            return None;
        }
        let next = loop {
            let node = self.left.pop()?;
            if self.asked.insert(node) {
                break node;
            }
        };
        if self.asked.len() > MAX_ASKED {
            self.unreachable.insert(next);
            self.required.insert(next);
            return None;
        }
        self.last_asked = next;
        Some(next)
    }

    /// Records the answer of the node that was asked last, or nothing if it could not be reached.
    pub fn record(&mut self, answer: Option<Release>) {
        let Some(release) = answer else {
            self.unreachable.insert(self.last_asked);
            self.all_new = false;
            return;
        };
        match release.former {
            Former::Holder { tokens } => self.released = Some(tokens),
            Former::Expired => self.was_held = true,
            Former::NoHolder => self.was_held |= !release.released_to.is_empty(),
        }
        self.answered += 1;
        self.all_new &= release.is_new;
        let first_for = release.first_for_ms.map(u64::from);
        self.first_for = self.first_for.max(first_for.map(Duration::from_millis));
        if let Some(firsts) = release.firsts {
            self.is_complete = true;
            self.require(firsts);
        }
        self.require(release.released_to);
    }

    fn require(&mut self, nodes: Vec<SocketAddr>) {
        let others = nodes.iter().filter(|node| **node != self.own);
        self.required.extend(others);
        self.left.extend(nodes);
    }

    /// Returns whether all nodes that may hold the quota have released it.
    fn is_released(&self) -> bool {
        self.is_complete && self.required.is_disjoint(&self.unreachable)
    }

    /// Returns whether the whole fleet has restarted or been without a list, as far as the answers show:
    /// then no node holds the quota.
    fn has_fleet_restarted(&self) -> bool {
        self.all_new && self.answered >= MIN_NEW_NODES
    }

    /// Returns the result, once there is no node left to ask.
    pub fn result(&self) -> TakeoverResult {
        if self.released.is_some() {
            return TakeoverResult::Allowed {
                tokens: self.released,
            };
        }
        if self.is_released() {
            let tokens = self.was_held.then_some(0);
            return TakeoverResult::Allowed { tokens };
        }
        if self.has_fleet_restarted() {
            return TakeoverResult::Allowed { tokens: Some(0) };
        }
        let first_for = self.first_for;
        first_for.map_or(TakeoverResult::Denied, TakeoverResult::IfFirstFor)
    }
}
