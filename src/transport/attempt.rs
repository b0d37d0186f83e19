//! Sends one attempt of a call to another node. After a process pause the receiver is pinged first;
//! an attempt that is dropped before its response is cancelled at the receiver.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::coordination::dispatch::Attempt;
use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::node::Node;
use crate::protocol::header;
use crate::protocol::peer::PeerRequest;
use crate::transport::call_result;
use crate::transport::egress::OutgoingCall;
use crate::transport::http_client;
use crate::transport::http_client::HttpResponse;
use crate::transport::request_body;

/// An attempt that has ended, and what was learned from it.
pub struct FinishedAttempt {
    /// The attempt as it was planned.
    pub attempt: Attempt,
    /// Outcome of the attempt.
    pub outcome: Outcome<HttpResponse>,
    /// Time at which sending began.
    pub sent: Time,
    /// Spare attempts that the receiver and its sub-calls used, if the response reports them.
    pub used_attempts: Option<u32>,
    /// Admission level and load of the receiver, as header text, if the response reports them.
    pub level: Option<String>,
}

/// Sends an attempt and waits for its response, for at most the remaining time of the call.
///
/// Dropping the future cancels the attempt at the receiver.
pub async fn send_attempt(
    node: &Arc<Node>,
    out: &OutgoingCall<'_>,
    attempt: Attempt,
) -> FinishedAttempt {
    let sent = node.clock.now();
    if !is_fresh(node, attempt.instance()).await {
        return FinishedAttempt {
            attempt,
            outcome: Outcome::NotRun(NotRunKind::NotReady),
            sent,
            used_attempts: Some(0),
            level: None,
        };
    }
    let number = node.next_attempt_number();
    let cancel_guard = CancelGuard::new(node, attempt.instance(), number);
    let url = format!("http://{}{}", attempt.instance().ingress, out.target);
    let req = node
        .client
        .request(out.method.clone(), url)
        .headers(out.headers.clone())
        .header(header::HOP, node.sign_hop(&attempt, number));
    let req = request_body::buffered_body(req, out.body);
    let sending = http_client::send(req, node.settings.limits.response_buffer_bytes as usize);
    let remaining = attempt
        .context
        .remaining
        .saturating_sub(node.clock.now().since(sent));
    let outcome = match tokio::time::timeout(remaining, sending).await {
        Ok(outcome) => {
            cancel_guard.disarm();
            outcome
        }
        Err(_) => Outcome::Unknown(UnknownKind::Deadline),
    };
    let result = call_result::read_result(outcome);
    if let Outcome::Completed(_) | Outcome::NotRun(_) = result.outcome {
        let now = node.clock.now();
        let peer = &attempt.instance().name;
        node.gate
            .with_pause(|pause| pause.record_exchange(now, peer, sent));
    }
    FinishedAttempt {
        attempt,
        outcome: result.outcome,
        sent,
        used_attempts: result.used_attempts,
        level: result.level,
    }
}

/// Returns whether new work may be sent to an instance. After a process pause the instance is
/// pinged first, because the node's view of it may be outdated.
async fn is_fresh(node: &Node, to: &Instance) -> bool {
    let now = node.clock.now();
    let fresh = node.gate.with_pause(|pause| {
        pause.detect_pause(now);
        pause.may_send(&to.name)
    });
    fresh || ping(node, &to.name, to.peer).await
}

/// Pings a peer and records a successful exchange. Returns whether the peer answered.
async fn ping(node: &Node, peer: &InstanceName, address: SocketAddr) -> bool {
    let Some(control) = node.control() else {
        return false;
    };
    let began = node.clock.now();
    let pinged = control
        .client()
        .send_request(Some(peer), address, PeerRequest::Ping);
    let answered = pinged.await.is_ok();
    if answered {
        let now = node.clock.now();
        node.gate
            .with_pause(|pause| pause.record_exchange(now, peer, began));
    }
    answered
}

/// Pings each peer that was in use before a process pause, so that work may be sent to it again.
/// A peer that is no longer listed is removed.
pub async fn revalidate_peers(node: Arc<Node>) {
    let stale: Vec<InstanceName> = node
        .gate
        .with_pause(|pause| pause.stale_peers().cloned().collect());
    let fleet = node.fleet().snapshot();
    for peer in stale {
        let known = fleet
            .services()
            .flat_map(|service| fleet.instances(service.as_str()))
            .find(|known| known.instance.name == peer);
        match known {
            Some(known) => {
                ping(&node, &peer, known.instance.peer).await;
            }
            None => node.gate.with_pause(|pause| pause.remove_peer(&peer)),
        }
    }
}

/// Sends a cancellation to the receiver of an attempt when dropped while armed.
struct CancelGuard {
    node: Arc<Node>,
    to: InstanceName,
    address: SocketAddr,
    number: u64,
    armed: bool,
}

impl CancelGuard {
    fn new(node: &Arc<Node>, to: &Instance, number: u64) -> CancelGuard {
        CancelGuard {
            node: node.clone(),
            to: to.name.clone(),
            address: to.peer,
            number,
            armed: true,
        }
    }

    /// Consumes the guard without a cancellation, after the response has arrived.
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(control) = self.node.control().filter(|_| self.armed) else {
            return;
        };
        let client = control.client().clone();
        let (to, address, number) = (self.to.clone(), self.address, self.number);
        tokio::spawn(async move {
            let cancel = PeerRequest::Cancel(number);
            let _ = client.send_request(Some(&to), address, cancel).await;
        });
    }
}
