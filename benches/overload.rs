//! One instance under overload in virtual time: `cargo bench --bench overload`.
//!
//! Prints a row for each scenario and setting: goodput of whole requests as a share of what the
//! slots can do, success of charges and lookups, wasted slot time, time to recover, sends for each
//! request.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::coordination::admission::Admission;
use dragonflylead::coordination::admission::AdmissionConfig;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Ending;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::TICK;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::level::LevelControl;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 20;
const SERVICE_MS: f64 = 50.0;
const LOAD: f64 = 0.8;
const CAUSE: (Time, Time) = (Time::from_millis(5_000), Time::from_millis(15_000));
const END: Time = Time::from_millis(30_000);
const SENDS: u32 = 3;
const CHARGE_TIMEOUT: Duration = Duration::from_millis(2_000);
const CHARGE_SHARE: f64 = 0.1;
const BUCKET_MS: u64 = 250;
const SEEDS: u64 = 5;

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    demand: f64,
    service: f64,
    servers: u32,
    /// Factor on the service time of lookups alone.
    lookups: f64,
    lookup_timeout: Duration,
    /// Growth of the service time for each call that waits in the target, per server.
    contention: f64,
}

const CALM: Scenario = Scenario {
    name: "calm",
    demand: 1.0,
    service: 1.0,
    servers: SLOTS,
    lookups: 1.0,
    lookup_timeout: Duration::from_millis(800),
    contention: 0.0,
};

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "surge 3x",
        demand: 3.0,
        ..CALM
    },
    Scenario {
        name: "target 5x slower",
        service: 5.0,
        ..CALM
    },
    Scenario {
        name: "3 of 4 servers lost in the target",
        servers: SLOTS / 4,
        ..CALM
    },
    Scenario {
        name: "3 of 4 servers lost, contention",
        servers: SLOTS / 4,
        contention: 0.5,
        ..CALM
    },
    Scenario {
        name: "lookups hang",
        lookups: 200.0,
        lookup_timeout: Duration::from_secs(5),
        ..CALM
    },
];

struct Setting {
    name: &'static str,
    cfg: AdmissionConfig,
    level: bool,
}

fn settings() -> Vec<Setting> {
    let full = AdmissionConfig::full(SLOTS);
    let row = |name, cfg, level| Setting { name, cfg, level };
    let off = |name, change: fn(&mut AdmissionConfig)| {
        let mut cfg = full;
        change(&mut cfg);
        row(name, cfg, false)
    };
    vec![
        row("no control", AdmissionConfig::none(), false),
        row("fixed limit, FIFO", AdmissionConfig::fixed(SLOTS), false),
        row("full", full, false),
        row("full with level", full, true),
        off("full without adaptive limit", |c| c.adaptive_limit = false),
        off("full without sojourn control", |c| {
            c.sojourn_control = false
        }),
        off("full without priority order", |c| c.priority_order = false),
        off("full without preemption", |c| c.preemption = false),
    ]
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Send(u64),
    Served(u64),
    Deadline(u64),
    Tick,
}

#[derive(Default)]
struct Request {
    arrived: Time,
    charge: bool,
    normal: bool,
    sends: u32,
    completed: Option<Time>,
}

struct Call {
    request: u64,
    served_since: Option<Time>,
}

struct Sim {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    scheduled: u64,
    admission: Admission,
    control: Option<LevelControl>,
    requests: Vec<Request>,
    calls: BTreeMap<u64, Call>,
    next_ticket: u64,
    waiting_in_target: VecDeque<u64>,
    busy: u32,
    useful: Duration,
    wasted: Duration,
}

impl Sim {
    fn new(scenario: Scenario, setting: &Setting, seed: u64) -> Sim {
        let control = setting.level.then(|| LevelControl::new(Time::ZERO));
        let mut sim = Sim {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            admission: Admission::with_config(setting.cfg, Time::ZERO),
            control,
            requests: Vec::new(),
            calls: BTreeMap::new(),
            next_ticket: 0,
            waiting_in_target: VecDeque::new(),
            busy: 0,
            useful: Duration::ZERO,
            wasted: Duration::ZERO,
        };
        sim.schedule(Duration::ZERO, Event::Arrive);
        sim.schedule(TICK, Event::Tick);
        sim
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .push(Reverse((self.now.plus(after), self.scheduled, event)));
    }

    fn in_cause(&self) -> bool {
        between(self.now, CAUSE)
    }

    fn servers(&self) -> u32 {
        match self.in_cause() {
            true => self.scenario.servers,
            false => SLOTS,
        }
    }

    /// Returns the factor on the service time of a call that is served now.
    fn slowdown(&self, charge: bool) -> f64 {
        if !self.in_cause() {
            return 1.0;
        }
        let waiting = self.calls_in_target() as f64 / f64::from(self.scenario.servers);
        let own = match charge {
            true => 1.0,
            false => self.scenario.lookups,
        };
        self.scenario.service * own * (1.0 + self.scenario.contention * waiting)
    }

    fn calls_in_target(&self) -> usize {
        self.admission.load().in_flight.saturating_sub(self.busy) as usize
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Send(request) => self.send(request),
                Event::Served(ticket) => self.served(ticket),
                Event::Deadline(ticket) => self.deadline(ticket),
                Event::Tick => self.tick(),
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= END {
            return;
        }
        let demand = match self.in_cause() {
            true => self.scenario.demand,
            false => 1.0,
        };
        let mean_ms = SERVICE_MS / f64::from(SLOTS) / LOAD / demand;
        let gap = exponential(&mut self.rng, mean_ms);
        self.schedule(gap, Event::Arrive);
        let request = Request {
            arrived: self.now,
            charge: self.rng.random_bool(CHARGE_SHARE),
            normal: self.rng.random_bool(0.33),
            ..Request::default()
        };
        self.requests.push(request);
        self.send(self.requests.len() as u64 - 1);
    }

    fn send(&mut self, id: u64) {
        let request = &mut self.requests[id as usize];
        request.sends += 1;
        let (priority, timeout) = match (request.charge, request.normal) {
            (true, _) => (Priority::Critical, CHARGE_TIMEOUT),
            (_, true) => (Priority::Normal, self.scenario.lookup_timeout),
            (_, false) => (Priority::Low, self.scenario.lookup_timeout),
        };
        let cohort = RequestId(u128::from(id)).cohort();
        let idempotent = !request.charge;
        if let Some(control) = &mut self.control
            && !control.arrive(priority, cohort)
        {
            return self.send_again(id);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let call = Call {
            request: id,
            served_since: None,
        };
        self.calls.insert(ticket, call);
        self.schedule(timeout, Event::Deadline(ticket));
        let job = Job {
            ticket: Ticket(ticket),
            priority,
            cohort,
            idempotent,
            deadline: self.now.plus(timeout),
            exclusive: false,
        };
        let mut out = Vec::new();
        self.admission.offer(job, self.now, &mut out);
        self.apply(out);
    }

    /// A caller that was told that its request was not run, or whose lookup failed, sends again.
    fn send_again(&mut self, id: u64) {
        if self.requests[id as usize].sends < SENDS {
            let wait = Duration::from_micros(self.rng.random_range(20_000..60_000));
            self.schedule(wait, Event::Send(id));
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(ticket) => self.start(ticket.0),
                Effect::Drop(ticket, _) => {
                    let call = self.calls.remove(&ticket.0).expect("an offered call");
                    self.send_again(call.request);
                }
                Effect::Preempt(ticket) => self.cancel(ticket.0),
            }
        }
    }

    fn start(&mut self, ticket: u64) {
        self.waiting_in_target.push_back(ticket);
        self.serve();
    }

    fn serve(&mut self) {
        while self.busy < self.servers() {
            let Some(ticket) = self.waiting_in_target.pop_front() else {
                return;
            };
            let Some(request) = self.calls.get(&ticket).map(|c| c.request) else {
                continue;
            };
            let factor = self.slowdown(self.requests[request as usize].charge);
            let call = self.calls.get_mut(&ticket).expect("still there");
            call.served_since = Some(self.now);
            self.busy += 1;
            let time = service_time(&mut self.rng).mul_f64(factor);
            self.schedule(time, Event::Served(ticket));
        }
    }

    fn served(&mut self, ticket: u64) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        self.useful += self.now.since(call.served_since.unwrap_or(self.now));
        self.requests[call.request as usize].completed = Some(self.now);
        self.release(ticket, true, Ending::Ok);
    }

    fn deadline(&mut self, ticket: u64) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let request = call.request;
        let mut out = Vec::new();
        if self.admission.withdraw(Ticket(ticket), self.now, &mut out) {
            self.calls.remove(&ticket);
            self.apply(out);
            return self.send_again(request);
        }
        self.cancel(ticket);
    }

    fn cancel(&mut self, ticket: u64) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        let served = call.served_since.is_some();
        self.wasted += self.now.since(call.served_since.unwrap_or(self.now));
        if !self.requests[call.request as usize].charge {
            self.send_again(call.request);
        }
        self.release(ticket, served, Ending::Cancelled);
    }

    fn release(&mut self, ticket: u64, served: bool, ending: Ending) {
        self.busy -= u32::from(served);
        let mut out = Vec::new();
        self.admission
            .finish(Ticket(ticket), ending, self.now, &mut out);
        self.serve();
        self.apply(out);
    }

    fn tick(&mut self) {
        if self.now < END.plus(Duration::from_secs(5)) {
            self.schedule(TICK, Event::Tick);
        }
        let mut out = Vec::new();
        self.admission.tick(self.now, &mut out);
        if let Some(control) = &mut self.control {
            control.update(self.admission.load(), self.now);
        }
        self.serve();
        self.apply(out);
    }
}

fn exponential<R>(rng: &mut R, mean_ms: f64) -> Duration
where
    R: Rng,
{
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-u.ln() * mean_ms / 1e3)
}

/// The sum of four exponential times, with a coefficient of variation of 0.5.
fn service_time<R>(rng: &mut R) -> Duration
where
    R: Rng,
{
    (0..4).map(|_| exponential(rng, SERVICE_MS / 4.0)).sum()
}

struct Figures {
    goodput: f64,
    charges: f64,
    normal: f64,
    low: f64,
    wasted: f64,
    recovery_s: f64,
    sends: f64,
}

fn success<'a, I>(requests: I) -> f64
where
    I: Iterator<Item = &'a Request>,
{
    let (mut all, mut completed) = (0.0, 0.0);
    for request in requests {
        all += 1.0;
        completed += f64::from(u8::from(request.completed.is_some()));
    }
    match all == 0.0 {
        true => 1.0,
        false => completed / all,
    }
}

fn between(time: Time, span: (Time, Time)) -> bool {
    span.0 <= time && time < span.1
}

/// Time from the end of the cause until a second of arrivals succeeds as well as before it.
fn recovery(requests: &[Request]) -> f64 {
    let before = success(requests.iter().filter(|r| r.arrived < CAUSE.0));
    let from = CAUSE.1.micros() / 1_000;
    let to = END.micros() / 1_000 - 1_000;
    let start = (from..to).step_by(BUCKET_MS as usize).find(|start| {
        let span = (Time::from_millis(*start), Time::from_millis(*start + 1_000));
        success(requests.iter().filter(|r| between(r.arrived, span))) >= before * 0.99
    });
    start.map_or(f64::INFINITY, |start| (start - from) as f64 / 1e3)
}

fn figures(scenario: Scenario, sim: &Sim) -> Figures {
    let requests = &sim.requests;
    let capacity_ms = f64::from(scenario.servers) / (SERVICE_MS * scenario.service);
    let capacity = capacity_ms * CAUSE.1.since(CAUSE.0).as_millis() as f64;
    let during = || requests.iter().filter(|r| between(r.arrived, CAUSE));
    let completed = requests
        .iter()
        .filter(|r| r.completed.is_some_and(|at| between(at, CAUSE)));
    let slot_time = sim.useful + sim.wasted;
    Figures {
        goodput: completed.count() as f64 / capacity,
        charges: success(during().filter(|r| r.charge)),
        normal: success(during().filter(|r| !r.charge && r.normal)),
        low: success(during().filter(|r| !r.charge && !r.normal)),
        wasted: sim.wasted.as_secs_f64() / slot_time.as_secs_f64(),
        recovery_s: recovery(requests),
        sends: during().map(|r| f64::from(r.sends)).sum::<f64>() / during().count() as f64,
    }
}

fn mean(all: &[Figures], value: fn(&Figures) -> f64) -> f64 {
    all.iter().map(value).sum::<f64>() / all.len() as f64
}

fn main() {
    println!(
        "| scenario | setting | goodput % | charges % | normal % | low % | wasted % | recovery s | sends |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS {
        for setting in settings() {
            let run = |seed| {
                let mut sim = Sim::new(scenario, &setting, seed);
                sim.run();
                figures(scenario, &sim)
            };
            let all: Vec<Figures> = (0..SEEDS).map(run).collect();
            println!(
                "| {} | {} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} |",
                scenario.name,
                setting.name,
                mean(&all, |f| f.goodput) * 100.0,
                mean(&all, |f| f.charges) * 100.0,
                mean(&all, |f| f.normal) * 100.0,
                mean(&all, |f| f.low) * 100.0,
                mean(&all, |f| f.wasted) * 100.0,
                mean(&all, |f| f.recovery_s),
                mean(&all, |f| f.sends),
            );
        }
    }
}
