//! A node that starts while every other node is gone.

mod common;

use dragonflylead::Outcome;
use dragonflylead::caller::Caller;
use dragonflylead::instance::Instance;
use dragonflylead::standin::fleet::Fleet;
use dragonflylead::standin::target::Behaviour;

const POLICY: &str = "\
[calls]
all = GET booking /* priority=normal idempotent=yes timeout=10s retries=0 # test desk

[services]
booking = slots=8 connections=64 # test desk
";

#[tokio::test(flavor = "multi_thread")]
async fn it_serves_from_the_platform_alone() {
    let spec = common::single_domain_fleet(POLICY, &[("booking", 1, Behaviour::default())]);
    let fleet = Fleet::start(&spec).await.unwrap();
    let live = &fleet.members[0].instance;
    let gone = |name: &str, port: u16| Instance {
        name: name.into(),
        ingress: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 1], port).into(),
        ..live.clone()
    };
    let listed = vec![live.clone(), gone("booking-8", 1), gone("booking-9", 2)];
    fleet.platform.set_instances(listed);
    let settings = fleet.members[0].node.node().settings.clone();
    let target = settings.target;
    let again = common::restart(settings, 99).await;
    tokio::time::timeout(common::WAIT_TIMEOUT, again.ready())
        .await
        .expect("ready in time");
    let caller = Caller::new(&[again.ingress()], 0, 5).unwrap();
    let outcome = caller.call(&common::lookup("/slots/1", "a")).await;
    assert!(
        matches!(outcome, Outcome::Completed(_)),
        "{outcome:?} of {target}"
    );
    again.stop().await;
    fleet.stop().await;
}
