//! Fault scenarios, load parameters and the admission variants that are compared.

use std::time::Duration;

use dragonflylead::Time;
use dragonflylead::coordination::admission::AdmissionConfig;

/// Slots of the instance, and servers in the target without a fault.
pub(crate) const SLOTS: u32 = 20;
/// Mean service time, in milliseconds.
pub(crate) const SERVICE_MS: f64 = 50.0;
/// Arrival rate without a surge, as a share of the capacity.
pub(crate) const UTILIZATION: f64 = 0.8;
/// Begin and end of the fault.
pub(crate) const FAULT: (Time, Time) = (Time::from_millis(5_000), Time::from_millis(15_000));
/// End of the arrivals.
pub(crate) const END: Time = Time::from_millis(30_000);
/// Maximum number of times that a caller sends a request.
pub(crate) const MAX_SENDS: u32 = 3;
/// Timeout of a charge.
pub(crate) const CHARGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Share of charges among the requests.
pub(crate) const CHARGE_SHARE: f64 = 0.1;
/// Distance between the starts of the windows in which recovery is looked for, in milliseconds.
pub(crate) const RECOVERY_STEP_MS: u64 = 250;
/// Number of seeds over which the results are averaged.
pub(crate) const SEEDS: u64 = 5;

/// A fault and the timeout of lookups. The fault is in force during [`FAULT`].
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    /// Name in the table.
    pub(crate) name: &'static str,
    /// Factor on the arrival rate.
    pub(crate) demand_factor: f64,
    /// Factor on the service time of all calls.
    pub(crate) service_time_factor: f64,
    /// Calls that the target serves concurrently; further ones queue inside the target.
    pub(crate) servers: u32,
    /// Factor on the service time of lookups alone.
    pub(crate) lookup_time_factor: f64,
    /// Timeout of a lookup, with or without the fault.
    pub(crate) lookup_timeout: Duration,
    /// Relative growth of the service time for each call that queues in the target, per server.
    pub(crate) contention: f64,
}

/// A scenario without a fault, from which the others differ.
pub(crate) const NO_FAULT: Scenario = Scenario {
    name: "no fault",
    demand_factor: 1.0,
    service_time_factor: 1.0,
    servers: SLOTS,
    lookup_time_factor: 1.0,
    lookup_timeout: Duration::from_millis(800),
    contention: 0.0,
};

/// The simulated scenarios.
pub(crate) const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "surge 3x",
        demand_factor: 3.0,
        ..NO_FAULT
    },
    Scenario {
        name: "target 5x slower",
        service_time_factor: 5.0,
        ..NO_FAULT
    },
    Scenario {
        name: "3 of 4 servers lost in the target",
        servers: SLOTS / 4,
        ..NO_FAULT
    },
    Scenario {
        name: "3 of 4 servers lost, contention",
        servers: SLOTS / 4,
        contention: 0.5,
        ..NO_FAULT
    },
    Scenario {
        name: "lookups hang",
        lookup_time_factor: 200.0,
        lookup_timeout: Duration::from_secs(5),
        ..NO_FAULT
    },
];

/// An admission configuration, with or without the admission level.
pub(crate) struct AdmissionVariant {
    /// Name in the table.
    pub(crate) name: &'static str,
    /// Configuration of admission.
    pub(crate) cfg: AdmissionConfig,
    /// Whether arrivals that the admission level does not admit are shed before admission.
    pub(crate) level: bool,
}

/// Returns two baselines, complete admission with and without the level, and variants that each
/// leave out one part.
pub(crate) fn admission_variants() -> Vec<AdmissionVariant> {
    let full = AdmissionConfig::full(SLOTS);
    let variant = |name, cfg, level| AdmissionVariant { name, cfg, level };
    let without = |name, change: fn(&mut AdmissionConfig)| {
        let mut cfg = full;
        change(&mut cfg);
        variant(name, cfg, false)
    };
    vec![
        variant("no control", AdmissionConfig::none(), false),
        variant("fixed limit, FIFO", AdmissionConfig::fixed(SLOTS), false),
        variant("full", full, false),
        variant("full with level", full, true),
        without("full without adaptive limit", |c| c.adaptive_limit = false),
        without("full without sojourn control", |c| {
            c.sojourn_control = false
        }),
        without("full without priority order", |c| c.priority_order = false),
        without("full without preemption", |c| c.preemption = false),
    ]
}

/// Returns whether a time is in a window, whose end is exclusive.
pub(crate) fn is_within(time: Time, window: (Time, Time)) -> bool {
    window.0 <= time && time < window.1
}
