//! One instance under overload in virtual time: `cargo bench --bench overload`.
//!
//! Prints a row for each scenario and setting: goodput of whole requests as a share of what the
//! slots can do, success of charges and lookups, wasted slot time, time to recover, sends for each
//! request.

mod figures;
mod scenario;
mod sim;

use crate::figures::Figures;
use crate::figures::figures;
use crate::figures::mean;
use crate::scenario::SCENARIOS;
use crate::scenario::SEEDS;
use crate::scenario::settings;
use crate::sim::Sim;

fn main() {
    println!(
        "| scenario | setting | goodput % | charges % | normal % | low % | wasted % | recovery s | sends |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS {
        for setting in settings() {
            let run = |seed| {
                let mut sim = Sim::new(scenario, &setting, seed);
                sim.run();
                figures(scenario, &sim)
            };
            let all: Vec<Figures> = (0..SEEDS).map(run).collect();
            println!(
                "| {} | {} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} |",
                scenario.name,
                setting.name,
                mean(&all, |f| f.goodput) * 100.0,
                mean(&all, |f| f.charges) * 100.0,
                mean(&all, |f| f.normal) * 100.0,
                mean(&all, |f| f.low) * 100.0,
                mean(&all, |f| f.wasted) * 100.0,
                mean(&all, |f| f.recovery_s),
                mean(&all, |f| f.sends),
            );
        }
    }
}
