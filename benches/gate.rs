//! Time of the ingress decisions for one call: `cargo bench --bench gate`.

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

/// Slots of the instance.
const SLOTS: u32 = 130;
/// Request body of the fingerprint bench.
const BODY: &[u8] = &[7; 1_024];

/// A gate and the calls made to it so far. Calls are 20 ms apart: 50 calls per second.
struct GateCalls {
    gate: Gate<Vec<u8>>,
    rng: ChaCha12Rng,
    calls: u64,
}

impl GateCalls {
    fn new() -> GateCalls {
        let name = InstanceName::new("payments-1");
        let cfg = GateConfig::full(SLOTS);
        GateCalls {
            gate: Gate::new(&name, Incarnation(1), cfg, Vec::len, Time::ZERO),
            rng: ChaCha12Rng::seed_from_u64(1),
            calls: 0,
        }
    }

    /// Runs one call from arrival to end, with a lease for one sub-call that is not used.
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
        let lease = self.gate.lease(id, &sub_call(), now).unwrap();
        self.gate.return_unused(&lease, lease.context.spare);
        let outcome = Outcome::Completed(Some(vec![0; 64]));
        black_box(self.gate.finish(ticket, &outcome, now, &mut effects));
    }
}

/// Returns the context of a call of high priority with three spare attempts.
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

/// Returns an idempotent sub-call that asks for three spare attempts.
fn sub_call() -> SubCall {
    SubCall {
        idempotent: true,
        timeout: Duration::from_secs(1),
        want: 3,
    }
}

fn gate(c: &mut Criterion) {
    let mut lookups = GateCalls::new();
    c.bench_function("lookup, whole path", |b| b.iter(|| lookups.call(true)));
    let mut charges = GateCalls::new();
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
