//! Collects the status of the running node.

use crate::clock::Time;
use crate::node::Node;
use crate::status::AdmissionStatus;
use crate::status::ConfigStatus;
use crate::status::PoisonStatus;
use crate::status::STATUS_VERSION;
use crate::status::Status;
use crate::status::egress;
use crate::telemetry;

/// Returns the current status of a node.
pub fn node_status(node: &Node) -> Status {
    let now = node.clock.now();
    let own = &node.settings.instance;
    let counts = node.gate.counts();
    let history = node.telemetry.history(now);
    Status {
        version: STATUS_VERSION,
        release: env!("CARGO_PKG_VERSION").to_owned(),
        instance: own.name.clone(),
        service: own.service.clone(),
        domain: own.domain.clone(),
        region: own.region.clone(),
        incarnation: node.incarnation(),
        uptime_s: now.since(Time::ZERO).as_secs(),
        ready: node.is_ready(),
        draining: node.gate.is_draining(),
        config: config(node, now),
        control: node.control().map(|c| c.traffic()).unwrap_or_default(),
        admission: admission(node),
        services: egress::services(&node.dispatcher, now),
        links: egress::links(&node.dispatcher, now),
        poison: PoisonStatus {
            suspected: (counts.suspects - counts.quarantined) as u64,
            quarantined: counts.quarantined as u64,
        },
        tokens: counts.tokens as u64,
        ejections: node.dispatcher.with_state(|router, _| router.ejections()),
        pauses: node.pauses(),
        objectives: telemetry::objectives(&node.policy(), &history),
        history,
    }
}

fn config(node: &Node, now: Time) -> ConfigStatus {
    let Some(control) = node.control() else {
        return ConfigStatus::default();
    };
    ConfigStatus {
        revision: control.status().config.revision.0,
        rejected: control.rejected_revision().map(|revision| revision.0),
        age_s: control
            .confirmed_at()
            .map_or(0, |at| now.since(at).as_secs()),
    }
}

fn admission(node: &Node) -> AdmissionStatus {
    let load = node.gate.load();
    AdmissionStatus {
        limit: load.limit,
        in_flight: load.in_flight,
        queued: load.queued,
        level: node.gate.level_report().level.into(),
    }
}
