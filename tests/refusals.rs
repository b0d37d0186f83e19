//! What a node says that cannot take a call, when the call's token may have run before.

use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::ErrorKind;
use dragonflylead::Fingerprint;
use dragonflylead::NotRunKind;
use dragonflylead::Outcome;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::coordination::active_calls::MAX_ACTIVE_CALLS;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::gate::Arrival;
use dragonflylead::coordination::gate::ArrivalDecision;
use dragonflylead::coordination::gate::Gate;
use dragonflylead::coordination::gate::GateConfig;
use dragonflylead::coordination::gate::Source;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const SLOTS: u32 = 4;
const NOW: Time = Time::from_millis(1_000);

struct World {
    gate: Gate<&'static str>,
    rng: ChaCha12Rng,
    tickets: u64,
}

impl World {
    fn new() -> World {
        let name = InstanceName::new("payments-1");
        let cfg = GateConfig::full(SLOTS);
        World {
            gate: Gate::new(&name, Incarnation(1), cfg, |answer| answer.len(), NOW),
            rng: ChaCha12Rng::seed_from_u64(3),
            tickets: 0,
        }
    }

    fn arrive(
        &mut self,
        token: Option<&str>,
        ready: bool,
    ) -> (Ticket, ArrivalDecision<&'static str>) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let mut context = CallContext {
            request: RequestId(u128::from(self.tickets)),
            priority: Priority::Critical,
            idempotent: token.is_none(),
            remaining: Duration::from_secs(2),
            spare: 3,
            depth: 0,
            moved: false,
        };
        let mut arrival = Arrival {
            ticket,
            context: &mut context,
            source: Source::Caller {
                caller: 1,
                supplied_id: false,
            },
            token,
            fingerprint: Fingerprint([7; 16]),
            whole_body: true,
            ready,
        };
        let arrived = self
            .gate
            .arrive(&mut arrival, NOW, &mut self.rng, &mut Vec::new());
        (ticket, arrived)
    }

    /// Holds as many calls as fit.
    fn fill(&mut self) {
        while self.gate.counts().active_calls < MAX_ACTIVE_CALLS {
            self.arrive(None, true);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Before {
    Nothing,
    Running,
    Completed,
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    NotReady,
    NoRoom,
}

#[derive(Debug, PartialEq)]
enum Told {
    NotRun(NotRunKind),
    SharesTheRun,
    Answer(&'static str),
}

#[test]
fn a_token_that_ran_is_never_told_not_run() {
    struct Case {
        before: Before,
        trouble: Trouble,
        want: Told,
    }
    let case = |before, trouble, want| Case {
        before,
        trouble,
        want,
    };
    let cases = [
        case(
            Before::Nothing,
            Trouble::NotReady,
            Told::NotRun(NotRunKind::NotReady),
        ),
        case(
            Before::Nothing,
            Trouble::NoRoom,
            Told::NotRun(NotRunKind::Overloaded),
        ),
        case(Before::Running, Trouble::NotReady, Told::SharesTheRun),
        case(Before::Running, Trouble::NoRoom, Told::SharesTheRun),
        case(
            Before::Completed,
            Trouble::NotReady,
            Told::Answer("receipt"),
        ),
        case(Before::Completed, Trouble::NoRoom, Told::Answer("receipt")),
    ];
    for case in cases {
        let mut world = World::new();
        let token = world.gate.mint(NOW, &mut world.rng).unwrap().to_string();
        if !matches!(case.before, Before::Nothing) {
            let (ticket, arrived) = world.arrive(Some(&token), true);
            assert_eq!(arrived, ArrivalDecision::Offered);
            world.gate.begin(ticket, &mut world.rng).unwrap();
            if matches!(case.before, Before::Completed) {
                let outcome = Outcome::Completed(Some("receipt"));
                world.gate.finish(ticket, &outcome, NOW, &mut Vec::new());
            }
        }
        if matches!(case.trouble, Trouble::NoRoom) {
            world.fill();
        }
        let ready = !matches!(case.trouble, Trouble::NotReady);
        let told = match world.arrive(Some(&token), ready).1 {
            ArrivalDecision::Refused(refusal) => match refusal.kind {
                ErrorKind::NotRun(kind) => Told::NotRun(kind),
                ErrorKind::Unknown(kind) => panic!("{:?}: unknown {kind}", case.before),
            },
            ArrivalDecision::Joined(_) => Told::SharesTheRun,
            ArrivalDecision::Replayed(answer) => Told::Answer(answer),
            ArrivalDecision::Offered => panic!("{:?}: it runs", case.before),
        };
        assert_eq!(told, case.want, "{:?}, {:?}", case.before, case.trouble);
    }
}

#[test]
fn a_token_refused_while_not_ready_cannot_run_later() {
    let mut world = World::new();
    let token = world.gate.mint(NOW, &mut world.rng).unwrap().to_string();
    let (ticket, arrived) = world.arrive(Some(&token), false);
    let ArrivalDecision::Refused(refusal) = arrived else {
        panic!("{arrived:?}");
    };
    let outcome = Outcome::from_kind(refusal.kind);
    world.gate.finish(ticket, &outcome, NOW, &mut Vec::new());
    let (_, copy) = world.arrive(Some(&token), true);
    assert!(
        matches!(copy, ArrivalDecision::Refused(r) if r.kind == NotRunKind::TokenBurned.into())
    );
}
