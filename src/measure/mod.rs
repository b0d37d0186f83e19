//! Side-by-side measurement of overload policies: real nodes over loopback, in one process.

pub mod figures;
pub mod load;
pub mod setting;
pub mod world;

use std::io;
use std::io::Write;
use std::path::PathBuf;

use strum::IntoEnumIterator;

use crate::logs;
use crate::measure::figures::Figures;
use crate::measure::figures::figures;
use crate::measure::setting::Setting;
use crate::measure::world::Scenario;
use crate::measure::world::World;

/// Head of the table.
const HEAD: &str = "\
| scenario | policy | goodput % | charges % | lookups % | pages % | wasted % | recovery s | sends | most runs | charged twice |
|---|---|---|---|---|---|---|---|---|---|---|";

/// Head of the CSV file.
const CSV_HEAD: &str = "scenario,policy,seed,goodput,charges,lookups,pages,wasted,recovery_s,sends,most_runs,charged_twice";

/// What is measured.
#[derive(Clone, Debug, clap::Args)]
pub struct MeasureArgs {
    /// Scenarios, all if none is given
    #[arg(long, value_enum)]
    pub scenario: Vec<Scenario>,
    /// Policies, all if none is given
    #[arg(long, value_enum)]
    pub policy: Vec<Setting>,
    /// Seed of arrivals and of every random choice
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// File that the CSV is written to
    #[arg(long)]
    pub csv: Option<PathBuf>,
}

/// Measures, one policy after the other, and prints a table.
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
    let mut csv = format!("{CSV_HEAD}\n");
    writeln!(out, "{HEAD}")?;
    for scenario in chosen(&args.scenario) {
        for policy in chosen(&args.policy) {
            let figures = runtime.block_on(measure(scenario, policy, args.seed))?;
            writeln!(out, "{}", table_row(scenario, policy, &figures))?;
            out.flush()?;
            csv.push_str(&csv_row(scenario, policy, args.seed, &figures));
        }
    }
    match &args.csv {
        Some(path) => std::fs::write(path, csv),
        None => Ok(()),
    }
}

async fn measure(scenario: Scenario, policy: Setting, seed: u64) -> io::Result<Figures> {
    let mut world = World::start(scenario, policy, seed).await?;
    let samples = load::drive(&mut world, scenario, seed).await?;
    let runs = world.stop().await;
    Ok(figures(scenario, &samples, &runs))
}

fn chosen<T>(named: &[T]) -> Vec<T>
where
    T: Copy + IntoEnumIterator,
{
    match named.is_empty() {
        true => T::iter().collect(),
        false => named.to_vec(),
    }
}

fn table_row(scenario: Scenario, policy: Setting, f: &Figures) -> String {
    let percent = |share: f64| share * 100.0;
    let recovery = match f.recovery {
        Some(span) => format!("{:.1}", span.as_secs_f64()),
        None => "not in 7".to_owned(),
    };
    format!(
        "| {scenario} | {policy} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {recovery} | {:.2} | {} | {} |",
        percent(f.goodput),
        percent(f.charges),
        percent(f.lookups),
        percent(f.pages),
        percent(f.wasted),
        f.sends,
        f.most_runs,
        f.charged_twice,
    )
}

fn csv_row(scenario: Scenario, policy: Setting, seed: u64, f: &Figures) -> String {
    let recovery = f.recovery.map(|span| span.as_secs_f64().to_string());
    format!(
        "{scenario},{policy},{seed},{:.4},{:.4},{:.4},{:.4},{:.4},{},{:.3},{},{}\n",
        f.goodput,
        f.charges,
        f.lookups,
        f.pages,
        f.wasted,
        recovery.unwrap_or_default(),
        f.sends,
        f.most_runs,
        f.charged_twice,
    )
}
