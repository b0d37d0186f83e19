//! Memory and processor time of the control plane of one node at the design size: 20 failure
//! domains of 1,050 instances, 1,400 services, a configuration of 7,000 rules.
//!
//! Run with `cargo bench --bench control_size`.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use dragonflylead::Policy;
use dragonflylead::Time;
use dragonflylead::coordination::control::Action;
use dragonflylead::coordination::control::Contact;
use dragonflylead::coordination::control::Control;
use dragonflylead::coordination::control::ControlSettings;
use dragonflylead::coordination::control::ControlTiming;
use dragonflylead::coordination::control::DocumentKind;
use dragonflylead::coordination::control::PeerId;
use dragonflylead::coordination::control::PlatformResponse;
use dragonflylead::coordination::control::Push;
use dragonflylead::coordination::control::Reply;
use dragonflylead::coordination::control::Request;
use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::gossip::Interval;
use dragonflylead::coordination::reader::readers;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;

/// Failure domains of the fleet.
const DOMAINS: usize = 20;
/// Instances of each failure domain.
const INSTANCES_PER_DOMAIN: usize = 1_050;
/// Services of the fleet.
const SERVICES: usize = 1_400;
/// Rules of the configuration.
const RULES: usize = 7_000;
/// Services that each node calls.
const CALLED_SERVICES: usize = 10;
/// Repetitions of each timed event.
const REPEATS: u32 = 20;

/// Returns the `n`-th instance of the fleet.
fn instance(n: usize) -> Instance {
    let domain = n / INSTANCES_PER_DOMAIN;
    let ip = format!(
        "10.{}.{}.{}",
        domain,
        n % INSTANCES_PER_DOMAIN / 250,
        1 + n % 250
    );
    Instance {
        name: format!("service-{}-instance-{n}", n % SERVICES)
            .as_str()
            .into(),
        service: format!("service-{}", n % SERVICES).as_str().into(),
        domain: format!("domain-{domain}").as_str().into(),
        region: format!("region-{}", domain * 9 / DOMAINS).as_str().into(),
        ingress: format!("{ip}:7100").parse().unwrap(),
        peer: format!("{ip}:7102").parse().unwrap(),
        state: InstanceState::Live,
    }
}

/// Returns a configuration of [`RULES`] rules. The timeout of the first is `first_timeout_ms`.
fn policy(first_timeout_ms: u64) -> String {
    let mut text = String::from("[calls]\n");
    for n in 0..RULES {
        let ms = if n == 0 { first_timeout_ms } else { 100 };
        text.push_str(&format!(
            "rule-{n} = GET service-{} /path/of/rule/{n}/* priority=normal idempotent=yes timeout={ms}ms retries=2  \
             # Farida K., housing desk, request {n}\n",
            n % SERVICES
        ));
    }
    text
}

/// Returns the control plane of a node that has no document yet.
fn control(own: &Instance) -> Control {
    Control::new(ControlSettings {
        instance: own.clone(),
        incarnation: Incarnation(1),
        called_services: (0..CALLED_SERVICES)
            .map(|n| format!("service-{n}").as_str().into())
            .collect(),
        seeds: Vec::new(),
        fleet_size: (DOMAINS * INSTANCES_PER_DOMAIN) as u64,
        timing: ControlTiming::default(),
        validate: Box::new(|text| Policy::parse(text).map(drop).map_err(|e| e.to_string())),
    })
}

/// Returns the resident memory of this process, in KiB, for memory pages of 4 KiB.
fn resident_kib() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<f64>().unwrap() * 4.0
}

/// Prints the mean time of [`REPEATS`] runs, in milliseconds.
fn print_mean_time<F>(event: &str, mut run: F)
where
    F: FnMut(u32),
{
    let start = Instant::now();
    (0..REPEATS).for_each(&mut run);
    let mean = start.elapsed() / REPEATS;
    println!("| {event} | {:.3} |", mean.as_secs_f64() * 1_000.0);
}

/// Lets `node` repair its document of one kind from `reader`. Returns the bytes of the reply as
/// JSON, 0 if the node asks for no repair.
fn repair(
    node: &mut Control,
    reader: &mut Control,
    kind: DocumentKind,
    rng: &mut ChaCha12Rng,
) -> usize {
    let now = Time::from_millis(1 + 10_000 * kind as u64);
    let to = Contact {
        name: Some(reader.id().name),
        address: reader.instance().peer,
    };
    let status = reader.status();
    let reader_id = reader.id();
    let (_, actions) = node.handle_request(now, &reader_id, Request::Exchange(status), rng);
    let asks_for_kind = |a: &Action| matches!(a, Action::Send { request: Request::Repair { kind: k, .. }, .. } if *k == kind);
    let Some(Action::Send { request, .. }) = actions.into_iter().find(asks_for_kind) else {
        return 0;
    };
    let (reply, _) = reader.handle_request(now, &node.id(), request.clone(), rng);
    let bytes = serde_json::to_string(&reply).unwrap().len();
    node.handle_reply(now, &to, &request, &reader_id, reply, rng);
    bytes
}

fn main() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let now = Time::from_millis(1);
    let fleet: Vec<Instance> = (0..DOMAINS * INSTANCES_PER_DOMAIN).map(instance).collect();
    let text = policy(100);
    let list_bytes = serde_json::to_string(&fleet).unwrap().len();
    println!(
        "configuration {} KiB, instance list {} KiB\n",
        text.len() / 1024,
        list_bytes / 1024
    );

    let baseline = resident_kib();
    let reader_name = readers(fleet[..INSTANCES_PER_DOMAIN].iter().map(|i| &i.name))[0].clone();
    let reader_index = fleet.iter().position(|i| i.name == reader_name).unwrap();
    let mut reader = control(&fleet[reader_index]);
    reader.handle_list_response(now, PlatformResponse::Newer(Revision(1), &fleet));
    reader.handle_config_response(now, PlatformResponse::Newer(Revision(1), &text));
    println!(
        "reader: {:.1} MiB resident",
        (resident_kib() - baseline) / 1024.0
    );

    let baseline = resident_kib();
    let mut nodes: Vec<Control> = (1..11).map(|n| control(&fleet[n])).collect();
    let mut bytes = [0, 0];
    for node in &mut nodes {
        for kind in DocumentKind::BOTH {
            bytes[kind as usize] = repair(node, &mut reader, kind, &mut rng);
        }
    }
    let per_node = (resident_kib() - baseline) / 10.0 / 1024.0;
    println!(
        "node: {per_node:.1} MiB resident; repairing the configuration takes {} KiB, the instance list {} KiB\n",
        bytes[0] / 1024,
        bytes[1] / 1024
    );

    println!("| event | processor time, ms |\n|---|---|");
    let node = &mut nodes[0];
    print_mean_time("node: tick", |n| {
        black_box(node.tick(
            now.plus(Duration::from_millis(u64::from(n) * 200)),
            &mut rng,
        ));
    });
    let from = PeerId {
        name: fleet[5].name.clone(),
        incarnation: Incarnation(1),
    };
    let status = node.status();
    print_mean_time("node: answer an exchange", |_| {
        black_box(node.handle_request(now, &from, Request::Exchange(status.clone()), &mut rng));
    });
    print_mean_time("reader: apply an instance list with one change", |n| {
        let mut list = fleet.clone();
        list[3].state = InstanceState::Draining;
        list.truncate(fleet.len() - n as usize);
        reader.handle_list_response(
            now,
            PlatformResponse::Newer(Revision(2 + u64::from(n)), &list),
        );
    });
    print_mean_time("reader: apply a configuration with one changed rule", |n| {
        let text = policy(200 + u64::from(n));
        reader.handle_config_response(
            now,
            PlatformResponse::Newer(Revision(2 + u64::from(n)), &text),
        );
    });
    print_mean_time("reader: repair a starting node", |n| {
        let mut starting = control(&fleet[20 + n as usize]);
        for kind in DocumentKind::BOTH {
            repair(&mut starting, &mut reader, kind, &mut rng);
        }
    });
    let mut receivers: Vec<Control> = (0..REPEATS as usize)
        .map(|n| control(&fleet[50 + n]))
        .collect();
    let mut source = control(&fleet[reader_index]);
    source.handle_list_response(now, PlatformResponse::Newer(Revision(1), &fleet));
    source.handle_config_response(now, PlatformResponse::Newer(Revision(1), &text));
    for node in &mut receivers {
        for kind in DocumentKind::BOTH {
            repair(node, &mut source, kind, &mut rng);
        }
    }
    source.tick(now, &mut rng);
    let later = now.plus(Duration::from_secs(1));
    source.handle_config_response(later, PlatformResponse::Newer(Revision(2), &policy(777)));
    let due = later.plus(Duration::from_secs(5));
    let actions = source.tick(due, &mut rng);
    let push = actions.into_iter().find_map(|a| match a {
        Action::Send {
            request: Request::Push(push),
            ..
        } => Some(push),
        _ => None,
    });
    let push = push.expect("the reader pushes the change");
    let size = serde_json::to_string(&push).unwrap().len();
    print_mean_time(
        "node: apply a pushed change and forward it to 8 members",
        |n| {
            let push = Push {
                interval: Interval::ALL,
                ..push.clone()
            };
            let node = &mut receivers[n as usize];
            let (reply, actions) = node.handle_request(later, &from, Request::Push(push), &mut rng);
            assert_eq!(reply, Reply::Pushed);
            black_box(actions);
        },
    );
    println!("\na push of one changed rule takes {size} bytes");
}
