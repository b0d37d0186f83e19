//! Egress of one node of a trace: the calls that it sends and their attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use dragonflylead::ErrorKind;
use dragonflylead::Outcome;
use dragonflylead::Time;
use dragonflylead::coordination::dispatch::Attempt;
use dragonflylead::coordination::dispatch::AttemptReport;
use dragonflylead::coordination::dispatch::Call;
use dragonflylead::coordination::dispatch::DispatchConfig;
use dragonflylead::coordination::dispatch::Dispatcher;
use dragonflylead::coordination::dispatch::Plan;
use dragonflylead::coordination::dispatch::Step;
use dragonflylead::coordination::routing::LocalNode;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;
use dragonflylead::instance::ServiceName;
use rand_chacha::ChaCha12Rng;

use crate::event::EndedEvent;
use crate::event::Event;
use crate::event::SendEvent;
use crate::node::build_context;
use crate::node::kind_text;
use crate::node::parse_outcome;

/// Timeout of every call that is sent, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// A call and the attempts sent so far.
struct SentCall {
    plan: Plan,
    attempts: Vec<Attempt>,
}

/// Dispatcher of a node and the calls that it has sent.
pub(crate) struct Egress {
    dispatcher: Dispatcher,
    /// Sent calls by name.
    sent: BTreeMap<String, SentCall>,
}

impl Egress {
    /// Creates the egress of the instance `name`.
    pub(crate) fn new(name: &InstanceName, now: Time) -> Egress {
        let local = LocalNode {
            instance: name.clone(),
            domain: "d1".into(),
            region: "r1".into(),
        };
        Egress {
            dispatcher: Dispatcher::new(local, DispatchConfig::default(), now),
            sent: BTreeMap::new(),
        }
    }

    /// Applies an event and returns the resulting decisions.
    pub(crate) fn apply(&mut self, rng: &mut ChaCha12Rng, now: Time, event: &Event) -> Vec<String> {
        match event {
            Event::List { instances } => {
                let list: Vec<Instance> = instances.iter().map(|name| instance(name)).collect();
                self.dispatcher.sync(&list, now);
                vec![]
            }
            Event::Send(send) => self.send(rng, now, send),
            Event::Ended(ended) => self.end_attempt(rng, now, ended),
            Event::Step { call } => self.step(rng, now, call),
            Event::Abandon { call } => self.cancel_attempts(now, call),
            other => panic!("the egress cannot apply event {other:?}"),
        }
    }

    /// Starts a call and decides its first steps.
    fn send(&mut self, rng: &mut ChaCha12Rng, now: Time, send: &SendEvent) -> Vec<String> {
        let context = build_context(&send.kind, &send.call, TIMEOUT_MS, send.spare);
        let call = Call {
            service: &ServiceName::new("sanidad"),
            context: &context,
            request_bytes: 0,
            cross_region: false,
            excluded: None,
        };
        let sent = SentCall {
            plan: self.dispatcher.begin(&call, now),
            attempts: Vec::new(),
        };
        self.sent.insert(send.call.clone(), sent);
        self.step(rng, now, &send.call)
    }

    /// Decides steps until the call must wait or has failed.
    fn step(&mut self, rng: &mut ChaCha12Rng, now: Time, call: &str) -> Vec<String> {
        let sent = self.sent.get_mut(call).unwrap();
        let mut decisions = Vec::new();
        loop {
            match self.dispatcher.step(&mut sent.plan, now, rng) {
                Step::Send(attempt) => {
                    decisions.push(describe_attempt(&attempt, &sent.attempts));
                    sent.attempts.push(*attempt);
                }
                Step::Wait(None) => decisions.push("waits".to_owned()),
                Step::Wait(Some(until)) => {
                    decisions.push(format!("waits until {}", until.micros() / 1_000));
                }
                Step::Fail(kind) => decisions.push(format!("fails {}", kind_text(kind))),
            }
            if !decisions.last().unwrap().starts_with("sends") {
                return decisions;
            }
        }
    }

    /// Records the end of an attempt and decides the next step after a failure.
    fn end_attempt(&mut self, rng: &mut ChaCha12Rng, now: Time, ended: &EndedEvent) -> Vec<String> {
        let sent = self.sent.get_mut(&ended.call).unwrap();
        let result = match parse_outcome(&ended.outcome) {
            Outcome::Completed(_) => Ok(200),
            Outcome::NotRun(kind) => Err(ErrorKind::NotRun(kind)),
            Outcome::Unknown(kind) => Err(ErrorKind::Unknown(kind)),
        };
        let report = AttemptReport {
            result,
            used_attempts: ended.spent,
            level: None,
            took: Duration::from_millis(ended.took),
            bytes: 100,
        };
        let attempt = sent.attempts[ended.attempt as usize].clone();
        self.dispatcher
            .record_attempt_end(&mut sent.plan, &attempt, &report, now);
        match result {
            Ok(_) => vec![format!("answers, used {}", sent.plan.used_attempts())],
            Err(_) => self.step(rng, now, &ended.call),
        }
    }

    /// Cancels the attempts of a call that are still in progress.
    fn cancel_attempts(&mut self, now: Time, call: &str) -> Vec<String> {
        let sent = self.sent.get_mut(call).unwrap();
        let cancelled = self.dispatcher.cancel_attempts(&mut sent.plan, now);
        cancelled
            .iter()
            .map(|i| format!("withdraws # {}", i.name))
            .collect()
    }
}

/// Describes the decision to send an attempt. The part behind ` # ` is compared between two replays
/// but not with the decisions that a trace expects.
fn describe_attempt(attempt: &Attempt, earlier: &[Attempt]) -> String {
    let (number, to) = (attempt.number, &attempt.instance().name);
    let spare = attempt.context.spare;
    let tried = earlier.iter().any(|other| other.instance().name == *to);
    let instance_kind = if tried { "a tried" } else { "a fresh" };
    format!("sends {number} to {instance_kind} instance, spare {spare} # {to}")
}

/// Returns a live instance of the service.
fn instance(name: &str) -> Instance {
    Instance {
        name: InstanceName::new(name),
        service: "sanidad".into(),
        domain: "d1".into(),
        region: "r1".into(),
        ingress: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        state: InstanceState::Live,
    }
}
