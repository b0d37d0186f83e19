//! Sends one attempt of a call to another node, and what goes with it: checking a view that a
//! process pause has made old, and withdrawing an attempt that nobody waits for.

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
use crate::transport::http_client::Answer;
use crate::transport::request_body;

/// An attempt that has ended.
pub struct FinishedAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// Its outcome.
    pub outcome: Outcome<Answer>,
    /// When it was sent.
    pub sent: Time,
    /// Spare attempts that were used below, where the answer says so.
    pub spent: Option<u32>,
    /// Admission level and load that the answer carried.
    pub level: Option<String>,
}

/// Sends an attempt. Dropping the future withdraws it.
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
            spent: Some(0),
            level: None,
        };
    }
    let number = node.next_attempt_number();
    let withdrawal = Withdrawal::new(node, attempt.instance(), number);
    let url = format!("http://{}{}", attempt.instance().ingress, out.target);
    let req = node
        .client
        .request(out.method.clone(), url)
        .headers(out.headers.clone())
        .header(header::HOP, node.sign_hop(&attempt, number));
    let req = request_body::held_body(req, out.body);
    let sending = http_client::send(req, node.settings.limits.response_buffer_bytes as usize);
    let left = attempt
        .context
        .remaining
        .saturating_sub(node.clock.now().since(sent));
    let outcome = match tokio::time::timeout(left, sending).await {
        Ok(outcome) => {
            withdrawal.disarm();
            outcome
        }
        Err(_) => Outcome::Unknown(UnknownKind::Deadline),
    };
    let told = call_result::read_result(outcome);
    if let Outcome::Completed(_) | Outcome::NotRun(_) = told.outcome {
        let now = node.clock.now();
        let peer = &attempt.instance().name;
        node.gate
            .with_pause(|pause| pause.record_exchange(now, peer, sent));
    }
    FinishedAttempt {
        attempt,
        outcome: told.outcome,
        sent,
        spent: told.spent,
        level: told.level,
    }
}

/// Returns whether new work may be sent to an instance, asking it first after a process pause.
async fn is_fresh(node: &Node, to: &Instance) -> bool {
    let now = node.clock.now();
    let fresh = node.gate.with_pause(|pause| {
        pause.detect_pause(now);
        pause.may_send(&to.name)
    });
    fresh || ping(node, &to.name, to.peer).await
}

/// Exchanges a message with a peer. Returns whether it answered.
async fn ping(node: &Node, peer: &InstanceName, address: SocketAddr) -> bool {
    let Some(control) = node.control() else {
        return false;
    };
    let began = node.clock.now();
    let asked = control
        .client()
        .send_request(Some(peer), address, PeerRequest::Ping);
    let answered = asked.await.is_ok();
    if answered {
        let now = node.clock.now();
        node.gate
            .with_pause(|pause| pause.record_exchange(now, peer, began));
    }
    answered
}

/// Exchanges a message with each peer that was used before a process pause.
pub async fn revalidate_peers(node: Arc<Node>) {
    let awaited: Vec<InstanceName> = node
        .gate
        .with_pause(|pause| pause.stale_peers().cloned().collect());
    let fleet = node.fleet().snapshot();
    for peer in awaited {
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

/// Tells the other node that an attempt is withdrawn, if it is dropped before the answer.
struct Withdrawal {
    node: Arc<Node>,
    to: InstanceName,
    address: SocketAddr,
    number: u64,
    armed: bool,
}

impl Withdrawal {
    fn new(node: &Arc<Node>, to: &Instance, number: u64) -> Withdrawal {
        Withdrawal {
            node: node.clone(),
            to: to.name.clone(),
            address: to.peer,
            number,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Withdrawal {
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
