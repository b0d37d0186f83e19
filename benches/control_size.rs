//! Memory and processor time of one control plane at the size to design for: 20 domains of 1,050
//! instances, 1,400 services, a configuration of 7,000 rules.

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
use dragonflylead::coordination::control::Push;
use dragonflylead::coordination::control::Reply;
use dragonflylead::coordination::control::Request;
use dragonflylead::coordination::control::WatchAnswer;
use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::gossip::Interval;
use dragonflylead::coordination::reader::readers;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;

const DOMAINS: usize = 20;
const EACH: usize = 1_050;
const SERVICES: usize = 1_400;
const RULES: usize = 7_000;
const CALLED: usize = 10;
const REPEATS: u32 = 20;

fn instance(n: usize) -> Instance {
    let domain = n / EACH;
    let ip = format!("10.{}.{}.{}", domain, n % EACH / 250, 1 + n % 250);
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

fn policy(millis: u64) -> String {
    let mut text = String::from("[calls]\n");
    for n in 0..RULES {
        let ms = if n == 0 { millis } else { 100 };
        text.push_str(&format!(
            "rule-{n} = GET service-{} /path/of/rule/{n}/* priority=normal idempotent=yes timeout={ms}ms retries=2  \
             # Farida K., housing desk, request {n}\n",
            n % SERVICES
        ));
    }
    text
}

fn control(me: &Instance) -> Control {
    Control::new(ControlSettings {
        instance: me.clone(),
        incarnation: Incarnation(1),
        called_services: (0..CALLED)
            .map(|n| format!("service-{n}").as_str().into())
            .collect(),
        seeds: Vec::new(),
        fleet_size: (DOMAINS * EACH) as u64,
        timing: ControlTiming::default(),
        validate: Box::new(|text| Policy::parse(text).map(drop).map_err(|e| e.to_string())),
    })
}

fn resident_kib() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<f64>().unwrap() * 4.0
}

fn time<F>(what: &str, mut run: F)
where
    F: FnMut(u32),
{
    let from = Instant::now();
    (0..REPEATS).for_each(&mut run);
    let each = from.elapsed() / REPEATS;
    println!("| {what} | {:.3} |", each.as_secs_f64() * 1_000.0);
}

/// Lets `node` ask `reader` for a document.
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
    let asker = reader.id();
    let (_, actions) = node.handle_request(now, &asker, Request::Exchange(status), rng);
    let wanted = |a: &Action| matches!(a, Action::Send { request: Request::Repair { kind: k, .. }, .. } if *k == kind);
    let Some(Action::Send { request, .. }) = actions.into_iter().find(wanted) else {
        return 0;
    };
    let (reply, _) = reader.handle_request(now, &node.id(), request.clone(), rng);
    let bytes = serde_json::to_string(&reply).unwrap().len();
    node.handle_reply(now, &to, &request, &asker, reply, rng);
    bytes
}

fn main() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let now = Time::from_millis(1);
    let fleet: Vec<Instance> = (0..DOMAINS * EACH).map(instance).collect();
    let text = policy(100);
    let list_bytes = serde_json::to_string(&fleet).unwrap().len();
    println!(
        "configuration {} KiB, instance list {} KiB\n",
        text.len() / 1024,
        list_bytes / 1024
    );

    let empty = resident_kib();
    let first = readers(fleet[..EACH].iter().map(|i| &i.name))[0].clone();
    let first = fleet.iter().position(|i| i.name == first).unwrap();
    let mut reader = control(&fleet[first]);
    reader.handle_list_answer(now, WatchAnswer::Newer(Revision(1), &fleet));
    reader.handle_config_answer(now, WatchAnswer::Newer(Revision(1), &text));
    println!(
        "reader: {:.1} MiB resident",
        (resident_kib() - empty) / 1024.0
    );

    let empty = resident_kib();
    let mut nodes: Vec<Control> = (1..11).map(|n| control(&fleet[n])).collect();
    let mut bytes = [0, 0];
    for node in &mut nodes {
        for kind in DocumentKind::BOTH {
            bytes[kind as usize] = repair(node, &mut reader, kind, &mut rng);
        }
    }
    let each = (resident_kib() - empty) / 10.0 / 1024.0;
    println!(
        "node: {each:.1} MiB resident; its first configuration {} KiB, list {} KiB\n",
        bytes[0] / 1024,
        bytes[1] / 1024
    );

    println!("| event | ms of processor time |\n|---|---|");
    let node = &mut nodes[0];
    time("node: tick", |n| {
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
    time("node: exchange answered", |_| {
        black_box(node.handle_request(now, &from, Request::Exchange(status.clone()), &mut rng));
    });
    time("reader: instance list changes by one", |n| {
        let mut list = fleet.clone();
        list[3].state = InstanceState::Draining;
        list.truncate(fleet.len() - n as usize);
        reader.handle_list_answer(now, WatchAnswer::Newer(Revision(2 + u64::from(n)), &list));
    });
    time("reader: configuration changes by one rule", |n| {
        let text = policy(200 + u64::from(n));
        reader.handle_config_answer(now, WatchAnswer::Newer(Revision(2 + u64::from(n)), &text));
    });
    time("reader: repair of a node that starts", |n| {
        let mut started = control(&fleet[20 + n as usize]);
        for kind in DocumentKind::BOTH {
            repair(&mut started, &mut reader, kind, &mut rng);
        }
    });
    let mut late: Vec<Control> = (0..REPEATS as usize)
        .map(|n| control(&fleet[50 + n]))
        .collect();
    let mut source = control(&fleet[first]);
    source.handle_list_answer(now, WatchAnswer::Newer(Revision(1), &fleet));
    source.handle_config_answer(now, WatchAnswer::Newer(Revision(1), &text));
    for node in &mut late {
        for kind in DocumentKind::BOTH {
            repair(node, &mut source, kind, &mut rng);
        }
    }
    source.tick(now, &mut rng);
    let later = now.plus(Duration::from_secs(1));
    source.handle_config_answer(later, WatchAnswer::Newer(Revision(2), &policy(777)));
    let due = later.plus(Duration::from_secs(5));
    let actions = source.tick(due, &mut rng);
    let push = actions.into_iter().find_map(|a| match a {
        Action::Send {
            request: Request::Push(push),
            ..
        } => Some(push),
        _ => None,
    });
    let push = push.expect("a reader pushes a change");
    let size = serde_json::to_string(&push).unwrap().len();
    time("node: change taken and handed on to 8", |n| {
        let push = Push {
            interval: Interval::ALL,
            ..push.clone()
        };
        let node = &mut late[n as usize];
        let (reply, actions) = node.handle_request(later, &from, Request::Push(push), &mut rng);
        assert_eq!(reply, Reply::Pushed);
        black_box(actions);
    });
    println!("\na change of one rule is {size} bytes");
}
