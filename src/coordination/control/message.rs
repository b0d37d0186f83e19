//! Messages between the control planes of two nodes, and actions of the state machine.

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

/// The documents that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// The configuration.
    Config,
    /// The instance list.
    List,
}

impl DocumentKind {
    /// Both documents.
    pub const BOTH: [DocumentKind; 2] = [DocumentKind::Config, DocumentKind::List];
}

/// Name and incarnation of the instance that sends a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerId {
    /// Name of the instance.
    pub name: InstanceName,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// Status that a node sends to its peers: the stamps of its documents and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address of the node's peer port.
    pub address: SocketAddr,
    /// Stamp of the configuration in force.
    pub config: Stamp,
    /// Stamp of the instance list.
    pub list: Stamp,
    /// Whether the node has a confirmed view.
    pub ready: bool,
    /// Whether the node is draining.
    pub draining: bool,
    /// Whether the node holds all lines of both documents.
    pub complete: bool,
    /// Whether the node watches both documents and the platform answers.
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

/// Name and address of a node to send requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the instance, `None` for a seed.
    pub name: Option<InstanceName>,
    /// Address of the node's peer port.
    pub address: SocketAddr,
}

/// A delta and the members to which the receiver has to forward it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Document that the delta changes.
    pub kind: DocumentKind,
    /// The delta.
    pub delta: Delta,
    /// Interval of the member order that the receiver serves; empty for a push between domains.
    pub interval: Interval,
}

/// Request of one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Request {
    /// Compares the documents of both nodes; carries the status of the requester.
    Exchange(PeerStatus),
    /// Applies a delta and forwards it.
    Push(Push),
    /// Requests the sections of a document that differ.
    Repair {
        /// Document to repair.
        kind: DocumentKind,
        /// Sections that the requester holds.
        request: RepairRequest,
    },
}

/// Reply to an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Status of the replying node.
    pub status: PeerStatus,
    /// Deltas from the requester's configuration to that of the replying node, empty if not logged.
    pub config: Vec<Delta>,
    /// Deltas from the requester's instance list to that of the replying node, empty if not logged.
    pub list: Vec<Delta>,
    /// Rejection of the highest configuration revision, if it was rejected.
    pub rejection: Option<Rejection>,
    /// Readers of the replying node's domain, empty unless the requester lacks an instance list.
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

/// Reply of a node to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reply {
    /// Reply to an exchange.
    Exchanged(Box<ExchangeReply>),
    /// The pushed delta was received.
    Pushed,
    /// The sections that differ, `None` if the replying node cannot supply them.
    Repair(Option<Repair>),
    /// The replying node knows a later incarnation of the requester.
    Superseded,
}

/// Action that the owner of a control plane has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request and pass the reply or failure back.
    Send {
        /// Receiver.
        to: Contact,
        /// Request.
        request: Request,
        /// Number of receivers to which this request was sent before.
        tries: u32,
    },
    /// Call the platform and pass the response back.
    Watch(Watch),
    /// Report a rejected configuration to the operators.
    Rejected(Rejection),
    /// Report that the named peer knows a later incarnation of this instance.
    Superseded(InstanceName),
}

/// A call to the platform for a revision of a document above `after`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// Document to read.
    pub kind: DocumentKind,
    /// Revision above which a document is returned.
    pub after: u64,
    /// Maximum time that the platform may hold the call open.
    pub wait: std::time::Duration,
    /// Delay before the call.
    pub delay: std::time::Duration,
}
