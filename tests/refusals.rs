//! Replies of a node that cannot take a call although the call's token may have run before.
//!
//! Such a call must not be reported as not run.

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

/// Gate of one instance, and the number of the last ticket.
struct Fixture {
    gate: Gate<&'static str>,
    rng: ChaCha12Rng,
    last_ticket: u64,
}

impl Fixture {
    fn new() -> Fixture {
        let name = InstanceName::new("payments-1");
        let cfg = GateConfig::full(SLOTS);
        Fixture {
            gate: Gate::new(&name, Incarnation(1), cfg, |response| response.len(), NOW),
            rng: ChaCha12Rng::seed_from_u64(3),
            last_ticket: 0,
        }
    }

    /// Lets a non-idempotent call with `token` arrive, or an idempotent one without.
    fn arrive(
        &mut self,
        token: Option<&str>,
        ready: bool,
    ) -> (Ticket, ArrivalDecision<&'static str>) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let mut context = CallContext {
            request: RequestId(u128::from(self.last_ticket)),
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

    /// Fills the call table to its capacity.
    fn fill_table(&mut self) {
        while self.gate.counts().active_calls < MAX_ACTIVE_CALLS {
            self.arrive(None, true);
        }
    }
}

/// State of an earlier call with the same token.
#[derive(Clone, Copy, Debug)]
enum EarlierCall {
    None,
    Running,
    Completed,
}

/// Why the node cannot take the call.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    NotReady,
    TableFull,
}

/// How the node decides on the call.
#[derive(Debug, PartialEq)]
enum Decision {
    NotRun(NotRunKind),
    JoinsRun,
    ReplaysResponse(&'static str),
}

#[test]
fn a_token_that_ran_is_never_reported_as_not_run() {
    struct Case {
        earlier: EarlierCall,
        obstacle: Obstacle,
        want: Decision,
    }
    let case = |earlier, obstacle, want| Case {
        earlier,
        obstacle,
        want,
    };
    let cases = [
        case(
            EarlierCall::None,
            Obstacle::NotReady,
            Decision::NotRun(NotRunKind::NotReady),
        ),
        case(
            EarlierCall::None,
            Obstacle::TableFull,
            Decision::NotRun(NotRunKind::Overloaded),
        ),
        case(EarlierCall::Running, Obstacle::NotReady, Decision::JoinsRun),
        case(
            EarlierCall::Running,
            Obstacle::TableFull,
            Decision::JoinsRun,
        ),
        case(
            EarlierCall::Completed,
            Obstacle::NotReady,
            Decision::ReplaysResponse("receipt"),
        ),
        case(
            EarlierCall::Completed,
            Obstacle::TableFull,
            Decision::ReplaysResponse("receipt"),
        ),
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        let token = fixture
            .gate
            .mint(NOW, &mut fixture.rng)
            .unwrap()
            .to_string();
        if !matches!(case.earlier, EarlierCall::None) {
            let (ticket, arrived) = fixture.arrive(Some(&token), true);
            assert_eq!(arrived, ArrivalDecision::Offered);
            fixture.gate.begin(ticket, &mut fixture.rng).unwrap();
            if matches!(case.earlier, EarlierCall::Completed) {
                let outcome = Outcome::Completed(Some("receipt"));
                fixture.gate.finish(ticket, &outcome, NOW, &mut Vec::new());
            }
        }
        if matches!(case.obstacle, Obstacle::TableFull) {
            fixture.fill_table();
        }
        let ready = !matches!(case.obstacle, Obstacle::NotReady);
        let decision = match fixture.arrive(Some(&token), ready).1 {
            ArrivalDecision::Refused(refusal) => match refusal.kind {
                ErrorKind::NotRun(kind) => Decision::NotRun(kind),
                ErrorKind::Unknown(kind) => {
                    panic!("{:?}: unexpected unknown outcome {kind}", case.earlier)
                }
            },
            ArrivalDecision::Joined(_) => Decision::JoinsRun,
            ArrivalDecision::Replayed(response) => Decision::ReplaysResponse(response),
            ArrivalDecision::Offered => panic!("{:?}: the call runs", case.earlier),
        };
        assert_eq!(
            decision, case.want,
            "{:?}, {:?}",
            case.earlier, case.obstacle
        );
    }
}

#[test]
fn a_token_refused_while_not_ready_cannot_run_later() {
    let mut fixture = Fixture::new();
    let token = fixture
        .gate
        .mint(NOW, &mut fixture.rng)
        .unwrap()
        .to_string();
    let (ticket, arrived) = fixture.arrive(Some(&token), false);
    let ArrivalDecision::Refused(refusal) = arrived else {
        panic!("{arrived:?}");
    };
    let outcome = Outcome::from_kind(refusal.kind);
    fixture.gate.finish(ticket, &outcome, NOW, &mut Vec::new());
    let (_, copy) = fixture.arrive(Some(&token), true);
    assert!(
        matches!(copy, ArrivalDecision::Refused(r) if r.kind == NotRunKind::TokenBurned.into())
    );
}
