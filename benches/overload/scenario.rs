//! What goes wrong, and the parts of admission that are on.

use std::time::Duration;

use dragonflylead::Time;
use dragonflylead::coordination::admission::AdmissionConfig;

pub(crate) const SLOTS: u32 = 20;
pub(crate) const SERVICE_MS: f64 = 50.0;
pub(crate) const LOAD: f64 = 0.8;
pub(crate) const CAUSE: (Time, Time) = (Time::from_millis(5_000), Time::from_millis(15_000));
pub(crate) const END: Time = Time::from_millis(30_000);
pub(crate) const SENDS: u32 = 3;
pub(crate) const CHARGE_TIMEOUT: Duration = Duration::from_millis(2_000);
pub(crate) const CHARGE_SHARE: f64 = 0.1;
pub(crate) const BUCKET_MS: u64 = 250;
pub(crate) const SEEDS: u64 = 5;

#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) demand: f64,
    pub(crate) service: f64,
    pub(crate) servers: u32,
    /// Factor on the service time of lookups alone.
    pub(crate) lookups: f64,
    pub(crate) lookup_timeout: Duration,
    /// Growth of the service time for each call that waits in the target, per server.
    pub(crate) contention: f64,
}

pub(crate) const CALM: Scenario = Scenario {
    name: "calm",
    demand: 1.0,
    service: 1.0,
    servers: SLOTS,
    lookups: 1.0,
    lookup_timeout: Duration::from_millis(800),
    contention: 0.0,
};

pub(crate) const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "surge 3x",
        demand: 3.0,
        ..CALM
    },
    Scenario {
        name: "target 5x slower",
        service: 5.0,
        ..CALM
    },
    Scenario {
        name: "3 of 4 servers lost in the target",
        servers: SLOTS / 4,
        ..CALM
    },
    Scenario {
        name: "3 of 4 servers lost, contention",
        servers: SLOTS / 4,
        contention: 0.5,
        ..CALM
    },
    Scenario {
        name: "lookups hang",
        lookups: 200.0,
        lookup_timeout: Duration::from_secs(5),
        ..CALM
    },
];

pub(crate) struct Setting {
    pub(crate) name: &'static str,
    pub(crate) cfg: AdmissionConfig,
    pub(crate) level: bool,
}

pub(crate) fn settings() -> Vec<Setting> {
    let full = AdmissionConfig::full(SLOTS);
    let row = |name, cfg, level| Setting { name, cfg, level };
    let off = |name, change: fn(&mut AdmissionConfig)| {
        let mut cfg = full;
        change(&mut cfg);
        row(name, cfg, false)
    };
    vec![
        row("no control", AdmissionConfig::none(), false),
        row("fixed limit, FIFO", AdmissionConfig::fixed(SLOTS), false),
        row("full", full, false),
        row("full with level", full, true),
        off("full without adaptive limit", |c| c.adaptive_limit = false),
        off("full without sojourn control", |c| {
            c.sojourn_control = false
        }),
        off("full without priority order", |c| c.priority_order = false),
        off("full without preemption", |c| c.preemption = false),
    ]
}

pub(crate) fn between(time: Time, span: (Time, Time)) -> bool {
    span.0 <= time && time < span.1
}
