//! Cost of the ingress decisions of one call: `cargo bench --bench gate`.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use dragonflylead::CallContext;
use dragonflylead::Fingerprint;
use dragonflylead::Outcome;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::gate::Arrival;
use dragonflylead::coordination::gate::Gate;
use dragonflylead::coordination::gate::GateConfig;
use dragonflylead::coordination::gate::Source;
use dragonflylead::fingerprint::RequestParts;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use dragonflylead::state::calls::SubCall;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const SLOTS: u32 = 130;
const BODY: &[u8] = &[7; 1_024];

/// Calls of one gate, 20 ms apart, as at 50 calls a second.
struct Run {
    gate: Gate<Vec<u8>>,
    rng: ChaCha12Rng,
    calls: u64,
}

impl Run {
    fn new() -> Run {
        let name = InstanceName::new("payments-1");
        let cfg = GateConfig::full(SLOTS);
        Run {
            gate: Gate::new(&name, Incarnation(1), cfg, Vec::len, Time::ZERO),
            rng: ChaCha12Rng::seed_from_u64(1),
            calls: 0,
        }
    }

    /// Arrival, start and end of one call, with a sub-call on the way.
    fn call(&mut self, idempotent: bool) {
        self.calls += 1;
        let now = Time::from_millis(self.calls * 20);
        let ticket = Ticket(self.calls);
        let mut effects = Vec::new();
        let mut context = context(u128::from(self.calls), idempotent);
        let token = (!idempotent).then(|| self.gate.mint(now, &mut self.rng).unwrap().to_string());
        let mut arrival = Arrival {
            ticket,
            context: &mut context,
            source: Source::Caller {
                caller: 1,
                supplied_id: true,
            },
            token: token.as_deref(),
            fingerprint: Fingerprint([1; 16]),
            whole_body: true,
            ready: true,
        };
        self.gate
            .arrive(&mut arrival, now, &mut self.rng, &mut effects);
        let id = self.gate.begin(ticket, &mut self.rng).unwrap();
        let child = self.gate.lease(id, &sub_call(), now).unwrap();
        self.gate.give_back(&child, child.context.spare);
        let outcome = Outcome::Completed(Some(vec![0; 64]));
        black_box(self.gate.finish(ticket, &outcome, now, &mut effects));
    }
}

fn context(request: u128, idempotent: bool) -> CallContext {
    CallContext {
        request: RequestId(request),
        priority: Priority::High,
        idempotent,
        remaining: Duration::from_secs(2),
        spare: 3,
        depth: 0,
        moved: false,
    }
}

fn sub_call() -> SubCall {
    SubCall {
        idempotent: true,
        timeout: Duration::from_secs(1),
        want: 3,
    }
}

fn gate(c: &mut Criterion) {
    let mut lookups = Run::new();
    c.bench_function("lookup, whole path", |b| b.iter(|| lookups.call(true)));
    let mut charges = Run::new();
    c.bench_function("charge, whole path", |b| b.iter(|| charges.call(false)));
    let parts = RequestParts {
        caller: "",
        service: "payments",
        method: "POST",
        path: "/charge",
        headers: &[("accept", b"*/*"), ("authorization", b"Bearer 0123456789")],
        body: BODY,
    };
    c.bench_function("fingerprint, 1 KiB body", |b| {
        b.iter(|| black_box(&parts).fingerprint())
    });
}

criterion_group!(benches, gate);
criterion_main!(benches);
