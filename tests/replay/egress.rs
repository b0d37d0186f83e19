//! The egress of a node in a trace.

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
use crate::node::context;
use crate::node::kind_text;
use crate::node::outcome_of;

const WAITS_MS: u64 = 2_000;

struct Sent {
    plan: Plan,
    attempts: Vec<Attempt>,
}

/// Calls that a node sends.
pub(crate) struct Egress {
    dispatcher: Dispatcher,
    sent: BTreeMap<String, Sent>,
}

impl Egress {
    /// Builds the egress of an instance.
    pub(crate) fn new(name: &InstanceName, now: Time) -> Egress {
        let home = LocalNode {
            instance: name.clone(),
            domain: "d1".into(),
            region: "r1".into(),
        };
        Egress {
            dispatcher: Dispatcher::new(home, DispatchConfig::default(), now),
            sent: BTreeMap::new(),
        }
    }

    /// Lets an event happen, and returns the decisions.
    pub(crate) fn play(&mut self, rng: &mut ChaCha12Rng, now: Time, event: &Event) -> Vec<String> {
        match event {
            Event::List { instances } => {
                let list: Vec<Instance> = instances.iter().map(|name| instance(name)).collect();
                self.dispatcher.sync(&list, now);
                vec![]
            }
            Event::Send(send) => self.send(rng, now, send),
            Event::Ended(ended) => self.ended(rng, now, ended),
            Event::Step { call } => self.step(rng, now, call),
            Event::Abandon { call } => self.abandon(now, call),
            other => panic!("unexpected event {other:?}"),
        }
    }

    fn send(&mut self, rng: &mut ChaCha12Rng, now: Time, send: &SendEvent) -> Vec<String> {
        let context = context(&send.kind, &send.call, WAITS_MS, send.spare);
        let call = Call {
            service: &ServiceName::new("sanidad"),
            context: &context,
            cross_region: false,
            excluded: None,
        };
        let sent = Sent {
            plan: self.dispatcher.begin(&call, now),
            attempts: Vec::new(),
        };
        self.sent.insert(send.call.clone(), sent);
        self.step(rng, now, &send.call)
    }

    /// Decides steps until there is something to wait for.
    fn step(&mut self, rng: &mut ChaCha12Rng, now: Time, call: &str) -> Vec<String> {
        let sent = self.sent.get_mut(call).unwrap();
        let mut said = Vec::new();
        loop {
            match self.dispatcher.step(&mut sent.plan, now, rng) {
                Step::Send(attempt) => {
                    said.push(sends(&attempt, &sent.attempts));
                    sent.attempts.push(*attempt);
                }
                Step::Wait(None) => said.push("waits".to_owned()),
                Step::Wait(Some(until)) => {
                    said.push(format!("waits until {}", until.micros() / 1_000));
                }
                Step::Fail(kind) => said.push(format!("fails {}", kind_text(kind))),
            }
            if !said.last().unwrap().starts_with("sends") {
                return said;
            }
        }
    }

    fn ended(&mut self, rng: &mut ChaCha12Rng, now: Time, ended: &EndedEvent) -> Vec<String> {
        let sent = self.sent.get_mut(&ended.call).unwrap();
        let result = match outcome_of(&ended.outcome) {
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

    fn abandon(&mut self, now: Time, call: &str) -> Vec<String> {
        let sent = self.sent.get_mut(call).unwrap();
        let told = self.dispatcher.cancel_attempts(&mut sent.plan, now);
        told.iter()
            .map(|i| format!("withdraws # {}", i.name))
            .collect()
    }
}

/// What is behind `#` is compared between two replays, but not with what a trace states.
fn sends(attempt: &Attempt, before: &[Attempt]) -> String {
    let (number, to) = (attempt.number, &attempt.instance().name);
    let spare = attempt.context.spare;
    let tried = before.iter().any(|other| other.instance().name == *to);
    let place = if tried { "a tried" } else { "a fresh" };
    format!("sends {number} to {place} instance, spare {spare} # {to}")
}

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
