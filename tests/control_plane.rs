//! Control planes on loopback: real peer ports, a real watch of a platform stand-in.

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

use real_fleet::CAP;
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
    fleet.act_on(1, |_| true).await;
    fleet
}

/// Restarts members while the platform fails in different ways; none may act on revision 1 again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarts_while_the_platform_fails() {
    let mut fleet = started().await;
    fleet.publish(2, &policy(200));
    fleet.act_on(2, |_| true).await;
    let old = ConfigDocument {
        revision: 1,
        text: policy(100),
    };
    for fault in [Fault::Down, Fault::Stale(old), Fault::Flapping] {
        fleet.set_fault(fault);
        for at in [0, EACH, 2 * EACH + 1] {
            fleet.restart(at).await;
            let plane = fleet.members[at].plane.as_ref().unwrap();
            tokio::time::timeout(CAP, plane.wait_until_ready())
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
    fleet.act_on(4, |_| true).await;
    let rule = fleet.members[3].fleet.snapshot();
    let rule = rule.policy().rule_for("GET", "s0", "/x").unwrap().timeout;
    assert_eq!(rule, Duration::from_millis(400));
    assert_eq!(fleet.checker.violations(), [""; 0]);
}

/// A domain that is cut off and sees an older platform keeps serving, and takes the later revision when it is joined again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domains_cut_apart_and_joined() {
    let fleet = started().await;
    fleet.cut("domain-1", true);
    let near = |i: &dragonflylead::instance::Instance| i.domain.as_str() != "domain-1";
    fleet.platform.set_config(2, &policy(200));
    fleet.act_on(2, near).await;
    fleet.act_on(1, |i| !near(i)).await;
    fleet.cut("domain-1", false);
    fleet.act_on(2, |_| true).await;
    fleet.publish(3, &policy(300));
    fleet.act_on(3, |_| true).await;
    assert_eq!(fleet.checker.violations(), [""; 0]);
}

/// The checker sees a domain that restarts as a whole while the platform is stale and others are cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reverted_revision_is_seen() {
    let mut fleet = started().await;
    fleet.publish(2, &policy(200));
    fleet.act_on(2, |_| true).await;
    fleet.cut("domain-1", true);
    fleet.replica.set_fault(Fault::Stale(ConfigDocument {
        revision: 1,
        text: policy(100),
    }));
    let alone = EACH..2 * EACH;
    alone.clone().for_each(|at| fleet.members[at].plane = None);
    for at in alone {
        fleet.restart(at).await;
    }
    fleet.act_on(1, |i| i.domain.as_str() == "domain-1").await;
    let seen = async {
        while fleet.checker.violations.lock().unwrap().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(CAP, seen).await.unwrap();
}

/// A member whose whole process stands still wakes with an old view and checks it first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_member_checks_its_view() {
    let mut fleet = started().await;
    let at = EACH + 2;
    fleet.members[at].plane = None;
    fleet.members[at].life += 1;
    fleet.members[at].fleet = Default::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    fleet.members[at].instance.peer = listener.local_addr().unwrap();
    let list = fleet.members.iter().map(|m| m.instance.clone()).collect();
    fleet.list(list);
    let settings = fleet.settings(at, 1, listener);
    let table = fleet.members[at].fleet.clone();
    let (pause, paused) = std::sync::mpsc::channel::<()>();
    let (tell, told) = std::sync::mpsc::channel();
    let process = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let plane = ControlPlane::start(settings).unwrap();
            plane
                .wait_until(|f| f.is_ready() && f.revision() == 1)
                .await;
            tell.send(None).unwrap();
            paused.recv().unwrap();
            let woken = plane.active_revision().map(|r| r.0);
            tell.send(Some(woken)).unwrap();
            plane
                .wait_until(|f| f.is_ready() && f.revision() == 2)
                .await;
        });
    });
    told.recv_timeout(CAP).unwrap();
    fleet.publish(2, &policy(200));
    fleet
        .act_on(2, |i| i.name != fleet.members[at].instance.name)
        .await;
    let pause_gap = ControlTiming::default().tick + ControlTiming::default().pause_gap;
    tokio::time::sleep(pause_gap * 2).await;
    pause.send(()).unwrap();
    assert_eq!(told.recv_timeout(CAP).unwrap(), Some(None));
    process.join().unwrap();
    assert_eq!(table.snapshot().revision(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_is_fetched_when_it_is_met() {
    let fleet = started().await;
    let member = fleet
        .members
        .iter()
        .find(|m| m.instance.service.as_str() == "s3");
    let member = member.unwrap();
    let met = "s1".into();
    assert!(member.fleet.snapshot().instances("s1").is_empty());
    assert!(member.plane.as_ref().unwrap().add_service(&met, CAP).await);
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
async fn messages_are_refused_clearly() {
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
            to: "who was here before",
            want: Err(EnvelopeError::OtherInstance("who was here before".into())),
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
fn other_versions_are_refused_clearly() {
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

/// Garbage is answered with an error or a closed connection, and the next message is served.
#[tokio::test]
async fn garbage_disturbs_nothing() {
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
