//! One node of a trace: its gate, its configuration and its egress.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::ErrorKind;
use dragonflylead::Outcome;
use dragonflylead::Policy;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::attempts::AttemptId;
use dragonflylead::coordination::config::ConfigState;
use dragonflylead::coordination::config::OfferOutcome;
use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::gate::Arrival;
use dragonflylead::coordination::gate::ArrivalDecision;
use dragonflylead::coordination::gate::ChildCall;
use dragonflylead::coordination::gate::Gate;
use dragonflylead::coordination::gate::GateConfig;
use dragonflylead::coordination::gate::Source;
use dragonflylead::coordination::poison::CrashReport;
use dragonflylead::fingerprint::RequestParts;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use dragonflylead::state::calls::ContextId;
use dragonflylead::state::calls::SubCall;
use dragonflylead::timer::Tick;
use rand_chacha::ChaCha12Rng;

use crate::egress::Egress;
use crate::event::ArriveEvent;
use crate::event::Event;

const SLOTS: u32 = 2;

/// What the nodes of a trace share.
pub(crate) struct World {
    /// Source of randomness.
    pub(crate) rng: ChaCha12Rng,
    /// Tokens by name.
    pub(crate) tokens: BTreeMap<String, String>,
    /// Reports of the crashes of each instance.
    pub(crate) reports: BTreeMap<String, Vec<CrashReport>>,
    /// Runs that targets started, by request.
    pub(crate) runs: BTreeMap<String, u32>,
    /// Configuration of each node.
    pub(crate) configs: BTreeMap<String, (u64, String)>,
    /// Tickets given out.
    pub(crate) tickets: u64,
}

#[derive(Clone)]
struct Known {
    ticket: Ticket,
    request: String,
    context: Option<ContextId>,
}

/// A node.
pub(crate) struct Node {
    name: InstanceName,
    incarnation: u64,
    gate: Gate<String>,
    config: ConfigState,
    calls: BTreeMap<String, Known>,
    children: BTreeMap<String, ChildCall>,
    egress: Egress,
}

impl Node {
    /// Starts a node.
    pub(crate) fn new(name: &str, incarnation: u64, now: Time) -> Node {
        let name = InstanceName::new(name);
        let cfg = GateConfig::full(SLOTS);
        Node {
            gate: Gate::new(&name, Incarnation(incarnation), cfg, String::len, now),
            config: ConfigState::new(BTreeSet::new()),
            calls: BTreeMap::new(),
            children: BTreeMap::new(),
            egress: Egress::new(&name, now),
            incarnation,
            name,
        }
    }

    /// Lets an event happen, and returns the decisions.
    pub(crate) fn play(&mut self, world: &mut World, now: Time, event: &Event) -> Vec<String> {
        let mut effects = Vec::new();
        let mut said = self.decide(world, now, event, &mut effects);
        said.extend(self.carry_out(world, now, effects));
        said
    }

    fn decide(
        &mut self,
        world: &mut World,
        now: Time,
        event: &Event,
        effects: &mut Vec<Effect>,
    ) -> Vec<String> {
        match event {
            Event::Arrive(arrive) => vec![self.arrive(world, now, arrive, effects)],
            Event::Finish { call, outcome } => self.finish(now, call, outcome, effects),
            Event::GiveUp { call } => self.give_up(now, call, effects),
            Event::Cancel { request } => self.cancel(now, request, effects),
            Event::SubCall { parent, call, want } => vec![self.sub_call(now, parent, call, *want)],
            Event::SubAnswer { call, unused } => {
                self.gate.return_unused(&self.children[call], *unused);
                vec![]
            }
            Event::Tick { late } => self.tick(now, *late, effects),
            Event::Drain => {
                self.gate.drain();
                vec![]
            }
            Event::Restart => {
                *self = Node::new(self.name.as_str(), self.incarnation + 1, now);
                vec![]
            }
            Event::Crash => {
                let reports = self.gate.record_target_crash(now, &mut world.rng);
                let said = vec![format!("suspects {}", reports.len())];
                let told = world.reports.entry(self.name.to_string()).or_default();
                told.extend(reports);
                said
            }
            Event::Report { of } => {
                let reports = &world.reports[of];
                reports
                    .iter()
                    .for_each(|report| self.gate.merge_crash_report(now, report));
                vec![format!("quarantined {}", self.gate.quarantined().len())]
            }
            _ => self.decide_views(world, now, event),
        }
    }

    fn decide_views(&mut self, world: &mut World, now: Time, event: &Event) -> Vec<String> {
        match event {
            Event::Used { peer } => {
                let peer = InstanceName::new(peer);
                self.gate.with_pause(|pause| pause.record_use(now, &peer));
                vec![]
            }
            Event::Exchanged { peer, began } => {
                let peer = InstanceName::new(peer);
                let began = Time::from_millis(*began);
                self.gate
                    .with_pause(|pause| pause.record_exchange(now, &peer, began));
                vec![self.awaited()]
            }
            Event::MaySend { peer } => {
                let peer = InstanceName::new(peer);
                let may = self.gate.with_pause(|pause| pause.may_send(&peer));
                vec![if may { "may send" } else { "must not send" }.to_owned()]
            }
            Event::Publish { revision, text } => vec![self.publish(world, *revision, text)],
            Event::AskConfig { peer } => match world.configs.get(peer).cloned() {
                Some((revision, text)) => vec![self.publish(world, revision, &text)],
                None => vec!["nothing to learn".to_owned()],
            },
            other => self.egress.play(&mut world.rng, now, other),
        }
    }

    fn arrive(
        &mut self,
        world: &mut World,
        now: Time,
        event: &ArriveEvent,
        effects: &mut Vec<Effect>,
    ) -> String {
        world.tickets += 1;
        let ticket = Ticket(world.tickets);
        let request = event.request.as_ref().unwrap_or(&event.call).clone();
        let parts = RequestParts {
            caller: "",
            service: "",
            method: &event.kind,
            path: "/",
            headers: &[],
            body: event.body.as_ref().unwrap_or(&request).as_bytes(),
        };
        let source = match &event.attempt {
            None => Source::Caller {
                caller: 0,
                supplied_id: true,
            },
            Some((from, number)) => Source::Node(AttemptId {
                from: InstanceName::new(from),
                incarnation: Incarnation(1),
                number: *number,
            }),
        };
        let mut context = context(&event.kind, &request, event.remaining, event.spare);
        let mut arrival = Arrival {
            ticket,
            context: &mut context,
            source,
            token: event.token.as_ref().map(|name| world.tokens[name].as_str()),
            fingerprint: parts.fingerprint(),
            whole_body: true,
            ready: true,
        };
        let arrived = self.gate.arrive(&mut arrival, now, &mut world.rng, effects);
        let known = Known {
            ticket,
            request,
            context: None,
        };
        self.calls.insert(event.call.clone(), known);
        match arrived {
            ArrivalDecision::Offered => format!("offers {} spare {}", event.call, context.spare),
            ArrivalDecision::Joined(leader) => format!("joins {}", self.name_of(leader)),
            ArrivalDecision::Replayed(answer) => format!("replays {answer}"),
            ArrivalDecision::Refused(refusal) => {
                let token = refusal.token.map(|token| {
                    let name = event.offer.clone().unwrap_or_default();
                    world.tokens.insert(name, token);
                });
                let offer = token.map_or("", |()| " with a token");
                format!("refuses {}{offer}", kind_text(refusal.kind))
            }
        }
    }

    fn finish(
        &mut self,
        now: Time,
        call: &str,
        outcome: &str,
        effects: &mut Vec<Effect>,
    ) -> Vec<String> {
        let ticket = self.calls[call].ticket;
        let outcome = outcome_of(outcome);
        let finished = self.gate.finish(ticket, &outcome, now, effects);
        let sharing = finished.followers.iter();
        let mut said = vec![format!("spent {}", finished.used_attempts)];
        for other in sharing {
            said.push(format!("shares with {}", self.name_of(*other)));
            self.gate.finish(*other, &outcome, now, effects);
        }
        said
    }

    fn give_up(&mut self, now: Time, call: &str, effects: &mut Vec<Effect>) -> Vec<String> {
        let ticket = self.calls[call].ticket;
        let queued = dragonflylead::NotRunKind::DeadlineInQueue;
        let kind = self.gate.drop_error(ticket, queued);
        self.gate
            .finish(ticket, &Outcome::from_kind(kind), now, effects);
        vec![format!("tells {call} {}", kind_text(kind))]
    }

    fn cancel(&mut self, now: Time, request: &str, effects: &mut Vec<Effect>) -> Vec<String> {
        let id = RequestId::from_text(request);
        let stop = self.gate.cancel(id, now, effects);
        stop.iter()
            .map(|ticket| format!("stops {}", self.name_of(*ticket)))
            .collect()
    }

    fn sub_call(&mut self, now: Time, parent: &str, call: &str, want: u32) -> String {
        let rule = SubCall {
            idempotent: true,
            timeout: Duration::from_secs(1),
            want,
        };
        let id = self.calls[parent].context.expect("the parent never ran");
        match self.gate.lease(id, &rule, now) {
            Err(kind) => format!("refuses {}", kind_text(kind.into())),
            Ok(child) => {
                let granted = child.context.spare;
                let remaining = child.context.remaining.as_millis();
                self.children.insert(call.to_owned(), child);
                format!("grants {granted}, {remaining} ms")
            }
        }
    }

    fn tick(&mut self, now: Time, late: u64, effects: &mut Vec<Effect>) -> Vec<String> {
        let late = Duration::from_millis(late);
        match self.gate.tick(Tick { now, late }, effects) {
            None => vec![],
            Some(woke) => vec![
                format!("was paused {} ms", woke.paused.as_millis()),
                self.awaited(),
            ],
        }
    }

    fn publish(&mut self, world: &mut World, revision: u64, text: &str) -> String {
        let accept = |text: &str| Policy::parse(text).map(|_| ()).map_err(|e| e.to_string());
        let offered = self.config.offer(Revision(revision), text, accept);
        if matches!(offered, OfferOutcome::Accepted(_)) {
            let held = (revision, text.to_owned());
            world.configs.insert(self.name.to_string(), held);
        }
        let verdict = match offered {
            OfferOutcome::Accepted(_) => "accepts",
            OfferOutcome::Rejected(_) => "rejects",
            OfferOutcome::Outdated => "ignores",
        };
        let Revision(force) = self.config.revision();
        format!("{verdict} {revision}, {force} in force")
    }

    /// Carries out effects as the transport does: a started call runs, a dropped one is told.
    fn carry_out(&mut self, world: &mut World, now: Time, effects: Vec<Effect>) -> Vec<String> {
        let mut said = Vec::new();
        for effect in effects {
            match effect {
                Effect::Start(ticket) => {
                    let call = self.name_of(ticket);
                    let id = self.gate.begin(ticket, &mut world.rng);
                    let known = self.calls.get_mut(&call).unwrap();
                    known.context = id;
                    *world.runs.entry(known.request.clone()).or_default() += 1;
                    said.push(format!("starts {call}"));
                }
                Effect::Drop(ticket, kind) => {
                    let kind = self.gate.drop_error(ticket, kind);
                    said.push(format!(
                        "drops {} {}",
                        self.name_of(ticket),
                        kind_text(kind)
                    ));
                    let mut more = Vec::new();
                    self.gate
                        .finish(ticket, &Outcome::from_kind(kind), now, &mut more);
                    said.extend(self.carry_out(world, now, more));
                }
                Effect::Preempt(ticket) => said.push(format!("preempts {}", self.name_of(ticket))),
            }
        }
        said
    }

    fn awaited(&self) -> String {
        let names = self.gate.with_pause(|pause| {
            let names: Vec<String> = pause.stale_peers().map(InstanceName::to_string).collect();
            names.join(" ")
        });
        format!("awaits [{names}]")
    }

    fn name_of(&self, ticket: Ticket) -> String {
        let mut calls = self.calls.iter();
        let found = calls.find(|(_, known)| known.ticket == ticket);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }
}

/// Builds the context of a kind of call.
pub(crate) fn context(kind: &str, request: &str, remaining: u64, spare: u32) -> CallContext {
    let priority = match kind {
        "charge" => Priority::Critical,
        "owner" => Priority::High,
        "lookup" => Priority::Normal,
        "background" => Priority::Background,
        other => panic!("unknown kind {other}"),
    };
    CallContext {
        request: RequestId::from_text(request),
        priority,
        idempotent: kind != "charge",
        remaining: Duration::from_millis(remaining),
        spare,
        depth: 0,
        moved: false,
    }
}

/// Returns an error kind as a trace writes it.
pub(crate) fn kind_text(kind: ErrorKind) -> String {
    match kind {
        ErrorKind::NotRun(kind) => format!("not-run:{kind}"),
        ErrorKind::Unknown(kind) => format!("unknown:{kind}"),
    }
}

/// Reads an outcome as a trace writes it.
pub(crate) fn outcome_of(text: &str) -> Outcome<Option<String>> {
    match text.split_once(':') {
        None => Outcome::Completed(None),
        Some(("completed", answer)) => Outcome::Completed(Some(answer.to_owned())),
        Some(("not-run", kind)) => Outcome::NotRun(kind.parse().unwrap()),
        Some((_, kind)) => Outcome::Unknown(kind.parse().unwrap()),
    }
}
