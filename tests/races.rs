//! Interleavings of threads that race for a token, a lease or a slot, explored with shuttle.

use shuttle::sync::Arc;
use shuttle::sync::Mutex;
use shuttle::thread;

use dragonflylead::CallContext;
use dragonflylead::Fingerprint;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::coordination::admission::AdmissionController;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::RunResult;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::token::Redemption;
use dragonflylead::coordination::token::Token;
use dragonflylead::coordination::token::TokenLimits;
use dragonflylead::coordination::token::Tokens;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use dragonflylead::state::calls::ContextId;
use dragonflylead::state::calls::RunningCalls;
use dragonflylead::state::calls::SubCall;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const NOW: Time = Time::from_millis(1);
const DEADLINE: Time = Time::from_millis(900);
const CHARGE: Fingerprint = Fingerprint([1; 16]);
const ITERATIONS: usize = 2_000;
const SEED: u64 = 5;

type Shared<T> = Arc<Mutex<T>>;

/// Runs `check` under [`ITERATIONS`] random interleavings, which are the same in each run.
fn explore<F>(check: F)
where
    F: Fn() + Send + Sync + 'static,
{
    let scheduler = shuttle::scheduler::RandomScheduler::new_from_seed(SEED, ITERATIONS);
    shuttle::Runner::new(scheduler, shuttle::Config::new()).run(check);
}

fn tokens() -> (Shared<Tokens<u32>>, Token) {
    let mut tokens = Tokens::new(
        &InstanceName::new("payments-1"),
        Incarnation(1),
        TokenLimits::default(),
    );
    let token = tokens
        .mint(NOW, &mut ChaCha12Rng::seed_from_u64(1))
        .unwrap();
    (Arc::new(Mutex::new(tokens)), token)
}

/// Runs three threads, each with a copy of the same charge. Returns which of them ran it.
fn race_copies<F>(run: F) -> Vec<bool>
where
    F: Fn(&Mutex<Tokens<u32>>, &Token, u32) -> bool + Send + Sync + Clone + 'static,
{
    let (tokens, token) = tokens();
    let workers: Vec<_> = (0..3)
        .map(|copy| {
            let tokens = tokens.clone();
            let run = run.clone();
            thread::spawn(move || run(&tokens, &token, copy))
        })
        .collect();
    workers
        .into_iter()
        .map(|worker| worker.join().unwrap())
        .collect()
}

#[test]
fn copies_of_a_charge_run_once() {
    explore(|| {
        let started = race_copies(|tokens, token, copy| {
            let spend = tokens.lock().unwrap().redeem(NOW, token, CHARGE);
            let Redemption::Run = spend else {
                assert!(matches!(
                    spend,
                    Redemption::InProgress | Redemption::Replay(_)
                ));
                return false;
            };
            tokens.lock().unwrap().complete(NOW, token, copy, 4);
            true
        });
        assert_eq!(started.iter().filter(|started| **started).count(), 1);
    });
}

#[test]
fn no_copy_of_a_refused_charge_runs() {
    explore(|| {
        let started = race_copies(|tokens, token, _| {
            let spend = tokens.lock().unwrap().redeem(NOW, token, CHARGE);
            match spend {
                // Admission refuses the first copy after its token was redeemed, which burns the
                // token.
                Redemption::Run => tokens.lock().unwrap().burn(NOW, token),
                Redemption::InProgress => {}
                ref other => {
                    assert_eq!(*other, Redemption::Refused(NotRunKind::TokenBurned.into()))
                }
            }
            spend == Redemption::Run
        });
        assert_eq!(started.iter().filter(|started| **started).count(), 1);
    });
}

fn running_call(spare: u32) -> (Shared<RunningCalls>, ContextId) {
    let context = CallContext {
        request: RequestId(1),
        priority: Priority::Normal,
        idempotent: true,
        remaining: DEADLINE.since(NOW),
        spare,
        depth: 0,
        moved: false,
    };
    let mut calls = RunningCalls::new();
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let id = calls.begin(context, DEADLINE, &mut rng).unwrap();
    (Arc::new(Mutex::new(calls)), id)
}

/// Opens a lease for a sub-call that uses at most one attempt, and returns the rest or forfeits
/// them if the response is `lost`. Returns the number of used attempts.
fn sub_call(calls: &Mutex<RunningCalls>, id: ContextId, lost: bool) -> u32 {
    let rule = SubCall {
        idempotent: true,
        timeout: DEADLINE.since(NOW),
        want: 2,
    };
    let Ok(lease) = calls.lock().unwrap().lease(NOW, id, &rule) else {
        return 0;
    };
    let granted = lease.context.spare;
    let used = granted.min(1);
    let mut calls = calls.lock().unwrap();
    match lost {
        true => calls.forfeit(lease.id),
        false => calls.return_unused(lease.id, granted - used),
    }
    used
}

#[test]
fn racing_sub_calls_stay_within_the_budget() {
    const SPARE: u32 = 3;
    explore(|| {
        let (calls, id) = running_call(SPARE);
        let workers: Vec<_> = [false, true, false, true]
            .into_iter()
            .map(|lost| {
                let calls = calls.clone();
                thread::spawn(move || sub_call(&calls, id, lost))
            })
            .collect();
        let used: u32 = workers
            .into_iter()
            .map(|worker| worker.join().unwrap())
            .sum();
        let counted = calls.lock().unwrap().end(NOW, id).unwrap().used_attempts;
        assert!(
            used <= counted && counted <= SPARE,
            "used {used}, counted {counted}"
        );
    });
}

#[test]
fn ending_a_call_closes_its_sub_calls() {
    explore(|| {
        let (calls, id) = running_call(2);
        let shared = calls.clone();
        let worker = thread::spawn(move || sub_call(&shared, id, false));
        let ended = calls.lock().unwrap().end(NOW, id).unwrap();
        let used = worker.join().unwrap();
        let calls = calls.lock().unwrap();
        assert!(
            used <= ended.used_attempts,
            "used {used}, counted {}",
            ended.used_attempts
        );
        assert_eq!(calls.context(NOW, id), Err(NotRunKind::ParentEnded));
        assert_eq!(calls.sub_calls_of(RequestId(1)), []);
    });
}

fn job(ticket: u64) -> Job {
    Job {
        ticket: Ticket(ticket),
        priority: Priority::Normal,
        cohort: RequestId(u128::from(ticket)).cohort(),
        idempotent: true,
        deadline: DEADLINE,
        exclusive: false,
    }
}

/// Offers a call to admission, then withdraws it if it is still queued and finishes it otherwise.
/// Returns whether it was withdrawn.
fn offer_and_finish(
    admission: &Mutex<AdmissionController>,
    effects_seen: &Mutex<Vec<Effect>>,
    ticket: u64,
) -> bool {
    let mut effects = Vec::new();
    {
        let mut admission = admission.lock().unwrap();
        admission.offer(job(ticket), NOW, &mut effects);
        assert!(admission.load().in_flight <= 1);
    }
    effects_seen.lock().unwrap().extend(effects);
    let mut effects = Vec::new();
    let mut admission = admission.lock().unwrap();
    let withdrawn = admission.withdraw(Ticket(ticket), NOW, &mut effects);
    if !withdrawn {
        admission.finish(Ticket(ticket), RunResult::Ok, NOW, &mut effects);
    }
    drop(admission);
    effects_seen.lock().unwrap().extend(effects);
    withdrawn
}

#[test]
fn one_slot_runs_one_call_at_a_time() {
    explore(|| {
        let admission = Arc::new(Mutex::new(AdmissionController::new(1, NOW)));
        let effects_seen = Arc::new(Mutex::new(Vec::new()));
        let workers: Vec<_> = (0..4)
            .map(|ticket| {
                let (admission, effects_seen) = (admission.clone(), effects_seen.clone());
                thread::spawn(move || offer_and_finish(&admission, &effects_seen, ticket))
            })
            .collect();
        let withdrawn: Vec<bool> = workers.into_iter().map(|w| w.join().unwrap()).collect();
        let load = admission.lock().unwrap().load();
        assert_eq!((load.in_flight, load.queued), (0, 0));
        let effects_seen = effects_seen.lock().unwrap();
        for (ticket, withdrawn) in withdrawn.into_iter().enumerate() {
            let start = Effect::Start(Ticket(ticket as u64));
            let starts = effects_seen
                .iter()
                .filter(|effect| **effect == start)
                .count();
            assert_eq!(starts, usize::from(!withdrawn), "call {ticket}");
        }
    });
}
