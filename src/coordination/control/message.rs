//! What the control planes of two nodes ask and answer.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::config::Rejection;
use crate::coordination::document::Delta;
use crate::coordination::document::Repair;
use crate::coordination::document::RepairRequest;
use crate::coordination::document::Stamp;
use crate::coordination::gossip::Interval;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// The two published documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// The configuration.
    Config,
    /// The instance list.
    List,
}

impl DocumentKind {
    /// Both kinds.
    pub const BOTH: [DocumentKind; 2] = [DocumentKind::Config, DocumentKind::List];
}

/// The life of an instance that sends a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerId {
    /// Its name.
    pub name: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// What a node has and how it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Configuration in force.
    pub config: Stamp,
    /// Instance list.
    pub list: Stamp,
    /// Whether the node acts on its view.
    pub ready: bool,
    /// Whether the node is leaving.
    pub draining: bool,
    /// Whether the node holds both documents whole.
    pub complete: bool,
    /// Whether the node watches the platform, and the platform answers.
    pub watching: bool,
}

impl PeerStatus {
    /// Returns the stamp of a document.
    pub fn stamp(&self, kind: DocumentKind) -> Stamp {
        match kind {
            DocumentKind::Config => self.config,
            DocumentKind::List => self.list,
        }
    }
}

/// A node that can be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name, if it is known.
    pub name: Option<InstanceName>,
    /// Address of its peer port.
    pub address: SocketAddr,
}

/// A delta, and the part of the members that the receiver is to hand it to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The document.
    pub kind: DocumentKind,
    /// The delta.
    pub delta: Delta,
    /// The receiver's part of the member order.
    pub interval: Interval,
}

/// What one node asks another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Request {
    /// Compare what both have.
    Exchange(PeerStatus),
    /// Take a delta and hand it on.
    Push(Push),
    /// Send the sections that differ.
    Repair {
        /// The document.
        kind: DocumentKind,
        /// What the asker holds.
        request: RepairRequest,
    },
}

/// Answer to an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// What the answering node has.
    pub status: PeerStatus,
    /// Deltas that lead the asker to the same configuration, if they are kept.
    pub config: Vec<Delta>,
    /// Deltas that lead the asker to the same instance list, if they are kept.
    pub list: Vec<Delta>,
    /// The latest revision, if it was rejected.
    pub rejection: Option<Rejection>,
    /// Readers of the answering node's domain, for an asker without a list.
    pub readers: Vec<Contact>,
}

impl ExchangeReply {
    /// Returns the deltas of a document.
    pub fn deltas(&self, kind: DocumentKind) -> &[Delta] {
        match kind {
            DocumentKind::Config => &self.config,
            DocumentKind::List => &self.list,
        }
    }
}

/// What the other node answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reply {
    /// Answer to an exchange.
    Exchanged(Box<ExchangeReply>),
    /// The delta was taken.
    Pushed,
    /// The sections that differ, or nothing if the node does not hold them all.
    Repair(Option<Repair>),
    /// The asker is an earlier life of an instance that runs anew.
    Superseded,
}

/// What the owner of a control plane has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request and report the answer.
    Send {
        /// Receiver.
        to: Contact,
        /// Request.
        request: Request,
        /// Receivers that this request was sent to before.
        tries: u32,
    },
    /// Call the platform and report the answer.
    Watch(Watch),
    /// Report a rejected revision to the operators.
    Rejected(Rejection),
    /// Report that a peer remembers a later incarnation of this instance.
    Superseded(InstanceName),
}

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The document.
    pub kind: DocumentKind,
    /// Answer with a revision above this one.
    pub after: u64,
    /// Time that the platform may wait for it.
    pub wait: std::time::Duration,
    /// Time to wait before the call.
    pub delay: std::time::Duration,
}
