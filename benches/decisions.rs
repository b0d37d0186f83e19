//! Time of single decisions of admission, levels and routing: `cargo bench --bench decisions`.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use dragonflylead::CallContext;
use dragonflylead::ErrorKind;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::call::COHORTS;
use dragonflylead::call::Cohort;
use dragonflylead::coordination::admission::AdmissionController;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::RunResult;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::dispatch::AttemptReport;
use dragonflylead::coordination::dispatch::Call;
use dragonflylead::coordination::dispatch::DispatchConfig;
use dragonflylead::coordination::dispatch::Dispatcher;
use dragonflylead::coordination::dispatch::Step;
use dragonflylead::coordination::level::LevelController;
use dragonflylead::coordination::level::LevelView;
use dragonflylead::coordination::routing::LocalNode;
use dragonflylead::coordination::routing::RoutingConfig;
use dragonflylead::coordination::subset::SubsetConfig;
use dragonflylead::instance::DomainName;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;
use dragonflylead::instance::RegionName;
use dragonflylead::instance::ServiceName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Slots of the instance of the admission benches.
const SLOTS: u32 = 130;
/// Priorities of the offered calls, in turn.
const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Critical,
    Priority::Normal,
    Priority::Low,
];

/// Offers calls to the admission of an instance whose slots and queue stay full.
struct AdmissionLoad {
    admission: AdmissionController,
    now: Time,
    ticket: u64,
    running: Vec<Ticket>,
    effects: Vec<Effect>,
}

impl AdmissionLoad {
    fn new() -> AdmissionLoad {
        let now = Time::from_millis(1);
        let mut load = AdmissionLoad {
            admission: AdmissionController::new(SLOTS, now),
            now,
            ticket: 0,
            running: Vec::new(),
            effects: Vec::new(),
        };
        (0..10 * SLOTS).for_each(|_| load.offer());
        load
    }

    /// Offers the next call, 100 us after the previous one.
    fn offer(&mut self) {
        self.ticket += 1;
        self.now = self.now.plus(Duration::from_micros(100));
        let priority = PRIORITIES[self.ticket as usize % PRIORITIES.len()];
        let job = Job {
            ticket: Ticket(self.ticket),
            priority,
            cohort: Cohort((self.ticket * 37 % u64::from(COHORTS)) as u16),
            idempotent: priority != Priority::Critical,
            deadline: self.now.plus(Duration::from_millis(800)),
            exclusive: false,
        };
        self.admission.offer(job, self.now, &mut self.effects);
        self.record_started();
    }

    /// Ends a running call, if there is one.
    fn finish(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let ticket = self.running.swap_remove(0);
        self.admission
            .finish(ticket, RunResult::Ok, self.now, &mut self.effects);
        self.record_started();
    }

    /// Records the calls that admission started.
    fn record_started(&mut self) {
        for effect in self.effects.drain(..) {
            if let Effect::Start(ticket) = effect {
                self.running.push(ticket);
            }
        }
    }
}

fn admission(c: &mut Criterion) {
    let mut load = AdmissionLoad::new();
    c.bench_function("admission: offer to a full instance", |b| {
        b.iter(|| {
            load.offer();
            if load.ticket.is_multiple_of(4) {
                load.finish();
            }
        });
    });
    let mut load = AdmissionLoad::new();
    c.bench_function("admission: offer and finish with a queue", |b| {
        b.iter(|| {
            load.offer();
            load.finish();
        });
    });
    let mut load = AdmissionLoad::new();
    c.bench_function("admission: tick with a full queue", |b| {
        b.iter(|| {
            load.admission.tick(load.now, &mut load.effects);
        });
    });
}

fn level(c: &mut Criterion) {
    let now = Time::from_millis(1);
    let mut controller = LevelController::new(now);
    c.bench_function("level: arrival at an instance", |b| {
        b.iter(|| controller.record_arrival(black_box(Priority::Low), black_box(Cohort(7))));
    });
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut view = LevelView::new();
    let services: Vec<ServiceName> = (0..64)
        .map(|i| ServiceName::new(&format!("service-{i}")))
        .collect();
    let level = "normal.64".parse().expect("a level");
    c.bench_function(
        "level: response and next call at a sender of 64 services",
        |b| {
            let mut i = 0;
            b.iter(|| {
                i = (i + 1) % services.len();
                view.observe(&services[i], level, now);
                view.admits(&services[i], Priority::Low, Cohort(7), now, &mut rng)
            });
        },
    );
}

/// Number of targets in the fleet view of the routing benches.
const TARGETS: usize = 1_000;

/// Returns [`TARGETS`] targets of `services` services, in seven failure domains of three regions.
fn instances(services: usize) -> Vec<Instance> {
    let instance = |i: usize| Instance {
        name: InstanceName::new(&format!("instance-{i}")),
        service: ServiceName::new(&format!("service-{}", i % services)),
        domain: DomainName::new(&format!("domain-{}", i % 7)),
        region: RegionName::new(&format!("region-{}", i % 7 / 3)),
        ingress: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        state: InstanceState::Live,
    };
    (0..TARGETS).map(instance).collect()
}

/// Returns a dispatcher without a retry allowance that knows [`TARGETS`] targets.
fn dispatcher(services: usize, routing: RoutingConfig) -> Dispatcher {
    let local = LocalNode {
        instance: InstanceName::new("own"),
        domain: DomainName::new("domain-0"),
        region: RegionName::new("region-0"),
    };
    let cfg = DispatchConfig {
        routing,
        allowance: false,
        ..DispatchConfig::default()
    };
    let dispatcher = Dispatcher::new(local, cfg, Time::ZERO);
    dispatcher.sync(&instances(services), Time::ZERO);
    dispatcher
}

/// Makes calls whose first attempt ends with `first_result` and whose further attempts succeed.
struct DispatchLoad {
    dispatcher: Dispatcher,
    context: CallContext,
    services: Vec<ServiceName>,
    first_result: Result<u16, ErrorKind>,
    rng: ChaCha8Rng,
    now: Time,
    calls: usize,
}

impl DispatchLoad {
    fn new(
        services: usize,
        routing: RoutingConfig,
        first_result: Result<u16, ErrorKind>,
    ) -> DispatchLoad {
        DispatchLoad {
            dispatcher: dispatcher(services, routing),
            context: CallContext {
                request: RequestId(1),
                priority: Priority::Low,
                idempotent: true,
                remaining: Duration::from_secs(1),
                spare: 3,
                depth: 3,
                moved: false,
            },
            services: (0..services)
                .map(|i| ServiceName::new(&format!("service-{i}")))
                .collect(),
            first_result,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Time::ZERO,
            calls: 0,
        }
    }

    /// Makes one call, 20 ms after the previous one, until an attempt succeeds.
    fn call(&mut self) {
        self.calls += 1;
        self.now = self.now.plus(Duration::from_millis(20));
        let call = Call {
            service: &self.services[self.calls % self.services.len()],
            context: &self.context,
            request_bytes: 0,
            cross_region: true,
            excluded: None,
        };
        let mut plan = self.dispatcher.begin(&call, self.now);
        let mut result = self.first_result;
        while let Step::Send(attempt) = self.dispatcher.step(&mut plan, self.now, &mut self.rng) {
            let report = AttemptReport {
                result,
                used_attempts: Some(0),
                level: Some("background.127;40"),
                took: Duration::from_millis(10),
                bytes: 2_000,
            };
            self.dispatcher
                .record_attempt_end(&mut plan, &attempt, &report, self.now);
            if result.is_ok() {
                return;
            }
            result = Ok(200);
        }
    }
}

fn routing(c: &mut Criterion) {
    let refused = Err(ErrorKind::NotRun(NotRunKind::Overloaded));
    let no_subset = RoutingConfig {
        subset: SubsetConfig::ALL,
        ..RoutingConfig::default()
    };
    let cases = [
        ("1,000 targets of 66 services", 66, RoutingConfig::default()),
        ("1,000 targets of 1 service", 1, RoutingConfig::default()),
        ("1,000 targets of 1 service, no subset", 1, no_subset),
    ];
    for (name, services, cfg) in cases {
        let mut load = DispatchLoad::new(services, cfg.clone(), Ok(200));
        c.bench_function(&format!("call of one attempt: {name}"), |b| {
            b.iter(|| load.call());
        });
        let mut load = DispatchLoad::new(services, cfg, refused);
        c.bench_function(&format!("call of two attempts: {name}"), |b| {
            b.iter(|| load.call());
        });
    }
    let list = instances(66);
    let dispatcher = dispatcher(66, RoutingConfig::default());
    c.bench_function("routing: take over a list of 1,000 targets", |b| {
        b.iter(|| dispatcher.sync(black_box(&list), Time::ZERO));
    });
}

criterion_group!(decisions, admission, level, routing);
criterion_main!(decisions);
