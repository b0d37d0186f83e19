//! Side-by-side measurement of overload policies under faults, with real nodes on loopback in one
//! process.

pub mod fleet;
pub mod load;
pub mod overload_policy;
pub mod results;

use std::io;
use std::io::Write;
use std::path::PathBuf;

use strum::IntoEnumIterator;

use crate::logs;
use crate::measure::fleet::MeasuredFleet;
use crate::measure::fleet::Scenario;
use crate::measure::overload_policy::OverloadPolicy;
use crate::measure::results::Results;
use crate::measure::results::summarize;

/// Header of the Markdown table.
const TABLE_HEADER: &str = "\
| scenario | policy | goodput % | charges % | lookups % | pages % | wasted % | recovery s | sends | most runs | charged twice |
|---|---|---|---|---|---|---|---|---|---|---|";

/// Header line of the CSV file.
const CSV_HEADER: &str = "scenario,policy,seed,goodput,charges,lookups,pages,wasted,recovery_s,sends,most_runs,charged_twice";

/// Arguments of the `measure` command.
#[derive(Clone, Debug, clap::Args)]
pub struct MeasureArgs {
    /// Fault scenarios; all if none is given
    #[arg(long, value_enum)]
    pub scenario: Vec<Scenario>,
    /// Overload policies; all if none is given
    #[arg(long, value_enum)]
    pub policy: Vec<OverloadPolicy>,
    /// Seed of the arrival times and of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Also write the results to this CSV file
    #[arg(long)]
    pub csv: Option<PathBuf>,
}

/// Runs each scenario under each policy, one run at a time, and prints a Markdown table.
///
/// # Errors
///
/// If the fleet cannot be started or the results cannot be written.
pub fn run_measure<O>(args: &MeasureArgs, out: &mut O) -> io::Result<()>
where
    O: Write,
{
    logs::init_errors_only();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut csv = format!("{CSV_HEADER}\n");
    writeln!(out, "{TABLE_HEADER}")?;
    for scenario in selected_or_all(&args.scenario) {
        for policy in selected_or_all(&args.policy) {
            let results = runtime.block_on(measure(scenario, policy, args.seed))?;
            writeln!(out, "{}", table_row(scenario, policy, &results))?;
            out.flush()?;
            csv.push_str(&csv_row(scenario, policy, args.seed, &results));
        }
    }
    match &args.csv {
        Some(path) => std::fs::write(path, csv),
        None => Ok(()),
    }
}

/// Runs one scenario under one policy on a fleet of its own.
async fn measure(scenario: Scenario, policy: OverloadPolicy, seed: u64) -> io::Result<Results> {
    let mut fleet = MeasuredFleet::start(scenario, policy, seed).await?;
    let samples = load::run(&mut fleet, scenario, seed).await?;
    let runs = fleet.stop().await;
    Ok(summarize(scenario, &samples, &runs))
}

/// Returns `selected`, or all values if it is empty.
fn selected_or_all<T>(selected: &[T]) -> Vec<T>
where
    T: Copy + IntoEnumIterator,
{
    match selected.is_empty() {
        true => T::iter().collect(),
        false => selected.to_vec(),
    }
}

/// Returns a row of the Markdown table. Recovery is observed for 7 s after the fault.
fn table_row(scenario: Scenario, policy: OverloadPolicy, r: &Results) -> String {
    let percent = |share: f64| share * 100.0;
    let recovery = match r.recovery_time {
        Some(time) => format!("{:.1}", time.as_secs_f64()),
        None => "> 7".to_owned(),
    };
    format!(
        "| {scenario} | {policy} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {recovery} | {:.2} | {} | {} |",
        percent(r.goodput),
        percent(r.charge_success),
        percent(r.lookup_success),
        percent(r.page_success),
        percent(r.wasted_share),
        r.sends_per_request,
        r.max_runs,
        r.charged_twice,
    )
}

/// Returns a line of the CSV file.
fn csv_row(scenario: Scenario, policy: OverloadPolicy, seed: u64, r: &Results) -> String {
    let recovery = r.recovery_time.map(|time| time.as_secs_f64().to_string());
    format!(
        "{scenario},{policy},{seed},{:.4},{:.4},{:.4},{:.4},{:.4},{},{:.3},{},{}\n",
        r.goodput,
        r.charge_success,
        r.lookup_success,
        r.page_success,
        r.wasted_share,
        recovery.unwrap_or_default(),
        r.sends_per_request,
        r.max_runs,
        r.charged_twice,
    )
}
