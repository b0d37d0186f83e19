//! One instance, its target and its callers, as a queue of events.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::coordination::admission::AdmissionController;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::RunResult;
use dragonflylead::coordination::admission::TICK_INTERVAL;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::level::LevelController;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::scenario::CAUSE;
use crate::scenario::CHARGE_SHARE;
use crate::scenario::CHARGE_TIMEOUT;
use crate::scenario::END;
use crate::scenario::LOAD;
use crate::scenario::SENDS;
use crate::scenario::SERVICE_MS;
use crate::scenario::SLOTS;
use crate::scenario::Scenario;
use crate::scenario::Setting;
use crate::scenario::between;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive,
    Send(u64),
    Served(u64),
    Deadline(u64),
    Tick,
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) arrived: Time,
    pub(crate) charge: bool,
    pub(crate) normal: bool,
    pub(crate) sends: u32,
    pub(crate) completed: Option<Time>,
}

pub(crate) struct Call {
    pub(crate) request: u64,
    pub(crate) served_since: Option<Time>,
}

pub(crate) struct Sim {
    pub(crate) scenario: Scenario,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Time,
    pub(crate) events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub(crate) scheduled: u64,
    pub(crate) admission: AdmissionController,
    pub(crate) control: Option<LevelController>,
    pub(crate) requests: Vec<Request>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_ticket: u64,
    pub(crate) waiting_in_target: VecDeque<u64>,
    pub(crate) busy: u32,
    pub(crate) useful: Duration,
    pub(crate) wasted: Duration,
}

impl Sim {
    pub(crate) fn new(scenario: Scenario, setting: &Setting, seed: u64) -> Sim {
        let control = setting.level.then(|| LevelController::new(Time::ZERO));
        let mut sim = Sim {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            admission: AdmissionController::with_config(setting.cfg, Time::ZERO),
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
        sim.schedule(TICK_INTERVAL, Event::Tick);
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

    pub(crate) fn run(&mut self) {
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
            && !control.record_arrival(priority, cohort)
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
        self.release(ticket, true, RunResult::Ok);
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
        self.release(ticket, served, RunResult::Cancelled);
    }

    fn release(&mut self, ticket: u64, served: bool, ending: RunResult) {
        self.busy -= u32::from(served);
        let mut out = Vec::new();
        self.admission
            .finish(Ticket(ticket), ending, self.now, &mut out);
        self.serve();
        self.apply(out);
    }

    fn tick(&mut self) {
        if self.now < END.plus(Duration::from_secs(5)) {
            self.schedule(TICK_INTERVAL, Event::Tick);
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

pub(crate) fn exponential<R>(rng: &mut R, mean_ms: f64) -> Duration
where
    R: Rng,
{
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-u.ln() * mean_ms / 1e3)
}

/// The sum of four exponential times, with a coefficient of variation of 0.5.
pub(crate) fn service_time<R>(rng: &mut R) -> Duration
where
    R: Rng,
{
    (0..4).map(|_| exponential(rng, SERVICE_MS / 4.0)).sum()
}
