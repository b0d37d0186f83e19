//! Control planes on the loopback interface, with real peer ports and watches of a platform stand-in.

#[path = "support/real_fleet.rs"]
mod real_fleet;

use std::net::TcpListener;
use std::time::Duration;

use dragonflylead::coordination::control::ControlTiming;
use dragonflylead::coordination::control::PeerId;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use dragonflylead::protocol::hop::Keyring;
use dragonflylead::protocol::peer::Envelope;
use dragonflylead::protocol::peer::EnvelopeError;
use dragonflylead::protocol::peer::PEER_VERSION;
use dragonflylead::protocol::peer::PeerReply;
use dragonflylead::protocol::peer::PeerRequest;
use dragonflylead::standin::platform::Fault;
use dragonflylead::transport::control::ControlPlane;
use dragonflylead::transport::peer::PeerClient;
use dragonflylead::transport::peer::PeerError;
use dragonflylead::transport::peer::PeerHandlers;
use dragonflylead::transport::peer::PeerServer;
use dragonflylead::transport::platform::ConfigDocument;

use real_fleet::MAX_WAIT;
use real_fleet::RealFleet;
use real_fleet::keys;

const DOMAINS: usize = 3;
const EACH: usize = 8;

fn policy(millis: u64) -> String {
    format!(
        "[calls]\n\
         a = GET s0 /* priority=low idempotent=yes timeout={millis}ms  # ops\n\
         b = GET s1 /* priority=low idempotent=yes timeout=100ms  # ops\n"
    )
}

async fn started() -> RealFleet {
    let fleet = RealFleet::start(DOMAINS, EACH, ControlTiming::default(), &policy(100)).await;
    fleet.wait_for_revision(1, |_| true).await;
    fleet
}

/// Members that restart while the platform is down, stale or flapping must not return to revision 1.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarts_while_the_platform_fails() {
    let mut fleet = started().await;
    fleet.publish(2, &policy(200));
    fleet.wait_for_revision(2, |_| true).await;
    let old = ConfigDocument {
        revision: 1,
        text: policy(100),
    };
    for fault in [Fault::Down, Fault::Stale(old), Fault::Flapping] {
        fleet.set_fault(fault);
        for at in [0, EACH, 2 * EACH + 1] {
            fleet.restart(at).await;
            let control_plane = fleet.members[at].control_plane.as_ref().unwrap();
            tokio::time::timeout(MAX_WAIT, control_plane.wait_until_ready())
                .await
                .unwrap();
            assert_eq!(fleet.members[at].fleet.snapshot().revision(), 2);
        }
    }
    fleet.set_fault(Fault::None);
    fleet
        .platform
        .set_config(3, "[calls]\nwithout = a requester\n");
    fleet.publish(4, &policy(400));
    fleet.wait_for_revision(4, |_| true).await;
    let rule = fleet.members[3].fleet.snapshot();
    let rule = rule.policy().rule_for("GET", "s0", "/x").unwrap().timeout;
    assert_eq!(rule, Duration::from_millis(400));
    assert_eq!(fleet.checker.violations(), [""; 0]);
}

/// A domain in a partition with a stale replica of the platform keeps serving its revision, and
/// adopts the later one when the partition ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_domain_catches_up() {
    let fleet = started().await;
    fleet.set_partition("domain-1", true);
    let in_other_domain = |i: &dragonflylead::instance::Instance| i.domain.as_str() != "domain-1";
    fleet.platform.set_config(2, &policy(200));
    fleet.wait_for_revision(2, in_other_domain).await;
    fleet.wait_for_revision(1, |i| !in_other_domain(i)).await;
    fleet.set_partition("domain-1", false);
    fleet.wait_for_revision(2, |_| true).await;
    fleet.publish(3, &policy(300));
    fleet.wait_for_revision(3, |_| true).await;
    assert_eq!(fleet.checker.violations(), [""; 0]);
}

/// The checker detects a domain that reverts to an older revision, since all of its members restart
/// with a stale platform and without contact to other domains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_checker_detects_a_reverted_revision() {
    let mut fleet = started().await;
    fleet.publish(2, &policy(200));
    fleet.wait_for_revision(2, |_| true).await;
    fleet.set_partition("domain-1", true);
    fleet.replica.set_fault(Fault::Stale(ConfigDocument {
        revision: 1,
        text: policy(100),
    }));
    let restarting = EACH..2 * EACH;
    restarting
        .clone()
        .for_each(|at| fleet.members[at].control_plane = None);
    for at in restarting {
        fleet.restart(at).await;
    }
    fleet
        .wait_for_revision(1, |i| i.domain.as_str() == "domain-1")
        .await;
    let seen = async {
        while fleet.checker.violations.lock().unwrap().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, seen).await.unwrap();
}

/// A member whose process was paused does not act on its old view after the pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_member_revalidates_its_view() {
    let mut fleet = started().await;
    let at = EACH + 2;
    fleet.members[at].control_plane = None;
    fleet.members[at].incarnation += 1;
    fleet.members[at].fleet = Default::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    fleet.members[at].instance.peer = listener.local_addr().unwrap();
    let list = fleet.members.iter().map(|m| m.instance.clone()).collect();
    fleet.publish_list(list);
    let settings = fleet.settings(at, 1, listener);
    let view = fleet.members[at].fleet.clone();
    let (resume, resumed) = std::sync::mpsc::channel::<()>();
    let (sender, received) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let control_plane = ControlPlane::start(settings).unwrap();
            control_plane
                .wait_until(|f| f.is_ready() && f.revision() == 1)
                .await;
            sender.send(None).unwrap();
            // Blocks the only thread of the runtime, as a process pause would.
            resumed.recv().unwrap();
            let acting_on = control_plane.active_revision().map(|r| r.0);
            sender.send(Some(acting_on)).unwrap();
            control_plane
                .wait_until(|f| f.is_ready() && f.revision() == 2)
                .await;
        });
    });
    received.recv_timeout(MAX_WAIT).unwrap();
    fleet.publish(2, &policy(200));
    fleet
        .wait_for_revision(2, |i| i.name != fleet.members[at].instance.name)
        .await;
    let pause_gap = ControlTiming::default().tick + ControlTiming::default().pause_gap;
    tokio::time::sleep(pause_gap * 2).await;
    resume.send(()).unwrap();
    assert_eq!(received.recv_timeout(MAX_WAIT).unwrap(), Some(None));
    thread.join().unwrap();
    assert_eq!(view.snapshot().revision(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rules_and_instances_of_a_new_service_are_fetched() {
    let fleet = started().await;
    let member = fleet
        .members
        .iter()
        .find(|m| m.instance.service.as_str() == "s3");
    let member = member.unwrap();
    let service = "s1".into();
    assert!(member.fleet.snapshot().instances("s1").is_empty());
    assert!(
        member
            .control_plane
            .as_ref()
            .unwrap()
            .add_service(&service, MAX_WAIT)
            .await
    );
    let view = member.fleet.snapshot();
    assert_eq!(view.instances("s1").len(), DOMAINS);
    assert!(view.policy().rule_for("GET", "s1", "/x").is_some());
}

fn peer(name: &str) -> PeerId {
    PeerId {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

fn port() -> PeerServer {
    let handlers = PeerHandlers {
        control: Box::new(|_, _| dragonflylead::coordination::control::Reply::Pushed),
        crash: Box::new(|_, _| ()),
        cancel: Box::new(|_, _| ()),
        mint: Box::new(|_, count| vec!["token".into(); count.into()]),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    PeerServer::start(listener, peer("me"), keys(), handlers).unwrap()
}

#[tokio::test]
async fn forged_and_misaddressed_messages_are_refused() {
    struct Case {
        keys: Keyring,
        to: &'static str,
        want: Result<usize, EnvelopeError>,
    }
    let cases = [
        Case {
            keys: keys(),
            to: "me",
            want: Ok(2),
        },
        Case {
            keys: Keyring::new("another fleet", None),
            to: "me",
            want: Err(EnvelopeError::BadSignature),
        },
        Case {
            keys: keys(),
            to: "previous-instance",
            want: Err(EnvelopeError::OtherInstance("previous-instance".into())),
        },
    ];
    let port = port();
    for case in cases {
        let client = PeerClient::new(peer("you"), case.keys);
        let to: InstanceName = case.to.into();
        let got = client
            .send_request(Some(&to), port.address(), PeerRequest::Mint(2))
            .await;
        let got = match got {
            Ok((_, PeerReply::Tokens(tokens))) => Ok(tokens.len()),
            Err(PeerError::Rejected(refusal)) => Err(refusal),
            other => panic!("{other:?}"),
        };
        assert_eq!(got, case.want);
    }
}

#[test]
fn unsupported_versions_are_refused() {
    struct Case {
        version: u16,
        want: Option<EnvelopeError>,
    }
    let refused = |theirs| {
        Some(EnvelopeError::Version {
            theirs,
            oldest: 1,
            newest: PEER_VERSION,
        })
    };
    let cases = [
        Case {
            version: PEER_VERSION,
            want: None,
        },
        Case {
            version: 0,
            want: refused(0),
        },
        Case {
            version: PEER_VERSION + 1,
            want: refused(PEER_VERSION + 1),
        },
    ];
    for case in cases {
        let mut message = Envelope::new(peer("you"), None, 1, PeerRequest::Mint(1));
        message.version = case.version;
        let (text, signature) = message.sign(&keys());
        let text = text.replace("}}", "},\"added_later\":1}");
        let signature = match text.contains("added_later") {
            true => keys().signature(&text),
            false => signature,
        };
        let opened = Envelope::<PeerRequest>::verify(&text, &signature, &keys(), &"me".into());
        assert_eq!(opened.err(), case.want);
    }
}

/// Malformed input gets an error or a closed connection, and the next valid message is answered.
#[tokio::test]
async fn malformed_input_does_not_disturb_the_peer_port() {
    let port = port();
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}", port.address());
    let long = "x".repeat(4 << 20);
    let bodies = [
        "",
        "garbage",
        "{}",
        "[]",
        r#"{"jsonrpc":"2.0","id":1,"method":"peer"}"#,
        r#"{"jsonrpc":"2.0","id":1,"method":"peer","params":["00",{}]}"#,
        r#"{"jsonrpc":"2.0","id":1,"method":"other","params":[]}"#,
        long.as_str(),
    ];
    for body in bodies {
        let sent = http
            .post(&url)
            .header("content-type", "application/json")
            .body(body.to_owned());
        if let Ok(resp) = sent.send().await {
            let text = resp.text().await.unwrap_or_default();
            assert!(!text.contains("\"result\""), "{body:.40}: {text}");
        }
    }
    let raw = tokio::net::TcpStream::connect(port.address())
        .await
        .unwrap();
    raw.try_write(&[0, 255, 13, 10, 13, 10]).unwrap();
    let client = PeerClient::new(peer("you"), keys());
    let got = client
        .send_request(None, port.address(), PeerRequest::Mint(1))
        .await;
    assert_eq!(got.unwrap().1, PeerReply::Tokens(vec!["token".into()]));
}
