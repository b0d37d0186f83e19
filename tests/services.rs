//! Services whose rules and instances a node holds.

use std::time::Duration;

use dragonflylead::Time;
use dragonflylead::coordination::control::Control;
use dragonflylead::coordination::control::ControlSettings;
use dragonflylead::coordination::control::ControlTiming;
use dragonflylead::coordination::control::MAX_SERVICES;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;
use dragonflylead::instance::ServiceName;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

fn control() -> Control {
    let address = ([127, 0, 0, 1], 1).into();
    Control::new(ControlSettings {
        instance: Instance {
            name: "booking-1".into(),
            service: "booking".into(),
            domain: "punjab-1".into(),
            region: "punjab".into(),
            ingress: address,
            peer: address,
            state: InstanceState::Live,
        },
        incarnation: Incarnation(1),
        called_services: Vec::new(),
        seeds: Vec::new(),
        fleet_size: 1,
        timing: ControlTiming::default(),
        validate: Box::new(|_| Ok(())),
    })
}

/// A target that calls made-up service names must not exhaust the memory of its node.
#[test]
fn made_up_service_names_are_bounded() {
    let mut control = control();
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let now = Time::ZERO.plus(Duration::from_secs(1));
    let names: Vec<ServiceName> = (0..2 * MAX_SERVICES)
        .map(|n| ServiceName::new(&format!("made-up-{n}")))
        .collect();
    for name in &names {
        control.add_service(now, name, &mut rng);
    }
    let held = names
        .iter()
        .filter(|name| control.needs_service(name))
        .count();
    assert_eq!(held, MAX_SERVICES - 1);
    assert!(control.needs_service(&ServiceName::new("booking")));
}
