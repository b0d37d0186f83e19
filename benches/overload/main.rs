//! Simulates admission at one instance under overload, in virtual time:
//! `cargo bench --bench overload`.
//!
//! Prints a row for each scenario and admission variant: completed requests as a share of the
//! capacity of the servers, success ratios of charges and of lookups of normal and low priority,
//! share of wasted slot time, time to recover and sends per request. Each value is the mean over
//! all seeds.

mod results;
mod scenario;
mod sim;

use crate::results::Results;
use crate::results::mean;
use crate::results::summarize;
use crate::scenario::SCENARIOS;
use crate::scenario::SEEDS;
use crate::scenario::admission_variants;
use crate::sim::Sim;

fn main() {
    println!(
        "| scenario | admission | goodput % | charges % | normal % | low % | wasted % | recovery s | sends |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS {
        for variant in admission_variants() {
            let run = |seed| {
                let mut sim = Sim::new(scenario, &variant, seed);
                sim.run();
                summarize(scenario, &sim)
            };
            let all: Vec<Results> = (0..SEEDS).map(run).collect();
            println!(
                "| {} | {} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} |",
                scenario.name,
                variant.name,
                mean(&all, |r| r.goodput) * 100.0,
                mean(&all, |r| r.charge_success) * 100.0,
                mean(&all, |r| r.normal_success) * 100.0,
                mean(&all, |r| r.low_success) * 100.0,
                mean(&all, |r| r.wasted_share) * 100.0,
                mean(&all, |r| r.recovery_s),
                mean(&all, |r| r.sends_per_request),
            );
        }
    }
}
