//! Discrete-event simulation of one instance, its target and its callers.

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

use crate::scenario::AdmissionVariant;
use crate::scenario::CHARGE_SHARE;
use crate::scenario::CHARGE_TIMEOUT;
use crate::scenario::END;
use crate::scenario::FAULT;
use crate::scenario::MAX_SENDS;
use crate::scenario::SERVICE_MS;
use crate::scenario::SLOTS;
use crate::scenario::Scenario;
use crate::scenario::UTILIZATION;
use crate::scenario::is_within;

/// A scheduled event. `Send` carries the index of a request, the others the ticket of a call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A new request arrives.
    Arrive,
    /// A caller sends a request again.
    Send(u64),
    /// The target has served a call.
    Served(u64),
    /// The deadline of a call expires.
    Deadline(u64),
    /// The periodic tick of admission.
    Tick,
}

/// A user request.
#[derive(Default)]
pub(crate) struct Request {
    /// Time of the first send.
    pub(crate) arrived: Time,
    /// Whether it is a charge: non-idempotent and critical.
    pub(crate) is_charge: bool,
    /// Whether a lookup has normal priority, else low.
    pub(crate) is_normal: bool,
    /// Number of sends so far.
    pub(crate) sends: u32,
    /// Time of completion.
    pub(crate) completed: Option<Time>,
}

/// One send of a request that was offered to admission.
pub(crate) struct Call {
    /// Index of the request.
    pub(crate) request: u64,
    /// Time at which a server of the target began to serve it.
    pub(crate) served_since: Option<Time>,
}

/// State of the simulation.
pub(crate) struct Sim {
    pub(crate) scenario: Scenario,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Time,
    pub(crate) events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of events scheduled so far, which orders events of the same time.
    pub(crate) scheduled: u64,
    pub(crate) admission: AdmissionController,
    pub(crate) level: Option<LevelController>,
    pub(crate) requests: Vec<Request>,
    /// Calls that are queued or running, by ticket.
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_ticket: u64,
    /// Tickets of calls that were started and wait for a server of the target, oldest first.
    pub(crate) target_queue: VecDeque<u64>,
    /// Servers of the target in use.
    pub(crate) busy_servers: u32,
    /// Service time of completed calls.
    pub(crate) useful: Duration,
    /// Service time of cancelled calls.
    pub(crate) wasted: Duration,
}

impl Sim {
    /// Returns a simulation with the first arrival and the first tick scheduled.
    pub(crate) fn new(scenario: Scenario, variant: &AdmissionVariant, seed: u64) -> Sim {
        let level = variant.level.then(|| LevelController::new(Time::ZERO));
        let mut sim = Sim {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            admission: AdmissionController::with_config(variant.cfg, Time::ZERO),
            level,
            requests: Vec::new(),
            calls: BTreeMap::new(),
            next_ticket: 0,
            target_queue: VecDeque::new(),
            busy_servers: 0,
            useful: Duration::ZERO,
            wasted: Duration::ZERO,
        };
        sim.schedule(Duration::ZERO, Event::Arrive);
        sim.schedule(TICK_INTERVAL, Event::Tick);
        sim
    }

    /// Schedules an event at a delay from now.
    fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .push(Reverse((self.now.plus(delay), self.scheduled, event)));
    }

    /// Returns whether the fault is in force now.
    fn in_fault(&self) -> bool {
        is_within(self.now, FAULT)
    }

    /// Returns the number of calls that the target serves concurrently now.
    fn servers(&self) -> u32 {
        match self.in_fault() {
            true => self.scenario.servers,
            false => SLOTS,
        }
    }

    /// Returns the factor on the service time of a call whose service begins now.
    fn service_time_factor(&self, is_charge: bool) -> f64 {
        if !self.in_fault() {
            return 1.0;
        }
        let queued = self.queued_in_target() as f64 / f64::from(self.scenario.servers);
        let kind_factor = match is_charge {
            true => 1.0,
            false => self.scenario.lookup_time_factor,
        };
        self.scenario.service_time_factor * kind_factor * (1.0 + self.scenario.contention * queued)
    }

    /// Returns the number of started calls that wait for a server of the target.
    fn queued_in_target(&self) -> usize {
        self.admission
            .load()
            .in_flight
            .saturating_sub(self.busy_servers) as usize
    }

    /// Processes events until none is left.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Send(request) => self.send(request),
                Event::Served(ticket) => self.complete(ticket),
                Event::Deadline(ticket) => self.expire(ticket),
                Event::Tick => self.tick(),
            }
        }
    }

    /// Schedules the next arrival, and creates and sends a new request.
    fn arrive(&mut self) {
        if self.now >= END {
            return;
        }
        let demand = match self.in_fault() {
            true => self.scenario.demand_factor,
            false => 1.0,
        };
        let mean_ms = SERVICE_MS / f64::from(SLOTS) / UTILIZATION / demand;
        let interarrival = exponential(&mut self.rng, mean_ms);
        self.schedule(interarrival, Event::Arrive);
        let request = Request {
            arrived: self.now,
            is_charge: self.rng.random_bool(CHARGE_SHARE),
            is_normal: self.rng.random_bool(0.33),
            ..Request::default()
        };
        self.requests.push(request);
        self.send(self.requests.len() as u64 - 1);
    }

    /// Sends a request: checks the admission level, then offers a call to admission.
    fn send(&mut self, id: u64) {
        let request = &mut self.requests[id as usize];
        request.sends += 1;
        let (priority, timeout) = match (request.is_charge, request.is_normal) {
            (true, _) => (Priority::Critical, CHARGE_TIMEOUT),
            (_, true) => (Priority::Normal, self.scenario.lookup_timeout),
            (_, false) => (Priority::Low, self.scenario.lookup_timeout),
        };
        let cohort = RequestId(u128::from(id)).cohort();
        let idempotent = !request.is_charge;
        if let Some(level) = &mut self.level
            && !level.record_arrival(priority, cohort)
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
        let mut effects = Vec::new();
        self.admission.offer(job, self.now, &mut effects);
        self.apply(effects);
    }

    /// Schedules another send of a request that was not run, or of a lookup that failed, up to
    /// [`MAX_SENDS`].
    fn send_again(&mut self, id: u64) {
        if self.requests[id as usize].sends < MAX_SENDS {
            let delay = Duration::from_micros(self.rng.random_range(20_000..60_000));
            self.schedule(delay, Event::Send(id));
        }
    }

    /// Carries out the effects of admission.
    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(ticket) => self.start(ticket.0),
                Effect::Drop(ticket, _) => {
                    let call = self
                        .calls
                        .remove(&ticket.0)
                        .expect("admission drops only offered calls");
                    self.send_again(call.request);
                }
                Effect::Preempt(ticket) => self.cancel(ticket.0),
            }
        }
    }

    /// Hands a call to the target.
    fn start(&mut self, ticket: u64) {
        self.target_queue.push_back(ticket);
        self.serve();
    }

    /// Starts to serve queued calls while servers are free. Cancelled calls are skipped.
    fn serve(&mut self) {
        while self.busy_servers < self.servers() {
            let Some(ticket) = self.target_queue.pop_front() else {
                return;
            };
            let Some(request) = self.calls.get(&ticket).map(|c| c.request) else {
                continue;
            };
            let factor = self.service_time_factor(self.requests[request as usize].is_charge);
            let call = self.calls.get_mut(&ticket).expect("looked up above");
            call.served_since = Some(self.now);
            self.busy_servers += 1;
            let time = service_time(&mut self.rng).mul_f64(factor);
            self.schedule(time, Event::Served(ticket));
        }
    }

    /// Completes a call that the target has served, unless it was cancelled.
    fn complete(&mut self, ticket: u64) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        self.useful += self.now.since(call.served_since.unwrap_or(self.now));
        self.requests[call.request as usize].completed = Some(self.now);
        self.release(ticket, true, RunResult::Ok);
    }

    /// Ends a call at its deadline: withdraws it if it is queued, cancels it if it runs.
    fn expire(&mut self, ticket: u64) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let request = call.request;
        let mut effects = Vec::new();
        if self
            .admission
            .withdraw(Ticket(ticket), self.now, &mut effects)
        {
            self.calls.remove(&ticket);
            self.apply(effects);
            return self.send_again(request);
        }
        self.cancel(ticket);
    }

    /// Cancels a running call. Only a lookup is sent again: a charge may have run.
    fn cancel(&mut self, ticket: u64) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        let served = call.served_since.is_some();
        self.wasted += self.now.since(call.served_since.unwrap_or(self.now));
        if !self.requests[call.request as usize].is_charge {
            self.send_again(call.request);
        }
        self.release(ticket, served, RunResult::Cancelled);
    }

    /// Frees the slot of a call, and its server if it had one.
    fn release(&mut self, ticket: u64, served: bool, result: RunResult) {
        self.busy_servers -= u32::from(served);
        let mut effects = Vec::new();
        self.admission
            .finish(Ticket(ticket), result, self.now, &mut effects);
        self.serve();
        self.apply(effects);
    }

    /// Runs the periodic work of admission and of the level, until 5 s after [`END`].
    fn tick(&mut self) {
        if self.now < END.plus(Duration::from_secs(5)) {
            self.schedule(TICK_INTERVAL, Event::Tick);
        }
        let mut effects = Vec::new();
        self.admission.tick(self.now, &mut effects);
        if let Some(level) = &mut self.level {
            level.update(self.admission.load(), self.now);
        }
        self.serve();
        self.apply(effects);
    }
}

/// Draws an exponentially distributed time.
pub(crate) fn exponential<R>(rng: &mut R, mean_ms: f64) -> Duration
where
    R: Rng,
{
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-u.ln() * mean_ms / 1e3)
}

/// Draws a service time: the sum of four exponential times (Erlang-4), with a coefficient of
/// variation of 0.5.
pub(crate) fn service_time<R>(rng: &mut R) -> Duration
where
    R: Rng,
{
    (0..4).map(|_| exponential(rng, SERVICE_MS / 4.0)).sum()
}
